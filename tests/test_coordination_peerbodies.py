"""Tests of the memory for bodies that other daemons send."""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from almondrouter.clock import SystemClock
from almondrouter.coordination.callerbudget import LARGE_SHARE, CallerBudget
from almondrouter.coordination.peerbodies import PeerBodies
from almondrouter.protocol.calls import BodyOffer
from calls_support import make_request

BODY_BYTES = 1_000_000
ROOM = 2
"""Bodies for which the budget has room."""


class PeerBodiesTest(unittest.IsolatedAsyncioTestCase):
    """The budget has room for two bodies, which count twice their length."""

    def setUp(self):
        self.clock = SystemClock()
        limit = int(2 * BODY_BYTES * (ROOM + 0.5) / LARGE_SHARE)
        self.budget = CallerBudget(limit, clock=self.clock)
        self.bodies = PeerBodies(self.budget, clock=self.clock)

    def offer(self, number, *, within=60.0):
        now = self.clock.monotonic()
        return BodyOffer(
            0, "c", "b", 1, BODY_BYTES, now + 60, now + within, offer_id=number
        )

    async def accept(self, number, *, within=60.0, run_time=0.1):
        offer = self.offer(number, within=within)
        until = offer.useful_until
        return await self.bodies.accept(offer, until=until, run_time=run_time)

    def begin(self, number, *, size=BODY_BYTES):
        request = make_request(deadline=self.clock.monotonic() + 60, backend="b")
        return self.bodies.begin(
            msgspec.structs.replace(request, body=bytes(size), offer_id=number)
        )

    async def fill(self):
        for number in range(1, ROOM + 1):
            self.assertTrue(await self.accept(number))

    async def test_offers_wait_for_memory_in_their_order(self):
        """Guards against bodies beyond the memory, and against early offers passed."""
        await self.fill()
        waiting = [asyncio.create_task(self.accept(number)) for number in (3, 4)]
        await asyncio.sleep(0)
        self.bodies.end(self.begin(1))
        self.assertTrue(await waiting[0])
        self.assertFalse(waiting[1].done())
        self.bodies.end(self.begin(2))
        self.assertTrue(await waiting[1])

    async def test_all_memory_is_returned(self):
        """Guards against a budget that shrinks with each body."""
        await self.fill()
        cancelled = asyncio.create_task(self.accept(3))
        await asyncio.sleep(0)
        cancelled.cancel()
        await asyncio.wait((cancelled,))
        self.bodies.decline(self.offer(2))
        self.bodies.end(self.begin(1))
        self.assertEqual(0, self.budget.used)

    async def test_offer_that_would_wait_too_long_is_refused_at_once(self):
        """Guards against callers that wait for a refusal until their time is over."""
        await self.fill()
        async with asyncio.timeout(5.0):
            self.assertFalse(await self.accept(3, within=20.0, run_time=100.0))

    async def test_accepted_body_that_never_comes_is_forgotten(self):
        """Guards against memory that is lost with each sender that dies."""
        self.assertTrue(await self.accept(1, within=0.05))
        self.assertTrue(await self.accept(2))
        self.assertTrue(await self.accept(3, within=30.0))

    async def test_waiting_offers_are_refused_when_the_server_leaves(self):
        """Guards against offers that could have gone to another host."""
        await self.fill()
        waiting = asyncio.create_task(self.accept(3))
        await asyncio.sleep(0)
        self.bodies.refuse_waiting()
        self.assertFalse(await waiting)

    async def test_body_without_an_offer_is_refused_beyond_the_memory(self):
        """Guards against bodies of earlier daemons that are not counted."""
        await self.fill()
        self.assertIsNone(self.begin(0))
        self.assertEqual(2 * 1000, self.begin(0, size=1000))
