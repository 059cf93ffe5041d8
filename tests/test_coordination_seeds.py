"""Tests of the seed addresses in the store."""

import asyncio
import json
import unittest

from simulation.fleet import SimulatedFleet
from simulation.loop import run_virtual
from simulation.store import KEYS


class SeedsTest(unittest.TestCase):
    """Seeds stay usable with few writes, even after the first delegate has died."""

    def test_written_only_when_most_seeds_are_gone(self):
        async def work():
            fleet = SimulatedFleet({"n-1": 12})
            await fleet.start()
            await asyncio.sleep(600)
            item = fleet.store.items[KEYS.seeds("n-1")]
            self.assertEqual(item.version, 1)
            seeds = json.loads(item.value)
            hosts = fleet.hosts.values()
            listed = [host for host in hosts if host.record.control_address in seeds]
            await listed[0].kill()
            await asyncio.sleep(300)
            self.assertEqual(fleet.store.items[KEYS.seeds("n-1")].version, 1)
            for host in listed[1:6]:
                await host.kill()
            await asyncio.sleep(60)
            item = fleet.store.items[KEYS.seeds("n-1")]
            self.assertEqual(item.version, 2)
            live = {h.record.control_address for h in fleet.hosts.values() if h.running}
            self.assertLessEqual(set(json.loads(item.value)), live)
            await fleet.close()

        run_virtual(work)

    def test_seeds_are_written_after_a_store_outage(self):
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

    def test_new_daemon_that_knows_no_host_joins_through_the_store(self):
        """Guards against a new daemon that replaces valid seeds by its own address."""

        async def work():
            fleet = SimulatedFleet({"n-1": 1})
            key = KEYS.seeds("n-1")
            stored = ["10.0.0.1:1", "10.0.0.2:1"]
            fleet.store.put(key, json.dumps(stored).encode())
            await fleet.start()
            await asyncio.sleep(20)
            new_daemon = fleet.hosts["n-1-0"]
            self.assertEqual(new_daemon.seeds, stored)
            self.assertEqual(json.loads(fleet.store.items[key].value), stored)
            await asyncio.sleep(60)
            alone = [new_daemon.record.control_address]
            self.assertEqual(json.loads(fleet.store.items[key].value), alone)
            await fleet.close()

        run_virtual(work)
