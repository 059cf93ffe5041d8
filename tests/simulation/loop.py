"""An event loop whose time jumps to the next timer instead of passing."""

import asyncio
import selectors

from almondrouter.clock import Clock


class _JumpingSelector(selectors.SelectSelector):
    """Advances the loop's time by what it would wait."""

    now = 1000.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set")
        self.now += max(timeout, 0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual seconds."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.now


class LoopClock(Clock):
    """Reads the time of a loop."""

    def __init__(self, loop):
        self._loop = loop

    def monotonic(self):
        return self._loop.time()

    def wall(self):
        return 1.7e9 + self._loop.time()


def run_virtual(work):
    """Run a coroutine function to its end in a new virtual loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work())
