"""Tests of input without end from callers, from daemons of other hosts and the store.

The responses of backend servers are tested in `test_transport_backends_endless`.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
import tracemalloc
import unittest

import msgspec
from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.calls import CALL_CODEC, Ping, Pong
from almondrouter.protocol.codec import MAX_CALL_FRAME_BYTES
from almondrouter.state.routes import CallerLimits
from almondrouter.transport.calls import CallerRequest
from almondrouter.transport.frames import FrameStream
from almondrouter.transport.links import CallLinkServer
from almondrouter.transport.readers import RequestReader, RequestSink
from almondrouterd.platform.store import PlatformStore
from calls_support import make_hello, wait_until
from test_transport_broken_messages import start_server

MAX_HEADER_BYTES = 32_768
MAX_BODY_BYTES = 1_000_000
BLOCK_BYTES = 65_536
MAX_HELD_BYTES = 8_000_000
"""Several copies of a request at its limits, each header an object of its own."""
SMALL_BUFFER = 8_192
PING_ROUNDS = 300
FLOOD_BLOCKS = 1_000
POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
TRAILERS = CHUNKED + b"4\r\nbody\r\n0\r\n"
INVALID, TOO_LARGE = ErrorCode.HEADER_INVALID, ErrorCode.BODY_TOO_LARGE


class RecordingSink(RequestSink):
    """Keeps what the reader passes on."""

    request_room = 16

    def __init__(self):
        self.requests: list[CallerRequest] = []
        self.refusals: list[ErrorCode] = []

    def accept_request(self, request, *, keep_alive):
        """Keep a request."""
        self.requests.append(request)

    def refuse_request(self, code, *, event=""):
        """Keep the code of a refusal."""
        self.refusals.append(code)

    def confirm_expectation(self):
        """Do nothing."""


class EndlessRequestTest(unittest.TestCase):
    """Feeds a reader directly; no connection and no event loop."""

    def setUp(self):
        limits = CallerLimits(MAX_HEADER_BYTES, MAX_BODY_BYTES, 10.0, 75.0)
        self.sink = RecordingSink()
        self.reader = RequestReader(
            sink=self.sink, limits=lambda: limits, clock=SystemClock()
        )

    @parameterized.expand(
        [
            ("method", b"", b"A", INVALID, 0),
            ("target", b"GET /", b"x", INVALID, MAX_HEADER_BYTES),
            ("header name", POST, b"x", INVALID, MAX_HEADER_BYTES),
            ("header value", POST + b"name: ", b"x", INVALID, MAX_HEADER_BYTES),
            ("small headers", POST, b"a: b\r\n", INVALID, MAX_HEADER_BYTES),
            ("length", POST + b"Content-Length: ", b"1", INVALID, MAX_HEADER_BYTES),
            ("zeros", POST + b"Content-Length: ", b"0", INVALID, MAX_HEADER_BYTES),
            ("spaces", POST + b"Content-Length:", b" ", INVALID, MAX_HEADER_BYTES),
            ("one chunk", CHUNKED + b"fffffffff\r\n", b"x", TOO_LARGE, MAX_BODY_BYTES),
            ("chunks", CHUNKED, b"2\r\nxy\r\n", TOO_LARGE, 4 * MAX_BODY_BYTES),
            ("chunk size", CHUNKED, b"0", INVALID, MAX_HEADER_BYTES),
            ("extension", CHUNKED + b"4;", b"x", INVALID, MAX_HEADER_BYTES),
            ("trailers", TRAILERS, b"aa: bb\r\n", INVALID, MAX_HEADER_BYTES),
            ("trailer value", TRAILERS + b"name: ", b"x", INVALID, MAX_HEADER_BYTES),
        ]
    )
    def test_endless_request_is_refused(self, _, prefix, unit, code, limit):
        """Guards against a caller whose request fills the memory of the daemon."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.reader.feed(prefix)
        block = unit * (BLOCK_BYTES // len(unit))
        fed = 0
        while not self.sink.refusals and fed <= limit:
            self.reader.feed(block)
            while self.reader.is_interrupted:
                self.reader.go_on()
            fed += len(block)
        self.assertEqual([code], self.sink.refusals)
        self.assertEqual([], self.sink.requests)
        self.assertLess(tracemalloc.get_traced_memory()[1], MAX_HELD_BYTES)

    @parameterized.expand([("in one piece", 10_000), ("byte by byte", 1)])
    def test_trailers_are_no_headers(self, _, size):
        """Guards against a trailer that replaces a header, such as a request's id."""
        data = TRAILERS + b"host: other\r\nname: value\r\n\r\n"
        for begin in range(0, len(data), size):
            self.reader.feed(data[begin : begin + size])
        (request,) = self.sink.requests
        self.assertEqual(b"body", request.body)
        expected = (("host", "a"), ("transfer-encoding", "chunked"))
        self.assertEqual(expected, request.headers)


class EndlessFramesTest(unittest.IsolatedAsyncioTestCase):
    """A peer sends frames without end on a link to this daemon."""

    async def asyncSetUp(self):
        self.streams = []
        self.ends = []
        self.frames = []
        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        server = await asyncio.get_running_loop().create_server(
            lambda: FrameStream(SystemClock(), on_connect=self.serve), sock=listener
        )
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.reader, self.writer = await asyncio.open_connection(
            host, port, limit=SMALL_BUFFER
        )
        self.addCleanup(self.writer.close)

    async def serve(self, stream):
        await stream.run_server_handshake(make_hello("server"))
        stream.set_callbacks(self.frames.append, self.ends.append)
        self.streams.append(stream)

    async def shake_hands(self):
        self.write(make_hello("peer"))
        length = int.from_bytes(await self.reader.readexactly(4), "big")
        hello = CALL_CODEC.decode(await self.reader.readexactly(length))
        self.write(Pong(hello.clock, 0.0))
        await wait_until(lambda: self.streams)

    def write(self, frame):
        data = CALL_CODEC.encode(frame)
        self.writer.write(len(data).to_bytes(4, "big") + data)

    async def test_pings_of_a_peer_that_reads_nothing(self):
        """Guards against replies that fill the memory until the peer reads them."""
        await self.shake_hands()
        (stream,) = self.streams
        self.reader._transport.pause_reading()
        for _ in range(PING_ROUNDS):
            for _ in range(1_000):
                self.write(Ping(1.0))
            await self.writer.drain()
        await wait_until(lambda: not stream.is_writable)
        self.write(make_hello("last"))
        await wait_until(lambda: self.frames)
        # The limit at which a stream stops being writable, and what one read adds.
        self.assertLess(stream._transport.get_write_buffer_size(), 1_000_000)

    async def test_frame_of_any_length(self):
        """Guards against a length that makes a daemon store what never ends."""
        await self.shake_hands()
        self.writer.write((MAX_CALL_FRAME_BYTES + 1).to_bytes(4, "big") + b"x")
        await wait_until(lambda: self.ends)
        self.assertEqual(ErrorCode.FRAME_TOO_LARGE, self.ends[0].code)


class EndlessLinkTest(unittest.IsolatedAsyncioTestCase):
    """Something other than a daemon connects to the links of this daemon."""

    async def asyncSetUp(self):
        self.server = CallLinkServer(
            address="127.0.0.1:0",
            hello=make_hello("server"),
            handler=None,
            clock=SystemClock(),
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    @parameterized.expand(
        [
            ("odd bytes", b"", b"odd "),
            ("empty frames", b"", bytes(4)),
            ("frames of another kind", b"", b"\x00\x00\x00\x01\x90"),
            ("frame at the limit", MAX_CALL_FRAME_BYTES.to_bytes(4, "big"), b"x"),
        ]
    )
    async def test_bytes_that_are_no_frames(self, _, prefix, unit):
        """Guards against odd bytes that are kept until their sender has had enough."""
        host, port = self.server.address.rsplit(":", 1)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        _, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(prefix)
        with self.assertRaises(ConnectionError):
            for _ in range(FLOOD_BLOCKS):
                writer.write(unit * (BLOCK_BYTES // len(unit)))
                await writer.drain()
        peak = tracemalloc.get_traced_memory()[1]
        self.assertLess(peak, 2 * MAX_CALL_FRAME_BYTES + MAX_HELD_BYTES)


class EndlessPagesTest(unittest.IsolatedAsyncioTestCase):
    """The store always says that there is a further page."""

    async def asyncSetUp(self):
        self.keys = itertools.repeat("a/1")
        address = await start_server(self, self.serve)
        self.store = PlatformStore(address, clock=SystemClock())
        self.addAsyncCleanup(self.store.close)

    async def serve(self, reader, writer):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
        with contextlib.closing(writer), contextlib.suppress(EOFError):
            while await reader.readuntil(b"\r\n\r\n"):
                item = {"key": next(self.keys), "value": "", "revision": 1}
                page = {"items": [item], "at": 5, "has_more": True}
                body = msgspec.json.encode(page)
                writer.write(head % len(body) + body)

    @parameterized.expand([("the same", ["a/1", "a/1"]), ("earlier", ["a/2", "a/1"])])
    async def test_page_that_does_not_continue_is_invalid(self, _, keys):
        """Guards against reading the same page for ever."""
        self.keys = iter([*keys, *itertools.repeat("a/1", 100)])
        with self.assertRaises(AlmondError) as caught:
            await self.store.read_prefix("a/")
        self.assertEqual(ErrorCode.STORE_RESPONSE_INVALID, caught.exception.code)
