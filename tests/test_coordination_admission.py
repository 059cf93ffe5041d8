"""Tests of admission control: slots, queue, refusals, slow start and draining."""

import asyncio
import functools
import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.admission import MAX_QUEUED_PER_SLOT, Admission
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.state.registry import BackendRecord
from almondrouter.state.targets import Priority
from almondrouter_standins.virtual_time import run_virtual

CRITICAL, NORMAL, DEFERRABLE = Priority
TOO_LATE = ErrorCode.DEADLINE_EXCEEDED


def with_admission(*, slots=4, age=10.0):
    """Run a test in virtual time with an `Admission` that is ``age`` seconds old."""

    def decorate(test):
        @functools.wraps(test)
        def run(self, *arguments):
            async def main():
                record = BackendRecord("a-1", "accounts", slots)
                self.admission = Admission(record, clock=self.clock)
                await asyncio.sleep(age)
                await test(self, *arguments)

            self.clock = ManualClock()
            run_virtual(main(), self.clock)

        return run

    return decorate


class AdmissionTest(unittest.TestCase):
    """Admission must keep the concurrency limit, and run every call that it admits."""

    def acquire_slot(self, *, priority=NORMAL, within=10.0, class_name=""):
        return self.admission.acquire(
            priority=priority,
            deadline=self.clock.monotonic() + within,
            class_name=class_name,
        )

    async def start_waiting(self, **options):
        task = asyncio.ensure_future(self.acquire_slot(**options))
        await asyncio.sleep(0)
        return task

    async def fill_slots(self, *, service_time=0.1):
        """Record a service time, then acquire every slot; return the slots."""
        slots = [await self.acquire_slot() for _ in range(4)]
        self.clock.advance(service_time)
        for slot in slots:
            self.admission.release(slot, failed=False)
        return [await self.acquire_slot() for _ in range(4)]

    async def check_code(self, awaitable, code):
        """Check the error code of an awaitable; None means that it succeeds."""
        try:
            await awaitable
            found = None
        except AlmondError as error:
            found = error.code
        self.assertEqual(found, code)

    @parameterized.expand(
        [(0.0, 2), (1.0, 2), (3.4, 4), (5.0, 5), (9.9, 8), (10.0, 9), (99.0, 9)]
    )
    def test_ramp_opens_slots(self, age, slots):
        """Guards against full load on a server that has just started."""
        clock = ManualClock()
        admission = Admission(BackendRecord("a-1", "accounts", 9), clock=clock)
        clock.advance(age)
        self.assertEqual(admission.load().slots, slots)

    @with_admission(age=0.0)
    async def test_ramp_wakes_a_waiting_call_without_a_release(self):
        """Guards against calls that wait beside a slot that the ramp has opened."""
        await self.acquire_slot()
        await self.acquire_slot(within=8.0)
        self.assertAlmostEqual(self.clock.monotonic(), 1000 + 10 / 3, places=6)

    @parameterized.expand(
        [
            ("passed", -0.01, False, TOO_LATE),
            ("free slot", 0.01, False, None),
            # Expected: a release after 0.025 s, then a service time of 0.1 s.
            ("too short to wait", 0.12, True, TOO_LATE),
            ("long enough to wait", 0.13, True, None),
        ]
    )
    @with_admission()
    async def test_deadline_refuses_at_once(self, _name, within, full, code):
        """Guards against queueing calls that cannot meet their deadline."""
        slots = await self.fill_slots()
        if not full:
            self.admission.release(slots.pop(), failed=True)
        waiting = await self.start_waiting(within=within)
        self.assertEqual(waiting.done(), code is not None or not full)
        self.admission.release(slots.pop(), failed=True)
        await self.check_code(waiting, code)

    @with_admission()
    async def test_waiting_call_is_refused_while_another_server_has_time(self):
        """Guards against refusals too late for an attempt at another server."""
        await self.fill_slots()
        before = self.clock.monotonic()
        await self.check_code(self.acquire_slot(within=0.5), ErrorCode.OVERLOADED)
        # Half of the time that the service time of 0.1 s leaves until the deadline.
        self.assertAlmostEqual(self.clock.monotonic(), before + 0.2)
        self.assertEqual(self.admission.load().queued, 0)

    @parameterized.expand([(0.1, 0.1), (0.2, 0.1), (10.0, 5.0)])
    @with_admission()
    async def test_hanging_calls_lengthen_the_service_time(self, age, expected):
        """Guards against a hung server that still reports a short service time."""
        await self.fill_slots()
        self.clock.advance(age)
        self.assertAlmostEqual(self.admission.load().service_time, expected)

    @parameterized.expand([(CRITICAL, -2), (NORMAL, -2), (DEFERRABLE, -1)])
    @with_admission()
    async def test_full_queue_sheds_the_lowest_priority(self, priority, shed):
        """Guards against refusing urgent calls while less urgent ones wait."""
        await self.fill_slots()
        waiting = [
            await self.start_waiting(priority=DEFERRABLE if i % 2 else NORMAL)
            for i in range(MAX_QUEUED_PER_SLOT * 4)
        ]
        waiting.append(await self.start_waiting(priority=priority))
        await asyncio.sleep(0)
        self.assertEqual([t for t in waiting if t.done()], [waiting[shed]])
        await self.check_code(waiting[shed], ErrorCode.OVERLOADED)

    @with_admission()
    async def test_load_tells_who_waits(self):
        """Guards against load reports with wrong counts by rank."""
        await self.fill_slots()
        for priority in (DEFERRABLE, CRITICAL, DEFERRABLE):
            await self.start_waiting(priority=priority)
        load = self.admission.load()
        self.assertEqual((load.queued, load.queued_by_rank), (3, (1, 0, 2)))

    @with_admission()
    async def test_draining_refuses_waiting_calls_and_lets_running_ones_end(self):
        """Guards against draining that starts new calls or cuts running ones."""
        slots = await self.fill_slots()
        waiting = await self.start_waiting()
        self.admission.start_draining()
        await self.check_code(waiting, ErrorCode.NO_BACKEND)
        await self.check_code(self.acquire_slot(), ErrorCode.NO_BACKEND)
        idle = asyncio.ensure_future(self.admission.wait_until_idle())
        for slot in slots:
            await asyncio.sleep(0)
            self.assertFalse(idle.done())
            self.admission.release(slot, failed=False)
        await idle

    @with_admission()
    async def test_fast_failures_do_not_shorten_the_service_time(self):
        """Guards against a server that attracts calls by failing them fast."""
        for slot in await self.fill_slots():
            self.admission.release(slot, failed=True)
        self.assertAlmostEqual(self.admission.load().service_time, 0.1)

    @parameterized.expand([("measured slow once", True), ("never measured", False)])
    @with_admission()
    async def test_class_is_not_refused_for_ever(self, _name, measured):
        """Guards against a class that is refused and so never measured again."""
        # All slots are taken, so the class can be measured again only if one of its
        # calls may wait.
        if measured:
            slot = await self.acquire_slot(class_name="quotes")
            self.clock.advance(1.0)
            self.admission.release(slot, failed=False)
        slots = await self.fill_slots(service_time=0.5)
        call = {"priority": CRITICAL, "class_name": "quotes", "within": 0.4}
        for _ in range(1000):
            waiting = await self.start_waiting(**call)
            await asyncio.sleep(0.05)
            self.admission.release(slots.pop(0), failed=True)
            await asyncio.sleep(0)
            if waiting.exception() is None:
                return
            slots.append(await self.acquire_slot())
        self.fail("refused a thousand times")

    @with_admission()
    async def test_slot_granted_to_a_cancelled_call_is_returned(self):
        """Guards against leaking a slot granted just before a cancellation."""
        slots = await self.fill_slots()
        first, second = await self.start_waiting(), await self.start_waiting()
        self.admission.release(slots.pop(), failed=False)
        first.cancel()
        await second
        self.assertEqual(self.admission.load().in_use, 4)
