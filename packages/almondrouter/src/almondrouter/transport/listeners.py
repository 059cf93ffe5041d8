"""Base class of TCP servers, and periodic checks and options of connections."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import sys
import termios
from abc import ABC, abstractmethod
from collections.abc import Callable

from almondrouter.addresses import split_address
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.logs import EventLogger

TICK_INTERVAL_S = 1.0

_log = EventLogger("listeners")


class Listener(ABC):
    """TCP server that checks its connections periodically.

    Parameters
    ----------
    address
        ``ip:port`` to listen on; port 0 selects a free port.
    tick_interval
        Seconds between checks of the connections.
    """

    def __init__(self, address: str, *, tick_interval: float = TICK_INTERVAL_S) -> None:
        self._address = address
        self._tick_interval = tick_interval
        self._server: asyncio.Server | None = None
        self._ticker: asyncio.Task | None = None

    @property
    def address(self) -> str:
        """Address that the server listens on, or will listen on when started."""
        if self._server is None or not self._server.sockets:
            return self._address
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen for connections and start the periodic checks.

        Raises
        ------
        AlmondError
            ``address_in_use`` if the address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        host, port = split_address(self._address)
        try:
            self._server = await loop.create_server(self.make_protocol, host, port)
        except OSError as error:
            raise AlmondError(ErrorCode.ADDRESS_IN_USE, str(error)) from error
        self._ticker = asyncio.create_task(
            run_periodically(self.tick, self._tick_interval)
        )

    @abstractmethod
    def make_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol for a new connection."""

    @abstractmethod
    def tick(self) -> None:
        """Check all connections; close those that are silent or too slow."""

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones are kept."""
        if self._server is not None:
            self._server.close()

    def stop_ticking(self) -> None:
        """Stop the periodic checks of the connections."""
        if self._ticker is not None:
            self._ticker.cancel()


async def run_periodically(
    tick: Callable[[], None], interval: float = TICK_INTERVAL_S
) -> None:
    """Call ``tick`` every ``interval`` seconds until cancelled."""
    while True:
        await asyncio.sleep(interval)
        tick()


def set_tcp_user_timeout(transport: asyncio.Transport, seconds: float) -> None:
    """Let TCP fail a connection whose sent data is not acknowledged in time.

    Notes
    -----
    Sets ``TCP_USER_TIMEOUT``; does nothing for transports without a socket.
    """
    connected = transport.get_extra_info("socket")
    if connected is not None:
        milliseconds = int(seconds * 1000)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def take_socket_error(transport: asyncio.Transport) -> int:
    """Return the pending error of a connection's socket and clear it.

    Returns
    -------
    int
        Error number; 0 if there is none, or for transports without a socket.
    """
    connected = transport.get_extra_info("socket")
    if connected is None:
        return 0
    return connected.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)


def count_unreceived_bytes(transport: asyncio.Transport) -> int:
    """Return the written bytes that the other end's host has not acknowledged.

    Returns
    -------
    int
        Bytes in the buffers of the transport and of its socket (``SIOCOUTQ``); the
        latter count as 0 for transports without a socket.
    """
    waiting = transport.get_write_buffer_size()
    connected = transport.get_extra_info("socket")
    if connected is None or connected.fileno() < 0:
        return waiting
    queued = bytearray(4)
    try:
        fcntl.ioctl(connected.fileno(), termios.TIOCOUTQ, queued)
    except OSError as error:
        _log.request("the send queue of a socket cannot be read", reason=str(error))
        return waiting
    return waiting + int.from_bytes(queued, sys.byteorder)


def set_reset_on_close(transport: asyncio.Transport, *, enabled: bool) -> None:
    """Choose whether the connection is reset if it ends without a half-close.

    Notes
    -----
    Sets ``SO_LINGER``; does nothing for transports that are closing or have no socket.
    """
    connected = transport.get_extra_info("socket")
    if connected is not None and not transport.is_closing():
        linger = struct.pack("ii", enabled, 0)
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
