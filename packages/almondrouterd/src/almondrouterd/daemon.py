"""The daemon: its parts, and the order in which they start and stop."""

from __future__ import annotations

import asyncio
import random
from typing import Any

from almondrouter.clock import SystemClock
from almondrouter.coordination.activation import Activation
from almondrouter.coordination.broadcast import Broadcast
from almondrouter.coordination.calls import CallService
from almondrouter.coordination.claimbatches import ClaimBatcher
from almondrouter.coordination.claims import StoreClaims
from almondrouter.coordination.crashes import CrashReporter
from almondrouter.coordination.delegates import rank_hosts
from almondrouter.coordination.distribution import Distribution
from almondrouter.coordination.fleetstatus import FleetStatus
from almondrouter.coordination.limits import LoanedLimits
from almondrouter.coordination.membership import Membership
from almondrouter.coordination.quarantine import Quarantine
from almondrouter.coordination.retries import RetryBudget
from almondrouter.coordination.routing import LeastOccupied
from almondrouter.coordination.slices import SliceHolder
from almondrouter.coordination.watchers import Spread
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol import headers
from almondrouter.protocol.calls import Hello
from almondrouter.protocol.codec import PROTOCOL_VERSION
from almondrouter.protocol.control import Claim, StatusReply
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.keys import StoreKeys
from almondrouter.settings import SettingValues, explain_bind_error
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.state.registry import BackendRecord, HostRecord, Registry
from almondrouter.state.snapshot import EMPTY_SNAPSHOT, Snapshot
from almondrouter.tracing import PassTracer, Tracer
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.calls import CallerRequest, CallerResponse
from almondrouter.transport.lazystore import LazyStore
from almondrouter.transport.links import CallLinkPool, CallLinkServer
from almondrouter.transport.store import Store
from almondrouter.transport.zeromq import ZmqControlEndpoint
from almondrouterd.admin import AdminServer
from almondrouterd.attainment import Attainment
from almondrouterd.backendmonitor import BackendMonitor
from almondrouterd.explanations import Explanations
from almondrouterd.figures import register_figures
from almondrouterd.logs import StateLogger
from almondrouterd.metrics import DaemonMetrics
from almondrouterd.status import StatusReports

LEAVE_NOTICE_S = 1.0
"""Time in which peers learn that this host is leaving, before links close."""

IDLE_LIMIT_SHARE = 0.5
"""Part of a rate limit that is spread evenly while nothing is called.

The other part goes where demand is at once.
"""

STORE_TIMEOUT_S = 5.0
"""Longest call of the store; a slow store is not down. Users of the store with
less time set their own limits."""

_log = StateLogger("daemon")


class Daemon:
    """One daemon beside the backend server of its host.

    Parameters
    ----------
    settings
        Checked settings.
    """

    def __init__(self, settings: SettingValues) -> None:
        self._settings = settings
        self.host: str = settings["host"]
        self.clock = SystemClock()
        self.incarnation = int(self.clock.wall() * 1000)
        self.metrics = DaemonMetrics()
        self.attainment = Attainment(clock=self.clock)
        self.stopping = False
        self.version_at = 0.0
        """Wall time at which the version in force was put in force."""
        self._tracer = _make_tracer(settings)
        self._tasks: list[asyncio.Task[None]] = []
        self._build_control()
        self._build_calls()
        self.status = StatusReports(self)
        register_figures(self)
        self.admin = AdminServer(address=settings["admin-address"], daemon=self)

    async def start(self) -> None:
        """Bind every address and start every part.

        Raises
        ------
        FindingsError
            ``address_in_use`` if an address cannot be bound.
        """
        for place, part in (
            ("control-address", self.endpoint),
            ("peer-address", self.link_server),
            ("admin-address", self.admin),
        ):
            await self._bind(place, part)
        await self.links.start()
        await self.membership.start()
        await self.distribution.start()
        self.slices.start()
        self.limits.start()
        for part in (self.backends, self.broadcast):
            self._tasks.append(asyncio.create_task(part.run()))
        await self._bind("caller-address", self.caller_server)
        _log.info("started", host=self.host, incarnation=self.incarnation)

    async def drain(self) -> None:
        """Stop gracefully: no new calls, and none in flight is cut."""
        self.stopping = True
        _log.info("stopping", host=self.host)
        try:
            async with asyncio.timeout(self._settings["drain-timeout"]):
                await self.membership.leave()
                await asyncio.sleep(LEAVE_NOTICE_S)
                await self.caller_server.drain()
                await self.link_server.drain()
                await self.backends.wait_until_idle()
        except TimeoutError:
            _log.warning("calls were still in flight at the drain timeout")

    async def close(self) -> None:
        """Close everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for part in (
            self.caller_server,
            self.link_server,
            self.links,
            self.claims,
            self.batcher,
            self.limits,
            self.slices,
            self.distribution,
            self.membership,
            self.backends,
            self.admin,
            self.endpoint,
            self.store,
        ):
            await part.close()
        self._tracer.close()

    def describe_own_status(self) -> StatusReply:
        """Return what this daemon tells others of its version."""
        return StatusReply(
            host=self.host,
            incarnation=self.incarnation,
            head=self.activation.head(),
            ready=self.ready,
        )

    @property
    def ready(self) -> bool:
        """Return whether the daemon takes calls."""
        return self.distribution.ready and not self.stopping

    def lift(self, fingerprint: str) -> None:
        """Let a condemned request run again, everywhere.

        Raises
        ------
        AlmondError
            ``target_unknown`` if nothing is held against the request here.
        """
        messages = self.quarantine.lift(fingerprint)
        if not messages:
            message = f"nothing is held against request {fingerprint}"
            raise AlmondError(ErrorCode.TARGET_UNKNOWN, message)
        self.broadcast.publish(*messages)

    def _build_control(self) -> None:
        settings = self._settings
        self._record = self._make_record()
        self.registry = Registry()
        self.activation = Activation(registry=self.registry)
        self.activation.add_listener(self._record_version)
        self.keys = StoreKeys(settings["cluster"])
        self.store = LazyStore(self._open_store)
        self.endpoint = ZmqControlEndpoint(
            cluster=settings["cluster"],
            host=self.host,
            incarnation=self.incarnation,
            address=settings["control-address"],
            clock=self.clock,
        )
        self.membership = Membership(
            record=self._record,
            endpoint=self.endpoint,
            registry=self.registry,
            clock=self.clock,
            seeds=settings["seeds"],
            head=self.activation.head,
        )
        self.distribution = Distribution(
            record=self._record,
            registry=self.registry,
            activation=self.activation,
            membership=self.membership,
            endpoint=self.endpoint,
            store=self.store,
            keys=self.keys,
            clock=self.clock,
            spread=Spread(settings["spread"]),
            rank=rank_hosts,
            random=random.Random(),
        )
        self.fleet = FleetStatus(
            host=self.host,
            data_centre=settings["data-centre"],
            registry=self.registry,
            endpoint=self.endpoint,
            clock=self.clock,
            status=self.describe_own_status,
        )

    def _build_calls(self) -> None:
        settings = self._settings
        self.batcher = ClaimBatcher(self.store, self.keys, clock=self.clock)
        self.claims = StoreClaims(
            host=self.host,
            incarnation=self.incarnation,
            endpoint=self.endpoint,
            batcher=self.batcher,
            delegate=self._find_delegate,
            clock=self.clock,
        )
        self.slices = SliceHolder(
            self.store,
            self.keys,
            host=self.host,
            rate_of=lambda name: self.activation.snapshot.limits.get(name),
            clock=self.clock,
        )
        self.limits = LoanedLimits(
            host=self.host,
            incarnation=self.incarnation,
            endpoint=self.endpoint,
            slices=self.slices,
            delegate=self._find_delegate,
            clock=self.clock,
        )
        self.quarantine = Quarantine(host=self.host, clock=self.clock)
        self.broadcast = Broadcast(
            endpoint=self.endpoint,
            quarantine=self.quarantine,
            push_addresses=self._list_push_addresses,
            clock=self.clock,
            random=random.Random(),
        )
        self.backends = BackendMonitor(
            clock=self.clock,
            on_change=self._update_backends,
            on_crash=self._report_crash,
        )
        self.crashes = CrashReporter(
            quarantine=self.quarantine,
            probe=self.backends.probe,
            publish=self.broadcast.publish,
        )
        self.occupancy = OccupancyTable()
        hello = Hello(
            cluster=settings["cluster"],
            protocol_version=PROTOCOL_VERSION,
            host=self.host,
            incarnation=self.incarnation,
            clock=0.0,
        )
        self.links = CallLinkPool(hello=hello, clock=self.clock)
        self.calls = CallService(
            snapshot=self._find_snapshot,
            links=self.links,
            choice=LeastOccupied(
                data_centre=settings["data-centre"],
                region=settings["region"],
                occupancy=self.occupancy,
                random=random.Random(),
            ),
            retries=RetryBudget(),
            admissions=self.backends.admissions,
            backends=self.backends.clients,
            claims=self.claims,
            limits=self.limits,
            quarantine=self.crashes,
            clock=self.clock,
            host=self.host,
            find_peer=self._find_peer,
            tracer=self._tracer,
        )
        self.link_server = CallLinkServer(
            address=settings["peer-address"],
            hello=hello,
            handler=self.calls.handle_link,
            clock=self.clock,
        )
        self.caller_server = CallerServer(
            address=settings["caller-address"],
            handler=self._serve_caller,
            max_body_bytes=settings["max-body-bytes"],
            version=lambda: self._find_snapshot().version,
        )
        self.explanations = Explanations(
            snapshot=lambda: self.activation.snapshot,
            occupancy=self.occupancy,
            quarantine=self.quarantine,
            attainment=self.attainment,
            clock=self.clock,
            describe_version=self._describe_version,
        )

    def _open_store(self) -> Store:
        from almondrouter.transport.etcd import EtcdStore

        endpoints = tuple(f"http://{address}" for address in self._settings["store"])
        return EtcdStore(endpoints, clock=self.clock, timeout=STORE_TIMEOUT_S)

    def _find_snapshot(self) -> Snapshot:
        """Return the snapshot in force; an empty one refuses all calls."""
        return self.activation.snapshot if self.distribution.ready else EMPTY_SNAPSHOT

    async def _serve_caller(self, request: CallerRequest) -> CallerResponse:
        started = self.clock.monotonic()
        response = await self.calls.handle_caller(request)
        self._count_call(request, response, self.clock.monotonic() - started)
        return response

    def _count_call(
        self, request: CallerRequest, response: CallerResponse, seconds: float
    ) -> None:
        own = dict(response.headers)
        class_name = dict(request.headers).get(headers.CLASS.lower(), "")
        outcome = Outcome(own[headers.OUTCOME])
        route = self.activation.snapshot.routes.get(class_name)
        if route is None:
            # A name that callers make up must not become a label.
            class_name = "unknown"
        else:
            complete = outcome is Outcome.COMPLETE
            in_time = complete and seconds <= route.answer_within
            self.attainment.record(class_name, in_time=in_time)
        self.metrics.record_call(class_name, outcome, own[headers.CODE], seconds)

    def _record_version(self, snapshot: Snapshot) -> None:
        self.version_at = self.clock.wall()
        self._prepare_limits()
        _log.info("configuration in force", version=snapshot.version)

    def _update_backends(self, records: tuple[BackendRecord, ...]) -> None:
        self.membership.update_backends(records)
        self._prepare_limits()

    def _prepare_limits(self) -> None:
        """Ask for shares of the limits of what this host's backend server does."""
        services = {r.service for r in self.membership.record.backends}
        snapshot = self.activation.snapshot
        demands = {
            name: IDLE_LIMIT_SHARE * snapshot.limits[name] / len(route.destinations)
            for route in snapshot.routes.values()
            if route.service in services and route.destinations
            for name in route.limit_names
        }
        self.limits.prepare(demands)

    def _report_crash(self, backend: str) -> None:
        report = self.crashes.record_crash(backend)
        _log.warning("backend server crashed", name=backend, report=report.report_id)

    def _list_push_addresses(self) -> list[str]:
        return [record.control_address for record in self.membership.push_targets()]

    def _find_delegate(self) -> str | None:
        """Return the control address of this data centre's first delegate."""
        ranked = self.membership.overlay.ranks(self._settings["data-centre"])
        if not ranked or ranked[0].host == self.host:
            return None
        return ranked[0].control_address

    def _find_peer(self, claim: Claim) -> str | None:
        # A daemon that has restarted since says that it knows nothing of the run.
        record = self.registry.find(claim.host)
        return record.peer_address if record is not None else None

    def _describe_version(self) -> list[str]:
        head = self.activation.head()
        lines = [f"version {head.version}, digest {head.digest}"]
        if not self.distribution.ready:
            lines.append(f"not ready: {self.distribution.not_ready_reason}")
        alarms = self.distribution.alarms
        lines += [f"alarm {name}: {text}" for name, text in alarms.items()]
        lines += [
            f"data centre {name} is not heard from"
            for name in sorted(self.membership.unreachable_data_centres())
        ]
        return lines

    def _make_record(self) -> HostRecord:
        settings = self._settings
        return HostRecord(
            host=self.host,
            data_centre=settings["data-centre"],
            region=settings["region"],
            control_address=settings["control-address"],
            peer_address=settings["peer-address"],
            incarnation=self.incarnation,
        )

    async def _bind(self, place: str, part: Any) -> None:
        try:
            await part.start()
        except (OSError, AlmondError) as error:
            raise explain_bind_error(
                error, place=f"--{place}", address=self._settings[place]
            ) from error


def _make_tracer(settings: SettingValues) -> Tracer:
    if settings["trace-exporter"] == "none":
        return PassTracer()
    from almondrouterd.tracing import SdkTracer

    return SdkTracer(host=settings["host"], sample=settings["trace-sample"])
