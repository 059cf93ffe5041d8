"""Choice of the hosts that a daemon probes, and news of hosts that fall silent.

Designed for fleets of hundreds of hosts, where probing every host each second would
cost each daemon more than its calls. A daemon probes only its successors on a ring, so
that each host has a fixed number of observers. The first one that finds a host silent
tells all others, which then check their own links to it. Used by the daemon for hosting
platforms.
"""

from __future__ import annotations

import bisect
from collections.abc import Collection, Iterable, Mapping

import xxhash

from almondrouter.clock import Clock

PROBED_SUCCESSORS = 8
"""Hosts that a daemon probes, and observers of each host. Some of them see a host fall
silent even if most hosts fail at the same time."""
SUSPICION_TTL_S = 3.0
"""Seconds for which the silence of a host is old news; a host that is still silent
then is announced again."""
MIN_RESPONSIVE_SHARE = 0.5
"""Share of responding hosts among the probed ones below which all links are checked:
either many hosts have failed, or this one is cut off."""


class ProbeRing:
    """Ring of all hosts in the order of the hashes of their names.

    Neighbours on the ring are in different data centres more often than not, so that a
    data centre that is cut off has observers in the others.

    Parameters
    ----------
    own_host
        Name of this host.
    """

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._addresses: dict[str, str] = {}
        self._probed: frozenset[str] = frozenset()

    def update(self, addresses: Mapping[str, str]) -> frozenset[str]:
        """Return the peer addresses to probe.

        Parameters
        ----------
        addresses
            Peer address of each known host, by name.
        """
        if addresses != self._addresses:
            self._addresses = dict(addresses)
            successors = find_successors(self._own_host, addresses)
            self._probed = frozenset(addresses[host] for host in successors)
        return self._probed


def find_successors(own_host: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts behind one's own on the ring, at most `PROBED_SUCCESSORS`."""
    own = compute_position(own_host)
    ring = sorted(compute_position(host) for host in hosts if host != own_host)
    begin = bisect.bisect(ring, own)
    return [host for _, host in (ring[begin:] + ring[:begin])[:PROBED_SUCCESSORS]]


def compute_position(host: str) -> tuple[int, str]:
    """Return the position of a host on the ring."""
    return xxhash.xxh64_intdigest(host.encode()), host


class SuspicionLog:
    """Remembers which silent hosts are known to all, so that each is announced once.

    Parameters
    ----------
    clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._expires_at: dict[str, float] = {}

    def select_new(self, addresses: Iterable[str]) -> tuple[str, ...]:
        """Return the addresses that were not announced lately, and remember them."""
        new = tuple(a for a in dict.fromkeys(addresses) if not self._is_known(a))
        self.record(new)
        return new

    def record(self, addresses: Collection[str]) -> None:
        """Remember hosts that another daemon has announced."""
        now = self._clock.monotonic()
        if not addresses:
            return
        self._expires_at = {a: at for a, at in self._expires_at.items() if at > now}
        self._expires_at.update(dict.fromkeys(addresses, now + SUSPICION_TTL_S))

    def _is_known(self, address: str) -> bool:
        return self._expires_at.get(address, 0.0) > self._clock.monotonic()


def has_few_responsive(known: int, responsive: int) -> bool:
    """Return whether so few probed hosts respond that all links are to be checked."""
    return responsive < MIN_RESPONSIVE_SHARE * known
