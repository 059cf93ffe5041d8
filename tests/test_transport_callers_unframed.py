"""Responses without a length on the connections of callers that pipeline."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import unittest

import uvloop
from parameterized import parameterized

from almondrouter.transport.callers import CallerServer
from almondrouter.transport.calls import CallerResponse

LONG_BODY_BYTES = 16_000_000
"""Length of a response that does not fit into the buffers of its connection."""
END_TIMEOUT_S = 20.0


class UnframedResponseTest(unittest.IsolatedAsyncioTestCase):
    """Pipelines two safe requests; the first response has no length."""

    async def test_request_behind_the_response(self):
        """Guards against a request that runs but is cut off by an earlier response."""
        started = []

        async def handle(request):
            started.append(request.target)
            await asyncio.sleep(0.1)
            framed = request.target != "/first"
            return CallerResponse(200, (), request.target.encode(), framed=framed)

        server = CallerServer(address="127.0.0.1:0", handler=handle, max_body_bytes=0)
        await server.start()
        self.addAsyncCleanup(server.close)
        ip, port = server.address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        self.addCleanup(writer.close)
        for target in ("/first", "/second"):
            writer.write(f"GET {target} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        received = b""
        # A server may also keep the connection and answer both requests.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                while data := await reader.read(4096):
                    received += data
        self.assertIn(b"/first", received)
        if "/second" in started:
            self.assertIn(b"/second", received)


class UnframedResponseEndTest(unittest.TestCase):
    """The response is too long for the buffers between server and caller."""

    @parameterized.expand(
        [
            (f"{loop}, {'cut' if cut else 'whole'}", factory, cut)
            for loop, factory in (
                ("asyncio", asyncio.new_event_loop),
                ("uvloop", uvloop.new_event_loop),
            )
            for cut in (False, True)
        ]
    )
    def test_response_that_is_cut_ends_with_a_reset(self, _, factory, cut):
        """Guards against a daemon whose end makes half a response look complete."""
        with asyncio.Runner(loop_factory=factory) as runner:
            runner.run(self.check_end(cut))

    async def check_end(self, cut):
        async def handle(request):
            return CallerResponse(200, (), bytes(LONG_BODY_BYTES), framed=False)

        server = CallerServer(address="127.0.0.1:0", handler=handle, max_body_bytes=0)
        await server.start()
        ip, port = server.address.split(":")
        loop = asyncio.get_running_loop()
        with socket.socket() as caller:
            caller.setblocking(False)
            await loop.sock_connect(caller, (ip, int(port)))
            await loop.sock_sendall(caller, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            received = len(await loop.sock_recv(caller, 1))
            if cut:
                await server.close()
                with self.assertRaises(ConnectionResetError):
                    await self.count_received(caller)
            else:
                received += await self.count_received(caller)
                self.assertGreater(received, LONG_BODY_BYTES)
        await server.close()
        await asyncio.sleep(0)

    async def count_received(self, caller):
        """Read to the end of the connection; return the number of bytes."""
        loop = asyncio.get_running_loop()
        received = 0
        async with asyncio.timeout(END_TIMEOUT_S):
            while data := await loop.sock_recv(caller, 1_000_000):
                received += len(data)
        return received
