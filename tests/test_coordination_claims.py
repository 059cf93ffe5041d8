"""Tests of claims: a request that may not be repeated runs at most once."""

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
from almondrouter_standins.exchange import ScriptedNetwork
from almondrouter_standins.keyspace import Keyspace
from almondrouter_standins.memory import CallFault, MemoryStore
from machine import INDEXES, FaultMachine, make_settings

KEYS = StoreKeys("test")
F = CallFault


def _make_key(wall, number=0):
    """Return a UUIDv7 of a time, as a caller makes one."""
    stamp = int(wall * 1000) << 80
    return str(uuid.UUID(int=stamp | 7 << 76 | 2 << 62 | number))


class _Daemon:
    """A daemon's claims with the batcher that it uses as a delegate."""

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
    """Faults between daemon, delegate and store must not make a second owner."""

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

    def held(self):
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
        """A retry must find its own claim, and others must find the same one."""

        async def choose_write(kind):
            return store_faults.pop(0) if kind == "txn" and store_faults else F.NONE

        async def choose_message(_message):
            return message_faults.pop(0) if message_faults else F.NONE

        self.delegate.store.choose_fault = choose_write
        self.network.choose_fault = choose_message
        first, second = self.daemons
        mine = await self.claim(first)
        for late in range(len(self.delegate.store.late)):
            self.delegate.store.deliver_late(late)
        theirs = await self.claim(second)
        self.assertTrue(first.claims.owns(mine))
        self.assertEqual(theirs.claim_id, mine.claim_id)
        self.assertFalse(second.claims.owns(theirs))

    async def test_second_call_on_the_same_host_is_no_owner(self):
        """Both would hand the request over if the host alone decided."""
        first = self.daemons[0]
        mine, copy = await self.claim(first), await self.claim(first)
        self.assertEqual(copy.claim_id, mine.claim_id)
        self.assertTrue(first.claims.owns(mine))
        self.assertFalse(first.claims.owns(copy))

    async def test_release_deletes_only_the_own_claim(self):
        first, second = self.daemons
        mine = await self.claim(first)
        self.assertFalse(second.claims.gives_up(mine.claim_id))
        self.assertFalse(first.claims.gives_up(mine.claim_id), "it may have run")
        await first.claims.release(mine)
        self.assertFalse(first.claims.owns(mine))
        self.assertEqual(self.held(), {})
        theirs = await self.claim(second)
        self.assertTrue(second.claims.owns(theirs))
        await self.delegate.batcher.release(mine)
        self.assertEqual(len(self.held()), 1)

    async def test_takeover_names_what_it_replaces(self):
        """Two daemons that both heard "not run" must not both take it over."""
        first, second = self.daemons
        mine = await self.claim(first)
        kept = await self.claim(second, replaces="another claim")
        self.assertEqual(kept.claim_id, mine.claim_id)
        results = await asyncio.gather(
            self.claim(second, replaces=mine.claim_id),
            self.claim(self.delegate, replaces=mine.claim_id),
        )
        owners = [
            daemon.claims.owns(claim)
            for daemon, claim in zip((second, self.delegate), results, strict=True)
        ]
        self.assertEqual(sorted(owners), [False, True])
        self.assertEqual(results[0].claim_id, results[1].claim_id)

    async def test_giving_up_a_claim_under_way_stops_it(self):
        """The holder that said "not run" must not run it when its reply comes."""
        gate = asyncio.Event()

        async def wait_for_gate(_message):
            await gate.wait()
            return F.NONE

        first, second = self.daemons
        mine = await self.claim(first, _make_key(self.clock.wall(), 1))
        self.network.choose_fault = wait_for_gate
        task = asyncio.create_task(self.claim(first))
        await asyncio.sleep(0)
        (claim_id,) = first.claims._pending
        pending = type(mine)(self.key, claim_id, "a", 1)
        self.assertTrue(first.claims.gives_up(pending.claim_id))
        gate.set()
        with self.assertRaises(AlmondError) as caught:
            await task
        self.assertEqual(caught.exception.code, ErrorCode.CLAIM_UNAVAILABLE)
        theirs = await self.claim(second, replaces=claim_id)
        self.assertTrue(second.claims.owns(theirs))

    async def test_store_outage_ends_at_the_deadline(self):
        async def refuse(_kind):
            self.clock.advance(0.1)
            return F.REFUSED

        self.delegate.store.choose_fault = refuse
        with self.assertRaises(AlmondError) as caught:
            await self.claim(self.daemons[0])
        self.assertEqual(caught.exception.code, ErrorCode.CLAIM_UNAVAILABLE)

    async def test_claims_share_calls_and_leases(self):
        """Store calls must not grow with calls."""
        keys = [_make_key(self.clock.wall(), i) for i in range(640)]
        claims = [self.claim(self.daemons[i % 2], key) for i, key in enumerate(keys)]
        await asyncio.gather(*claims)
        calls = self.delegate.store.calls
        self.assertLessEqual(calls["txn"], 11)
        self.assertEqual(calls["grant"], 1)
        self.clock.advance(61)
        await self.claim(self.daemons[0], _make_key(self.clock.wall()))
        self.assertEqual(calls["grant"], 2)

    async def test_claim_outlasts_the_time_of_its_key(self):
        """A claim that goes first would let an old key run once more."""
        key = _make_key(self.clock.wall() + 59)
        await self.claim(self.daemons[0], _make_key(self.clock.wall(), 1))
        self.clock.advance(59)
        mine = await self.claim(self.daemons[0], key)
        self.clock.advance(CLAIM_RETENTION_S - 61)
        copy = await self.claim(self.daemons[1], key)
        self.assertEqual(copy.claim_id, mine.claim_id)
        self.clock.advance(62)
        with self.assertRaises(AlmondError) as caught:
            await self.claim(self.daemons[1], key)
        self.assertEqual(caught.exception.code, ErrorCode.KEY_EXPIRED)
        self.assertEqual(len(self.held()), 2)

    async def test_claim_written_after_the_time_of_its_key_is_not_owned(self):
        """The earlier claim may be gone when a write arrives that was delayed."""
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
    """Daemons race for keys while messages and writes wait, get lost or are late.

    The oracle counts how often the request of each key is handed over.
    """

    def __init__(self):
        super().__init__()
        self.network = ScriptedNetwork(self.schedule.hold)
        self.running, self.owned, self.holders = [], [], []
        self.handed_over = {}

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
            if self.daemons[holder.host].claims.gives_up(holder.claim_id):
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
    def use(self, index, run):
        host, claim = self.owned.pop(index % len(self.owned))
        claims = self.daemons[host].claims
        if run:
            assert claims.owns(claim)
            self.handed_over[claim.key] = self.handed_over.get(claim.key, 0) + 1
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
        for key, count in self.handed_over.items():
            assert count <= 1, f"{key} was handed over {count} times"


ClaimsMachineTest = ClaimsMachine.TestCase
ClaimsMachineTest.settings = make_settings(examples=150, steps=50)
