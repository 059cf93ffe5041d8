"""The daemons that take part in roll-outs, and the links to them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol

from almondrouter.clock import Clock
from almondrouter.coordination.directory import HostDirectory
from almondrouter.protocol.calls import RolloutPlan, RolloutReport
from almondrouter.state.hosts import HostEntry

RECORDS_INTERVAL_S = 2.5
"""Shortest interval between reads of changed host records."""


class NoticeLinks(Protocol):
    """What roll-outs need of the links between daemons."""

    def send_notice(
        self, peer_address: str, notice: RolloutPlan | RolloutReport
    ) -> None:
        """Send a notice to a peer; does nothing if the link is not open."""

    def preconnect(self, peer_address: str) -> None:
        """Start to open the link to a daemon, unless it is open."""

    def is_alive(self, peer_address: str) -> bool:
        """Return whether a daemon has sent anything lately."""


class RolloutMembers:
    """Knows which peers understand the frames of roll-outs, and reaches them.

    Parameters
    ----------
    links
        Links to the other daemons.
    directory
        Known hosts.
    own_host
        Name of this host.
    """

    def __init__(
        self, links: NoticeLinks, directory: HostDirectory, *, own_host: str
    ) -> None:
        self._links = links
        self._directory = directory
        self._own_host = own_host
        self._hosts: set[str] = set()

    def note(self, host: str, *, knows_rollouts: bool) -> None:
        """Record what a peer has told of itself; it may have been replaced."""
        if knows_rollouts:
            self._hosts.add(host)
        else:
            self._hosts.discard(host)

    def open_links(self) -> None:
        """Open links to all known hosts, which then tell what they understand."""
        for entry in self._directory.entries:
            if entry.host != self._own_host:
                self._links.preconnect(entry.peer_address)

    def contact(self, address: str) -> None:
        """Open the link to a coordinator, which learns of this daemon by that."""
        if address:
            self._links.preconnect(address)

    def list_linked(self) -> frozenset[str]:
        """Return this host and the linked hosts that take part."""
        linked = {e.host for e in self._list_members() if self._is_alive(e)}
        return frozenset(linked | {self._own_host})

    def __len__(self) -> int:
        return len(self._list_members()) + 1

    def broadcast(self, plan: RolloutPlan, *, region: str | None = None) -> None:
        """Send a plan to all members, or to those of a region."""
        for entry in self._list_members():
            if region is None or entry.region == region:
                self._links.send_notice(entry.peer_address, plan)

    def report(self, address: str, report: RolloutReport) -> None:
        """Send a report to the coordinator."""
        self._links.preconnect(address)
        self._links.send_notice(address, report)

    def _list_members(self) -> list[HostEntry]:
        return [
            entry
            for entry in self._directory.entries
            if entry.host in self._hosts and entry.host != self._own_host
        ]

    def _is_alive(self, entry: HostEntry) -> bool:
        return self._links.is_alive(entry.peer_address)


class RecordSearch:
    """Looks for the servers of a plan that this daemon does not know.

    Servers of other regions tell only some hosts of this one of their start.

    Parameters
    ----------
    find_ready
        Returns name and version of the ready servers of a service.
    request_records
        Reads soon which host records have changed in the store.
    clock
        Source of monotonic time.
    """

    def __init__(
        self,
        find_ready: Callable[[str], list[tuple[str, str]]],
        request_records: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._find_ready = find_ready
        self._request_records = request_records
        self._clock = clock
        self._allowed_at = 0.0

    def look_for_servers(self, plan: RolloutPlan) -> None:
        """Read changed records if a plan needs servers that are not known."""
        now = self._clock.monotonic()
        if not plan.share or now < self._allowed_at:
            return
        ready = self._find_ready(plan.service)
        known = {name for name, version in ready if version == plan.target_version}
        if not known or not known.issuperset(plan.servers):
            self._allowed_at = now + RECORDS_INTERVAL_S
            self._request_records()


def list_ready(directory: HostDirectory, service: str) -> list[tuple[str, str]]:
    """Return name and version of the ready servers of a service, regions in turn.

    The servers of a trial are taken from the front, so that most daemons have one in
    their region.
    """
    numbered = []
    counts: Counter[tuple[str, str]] = Counter()
    for found in directory.find_destinations(service):
        group = found.region, found.version
        numbered.append((counts[group], found.region, found.backend, found.version))
        counts[group] += 1
    return [(name, version) for _, _, name, version in sorted(numbered)]
