"""Simulated time for fleets of hosts: an event loop and clocks that can freeze."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from almondrouter.clock import Clock, ManualClock

T = TypeVar("T")

# Added to each advance of the clock, because asyncio may run a timer one clock
# resolution early. Advancing in steps as fine as the resolution would lengthen the
# heap of timers and could hide the freeze of a host.
_ADVANCE_MARGIN_S = 1e-6


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop that advances a clock to the next timer instead of waiting.

    Parameters
    ----------
    clock
        Clock whose monotonic time the loop reads and advances.

    Notes
    -----
    Only for tasks and timers: sockets and threads take real time, for which the
    loop does not wait.
    """

    def __init__(self, clock: ManualClock) -> None:
        super().__init__(_SimulatedSelector(clock))
        self.clock = clock

    def time(self) -> float:
        """Return the monotonic time of the clock."""
        return self.clock.monotonic()


class _SimulatedSelector(selectors.DefaultSelector):
    """Selector that advances the clock by the time it would have waited."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is set")
        if timeout > 0:
            self._clock.advance(timeout + _ADVANCE_MARGIN_S)
        return super().select(0)


def run_simulated(
    main: Callable[[ManualClock], Coroutine[Any, Any, T]],
    *,
    clock: ManualClock | None = None,
) -> T:
    """Run a coroutine function on a `SimulatedLoop` and return its result.

    Parameters
    ----------
    main
        Called with the clock of the loop.
    clock
        Clock of the loop; a new one if not given.
    """
    clock = clock or ManualClock()
    with asyncio.Runner(loop_factory=lambda: SimulatedLoop(clock)) as runner:
        return runner.run(main(clock))


class HostClock(Clock):
    """Clock of one simulated host, which can be frozen.

    While it is frozen, its time goes on but its sleepers do not wake, as in a
    process that is stopped by SIGSTOP.

    Parameters
    ----------
    base
        Clock of the simulation.
    """

    def __init__(self, base: Clock) -> None:
        self._base = base
        self._running = asyncio.Event()
        self._running.set()

    def monotonic(self) -> float:  # noqa: D102
        return self._base.monotonic()

    def wall(self) -> float:  # noqa: D102
        return self._base.wall()

    async def sleep_until(self, deadline: float) -> None:  # noqa: D102
        await self._base.sleep_until(deadline)
        await self._running.wait()

    def freeze(self) -> None:
        """Stop waking sleepers."""
        self._running.clear()

    def resume(self) -> None:
        """Wake the sleepers whose deadline has passed."""
        self._running.set()
