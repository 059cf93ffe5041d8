"""Tests of delegate ranks and overlay links."""

import unittest

from parameterized import parameterized

from almondrouter.coordination.delegates import (
    MAX_MONITORED_HOSTS,
    Overlay,
    rank_hosts,
)
from almondrouter.state.registry import HostRecord, HostStatus, Registry


def _make_records(count, *, data_centre="d0", region="r0", status=HostStatus.ALIVE):
    return [
        HostRecord(f"{data_centre}-{n}", data_centre, region, "a", "p", 1, 0, status)
        for n in range(count)
    ]


def _make_overlay(records, host, unreachable=frozenset()):
    registry = Registry()
    registry.merge(records)
    own = registry.find(host)
    return Overlay(registry, own, find_unreachable=lambda: unreachable)


class RankTest(unittest.TestCase):
    """Daemons with the same records must agree on their delegates."""

    def test_loss_of_a_host_does_not_reorder_the_others(self):
        records = _make_records(20)
        ranks = rank_hosts(records, "d0")
        self.assertEqual(ranks, rank_hosts(reversed(records), "d0"))
        without = [r for r in records if r != ranks[0]]
        self.assertEqual(rank_hosts(without, "d0"), ranks[1:])

    @parameterized.expand(
        [
            ("alive", HostStatus.ALIVE, 2),
            ("suspect", HostStatus.SUSPECT, 2),
            ("leaving", HostStatus.LEAVING, 0),
            ("dead", HostStatus.DEAD, 0),
            ("left", HostStatus.LEFT, 0),
        ]
    )
    def test_ranks_only_hosts_that_stay(self, _name, status, count):
        """Guards against delegates that are gone or about to leave."""
        records = _make_records(2, status=status) + _make_records(1, data_centre="d1")
        self.assertEqual(len(rank_hosts(records, "d0")), count)


class OverlayTest(unittest.TestCase):
    """A missing link would leave hosts unmonitored or without changes."""

    @parameterized.expand([(1,), (2,), (3,), (17,), (97,)])
    def test_ring_reaches_and_monitors_all(self, count):
        records = _make_records(count)
        overlays = {r.host: _make_overlay(records, r.host) for r in records}
        monitor_counts = dict.fromkeys(overlays, 0)
        for overlay in overlays.values():
            for record in overlay.monitored:
                monitor_counts[record.host] += 1
        self.assertEqual(set(monitor_counts.values()), {min(3, count - 1)})
        reached, rounds = {records[0].host}, 0
        while len(reached) < count:
            for host in list(reached):
                reached |= {r.host for r in overlays[host].ring_neighbours}
            rounds += 1
        self.assertLessEqual(rounds, count.bit_length())

    def test_monitors_more_hosts_for_suspect_ones_up_to_a_limit(self):
        records = _make_records(30)
        own = records[0].host
        successors = [r.host for r in _make_overlay(records, own).monitored[:2]]
        registry = Registry()
        registry.merge(records)
        for host in successors:
            suspect = registry.find(host)
            registry.merge([_with_status(suspect, HostStatus.SUSPECT)])
        overlay = Overlay(registry, records[0])
        self.assertEqual(len(overlay.monitored), 5)
        silent = overlay.monitored[2].host
        monitored = overlay.select_monitored(lambda host: host == silent)
        self.assertEqual(len(monitored), 6)
        registry.merge([_with_status(r, HostStatus.SUSPECT) for r in records[1:]])
        self.assertEqual(len(overlay.monitored), MAX_MONITORED_HOSTS)

    def test_delegates_link_their_regions_and_one_pair_crosses(self):
        """Guards against missing links, and against costly ones between regions."""
        places = [("d0", "r0"), ("d1", "r0"), ("d2", "r1"), ("d3", "r1")]
        records = [
            record
            for name, region in places
            for record in _make_records(5, data_centre=name, region=region)
        ]
        links = {}
        for record in records:
            overlay = _make_overlay(records, record.host)
            names = [r.data_centre for r in overlay.delegate_links]
            if names:
                links[(record.data_centre, overlay.rank)] = names
        self.assertEqual(
            links,
            {
                ("d0", 0): ["d1", "d1", "d2"],
                ("d0", 1): ["d1", "d1", "d2"],
                ("d1", 0): ["d0", "d0"],
                ("d1", 1): ["d0", "d0"],
                ("d2", 0): ["d3", "d3", "d0"],
                ("d2", 1): ["d3", "d3", "d0"],
                ("d3", 0): ["d2", "d2"],
                ("d3", 1): ["d2", "d2"],
            },
        )

    @parameterized.expand(
        [
            ("next in region", {"d2"}, ["d1", "d3"]),
            ("whole region unreachable", {"d2", "d3"}, ["d1", "d2", "d3"]),
        ]
    )
    def test_cut_off_data_centre_is_replaced(self, _name, unreachable, expected):
        """Guards against a region that is cut off with its first data centre."""
        places = [("d0", "r0"), ("d1", "r0"), ("d2", "r1"), ("d3", "r1")]
        records = [
            record
            for name, region in places
            for record in _make_records(1, data_centre=name, region=region)
        ]
        overlay = _make_overlay(records, "d0-0", frozenset(unreachable))
        self.assertEqual(list(overlay.linked_data_centres), expected)


def _with_status(record, status):
    fields = {name: getattr(record, name) for name in record.__struct_fields__}
    return HostRecord(**{**fields, "status": status})
