"""Averages from which the wait for a slot is expected."""

from __future__ import annotations

SERVICE_TIME_WEIGHT = 0.1
"""Weight of the newest service time; about 20 requests dominate the average."""
OVERTAKING_WEIGHT = 0.4
"""Weight of the newest measurement in a rank's `_OvertakingFactor`."""
OVERTAKING_HALF_LIFE_S = 3.0
"""Half-life of the overtaking factor. It must decay, because a rank that is refused
for its factor is not measured any more."""
MAX_OVERTAKING_FACTOR = 6.0
"""Upper bound of the overtaking factor, by which the expected wait is multiplied."""


class OvertakingFactor:
    """Ratio of actual to expected wait of a rank, averaged over recent requests.

    The expected wait follows from the position on arrival. Requests of other ranks
    that arrive later and are served first make the actual wait longer.
    """

    def __init__(self) -> None:
        self._factor = 1.0
        self._updated_at = 0.0

    def decayed_factor(self, now: float) -> float:
        """Return the factor at the present time."""
        weight = 0.5 ** ((now - self._updated_at) / OVERTAKING_HALF_LIFE_S)
        return 1.0 + weight * (self._factor - 1.0)

    def record(self, factor: float, now: float) -> None:
        """Enter the ratio of one request that has waited."""
        factor = min(max(factor, 1.0), MAX_OVERTAKING_FACTOR)
        known = self.decayed_factor(now)
        self._factor = known + OVERTAKING_WEIGHT * (factor - known)
        self._updated_at = now


class MovingAverage:
    """An exponentially weighted average that begins with its first value."""

    def __init__(self) -> None:
        self.value = 0.0

    def add(self, value: float) -> None:
        """Enter a value."""
        weight = SERVICE_TIME_WEIGHT if self.value else 1.0
        self.value += weight * (value - self.value)
