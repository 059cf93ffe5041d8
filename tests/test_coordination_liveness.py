"""Tests of the failure detector."""

import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.liveness import FailureDetector
from almondrouter.state.registry import HostRecord, HostStatus


def _make(status, sequence=0):
    return HostRecord("a", "d", "r", "c", "p", 1, sequence, status)


class FailureDetectorTest(unittest.TestCase):
    """Too few misses, or misses of our own making, must kill nobody."""

    def setUp(self):
        self.clock = ManualClock()
        self.detector = FailureDetector(self.clock)

    def judge(self, record, *, misses=0, seconds=0.0, isolated=False):
        for _ in range(misses):
            self.detector.record_miss("a")
        self.clock.advance(seconds)
        if not isolated:
            self.detector.record_contact()
        return [r.status for r in self.detector.judge([record])]

    def test_three_misses_and_three_seconds_kill(self):
        alive, suspect = _make(HostStatus.ALIVE), _make(HostStatus.SUSPECT)
        self.assertEqual(self.judge(alive, misses=2), [])
        self.assertEqual(self.judge(alive, misses=1), [HostStatus.SUSPECT])
        self.assertEqual(self.judge(suspect, seconds=2.9), [])
        self.assertEqual(self.judge(suspect, seconds=0.2), [HostStatus.DEAD])

    @parameterized.expand([("answered", False, 9.0), ("isolated", True, 9.0)])
    def test_spares_suspect(self, _name, isolated, seconds):
        suspect = _make(HostStatus.SUSPECT)
        self.judge(suspect, misses=3)
        if not isolated:
            self.detector.record_reply("a")
        self.assertEqual(self.judge(suspect, seconds=seconds, isolated=isolated), [])

    def test_host_that_answers_is_not_killed_on_the_word_of_others(self):
        suspect = _make(HostStatus.SUSPECT)
        for _ in range(10):
            self.detector.record_reply("a")
            self.assertEqual(self.judge(suspect, seconds=1.0), [])

    def test_refuted_suspicion_backs_off(self):
        self.judge(_make(HostStatus.ALIVE), misses=3)
        refuted = _make(HostStatus.ALIVE, sequence=1)
        self.assertEqual(self.judge(refuted, misses=3), [])
        self.assertEqual(self.judge(refuted, misses=9, seconds=9.0), [])
        expected = [HostStatus.SUSPECT]
        self.assertEqual(self.judge(refuted, misses=1, seconds=1.0), expected)
