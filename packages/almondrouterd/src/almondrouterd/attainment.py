"""Measures how far the calls through this daemon meet the targets of their classes."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from almondrouter.clock import Clock

WINDOW_S = 300.0
"""Seconds per counting window; a result covers the current and the previous one."""


@dataclass(slots=True)
class _Window:
    ends_at: float
    calls: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class ClassAttainment:
    """Counts of a class's calls over the last 5 to 10 minutes.

    Parameters
    ----------
    calls
        Finished calls.
    in_time
        Calls with a complete answer within the time that the class allows.
    """

    calls: int
    in_time: int

    @property
    def share(self) -> float:
        """Return the share of calls answered in time; 1 if there were none."""
        return self.in_time / self.calls if self.calls else 1.0


class Attainment:
    """Counts calls by class in two windows of 5 minutes, the current and the previous.

    Parameters
    ----------
    clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._previous = _Window(0.0)
        self._current = _Window(clock.monotonic() + WINDOW_S)

    def record(self, class_name: str, *, in_time: bool) -> None:
        """Count a finished call."""
        self._rotate_windows()
        self._current.calls[class_name] += 1
        self._current.in_time[class_name] += in_time

    def find(self, class_name: str) -> ClassAttainment:
        """Return the counts of a class over the last 5 to 10 minutes."""
        self._rotate_windows()
        windows = (self._previous, self._current)
        return ClassAttainment(
            calls=sum(window.calls[class_name] for window in windows),
            in_time=sum(window.in_time[class_name] for window in windows),
        )

    def _rotate_windows(self) -> None:
        now = self._clock.monotonic()
        if now < self._current.ends_at:
            return
        recent = now < self._current.ends_at + WINDOW_S
        self._previous = self._current if recent else _Window(0.0)
        self._current = _Window(now + WINDOW_S)
