"""Control links without sockets, with the fate of each message chosen by a test."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import CONTROL_CODEC, ControlMessage
from almondrouter.transport.control import ByteCount, ControlEndpoint, ControlHandler
from almondrouter_standins.memory import CallFault


class Network:
    """Connects endpoints; the address of an endpoint is the name of its host.

    Parameters
    ----------
    choose_fault
        Called with each request, which waits as long as this does. A request
        that is `CallFault.LATE` arrives with `deliver_late`.
    """

    def __init__(
        self,
        choose_fault: Callable[[ControlMessage], Awaitable[CallFault]] | None = None,
    ) -> None:
        self.endpoints: dict[str, MemoryEndpoint] = {}
        self.choose_fault = choose_fault or _choose_none
        self.late: list[Callable[[], asyncio.Task[ControlMessage]]] = []

    def connect(self, host: str) -> MemoryEndpoint:
        """Return a new endpoint, which replaces an earlier one of the host."""
        self.endpoints[host] = endpoint = MemoryEndpoint(self, host)
        return endpoint

    def deliver_late(self, index: int = 0) -> asyncio.Task[ControlMessage]:
        """Let a late request arrive; its reply goes nowhere."""
        return self.late.pop(index)()


class MemoryEndpoint(ControlEndpoint):
    """One host's end of the links."""

    def __init__(self, network: Network, host: str) -> None:
        self._network = network
        self._host = host
        self._handlers: dict[type, ControlHandler] = {}

    def set_handler(self, message_type: type, handler: ControlHandler) -> None:  # noqa: D102
        self._handlers[message_type] = handler

    def send(self, address: str, message: ControlMessage) -> None:  # noqa: D102
        # Replies and failures go nowhere.
        task = asyncio.ensure_future(self._deliver(address, message))
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def request(  # noqa: D102
        self, address: str, message: ControlMessage, *, deadline: float
    ) -> ControlMessage:
        fault = await self._network.choose_fault(message)
        if fault is CallFault.LATE:
            self._network.late.append(
                lambda: asyncio.ensure_future(self._deliver(address, message))
            )
        if fault in (CallFault.NONE, CallFault.LOST):
            reply = await self._deliver(address, message)
            if fault is CallFault.NONE:
                return reply
        raise AlmondError(ErrorCode.PEER_TIMEOUT, f"request {fault}")

    async def _deliver(self, address: str, message: ControlMessage) -> ControlMessage:
        message = CONTROL_CODEC.decode(CONTROL_CODEC.encode(message))
        handler = self._network.endpoints[address]._handlers[type(message)]
        reply = await handler(message, self._host)
        return CONTROL_CODEC.decode(CONTROL_CODEC.encode(reply))

    def count_bytes(self) -> dict[str, ByteCount]:  # noqa: D102
        return {}

    async def start(self) -> None:  # noqa: D102
        pass

    async def close(self) -> None:  # noqa: D102
        pass


async def _choose_none(_message: ControlMessage) -> CallFault:
    return CallFault.NONE
