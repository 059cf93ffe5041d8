"""Intake of long bodies: one after the other, and only what can be in time."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.intake import LINK_SHARE, OVERLAP_S, BodyIntake

SIZE = 1000


class BodyIntakeTest(unittest.TestCase):
    """A body takes one second of what the link has for bodies."""

    def setUp(self):
        self.clock = ManualClock()
        rate = SIZE / LINK_SHARE
        self.intake = BodyIntake(bytes_per_second=rate, clock=self.clock)

    def plan(self, *, within, size=SIZE):
        now = self.clock.monotonic()
        begins_at = self.intake.plan(size, arrive_by=now + within)
        return None if begins_at is None else begins_at - now

    @parameterized.expand([("in time", 1.0, 0.0), ("too late", 0.9, None)])
    def test_idle_link(self, _, within, expected):
        """Guards against bodies that move for an answer that comes too late."""
        self.assertEqual(expected, self.plan(within=within))

    def test_bodies_follow_one_another(self):
        """Guards against bodies that share a narrow link until all are late."""
        self.plan(within=9)
        self.assertAlmostEqual(1.0 - OVERLAP_S, self.plan(within=9))
        self.assertIsNone(self.plan(within=2.9))
        self.assertAlmostEqual(2.0 - OVERLAP_S, self.plan(within=3.1))

    def test_refused_body_takes_no_room(self):
        """Guards against refusals that fill the plan."""
        self.assertIsNone(self.plan(within=0.5))
        self.assertEqual(0.0, self.plan(within=1.0))

    def test_room_returns_with_time(self):
        """Guards against a link that counts as busy after a burst."""
        for _ in range(3):
            self.plan(within=9)
        self.clock.advance(3)
        self.assertEqual(0.0, self.plan(within=1.0))
