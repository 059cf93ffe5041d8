"""Contract tests of the etcd client against a simulated etcd server."""

import asyncio
import contextlib
import socket
import unittest

from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.errors import (
    AlmondError,
    ErrorCode,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from almondrouter.transport.etcd import EtcdStore
from almondrouter.transport.store import Compare, Delete, Get, Put, Transaction
from almondrouter_standins.store import StoreStandIn

CREATE = Transaction((Compare("/k", mod_revision=0),), (Put("/k", b"new"),))
OVERSIZED = Transaction(success=(Put("/k", b"x" * 1_000_001),))
UNKNOWN = StoreOutcomeUnknownError
UNAVAILABLE = StoreUnavailableError


class EtcdStoreTest(unittest.IsolatedAsyncioTestCase):
    """The client must never report a write as not applied that may be applied."""

    async def asyncSetUp(self):
        self.standin = StoreStandIn(progress_interval=0.02)
        await self.standin.start()
        self.addAsyncCleanup(self.standin.close)
        self.store = self.connect(self.standin.url)

    def connect(self, *endpoints, timeout=5.0, **options):
        store = EtcdStore(endpoints, clock=SystemClock(), timeout=timeout, **options)
        self.addAsyncCleanup(store.close)
        return store

    def applied(self):
        return self.standin.keyspace.revision > 1

    @parameterized.expand(
        [
            ("connection refused", {"outage": "refuse"}, 5.0, UNAVAILABLE, False),
            ("rate limited", {"rate_limit": 0.0}, 5.0, UNAVAILABLE, False),
            ("never answered", {"outage": "hang"}, 0.2, UNKNOWN, False),
            ("response lost", {"lose_answers": 1}, 5.0, UNKNOWN, True),
            ("applied late", {"latency": 0.5}, 0.2, UNKNOWN, True),
        ]
    )
    async def test_write_outcome_after(self, _name, faults, timeout, error, applied):
        """Guards against a wrong report of a failed write, or a retry of it."""
        store = self.connect(self.standin.url)
        if faults.get("outage") != "refuse":
            # The time limit is for the write alone, not for its connection.
            await store.read("/warm-up")
            store.calls.clear()
        store._timeout = timeout
        await self.standin.set_faults(**faults)
        if "rate_limit" in faults:
            self.standin._tokens = 0.0
        with self.assertRaises(error):
            await store.commit(CREATE)
        if applied:
            async with asyncio.timeout(10):
                while not self.applied():
                    await asyncio.sleep(0)
        self.assertEqual(self.applied(), applied)
        self.assertEqual(store.calls, {"txn": 1})

    @parameterized.expand(
        [
            ("connection refused", {"outage": "refuse"}),
            ("never answered", {"outage": "hang"}),
        ]
    )
    async def test_failed_read_is_unavailable_after(self, _name, faults):
        """A failed read is always reported as unavailable, as it has no effect."""
        await self.standin.set_faults(**faults)
        with self.assertRaises(StoreUnavailableError):
            await self.connect(self.standin.url, timeout=0.1).read("/k")

    async def test_oversized_value_is_not_applied(self):
        """Guards against an unknown outcome for a write that the store refuses."""
        with self.assertRaises(StoreUnavailableError):
            await self.store.commit(OVERSIZED)
        self.assertFalse(self.applied())

    async def test_second_endpoint_serves_while_the_first_refuses(self):
        """Guards against failing all calls because one store member is down."""
        with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as taken:
            port = taken.getsockname()[1]
        store = self.connect(f"http://127.0.0.1:{port}", self.standin.url)
        self.assertTrue((await store.commit(CREATE)).succeeded)
        await store.read("/k")
        self.assertEqual(store.calls, {"txn": 2, "range": 1})

    async def test_unknown_write_is_not_sent_to_another_endpoint(self):
        """Guards against applying a write twice after its response was lost."""
        other = StoreStandIn()
        await other.start()
        self.addAsyncCleanup(other.close)
        await self.standin.set_faults(lose_answers=1)
        store = self.connect(self.standin.url, other.url)
        with self.assertRaises(StoreOutcomeUnknownError):
            await store.commit(CREATE)
        self.assertEqual(other.calls["txn"], 0)

    async def test_conditions_select_the_operations(self):
        """Guards against applying the operations of the wrong branch."""
        created = await self.store.commit(CREATE)
        nested = Transaction(
            (Compare("/k", value=b"new"),), (Put("/k", b"2"), Get("/k")), ()
        )
        result = await self.store.commit(
            Transaction(CREATE.compares, CREATE.success, (nested, Get("/absent")))
        )
        self.assertTrue(created.succeeded)
        self.assertFalse(result.succeeded)
        inner, absent = result.results
        self.assertTrue(inner.succeeded)
        self.assertEqual(inner.results[1][0].value, b"2")
        self.assertEqual(absent, ())

    async def test_reads_pages_in_order(self):
        """Guards against pages that skip, repeat or exceed the keys of a prefix."""
        keys = [f"/p/{i:03d}" for i in range(5)]
        puts = tuple(Put(key, b"") for key in (*keys, "/q"))
        await self.store.commit(Transaction(success=puts))
        page = await self.store.read_prefix("/p/", start="/p/002", limit=2)
        self.assertEqual([kv.key for kv in page.items], keys[2:4])
        await self.store.commit(Transaction(success=(Delete("/p/", prefix=True),)))
        self.assertEqual((await self.store.read_prefix("/p/")).items, ())

    async def test_expired_lease_is_reported(self):
        """A holder that was suspended must learn that its keys were deleted."""
        lease = await self.store.grant_lease(15)
        await self.store.keep_alive(lease)
        await self.standin.set_faults(lease_offset=16.0)
        under_lease = Transaction(success=(Put("/k", b"", lease.lease_id),))
        for operation in (
            self.store.keep_alive(lease),
            self.store.commit(under_lease),
            self.store.revoke_lease(lease),
        ):
            with self.assertRaises(AlmondError) as caught:
                await operation
            self.assertEqual(caught.exception.code, ErrorCode.LEASE_EXPIRED)

    async def test_watch_delivers_every_change_from_a_revision(self):
        """A client that reopens a watch must get the changes made in between."""
        first = await self.store.commit(CREATE)
        await self.store.commit(Transaction(success=(Delete("/k"), Put("/x", b"1"))))
        events = []
        async with asyncio.timeout(10):
            watch = self.store.watch("/", from_revision=first.revision)
            async for batch in watch:
                events += [(event.key, event.value) for event in batch.events]
                if len(events) == 3:
                    await self.store.commit(Transaction(success=(Put("/y", b""),)))
                if len(events) == 4:
                    break
            await watch.aclose()
        self.assertEqual(
            events, [("/k", b"new"), ("/k", None), ("/x", b"1"), ("/y", b"")]
        )

    @parameterized.expand(
        [
            ("silent", {"silent_watches": True}),
            ("cut", {"outage": "refuse"}),
        ]
    )
    async def test_watch_ends_with_an_error_when(self, _name, faults):
        """A watch that waits forever on a dead connection would hide later changes."""
        store = self.connect(self.standin.url, watch_idle_timeout=0.2)
        watch = store.watch("/", from_revision=1)
        async with asyncio.timeout(10):
            await anext(watch)
            await self.standin.set_faults(**faults)
            with self.assertRaises(StoreUnavailableError):
                while True:
                    await anext(watch)
