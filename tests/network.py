"""Control links without sockets, with the fate of each message chosen by a test."""

import asyncio
from collections.abc import Awaitable, Callable

from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import CONTROL_CODEC
from almondrouter.transport.control import ControlEndpoint
from almondrouter_standins.memory import CallFault


async def deliver(_message):
    """Deliver each message."""
    return CallFault.NONE


class Network:
    """Connects endpoints by address.

    ``choose_fault`` is awaited for each request. ``LATE`` requests arrive with
    `deliver_late`, after their sender has been told ``peer_timeout``.
    """

    def __init__(self, choose_fault: Callable[..., Awaitable[CallFault]] = deliver):
        self.endpoints: dict[str, Endpoint] = {}
        self.choose_fault = choose_fault
        self.late: list[Callable[[], asyncio.Task]] = []

    def connect(self, host):
        """Return a new endpoint, which replaces an earlier one of the host."""
        self.endpoints[host] = endpoint = Endpoint(self, host)
        return endpoint

    def deliver_late(self, index=0):
        """Let a late request arrive; its reply goes nowhere."""
        return self.late.pop(index)()


class Endpoint(ControlEndpoint):
    """One host's end; its address is the host's name."""

    def __init__(self, network, host):
        self._network = network
        self._host = host
        self.handlers = {}

    def set_handler(self, message_type, handler):  # noqa: D102
        self.handlers[message_type] = handler

    def send(self, address, message):  # noqa: D102
        raise NotImplementedError

    async def request(self, address, message, *, deadline):  # noqa: D102
        fault = await self._network.choose_fault(message)
        if fault is CallFault.LATE:
            self._network.late.append(
                lambda: asyncio.ensure_future(self._deliver(address, message))
            )
        if fault in (CallFault.NONE, CallFault.LOST):
            reply = await self._deliver(address, message)
            if fault is CallFault.NONE:
                return reply
        raise AlmondError(ErrorCode.PEER_TIMEOUT, f"{fault}")

    async def _deliver(self, address, message):
        message = CONTROL_CODEC.decode(CONTROL_CODEC.encode(message))
        handlers = self._network.endpoints[address].handlers
        reply = await handlers[type(message)](message, self._host)
        return CONTROL_CODEC.decode(CONTROL_CODEC.encode(reply))

    def count_bytes(self):  # noqa: D102
        return {}

    async def start(self):  # noqa: D102
        pass

    async def close(self):  # noqa: D102
        pass
