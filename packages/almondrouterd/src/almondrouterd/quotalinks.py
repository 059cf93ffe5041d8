"""Hosts that take part in quotas, and the frames that go to them."""

from __future__ import annotations

from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.quotas.ranking import rank_hosts
from almondrouter.protocol.calls import HostNotice
from almondrouter.protocol.quotas import QuotaGrant, QuotaReport
from almondrouter.state.hosts import HostEntry
from almondrouter.transport.links import CallLinkPool


class QuotaLinks:
    """Sends the frames of quotas to daemons that know them.

    A daemon shows in its `HostNotice` whether it does. Until it has sent one, it counts
    as a participant that cannot be reached.

    Parameters
    ----------
    own_host
        Name of this host.
    directory
        Known hosts.
    links
        Links to the other daemons.
    """

    def __init__(
        self, own_host: str, *, directory: HostDirectory, links: CallLinkPool
    ) -> None:
        self._own_host = own_host
        self._directory = directory
        self._links = links
        self._known: dict[str, tuple[int, bool]] = {}
        self._revision = -1
        self._addresses: dict[str, str] = {}
        self._hosts = frozenset((own_host,))
        self._processors: dict[str, float] = {}
        self._ranked: dict[str, list[str]] = {}

    def handle_notice(self, entry: HostEntry, notice: HostNotice) -> None:
        """Note whether the daemon that sent a notice knows quotas."""
        known = (entry.incarnation, notice.knows_quotas)
        if self._known.get(entry.host) != known:
            self._known[entry.host] = known
            self._revision = -1

    def list_hosts(self) -> frozenset[str]:
        """Return the hosts whose daemons take part, or are not known not to."""
        if self._revision != self._directory.revision:
            self._update()
        return self._hosts

    def rank_hosts(self, group: str) -> list[str]:
        """Return these hosts in the order in which they are to own a group."""
        hosts = self.list_hosts()
        ranked = self._ranked.get(group)
        if ranked is None:
            processors = {host: self._processors.get(host, 0.0) for host in hosts}
            ranked = self._ranked[group] = rank_hosts(group, processors)
        return ranked

    def is_usable(self, host: str) -> bool:
        """Return whether the daemon of a host can be reached and knows quotas.

        Notes
        -----
        A link is opened if there is none; the daemon then sends its notice.
        """
        if host == self._own_host:
            return True
        address = self._addresses.get(host)
        if address is None:
            return False
        if not self._links.is_alive(address):
            self._links.preconnect(address)
            return False
        return self._known.get(host, (0, False))[1]

    def send(self, host: str, frame: QuotaReport | QuotaGrant) -> None:
        """Send a frame to the daemon of a host, which is known to understand it."""
        if self.is_usable(host):
            self._links.send_notice(self._addresses[host], frame)

    def greet_unknown(self) -> None:
        """Open links to the hosts of which no notice has been received."""
        for host in self.list_hosts():
            if host not in self._known and host != self._own_host:
                self._links.preconnect(self._addresses[host])

    def _update(self) -> None:
        self._revision = self._directory.revision
        entries = self._directory.entries
        self._addresses = {entry.host: entry.peer_address for entry in entries}
        hosts = {e.host for e in entries if self._known.get(e.host, (0, True))[1]}
        processors = {entry.host: entry.processors for entry in entries}
        hosts = frozenset(hosts | {self._own_host})
        if (hosts, processors) != (self._hosts, self._processors):
            self._hosts, self._processors = hosts, processors
            self._ranked.clear()
