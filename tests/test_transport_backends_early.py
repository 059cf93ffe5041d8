"""Responses that arrive before the backend server has read the request."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest
from enum import Enum, auto

import uvloop
from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.errors import ErrorCode
from almondrouter.protocol.headers import Outcome
from almondrouter.transport.backends import BackendClient
from calls_support import CallAssertions

TIMEOUT_S = 20.0
RESET_DELAY_S = 0.2
HEAD = b"HTTP/1.1 200 OK\r\n"
PART = b"first part of a body"
LOOPS = (("asyncio", asyncio.new_event_loop), ("uvloop", uvloop.new_event_loop))


class End(Enum):
    """How the server ends a connection after its response."""

    RESET = auto()
    CLOSED_THEN_RESET = auto()
    CLOSED = auto()


def is_enough(received, read_bytes):
    """Return whether so many bytes, or all of a request, have been received."""
    if read_bytes is not None:
        return len(received) >= read_bytes
    head, _, body = received.partition(b"\r\n\r\n")
    return b"\r\nContent-Length: %d" % len(body) in head


class EarlyResponseTest(CallAssertions, unittest.TestCase):
    """A server that reads a part of an upload, responds and ends the connection."""

    def run_upload(self, factory, check):
        with asyncio.Runner(loop_factory=factory) as runner:
            runner.run(check())

    async def start(self, *, read_bytes, framing, end):
        """Start the server; return a client of it.

        It reads that many bytes before it responds; None for the whole request.
        """
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setblocking(False)
        self.addCleanup(listening.close)
        self.serving = asyncio.create_task(
            self.serve(listening, read_bytes, framing, end)
        )
        host, port = listening.getsockname()
        return BackendClient(
            f"{host}:{port}",
            connections=1,
            clock=SystemClock(),
            accept_unframed=True,
        )

    async def serve(self, listening, read_bytes, framing, end):
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(listening)
        with connection:
            connection.setblocking(False)
            received = b""
            while not is_enough(received, read_bytes):
                received += await loop.sock_recv(connection, read_bytes or 40_000)
            connection.send(HEAD + framing + b"\r\n" + PART)
            if end is End.CLOSED_THEN_RESET:
                connection.shutdown(socket.SHUT_WR)
                await asyncio.sleep(RESET_DELAY_S)
            if end is not End.CLOSED:
                reset = struct.pack("ii", 1, 0)
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)

    async def send(self, client, size):
        deadline = SystemClock().monotonic() + TIMEOUT_S
        try:
            return await client.send("POST", "/", (), bytes(size), deadline=deadline)
        finally:
            await client.close()
            await self.serving
            await asyncio.sleep(0)

    @parameterized.expand(
        [
            (f"{loop}, {size} bytes, {read} read, {end.name}", factory, size, read, end)
            for loop, factory in LOOPS
            for size in (300_000, 8_000_000)
            for read in (1, 40_000)
            for end in (End.RESET, End.CLOSED_THEN_RESET)
        ]
    )
    def test_response_without_length_to_an_unread_upload(
        self, _, factory, size, read, end
    ):
        """Guards against a part of a body that is passed on as a whole one.

        The server resets the connection while the upload is still being written.
        """

        async def check():
            client = await self.start(read_bytes=read, framing=b"", end=end)
            await self.assert_fails(
                self.send(client, size), ErrorCode.BACKEND_FAILED, Outcome.UNKNOWN
            )

        self.run_upload(factory, check)

    @parameterized.expand(LOOPS)
    def test_response_without_length_to_a_read_upload(self, _, factory):
        """Guards against a whole body that is refused because it has no length."""

        async def check():
            client = await self.start(read_bytes=None, framing=b"", end=End.CLOSED)
            response = await self.send(client, 300_000)
            self.assertEqual((PART, False), (response.body, response.framed))

        self.run_upload(factory, check)

    @parameterized.expand(LOOPS)
    def test_early_response_with_a_length(self, _, factory):
        """Guards against a refusal of an upload that is lost with the connection."""

        async def check():
            length = b"Content-Length: %d\r\n" % len(PART)
            client = await self.start(
                read_bytes=40_000, framing=length, end=End.CLOSED_THEN_RESET
            )
            self.assertEqual(PART, (await self.send(client, 8_000_000)).body)

        self.run_upload(factory, check)
