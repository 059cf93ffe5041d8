"""Roll-outs of simulated fleets in virtual time; `bench/rollouts.py` has more seeds."""

from __future__ import annotations

import asyncio
import unittest

from parameterized import parameterized

from almondrouter_standins.rollout_faults import (
    FAULTS,
    SCRIPTS,
    fail_one_old,
    simulate,
)
from almondrouter_standins.rollout_fleet import RolloutFleet
from almondrouter_standins.rollout_servers import NEW, OLD, SERVICE
from almondrouter_standins.virtual_time import run_virtual

DURATION_S = 12.0
MAX_EXTENSION_S = 6.0
"""Seconds by which an unstable store may extend the bounds."""
ROLLBACK_S = 5.0
SIZES = ((2, 1), (6, 2), (14, 3), (33, 5), (60, 10))


class FleetTest(unittest.TestCase):
    """Real daemons' decisions with simulated links, store, servers and callers."""

    def check(self, fault, state, counts, *, extension=0.0):
        good = fault == "good"
        self.assertEqual("completed" if good else "rolled_back", state)
        self.assertLess(counts.decided_at, DURATION_S + extension)
        if not good:
            self.assertLessEqual(counts.exposed, counts.bound)
            self.assertLess(counts.sent_after_50_bad, ROLLBACK_S)

    @parameterized.expand([(f, *size) for f in FAULTS for size in SIZES])
    def test_verdict(self, fault, old, new):
        """Guards against false verdicts, late ones and too many exposed requests."""
        state, counts, _ = simulate(fault, old, new, 2)
        self.check(fault, state, counts)

    @parameterized.expand([(s, f) for s in SCRIPTS for f in ("good", "bad late")])
    def test_disturbed(self, script, fault):
        """Guards against bounds that hold only while daemons and store live."""
        state, counts, _ = simulate(fault, 14, 6, 1, script=script, callers=20)
        extension = MAX_EXTENSION_S if "store" in script else 0.0
        self.check(fault, state, counts, extension=extension)

    @parameterized.expand(
        [
            ({"old_fault": fail_one_old},),
            ({"load": 0.95},),
            ({"appear_after": 5.0},),
            ({"callers": 192, "rate": 30.0},),
        ]
    )
    def test_no_evidence_against_the_version(self, options):
        """Guards against blaming a version for its surroundings, or for their lack."""
        for fault in ("good", "bad"):
            state, counts, _ = simulate(fault, 6, 2, 1, **options)
            self.check(fault, state, counts)

    def run_script(self, script, *, old=6, new=2):
        fleet = RolloutFleet(old=old, new=new, fault=FAULTS["good"], seed=1)
        run_virtual(fleet.run(script=script), fleet.clock)
        return fleet

    def test_removed_order(self):
        """Guards against a share or a decision without an order."""

        async def remove(fleet):
            await asyncio.sleep(4.0)
            fleet.remove_order()
            await asyncio.sleep(2.1)
            fleet.counts.exposed = 0

        fleet = self.run_script(remove)
        self.assertEqual("running", fleet.state)
        self.assertEqual(0, fleet.counts.exposed)

    def test_second_order(self):
        """Guards against evidence and decisions that outlive their order."""

        async def order_again(fleet):
            await asyncio.sleep(4.0)
            await fleet.order(DURATION_S, target="v3")
            for _ in range(2):
                fleet.add_host("v3")

        fleet = self.run_script(order_again)
        self.assertEqual("completed", fleet.state)
        self.assertEqual({"v3"}, self.list_versions(fleet))

    def list_versions(self, fleet):
        """Return the versions to which any daemon sends first attempts."""
        return {
            destination.version
            for host in fleet.hosts.values()
            for destination in host.versions.list_choices(
                SERVICE, "r", is_first=True, repeatable=True
            )[0]
        }

    def test_no_calls_without_an_order(self):
        """Guards against store calls and frames in deployments without roll-outs."""

        async def run(fleet):
            for version in (OLD, OLD, ""):
                fleet.add_host(version)
            fleet.start_traffic()
            await asyncio.sleep(20.0)
            self.assertEqual((0, 0), (fleet.store.calls, fleet.notices))
            # A daemon that does not know which version was there first reads once.
            fleet.add_host(NEW)
            await asyncio.sleep(20.0)
            self.assertEqual((1, 0), (fleet.store.calls, fleet.notices))

        fleet = RolloutFleet(old=2, new=0, fault=FAULTS["good"], seed=1)
        run_virtual(run(fleet), fleet.clock)
        self.assertEqual({OLD}, self.list_versions(fleet))
