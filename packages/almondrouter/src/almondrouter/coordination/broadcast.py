"""Messages that every daemon is to see, passed on along the overlay."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from almondrouter.protocol.control import (
    ControlMessage,
    CrashReport,
    SuspicionCleared,
)
from almondrouter.transport.control import ControlEndpoint

BroadcastMessage = CrashReport | SuspicionCleared


class Broadcast:
    """Passes each message on to the overlay neighbours while it is news.

    Parameters
    ----------
    endpoint
        Control endpoint that sends and receives.
    push_addresses
        Returns the control addresses of the overlay neighbours.
    merge
        Takes over a message of another daemon; returns whether it was news.
    """

    def __init__(
        self,
        *,
        endpoint: ControlEndpoint,
        push_addresses: Callable[[], Iterable[str]],
        merge: Callable[[BroadcastMessage], bool],
    ) -> None:
        self._endpoint = endpoint
        self._push_addresses = push_addresses
        self._merge = merge
        for message_type in (CrashReport, SuspicionCleared):
            endpoint.set_handler(message_type, self._receive)

    def publish(self, *messages: BroadcastMessage) -> None:
        """Send own messages to the neighbours."""
        for message in messages:
            for address in self._push_addresses():
                self._endpoint.send(address, message)

    async def _receive(self, message: ControlMessage, sender: str) -> None:
        if self._merge(message):
            self.publish(message)
