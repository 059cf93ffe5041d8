"""Number of requests that a backend server is sent at once, in replays without sockets.

Each replay is compared with one in which the announced number stays in force.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from contextlib import suppress
from unittest.mock import patch

import msgspec
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.concurrency import RunTimeFactor, UsableSlots
from almondrouter.coordination.intake import BodyIntake
from almondrouter.coordination.localbackend import LocalBackend
from almondrouter.errors import ErrorCode
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.hosts import BackendEntry, ServingState
from almondrouter.transport.calls import BackendResponse, BackendSender
from almondrouter_standins.virtual_time import run_virtual
from almondrouterd.platform.headers import PlatformDialect
from calls_support import make_request
from platform_support import make_crash_guard

SLOTS = 7
RUN_S = 0.15
SECONDS = 20.0
SIGNED = (("response-signature", "s"),)


class UnevenServer(BackendSender):
    """Takes a number of requests at once, and refuses or resets all others."""

    def __init__(self, takes, refusal, rng, refused_share=0.0):
        self.takes, self.refusal, self.rng = takes, refusal, rng
        self.refused_share = refused_share
        self.running, self.counts = 0, Counter()

    async def send(self, method, target, headers, body, **options):
        self.counts["arrived"] += 1
        if self.running >= self.takes or self.rng.random() < self.refused_share:
            self.counts["turned away"] += 1
            return self.refuse()
        self.running += 1
        loop, seconds = asyncio.get_running_loop(), RUN_S * self.rng.uniform(0.5, 1.5)
        # The run goes on when the connection is closed.
        loop.call_later(seconds, self.end_run)
        await asyncio.sleep(seconds)
        self.counts["answered"] += 1
        load = f"{self.running},0,{SLOTS},100"
        return BackendResponse(200, (*SIGNED, ("instance-load", load)), b"")

    def end_run(self):
        self.running -= 1

    def refuse(self):
        if self.refusal == "reset":
            raise CallError(ErrorCode.BACKEND_FAILED, "", outcome=Outcome.UNKNOWN)
        headers = (("not-executed", "1"),)
        if self.refusal == "reported":
            headers = (*headers, ("instance-load", f"{self.running},0,{self.takes}"))
        return BackendResponse(503, headers, b"")


class ConcurrencyReplayTest(unittest.TestCase):
    """Requests arrive at one daemon at random times from a fixed seed."""

    def replay(self, server, *, per_second, cancelled=0.0):
        clock, rng = ManualClock(), random.Random(3)
        backend = LocalBackend(
            sender=server,
            dialect=PlatformDialect(),
            clock=clock,
            intake=BodyIntake(bytes_per_second=1e6, clock=clock),
            guard=make_crash_guard(clock),
            on_changed=lambda: None,
        )

        async def call():
            now = clock.monotonic()
            request = make_request(deadline=now + 1.0)
            request = msgspec.structs.replace(request, repeatable=True)
            timeout = RUN_S / 3 if rng.random() < cancelled else 2.0
            with suppress(TimeoutError):
                await asyncio.wait_for(backend.handle_call(request), timeout)

        async def send_all():
            ready = ServingState.READY
            backend.apply_announcement(BackendEntry("b", 1, "s", SLOTS, ready))
            tasks = []
            for _ in range(int(per_second * SECONDS)):
                await asyncio.sleep(rng.expovariate(per_second))
                tasks.append(asyncio.create_task(call()))
            await asyncio.gather(*tasks)

        run_virtual(send_all(), clock)
        return server.counts

    def compare(self, takes, refusal, *, refused_share=0.0, **pattern):
        def make_server():
            return UnevenServer(takes, refusal, random.Random(5), refused_share)

        after = self.replay(make_server(), **pattern)
        with (
            patch.object(UsableSlots, "limit", SLOTS),
            patch("almondrouter.coordination.slots.SlotQueue.abandon", release),
        ):
            before = self.replay(make_server(), **pattern)
        return before, after

    @parameterized.expand(
        [
            ("reports", 4, "reported", 0.0),
            ("refuses", 4, "silent", 0.0),
            ("resets", 4, "reset", 0.0),
            ("one less", 6, "reset", 0.0),
            ("runs on after callers left", 7, "silent", 0.2),
        ]
    )
    def test_server_that_takes_less(self, _, takes, refusal, cancelled):
        """Guards against arrivals that a server turns away for want of a free slot."""
        pattern = {"per_second": 1.2 * takes / RUN_S, "cancelled": cancelled}
        before, after = self.compare(takes, refusal, **pattern)
        self.assertLess(after["turned away"], 0.05 * after["arrived"], (before, after))
        self.assertGreater(before["turned away"], 4 * after["turned away"])
        self.assertGreaterEqual(after["answered"], 0.95 * before["answered"])

    @parameterized.expand(
        [
            ("healthy", 0.0, "silent", 1.0),
            ("refuses a half", 0.55, "silent", 0.95),
            ("refuses a half and reports", 0.55, "reported", 1.0),
        ]
    )
    def test_server_that_takes_all(self, _, share, refusal, least):
        """Guards against idle slots of a server that is not full when it refuses."""
        pattern = {"per_second": 1.1 * SLOTS / RUN_S, "refused_share": share}
        before, after = self.compare(SLOTS, refusal, **pattern)
        self.assertGreaterEqual(after["answered"], least * before["answered"])


def release(queue, grant):
    """Release a slot at once."""
    queue.release(grant, measured=False)


class RunTimeFactorTest(unittest.TestCase):
    """Reports that change often are smoothed, and old ones are forgotten."""

    def test_average(self):
        """Guards against choices by the factor of one moment, or of long ago."""
        clock = ManualClock()
        factor = RunTimeFactor(clock)
        for number in range(200):
            clock.advance(0.01)
            factor.record(3.0 if number % 2 else 1.0)
        self.assertAlmostEqual(2.0, factor.value, delta=0.2)
        clock.advance(20.0)
        self.assertAlmostEqual(1.0, factor.value, delta=0.01)
