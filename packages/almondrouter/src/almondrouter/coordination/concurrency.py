"""Number of requests that a backend server takes at the moment, and its speed.

A backend server may take fewer requests at once than it announces: it shares its
machine, still runs requests whose callers have left, or counts connections. It refuses
what it does not take, or resets the connection. These decisions follow its refusals and
its own reports; they have no sockets.

Used by the daemon for hosting platforms.
"""

from __future__ import annotations

import math

from almondrouter.clock import Clock
from almondrouter.protocol.dialect import BackendLoad

EVIDENCE_HALF_LIFE_S = 0.5
"""Half-life of the counts of accepted and refused requests. What a backend server takes
changes within a second when others use its machine."""
GROWTH_INTERVAL_S = 0.5
"""Seconds after a reduction until one more slot is tried."""
MAX_GROWTH_INTERVAL_S = 4.0
"""The interval doubles with each slot that is refused when it is tried, up to this
value. A trial that fails costs one refused request; at this interval these are less
than 1% of the requests of four slots with run times of 0.15 s."""
UNRELATED_S = 10.0
"""Seconds for which refusals without a load report are disregarded after a request was
refused that was the only one. Such a backend server refuses whatever its load is, and a
lower limit would only leave its slots idle."""
REPORT_TTL_S = 2.0
"""Seconds for which a reported number of slots replaces the announced one."""
FACTOR_SMOOTHING_S = 0.3
"""Time constant of the average of the reported run time factors, which change many
times a second."""
FACTOR_HALF_LIFE_S = 2.0
"""Half-life of the distance of an old run time factor from 1."""


class UsableSlots:
    """Decides how many requests a backend server is sent at once.

    Parameters
    ----------
    announced
        Number that the backend server has announced.
    clock
        Source of monotonic time.
    """

    def __init__(self, announced: int, *, clock: Clock) -> None:
        self._announced = announced
        self._clock = clock
        self._learned = announced
        self._reported = announced
        self._reported_until = -math.inf
        self._accepted: dict[int, _DecayingCount] = {}
        self._refused: dict[int, _DecayingCount] = {}
        self._grows_at = -math.inf
        self._growth_interval = GROWTH_INTERVAL_S
        self._tried = 0
        self._unrelated_until = -math.inf

    @property
    def limit(self) -> int:
        """Largest number of requests to run at once; at least 1."""
        now = self._clock.monotonic()
        if self._learned < self._announced and now >= self._grows_at:
            self._learned += 1
            self._tried = self._learned
            self._grows_at = now + self._growth_interval
        if now < self._reported_until:
            return min(self._learned, self._reported)
        return self._learned

    def announce(self, slots: int) -> None:
        """Apply a number of slots that the backend server has announced."""
        if slots != self._announced:
            self._announced = self._learned = slots

    def record_report(self, report: BackendLoad) -> None:
        """Apply the number of slots that a response reports."""
        self._reported = min(max(1, report.slots), self._announced)
        self._reported_until = self._clock.monotonic() + REPORT_TTL_S

    def record_accepted(self, level: int) -> None:
        """Record a request that the backend server ran.

        Parameters
        ----------
        level
            Number of requests in flight when it was sent, including itself.
        """
        now = self._clock.monotonic()
        self._accepted.setdefault(level, _DecayingCount()).add(now)
        if self._tried and level >= self._tried:
            self._tried = 0
            self._growth_interval = GROWTH_INTERVAL_S
            self._grows_at = min(self._grows_at, now + GROWTH_INTERVAL_S)

    def record_refused(self, level: int, report: BackendLoad | None = None) -> None:
        """Record a request that the backend server refused, or reset unanswered.

        Parameters
        ----------
        level
            Number of requests in flight when it was sent, including itself.
        report
            Load report of the refusal. One that reports free slots was not refused
            because the backend server is full.
        """
        now = self._clock.monotonic()
        if report is not None and report.running + report.waiting < report.slots:
            return
        if report is None and now < self._unrelated_until:
            return
        self._refused.setdefault(level, _DecayingCount()).add(now)
        if level > self._learned:
            # It was sent before the last reduction.
            return
        if level <= 1 and report is None:
            self._unrelated_until = now + UNRELATED_S
            self._learned = self._announced
            return
        if self._count(self._refused, level, now) > self._count(
            self._accepted, level, now
        ):
            self._reduce(level, now)

    def _reduce(self, level: int, now: float) -> None:
        if self._tried and level >= self._tried:
            self._growth_interval = min(
                2 * self._growth_interval, MAX_GROWTH_INTERVAL_S
            )
        self._tried = 0
        # Half at most: one request may be refused for another reason, and slots return
        # only one by one.
        self._learned = max(1, level - 1, self._learned // 2)
        self._grows_at = now + self._growth_interval

    def _count(
        self, counts: dict[int, _DecayingCount], level: int, now: float
    ) -> float:
        return sum(c.value(now) for found, c in counts.items() if found >= level)


class _DecayingCount:
    """A count of events of which older ones weigh less."""

    def __init__(self) -> None:
        self._count = 0.0
        self._updated_at = 0.0

    def value(self, now: float) -> float:
        return self._count * 0.5 ** ((now - self._updated_at) / EVIDENCE_HALF_LIFE_S)

    def add(self, now: float) -> None:
        self._count = self.value(now) + 1.0
        self._updated_at = now


class RunTimeFactor:
    """How long work takes on a host at the moment, relative to its usual time.

    Parameters
    ----------
    clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._average = 1.0
        self._updated_at = -math.inf

    @property
    def value(self) -> float:
        """Smoothed factor; an old one approaches 1.0."""
        age = self._clock.monotonic() - self._updated_at
        return 1.0 + (self._average - 1.0) * 0.5 ** (age / FACTOR_HALF_LIFE_S)

    def record(self, factor: float) -> None:
        """Record a reported factor.

        Notes
        -----
        Reports at the same moment count as one: each replaces the share of the average
        that the time since the last one has outdated, and at least a tenth.
        """
        now = self._clock.monotonic()
        age = now - self._updated_at
        known = self.value
        weight = max(0.1, 1.0 - math.exp(-age / FACTOR_SMOOTHING_S))
        self._average = known + weight * (factor - known)
        self._updated_at = now
