"""Client of the platform's key-value service against a stand-in with faults."""

from __future__ import annotations

import asyncio
import unittest

from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.errors import (
    AlmondError,
    ErrorCode,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from almondrouter.transport.store import Compare, Delete, Lease, Put, Transaction
from almondrouter_standins.platform_store import PlatformStoreServer, StoreFault
from almondrouterd.platform import store
from almondrouterd.platform.store import PlatformStore
from calls_support import TIMEOUT_S


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    """Calls go over real sockets."""

    async def asyncSetUp(self):
        self.server = PlatformStoreServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.store = PlatformStore(self.server.address, clock=SystemClock())
        self.addAsyncCleanup(self.store.close)

    async def write(self, key, value=b"v", **options):
        put = Put(key, value, **options)
        return await self.store.commit(Transaction(success=(put,)))

    async def test_reads_what_was_written(self):
        """Guards against values that change on their way, and lost pages."""
        for place in range(7):
            await self.write(f"a/{place}", bytes([place, 255]))
        found = await self.store.read_prefix("a/")
        self.assertEqual(
            [(f"a/{i}", bytes([i, 255])) for i in range(7)],
            [(item.key, item.value) for item in found.items],
        )
        self.assertEqual(b"\x03\xff", (await self.store.read("a/3")).items[0].value)
        self.assertEqual((), (await self.store.read("a/9")).items)

    async def test_condition_decides(self):
        """Guards against a write over a change that its writer has not seen."""
        await self.write("k", b"1")
        absent = Transaction((Compare("k", 0),), (Put("k", b"2"),))
        self.assertFalse((await self.store.commit(absent)).succeeded)
        revision = (await self.store.read("k")).items[0].mod_revision
        seen = Transaction((Compare("k", revision),), (Delete("k"),))
        self.assertTrue((await self.store.commit(seen)).succeeded)
        self.assertEqual({}, self.server.keys)

    async def test_lease_holds_keys(self):
        """Guards against records that outlive their daemon, or a living one's end."""
        lease = await self.store.grant_lease(1)
        await self.write("k", lease_id=lease.lease_id)
        await self.store.keep_alive(lease)
        self.assertIn("k", self.server.keys)
        await self.store.revoke_lease(lease)
        self.assertEqual({}, self.server.keys)
        for call in (
            self.store.keep_alive(lease),
            self.write("k", lease_id=lease.lease_id),
        ):
            with self.assertRaises(AlmondError) as caught:
                await call
            self.assertEqual(ErrorCode.LEASE_EXPIRED, caught.exception.code)

    async def test_watch_goes_on_from_its_revision(self):
        """Guards against changes that fall between two waits of a watch."""
        revision = (await self.store.read_prefix("a/")).revision
        batches = self.store.watch("a/", from_revision=revision + 1)
        events = []
        for place in range(3):
            await self.server.put(f"a/{place}", b"v")
            await self.server.put("b", b"v")
            async with asyncio.timeout(TIMEOUT_S):
                events += (await anext(batches)).events
        await self.server.remove("a/1")
        events += (await anext(batches)).events
        self.assertEqual(
            [("a/0", b"v"), ("a/1", b"v"), ("a/2", b"v"), ("a/1", None)],
            [(event.key, event.value) for event in events],
        )
        await batches.aclose()

    async def test_forgotten_history_is_told(self):
        """Guards against a watch that misses changes without a word."""
        revision = (await self.store.read_prefix("a/")).revision
        await self.server.put("a/1", b"v")
        await self.server.forget_history()
        with self.assertRaises(StoreOutcomeUnknownError):
            await self.store.read("a/1")
        with self.assertRaises(AlmondError) as caught:
            await anext(self.store.watch("a/", from_revision=revision + 1))
        self.assertEqual(ErrorCode.HISTORY_COMPACTED, caught.exception.code)

    @parameterized.expand(
        [
            (StoreFault.UNAVAILABLE, StoreUnavailableError, False),
            (StoreFault.RATE_LIMITED, StoreUnavailableError, False),
            (StoreFault.NO_RESPONSE, StoreOutcomeUnknownError, False),
            (StoreFault.RESPONSE_LOST, StoreOutcomeUnknownError, True),
        ]
    )
    async def test_fault_tells_whether_it_had_an_effect(self, fault, error, written):
        """Guards against a lost answer that counts as no effect."""
        self.server.fault = fault
        call = self.store._call
        self.store._call = lambda *a, **o: call(*a, **({"timeout": 0.1} | o))
        with self.assertRaises(error):
            await self.write("k")
        self.assertEqual(written, "k" in self.server.keys)

    async def test_nonsense_is_an_error(self):
        """Guards against an unreadable answer that is taken for an empty one."""
        self.server.fault = StoreFault.MALFORMED
        for call in (
            self.store.read_prefix("a/"),
            self.store.keep_alive(Lease(1, 0.0)),
        ):
            with self.assertRaises(AlmondError) as caught:
                await call
            self.assertEqual(ErrorCode.STORE_RESPONSE_INVALID, caught.exception.code)

    async def test_cut_connection_is_replaced(self):
        """Guards against a store that is lost for ever after one reset."""
        await self.write("a")
        self.server.cut_connections()
        with self.assertRaises(StoreOutcomeUnknownError):
            await self.write("b")
        await self.write("c")
        self.assertIn("c", self.server.keys)


class TakeOverTest(unittest.TestCase):
    """A machine that the store does not answer is passed over."""

    def test_silent_store_is_noticed_in_time(self):
        """Guards against versions that are late as two daemons wait one by one.

        Changes have to be in force within 2.5 s on the deployments.
        """
        silent_watch = store.WATCH_WAIT_MS / 1000 + store.WATCH_SLACK_S
        self.assertLessEqual(silent_watch + store.CALL_TIMEOUT_S, 2.5)
