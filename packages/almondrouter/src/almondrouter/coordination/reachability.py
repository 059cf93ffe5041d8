"""Tracks which data centres are reachable, directly or through other data centres."""

from __future__ import annotations

from dataclasses import dataclass

from almondrouter.clock import Clock
from almondrouter.coordination.delegates import (
    DELEGATES_PER_DATA_CENTRE,
    Overlay,
    rank_hosts,
)
from almondrouter.state.registry import HostRecord, Registry

# Time in which three heartbeats fail, each to a different host of the data centre.
RESPONSE_TIMEOUT_SECONDS = 6.0
# Hosts of a data centre that are tried in turn while it does not respond.
MAX_HOSTS_TRIED = 8


@dataclass(slots=True)
class _Contact:
    """State of the heartbeats to one data centre.

    Parameters
    ----------
    last_reply_at
        Monotonic time in seconds of the last reply; of the first heartbeat or of
        the last `Reachability.reset` if that was later.
    misses
        Heartbeats without a reply since the last reply.
    answered
        Whether any heartbeat has been answered.
    """

    last_reply_at: float
    misses: int = 0
    answered: bool = False


class Reachability:
    """Tracks heartbeats to other data centres and derives which can be reached.

    Parameters
    ----------
    registry, record
        Registry of the known hosts and the record of this host.
    clock
        Source of monotonic time.
    """

    def __init__(self, registry: Registry, record: HostRecord, clock: Clock) -> None:
        self._registry = registry
        self._record = record
        self._clock = clock
        self._contacts: dict[str, _Contact] = {}
        self._generation = -1
        self._unreachable: frozenset[str] = frozenset()

    def choose_data_centres(self, overlay: Overlay) -> tuple[str, ...]:
        """Return the data centres to send a heartbeat to now.

        Drops the state of data centres that this host no longer links to.
        """
        linked = overlay.linked_data_centres
        for name in self._contacts.keys() - set(linked):
            del self._contacts[name]
        return linked

    def choose_host(self, overlay: Overlay, name: str) -> HostRecord | None:
        """Return the host to send a heartbeat to; a different one after each miss.

        Delegates start with the host of their own rank, to spread the load.
        """
        hosts = overlay.ranked_hosts(name)
        contact = self._contacts.get(name)
        index = (overlay.rank or 0) + (contact.misses if contact is not None else 0)
        return hosts[index % min(len(hosts), MAX_HOSTS_TRIED)] if hosts else None

    def record_heartbeat(self, name: str, *, answered: bool) -> None:
        """Record whether a heartbeat to a data centre was answered."""
        now = self._clock.monotonic()
        contact = self._contacts.setdefault(name, _Contact(now))
        if answered:
            contact.answered, contact.last_reply_at, contact.misses = True, now, 0
        else:
            contact.misses += 1

    def reset(self) -> None:
        """Clear all misses and restart the timeouts after this process was frozen."""
        for contact in self._contacts.values():
            contact.last_reply_at, contact.misses = self._clock.monotonic(), 0

    def list_responsive(self) -> tuple[str, ...]:
        """Return the data centres that replied within the timeout, sorted."""
        oldest = self._clock.monotonic() - RESPONSE_TIMEOUT_SECONDS
        return tuple(
            name
            for name, contact in sorted(self._contacts.items())
            if contact.answered and contact.last_reply_at >= oldest
        )

    def find_unreachable(self) -> frozenset[str]:
        """Return the known data centres that no chain of delegates reaches."""
        if self._generation != self._registry.generation:
            self._generation = self._registry.generation
            self._unreachable = self._compute_unreachable()
        return self._unreachable

    def _compute_unreachable(self) -> frozenset[str]:
        live = [record for record in self._registry if record.takes_calls]
        names = {record.data_centre for record in live}
        reached = {self._record.data_centre}
        frontier = [self._record.data_centre]
        while frontier:
            delegates = rank_hosts(live, frontier.pop())
            for delegate in delegates[:DELEGATES_PER_DATA_CENTRE]:
                new = set(delegate.reaches) - reached
                reached |= new
                frontier += new
        return frozenset(names - reached)
