"""What this daemon reports about the server beside it."""

from __future__ import annotations

from almondrouter.coordination.localbackend import LocalBackend
from almondrouter.coordination.rollouts.servicestate import ServiceVersions
from almondrouter.coordination.rollouts.tally import RunTally
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import RolloutReport

REPORT_INTERVAL_S = 0.5
MIN_REPORT_INTERVAL_S = 0.1
URGENT_FAILURES = 3
"""New failures that are reported without waiting for the next report."""


class LocalResults:
    """Results of the backend server of this host, as roll-outs need them.

    Parameters
    ----------
    backend
        Backend server of this host.
    tally
        Counts of its responses.
    host, incarnation
        Name of this host, and start of this daemon.
    """

    def __init__(
        self, backend: LocalBackend, tally: RunTally, *, host: str, incarnation: int
    ) -> None:
        self._backend = backend
        self._tally = tally
        self._host = host
        self._incarnation = incarnation

    def serves(self, service: str) -> bool:
        """Return whether the server of this host is one of a service."""
        entry = self._backend.entry
        return entry is not None and entry.service == service

    def restart_counting(self, service: str, *, is_ordered: bool) -> None:
        """Count from zero for an order, or no more without one."""
        if not is_ordered:
            self.stop_counting(service)
        elif self.serves(service):
            self._tally.start_counting()

    def count_if_started(self, service: str) -> None:
        """Begin to count once the server of this host has registered."""
        if self.serves(service) and not self._tally.is_active:
            self._tally.start_counting()

    def stop_counting(self, service: str) -> None:
        """Count no more, as the order of a service is decided or was removed."""
        if self.serves(service):
            self._tally.stop_counting()

    def refuse_waiting(self, service: str, version: str) -> None:
        """Refuse what waits for the server of this host if it is of a version."""
        entry = self._backend.entry
        if self.serves(service) and entry.version == version:
            message = f"version {version!r} was rolled back"
            self._backend.queue.refuse_waiting(ErrorCode.NO_BACKEND, message)

    @property
    def failures(self) -> int:
        """Failures since the order."""
        return self._tally.failures

    def make_report(
        self, service: str, state: ServiceVersions, *, order_age: float
    ) -> RolloutReport:
        """Return the report about the order in force for a service."""
        serves = self.serves(service)
        target = state.order.target_version
        running_old = 0
        if serves and self._backend.entry.version != target:
            running_old = self._backend.runs_in_flight
        token, step = state.step
        return RolloutReport(
            service=service,
            order_revision=state.order.revision,
            host=self._host,
            incarnation=self._incarnation,
            token=token,
            step=step,
            reached=state.reached,
            order_age=order_age,
            running_old=running_old,
            counts=self._tally.list_counts() if serves else (),
        )


class ReportSchedule:
    """When the next report about a service is due."""

    def __init__(self) -> None:
        self._sent_at = float("-inf")
        self._step = (0, 0)
        self._failures = 0

    def is_due(self, state: ServiceVersions, failures: int, now: float) -> bool:
        """Return whether to report now: regularly, at a new step, or on failures."""
        elapsed = now - self._sent_at
        if elapsed >= REPORT_INTERVAL_S or state.step != self._step:
            return True
        urgent = failures - self._failures >= URGENT_FAILURES
        return urgent and elapsed >= MIN_REPORT_INTERVAL_S

    def record(self, state: ServiceVersions, failures: int, now: float) -> None:
        """Record that a report was sent."""
        self._sent_at, self._step, self._failures = now, state.step, failures
