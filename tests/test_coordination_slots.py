"""Slot queue of a backend server: order, load shedding and estimates under load."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter

import msgspec
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.slots import SlotQueue
from almondrouter.coordination.tenants.turns import TenantTurns
from almondrouter.errors import ErrorCode
from almondrouter.protocol.dialect import BackendLoad
from almondrouter.protocol.outcomes import CallError
from almondrouter_standins.virtual_time import run_virtual
from calls_support import make_request

RUN_S = 0.1


class SlotQueueTest(unittest.TestCase):
    """Requests run for a fixed time on a virtual clock."""

    def setUp(self):
        self.clock = ManualClock()
        self.queue = SlotQueue(2, clock=self.clock)
        self.ended = []

    def request(
        self,
        name="",
        *,
        rank=1,
        nested=False,
        overdue=False,
        useful_for=0.4,
        deadline=2.0,
    ):
        now = self.clock.monotonic()
        request = make_request(deadline=now + deadline, class_name="c")
        return msgspec.structs.replace(
            request,
            attempt_id=name,
            rank=rank,
            nested=nested,
            overdue=overdue,
            useful_until=now + useful_for,
        )

    async def run_request(self, request):
        try:
            grant = await self.queue.acquire(request)
        except CallError as error:
            self.ended.append((request.attempt_id, error.code))
            return
        await asyncio.sleep(RUN_S)
        self.ended.append((request.attempt_id, None))
        self.queue.release(grant, measured=True)

    async def run_requests(self, requests):
        await asyncio.gather(*(self.run_request(request) for request in requests))

    def run_and_list_served(self, requests):
        run_virtual(self.run_requests(requests), self.clock)
        return [name for name, code in self.ended if code is None]

    def measure_service_time(self):
        run_virtual(self.run_requests([self.request("w")]), self.clock)
        self.ended.clear()

    def test_busier_than_expected(self):
        """Guards against queues at a server that many senders believe to be idle."""
        self.measure_service_time()
        requests = [self.request(str(n)) for n in range(5)]
        limited_wait = msgspec.structs.replace(self.request("limited"), max_wait=0.06)
        long_wait = msgspec.structs.replace(self.request("long"), max_wait=0.3)
        self.assertIn(
            "long", self.run_and_list_served([*requests, limited_wait, long_wait])
        )
        self.assertIn(("limited", ErrorCode.BUSIER_THAN_EXPECTED), self.ended)

    @parameterized.expand(
        [
            ("rank", {"rank": 0}, {"rank": 2}),
            ("nested before new", {"nested": True, "rank": 5}, {"rank": 0}),
            ("useful for less time", {"useful_for": 0.35}, {"useful_for": 0.4}),
            ("on time before overdue", {"rank": 1}, {"overdue": True, "rank": 1}),
            ("overdue by rank", {"overdue": True, "rank": 1}, {"rank": 2}),
        ]
    )
    def test_order(self, _, first, second):
        """Guards against urgent requests that queue behind less urgent ones."""
        self.measure_service_time()
        running = [self.request(f"r{i}", rank=9) for i in range(2)]
        waiting = [self.request("second", **second), self.request("first", **first)]
        served = self.run_and_list_served(running + waiting)
        self.assertLess(served.index("first"), served.index("second"))

    def replay_tenants(self, loads, *, rates, usual=4.0, begin=120.0, end=140.0):
        """Return the share of each tenant's requests that is served in time.

        Parameters
        ----------
        loads
            Requests per second by tenant, from ``begin`` to ``end``; before that, they
            send ``usual`` ones. The two slots serve 20 per second.
        rates
            Declared rates by tenant.
        """
        self.queue = SlotQueue(2, clock=self.clock, find_rate=rates.__getitem__)
        chance = random.Random(1)

        async def send(tenant, at):
            await asyncio.sleep(at)
            request = self.request(tenant if at >= begin else "", useful_for=0.6)
            await self.run_request(msgspec.structs.replace(request, tenant=tenant))

        async def replay():
            arrivals = []
            for tenant, load in loads.items():
                at = 0.0
                while at < end:
                    at += chance.expovariate(usual if at < begin else load)
                    arrivals.append(send(tenant, at))
            await asyncio.gather(*arrivals)

        run_virtual(replay(), self.clock)
        sent = Counter(name for name, _ in self.ended)
        served = Counter(name for name, code in self.ended if code is None)
        return {tenant: served[tenant] / sent[tenant] for tenant in loads}

    @parameterized.expand(
        [
            ("no rates", dict.fromkeys("abc", 0.0)),
            ("equal rates", dict.fromkeys("abc", 10.0)),
            ("rates of some", {"a": 0.0, "b": 10.0, "c": 10.0}),
        ]
    )
    def test_tenant_with_six_times_its_load_leaves_the_others_their_share(
        self, _, rates
    ):
        """Guards against a tenant that fills the queue, so that others are refused."""
        served = self.replay_tenants({"a": 24, "b": 4, "c": 4}, rates=rates)
        self.assertGreater(min(served["b"], served["c"]), 0.95)
        self.assertGreater(served["a"], 0.4)

    def test_large_tenant_keeps_its_share_when_all_have_twice_their_load(self):
        """Guards against a large tenant that gets only what small ones leave."""
        turns = TenantTurns(lambda tenant: 0.0)
        for at in range(60):
            for tenant in ["large"] * 8 + ["small"]:
                turns.record_arrival(tenant, float(at))
        order = []
        for _ in range(18):
            order.append(turns.choose(["large", "small"]))
            turns.record(order[-1], 0.1)
        self.assertEqual(16, order.count("large"), order)

    def test_overloaded_tenants_share_by_their_rates(self):
        """Guards against equal shares where tenants have declared different rates."""
        served = self.replay_tenants({"a": 20, "b": 20}, rates={"a": 30.0, "b": 10.0})
        self.assertGreater(served["a"], 1.8 * served["b"])
        self.assertGreater(served["b"], 0.15)

    def test_tenant_that_returns_does_not_stop_the_others(self):
        """Guards against credit for the time in which a tenant sent nothing."""
        turns = TenantTurns(lambda tenant: 0.0)
        for _ in range(100):
            turns.record("busy", 0.1)
        order = []
        for _ in range(6):
            order.append(turns.choose(["busy", "new"]))
            turns.record(order[-1], 0.1)
        self.assertEqual(3, order.count("new"), order)

    def test_overdue_requests_do_not_count_as_ahead_of_new_ones(self):
        """Guards against loads that keep new requests from a server that serves them.

        The load tells how many calls of each rank are served before a new one.
        """

        async def scenario():
            requests = [self.request(rank=9) for _ in range(2)]
            requests += [self.request(overdue=True), self.request()]
            runs = asyncio.gather(*map(self.run_request, requests))
            await asyncio.sleep(0)
            load = self.queue.load()
            await runs
            return load

        self.measure_service_time()
        load = run_virtual(scenario(), self.clock)
        self.assertEqual((2, (0, 1, 1)), (load.queued, load.queued_by_rank))

    def test_refuses_on_arrival_what_cannot_be_answered_in_time(self):
        """Guards against requests that wait until it is too late for another server.

        Two slots complete only a part of twenty concurrent requests of 0.1 s within
        the target latency of 0.4 s.
        """
        self.measure_service_time()
        started = self.clock.monotonic()
        served = self.run_and_list_served([self.request(str(i)) for i in range(20)])
        refused = [code for _, code in self.ended if code is not None]
        self.assertEqual({ErrorCode.OVERLOADED}, set(refused))
        self.assertEqual(20, len(served) + len(refused))
        self.assertGreaterEqual(len(served), 5)
        self.assertLessEqual(self.clock.monotonic() - started, 0.4 + 1e-6)

    def test_urgent_request_with_a_long_run_time_on_a_slow_host(self):
        """Guards against refusing it for its margin, and serving less urgent ones."""
        self.queue = SlotQueue(7, clock=self.clock)
        self.measure_service_time()
        self.queue.apply_report(BackendLoad(0, 0, 7, 6.5))
        running = [self.request(f"r{i}", useful_for=9.0) for i in range(7)]
        urgent = self.request("urgent", rank=0, useful_for=0.914)
        self.assertIn("urgent", self.run_and_list_served([*running, urgent]))

    def test_nested_calls_that_cannot_be_answered_in_time_wait_for_nothing(self):
        """Guards against nested calls that wait until their deadline for no slot.

        Their parents hold slots meanwhile.
        """
        self.measure_service_time()
        refused_after = []

        async def acquire_and_run(request):
            started = self.clock.monotonic()
            try:
                grant = await self.queue.acquire(request)
            except CallError as error:
                self.assertEqual(ErrorCode.OVERLOADED, error.code)
                refused_after.append(self.clock.monotonic() - started)
                return
            await asyncio.sleep(RUN_S)
            self.queue.release(grant, measured=True)

        async def scenario():
            nested = [
                self.request(nested=True, useful_for=0.4, deadline=0.4)
                for _ in range(20)
            ]
            await asyncio.gather(*map(acquire_and_run, nested))

        run_virtual(scenario(), self.clock)
        self.assertGreater(len(refused_after), 10)
        self.assertEqual({0.0}, set(refused_after))

    def test_overtaken_rank_is_refused_on_arrival(self):
        """Guards against requests of low rank that are refused only after a long wait.

        Urgent requests use nine tenths of the slots. They overtake those of lower rank,
        whose position in the queue therefore underestimates the wait.
        """
        self.measure_service_time()
        refused_after = []

        async def acquire_and_run(request):
            started = self.clock.monotonic()
            try:
                grant = await self.queue.acquire(request)
            except CallError:
                refused_after.append(self.clock.monotonic() - started)
                return
            await asyncio.sleep(RUN_S)
            self.queue.release(grant, measured=True)

        async def scenario():
            tasks = []
            for step in range(400):
                tasks.append(asyncio.create_task(acquire_and_run(self.request(rank=0))))
                if step % 2:
                    request = self.request(rank=2)
                    tasks.append(asyncio.create_task(acquire_and_run(request)))
                await asyncio.sleep(RUN_S / 2 / 0.9)
            await asyncio.gather(*tasks)

        run_virtual(scenario(), self.clock)
        late = [seconds for seconds in refused_after if seconds > 0.05]
        self.assertGreater(len(refused_after), 50)
        self.assertLess(len(late) / len(refused_after), 0.5)

    def test_passed_deadline_is_refused(self):
        """Guards against running requests whose caller has timed out."""
        self.run_and_list_served([self.request("late", deadline=0.0)])
        self.assertEqual([("late", ErrorCode.DEADLINE_EXCEEDED)], self.ended)

    def test_slot_is_kept_for_nested_requests(self):
        """Guards against parent requests that hold all slots while nested ones wait."""
        self.measure_service_time()

        async def scenario():
            await self.run_request(self.request("child", nested=True))
            parents = [
                asyncio.create_task(self.run_request(self.request(f"p{i}")))
                for i in range(3)
            ]
            await asyncio.sleep(0)
            grant = await self.queue.acquire(self.request("nested", nested=True))
            self.assertEqual(2, self.queue.load().in_use)
            self.queue.release(grant, measured=False)
            await asyncio.gather(*parents)

        run_virtual(scenario(), self.clock)

    def test_cancelled_waiter_is_removed(self):
        """Guards against leaked slots and waiters when callers cancel."""
        self.measure_service_time()

        async def scenario():
            running = [
                asyncio.create_task(self.run_request(self.request(str(i))))
                for i in range(2)
            ]
            await asyncio.sleep(0)
            waiting = asyncio.create_task(self.run_request(self.request("gone")))
            await asyncio.sleep(0)
            self.assertEqual(1, self.queue.load().queued)
            waiting.cancel()
            await asyncio.gather(*running, waiting, return_exceptions=True)
            self.assertTrue(self.queue.is_idle)

        run_virtual(scenario(), self.clock)

    def test_load_is_exact(self):
        """Guards against wrong load reports, by which other daemons choose."""
        self.measure_service_time()

        async def scenario():
            tasks = [
                asyncio.create_task(self.run_request(self.request(str(i), rank=i)))
                for i in range(4)
            ]
            await asyncio.sleep(0)
            load = self.queue.load()
            self.assertEqual((2, 2, 2), (load.slots, load.in_use, load.queued))
            self.assertEqual((0, 0, 1, 1), load.queued_by_rank)
            self.assertAlmostEqual(RUN_S, load.service_time)
            await asyncio.gather(*tasks)

        run_virtual(scenario(), self.clock)
