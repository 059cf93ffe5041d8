"""Responses without a length on the connections of callers that pipeline."""

from __future__ import annotations

import asyncio
import contextlib
import unittest

from almondrouter.transport.callers import CallerServer
from almondrouter.transport.calls import CallerResponse


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
