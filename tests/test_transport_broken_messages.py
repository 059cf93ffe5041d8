"""Messages that break off at any byte on links, at the store and from callers.

The responses of backend servers are cut in `test_transport_backends_copies`.
"""

from __future__ import annotations

import asyncio
import unittest
import zlib

import msgspec
from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.coordination.deltas import apply_delta
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.calls import CALL_CODEC
from almondrouter.protocol.control import CONTROL_CODEC
from almondrouter.protocol.headers import Outcome
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.calls import BackendResponse, CallerResponse
from almondrouter.transport.frames import FrameStream
from almondrouter.transport.links import CallLinkPool
from almondrouter.transport.store import Put, Transaction
from almondrouterd.platform.store import PlatformStore, decode_response
from calls_support import CallAssertions, make_hello, make_reply, make_request

TIMEOUT_S = 5.0
NESTING = 3_000
NESTED = b"\x91" * NESTING
NESTED_DELTA = b"\x93\x00\x90" + NESTED
"""Digest 0, no parts, and a field that this version does not know."""
NESTED_RESPONSE = BackendResponse(200, (), b'{"x":' + b"[" * NESTING)


async def start_server(case, serve):
    """Start a server whose connections a coroutine serves; return its address."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    case.addCleanup(server.close)
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


class BrokenReplyTest(CallAssertions, unittest.IsolatedAsyncioTestCase):
    """A daemon dies while it sends its reply over a link."""

    async def asyncSetUp(self):
        self.length = 0
        self.clock = SystemClock()
        server = await asyncio.get_running_loop().create_server(
            lambda: FrameStream(self.clock, on_connect=self.serve), "127.0.0.1", 0
        )
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def make_frame(self, call_id):
        reply = msgspec.structs.replace(make_reply(b"body"), call_id=call_id)
        data = CALL_CODEC.encode(reply)
        return len(data).to_bytes(4, "big") + data

    async def serve(self, stream):
        await stream.run_server_handshake(make_hello("server"))
        request = await stream.receive()
        stream._transport.write(self.make_frame(request.call_id)[: self.length])
        stream._transport.close()

    async def test_reply_that_ends_early_is_unknown(self):
        """Guards against a broken frame that is taken for a complete reply."""
        whole = len(self.make_frame(1))
        for length in range(whole):
            self.length = length
            pool = CallLinkPool(hello=make_hello("caller"), clock=self.clock)
            request = make_request(deadline=self.clock.monotonic() + TIMEOUT_S)
            with self.subTest(length=length):
                await self.assert_fails(
                    pool.call(self.address, request),
                    ErrorCode.PEER_TIMEOUT,
                    Outcome.UNKNOWN,
                )
            await pool.close()


class NestedMessageTest(unittest.TestCase):
    """Messages that are nested more deeply than the decoders can follow."""

    @parameterized.expand(
        [
            ("frame", CALL_CODEC.decode, b"\x93\x05\x01" + NESTED),
            ("control message", CONTROL_CODEC.decode, b"\x92\xa2sq" + NESTED),
            ("delta", lambda data: apply_delta(b"", zlib.compress(data)), NESTED_DELTA),
            ("store", lambda data: decode_response(data, dict), NESTED_RESPONSE),
        ]
    )
    def test_nested_message_is_malformed(self, _, decode, data):
        """Guards against a message that ends a task with an unexpected exception."""
        with self.assertRaises(AlmondError):
            decode(data)


class BrokenStoreResponseTest(unittest.IsolatedAsyncioTestCase):
    """The store's response breaks off; what it was asked may have been done."""

    async def asyncSetUp(self):
        self.length = 0
        self.response = b""
        address = await start_server(self, self.serve)
        self.store = PlatformStore(address, clock=SystemClock())
        self.addAsyncCleanup(self.store.close)

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.response[: self.length])
        writer.close()

    @parameterized.expand([("read",), ("commit",)])
    async def test_response_that_ends_early_is_no_result(self, name):
        """Guards against a configuration or a write that is only half confirmed."""
        body = b'{"items":[],"has_more":false,"at":5,"revision":5}'
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.response = head + body
        for length in range(len(self.response)):
            self.length = length
            with self.subTest(length=length):
                with self.assertRaises(AlmondError) as caught:
                    await self.call(name)
                code = caught.exception.code
                self.assertEqual(ErrorCode.STORE_OUTCOME_UNKNOWN, code)
        self.length = len(self.response)
        await self.call(name)

    def call(self, name):
        if name == "read":
            return self.store.read_prefix("a/")
        return self.store.commit(Transaction(success=(Put("a/b", b"value"),)))


class BrokenRequestTest(unittest.IsolatedAsyncioTestCase):
    """A caller breaks off in the middle of its request."""

    async def asyncSetUp(self):
        self.handled = []
        self.server = CallerServer(
            address="127.0.0.1:0", handler=self.handle, max_body_bytes=100
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request):
        self.handled.append(request)
        return CallerResponse(200, (), b"")

    @parameterized.expand(
        [
            ("length", b"Content-Length: 4\r\n\r\nbody"),
            ("chunks", b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"),
        ]
    )
    async def test_request_that_ends_early_is_not_run(self, _, rest):
        """Guards against running a request of which only a part has arrived."""
        request = b"POST /x HTTP/1.1\r\nHost: a\r\n" + rest
        for length in range(len(request)):
            with self.subTest(length=length):
                await self.send(request[:length])
                self.assertEqual([], self.handled)
        await self.send(request)
        self.assertEqual([b"body"], [item.body for item in self.handled])

    async def send(self, data):
        host, port = self.server.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        writer.write_eof()
        async with asyncio.timeout(TIMEOUT_S):
            await reader.read()
        writer.close()
