"""TCP servers that look at their connections every second."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

from almondrouter.addresses import split_address
from almondrouter.errors import AlmondError, ErrorCode

TICK_S = 1.0


class Listener(ABC):
    """A TCP server that looks at its connections every second.

    Parameters
    ----------
    address
        ``ip:port`` to listen on; port 0 takes a free one.
    """

    def __init__(self, address: str) -> None:
        self._address = address
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
        self._ticker = asyncio.create_task(tick_forever(self.tick))

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


async def tick_forever(tick: Callable[[], None]) -> None:
    """Call ``tick`` every second."""
    while True:
        await asyncio.sleep(TICK_S)
        tick()
