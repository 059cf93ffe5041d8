"""A TCP proxy that delays, blocks, blackholes, resets or refuses connections."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable

from almondrouter.addresses import split_address

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0


class Direction:
    """Faults of one direction of a proxy's connections.

    Attributes
    ----------
    delay
        Seconds by which each chunk is delayed.

    Notes
    -----
    Bytes held back by a cut arrive after it heals, as TCP retransmits them.
    """

    def __init__(self) -> None:
        self.delay = 0.0
        self._unblocked = asyncio.Event()
        self._unblocked.set()

    def cut(self) -> None:
        """Hold back all bytes until `heal` is called."""
        self._unblocked.clear()

    def heal(self) -> None:
        """End the cut and the delay."""
        self.delay = 0.0
        self._unblocked.set()

    async def wait_until_passable(self) -> None:
        """Wait until a chunk may be forwarded."""
        if self.delay:
            await asyncio.sleep(self.delay)
        await self._unblocked.wait()


class FaultProxy:
    """Forwards TCP connections to a target, with faults.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    find_target
        Returns the ``ip:port`` to forward a new connection to.

    Attributes
    ----------
    refusing
        Whether new connections are reset at once.
    to_target, to_client
        Faults of the two directions.
    """

    def __init__(self, address: str, find_target: Callable[[], str]) -> None:
        self._address = address
        self._find_target = find_target
        self._connections: set[_ProxiedConnection] = set()
        self._server: asyncio.Server | None = None
        self.refusing = False
        self.to_target = Direction()
        self.to_client = Direction()

    @property
    def address(self) -> str:
        """Return the ``ip:port`` that the proxy listens on."""
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Start listening."""
        host, port = split_address(self._address)
        self._server = await asyncio.start_server(self._serve, host, port)

    async def close(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
        await asyncio.gather(*(p.closed.wait() for p in self._connections))

    def reset_connections(self) -> None:
        """Reset all open connections; later ones are not affected."""
        for connection in tuple(self._connections):
            connection.reset()

    def silence_connections(self) -> None:
        """Discard all further bytes of the open connections, permanently.

        Later connections are not affected.
        """
        for connection in self._connections:
            connection.discards_data = True

    def heal(self) -> None:
        """End all faults, except for connections that were silenced."""
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
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                target_reader, target_writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            reset(writer)
            return
        connection = _ProxiedConnection(writer, target_writer)
        self._connections.add(connection)
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    connection.forward(reader, target_writer, self.to_target)
                )
                group.create_task(
                    connection.forward(target_reader, writer, self.to_client)
                )
        finally:
            connection.close()
            connection.closed.set()
            self._connections.discard(connection)


class _ProxiedConnection:
    """A client's connection and the proxy's own connection to the target."""

    def __init__(
        self, client: asyncio.StreamWriter, target: asyncio.StreamWriter
    ) -> None:
        self._writers = (client, target)
        self.discards_data = False
        self.closed = asyncio.Event()

    def close(self) -> None:
        """Close both connections after their written bytes are sent."""
        for writer in self._writers:
            writer.close()

    def reset(self) -> None:
        """Reset both connections."""
        for writer in self._writers:
            reset(writer)

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        """Forward bytes one way until the sender closes its end."""
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await direction.wait_until_passable()
                if not self.discards_data:
                    writer.write(data)
                    await writer.drain()
            await direction.wait_until_passable()
            if not self.discards_data and writer.can_write_eof():
                writer.write_eof()
            return
        self.reset()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with TCP RST instead of FIN."""
    client_socket = writer.get_extra_info("socket")
    if client_socket is not None and not writer.transport.is_closing():
        zero_linger = struct.pack("ii", 1, 0)
        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
    writer.transport.abort()
