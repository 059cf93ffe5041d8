"""Store feed: outages, compacted history, and polling instead of watching."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest.mock import patch

from msgspec.structs import replace
from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.coordination import directory, storefeed
from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.registration import (
    HOSTS_PREFIX,
    HostRecords,
    Registration,
)
from almondrouter.coordination.rollouts.orders import OrderBook
from almondrouter.coordination.storefeed import StoreFeed, find_common_prefix
from almondrouter.state.hosts import Departure, ServingState, decode_host, encode_host
from almondrouter.state.rollouts import RolloutOrder
from almondrouter_standins.platform_store import PlatformStoreServer, StoreFault
from almondrouterd.platform.configuration import CONFIGURATION_KEY, decode_routes
from almondrouterd.platform.rollouts import ORDERS_PREFIX
from almondrouterd.platform.store import PlatformStore
from calls_support import wait_until
from platform_support import make_configuration
from test_coordination_directory import make_entry
from test_state_hosts import ODD_RECORDS

OUTAGE_S = 0.3


class StoreFeedTest(unittest.IsolatedAsyncioTestCase):
    """A store feed and a registration connected to a store stand-in over sockets."""

    async def asyncSetUp(self):
        self.server = PlatformStoreServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        clock = SystemClock()
        self.store = PlatformStore(self.server.address, clock=clock)
        self.addAsyncCleanup(self.store.close)
        self.activations = 0
        self.routes = ActiveRoutes(
            CONFIGURATION_KEY, decode_routes, on_activated=self.count_activation
        )
        self.directory = HostDirectory(clock=clock, is_alive=lambda _: False)
        self.entry = make_entry("own")
        self.registration = Registration(
            self.store,
            make_entry=lambda: self.entry,
            clock=clock,
            random=random.Random(1),
            on_contact=lambda reached: self.feed.record_contact(reached=reached),
            on_registered=lambda: self.feed.request_changes(),
            on_replaced=lambda entry: self.replaced.append(entry),
        )
        self.replaced = []
        records = HostRecords(
            self.directory,
            own_host="own",
            on_own_lost=self.registration.restore_record,
            own_revision=lambda: self.registration.stored_revision,
        )
        self.connection_states = []
        self.feed = self.make_feed(records)
        for work in (self.feed.run(), self.registration.run()):
            task = asyncio.create_task(work)
            self.addCleanup(task.cancel)

    def make_feed(self, records, *, poll_for=0.0, first_read_may_be_stale=False):
        clock = SystemClock()
        return StoreFeed(
            self.store,
            (self.routes, records),
            clock=clock,
            random=random.Random(1),
            on_connection_changed=lambda: self.connection_states.append(
                self.feed.reaches_store
            ),
            poll_until=clock.monotonic() + poll_for,
            first_read_may_be_stale=first_read_may_be_stale,
        )

    def count_activation(self):
        self.activations += 1

    async def put_version(self, version):
        await self.server.put(CONFIGURATION_KEY, make_configuration(version))

    async def wait_for_version(self, version):
        await wait_until(lambda: self.routes.version == version)

    async def test_changes_come_into_force(self):
        """Guards against missed changes of the configuration and of host records."""
        await self.put_version(3)
        await self.wait_for_version(3)
        await self.put_version(9)
        await self.wait_for_version(9)
        other = make_entry("h1")
        await self.server.put(HOSTS_PREFIX + "h1", encode_host(other))
        await wait_until(lambda: len(self.directory.find_destinations("s")) == 2)

    @parameterized.expand(
        [
            ("older", make_configuration(4)),
            ("unreadable", b"{"),
            ("contradictory", make_configuration(8, services=[])),
        ]
    )
    async def test_older_or_invalid_configuration_is_not_activated(self, _, value):
        """Guards against activating an older or invalid configuration."""
        await self.put_version(5)
        await self.wait_for_version(5)
        self.routes.activate(value)
        self.assertEqual((5, 1), (self.routes.version, self.activations))
        await self.put_version(6)
        await self.wait_for_version(6)

    @parameterized.expand(
        [(StoreFault.UNAVAILABLE,), (StoreFault.RATE_LIMITED,), (StoreFault.MALFORMED,)]
    )
    async def test_changes_during_an_outage_are_read(self, fault):
        """Guards against missing the changes that were made during a store outage."""
        await self.put_version(1)
        await self.wait_for_version(1)
        # The callback is called after all keys are read, so after the activation.
        await wait_until(lambda: self.connection_states == [True])
        self.server.fault = fault
        self.server.cut_connections()
        await wait_until(lambda: not self.feed.reaches_store)
        await self.put_version(2)
        self.server.fault = StoreFault.NONE
        await self.wait_for_version(2)
        await wait_until(lambda: len(self.connection_states) >= 3)
        self.assertEqual([True, False, True], self.connection_states)

    async def test_compacted_history_causes_a_full_read(self):
        """Guards against missing changes that the store compacted during an outage."""
        await self.put_version(1)
        await self.wait_for_version(1)
        self.server.fault = StoreFault.UNAVAILABLE
        self.server.cut_connections()
        await wait_until(lambda: not self.feed.reaches_store)
        await self.put_version(2)
        await self.server.forget_history()
        self.server.fault = StoreFault.NONE
        await self.wait_for_version(2)

    async def test_compacted_history_is_no_outage(self):
        """Guards against an outage that is reported while the store responds."""
        await wait_until(lambda: self.connection_states == [True])
        with patch.object(storefeed, "COALESCING_DELAY_S", 1.0):
            await self.put_version(1)
            await self.wait_for_version(1)
            # The feed waits before it watches again, so it misses the compaction.
            await self.put_version(2)
            self.server.compact_history()
            await self.wait_for_version(2)
        self.assertEqual(1, self.feed.counts["history_compacted"])
        self.assertEqual([True], self.connection_states)

    @parameterized.expand([("record", False), ("lease", True)])
    async def test_lost_record_is_written_again(self, _, with_lease):
        """Guards against a live host that stays unknown after its lease expired."""
        key = HOSTS_PREFIX + "own"
        await wait_until(lambda: key in self.server.keys)
        await wait_until(lambda: "own" in {e.host for e in self.directory.entries})
        if with_lease:
            (lease_id,) = self.server._leases
            await self.server._end_lease(lease_id)
        else:
            await self.server.remove(key)
        self.assertNotIn(key, self.server.keys)
        await wait_until(lambda: key in self.server.keys)

    async def test_changes_of_host_records_are_not_watched(self):
        """Guards against calls of the store that grow with the number of hosts.

        Each change of a watched key costs a call of every daemon that watches.
        """
        await self.put_version(1)
        await self.wait_for_version(1)
        await wait_until(lambda: self.feed.counts["change_readings"])
        await asyncio.sleep(0.05)
        before = self.server.calls["kv-watch"]
        for change in range(20):
            entry = encode_host(make_entry("h1", change=change))
            await self.server.put(HOSTS_PREFIX + "h1", entry)
            await asyncio.sleep(0.02)
        self.assertLessEqual(self.server.calls["kv-watch"], before + 1)

    @parameterized.expand([("few", 10, 12.0), ("many", 200, 50.0)])
    async def test_polled_keys_are_bounded(self, _, hosts, interval):
        """Guards against reads whose bytes grow with the square of the hosts."""
        await wait_until(self.feed.loaded.is_set)
        for number in range(hosts):
            entry = encode_host(make_entry(f"h{number}"))
            await self.server.put(f"{HOSTS_PREFIX}h{number}", entry)
        await self.feed._read_prefixes(self.feed._subscribers, stale=True)
        wait = self.feed._poll_at - SystemClock().monotonic()
        self.assertLess(interval * 0.75, wait)
        self.assertLess(wait, interval * 1.25)

    async def test_renewals_show_whether_the_store_responds(self):
        """Guards against a relay that has lost the store without noticing it.

        A daemon that does not watch reads the store too rarely for that.
        """
        await wait_until(lambda: HOSTS_PREFIX + "own" in self.server.keys)
        self.feed.set_watching(False)
        await asyncio.sleep(0.1)
        self.server.fault = StoreFault.UNAVAILABLE
        await wait_until(lambda: not self.feed.reaches_store)
        self.server.fault = StoreFault.NONE
        await wait_until(lambda: self.feed.reaches_store)

    async def test_write_of_a_changed_record_can_be_awaited(self):
        """Guards against acknowledging a state that a power loss would undo."""
        key = HOSTS_PREFIX + "own"
        await wait_until(lambda: key in self.server.keys)
        self.entry = make_entry("own", change=1, state=ServingState.LEAVING)
        self.registration.update()
        async with asyncio.timeout(5):
            await self.registration.wait_until_written()
        self.assertEqual(encode_host(self.entry), self.server.keys[key])

    async def lose_write(self, fault):
        """Let the store give no answer to one write of the record."""
        self.server.fault, self.server.faulty_calls = fault, {"kv-txn"}
        calls = self.server.calls["kv-txn"]
        self.entry = replace(self.entry, change=self.entry.change + 1)
        self.registration.update()
        await wait_until(lambda: self.server.calls["kv-txn"] > calls)
        self.server.fault = StoreFault.NONE

    async def wait_until_written(self):
        self.registration.update()
        await self.registration.wait_until_written()

    @parameterized.expand([("first write", False), ("later write", True)])
    async def test_late_write_does_not_replace_a_later_one(self, _, later):
        """Guards against a departure that an earlier write of the record undoes."""
        if later:
            await self.wait_until_written()
        await self.lose_write(StoreFault.LATE)
        left = Departure("b1", 1)
        change = self.entry.change + 1
        self.entry = replace(self.entry, change=change, departure=left)
        await self.wait_until_written()
        self.assertEqual(1, len(self.server.late_calls))
        await self.server.execute_late_calls()
        self.assertEqual(self.entry, self.read_stored_record())

    async def test_write_whose_answer_was_lost_is_recognized(self):
        """Guards against a record that is not written again after a lost answer."""
        await self.lose_write(StoreFault.RESPONSE_LOST)
        await self.wait_until_written()
        self.assertEqual(self.entry, self.read_stored_record())
        self.assertEqual(2, self.server.calls["kv-txn"])

    async def test_record_of_an_earlier_daemon_is_read_before_it_is_replaced(self):
        """Guards against a departure that a restarted daemon overwrites unread."""
        left = Departure("b1", 1)
        earlier = replace(self.entry, incarnation=0, departure=left)
        await self.server.put(HOSTS_PREFIX + "own", encode_host(earlier))
        self.server.faulty_calls = {"kv-range"}
        self.server.fault = StoreFault.NO_RESPONSE
        await self.wait_until_written()
        self.assertEqual([earlier], self.replaced)
        self.assertEqual(self.entry, self.read_stored_record())

    def read_stored_record(self):
        return decode_host(self.server.keys[HOSTS_PREFIX + "own"])

    async def test_invalid_records_do_not_hide_the_others(self):
        """Guards against one invalid record that prevents reading the others."""
        await self.server.put(HOSTS_PREFIX + "bad", b"\xff")
        await self.server.put(HOSTS_PREFIX + "misplaced", encode_host(make_entry("h9")))
        await self.server.put(HOSTS_PREFIX + "h1", encode_host(make_entry("h1")))
        await wait_until(lambda: len(self.directory) == 2)
        names = {entry.host for entry in self.directory.entries}
        self.assertEqual({"own", "h1"}, names)

    @parameterized.expand(ODD_RECORDS)
    async def test_odd_record_does_not_end_the_feed(self, _, data):
        """Guards against versions that never come into force, and hosts unknown."""
        self.feed.set_watching(True)
        await self.server.put(HOSTS_PREFIX + "h0", data)
        await self.server.put(HOSTS_PREFIX + "h1", encode_host(make_entry("h1")))
        await self.feed._read_prefixes(self.feed._subscribers, stale=False)
        await self.put_version(3)
        await self.wait_for_version(3)
        self.assertIn("h1", {entry.host for entry in self.directory.entries})
        self.assertNotIn("h0", {entry.host for entry in self.directory.entries})

    async def test_polling_daemon_reads_nothing_until_asked(self):
        """Guards against a store load that grows with the number of daemons."""
        await self.put_version(1)
        await self.wait_for_version(1)
        await wait_until(lambda: self.feed.counts["change_readings"])
        self.feed.set_watching(False)
        await asyncio.sleep(0.1)
        watches = self.server.calls["kv-watch"]
        await self.put_version(2)
        await asyncio.sleep(0.1)
        self.assertEqual(1, self.routes.version)
        self.feed.request_reread()
        await self.wait_for_version(2)
        self.assertEqual(watches, self.server.calls["kv-watch"])
        self.feed.set_watching(True)
        await self.put_version(3)
        await self.wait_for_version(3)

    async def test_new_daemon_polls_stale_data_before_it_watches(self):
        """Guards against many new daemons that all watch the store at once."""
        await self.put_version(1)
        await self.wait_for_version(1)
        await wait_until(lambda: self.feed.counts["change_readings"])
        self.feed.set_watching(False)
        await asyncio.sleep(0.1)
        self.server.calls.clear()
        self.server.stale_reads = 0
        records = HostRecords(
            self.directory,
            own_host="own",
            on_own_lost=self.fail,
        )
        feed = self.make_feed(records, poll_for=0.3, first_read_may_be_stale=True)
        await self.run_until_loaded(feed)
        feed.set_watching(True)
        self.assertFalse(feed.watching)
        self.assertEqual(self.server.calls["kv-range"], self.server.stale_reads)
        await asyncio.sleep(0.3)
        feed.set_watching(True)
        await wait_until(lambda: self.server.calls["kv-watch"])
        self.assertGreater(self.server.calls["kv-range"], self.server.stale_reads)

    async def start_feed(self, *, poll_for=60.0):
        """Run the feed of another new daemon until it has read all keys."""
        found = HostDirectory(clock=SystemClock(), is_alive=lambda _: True)
        records = HostRecords(
            found,
            own_host="new",
            on_own_lost=lambda: None,
        )
        feed = self.make_feed(records, poll_for=poll_for, first_read_may_be_stale=True)
        await self.run_until_loaded(feed)
        return feed, found

    async def test_new_daemon_reads_only_what_is_new(self):
        """Guards against full reads by each new daemon, which cost more than the rest.

        Hosts that wrote their records after its first read are found all the same.
        """
        await self.put_version(1)
        await wait_until(lambda: self.feed.counts["change_readings"])
        feed, found = await self.start_feed()
        reads = self.server.calls["kv-range"]
        await asyncio.sleep(2 * storefeed.STARTUP_POLL_INTERVAL_S)
        await self.server.put(HOSTS_PREFIX + "h1", encode_host(make_entry("h1")))
        feed.request_changes()
        await wait_until(lambda: len(found) == 2)
        self.assertEqual(reads, self.server.calls["kv-range"])
        self.assertEqual(1, feed.counts["change_readings"])

    async def test_poll_without_a_call_does_not_show_that_the_store_responds(self):
        """Guards against a store that counts as reachable because nobody asked it."""
        await self.put_version(1)
        await wait_until(lambda: self.feed.counts["change_readings"])
        feed, _ = await self.start_feed()
        feed.record_contact(reached=False)
        await asyncio.sleep(1.5 * storefeed.STARTUP_POLL_INTERVAL_S)
        self.assertFalse(feed.reaches_store)

    async def test_changes_are_read_after_an_outage(self):
        """Guards against hosts that are found 12 s late for one failed call."""
        feed, found = await self.start_feed()
        await self.server.put(HOSTS_PREFIX + "h1", encode_host(make_entry("h1")))
        self.server.fault = StoreFault.UNAVAILABLE
        feed.request_changes()
        await wait_until(lambda: not feed.reaches_store)
        self.server.fault = StoreFault.NONE
        await wait_until(lambda: any(e.host == "h1" for e in found.entries))

    async def test_new_daemon_reads_all_if_the_history_is_gone(self):
        """Guards against hosts that are never found after a compaction."""
        feed, found = await self.start_feed()
        await self.server.put(HOSTS_PREFIX + "h1", encode_host(make_entry("h1")))
        self.server.compact_history()
        feed.request_changes()
        await wait_until(lambda: any(e.host == "h1" for e in found.entries))

    async def test_new_daemon_polls_for_the_first_configuration(self):
        """Guards against a fleet that starts before its configuration exists."""
        self.routes = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        await self.start_feed()
        await self.put_version(1)
        await self.wait_for_version(1)

    async def run_until_loaded(self, feed):
        task = asyncio.create_task(feed.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await feed.loaded.wait()

    @parameterized.expand(
        [("restart", False, 2, "leaving"), ("first start", True, 1, "ready")]
    )
    async def test_first_read_of_a_restarted_daemon_is_current(
        self, _, first_start, version, state
    ):
        """Guards against an older state after a restart of the daemon or of all.

        A version was acknowledged and a backend server left just before; peers that
        restart at the same time cannot tell of it.
        """
        key = HOSTS_PREFIX + "own"
        await wait_until(lambda: key in self.server.keys)
        await self.put_version(1)
        self.server.freeze_stale_reads()
        await self.put_version(2)
        leaving = make_entry("own", change=2, state=ServingState.LEAVING)
        await self.server.put(key, encode_host(leaving))
        self.routes = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        seen = []
        records = HostRecords(
            HostDirectory(clock=SystemClock(), is_alive=lambda _: False),
            own_host="own",
            on_own_lost=self.fail,
            on_own_seen=lambda entry, _: seen.append(entry),
        )
        feed = self.make_feed(
            records, poll_for=60.0, first_read_may_be_stale=first_start
        )
        await self.run_until_loaded(feed)
        self.assertEqual(version, self.routes.version)
        self.assertEqual([state], [entry.backend.state.value for entry in seen])

    async def test_stale_read_does_not_report_the_own_record_lost(self):
        """Guards against rewriting the own record after each outdated read."""
        losses = []
        records = HostRecords(
            self.directory,
            own_host="own",
            on_own_lost=lambda: losses.append(1),
            own_revision=lambda: 7,
        )
        self.directory.put(self.entry)
        with patch.object(directory, "LOST_RECORD_GRACE_S", 0.0):
            records.load((), stale=True)
            records.load((), stale=True, revision=7)
            self.assertEqual([], losses)
            records.load((), stale=True, revision=8)
            self.assertEqual([1], losses)
            records.load(())
            self.assertEqual([1, 1], losses)
            self.directory.expire()
        hosts = {entry.host for entry in self.directory.entries}
        self.assertIn("own", hosts)

    @parameterized.expand([("not stored", True), ("none", False)])
    async def test_withdrawal_waits_for_an_outage_if_a_departure(self, _, departed):
        """Guards against a stale record from which a departed server is restored."""
        key = HOSTS_PREFIX + "own"
        await wait_until(lambda: key in self.server.keys)
        self.server.fault = StoreFault.UNAVAILABLE
        if departed:
            self.entry = make_entry("own", departure=Departure("b1", 1))
        withdrawal = asyncio.create_task(self.registration.withdraw())
        await asyncio.wait([withdrawal], timeout=OUTAGE_S)
        self.assertEqual(departed, not withdrawal.done())
        self.server.fault = StoreFault.NONE
        await withdrawal
        self.assertEqual(departed, key not in self.server.keys)

    async def test_withdrawn_record_is_gone_at_once(self):
        """Guards against calls to a stopped host until its lease expires."""
        key = HOSTS_PREFIX + "own"
        await wait_until(lambda: key in self.server.keys)
        await self.registration.withdraw()
        self.assertNotIn(key, self.server.keys)


class SharedReadTest(unittest.IsolatedAsyncioTestCase):
    """The configuration and the orders of roll-outs lie in one folder of the store."""

    async def test_orders_cost_no_call(self):
        """Guards against store calls that a deployment without roll-outs pays for."""
        server = PlatformStoreServer()
        await server.start()
        self.addAsyncCleanup(server.close)
        clock = SystemClock()
        store = PlatformStore(server.address, clock=clock)
        self.addAsyncCleanup(store.close)
        routes = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        orders = OrderBook(
            ORDERS_PREFIX,
            lambda key, value, revision: RolloutOrder("s", "v", 12.0, revision),
            clock=clock,
            on_changed=lambda service: None,
        )
        feed = StoreFeed(store, (routes, orders), clock=clock, random=random.Random(1))
        await server.put(CONFIGURATION_KEY, make_configuration(1))
        running = asyncio.create_task(feed.run())
        self.addCleanup(running.cancel)
        await wait_until(lambda: routes.version == 1 and server.calls["kv-watch"])
        self.assertEqual({"kv-range": 1, "kv-watch": 1}, server.calls)
        await server.put(ORDERS_PREFIX + "s", b"")
        await wait_until(lambda: len(orders.orders) == 1)
        await server.remove(ORDERS_PREFIX + "s")
        await wait_until(lambda: not orders.orders)


class CommonPrefixTest(unittest.TestCase):
    """The feed uses one watch, whose prefix must cover the keys of all subscribers."""

    @parameterized.expand(
        [(["op/config", "other/"], "o"), (["a/", "b/"], ""), (["a/b", "a/"], "a/")]
    )
    def test_prefix(self, prefixes, expected):
        """Guards against a watch that does not cover some of the keys."""
        self.assertEqual(expected, find_common_prefix(prefixes))
