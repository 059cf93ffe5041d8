"""The client of the platform's key-value store against a simulated store."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Collection

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
    """The simulated store listens on a real socket and can inject faults."""

    async def asyncSetUp(self):
        self.server = PlatformStoreServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.store = PlatformStore(self.server.address, clock=SystemClock())
        self.addAsyncCleanup(self.store.close)

    async def write_key(self, key, value=b"v", **options):
        put = Put(key, value, **options)
        return await self.store.commit(Transaction(success=(put,)))

    async def test_reads_what_was_written(self):
        """Guards against values that are altered, and pages that are lost."""
        for place in range(7):
            await self.write_key(f"a/{place}", bytes([place, 255]))
        found = await self.store.read_prefix("a/")
        self.assertEqual(
            [(f"a/{i}", bytes([i, 255])) for i in range(7)],
            [(item.key, item.value) for item in found.items],
        )
        self.assertEqual(b"\x03\xff", (await self.store.read("a/3")).items[0].value)
        self.assertEqual((), (await self.store.read("a/9")).items)

    async def test_commit_depends_on_its_condition(self):
        """Guards against overwriting a change that the writer has not seen."""
        await self.write_key("k", b"1")
        absent = Transaction((Compare("k", 0),), (Put("k", b"2"),))
        self.assertFalse((await self.store.commit(absent)).succeeded)
        revision = (await self.store.read("k")).items[0].mod_revision
        seen = Transaction((Compare("k", revision),), (Delete("k"),))
        self.assertTrue((await self.store.commit(seen)).succeeded)
        self.assertEqual({}, self.server.keys)

    async def test_keys_expire_with_their_lease(self):
        """Guards against keys that outlive their lease, or are lost before its end."""
        lease = await self.store.grant_lease(1)
        await self.write_key("k", lease_id=lease.lease_id)
        await self.store.keep_alive(lease)
        self.assertIn("k", self.server.keys)
        await self.store.revoke_lease(lease)
        self.assertEqual({}, self.server.keys)
        for call in (
            self.store.keep_alive(lease),
            self.write_key("k", lease_id=lease.lease_id),
        ):
            with self.assertRaises(AlmondError) as caught:
                await call
            self.assertEqual(ErrorCode.LEASE_EXPIRED, caught.exception.code)

    async def test_nothing_is_kept_for_a_lease(self):
        """Guards against memory that grows with each lease over months."""

        def count_entries():
            return {
                name: len(value)
                for name, value in vars(self.store).items()
                if isinstance(value, Collection)
            }

        await self.store.revoke_lease(await self.store.grant_lease(1))
        before = count_entries()
        for _ in range(3):
            await self.store.revoke_lease(await self.store.grant_lease(1))
        self.assertEqual(before, count_entries())

    async def test_watch_continues_from_its_revision(self):
        """Guards against changes that are lost between two requests of a watch."""
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

    async def test_compacted_history_is_reported(self):
        """Guards against a watch that misses compacted changes without an error."""
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
    async def test_error_tells_whether_the_write_may_have_run(
        self, fault, error, written
    ):
        """Guards against a lost response that is reported as having had no effect."""
        self.server.fault = fault
        call = self.store._call_store
        self.store._call_store = lambda *a, **o: call(*a, **({"timeout": 0.1} | o))
        with self.assertRaises(error):
            await self.write_key("k")
        self.assertEqual(written, "k" in self.server.keys)

    async def test_malformed_response_is_an_error(self):
        """Guards against a malformed response that is taken for an empty one."""
        self.server.fault = StoreFault.MALFORMED
        for call in (
            self.store.read_prefix("a/"),
            self.store.keep_alive(Lease(1, 0.0)),
        ):
            with self.assertRaises(AlmondError) as caught:
                await call
            self.assertEqual(ErrorCode.STORE_RESPONSE_INVALID, caught.exception.code)

    async def test_broken_connection_is_replaced(self):
        """Guards against a client that cannot reconnect after a connection reset."""
        await self.write_key("a")
        self.server.cut_connections()
        with self.assertRaises(StoreOutcomeUnknownError):
            await self.write_key("b")
        await self.write_key("c")
        self.assertIn("c", self.server.keys)


class RelayFailoverTest(unittest.TestCase):
    """Another daemon of the region takes over when the store is silent to one."""

    def test_silent_store_is_detected_in_time(self):
        """Guards against late versions when two relays in turn wait for the store.

        The relay's watch times out, and then a call of the daemon that takes over.
        A change must be in force within 2.5 s, the default of ``config_apply_s``.
        """
        silent_watch = store.WATCH_WAIT_MS / 1000 + store.WATCH_SLACK_S
        self.assertLessEqual(silent_watch + store.CALL_TIMEOUT_S, 2.5)
