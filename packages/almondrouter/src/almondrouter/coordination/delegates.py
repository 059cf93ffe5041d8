"""Delegates of the data centres and the overlay network between hosts.

The hosts of a data centre form a ring. Its two first-ranked hosts, the delegates,
exchange heartbeats and changes with other data centres on behalf of all.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import cached_property, lru_cache

import xxhash

from almondrouter.state.registry import HostRecord, HostStatus, Registry

DELEGATES_PER_DATA_CENTRE = 2
MONITORED_HOSTS = 3
# Silent and suspect hosts are monitored in addition to the three, so that several
# adjacent dead hosts are detected at once; the bound limits the heartbeats.
MAX_MONITORED_HOSTS = 9


def rank_hosts(records: Iterable[HostRecord], data_centre: str) -> list[HostRecord]:
    """Return the hosts of a data centre that can be its delegates, best first.

    Every daemon with the same records gets the same order (rendezvous hashing),
    and the loss of a host does not reorder the others. Suspect hosts keep their
    rank, because most suspicions are refuted; leaving hosts have none.
    """
    found = [
        record
        for record in records
        if record.data_centre == data_centre and record.takes_calls
    ]
    return sorted(found, key=lambda record: _hash_text(f"{data_centre}|{record.host}"))


class Overlay:
    """Overlay links of one host, derived from the registry.

    Parameters
    ----------
    registry
        Known hosts, including this one.
    record
        Record of this host.
    find_unreachable
        Returns the unreachable data centres. If the data centre that links its
        region to others is among them, another one that is reachable replaces it.
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
        self._cache_key: tuple[int, frozenset[str]] | None = None
        self._cached_links: _OverlayLinks

    @property
    def ring_neighbours(self) -> tuple[HostRecord, ...]:
        """Successors in the data centre's ring at distance 1, 2, 4, ..."""
        return self._get_links().ring_neighbours

    @property
    def monitored(self) -> tuple[HostRecord, ...]:
        """The next three non-suspect successors and the suspect hosts among them."""
        return self.select_monitored(lambda _: False)

    def select_monitored(
        self, is_silent: Callable[[str], bool]
    ) -> tuple[HostRecord, ...]:
        """Return `monitored`, with silent hosts counted like suspect ones."""
        found: list[HostRecord] = []
        responsive = 0
        for record in self._get_links().successors[:MAX_MONITORED_HOSTS]:
            found.append(record)
            suspect = record.status is HostStatus.SUSPECT
            responsive += not (suspect or is_silent(record.host))
            if responsive == MONITORED_HOSTS:
                break
        return tuple(found)

    @property
    def delegate_links(self) -> tuple[HostRecord, ...]:
        """Delegates of other data centres; empty unless the host is a delegate."""
        return self._get_links().delegate_links

    @property
    def rank(self) -> int | None:
        """Rank among the delegates of the data centre; None if not a delegate."""
        return self._get_links().rank

    @property
    def crosses_regions(self) -> bool:
        """Whether the host links to other regions as a delegate.

        The delegates of the first reachable data centre of each region do.
        """
        return self._get_links().crosses_regions

    @property
    def data_centres(self) -> tuple[str, ...]:
        """Data centres with hosts that accept calls, sorted."""
        return tuple(self._get_links().ranked_hosts)

    @property
    def linked_data_centres(self) -> tuple[str, ...]:
        """Data centres that the host links to as a delegate."""
        return tuple(self._get_links().linked)

    def distance_from(self, host: str) -> int | None:
        """Return the ring distance from another host to this one, None if unknown."""
        return self._get_links().distances.get(host)

    def ranked_hosts(self, data_centre: str) -> list[HostRecord]:
        """Return `rank_hosts` for a data centre."""
        return self._get_links().ranked_hosts.get(data_centre, [])

    def _get_links(self) -> _OverlayLinks:
        key = (self._registry.generation, self._find_unreachable())
        if key != self._cache_key:
            self._cache_key = key
            self._cached_links = _OverlayLinks(
                tuple(self._registry), self._record, key[1]
            )
        return self._cached_links


class _OverlayLinks:
    """Overlay links for one state of the registry."""

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
            key=lambda record: _hash_text(record.host),
        )
        own = _hash_text(self._own.host)
        start = sum(_hash_text(record.host) < own for record in ring)
        return ring[start:] + ring[:start]

    @cached_property
    def ring_neighbours(self) -> tuple[HostRecord, ...]:
        successors = self.successors
        exponents = range(len(successors).bit_length())
        return tuple(successors[2**exponent - 1] for exponent in exponents)

    @cached_property
    def distances(self) -> dict[str, int]:
        size = len(self.successors)
        return {r.host: size - index for index, r in enumerate(self.successors)}

    @cached_property
    def ranked_hosts(self) -> dict[str, list[HostRecord]]:
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
        delegates = self.ranked_hosts.get(self._own.data_centre, [])
        for index, record in enumerate(delegates[:DELEGATES_PER_DATA_CENTRE]):
            if record.host == self._own.host:
                return index
        return None

    @cached_property
    def _regions(self) -> dict[str, list[str]]:
        regions: dict[str, list[str]] = {}
        for name, hosts in self.ranked_hosts.items():
            regions.setdefault(hosts[0].region, []).append(name)
        return regions

    def _find_first_reachable(self, region: str) -> str:
        names = self._regions[region]
        reached = [name for name in names if name not in self._unreachable]
        return (reached or names)[0]

    @cached_property
    def crosses_regions(self) -> bool:
        own = self._own
        return (
            self.rank is not None
            and self._find_first_reachable(own.region) == own.data_centre
        )

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
                    names += others if cut_off else [self._find_first_reachable(region)]
        return names

    @cached_property
    def delegate_links(self) -> tuple[HostRecord, ...]:
        links: list[HostRecord] = []
        for name in self.linked:
            delegates = self.ranked_hosts[name][:DELEGATES_PER_DATA_CENTRE]
            if delegates[0].region != self._own.region:
                # Each delegate links to the one of its own rank in another region, so
                # that each change crosses between regions once per rank.
                delegates = delegates[self.rank :][:1] or delegates[:1]
            links += delegates
        return tuple(links)


@lru_cache(maxsize=16384)
def _hash_text(text: str) -> int:
    return xxhash.xxh3_64_intdigest(text.encode())
