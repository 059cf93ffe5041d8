"""Tests of the backend client: servers that send bytes without end."""

from __future__ import annotations

import asyncio
import itertools
import socket
import threading
import time
import tracemalloc
import unittest
from contextlib import suppress
from unittest import mock

import uvloop
from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.transport import backends
from almondrouter.transport.backends import (
    MAX_HEADER_BYTES,
    MAX_RESPONSE_BYTES,
    BackendClient,
)
from almondrouter.transport.receivebudget import MAX_SHARED_BYTES
from calls_support import wait_until

OK = b"HTTP/1.1 200 OK\r\nAttempt: own\r\nContent-Length: 4\r\n\r\nbody"
STRAY = OK.replace(b"own", b"other")
HEAD = b"HTTP/1.1 200 OK\r\nAttempt: own\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
HUGE = HEAD + b"Content-Length: 999999999999\r\n\r\n"
TRAILERS = CHUNKED + b"4\r\nbody\r\n0\r\n"
BLOCK_BYTES = 65_536
DRIP_INTERVAL_S = 0.01
FLOOD_SECONDS = 5.0
DRIP_SECONDS = 0.3
READ_BYTES = 262_144
"""Largest number of bytes that an event loop passes on at once."""
MAX_LAG_S = 0.5
"""Half of the interval of pings, which a daemon must not miss."""
MAX_HELD_BYTES = 2 * (MAX_RESPONSE_BYTES + MAX_HEADER_BYTES + READ_BYTES)
"""A response at its limits while its parts are being joined."""
SMALL_HOST_BYTES = 128_000_000

ENDLESS = [
    ("garbage", b"", b"\x00garbage"),
    ("empty lines", b"", b"\r\n"),
    ("status line", b"HTTP/1.1 200 ", b"OK"),
    ("header name", HEAD, b"x"),
    ("header value", HEAD + b"name: ", b"x"),
    ("version", b"HTTP/1.", b"1"),
    ("status", b"HTTP/1.1 ", b"2"),
    ("length", HEAD + b"Content-Length: ", b"1"),
    ("length of zeros", HEAD + b"Content-Length: ", b"0"),
    ("spaces before a length", HEAD + b"Content-Length:", b" "),
    ("lengths", HEAD, b"Content-Length: 4\r\n"),
    ("transfer encoding", HEAD + b"Transfer-Encoding: ", b"chunked, "),
    ("folded header", HEAD + b"name: x\r\n", b" x\r\n"),
    ("small headers", HEAD, b"aa: bb\r\n"),
    ("100 Continue", b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    ("102 Processing", b"", b"HTTP/1.1 102 Processing\r\na: b\r\n\r\n"),
    ("body without length", HEAD + b"\r\n", b"x"),
    ("small chunks", CHUNKED, b"2\r\nxy\r\n"),
    ("large chunks", CHUNKED, b"4000\r\n" + bytes(0x4000) + b"\r\n"),
    ("one chunk", CHUNKED + b"fffffffffff\r\n", b"x"),
    ("chunk size", CHUNKED, b"0"),
    ("chunk extension", CHUNKED + b"4;", b"x"),
    ("chunk extension value", CHUNKED + b"4;name=", b"x"),
    ("long chunk extensions", CHUNKED, b"1;" + b"x" * 9_000 + b"\r\nx\r\n"),
    ("trailers", TRAILERS, b"aa: bb\r\n"),
    ("trailer value", TRAILERS + b"name: ", b"x"),
    ("body far above the limit", HUGE, b"x"),
    ("stray responses", b"", STRAY),
    ("large stray responses", b"", STRAY.replace(b"4", b"65536") + bytes(65_532)),
    ("stray responses without body", b"", STRAY.replace(b"4", b"0")[:-4]),
]


def is_own(headers, reused):
    """Return whether a response belongs to the request."""
    return ("attempt", "own") in headers


class EndlessServer:
    """Server that sends a prefix and then a unit without end; answers while calm."""

    def __init__(self):
        self.calm = False
        self.prefix = self.unit = b""
        self.interval = 0.0
        self.block_bytes = BLOCK_BYTES
        self.blocks = None
        self.started = []
        self.ended = 0
        self._stopping = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=200)
        host, port = self._listener.getsockname()
        self.address = f"{host}:{port}"
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        """Stop accepting and sending."""
        self._stopping.set()
        self._listener.close()

    def _accept(self):
        with suppress(OSError):
            while True:
                peer, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(peer,), daemon=True).start()

    def _serve(self, peer):
        with peer, suppress(OSError):
            while self._read_request(peer):
                if not self.calm:
                    self.started.append(peer.fileno())
                    try:
                        self._send_without_end(peer)
                    finally:
                        self.ended += 1
                peer.sendall(OK)

    def _read_request(self, peer):
        received = b""
        while not received.endswith(b"\r\n\r\n"):
            part = peer.recv(65_536)
            if not part:
                return False
            received += part
        return True

    def _send_without_end(self, peer):
        peer.sendall(self.prefix)
        block = self.unit * (self.block_bytes // len(self.unit) + 1)
        blocks = itertools.count() if self.blocks is None else range(self.blocks)
        for _ in blocks:
            if self._stopping.wait(self.interval):
                return
            peer.sendall(block)
        peer.recv(1)


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    """Requests to a server that sends without end until the client closes."""

    policy = asyncio.DefaultEventLoopPolicy

    @classmethod
    def setUpClass(cls):
        asyncio.set_event_loop_policy(cls.policy())

    @classmethod
    def tearDownClass(cls):
        asyncio.set_event_loop_policy(None)

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.server = EndlessServer()
        self.addCleanup(self.server.stop)
        self.use_client(connections=1)
        self.received = 0
        self.watch_received_bytes()
        self.lag = self.busy = 0.0
        ticker = asyncio.create_task(self.measure_lag())
        self.addCleanup(ticker.cancel)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)

    def use_client(self, *, connections):
        self.client = BackendClient(
            self.server.address,
            connections=connections,
            clock=SystemClock(),
            accept_unframed=True,
        )
        self.addAsyncCleanup(self.client.close)

    def watch_received_bytes(self):
        original = backends._Connection.data_received

        def count(connection, data):
            self.received += len(data)
            original(connection, data)

        patch = mock.patch.object(backends._Connection, "data_received", count)
        patch.start()
        self.addCleanup(patch.stop)

    async def measure_lag(self):
        clock = SystemClock()
        while True:
            due, used = clock.monotonic() + 0.01, time.thread_time()
            await asyncio.sleep(0.01)
            self.lag = max(self.lag, clock.monotonic() - due)
            # Other processes delay the event loop as well, but not in its own time.
            self.busy = max(self.busy, time.thread_time() - used)

    def send(self, *, seconds=FLOOD_SECONDS):
        deadline = SystemClock().monotonic() + seconds
        return self.client.send("GET", "/", (), b"", deadline=deadline, matches=is_own)

    async def assert_ends(self, *, seconds):
        """Check that the request fails in time and leaves nothing behind."""
        clock = SystemClock()
        started = clock.monotonic()
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        with self.assertRaises(CallError) as caught:
            await self.send(seconds=seconds)
        self.assertEqual(Outcome.UNKNOWN, caught.exception.outcome)
        self.assertLess(clock.monotonic() - started, seconds + MAX_LAG_S + self.lag)
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak - held, MAX_HELD_BYTES)
        await wait_until(lambda: self.server.ended)
        self.assertEqual(0, self.client.connections)
        await self.assert_next_request_succeeds(opened=2)

    async def assert_next_request_succeeds(self, *, opened):
        self.server.calm = True
        self.assertEqual(b"body", (await self.send()).body)
        self.assertEqual(opened, self.client.counts["connections_opened"])
        self.assertLess(self.busy, MAX_LAG_S)
        self.assertTrue(self.client._budget.reserve(MAX_SHARED_BYTES))

    @parameterized.expand(ENDLESS)
    async def test_flood_ends_the_request(self, _, prefix, unit):
        """Guards against a flood that occupies a request, the memory or the loop."""
        self.server.prefix, self.server.unit = prefix, unit
        await self.assert_ends(seconds=FLOOD_SECONDS)
        framing = len(unit) if len(unit) < 10 and prefix == CHUNKED else 1
        limit = framing * MAX_RESPONSE_BYTES + MAX_HEADER_BYTES + 2 * READ_BYTES
        self.assertLess(self.received, limit)

    @parameterized.expand([("small", 4), ("large", 60_000)])
    async def test_stray_responses_in_whole_writes_end_the_request(self, _, size):
        """Guards against limits that begin anew with each discarded response."""
        stray = STRAY.replace(b"Length: 4", b"Length: %d" % size)
        self.server.unit = stray + bytes(size - len(b"body"))
        self.server.interval, self.server.block_bytes = 0.001, 6_000
        await self.assert_ends(seconds=FLOOD_SECONDS)
        limit = MAX_RESPONSE_BYTES + MAX_HEADER_BYTES + 2 * READ_BYTES
        self.assertLess(self.received, limit)

    async def test_flood_of_chunks_leaves_others_their_turn(self):
        """Guards against a flood that keeps timers and other connections waiting."""
        self.server.prefix, self.server.unit = CHUNKED, b"2\r\nxy\r\n"
        with self.assertRaises(CallError):
            await self.send()
        await wait_until(lambda: self.server.ended)
        await self.assert_next_request_succeeds(opened=2)

    @parameterized.expand([*ENDLESS, ("valid body", HUGE.replace(b"99", b"9"), b"x")])
    async def test_drip_ends_the_request(self, _, prefix, unit):
        """Guards against a slow response that outlives the request's deadline."""
        self.server.prefix, self.server.unit = prefix, unit
        self.server.interval, self.server.block_bytes = DRIP_INTERVAL_S, 0
        await self.assert_ends(seconds=DRIP_SECONDS)

    @parameterized.expand([("garbage", b"x"), ("another", OK), ("lines", b"\r\n")])
    async def test_flood_after_a_response_closes_the_connection(self, _, unit):
        """Guards against reading from a server that goes on after its response."""
        self.server.prefix, self.server.unit = OK, unit
        self.assertEqual(b"body", (await self.send()).body)
        await wait_until(lambda: self.server.ended)
        self.assertLess(self.received, MAX_HEADER_BYTES + 2 * READ_BYTES)
        await self.assert_next_request_succeeds(opened=2)

    @parameterized.expand([("garbage", b"x"), ("strays", STRAY), ("lines", b"\r\n")])
    async def test_flood_on_a_reused_connection_ends_the_request(self, _, unit):
        """Guards against bytes of no response that count as the next response."""
        self.server.calm = True
        await self.send()
        self.server.calm = False
        self.server.unit = unit
        await self.assert_ends(seconds=FLOOD_SECONDS)
        self.assertLess(self.received, MAX_RESPONSE_BYTES + MAX_HEADER_BYTES)

    async def test_many_unfinished_responses_fit_into_a_small_host(self):
        """Guards against responses that exceed the memory together, not one by one."""
        self.use_client(connections=100)
        self.server.prefix, self.server.unit = HEAD + b"\r\n", b"x"
        self.server.blocks = MAX_RESPONSE_BYTES // BLOCK_BYTES - 1
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        sending = (self.send() for _ in range(30))
        results = await asyncio.gather(*sending, return_exceptions=True)
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak - held, SMALL_HOST_BYTES / 2)
        for error in results:
            self.assertIsInstance(error, CallError)
            self.assertEqual(Outcome.UNKNOWN, error.outcome)
        self.assertEqual(0, self.client.connections)
        await self.assert_next_request_succeeds(opened=31)

    async def flood_with_unfinished_heads(self):
        self.use_client(connections=100)
        self.server.prefix, self.server.unit = HEAD, b"a1: b2\r\n"
        self.server.blocks = MAX_HEADER_BYTES // BLOCK_BYTES - 1
        sending = (self.send() for _ in range(100))
        for error in await asyncio.gather(*sending, return_exceptions=True):
            self.assertIsInstance(error, CallError)
            self.assertEqual(Outcome.UNKNOWN, error.outcome)
        self.assertEqual(0, self.client.connections)

    async def test_many_unfinished_heads_fit_into_a_small_host(self):
        """Guards against short headers that occupy a multiple of their bytes."""
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        await self.flood_with_unfinished_heads()
        _, peak = tracemalloc.get_traced_memory()
        self.assertLess(peak - held, SMALL_HOST_BYTES / 2)

    async def test_many_unfinished_heads_leave_others_their_turn(self):
        """Guards against floods on all connections that stop the event loop."""
        # Tracing multiplies the time that each of a million small objects takes.
        tracemalloc.stop()
        await self.flood_with_unfinished_heads()
        await self.assert_next_request_succeeds(opened=101)

    async def test_short_responses_pass_while_long_ones_hold_the_memory(self):
        """Guards against failing ordinary requests because of a flood of others."""
        self.use_client(connections=100)
        self.server.prefix, self.server.unit = HEAD + b"\r\n", b"x"
        self.server.blocks = MAX_RESPONSE_BYTES // BLOCK_BYTES - 1
        floods = [asyncio.create_task(self.send()) for _ in range(30)]
        await wait_until(lambda: len(self.server.started) == len(floods))
        await wait_until(lambda: self.received > SMALL_HOST_BYTES / 4)
        self.server.calm = True
        for _ in range(10):
            self.assertEqual(b"body", (await self.send()).body)
        await asyncio.gather(*floods, return_exceptions=True)
        self.assertEqual(1, self.client.connections)


class EndlessResponseUvloopTest(EndlessResponseTest):
    """The same on the event loop of the daemon."""

    policy = uvloop.EventLoopPolicy
