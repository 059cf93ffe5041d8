"""Turns of tenants whose requests wait for the same slots (start-time fair queueing).

Each tenant has a virtual time, which advances with the slot time that its requests get,
divided by its weight: its declared rate, or else its usual load. Without weights, the
large tenants would get what the small ones leave, which may be nothing. The tenant with
the least virtual time is served next. A tenant without
waiting requests falls behind at most to the virtual time of the tenant served last: it
gets its turn at once when it returns, but no credit for the time before.

Used by the daemon for hosting platforms.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Collection

USUAL_TIME_CONSTANT_S = 300.0
"""Time constant of the usual load of a tenant."""
RECENT_TIME_CONSTANT_S = 3.0
"""Time constant of its recent load."""
FAMILIAR_AFTER_S = 10.0
"""Seconds since the first request of a tenant after which its usual load is known."""
UNUSUAL_FACTOR = 2.0
"""Ratio of the recent to the usual load above which requests are unusual."""
UNUSUAL_WEIGHT = 0.25
"""Part of an unusual request that counts for the usual load. With the whole request, a
tenant with six times its load had 2.7 times its weight after 20 s."""
SCALE_INTERVAL_S = 1.0
"""Seconds between computations of the ratio of declared rates to usual loads."""
MAX_TENANTS = 1_000
"""Tenants whose virtual times are kept; those that fell behind are dropped first."""


class _Load:
    """Usual load of a tenant, in requests.

    Parameters
    ----------
    now
        Monotonic seconds of its first request.
    """

    def __init__(self, now: float) -> None:
        self._first_at = self._counted_at = now
        self._usual = 0.0
        self._recent = 0.0

    def find(self, now: float) -> float:
        """Return the usual load, over the time constant."""
        elapsed = now - self._counted_at
        return self._usual * math.exp(-elapsed / USUAL_TIME_CONSTANT_S)

    def count(self, now: float) -> None:
        """Count a request."""
        elapsed = now - self._counted_at
        self._usual = self.find(now)
        self._recent *= math.exp(-elapsed / RECENT_TIME_CONSTANT_S)
        self._recent += 1.0
        self._counted_at = now
        age = now - self._first_at
        usual_rate = self._usual / min(max(age, 1.0), USUAL_TIME_CONSTANT_S)
        recent_rate = self._recent / RECENT_TIME_CONSTANT_S
        is_unusual = (
            age > FAMILIAR_AFTER_S and recent_rate > UNUSUAL_FACTOR * usual_rate
        )
        self._usual += UNUSUAL_WEIGHT if is_unusual else 1.0


class TenantTurns:
    """Virtual times of the tenants at one backend server.

    Parameters
    ----------
    find_rate
        Returns the declared rate of a tenant; 0 if it has none.
    """

    def __init__(self, find_rate: Callable[[str], float]) -> None:
        self._find_rate = find_rate
        self._now = 0.0
        self._times: dict[str, float] = {}
        self._loads: dict[str, _Load] = {}
        self._weights: dict[str, float] = {}
        self._scale = 1.0
        self._scaled_at = -math.inf

    def record_arrival(self, tenant: str, now: float) -> None:
        """Count a request for the usual load of its tenant."""
        load = self._loads.get(tenant)
        if load is None:
            load = self._loads[tenant] = _Load(now)
        load.count(now)
        if now - self._scaled_at >= SCALE_INTERVAL_S:
            self._scaled_at = now
            self._update_scale(now)

    def _update_scale(self, now: float) -> None:
        """Compute what a request of the usual load is worth in terms of rates."""
        if len(self._loads) > MAX_TENANTS:
            self._loads = {t: x for t, x in self._loads.items() if x.find(now) >= 1.0}
        rates = {tenant: self._find_rate(tenant) for tenant in self._loads}
        known = sum(self._loads[t].find(now) for t, rate in rates.items() if rate)
        self._weights = {t: load.find(now) for t, load in self._loads.items()}
        self._scale = sum(rates.values()) / known if known else 1.0

    def record(self, tenant: str, seconds: float) -> None:
        """Enter that a request of a tenant gets a slot for some seconds."""
        start = self._get_start(tenant)
        self._now = max(self._now, start)
        self._times[tenant] = start + seconds / self._get_weight(tenant)
        if len(self._times) > MAX_TENANTS:
            now = self._now
            self._times = {t: at for t, at in self._times.items() if at > now}

    def choose(self, tenants: Collection[str]) -> str:
        """Return the tenant to serve next; the first one of several equal ones."""
        return min(tenants, key=self._get_start)

    def count_ahead(
        self, tenant: str, own: int, others: Counter[str], seconds: float
    ) -> int:
        """Return how many waiting requests are served before a new one.

        Parameters
        ----------
        own
            Requests of the same tenant that precede it.
        others
            Waiting requests of the other tenants.
        seconds
            Slot time of a request.
        """
        start = self._get_start(tenant) + own * seconds / self._get_weight(tenant)
        ahead = own
        for other, waiting in others.items():
            step = seconds / self._get_weight(other)
            turns = math.floor((start - self._get_start(other)) / step) + 1
            ahead += min(waiting, max(0, turns))
        return ahead

    def _get_start(self, tenant: str) -> float:
        return max(self._now, self._times.get(tenant, 0.0))

    def _get_weight(self, tenant: str) -> float:
        rate = self._find_rate(tenant)
        return rate or max(1.0, self._weights.get(tenant, 0.0)) * self._scale
