"""Tests of the broadcast of crash reports."""

import unittest
from random import Random

from almondrouter.clock import ManualClock
from almondrouter.coordination.broadcast import Broadcast
from almondrouter.coordination.quarantine import Quarantine, Suspicion
from almondrouter_standins.memory_store import CallFault
from almondrouter_standins.scripted_network import ScriptedNetwork


class BroadcastTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that missed a report must not let the request crash its servers."""

    async def asyncSetUp(self):
        self.network = ScriptedNetwork()
        self.clock = ManualClock()
        self.quarantines = {}
        self.broadcasts = {}
        for host, neighbours in (("a", ["b"]), ("b", ["c"]), ("c", ["a"])):
            quarantine = Quarantine(host=host, clock=self.clock)
            self.quarantines[host] = quarantine
            self.broadcasts[host] = Broadcast(
                endpoint=self.network.connect(host),
                quarantine=quarantine,
                push_addresses=lambda found=neighbours: found,
                clock=self.clock,
                random=Random(1),
            )

    def crash(self, host):
        """Record a crash of a daemon's backend server during a request."""
        self.quarantines[host].begin_request("backend", "f1")
        return self.quarantines[host].record_crash("backend")

    async def test_missed_report_arrives_with_the_next_exchange(self):
        self.crash("b")
        await self.broadcasts["a"].exchange_reports()
        found = self.quarantines["a"].explain("f1")
        self.assertEqual(found.suspicion, Suspicion.SUSPECT)

    async def test_exchange_transfers_condemnations_and_lifts(self):
        self.crash("b")
        self.crash("b")
        await self.broadcasts["a"].exchange_reports()
        listed = [item.fingerprint for item in self.quarantines["a"].list_condemned()]
        self.assertEqual(listed, ["f1"])
        self.quarantines["b"].lift("f1")
        await self.broadcasts["a"].exchange_reports()
        self.assertEqual(self.quarantines["a"].list_condemned(), ())

    async def test_unreachable_neighbour_is_no_error(self):
        self.crash("b")

        async def drop(_message):
            return CallFault.DROPPED

        self.network.choose_fault = drop
        await self.broadcasts["a"].exchange_reports()
        self.assertEqual(self.quarantines["a"].list_messages(), ())
