"""Interface of the key-value store that the daemons share."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

MAX_VALUE_BYTES = 1_000_000
"""Longest value that the store accepts."""


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value, its revisions of creation and last change, and version."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    version: int


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Result of a read and the store revision at which it was read."""

    items: tuple[KeyValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Compare:
    """Condition on a key in a transaction.

    Exactly one of ``mod_revision`` and ``value`` is set. A ``mod_revision`` of 0 means
    that the key does not exist.
    """

    key: str
    mod_revision: int | None = None
    value: bytes | None = None


@dataclass(frozen=True, slots=True)
class Put:
    """Writes a value, attached to a lease unless ``lease_id`` is 0."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """Deletes a key, or all keys with a prefix."""

    key: str
    prefix: bool = False


@dataclass(frozen=True, slots=True)
class Get:
    """Reads a key within a transaction."""

    key: str


@dataclass(frozen=True, slots=True)
class Transaction:
    """Atomic operations that depend on conditions.

    The operations of ``success`` are applied if all conditions hold, otherwise those of
    ``failure``. A nested transaction is decided by its own conditions.
    """

    compares: tuple[Compare, ...] = ()
    success: tuple[Operation, ...] = ()
    failure: tuple[Operation, ...] = ()


Operation = Put | Delete | Get | Transaction


@dataclass(frozen=True, slots=True)
class CommitResult:
    """Result of a transaction.

    Parameters
    ----------
    succeeded
        Whether all conditions held.
    revision
        Store revision after the transaction.
    results
        For each applied operation: the values read by a ``Get``, the result of a
        nested transaction, or None.
    """

    succeeded: bool
    revision: int
    results: tuple[CommitResult | tuple[KeyValue, ...] | None, ...] = ()


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease with the time until which its holder can rely on it.

    Parameters
    ----------
    lease_id
        Id of the lease in the store.
    deadline
        Earliest expiry in monotonic seconds, counted from before the grant or
        renewal was requested.
    """

    lease_id: int
    deadline: float


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of a key; ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Events up to a revision; a progress notification has no events."""

    events: tuple[WatchEvent, ...] = field(default=())
    revision: int = 0


class Store(ABC):
    """Linearizable reads, compare-and-swap, leases and watches.

    Every method raises ``StoreUnavailableError`` if the operation definitely had no
    effect and ``StoreOutcomeUnknownError`` if it may have had one. Each call and each
    open watch counts against the rate limit of the store.
    """

    @abstractmethod
    async def read(self, key: str) -> ReadResult:
        """Read one key; ``items`` is empty if it does not exist."""

    @abstractmethod
    async def read_prefix(
        self,
        prefix: str,
        *,
        start: str | None = None,
        limit: int = 0,
        stale: bool = False,
    ) -> ReadResult:
        """Read keys with a prefix in order.

        Parameters
        ----------
        prefix
            Prefix of the keys.
        start
            First key to read; None for the first key with the prefix.
        limit
            Maximum number of keys; 0 for no limit.
        stale
            Whether the result may be some seconds old, which costs the store less.
        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> CommitResult:
        """Apply a transaction.

        Raises ``AlmondError`` ``lease_expired``, without any effect, if a put names
        an expired lease.
        """

    @abstractmethod
    async def grant_lease(self, ttl: int) -> Lease:
        """Grant a lease of ``ttl`` seconds."""

    @abstractmethod
    async def keep_alive(self, lease: Lease) -> Lease:
        """Renew a lease; raises ``AlmondError`` ``lease_expired`` if it has expired."""

    @abstractmethod
    async def revoke_lease(self, lease: Lease) -> None:
        """Revoke a lease and delete its keys."""

    @abstractmethod
    def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[WatchBatch]:
        """Watch keys with a prefix; raises an error when the watch is interrupted."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
