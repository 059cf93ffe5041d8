"""The client of the platform's key-value store against a simulated store."""

from __future__ import annotations

import asyncio
import contextlib
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
from almondrouter.state.revisions import split_era
from almondrouter.transport.store import (
    Compare,
    Delete,
    Lease,
    Put,
    Transaction,
)
from almondrouter_standins.platform_store import PlatformStoreServer, StoreFault
from almondrouterd.platform import store
from almondrouterd.platform.store import PlatformStore
from calls_support import TIMEOUT_S


class PlatformStoreTest(unittest.IsolatedAsyncioTestCase):
    """The simulated store listens on a real socket and can inject faults.

    It names no era.
    """

    async def asyncSetUp(self):
        self.server = PlatformStoreServer()
        self.server.era = 0
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


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    """The store comes back from a copy of itself, with the next era."""

    async def asyncSetUp(self):
        self.server = PlatformStoreServer()
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.restores = []
        self.store = PlatformStore(
            self.server.address,
            clock=SystemClock(),
            on_restored=lambda: self.restores.append(self.store.era),
        )
        self.addAsyncCleanup(self.store.close)
        await self.write_key("k")
        self.copy = self.server.make_copy()

    async def write_key(self, key, value=b"v", *, compares=(), lease_id=0):
        put = Put(key, value, lease_id)
        return await self.store.commit(Transaction(compares, (put,)))

    async def restore(self, *, notice=True):
        """Bring back the copy; let the client notice it by a read."""
        self.server.restore_copy(self.copy)
        if notice:
            with contextlib.suppress(AlmondError):
                await self.store.read("k")
            await self.store.read("k")
            self.server.calls.clear()

    def drop_connections(self):
        """Forget the connections that the restore has cut."""
        self.store._client.drop_idle_connections()

    async def test_condition_of_an_earlier_era_is_not_sent(self):
        """Guards against a write that replaces another one with the same number."""
        written = await self.write_key("k", b"lost")
        await self.restore()
        await self.server.put("k", b"other")
        condition = Compare("k", written.revision)
        self.assertFalse((await self.write_key("k", compares=(condition,))).succeeded)
        self.assertEqual(b"other", self.server.keys["k"])
        self.assertEqual(0, self.server.calls["kv-txn"])
        seen = (await self.store.read("k")).items[0].mod_revision
        result = await self.write_key("k", compares=(Compare("k", seen),))
        self.assertTrue(result.succeeded)

    async def test_revisions_rise_across_eras(self):
        """Guards against fencing tokens that fall although the store gives them out."""
        for _ in range(3):
            lost = await self.write_key("k")
        await self.restore()
        written = await self.write_key("k")
        self.assertLess(lost.revision, written.revision)
        self.assertLess(split_era(written.revision)[1], split_era(lost.revision)[1])

    async def test_lease_of_an_earlier_era_has_expired(self):
        """Guards against a renewal of the lease that another daemon got since."""
        lease = await self.store.grant_lease(5)
        await self.restore()
        other = await self.store.grant_lease(5)
        self.assertNotEqual(lease.lease_id, other.lease_id)
        self.server.calls.clear()
        for call in (
            self.store.keep_alive(lease),
            self.store.revoke_lease(lease),
            self.write_key("k", lease_id=lease.lease_id),
        ):
            with self.assertRaises(AlmondError) as caught:
                await call
            self.assertEqual(ErrorCode.LEASE_EXPIRED, caught.exception.code)
        self.assertEqual(0, self.server.calls.total())
        await self.store.keep_alive(other)

    @parameterized.expand([("known", True), ("told by the watch", False)])
    async def test_watch_does_not_pass_over_a_new_era(self, _, notice):
        """Guards against changes of a new era at numbers that were seen before."""
        for _ in range(3):
            position = (await self.write_key("k")).revision
        await self.restore(notice=notice)
        for _ in range(5):
            await self.server.put("k", b"new")
        if not notice:
            self.drop_connections()
        with self.assertRaises(AlmondError) as caught:
            await anext(self.store.watch("k", from_revision=position + 1))
        self.assertEqual(ErrorCode.HISTORY_COMPACTED, caught.exception.code)

    async def test_write_that_meets_a_new_era_has_no_known_outcome(self):
        """Guards against a write that counts although its condition is outdated."""
        seen = (await self.store.read("k")).items[0].mod_revision
        await self.restore(notice=False)
        self.drop_connections()
        with self.assertRaises(StoreOutcomeUnknownError):
            await self.write_key("k", compares=(Compare("k", seen),))
        self.assertEqual([2], self.restores)

    @parameterized.expand([("0",), ("1",), ("-3",), ("x",), ("3.0",), ("9999",), ("",)])
    async def test_invalid_era_is_no_reason_to_forget(self, era):
        """Guards against a wrong era that makes the daemon give up what it holds."""
        await self.restore()
        lease = await self.store.grant_lease(5)
        self.server.era = era
        with self.assertRaises(StoreOutcomeUnknownError):
            await self.store.read("k")
        self.assertEqual((2, [2]), (self.store.era, self.restores))
        self.server.era = 2
        await self.store.keep_alive(lease)

    async def test_missing_era_is_no_reason_to_forget(self):
        """Guards against a response without an era that ends what the others began."""
        self.server.era = 0
        with self.assertRaises(StoreOutcomeUnknownError):
            await self.store.read("k")
        self.assertEqual((1, []), (self.store.era, self.restores))
