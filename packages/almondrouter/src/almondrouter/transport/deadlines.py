"""Timeouts for many futures that share one timer."""

from __future__ import annotations

import asyncio

from almondrouter.clock import Clock


class Deadlines:
    """Fails futures with ``TimeoutError`` at their deadlines.

    Parameters
    ----------
    clock
        Source of monotonic time.

    Notes
    -----
    Nearly all futures are done long before their deadlines, and creating and
    cancelling a timer for each one costs more than the operation that it guards.
    The shared timer is not moved when a future is discarded. When it fires, it is
    set for the earliest remaining deadline.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._deadlines: dict[asyncio.Future, float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._fires_at = 0.0

    def __len__(self) -> int:
        return len(self._deadlines)

    def add(self, future: asyncio.Future, deadline: float) -> None:
        """Fail a future at a time in monotonic seconds, unless it is done by then."""
        self._deadlines[future] = deadline
        if self._timer is None or deadline < self._fires_at:
            self._set_timer(deadline)

    def discard(self, future: asyncio.Future) -> None:
        """Remove a future without failing it."""
        self._deadlines.pop(future, None)

    def _set_timer(self, deadline: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._fires_at = deadline
        left = max(0.0, deadline - self._clock.monotonic())
        self._timer = asyncio.get_running_loop().call_later(left, self._expire_due)

    def _expire_due(self) -> None:
        self._timer = None
        now = self._clock.monotonic()
        due = [future for future, at in self._deadlines.items() if at <= now]
        for future in due:
            del self._deadlines[future]
            if not future.done():
                future.set_exception(TimeoutError())
        if self._deadlines:
            self._set_timer(min(self._deadlines.values()))
