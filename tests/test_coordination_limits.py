"""Tests of rate limits: all daemons together never admit more than a limit."""

import asyncio
import unittest

from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, rule
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.limits import BorrowingRateLimiter
from almondrouter.coordination.slices import SliceHolder, share_units
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.keys import StoreKeys
from almondrouter_standins.keyspace import Keyspace
from almondrouter_standins.memory_store import CallFault, MemoryStore
from almondrouter_standins.scripted_network import ScriptedNetwork
from almondrouter_standins.virtual_time import run_virtual
from machine import FaultMachine, make_settings

KEYS = StoreKeys("test")
F = CallFault
NAME = "services.accounts"


async def _refuse(_kind):
    return F.REFUSED


async def _deliver(_kind):
    return F.NONE


def _read_slices(store, prefix):
    names = [key.removeprefix(prefix) for key in store.snapshot(prefix)]
    return [name for name in names if name.isdigit()]


class _Fleet:
    """Data centres x and y with two daemons each; ``x1`` and ``y1`` are delegates."""

    def __init__(self, rate, hold=None):
        self.rate = rate
        self.clock = ManualClock()
        self.keyspace = Keyspace(clock=self.clock)
        self.network = ScriptedNetwork(hold)
        self.hold = hold
        self.holders, self.stores, self.limits = {}, {}, {}
        self.incarnation = 0
        self.admitted = []
        for host in ("x1", "y1", "x2", "y2"):
            self.start(host)

    def start(self, host):
        """Start a daemon, or restart it without its previous state."""
        self.incarnation += 1
        store = MemoryStore(self.keyspace, clock=self.clock, choose_fault=self.hold)
        holder = SliceHolder(
            store, KEYS, host=host, find_rate=lambda _: self.rate, clock=self.clock
        )
        first = f"{host[0]}1"
        self.limits[host] = BorrowingRateLimiter(
            host=host,
            incarnation=self.incarnation,
            endpoint=self.network.connect(host),
            slices=holder,
            delegate=lambda: None if host == first else first,
            clock=self.clock,
        )
        self.holders[host], self.stores[host] = holder, store

    def admit(self, host, count):
        """Return how many of the calls were admitted and the last error code."""
        admitted, code = 0, None
        for _ in range(count):
            try:
                self.limits[host].admit((NAME,))
            except AlmondError as error:
                code = error.code
            else:
                admitted += 1
                self.admitted.append(self.clock.monotonic())
        return admitted, code

    async def settle(self, load, rounds=12):
        """Make calls at a steady rate until loans and slices have adapted to it."""
        for _ in range(rounds):
            for host, count in load.items():
                self.admit(host, count)
                if NAME in self.limits[host]._loans:
                    await self.limits[host].renew(NAME)
            for delegate in ("x1", "y1"):
                await self.holders[delegate].reconcile()
            self.clock.advance(1.01)

    def check(self):
        times = self.admitted
        window = max(1.0, 1 / self.rate)
        for end in range(len(times)):
            start = times[end] - window
            count = sum(start < t <= times[end] for t in times[: end + 1])
            if count > max(1.0, self.rate):
                raise AssertionError(f"{count} calls in {window} s of {self.rate}/s")


class PreparedLimitTest(unittest.TestCase):
    """A newly declared limit must admit calls soon."""

    def test_share_is_held_soon_after_the_delegate_knows_the_limit(self):
        fleet = _Fleet(None)

        async def declare():
            for host in ("x1", "x2"):
                fleet.holders[host].start()
                fleet.limits[host].start()
            fleet.limits["x2"].set_minimum_demands({NAME: 20.0})
            await asyncio.sleep(0.5)
            fleet.rate = 100.0
            await asyncio.sleep(1.5)
            admitted, code = fleet.admit("x2", 5)
            for host in ("x1", "x2"):
                await fleet.limits[host].close()
                await fleet.holders[host].close()
            return admitted, code

        self.assertEqual(run_virtual(declare(), fleet.clock), (5, None))


class LimitsTest(unittest.IsolatedAsyncioTestCase):
    """All daemons together must not admit more calls than the limit."""

    @parameterized.expand(
        [
            ("fewer calls than slices", 10, {"x1": 9, "x2": 9, "y1": 9, "y2": 9}),
            ("one call a second", 1, {"x1": 5, "y2": 5}),
            ("less than a call a second", 0.5, {"x1": 5, "y2": 5}),
            ("many calls", 640, {"x1": 500, "x2": 100, "y1": 50, "y2": 500}),
            ("not a whole number", 50.5, {"x1": 90, "y1": 90}),
        ]
    )
    async def test_saturated_limit(self, _name, rate, load):
        fleet = _Fleet(rate)
        await fleet.settle(load)
        fleet.check()
        start = fleet.clock.monotonic()
        await fleet.settle(load, rounds=4)
        used = sum(t >= start for t in fleet.admitted) / (4 * 1.01)
        self.assertGreaterEqual(used, 0.4 * rate, "most of the limit is idle")

    async def test_loans_follow_demand(self):
        """Guards against shares that stay at daemons without calls."""
        fleet = _Fleet(64)
        await fleet.settle({"x1": 60, "x2": 60})
        await fleet.settle({"y2": 60}, rounds=20)
        self.assertEqual(fleet.admit("y2", 60)[0], 60)
        fleet.check()

    async def test_expired_loan_admits_nothing(self):
        """Guards against a daemon that still uses an old loan after a freeze."""
        fleet = _Fleet(100)
        await fleet.settle({"x2": 10})
        self.assertGreater(fleet.admit("x2", 1)[0], 0)
        fleet.clock.advance(4)
        self.assertEqual(fleet.admit("x2", 1), (0, ErrorCode.LIMIT_UNAVAILABLE))

    async def test_reply_that_was_delayed_counts_from_the_request(self):
        """Guards against a loan that lasts longer here than at the delegate."""
        fleet = _Fleet(100)
        await fleet.settle({"x2": 10})

        async def delay(_message):
            fleet.clock.advance(10)
            return F.NONE

        fleet.network.choose_fault = delay
        await fleet.limits["x2"].renew(NAME)
        self.assertEqual(fleet.admit("x2", 1), (0, ErrorCode.LIMIT_UNAVAILABLE))

    async def test_store_outage_stops_limited_calls_before_the_lease_ends(self):
        """Guards against admitting calls when another delegate may have the slices."""
        fleet = _Fleet(100)
        await fleet.settle({"x2": 10})
        fleet.stores["x1"].choose_fault = _refuse
        await fleet.settle({"x2": 10}, rounds=14)
        self.assertEqual(fleet.admit("x2", 1), (0, ErrorCode.LIMIT_UNAVAILABLE))
        await fleet.settle({"y2": 100}, rounds=6)
        fleet.check()

    async def test_expired_loan_is_not_lent_again_within_its_second(self):
        """Guards against lending a rate twice within one window."""
        fleet = _Fleet(10)
        await fleet.settle({"x2": 10})
        loan = fleet.limits["x2"]._loans[NAME]
        fleet.clock.advance(loan.deadline - fleet.clock.monotonic() - 0.01)
        self.assertEqual(fleet.admit("x2", 10)[0], 10)
        for _ in range(30):
            fleet.clock.advance(0.1)
            fleet.admit("x1", 10)
            await fleet.limits["x1"].renew(NAME)
        fleet.check()
        self.assertEqual(fleet.limits["x1"]._loans[NAME].rate, 10)

    async def test_slices_of_an_expired_lease_are_not_lent_within_its_last_window(self):
        """Guards against two delegates that lend a slice within one window.

        Another delegate may acquire the slices as soon as their lease expires.
        """
        fleet = _Fleet(10)
        await fleet.settle({"x2": 10})
        fleet.stores["x1"].choose_fault = _refuse
        end = fleet.holders["x1"]._lease.deadline
        loan = fleet.limits["x2"]._loans[NAME]
        while fleet.clock.monotonic() < end + 2:
            loan.attempts += 10
            await fleet.limits["x2"].renew(NAME)
            if fleet.clock.monotonic() > loan.deadline - 0.12:
                fleet.admit("x2", 10)
            fleet.admit("y1", 10)
            await fleet.limits["y1"].renew(NAME)
            await fleet.holders["y1"].reconcile()
            fleet.clock.advance(0.11)
        self.assertEqual(fleet.limits["y1"]._loans[NAME].rate, 10)
        fleet.check()

    async def test_delegate_holds_no_slices_after_a_pause(self):
        """Guards against lending slices that another delegate has acquired."""
        fleet = _Fleet(10)
        await fleet.settle({"x2": 10})
        fleet.clock.advance(16)
        await fleet.settle({"y1": 10}, rounds=4)
        await fleet.settle({"x1": 10, "y1": 10}, rounds=4)
        fleet.check()

    async def test_late_release_does_not_delete_a_slice_acquired_again(self):
        """Guards against a slice that others can acquire while it is lent."""
        fleet = _Fleet(64)
        await fleet.settle({"x1": 60})

        async def delay(kind):
            return F.LATE if kind == "txn" else F.NONE

        holder, store = fleet.holders["x1"], fleet.stores["x1"]
        store.choose_fault = delay
        await fleet.settle({"x1": 0}, rounds=6)
        store.choose_fault = _deliver
        await fleet.settle({"x1": 60}, rounds=12)
        while store.late:
            store.deliver_late()
        prefix = KEYS.limit_prefix(NAME)
        kept = {int(k) for k in _read_slices(store, prefix)}
        self.assertGreater(len(holder._limits[NAME].held), 32)
        self.assertLessEqual(holder._limits[NAME].held, kept)

    async def test_restarted_daemon_does_not_inherit_a_loan(self):
        """Guards against admitting calls twice, since the previous ones are unknown."""
        fleet = _Fleet(10)
        await fleet.settle({"x2": 10})
        self.assertEqual(fleet.admit("x2", 10)[0], 10)
        fleet.start("x2")
        fleet.admit("x2", 10)
        await fleet.limits["x2"].renew(NAME)
        self.assertEqual(fleet.admit("x2", 10)[0], 0)

    async def test_call_with_several_limits_counts_against_all_or_none(self):
        """Guards against counting a refused call against the other limits."""
        fleet = _Fleet(100)
        await fleet.settle({"x1": 5})
        limits = fleet.limits["x1"]
        with self.assertRaises(AlmondError):
            limits.admit((NAME, "classes.other"))
        self.assertEqual(len(limits._loans[NAME].admitted_at), 0)

    async def test_store_calls_do_not_grow_with_calls(self):
        """Guards against a load on the store that depends on the call rate."""
        fleet = _Fleet(1000)
        await fleet.settle({"x1": 100, "x2": 100}, rounds=10)
        few = dict(fleet.stores["x1"].calls)
        await fleet.settle({"x1": 100, "x2": 100}, rounds=10)
        calls = {kind: n - few[kind] for kind, n in fleet.stores["x1"].calls.items()}
        self.assertLessEqual(calls["range"], 10)
        self.assertLessEqual(calls.get("txn", 0) + calls["keepalive"], 5)

    async def test_first_refused_call_requests_a_loan(self):
        """Guards against background tasks that do not wake up for a new limit."""
        fleet = _Fleet(100)
        tasks = [fleet.holders["x1"], fleet.limits["x2"]]
        for task in tasks:
            task.start()
            self.addAsyncCleanup(task.close)
        self.assertEqual(fleet.admit("x2", 1), (0, ErrorCode.LIMIT_UNAVAILABLE))
        async with asyncio.timeout(20):
            while fleet.admit("x2", 1)[0] == 0:
                await asyncio.sleep(0.01)

    def test_shares_whole_units_from_the_smallest_demand_up(self):
        shares = share_units({"a": 1.0, "b": 9.0, "c": 9.0}, 9, rotation=0)
        self.assertEqual((shares["a"], sum(shares.values())), (1, 9))
        turns = [
            share_units({"a": 1.0, "b": 1.0}, 1, rotation=t)["a"] for t in range(20)
        ]
        self.assertEqual(set(turns), {0, 1})


class LimitsMachine(FaultMachine):
    """Daemons restart, freeze and are cut off under more calls than the limit.

    The oracle counts the calls that all daemons together admit in any window.
    """

    def __init__(self):
        super().__init__()
        self.steps, self.renewals = {}, {}

    @initialize(rate=st.sampled_from([0.5, 1, 3, 10, 64]))
    def start(self, rate):
        self.fleet = _Fleet(rate, self.schedule.hold)
        self.clock = self.fleet.clock
        self.schedule.clients = [self.fleet.network, *self.fleet.stores.values()]

    def collect(self):
        for task in (*self.steps.values(), *self.renewals.values()):
            if task.done() and not task.cancelled():
                task.result()

    @rule(host=st.sampled_from(["x1", "x2", "y1", "y2"]), count=st.integers(1, 70))
    def admit(self, host, count):
        self.fleet.admit(host, count)

    @rule()
    def admit_everywhere(self):
        for host in ("x1", "x2", "y1", "y2"):
            self.fleet.admit(host, 70)

    @rule(host=st.sampled_from(["x1", "x2", "y1", "y2"]))
    def renew(self, host):
        task = self.renewals.get(host)
        limits = self.fleet.limits[host]
        if (task is None or task.done()) and NAME in limits._loans:
            self.renewals[host] = self.schedule.start(limits.renew(NAME))

    @rule(host=st.sampled_from(["x1", "y1"]))
    def step(self, host):
        task = self.steps.get(host)
        if task is None or task.done():
            step = self.fleet.holders[host].reconcile()
            self.steps[host] = self.schedule.start(step)

    @rule(rounds=st.integers(1, 3))
    def run_smoothly(self, rounds):
        for _ in range(rounds):
            for host in ("x1", "x2", "y1", "y2"):
                self.fleet.admit(host, 20)
                self.renew(host)
            self.step("x1")
            self.step("y1")
            for _ in range(6):
                self.answer_all()
            self.clock.advance(0.4)

    @rule(host=st.sampled_from(["x1", "x2", "y1", "y2"]))
    def restart(self, host):
        for tasks in (self.steps, self.renewals):
            if host in tasks:
                tasks.pop(host).cancel()
        self.schedule.run_until_blocked()
        self.fleet.start(host)
        self.schedule.clients.append(self.fleet.stores[host])

    @rule(seconds=st.sampled_from([0.1, 0.5, 1.01, 2.5, 16.0]))
    def pass_time(self, seconds):
        self.clock.advance(seconds)

    @invariant()
    def stays_within_the_limit(self):
        if hasattr(self, "fleet"):
            self.fleet.check()
            now = self.fleet.clock.monotonic()
            self.fleet.admitted = [t for t in self.fleet.admitted if t > now - 4]


LimitsMachineTest = LimitsMachine.TestCase
LimitsMachineTest.settings = make_settings(examples=100, steps=50)
