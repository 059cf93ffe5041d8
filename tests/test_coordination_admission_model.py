"""Stateful test of admission against a simple oracle."""

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


class AdmissionMachine(RuleBasedStateMachine):
    """Compares who runs and who waits with a sorted list.

    No service time is measured here, as every release is a failure, so the age
    of running calls alone tells who is refused at once. A call waits half of
    its time. ``waiting`` holds the order, the task and the end of its patience.
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
        self.settle()
        self.loop.close()

    def settle(self):
        for _ in range(2):
            self.loop.run_until_complete(asyncio.sleep(0))

    def usable(self):
        age = self.clock.monotonic() - self.opened
        return max(1, int(SLOTS * (0.25 + 0.75 * min(1.0, age / 10)) + 1e-9))

    def promote(self):
        """Move to ``running`` whom the oracle would start."""
        now = self.clock.monotonic()
        self.refused += [t for _, t, until in self.waiting if until <= now]
        self.waiting = [entry for entry in self.waiting if entry[2] > now]
        while self.waiting and len(self.running) < self.usable():
            self.running.append(self.waiting.pop(0)[1])

    @rule(priority=st.sampled_from(Priority), within=st.sampled_from([1, 2, 5, 30]))
    def arrive(self, priority, within):
        now = self.clock.monotonic()
        coroutine = self.admission.acquire(priority=priority, deadline=now + within)
        task = self.loop.create_task(coroutine)
        self.count += 1
        order = (priority.rank, now + within, self.count)
        entry = (order, task, now + within * module.MAX_WAIT_SHARE)
        waits = self.waiting or len(self.running) >= self.usable()
        if waits and self.is_hopeless(order, within):
            self.refused.append(task)
        else:
            self.waiting.append(entry)
        if waits and len(self.waiting) > module.MAX_QUEUED_PER_SLOT * SLOTS:
            self.shed(entry)
        self.waiting.sort(key=lambda item: item[0])
        self.settle()
        self.promote()

    def is_hopeless(self, order, within):
        """Tell whether the turns up to a new call take longer than it has."""
        if not self.running:
            return False
        now = self.clock.monotonic()
        ages = [now - task.result().started_at for task in self.running]
        turn = sum(ages) / len(ages) / module.RUNNING_AGE_FACTOR / self.usable()
        return (1 + sum(key < order for key, _, _ in self.waiting)) * turn > within

    def shed(self, newest):
        """Drop the last of the lowest priority, the new call among equals."""
        last = max(item for item in self.waiting if item is not newest)
        victim = newest if newest[0][0] >= last[0][0] else last
        self.waiting.remove(victim)
        self.refused.append(victim[1])

    @precondition(lambda self: self.running)
    @rule(index=INDEX, cancels=st.booleans())
    def release(self, index, cancels):
        """Release a slot twice; its next holder may be cancelled before it runs."""
        task = self.running.pop(index % len(self.running))
        for _ in range(2):
            self.admission.release(task.result(), failed=True)
        self.promote()
        if cancels and self.running and not self.running[-1].done():
            self.running.pop().cancel()
            self.settle()
            self.promote()
        self.settle()

    @precondition(lambda self: self.waiting)
    @rule(index=INDEX)
    def cancel(self, index):
        self.waiting.pop(index % len(self.waiting))[1].cancel()
        self.settle()

    @rule(seconds=st.sampled_from([0.1, 0.7, 1.5, 4.0]))
    def advance(self, seconds):
        end = self.clock.monotonic() + seconds
        # The oracle visits each end of patience and each opening of the ramp.
        openings = [self.opened + 10 * x for x in (5 / 9, 1.0)]
        ends = [until for _, _, until in self.waiting]
        for time in sorted({*openings, *ends, end}):
            if self.clock.monotonic() < time <= end:
                wait = time - self.clock.monotonic() + 1e-6
                self.loop.run_until_complete(asyncio.sleep(wait))
                self.settle()
                self.promote()

    @invariant()
    def agrees(self):
        load = self.admission.load()
        assert load.slots == self.usable()
        assert load.in_use == len(self.running) <= load.slots
        assert load.queued == len(self.waiting)
        assert all(task.done() and not task.exception() for task in self.running)
        assert not any(task.done() for _, task, _ in self.waiting)
        assert all(task.exception().code in REFUSALS for task in self.refused)


class AdmissionModelTest(AdmissionMachine.TestCase):
    """Guards against too many running, lost wake-ups, leaks and wrong order."""

    settings = settings(
        derandomize=True, deadline=None, database=None, max_examples=150
    )
