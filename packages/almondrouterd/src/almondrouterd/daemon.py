"""The daemon for clusters with an etcd store: its components, start and stop.

The daemon for hosts of the hosting platform is in `almondrouterd.hostdaemon`.
"""

from __future__ import annotations

import asyncio
import random
from typing import Any

from almondrouter.clock import SystemClock
from almondrouter.coordination.calls import CallService
from almondrouter.coordination.crashes import CrashReporter
from almondrouter.coordination.fleetstatus import FleetStatus
from almondrouter.coordination.retries import RetryBudget
from almondrouter.coordination.routing import LeastOccupied
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.protocol import headers
from almondrouter.protocol.calls import Hello
from almondrouter.protocol.codec import PROTOCOL_VERSION
from almondrouter.protocol.control import StatusReply
from almondrouter.protocol.headers import Outcome
from almondrouter.settings import SettingValues, make_bind_error
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.state.registry import BackendRecord
from almondrouter.state.snapshot import EMPTY_SNAPSHOT, Snapshot
from almondrouter.tracing import PassThroughTracer, Tracer
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.calls import CallerRequest, CallerResponse
from almondrouter.transport.links import CallLinkPool, CallLinkServer
from almondrouterd.admin import AdminServer
from almondrouterd.attainment import Attainment
from almondrouterd.backendmonitor import BackendMonitor
from almondrouterd.controlplane import ControlPlane
from almondrouterd.daemonmetrics import register_daemon_metrics
from almondrouterd.explanations import Explanations
from almondrouterd.metrics import DaemonMetrics
from almondrouterd.status import StatusReports

READY_POLL_INTERVAL_S = 0.05
LEAVE_PROPAGATION_S = 1.0
"""Seconds that peers have to learn that this host is leaving before links close."""


_log = EventLogger("daemon")


class Daemon:
    """Builds, starts and stops the components of one daemon.

    Parameters
    ----------
    settings
        Validated settings.
    """

    def __init__(self, settings: SettingValues) -> None:
        self._settings = settings
        self.host: str = settings["host"]
        self.clock = SystemClock()
        self.incarnation = int(self.clock.wall() * 1000)
        self.metrics = DaemonMetrics()
        self.attainment = Attainment(clock=self.clock)
        self.stopping = False
        self._backends_published = False
        self.version_at = 0.0
        """Wall time at which the version in force was activated."""
        self._tracer = _make_tracer(settings)
        self._tasks: list[asyncio.Task[None]] = []
        self.control = ControlPlane(
            settings, clock=self.clock, incarnation=self.incarnation
        )
        self.control.activation.add_listener(self._handle_activation)
        self.fleet = FleetStatus(
            host=self.host,
            data_centre=settings["data-centre"],
            registry=self.control.registry,
            endpoint=self.control.endpoint,
            clock=self.clock,
            status=self._describe_own_status,
        )
        self._build_calls()
        self.status = StatusReports(self)
        register_daemon_metrics(self)
        self.admin = AdminServer(address=settings["admin-address"], daemon=self)

    async def start(self) -> None:
        """Bind all addresses and start all components.

        Raises
        ------
        FindingsError
            ``address_in_use`` if an address cannot be bound.
        """
        for setting, component in (
            ("control-address", self.control.endpoint),
            ("peer-address", self.link_server),
            ("admin-address", self.admin),
        ):
            await self._bind_address(setting, component)
        await self.links.start()
        await self.control.start()
        for coroutine in (
            self.backends.run(),
            self.control.broadcast.run(),
            self._publish_backends_when_ready(),
        ):
            self._tasks.append(asyncio.create_task(coroutine))
        await self._bind_address("caller-address", self.caller_server)
        _log.info("daemon started", host=self.host, incarnation=self.incarnation)

    async def drain(self) -> None:
        """Stop gracefully: leave the cluster and wait for calls in flight to finish.

        The setting ``drain-timeout`` limits the wait.
        """
        self.stopping = True
        _log.info("daemon stopping", host=self.host)
        try:
            async with asyncio.timeout(self._settings["drain-timeout"]):
                await self.control.membership.leave()
                await asyncio.sleep(LEAVE_PROPAGATION_S)
                await self.caller_server.drain()
                await self.link_server.drain()
                await self.backends.wait_until_idle()
        except TimeoutError:
            _log.warning(
                "drain timeout expired; closing connections with calls in flight"
            )

    async def close(self) -> None:
        """Cancel all tasks and close all components without waiting for calls."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for component in (
            self.caller_server,
            self.link_server,
            self.links,
            self.backends,
            self.admin,
            self.control,
        ):
            await component.close()
        self._tracer.close()

    @property
    def ready(self) -> bool:
        """Return whether the daemon accepts calls."""
        return self.control.distribution.ready and not self.stopping

    def lift_quarantine(self, fingerprint: str) -> None:
        """Allow a condemned request to run again on all hosts.

        Raises
        ------
        AlmondError
            ``target_unknown`` if the request is neither suspect nor condemned here.
        """
        messages = self.control.quarantine.lift(fingerprint)
        if not messages:
            message = f"no suspicion is recorded against request {fingerprint}"
            raise AlmondError(ErrorCode.TARGET_UNKNOWN, message)
        self.control.broadcast.publish(*messages)

    def _build_calls(self) -> None:
        settings = self._settings
        self.backends = BackendMonitor(
            clock=self.clock,
            on_change=self._update_backends,
            on_crash=self._handle_crash,
        )
        self.crashes = CrashReporter(
            quarantine=self.control.quarantine,
            probe=self.backends.probe,
            publish=self.control.broadcast.publish,
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
            snapshot=self._get_snapshot,
            links=self.links,
            balancer=LeastOccupied(
                data_centre=settings["data-centre"],
                region=settings["region"],
                occupancy=self.occupancy,
                random=random.Random(),
            ),
            retries=RetryBudget(),
            admissions=self.backends.admissions,
            backends=self.backends.clients,
            claims=self.control.claims,
            limits=self.control.limits,
            quarantine=self.crashes,
            clock=self.clock,
            host=self.host,
            find_peer=self.control.find_peer,
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
            handler=self._handle_caller_request,
            max_body_bytes=settings["max-body-bytes"],
            version=lambda: self._get_snapshot().version,
        )
        self.explanations = Explanations(
            snapshot=lambda: self.control.activation.snapshot,
            occupancy=self.occupancy,
            quarantine=self.control.quarantine,
            attainment=self.attainment,
            clock=self.clock,
            describe_version=self.control.describe_version,
        )

    def _get_snapshot(self) -> Snapshot:
        """Return the snapshot in force, or an empty one, which refuses all calls."""
        return (
            self.control.activation.snapshot
            if self.control.distribution.ready
            else EMPTY_SNAPSHOT
        )

    def _describe_own_status(self) -> StatusReply:
        """Return this daemon's version and readiness for status requests."""
        return StatusReply(
            host=self.host,
            incarnation=self.incarnation,
            head=self.control.activation.head(),
            ready=self.ready,
        )

    async def _handle_caller_request(self, request: CallerRequest) -> CallerResponse:
        started = self.clock.monotonic()
        response = await self.calls.handle_caller(request)
        self._record_caller_request(request, response, self.clock.monotonic() - started)
        return response

    def _record_caller_request(
        self, request: CallerRequest, response: CallerResponse, seconds: float
    ) -> None:
        response_headers = dict(response.headers)
        class_name = dict(request.headers).get(headers.CLASS.lower(), "")
        outcome = Outcome(response_headers[headers.OUTCOME])
        route = self.control.activation.snapshot.routes.get(class_name)
        if route is None:
            # An unknown class name from a caller must not become a metric label.
            class_name = "unknown"
        else:
            complete = outcome is Outcome.COMPLETE
            in_time = complete and seconds <= route.answer_within
            self.attainment.record(class_name, in_time=in_time)
        self.metrics.record_call(
            class_name, outcome, response_headers[headers.CODE], seconds
        )

    def _handle_activation(self, snapshot: Snapshot) -> None:
        self.version_at = self.clock.wall()
        self.control.prepare_limits()
        _log.info("configuration in force", version=snapshot.version)

    def _update_backends(self, records: tuple[BackendRecord, ...]) -> None:
        if self._backends_published:
            self.control.membership.update_backends(records)
            self.control.prepare_limits()

    async def _publish_backends_when_ready(self) -> None:
        """Publish the backend server to other daemons once this daemon is ready.

        A restarted daemon refuses calls until its configuration is current, so other
        daemons must not route calls to it before.
        """
        while not self.control.distribution.ready:
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        self._backends_published = True
        self._update_backends(self.backends.records)

    def _handle_crash(self, backend: str) -> None:
        report = self.crashes.record_crash(backend)
        _log.warning("backend server crashed", name=backend, report=report.report_id)

    async def _bind_address(self, setting: str, component: Any) -> None:
        try:
            await component.start()
        except (OSError, AlmondError) as error:
            raise make_bind_error(
                error, place=f"--{setting}", address=self._settings[setting]
            ) from error


def _make_tracer(settings: SettingValues) -> Tracer:
    if settings["trace-exporter"] == "none":
        return PassThroughTracer()
    from almondrouterd.tracing import SdkTracer

    return SdkTracer(host=settings["host"], sample=settings["trace-sample"])
