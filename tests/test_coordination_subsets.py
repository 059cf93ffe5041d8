"""Which hosts of other regions a daemon keeps links to."""

from __future__ import annotations

import unittest
from collections import Counter
from statistics import mean

from parameterized import parameterized

from almondrouter.coordination.subsets import REMOTE_SERVERS_PER_SERVICE, LinkSubset
from almondrouter.state.hosts import BackendEntry, HostEntry, ServingState

REGIONS = 3
SERVICES = ("accounts", "accounts", "accounts", "documents")
"""Services of successive hosts: three quarters of the fleet serve the first one."""


def make_fleet(count, *, states=None):
    """Return records of hosts in three regions; ``states`` by host number."""
    states = states or {}
    entries = []
    for number in range(count):
        host = f"sidecar-{number}"
        service = SERVICES[number // REGIONS % len(SERVICES)]
        state = states.get(number, ServingState.READY)
        backend = BackendEntry(f"b{number}", 1, service, 3, state)
        region = f"r{number % REGIONS}"
        entries.append(HostEntry(host, 1, f"{region}-1", region, f"{host}:1", backend))
    return entries


def select_all(entries):
    """Return the names of the hosts that each host keeps links to."""
    return {
        own.host: {e.host for e in LinkSubset(own.host, own.region).select(entries)}
        for own in entries
    }


def count_remote(entries, chosen):
    """Return the number of links between regions of each host."""
    regions = {e.host: e.region for e in entries}
    return [
        sum(regions[peer] != regions[host] for peer in peers)
        for host, peers in chosen.items()
    ]


class LinkSubsetTest(unittest.TestCase):
    """Fleets from a few hosts to the size that the daemon is designed for."""

    @parameterized.expand([(2,), (14,), (80,), (195,), (680,)])
    def test_both_ends_keep_a_link(self, count):
        """Guards against a host whose changed record does not reach all its users."""
        chosen = select_all(make_fleet(count))
        for host, peers in chosen.items():
            self.assertNotIn(host, peers)
            for peer in peers:
                self.assertIn(host, chosen[peer])

    @parameterized.expand([(2,), (14,), (16,)])
    def test_small_fleets_are_linked_completely(self, count):
        """Guards against fewer choices than before where links cost little."""
        chosen = select_all(make_fleet(count))
        self.assertEqual({count - 1}, set(map(len, chosen.values())))

    @parameterized.expand([(80,), (195,), (680,)])
    def test_each_host_can_choose_among_servers_of_each_region(self, count):
        """Guards against a host without a server when its own region has none."""
        entries = make_fleet(count)
        chosen = select_all(entries)
        chosen_by = Counter()
        for own in entries:
            servers = Counter()
            for entry in entries:
                if entry.host in chosen[own.host] and entry.region != own.region:
                    servers[entry.region, entry.backend.service] += 1
                    chosen_by[entry.host] += 1
            self.assertEqual((REGIONS - 1) * 2, len(servers))
            self.assertGreaterEqual(min(servers.values()), REMOTE_SERVERS_PER_SERVICE)
        self.assertEqual(count, len(chosen_by))

    def test_links_between_regions_do_not_grow_with_the_fleet(self):
        """Guards against a start whose cost grows with the number of hosts."""
        small, large = (
            mean(count_remote(entries, select_all(entries)))
            for entries in (make_fleet(100), make_fleet(300))
        )
        self.assertLess(large, 1.2 * small)
        self.assertLess(large, 300 * (REGIONS - 1) / REGIONS / 3)

    @parameterized.expand([(ServingState.LEAVING,), (ServingState.DOWN,)])
    def test_server_that_accepts_no_calls_is_replaced(self, state):
        """Guards against links to servers that have left instead of those that stay."""
        own = make_fleet(195)[0]
        subset = LinkSubset(own.host, own.region)
        before = {e.host for e in subset.select(make_fleet(195))}
        gone = [n for n in range(195) if n % REGIONS == 1 and n % 2]
        entries = make_fleet(195, states=dict.fromkeys(gone, state))
        after = subset.select(entries)
        ready = Counter(
            (e.region, e.backend.service)
            for e in after
            if e.backend.state is ServingState.READY and e.region != own.region
        )
        self.assertGreaterEqual(min(ready.values()), REMOTE_SERVERS_PER_SERVICE)
        self.assertNotEqual(before, {e.host for e in after})

    def test_host_without_a_server_links_to_those_it_calls(self):
        """Guards against a new daemon that cannot call other regions."""
        entries = make_fleet(195)
        own = entries.pop(0)
        found = LinkSubset(own.host, own.region).select(entries)
        remote = [e for e in found if e.region != own.region]
        self.assertEqual((REGIONS - 1) * 2 * REMOTE_SERVERS_PER_SERVICE, len(remote))
        self.assertEqual(64, len(found) - len(remote))
