"""A store in virtual time with leases, delays and outages."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from almondrouter.clock import Clock
from almondrouter.errors import (
    AlmondError,
    ErrorCode,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from almondrouter.transport.store import (
    CommitResult,
    KeyValue,
    Lease,
    ReadResult,
    Store,
    Transaction,
)

TIMEOUT_S = 0.8


@dataclass(slots=True)
class _Item:
    value: bytes
    created: int
    changed: int
    lease_id: int = 0


class VirtualStore:
    """Contents of the store, and its faults.

    Attributes
    ----------
    delay
        Seconds of each response.
    is_down
        Whether calls are refused.
    loses_commits
        Whether the response to a commit is lost although it has taken effect.
    calls
        Number of calls.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.delay = 0.004
        self.is_down = False
        self.loses_commits = False
        self.calls = 0
        self.revision = 10
        self._items: dict[str, _Item] = {}
        self._leases: dict[int, float] = {}
        self._ids = itertools.count(1)

    def connect(self, is_linked: Callable[[], bool]) -> Store:
        """Return the client of one daemon."""
        return _Client(self, is_linked)

    def get(self, key: str) -> bytes | None:
        """Return the value of a key."""
        self._expire()
        item = self._items.get(key)
        return item.value if item else None

    def put(self, key: str, value: bytes, lease_id: int = 0) -> int:
        """Write a key; return the revision."""
        self.revision += 1
        known = self._items.get(key)
        created = known.created if known else self.revision
        self._items[key] = _Item(value, created, self.revision, lease_id)
        return self.revision

    def remove(self, key: str) -> int:
        """Delete a key; return the revision."""
        self.revision += 1
        del self._items[key]
        return self.revision

    def find(self, prefix: str) -> tuple[KeyValue, ...]:
        """Return the items with a prefix."""
        self._expire()
        return tuple(
            KeyValue(key, item.value, item.created, item.changed, 0)
            for key, item in sorted(self._items.items())
            if key.startswith(prefix)
        )

    def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction if its conditions hold."""
        self._expire()
        for compare in transaction.compares:
            item = self._items.get(compare.key)
            if (item.changed if item else 0) != compare.mod_revision:
                return CommitResult(False, 0)
        for operation in transaction.success:
            if operation.lease_id and operation.lease_id not in self._leases:
                raise AlmondError(ErrorCode.LEASE_EXPIRED, "lease has expired")
            self.put(operation.key, operation.value, operation.lease_id)
        return CommitResult(True, self.revision)

    def set_lease(self, lease_id: int, ttl: float) -> int:
        """Grant a lease, or renew the one with an id."""
        self._expire()
        if lease_id and lease_id not in self._leases:
            raise AlmondError(ErrorCode.LEASE_EXPIRED, "lease has expired")
        lease_id = lease_id or next(self._ids)
        self._leases[lease_id] = self.clock.monotonic() + ttl
        return lease_id

    def end_lease(self, lease_id: int) -> None:
        """End a lease with its keys."""
        self._leases.pop(lease_id, None)
        for key in [k for k, i in self._items.items() if i.lease_id == lease_id]:
            self.revision += 1
            del self._items[key]

    def _expire(self) -> None:
        now = self.clock.monotonic()
        for lease_id in [i for i, at in self._leases.items() if now >= at]:
            self.end_lease(lease_id)


class _Client(Store):
    """Client of one daemon."""

    def __init__(self, store: VirtualStore, is_linked: Callable[[], bool]) -> None:
        self._store = store
        self._is_linked = is_linked

    async def _call(self) -> None:
        store = self._store
        store.calls += 1
        await asyncio.sleep(min(store.delay, TIMEOUT_S))
        if store.is_down or not self._is_linked() or store.delay >= TIMEOUT_S:
            raise StoreUnavailableError("store is down")

    async def read(self, key: str) -> ReadResult:  # noqa: D102
        await self._call()
        items = tuple(i for i in self._store.find(key) if i.key == key)
        return ReadResult(items, self._store.revision if items else 0)

    async def read_prefix(  # noqa: D102
        self,
        prefix: str,
        *,
        start: str | None = None,
        limit: int = 0,
        stale: bool = False,
    ) -> ReadResult:
        await self._call()
        return ReadResult(self._store.find(prefix), self._store.revision)

    async def commit(self, transaction: Transaction) -> CommitResult:  # noqa: D102
        await self._call()
        result = self._store.commit(transaction)
        if self._store.loses_commits:
            await asyncio.sleep(TIMEOUT_S)
            raise StoreOutcomeUnknownError("response lost")
        return result

    async def grant_lease(self, ttl: int) -> Lease:  # noqa: D102
        began_at = self._store.clock.monotonic()
        await self._call()
        return Lease(self._store.set_lease(0, ttl), began_at + ttl)

    async def keep_alive(self, lease: Lease) -> Lease:  # noqa: D102
        began_at = self._store.clock.monotonic()
        await self._call()
        self._store.set_lease(lease.lease_id, 2)
        return Lease(lease.lease_id, began_at + 2)

    async def revoke_lease(self, lease: Lease) -> None:  # noqa: D102
        await self._call()
        self._store.end_lease(lease.lease_id)

    def watch(self, prefix: str, *, from_revision: int) -> None:  # noqa: D102
        raise NotImplementedError

    async def close(self) -> None:  # noqa: D102
        return None
