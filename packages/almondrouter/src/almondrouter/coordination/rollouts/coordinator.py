"""Decides the phase of one roll-out from the reports of all daemons."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from almondrouter.coordination.rollouts.evidence import RolloutEvidence
from almondrouter.coordination.rollouts.verdict import Judgement, Verdict
from almondrouter.protocol.calls import RolloutReport
from almondrouter.state.bounds import RolloutBounds
from almondrouter.state.rollouts import FINAL_PHASES, RolloutOrder, RolloutPhase

MAX_TRIAL_SHARE = 0.8
"""Largest share of the trial, relative to the exposure that the settings allow."""
FIRST_TRIAL_SHARE = 0.2
"""Share with which the trial begins, relative to the same."""
SHARE_DOUBLING_S = 1.0
"""Seconds after which the share of the trial doubles."""
JUDGE_INTERVAL_S = 0.19
"""Shortest interval between comparisons. One takes 8 ms with 70 servers and 5 routes on
a core of a development machine, and the smallest hosts have 0.43 cores."""
COLLECTION_S = 1.2
"""Longest wait for the first reports of all daemons, to which links may have to be
opened. An earlier coordinator may have come further."""
TRIAL_SLACK_PER_S = 0.08
"""Requests a second that the trial may get beyond its share, relative to the slack that
the settings allow; over the 5 s of a usual trial, 0.4 of it. Without them, a service
with some tens of requests a second has too few trial responses on each route."""
MAX_SLACK_SHARE = 0.25
"""Limit of the share that these requests add."""
SETTLED_TRIAL_S = 10.0
"""Age of a trial whose share no longer grows."""
MIN_RATE_PERIOD_S = 1.0
"""Seconds since the order after which the service's rate of requests is known."""
MIN_TRIAL_RESPONSES = 100
SUFFICIENT_TRIAL_SHARE = 0.55
"""Share of the duration after which fewer responses suffice."""
LATEST_WHOLE_SHARE = 0.6
"""Share of the duration after which a version without evidence against it gets all."""
LATEST_YOUNG_WHOLE_SHARE = 0.75
"""The same while the first server has been ready for less than `MIN_READY_S`. A version
that appears some seconds after its order would otherwise get all requests before faults
of its first seconds show; completion is still in time."""
MIN_READY_S = 5.0
"""Seconds from the first ready server to the step ``whole``; some faults appear only
seconds after the start."""
MIN_WHOLE_S = 1.5
"""Seconds in the step ``whole`` before completion; some faults need load to appear."""
SUFFICIENT_RESPONSES = 300
MIN_QUIET_WHOLE_S = 2.5
"""The same with fewer responses of the new version than these: at 36 requests a second
a fault on a rare route showed too late."""
EARLIEST_END_SHARE = 0.85
"""Share of the duration after which a shorter time in ``whole`` suffices."""
NO_WAIT_SHARE = 0.9
"""Share of the duration after which requests on old servers are not waited for."""
DECISION_SHARE = 0.93
"""Share of the duration at which evidence that is not sufficient, or a version without
a ready server, leads to a rollback; the status is then written in time."""
MAX_OVERTIME_S = 6.0
"""Seconds after the deadline at which a roll-out that could not be completed is rolled
back; an unstable store extends the bounds by so much."""
SETTLING_S = 0.3
"""Age of the reports without requests on old servers, counted from the time when all
daemons are in the step ``whole``: a request may be on its way between two hosts."""
MAX_REPORT_AGE_S = 2.2
"""Seconds after which a daemon that stopped to report counts as gone. Its plan has
expired by then."""
JOINING_S = 3.0
"""Seconds in which a linked daemon has to send its first report."""


@dataclass(frozen=True, slots=True)
class FleetView:
    """What the coordinator sees of the fleet.

    Parameters
    ----------
    new_servers
        Names of the ready servers of the ordered version; the first get the trial.
    old_server_count
        Number of ready servers of the established version.
    linked_hosts
        Hosts whose daemons respond and take part in roll-outs; with the own one.
    ready_since
        Monotonic seconds at which the first new server was ready; None before.
    member_count
        Number of known daemons that take part, also those that do not respond.
    """

    new_servers: Sequence[str]
    old_server_count: int
    linked_hosts: frozenset[str]
    ready_since: float | None
    member_count: int = 1


@dataclass(frozen=True, slots=True)
class Step:
    """What all daemons are to do; see `RolloutPlan`."""

    phase: RolloutPhase = RolloutPhase.WAITING
    share: float = 0.0
    servers: tuple[str, ...] = ()
    suspect: bool = False


@dataclass(slots=True)
class _Member:
    """A daemon that takes part."""

    joined_at: float
    reported_at: float | None = None
    report: RolloutReport | None = None


class Coordinator:
    """State machine of the coordinator of one order.

    Parameters
    ----------
    order
        The order.
    token
        Fencing token.
    bounds
        Limits on the requests for a version that is not known to be good.
    now
        Monotonic seconds.
    """

    def __init__(
        self, order: RolloutOrder, token: int, bounds: RolloutBounds, *, now: float
    ) -> None:
        self.order = order
        self.token = token
        self.number = 1
        self.step = Step()
        self.decision: RolloutPhase | None = None
        """Decision that is to be written; a completion may still be revised."""
        self.reason = ""
        self.evidence = RolloutEvidence(order.target_version)
        self._bounds = bounds
        self._began_at = now
        self._members: dict[str, _Member] = {}
        self._reached = RolloutPhase.WAITING
        self._trial_at: float | None = None
        self._trial_growth = 0.0
        self._whole_at: float | None = None
        self._all_whole_at: float | None = None
        self._whole_number = 0
        self._written = False
        self._judged_at = float("-inf")
        self._verdict = Verdict(Judgement.GOOD)

    def add_report(self, report: RolloutReport, now: float) -> None:
        """Take over the report of a daemon, also the own one."""
        member = self._members.setdefault(report.host, _Member(now))
        self.evidence.add(report)
        if report.reached is RolloutPhase.ROLLED_BACK:
            self._reached = RolloutPhase.ROLLED_BACK
        elif (
            report.reached is RolloutPhase.WHOLE
            and self._reached is not RolloutPhase.ROLLED_BACK
        ):
            self._reached = RolloutPhase.WHOLE
        if report.token == self.token:
            member.report, member.reported_at = report, now

    def mark_written(self, phase: RolloutPhase) -> None:
        """Record that the store holds a final status."""
        if not self._written:
            self._written = True
            self.decision = phase
            self._set_step(Step(phase))

    @property
    def is_written(self) -> bool:
        """Whether the store holds the decision."""
        return self._written

    def tick(self, now: float, view: FleetView, *, age: float) -> None:
        """Advance the step.

        Parameters
        ----------
        age
            Seconds since the order.
        """
        for host in view.linked_hosts:
            self._members.setdefault(host, _Member(now))
        self.evidence.record_snapshot(now)
        if self._written or self.decision is RolloutPhase.ROLLED_BACK:
            return
        if now - self._judged_at >= JUDGE_INTERVAL_S:
            self._judged_at, self._verdict = now, self.evidence.judge(now)
        verdict = self._verdict
        elapsed = age / self.order.duration
        reason = self._find_reason_against(verdict, view, elapsed)
        if reason:
            self._decide(RolloutPhase.ROLLED_BACK, reason)
            self._set_step(Step(RolloutPhase.ROLLED_BACK))
            return
        suspect = verdict.judgement is Judgement.SUSPECT
        if self.step.phase is RolloutPhase.WAITING:
            self._leave_waiting(now, view, suspect=suspect)
        if self.step.phase is RolloutPhase.TRIAL:
            self._continue_trial(now, view, elapsed, suspect=suspect)
        if self.step.phase is RolloutPhase.WHOLE:
            self._continue_whole(now, view, elapsed, suspect=suspect)

    def _find_reason_against(
        self, verdict: Verdict, view: FleetView, elapsed: float
    ) -> str:
        """Return why the version is to be rolled back; empty if it is not."""
        if verdict.judgement is Judgement.BAD:
            return verdict.reason
        if self._reached is RolloutPhase.ROLLED_BACK:
            return "decided by an earlier coordinator"
        if elapsed >= DECISION_SHARE:
            if not view.new_servers:
                return "no server of the version is ready"
            if verdict.judgement is Judgement.SUSPECT:
                return f"undecided at the deadline; {verdict.reason}"
        if elapsed * self.order.duration >= self.order.duration + MAX_OVERTIME_S:
            return "could not be completed in time"
        return ""

    def _leave_waiting(self, now: float, view: FleetView, *, suspect: bool) -> None:
        collected = all(
            member.reported_at is not None for member in self._list_live(now)
        )
        if not view.new_servers:
            return
        if not collected and now - self._began_at < COLLECTION_S:
            return
        if self._reached is RolloutPhase.WHOLE and not suspect:
            self._begin_whole(now)
            # An earlier coordinator has seen some of this step.
            self._whole_at -= MIN_WHOLE_S / 2
            return
        self._trial_at = now
        self._set_step(Step(RolloutPhase.TRIAL))

    def _continue_trial(
        self, now: float, view: FleetView, elapsed: float, *, suspect: bool
    ) -> None:
        if not suspect and self._may_begin_whole(now, view, elapsed):
            self._begin_whole(now)
            return
        share = self._compute_trial_share(now, elapsed * self.order.duration)
        servers = self._choose_trial_servers(view, share)
        self._set_step(Step(RolloutPhase.TRIAL, share, servers, suspect))

    def _compute_trial_share(self, now: float, age: float) -> float:
        doublings = int((now - self._trial_at) / SHARE_DOUBLING_S)
        growth = min(1.0, FIRST_TRIAL_SHARE / MAX_TRIAL_SHARE * 2 ** min(doublings, 9))
        if self.step.share and growth == self._trial_growth:
            # A new step is sent to all daemons, so that small changes do not pay.
            return self.step.share
        self._trial_growth = growth
        share = MAX_TRIAL_SHARE * self._bounds.exposure_share
        if doublings:
            share += self._find_slack_share(age)
        return round(growth * share, 3)

    def _find_slack_share(self, age: float) -> float:
        """Return the share that stands for the slack; small for a busy service."""
        allowed = self._bounds.exposure_slack
        responses = self.evidence.count_responses(new=False)
        exposed = self.evidence.count_responses(new=True)
        free = 0.5 * allowed - max(
            0.0, exposed - self._bounds.exposure_share * responses
        )
        if age < MIN_RATE_PERIOD_S or not responses or free <= 0:
            return 0.0
        return min(MAX_SLACK_SHARE, TRIAL_SLACK_PER_S * allowed * age / responses)

    def _choose_trial_servers(self, view: FleetView, share: float) -> tuple[str, ...]:
        """Choose as many new servers as make each as busy as an old one."""
        count = max(1, int(share * view.old_server_count + 0.35))
        kept = [s for s in self.step.servers if s in view.new_servers]
        added = [s for s in view.new_servers if s not in kept]
        return tuple((kept + added)[:count])

    def _may_begin_whole(self, now: float, view: FleetView, elapsed: float) -> bool:
        if not view.new_servers:
            return False
        if not self._is_old_enough(now, view, MIN_READY_S):
            return elapsed >= LATEST_YOUNG_WHOLE_SHARE
        if elapsed >= LATEST_WHOLE_SHARE:
            return True
        responses = self.evidence.count_responses(new=True)
        return responses >= MIN_TRIAL_RESPONSES or elapsed >= SUFFICIENT_TRIAL_SHARE

    def _is_old_enough(self, now: float, view: FleetView, seconds: float) -> bool:
        return view.ready_since is not None and now - view.ready_since >= seconds

    def _begin_whole(self, now: float) -> None:
        self._whole_at, self._all_whole_at = now, None
        self._set_step(Step(RolloutPhase.WHOLE, 1.0))
        self._whole_number = self.number

    def _continue_whole(
        self, now: float, view: FleetView, elapsed: float, *, suspect: bool
    ) -> None:
        if suspect and self.decision is None:
            # Back to the share of the trial, at which the evidence costs less.
            self._trial_at, self._trial_growth = now - SETTLED_TRIAL_S, 0.0
            self._continue_trial(now, view, elapsed, suspect=suspect)
            return
        live = self._list_live(now)
        # A coordinator that is cut off from the others must not speak for them.
        heard = self.hears_majority(now, view)
        if not (heard and all(self._is_in_whole(member) for member in live)):
            self._all_whole_at = None
            return
        if self._all_whole_at is None:
            self._all_whole_at = now
        if not view.new_servers:
            return
        few = self.evidence.count_responses(new=True) < SUFFICIENT_RESPONSES
        needed = MIN_QUIET_WHOLE_S if few else MIN_WHOLE_S
        seen_enough = now - self._whole_at >= needed and self._is_old_enough(
            now, view, MIN_READY_S + MIN_WHOLE_S
        )
        if not seen_enough and elapsed < EARLIEST_END_SHARE:
            return
        if elapsed >= NO_WAIT_SHARE or self._have_old_servers_finished(live):
            self._decide(RolloutPhase.COMPLETED, self._describe_results())

    def hears_majority(self, now: float, view: FleetView) -> bool:
        """Return whether at least half of the known daemons report."""
        live = self._list_live(now)
        heard = sum(member.reported_at is not None for member in live)
        return 2 * heard >= view.member_count

    def _is_in_whole(self, member: _Member) -> bool:
        return member.report is not None and member.report.step >= self._whole_number

    def _have_old_servers_finished(self, live: Sequence[_Member]) -> bool:
        settled_at = self._all_whole_at + SETTLING_S
        return all(
            member.reported_at >= settled_at and not member.report.running_old
            for member in live
        )

    def _list_live(self, now: float) -> list[_Member]:
        """Return the daemons that report, or may be about to."""
        return [
            member
            for member in self._members.values()
            if (
                now - member.reported_at <= MAX_REPORT_AGE_S
                if member.reported_at is not None
                else now - member.joined_at <= JOINING_S
            )
        ]

    def _describe_results(self) -> str:
        count = self.evidence.count_responses
        share = self.evidence.find_failure_share
        return (
            f"{count(new=True)} responses, {share(new=True):.3f} failed; "
            f"{share(new=False):.3f} of {count(new=False)} of the established version"
        )

    def _decide(self, phase: RolloutPhase, reason: str) -> None:
        if self.decision is not phase:
            self.decision, self.reason = phase, reason

    def _set_step(self, step: Step) -> None:
        if step != self.step:
            self.step = step
            self.number += 1

    def is_final(self) -> bool:
        """Return whether the step is one that ends the roll-out."""
        return self.step.phase in FINAL_PHASES
