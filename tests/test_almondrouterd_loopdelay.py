"""Tests of the delay of the event loop."""

import unittest

from almondrouter.clock import ManualClock
from almondrouterd.loopdelay import PERIOD_S, LoopDelay


class LoopDelayTest(unittest.TestCase):
    """Guards against a busy daemon that looks idle, or one that looks busy for ever."""

    def setUp(self):
        self.clock = ManualClock()
        self.delay = LoopDelay(self.clock)

    def test_longest_delay_is_forgotten_after_two_periods(self):
        """Guards against a delay that is dropped at once or never."""
        self.delay.record(0.4)
        self.delay.record(0.1)
        self.assertEqual(0.4, self.delay.longest)
        self.clock.advance(PERIOD_S)
        self.delay.record(0.0)
        self.assertEqual(0.4, self.delay.longest)
        self.clock.advance(PERIOD_S)
        self.delay.record(0.2)
        self.assertEqual(0.2, self.delay.longest)
