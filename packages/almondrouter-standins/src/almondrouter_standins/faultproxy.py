"""A loopback proxy that delays, holds, silences or resets connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

from almondrouter.addresses import split_address

CHUNK_BYTES = 65_536
CONNECT_S = 1.0


class Direction:
    """The bytes that flow one way through a proxy.

    Parameters
    ----------
    delay
        Seconds that each chunk is held up.

    Notes
    -----
    Bytes that a cut holds up arrive once it heals, as a network sends them again.
    """

    def __init__(self) -> None:
        self.delay = 0.0
        self._open = asyncio.Event()
        self._open.set()

    def cut(self) -> None:
        """Hold back all bytes until `heal`."""
        self._open.clear()

    def heal(self) -> None:
        """Let the bytes flow without delay."""
        self.delay = 0.0
        self._open.set()

    async def pass_through(self) -> None:
        """Wait for as long as a chunk is held up."""
        if self.delay:
            await asyncio.sleep(self.delay)
        await self._open.wait()


class FaultProxy:
    """Passes TCP connections on, with faults.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    find_target
        Returns the ``ip:port`` that connections are passed on to.
    """

    def __init__(self, address: str, find_target: Callable[[], str]) -> None:
        self._address = address
        self._find_target = find_target
        self._pipes: set[_Pipe] = set()
        self._server: asyncio.Server | None = None
        self.refusing = False
        self.to_target = Direction()
        self.to_client = Direction()

    @property
    def address(self) -> str:
        """Return the address that the proxy listens on."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen for connections."""
        host, port = split_address(self._address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def close(self) -> None:
        """Drop all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        await asyncio.gather(*(p.ended.wait() for p in self._pipes))

    def reset_connections(self) -> None:
        """Reset all open connections; new ones work."""
        for pipe in tuple(self._pipes):
            pipe.reset()

    def silence_connections(self) -> None:
        """Discard the bytes of all open connections for good; new ones work."""
        for pipe in self._pipes:
            pipe.silent = True

    def heal(self) -> None:
        """End all faults; connections that were silenced stay so."""
        self.refusing = False
        self.to_target.heal()
        self.to_client.heal()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refusing:
            reset(writer)
            return
        host, port = split_address(self._find_target())
        try:
            async with asyncio.timeout(CONNECT_S):
                far_reader, far_writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            reset(writer)
            return
        pipe = _Pipe(writer, far_writer)
        self._pipes.add(pipe)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(pipe.pump(reader, far_writer, self.to_target))
                group.create_task(pipe.pump(far_reader, writer, self.to_client))
        finally:
            pipe.close()
            pipe.ended.set()
            self._pipes.discard(pipe)


class _Pipe:
    """One connection with both of its ends."""

    def __init__(self, near: asyncio.StreamWriter, far: asyncio.StreamWriter) -> None:
        self._writers = (near, far)
        self.silent = False
        self.ended = asyncio.Event()

    def close(self) -> None:
        """Close both ends, after what was written."""
        for writer in self._writers:
            writer.close()

    def reset(self) -> None:
        """Reset both ends."""
        for writer in self._writers:
            reset(writer)

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        """Pass bytes on until one end closes its connection."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await direction.pass_through()
                if not self.silent:
                    writer.write(data)
                    await writer.drain()
            await direction.pass_through()
            if not self.silent and writer.can_write_eof():
                writer.write_eof()
            return
        self.reset()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset instead of an orderly end."""
    connected = writer.get_extra_info("socket")
    if connected is not None and not writer.transport.is_closing():
        no_lingering = struct.pack("ii", 1, 0)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_lingering)
    writer.transport.abort()
