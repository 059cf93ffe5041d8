"""Batches the claims that a data centre's delegate writes to the store."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from almondrouter.clock import Clock
from almondrouter.errors import MALFORMED_DATA_ERRORS, AlmondError, ErrorCode
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

MAX_BATCH_SIZE = 64
# Time between two store calls of a delegate, which bounds the writes at any call
# rate: seven data centres cause fewer than 300 a second, and the store handles
# several hundred.
BATCH_INTERVAL_S = 0.025
MAX_CALLS_IN_FLIGHT = 8
MAX_QUEUED_OPERATIONS = 10_000
# Longest time between the first and the last claim on a key. A daemon accepts keys
# aged from -MAX_CLOCK_SKEW_S to CLAIM_RETENTION_S - MAX_CLOCK_SKEW_S, and the clocks
# of two daemons may differ by MAX_CLOCK_SKEW_S.
CLAIM_LIFETIME_S = CLAIM_RETENTION_S + MAX_CLOCK_SKEW_S
# Claims written within this time share a lease, so that lease calls do not grow
# with the number of claims.
LEASE_SHARING_S = 60
LEASE_TTL_S = CLAIM_LIFETIME_S + LEASE_SHARING_S

_UNAVAILABLE = ClaimReply(holder=None, available=False)


@dataclass(frozen=True, slots=True)
class _PendingOperation:
    """A claim or release that waits for its batch.

    Parameters
    ----------
    make_operation
        Returns the store operation for a lease id.
    future
        Receives the operation's result; None if it is not known.
    """

    key: str
    make_operation: Callable[[int], Transaction]
    future: asyncio.Future[CommitResult | None]


class ClaimBatcher:
    """Writes claims and releases to the store, many in one call.

    Parameters
    ----------
    store, keys
        Store, and keys under which claims are stored.
    clock
        Source of monotonic time for leases.
    sleep
        Waits the given number of seconds between store calls.
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
        self._waiting: deque[_PendingOperation] = deque()
        self._keys_in_flight: set[str] = set()
        self._calls: set[asyncio.Task[None]] = set()
        self._batch_task: asyncio.Task[None] | None = None
        self._lease: Lease | None = None
        self._lease_lock = asyncio.Lock()

    async def claim(self, request: ClaimRequest) -> ClaimReply:
        """Create a claim, or replace the abandoned one that the request names.

        Repeating a request with the same claim id is safe.

        Returns
        -------
        ClaimReply
            The claim that holds the key; unavailable if the store did not respond.
        """
        claim = request.claim
        reply, stored = await self._write_claim(claim, replaced=None)
        holder = reply.holder
        if holder is None or holder.claim_id != request.replaces or stored is None:
            return reply
        return (await self._write_claim(claim, replaced=stored))[0]

    async def release(self, claim: Claim) -> bool:
        """Delete a claim if it still holds its key.

        Returns
        -------
        bool
            Whether the store confirmed that the claim no longer holds the key.
        """
        key = self._keys.claim(claim.key)
        operation = Transaction(
            compares=(Compare(key, value=_encode_claim(claim)),),
            success=(Delete(key),),
        )
        return (
            await self._submit_operation(claim.key, lambda _lease_id: operation)
            is not None
        )

    async def close(self) -> None:
        """Cancel all store calls; operations that were not done have no result."""
        tasks = [*self._calls, *([self._batch_task] if self._batch_task else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        while self._waiting:
            _set_result(self._waiting.popleft(), None)

    async def _write_claim(
        self, claim: Claim, *, replaced: bytes | None
    ) -> tuple[ClaimReply, bytes | None]:
        """Write a claim to the store.

        Returns
        -------
        tuple of ClaimReply and bytes or None
            The reply, and the stored value of the claim if another one holds the
            key.
        """
        key, own = self._keys.claim(claim.key), _encode_claim(claim)

        def make_operation(lease_id: int) -> Transaction:
            return _make_claim_operation(key, own, replaced, lease_id)

        result = await self._submit_operation(claim.key, make_operation)
        if result is None:
            return _UNAVAILABLE, None
        stored = _find_holder(result)
        if stored is None:
            return ClaimReply(claim, available=True), None
        return ClaimReply(_decode_claim(claim.key, stored), available=True), stored

    async def _submit_operation(
        self, key: str, make_operation: Callable[[int], Transaction]
    ) -> CommitResult | None:
        """Queue an operation; return its result, or None if it is not known."""
        if len(self._waiting) >= MAX_QUEUED_OPERATIONS:
            return None
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(_PendingOperation(key, make_operation, future))
        if self._batch_task is None or self._batch_task.done():
            self._batch_task = asyncio.create_task(self._run_batches())
        return await future

    async def _run_batches(self) -> None:
        while self._waiting:
            if len(self._calls) < MAX_CALLS_IN_FLIGHT and (batch := self._take_batch()):
                call = asyncio.create_task(self._commit_batch(batch))
                self._calls.add(call)
                call.add_done_callback(self._calls.discard)
            await self._sleep(BATCH_INTERVAL_S)

    def _take_batch(self) -> list[_PendingOperation]:
        """Return the next operations, at most one for each key.

        The store rejects a batch that writes a key twice.
        """
        batch: list[_PendingOperation] = []
        deferred: deque[_PendingOperation] = deque()
        while self._waiting and len(batch) < MAX_BATCH_SIZE:
            item = self._waiting.popleft()
            if item.future.done():
                continue
            if item.key in self._keys_in_flight:
                deferred.append(item)
                continue
            self._keys_in_flight.add(item.key)
            batch.append(item)
        self._waiting.extendleft(reversed(deferred))
        return batch

    async def _commit_batch(self, batch: list[_PendingOperation]) -> None:
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
                _set_result(item, item_result)

    async def _get_lease(self) -> Lease:
        async with self._lease_lock:
            needed = self._clock.monotonic() + CLAIM_LIFETIME_S
            if self._lease is None or self._lease.deadline < needed:
                self._lease = await self._store.grant_lease(LEASE_TTL_S)
            return self._lease


def _make_claim_operation(
    key: str, own: bytes, replaced: bytes | None, lease_id: int
) -> Transaction:
    """Return the operation that creates a claim or replaces an abandoned one.

    If the claim exists already, it is written again, so that a retry also attaches
    it to the current lease.
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
    """Return the stored value of another holder, or None if the claim was written."""
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
    except MALFORMED_DATA_ERRORS:
        return None
    return Claim(key, claim_id, host, incarnation)


def _set_result(item: _PendingOperation, result: CommitResult | None) -> None:
    if not item.future.done():
        item.future.set_result(result)
