"""Results of both versions over the fleet, from the reports of its daemons."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from statistics import median

from almondrouter.coordination.rollouts.verdict import (
    CONFIDENCE_Z,
    MAX_EXTRA_FAILURES,
    RouteComparison,
    Sample,
    Verdict,
    find_share_bounds,
    judge,
)
from almondrouter.protocol.calls import RolloutReport, VersionCounts

WINDOWS_S = (1.0, 2.5)
"""Windows that are compared besides all results since the order. A fault that appears
late would otherwise be diluted by the good responses before it."""
SNAPSHOT_INTERVAL_S = 0.25
MIN_SERVERS_FOR_MEDIAN = 3
MIN_SERVER_RESPONSES = 3
"""Least responses of a server for its mean to count in the median of all servers."""
MIN_BASE_RESPONSES = 10
"""Least responses of the old version in a window; with fewer, all its responses since
the order are compared with."""
MIN_FAULTY_RESPONSES = 8

Totals = Mapping[str, Sample]
Source = tuple[str, int]
"""Host and start of the daemon that reported."""


@dataclass(frozen=True, slots=True)
class Results:
    """Results of both versions, by server and route.

    Parameters
    ----------
    new, old
        Samples of the two versions by source and route.
    """

    new: Mapping[Source, Totals]
    old: Mapping[Source, Totals]

    def since(self, earlier: Results) -> Results:
        """Return what has come since earlier results."""
        return Results(
            {s: subtract(t, earlier.new.get(s, {})) for s, t in self.new.items()},
            {s: subtract(t, earlier.old.get(s, {})) for s, t in self.old.items()},
        )


class RolloutEvidence:
    """Sums the reports about one order.

    Parameters
    ----------
    target_version
        Ordered version; all others count as the old one.
    """

    def __init__(self, target_version: str) -> None:
        self._target = target_version
        self._new: dict[Source, dict[str, Sample]] = {}
        self._old: dict[Source, dict[str, Sample]] = {}
        self._snapshots: deque[tuple[float, Results]] = deque()

    def add(self, report: RolloutReport) -> None:
        """Take over a report, which replaces the last one of the same daemon."""
        source = report.host, report.incarnation
        new: defaultdict[str, Sample] = defaultdict(Sample)
        old: defaultdict[str, Sample] = defaultdict(Sample)
        for counts in report.counts:
            is_new = counts.version == self._target
            (new if is_new else old)[counts.route] += make_sample(counts)
        if new:
            self._new[source] = dict(new)
        if old:
            self._old[source] = dict(old)

    def count_responses(self, *, new: bool) -> int:
        """Return the responses of the new or of the old version since the order."""
        return self._sum(new=new).responses

    def find_failure_share(self, *, new: bool) -> float:
        """Return the share of failures of the new or of the old version."""
        return self._sum(new=new).failure_share

    def record_snapshot(self, now: float) -> None:
        """Remember the present results, which later windows start from."""
        if self._snapshots and now - self._snapshots[-1][0] < SNAPSHOT_INTERVAL_S:
            return
        self._snapshots.append((now, self._get_results()))
        while now - self._snapshots[0][0] > max(WINDOWS_S) + SNAPSHOT_INTERVAL_S:
            self._snapshots.popleft()

    def judge(self, now: float) -> Verdict:
        """Compare the versions on each route and over all, in each window."""
        return judge(self._list_comparisons(now))

    def _get_results(self) -> Results:
        return Results(dict(self._new), dict(self._old))

    def _sum(self, *, new: bool) -> Sample:
        by_source = self._new if new else self._old
        samples = (s for totals in by_source.values() for s in totals.values())
        return sum(samples, Sample())

    def _list_comparisons(self, now: float) -> Iterator[RouteComparison]:
        results = self._get_results()
        old, typical = sum_old(results), find_typical_run_times(results)
        yield from compare_routes(sum_routes(results.new), old, typical)
        for window in WINDOWS_S:
            start = next((r for at, r in self._snapshots if now - at <= window), None)
            if start is None:
                continue
            recent = results.since(start)
            recent_old = keep_sufficient(sum_old(recent), old)
            recent_typical = find_typical_run_times(recent)
            yield from compare_routes(
                sum_routes(recent.new),
                recent_old,
                # If all have become slower a moment ago, the new version is no worse.
                {r: max(t, recent_typical.get(r, 0.0)) for r, t in typical.items()},
            )


def make_sample(counts: VersionCounts) -> Sample:
    """Return the sample of a reported row."""
    return Sample(
        counts.responses,
        counts.failures,
        counts.run_time,
        counts.run_time_squares,
        counts.in_flight,
        counts.in_flight_time,
    )


def subtract(later: Totals, earlier: Totals) -> Totals:
    """Return what has come since earlier sums, by route."""
    return {
        route: sample.since(earlier.get(route, Sample()))
        for route, sample in later.items()
    }


def sum_routes(by_source: Mapping[Source, Totals]) -> Totals:
    """Return the sums over all servers, by route."""
    totals: defaultdict[str, Sample] = defaultdict(Sample)
    for samples in by_source.values():
        for route, sample in samples.items():
            totals[route] += sample
    return totals


def sum_old(results: Results) -> Totals:
    """Sum the old version, without servers that fail much more than the others.

    Notes
    -----
    They would hide that the new version fails. If they are not a minority, the failures
    are those of the version or of its surroundings, and count.
    """
    faulty = [s for s, totals in results.old.items() if is_faulty(totals)]
    if 2 * len(faulty) >= len(results.old):
        faulty = []
    return sum_routes({s: t for s, t in results.old.items() if s not in faulty})


def is_faulty(totals: Totals) -> bool:
    """Return whether a server fails beyond doubt."""
    total = sum(totals.values(), Sample())
    low, _ = find_share_bounds(total.failures, total.responses, CONFIDENCE_Z)
    return total.responses >= MIN_FAULTY_RESPONSES and low > MAX_EXTRA_FAILURES


def keep_sufficient(recent: Totals, since_order: Totals) -> Totals:
    """Return the recent results of the routes that have enough, else all results."""
    return {
        route: recent[route]
        if route in recent and recent[route].responses >= MIN_BASE_RESPONSES
        else sample
        for route, sample in since_order.items()
    }


def find_typical_run_times(results: Results) -> Mapping[str, float]:
    """Return the run time of the old version by route, on the median server."""
    means: defaultdict[str, list[float]] = defaultdict(list)
    for totals in results.old.values():
        for route, sample in totals.items():
            if sample.responses - sample.failures >= MIN_SERVER_RESPONSES:
                means[route].append(sample.mean_run_time)
    return {
        route: choose_typical(means[route], sample)
        for route, sample in sum_routes(results.old).items()
    }


def choose_typical(means: Sequence[float], pooled: Sample) -> float:
    """Return the median of the servers' means, or the mean of all with few servers."""
    if len(means) >= MIN_SERVERS_FOR_MEDIAN:
        return median(means)
    return pooled.mean_run_time


def compare_routes(
    new: Totals, old: Totals, typical: Mapping[str, float]
) -> Iterator[RouteComparison]:
    """Yield the comparison of each route, and of all routes together.

    Notes
    -----
    The mix of routes differs between the versions. Over all routes, the run time of
    each route is therefore weighted by its share in the new version.
    """
    total_new, total_old, expected_time = Sample(), Sample(), 0.0
    for route, sample in new.items():
        base, seconds = old.get(route, Sample()), typical.get(route, 0.0)
        yield RouteComparison(route, sample, base, seconds)
        if seconds:
            total_new += sample
            total_old += base
            expected_time += seconds * (sample.responses - sample.failures)
    timed = total_new.responses - total_new.failures
    if timed > 0:
        yield RouteComparison("", total_new, total_old, expected_time / timed)
