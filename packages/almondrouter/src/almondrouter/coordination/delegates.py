"""Ranks of the hosts of a data centre and the overlay that they span."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import cached_property, lru_cache

import xxhash

from almondrouter.state.registry import HostRecord, HostStatus, Registry

DELEGATES_PER_DATA_CENTRE = 2
MONITORED_HOSTS = 3
# Silent and suspect hosts are watched on top of the three, so that a run of dead
# neighbours is found together; the bound limits the heartbeats.
MAX_MONITORED_HOSTS = 9


def rank_hosts(records: Iterable[HostRecord], data_centre: str) -> list[HostRecord]:
    """Return the hosts of a data centre that can be its delegates, best first.

    Every daemon with the same records gets the same order (rendezvous hashing),
    and the loss of a host moves no other. Suspect hosts keep their rank, because
    most suspicions are refuted; hosts that leave have none.
    """
    found = [
        record
        for record in records
        if record.data_centre == data_centre and record.takes_calls
    ]
    return sorted(found, key=lambda record: _hash(f"{data_centre}|{record.host}"))


class Overlay:
    """Links of one host, worked out from the registry.

    Parameters
    ----------
    registry
        Holds the host's own record too.
    record
        Names the host, its data centre and region.
    find_unreachable
        Returns the data centres that are cut off; they are passed over when
        another data centre can stand in for them.
    """

    def __init__(
        self,
        registry: Registry,
        record: HostRecord,
        *,
        find_unreachable: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._registry = registry
        self._record = record
        self._find_unreachable = find_unreachable
        self._key: tuple[int, frozenset[str]] | None = None
        self._current: _Links

    @property
    def ring_neighbours(self) -> tuple[HostRecord, ...]:
        """Successors in the data centre's ring at distance 1, 2, 4, ..."""
        return self._links().ring_neighbours

    @property
    def monitored(self) -> tuple[HostRecord, ...]:
        """The three next successors, and the suspect ones among and before them."""
        return self.select_monitored(lambda _: False)

    def select_monitored(
        self, is_silent: Callable[[str], bool]
    ) -> tuple[HostRecord, ...]:
        """Return `monitored` with hosts that do not answer on top of the three."""
        found: list[HostRecord] = []
        sound = 0
        for record in self._links().successors[:MAX_MONITORED_HOSTS]:
            found.append(record)
            suspect = record.status is HostStatus.SUSPECT
            sound += not (suspect or is_silent(record.host))
            if sound == MONITORED_HOSTS:
                break
        return tuple(found)

    @property
    def delegate_links(self) -> tuple[HostRecord, ...]:
        """Delegates of other data centres; empty unless the host is a delegate."""
        return self._links().delegate_links

    @property
    def rank(self) -> int | None:
        """Rank among the delegates of the data centre; None if it is not one."""
        return self._links().rank

    @property
    def crosses_regions(self) -> bool:
        """Whether the host is a delegate of its region's first data centre."""
        return self._links().crosses_regions

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Data centres with hosts that are not dead, sorted."""
        return tuple(self._links().ranks)

    @property
    def linked_data_centres(self) -> tuple[str, ...]:
        """Data centres that the host links to as a delegate."""
        return tuple(self._links().linked)

    def distance_from(self, host: str) -> int | None:
        """Return how far this host follows another on the ring; None off it."""
        return self._links().distances.get(host)

    def ranks(self, data_centre: str) -> list[HostRecord]:
        """Return `rank_hosts` for a data centre."""
        return self._links().ranks.get(data_centre, [])

    def _links(self) -> _Links:
        key = (self._registry.generation, self._find_unreachable())
        if key != self._key:
            self._key = key
            self._current = _Links(tuple(self._registry), self._record, key[1])
        return self._current


class _Links:
    """The overlay for one state of the registry."""

    def __init__(
        self,
        records: tuple[HostRecord, ...],
        own: HostRecord,
        unreachable: frozenset[str],
    ) -> None:
        self._records = records
        self._own = own
        self._unreachable = unreachable

    @cached_property
    def successors(self) -> list[HostRecord]:
        ring = sorted(
            (
                record
                for record in self._records
                if record.data_centre == self._own.data_centre
                and record.status < HostStatus.DEAD
                and record.host != self._own.host
            ),
            key=lambda record: _hash(record.host),
        )
        own = _hash(self._own.host)
        start = sum(_hash(record.host) < own for record in ring)
        return ring[start:] + ring[:start]

    @cached_property
    def ring_neighbours(self) -> tuple[HostRecord, ...]:
        successors = self.successors
        steps = range(len(successors).bit_length())
        return tuple(successors[2**step - 1] for step in steps)

    @cached_property
    def distances(self) -> dict[str, int]:
        size = len(self.successors)
        return {r.host: size - index for index, r in enumerate(self.successors)}

    @cached_property
    def ranks(self) -> dict[str, list[HostRecord]]:
        by_data_centre: dict[str, list[HostRecord]] = {}
        for record in self._records:
            if record.takes_calls:
                by_data_centre.setdefault(record.data_centre, []).append(record)
        return {
            name: rank_hosts(by_data_centre[name], name)
            for name in sorted(by_data_centre)
        }

    @cached_property
    def rank(self) -> int | None:
        delegates = self.ranks.get(self._own.data_centre, [])
        for index, record in enumerate(delegates[:DELEGATES_PER_DATA_CENTRE]):
            if record.host == self._own.host:
                return index
        return None

    @cached_property
    def _regions(self) -> dict[str, list[str]]:
        regions: dict[str, list[str]] = {}
        for name, hosts in self.ranks.items():
            regions.setdefault(hosts[0].region, []).append(name)
        return regions

    def _find_first(self, region: str) -> str:
        names = self._regions[region]
        reached = [name for name in names if name not in self._unreachable]
        return (reached or names)[0]

    @cached_property
    def crosses_regions(self) -> bool:
        own = self._own
        return self.rank is not None and self._find_first(own.region) == own.data_centre

    @cached_property
    def linked(self) -> list[str]:
        if self.rank is None:
            return []
        own = self._own
        names = [n for n in self._regions[own.region] if n != own.data_centre]
        if self.crosses_regions:
            for region, others in self._regions.items():
                if region != own.region:
                    cut_off = self._unreachable.issuperset(others)
                    names += others if cut_off else [self._find_first(region)]
        return names

    @cached_property
    def delegate_links(self) -> tuple[HostRecord, ...]:
        links: list[HostRecord] = []
        for name in self.linked:
            delegates = self.ranks[name][:DELEGATES_PER_DATA_CENTRE]
            if delegates[0].region != self._own.region:
                # One copy of each change crosses between regions for each rank.
                delegates = delegates[self.rank :][:1] or delegates[:1]
            links += delegates
        return tuple(links)


@lru_cache(maxsize=16384)
def _hash(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
