"""Store that is opened on first use."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping

from almondrouter.transport.store import (
    CommitResult,
    Lease,
    ReadResult,
    Store,
    Transaction,
    WatchBatch,
)


class LazyStore(Store):
    """Store that is opened on first use.

    The HTTP client of the store takes more than 10 MB of memory, and only daemons
    that act as delegates need it.

    Parameters
    ----------
    open_store
        Opens the store. It should import the client itself, to save memory until
        then.
    """

    def __init__(self, open_store: Callable[[], Store]) -> None:
        self._open_store = open_store
        self._opened: Store | None = None

    @property
    def calls(self) -> Mapping[str, int]:
        """Number of requests sent, by kind."""
        return getattr(self._opened, "calls", Counter())

    async def read(self, key: str) -> ReadResult:  # noqa: D102
        return await self._store.read(key)

    async def read_prefix(  # noqa: D102
        self,
        prefix: str,
        *,
        start: str | None = None,
        limit: int = 0,
        stale: bool = False,
    ) -> ReadResult:
        return await self._store.read_prefix(
            prefix, start=start, limit=limit, stale=stale
        )

    async def commit(self, transaction: Transaction) -> CommitResult:  # noqa: D102
        return await self._store.commit(transaction)

    async def grant_lease(self, ttl: int) -> Lease:  # noqa: D102
        return await self._store.grant_lease(ttl)

    async def keep_alive(self, lease: Lease) -> Lease:  # noqa: D102
        return await self._store.keep_alive(lease)

    async def revoke_lease(self, lease: Lease) -> None:  # noqa: D102
        await self._store.revoke_lease(lease)

    def watch(  # noqa: D102
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[WatchBatch]:
        return self._store.watch(prefix, from_revision=from_revision)

    async def close(self) -> None:
        """Close the store if it is open."""
        if self._opened is not None:
            await self._opened.close()

    @property
    def _store(self) -> Store:
        if self._opened is None:
            self._opened = self._open_store()
        return self._opened
