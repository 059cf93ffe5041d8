"""Tests of the failure detector."""

import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.liveness import FailureDetector
from almondrouter.state.registry import HostRecord, HostStatus


def _make_host(status, sequence=0):
    return HostRecord("a", "d", "r", "c", "p", 1, sequence, status)


class FailureDetectorTest(unittest.TestCase):
    """A host must not be declared dead after few misses or by an isolated host."""

    def setUp(self):
        self.clock = ManualClock()
        self.detector = FailureDetector(self.clock)

    def find_new_status(self, record, *, misses=0, seconds=0.0, isolated=False):
        for _ in range(misses):
            self.detector.record_miss("a")
        self.clock.advance(seconds)
        if not isolated:
            self.detector.record_contact()
        return [r.status for r in self.detector.detect_failures([record])]

    def test_host_is_dead_after_three_misses_and_three_seconds(self):
        alive, suspect = _make_host(HostStatus.ALIVE), _make_host(HostStatus.SUSPECT)
        self.assertEqual(self.find_new_status(alive, misses=2), [])
        self.assertEqual(self.find_new_status(alive, misses=1), [HostStatus.SUSPECT])
        self.assertEqual(self.find_new_status(suspect, seconds=2.9), [])
        self.assertEqual(self.find_new_status(suspect, seconds=0.2), [HostStatus.DEAD])

    @parameterized.expand([("answered", False, 9.0), ("isolated", True, 9.0)])
    def test_suspect_is_not_declared_dead(self, _name, isolated, seconds):
        """Guards against a death after a reply, or declared too early when isolated."""
        suspect = _make_host(HostStatus.SUSPECT)
        self.find_new_status(suspect, misses=3)
        if not isolated:
            self.detector.record_reply("a")
        self.assertEqual(
            self.find_new_status(suspect, seconds=seconds, isolated=isolated), []
        )

    def test_host_that_replies_is_not_dead_if_others_suspect_it(self):
        suspect = _make_host(HostStatus.SUSPECT)
        for _ in range(10):
            self.detector.record_reply("a")
            self.assertEqual(self.find_new_status(suspect, seconds=1.0), [])

    def test_refuted_suspicion_backs_off(self):
        """Guards against repeated suspicions of a live host behind a broken link."""
        self.find_new_status(_make_host(HostStatus.ALIVE), misses=3)
        refuted = _make_host(HostStatus.ALIVE, sequence=1)
        self.assertEqual(self.find_new_status(refuted, misses=3), [])
        self.assertEqual(self.find_new_status(refuted, misses=9, seconds=9.0), [])
        expected = [HostStatus.SUSPECT]
        self.assertEqual(self.find_new_status(refuted, misses=1, seconds=1.0), expected)
