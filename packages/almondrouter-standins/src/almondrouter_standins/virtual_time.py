"""An event loop on virtual time, for tests and benches."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any

from almondrouter.clock import ManualClock


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that advances a clock to the next timer instead of waiting.

    Runs are deterministic and take no real time, provided that nothing in them uses
    a socket or a thread: the loop does not poll file descriptors.

    Parameters
    ----------
    clock
        Clock whose monotonic time the loop reads and advances.
    """

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        super().__init__(_AdvancingSelector(clock))

    def time(self) -> float:  # noqa: D102
        return self._clock.monotonic()


class _AdvancingSelector(selectors.SelectSelector):
    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(  # noqa: D102
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is set")
        if timeout > 0:
            self._clock.advance(timeout)
        return []


def run_virtual(main: Coroutine[Any, Any, Any], clock: ManualClock) -> Any:
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=lambda: VirtualTimeLoop(clock)) as runner:
        return runner.run(main)
