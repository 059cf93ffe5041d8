"""Tests of membership on simulated fleets."""

import asyncio
import unittest

from almondrouter_standins.fleet import SimulatedFleet, lay_out
from almondrouter_standins.simulation import run_simulated

HOSTS = lay_out(data_centres=3, regions=2, hosts_each=6)


def _simulate(scenario, hosts=HOSTS):
    """Run a scenario on a fleet that has agreed; stop the fleet at its end."""

    async def main(clock):
        fleet = SimulatedFleet(clock, hosts)
        await fleet.start(hosts)
        await fleet.run_until_agreed(seconds=60)
        await asyncio.sleep(10)
        result = await scenario(fleet)
        await fleet.stop()
        return result

    return run_simulated(main)


class MembershipTest(unittest.TestCase):
    """Each daemon must know which others live, whatever fails."""

    def test_fleet_that_starts_together_agrees(self):
        async def scenario(fleet):
            return fleet.agrees()

        self.assertTrue(_simulate(scenario))
