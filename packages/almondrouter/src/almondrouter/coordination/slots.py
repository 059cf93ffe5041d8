"""Priority queue for the slots of a backend server, with load shedding.

Designed for bursts of a few seconds in which more requests arrive than the slots can
run, with several ranks and with nested requests that running requests depend on.
Requests that cannot be answered in time are refused on arrival, while another backend
server can still serve them; the others wait in order of rank.

Used by the daemon for hosting platforms. The daemon for clusters with an etcd store
uses `almondrouter.coordination.admission`.
"""

from __future__ import annotations

import asyncio
import bisect
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from almondrouter.clock import Clock
from almondrouter.coordination.concurrency import RunTimeFactor, UsableSlots
from almondrouter.coordination.spillover import DemandMeter
from almondrouter.coordination.tenants.turns import TenantTurns
from almondrouter.coordination.waitestimates import MovingAverage, OvertakingFactor
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import CallRequest, LinkRequest, Load
from almondrouter.protocol.dialect import BackendLoad
from almondrouter.protocol.outcomes import CallError

DEFAULT_SERVICE_TIME_S = 0.05
"""Service time in seconds that is assumed before the first measurement."""
NESTED_RESERVE_SHARE = 0.1
"""Share of the slots that is reserved for nested requests: at least one slot, unless
there is only one."""
NESTED_RESERVE_S = 3.0
"""Seconds for which slots stay reserved after the last nested request arrived."""
RUN_TIME_MARGIN = 1.5
"""Factor on the mean run time when a request is checked against its time limit; many
run times exceed the mean."""
MAX_FACTORS = 1_000
"""Overtaking factors that are kept, by rank and tenant; a few seconds renew them."""
MAX_MARGIN_SHARE = 0.8
"""Share of the time until which a response is useful that the run time with its margin
takes at most. On hosts three times as slow as usual and at 1.8 times their capacity,
requests of 0.65 s with a target of 0.91 s were on time for 0.41 without this limit, and
less urgent ones of 0.45 s with a target of 0.70 s for 0.52; with it for 0.73 and
0.31."""
MAX_RANK = 9
"""Largest rank number in load reports; less urgent ranks are counted under it."""


@dataclass(slots=True, eq=False)
class Grant:
    """A slot that is held by one request.

    Parameters
    ----------
    class_name
        Class of the request, whose service time the run measures.
    started_at
        Monotonic seconds at which the slot was granted.
    level
        Number of slots in use since then, including this one.
    """

    class_name: str
    started_at: float
    level: int = 1


@dataclass(slots=True, eq=False)
class _Waiter:
    """A request that waits for a slot.

    Parameters
    ----------
    order
        Position key: queue rank, time until which a response is useful, and arrival
        number.
    expected_wait
        Seconds until a slot was expected on arrival, without later overtaking.
    """

    order: tuple[int, float, int]
    request: CallRequest
    granted: asyncio.Future[Grant]
    enqueued_at: float
    expected_wait: float
    expiry: asyncio.TimerHandle | None = None


class SlotQueue:
    """Grants the slots of one backend server to requests in order of rank.

    Parameters
    ----------
    slots
        Number of requests that the backend server runs concurrently.
    clock
        Clock that the deadlines of requests refer to.
    find_rate
        Returns the declared rate of a tenant, 0 for none. Among waiting requests of
        one rank, tenants take turns in proportion to their rates or usual loads.
    """

    def __init__(
        self,
        slots: int,
        *,
        clock: Clock,
        find_rate: Callable[[str], float] = lambda tenant: 0.0,
    ) -> None:
        self._turns = TenantTurns(find_rate)
        self.usable = UsableSlots(slots, clock=clock)
        self.run_time_factor = RunTimeFactor(clock)
        self.demand = DemandMeter(clock)
        self._clock = clock
        self._running: set[Grant] = set()
        self._abandoned: dict[Grant, asyncio.TimerHandle] = {}
        self._queue: list[_Waiter] = []
        self._sequence = itertools.count()
        self._service_time = MovingAverage()
        self._class_service_times: dict[str, MovingAverage] = {}
        self._overtaking: dict[tuple[int, str], OvertakingFactor] = {}
        self._nested_until = 0.0
        self.counts: Counter[str] = Counter()

    @property
    def slots(self) -> int:
        """Number of requests that the backend server takes at once at the moment."""
        return self.usable.limit

    @property
    def is_idle(self) -> bool:
        """Whether no request runs or waits."""
        return not self._running and not self._queue

    async def acquire(self, request: CallRequest) -> Grant:
        """Wait for a slot.

        Raises
        ------
        CallError
            ``overloaded`` if no response can be expected in time,
            ``busier_than_expected`` if the expected wait exceeds the sender's
            ``max_wait``, ``deadline_exceeded`` if the deadline has passed. In all
            cases the request was not run.
        """
        now = self._clock.monotonic()
        if now >= request.deadline:
            raise CallError(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed before the request was queued",
            )
        run_time = self.estimate_run_time(request.class_name)
        self.demand.record(request.demand_weight, run_time)
        if request.nested:
            self._nested_until = now + NESTED_RESERVE_S
        if request.tenant:
            self._turns.record_arrival(request.tenant, now)
        if self._has_free_slot(request, now) and not self._has_waiter_ahead(request):
            return self._grant_slot(request, now)
        waiter = self._enqueue(request, now)
        try:
            return await waiter.granted
        except asyncio.CancelledError:
            self._remove_waiter(waiter)
            granted = waiter.granted
            # The slot may have been granted just before the cancellation.
            if granted.done() and not granted.cancelled() and not granted.exception():
                self.release(granted.result(), measured=False)
            raise

    def release(self, grant: Grant, *, measured: bool) -> None:
        """Release a slot; a second release of the same slot has no effect.

        Parameters
        ----------
        measured
            Whether the time since the grant counts as a service time; false for
            requests that did not run or failed.
        """
        if grant not in self._running:
            return
        self._running.remove(grant)
        now = self._clock.monotonic()
        if measured:
            seconds = (now - grant.started_at) / self.run_time_factor.value
            self._service_time.add(seconds)
            self._class_service_times.setdefault(grant.class_name, MovingAverage()).add(
                seconds
            )
        self._grant_waiting(now)

    def abandon(self, grant: Grant) -> None:
        """Release a slot when the run of a request without a caller should have ended.

        Notes
        -----
        The backend server may run on when the connection of a request is closed. If
        the run time of the class has never been measured, the slot is released at once.
        """
        known = grant.class_name in self._class_service_times
        expected = self.estimate_run_time(grant.class_name) if known else 0.0
        expected *= RUN_TIME_MARGIN
        left = grant.started_at + expected - self._clock.monotonic()
        if left <= 0 or grant not in self._running:
            self.release(grant, measured=False)
            return
        self.counts["abandoned"] += 1
        loop = asyncio.get_running_loop()
        self._abandoned[grant] = loop.call_later(left, self._end_abandoned, grant)

    def _end_abandoned(self, grant: Grant) -> None:
        self._abandoned.pop(grant).cancel()
        self.release(grant, measured=False)

    def apply_report(self, report: BackendLoad) -> None:
        """Apply the load that the backend server reports with a response.

        Notes
        -----
        If it reports no more requests than those that have a caller, it has stopped
        the abandoned ones. The request of this response still counts as running here,
        but not in the report.
        """
        self.usable.record_report(report)
        if report.run_time_factor is not None:
            self.run_time_factor.record(report.run_time_factor)
        active = len(self._running) - len(self._abandoned) - 1
        surplus = max(0, report.running + report.waiting - active)
        while len(self._abandoned) > surplus:
            self._end_abandoned(next(iter(self._abandoned)))

    def load(self) -> Load:
        """Return the current load; it is exact, not sampled."""
        ranks = Counter(min(get_load_rank(w.request), MAX_RANK) for w in self._queue)
        depth = max(ranks, default=-1) + 1
        return Load(
            slots=self.slots,
            in_use=len(self._running),
            queued=len(self._queue),
            service_time=self._service_time.value * self.run_time_factor.value,
            queued_by_rank=tuple(ranks[rank] for rank in range(depth)),
            run_time_factor=self.run_time_factor.value,
            demand=self.demand.slots_wanted,
        )

    def refuse_waiting(self, code: ErrorCode, message: str) -> None:
        """Refuse all waiting requests."""
        for waiter in tuple(self._queue):
            self._refuse_waiter(waiter, code, message)

    def withdraw(self, request: LinkRequest) -> bool:
        """Refuse a request because its sender withdraws it.

        Returns
        -------
        bool
            Whether the request was waiting. If so, it has not run and will not run.
        """
        for waiter in self._queue:
            if waiter.request is request:
                message = "the sender withdrew the request while it waited"
                self._refuse_waiter(waiter, ErrorCode.CALL_CANCELLED, message)
                return True
        return False

    def estimate_run_time(self, class_name: str) -> float:
        """Return the expected run time of a request of a class in seconds."""
        average = self._class_service_times.get(class_name, self._service_time)
        usual = average.value or DEFAULT_SERVICE_TIME_S
        return usual * self.run_time_factor.value

    def _find_needed_run_time(self, request: CallRequest, time_left: float) -> float:
        """Return the seconds to leave for the run of a request that waits.

        Notes
        -----
        On a slow host the margin would take all the time of a long request, which is
        then refused behind shorter ones that are less urgent.
        """
        expected = self.estimate_run_time(request.class_name)
        most = max(expected, MAX_MARGIN_SHARE * time_left)
        return min(expected * RUN_TIME_MARGIN, most)

    def _get_release_interval(self) -> float:
        """Return the mean seconds between two releases when all slots are in use."""
        usual = self._service_time.value or DEFAULT_SERVICE_TIME_S
        return usual * self.run_time_factor.value / self.slots

    def _has_free_slot(self, request: CallRequest, now: float) -> bool:
        usable = self.slots
        if not request.nested and now < self._nested_until:
            usable -= max(1, int(self.slots * NESTED_RESERVE_SHARE))
        return len(self._running) < max(1, usable)

    def _has_waiter_ahead(self, request: CallRequest) -> bool:
        return bool(self._queue) and self._queue[0].order[0] <= get_queue_rank(request)

    def _grant_slot(self, request: CallRequest, now: float) -> Grant:
        grant = Grant(request.class_name, now, len(self._running) + 1)
        self._running.add(grant)
        if request.tenant:
            seconds = self.estimate_run_time(request.class_name)
            self._turns.record(request.tenant, seconds)
        return grant

    def _enqueue(self, request: CallRequest, now: float) -> _Waiter:
        useful_until = request.useful_until or request.deadline
        order = (get_queue_rank(request), useful_until, next(self._sequence))
        position = bisect.bisect(self._queue, order, key=lambda waiter: waiter.order)
        run_time = self._find_needed_run_time(request, useful_until - now)
        ahead = self._count_ahead(order, request, position)
        wait = (ahead + 1) * self._get_release_interval()
        if 0 <= request.max_wait < wait:
            self.counts["busier_than_expected"] += 1
            message = "the expected wait exceeds the limit of the sender"
            raise CallError(ErrorCode.BUSIER_THAN_EXPECTED, message)
        factor = self._get_overtaking_factor(request).decayed_factor(now)
        if now + wait * factor + run_time > useful_until:
            self.counts["refused_on_arrival"] += 1
            raise self._make_refusal("no response can be expected in time")
        loop = asyncio.get_running_loop()
        waiter = _Waiter(order, request, loop.create_future(), now, wait)
        self._queue.insert(position, waiter)
        slack = max(0.0, useful_until - run_time - now)
        waiter.expiry = loop.call_later(slack, self._refuse_expired, waiter)
        return waiter

    def _count_ahead(
        self, order: tuple[int, float, int], request: CallRequest, position: int
    ) -> int:
        """Return how many waiting requests are served before a new one."""
        others: Counter[str] = Counter()
        own, urgent = 0, 0
        for waiter in self._queue:
            if waiter.order[0] < order[0]:
                urgent += 1
            elif waiter.order[0] > order[0]:
                break
            elif waiter.request.tenant != request.tenant:
                others[waiter.request.tenant] += 1
            else:
                own += waiter.order < order
        if not others:
            return position
        seconds = self.estimate_run_time(request.class_name)
        return urgent + self._turns.count_ahead(request.tenant, own, others, seconds)

    def _find_next(self) -> _Waiter:
        """Return the request to serve next: of the first rank, tenants in turn."""
        first = self._queue[0]
        heads: dict[str, _Waiter] = {}
        for waiter in self._queue:
            if waiter.order[0] != first.order[0]:
                break
            heads.setdefault(waiter.request.tenant, waiter)
        return heads[self._turns.choose(heads)] if len(heads) > 1 else first

    def _refuse_expired(self, waiter: _Waiter) -> None:
        """Refuse a request that can no longer be answered in time."""
        self.counts["refused_waiting"] += 1
        self._record_wait(waiter, self._clock.monotonic())
        self._refuse_waiter(waiter, ErrorCode.OVERLOADED, "no slot became free in time")

    def _grant_waiting(self, now: float) -> None:
        while self._queue and self._has_free_slot(self._queue[0].request, now):
            waiter = self._find_next()
            self._remove_waiter(waiter)
            self._record_wait(waiter, now)
            if not waiter.granted.done():
                waiter.granted.set_result(self._grant_slot(waiter.request, now))

    def _record_wait(self, waiter: _Waiter, now: float) -> None:
        waited = now - waiter.enqueued_at
        factor = self._get_overtaking_factor(waiter.request)
        factor.record(waited / waiter.expected_wait, now)

    def _get_overtaking_factor(self, request: CallRequest) -> OvertakingFactor:
        key = (get_queue_rank(request), request.tenant)
        if key not in self._overtaking and len(self._overtaking) >= MAX_FACTORS:
            self._overtaking.clear()
        return self._overtaking.setdefault(key, OvertakingFactor())

    def _refuse_waiter(self, waiter: _Waiter, code: ErrorCode, message: str) -> None:
        self._remove_waiter(waiter)
        if not waiter.granted.done():
            waiter.granted.set_exception(CallError(code, message))

    def _remove_waiter(self, waiter: _Waiter) -> None:
        if waiter.expiry is not None:
            waiter.expiry.cancel()
        if waiter in self._queue:
            self._queue.remove(waiter)

    def _make_refusal(self, message: str) -> CallError:
        return CallError(ErrorCode.OVERLOADED, message)


def get_queue_rank(request: CallRequest) -> int:
    """Return the rank in the queue.

    Nested requests precede all others. Overdue ones follow those of their rank that can
    still be on time, and precede less urgent ones.
    """
    return -1 if request.nested else 2 * request.rank + request.overdue


def get_load_rank(request: CallRequest) -> int:
    """Return the least urgent rank of new requests that wait behind a queued one."""
    return request.rank + request.overdue
