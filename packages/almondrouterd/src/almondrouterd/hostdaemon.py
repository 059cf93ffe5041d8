"""The daemon of a host whose platform keeps the records and the configuration."""

from __future__ import annotations

import asyncio
import contextlib
import random as random_module
from collections.abc import Coroutine
from dataclasses import dataclass, fields, replace
from http import HTTPStatus

import msgspec

from almondrouter.clock import SuspendAwareClock
from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.forwarding import Forwarder
from almondrouter.coordination.intake import BodyIntake
from almondrouter.coordination.localbackend import LocalBackend
from almondrouter.coordination.placement import LowestCostPolicy
from almondrouter.coordination.registration import HostRecords, Registration
from almondrouter.coordination.repeats import FleetRetryBudget
from almondrouter.coordination.storefeed import StoreFeed
from almondrouter.coordination.weights import TrafficSplitter
from almondrouter.errors import ErrorCode
from almondrouter.logs import EventLogger, LineWriter
from almondrouter.protocol.calls import (
    BodyOffer,
    CallReply,
    CallRequest,
    ClaimQuery,
    Hello,
    LinkRequest,
    RoutesQuery,
)
from almondrouter.protocol.codec import PROTOCOL_VERSION
from almondrouter.protocol.outcomes import make_reply
from almondrouter.state.hosts import HostEntry, ServingState
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.state.routes import CallerLimits
from almondrouter.transport.backends import BackendClient
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.calls import CallerRequest, CallerResponse
from almondrouter.transport.links import CallLinkPool, CallLinkServer, LinkPolicy
from almondrouterd.backendcontrol import BackendControl
from almondrouterd.hostmetrics import register_call_figures, register_state_figures
from almondrouterd.metrics import DaemonMetrics
from almondrouterd.peers import Peers
from almondrouterd.platform.configuration import CONFIGURATION_KEY, decode_routes
from almondrouterd.platform.headers import PlatformDialect
from almondrouterd.platform.heartbeats import READY_PATH
from almondrouterd.platform.settings import HostSettings
from almondrouterd.platform.store import PlatformStore

LINK_POLICY = LinkPolicy(
    ping_interval=0.3,
    max_silence=1.0,
    max_connect_wait=0.3,
    ping_idle=True,
    max_short_bytes=16_384,
    max_bulk_silence=4.0,
)
"""A cut peer is noticed while most of its callers still have time for another; long
bodies may fill a path for seconds, and most of them cannot be sent again anyway."""
MAX_SMALL_BODY = 65_536
"""Longest body of a heartbeat or a readiness check, in bytes."""
TIDY_S = 0.25
"""Seconds between looks at records that were lost."""
SETTLING_S = 3.0
"""Seconds after its start in which a daemon does not follow the store itself; less
than the time for which a starting host counts as disturbed."""
READY_CHECKS_MISSED_S = 2.3
"""Seconds after which nobody sends new work to a daemon that is not ready."""
KILL_MARGIN_S = 0.5
"""Seconds before the kill signal at which a stopping daemon gives up waiting."""
MAX_CONNECTIONS = 100
"""Connections to the backend server; it accepts a few more from all callers."""

_log = EventLogger("daemon")
_PLAIN = (("content-type", "text/plain; version=0.0.4; charset=utf-8"),)
METRICS_PATH = "/metrics"
_RELOADABLE = frozenset(
    {"repeat_limits", "stop_within", "drain_within", "heartbeat_interval", "memory_mb"}
)


@dataclass(slots=True)
class _Life:
    """Times in the life of the daemon, in monotonic seconds."""

    started_at: float
    stopping_at: float | None = None


class HostDaemon:
    """Puts the parts together for one host.

    Parameters
    ----------
    settings
        What the platform tells of the host.
    log_writer
        Tells how many log lines were dropped.
    """

    def __init__(self, settings: HostSettings, *, log_writer: LineWriter) -> None:
        self.settings = settings
        self._clock = SuspendAwareClock()
        self._random = random_module.Random()
        self._life = _Life(self._clock.monotonic())
        self._incarnation = int(self._clock.wall() * 1000)
        self._changes = 0
        self._tasks: list[asyncio.Task] = []
        self._asking: asyncio.Task | None = None
        self._dialect = PlatformDialect()
        self._metrics = DaemonMetrics()
        self._build_state()
        self._build_calls()
        self._build_servers()
        self._build_metrics(log_writer)

    def _build_state(self) -> None:
        settings, clock = self.settings, self._clock
        self._store = PlatformStore(settings.store_address, clock=clock)
        hello = Hello(
            "almondrouter", PROTOCOL_VERSION, settings.host, self._incarnation, 0.0
        )
        self._hello = hello
        self.links = CallLinkPool(
            hello=hello,
            clock=clock,
            policy=LINK_POLICY,
            make_notice=lambda: self._peers.make_notice(),
        )
        self.directory = HostDirectory(clock=clock, is_alive=self.links.is_alive)
        self.routes = ActiveRoutes(
            CONFIGURATION_KEY,
            decode_routes,
            changed=lambda: self._peers.hand_routes_on(),
        )
        self.registration = Registration(
            self._store, make_entry=self._make_entry, clock=clock, random=self._random
        )
        records = HostRecords(
            self.directory,
            own_host=settings.host,
            on_own_lost=self.registration.restore_record,
            on_seen=lambda entry: self._peers.warm_link(entry),
            on_own_seen=self._recall_backend,
        )
        self.feed = StoreFeed(
            self._store,
            (self.routes, records),
            clock=clock,
            random=self._random,
            on_connection_changed=self.links.notify_all,
            poll_until=self._life.started_at + SETTLING_S,
        )
        self._peers = Peers(
            links=self.links,
            directory=self.directory,
            routes=self.routes,
            feed=self.feed,
            own_host=settings.host,
            own_region=settings.region,
            make_entry=self._make_entry,
            clock=clock,
        )

    def _build_calls(self) -> None:
        settings, clock = self.settings, self._clock
        self.backend_client = BackendClient(
            settings.backend_address,
            connections=MAX_CONNECTIONS,
            clock=clock,
            accept_unframed=True,
        )
        self.backend = LocalBackend(
            sender=self.backend_client,
            dialect=self._dialect,
            clock=clock,
            intake=BodyIntake(
                bytes_per_second=settings.link_bytes_per_second, clock=clock
            ),
            changed=self._backend_changed,
        )
        self.repeats = FleetRetryBudget(
            settings.repeat_limits,
            count_hosts=lambda: len(self.directory),
            clock=clock,
        )
        self._placement = LowestCostPolicy(
            host=settings.host,
            data_centre=settings.data_centre,
            region=settings.region,
            occupancy=OccupancyTable(),
            random=self._random,
            clock=clock,
            is_reachable=self._peers.is_reachable,
        )
        self._forwarder = Forwarder(
            table=lambda: self.routes.table,
            directory=self.directory,
            balancer=self._placement,
            splitter=TrafficSplitter(self._random),
            repeats=self.repeats,
            links=self.links,
            run_locally=self._run_call,
            is_running=self.backend.is_running,
            dialect=self._dialect,
            clock=clock,
            random=self._random,
            host=settings.host,
            own_service=settings.own_service,
            on_newer_version=self._peers.note_version,
            on_finished=self._metrics.record_call,
        )

    def _build_servers(self) -> None:
        settings, clock = self.settings, self._clock
        self.callers = CallerServer(
            address=settings.caller_address,
            handler=self._handle_caller,
            max_body_bytes=0,
            version=lambda: self.routes.version,
            clock=clock,
            limits=self._get_caller_limits,
        )
        self.link_server = CallLinkServer(
            address=settings.peer_address,
            hello=self._hello,
            handler=self._handle_link,
            clock=clock,
            policy=LINK_POLICY,
            on_notice=self._peers.take_notice,
        )
        self._ready_server = self._make_small_server(
            settings.ready_address, self._handle_ready
        )
        control = BackendControl(
            backend=self.backend,
            backend_address=settings.backend_address,
            routes=self.routes,
            is_stopping=lambda: self._life.stopping_at is not None,
        )
        self._control_server = self._make_small_server(
            settings.backend_control_address, control.handle
        )

    def _make_small_server(self, address: str, handler) -> CallerServer:  # noqa: ANN001
        return CallerServer(
            address=address,
            handler=handler,
            max_body_bytes=MAX_SMALL_BODY,
            clock=self._clock,
        )

    def _build_metrics(self, log_writer: LineWriter) -> None:
        register_state_figures(
            self._metrics,
            routes=self.routes,
            directory=self.directory,
            log_writer=log_writer,
        )
        register_call_figures(
            self._metrics,
            backend=self.backend,
            repeats=self.repeats,
            links=self.links,
            store=self._store,
        )
        address = f"{self.settings.ip}:{self.settings.metrics_port}"
        self._metrics_server = self._make_small_server(address, self._handle_metrics)

    async def start(self) -> None:
        """Listen and begin to follow the store."""
        for server in self._servers():
            await server.start()
        await self.links.start()
        for work in (
            self.feed.run(),
            self.registration.run(),
            self._tidy_forever(),
        ):
            self._start_task(work)
        _log.info(
            "daemon started",
            incarnation=self._incarnation,
            service=self.settings.own_service,
            data_centre=self.settings.data_centre,
        )

    async def drain(self) -> None:
        """End what is in flight, send callers elsewhere, then stop listening.

        Notes
        -----
        Callers learn from the readiness check that this daemon stops, so it goes
        on serving until they have had time to notice.
        """
        now = self._clock.monotonic()
        self._life.stopping_at = now
        kill_at = now + self.settings.stop_within - KILL_MARGIN_S
        _log.info("daemon stopping", in_flight=self.callers.requests_in_flight)
        self.callers.disable_keep_alive()
        self.backend.change_state(ServingState.LEAVING, reason="the daemon stops")
        self.registration.update()
        await asyncio.sleep(READY_CHECKS_MISSED_S)
        await self._close_gracefully(kill_at)
        _log.info("daemon stopped", in_flight=self.callers.requests_in_flight)

    async def close(self) -> None:
        """Stop at once."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers():
            await server.close()
        await self.links.close()
        await self.backend_client.close()
        await self._store.close()

    def reload(self, settings: HostSettings) -> None:
        """Take over changed settings.

        Notes
        -----
        Bounds are in force at once. Addresses and names hold for the life of the
        process; what has changed of them is logged and waits for a restart.
        """
        changed = [
            item.name
            for item in fields(settings)
            if getattr(settings, item.name) != getattr(self.settings, item.name)
        ]
        waiting = [name for name in changed if name not in _RELOADABLE]
        kept = {name: getattr(self.settings, name) for name in waiting}
        self.settings = replace(settings, **kept)
        self.repeats.limits = settings.repeat_limits
        _log.info("settings reloaded", changed=changed, wait_for_restart=waiting)

    def count_in_flight(self) -> int:
        """Return how many requests are served here in either direction."""
        return (
            self.callers.requests_in_flight
            + self.link_server.calls_in_flight
            + self.backend.runs_in_flight
        )

    def _servers(self) -> tuple[CallerServer | CallLinkServer, ...]:
        return (
            self.callers,
            self.link_server,
            self._ready_server,
            self._control_server,
            self._metrics_server,
        )

    async def _close_gracefully(self, kill_at: float) -> None:
        left = max(0.0, kill_at - self._clock.monotonic())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left):
                await self.callers.drain()
                await self.link_server.drain()
                while self.backend.runs_in_flight:
                    await asyncio.sleep(0.02)
                await self.registration.withdraw()

    def _start_task(self, work: Coroutine) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._check_ended)
        self._tasks.append(task)

    def _check_ended(self, task: asyncio.Task) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("background task failed", error=repr(error))

    async def _tidy_forever(self) -> None:
        while True:
            await asyncio.sleep(TIDY_S)
            self._peers.tidy()

    def _get_caller_limits(self) -> CallerLimits:
        table = self.routes.table
        return table.limits if table is not None else CallerLimits()

    def _make_entry(self) -> HostEntry:
        settings = self.settings
        return HostEntry(
            settings.host,
            self._incarnation,
            settings.data_centre,
            settings.region,
            settings.advertised_address,
            self.backend.entry,
            self._changes,
        )

    def _recall_backend(self, entry: HostEntry) -> None:
        """Take over what an earlier daemon of this host wrote, until a heartbeat.

        Notes
        -----
        A backend server that has gone or was replaced meanwhile refuses, as each
        request names the one that it is for. A record that says it leaves may mean
        only that the earlier daemon stopped.
        """
        backend = entry.backend
        if self.backend.entry is not None or backend is None:
            return
        if backend.state is not ServingState.READY:
            return
        if entry.incarnation < self._incarnation and self._life.stopping_at is None:
            _log.info("backend server recalled", backend=backend.backend)
            self.backend.apply_announcement(backend)

    def _backend_changed(self) -> None:
        self._changes += 1
        self.directory.put(self._make_entry())
        self.links.notify_all()
        self.registration.update()

    async def _handle_caller(self, request: CallerRequest) -> CallerResponse:
        return await self._forwarder.handle(request)

    async def _handle_link(self, request: LinkRequest) -> CallReply:
        if isinstance(request, RoutesQuery):
            return self._peers.answer_query()
        if isinstance(request, BodyOffer):
            return await self.backend.answer_offer(request)
        if isinstance(request, ClaimQuery):
            return make_reply(ErrorCode.CLAIM_UNAVAILABLE)
        if request.version > self.routes.version:
            self._peers.note_version(request.version)
        return await self._run_call(request)

    async def _run_call(self, request: CallRequest) -> CallReply:
        reply = await self.backend.handle_call(request)
        return msgspec.structs.replace(reply, version=self.routes.version)

    async def _handle_metrics(self, request: CallerRequest) -> CallerResponse:
        if request.target != METRICS_PATH:
            return CallerResponse(HTTPStatus.NOT_FOUND, (), b"")
        return CallerResponse(HTTPStatus.OK, _PLAIN, self._metrics.render())

    async def _handle_ready(self, request: CallerRequest) -> CallerResponse:
        ready = request.target == READY_PATH and self.is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return CallerResponse(status, (), b"")

    def is_ready(self) -> bool:
        """Return whether this daemon can route requests."""
        if self._life.stopping_at is not None or self._peers.is_isolated:
            return False
        return self.routes.table is not None
