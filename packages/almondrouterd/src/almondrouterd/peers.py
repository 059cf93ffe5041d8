"""Exchange of host records and routing configurations between daemons.

In each region one daemon, the relay, watches the store and sends each new configuration
to the others. A daemon that is still behind fetches it from the store and from a peer.
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable, Sequence
from http import HTTPStatus

from almondrouter.clock import Clock
from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.crashevidence import CrashEvidence
from almondrouter.coordination.deltas import apply_delta, make_delta
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.isolation import IsolationDetector
from almondrouter.coordination.probing import (
    ProbeRing,
    SuspicionLog,
    has_few_responsive,
)
from almondrouter.coordination.relays import RelayCandidate, RelayElection
from almondrouter.coordination.storefeed import StoreFeed
from almondrouter.coordination.subsets import LinkSubset
from almondrouter.errors import AlmondError
from almondrouter.logs import EventLogger
from almondrouter.protocol.calls import (
    CallReply,
    HostNotice,
    Notice,
    RoutesNotice,
    RoutesQuery,
)
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.hosts import (
    Departure,
    HostEntry,
    decode_host,
    encode_host,
)
from almondrouter.state.snapshot import Destination
from almondrouter.transport.links import CallLinkPool

CATCH_UP_DELAY_S = 0.6
"""Seconds from a peer's report of a later version to this daemon's own attempt to fetch
it; usually the relay or the watch on the store delivers it within that time."""
REREAD_DELAY_S = 0.4
"""Seconds from rereading the store to the query of a peer. Usually the store delivers
the version within that time; many daemons that query the same peer at once fill its
link."""
ROUTES_QUERY_TIMEOUT_S = 1.0
"""Seconds within which a peer has to send its configuration."""
SELECTION_INTERVAL_S = 0.5
"""Shortest interval between selections of the peers to keep links to. While a fleet
starts, each selection from the few hosts known so far opens links that are not needed
once all are known."""

_COMPRESSED = (("content-encoding", "deflate"),)
_log = EventLogger("peers")


class Peers:
    """Exchanges notices with the daemons of other hosts.

    Parameters
    ----------
    links
        Links to the other daemons.
    directory, routes
        Known hosts, and the routing configuration in force.
    feed
        Reads or watches the store.
    own_host, own_region
        Host and region of this daemon.
    evidence
        Requests that crash backend servers, as far as this daemon knows.
    make_entry
        Returns the current record of this host.
    on_departure
        Called with a departure on this host that a peer knows of.
    clock
        Source of monotonic time.
    on_host_notice
        Called with each notice of another daemon and the host record in it.
    on_rollout_support
        Called with the host of each notice and whether it takes part in roll-outs.
    get_store_era
        Returns the era of the store as this daemon knows it; 0 if unknown.
    on_store_restored
        Called if a peer knows a later era.
    """

    def __init__(
        self,
        *,
        links: CallLinkPool,
        directory: HostDirectory,
        routes: ActiveRoutes,
        feed: StoreFeed,
        own_host: str,
        own_region: str,
        evidence: CrashEvidence,
        make_entry: Callable[[], HostEntry],
        on_departure: Callable[[Departure], None],
        clock: Clock,
        on_host_notice: Callable[[HostEntry, HostNotice], None] | None = None,
        on_rollout_support: Callable[[str, bool], None] = lambda host, knows: None,
        get_store_era: Callable[[], int] = lambda: 0,
        on_store_restored: Callable[[], None] = lambda: None,
    ) -> None:
        self._get_store_era = get_store_era
        self._on_store_restored = on_store_restored
        self._on_host_notice = on_host_notice
        self._on_rollout_support = on_rollout_support
        self._on_departure = on_departure
        self._confirmed_departure: Departure | None = None
        self._links = links
        self._directory = directory
        self._routes = routes
        self._feed = feed
        self._own_host = own_host
        self._own_region = own_region
        self._evidence = evidence
        self._make_entry = make_entry
        self._clock = clock
        self._election = RelayElection(
            own_host, reaches_store=lambda: feed.reaches_store
        )
        self._isolation = IsolationDetector(clock=clock)
        self._subset = LinkSubset(own_host, own_region)
        self._linked: frozenset[str] = frozenset()
        self._selected_revision = -1
        self._select_at = clock.monotonic()
        self._ring = ProbeRing(own_host)
        self._probed: frozenset[str] = frozenset()
        self._suspicions = SuspicionLog(clock=clock)
        self._logged_isolated = False
        self._hosts_without_store: set[str] = set()
        self._catch_up_task: asyncio.Task | None = None
        self._compressed_routes = (-1, b"")
        self._relayed_version = 0
        self._routes_heard_at = clock.monotonic()

    def make_notice(
        self,
        silent_peers: tuple[str, ...] = (),
        *,
        departure: Departure | None = None,
    ) -> HostNotice:
        """Return a notice with this host's record, version and store reachability."""
        return HostNotice(
            encode_host(self._make_entry()),
            self._routes.version,
            self._feed.reaches_store,
            silent_peers,
            departure,
            self._evidence.verdicts,
            knows_quotas=True,
            knows_rollouts=True,
            store_era=self._get_store_era(),
        )

    def handle_notice(self, notice: Notice) -> None:
        """Apply a host record or a routing configuration that a peer sent."""
        if isinstance(notice, RoutesNotice):
            self._handle_routes_notice(notice)
        else:
            self._handle_host_notice(notice)

    def _handle_host_notice(self, notice: HostNotice) -> None:
        try:
            entry = decode_host(notice.record)
        except AlmondError as error:
            _log.warning("undecodable host notice ignored", reason=error.message)
            return
        if self._on_host_notice is not None:
            self._on_host_notice(entry, notice)
        self._note_store_state(entry.host, notice)
        self._on_rollout_support(entry.host, notice.knows_rollouts)
        known = self._directory.find_departure(entry.host)
        self._directory.put(entry)
        self._evidence.merge_verdicts(notice.verdicts)
        if notice.departure is not None:
            self._confirmed_departure = notice.departure
            self._on_departure(notice.departure)
        elif entry.departure != known or not notice.reaches_store:
            self._confirm_departure(entry)
        if entry.host != self._own_host:
            # The sender needs the record of this host, whatever hosts it knows.
            self._links.preconnect(entry.peer_address)
        if self._is_region_peer(entry):
            # Each region learns from observers of its own: not all of its hosts have
            # links to those elsewhere.
            self._suspicions.record(notice.silent_peers)
        for address in notice.silent_peers:
            self._links.suspect(address)
        self.catch_up_to(notice.version, entry.peer_address)
        behind = notice.version < self._routes.version
        if behind and self._feed.watching and self._is_region_peer(entry):
            self._links.send_notice(entry.peer_address, self._make_full_routes_notice())

    def _note_store_state(self, host: str, notice: HostNotice) -> None:
        """Record whether a peer reaches the store, and whether it knows a later era."""
        if notice.reaches_store:
            self._hosts_without_store.discard(host)
        else:
            self._hosts_without_store.add(host)
        if 0 < self._get_store_era() < notice.store_era:
            self._on_store_restored()

    def _confirm_departure(self, entry: HostEntry) -> None:
        """Tell a daemon which departure on its host this one knows of.

        Notes
        -----
        It may acknowledge the departure then without the store. If it has restarted
        since it did so, its record does not name the departure any more.
        """
        departure = self._directory.find_departure(entry.host)
        if departure is None:
            return
        if departure != entry.departure:
            _log.info(
                "telling a daemon of a departure that its record does not name",
                peer=entry.host,
                backend=departure.backend,
                started_ms=departure.started_ms,
            )
        notice = self.make_notice(departure=departure)
        self._links.send_notice(entry.peer_address, notice)

    def has_confirmed(self, departure: Departure) -> bool:
        """Return whether a peer knows of a departure on this host."""
        return self._confirmed_departure == departure

    def relay_routes(self) -> None:
        """Send the configuration in force to the region if this daemon is its relay."""
        if self._feed.watching:
            self._send_routes_to_region(self._make_routes_delta_notice())

    def _relay_known_routes(self) -> None:
        """Send the configuration in force to the region as its new relay.

        Notes
        -----
        The store tells a new relay nothing that it knows already. It may have learned a
        version in another way while no daemon watched, or the relay before it may have
        failed while it sent that version.
        """
        version = self._routes.version
        if version > self._relayed_version:
            self._send_routes_to_region(self._make_full_routes_notice())
        elif version:
            self._send_routes_to_region(self._make_routes_delta_notice())

    def _send_routes_to_region(self, notice: RoutesNotice) -> None:
        self._relayed_version = notice.version
        peers = [e for e in self._directory.entries if self._is_region_peer(e)]
        for entry in peers:
            self._links.send_notice(entry.peer_address, notice)
        _log.info(
            "configuration sent to the hosts of the region",
            version=notice.version,
            base=notice.base,
            hosts=len(peers),
        )

    def hears_of_routes(self, *, within: float) -> bool:
        """Return whether a new configuration would have reached this daemon.

        Parameters
        ----------
        within
            Seconds for which it may have been out of reach.
        """
        now = self._clock.monotonic()
        if self._feed.watching and self._feed.reaches_store:
            self._routes_heard_at = now
        elif not self._feed.watching:
            relay = self._election.find_relay(self._list_relay_candidates())
            entries = [e for e in self._directory.entries if e.host == relay]
            if any(self._links.is_alive(entry.peer_address) for entry in entries):
                self._routes_heard_at = now
        return now - self._routes_heard_at <= within

    def answer_routes_query(self, query: RoutesQuery) -> CallReply:
        """Return the configuration in force as the reply to a peer's query."""
        headers, body = (), self._routes.stored_form
        if query.accepts_compressed:
            headers, body = _COMPRESSED, self._compress_routes()
        return CallReply(0, Outcome.COMPLETE, HTTPStatus.OK, headers, body, "", None)

    def catch_up_to(self, version: int, peer_address: str | None = None) -> None:
        """Start to fetch the configuration if a peer has a later version.

        Parameters
        ----------
        version
            Version that the peer has in force.
        peer_address
            Address of the peer; None to fetch from the store only.
        """
        if version > self._routes.version and self._catch_up_task is None:
            coroutine = self._fetch_routes(version, peer_address)
            self._catch_up_task = asyncio.create_task(coroutine)
            self._catch_up_task.add_done_callback(self._finish_catch_up)

    @property
    def is_isolated(self) -> bool:
        """Return whether this host counts as isolated: too few peers respond."""
        return self._isolation.is_isolated

    def run_maintenance(self) -> None:
        """Expire lost hosts, open missing links, detect isolation, elect the relay."""
        self._directory.expire()
        self._update_links()
        candidates = self._list_relay_candidates()
        self._update_probes(candidates)
        self._announce_silent_peers()
        self._update_isolation()
        was_watching = self._feed.watching
        self._feed.set_watching(self._election.is_relay(candidates))
        if self._feed.watching and not was_watching:
            self._relay_known_routes()

    def select_peers(self) -> None:
        """Choose the hosts to keep links to and to probe; open the missing links."""
        self._selected_revision = self._directory.revision
        self._select_at = self._clock.monotonic() + SELECTION_INTERVAL_S
        entries = self._directory.entries
        self._probed = self._ring.update({e.host: e.peer_address for e in entries})
        chosen = self._subset.select(entries)
        self._linked = self._probed | {entry.peer_address for entry in chosen}
        self._links.set_kept(self._linked)
        self._open_links()

    def _update_links(self) -> None:
        """Choose peers again if records have changed; open the missing links."""
        changed = self._selected_revision != self._directory.revision
        if changed and self._clock.monotonic() >= self._select_at:
            self.select_peers()
        else:
            self._open_links()

    def _open_links(self) -> None:
        for address in self._linked:
            self._links.preconnect(address)

    def _update_probes(self, candidates: Sequence[RelayCandidate]) -> None:
        """Choose the peers to probe; check all links if few of these respond."""
        probed = self._probed
        relay = self._election.find_relay(candidates)
        relays = {e.peer_address for e in self._directory.entries if e.host == relay}
        self._links.set_probed(probed | relays)
        predecessors = set(self._election.list_predecessors(candidates))
        self._links.set_closely_probed(
            {e.peer_address for e in self._directory.entries if e.host in predecessors}
        )
        if has_few_responsive(len(probed), sum(map(self._links.is_alive, probed))):
            self._links.suspect_all()

    def _announce_silent_peers(self) -> None:
        """Tell all other daemons which peers this one has just found silent."""
        silent = self._suspicions.select_new(self._links.take_newly_silent())
        if not silent:
            return
        _log.info("telling the other daemons of silent peers", peers=silent)
        notice = self.make_notice(silent)
        for entry in self._directory.entries:
            if entry.host != self._own_host:
                self._links.send_notice(entry.peer_address, notice)

    def is_reachable(self, destination: Destination) -> bool:
        """Return whether the daemon on a destination's host is reachable."""
        if destination.host == self._own_host:
            return True
        return self._links.is_alive(destination.peer_address)

    def _update_isolation(self) -> None:
        known = len(self._linked)
        reachable = sum(map(self._links.is_alive, self._linked))
        self._isolation.update(known=known, reachable=reachable)
        if self._logged_isolated is not self.is_isolated:
            self._logged_isolated = self.is_isolated
            event = (
                "isolated: too few peers respond"
                if self.is_isolated
                else "no longer isolated: enough peers respond"
            )
            _log.warning(event, known=known, reachable=reachable)

    def _list_relay_candidates(self) -> list[RelayCandidate]:
        return [
            RelayCandidate(
                entry.host,
                self._links.is_alive(entry.peer_address),
                entry.host not in self._hosts_without_store,
            )
            for entry in self._directory.entries
            if self._is_region_peer(entry)
        ]

    def _is_region_peer(self, entry: HostEntry) -> bool:
        return entry.region == self._own_region and entry.host != self._own_host

    def _handle_routes_notice(self, notice: RoutesNotice) -> None:
        self._relayed_version = max(self._relayed_version, notice.version)
        if 0 < notice.version <= self._routes.version:
            return
        if notice.base and notice.base != self._routes.version:
            self.catch_up_to(notice.version, notice.peer_address)
            return
        try:
            if notice.base:
                value = apply_delta(self._routes.stored_form, notice.compressed)
            else:
                value = zlib.decompress(notice.compressed)
        except (zlib.error, AlmondError) as error:
            _log.warning(
                "undecodable configuration ignored; fetching it from the peer",
                reason=str(error),
            )
            self.catch_up_to(notice.version, notice.peer_address)
            return
        self._routes.activate(value, source="notice of a peer")

    def _make_full_routes_notice(self) -> RoutesNotice:
        """Return a notice with the full configuration in force."""
        address = self._make_entry().peer_address
        return RoutesNotice(self._compress_routes(), self._routes.version, 0, address)

    def _compress_routes(self) -> bytes:
        """Return the configuration in force, compressed once for all peers."""
        version, compressed = self._compressed_routes
        if version != self._routes.version:
            compressed = zlib.compress(self._routes.stored_form, zlib.Z_BEST_SPEED)
            self._compressed_routes = (self._routes.version, compressed)
        return compressed

    def _make_routes_delta_notice(self) -> RoutesNotice:
        """Return a notice with the difference from the previous configuration."""
        base, base_form = self._routes.previous
        if not base:
            return self._make_full_routes_notice()
        delta = make_delta(base_form, self._routes.stored_form)
        address = self._make_entry().peer_address
        return RoutesNotice(delta, self._routes.version, base, address)

    async def _fetch_routes(self, version: int, peer_address: str | None) -> None:
        await asyncio.sleep(CATCH_UP_DELAY_S)
        if version <= self._routes.version:
            return
        self._feed.request_reread()
        if peer_address is None:
            return
        if self._feed.reaches_store:
            await asyncio.sleep(REREAD_DELAY_S)
            if version <= self._routes.version:
                return
        deadline = self._clock.monotonic() + ROUTES_QUERY_TIMEOUT_S
        try:
            query = RoutesQuery(0, deadline, accepts_compressed=True)
            reply = await self._links.call(peer_address, query)
        except CallError as error:
            _log.info(
                "fetching the configuration from a peer failed; rereading the store",
                reason=error.message,
            )
            return
        self._activate_reply(reply)

    def _activate_reply(self, reply: CallReply) -> None:
        body = reply.body
        if reply.headers == _COMPRESSED:
            try:
                body = zlib.decompress(body)
            except zlib.error as error:
                _log.warning(
                    "undecodable configuration of a peer ignored", reason=str(error)
                )
                return
        if body:
            self._routes.activate(body, source="query of a peer")

    def _finish_catch_up(self, task: asyncio.Task) -> None:
        self._catch_up_task = None
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error(
                "task that fetches a later configuration failed", error=repr(error)
            )
