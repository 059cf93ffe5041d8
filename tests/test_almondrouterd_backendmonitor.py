"""Tests of the monitor of backend servers: what its end leaves behind."""

from __future__ import annotations

import asyncio
import unittest

from almondrouter.clock import SystemClock
from almondrouterd.backendmonitor import BackendAnnouncement, BackendMonitor
from calls_support import TIMEOUT_S, wait_until


class BackendMonitorTest(unittest.IsolatedAsyncioTestCase):
    """A monitor with one backend server that never answers."""

    async def test_close_finishes_closing_removed_clients(self):
        """Guards against connections that stay open after the monitor has closed."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        clock = SystemClock()
        monitor = BackendMonitor(
            clock=clock, on_change=lambda _: None, on_crash=lambda _: None
        )
        fields = ("b", "s", f"{host}:{port}", 1, 1)
        monitor.announce(BackendAnnouncement(*fields))
        client = monitor.clients["b"]
        deadline = clock.monotonic() + TIMEOUT_S
        sending = client.send("GET", "/", (), b"", deadline=deadline)
        request = asyncio.create_task(sending)
        await wait_until(lambda: client._open)
        monitor.announce(BackendAnnouncement(*fields, state="stopped"))
        await monitor.close()
        await asyncio.wait([request], timeout=1.0)
        self.assertTrue(request.done(), "the connection is still open")
        self.assertIsNotNone(request.exception())

    async def serve(self, reader, writer):
        await reader.read()
        writer.close()
