"""Tests of the timeouts that share one timer."""

from __future__ import annotations

import asyncio
import unittest

from almondrouter.clock import SystemClock
from almondrouter.transport.deadlines import Deadlines
from calls_support import TIMEOUT_S


class DeadlinesTest(unittest.IsolatedAsyncioTestCase):
    """Futures whose deadlines are added in any order."""

    async def test_futures_fail_at_their_deadlines(self):
        """Guards against a timer that ignores earlier or remaining deadlines.

        The second deadline is earlier than the one that the timer was set for; the
        third remains when the timer has fired.
        """
        clock = SystemClock()
        deadlines = Deadlines(clock)
        begin = clock.monotonic()
        delays = (0.04, 0.02, 0.06, TIMEOUT_S)
        futures = [asyncio.Future() for _ in delays]
        for future, delay in zip(futures, delays, strict=True):
            deadlines.add(future, begin + delay)
        discarded = asyncio.Future()
        deadlines.add(discarded, begin + 0.01)
        deadlines.discard(discarded)
        for index in (1, 0, 2):
            with self.assertRaises(TimeoutError):
                await futures[index]
            self.assertGreaterEqual(clock.monotonic(), begin + delays[index])
        self.assertFalse(discarded.done() or futures[3].done())
        self.assertEqual(1, len(deadlines))
