"""Batches of claims that a data centre's delegate writes to the store."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import Claim, ClaimReply, ClaimRequest
from almondrouter.protocol.keys import (
    CLAIM_RETENTION_S,
    MAX_CLOCK_SKEW_S,
    StoreKeys,
)
from almondrouter.transport.store import (
    CommitResult,
    Compare,
    Delete,
    Get,
    Lease,
    Put,
    Store,
    Transaction,
)

MAX_BATCH = 64
# Seven data centres stay below 300 writes a second, whatever the calls; the store
# takes several hundred.
BATCH_INTERVAL_S = 0.025
MAX_CALLS_IN_FLIGHT = 8
MAX_WAITING = 10_000
# A key is claimed when it is at most the skew too young and until its age is the
# retention less the skew, and the clocks of two daemons may differ by the skew. So
# no daemon claims it again later than this after its first claim.
CLAIM_LIFE_S = CLAIM_RETENTION_S + MAX_CLOCK_SKEW_S
# Claims of this time share a lease, so lease calls do not grow with claims.
LEASE_BUCKET_S = 60
LEASE_TTL_S = CLAIM_LIFE_S + LEASE_BUCKET_S

_UNAVAILABLE = ClaimReply(holder=None, available=False)


@dataclass(frozen=True, slots=True)
class _Item:
    """One claim or release that waits for a batch."""

    key: str
    make_operation: Callable[[int], Transaction]
    future: asyncio.Future[CommitResult | None]


class ClaimBatcher:
    """Claims and releases keys, many in one call to the store.

    Parameters
    ----------
    store, keys
        Where claims are kept.
    clock
        Measures leases.
    sleep
        Waits between calls.
    """

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        *,
        clock: Clock,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._store = store
        self._keys = keys
        self._clock = clock
        self._sleep = sleep
        self._waiting: deque[_Item] = deque()
        self._keys_in_flight: set[str] = set()
        self._calls: set[asyncio.Task[None]] = set()
        self._runner: asyncio.Task[None] | None = None
        self._lease: Lease | None = None
        self._lease_lock = asyncio.Lock()

    async def claim(self, request: ClaimRequest) -> ClaimReply:
        """Create a claim, or take over the one it replaces; return the holder.

        The same claim may be asked for any number of times.
        """
        claim = request.claim
        reply, held = await self._ask(claim, replaced=None)
        holder = reply.holder
        if holder is None or holder.claim_id != request.replaces or held is None:
            return reply
        return (await self._ask(claim, replaced=held))[0]

    async def release(self, claim: Claim) -> bool:
        """Delete a claim if it is still the holder; return whether that was done."""
        key = self._keys.claim(claim.key)
        operation = Transaction(
            compares=(Compare(key, value=_encode_claim(claim)),),
            success=(Delete(key),),
        )
        return await self._submit(claim.key, lambda _lease_id: operation) is not None

    async def close(self) -> None:
        """Stop; what still waits is answered as unavailable."""
        tasks = [*self._calls, *([self._runner] if self._runner else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        while self._waiting:
            _resolve(self._waiting.popleft(), None)

    async def _ask(
        self, claim: Claim, *, replaced: bytes | None
    ) -> tuple[ClaimReply, bytes | None]:
        """Return the reply and the value that another holder has in the store."""
        key, own = self._keys.claim(claim.key), _encode_claim(claim)

        def make_operation(lease_id: int) -> Transaction:
            return _make_claim(key, own, replaced, lease_id)

        result = await self._submit(claim.key, make_operation)
        if result is None:
            return _UNAVAILABLE, None
        held = _find_holder(result)
        if held is None:
            return ClaimReply(claim, available=True), None
        return ClaimReply(_decode_claim(claim.key, held), available=True), held

    async def _submit(
        self, key: str, make_operation: Callable[[int], Transaction]
    ) -> CommitResult | None:
        """Return the result of an operation, or None if it is not known."""
        if len(self._waiting) >= MAX_WAITING:
            return None
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(_Item(key, make_operation, future))
        if self._runner is None or self._runner.done():
            self._runner = asyncio.create_task(self._run())
        return await future

    async def _run(self) -> None:
        while self._waiting:
            if len(self._calls) < MAX_CALLS_IN_FLIGHT and (batch := self._take()):
                call = asyncio.create_task(self._commit(batch))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
            await self._sleep(BATCH_INTERVAL_S)

    def _take(self) -> list[_Item]:
        """Take the next items; the store refuses a batch that names a key twice."""
        batch: list[_Item] = []
        left: deque[_Item] = deque()
        while self._waiting and len(batch) < MAX_BATCH:
            item = self._waiting.popleft()
            if item.future.done():
                continue
            if item.key in self._keys_in_flight:
                left.append(item)
                continue
            self._keys_in_flight.add(item.key)
            batch.append(item)
        self._waiting.extendleft(reversed(left))
        return batch

    async def _commit(self, batch: list[_Item]) -> None:
        results: tuple[CommitResult | None, ...] = (None,) * len(batch)
        try:
            lease = await self._get_lease()
            operations = [item.make_operation(lease.lease_id) for item in batch]
            result = await self._store.commit(Transaction(success=tuple(operations)))
            results = result.results
        except AlmondError as error:
            if error.code is ErrorCode.LEASE_EXPIRED:
                self._lease = None
        finally:
            for item, item_result in zip(batch, results, strict=True):
                self._keys_in_flight.discard(item.key)
                _resolve(item, item_result)

    async def _get_lease(self) -> Lease:
        async with self._lease_lock:
            needed = self._clock.monotonic() + CLAIM_LIFE_S
            if self._lease is None or self._lease.deadline < needed:
                self._lease = await self._store.grant_lease(LEASE_TTL_S)
            return self._lease


def _make_claim(
    key: str, own: bytes, replaced: bytes | None, lease_id: int
) -> Transaction:
    """Return the operation that creates, confirms or takes over a claim.

    Confirming writes the claim again, so that a retry also renews its lease.
    """
    put = Put(key, own, lease_id)
    operation: Get | Transaction = Get(key)
    for value in (replaced, own):
        if value is not None:
            compare = Compare(key, value=value)
            operation = Transaction((compare,), (put,), (operation,))
    absent = Compare(key, mod_revision=0)
    return Transaction((absent,), (put,), (operation,))


def _find_holder(result: CommitResult) -> bytes | None:
    """Return the value of another holder, or None if the claim was written."""
    while not result.succeeded:
        inner = result.results[0]
        if not isinstance(inner, CommitResult):
            return inner[0].value
        result = inner
    return None


def _encode_claim(claim: Claim) -> bytes:
    return msgspec.json.encode((claim.claim_id, claim.host, claim.incarnation))


def _decode_claim(key: str, value: bytes) -> Claim | None:
    try:
        claim_id, host, incarnation = msgspec.json.decode(
            value, type=tuple[str, str, int]
        )
    except msgspec.DecodeError:
        return None
    return Claim(key, claim_id, host, incarnation)


def _resolve(item: _Item, result: CommitResult | None) -> None:
    if not item.future.done():
        item.future.set_result(result)
