"""Order, pacing and admission of long responses, in virtual time without a network."""

from __future__ import annotations

import asyncio
import unittest
from contextlib import ExitStack
from statistics import mean
from unittest.mock import patch

import msgspec
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.transfers.admission import TransferAdmission
from almondrouter.coordination.transfers.budget import (
    CATCH_UP_PARTS,
    LINK_SHARE,
    LinkBudget,
)
from almondrouter.coordination.transfers.queue import TransferQueue
from almondrouter.coordination.transfers.scheduler import TransferScheduler
from almondrouter.coordination.transfers.sizes import MAX_ROUTES, ResponseSizes
from almondrouter.errors import ErrorCode
from almondrouter.protocol.outcomes import CallError
from almondrouter.transport.transfers import Transfer, get_useful_until
from almondrouter_standins.link_replay import LINK_BYTES_PER_SECOND, LinkReplay
from calls_support import make_reply, make_request


def make_transfer(remaining, *, rank=0, useful=9.0, deadline=9.0, writable=True):
    """Return a transfer that sends nothing."""
    return Transfer(
        rank, remaining, useful, deadline, lambda t, n: None, lambda: writable
    )


class OrderTest(unittest.TestCase):
    """Transfers on a link of 100 bytes per second, at time 0."""

    @parameterized.expand(
        [
            ("urgent rank", [(100, {"rank": 1}), (900, {"rank": 0})], 1),
            ("nested", [(100, {"rank": 0}), (900, {"rank": -1})], 1),
            ("earliest", [(100, {"useful": 9}), (300, {"useful": 5})], 1),
            ("longest left out", [(300, {"useful": 3}), (100, {"useful": 3.5})], 1),
            ("late behind on time", [(100, {"useful": 0}), (400, {"useful": 5})], 1),
            ("late before lower rank", [(200, {"useful": 0}), (9, {"rank": 1})], 0),
            ("lost is last", [(200, {"deadline": 1}), (800, {"rank": 5})], 1),
            ("shortest of the late", [(200, {"useful": 0}), (90, {"useful": 0})], 1),
            ("unwritable", [(100, {"writable": False}), (900, {"rank": 3})], 1),
            ("first of equals", [(100, {}), (100, {})], 0),
        ]
    )
    def test_next_transfer(self, _, transfers, expected):
        """Guards against an order in which the most valuable responses are late."""
        queue = TransferQueue()
        added = [make_transfer(size, **options) for size, options in transfers]
        for transfer in added:
            queue.add(transfer)
        self.assertIs(added[expected], queue.choose(0.0, rate=100.0))

    def test_no_writable_connection(self):
        """Guards against parts for a receiver that does not read."""
        queue = TransferQueue()
        queue.add(make_transfer(100, writable=False))
        self.assertIsNone(queue.choose(0.0, rate=100.0))

    def test_overdue_request_has_no_time_of_full_value(self):
        """Guards against taking the time limit of an overdue request for its target."""
        request = msgspec.structs.replace(make_request(deadline=9.0), useful_until=5.0)
        overdue = msgspec.structs.replace(request, overdue=True)
        self.assertEqual(
            (5.0, 0.0), (get_useful_until(request), get_useful_until(overdue))
        )


class SchedulerTest(unittest.IsolatedAsyncioTestCase):
    """Transfers whose last part starts the next one, as on callers' connections."""

    async def test_next_transfer_starts_within_a_part(self):
        """Guards against a second timer for each transfer that starts another."""
        clock = ManualClock()
        budget = LinkBudget(bytes_per_second=LINK_BYTES_PER_SECOND, clock=clock)
        scheduler = TransferScheduler(budget, clock)

        def send_part(transfer, size):
            transfer.remaining = 0
            budget.charge(size)
            scheduler.add(Transfer(0, 9, 9.0, 9.0, send_part))

        clock.advance(1)
        with patch.object(asyncio.get_running_loop(), "call_later") as call_later:
            scheduler.add(Transfer(0, 9, 9.0, 9.0, send_part))
        call_later.assert_called_once()
        self.assertEqual(CATCH_UP_PARTS, scheduler.counts["parts"])


class SizesTest(unittest.TestCase):
    """Expected sizes by route."""

    def test_only_long_responses_are_expected(self):
        """Guards against an admission that affects routes with short responses."""
        sizes = ResponseSizes()
        for size in (100, 200):
            sizes.record("short", make_reply(bytes(size)))
            sizes.record("long", make_reply(bytes(size * 1_000)))
        error = msgspec.structs.replace(make_reply(b"not found"), status=404)
        sizes.record("long", error)
        expected = [sizes.expect(route) for route in ("short", "long", "unknown")]
        self.assertEqual([0, 150_000, 0], expected)

    def test_routes_are_bounded(self):
        """Guards against memory that grows with each configuration."""
        sizes = ResponseSizes()
        for number in range(MAX_ROUTES + 1):
            sizes.record(str(number), make_reply(bytes(100_000)))
        self.assertEqual(0, sizes.expect("0"))


class ReplayTest(unittest.TestCase):
    """A link of 10 Mbit/s at 0.6, 1.0 and 1.5 times its rate."""

    @parameterized.expand([(0.6, 0.95, 0.98), (1.0, 0.84, 0.98), (1.5, 0.64, 0.98)])
    def test_value_and_delay_of_short_frames(self, load, value, urgent_value):
        """Guards against overload that delays all responses, or short frames."""
        replay = LinkReplay(load)
        replay.run()
        self.assertGreater(mean(replay.all_values), value)
        self.assertGreater(mean(replay.values[0]), urgent_value)
        self.assertLess(max(replay.short_delays), 0.02)

    def test_link_is_used_fully(self):
        """Guards against pacing that leaves a part of the link idle under overload."""
        replay = LinkReplay(1.5)
        replay.run()
        self.assertGreater(replay.used_share, 0.9 * LINK_SHARE)


class AdmissionTest(unittest.TestCase):
    """A request whose response takes 0.5 s on a link with a given backlog."""

    def setUp(self):
        self.clock = ManualClock(monotonic=0.0)
        budget = LinkBudget(
            bytes_per_second=LINK_BYTES_PER_SECOND / LINK_SHARE, clock=self.clock
        )
        self.scheduler = TransferScheduler(budget, self.clock)
        self.admission = TransferAdmission(self.scheduler, self.clock)
        self.admission.record("long", make_reply(bytes(625_000)))
        self.admission.record("short", make_reply(bytes(1_000)))

    def admit(self, *, route="long", within=3.6, max_wait=-1.0, rank=1, nested=False):
        request = msgspec.structs.replace(
            make_request(deadline=within, class_name=route),
            max_wait=max_wait,
            rank=rank,
            nested=nested,
        )
        return self.admission.admit(request, run_time=0.1)

    @parameterized.expand(
        [
            ("idle", 0, {}, None),
            ("arrives too late", 0, {"within": 1.1}, ErrorCode.OVERLOADED),
            ("behind others", 6, {}, ErrorCode.OVERLOADED),
            ("before less urgent ones", 6, {"rank": 0}, None),
            ("nested", 6, {"nested": True}, None),
            ("short route", 6, {"route": "short", "within": 0.1}, None),
            ("wait below the limit", 1, {"max_wait": 0.5}, None),
            ("busy", 1, {"max_wait": 0.3}, ErrorCode.BUSIER_THAN_EXPECTED),
        ]
    )
    def test_admission(self, _, admitted, options, code):
        """Guards against running what cannot arrive, and refusing what can."""
        others = self.enterContext(ExitStack())
        for _ in range(admitted):
            others.enter_context(self.admit(within=99))
        if code is None:
            with self.admit(**options):
                return
        with self.assertRaises(CallError) as caught, self.admit(**options):
            pass
        self.assertEqual(code, caught.exception.code)

    def test_end_of_a_request_frees_the_link(self):
        """Guards against requests that failed and still count as waiting."""
        with self.assertRaises(KeyError), self.admit():
            self.assertAlmostEqual(0.5, self.admission.link_wait)
            raise KeyError
        self.assertEqual(0.0, self.admission.link_wait)
