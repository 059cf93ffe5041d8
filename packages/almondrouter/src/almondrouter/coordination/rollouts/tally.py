"""Results of the backend server of this host, by version and route."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from almondrouter.clock import Clock
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import CallReply, VersionCounts
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError

COLD_START_S = 5.0
"""Seconds after its start in which a backend server counts as cold."""
COLD_RUN_TIME_FACTOR = 2.0
"""Divides the run times of a cold server, which is about twice as slow. A version that
is slow by a multiple of this shows even while its servers are cold."""
MAX_ROWS = 256
"""Limit of counted pairs of version and route; further ones share a row without a
route."""
FIRST_FAILURE_STATUS = 500


@dataclass(slots=True)
class _Row:
    responses: int = 0
    failures: int = 0
    run_time: float = 0.0
    run_time_squares: float = 0.0


@dataclass(slots=True, eq=False)
class Run:
    """A request that runs on the backend server of this host.

    Parameters
    ----------
    key
        Version of the server, and route of the request.
    start
        Start of the backend server, as an id.
    attempt_id
        Id of the attempt, which nested calls name as their parent.
    began_at, factor
        Monotonic seconds, and factor by which its run time counts.
    """

    key: tuple[str, str]
    start: str
    attempt_id: str
    began_at: float
    factor: float


@dataclass(slots=True)
class _Start:
    """Start of the backend server: when it was seen, and whether it has crashed."""

    name: str = ""
    seen_at: float = 0.0
    crash_counted: bool = False
    nested_failures: set[str] = field(default_factory=set)


class RunTally:
    """Counts the results of runs while a roll-out of the server's service is known.

    Parameters
    ----------
    clock
        Source of monotonic time.

    Notes
    -----
    A failed nested call makes its parent request fail whatever the version; such
    failures are not counted. Of the requests that a crash cuts off, one is counted for
    each start of the server, since a single crash would otherwise outweigh all other
    results.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rows: defaultdict[tuple[str, str], _Row] = defaultdict(_Row)
        self._runs: set[Run] = set()
        self._start = _Start()
        self.is_active = False
        """Whether results are counted."""

    @property
    def failures(self) -> int:
        """Failures counted since the start."""
        return sum(row.failures for row in self._rows.values())

    def start_counting(self) -> None:
        """Start from zero for an order."""
        self._rows.clear()
        self.is_active = True

    def stop_counting(self) -> None:
        """Stop counting, as no order is open."""
        self._rows.clear()
        self._runs.clear()
        self.is_active = False

    def note_start(self, start: str) -> None:
        """Record which start of the backend server is known; a new one is cold."""
        if start != self._start.name:
            self._start = _Start(start, self._clock.monotonic())

    def begin(self, version: str, route: str, attempt_id: str) -> Run | None:
        """Record that a request begins to run; None while nothing is counted."""
        if not self.is_active:
            return None
        now = self._clock.monotonic()
        key = (version, route)
        if key not in self._rows and len(self._rows) >= MAX_ROWS:
            key = (version, "")
        is_cold = now - self._start.seen_at < COLD_START_S
        factor = 1 / COLD_RUN_TIME_FACTOR if is_cold else 1.0
        run = Run(key, self._start.name, attempt_id, now, factor)
        self._runs.add(run)
        return run

    def mark_nested_failure(self, attempt_id: str) -> None:
        """Record that a call which a running request made has failed."""
        if self.is_active and any(r.attempt_id == attempt_id for r in self._runs):
            self._start.nested_failures.add(attempt_id)

    def end(
        self,
        run: Run | None,
        result: CallReply | CallError | None,
        *,
        responded: bool = False,
    ) -> None:
        """Record the end of a run.

        Parameters
        ----------
        result
            The response or error; None if the run was cancelled, which is no result.
        responded
            Whether an error is about a response that the server sent.
        """
        if run is None or run not in self._runs:
            return
        self._runs.discard(run)
        nested_failed = run.attempt_id in self._start.nested_failures
        self._start.nested_failures.discard(run.attempt_id)
        if result is None:
            return
        if isinstance(result, CallError):
            self._count_error(run, result, responded=responded)
            return
        failed = result.status >= FIRST_FAILURE_STATUS
        if not (failed and nested_failed):
            self._count(run, failed=failed)

    def _count_error(self, run: Run, error: CallError, *, responded: bool) -> None:
        if error.outcome is Outcome.NOT_RUN:
            return
        if responded:
            self._count(run, failed=True)
        elif error.code is ErrorCode.BACKEND_FAILED:
            if run.start == self._start.name and self._start.crash_counted:
                return
            self._start.crash_counted = True
            self._count(run, failed=True)
        else:
            # Without a response by the deadline, it has run for at least so long.
            self._count(run, failed=False)

    def _count(self, run: Run, *, failed: bool) -> None:
        seconds = (self._clock.monotonic() - run.began_at) * run.factor
        row = self._rows[run.key]
        row.responses += 1
        row.failures += failed
        if not failed:
            row.run_time += seconds
            row.run_time_squares += seconds * seconds

    def list_counts(self) -> tuple[VersionCounts, ...]:
        """Return the counts since the order, with what is in flight."""
        now = self._clock.monotonic()
        running: defaultdict[tuple[str, str], list[float]] = defaultdict(list)
        for run in self._runs:
            running[run.key].append((now - run.began_at) * run.factor)
        return tuple(
            VersionCounts(
                version,
                route,
                row.responses,
                row.failures,
                round(row.run_time, 4),
                round(row.run_time_squares, 4),
                len(running[(version, route)]),
                round(sum(running[(version, route)]), 4),
            )
            for version, route in sorted(self._rows.keys() | running.keys())
            for row in (self._rows[(version, route)],)
        )
