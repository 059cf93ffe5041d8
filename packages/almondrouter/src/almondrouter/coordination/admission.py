"""Admission control of a backend server: concurrency limit and priority queue.

Used by the daemon for clusters with an etcd store. The daemon for hosting platforms
uses `almondrouter.coordination.slots`.
"""

from __future__ import annotations

import asyncio
import bisect
import itertools
import math
from dataclasses import dataclass

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.calls import Load
from almondrouter.state.registry import BackendRecord
from almondrouter.state.targets import Priority

# Slow start: a new backend server begins with a share of its slots, which then grows
# linearly to all of them.
RAMP_SECONDS = 10.0
RAMP_START_SHARE = 0.25
# Bounds the backlog to four service times; longer queues mostly hold calls that would
# be refused later.
MAX_QUEUED_PER_SLOT = 4
# Weight of the newest service time; about 20 calls dominate the average.
SERVICE_TIME_WEIGHT = 0.1
# A class that is refused for its service time is not measured any more. Its service
# time must decay, or the class would be refused for ever.
CLASS_TIME_HALF_LIFE_SECONDS = 10.0
# Multiple of the service time that the mean age of running calls may reach before it
# raises the estimated service time. With exponentially distributed service times the
# mean age is one service time, and rarely reaches two.
RUNNING_AGE_FACTOR = 2.0
# Share of its slack that a call may wait; the slack is the time until its deadline less
# its service time. The rest is for an attempt at another backend server; without it,
# calls to a hung server would be refused too late.
MAX_WAIT_SHARE = 0.5
# Floating-point rounding must not hide a slot that the ramp has just opened.
_ROUNDING_TOLERANCE = 1e-9


@dataclass(slots=True, eq=False)
class Slot:
    """A slot of the backend server that is held by one call.

    Parameters
    ----------
    class_name
        Class of work that the call belongs to.
    started_at
        Monotonic seconds at which the slot was granted.
    """

    class_name: str
    started_at: float


@dataclass(slots=True, eq=False)
class _Waiter:
    rank: int
    deadline: float
    sequence: int
    class_name: str
    granted: asyncio.Future[Slot]
    expiry: asyncio.TimerHandle | None = None

    def order(self) -> tuple[int, float, int]:
        return (self.rank, self.deadline, self.sequence)


class Admission:
    """Limits the calls that a backend server runs concurrently, and queues the rest.

    Waiting calls are ordered by priority, then by deadline. A call that cannot meet
    its deadline by the measured service times is refused at once, so that it can be
    sent to another backend server. A refused call was not run.

    Parameters
    ----------
    backend
        The backend server; its usable slots grow over `RAMP_SECONDS`.
    clock
        Clock that deadlines refer to.
    """

    def __init__(self, backend: BackendRecord, *, clock: Clock) -> None:
        self.backend = backend
        self._clock = clock
        self._opened_at = clock.monotonic()
        self._running: set[Slot] = set()
        self._queue: list[_Waiter] = []
        self._sequence = itertools.count()
        self._service_time = _MovingAverage()
        self._class_times: dict[str, _MovingAverage] = {}
        self._draining = False
        self._idle = asyncio.Event()
        self._idle.set()
        self._ramp_timer: asyncio.TimerHandle | None = None

    async def acquire(
        self, *, priority: Priority, deadline: float, class_name: str = ""
    ) -> Slot:
        """Wait for a slot.

        Parameters
        ----------
        priority
            Priority of the call's class.
        deadline
            Monotonic seconds by which the call is to be answered.
        class_name
            Class whose measured service time is the expected run time.

        Raises
        ------
        AlmondError
            ``overloaded`` if the queue is full or no slot became free in time,
            ``deadline_exceeded`` if the call cannot be answered in time,
            ``no_backend`` while draining. In all cases the call was not run.
        """
        now = self._clock.monotonic()
        self._admit_waiting(now)
        if self._draining:
            raise _make_refusal(ErrorCode.NO_BACKEND, "the backend server is draining")
        if now >= deadline:
            raise _make_refusal(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed before the call was queued",
            )
        if not self._queue and len(self._running) < self._usable_slots(now):
            return self._grant_slot(class_name, now)
        waiter = _Waiter(
            rank=priority.rank,
            deadline=deadline,
            sequence=next(self._sequence),
            class_name=class_name,
            granted=asyncio.get_running_loop().create_future(),
        )
        self._enqueue(waiter, now)
        return await self._wait_for_slot(waiter)

    def release(self, slot: Slot, *, failed: bool) -> None:
        """Release a slot; a second release of the same slot has no effect.

        Parameters
        ----------
        failed
            Whether the call failed. A failed call counts for the service time only
            if it took longer than the average; a fast failure says nothing about
            how long calls run.
        """
        if slot not in self._running:
            return
        self._running.remove(slot)
        now = self._clock.monotonic()
        self._record_service_time(slot, now - slot.started_at, failed=failed)
        self._admit_waiting(now)
        if not self._running:
            self._idle.set()

    def load(self) -> Load:
        """Return the current load; it is exact, not sampled."""
        now = self._clock.monotonic()
        ranks = [waiter.rank for waiter in self._queue]
        return Load(
            slots=self._usable_slots(now),
            in_use=len(self._running),
            queued=len(self._queue),
            service_time=self._estimate_service_time(now),
            queued_by_rank=tuple(ranks.count(priority.rank) for priority in Priority),
        )

    def start_draining(self) -> None:
        """Refuse new and waiting calls; running calls may complete."""
        self._draining = True
        for waiter in tuple(self._queue):
            self._refuse_waiter(
                waiter, ErrorCode.NO_BACKEND, "the backend server is draining"
            )

    async def wait_until_idle(self) -> None:
        """Return when no call is running."""
        await self._idle.wait()

    def _usable_slots(self, now: float) -> int:
        elapsed = min(1.0, (now - self._opened_at) / RAMP_SECONDS)
        share = RAMP_START_SHARE + (1 - RAMP_START_SHARE) * elapsed
        return max(1, math.floor(self.backend.slots * share + _ROUNDING_TOLERANCE))

    def _grant_slot(self, class_name: str, now: float) -> Slot:
        slot = Slot(class_name, now)
        self._running.add(slot)
        self._idle.clear()
        return slot

    def _enqueue(self, waiter: _Waiter, now: float) -> None:
        position = bisect.bisect(self._queue, waiter.order(), key=_Waiter.order)
        # Mean seconds between two releases when all slots are in use.
        release_interval = self._estimate_service_time(now) / self._usable_slots(now)
        needed = (position + 1) * release_interval + self._get_class_time(
            waiter.class_name, now
        )
        if now + needed > waiter.deadline:
            raise _make_refusal(
                ErrorCode.DEADLINE_EXCEEDED,
                f"the expected response time of {needed:.3f} s exceeds the time left",
            )
        if len(self._queue) >= MAX_QUEUED_PER_SLOT * self.backend.slots:
            self._shed_lowest_priority(waiter)
        self._queue.insert(position, waiter)
        loop = asyncio.get_running_loop()
        slack = waiter.deadline - self._get_class_time(waiter.class_name, now) - now
        waiter.expiry = loop.call_later(
            slack * MAX_WAIT_SHARE,
            self._refuse_waiter,
            waiter,
            ErrorCode.OVERLOADED,
            "no slot became free in time",
        )
        self._schedule_ramp(now)

    def _shed_lowest_priority(self, waiter: _Waiter) -> None:
        """Refuse the waiting call of the lowest priority, or the new call."""
        last = self._queue[-1]
        if waiter.rank >= last.rank:
            raise _make_refusal(ErrorCode.OVERLOADED, "the queue is full")
        self._refuse_waiter(
            last,
            ErrorCode.OVERLOADED,
            "displaced from the full queue by a call of higher priority",
        )

    def _get_next_waiter(self) -> _Waiter:
        """Return the waiting call that is granted the next slot."""
        return self._queue[0]

    async def _wait_for_slot(self, waiter: _Waiter) -> Slot:
        try:
            return await waiter.granted
        except asyncio.CancelledError:
            self._remove_waiter(waiter)
            # The slot may have been granted just before the cancellation.
            if waiter.granted.done() and not waiter.granted.cancelled():
                self._release_granted(waiter.granted)
            raise

    def _release_granted(self, granted: asyncio.Future[Slot]) -> None:
        if granted.exception() is None:
            self.release(granted.result(), failed=True)

    def _admit_waiting(self, now: float) -> None:
        usable = self._usable_slots(now)
        while self._queue and len(self._running) < usable:
            waiter = self._get_next_waiter()
            if now + self._get_class_time(waiter.class_name, now) > waiter.deadline:
                self._refuse_waiter(
                    waiter,
                    ErrorCode.DEADLINE_EXCEEDED,
                    "the expected run time exceeds the time left",
                )
                continue
            self._remove_waiter(waiter)
            waiter.granted.set_result(self._grant_slot(waiter.class_name, now))
        self._schedule_ramp(now)

    def _refuse_waiter(self, waiter: _Waiter, code: ErrorCode, message: str) -> None:
        self._remove_waiter(waiter)
        if not waiter.granted.done():
            waiter.granted.set_exception(_make_refusal(code, message))

    def _remove_waiter(self, waiter: _Waiter) -> None:
        if waiter.expiry is not None:
            waiter.expiry.cancel()
        position = bisect.bisect_left(self._queue, waiter.order(), key=_Waiter.order)
        if position < len(self._queue) and self._queue[position] is waiter:
            del self._queue[position]

    def _schedule_ramp(self, now: float) -> None:
        """Set a timer that admits waiting calls when the ramp opens the next slot."""
        usable = self._usable_slots(now)
        if self._ramp_timer is not None or not self._queue:
            return
        if usable >= self.backend.slots:
            return
        share = ((usable + 1) / self.backend.slots - RAMP_START_SHARE) / (
            1 - RAMP_START_SHARE
        )
        delay = self._opened_at + share * RAMP_SECONDS - now
        loop = asyncio.get_running_loop()
        self._ramp_timer = loop.call_later(max(0.0, delay), self._admit_after_ramp_step)

    def _admit_after_ramp_step(self) -> None:
        self._ramp_timer = None
        self._admit_waiting(self._clock.monotonic())

    def _estimate_service_time(self, now: float) -> float:
        """Return the average service time, or more if running calls take longer.

        A hung backend server completes no calls whose service time could be measured,
        so the age of its running calls is used.
        """
        if not self._running:
            return self._service_time.value
        age = now - sum(slot.started_at for slot in self._running) / len(self._running)
        return max(self._service_time.value, age / RUNNING_AGE_FACTOR)

    def _get_class_time(self, class_name: str, now: float) -> float:
        """Return the service time of a class; it decays to 0 without measurements."""
        average = self._class_times.get(class_name)
        if average is None:
            return 0.0
        age = now - average.updated_at
        return average.value * 0.5 ** (age / CLASS_TIME_HALF_LIFE_SECONDS)

    def _record_service_time(self, slot: Slot, seconds: float, *, failed: bool) -> None:
        averages = (
            self._service_time,
            self._class_times.setdefault(slot.class_name, _MovingAverage()),
        )
        for average in averages:
            if not failed or seconds > average.value > 0:
                average.add(seconds, slot.started_at + seconds)


class _MovingAverage:
    """An exponentially weighted average that begins with its first value."""

    def __init__(self) -> None:
        self.value = 0.0
        self.updated_at = 0.0
        self._empty = True

    def add(self, value: float, now: float) -> None:
        weight = 1.0 if self._empty else SERVICE_TIME_WEIGHT
        self._empty = False
        self.updated_at = now
        self.value += weight * (value - self.value)


def _make_refusal(code: ErrorCode, message: str) -> AlmondError:
    return AlmondError(code, message)
