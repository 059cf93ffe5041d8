"""Long replies in parts over TCP links: order, failures and peers of other versions."""

from __future__ import annotations

import asyncio
import unittest

import msgspec
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.transfers.budget import LinkBudget
from almondrouter.coordination.transfers.scheduler import TransferScheduler
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import Cancel, ReplyPart
from almondrouter.protocol.headers import Outcome
from almondrouter.transport.frames import FrameStream
from almondrouter.transport.links import CallLinkPool, CallLinkServer
from almondrouter.transport.parts import MAX_PARTED_BYTES
from calls_support import (
    TIMEOUT_S,
    CallAssertions,
    make_hello,
    make_reply,
    make_request,
    wait_until,
)

LONG = bytes(range(256)) * 2_000
"""Body of 512,000 bytes, which takes 0.4 s on a link of 10 Mbit/s."""
LINK_BYTES_PER_SECOND = 1_250_000.0
BROKEN = (ErrorCode.PEER_TIMEOUT, Outcome.UNKNOWN)


class PartsTest(CallAssertions, unittest.IsolatedAsyncioTestCase):
    """A server on a link of 10 Mbit/s, whose clock stands still unless advanced."""

    async def asyncSetUp(self):
        self.clock = ManualClock(monotonic=1000.0)
        budget = LinkBudget(bytes_per_second=LINK_BYTES_PER_SECOND, clock=self.clock)
        self.scheduler = TransferScheduler(budget, self.clock)
        self.server = CallLinkServer(
            address="127.0.0.1:0",
            hello=make_hello("server"),
            handler=self.handle,
            clock=self.clock,
            pacer=self.scheduler,
        )
        self.server.traffic.on_sent = budget.charge
        self.pool = CallLinkPool(hello=make_hello("caller"), clock=self.clock)
        await self.server.start()
        self.addAsyncCleanup(self.server.close)
        self.addAsyncCleanup(self.pool.close)

    async def handle(self, request):
        return make_reply(LONG if request.body == b"long" else request.body)

    def start_call(self, body, pool=None):
        request = make_request(body, deadline=self.clock.monotonic() + 60)
        call = (pool or self.pool).call(self.server.address, request)
        return asyncio.create_task(call)

    async def finish_on_link(self, call):
        """Advance the clock as the link carries the parts; return the reply."""
        async with asyncio.timeout(TIMEOUT_S):
            while not call.done():
                self.clock.advance(0.005)
                await asyncio.sleep(0.002)
        return await call

    async def start_long_call(self):
        self.clock.advance(1)
        call = self.start_call(b"long")
        await wait_until(lambda: self.scheduler.counts["parts"])
        return call

    async def test_short_reply_overtakes_a_long_one(self):
        """Guards against nested calls that wait behind a download on their link."""
        long_call = await self.start_long_call()
        other_pool = CallLinkPool(hello=make_hello("other"), clock=self.clock)
        self.addAsyncCleanup(other_pool.close)
        for pool in (self.pool, other_pool):
            self.assertEqual(b"short", (await self.start_call(b"short", pool)).body)
        sent = self.server.traffic.bytes_sent
        self.assertLess(sent, 3 * self.scheduler.budget.part_bytes)
        self.assertFalse(long_call.done())
        reply = await self.finish_on_link(long_call)
        self.assertEqual((LONG, Outcome.COMPLETE), (reply.body, reply.outcome))

    async def test_cancelled_call_drops_its_parts(self):
        """Guards against parts that use the link although their caller has left."""
        call = await self.start_long_call()
        call.cancel()
        await wait_until(lambda: not self.scheduler.waiting_transfers)
        self.assertEqual(1, self.scheduler.counts["dropped"])
        self.assertFalse(self.scheduler.count_bytes_by_rank())

    async def test_link_end_between_parts(self):
        """Guards against a cut body that passes for a whole or for one not run."""
        call = await self.start_long_call()
        for link in tuple(self.server._links):
            link.stream.close()
        await self.assert_fails(call, *BROKEN)
        await wait_until(lambda: not self.scheduler.waiting_transfers)

    async def test_drain_finishes_transfers(self):
        """Guards against a graceful stop that cuts a response that was produced."""
        call = await self.start_long_call()
        drain = asyncio.create_task(self.server.drain())
        self.assertEqual(LONG, (await self.finish_on_link(call)).body)
        await drain

    async def test_peer_without_parts_gets_a_whole_reply(self):
        """Guards against frames that a daemon of the version before rejects."""
        stream = await FrameStream.connect(self.server.address, self.clock)
        self.addCleanup(stream.close)
        await stream.run_client_handshake(make_hello("earlier"))
        stream.send(make_request(b"long", deadline=self.clock.monotonic() + 60))
        self.assertEqual(LONG, (await stream.receive()).body)

    async def test_unread_connection_does_not_hold_back_others(self):
        """Guards against one receiver that reads nothing and stops all transfers."""
        blocked = await self.start_long_call()
        (link,) = self.server._links
        link.stream.pause_writing()
        other_pool = CallLinkPool(hello=make_hello("other"), clock=self.clock)
        self.addAsyncCleanup(other_pool.close)
        other = self.start_call(b"long", other_pool)
        await wait_until(lambda: self.scheduler.waiting_transfers == 2)
        self.assertEqual(LONG, (await self.finish_on_link(other)).body)
        self.assertFalse(blocked.done())
        link.stream.resume_writing()
        self.assertEqual(LONG, (await self.finish_on_link(blocked)).body)


class BrokenBodiesTest(CallAssertions, unittest.IsolatedAsyncioTestCase):
    """A peer that sends the parts of one reply as a test tells it."""

    async def asyncSetUp(self):
        self.clock = ManualClock(monotonic=1000.0)
        self.streams = []
        server = await asyncio.get_running_loop().create_server(
            lambda: FrameStream(self.clock, on_connect=self.serve), "127.0.0.1", 0
        )
        self.addCleanup(server.close)
        self.pool = CallLinkPool(hello=make_hello("caller"), clock=self.clock)
        self.addAsyncCleanup(self.pool.close)
        host, port = server.sockets[0].getsockname()
        request = make_request(deadline=self.clock.monotonic() + 60)
        self.call = asyncio.create_task(self.pool.call(f"{host}:{port}", request))
        await wait_until(lambda: self.streams)
        self.peer = self.streams[0]
        self.call_id = (await self.peer.receive()).call_id

    async def serve(self, stream):
        await stream.run_server_handshake(make_hello("peer"))
        self.streams.append(stream)

    def send(self, parts, *, size=6, total=6, call_id=None):
        call_id = call_id or self.call_id
        for offset, data in parts:
            self.peer.send(ReplyPart(call_id, size, offset, data))
        self.peer.send(
            msgspec.structs.replace(make_reply(), call_id=call_id, parts_bytes=total)
        )

    @parameterized.expand(
        [
            ("missing in the middle", [(0, b"ab"), (4, b"ef")], {}),
            ("missing at the end", [(0, b"ab"), (2, b"cd")], {}),
            ("all missing", [], {}),
            ("reordered", [(2, b"cd"), (0, b"ab"), (4, b"ef")], {}),
            ("repeated", [(0, b"ab"), (0, b"ab"), (2, b"cdef")], {}),
            ("too many", [(0, b"abcdef"), (6, b"gh")], {}),
            ("empty", [(0, b""), (0, b"abcdef")], {}),
            ("shorter than announced", [(0, b"abc")], {"total": 3}),
            ("longer than announced", [(0, b"abcdef")], {"total": 7}),
            ("not announced", [(0, b"abcdef")], {"total": 0}),
            ("beyond the memory", [(0, b"ab")], {"size": MAX_PARTED_BYTES + 1}),
            ("negative size", [(0, b"ab")], {"size": -2}),
        ]
    )
    async def test_broken_body(self, _, parts, announced):
        """Guards against a response that looks whole although bytes are missing."""
        self.send(parts, **announced)
        await self.assert_fails(self.call, *BROKEN)
        self.assertEqual(Cancel(self.call_id), await self.peer.receive())
        self.assertEqual(1, self.pool.counts["bodies_broken"])
        self.assertEqual(0, self.pool._parts_budget._used)

    @parameterized.expand(
        [(status, parts) for status in (-1, 0, 99, 600) for parts in (False, True)]
    )
    async def test_reply_with_an_invalid_status(self, status, parts):
        """Guards against an answer of another daemon whose status is none of HTTP."""
        if parts:
            self.peer.send(ReplyPart(self.call_id, 6, 0, b"abcdef"))
        reply = msgspec.structs.replace(
            make_reply(),
            call_id=self.call_id,
            status=status,
            parts_bytes=6 if parts else 0,
        )
        self.peer.send(reply)
        await self.assert_fails(self.call, *BROKEN)
        self.assertEqual(1, self.pool.counts["replies_invalid"])

    async def test_parts_of_an_unknown_call(self):
        """Guards against stray parts that end the link or reach another call."""
        self.send([(0, b"xxxxxx")], call_id=self.call_id + 1)
        self.send([(0, b"abc"), (3, b"def")])
        self.assertEqual(b"abcdef", (await self.call).body)
        self.assertEqual(1, self.pool.counts["late_parts"])
        self.assertEqual(0, self.pool._parts_budget._used)

    async def test_error_instead_of_the_rest(self):
        """Guards against losing the reason why a body could not be finished."""
        self.peer.send(ReplyPart(self.call_id, 6, 0, b"abc"))
        error = msgspec.structs.replace(
            make_reply(), call_id=self.call_id, outcome=Outcome.UNKNOWN, code="x"
        )
        self.peer.send(error)
        self.assertEqual("x", (await self.call).code)
