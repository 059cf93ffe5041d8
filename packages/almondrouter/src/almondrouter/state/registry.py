"""Host records that daemons exchange over control links, and their registry.

The records that a hosting platform stores are in `almondrouter.state.hosts`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from enum import IntEnum

import msgspec
import xxhash


class HostStatus(IntEnum):
    """Status of a daemon.

    The higher status wins between records of the same incarnation and sequence.
    """

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


class BackendState(IntEnum):
    """State of a backend server as known to the daemon on its host."""

    READY = 0
    DRAINING = 1
    GONE = 2


class BackendRecord(msgspec.Struct, frozen=True, array_like=True):
    """Backend server on the host of a record.

    Parameters
    ----------
    name
        Unique name of this run of the backend server.
    service
        Service that it serves.
    slots
        Number of calls that it runs concurrently.
    state
        Whether it accepts calls.
    """

    name: str
    service: str
    slots: int
    state: BackendState = BackendState.READY


class HostRecord(msgspec.Struct, frozen=True, array_like=True):
    """Record of a daemon and its host.

    Written by the daemon itself; other daemons change only its status, when it does
    not respond.

    Parameters
    ----------
    host, data_centre, region
        Names from the daemon's settings.
    control_address, peer_address
        ``ip:port`` of control messages and of call links.
    incarnation
        Identifies the run of the daemon; higher after each restart.
    sequence
        Counter that the daemon increments with each change of its own record.
    status
        Status of the daemon.
    backends
        Backend servers on the host.
    reaches
        Other data centres that the daemon exchanges heartbeats with.
    store_down
        Whether the daemon recently tried to reach the store and failed.
    """

    host: str
    data_centre: str
    region: str
    control_address: str
    peer_address: str
    incarnation: int
    sequence: int = 0
    status: HostStatus = HostStatus.ALIVE
    backends: tuple[BackendRecord, ...] = ()
    reaches: tuple[str, ...] = ()
    store_down: bool = False

    def order_key(self) -> tuple[int, int, int]:
        """Return a key that orders the records of a host from oldest to newest."""
        return make_order_key(self.incarnation, self.sequence, self.status)

    def fingerprint(self) -> int:
        """Return a 64-bit hash of host, incarnation, sequence and status."""
        text = f"{self.host}|{self.incarnation}|{self.sequence}|{int(self.status)}"
        return xxhash.xxh3_64_intdigest(text.encode())

    @property
    def takes_calls(self) -> bool:
        """Whether new calls may be sent to the host."""
        return self.status in (HostStatus.ALIVE, HostStatus.SUSPECT)


def make_order_key(
    incarnation: int, sequence: int, status: HostStatus | int
) -> tuple[int, int, int]:
    """Return a key that orders the records of a host from oldest to newest.

    ``LEFT`` is final: it is newer than every other record of its incarnation.
    """
    if status == HostStatus.LEFT:
        sequence = _LEFT_SEQUENCE
    return (incarnation, sequence, int(status))


# Larger than any sequence number that a daemon counts up to.
_LEFT_SEQUENCE = 2**62


class Registry:
    """Newest known record of each host.

    Notes
    -----
    ``generation`` increases with each change of the registry, so that users of data
    compiled from it can tell whether that data is out of date.
    """

    def __init__(self) -> None:
        self._records: dict[str, HostRecord] = {}
        self._digests: dict[str, int] = {}
        self.generation = 0

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[HostRecord]:
        return iter(self._records.values())

    def find(self, host: str) -> HostRecord | None:
        """Return the record of a host, or None."""
        return self._records.get(host)

    def merge(self, records: Iterable[HostRecord]) -> list[HostRecord]:
        """Store the records that are newer than the known ones, and return them."""
        accepted = [record for record in records if self._store_if_newer(record)]
        if accepted:
            self.generation += 1
        return accepted

    def remove(self, host: str) -> None:
        """Remove the record of a host, such as one that died or left long ago."""
        record = self._records.pop(host, None)
        if record is not None:
            self._xor_into_digest(record)
            self.generation += 1

    def digests(self) -> dict[str, int]:
        """Return one 64-bit digest for each data centre with a live host.

        Dead and left hosts are excluded, so that daemons that have already removed
        them compute the same digests as those that have not.
        """
        return dict(self._digests)

    def list_data_centre(self, data_centre: str) -> list[HostRecord]:
        """Return the records of a data centre, sorted by host."""
        found = (r for r in self._records.values() if r.data_centre == data_centre)
        return sorted(found, key=lambda record: record.host)

    def _store_if_newer(self, record: HostRecord) -> bool:
        known = self._records.get(record.host)
        if known is not None and known.order_key() >= record.order_key():
            return False
        if known is not None:
            self._xor_into_digest(known)
        self._records[record.host] = record
        self._xor_into_digest(record)
        return True

    def _xor_into_digest(self, record: HostRecord) -> None:
        if record.status >= HostStatus.DEAD:
            return
        # The same operation adds a record to the digest and removes it again.
        digest = self._digests.get(record.data_centre, 0) ^ record.fingerprint()
        if digest:
            self._digests[record.data_centre] = digest
        else:
            self._digests.pop(record.data_centre, None)
