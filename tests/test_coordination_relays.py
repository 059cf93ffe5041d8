"""Election of the daemon that watches the store on behalf of its region."""

from __future__ import annotations

import itertools
import unittest

from parameterized import parameterized

from almondrouter.coordination.relays import RelayCandidate, RelayElection


class RelayElectionTest(unittest.TestCase):
    """Each daemon decides locally from what it knows of the others."""

    @parameterized.expand(
        [
            ("alone", True, [], True),
            ("first", True, [("c", True, True)], True),
            ("second", True, [("a", True, True)], False),
            ("first does not respond", True, [("a", False, True)], True),
            ("first lost the store", True, [("a", True, False)], True),
            ("own store lost", False, [("c", True, True)], False),
            ("all lost the store", False, [("a", True, False)], True),
        ]
    )
    def test_own_view(self, _, reaches_store, others, expected):
        """Guards against a region in which no daemon watches the store."""
        election = RelayElection("b", reaches_store=lambda: reaches_store)
        candidates = [RelayCandidate(*other) for other in others]
        self.assertEqual(expected, election.is_relay(candidates))

    @parameterized.expand(
        [
            ("first", "", ""),
            ("second", "a", "a"),
            ("fourth", "abc", "abc"),
            ("fifth", "abcd", ""),
        ]
    )
    def test_standbys(self, _, before, expected):
        """Guards against a relay whose silence is noticed late, or costly to notice."""
        election = RelayElection("k", reaches_store=lambda: True)
        others = [RelayCandidate(host, False, True) for host in (*before, "x", "y")]
        self.assertEqual([*expected], election.list_predecessors(others))

    def test_exactly_one_daemon_that_reaches_the_store_watches_it(self):
        """Guards against store failures on some hosts that leave no relay."""
        hosts = "abcd"
        for reached in itertools.product((True, False), repeat=len(hosts)):
            relays = []
            for own in hosts:
                others = [
                    RelayCandidate(host, True, able)
                    for host, able in zip(hosts, reached, strict=True)
                    if host != own
                ]
                able = reached[hosts.index(own)]
                election = RelayElection(own, reaches_store=lambda able=able: able)
                if election.is_relay(others):
                    relays.append((own, able))
            self.assertTrue(relays)
            if any(reached):
                self.assertEqual(1, sum(able for _, able in relays), reached)
