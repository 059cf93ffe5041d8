"""Tests of claims, which ensure that a request runs at most once."""

import asyncio
import unittest
import uuid

from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, precondition, rule
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.claimbatches import ClaimBatcher
from almondrouter.coordination.claims import StoreClaims
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.keys import CLAIM_RETENTION_S, StoreKeys
from almondrouter_standins.keyspace import Keyspace
from almondrouter_standins.memory_store import CallFault, MemoryStore
from almondrouter_standins.scripted_network import ScriptedNetwork
from machine import INDEXES, FaultMachine, make_settings

KEYS = StoreKeys("test")
F = CallFault


def _make_key(wall, number=0):
    """Return a UUIDv7 with the timestamp ``wall``, as callers create them."""
    stamp = int(wall * 1000) << 80
    return str(uuid.UUID(int=stamp | 7 << 76 | 2 << 62 | number))


class _Daemon:
    """Claims of a daemon, with the batcher that it uses if it is the delegate."""

    def __init__(self, network, keyspace, clock, host, delegate, **store_options):
        self.store = MemoryStore(keyspace, clock=clock, **store_options)
        self.batcher = ClaimBatcher(
            self.store, KEYS, clock=clock, sleep=lambda _: asyncio.sleep(0)
        )
        self.claims = StoreClaims(
            host=host,
            incarnation=1,
            endpoint=network.connect(host),
            batcher=self.batcher,
            delegate=delegate,
            clock=clock,
            sleep=lambda _: asyncio.sleep(0),
        )


class StoreClaimsTest(unittest.IsolatedAsyncioTestCase):
    """Faults between daemon, delegate and store must not create a second owner."""

    def setUp(self):
        self.clock = ManualClock()
        self.keyspace = Keyspace(clock=self.clock)
        self.network = ScriptedNetwork()
        self.delegate = self.make("d", lambda: None)
        self.daemons = [self.make(host, lambda: "d") for host in "ab"]
        self.key = _make_key(self.clock.wall())

    def make(self, host, delegate, **options):
        return _Daemon(
            self.network, self.keyspace, self.clock, host, delegate, **options
        )

    def read_claims(self):
        return self.delegate.store.snapshot(KEYS.prefix + "claims/")

    async def claim(self, daemon, key=None, **options):
        deadline = self.clock.monotonic() + 5
        return await daemon.claims.claim(key or self.key, deadline=deadline, **options)

    @parameterized.expand(
        [
            ("write lost", [F.LOST], []),
            ("write dropped", [F.DROPPED], []),
            ("write late", [F.LATE], []),
            ("store refuses first", [F.REFUSED] * 3, []),
            ("request dropped", [], [F.DROPPED]),
            ("reply lost", [], [F.LOST]),
            ("reply and write lost", [F.LOST], [F.LOST, F.LOST]),
        ]
    )
    async def test_claim_under(self, _name, store_faults, message_faults):
        """Guards against a retry that does not recognize its own claim."""

        async def choose_write(kind):
            return store_faults.pop(0) if kind == "txn" and store_faults else F.NONE

        async def choose_message(_message):
            return message_faults.pop(0) if message_faults else F.NONE

        self.delegate.store.choose_fault = choose_write
        self.network.choose_fault = choose_message
        first, second = self.daemons
        own_claim = await self.claim(first)
        for late in range(len(self.delegate.store.late)):
            self.delegate.store.deliver_late(late)
        other_claim = await self.claim(second)
        self.assertTrue(first.claims.owns(own_claim))
        self.assertEqual(other_claim.claim_id, own_claim.claim_id)
        self.assertFalse(second.claims.owns(other_claim))

    async def test_second_call_on_the_same_host_does_not_own_the_claim(self):
        """Guards against two calls on a host that both run the request."""
        first = self.daemons[0]
        own_claim, copy = await self.claim(first), await self.claim(first)
        self.assertEqual(copy.claim_id, own_claim.claim_id)
        self.assertTrue(first.claims.owns(own_claim))
        self.assertFalse(first.claims.owns(copy))

    async def test_release_deletes_only_the_own_claim(self):
        """Guards against a late release that deletes another daemon's claim."""
        first, second = self.daemons
        own_claim = await self.claim(first)
        self.assertFalse(second.claims.try_abandon(own_claim.claim_id))
        self.assertFalse(
            first.claims.try_abandon(own_claim.claim_id), "it may have run"
        )
        await first.claims.release(own_claim)
        self.assertFalse(first.claims.owns(own_claim))
        self.assertEqual(self.read_claims(), {})
        other_claim = await self.claim(second)
        self.assertTrue(second.claims.owns(other_claim))
        await self.delegate.batcher.release(own_claim)
        self.assertEqual(len(self.read_claims()), 1)

    async def test_only_one_daemon_replaces_an_abandoned_claim(self):
        """Guards against two daemons that replace the same abandoned claim."""
        first, second = self.daemons
        own_claim = await self.claim(first)
        kept = await self.claim(second, replaces="another claim")
        self.assertEqual(kept.claim_id, own_claim.claim_id)
        results = await asyncio.gather(
            self.claim(second, replaces=own_claim.claim_id),
            self.claim(self.delegate, replaces=own_claim.claim_id),
        )
        owners = [
            daemon.claims.owns(claim)
            for daemon, claim in zip((second, self.delegate), results, strict=True)
        ]
        self.assertEqual(sorted(owners), [False, True])
        self.assertEqual(results[0].claim_id, results[1].claim_id)

    async def test_abandoning_a_pending_claim_prevents_its_use(self):
        """Guards against a holder that reports "not run" and runs the request later."""
        gate = asyncio.Event()

        async def wait_for_gate(_message):
            await gate.wait()
            return F.NONE

        first, second = self.daemons
        own_claim = await self.claim(first, _make_key(self.clock.wall(), 1))
        self.network.choose_fault = wait_for_gate
        task = asyncio.create_task(self.claim(first))
        await asyncio.sleep(0)
        (claim_id,) = first.claims._pending
        pending = type(own_claim)(self.key, claim_id, "a", 1)
        self.assertTrue(first.claims.try_abandon(pending.claim_id))
        gate.set()
        with self.assertRaises(AlmondError) as caught:
            await task
        self.assertEqual(caught.exception.code, ErrorCode.CLAIM_UNAVAILABLE)
        other_claim = await self.claim(second, replaces=claim_id)
        self.assertTrue(second.claims.owns(other_claim))

    async def test_store_outage_ends_at_the_deadline(self):
        """Guards against calls that wait for the store beyond their deadline."""

        async def refuse(_kind):
            self.clock.advance(0.1)
            return F.REFUSED

        self.delegate.store.choose_fault = refuse
        with self.assertRaises(AlmondError) as caught:
            await self.claim(self.daemons[0])
        self.assertEqual(caught.exception.code, ErrorCode.CLAIM_UNAVAILABLE)

    async def test_claims_share_calls_and_leases(self):
        """Guards against store calls that grow with the number of calls."""
        keys = [_make_key(self.clock.wall(), i) for i in range(640)]
        claims = [self.claim(self.daemons[i % 2], key) for i, key in enumerate(keys)]
        await asyncio.gather(*claims)
        calls = self.delegate.store.calls
        self.assertLessEqual(calls["txn"], 11)
        self.assertEqual(calls["grant"], 1)
        self.clock.advance(61)
        await self.claim(self.daemons[0], _make_key(self.clock.wall()))
        self.assertEqual(calls["grant"], 2)

    async def test_claim_outlives_its_key(self):
        """Guards against a claim removed early, after which the request runs again."""
        key = _make_key(self.clock.wall() + 59)
        await self.claim(self.daemons[0], _make_key(self.clock.wall(), 1))
        self.clock.advance(59)
        own_claim = await self.claim(self.daemons[0], key)
        self.clock.advance(CLAIM_RETENTION_S - 61)
        copy = await self.claim(self.daemons[1], key)
        self.assertEqual(copy.claim_id, own_claim.claim_id)
        self.clock.advance(62)
        with self.assertRaises(AlmondError) as caught:
            await self.claim(self.daemons[1], key)
        self.assertEqual(caught.exception.code, ErrorCode.KEY_EXPIRED)
        self.assertEqual(len(self.read_claims()), 2)

    async def test_claim_written_after_its_key_expired_is_not_owned(self):
        """Guards against a delayed write after the earlier claim was removed."""
        await self.claim(self.daemons[0])
        self.clock.advance(CLAIM_RETENTION_S - 61)
        other = self.make("e", lambda: None)

        async def delay(kind):
            if kind == "txn":
                self.clock.advance(200)
            return F.NONE

        other.store.choose_fault = delay
        with self.assertRaises(AlmondError) as caught:
            await self.claim(other)
        self.assertEqual(caught.exception.code, ErrorCode.KEY_EXPIRED)


class ClaimsMachine(FaultMachine):
    """Daemons compete for keys while messages and writes are delayed or lost.

    The oracle counts how often the request of each key is forwarded.
    """

    def __init__(self):
        super().__init__()
        self.network = ScriptedNetwork(self.schedule.hold)
        self.running, self.owned, self.holders = [], [], []
        self.forward_counts = {}

    @initialize()
    def start(self):
        self.delegate = "a"
        self.daemons = {host: self.make(host) for host in "abc"}
        stores = [daemon.store for daemon in self.daemons.values()]
        self.schedule.clients = [self.network, *stores]

    def make(self, host):
        return _Daemon(
            self.network,
            self.keyspace,
            self.clock,
            host,
            lambda: None if self.delegate == host else self.delegate,
            choose_fault=self.schedule.hold,
        )

    def collect(self):
        for host, task in [item for item in self.running if item[1].done()]:
            self.running.remove((host, task))
            if task.exception() is not None:
                assert isinstance(task.exception(), AlmondError)
            elif self.daemons[host].claims.owns(task.result()):
                self.owned.append((host, task.result()))
            else:
                self.holders.append(task.result())

    @rule(host=st.sampled_from("abc"), number=st.integers(0, 1), join=st.booleans())
    def claim(self, host, number, join):
        replaces = None
        found = [c for c in self.holders if c.key == self.key(number)]
        if join and found:
            holder = found[-1]
            if self.daemons[holder.host].claims.try_abandon(holder.claim_id):
                replaces = holder.claim_id
        coroutine = self.daemons[host].claims.claim(
            self.key(number),
            deadline=self.clock.monotonic() + 30,
            replaces=replaces,
        )
        self.running.append((host, self.schedule.start(coroutine)))
        self.collect()

    def key(self, number):
        return _make_key(1.7e9, number)

    @precondition(lambda self: self.owned)
    @rule(index=INDEXES, run=st.booleans())
    def run_or_release(self, index, run):
        host, claim = self.owned.pop(index % len(self.owned))
        claims = self.daemons[host].claims
        if run:
            assert claims.owns(claim)
            self.forward_counts[claim.key] = self.forward_counts.get(claim.key, 0) + 1
        else:
            self.schedule.start(claims.release(claim))
            self.holders.append(claim)

    @rule(delegate=st.sampled_from("ab"))
    def change_delegate(self, delegate):
        self.delegate = delegate

    @rule(seconds=st.sampled_from([1, 31, 61, 300]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def runs_at_most_once(self):
        for key, count in self.forward_counts.items():
            assert count <= 1, f"{key} was forwarded {count} times"


ClaimsMachineTest = ClaimsMachine.TestCase
ClaimsMachineTest.settings = make_settings(examples=150, steps=50)
