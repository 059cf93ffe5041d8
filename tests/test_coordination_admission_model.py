"""Stateful test of `Admission` against a simple model."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from almondrouter.clock import ManualClock
from almondrouter.coordination import admission as module
from almondrouter.errors import ErrorCode
from almondrouter.state.registry import BackendRecord
from almondrouter.state.targets import Priority
from almondrouter_standins.virtual_time import VirtualTimeLoop

SLOTS = 3
REFUSALS = (ErrorCode.OVERLOADED, ErrorCode.DEADLINE_EXCEEDED)
INDEX = st.integers(0, 8)


class AdmissionModel(RuleBasedStateMachine):
    """Models the queue as a sorted list and compares running and waiting calls.

    Every release is a failure, so no service time is measured, and only the age of the
    running calls decides which calls are refused on arrival. A call waits at most
    `MAX_WAIT_SHARE` of the time until its deadline. ``waiting`` holds the order, the
    task and the time of the refusal.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.loop = VirtualTimeLoop(self.clock)
        record = BackendRecord("a", "s", SLOTS)
        self.admission = module.Admission(record, clock=self.clock)
        self.opened = self.clock.monotonic()
        self.waiting, self.running, self.refused = [], [], []
        self.count = 0

    def teardown(self):
        for _, task, _ in self.waiting:
            task.cancel()
        self.run_ready_tasks()
        self.loop.close()

    def run_ready_tasks(self):
        for _ in range(2):
            self.loop.run_until_complete(asyncio.sleep(0))

    def count_usable_slots(self):
        age = self.clock.monotonic() - self.opened
        return max(1, int(SLOTS * (0.25 + 0.75 * min(1.0, age / 10)) + 1e-9))

    def start_expected(self):
        """Move the calls that the model admits from ``waiting`` to ``running``."""
        now = self.clock.monotonic()
        self.refused += [t for _, t, refused_at in self.waiting if refused_at <= now]
        self.waiting = [entry for entry in self.waiting if entry[2] > now]
        while self.waiting and len(self.running) < self.count_usable_slots():
            self.running.append(self.waiting.pop(0)[1])

    @rule(priority=st.sampled_from(Priority), within=st.sampled_from([1, 2, 5, 30]))
    def arrive(self, priority, within):
        now = self.clock.monotonic()
        coroutine = self.admission.acquire(priority=priority, deadline=now + within)
        task = self.loop.create_task(coroutine)
        self.count += 1
        order = (priority.rank, now + within, self.count)
        entry = (order, task, now + within * module.MAX_WAIT_SHARE)
        must_wait = self.waiting or len(self.running) >= self.count_usable_slots()
        if must_wait and self.misses_deadline(order, within):
            self.refused.append(task)
        else:
            self.waiting.append(entry)
        if must_wait and len(self.waiting) > module.MAX_QUEUED_PER_SLOT * SLOTS:
            self.shed(entry)
        self.waiting.sort(key=lambda item: item[0])
        self.run_ready_tasks()
        self.start_expected()

    def misses_deadline(self, order, within):
        """Return whether a new call would get a slot only after its deadline."""
        if not self.running:
            return False
        now = self.clock.monotonic()
        ages = [now - task.result().started_at for task in self.running]
        release_interval = (
            sum(ages)
            / len(ages)
            / module.RUNNING_AGE_FACTOR
            / self.count_usable_slots()
        )
        return (
            1 + sum(key < order for key, _, _ in self.waiting)
        ) * release_interval > within

    def shed(self, newest):
        """Refuse the last call of the lowest priority; the new one among equals."""
        last = max(item for item in self.waiting if item is not newest)
        shed_entry = newest if newest[0][0] >= last[0][0] else last
        self.waiting.remove(shed_entry)
        self.refused.append(shed_entry[1])

    @precondition(lambda self: self.running)
    @rule(index=INDEX, cancels=st.booleans())
    def release(self, index, cancels):
        """Release a slot twice; optionally cancel the call that it was granted to."""
        task = self.running.pop(index % len(self.running))
        for _ in range(2):
            self.admission.release(task.result(), failed=True)
        self.start_expected()
        if cancels and self.running and not self.running[-1].done():
            self.running.pop().cancel()
            self.run_ready_tasks()
            self.start_expected()
        self.run_ready_tasks()

    @precondition(lambda self: self.waiting)
    @rule(index=INDEX)
    def cancel(self, index):
        self.waiting.pop(index % len(self.waiting))[1].cancel()
        self.run_ready_tasks()

    @rule(seconds=st.sampled_from([0.1, 0.7, 1.5, 4.0]))
    def advance(self, seconds):
        end = self.clock.monotonic() + seconds
        # Stops at each refusal time and at each slot that the ramp opens.
        openings = [self.opened + 10 * x for x in (5 / 9, 1.0)]
        ends = [refused_at for _, _, refused_at in self.waiting]
        for time in sorted({*openings, *ends, end}):
            if self.clock.monotonic() < time <= end:
                wait = time - self.clock.monotonic() + 1e-6
                self.loop.run_until_complete(asyncio.sleep(wait))
                self.run_ready_tasks()
                self.start_expected()

    @invariant()
    def agrees_with_model(self):
        load = self.admission.load()
        assert load.slots == self.count_usable_slots()
        assert load.in_use == len(self.running) <= load.slots
        assert load.queued == len(self.waiting)
        assert all(task.done() and not task.exception() for task in self.running)
        assert not any(task.done() for _, task, _ in self.waiting)
        assert all(task.exception().code in REFUSALS for task in self.refused)


class AdmissionModelTest(AdmissionModel.TestCase):
    """Guards against exceeded limits, lost wake-ups, leaked slots and wrong order."""

    settings = settings(
        derandomize=True, deadline=None, database=None, max_examples=150
    )
