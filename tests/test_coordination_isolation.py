"""Isolation: when a host directs its callers to other hosts."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.isolation import ISOLATION_DELAY_S, IsolationDetector


class IsolationDetectorTest(unittest.TestCase):
    """Most tests use a fleet of twelve known peers."""

    def setUp(self):
        self.clock = ManualClock()
        self.detector = IsolationDetector(clock=self.clock)

    @parameterized.expand(
        [
            ("all respond", 12, 12, False),
            ("own region responds", 12, 4, False),
            ("none responds", 12, 0, True),
            ("one responds", 12, 1, True),
            ("small fleet", 3, 0, False),
            ("alone", 0, 0, False),
        ]
    )
    def test_isolation(self, _, known, reachable, expected):
        """Guards against keeping callers at a host that reaches no peer."""
        self.detector.update(known=known, reachable=reachable)
        self.assertFalse(self.detector.is_isolated)
        self.clock.advance(ISOLATION_DELAY_S)
        self.detector.update(known=known, reachable=reachable)
        self.assertIs(expected, self.detector.is_isolated)

    def test_reset_links_do_not_count(self):
        """Guards against redirecting callers because of a short loss of links."""
        self.detector.update(known=12, reachable=0)
        self.clock.advance(ISOLATION_DELAY_S / 2)
        self.detector.update(known=12, reachable=12)
        self.clock.advance(ISOLATION_DELAY_S)
        self.detector.update(known=12, reachable=0)
        self.assertFalse(self.detector.is_isolated)

    def test_isolation_ends_at_once(self):
        """Guards against a host that stays unused after a partition has healed."""
        self.detector.update(known=12, reachable=0)
        self.clock.advance(ISOLATION_DELAY_S)
        self.detector.update(known=12, reachable=3)
        self.assertFalse(self.detector.is_isolated)
