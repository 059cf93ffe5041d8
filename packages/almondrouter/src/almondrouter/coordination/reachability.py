"""Which data centres can be reached, directly or through other data centres."""

from __future__ import annotations

from dataclasses import dataclass

from almondrouter.clock import Clock
from almondrouter.coordination.delegates import (
    DELEGATES_PER_DATA_CENTRE,
    Overlay,
    rank_hosts,
)
from almondrouter.state.registry import HostRecord, Registry

# Three heartbeats to a data centre, each to another of its hosts, have failed.
UNHEARD_SECONDS = 6.0
# Hosts of a data centre that are tried in turn while it is silent.
CANDIDATES = 8


@dataclass(slots=True)
class _Contact:
    """Heartbeats to one data centre; times in monotonic seconds."""

    heard_at: float
    misses: int = 0
    heard: bool = False


class Reachability:
    """Keeps contacts of this host and derives the view of the whole fleet.

    Parameters
    ----------
    registry, record
        As in `Membership`.
    clock
        Its monotonic time is used.
    """

    def __init__(self, registry: Registry, record: HostRecord, clock: Clock) -> None:
        self._registry = registry
        self._record = record
        self._clock = clock
        self._contacts: dict[str, _Contact] = {}
        self._key = -1
        self._unreachable: frozenset[str] = frozenset()

    def choose_data_centres(self, overlay: Overlay) -> tuple[str, ...]:
        """Return the data centres to send a heartbeat to now.

        Forgets the contacts of links that the host is no longer to hold.
        """
        linked = overlay.linked_data_centres
        for name in self._contacts.keys() - set(linked):
            del self._contacts[name]
        return linked

    def choose_host(self, overlay: Overlay, name: str) -> HostRecord | None:
        """Return the host of a data centre to ask; another one after each miss.

        Delegates ask those of their own rank first, so that both share the load.
        """
        ranks = overlay.ranks(name)
        contact = self._contacts.get(name)
        index = (overlay.rank or 0) + (contact.misses if contact is not None else 0)
        return ranks[index % min(len(ranks), CANDIDATES)] if ranks else None

    def record(self, name: str, *, heard: bool) -> None:
        """Take note whether a heartbeat to a data centre was answered."""
        now = self._clock.monotonic()
        contact = self._contacts.setdefault(name, _Contact(now))
        if heard:
            contact.heard, contact.heard_at, contact.misses = True, now, 0
        else:
            contact.misses += 1

    def reset(self) -> None:
        """Count nothing as missed, because this process itself stood still."""
        for contact in self._contacts.values():
            contact.heard_at, contact.misses = self._clock.monotonic(), 0

    def list_heard(self) -> tuple[str, ...]:
        """Return the data centres that answered lately, sorted."""
        oldest = self._clock.monotonic() - UNHEARD_SECONDS
        return tuple(
            name
            for name, contact in sorted(self._contacts.items())
            if contact.heard and contact.heard_at >= oldest
        )

    def find_unreachable(self) -> frozenset[str]:
        """Return the known data centres outside the reach of any chain."""
        if self._key != self._registry.generation:
            self._key = self._registry.generation
            self._unreachable = self._compute()
        return self._unreachable

    def _compute(self) -> frozenset[str]:
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
