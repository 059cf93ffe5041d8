"""The work of a coordinator while it holds the lease."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from almondrouter.clock import Clock
from almondrouter.coordination.rollouts.coordinator import Coordinator, FleetView
from almondrouter.coordination.rollouts.decisions import Decisions, StatusWriter
from almondrouter.coordination.rollouts.lease import CoordinatorLease
from almondrouter.coordination.rollouts.orders import KnownOrder
from almondrouter.logs import EventLogger
from almondrouter.protocol.calls import RolloutPlan, RolloutReport
from almondrouter.state.bounds import RolloutBounds
from almondrouter.state.rollouts import RolloutPhase

TICK_S = 0.1
"""Interval at which the coordinator looks at the evidence."""
PLAN_INTERVAL_S = 0.5
PLAN_VALIDITY_S = 2.0
"""Seconds for which a plan may be used. A lost coordinator is replaced after about as
long, when its lease has expired."""
MAX_MINORITY_S = 3.0
"""Seconds without reports from at least half of the known daemons after which the
coordinator gives up; a region that is cut off has fewer."""
FINAL_PLANS_S = 4.0
"""Seconds for which a stored decision is sent out. A daemon that hears of none in that
time reads it from the store."""

_log = EventLogger("rollouts")


class CoordinatorSession:
    """Ticks the coordinator, sends plans, renews the lease and writes the status.

    Parameters
    ----------
    known
        The order.
    lease
        Lease that is held.
    decisions
        Statuses in the store.
    bounds
        Limits on the requests for the new version.
    clock
        Source of monotonic time, which includes time spent suspended.
    peer_address
        Address at which other daemons reach this one.
    make_view, make_report
        Return what this daemon sees of the fleet, and its own report.
    find_established
        Returns the established version.
    publish
        Called with each plan, which it applies here and sends to the other daemons.
    may_coordinate
        Returns whether this daemon reaches its peers and is not stopping; another one
        takes over otherwise.
    """

    def __init__(
        self,
        known: KnownOrder,
        lease: CoordinatorLease,
        decisions: Decisions,
        bounds: RolloutBounds,
        *,
        clock: Clock,
        peer_address: str,
        make_view: Callable[[], FleetView],
        make_report: Callable[[], RolloutReport],
        find_established: Callable[[], str],
        publish: Callable[[RolloutPlan], None],
        may_coordinate: Callable[[], bool],
    ) -> None:
        self._may_coordinate = may_coordinate
        self._known = known
        self._lease = lease
        self._clock = clock
        self._peer_address = peer_address
        self._make_view = make_view
        self._make_report = make_report
        self._find_established = find_established
        self._publish = publish
        self._plan_at = 0.0
        self._sent_number = 0
        self._final_since: float | None = None
        self._majority_at = clock.monotonic()
        self.coordinator = Coordinator(
            known.order, lease.token, bounds, now=clock.monotonic()
        )
        self._writer = StatusWriter(decisions, self.coordinator, lease)

    async def run(self) -> None:
        """Coordinate until the decision is known everywhere or the lease is lost."""
        tasks = [
            asyncio.create_task(self._lease.keep(lambda: None)),
            asyncio.create_task(self._writer.run()),
        ]
        try:
            while self._is_in_charge() and not self._is_finished():
                self._tick()
                await asyncio.sleep(TICK_S)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await self._lease.release()

    def add_report(self, report: RolloutReport) -> None:
        """Take over a report and act on it without waiting for the next tick."""
        self.coordinator.add_report(report, self._clock.monotonic())

    def _tick(self) -> None:
        now, coordinator = self._clock.monotonic(), self.coordinator
        coordinator.add_report(self._make_report(), now)
        before = coordinator.decision
        age = now - self._known.ordered_at
        view = self._make_view()
        coordinator.tick(now, view, age=age)
        if coordinator.hears_majority(now, view):
            self._majority_at = now
        if coordinator.decision is not before:
            self._log_decision(age)
        if coordinator.number != self._sent_number or now >= self._plan_at:
            self._send_plan(age)

    def _send_plan(self, age: float) -> None:
        # This process may have been paused since the last check of the lease.
        if not self._lease.is_held:
            return
        now, step = self._clock.monotonic(), self.coordinator.step
        if self.coordinator.number != self._sent_number:
            _log.info(
                "roll-out step",
                service=self._known.order.service,
                phase=step.phase.value,
                share=round(step.share, 4),
                servers=list(step.servers),
                suspect=step.suspect,
                step=self.coordinator.number,
            )
        self._plan_at, self._sent_number = (
            now + PLAN_INTERVAL_S,
            self.coordinator.number,
        )
        order = self._known.order
        plan = RolloutPlan(
            service=order.service,
            order_revision=order.revision,
            target_version=order.target_version,
            duration=order.duration,
            order_age=age,
            token=self.coordinator.token,
            step=self.coordinator.number,
            phase=step.phase,
            share=step.share,
            valid_until=now + PLAN_VALIDITY_S,
            established=self._find_established(),
            servers=step.servers,
            suspect=step.suspect,
            peer_address=self._peer_address,
            is_stored=self.coordinator.is_written,
        )
        self._publish(plan)

    def _is_in_charge(self) -> bool:
        if not self._lease.is_held or not self._may_coordinate():
            return False
        return not self.gave_up

    @property
    def gave_up(self) -> bool:
        """Whether too few daemons report, so that another one should coordinate."""
        return self._clock.monotonic() - self._majority_at > MAX_MINORITY_S

    def _is_finished(self) -> bool:
        if not self.coordinator.is_written:
            return False
        now = self._clock.monotonic()
        if self._final_since is None:
            self._final_since = now
        return now - self._final_since > FINAL_PLANS_S

    def _log_decision(self, age: float) -> None:
        coordinator = self.coordinator
        if coordinator.decision is None:
            return
        _log.info(
            "roll-out decided",
            service=coordinator.order.service,
            target_version=coordinator.order.target_version,
            decision=coordinator.decision.value,
            reason=coordinator.reason,
            responses=coordinator.evidence.count_responses(new=True),
            failed=round(coordinator.evidence.find_failure_share(new=True), 4),
            after=round(age, 3),
        )


def make_announcement(
    service: str, known: KnownOrder | None, *, removed_at: int, now: float
) -> RolloutPlan:
    """Return a plan that makes an order known, or its removal.

    Parameters
    ----------
    known
        The order; None if it was removed.
    removed_at
        Revision of its removal.
    now
        Monotonic seconds.
    """
    if known is None:
        return RolloutPlan(
            service, removed_at, "", 0.0, 0.0, 0, 0, RolloutPhase.REMOVED
        )
    order = known.order
    return RolloutPlan(
        service=service,
        order_revision=order.revision,
        target_version=order.target_version,
        duration=order.duration,
        order_age=now - known.ordered_at,
        token=0,
        step=0,
        phase=RolloutPhase.WAITING,
    )
