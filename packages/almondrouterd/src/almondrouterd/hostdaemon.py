"""The daemon for the hosting platform: its components, start and stop.

The platform has its own heartbeats and key-value store, which holds the host records
and the routing configuration. A daemon that needs no such platform is in
`almondrouterd.daemon`.
"""

from __future__ import annotations

import asyncio
import contextlib
import random as random_module
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, fields, replace
from http import HTTPStatus

import msgspec

from almondrouter.clock import SuspendAwareClock
from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.callerbudget import CallerBudget
from almondrouter.coordination.callerlimits import (
    compute_budget_bytes,
    compute_response_bytes,
    divide_descriptors,
)
from almondrouter.coordination.callexplanation import CallExplainer
from almondrouter.coordination.crashevidence import CrashEvidence
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.fleetretries import FleetRetryBudget
from almondrouter.coordination.forwarding import Forwarder
from almondrouter.coordination.hostcrashes import HostCrashGuard
from almondrouter.coordination.intake import BodyIntake
from almondrouter.coordination.localbackend import LocalBackend, make_fingerprint
from almondrouter.coordination.peerbodies import PeerBodies
from almondrouter.coordination.placement import LowestCostPolicy
from almondrouter.coordination.quotas.service import TICK_S, QuotaService
from almondrouter.coordination.registration import HostRecords, Registration
from almondrouter.coordination.restarts import run_with_restart
from almondrouter.coordination.storefeed import StoreFeed
from almondrouter.coordination.tenants.admission import TenantAdmission
from almondrouter.coordination.transfers.admission import TransferAdmission
from almondrouter.coordination.transfers.budget import LinkBudget
from almondrouter.coordination.transfers.scheduler import TransferScheduler
from almondrouter.coordination.weights import TrafficSplitter
from almondrouter.errors import ErrorCode
from almondrouter.logs import EventLogger, LineWriter
from almondrouter.protocol.calls import (
    BodyOffer,
    CallReply,
    CallRequest,
    ClaimQuery,
    HeaderList,
    Hello,
    LinkRequest,
    Notice,
    RoutesQuery,
)
from almondrouter.protocol.codec import PROTOCOL_VERSION
from almondrouter.protocol.outcomes import make_reply
from almondrouter.protocol.quotas import QuotaGrant, QuotaReport
from almondrouter.state.hosts import BackendEntry, HostEntry, ServingState
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.state.routes import CallerLimits
from almondrouter.state.tenants import TenantTable
from almondrouter.transport.backends import BackendClient
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.calls import CallerRequest, CallerResponse
from almondrouter.transport.links import CallLinkPool, CallLinkServer, LinkPolicy
from almondrouterd.backendcontrol import BackendControl
from almondrouterd.hostmetrics import (
    register_call_metrics,
    register_link_metrics,
    register_quota_metrics,
    register_rollout_metrics,
    register_state_metrics,
    register_transfer_metrics,
)
from almondrouterd.loopdelay import LoopDelay
from almondrouterd.metrics import DaemonMetrics
from almondrouterd.peers import Peers
from almondrouterd.platform.configuration import CONFIGURATION_KEY, decode_routes
from almondrouterd.platform.headers import PlatformDialect
from almondrouterd.platform.heartbeats import READY_PATH
from almondrouterd.platform.operators import OperatorEndpoint
from almondrouterd.platform.settings import HostSettings
from almondrouterd.platform.store import PlatformStore
from almondrouterd.quotalinks import QuotaLinks
from almondrouterd.rolloutsetup import make_rollout_parts

LINK_POLICY = LinkPolicy(
    ping_interval=0.3,
    max_silence=1.0,
    max_connect_wait=0.3,
    ping_idle=True,
    max_short_bytes=16_384,
    max_bulk_silence=4.0,
)
"""An unreachable peer is detected while most callers still have time for a retry on
another host. Requests that cannot be retried wait on, as a slow or congested peer is
silent, too; the peer cancels calls of a silent host only after most deadlines. Links
for long bodies tolerate more silence, because a body may fill a narrow path for
seconds, and most requests with one cannot be retried anyway."""
MAX_INTERNAL_BODY_BYTES = 65_536
"""Longest body of a heartbeat, readiness check or metrics request, in bytes."""
PEER_MAINTENANCE_INTERVAL_S = 0.25
"""Seconds between runs of `Peers.run_maintenance`, which expires lost hosts."""
STORE_WATCH_DELAY_S = 2.0
"""Seconds after start during which a daemon polls the store instead of watching it,
because usually a peer of the region watches it already and relays each change. If all
daemons of a region have just started, none of them does. The delay and the first read
after it (`CALL_TIMEOUT_S`) therefore end before a started daemon must have each
acknowledged version in force, which the platform demands after 3 s."""
RESTORE_DELAY_S = 0.3
"""Seconds from reading the record of this host's earlier daemon to restoring its
backend server. Peers that know of its departure tell this daemon as soon as they have
a link to it."""
READINESS_PROPAGATION_S = 2.3
"""Seconds after which callers have stopped sending to a daemon that is not ready."""
KILL_MARGIN_S = 0.5
"""Seconds before the platform's kill signal at which a graceful stop ends its wait."""
RUNS_POLL_INTERVAL_S = 0.02
"""Interval at which a graceful stop checks whether the backend server still runs
requests."""
WITHDRAWAL_TIMEOUT_S = 0.2
"""Seconds after a graceful stop ended its wait in which peers may still reply that a
request has not run; less than `KILL_MARGIN_S`."""
LAST_ANSWERS_TIMEOUT_S = 0.1
"""Seconds after that for sending the answers to the remaining callers."""
IDLE_QUOTA_INTERVAL_S = 0.25
"""Seconds between looks for quotas while the configuration has none, as each wake-up
costs processor time."""
GREETING_INTERVAL_S = 2.0
"""Seconds between attempts of an owner of quotas to reach the daemons of which it has
no notice; those that know no quotas do not count for its quorum."""
VERDICTS_DELAY_S = 0.02
"""Seconds in which verdicts on requests are collected before the peers hear of them."""
MAX_BACKEND_CONNECTIONS = 100
"""Connections to the backend server, which accepts only a few more than these from
all its clients together."""

_log = EventLogger("daemon")
_METRICS_HEADERS = (("content-type", "text/plain; version=0.0.4; charset=utf-8"),)
METRICS_PATH = "/metrics"
_RELOADABLE_SETTINGS = frozenset({"repeat_limits", "stop_within", "is_first_start"})


@dataclass(slots=True)
class _LifecycleTimes:
    """Times at which the daemon started and began to stop, in monotonic seconds."""

    started_at: float
    stopping_at: float | None = None


class HostDaemon:
    """Builds, starts and stops the components of the daemon of one host.

    Parameters
    ----------
    settings
        Settings of the host, read from the platform's settings file.
    log_writer
        Writer of the log, whose count of dropped lines becomes a metric.
    """

    def __init__(self, settings: HostSettings, *, log_writer: LineWriter) -> None:
        self.settings = settings
        self._clock = SuspendAwareClock()
        self._random = random_module.Random()
        self._lifecycle = _LifecycleTimes(self._clock.monotonic())
        self._incarnation = int(self._clock.wall() * 1000)
        self._record_revision = 0
        self._tasks: list[asyncio.Task] = []
        self._loop_delay = LoopDelay(self._clock)
        self._dialect = PlatformDialect()
        self._metrics = DaemonMetrics()
        self._build_state()
        self._build_calls()
        self._build_servers()
        self._build_metrics(log_writer)

    def _build_state(self) -> None:
        settings, clock = self.settings, self._clock
        self._store = PlatformStore(
            settings.store_address,
            clock=clock,
            on_restored=self._handle_store_restore,
        )
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
        self._evidence = CrashEvidence(
            host=settings.host,
            clock=clock,
            on_suspects_changed=self._publish_backend_change,
            on_verdicts_changed=self._announce_verdicts,
        )
        self._verdicts_timer: asyncio.TimerHandle | None = None
        self.directory = HostDirectory(
            clock=clock,
            is_alive=self.links.is_alive,
            on_record=self._note_record,
        )
        self.routes = ActiveRoutes(
            CONFIGURATION_KEY,
            decode_routes,
            on_activated=lambda: self._peers.relay_routes(),
        )
        self._rollouts = make_rollout_parts(
            directory=self.directory,
            links=self.links,
            routes=self.routes,
            host=settings.host,
            clock=clock,
        )
        self.registration = Registration(
            self._store,
            make_entry=self._make_entry,
            clock=clock,
            random=self._random,
            on_contact=lambda reached: self.feed.record_contact(reached=reached),
            on_registered=lambda: self.feed.request_changes(),
            on_replaced=self._restore_from_record,
        )
        records = HostRecords(
            self.directory,
            own_host=settings.host,
            on_own_lost=self.registration.restore_record,
            on_loaded=lambda: self._peers.select_peers(),
            on_own_seen=self._note_own_record,
            own_revision=lambda: self.registration.stored_revision,
        )
        self.feed = StoreFeed(
            self._store,
            (self.routes, self._rollouts.orders, records),
            clock=clock,
            random=self._random,
            on_connection_changed=self.links.notify_all,
            poll_until=self._lifecycle.started_at + STORE_WATCH_DELAY_S,
            first_read_may_be_stale=settings.is_first_start,
        )
        self._quota_links = QuotaLinks(
            settings.host, directory=self.directory, links=self.links
        )
        self._peers = Peers(
            links=self.links,
            directory=self.directory,
            routes=self.routes,
            feed=self.feed,
            own_host=settings.host,
            own_region=settings.region,
            evidence=self._evidence,
            make_entry=self._make_entry,
            on_departure=lambda departure: self.backend.mark_leaving(
                departure.backend, departure.started_ms
            ),
            clock=clock,
            on_host_notice=self._quota_links.handle_notice,
            on_rollout_support=lambda host, knows: self._rollouts.members.note(
                host, knows_rollouts=knows
            ),
            get_store_era=lambda: self._store.era,
            on_store_restored=self.registration.check_lease,
        )

    def _build_calls(self) -> None:
        settings, clock = self.settings, self._clock
        limit = compute_budget_bytes(settings.memory_bytes)
        self._caller_budget = CallerBudget(limit, clock=clock)
        self._peer_bodies = PeerBodies(self._caller_budget, clock=clock)
        self._link_budget = LinkBudget(
            bytes_per_second=settings.link_bytes_per_second, clock=clock
        )
        self.links.traffic.on_sent = self._link_budget.charge
        self.transfers = TransferScheduler(self._link_budget, clock)
        self.transfer_admission = TransferAdmission(self.transfers, clock)
        self.backend_client = BackendClient(
            settings.backend_address,
            connections=MAX_BACKEND_CONNECTIONS,
            clock=clock,
            accept_unframed=True,
            max_received_bytes=compute_response_bytes(settings.memory_bytes),
        )
        self.backend = LocalBackend(
            sender=self.backend_client,
            dialect=self._dialect,
            clock=clock,
            intake=BodyIntake(
                bytes_per_second=settings.link_bytes_per_second, clock=clock
            ),
            bodies=self._peer_bodies,
            guard=HostCrashGuard(
                evidence=self._evidence,
                has_crashed=self.backend_client.has_crashed,
                on_crash=lambda start: self.backend.mark_crashed(start),
            ),
            on_changed=self._publish_backend_change,
            transfers=self.transfer_admission,
            tally=self._rollouts.tally,
            is_barred=self._rollouts.versions.is_barred,
            find_rate=self._find_rate,
        )
        self._rollouts.connect(
            settings=lambda: self.settings,
            store=self._store,
            backend=self.backend,
            directory=self.directory,
            clock=clock,
            random=self._random,
            incarnation=self._incarnation,
            is_relay=lambda: self.feed.watching,
            request_records=lambda: self.feed.request_changes(),
            may_coordinate=lambda: (
                self._lifecycle.stopping_at is None and not self._peers.is_isolated
            ),
        )
        self.retry_budget = FleetRetryBudget(
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
        self.quotas = QuotaService(
            (settings.host, self._incarnation),
            bounds=settings.quota_bounds,
            find_tenants=self._find_tenants,
            list_hosts=self._quota_links.list_hosts,
            rank_hosts=self._quota_links.rank_hosts,
            is_usable=self._quota_links.is_usable,
            send=self._quota_links.send,
            call_later=lambda delay, work: asyncio.get_running_loop().call_later(
                delay, work
            ),
            clock=clock,
            random=self._random,
            is_first_start=settings.is_first_start,
        )
        self._forwarder = Forwarder(
            table=lambda: self.routes.table,
            directory=self.directory,
            balancer=self._placement,
            admission=TenantAdmission(
                self._dialect, may_trust_keys=self._may_trust_keys
            ),
            quotas=self.quotas,
            splitter=TrafficSplitter(self._random),
            retry_budget=self.retry_budget,
            links=self.links,
            run_locally=self._run_on_local_backend,
            is_running=self.backend.is_running,
            dialect=self._dialect,
            clock=clock,
            random=self._random,
            host=settings.host,
            own_service=settings.own_service,
            on_newer_version=self._peers.catch_up_to,
            find_condemned_until=self._find_condemned_until,
            on_finished=self._metrics.record_call,
            versions=self._rollouts.versions,
            on_nested_failure=self._rollouts.tally.mark_nested_failure,
        )

    def _build_servers(self) -> None:
        settings, clock = self.settings, self._clock
        self._descriptors = divide_descriptors(settings.max_descriptors)
        self.callers = CallerServer(
            address=settings.caller_address,
            handler=self._handle_caller_request,
            max_body_bytes=0,
            version=lambda: self.routes.version,
            clock=clock,
            limits=self._get_caller_limits,
            find_request_id=self._find_request_id,
            pacer=self.transfers,
            on_sent=self._link_budget.charge,
            own_ip=settings.ip,
            budget=self._caller_budget,
            max_connections=self._descriptors.callers,
        )
        self.link_server = CallLinkServer(
            address=settings.peer_address,
            hello=self._hello,
            handler=self._handle_peer_call,
            clock=clock,
            policy=LINK_POLICY,
            on_notice=self._handle_notice,
            withdraw=self.backend.withdraw,
            pacer=self.transfers,
        )
        self.link_server.traffic.on_sent = self._link_budget.charge
        self._ready_server = self._make_internal_server(
            settings.ready_address, self._handle_ready
        )
        control = BackendControl(
            backend=self.backend,
            backend_address=settings.backend_address,
            routes=self.routes,
            is_stopping=lambda: self._lifecycle.stopping_at is not None,
            store_state=self.registration.wait_until_written,
            is_known_by_peers=self._peers.has_confirmed,
        )
        self._control_server = self._make_internal_server(
            settings.backend_control_address, control.handle
        )
        operators = OperatorEndpoint(
            CallExplainer(self._forwarder, self._placement, self.quotas),
            limits=self._get_caller_limits,
        )
        self._operator_server = (
            self._make_internal_server(settings.operator_address, operators.handle)
            if settings.operator_address
            else None
        )

    def _make_internal_server(self, address: str, handler) -> CallerServer:  # noqa: ANN001
        return CallerServer(
            address=address,
            handler=handler,
            max_body_bytes=MAX_INTERNAL_BODY_BYTES,
            clock=self._clock,
            budget=self._caller_budget,
            max_connections=self._descriptors.internal,
        )

    def _build_metrics(self, log_writer: LineWriter) -> None:
        register_state_metrics(
            self._metrics,
            routes=self.routes,
            directory=self.directory,
            evidence=self._evidence,
            log_writer=log_writer,
            loop_delay=self._loop_delay,
        )
        register_call_metrics(
            self._metrics,
            backend=self.backend,
            retry_budget=self.retry_budget,
            store=self._store,
            callers=self.callers,
            choices=self._placement.choices,
        )
        register_quota_metrics(self._metrics, quotas=self.quotas)
        register_link_metrics(self._metrics, links=self.links, server=self.link_server)
        register_transfer_metrics(
            self._metrics, scheduler=self.transfers, admission=self.transfer_admission
        )
        register_rollout_metrics(
            self._metrics,
            rollouts=self._rollouts.manager,
            orders=self._rollouts.orders,
        )
        address = f"{self.settings.ip}:{self.settings.metrics_port}"
        self._metrics_server = self._make_internal_server(address, self._handle_metrics)

    async def start(self) -> None:
        """Bind all addresses and start the store feed, registration and maintenance."""
        for server in self._list_servers():
            await server.start()
        await self.links.start()
        for work in (
            self.feed.run,
            self.registration.run,
            self._maintain_peers_forever,
            self._divide_quotas_forever,
            self._rollouts.manager.run,
        ):
            self._start_forever(work)
        _log.info(
            "daemon started",
            incarnation=self._incarnation,
            service=self.settings.own_service,
            data_centre=self.settings.data_centre,
        )

    async def drain(self) -> None:
        """Stop gracefully: wait for requests in flight, then stop listening.

        Notes
        -----
        Callers learn from the readiness check that this daemon is stopping. It keeps
        serving for `READINESS_PROPAGATION_S`, and only then refuses new requests.
        """
        now = self._clock.monotonic()
        self._lifecycle.stopping_at = now
        kill_at = now + self.settings.stop_within - KILL_MARGIN_S
        _log.info("daemon stopping", in_flight=self.callers.requests_in_flight)
        self.callers.disable_keep_alive()
        self._forwarder.stop_answering(kill_at)
        self.backend.change_state(ServingState.LEAVING, reason="the daemon is stopping")
        self.registration.update()
        await asyncio.sleep(READINESS_PROPAGATION_S)
        await self._close_gracefully(kill_at)
        _log.info("daemon stopped", in_flight=self.callers.requests_in_flight)

    async def close(self) -> None:
        """Cancel all tasks and close all connections without waiting for requests."""
        for task in self._tasks:
            task.cancel()
        for server in self._list_servers():
            await server.close()
        await self.links.close()
        await self.backend_client.close()
        await self._store.close()

    def reload(self, settings: HostSettings) -> None:
        """Apply changed settings.

        Notes
        -----
        Retry limits and the time allowed for a graceful stop take effect at once.
        Addresses and names are fixed for the life of the process; changes to them are
        logged and need a restart.
        """
        changed = [
            item.name
            for item in fields(settings)
            if getattr(settings, item.name) != getattr(self.settings, item.name)
        ]
        restart_required = [
            name for name in changed if name not in _RELOADABLE_SETTINGS
        ]
        retained = {name: getattr(self.settings, name) for name in restart_required}
        self.settings = replace(settings, **retained)
        self.retry_budget.limits = settings.repeat_limits
        _log.info(
            "settings reloaded", changed=changed, wait_for_restart=restart_required
        )

    def count_in_flight(self) -> int:
        """Return the requests in flight from callers, from peers and at the backend."""
        return (
            self.callers.requests_in_flight
            + self.link_server.calls_in_flight
            + self.backend.runs_in_flight
        )

    def _list_servers(self) -> tuple[CallerServer | CallLinkServer, ...]:
        servers = (
            self.callers,
            self.link_server,
            self._ready_server,
            self._control_server,
            self._metrics_server,
        )
        if self._operator_server is None:
            return servers
        return (*servers, self._operator_server)

    async def _close_gracefully(self, kill_at: float) -> None:
        remaining = max(0.0, kill_at - self._clock.monotonic())
        try:
            async with asyncio.timeout(remaining):
                self._forwarder.refuse_new_requests()
                await self._wait_for_local_runs()
                await self.callers.drain()
                await self.link_server.drain()
                await self.registration.withdraw()
        except TimeoutError:
            _log.warning(
                "graceful stop took too long; withdrawing requests that still wait",
                in_flight=self.callers.requests_in_flight,
            )
            await self._answer_remaining()

    async def _wait_for_local_runs(self) -> None:
        """Wait for the runs of the local backend server, which may make calls here."""
        while self.backend.runs_in_flight:
            await asyncio.sleep(RUNS_POLL_INTERVAL_S)

    async def _answer_remaining(self) -> None:
        """Answer the callers whose requests are not finished when the stop gives up.

        Notes
        -----
        Requests that wait for a slot on another host are withdrawn and refused as not
        run. Then all calls that are left fail, so that their callers get an answer as
        well: the outcome of a request that was sent is unknown.
        """
        self.links.withdraw_calls()
        await self._drain_callers(WITHDRAWAL_TIMEOUT_S)
        await self.links.close()
        await self.backend_client.close()
        await self._drain_callers(LAST_ANSWERS_TIMEOUT_S)

    async def _drain_callers(self, seconds: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.callers.drain()

    def _start_forever(self, work: Callable[[], Awaitable[None]]) -> None:
        self._start_task(run_with_restart(work))

    def _start_task(self, coroutine: Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._log_task_failure)
        self._tasks.append(task)

    def _log_task_failure(self, task: asyncio.Task) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("background task failed and is not restarted", error=repr(error))

    async def _maintain_peers_forever(self) -> None:
        while True:
            await self._loop_delay.sleep(PEER_MAINTENANCE_INTERVAL_S)
            self._peers.run_maintenance()

    async def _divide_quotas_forever(self) -> None:
        greet_at = 0.0
        while True:
            limited = self.quotas.has_limits
            await asyncio.sleep(TICK_S if limited else IDLE_QUOTA_INTERVAL_S)
            self.quotas.tick()
            now = self._clock.monotonic()
            if now >= greet_at and self.quotas.is_owner:
                greet_at = now + GREETING_INTERVAL_S
                self._quota_links.greet_unknown()

    def _find_rate(self, tenant: str) -> float:
        policy = self.quotas.find_policy(tenant)
        return policy.rate if policy is not None else 0.0

    def _find_tenants(self) -> TenantTable | None:
        table = self.routes.table
        return table.tenants if table is not None else None

    def _handle_notice(self, notice: Notice) -> None:
        if isinstance(notice, QuotaReport | QuotaGrant):
            self.quotas.handle_frame(notice)
        elif not self._rollouts.handle_notice(notice):
            self._peers.handle_notice(notice)

    def _may_trust_keys(self) -> bool:
        """Return whether this daemon has heard of the configuration lately enough."""
        bounds = self.settings.revocation
        return not bounds.strict or self._peers.hears_of_routes(within=bounds.within)

    def _get_caller_limits(self) -> CallerLimits:
        table = self.routes.table
        return table.limits if table is not None else CallerLimits()

    def _find_request_id(self, headers: HeaderList) -> str:
        return self._dialect.read_request(headers).attempt_id

    def _make_entry(self) -> HostEntry:
        settings = self.settings
        return HostEntry(
            settings.host,
            self._incarnation,
            settings.data_centre,
            settings.region,
            settings.advertised_address,
            self.backend.entry,
            self._record_revision,
            self.backend.departure,
            self._evidence.suspects,
            settings.processors,
        )

    def _note_record(self, entry: HostEntry) -> None:
        self._evidence.merge_record(entry)
        self._rollouts.versions.note_record(entry)

    def _handle_store_restore(self) -> None:
        """Write the record again, and tell the peers if this daemon is their relay."""
        self.registration.handle_store_restore()
        if self.feed.watching:
            self.links.notify_all()

    def _note_own_record(self, entry: HostEntry, revision: int) -> None:
        self.registration.note_stored_revision(revision)
        self._restore_from_record(entry)

    def _restore_from_record(self, entry: HostEntry) -> None:
        """Restore what the record of this host's earlier daemon tells.

        Notes
        -----
        The restored state holds until the next heartbeat. This is safe if the
        backend server has been replaced meanwhile, because each request names its
        backend server and any other one refuses it. Only a ready state is restored:
        the earlier daemon also writes a leaving state when just the daemon stops. The
        record may lack a departure that was acknowledged during an outage of the store.
        """
        if entry.incarnation >= self._incarnation:
            return
        self._evidence.restore(entry)
        departure, backend = entry.departure, entry.backend
        if departure is not None:
            self.backend.mark_leaving(departure.backend, departure.started_ms)
        if backend is not None and backend.state is ServingState.READY:
            self._start_task(self._restore_backend(backend))

    async def _restore_backend(self, backend: BackendEntry) -> None:
        """Restore a backend server unless a heartbeat or departure arrives before."""
        await asyncio.sleep(RESTORE_DELAY_S)
        if (
            self.backend.entry is not None
            or self.backend.has_left(backend)
            or self._lifecycle.stopping_at is not None
        ):
            return
        _log.info(
            "backend server restored from the stored host record",
            backend=backend.backend,
        )
        self.backend.apply_announcement(backend)

    def _publish_backend_change(self) -> None:
        self._record_revision += 1
        self.directory.put(self._make_entry())
        self.links.notify_all()
        self.registration.update()

    def _announce_verdicts(self) -> None:
        """Tell the peers soon which requests were condemned or cleared."""
        if self._verdicts_timer is None:
            self._verdicts_timer = asyncio.get_running_loop().call_later(
                VERDICTS_DELAY_S, self._send_verdicts
            )

    def _send_verdicts(self) -> None:
        self._verdicts_timer = None
        self.links.notify_all()

    def _find_condemned_until(self, request: CallRequest) -> float | None:
        if not self._evidence.has_condemned:
            return None
        return self._evidence.find_condemned_until(make_fingerprint(request))

    async def _handle_caller_request(self, request: CallerRequest) -> CallerResponse:
        return await self._forwarder.handle(request)

    async def _handle_peer_call(self, request: LinkRequest) -> CallReply:
        if isinstance(request, RoutesQuery):
            return self._peers.answer_routes_query(request)
        if isinstance(request, BodyOffer):
            return await self.backend.answer_offer(request)
        if isinstance(request, ClaimQuery):
            # Only `almondrouterd.daemon` keeps claims.
            return make_reply(ErrorCode.CLAIM_UNAVAILABLE)
        if request.version > self.routes.version:
            self._peers.catch_up_to(request.version)
        held = self._peer_bodies.begin(request)
        if held is None:
            reply = make_reply(ErrorCode.OVERLOADED)
            return msgspec.structs.replace(reply, load=self.backend.load)
        try:
            return await self._run_on_local_backend(request)
        finally:
            self._peer_bodies.end(held)

    async def _run_on_local_backend(self, request: CallRequest) -> CallReply:
        reply = await self.backend.handle_call(request)
        return msgspec.structs.replace(reply, version=self.routes.version)

    async def _handle_metrics(self, request: CallerRequest) -> CallerResponse:
        if request.target != METRICS_PATH:
            return CallerResponse(HTTPStatus.NOT_FOUND, (), b"")
        return CallerResponse(HTTPStatus.OK, _METRICS_HEADERS, self._metrics.render())

    async def _handle_ready(self, request: CallerRequest) -> CallerResponse:
        ready = request.target == READY_PATH and self.is_ready()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return CallerResponse(status, (), b"")

    def is_ready(self) -> bool:
        """Return whether the daemon has routes, reaches peers and is not stopping."""
        if self._lifecycle.stopping_at is not None or self._peers.is_isolated:
            return False
        return self.routes.table is not None
