"""Choice of the hosts in other regions that a daemon keeps links to.

Designed for fleets of hundreds of hosts. A link to every host costs a handshake and a
copy of each changed host record, mostly between regions, where traffic is dearest and
few calls go. A daemon keeps links to all hosts of its own region, and in other regions
to a few backend servers of each service, which serve its calls while its own region
cannot. Used by the daemon for hosting platforms.
"""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterable, Sequence

from almondrouter.coordination.probing import compute_position
from almondrouter.state.hosts import HostEntry, ServingState

REMOTE_SERVERS_PER_SERVICE = 4
"""Backend servers of each service that a daemon keeps links to in each other region.
Some of them are left if half of the region fails; fleets with fewer of them keep links
between all hosts."""

Position = tuple[int, str]


class LinkSubset:
    """Deterministic subset of hosts, the same in the view of both ends of a link.

    In each other region a daemon chooses, for each service, the backend servers that
    follow it on a ring of hashed host names. A daemon beside a backend server therefore
    knows which hosts have chosen it, and keeps links to them, too: it sends its record
    to the hosts that it has links to.

    Parameters
    ----------
    own_host, own_region
        Host and region of this daemon.
    """

    def __init__(self, own_host: str, own_region: str) -> None:
        self._own_host = own_host
        self._own_region = own_region
        self._positions: dict[str, Position] = {}

    def select(self, entries: Iterable[HostEntry]) -> list[HostEntry]:
        """Return the hosts to keep links to.

        Parameters
        ----------
        entries
            Records of all known hosts; the own one may be missing.
        """
        hosts = {entry.host: entry for entry in entries}
        known = self._positions
        self._positions = {h: known.get(h) or compute_position(h) for h in hosts}
        own = hosts.pop(self._own_host, None)
        remote = [e for e in hosts.values() if e.region != self._own_region]
        chosen = {e.host for e in hosts.values() if e.region == self._own_region}
        chosen |= self._choose_servers(remote)
        if own is not None and is_ready(own):
            chosen |= self._find_choosers(own, hosts.values(), remote)
        return [hosts[host] for host in sorted(chosen)]

    def _choose_servers(self, remote: Sequence[HostEntry]) -> set[str]:
        """Return the backend servers of other regions that this host chooses."""
        groups = defaultdict(list)
        for entry in remote:
            if is_ready(entry):
                group = entry.region, entry.backend.service
                groups[group].append(self._positions[entry.host])
        own = compute_position(self._own_host)
        chosen = set()
        for positions in groups.values():
            ring = sorted(positions)
            begin = bisect.bisect(ring, own)
            following = (ring[begin:] + ring[:begin])[:REMOTE_SERVERS_PER_SERVICE]
            chosen |= {host for _, host in following}
        return chosen

    def _find_choosers(
        self, own: HostEntry, others: Iterable[HostEntry], remote: Sequence[HostEntry]
    ) -> set[str]:
        """Return the hosts of other regions that choose the server of this host."""
        ring = [self._positions[own.host]]
        for entry in others:
            if is_same_group(entry, own):
                ring.append(self._positions[entry.host])
        ring.sort()
        own_index = bisect.bisect_left(ring, self._positions[own.host])
        choosers = set()
        for entry in remote:
            first = bisect.bisect(ring, self._positions[entry.host])
            if (own_index - first) % len(ring) < REMOTE_SERVERS_PER_SERVICE:
                choosers.add(entry.host)
        return choosers


def is_ready(entry: HostEntry) -> bool:
    """Return whether the backend server of a host accepts calls."""
    return entry.backend is not None and entry.backend.state is ServingState.READY


def is_same_group(entry: HostEntry, own: HostEntry) -> bool:
    """Return whether a host offers the service of another one in the same region."""
    return (
        is_ready(entry)
        and entry.region == own.region
        and entry.backend.service == own.backend.service
    )
