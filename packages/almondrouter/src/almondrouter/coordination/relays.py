"""Election of the daemon that watches the store on behalf of its region.

One daemon per region, the relay, watches the store and sends each version to the
others over the links, because calls to the store and traffic between regions are
billed and configurations may follow each other quickly. Another daemon takes over as
soon as the relay stops responding or loses the store, also while a change is being
distributed. The next ones by name, the standbys, watch the relay closely, so that one
of them reads a new configuration in time if the relay is frozen.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

MAX_STANDBYS = 3
"""Daemons of a region that notice a silent relay soon, the first ones after it by name.
More than one, as the relay and its successor may fail together."""


@dataclass(frozen=True, slots=True)
class RelayCandidate:
    """Another daemon of the same region.

    Parameters
    ----------
    host
        Name of the host; the alphabetically first eligible host is the relay.
    responsive
        Whether its link has received data recently.
    reaches_store
        Whether it reports that the store responds to it.
    """

    host: str
    responsive: bool
    reaches_store: bool


class RelayElection:
    """Elects the relay locally, by the order of host names.

    Daemons with different views may elect two relays at a time, which does no harm.

    Parameters
    ----------
    own_host
        Name of this host.
    reaches_store
        Returns whether the store responds to this daemon.
    """

    def __init__(self, own_host: str, *, reaches_store: Callable[[], bool]) -> None:
        self._own_host = own_host
        self._reaches_store = reaches_store

    def is_relay(self, others: Iterable[RelayCandidate]) -> bool:
        """Return whether this daemon watches the store itself.

        Notes
        -----
        A daemon that knows no other daemon that reaches the store keeps trying.
        """
        relay = self.find_relay(others)
        if relay is None:
            return True
        return self._reaches_store() and self._own_host < relay

    def list_predecessors(self, others: Iterable[RelayCandidate]) -> list[str]:
        """Return the hosts that this daemon stands by for, if it is a standby.

        Notes
        -----
        Silent ones are included: they count as responsive again if they are watched
        less closely.
        """
        predecessors = [c.host for c in others if c.host < self._own_host]
        return predecessors if len(predecessors) <= MAX_STANDBYS else []

    def find_relay(self, others: Iterable[RelayCandidate]) -> str | None:
        """Return the first other daemon that could be the relay, if there is one."""
        eligible = [c.host for c in others if c.responsive and c.reaches_store]
        return min(eligible, default=None)
