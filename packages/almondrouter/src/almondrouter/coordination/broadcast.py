"""Broadcasts crash reports to all daemons along the overlay."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from random import Random

from almondrouter.clock import Clock
from almondrouter.coordination.quarantine import Quarantine, QuarantineMessage
from almondrouter.errors import AlmondError
from almondrouter.protocol.control import (
    ControlMessage,
    CrashReport,
    QuarantineReply,
    QuarantineRequest,
    SuspicionCleared,
)
from almondrouter.transport.control import ControlEndpoint

EXCHANGE_INTERVAL_S = 30.0
FIRST_EXCHANGE_DELAY_S = 2.0
REQUEST_TIMEOUT_S = 2.0


class Broadcast:
    """Forwards new reports to neighbours and periodically requests missed ones.

    A report that was lost, or that was sent before this daemon started, arrives with
    the next exchange.

    Parameters
    ----------
    endpoint
        Control endpoint that sends and receives.
    quarantine
        Receives the reports and tells which are new.
    push_addresses
        Returns the control addresses of the overlay neighbours.
    clock, random
        Sources of the deadlines of exchanges, and of their jitter and the choice of
        the neighbour.
    """

    def __init__(
        self,
        *,
        endpoint: ControlEndpoint,
        quarantine: Quarantine,
        push_addresses: Callable[[], Sequence[str]],
        clock: Clock,
        random: Random,
    ) -> None:
        self._endpoint = endpoint
        self._quarantine = quarantine
        self._push_addresses = push_addresses
        self._clock = clock
        self._random = random
        for message_type in (CrashReport, SuspicionCleared):
            endpoint.set_handler(message_type, self._receive_report)
        endpoint.set_handler(QuarantineRequest, self._answer_request)

    def publish(self, *messages: QuarantineMessage) -> None:
        """Send messages to the neighbours."""
        for message in messages:
            for address in self._push_addresses():
                self._endpoint.send(address, message)

    async def run(self) -> None:
        """Request reports from a random neighbour periodically until cancelled."""
        delay = FIRST_EXCHANGE_DELAY_S
        while True:
            await asyncio.sleep(delay * (0.5 + self._random.random()))
            delay = EXCHANGE_INTERVAL_S
            await self.exchange_reports()

    async def exchange_reports(self) -> None:
        """Request all reports of a random neighbour and merge them."""
        addresses = self._push_addresses()
        if not addresses:
            return
        address = self._random.choice(addresses)
        deadline = self._clock.monotonic() + REQUEST_TIMEOUT_S
        try:
            reply = await self._endpoint.request(
                address, QuarantineRequest(), deadline=deadline
            )
        except AlmondError:
            return
        if isinstance(reply, QuarantineReply):
            for message in reply.messages:
                self._quarantine.merge(message)

    async def _receive_report(self, message: ControlMessage, sender: str) -> None:
        if self._quarantine.merge(message):
            self.publish(message)

    async def _answer_request(
        self, message: ControlMessage, sender: str
    ) -> QuarantineReply:
        return QuarantineReply(self._quarantine.list_messages())
