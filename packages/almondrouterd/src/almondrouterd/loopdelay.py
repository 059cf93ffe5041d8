"""Delay of the event loop, which tells whether a daemon has more work than time."""

from __future__ import annotations

import asyncio

from almondrouter.clock import Clock
from almondrouter.logs import EventLogger

PERIOD_S = 10.0
"""Seconds after which the longest delay is forgotten, at the end of the next period."""
LOGGED_DELAY_S = 0.25
"""Least delay that is logged, in seconds. Requests wait for quotas no longer."""

_log = EventLogger("daemon")


class LoopDelay:
    """Measures how much later than due timers run.

    Parameters
    ----------
    clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._period_ends = clock.monotonic() + PERIOD_S
        self._current = self._previous = 0.0

    @property
    def longest(self) -> float:
        """Longest delay in this period and the one before, in seconds."""
        return max(self._current, self._previous)

    async def sleep(self, seconds: float) -> None:
        """Sleep, and record how much longer that took."""
        due = self._clock.monotonic() + seconds
        await asyncio.sleep(seconds)
        self.record(self._clock.monotonic() - due)

    def record(self, delay: float) -> None:
        """Enter the delay of one timer in seconds."""
        now = self._clock.monotonic()
        if now >= self._period_ends:
            self._period_ends = now + PERIOD_S
            self._previous, self._current = self._current, 0.0
        self._current = max(self._current, delay)
        if delay >= LOGGED_DELAY_S:
            _log.info("event loop was late", seconds=round(delay, 3))
