"""Metrics of the links between daemons."""

from __future__ import annotations

import unittest

from almondrouter.clock import SystemClock
from almondrouter.transport.links import CallLinkPool, CallLinkServer, LinkPolicy
from almondrouterd.hostmetrics import register_link_metrics, register_quota_metrics
from almondrouterd.metrics import DaemonMetrics
from calls_support import make_hello, wait_until
from quota_replay import Fleet, make_policy


class LinkMetricsTest(unittest.IsolatedAsyncioTestCase):
    """One daemon has a link to another in the same process."""

    async def test_frames_and_bytes_of_both_ends_agree(self):
        """Guards against control traffic that grows with the fleet unnoticed."""
        clock = SystemClock()
        server = CallLinkServer(
            address="127.0.0.1:0",
            hello=make_hello("server"),
            handler=None,
            clock=clock,
        )
        await server.start()
        self.addAsyncCleanup(server.close)
        policy = LinkPolicy(ping_interval=0.01, ping_idle=True)
        links = CallLinkPool(hello=make_hello("caller"), clock=clock, policy=policy)
        self.addAsyncCleanup(links.close)
        metrics = DaemonMetrics()
        register_link_metrics(metrics, links=links, server=server)
        links.preconnect(server.address)
        await wait_until(lambda: server.link_count and links.link_count)
        await wait_until(lambda: self.agree(links.traffic, server.traffic))
        text = metrics.render().decode()
        self.assertIn('almond_links{side="outbound"} 1', text)
        self.assertIn('almond_links{side="inbound"} 1', text)
        for unit, count in (
            ("frames", links.traffic.frames_sent),
            ("bytes", links.traffic.bytes_sent),
        ):
            self.assertGreater(count, 1)
            for side, direction in (("outbound", "sent"), ("inbound", "received")):
                name = f"almond_link_{unit}_total"
                labels = f'{{direction="{direction}",side="{side}"}}'
                self.assertIn(f"{name}{labels} {count}", text)

    def agree(self, outbound, inbound):
        return (
            outbound.frames_sent == inbound.frames_received > 1
            and outbound.bytes_sent == inbound.bytes_received
            and inbound.frames_sent == outbound.frames_received
        )


class QuotaMetricsTest(unittest.TestCase):
    """Three daemons divide the quota of a tenant in simulated time."""

    def test_exchanges_with_the_owner_are_measured(self):
        """Guards against an owner that answers late unnoticed."""
        fleet = Fleet(3, [make_policy()])
        metrics = DaemonMetrics()
        register_quota_metrics(metrics, quotas=fleet.daemons["h1"].service)
        fleet.run(2.0)
        lines = metrics.render().decode().splitlines()
        counts = [line for line in lines if "quota_exchange_seconds_count" in line]
        self.assertGreater(float(counts[0].split()[-1]), 0)
