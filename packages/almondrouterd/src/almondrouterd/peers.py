"""What daemons tell each other: their records, and configurations."""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Callable
from http import HTTPStatus

from almondrouter.clock import Clock
from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.deltas import apply_delta, make_delta
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.isolation import IsolationDetector
from almondrouter.coordination.relays import RelayCandidate, RelayElection
from almondrouter.coordination.storefeed import StoreFeed
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
from almondrouter.state.hosts import HostEntry, decode_host, encode_host
from almondrouter.state.snapshot import Destination
from almondrouter.transport.links import CallLinkPool

STORE_PATIENCE_S = 0.6
"""Seconds that the usual way has for telling a version that a peer knows already."""
ROUTES_QUERY_S = 1.0
"""Seconds that a peer has for sending its configuration."""

_log = EventLogger("peers")


class Peers:
    """Exchanges notices with the daemons of other hosts.

    Parameters
    ----------
    links, directory, routes, feed
        Links to other daemons, and what is known from them and the store.
    own_host, own_region
        Where this daemon runs.
    make_entry
        Returns the record of this host as it is now.
    clock
        Source of monotonic time.
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
        make_entry: Callable[[], HostEntry],
        clock: Clock,
    ) -> None:
        self._links = links
        self._directory = directory
        self._routes = routes
        self._feed = feed
        self._own_host = own_host
        self._own_region = own_region
        self._make_entry = make_entry
        self._clock = clock
        self._election = RelayElection(
            own_host, reaches_store=lambda: feed.reaches_store
        )
        self._isolation = IsolationDetector(clock=clock)
        self._told_cut_off = False
        self._without_store: set[str] = set()
        self._asking: asyncio.Task | None = None

    def make_notice(self) -> HostNotice:
        """Return what this daemon says of itself."""
        return HostNotice(
            encode_host(self._make_entry()),
            self._routes.version,
            self._feed.reaches_store,
        )

    def take_notice(self, notice: Notice) -> None:
        """Take over what a peer says, which needs no store."""
        if isinstance(notice, RoutesNotice):
            self._take_routes(notice)
        else:
            self._take_record(notice)

    def _take_record(self, notice: HostNotice) -> None:
        try:
            entry = decode_host(notice.record)
        except AlmondError as error:
            _log.warning("unreadable notice ignored", reason=error.message)
            return
        if notice.reaches_store:
            self._without_store.discard(entry.host)
        else:
            self._without_store.add(entry.host)
        self._directory.put(entry)
        self.warm_link(entry)
        self.note_version(notice.version, entry.peer_address)
        behind = notice.version < self._routes.version
        if behind and self._feed.watching and self._is_neighbour(entry):
            self._links.send_notice(entry.peer_address, self._make_routes_notice())

    def hand_routes_on(self) -> None:
        """Hand a version from the store on to the daemons of the region."""
        if not self._feed.watching:
            return
        notice = self._make_routes_delta()
        for entry in self._directory.entries:
            if self._is_neighbour(entry):
                self._links.send_notice(entry.peer_address, notice)

    def answer_query(self) -> CallReply:
        """Return the configuration in force to a peer that asks for it."""
        body = self._routes.stored_form
        return CallReply(0, Outcome.COMPLETE, HTTPStatus.OK, (), body, "", None)

    def note_version(self, version: int, peer_address: str | None = None) -> None:
        """Catch up with a peer that has a later configuration.

        Parameters
        ----------
        peer_address
            Who can be asked for it; None if only the store can.
        """
        if version > self._routes.version and self._asking is None:
            work = self._catch_up(version, peer_address)
            self._asking = asyncio.create_task(work)
            self._asking.add_done_callback(self._caught_up)

    @property
    def is_isolated(self) -> bool:
        """Return whether too few peers answer this host."""
        return self._isolation.is_isolated

    def tidy(self) -> None:
        """Forget lost hosts, open missing links and elect the relay."""
        self._directory.expire()
        for entry in self._directory.entries:
            self.warm_link(entry)
        self._note_isolation()
        self._feed.set_watching(self._election.is_relay(self._find_candidates()))

    def warm_link(self, entry: HostEntry) -> None:
        """Open the link to a host before a call needs it."""
        if entry.host != self._own_host:
            self._links.preconnect(entry.peer_address)

    def is_reachable(self, destination: Destination) -> bool:
        """Return whether the daemon beside a destination answers now."""
        if destination.host == self._own_host:
            return True
        return self._links.is_alive(destination.peer_address)

    def _note_isolation(self) -> None:
        others = [
            entry.peer_address
            for entry in self._directory.entries
            if entry.host != self._own_host
        ]
        reachable = sum(map(self._links.is_alive, others))
        self._isolation.update(known=len(others), reachable=reachable)
        if self._told_cut_off is not self.is_isolated:
            self._told_cut_off = self.is_isolated
            event = (
                "cut off from the peers" if self.is_isolated else "peers answer again"
            )
            _log.warning(event, known=len(others), reachable=reachable)

    def _find_candidates(self) -> list[RelayCandidate]:
        return [
            RelayCandidate(
                entry.host,
                self._links.is_alive(entry.peer_address),
                entry.host not in self._without_store,
            )
            for entry in self._directory.entries
            if self._is_neighbour(entry)
        ]

    def _is_neighbour(self, entry: HostEntry) -> bool:
        return entry.region == self._own_region and entry.host != self._own_host

    def _take_routes(self, notice: RoutesNotice) -> None:
        if notice.base and notice.base != self._routes.version:
            self.note_version(notice.version, notice.peer_address)
            return
        try:
            if notice.base:
                value = apply_delta(self._routes.stored_form, notice.compressed)
            else:
                value = zlib.decompress(notice.compressed)
        except (zlib.error, AlmondError) as error:
            _log.warning("unreadable configuration ignored", reason=str(error))
            self.note_version(notice.version, notice.peer_address)
            return
        self._routes.activate(value)

    def _make_routes_notice(self) -> RoutesNotice:
        """Return the configuration in force, whole."""
        form = zlib.compress(self._routes.stored_form, zlib.Z_BEST_SPEED)
        address = self._make_entry().peer_address
        return RoutesNotice(form, self._routes.version, 0, address)

    def _make_routes_delta(self) -> RoutesNotice:
        """Return what the configuration in force differs by from the last one."""
        base, form = self._routes.previous
        if not base:
            return self._make_routes_notice()
        delta = make_delta(form, self._routes.stored_form)
        address = self._make_entry().peer_address
        return RoutesNotice(delta, self._routes.version, base, address)

    async def _catch_up(self, version: int, peer_address: str | None) -> None:
        await asyncio.sleep(STORE_PATIENCE_S)
        if version <= self._routes.version:
            return
        self._feed.request_reread()
        if peer_address is None:
            return
        deadline = self._clock.monotonic() + ROUTES_QUERY_S
        try:
            reply = await self._links.call(peer_address, RoutesQuery(0, deadline))
        except CallError as error:
            _log.info("peer did not tell its routes", reason=error.message)
            return
        if reply.body:
            self._routes.activate(reply.body)

    def _caught_up(self, task: asyncio.Task) -> None:
        self._asking = None
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("catching up failed", error=repr(error))
