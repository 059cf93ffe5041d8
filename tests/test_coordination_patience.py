"""Estimates of how long callers have waited, from the deadlines of their requests."""

from __future__ import annotations

import random
import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.patience import MAX_ROUTES, CallerPatience

LONGEST_S = 1.2


class CallerPatienceTest(unittest.TestCase):
    """Callers wait between 1.02 s and 1.2 s from their first attempt."""

    def setUp(self):
        self.clock = ManualClock()
        self.patience = CallerPatience(self.clock)
        self.random = random.Random(3)

    def send_first_attempts(self, count, *, route="r"):
        """Return the estimates for first attempts."""
        return [
            self.patience.estimate_elapsed(
                route, LONGEST_S * self.random.uniform(0.85, 1.0)
            )
            for _ in range(count)
        ]

    @parameterized.expand(
        [
            ("first attempt", 1.2, 0.0),
            ("least patient caller", 1.03, 0.0),
            ("unknown", None, 0.0),
            ("second attempt", 0.8, 0.31),
            ("shortly before the deadline", 0.1, 1.01),
        ]
    )
    def test_elapsed_time(self, _, time_left, expected):
        """Guards against serving an attempt after the first like a new request."""
        self.send_first_attempts(200)
        self.patience.record_unserved("r")
        elapsed = self.patience.estimate_elapsed("r", time_left)
        self.assertAlmostEqual(expected, elapsed, delta=0.03)

    def test_first_attempts_are_new(self):
        """Guards against new requests that wait behind others by mistake."""
        self.send_first_attempts(64)
        self.patience.record_unserved("r")
        self.assertEqual({0.0}, set(self.send_first_attempts(500)))

    @parameterized.expand([("no refusal", False, 0.0), ("long ago", True, 1.2)])
    def test_short_deadline_without_a_reason_to_retry(self, _, unserved, seconds):
        """Guards against a lower rank for callers that choose a short deadline."""
        self.send_first_attempts(64)
        if unserved:
            self.patience.record_unserved("r")
        self.clock.advance(seconds)
        self.assertEqual(0.0, self.patience.estimate_elapsed("r", 0.3))

    def test_few_requests_teach_nothing(self):
        """Guards against conclusions from the first deadlines after a start."""
        self.send_first_attempts(15)
        self.patience.record_unserved("r")
        self.assertEqual(0.0, self.patience.estimate_elapsed("r", 0.3))

    def test_few_patient_callers_do_not_count(self):
        """Guards against taking all callers for late ones beside a very patient one."""
        for _ in range(8):
            self.send_first_attempts(15)
            self.patience.estimate_elapsed("r", 60.0)
        self.patience.record_unserved("r")
        self.assertEqual(0.0, self.patience.estimate_elapsed("r", 1.05))

    def test_half_of_the_attempts_are_retries(self):
        """Guards against learning the deadlines of retries under a long overload."""
        for _ in range(200):
            self.send_first_attempts(1)
            self.patience.estimate_elapsed("r", self.random.uniform(0.6, 0.9))
        self.patience.record_unserved("r")
        self.assertEqual({0.0}, set(self.send_first_attempts(100)))
        elapsed = self.patience.estimate_elapsed("r", 0.8)
        self.assertAlmostEqual(0.31, elapsed, delta=0.05)

    def test_routes_are_apart_and_bounded(self):
        """Guards against deadlines of one route that rule another, and lost memory."""
        self.send_first_attempts(64)
        self.patience.record_unserved("r")
        for number in range(MAX_ROUTES):
            self.assertEqual(0.0, self.patience.estimate_elapsed(f"r{number}", 0.1))
        self.assertEqual(0.0, self.patience.estimate_elapsed("r", 0.1))
