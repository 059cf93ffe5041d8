"""Tests of the share of calls answered in time."""

import unittest

from almondrouter.clock import ManualClock
from almondrouterd.attainment import WINDOW_S, Attainment


class AttainmentTest(unittest.TestCase):
    """Guards against old calls that hide that a target is missed now."""

    def setUp(self):
        self.clock = ManualClock()
        self.attainment = Attainment(clock=self.clock)

    def record(self, in_time, late):
        for number in range(in_time + late):
            self.attainment.record("renewals", in_time=number < in_time)

    def test_share_of_calls_in_time(self):
        """Guards against late calls that count as in time."""
        self.record(3, 1)
        found = self.attainment.find("renewals")
        self.assertEqual((found.calls, found.share), (4, 0.75))

    def test_share_is_one_without_calls(self):
        """Guards against a class without calls that counts as missing its target."""
        self.assertEqual(self.attainment.find("renewals").share, 1.0)

    def test_calls_are_forgotten_after_two_windows(self):
        """Guards against windows that are dropped too early or too late."""
        self.record(10, 0)
        self.clock.advance(WINDOW_S)
        self.record(0, 10)
        self.assertEqual(self.attainment.find("renewals").share, 0.5)
        self.clock.advance(WINDOW_S)
        self.assertEqual(self.attainment.find("renewals").share, 0.0)

    def test_calls_before_a_long_pause_are_forgotten(self):
        """Guards against a long pause after which an old window counts as current."""
        self.record(10, 0)
        self.clock.advance(3 * WINDOW_S)
        self.assertEqual(self.attainment.find("renewals").calls, 0)
