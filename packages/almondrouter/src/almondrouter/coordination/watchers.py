"""Selection of the daemons that watch the store."""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum

from almondrouter.coordination.fleet import HostRanking
from almondrouter.state.registry import HostRecord, Registry

# Bounds the daemons that try to reach the store while it is down for all of them.
MAX_WATCHER_CANDIDATES = 4
# Data centres with a watcher if the spread is economical.
ECONOMICAL_DATA_CENTRES = 2
# Watchers in each data centre if the spread is fast.
FAST_WATCHERS = 2


class WatcherSpread(StrEnum):
    """How many daemons watch: few save control traffic, more deliver changes sooner."""

    ECONOMICAL = "economical"
    FAST = "fast"


class WatcherChoice:
    """Selects the daemons of a region that watch the store.

    Parameters
    ----------
    registry
        Known hosts.
    region
        Region of this daemon.
    rank
        Returns the live hosts of a data centre, the delegates first.
    spread
        ``economical``: the first delegate in each of two data centres;
        ``fast``: two delegates in every data centre.
    """

    def __init__(
        self,
        *,
        registry: Registry,
        region: str,
        rank: HostRanking,
        spread: WatcherSpread,
    ) -> None:
        self._registry = registry
        self._region = region
        self._rank = rank
        self._spread = spread
        self._ranked: dict[str, list[HostRecord]] = {}
        self._generation = -1

    def list_candidates(self, data_centre: str) -> list[HostRecord]:
        """Return the first hosts of a data centre, whether they reach the store or not.

        The number is limited to `MAX_WATCHER_CANDIDATES`.
        """
        if self._generation != self._registry.generation:
            self._ranked.clear()
            self._generation = self._registry.generation
        if data_centre not in self._ranked:
            ranked = self._rank(self._registry, data_centre)
            self._ranked[data_centre] = ranked[:MAX_WATCHER_CANDIDATES]
        return self._ranked[data_centre]

    def find_rank(self, record: HostRecord) -> int:
        """Return the rank of a host in its data centre, 0 for the first.

        Hosts that are no candidates have the rank `MAX_WATCHER_CANDIDATES`.
        """
        hosts = [item.host for item in self.list_candidates(record.data_centre)]
        return (
            hosts.index(record.host) if record.host in hosts else MAX_WATCHER_CANDIDATES
        )

    def choose(self, unreachable: Collection[str]) -> frozenset[str]:
        """Return the hosts of the region that are to watch the store.

        Parameters
        ----------
        unreachable
            Data centres that this daemon cannot reach. It receives nothing from
            watchers there, so others are chosen.
        """
        names = self._list_data_centres(unreachable)
        capable = {name: self._list_store_capable(name) for name in names}
        capable = {name: records for name, records in capable.items() if records}
        if not capable:
            capable = {name: self.list_candidates(name) for name in names}
        if self._spread is WatcherSpread.ECONOMICAL:
            first = list(capable.values())[:ECONOMICAL_DATA_CENTRES]
            return frozenset(r.host for records in first for r in records[:1])
        return frozenset(
            r.host for records in capable.values() for r in records[:FAST_WATCHERS]
        )

    def reaches_store(self, unreachable: Collection[str]) -> bool:
        """Return whether a candidate in a reachable data centre reaches the store."""
        names = {record.data_centre for record in self._registry}
        return any(self._list_store_capable(name) for name in names - set(unreachable))

    def _list_data_centres(self, unreachable: Collection[str]) -> list[str]:
        names = {r.data_centre for r in self._registry if r.region == self._region}
        return sorted(names - set(unreachable))

    def _list_store_capable(self, data_centre: str) -> list[HostRecord]:
        return [r for r in self.list_candidates(data_centre) if not r.store_down]
