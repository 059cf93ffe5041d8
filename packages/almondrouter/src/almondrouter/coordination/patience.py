"""Estimates how long the callers of requests have waited before this attempt.

Designed for demand above capacity, when callers send refused requests again. A response
is useful within the target latency from the first attempt. A daemon that takes each
attempt for a new request serves many that are late already, and makes new ones late.

Used by the daemon for hosting platforms.
"""

from __future__ import annotations

import statistics
from collections import deque

from almondrouter.clock import Clock

SAMPLES = 64
"""Recent deadlines that are kept for each route."""
MIN_SAMPLES = 16
"""Deadlines of a route without which nothing is estimated."""
UPDATE_INTERVAL = 8
"""Requests of a route between two computations of its usual deadline."""
SHORT_DEADLINE_SHARE = 0.85
"""Share of the usual deadline below which a deadline is what an earlier attempt left.
Callers of one route differ less in how long they wait."""
MEAN_DEADLINE_SHARE = 0.94
"""Mean deadline of first attempts, as a share of the usual one."""
MAX_ROUTES = 1024
"""Limit on the routes whose deadlines are kept."""


class _RouteHistory:
    """Recent deadlines of one route, and when its callers last had reason to retry."""

    def __init__(self) -> None:
        self.deadlines: deque[float] = deque(maxlen=SAMPLES)
        self.added = 0
        self.usual: float | None = None
        self.retries_until = 0.0

    def add(self, seconds: float) -> None:
        self.deadlines.append(seconds)
        self.added += 1
        if len(self.deadlines) >= MIN_SAMPLES and self.added % UPDATE_INTERVAL == 0:
            # A high decile, as attempts after the first lower the mean, while a few
            # callers that wait for longer than others would raise the maximum.
            self.usual = statistics.quantiles(self.deadlines, n=10)[-1]


class CallerPatience:
    """Compares the deadline of each request with the usual one of its route.

    Parameters
    ----------
    clock
        Source of monotonic time.

    Notes
    -----
    Requests say how long their callers will still wait. An attempt after the first has
    less time left than first attempts have. Attempts after the first are expected only
    for as long as callers usually wait after this daemon failed to serve a request of
    the route; otherwise a short deadline is taken for the caller's choice.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._routes: dict[str, _RouteHistory] = {}

    def estimate_elapsed(self, route: str, time_left: float | None) -> float:
        """Return the seconds since the first attempt of a request, 0 if it is one.

        Parameters
        ----------
        route
            Name of the route.
        time_left
            Seconds until the deadline of the caller; None if unknown.
        """
        if time_left is None:
            return 0.0
        history = self._get_history(route)
        history.add(time_left)
        usual = history.usual
        if usual is None or time_left >= SHORT_DEADLINE_SHARE * usual:
            return 0.0
        if self._clock.monotonic() >= history.retries_until:
            return 0.0
        return MEAN_DEADLINE_SHARE * usual - time_left

    def record_unserved(self, route: str) -> None:
        """Expect retries, as the caller of a request got no useful response."""
        history = self._get_history(route)
        if history.usual is not None:
            history.retries_until = self._clock.monotonic() + history.usual

    def _get_history(self, route: str) -> _RouteHistory:
        history = self._routes.get(route)
        if history is None:
            if len(self._routes) >= MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
            history = self._routes[route] = _RouteHistory()
        return history
