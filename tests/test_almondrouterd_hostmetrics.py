"""Metrics of the links between daemons."""

from __future__ import annotations

import unittest

from almondrouter.clock import SystemClock
from almondrouter.transport.links import CallLinkPool, CallLinkServer, LinkPolicy
from almondrouterd.hostmetrics import register_link_metrics
from almondrouterd.metrics import DaemonMetrics
from calls_support import make_hello, wait_until


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
