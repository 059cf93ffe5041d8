"""Tests of the addresses that newcomers find in the store."""

import asyncio
import json
import unittest

from simulation.fleet import SimulatedFleet
from simulation.loop import run_virtual
from simulation.store import KEYS


class SeedsTest(unittest.TestCase):
    """Seeds stay usable with few writes, also after the first delegate died."""

    def test_written_only_when_most_seeds_are_gone(self):
        async def work():
            fleet = SimulatedFleet({"n-1": 12})
            await fleet.start()
            await asyncio.sleep(600)
            item = fleet.store.items[KEYS.seeds("n-1")]
            self.assertEqual(item.version, 1)
            seeds = json.loads(item.value)
            hosts = fleet.hosts.values()
            gone = [host for host in hosts if host.record.control_address in seeds]
            await gone[0].kill()
            await asyncio.sleep(300)
            self.assertEqual(fleet.store.items[KEYS.seeds("n-1")].version, 1)
            for host in gone[1:6]:
                await host.kill()
            await asyncio.sleep(60)
            item = fleet.store.items[KEYS.seeds("n-1")]
            self.assertEqual(item.version, 2)
            live = {h.record.control_address for h in fleet.hosts.values() if h.running}
            self.assertLessEqual(set(json.loads(item.value)), live)
            await fleet.close()

        run_virtual(work)

    def test_store_outage_is_outlived(self):
        async def work():
            fleet = SimulatedFleet({"n-1": 2})
            fleet.store.down = True
            await fleet.start()
            await asyncio.sleep(100)
            fleet.store.down = False
            await asyncio.sleep(100)
            seeds = json.loads(fleet.store.items[KEYS.seeds("n-1")].value)
            self.assertEqual(len(seeds), 2)
            await fleet.close()

        run_virtual(work)

    def test_newcomer_that_knows_nobody_joins_through_the_store(self):
        """Guards against the loss of good seeds to a lone newcomer."""

        async def work():
            fleet = SimulatedFleet({"n-1": 1})
            key = KEYS.seeds("n-1")
            known = ["10.0.0.1:1", "10.0.0.2:1"]
            fleet.store.put(key, json.dumps(known).encode())
            await fleet.start()
            await asyncio.sleep(20)
            newcomer = fleet.hosts["n-1-0"]
            self.assertEqual(newcomer.seeds, known)
            self.assertEqual(json.loads(fleet.store.items[key].value), known)
            await asyncio.sleep(60)
            alone = [newcomer.record.control_address]
            self.assertEqual(json.loads(fleet.store.items[key].value), alone)
            await fleet.close()

        run_virtual(work)
