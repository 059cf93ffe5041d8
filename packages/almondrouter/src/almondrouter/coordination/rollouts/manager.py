"""The roll-outs of all services, as one daemon takes part in them."""

from __future__ import annotations

import asyncio
import random as random_module
from collections import Counter
from collections.abc import Callable

from almondrouter.clock import Clock
from almondrouter.coordination.rollouts.coordinator import FleetView
from almondrouter.coordination.rollouts.decisions import Decisions
from almondrouter.coordination.rollouts.lease import AttemptSchedule, CoordinatorLease
from almondrouter.coordination.rollouts.members import RecordSearch, RolloutMembers
from almondrouter.coordination.rollouts.orders import KnownOrder, OrderBook
from almondrouter.coordination.rollouts.reporting import LocalResults, ReportSchedule
from almondrouter.coordination.rollouts.servicestate import ServiceVersions
from almondrouter.coordination.rollouts.session import (
    CoordinatorSession,
    make_announcement,
)
from almondrouter.coordination.rollouts.versions import VersionFilter
from almondrouter.errors import AlmondError
from almondrouter.logs import EventLogger
from almondrouter.protocol.calls import RolloutPlan, RolloutReport
from almondrouter.state.bounds import RolloutBounds
from almondrouter.state.rollouts import (
    FINAL_PHASES,
    RolloutOrder,
    RolloutPhase,
    RolloutStatus,
)
from almondrouter.transport.store import Store

TICK_S = 0.1
STATUS_RETRY_S = 0.5
ELECTION_LEAD_S = 0.5
"""Seconds before the plan expires at which a successor is sought; the coordinator has
then missed two plans, and its lease may expire before its last plan."""
LINKS_INTERVAL_S = 0.5
"""Interval at which a coordinator opens missing links."""

_log = EventLogger("rollouts")


class Rollouts:
    """Takes part in roll-outs: applies plans, reports, and coordinates when elected.

    Parameters
    ----------
    store, decisions
        Store of the platform, and the statuses in it.
    orders
        Known orders.
    versions
        Chooses which versions get requests.
    results
        Results of the backend server of this host.
    members
        Daemons that take part.
    bounds
        Returns the limits on the requests for a new version.
    clock, random
        Sources of monotonic time, which includes time spent suspended, and of delays.
    owner, peer_address, region
        Name of this start of the daemon, its address for others, and its region.
    is_relay
        Returns whether this daemon watches the store for its region.
    find_ready
        Returns name and version of the ready servers of a service.
    request_records
        Reads soon which host records have changed in the store.
    may_coordinate
        Returns whether this daemon reaches its peers and is not stopping.
    """

    def __init__(
        self,
        *,
        store: Store,
        decisions: Decisions,
        orders: OrderBook,
        versions: VersionFilter,
        results: LocalResults,
        members: RolloutMembers,
        bounds: Callable[[], RolloutBounds],
        clock: Clock,
        random: random_module.Random,
        owner: str,
        peer_address: str,
        region: str,
        is_relay: Callable[[], bool],
        find_ready: Callable[[str], list[tuple[str, str]]],
        request_records: Callable[[], None] = lambda: None,
        may_coordinate: Callable[[], bool] = lambda: True,
    ) -> None:
        self._may_coordinate = may_coordinate
        self._search = RecordSearch(find_ready, request_records, clock)
        self._store = store
        self._decisions = decisions
        self._orders = orders
        self._versions = versions
        self._results = results
        self._members = members
        self._bounds = bounds
        self._clock = clock
        self._random = random
        self._owner = owner
        self._peer_address = peer_address
        self._region = region
        self._is_relay = is_relay
        self._find_ready = find_ready
        self._wake = asyncio.Event()
        self._statuses_wanted = False
        self._statuses_read = False
        self._attempts = AttemptSchedule(clock, random)
        self._tasks: dict[str, asyncio.Task] = {}
        self._sessions: dict[str, CoordinatorSession] = {}
        self._schedules: dict[str, ReportSchedule] = {}
        self._links_at = 0.0
        self.counts: Counter[str] = Counter()

    def handle_order_change(self, service: str) -> None:
        """Begin a roll-out that was ordered, or end one whose order was removed."""
        known = self._orders.find(service)
        self._versions.set_order(service, known.order if known else None)
        self._attempts.reset(service)
        self._schedules.pop(service, None)
        self._sessions.pop(service, None)
        if task := self._tasks.pop(service, None):
            task.cancel()
        self._results.restart_counting(service, is_ordered=known is not None)
        if self._is_relay():
            self._announce(service, known)
        self._wake.set()

    def announce_orders(self) -> None:
        """Tell the region of all open orders if this daemon is its relay."""
        if not self._is_relay():
            return
        for known in self._orders.orders:
            if self._versions.get(known.order.service).needs_coordinator:
                self._announce(known.order.service, known)

    def handle_mixed_versions(self, _service: str) -> None:
        """Read the statuses, which tell the established version, once."""
        if not self._statuses_read:
            self._statuses_wanted = True
            self._wake.set()

    def handle_plan(self, plan: RolloutPlan) -> None:
        """Apply a plan that a coordinator or relay has sent."""
        service = plan.service
        if plan.phase is RolloutPhase.REMOVED:
            self._orders.remove(service, plan.order_revision)
            return
        order = RolloutOrder(
            service, plan.target_version, plan.duration, plan.order_revision
        )
        self._orders.add(order, age=max(0.0, plan.order_age))
        if not self._versions.accept_plan(plan):
            self.counts["plans_ignored"] += 1
            return
        self.counts["plans"] += 1
        if plan.phase in FINAL_PHASES:
            self._apply_decision(service, plan.phase, is_stored=plan.is_stored)
        else:
            self._report_if_due(service)
            self._search.look_for_servers(plan)

    def handle_report(self, report: RolloutReport) -> None:
        """Take over the report of another daemon, if this one coordinates."""
        known = self._orders.find(report.service)
        session = self._sessions.get(report.service)
        if session is None or known.order.revision != report.order_revision:
            return
        self.counts["reports"] += 1
        self._orders.add(known.order, age=report.order_age)
        session.add_report(report)

    async def run(self) -> None:
        """Take part until cancelled; idle without an open order."""
        try:
            while True:
                while not self._has_work():
                    self._wake.clear()
                    await self._wake.wait()
                if self._statuses_wanted:
                    await self._read_statuses()
                self._tick()
                await asyncio.sleep(TICK_S)
        finally:
            for task in self._tasks.values():
                task.cancel()

    def list_states(self) -> list[tuple[str, RolloutPhase, float]]:
        """Return service, phase and share of all known orders."""
        return [
            (service, state.reached, self._find_share(state))
            for service in (known.order.service for known in self._orders.orders)
            for state in (self._versions.get(service),)
        ]

    def _find_share(self, state: ServiceVersions) -> float:
        if state.reached is RolloutPhase.COMPLETED:
            return 1.0
        plan = self._versions.find_valid_plan(state.order.service)
        return plan.share if plan is not None and state.is_open else 0.0

    @property
    def coordinated(self) -> dict[str, RolloutPhase | None]:
        """Decisions, if any, about the services that this daemon coordinates."""
        return {s: item.coordinator.decision for s, item in self._sessions.items()}

    def list_evidence(self) -> list[tuple[str, str, int, float]]:
        """Return service, version, responses and failure share, while coordinating."""
        return [
            (service, name, e.count_responses(new=new), e.find_failure_share(new=new))
            for service, session in self._sessions.items()
            for e in (session.coordinator.evidence,)
            for name, new in (("target", True), ("established", False))
        ]

    def _has_work(self) -> bool:
        return self._statuses_wanted or any(
            self._versions.get(k.order.service).needs_coordinator
            for k in self._orders.orders
        )

    def _tick(self) -> None:
        now = self._clock.monotonic()
        for known in self._orders.orders:
            service = known.order.service
            state = self._versions.get(service)
            if not state.needs_coordinator:
                continue
            self._results.count_if_started(service)
            if state.ready_since is None and self._list_new_servers(known.order):
                state.ready_since = now
            self._report_if_due(service)
            self._continue_election(known)
        if self._sessions and now >= self._links_at:
            self._links_at = now + LINKS_INTERVAL_S
            self._members.open_links()

    def _report_if_due(self, service: str) -> None:
        plan = self._versions.find_valid_plan(service)
        if plan is None or plan.peer_address == self._peer_address:
            return
        state, now = self._versions.get(service), self._clock.monotonic()
        schedule = self._schedules.setdefault(service, ReportSchedule())
        failures = self._results.failures
        if schedule.is_due(state, failures, now):
            schedule.record(state, failures, now)
            self._members.report(plan.peer_address, self._make_report(service))

    def _make_report(self, service: str) -> RolloutReport:
        known = self._orders.find(service)
        age = self._clock.monotonic() - known.ordered_at if known else 0.0
        state = self._versions.get(service)
        return self._results.make_report(service, state, order_age=age)

    def _continue_election(self, known: KnownOrder) -> None:
        """Attempt to become coordinator if none has sent a plan for a while."""
        service = known.order.service
        if service in self._tasks:
            return
        plan = self._versions.find_valid_plan(service, for_seconds=ELECTION_LEAD_S)
        if plan is not None or not self._may_coordinate():
            self._attempts.reset(service)
        elif self._attempts.is_due(service, is_near=self._results.serves(service)):
            task = asyncio.create_task(self._attempt(known))
            self._tasks[service] = task
            task.add_done_callback(lambda done: self._finish_attempt(service, done))

    def _finish_attempt(self, service: str, task: asyncio.Task) -> None:
        if self._tasks.get(service) is task:
            del self._tasks[service]
            self._sessions.pop(service, None)
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("coordination of a roll-out failed", error=repr(error))

    async def _attempt(self, known: KnownOrder) -> None:
        """Look for a decision in the store, or become the coordinator."""
        service = known.order.service
        lease = CoordinatorLease(
            self._store,
            service,
            owner=self._owner,
            peer_address=self._peer_address,
            clock=self._clock,
        )
        try:
            if not await lease.is_free():
                self._members.contact(lease.holder_address)
                return
            status, _ = await self._decisions.read(service)
            if status is not None:
                self._apply_status(status)
            if not self._versions.get(service).needs_coordinator:
                return
            if not await lease.try_acquire():
                return
        except AlmondError as error:
            self._attempts.record_failure(service)
            self.counts[error.code.value] += 1
            return
        self._attempts.record_response(service)
        await self._coordinate(known, lease)

    async def _coordinate(self, known: KnownOrder, lease: CoordinatorLease) -> None:
        service = known.order.service
        self.counts["coordinations"] += 1
        _log.info("coordinating a roll-out", service=service, token=lease.token)
        self._members.open_links()
        session = CoordinatorSession(
            known,
            lease,
            self._decisions,
            self._bounds(),
            clock=self._clock,
            peer_address=self._peer_address,
            make_view=lambda: self._make_view(known.order),
            make_report=lambda: self._make_report(service),
            find_established=lambda: self._versions.find_established(service),
            publish=self._publish,
            may_coordinate=self._may_coordinate,
        )
        self._sessions[service] = session
        await session.run()
        if session.gave_up:
            self._attempts.defer(service)
        _log.info("no longer coordinating a roll-out", service=service)

    def _publish(self, plan: RolloutPlan) -> None:
        self._members.broadcast(plan)
        self.handle_plan(plan)

    def _make_view(self, order: RolloutOrder) -> FleetView:
        ready_since = self._versions.get(order.service).ready_since
        old = {"", self._versions.find_established(order.service)}
        return FleetView(
            self._list_new_servers(order),
            sum(version in old for _, version in self._find_ready(order.service)),
            self._members.list_linked(),
            ready_since,
            len(self._members),
        )

    def _list_new_servers(self, order: RolloutOrder) -> list[str]:
        ready = self._find_ready(order.service)
        return [name for name, version in ready if version == order.target_version]

    async def _read_statuses(self) -> None:
        try:
            statuses = await self._decisions.read_all()
        except AlmondError as error:
            self.counts[error.code.value] += 1
            await asyncio.sleep(STATUS_RETRY_S * (1 + self._random.random()))
            return
        self._statuses_wanted, self._statuses_read = False, True
        for status in statuses:
            self._apply_status(status)

    def _apply_status(self, status: RolloutStatus) -> None:
        """Apply a stored status, which may be about an earlier order."""
        known = self._orders.find(status.service)
        if known is not None and status.decides(known.order):
            self._apply_decision(status.service, status.phase, is_stored=True)
        elif status.phase is RolloutPhase.COMPLETED:
            self._versions.set_completed(status.service, status.target_version)

    def _apply_decision(
        self, service: str, phase: RolloutPhase, *, is_stored: bool
    ) -> None:
        state = self._versions.get(service)
        if not self._versions.decide(service, phase, is_stored=is_stored):
            return
        _log.info(
            "roll-out decision in force",
            service=service,
            target_version=state.order.target_version,
            decision=phase.value,
            stored=is_stored,
        )
        if is_stored:
            self._results.stop_counting(service)
        if phase is RolloutPhase.ROLLED_BACK:
            self._results.refuse_waiting(service, state.order.target_version)

    def _announce(self, service: str, known: KnownOrder | None) -> None:
        """Make an order, or its removal, known in the region."""
        plan = make_announcement(
            service,
            known,
            removed_at=self._orders.find_removal(service),
            now=self._clock.monotonic(),
        )
        self._members.broadcast(plan, region=self._region)
