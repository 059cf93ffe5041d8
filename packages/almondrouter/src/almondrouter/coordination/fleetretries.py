"""Retry budget with a limit for the whole fleet.

Designed for backend servers that fail some of their requests, or whose responses are
lost, for several seconds: without a limit, retries multiply the load.

Used by the daemon for hosting platforms. The daemon for clusters with an etcd store
uses `almondrouter.coordination.retries`.
"""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass

from almondrouter.clock import Clock

USABLE_RATIO_SHARE = 0.6
"""Share of the fleet-wide ratio that daemons use; retries of nested calls take the
rest."""
USABLE_EXTRA_SHARE = 0.5
"""Share of the fleet-wide extra retries that daemons use; the rest covers outdated
host counts while hosts join and leave."""
BUCKET_S = 0.5
"""Seconds per bucket of the sliding window; much shorter than the window."""


@dataclass(frozen=True, slots=True)
class FleetRetryLimits:
    """Limits on the retries of the whole fleet within any window.

    Parameters
    ----------
    ratio
        Retries allowed per request.
    extra
        Retries allowed in addition to the ratio.
    window
        Length of the window in seconds.
    """

    ratio: float
    extra: float
    window: float


class FleetRetryBudget:
    """Allows this daemon its part of the fleet's retries, separately by service.

    Parameters
    ----------
    limits
        Limits for the whole fleet; may be replaced at any time.
    count_hosts
        Returns how many daemons share the extra retries.
    clock
        Source of monotonic time.
    """

    def __init__(
        self, limits: FleetRetryLimits, *, count_hosts: Callable[[], int], clock: Clock
    ) -> None:
        self.limits = limits
        self._count_hosts = count_hosts
        self._clock = clock
        self._requests: defaultdict[str, _WindowCount] = defaultdict(_WindowCount)
        self._retries: defaultdict[str, _WindowCount] = defaultdict(_WindowCount)
        self.counts: Counter[str] = Counter()

    def record_request(self, service: str) -> None:
        """Count the first attempt of a request."""
        now = self._clock.monotonic()
        requests = self._requests[service]
        requests.add(now)
        requests.drop_before(now - self.limits.window)

    def try_spend(self, service: str) -> bool:
        """Take one retry from the budget; return whether one was left."""
        now = self._clock.monotonic()
        retries, requests = self._retries[service], self._requests[service]
        for count in (retries, requests):
            count.drop_before(now - self.limits.window)
        extra = self.limits.extra * USABLE_EXTRA_SHARE / max(1, self._count_hosts())
        allowed = requests.total * self.limits.ratio * USABLE_RATIO_SHARE + extra
        if retries.total + 1 > allowed:
            self.counts["denied"] += 1
            return False
        retries.add(now)
        self.counts["spent"] += 1
        return True


class _WindowCount:
    """Number of events within a sliding window, counted in buckets."""

    def __init__(self) -> None:
        self._buckets: deque[list[float]] = deque()
        self.total = 0

    def add(self, now: float) -> None:
        bucket = now - now % BUCKET_S
        if self._buckets and self._buckets[-1][0] >= bucket:
            self._buckets[-1][1] += 1
        else:
            self._buckets.append([bucket, 1])
        self.total += 1

    def drop_before(self, since: float) -> None:
        """Drop the events before a time."""
        while self._buckets and self._buckets[0][0] < since:
            self.total -= int(self._buckets.popleft()[1])
