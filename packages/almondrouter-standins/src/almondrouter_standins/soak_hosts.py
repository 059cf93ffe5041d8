"""What a soak test did to each host, as far as it excuses missing responses."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Iterator
from dataclasses import dataclass, field


@dataclass(slots=True)
class HostState:
    """Faults of a host that affect the requests of its callers.

    Parameters
    ----------
    killing
        Whether the daemon is being killed.
    killed_at
        Monotonic seconds of the last kill.
    lock
        Held while the daemon's process is stopped, started or signalled.
    backend_lock
        Held while the backend server is replaced.
    """

    killing: bool = False
    killed_at: float = 0.0
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    backend_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _pauses: list[tuple[float, float]] = field(default_factory=list)
    _pause_began: float | None = None

    @contextlib.contextmanager
    def mark_killed(self) -> Iterator[None]:
        """Record that the daemon is killed while the context is active."""
        self.killing = True
        try:
            yield
        finally:
            self.killed_at = time.monotonic()
            self.killing = False

    @contextlib.contextmanager
    def mark_paused(self) -> Iterator[None]:
        """Record that the daemon's process is paused while the context is active."""
        began = time.monotonic()
        self._pause_began = began
        try:
            yield
        finally:
            self._pauses.append((began, time.monotonic()))
            self._pause_began = None

    def sum_pauses_since(self, moment: float) -> float:
        """Return for how many seconds the daemon has been paused since a time."""
        now = time.monotonic()
        pauses = [*self._pauses, (self._pause_began or now, now)]
        return sum(max(0.0, end - max(begin, moment)) for begin, end in pauses)

    def was_killed_since(self, moment: float) -> bool:
        """Return whether the daemon has been killed since a monotonic time."""
        return self.killing or self.killed_at >= moment
