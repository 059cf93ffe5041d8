"""Directory of the known hosts and of the backend servers that accept calls."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from almondrouter.clock import Clock
from almondrouter.logs import EventLogger
from almondrouter.state.hosts import Departure, HostEntry, ServingState
from almondrouter.state.snapshot import Destination

LOST_RECORD_GRACE_S = 2.5
"""Seconds for which a host is kept after its record has left the store, so that a
record that is written again in time does not interrupt its calls."""

MAX_DEPARTURES = 2_000
"""Limit of remembered departures, one per host. They are kept beyond the records of
their hosts, as a daemon that has restarted is reminded of its own."""

_log = EventLogger("directory")


@dataclass(slots=True)
class _KnownHost:
    entry: HostEntry
    expires_at: float | None = None


class HostDirectory:
    """Keeps the newest record of each host and derives the destinations of calls.

    Parameters
    ----------
    clock
        Source of monotonic time.
    is_alive
        Returns whether the daemon at a peer address has sent data recently. The
        lease of a record expires while its writer cannot reach the store; a host
        that still responds on its link is therefore kept without a record.
    on_record
        Called with each record that is new.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        is_alive: Callable[[str], bool],
        on_record: Callable[[HostEntry], None] = lambda entry: None,
    ) -> None:
        self._clock = clock
        self._on_record = on_record
        self._is_alive = is_alive
        self._hosts: dict[str, _KnownHost] = {}
        self._host_by_address: dict[str, str] = {}
        self._departures: dict[str, Departure] = {}
        self._destinations: dict[str, tuple[Destination, ...]] = {}
        self._outdated = False
        self.revision = 0
        """Counter that grows with each change of a record."""

    def __len__(self) -> int:
        return len(self._hosts)

    @property
    def entries(self) -> list[HostEntry]:
        """Return the records of all known hosts."""
        return [known.entry for known in self._hosts.values()]

    def find_destinations(self, service: str) -> tuple[Destination, ...]:
        """Return the backend servers that accept calls for a service."""
        if self._outdated:
            self._rebuild_destinations()
        return self._destinations.get(service, ())

    def put(self, entry: HostEntry) -> None:
        """Store a record unless a newer one of the same host or address is known.

        The departure that it names holds in any case.
        """
        if entry.departure is not None:
            self._record_departure(entry.host, entry.departure)
        known = self._hosts.get(entry.host)
        if known is not None and (
            known.entry == entry or known.entry.recency_key > entry.recency_key
        ):
            known.expires_at = None
            return
        if not self._assign_address(entry):
            return
        _log.info("host record changed", **describe_entry(entry))
        self._hosts[entry.host] = _KnownHost(entry)
        self._record_change()
        self._on_record(entry)

    def find_departure(self, host: str) -> Departure | None:
        """Return the latest departure that records of a host have named."""
        return self._departures.get(host)

    def _record_departure(self, host: str, departure: Departure) -> None:
        known = self._departures.get(host)
        if known is not None and known.started_ms >= departure.started_ms:
            return
        if known is None and len(self._departures) >= MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]
        self._departures[host] = departure
        self._record_change()

    def _assign_address(self, entry: HostEntry) -> bool:
        """Assign a peer address to the newest host that uses it.

        Returns
        -------
        bool
            Whether the address now belongs to the host of ``entry``.

        Notes
        -----
        Addresses of stopped hosts are reused. A link to a reused address responds,
        but does not show that the previous host at this address is alive.
        """
        previous_host = self._host_by_address.get(entry.peer_address, entry.host)
        known = self._hosts.get(previous_host)
        if previous_host != entry.host and known is not None:
            if known.entry.incarnation > entry.incarnation:
                return False
            del self._hosts[previous_host]
            _log.info(
                "host removed; another host uses its address",
                peer=previous_host,
                address_of=entry.host,
            )
        self._host_by_address[entry.peer_address] = entry.host
        return True

    def mark_lost(self, host: str) -> None:
        """Schedule the removal of a host whose record has left the store."""
        known = self._hosts.get(host)
        if known is not None and known.expires_at is None:
            known.expires_at = self._clock.monotonic() + LOST_RECORD_GRACE_S
            _log.info(
                "host record left the store; keeping the host for a grace period",
                peer=host,
            )

    def replace_all(
        self,
        entries: Mapping[str, HostEntry],
        *,
        own_host: str = "",
        stale: bool = False,
    ) -> None:
        """Apply a complete read of the host records in the store.

        Parameters
        ----------
        own_host
            Host that is never removed; it has no link to itself that could show
            that it is alive.
        stale
            Whether the read may predate the records of some hosts. Hosts that are
            missing from a stale read are kept while their links respond.
        """
        for entry in entries.values():
            self.put(entry)
        for host in set(self._hosts) - set(entries) - {own_host}:
            if not stale or not self._is_alive(self._hosts[host].entry.peer_address):
                self.mark_lost(host)

    def expire(self) -> None:
        """Remove the hosts whose records did not return within the grace period.

        Hosts that still respond on their links are kept.
        """
        now = self._clock.monotonic()
        for host, known in tuple(self._hosts.items()):
            if known.expires_at is None or now < known.expires_at:
                continue
            if self._is_alive(known.entry.peer_address):
                continue
            del self._hosts[host]
            if self._host_by_address.get(known.entry.peer_address) == host:
                del self._host_by_address[known.entry.peer_address]
            _log.info("host removed; its record did not return", peer=host)
            self._record_change()

    def _record_change(self) -> None:
        self._outdated = True
        self.revision += 1

    def _rebuild_destinations(self) -> None:
        self._outdated = False
        grouped: dict[str, list[Destination]] = {}
        for known in self._hosts.values():
            entry = known.entry
            backend = entry.backend
            if backend is None or backend.state is not ServingState.READY:
                continue
            departure = self._departures.get(entry.host)
            if departure is not None and departure.includes(backend):
                # A daemon that has restarted may not know of it yet.
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
                version=backend.version,
            )
            grouped.setdefault(backend.service, []).append(destination)
        self._destinations = {
            service: tuple(sorted(found, key=lambda item: item.host))
            for service, found in grouped.items()
        }


def describe_entry(entry: HostEntry) -> dict[str, object]:
    """Return the log fields that describe a record."""
    backend = entry.backend
    return {
        "peer": entry.host,
        "incarnation": entry.incarnation,
        "backend": backend.backend if backend else "",
        "service": backend.service if backend else "",
        "state": backend.state.value if backend else "none",
    }
