"""Tests of the order of host records."""

import unittest

from parameterized import parameterized

from almondrouter.state.registry import HostRecord, HostStatus, Registry

ALIVE, SUSPECT, DEAD = HostStatus.ALIVE, HostStatus.SUSPECT, HostStatus.DEAD
LEAVING, LEFT = HostStatus.LEAVING, HostStatus.LEFT


def _make_record(incarnation, sequence, status, host="a"):
    return HostRecord(host, "d", "r", "c", "p", incarnation, sequence, status)


class RegistryTest(unittest.TestCase):
    """Updates in any order must leave every daemon with the same record."""

    @parameterized.expand(
        [
            ("incarnation", (2, 0, ALIVE), (1, 9, DEAD)),
            ("sequence", (1, 2, ALIVE), (1, 1, DEAD)),
            ("leaving", (1, 1, LEAVING), (1, 1, ALIVE)),
            ("suspect", (1, 1, SUSPECT), (1, 1, LEAVING)),
            ("dead", (1, 1, DEAD), (1, 1, SUSPECT)),
            ("left is final", (1, 1, LEFT), (1, 9, ALIVE)),
            ("restart after left", (2, 0, ALIVE), (1, 1, LEFT)),
        ]
    )
    def test_newer_record_wins_in_any_order(self, _name, newer, older):
        """Guards against a result that depends on the order of updates."""
        newer, older = _make_record(*newer), _make_record(*older)
        for records in ((newer, older), (older, newer), (newer, newer, older)):
            registry = Registry()
            for record in records:
                registry.merge([record])
            self.assertEqual(registry.find("a"), newer)

    def test_digest_covers_live_records_only(self):
        """Guards against endless record exchange after one side removed a dead host."""
        one, other = Registry(), Registry()
        one.merge([_make_record(1, 1, ALIVE), _make_record(1, 0, DEAD, "b")])
        other.merge([_make_record(1, 0, ALIVE)])
        self.assertNotEqual(one.digests(), other.digests())
        other.merge([_make_record(1, 1, ALIVE)])
        self.assertEqual(one.digests(), other.digests())
        one.remove("b")
        self.assertEqual(one.digests(), other.digests())
