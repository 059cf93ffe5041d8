"""Isolation: when a host sends its callers elsewhere."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.isolation import ISOLATION_DELAY_S, IsolationDetector


class IsolationDetectorTest(unittest.TestCase):
    """The detector hears of twelve peers."""

    def setUp(self):
        self.clock = ManualClock()
        self.detector = IsolationDetector(clock=self.clock)

    @parameterized.expand(
        [
            ("all answer", 12, 12, False),
            ("own region answers", 12, 4, False),
            ("none answers", 12, 0, True),
            ("one answers", 12, 1, True),
            ("small fleet", 3, 0, False),
            ("alone", 0, 0, False),
        ]
    )
    def test_cut_off(self, _, known, reachable, expected):
        """Guards against callers kept at a host that reaches nobody."""
        self.detector.update(known=known, reachable=reachable)
        self.assertFalse(self.detector.is_isolated)
        self.clock.advance(ISOLATION_DELAY_S)
        self.detector.update(known=known, reachable=reachable)
        self.assertIs(expected, self.detector.is_isolated)

    def test_reset_links_do_not_count(self):
        """Guards against a host that sends callers away for a moment's loss."""
        self.detector.update(known=12, reachable=0)
        self.clock.advance(ISOLATION_DELAY_S / 2)
        self.detector.update(known=12, reachable=12)
        self.clock.advance(ISOLATION_DELAY_S)
        self.detector.update(known=12, reachable=0)
        self.assertFalse(self.detector.is_isolated)

    def test_return_counts_at_once(self):
        """Guards against a host that stays unused after a partition."""
        self.detector.update(known=12, reachable=0)
        self.clock.advance(ISOLATION_DELAY_S)
        self.detector.update(known=12, reachable=3)
        self.assertFalse(self.detector.is_isolated)
