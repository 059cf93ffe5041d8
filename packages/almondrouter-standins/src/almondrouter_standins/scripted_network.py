"""In-memory control links on which a test chooses the fault of each request."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import CONTROL_CODEC, ControlMessage
from almondrouter.transport.control import ByteCount, ControlEndpoint, ControlHandler
from almondrouter_standins.memory_store import CallFault


class ScriptedNetwork:
    """Connects endpoints; the address of an endpoint is the name of its host.

    Parameters
    ----------
    choose_fault
        Called with each request and awaited before it is sent; returns its
        fault. A request with `CallFault.LATE` arrives when `deliver_late` is
        called.

    Attributes
    ----------
    late
        Functions that deliver the late requests, oldest first.
    """

    def __init__(
        self,
        choose_fault: Callable[[ControlMessage], Awaitable[CallFault]] | None = None,
    ) -> None:
        self.endpoints: dict[str, ScriptedEndpoint] = {}
        self.choose_fault = choose_fault or _choose_no_fault
        self.late: list[Callable[[], asyncio.Task[ControlMessage]]] = []

    def connect(self, host: str) -> ScriptedEndpoint:
        """Return a new endpoint for a host; it replaces an earlier one."""
        self.endpoints[host] = endpoint = ScriptedEndpoint(self, host)
        return endpoint

    def deliver_late(self, index: int = 0) -> asyncio.Task[ControlMessage]:
        """Deliver a late request; its reply is discarded."""
        return self.late.pop(index)()


class ScriptedEndpoint(ControlEndpoint):
    """Control endpoint of one host on a `ScriptedNetwork`."""

    def __init__(self, network: ScriptedNetwork, host: str) -> None:
        self._network = network
        self._host = host
        self._handlers: dict[type, ControlHandler] = {}

    def set_handler(self, message_type: type, handler: ControlHandler) -> None:  # noqa: D102
        self._handlers[message_type] = handler

    def send(self, address: str, message: ControlMessage) -> None:  # noqa: D102
        # A one-way message has no reply, and its sender learns of no failure.
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
        raise AlmondError(ErrorCode.PEER_TIMEOUT, f"no reply: request {fault}")

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


async def _choose_no_fault(_message: ControlMessage) -> CallFault:
    return CallFault.NONE
