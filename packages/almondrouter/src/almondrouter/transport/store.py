"""The platform's key-value service as the system sees it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class KeyValue:
    """A key with its value and the revisions of its creation and last change."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    version: int


@dataclass(frozen=True, slots=True)
class ReadResult:
    """Values of a read with the revision at which they were read."""

    items: tuple[KeyValue, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Compare:
    """A condition on a key.

    Exactly one of ``mod_revision`` (0 means that the key does not exist) and
    ``value`` is given.
    """

    key: str
    mod_revision: int | None = None
    value: bytes | None = None


@dataclass(frozen=True, slots=True)
class Put:
    """Writes a value, under a lease if one is given."""

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
    """Operations that are done if all conditions hold, and others if not.

    Nested transactions are decided each by its own conditions.
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
        Whether the conditions held.
    revision
        Store revision after the transaction.
    results
        For each operation that was done: values read by a ``Get``, the result
        of a nested transaction, or None.
    """

    succeeded: bool
    revision: int
    results: tuple[CommitResult | tuple[KeyValue, ...] | None, ...] = ()


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease and the time until which its holder may rely on it.

    Parameters
    ----------
    lease_id
        Id in the store.
    deadline
        Monotonic seconds, counted from before the request was sent.
    """

    lease_id: int
    deadline: float


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """A change of a key; ``value`` is None if it was deleted."""

    key: str
    value: bytes | None
    mod_revision: int


@dataclass(frozen=True, slots=True)
class WatchBatch:
    """Events of one revision range; empty as a sign of progress."""

    events: tuple[WatchEvent, ...] = field(default=())
    revision: int = 0


class Store(ABC):
    """Linearizable reads, compare-and-swap, leases and watches.

    Every method raises ``StoreUnavailableError`` if the operation surely had no
    effect and ``StoreOutcomeUnknownError`` if it may have had one. Each call,
    and each waiting watch, counts against the store's rate.
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
        """Read keys with a prefix in order, from ``start`` on, at most ``limit``.

        With ``stale`` the answer may be some seconds old, which costs the store less.
        """

    @abstractmethod
    async def commit(self, transaction: Transaction) -> CommitResult:
        """Do a transaction.

        Raises ``AlmondError`` ``lease_expired``, without any effect, if a put names
        a lease that lapsed.
        """

    @abstractmethod
    async def grant_lease(self, ttl: int) -> Lease:
        """Grant a lease of ``ttl`` seconds."""

    @abstractmethod
    async def keep_alive(self, lease: Lease) -> Lease:
        """Prolong a lease; raises ``AlmondError`` ``lease_expired`` if it lapsed."""

    @abstractmethod
    async def revoke_lease(self, lease: Lease) -> None:
        """Revoke a lease and delete its keys."""

    @abstractmethod
    def watch(self, prefix: str, *, from_revision: int) -> AsyncIterator[WatchBatch]:
        """Watch keys with a prefix; ends with an error when the store is lost."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
