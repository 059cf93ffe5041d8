"""Which hosts observe which, and which silent hosts are announced."""

from __future__ import annotations

import unittest
from collections import Counter

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.probing import (
    PROBED_SUCCESSORS,
    SUSPICION_TTL_S,
    ProbeRing,
    SuspicionLog,
    find_successors,
    has_few_responsive,
)


def make_hosts(count, *, data_centres=9):
    """Return host names, as many in each data centre."""
    return [f"sidecar-dc-{i % data_centres}-{i // data_centres}" for i in range(count)]


class ProbeRingTest(unittest.TestCase):
    """Fleets from a few hosts to the size that the daemon is designed for."""

    @parameterized.expand([(2,), (14,), (17,), (80,), (195,), (680,)])
    def test_each_host_has_the_same_number_of_observers(self, count):
        """Guards against pings that grow with the fleet, and hosts nobody probes."""
        hosts = make_hosts(count)
        expected = min(count - 1, PROBED_SUCCESSORS)
        observers = Counter()
        for host in hosts:
            probed = find_successors(host, hosts)
            self.assertNotIn(host, probed)
            self.assertEqual(expected, len(set(probed)))
            observers.update(probed)
        self.assertEqual({expected}, set(observers.values()))

    @parameterized.expand([(80,), (195,), (680,)])
    def test_observers_stand_outside_the_data_centre(self, count):
        """Guards against a data centre whose loss only its own hosts could notice."""
        hosts = make_hosts(count)
        outside = Counter()
        for host in hosts:
            for probed in find_successors(host, hosts):
                outside[probed] += host[:12] != probed[:12]
        self.assertEqual(count, len(outside))
        self.assertGreaterEqual(min(outside.values()), PROBED_SUCCESSORS // 2)

    def test_members_are_followed(self):
        """Guards against probing hosts that have left, or an old address."""
        ring = ProbeRing("a")
        self.assertEqual(frozenset(), ring.update({"a": "a:1"}))
        known = {"a": "a:1", "b": "b:1", "c": "c:1"}
        self.assertEqual({"b:1", "c:1"}, ring.update(known))
        self.assertEqual({"c:2"}, ring.update({"a": "a:1", "c": "c:2"}))

    @parameterized.expand(
        [(16, 16, False), (16, 8, False), (16, 7, True), (1, 0, True), (0, 0, False)]
    )
    def test_few_responsive(self, known, responsive, expected):
        """Guards against relying on old news while most observed hosts are silent."""
        self.assertIs(expected, has_few_responsive(known, responsive))


class SuspicionLogTest(unittest.TestCase):
    """Silent hosts of this daemon, and those that others have announced."""

    def test_news_is_told_once(self):
        """Guards against announcements that every daemon repeats."""
        clock = ManualClock()
        log = SuspicionLog(clock=clock)
        self.assertEqual(("a", "b"), log.select_new(["a", "b", "a"]))
        log.record(["c"])
        self.assertEqual(("d",), log.select_new(["a", "c", "d"]))
        clock.advance(SUSPICION_TTL_S)
        self.assertEqual(("a",), log.select_new(["a"]))
