"""An event loop in virtual time, which jumps to the next timer without waiting."""

import asyncio
import selectors

from almondrouter.clock import Clock


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the virtual time by the timeout instead of waiting for it."""

    now = 1000.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is scheduled")
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock counts virtual seconds."""

    def __init__(self):
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self):
        return self._virtual_selector.now


class LoopClock(Clock):
    """A clock that reads the time of an event loop."""

    def __init__(self, loop):
        self._loop = loop

    def monotonic(self):
        return self._loop.time()

    def wall(self):
        return 1.7e9 + self._loop.time()


def run_virtual(main):
    """Run a coroutine function in a new virtual loop; return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main())
