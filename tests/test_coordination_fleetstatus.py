"""Status of the fleet, collected from hosts that respond or not."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.fleetstatus import (
    DELEGATE_TIMEOUT_S,
    MAX_CONCURRENT_REQUESTS,
    FleetStatus,
)
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import FleetRequest, Head, StatusReply
from almondrouter.state.registry import HostRecord, HostStatus, Registry
from almondrouter.transport.control import ControlEndpoint
from almondrouter_standins.virtual_time import run_virtual

RESPONSE_TIME_S = 0.01


def make_reply(host):
    """Return the status of a host that is ready."""
    return StatusReply(host, 1, Head(3, "d"), True)


class ScriptedEndpoint(ControlEndpoint):
    """Answers requests for all hosts but the silent ones."""

    def __init__(self, clock, silent):
        self._clock = clock
        self._silent = silent
        self.handlers = {}
        self.in_flight = self.most_in_flight = 0

    def set_handler(self, message_type, handler):
        self.handlers[message_type] = handler

    def send(self, address, message):
        raise NotImplementedError

    async def request(self, address, message, *, deadline):
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        try:
            if address in self._silent:
                await self._clock.sleep_until(deadline)
                raise AlmondError(ErrorCode.PEER_TIMEOUT, "no reply")
            await self._clock.sleep_until(self._clock.monotonic() + RESPONSE_TIME_S)
            return make_reply(address)
        finally:
            self.in_flight -= 1

    def count_bytes(self):
        return {}

    async def start(self):
        raise NotImplementedError

    async def close(self):
        raise NotImplementedError


class FleetStatusTest(unittest.TestCase):
    """A delegate of one data centre, on virtual time."""

    def collect(self, *, silent, responding):
        """Let a delegate collect; return its reply, the time taken, the endpoint."""
        clock = ManualClock()
        hosts = [f"a{i}" for i in range(silent)] + [f"b{i}" for i in range(responding)]
        registry = Registry()
        registry.merge(
            HostRecord(host, "dc1", "north", host, host, 1, 1, HostStatus.ALIVE, ())
            for host in ["delegate", *hosts]
        )
        endpoint = ScriptedEndpoint(clock, {*hosts[:silent]})
        FleetStatus(
            host="delegate",
            data_centre="dc1",
            registry=registry,
            endpoint=endpoint,
            clock=clock,
            status=lambda: make_reply("delegate"),
        )
        began_at = clock.monotonic()
        handler = endpoint.handlers[FleetRequest]
        reply = run_virtual(handler(FleetRequest(9), "asking"), clock)
        return reply, clock.monotonic() - began_at, endpoint

    @parameterized.expand([(0, 50), (32, 20), (33, 20), (100, 20), (400, 200)])
    def test_delegate_replies_in_time(self, silent, responding):
        """Guards against a data centre that is unknown as some hosts are silent."""
        reply, seconds, _ = self.collect(silent=silent, responding=responding)
        self.assertLess(seconds, DELEGATE_TIMEOUT_S)
        self.assertEqual(responding + 1, len(reply.replies))
        self.assertEqual(silent, len(reply.silent))

    def test_requests_to_responding_hosts_are_limited(self):
        """Guards against a burst of requests and replies in a large data centre."""
        _, _, endpoint = self.collect(silent=0, responding=200)
        self.assertEqual(MAX_CONCURRENT_REQUESTS, endpoint.most_in_flight)
