"""Scheduling of long bodies: one after the other, and only if they are in time."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.intake import (
    BODY_LINK_SHARE,
    TRANSFER_OVERLAP_S,
    BodyIntake,
)

SIZE = 1000


class BodyIntakeTest(unittest.TestCase):
    """The transfer of a body takes one second of the bandwidth for bodies."""

    def setUp(self):
        self.clock = ManualClock()
        rate = SIZE / BODY_LINK_SHARE
        self.intake = BodyIntake(bytes_per_second=rate, clock=self.clock)

    def reserve(self, *, within, size=SIZE):
        now = self.clock.monotonic()
        starts_at = self.intake.reserve(size, arrive_by=now + within)
        return None if starts_at is None else starts_at - now

    @parameterized.expand([("in time", 1.0, 0.0), ("too late", 0.9, None)])
    def test_idle_link(self, _, within, expected):
        """Guards against transferring a body whose response would be too late."""
        self.assertEqual(expected, self.reserve(within=within))

    def test_bodies_follow_one_another(self):
        """Guards against concurrent transfers that make all bodies late."""
        self.reserve(within=9)
        self.assertAlmostEqual(1.0 - TRANSFER_OVERLAP_S, self.reserve(within=9))
        self.assertIsNone(self.reserve(within=2.9))
        self.assertAlmostEqual(2.0 - TRANSFER_OVERLAP_S, self.reserve(within=3.1))

    def test_refused_body_reserves_nothing(self):
        """Guards against refused bodies that keep a reservation."""
        self.assertIsNone(self.reserve(within=0.5))
        self.assertEqual(0.0, self.reserve(within=1.0))

    def test_reservations_expire(self):
        """Guards against reservations that outlast a burst."""
        for _ in range(3):
            self.reserve(within=9)
        self.clock.advance(3)
        self.assertEqual(0.0, self.reserve(within=1.0))
