"""Slices of rate limits, which a data centre's delegate holds and lends to daemons."""

from __future__ import annotations

import asyncio
import contextlib
import math
import uuid
from collections.abc import Callable, Hashable, Mapping
from dataclasses import dataclass, field
from typing import TypeVar

import xxhash

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import LoanReply, LoanRequest
from almondrouter.protocol.keys import StoreKeys
from almondrouter.transport.store import (
    CommitResult,
    Compare,
    Delete,
    Lease,
    Put,
    Store,
    Transaction,
)

# Number of slices into which each limit is divided.
SLICE_COUNT = 64
LEASE_TTL_S = 15
# Time since the last renewal after which the lease is renewed.
KEEP_ALIVE_AFTER_S = 3.0
RECONCILE_INTERVAL_S = 2.0
LOAN_DURATION_S = 3.0
# Length of the sliding window in which calls are counted. A rate that its borrower may
# have used is lent to another borrower only one window later, so that no window
# contains the calls of both.
WINDOW_S = 1.0
# The window of a limit below one call a second is the time between two calls, at most
# this value, which has to be shorter than a lease.
MAX_WINDOW_S = 10.0
# Time without a request after which the demand of a borrower is forgotten.
DEMAND_TTL_S = 4.0
# Equal demands that cannot all be met take turns of this length.
ROTATION_INTERVAL_S = 10.0
_NO_LOAN = LoanReply(rate=0.0, valid_for=0.0)

H = TypeVar("H", bound=Hashable)
_DEMAND_PREFIX = "demand-"
_Borrower = tuple[str, int]
# Store operations, each with the index of the slice that it acquires, or None.
_Plan = list[tuple[int | None, Transaction]]


@dataclass(frozen=True, slots=True)
class _Loan:
    """A rate that counts as lent until ``until``, one window after its expiry."""

    rate: float
    until: float


@dataclass(slots=True)
class _LimitState:
    """The slices of one limit that this delegate holds, and their loans.

    Parameters
    ----------
    tokens
        Value to write to the store for a slice, by slice index. Unique for each
        acquisition, and chosen at its first attempt, so that retries write the same.
    held
        Indexes of the slices held.
    target
        Number of slices that this delegate should hold.
    written_demand
        Demand last written to the store, in calls a second.
    loans
        Unexpired loans, by borrower.
    demands
        Calls a second requested last and the monotonic time of the request, by
        borrower.
    """

    tokens: dict[int, bytes] = field(default_factory=dict)
    held: set[int] = field(default_factory=set)
    target: int = 0
    written_demand: int = 0
    loans: dict[_Borrower, list[_Loan]] = field(default_factory=dict)
    demands: dict[_Borrower, tuple[float, float]] = field(default_factory=dict)

    def remove_expired(self, now: float) -> None:
        for borrower, loans in list(self.loans.items()):
            kept = [loan for loan in loans if loan.until > now]
            if kept:
                self.loans[borrower] = kept
            else:
                del self.loans[borrower]
        for borrower, (_, seen_at) in list(self.demands.items()):
            if now - seen_at > DEMAND_TTL_S:
                del self.demands[borrower]

    def sum_loans(self, *, except_to: _Borrower | None = None) -> float:
        """Return the largest rate that all borrowers together may be using."""
        return sum(
            max(loan.rate for loan in loans)
            for borrower, loans in self.loans.items()
            if borrower != except_to
        )


class SliceHolder:
    """Acquires slices from the store and lends them to the daemons that need them.

    It is not known which replies reached their borrowers. Each loan therefore counts
    until it has expired, even if its borrower gets another loan in the meantime.

    Parameters
    ----------
    store, keys
        Store, and keys under which slices are stored.
    host
        Name of this host.
    find_rate
        Returns the calls a second of a limit; None if it is not declared.
    clock
        Source of monotonic time for leases and loans.
    """

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        *,
        host: str,
        find_rate: Callable[[str], float | None],
        clock: Clock,
    ) -> None:
        self._store = store
        self._keys = keys
        self._host = host
        self._find_rate = find_rate
        self._clock = clock
        self._lease: Lease | None = None
        self._token_prefix = f"{uuid.uuid4().hex}."
        self._last_token = 0
        self._limits: dict[str, _LimitState] = {}
        self._reconcile_requested = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start the task that acquires, renews and releases slices."""
        self._task = asyncio.create_task(self._reconcile_periodically())

    async def close(self) -> None:
        """Stop; held slices expire with their lease, after all loans have expired."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def lend(self, request: LoanRequest) -> LoanReply:
        """Return a loan backed by the slices held, valid no longer than their lease."""
        now = self._clock.monotonic()
        limit_rate = self._find_rate(request.limit)
        if limit_rate is None:
            return _NO_LOAN
        limit = self._limits.setdefault(request.limit, _LimitState())
        borrower = (request.host, request.incarnation)
        limit.remove_expired(now)
        limit.demands[borrower] = (request.demand, now)
        if not limit.held:
            self._reconcile_requested.set()
        if self._lease is None:
            return _NO_LOAN
        window = find_window(limit_rate)
        valid_for = min(LOAN_DURATION_S, self._lease.deadline - window - now)
        if valid_for <= 0:
            return _NO_LOAN
        usable_rate = _compute_slice_rate(
            min(len(limit.held), limit.target), limit_rate
        )
        free_rate = _compute_slice_rate(len(limit.held), limit_rate) - limit.sum_loans(
            except_to=borrower
        )
        demands = {who: demand for who, (demand, _) in limit.demands.items()}
        # A limit below one call a second is not divided among borrowers.
        unit = min(1.0, limit_rate)
        units = share_units(
            demands, round(usable_rate / unit), rotation=int(now / ROTATION_INTERVAL_S)
        )
        rate = max(0.0, min(units[borrower] * unit, free_rate))
        if rate > 0:
            loan = _Loan(rate, now + valid_for + window)
            limit.loans.setdefault(borrower, []).append(loan)
        return LoanReply(rate=rate, valid_for=valid_for)

    async def reconcile(self) -> None:
        """Renew the lease, and acquire or release slices to match the demand."""
        now = self._clock.monotonic()
        if self._lease is not None and self._lease.deadline <= now:
            self._drop_lease()
        for limit in self._limits.values():
            limit.remove_expired(now)
        active = [n for n, x in self._limits.items() if x.demands or x.held]
        if not active:
            return
        with contextlib.suppress(AlmondError):
            await self._ensure_lease(now)
            for name in active:
                await self._adjust_slices(name, self._limits[name])

    async def _reconcile_periodically(self) -> None:
        while True:
            self._reconcile_requested.clear()
            await self.reconcile()
            # A short delay collects several new demands into one run.
            await asyncio.sleep(RECONCILE_INTERVAL_S / 10)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RECONCILE_INTERVAL_S):
                    await self._reconcile_requested.wait()

    async def _ensure_lease(self, now: float) -> None:
        if self._lease is None:
            self._lease = await self._store.grant_lease(LEASE_TTL_S)
        elif self._lease.deadline - now < LEASE_TTL_S - KEEP_ALIVE_AFTER_S:
            try:
                self._lease = await self._store.keep_alive(self._lease)
            except AlmondError as error:
                if error.code is ErrorCode.LEASE_EXPIRED:
                    self._drop_lease()
                raise

    def _drop_lease(self) -> None:
        """Forget the lease and its slices; loans count until they have expired."""
        self._lease = None
        for limit in self._limits.values():
            limit.held.clear()
            limit.tokens.clear()
            limit.written_demand = 0

    async def _adjust_slices(self, name: str, limit: _LimitState) -> None:
        limit_rate = self._find_rate(name)
        wanted = _sum_demand(limit, limit_rate)
        values = await self._read_limit(name, limit) if wanted else {}
        demands = _parse_demands(values)
        demands[self._host] = float(wanted)
        limit.target = 0
        if limit_rate is not None:
            # Allocated in whole calls a second: several delegates would otherwise
            # hold slices worth less than one call, which none of them can lend.
            rotation = int(self._clock.monotonic() / ROTATION_INTERVAL_S)
            calls = share_units(
                demands, _count_whole_calls(limit_rate), rotation=rotation
            )[self._host]
            limit.target = min(SLICE_COUNT, math.ceil(calls * SLICE_COUNT / limit_rate))
        plan = self._plan_demand_update(name, limit, wanted)
        if len(limit.held) < limit.target:
            plan += self._plan_acquisitions(name, limit, values)
        else:
            plan += self._plan_releases(name, limit, limit_rate or 0.0)
        if plan:
            await self._commit_plan(limit, plan)
        elif not limit.held and not limit.demands and not limit.loans:
            del self._limits[name]

    async def _read_limit(self, name: str, limit: _LimitState) -> dict[str, bytes]:
        """Read the delegates' demands, and also the slices if some are missing."""
        prefix = self._keys.limit_prefix(name)
        some_missing = len(limit.held) < max(1, limit.target)
        start = prefix if some_missing else prefix + _DEMAND_PREFIX
        result = await self._store.read_prefix(prefix, start=start)
        return {item.key.removeprefix(prefix): item.value for item in result.items}

    def _plan_demand_update(self, name: str, limit: _LimitState, wanted: int) -> _Plan:
        """Return the write of this data centre's demand if it has changed."""
        if wanted == limit.written_demand:
            return []
        limit.written_demand = wanted
        key = f"{self._keys.limit_prefix(name)}{_DEMAND_PREFIX}{self._host}"
        put = Put(key, b"%d" % wanted, self._lease.lease_id)
        return [(None, Transaction(success=(put if wanted else Delete(key),)))]

    def _plan_acquisitions(
        self, name: str, limit: _LimitState, values: dict[str, bytes]
    ) -> _Plan:
        """Return acquisitions of missing slices; a retry writes the same value."""
        plan: _Plan = []
        token_prefix = self._token_prefix.encode()
        missing = limit.target - len(limit.held)
        offset = xxhash.xxh32_intdigest(self._host.encode()) % SLICE_COUNT
        for index in ((offset + i) % SLICE_COUNT for i in range(SLICE_COUNT)):
            key = self._keys.limit_slice(name, index)
            value = values.get(key.removeprefix(self._keys.limit_prefix(name)))
            if index in limit.held:
                continue
            token = limit.tokens.get(index)
            if value is not None and value != token:
                if value.startswith(token_prefix):
                    # Written by an earlier acquisition that arrived late.
                    plan.append((None, _make_release(key, value)))
            elif missing > 0:
                missing -= 1
                token = limit.tokens.setdefault(index, self._make_token())
                plan.append(
                    (index, _make_acquisition(key, token, self._lease.lease_id))
                )
        return plan

    def _make_token(self) -> bytes:
        self._last_token += 1
        return f"{self._token_prefix}{self._last_token}".encode()

    def _plan_releases(self, name: str, limit: _LimitState, limit_rate: float) -> _Plan:
        """Return releases of slices above the target that no loan needs."""
        plan: _Plan = []
        limit.remove_expired(self._clock.monotonic())
        while len(limit.held) > limit.target:
            if _compute_slice_rate(len(limit.held) - 1, limit_rate) < limit.sum_loans():
                break
            index = max(limit.held)
            limit.held.discard(index)
            key = self._keys.limit_slice(name, index)
            plan.append((None, _make_release(key, limit.tokens.pop(index))))
        return plan

    async def _commit_plan(self, limit: _LimitState, plan: _Plan) -> None:
        lease = self._lease
        operations = tuple(operation for _, operation in plan)
        result = await self._store.commit(Transaction(success=operations))
        if self._lease is None or self._lease.lease_id != lease.lease_id:
            return
        for (index, _), outcome in zip(plan, result.results, strict=True):
            if index is None:
                continue
            if _was_acquired(outcome):
                limit.held.add(index)
            else:
                limit.tokens.pop(index, None)


def find_window(rate: float) -> float:
    """Return the seconds in which calls of ``rate`` calls a second are counted."""
    return max(WINDOW_S, min(MAX_WINDOW_S, 1 / rate))


def share_units(
    demands: Mapping[H, float], capacity: int, *, rotation: int
) -> dict[H, int]:
    """Allocate whole units by max-min fairness.

    Parameters
    ----------
    demands
        Units wanted, by holder.
    capacity
        Units to allocate.
    rotation
        Number that determines which of several equal demands get more.

    Returns
    -------
    dict
        Units allocated, by holder.
    """

    def order(holder: H) -> tuple[float, int]:
        return demands[holder], xxhash.xxh32_intdigest(f"{rotation}/{holder}".encode())

    shares = {}
    left = len(demands)
    for holder in sorted(demands, key=order):
        shares[holder] = min(math.ceil(demands[holder]), capacity // left)
        capacity -= shares[holder]
        left -= 1
    return shares


def _sum_demand(limit: _LimitState, limit_rate: float | None) -> int:
    """Return the calls a second that this data centre's daemons request in total.

    At most the whole calls of the limit; 0 if the limit is not declared.
    """
    if limit_rate is None:
        return 0
    calls = sum(math.ceil(demand) for demand, _ in limit.demands.values())
    return min(_count_whole_calls(limit_rate), calls)


def _parse_demands(values: dict[str, bytes]) -> dict[str, float]:
    """Return the demands of delegates in calls a second, by host."""
    demands = {}
    for name, value in values.items():
        if name.startswith(_DEMAND_PREFIX) and value.isdigit():
            demands[name.removeprefix(_DEMAND_PREFIX)] = float(value)
    return demands


def _make_acquisition(key: str, token: bytes, lease_id: int) -> Transaction:
    """Return the acquisition of a slice that nobody holds.

    Reports a slice that already has the value ``token`` as acquired, since an earlier
    attempt wrote it.
    """
    confirm = Transaction(compares=(Compare(key, value=token),))
    return Transaction(
        compares=(Compare(key, mod_revision=0),),
        success=(Put(key, token, lease_id),),
        failure=(confirm,),
    )


def _make_release(key: str, token: bytes) -> Transaction:
    """Return the deletion of a slice if it still has the value ``token``.

    A later acquisition writes another value and is not affected.
    """
    return Transaction((Compare(key, value=token),), (Delete(key),))


def _count_whole_calls(limit_rate: float) -> int:
    """Return the number of whole calls a second into which a limit is divided."""
    return max(1, math.floor(limit_rate))


def _compute_slice_rate(slices: int, limit_rate: float) -> float:
    """Return the rate of a number of slices, rounded down to whole calls a second.

    A limit below one call a second is only available with all its slices.
    """
    if limit_rate < 1:
        return limit_rate if slices == SLICE_COUNT else 0.0
    return float(math.floor(slices * limit_rate / SLICE_COUNT))


def _was_acquired(outcome: CommitResult) -> bool:
    return outcome.succeeded or outcome.results[0].succeeded
