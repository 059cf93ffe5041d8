"""Retry budget with a limit for the whole fleet.

Designed for backend servers that fail or refuse some of their requests, or whose
responses are lost, for several seconds: without a limit, retries multiply the load.
Where more requests fail than the limit lets retry, the most urgent get at least half.

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
HOST_COUNT_MEMORY_S = 60.0
"""Seconds for which hosts count that are not known any more; those that are cut off
from this one still use their parts of the budget."""
LESS_URGENT_SHARE = 0.5
"""Share of the budget for all ranks but the most urgent one that needs retries."""
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
        self._retries: defaultdict[str, _RetryCounts] = defaultdict(_RetryCounts)
        self._host_counts: deque[tuple[float, int]] = deque()
        self.counts: Counter[str] = Counter()

    def record_request(self, service: str) -> None:
        """Count the first attempt of a request."""
        now = self._clock.monotonic()
        requests = self._requests[service]
        requests.add(now)
        requests.drop_before(now - self.limits.window)
        self._find_most_hosts(now)

    def try_spend(self, service: str, *, rank: int = 0) -> bool:
        """Take one retry from the budget; return whether one was left.

        Parameters
        ----------
        service
            Service that the request is sent to.
        rank
            Priority rank of the request; rank 0 is the most urgent.
        """
        now = self._clock.monotonic()
        retries, requests = self._retries[service], self._requests[service]
        since = now - self.limits.window
        retries.drop_before(since)
        requests.drop_before(since)
        extra = self.limits.extra * USABLE_EXTRA_SHARE / self._find_most_hosts(now)
        allowed = requests.total * self.limits.ratio * USABLE_RATIO_SHARE + extra
        if not retries.has_room(rank, allowed=allowed, now=now):
            self.counts["denied"] += 1
            return False
        retries.add(rank, now)
        self.counts["spent"] += 1
        return True

    def _find_most_hosts(self, now: float) -> int:
        """Return the largest number of hosts known within `HOST_COUNT_MEMORY_S`."""
        count = max(1, self._count_hosts())
        while self._host_counts and self._host_counts[-1][1] <= count:
            self._host_counts.pop()
        self._host_counts.append((now, count))
        while self._host_counts[0][0] < now - HOST_COUNT_MEMORY_S:
            self._host_counts.popleft()
        return self._host_counts[0][1]


class _RetryCounts:
    """Retries for one service within the window, by rank."""

    def __init__(self) -> None:
        self._counts: dict[int, _WindowCount] = {}
        self._asked_at: dict[int, float] = {}

    def has_room(self, rank: int, *, allowed: float, now: float) -> bool:
        """Return whether a retry of a rank fits the budget."""
        self._asked_at[rank] = now
        most_urgent = min(self._asked_at)
        total = sum(count.total for count in self._counts.values())
        if total + 1 > allowed:
            return False
        urgent = self._counts.get(most_urgent)
        less_urgent = total - (urgent.total if urgent else 0)
        return rank == most_urgent or less_urgent + 1 <= allowed * LESS_URGENT_SHARE

    def add(self, rank: int, now: float) -> None:
        self._counts.setdefault(rank, _WindowCount()).add(now)

    def drop_before(self, since: float) -> None:
        """Forget the retries, and the ranks that need some, before a time."""
        for count in self._counts.values():
            count.drop_before(since)
        self._asked_at = {r: at for r, at in self._asked_at.items() if at >= since}


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
