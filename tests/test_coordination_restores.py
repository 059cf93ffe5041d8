"""A daemon's view of a store that comes back from an older copy of itself."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest.mock import patch

from msgspec.structs import replace
from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.coordination import directory, registration
from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.registration import (
    HOSTS_PREFIX,
    HostRecords,
    Registration,
)
from almondrouter.coordination.storefeed import StoreFeed
from almondrouter.state.hosts import Departure, decode_host, encode_host
from almondrouter_standins.platform_store import PlatformStoreServer, StoreFault
from almondrouterd.platform.configuration import CONFIGURATION_KEY, decode_routes
from almondrouterd.platform.store import PlatformStore
from calls_support import wait_until
from platform_support import make_configuration
from test_coordination_directory import make_entry

OWN_KEY = HOSTS_PREFIX + "own"


class RestoreTest(unittest.IsolatedAsyncioTestCase):
    """One daemon that watches the store by itself, and its record."""

    async def asyncSetUp(self):
        self.server = PlatformStoreServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        clock = SystemClock()
        self.store = PlatformStore(
            self.server.address,
            clock=clock,
            on_restored=lambda: self.registration.handle_store_restore(),
        )
        self.addAsyncCleanup(self.store.close)
        self.routes = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        self.linked = {"living:1"}
        self.directory = HostDirectory(
            clock=clock, is_alive=lambda address: address in self.linked
        )
        self.entry = make_entry("own")
        self.registration = Registration(
            self.store,
            make_entry=lambda: self.entry,
            clock=clock,
            random=random.Random(1),
            on_contact=lambda reached: self.feed.record_contact(reached=reached),
        )
        self.records = HostRecords(
            self.directory,
            own_host="own",
            on_own_lost=self.registration.restore_record,
            on_own_seen=lambda _, revision: self.registration.note_stored_revision(
                revision
            ),
            own_revision=lambda: self.registration.stored_revision,
        )
        self.feed = StoreFeed(
            self.store,
            (self.routes, self.records),
            clock=clock,
            random=random.Random(1),
        )
        await self.put_version(5)
        for work in (self.feed.run(), self.registration.run()):
            task = asyncio.create_task(work)
            self.addCleanup(task.cancel)
        await wait_until(lambda: OWN_KEY in self.server.keys)
        await wait_until(lambda: self.routes.version == 5)

    async def put_version(self, version):
        await self.server.put(CONFIGURATION_KEY, make_configuration(version))

    async def write_other_keys(self):
        """Let the revisions rise beyond those of the era before."""
        for number in range(5):
            await self.server.put("other", bytes(number))

    async def write_record(self, **changes):
        """Change the record and wait until the store has it."""
        change = self.entry.change + 1
        self.entry = replace(self.entry, change=change, **changes)
        self.registration.update()
        await self.registration.wait_until_written()

    def read_record(self):
        value = self.server.keys.get(OWN_KEY)
        return decode_host(value) if value is not None else None

    async def test_version_at_a_number_that_was_seen_comes_into_force(self):
        """Guards against a version of a new era that a resumed watch passes over."""
        copy = self.server.make_copy()
        for version in (6, 7):
            await self.put_version(version)
        await wait_until(lambda: self.routes.version == 7)
        self.server.restore_copy(copy)
        await self.put_version(8)
        await self.write_other_keys()
        await wait_until(lambda: self.routes.version == 8)

    async def test_newest_version_stays_in_force(self):
        """Guards against a return to the configuration of the copy."""
        copy = self.server.make_copy()
        await self.put_version(6)
        await wait_until(lambda: self.routes.version == 6)
        self.server.restore_copy(copy)
        await wait_until(lambda: self.store.era == 2 and self.feed.reaches_store)
        readings = self.feed.counts["readings"]
        self.feed.request_reread()
        await wait_until(lambda: self.feed.counts["readings"] > readings)
        self.assertEqual(6, self.routes.version)

    @parameterized.expand([("copy with the record", True), ("copy without it", False)])
    async def test_record_is_written_again(self, _, with_record):
        """Guards against a departure that the copy does not have.

        The copy has an older record, or none, and the lease of another daemon may have
        the id that this one had.
        """
        if not with_record:
            await self.server.remove(OWN_KEY)
        copy = self.server.make_copy()
        await self.write_record(departure=Departure("b1", 1))
        self.server.restore_copy(copy)
        await wait_until(lambda: self.read_record() == self.entry)
        lease_id = self.server.find_lease(OWN_KEY)
        self.assertNotIn(lease_id, copy.leases)

    async def test_restore_that_a_peer_tells_of_is_looked_for_at_once(self):
        """Guards against a record that is missing until the next renewal."""
        self.feed.set_watching(False)
        copy = self.server.make_copy()
        await self.write_record(departure=Departure("b1", 1))
        self.server.restore_copy(copy)
        with patch.object(registration, "RENEWAL_INTERVAL_S", 1000.0):
            self.registration.check_lease()
            await wait_until(lambda: self.read_record() == self.entry)

    async def test_departure_during_the_absence_is_written_in_the_new_era(self):
        """Guards against an acknowledgement by a write that the copy undoes."""
        copy = self.server.make_copy()
        self.server.fault = StoreFault.UNAVAILABLE
        await wait_until(lambda: not self.feed.reaches_store)
        writing = asyncio.create_task(self.write_record(departure=Departure("b1", 1)))
        self.server.restore_copy(copy)
        self.server.fault = StoreFault.NONE
        await writing
        self.assertEqual(2, self.server.era)
        self.assertEqual(self.entry, self.read_record())

    async def test_two_restores_in_a_row(self):
        """Guards against a daemon that recovers from the first one only."""
        copies = [self.server.make_copy()]
        await self.put_version(6)
        copies.append(self.server.make_copy())
        await self.put_version(7)
        await wait_until(lambda: self.routes.version == 7)
        for copy in reversed(copies):
            self.server.restore_copy(copy)
        await self.put_version(9)
        await self.write_other_keys()
        await wait_until(lambda: self.routes.version == 9)
        await wait_until(lambda: self.read_record() == self.entry)
        self.assertEqual(3, self.store.era)

    async def test_linked_host_that_the_copy_lacks_is_kept(self):
        """Guards against hosts that are forgotten although they are reached."""
        copy = self.server.make_copy()
        for host in ("living", "silent"):
            await self.server.put(HOSTS_PREFIX + host, encode_host(make_entry(host)))
        self.feed.request_changes()
        await wait_until(lambda: len(self.directory.entries) == 3)
        self.server.restore_copy(copy)
        self.feed.request_changes()

        def list_hosts():
            self.directory.expire()
            return {entry.host for entry in self.directory.entries}

        with patch.object(directory, "LOST_RECORD_GRACE_S", 0.1):
            await wait_until(lambda: "silent" not in list_hosts())
        self.assertIn("living", list_hosts())
