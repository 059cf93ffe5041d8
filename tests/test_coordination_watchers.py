"""Tests of the selection of daemons that watch the store."""

import unittest

from parameterized import parameterized

from almondrouter.coordination.watchers import WatcherChoice, WatcherSpread
from almondrouter.state.registry import HostRecord, HostStatus, Registry

DATA_CENTRES = ("n-1", "n-2", "n-3")


def rank_by_name(records, data_centre):
    """Rank the live hosts of a data centre by name."""
    found = [r for r in records if r.data_centre == data_centre]
    return sorted((r for r in found if not r.status), key=lambda r: r.host)


def make_choice(spread, down=(), dead=()):
    """Return a selection among five hosts in each data centre."""
    registry = Registry()
    for name in DATA_CENTRES:
        for host in (f"{name}{letter}" for letter in "abcde"):
            status = HostStatus.DEAD if host in dead else HostStatus.ALIVE
            record = HostRecord(
                host, name, "n", "", "", 1, status=status, store_down=host in down
            )
            registry.merge([record])
    registry.merge([HostRecord("s-1a", "s-1", "s", "", "", 1)])
    return WatcherChoice(
        registry=registry, region="n", rank=rank_by_name, spread=spread
    )


def name_hosts(data_centre, letters):
    """Return the names of hosts of a data centre."""
    return tuple(f"{data_centre}{letter}" for letter in letters)


class WatchersTest(unittest.TestCase):
    """At least one daemon watches the store, and few in each data centre."""

    @parameterized.expand(
        [
            ("two data centres", (), (), (), "n-1a n-2a"),
            ("next rank", ("n-1a",), (), (), "n-1b n-2a"),
            ("dead delegate", (), ("n-1a",), (), "n-1b n-2a"),
            ("centre cut off", (), (), ("n-1",), "n-2a n-3a"),
            ("centre without store", name_hosts("n-1", "abcd"), (), (), "n-2a n-3a"),
            # The fifth host must not be selected, or all hosts would try in turn.
            (
                "no store",
                sum((name_hosts(n, "abcd") for n in DATA_CENTRES), ()),
                (),
                (),
                "n-1a n-2a",
            ),
        ]
    )
    def test_economical(self, _name, down, dead, unreachable, expected):
        choice = make_choice(WatcherSpread.ECONOMICAL, down, dead)
        self.assertEqual(" ".join(sorted(choice.choose(unreachable))), expected)

    @parameterized.expand(
        [
            ("both delegates", (), "n-1a n-1b n-2a n-2b n-3a n-3b"),
            ("next rank", ("n-1a",), "n-1b n-1c n-2a n-2b n-3a n-3b"),
            ("centre without store", name_hosts("n-1", "abcd"), "n-2a n-2b n-3a n-3b"),
        ]
    )
    def test_fast(self, _name, down, expected):
        choice = make_choice(WatcherSpread.FAST, down)
        self.assertEqual(" ".join(sorted(choice.choose(()))), expected)

    def test_store_is_unreachable_if_all_candidates_report_it_down(self):
        down = sum((name_hosts(n, "abcd") for n in DATA_CENTRES), ())
        choice = make_choice(WatcherSpread.FAST, down)
        self.assertTrue(choice.reaches_store(()))
        self.assertFalse(choice.reaches_store(("s-1",)))
