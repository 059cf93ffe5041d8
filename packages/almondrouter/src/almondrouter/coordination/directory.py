"""The hosts and backend servers that are known, and which of them take work."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from almondrouter.clock import Clock
from almondrouter.logs import EventLogger
from almondrouter.state.hosts import HostEntry, ServingState
from almondrouter.state.snapshot import Destination

RETURN_GRACE_S = 2.5
"""Seconds in which a record that was lost may come back before its host is gone."""

_log = EventLogger("directory")


@dataclass(slots=True)
class _Known:
    entry: HostEntry
    gone_at: float | None = None


class HostDirectory:
    """Keeps the last record of each host.

    Parameters
    ----------
    clock
        Source of monotonic time.
    is_alive
        Returns whether the daemon at a peer address was heard lately. A record
        can be lost while the store is away from its writer; a host that answers
        on its link is kept without one.
    """

    def __init__(self, *, clock: Clock, is_alive: Callable[[str], bool]) -> None:
        self._clock = clock
        self._is_alive = is_alive
        self._known: dict[str, _Known] = {}
        self._holders: dict[str, str] = {}
        self._destinations: dict[str, tuple[Destination, ...]] = {}

    def __len__(self) -> int:
        return len(self._known)

    @property
    def entries(self) -> list[HostEntry]:
        """Return the records of all known hosts."""
        return [known.entry for known in self._known.values()]

    def find_destinations(self, service: str) -> tuple[Destination, ...]:
        """Return the backend servers that take work for a service."""
        return self._destinations.get(service, ())

    def put(self, entry: HostEntry) -> None:
        """Take over a record, unless a later one of its host is known."""
        known = self._known.get(entry.host)
        if known is not None and known.entry.recency_key > entry.recency_key:
            known.gone_at = None
            return
        if not self._take_address(entry):
            return
        if known is None or known.entry != entry:
            _log.info("host record changed", **describe_entry(entry))
        self._known[entry.host] = _Known(entry)
        self._rebuild()

    def _take_address(self, entry: HostEntry) -> bool:
        """Give a peer address to its later host; return whether that is this one.

        Notes
        -----
        Addresses of hosts that are gone are used again. A link to such an address
        answers, but says nothing of the host that had it before.
        """
        holder = self._holders.get(entry.peer_address, entry.host)
        known = self._known.get(holder)
        if holder != entry.host and known is not None:
            if known.entry.incarnation > entry.incarnation:
                return False
            del self._known[holder]
            _log.info("host is gone", peer=holder, address_of=entry.host)
        self._holders[entry.peer_address] = entry.host
        return True

    def mark_lost(self, host: str) -> None:
        """Begin to give up a host whose record is gone."""
        known = self._known.get(host)
        if known is not None and known.gone_at is None:
            known.gone_at = self._clock.monotonic() + RETURN_GRACE_S
            _log.info("host record lost", peer=host)

    def replace_all(
        self,
        entries: Mapping[str, HostEntry],
        *,
        own_host: str = "",
        stale: bool = False,
    ) -> None:
        """Take over a whole reading of the store.

        Parameters
        ----------
        own_host
            Host that is never lost; it has no link to itself that could answer.
        stale
            Whether the reading may be older than the record of a host that answers.
        """
        for entry in entries.values():
            self.put(entry)
        for host in set(self._known) - set(entries) - {own_host}:
            if not stale or not self._is_alive(self._known[host].entry.peer_address):
                self.mark_lost(host)

    def expire(self) -> None:
        """Forget the hosts whose records did not come back."""
        now = self._clock.monotonic()
        for host, known in tuple(self._known.items()):
            if known.gone_at is None or now < known.gone_at:
                continue
            if self._is_alive(known.entry.peer_address):
                continue
            del self._known[host]
            if self._holders.get(known.entry.peer_address) == host:
                del self._holders[known.entry.peer_address]
            _log.info("host is gone", peer=host)
            self._rebuild()

    def _rebuild(self) -> None:
        grouped: dict[str, list[Destination]] = {}
        for known in self._known.values():
            entry = known.entry
            backend = entry.backend
            if backend is None or backend.state is not ServingState.READY:
                continue
            destination = Destination(
                backend=backend.backend,
                host=entry.host,
                data_centre=entry.data_centre,
                region=entry.region,
                peer_address=entry.peer_address,
                incarnation=entry.incarnation,
                slots=backend.slots,
                suspect=False,
            )
            grouped.setdefault(backend.service, []).append(destination)
        self._destinations = {
            service: tuple(sorted(found, key=lambda item: item.host))
            for service, found in grouped.items()
        }


def describe_entry(entry: HostEntry) -> dict[str, object]:
    """Return the fields of a log line about a record."""
    backend = entry.backend
    return {
        "peer": entry.host,
        "incarnation": entry.incarnation,
        "backend": backend.backend if backend else "",
        "service": backend.service if backend else "",
        "state": backend.state.value if backend else "none",
    }
