"""Spillover between data centres: shares, measured demand and choice of calls."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.placement import LowestCostPolicy
from almondrouter.coordination.routing import Demand
from almondrouter.coordination.spillover import (
    DemandMeter,
    Site,
    fill_capacity,
)
from almondrouter.protocol.calls import Load
from almondrouter.protocol.headers import Outcome
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.state.snapshot import Destination

SLOTS, CALLS = 25, 2000
"""Slots of a data centre, of which 20 are planned with, and calls of a test."""
KINDS = {
    "easy": Demand(0, nested=False, target_latency=0.7, rank=1, service="s"),
    "once": Demand(0, False, 0.7, 1, repeatable=False, service="s"),
    "nested": Demand(0, nested=True, target_latency=0.7, rank=1, service="s"),
    "long": Demand(0, False, 0.7, 1, response_bytes=90_000, service="s"),
}


class FillCapacityTest(unittest.TestCase):
    """Data centres a and b are in one region, c and d in another."""

    @parameterized.expand(
        [
            ("even demand", (15, 15, 15, 15), {}),
            ("all are short", (30, 30, 30, 30), {}),
            ("at its slots", (25, 10, 10, 10), {}),
            ("within its region", (30, 10, 10, 10), {"b": 5 / 30}),
            (
                "beyond its region",
                (40, 10, 15, 15),
                {"b": 0.25, "c": 0.0625, "d": 0.0625},
            ),
            ("two neighbours are at their slots", (25, 25, 20, 15), {}),
            ("two neighbours are short", (30, 30, 20, 15), {"d": 2.5 / 30}),
            ("another takes its own first", (25, 20, 30, 10), {}),
            ("within the error", (25.2, 10, 10, 10), {}),
            ("has no servers", (0, 0, 0, 0), {}),
        ]
    )
    def test_shares(self, _, demands, expected):
        """Guards against spillover without need, beyond the room, or to far places."""
        regions = ("r", "r", "t", "t")
        places = zip("abcd", regions, demands, strict=True)
        sites = [Site(name, region, wanted, SLOTS) for name, region, wanted in places]
        shares = fill_capacity(sites, "a")
        self.assertEqual(expected.keys(), shares.keys())
        for name, share in expected.items():
            self.assertAlmostEqual(share, shares[name])


class SpilloverTest(unittest.TestCase):
    """The own data centre has one server, as have a neighbour and another region."""

    def setUp(self):
        self.clock, self.lost, self.weight = ManualClock(), set(), 0.0
        self.places = [
            Destination(name, name, name, region, name, 1, SLOTS, False)
            for name, region in (("own", "r"), ("near", "r"), ("far", "t"))
        ]
        self.policy = LowestCostPolicy(
            host="h",
            data_centre="own",
            region="r",
            occupancy=OccupancyTable(),
            random=random.Random(1),
            clock=self.clock,
            is_reachable=lambda d: d.backend not in self.lost,
        )

    def place(self, demands, *kinds):
        """Return the share of calls of the last kind by data centre."""
        for place, wanted in zip(self.places, demands, strict=True):
            result = {"outcome": Outcome.COMPLETE, "elapsed": 0.1}
            load = Load(SLOTS, 5, 0, 0.1, demand=wanted)
            self.policy.record_end(place, load=load, **result)
        counts = Counter()
        for _ in range(CALLS):
            for kind in kinds:
                demand = KINDS[kind]
                chosen = self.policy.choose(self.places, now=0.0, demand=demand)
                self.weight += self.policy.find_demand_weight(chosen, demand)
            counts[chosen.data_centre] += 1
        return {name: count / CALLS for name, count in counts.items()}

    @parameterized.expand(
        [
            ("enough servers", (18.0, 5.0, 5.0), ("easy",), {"own": 1.0}),
            ("old peers", (-1.0, -1.0, -1.0), ("easy",), {"own": 1.0}),
            ("short", (50.0, 10.0, 5.0), ("easy",), {"near": 0.2, "far": 0.3}),
            ("easy first", (55.0, 5.0, 0.0), ("easy", "once"), {"own": 0.81}),
            ("no easy calls", (50.0, 0.0, 20.0), ("once",), {"near": 0.4}),
            ("nested", (50.0, 0.0, 20.0), ("nested",), {"near": 0.4}),
            ("long stay in the region", (40.0, 10.0, 5.0), ("long",), {"near": 0.25}),
        ]
    )
    def test_choice(self, _, demands, kinds, expected):
        """Guards against calls that leave without need, or the costly ones first.

        It also guards against a demand that seems to fall because of the spillover.
        """
        shares = self.place(demands, *kinds)
        for name, share in expected.items():
            self.assertAlmostEqual(share, shares.get(name, 0.0), delta=0.05)
        calls = len(kinds) * CALLS
        self.assertAlmostEqual(calls, self.weight, delta=0.07 * calls)

    def test_unreachable_data_centre(self):
        """Guards against calls that are moved to where nothing answers."""
        self.lost = {"near"}
        self.assertNotIn("near", self.place((40.0, 0.0, 0.0), "easy"))

    def test_demand_meter(self):
        """Guards against a demand that lags behind, or counts beyond its window."""
        meter = DemandMeter(self.clock)
        for _ in range(400):
            self.clock.advance(0.01)
            meter.record(2.0, 0.05)
        self.assertAlmostEqual(10.0, meter.slots_wanted, delta=0.5)
        self.clock.advance(3.0)
        self.assertLess(meter.slots_wanted, 0.1)
