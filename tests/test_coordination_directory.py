"""Host directory: outdated records, lost records and removed hosts."""

from __future__ import annotations

import unittest
from unittest.mock import patch

import msgspec
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination import directory
from almondrouter.coordination.directory import LOST_RECORD_GRACE_S, HostDirectory
from almondrouter.state.hosts import (
    BackendEntry,
    Departure,
    HostEntry,
    ServingState,
)

READY, LEAVING = ServingState.READY, ServingState.LEAVING


def make_entry(
    host="h1",
    *,
    incarnation=1,
    change=0,
    state=READY,
    backend="b1",
    region="r",
    started=1,
    departure=None,
):
    """Return the record of a host."""
    entry = BackendEntry(backend, started, "s", 4, state)
    return HostEntry(
        host, incarnation, "dc", region, f"{host}:1", entry, change, departure
    )


class HostDirectoryTest(unittest.TestCase):
    """Records arrive from the store and from peers, in any order."""

    def setUp(self):
        self.clock = ManualClock()
        self.alive = set()
        self.directory = HostDirectory(
            clock=self.clock, is_alive=lambda address: address in self.alive
        )

    def find_backends(self):
        return [d.backend for d in self.directory.find_destinations("s")]

    @parameterized.expand(
        [
            ("older change", {"change": 1}, {"change": 0}),
            ("older daemon", {"incarnation": 2}, {"incarnation": 1, "change": 9}),
        ]
    )
    def test_older_record_is_ignored(self, _, newer, older):
        """Guards against an outdated read that makes a leaving server ready again."""
        self.directory.put(make_entry(state=LEAVING, **newer))
        self.directory.put(make_entry(state=READY, **older))
        self.assertEqual([], self.find_backends())

    def test_known_records_change_nothing(self):
        """Guards against work that grows with the square of the number of hosts.

        Each read of the store brings all records, most of them known.
        """
        entries = {f"h{i}": make_entry(f"h{i}", backend=f"b{i}") for i in range(3)}
        self.directory.replace_all(entries)
        before = self.directory.find_destinations("s")
        rebuild = self.directory._rebuild_destinations
        with patch.object(
            self.directory, "_rebuild_destinations", wraps=rebuild
        ) as used:
            self.directory.put(entries["h1"])
            self.directory.replace_all(entries)
            self.assertIs(before, self.directory.find_destinations("s"))
            used.assert_not_called()
            changed = {host: make_entry(host, change=1) for host in entries}
            self.directory.replace_all(changed)
            self.assertEqual(["b1"] * 3, self.find_backends())
            used.assert_called_once()

    @parameterized.expand([(LEAVING,), (ServingState.DOWN,)])
    def test_only_ready_servers_are_destinations(self, state):
        """Guards against calls to a server that is leaving or down."""
        self.directory.put(make_entry(state=state))
        self.directory.put(msgspec.structs.replace(make_entry("h2"), backend=None))
        self.assertEqual([], self.find_backends())

    @parameterized.expand(
        [
            ("same start", {}, []),
            ("later start", {"started": 2}, ["b1"]),
            ("another server", {"backend": "b2"}, ["b2"]),
        ]
    )
    def test_departure_outlives_the_daemon_that_announced_it(self, _, next_, expected):
        """Guards against requests to a server that left, from its restarted daemon.

        The daemon restores its server from a record that is older than the departure.
        """
        left = make_entry(state=LEAVING, change=1, departure=Departure("b1", 1))
        self.directory.put(left)
        self.directory.mark_lost("h1")
        self.clock.advance(LOST_RECORD_GRACE_S)
        self.directory.expire()
        self.directory.put(make_entry(incarnation=2, **next_))
        self.assertEqual(expected, self.find_backends())

    def test_departures_are_bounded(self):
        """Guards against memory that grows with each host there ever was."""
        with patch.object(directory, "MAX_DEPARTURES", 3):
            for number in range(5):
                departure = Departure("b1", 1)
                self.directory.put(make_entry(f"h{number}", departure=departure))
        known = [n for n in range(5) if self.directory.find_departure(f"h{n}")]
        self.assertEqual([2, 3, 4], known)

    def test_lost_record_may_return(self):
        """Guards against a store outage that empties the directory.

        A host stays while its record is missing for less than the grace period.
        """
        self.directory.put(make_entry())
        self.directory.replace_all({})
        self.clock.advance(LOST_RECORD_GRACE_S - 0.1)
        self.directory.expire()
        self.assertEqual(["b1"], self.find_backends())
        self.directory.put(make_entry())
        self.clock.advance(LOST_RECORD_GRACE_S)
        self.directory.expire()
        self.assertEqual(["b1"], self.find_backends())

    @parameterized.expand([("later", 2, ["b2"]), ("earlier", 0, ["b1"])])
    def test_address_belongs_to_the_later_host(self, _, incarnation, expected):
        """Guards against a dead host that seems alive because its address is reused.

        Such a host was elected relay of its region, so that no daemon of the region
        watched the store.
        """
        self.alive = {"h1:1"}
        self.directory.put(make_entry())
        other = make_entry("h2", incarnation=incarnation, backend="b2")
        other = msgspec.structs.replace(other, peer_address="h1:1")
        self.directory.put(other)
        self.assertEqual(expected, self.find_backends())
        self.directory.put(make_entry())
        self.assertEqual(expected, self.find_backends())

    def test_address_is_free_after_its_host(self):
        """Guards against an address that stays assigned to a removed host."""
        self.directory.put(make_entry(incarnation=5))
        self.directory.mark_lost("h1")
        self.clock.advance(LOST_RECORD_GRACE_S)
        self.directory.expire()
        earlier = make_entry("h2", incarnation=1, backend="b2")
        earlier = msgspec.structs.replace(earlier, peer_address="h1:1")
        self.directory.put(earlier)
        self.assertEqual(["b2"], self.find_backends())

    @parameterized.expand([("silent", False, []), ("responds", True, ["b1"])])
    def test_host_without_record(self, _, alive, expected):
        """Guards against keeping dead hosts and removing live ones."""
        self.directory.put(make_entry())
        self.alive = {"h1:1"} if alive else set()
        self.directory.mark_lost("h1")
        self.clock.advance(LOST_RECORD_GRACE_S)
        self.directory.expire()
        self.assertEqual(expected, self.find_backends())
