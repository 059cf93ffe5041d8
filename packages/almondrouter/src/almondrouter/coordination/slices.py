"""Slices of rate limits that a data centre's delegate holds and lends out."""

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

SLICES = 64
LEASE_TTL_S = 15
KEEP_ALIVE_AFTER_S = 3.0
STEP_INTERVAL_S = 2.0
LOAN_S = 3.0
# Calls are counted over this time. What one holder may still have used is lent to
# another one only after it, so that no such time contains both shares.
WINDOW_S = 1.0
# A limit below one call a second is counted over the time of one call, up to this,
# which has to end within a lease.
MAX_WINDOW_S = 10.0
DEMAND_KEPT_S = 4.0
# Equal demands that do not all fit take turns.
TURN_S = 10.0
_NO_LOAN = LoanReply(rate=0.0, valid_for=0.0)

H = TypeVar("H", bound=Hashable)
_DEMAND = "demand-"
_Holder = tuple[str, int]
# Operations with the index of the slice that they take.
_Plan = list[tuple[int | None, Transaction]]


@dataclass(frozen=True, slots=True)
class _Loan:
    """A rate that its holder may use until shortly before ``until``."""

    rate: float
    until: float


@dataclass(slots=True)
class _Limit:
    """What this delegate holds of one limit, and to whom it is lent."""

    tokens: dict[int, bytes] = field(default_factory=dict)
    held: set[int] = field(default_factory=set)
    target: int = 0
    written_demand: int = 0
    loans: dict[_Holder, list[_Loan]] = field(default_factory=dict)
    demands: dict[_Holder, tuple[float, float]] = field(default_factory=dict)

    def forget_expired(self, now: float) -> None:
        for holder, loans in list(self.loans.items()):
            kept = [loan for loan in loans if loan.until > now]
            if kept:
                self.loans[holder] = kept
            else:
                del self.loans[holder]
        for holder, (_, seen_at) in list(self.demands.items()):
            if now - seen_at > DEMAND_KEPT_S:
                del self.demands[holder]

    def lent(self, *, except_to: _Holder | None = None) -> float:
        """Return the most that holders may use at once."""
        return sum(
            max(loan.rate for loan in loans)
            for holder, loans in self.loans.items()
            if holder != except_to
        )


class SliceHolder:
    """Takes slices from the store and lends them to the daemons that need them.

    A reply that was lost may have been received: a loan counts until it has run
    out, whatever its holder is granted afterwards.

    Parameters
    ----------
    store, keys
        Where slices are kept.
    host
        This daemon.
    rate_of
        Returns the calls a second of a limit; None if it is not declared.
    clock
        Measures leases and loans.
    """

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        *,
        host: str,
        rate_of: Callable[[str], float | None],
        clock: Clock,
    ) -> None:
        self._store = store
        self._keys = keys
        self._host = host
        self._rate_of = rate_of
        self._clock = clock
        self._lease: Lease | None = None
        self._token_prefix = f"{uuid.uuid4().hex}."
        self._last_token = 0
        self._limits: dict[str, _Limit] = {}
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to take, prolong and give back slices."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop; what is held lapses with its lease, after the loans in it."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def lend(self, request: LoanRequest) -> LoanReply:
        """Return a loan within the slices held and their lease."""
        now = self._clock.monotonic()
        total = self._rate_of(request.limit)
        if total is None:
            return _NO_LOAN
        limit = self._limits.setdefault(request.limit, _Limit())
        holder = (request.host, request.incarnation)
        limit.forget_expired(now)
        limit.demands[holder] = (request.demand, now)
        if not limit.held:
            self._wake.set()
        if self._lease is None:
            return _NO_LOAN
        window = find_window(total)
        valid_for = min(LOAN_S, self._lease.deadline - window - now)
        if valid_for <= 0:
            return _NO_LOAN
        usable = _find_units(min(len(limit.held), limit.target), total)
        free = _find_units(len(limit.held), total) - limit.lent(except_to=holder)
        demands = {who: demand for who, (demand, _) in limit.demands.items()}
        # A limit below one call a second is lent to one holder as a whole.
        unit = min(1.0, total)
        units = share_units(demands, round(usable / unit), turn=int(now / TURN_S))
        rate = max(0.0, min(units[holder] * unit, free))
        if rate > 0:
            loan = _Loan(rate, now + valid_for + window)
            limit.loans.setdefault(holder, []).append(loan)
        return LoanReply(rate=rate, valid_for=valid_for)

    async def step(self) -> None:
        """Prolong the lease and adjust the slices held to the demand."""
        now = self._clock.monotonic()
        if self._lease is not None and self._lease.deadline <= now:
            self._drop_lease()
        for limit in self._limits.values():
            limit.forget_expired(now)
        active = [n for n, x in self._limits.items() if x.demands or x.held]
        if not active:
            return
        with contextlib.suppress(AlmondError):
            await self._hold_lease(now)
            for name in active:
                await self._adjust(name, self._limits[name])

    async def _run(self) -> None:
        while True:
            self._wake.clear()
            await self.step()
            # Demands that wait for slices are served soon, but not one by one.
            await asyncio.sleep(STEP_INTERVAL_S / 10)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(STEP_INTERVAL_S):
                    await self._wake.wait()

    async def _hold_lease(self, now: float) -> None:
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
        """Forget the slices; loans are kept in mind until they have run out."""
        self._lease = None
        for limit in self._limits.values():
            limit.held.clear()
            limit.tokens.clear()
            limit.written_demand = 0

    async def _adjust(self, name: str, limit: _Limit) -> None:
        total = self._rate_of(name)
        wanted = _find_wanted(limit, total)
        values = await self._read_limit(name, limit) if wanted else {}
        demands = _find_demands(values)
        demands[self._host] = float(wanted)
        limit.target = 0
        if total is not None:
            # Shared out in whole calls: slices that do not add up to one would
            # lie idle at several delegates.
            turn = int(self._clock.monotonic() / TURN_S)
            calls = share_units(demands, _find_most(total), turn=turn)[self._host]
            limit.target = min(SLICES, math.ceil(calls * SLICES / total))
        plan = self._plan_demand(name, limit, wanted)
        if len(limit.held) < limit.target:
            plan += self._plan_takes(name, limit, values)
        else:
            plan += self._plan_returns(name, limit, total or 0.0)
        if plan:
            await self._commit(limit, plan)
        elif not limit.held and not limit.demands and not limit.loans:
            del self._limits[name]

    async def _read_limit(self, name: str, limit: _Limit) -> dict[str, bytes]:
        """Read the demands, and the slices too if some are missing."""
        prefix = self._keys.limit_prefix(name)
        short = len(limit.held) < max(1, limit.target)
        start = prefix if short else prefix + _DEMAND
        result = await self._store.read_prefix(prefix, start=start)
        return {item.key.removeprefix(prefix): item.value for item in result.items}

    def _plan_demand(self, name: str, limit: _Limit, wanted: int) -> _Plan:
        """Tell other data centres' delegates what is wanted here."""
        if wanted == limit.written_demand:
            return []
        limit.written_demand = wanted
        key = f"{self._keys.limit_prefix(name)}{_DEMAND}{self._host}"
        put = Put(key, b"%d" % wanted, self._lease.lease_id)
        return [(None, Transaction(success=(put if wanted else Delete(key),)))]

    def _plan_takes(self, name: str, limit: _Limit, values: dict[str, bytes]) -> _Plan:
        """Return creations of slices; a retry of one carries the same value."""
        plan: _Plan = []
        own = self._token_prefix.encode()
        missing = limit.target - len(limit.held)
        offset = xxhash.xxh32_intdigest(self._host.encode()) % SLICES
        for index in ((offset + i) % SLICES for i in range(SLICES)):
            key = self._keys.limit_slice(name, index)
            value = values.get(key.removeprefix(self._keys.limit_prefix(name)))
            if index in limit.held:
                continue
            token = limit.tokens.get(index)
            if value is not None and value != token:
                if value.startswith(own):
                    # Left by a write that arrived late.
                    plan.append((None, _make_return(key, value)))
            elif missing > 0:
                missing -= 1
                token = limit.tokens.setdefault(index, self._make_token())
                plan.append((index, _make_take(key, token, self._lease.lease_id)))
        return plan

    def _make_token(self) -> bytes:
        self._last_token += 1
        return f"{self._token_prefix}{self._last_token}".encode()

    def _plan_returns(self, name: str, limit: _Limit, total: float) -> _Plan:
        """Return deletions of slices above the target that are not lent out."""
        plan: _Plan = []
        limit.forget_expired(self._clock.monotonic())
        while len(limit.held) > limit.target:
            if _find_units(len(limit.held) - 1, total) < limit.lent():
                break
            index = max(limit.held)
            limit.held.discard(index)
            key = self._keys.limit_slice(name, index)
            plan.append((None, _make_return(key, limit.tokens.pop(index))))
        return plan

    async def _commit(self, limit: _Limit, plan: _Plan) -> None:
        lease = self._lease
        operations = tuple(operation for _, operation in plan)
        result = await self._store.commit(Transaction(success=operations))
        if self._lease is None or self._lease.lease_id != lease.lease_id:
            return
        for (index, _), outcome in zip(plan, result.results, strict=True):
            if index is None:
                continue
            if _is_held(outcome):
                limit.held.add(index)
            else:
                limit.tokens.pop(index, None)


def find_window(rate: float) -> float:
    """Return the seconds over which the calls of a rate are counted."""
    return max(WINDOW_S, min(MAX_WINDOW_S, 1 / rate))


def share_units(
    demands: Mapping[H, float], capacity: int, *, turn: int
) -> dict[H, int]:
    """Share whole units so that the smallest share is as large as it can be.

    Parameters
    ----------
    demands
        Units wanted, by holder.
    capacity
        Units to share out.
    turn
        Changes who gets more among equals.
    """

    def order(holder: H) -> tuple[float, int]:
        return demands[holder], xxhash.xxh32_intdigest(f"{turn}/{holder}".encode())

    shares = {}
    left = len(demands)
    for holder in sorted(demands, key=order):
        shares[holder] = min(math.ceil(demands[holder]), capacity // left)
        capacity -= shares[holder]
        left -= 1
    return shares


def _find_wanted(limit: _Limit, total: float | None) -> int:
    """Return the calls a second that this data centre's daemons ask for."""
    if total is None:
        return 0
    calls = sum(math.ceil(demand) for demand, _ in limit.demands.values())
    return min(_find_most(total), calls)


def _find_demands(values: dict[str, bytes]) -> dict[str, float]:
    """Return the calls a second that delegates want, by host."""
    demands = {}
    for name, value in values.items():
        if name.startswith(_DEMAND) and value.isdigit():
            demands[name.removeprefix(_DEMAND)] = float(value)
    return demands


def _make_take(key: str, token: bytes, lease_id: int) -> Transaction:
    confirm = Transaction(compares=(Compare(key, value=token),))
    return Transaction(
        compares=(Compare(key, mod_revision=0),),
        success=(Put(key, token, lease_id),),
        failure=(confirm,),
    )


def _make_return(key: str, token: bytes) -> Transaction:
    """Return a deletion that cannot hit a later holding, which has another value."""
    return Transaction((Compare(key, value=token),), (Delete(key),))


def _find_most(total: float) -> int:
    """Return the whole calls a second that a limit can be shared out in."""
    return max(1, math.floor(total))


def _find_units(slices: int, total: float) -> float:
    """Return the calls a second that slices stand for, in whole calls."""
    if total < 1:
        return total if slices == SLICES else 0.0
    return float(math.floor(slices * total / SLICES))


def _is_held(outcome: CommitResult) -> bool:
    return outcome.succeeded or outcome.results[0].succeeded
