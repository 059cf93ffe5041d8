"""Tests of pulling configurations from peers and of the replies to pulls."""

import asyncio
import unittest

from parameterized import parameterized

from almondrouter.coordination.alarms import Alarm
from almondrouter.coordination.watchers import WatcherSpread
from almondrouter.protocol.control import (
    Announcement,
    ConfigurationReply,
    ConfigurationRequest,
    Head,
)
from almondrouter.state.changes import Change, ChangeRecord
from almondrouter.state.targets import ServiceTarget
from simulation.fleet import SimulatedFleet
from simulation.loop import run_virtual

CHANGE = Change(set_services={"accounts": ServiceTarget()})


async def start_fleet(sizes, spread=WatcherSpread.ECONOMICAL):
    """Return a fleet at version 1."""
    fleet = SimulatedFleet(sizes, spread=spread)
    fleet.store.accept(CHANGE)
    await fleet.start()
    await asyncio.sleep(6)
    return fleet


class PullsTest(unittest.TestCase):
    """A version is pulled once, and an invalid one is not pulled over and over."""

    def test_one_pull_for_each_daemon(self):
        """Guards against one pull for each neighbour that announces a version."""

        async def scenario():
            fleet = await start_fleet({"n-1": 12, "n-2": 12})
            fleet.network.duplicates = 0.5
            pulls = sum(h.distribution._puller.pulls for h in fleet.hosts.values())
            fleet.store.accept(CHANGE)
            await asyncio.sleep(3)
            self.assertEqual(fleet.list_behind(), [])
            pulls -= sum(h.distribution._puller.pulls for h in fleet.hosts.values())
            self.assertLessEqual(-pulls, len(fleet.hosts))
            await fleet.close()

        run_virtual(scenario)

    @parameterized.expand([(spread.value, spread) for spread in WatcherSpread])
    def test_one_copy_crosses_to_a_region_without_the_store(self, _name, spread):
        """Guards against a copy for each daemon over the links between regions."""

        async def scenario():
            fleet = await start_fleet({"n-1": 4, "n-2": 4, "s-1": 4, "s-2": 4}, spread)
            for host in fleet.hosts.values():
                host.store.reachable = host.record.region == "n"
            await asyncio.sleep(20)
            copies = []
            deliver = fleet.network.deliver

            async def count(sender, receiver, message):
                crosses_regions = sender.record.region != receiver.record.region
                if crosses_regions and isinstance(message, ConfigurationReply):
                    copies.append(message)
                return await deliver(sender, receiver, message)

            fleet.network.deliver = count
            fleet.store.accept(CHANGE)
            await asyncio.sleep(3)
            self.assertEqual(fleet.list_behind(), [])
            self.assertEqual(len(copies), 1)
            self.assertEqual(len(copies[0].records), 1)
            await fleet.close()

        run_virtual(scenario)

    def test_document_is_sent_if_the_records_are_not_retained(self):
        async def scenario():
            fleet = await start_fleet({"n-1": 2})
            one, other = fleet.hosts.values()
            self.assertIsNone(one.activation.find_records(Head(0, "")))
            fleet.network.cuts |= {("n-1", "n-1")}
            other.store.reachable = one.store.reachable = False
            for _ in range(3):
                after = fleet.store.accept(CHANGE)
            one.activation.activate(after, digest=after.digest())
            fleet.network.cuts.clear()
            await asyncio.sleep(3)
            self.assertEqual(other.activation.head().version, 4)
            await fleet.close()

        run_virtual(scenario)

    def test_invalid_reply_is_refused_and_not_requested_again_at_once(self):
        """Guards against transferring an invalid document at each heartbeat."""

        async def scenario():
            fleet = await start_fleet({"n-1": 2})
            one, other = fleet.hosts.values()
            head = Head(9, "0" * 32)
            requested_heads = []

            async def answer(message, _sender):
                requested_heads.append(message.head)
                return ConfigurationReply(head, document=one.activation.document())

            one.endpoint.handlers[ConfigurationRequest] = answer
            for _ in range(20):
                one.endpoint.send(
                    other.record.control_address, Announcement(one.record.host, head)
                )
                await asyncio.sleep(1)
            self.assertEqual(len(requested_heads), 1)
            self.assertEqual(other.activation.head().version, 1)
            self.assertEqual(other.activation.refusals.total(), 1)
            await fleet.close()

        run_virtual(scenario)

    def test_document_is_requested_if_a_record_is_invalid(self):
        async def scenario():
            fleet = await start_fleet({"n-1": 2})
            one, other = fleet.hosts.values()
            other.store.reachable = one.store.reachable = False
            after = fleet.store.accept(CHANGE)
            record = ChangeRecord(2, "c2", "ann", "", 0, CHANGE, "0" * 32)
            digest = after.digest()
            one.activation.activate(after, digest=digest, records=[record])
            await asyncio.sleep(3)
            self.assertEqual(other.activation.head().version, 2)
            await fleet.close()

        run_virtual(scenario)

    def test_divergence_raises_an_alarm_while_it_lasts(self):
        async def scenario():
            fleet = await start_fleet({"n-1": 2})
            one, other = fleet.hosts.values()
            diverged = Announcement(one.record.host, Head(1, "0" * 32))
            one.heartbeats.cancel()
            other.heartbeats.cancel()
            one.endpoint.send(other.record.control_address, diverged)
            await asyncio.sleep(1)
            self.assertEqual(list(other.distribution.alarms), [Alarm.VERSION_DIVERGED])
            fleet.store.accept(CHANGE)
            await asyncio.sleep(3)
            self.assertEqual(other.distribution.alarms, {})
            await fleet.close()

        run_virtual(scenario)
