"""Log lines about changes of the demand at this host.

Callers move between hosts and data centres, arrive in bursts, and repeat requests.
When requests wait or are refused, the demand tells whether the callers or the backend
servers have changed. Used by the daemon for hosting platforms.
"""

from __future__ import annotations

from collections import Counter

from almondrouter.clock import Clock
from almondrouter.logs import EventLogger

INTERVAL_S = 2.0
"""Seconds over which requests are counted."""
CHANGE_FACTOR = 2.0
"""Factor by which a rate differs from the average before it is logged."""
MIN_CHANGE_PER_S = 2.0
"""Least change of a rate that is logged, in requests per second."""
AVERAGE_WEIGHT = 0.3
"""Weight of the newest rate in the average."""
MAX_LINES = 3
"""Lines per interval; the largest changes are logged."""

_log = EventLogger("demand")


class DemandMonitor:
    """Counts the requests of each route and logs when a rate rises or falls.

    Parameters
    ----------
    clock
        Source of monotonic time.

    Notes
    -----
    The rates are compared with the first request after an interval; no timer runs. An
    interval without requests is logged when the next request arrives.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_at = clock.monotonic()
        self._counts: Counter[str] = Counter()
        self._averages: dict[str, float] = {}

    def record(self, route: str) -> None:
        """Count a request of a route."""
        now = self._clock.monotonic()
        if now >= self._began_at + INTERVAL_S:
            self._end_interval(now - self._began_at)
            self._began_at = now
        self._counts[route] += 1

    def _end_interval(self, seconds: float) -> None:
        changes = []
        for route in self._averages.keys() | self._counts.keys():
            rate = self._counts[route] / seconds
            average = self._averages.get(route, 0.0)
            if is_change(rate, average):
                changes.append((abs(rate - average), route, rate, average))
                average = rate
            average += AVERAGE_WEIGHT * (rate - average)
            self._averages[route] = average
        self._counts.clear()
        self._averages = {r: a for r, a in self._averages.items() if a > 0.01}
        for _, route, rate, average in sorted(changes, reverse=True)[:MAX_LINES]:
            _log.info(
                "demand risen" if rate > average else "demand fallen",
                route=route,
                per_second=round(rate, 1),
                before=round(average, 1),
                over=round(seconds, 1),
            )


def is_change(rate: float, average: float) -> bool:
    """Return whether a rate differs enough from the average to be logged."""
    low, high = sorted((rate, average))
    return high >= CHANGE_FACTOR * low and high - low >= MIN_CHANGE_PER_S
