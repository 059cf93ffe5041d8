"""Following the store: losses, forgotten history, and leaving it to a peer."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest.mock import patch

from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.coordination import directory
from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.registration import (
    HOSTS_PREFIX,
    HostRecords,
    Registration,
)
from almondrouter.coordination.storefeed import StoreFeed, find_common_prefix
from almondrouter.state.hosts import encode_host
from almondrouter_standins.platform_store import PlatformStoreServer, StoreFault
from almondrouterd.platform.configuration import CONFIGURATION_KEY, decode_routes
from almondrouterd.platform.store import PlatformStore
from calls_support import wait_until
from platform_support import make_configuration
from test_coordination_directory import make_entry


class StoreFeedTest(unittest.IsolatedAsyncioTestCase):
    """A daemon's view of a stand-in of the store, over real sockets."""

    async def asyncSetUp(self):
        self.server = PlatformStoreServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        clock = SystemClock()
        self.store = PlatformStore(self.server.address, clock=clock)
        self.addAsyncCleanup(self.store.close)
        self.changes = 0
        self.routes = ActiveRoutes(
            CONFIGURATION_KEY, decode_routes, changed=self.count_change
        )
        self.directory = HostDirectory(clock=clock, is_alive=lambda _: False)
        self.entry = make_entry("own")
        self.registration = Registration(
            self.store,
            make_entry=lambda: self.entry,
            clock=clock,
            random=random.Random(1),
        )
        records = HostRecords(
            self.directory,
            own_host="own",
            lost=self.registration.note_lost,
            seen=lambda entry: None,
        )
        self.contacts = []
        self.feed = self.make_feed(records)
        for work in (self.feed.run(), self.registration.run()):
            task = asyncio.create_task(work)
            self.addCleanup(task.cancel)

    def make_feed(self, records, *, settles_in=0.0):
        clock = SystemClock()
        return StoreFeed(
            self.store,
            (self.routes, records),
            clock=clock,
            random=random.Random(1),
            contact_changed=lambda: self.contacts.append(self.feed.reaches_store),
            settles_at=clock.monotonic() + settles_in,
        )

    def count_change(self):
        self.changes += 1

    async def put_version(self, version):
        await self.server.put(CONFIGURATION_KEY, make_configuration(version))

    async def wait_for_version(self, version):
        await wait_until(lambda: self.routes.version == version)

    async def test_changes_come_into_force(self):
        """Guards against versions and hosts that are not noticed."""
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
    async def test_what_is_in_force_stays(self, _, value):
        """Guards against a version that goes back or is applied in part."""
        await self.put_version(5)
        await self.wait_for_version(5)
        self.routes.take(value)
        self.assertEqual((5, 1), (self.routes.version, self.changes))
        await self.put_version(6)
        await self.wait_for_version(6)

    @parameterized.expand(
        [(StoreFault.UNAVAILABLE,), (StoreFault.RATE_LIMITED,), (StoreFault.MALFORMED,)]
    )
    async def test_store_returns(self, fault):
        """Guards against a daemon that stays behind after an outage."""
        await self.put_version(1)
        await self.wait_for_version(1)
        # Contact is told once all keys are read, after the routes are in force.
        await wait_until(lambda: self.contacts == [True])
        self.server.fault = fault
        self.server.cut_connections()
        await wait_until(lambda: not self.feed.reaches_store)
        await self.put_version(2)
        self.server.fault = StoreFault.NONE
        await self.wait_for_version(2)
        await wait_until(lambda: len(self.contacts) >= 3)
        self.assertEqual([True, False, True], self.contacts)

    async def test_forgotten_history_is_read_again(self):
        """Guards against changes that fall into a gap of the history."""
        await self.put_version(1)
        await self.wait_for_version(1)
        self.server.fault = StoreFault.UNAVAILABLE
        self.server.cut_connections()
        await wait_until(lambda: not self.feed.reaches_store)
        await self.put_version(2)
        await self.server.forget_history()
        self.server.fault = StoreFault.NONE
        await self.wait_for_version(2)

    async def test_lost_record_is_written_again(self):
        """Guards against a living host that stays unknown after a lapse."""
        key = HOSTS_PREFIX + "own"
        await wait_until(lambda: key in self.server.keys)
        await wait_until(lambda: "own" in {e.host for e in self.directory.entries})
        await self.server.remove(key)
        await wait_until(lambda: key in self.server.keys)

    async def test_unreadable_records_disturb_no_other(self):
        """Guards against another writer's bytes that hide all hosts."""
        await self.server.put(HOSTS_PREFIX + "bad", b"\xff")
        await self.server.put(HOSTS_PREFIX + "liar", encode_host(make_entry("h9")))
        await self.server.put(HOSTS_PREFIX + "h1", encode_host(make_entry("h1")))
        await wait_until(lambda: len(self.directory) == 2)
        names = {entry.host for entry in self.directory.entries}
        self.assertEqual({"own", "h1"}, names)

    async def test_resting_daemon_reads_nothing_until_asked(self):
        """Guards against store calls that grow with the number of daemons."""
        await self.put_version(1)
        await self.wait_for_version(1)
        self.feed.set_following(False)
        await asyncio.sleep(0.1)
        watches = self.server.calls["kv-watch"]
        await self.put_version(2)
        await asyncio.sleep(0.1)
        self.assertEqual(1, self.routes.version)
        self.feed.request_reread()
        await self.wait_for_version(2)
        self.assertEqual(watches, self.server.calls["kv-watch"])
        self.feed.set_following(True)
        await self.put_version(3)
        await self.wait_for_version(3)

    async def test_new_daemon_reads_cheaply_before_it_follows(self):
        """Guards against a herd of new daemons that each watch the store."""
        await self.put_version(1)
        await self.wait_for_version(1)
        self.feed.set_following(False)
        await asyncio.sleep(0.1)
        self.server.calls.clear()
        records = HostRecords(
            self.directory, own_host="own", lost=self.fail, seen=lambda entry: None
        )
        feed = self.make_feed(records, settles_in=0.3)
        task = asyncio.create_task(feed.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(5):
            await feed.loaded.wait()
        feed.set_following(True)
        self.assertFalse(feed.following)
        self.assertEqual(self.server.calls["kv-range"], self.server.stale_reads)
        await asyncio.sleep(0.3)
        feed.set_following(True)
        await wait_until(lambda: self.server.calls["kv-watch"])
        self.assertGreater(self.server.calls["kv-range"], self.server.stale_reads)

    async def test_stale_reading_tells_no_loss_of_the_own_record(self):
        """Guards against a record that is written again for each old reading."""
        lost = []
        records = HostRecords(
            self.directory,
            own_host="own",
            lost=lambda: lost.append(1),
            seen=lambda entry: None,
        )
        self.directory.put(self.entry)
        with patch.object(directory, "RETURN_GRACE_S", 0.0):
            records.load((), stale=True)
            self.assertEqual([], lost)
            records.load(())
            self.assertEqual([1], lost)
            self.directory.expire()
        hosts = {entry.host for entry in self.directory.entries}
        self.assertIn("own", hosts)

    async def test_withdrawn_record_is_gone_at_once(self):
        """Guards against a stopped host that is chosen until its lease ends."""
        key = HOSTS_PREFIX + "own"
        await wait_until(lambda: key in self.server.keys)
        await self.registration.withdraw()
        self.assertNotIn(key, self.server.keys)


class CommonPrefixTest(unittest.TestCase):
    """One watch has to cover all keys."""

    @parameterized.expand(
        [(["op/config", "other/"], "o"), (["a/", "b/"], ""), (["a/b", "a/"], "a/")]
    )
    def test_prefix(self, prefixes, expected):
        """Guards against keys outside the watch."""
        self.assertEqual(expected, find_common_prefix(prefixes))
