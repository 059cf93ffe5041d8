"""Tests of admission: slots, queue, refusals, ramp and drain."""

import asyncio
import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.admission import MAX_QUEUED_PER_SLOT, Admission
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.state.registry import BackendRecord
from almondrouter.state.targets import Priority
from almondrouter_standins.virtual_time import run_virtual

CRITICAL, NORMAL, DEFERRABLE = Priority


def run_warm(scenario, *, slots=4, seconds=10.0):
    """Run ``scenario(admission, clock)`` on a backend server of some age."""

    async def main():
        admission = Admission(BackendRecord("a-1", "accounts", slots), clock=clock)
        clock.advance(seconds)
        await scenario(admission, clock)

    clock = ManualClock()
    run_virtual(main(), clock)


async def fill(admission, clock, *, count=4, service_time=0.1):
    """Measure a service time, then take every slot; return the slots."""
    slots = [await take(admission, clock) for _ in range(count)]
    clock.advance(service_time)
    for slot in slots:
        admission.release(slot, failed=False)
    return [await take(admission, clock) for _ in range(count)]


def take(admission, clock, *, priority=NORMAL, within=10.0):
    """Return the coroutine of one acquire."""
    return admission.acquire(priority=priority, deadline=clock.monotonic() + within)


def queue(admission, clock, **options):
    """Return a task that waits for a slot."""
    return asyncio.ensure_future(take(admission, clock, **options))


async def find_code(awaitable):
    """Return the code that an awaitable fails with, or None."""
    try:
        await awaitable
    except AlmondError as error:
        return error.code
    return None


class AdmissionTest(unittest.TestCase):
    """A backend server must not run more, later or less than was decided."""

    @parameterized.expand(
        [(0.0, 2), (1.0, 2), (3.4, 4), (5.0, 5), (9.9, 8), (10.0, 9), (99.0, 9)]
    )
    def test_ramp_opens_slots(self, age, slots):
        async def scenario(admission, clock):
            self.assertEqual(admission.load().slots, slots)

        run_warm(scenario, slots=9, seconds=age)

    def test_ramp_wakes_a_waiting_call_without_a_release(self):
        async def scenario(admission, clock):
            await take(admission, clock)
            await take(admission, clock, within=8.0)
            self.assertAlmostEqual(clock.monotonic(), 1000 + 10 / 3, places=6)

        run_warm(scenario, seconds=0.0)

    @parameterized.expand(
        [
            ("passed", -0.01, False, ErrorCode.DEADLINE_EXCEEDED),
            ("free slot", 0.01, False, None),
            # Wait of a turn (0.025 s) and a service time of 0.1 s.
            ("too short to wait", 0.12, True, ErrorCode.DEADLINE_EXCEEDED),
            ("long enough to wait", 0.13, True, None),
        ]
    )
    def test_deadline_refuses_at_once(self, _name, within, full, code):
        async def scenario(admission, clock):
            slots = await fill(admission, clock)
            if not full:
                admission.release(slots.pop(), failed=True)
            waiting = queue(admission, clock, within=within)
            await asyncio.sleep(0)
            self.assertEqual(waiting.done(), code is not None or not full)
            admission.release(slots.pop(), failed=True)
            self.assertEqual(await find_code(waiting), code)

        run_warm(scenario)

    def test_waiting_call_is_refused_while_another_server_has_time(self):
        async def scenario(admission, clock):
            await fill(admission, clock)
            before = clock.monotonic()
            code = await find_code(take(admission, clock, within=0.5))
            self.assertEqual(code, ErrorCode.OVERLOADED)
            # Half of what is left after the service time of 0.1 s.
            self.assertAlmostEqual(clock.monotonic(), before + 0.2)
            self.assertEqual(admission.load().queued, 0)

        run_warm(scenario)

    def test_hanging_calls_lengthen_the_service_time(self):
        async def scenario(admission, clock):
            await fill(admission, clock)
            for age, expected in ((0.1, 0.1), (0.2, 0.1), (10.0, 5.0)):
                await asyncio.sleep(1000 + 0.1 + age - clock.monotonic() + 10)
                self.assertAlmostEqual(admission.load().service_time, expected)

        run_warm(scenario)

    @parameterized.expand(
        [
            ("critical", CRITICAL, DEFERRABLE),
            ("normal", NORMAL, DEFERRABLE),
            ("deferrable", DEFERRABLE, None),
        ]
    )
    def test_full_queue_sheds_the_lowest_priority(self, _name, priority, shed):
        async def scenario(admission, clock):
            await fill(admission, clock)
            waiting = [
                queue(admission, clock, priority=DEFERRABLE if i % 2 else NORMAL)
                for i in range(MAX_QUEUED_PER_SLOT * 4)
            ]
            await asyncio.sleep(0)
            latest = queue(admission, clock, priority=priority)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            refused = [task for task in [*waiting, latest] if task.done()]
            expected = latest if shed is None else waiting[-1]
            self.assertEqual(refused, [expected])
            self.assertEqual(await find_code(expected), ErrorCode.OVERLOADED)

        run_warm(scenario)

    def test_load_tells_who_waits(self):
        async def scenario(admission, clock):
            await fill(admission, clock)
            for priority in (DEFERRABLE, CRITICAL, DEFERRABLE):
                queue(admission, clock, priority=priority)
            await asyncio.sleep(0)
            load = admission.load()
            self.assertEqual((load.queued, load.queued_by_rank), (3, (1, 0, 2)))

        run_warm(scenario)

    def test_draining_refuses_waiting_calls_and_lets_running_ones_end(self):
        async def scenario(admission, clock):
            slots = await fill(admission, clock)
            waiting = queue(admission, clock)
            await asyncio.sleep(0)
            admission.start_draining()
            self.assertEqual(await find_code(waiting), ErrorCode.NO_BACKEND)
            code = await find_code(take(admission, clock))
            self.assertEqual(code, ErrorCode.NO_BACKEND)
            idle = asyncio.ensure_future(admission.wait_until_idle())
            for slot in slots:
                self.assertFalse(idle.done())
                admission.release(slot, failed=False)
            await idle

        run_warm(scenario)

    def test_fast_failures_do_not_shorten_the_service_time(self):
        async def scenario(admission, clock):
            for slot in await fill(admission, clock):
                admission.release(slot, failed=True)
            self.assertAlmostEqual(admission.load().service_time, 0.1)

        run_warm(scenario)

    @parameterized.expand([("measured slow once", True), ("never measured", False)])
    def test_class_is_not_refused_for_ever(self, _name, measured):
        # On a busy server only calls that wait can show how long they take now.
        async def scenario(admission, clock):
            call = {"priority": CRITICAL, "class_name": "quotes"}
            if measured:
                slot = await admission.acquire(deadline=clock.monotonic() + 1, **call)
                clock.advance(1.0)
                admission.release(slot, failed=False)
            slots = await fill(admission, clock, service_time=0.5)
            refused = 0
            while True:
                waiting = asyncio.ensure_future(
                    admission.acquire(deadline=clock.monotonic() + 0.4, **call)
                )
                await asyncio.sleep(0.05)
                admission.release(slots.pop(0), failed=True)
                if await find_code(waiting) is None:
                    break
                refused += 1
                self.assertLess(refused, 1000)
                slots.append(await take(admission, clock))

        run_warm(scenario)

    def test_slot_granted_to_a_cancelled_call_is_returned(self):
        async def scenario(admission, clock):
            slots = await fill(admission, clock)
            first, second = queue(admission, clock), queue(admission, clock)
            await asyncio.sleep(0)
            admission.release(slots.pop(), failed=False)
            first.cancel()
            await second
            self.assertEqual(admission.load().in_use, 4)

        run_warm(scenario)
