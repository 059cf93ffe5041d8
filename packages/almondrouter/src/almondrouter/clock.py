"""Clocks, so that tests set the time instead of waiting for it."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Monotonic time for deadlines and wall time for records."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go back, from an arbitrary origin."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    async def sleep_until(self, deadline: float) -> None:
        """Wait until the monotonic time ``deadline`` on the running loop.

        A `ManualClock` needs a loop that advances it instead of waiting.
        """
        await asyncio.sleep(max(0.0, deadline - self.monotonic()))


class SystemClock(Clock):
    """The clocks of the host."""

    def monotonic(self) -> float:  # noqa: D102
        return time.monotonic()

    def wall(self) -> float:  # noqa: D102
        return time.time()


class SuspendAwareClock(SystemClock):
    """The clocks of a host that may be suspended.

    Notes
    -----
    The usual monotonic clock stands still while a host is suspended, so that
    requests in its buffers would seem younger than they are.
    """

    def monotonic(self) -> float:  # noqa: D102
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that moves only when told to.

    Parameters
    ----------
    monotonic, wall
        First readings in seconds.
    """

    def __init__(self, *, monotonic: float = 1000.0, wall: float = 1.7e9) -> None:
        self._monotonic = monotonic
        self._wall = wall

    def monotonic(self) -> float:  # noqa: D102
        return self._monotonic

    def wall(self) -> float:  # noqa: D102
        return self._wall

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by ``seconds``."""
        self._monotonic += seconds
        self._wall += seconds
