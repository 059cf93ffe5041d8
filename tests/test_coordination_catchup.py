"""Tests of when a daemon may serve after a start or after a process freeze."""

import asyncio
import unittest

from parameterized import parameterized

from almondrouter.protocol.control import ConfigurationRequest
from almondrouter.state.changes import Change
from almondrouter.state.targets import ServiceTarget
from simulation.fleet import SimulatedFleet
from simulation.loop import run_virtual

CHANGE = Change(set_services={"accounts": ServiceTarget()})
# Allows for a round of requests with their timeouts and the delays between rounds.
SETTLING_TIME_S = 15


async def start_fleet(sizes, versions=2):
    """Start a fleet in which all hosts are ready and have the newest version."""
    fleet = SimulatedFleet(sizes)
    for _ in range(versions):
        fleet.store.accept(CHANGE)
    await fleet.start()
    # Long enough for membership to settle too.
    await asyncio.sleep(6)
    assert not fleet.list_unready()
    return fleet


async def restart(fleet, prefix, suffix=""):
    """Kill all hosts with matching names, then start them all together."""
    names = [n for n in fleet.hosts if n.startswith(prefix) and n.endswith(suffix)]
    chosen = [fleet.hosts[name] for name in names]
    await asyncio.gather(*(host.kill() for host in chosen))
    await asyncio.gather(*(host.start() for host in chosen))
    return chosen


class StartTest(unittest.TestCase):
    """A restarted daemon must not serve with an older version than before."""

    @parameterized.expand(
        [
            # Peers provide the version while the store is down.
            ("one of five", {"n-1": 5}, "n-1-0", True, "", 2),
            ("several", {"n-1": 3, "n-2": 3}, ("n-1-0", "n-2-0", "n-2-1"), True, "", 2),
            # A data centre whose hosts all restarted gets it from the other one.
            ("data centre", {"n-1": 3, "n-2": 3}, "n-1", True, "", 2),
            # Empty heads of members that restarted together must not count.
            ("all", {"n-1": 3, "n-2": 3}, "n", True, "no member of its data", 0),
            ("all, store up", {"n-1": 3, "n-2": 3}, "n", False, "", 2),
            ("alone", {"n-1": 1}, "n", True, "knows no other member", 0),
            ("alone, store up", {"n-1": 1}, "n", False, "", 2),
        ]
    )
    def test_restart(self, _name, sizes, prefix, store_down, reason, version):
        async def scenario():
            fleet = await start_fleet(sizes)
            fleet.store.down = store_down
            for host in await restart(fleet, prefix):
                self.assertFalse(host.distribution.ready)
            await asyncio.sleep(SETTLING_TIME_S)
            for host in fleet.hosts.values():
                self.assertEqual(host.distribution.ready, not reason)
                self.assertIn(reason, host.distribution.not_ready_reason)
                self.assertEqual(host.activation.head().version, version)
            fleet.store.down = False
            await asyncio.sleep(SETTLING_TIME_S)
            self.assertEqual(fleet.list_unready() + fleet.list_behind(), [])
            await fleet.close()

        run_virtual(scenario)

    def test_minority_that_is_behind_does_not_confirm(self):
        """Guards against serving with an old version after a network partition."""

        async def scenario():
            fleet = await start_fleet({"n-1": 6})
            fleet.store.down = True
            restarted = fleet.hosts["n-1-0"]
            behind, newer = ("n-1-1", "n-1-2"), ("n-1-3", "n-1-4", "n-1-5")
            fleet.network.cuts |= {(a, b) for a in newer for b in (*behind, "n-1-0")}
            after = fleet.store.accept(CHANGE)
            for host in newer:
                fleet.hosts[host].activation.activate(after, digest=after.digest())
            await restart(fleet, "n-1-0")
            # The unreachable members appear only in the peers' member lists.
            for host in newer:
                restarted.registry.remove(host)
            await asyncio.sleep(3.5)
            self.assertFalse(restarted.distribution.ready)
            self.assertIn("2 of 5 members", restarted.distribution.not_ready_reason)
            restarted.merge([host.record for host in fleet.hosts.values()])
            fleet.network.cuts.clear()
            await asyncio.sleep(SETTLING_TIME_S)
            self.assertTrue(restarted.distribution.ready)
            self.assertEqual(restarted.activation.head().version, 3)
            await fleet.close()

        run_virtual(scenario)

    def test_bad_document_in_the_store_confirms_nothing(self):
        async def scenario():
            fleet = SimulatedFleet({"n-1": 2})
            fleet.store.put("/almondrouter/test/configuration", b'{"kind": "Pod"}')
            await fleet.start()
            await asyncio.sleep(SETTLING_TIME_S)
            self.assertEqual(len(fleet.list_unready()), 2)
            fleet.store.accept(CHANGE)
            await asyncio.sleep(SETTLING_TIME_S)
            self.assertEqual(fleet.list_unready() + fleet.list_behind(), [])
            await fleet.close()

        run_virtual(scenario)

    def test_restarted_daemons_query_peers_instead_of_the_store(self):
        """Guards against store calls that grow with the number of restarts."""

        async def scenario(size):
            fleet = await start_fleet({"n-1": size, "n-2": size})
            fleet.store.calls.clear()
            await restart(fleet, "n", ("1", "3", "5", "7"))
            await asyncio.sleep(SETTLING_TIME_S)
            self.assertEqual(fleet.list_unready() + fleet.list_behind(), [])
            calls.append(fleet.store.calls["read"] + fleet.store.calls["watch"])
            await fleet.close()

        calls = []
        run_virtual(lambda: scenario(8))
        run_virtual(lambda: scenario(24))
        # Four candidates in each of two data centres, each with a read and a watch.
        self.assertLessEqual(max(calls), 16)


class FreezeTest(unittest.TestCase):
    """A daemon whose process was frozen must confirm its version before it serves."""

    def test_compares_heads_before_it_serves_again(self):
        async def scenario():
            fleet = await start_fleet({"n-1": 4})
            host = fleet.hosts["n-1-2"]
            fleet.store.down = True
            host.pause()
            after = fleet.store.accept(CHANGE)
            fleet.hosts["n-1-0"].activation.activate(after, digest=after.digest())
            await asyncio.sleep(8)
            fleet.network.cuts |= {("n-1", host.record.host)}
            host.resume()
            await asyncio.sleep(3)
            self.assertFalse(host.distribution.ready)
            self.assertIn("frozen", host.distribution.not_ready_reason)
            handlers = [peer.endpoint.handlers for peer in fleet.hosts.values()]
            answers = [kept.pop(ConfigurationRequest) for kept in handlers]
            fleet.network.cuts.clear()
            await asyncio.sleep(5)
            self.assertFalse(host.distribution.ready)
            self.assertIn("version 3", host.distribution.not_ready_reason)
            for kept, answer in zip(handlers, answers, strict=True):
                kept[ConfigurationRequest] = answer
            await fleet.wait_until(lambda: host.distribution.ready, SETTLING_TIME_S)
            self.assertTrue(host.distribution.ready)
            self.assertEqual(host.activation.head().version, 3)
            await fleet.close()

        run_virtual(scenario)

    def test_store_read_from_before_the_freeze_confirms_nothing(self):
        async def scenario():
            fleet = await start_fleet({"n-1": 1})
            host = fleet.hosts["n-1-0"]
            fleet.store.down = True
            host.pause()
            before = fleet.clock.monotonic()
            await asyncio.sleep(8)
            host.resume()
            await asyncio.sleep(1)
            host.distribution._catch_up.confirm_by_store(before)
            self.assertFalse(host.distribution.ready)
            fleet.store.down = False
            await asyncio.sleep(SETTLING_TIME_S)
            self.assertTrue(host.distribution.ready)
            await fleet.close()

        run_virtual(scenario)
