"""Stateful test of admission against a simple oracle."""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from almondrouter.clock import ManualClock
from almondrouter.coordination.admission import (
    MAX_QUEUED_PER_SLOT,
    PATIENCE_SHARE,
    USUAL_AGES,
    Admission,
)
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.state.registry import BackendRecord
from almondrouter.state.targets import Priority
from almondrouter_standins.virtual_time import VirtualTimeLoop

SLOTS = 3


class AdmissionMachine(RuleBasedStateMachine):
    """Compares who runs and who waits with a sorted list.

    No service time is measured here, as every release is a failure, so the age
    of running calls alone tells who is refused at once. A call waits half of
    its time.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.loop = VirtualTimeLoop(self.clock)
        self.admission = Admission(BackendRecord("a", "s", SLOTS), clock=self.clock)
        self.opened = self.clock.monotonic()
        self.waiting = []
        self.running = []
        self.refused = []
        self.count = 0

    def teardown(self):
        for _, task, _ in self.waiting:
            task.cancel()
        self.settle()
        self.loop.close()

    def settle(self):
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.run_until_complete(asyncio.sleep(0))

    def usable(self):
        age = self.clock.monotonic() - self.opened
        share = 0.25 + 0.75 * min(1.0, age / 10)
        return max(1, int(SLOTS * share + 1e-9))

    def promote(self):
        """Move to ``running`` whom the oracle would start."""
        now = self.clock.monotonic()
        self.refused += [t for _, t, end in self.waiting if end <= now]
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
        self.waiting.append((order, task, now + within * PATIENCE_SHARE))
        if self.would_wait() and self.is_hopeless(order, within):
            self.refused.append(self.waiting.pop()[1])
        fits = len(self.waiting) <= MAX_QUEUED_PER_SLOT * SLOTS
        if not fits and self.would_wait():
            self.shed(priority.rank)
        self.waiting.sort(key=lambda entry: entry[0])
        self.settle()
        self.promote()

    def would_wait(self):
        return len(self.waiting) > 1 or len(self.running) >= self.usable()

    def is_hopeless(self, order, within):
        """Tell whether the turns before a new call take longer than it has."""
        if not self.running:
            return False
        now = self.clock.monotonic()
        ages = [now - task.result().started_at for task in self.running]
        turn = sum(ages) / len(ages) / USUAL_AGES / self.usable()
        turns = sum(key <= order for key, _, _ in self.waiting)
        return turns * turn > within

    def shed(self, rank):
        """Drop the last of the lowest priority, the new call among equals."""
        newest, others = self.waiting[-1], sorted(self.waiting[:-1], key=lambda e: e[0])
        victim = newest if rank >= others[-1][0][0] else others[-1]
        self.waiting.remove(victim)
        self.refused.append(victim[1])

    @precondition(lambda self: self.running)
    @rule(index=st.integers(0, 8))
    def release(self, index):
        task = self.running.pop(index % len(self.running))
        self.admission.release(task.result(), failed=True)
        self.admission.release(task.result(), failed=True)
        self.promote()
        self.settle()

    @precondition(lambda self: self.waiting)
    @rule(index=st.integers(0, 8))
    def cancel(self, index):
        self.waiting.pop(index % len(self.waiting))[1].cancel()
        self.settle()

    @precondition(lambda self: self.waiting and self.running)
    @rule()
    def cancel_just_granted(self):
        task = self.running.pop(0)
        self.admission.release(task.result(), failed=True)
        self.promote()
        if self.running and not self.running[-1].done():
            self.running.pop().cancel()
        self.settle()
        self.promote()
        self.settle()

    @rule(seconds=st.sampled_from([0.1, 0.7, 1.5, 4.0]))
    def advance(self, seconds):
        end = self.clock.monotonic() + seconds
        # The oracle visits each deadline and each opening of the ramp in turn.
        openings = [self.opened + 10 * x for x in (5 / 9, 1.0)]
        times = sorted({*openings, *(until for _, _, until in self.waiting), end})
        for time in times:
            if self.clock.monotonic() < time <= end:
                self.loop.run_until_complete(
                    asyncio.sleep(time - self.clock.monotonic() + 1e-6)
                )
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
        for task in self.refused:
            assert isinstance(task.exception(), AlmondError)
            assert task.exception().code in (
                ErrorCode.OVERLOADED,
                ErrorCode.DEADLINE_EXCEEDED,
            )


class AdmissionModelTest(AdmissionMachine.TestCase):
    """Guards against too many running, lost wake-ups, leaks and wrong order."""

    settings = settings(
        derandomize=True,
        deadline=None,
        database=None,
        max_examples=150,
        stateful_step_count=40,
    )
