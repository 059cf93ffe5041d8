"""TCP servers that look at their connections regularly."""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable

from almondrouter.addresses import split_address
from almondrouter.errors import AlmondError, ErrorCode

TICK_S = 1.0


class Listener(ABC):
    """A TCP server that looks at its connections regularly.

    Parameters
    ----------
    address
        ``ip:port`` to listen on; port 0 takes a free one.
    tick_interval
        Seconds between looks at the connections.
    """

    def __init__(self, address: str, *, tick_interval: float = TICK_S) -> None:
        self._address = address
        self._tick_interval = tick_interval
        self._server: asyncio.Server | None = None
        self._ticker: asyncio.Task | None = None

    @property
    def address(self) -> str:
        """Return the address that the server listens on."""
        if self._server is None or not self._server.sockets:
            return self._address
        host, port = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen for connections.

        Raises
        ------
        AlmondError
            ``address_in_use`` if the address cannot be taken.
        """
        loop = asyncio.get_running_loop()
        host, port = split_address(self._address)
        try:
            self._server = await loop.create_server(self.make_protocol, host, port)
        except OSError as error:
            raise AlmondError(ErrorCode.ADDRESS_IN_USE, str(error)) from error
        self._ticker = asyncio.create_task(tick_forever(self.tick, self._tick_interval))

    @abstractmethod
    def make_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol of a new connection."""

    @abstractmethod
    def tick(self) -> None:
        """Close the connections that are silent or slow."""

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    def stop_ticking(self) -> None:
        """End the looks at the connections."""
        if self._ticker is not None:
            self._ticker.cancel()


async def tick_forever(tick: Callable[[], None], interval: float = TICK_S) -> None:
    """Call ``tick`` at an interval in seconds."""
    while True:
        await asyncio.sleep(interval)
        tick()


def set_user_timeout(transport: asyncio.Transport, seconds: float) -> None:
    """Drop a connection whose peer acknowledges nothing for some seconds."""
    connected = transport.get_extra_info("socket")
    if connected is not None:
        milliseconds = int(seconds * 1000)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)
