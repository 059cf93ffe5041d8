"""Comparison of the new version of a service with the established one.

Statistics of small samples: the score interval of a share (Wilson 1927), the interval
of the difference of two shares (Newcombe 1998, method 10), and the normal approximation
of a mean.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum

MAX_EXTRA_FAILURES = 0.15
"""Failure share of the new version above that of the old one which makes it bad."""
MAX_RUN_TIME_RATIO = 2.5
"""Mean run time relative to the old version which makes the new one bad. Servers differ
threefold in speed, so that one of them may be nearly twice as slow as the median."""
MIN_RUN_TIME_RATIO_BOUND = 1.8
"""Least lower bound of that ratio, so that a few long requests do not decide."""
CONFIDENCE_Z = 1.96
"""Normal deviate of a confidence of 97.5%, one-sided."""
MIN_FAILURES = 4
"""Least failures for a verdict. The intervals alone would judge one failure of one
response, and the comparison is repeated ten times a second."""
MIN_TIMED_RESPONSES = 10
SUSPECT_EXTRA_FAILURES = 0.1
SUSPECT_RUN_TIME_RATIO = 2.0
SUSPECT_Z = 1.28
"""Normal deviate of 90%, for evidence that holds a roll-out up."""
SUSPECT_MIN_FAILURES = 3
SUSPECT_MIN_TIMED_RESPONSES = 6


class Judgement(IntEnum):
    """What the results say about the new version."""

    GOOD = 0
    SUSPECT = 1
    BAD = 2


@dataclass(frozen=True, slots=True)
class Sample:
    """Results of one version on one route.

    Parameters
    ----------
    responses, failures
        Counts.
    run_time, run_time_squares
        Sums over the responses that are no failures, in seconds.
    in_flight, in_flight_time
        Requests that run, and the seconds for which they have run already.
    """

    responses: int = 0
    failures: int = 0
    run_time: float = 0.0
    run_time_squares: float = 0.0
    in_flight: int = 0
    in_flight_time: float = 0.0

    def __add__(self, other: Sample) -> Sample:
        return Sample(
            self.responses + other.responses,
            self.failures + other.failures,
            self.run_time + other.run_time,
            self.run_time_squares + other.run_time_squares,
            self.in_flight + other.in_flight,
            self.in_flight_time + other.in_flight_time,
        )

    def since(self, earlier: Sample) -> Sample:
        """Return what has come since an earlier sample, and what is in flight now."""
        return Sample(
            max(0, self.responses - earlier.responses),
            max(0, self.failures - earlier.failures),
            max(0.0, self.run_time - earlier.run_time),
            max(0.0, self.run_time_squares - earlier.run_time_squares),
            self.in_flight,
            self.in_flight_time,
        )

    @property
    def failure_share(self) -> float:
        """Share of the responses that are failures; 0 without responses."""
        return self.failures / self.responses if self.responses else 0.0

    @property
    def mean_run_time(self) -> float:
        """Mean seconds of the responses that are no failures; 0 without any."""
        timed = self.responses - self.failures
        return self.run_time / timed if timed > 0 else 0.0


@dataclass(frozen=True, slots=True)
class RouteComparison:
    """Results of both versions on one route at the same time.

    Parameters
    ----------
    route
        Name of the route; empty for all routes together.
    new, old
        Results of the two versions.
    typical_run_time
        Mean run time of the old version on its median server, in seconds; 0 if
        unknown. A faulty old server does not change it.
    """

    route: str
    new: Sample
    old: Sample
    typical_run_time: float


@dataclass(frozen=True, slots=True)
class Verdict:
    """Judgement with the route and the reason."""

    judgement: Judgement
    reason: str = ""


def find_share_bounds(
    failures: int, responses: int, z: float = CONFIDENCE_Z
) -> tuple[float, float]:
    """Return the score interval of a share; ``(0, 1)`` without responses."""
    if responses <= 0:
        return 0.0, 1.0
    share, square = failures / responses, z * z
    centre = share + square / (2 * responses)
    spread = z * math.sqrt(
        share * (1 - share) / responses + square / (4 * responses * responses)
    )
    scale = 1 + square / responses
    return max(0.0, (centre - spread) / scale), min(1.0, (centre + spread) / scale)


def find_least_difference(new: Sample, old: Sample, z: float) -> float:
    """Return the lower bound of the failure share of ``new`` above that of ``old``."""
    new_low, _ = find_share_bounds(new.failures, new.responses, z)
    _, old_high = find_share_bounds(old.failures, old.responses, z)
    share, base = new.failure_share, old.failure_share
    spread = math.hypot(share - new_low, old_high - base)
    return share - base - spread


def find_run_time_ratio(
    comparison: RouteComparison, z: float
) -> tuple[float, float, int]:
    """Return the run time relative to the old version, its lower bound and its count.

    Notes
    -----
    Requests in flight count with the time that they have run already. Their time only
    grows, so that a long one shows before it has ended; while they are short of the
    mean of the responses, they are left out.
    """
    new, typical = comparison.new, comparison.typical_run_time
    count = new.responses - new.failures
    if typical <= 0:
        return 0.0, 0.0, 0
    total, squares = new.run_time, new.run_time_squares
    if new.in_flight:
        age = new.in_flight_time / new.in_flight
        if age > max(new.mean_run_time, typical):
            total += new.in_flight_time
            squares += new.in_flight * age * age
            count += new.in_flight
    if count <= 0:
        return 0.0, 0.0, 0
    mean = total / count
    variance = max(0.0, squares / count - mean * mean)
    low = mean - z * math.sqrt(variance / count)
    return mean / typical, low / typical, count


def judge_route(comparison: RouteComparison) -> Verdict:
    """Return the judgement of one comparison."""
    new, old = comparison.new, comparison.old
    difference = find_least_difference(new, old, CONFIDENCE_Z)
    if new.failures >= MIN_FAILURES and difference > MAX_EXTRA_FAILURES:
        return Verdict(Judgement.BAD, _describe_failures(comparison))
    ratio, low, count = find_run_time_ratio(comparison, CONFIDENCE_Z)
    if (
        count >= MIN_TIMED_RESPONSES
        and ratio > MAX_RUN_TIME_RATIO
        and low > MIN_RUN_TIME_RATIO_BOUND
    ):
        return Verdict(Judgement.BAD, _describe_run_time(comparison, ratio, count))
    difference = find_least_difference(new, old, SUSPECT_Z)
    if new.failures >= SUSPECT_MIN_FAILURES and difference > SUSPECT_EXTRA_FAILURES:
        return Verdict(Judgement.SUSPECT, _describe_failures(comparison))
    if (
        count >= SUSPECT_MIN_TIMED_RESPONSES
        and ratio > SUSPECT_RUN_TIME_RATIO
        and find_run_time_ratio(comparison, SUSPECT_Z)[1] > MIN_RUN_TIME_RATIO_BOUND
    ):
        return Verdict(Judgement.SUSPECT, _describe_run_time(comparison, ratio, count))
    return Verdict(Judgement.GOOD)


def judge(comparisons: Iterable[RouteComparison]) -> Verdict:
    """Return the worst judgement of several comparisons."""
    worst = Verdict(Judgement.GOOD)
    for comparison in comparisons:
        verdict = judge_route(comparison)
        if verdict.judgement > worst.judgement:
            worst = verdict
    return worst


def _describe_failures(comparison: RouteComparison) -> str:
    new, old = comparison.new, comparison.old
    return (
        f"route {comparison.route or 'all'}: {new.failures} of {new.responses} "
        f"responses failed, {old.failures} of {old.responses} of the established "
        "version"
    )


def _describe_run_time(comparison: RouteComparison, ratio: float, count: int) -> str:
    return (
        f"route {comparison.route or 'all'}: {ratio:.1f} times the run time of the "
        f"established version on {count} requests"
    )
