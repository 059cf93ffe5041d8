"""Queue of one backend server: order, refusals and estimates under load."""

from __future__ import annotations

import asyncio
import unittest

import msgspec
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.slots import SlotQueue
from almondrouter.errors import ErrorCode
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

    def request(self, name="", *, rank=1, nested=False, aim=0.4, deadline=2.0):
        now = self.clock.monotonic()
        request = make_request(deadline=now + deadline, class_name="c")
        return msgspec.structs.replace(
            request,
            attempt_id=name,
            rank=rank,
            nested=nested,
            useful_until=now + aim,
        )

    async def run_one(self, request):
        try:
            grant = await self.queue.acquire(request)
        except CallError as error:
            self.ended.append((request.attempt_id, error.code))
            return
        await asyncio.sleep(RUN_S)
        self.ended.append((request.attempt_id, None))
        self.queue.release(grant, measured=True)

    async def run_all(self, requests):
        await asyncio.gather(*(self.run_one(request) for request in requests))

    def play(self, requests):
        run_virtual(self.run_all(requests), self.clock)
        return [name for name, code in self.ended if code is None]

    def warm_up(self):
        run_virtual(self.run_all([self.request("w")]), self.clock)
        self.ended.clear()

    def test_busier_than_expected(self):
        """Guards against queues at servers that looked idle to many senders."""
        self.warm_up()
        requests = [self.request(str(n)) for n in range(5)]
        wary = msgspec.structs.replace(self.request("wary"), max_wait=0.06)
        patient = msgspec.structs.replace(self.request("patient"), max_wait=0.3)
        self.assertIn("patient", self.play([*requests, wary, patient]))
        self.assertIn(("wary", ErrorCode.BUSIER_THAN_EXPECTED), self.ended)

    @parameterized.expand(
        [
            ("rank", {"rank": 0}, {"rank": 2}),
            ("nested before new", {"nested": True, "rank": 5}, {"rank": 0}),
            ("earlier aim", {"aim": 0.35}, {"aim": 0.4}),
        ]
    )
    def test_order(self, _, first, second):
        """Guards against urgent work behind work that can wait."""
        self.warm_up()
        running = [self.request(f"r{i}", rank=9) for i in range(2)]
        waiting = [self.request("second", **second), self.request("first", **first)]
        served = self.play(running + waiting)
        self.assertLess(served.index("first"), served.index("second"))

    def test_refuses_on_arrival_what_cannot_be_answered_in_time(self):
        """Guards against requests that wait for a refusal until their time is over.

        Twenty requests at once on two slots of 0.1 s can fill 0.4 s only in part.
        """
        self.warm_up()
        started = self.clock.monotonic()
        served = self.play([self.request(str(i)) for i in range(20)])
        refused = [code for _, code in self.ended if code is not None]
        self.assertEqual({ErrorCode.OVERLOADED}, set(refused))
        self.assertEqual(20, len(served) + len(refused))
        self.assertGreaterEqual(len(served), 5)
        self.assertLessEqual(self.clock.monotonic() - started, 0.4 + 1e-6)

    def test_overtaken_rank_is_refused_on_arrival(self):
        """Guards against low ranks that wait for long and are refused then.

        Load: urgent work takes nine tenths of the slots; the rest of the demand
        is of a lower rank, and its place in the queue promises too much.
        """
        self.warm_up()
        refused_after = []

        async def ask(request):
            started = self.clock.monotonic()
            try:
                grant = await self.queue.acquire(request)
            except CallError:
                refused_after.append(self.clock.monotonic() - started)
                return
            await asyncio.sleep(RUN_S)
            self.queue.release(grant, measured=True)

        async def play():
            tasks = []
            for step in range(400):
                tasks.append(asyncio.create_task(ask(self.request(rank=0))))
                if step % 2:
                    request = self.request(rank=2)
                    tasks.append(asyncio.create_task(ask(request)))
                await asyncio.sleep(RUN_S / 2 / 0.9)
            await asyncio.gather(*tasks)

        run_virtual(play(), self.clock)
        late = [seconds for seconds in refused_after if seconds > 0.05]
        self.assertGreater(len(refused_after), 50)
        self.assertLess(len(late) / len(refused_after), 0.5)

    def test_passed_deadline_is_refused(self):
        """Guards against runs that nobody waits for."""
        self.play([self.request("late", deadline=0.0)])
        self.assertEqual([("late", ErrorCode.DEADLINE_EXCEEDED)], self.ended)

    def test_slot_is_kept_for_nested_requests(self):
        """Guards against parents that hold all slots while their calls wait."""
        self.warm_up()

        async def play():
            await self.run_one(self.request("child", nested=True))
            parents = [
                asyncio.create_task(self.run_one(self.request(f"p{i}")))
                for i in range(3)
            ]
            await asyncio.sleep(0)
            grant = await self.queue.acquire(self.request("nested", nested=True))
            self.assertEqual(2, self.queue.load().in_use)
            self.queue.release(grant, measured=False)
            await asyncio.gather(*parents)

        run_virtual(play(), self.clock)

    def test_cancelled_waiter_frees_its_place(self):
        """Guards against slots that are lost when callers leave."""
        self.warm_up()

        async def play():
            running = [
                asyncio.create_task(self.run_one(self.request(str(i))))
                for i in range(2)
            ]
            await asyncio.sleep(0)
            waiting = asyncio.create_task(self.run_one(self.request("gone")))
            await asyncio.sleep(0)
            self.assertEqual(1, self.queue.load().queued)
            waiting.cancel()
            await asyncio.gather(*running, waiting, return_exceptions=True)
            self.assertTrue(self.queue.is_idle)

        run_virtual(play(), self.clock)

    def test_load_is_exact(self):
        """Guards against reports that other daemons choose by and that are wrong."""
        self.warm_up()

        async def play():
            tasks = [
                asyncio.create_task(self.run_one(self.request(str(i), rank=i)))
                for i in range(4)
            ]
            await asyncio.sleep(0)
            load = self.queue.load()
            self.assertEqual((2, 2, 2), (load.slots, load.in_use, load.queued))
            self.assertEqual((0, 0, 1, 1), load.queued_by_rank)
            self.assertAlmostEqual(RUN_S, load.service_time)
            await asyncio.gather(*tasks)

        run_virtual(play(), self.clock)
