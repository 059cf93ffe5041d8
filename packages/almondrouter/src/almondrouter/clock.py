"""Clocks that tests can replace, to advance time without waiting."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of monotonic time for deadlines and wall time for records."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never decrease, from an arbitrary origin."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    async def sleep_until(self, deadline: float) -> None:
        """Sleep on the running event loop until the monotonic time ``deadline``.

        A `ManualClock` needs an event loop that advances it instead of sleeping.
        """
        await asyncio.sleep(max(0.0, deadline - self.monotonic()))


class SystemClock(Clock):
    """Monotonic and wall clocks of the operating system."""

    def monotonic(self) -> float:  # noqa: D102
        return time.monotonic()

    def wall(self) -> float:  # noqa: D102
        return time.time()


class SuspendAwareClock(SystemClock):
    """System clocks whose monotonic time includes time spent suspended.

    Notes
    -----
    ``time.monotonic`` stops while the host is suspended, so that requests held
    in its buffers would appear younger than they are.
    """

    def monotonic(self) -> float:  # noqa: D102
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class ManualClock(Clock):
    """Clock that advances only on request.

    Parameters
    ----------
    monotonic, wall
        Initial readings in seconds.
    """

    def __init__(self, *, monotonic: float = 1000.0, wall: float = 1.7e9) -> None:
        self._monotonic = monotonic
        self._wall = wall

    def monotonic(self) -> float:  # noqa: D102
        return self._monotonic

    def wall(self) -> float:  # noqa: D102
        return self._wall

    def advance(self, seconds: float) -> None:
        """Advance monotonic and wall time by ``seconds``."""
        self._monotonic += seconds
        self._wall += seconds
