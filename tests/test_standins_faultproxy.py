"""Tests of the fault proxy: the effect of each fault on open and new connections."""

from __future__ import annotations

import asyncio
import unittest

from almondrouter_standins.faultproxy import FaultProxy

QUIET_S = 0.1


class FaultProxyTest(unittest.IsolatedAsyncioTestCase):
    """The target echoes the bytes that it receives."""

    async def asyncSetUp(self):
        self.target = await asyncio.start_server(self.echo_bytes, "127.0.0.1", 0)
        self.addAsyncCleanup(self.close_target)
        port = self.target.sockets[0].getsockname()[1]
        self.proxy = FaultProxy("127.0.0.1:0", lambda: f"127.0.0.1:{port}")
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.close)

    async def close_target(self):
        self.target.close()

    async def echo_bytes(self, reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def connect(self):
        host, _, port = self.proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def is_quiet(self, reader):
        try:
            async with asyncio.timeout(QUIET_S):
                await reader.read(1)
        except TimeoutError:
            return True
        return False

    async def test_passes_bytes_and_ends(self):
        """Guards against a proxy that alters connections when no fault is set."""
        reader, writer = await self.connect()
        writer.write(b"abc")
        self.assertEqual(b"abc", await reader.readexactly(3))
        writer.write_eof()
        self.assertEqual(b"", await reader.read())

    async def test_cut_holds_bytes_until_it_heals(self):
        """Guards against a cut that loses bytes or affects the other direction."""
        reader, writer = await self.connect()
        writer.write(b"a")
        await reader.readexactly(1)
        self.proxy.to_client.cut()
        writer.write(b"bc")
        self.assertTrue(await self.is_quiet(reader))
        self.proxy.heal()
        self.assertEqual(b"bc", await reader.readexactly(2))

    async def test_silence_is_for_good_but_new_connections_work(self):
        """Guards against silence that ends, or that affects new connections."""
        reader, writer = await self.connect()
        writer.write(b"a")
        await reader.readexactly(1)
        self.proxy.silence_connections()
        writer.write(b"b")
        self.assertTrue(await self.is_quiet(reader))
        self.proxy.heal()
        writer.write(b"c")
        self.assertTrue(await self.is_quiet(reader))
        reader, writer = await self.connect()
        writer.write(b"d")
        self.assertEqual(b"d", await reader.readexactly(1))

    async def test_reset(self):
        """Guards against a reset that leaves connections open."""
        reader, writer = await self.connect()
        writer.write(b"a")
        await reader.readexactly(1)
        self.proxy.reset_connections()
        with self.assertRaises(ConnectionResetError):
            await reader.readexactly(1)

    async def test_refusal(self):
        """Guards against a refusing proxy that lets connections through."""
        self.proxy.refusing = True
        reader, _ = await self.connect()
        with self.assertRaises(ConnectionResetError):
            await reader.readexactly(1)
