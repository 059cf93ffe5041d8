"""Interface of control links, which carry control messages between daemons."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass

from almondrouter.protocol.control import ControlMessage

ControlHandler = Callable[[ControlMessage, str], Awaitable[ControlMessage | None]]


@dataclass(slots=True)
class ByteCount:
    """Estimated bytes of control messages on the network, by direction."""

    sent: int = 0
    received: int = 0


class ControlEndpoint(ABC):
    """Sends control messages to other daemons and receives theirs.

    A handler is awaited with a message and the name of the sending host, and
    returns the reply, or None for no reply. ``incarnation`` identifies this run of
    the daemon and is sent with each message.
    """

    incarnation: int

    @abstractmethod
    def set_handler(self, message_type: type, handler: ControlHandler) -> None:
        """Register the handler of a message type."""

    @abstractmethod
    def send(self, address: str, message: ControlMessage) -> None:
        """Send a message without waiting for a reply; drops it if the link is down."""

    @abstractmethod
    async def request(
        self, address: str, message: ControlMessage, *, deadline: float
    ) -> ControlMessage:
        """Send a message and return its reply.

        Parameters
        ----------
        deadline
            Time until which to wait for the reply, in monotonic seconds.

        Raises
        ------
        AlmondError
            ``peer_timeout`` without a reply by the deadline, or the code of a
            ``Refused`` reply.
        """

    def close_other_links(self, addresses: Collection[str]) -> None:  # noqa: B027
        """Close the links to all other addresses that were not used recently.

        A closed link is reopened by the next message. The default implementation,
        for endpoints without connections, does nothing.

        Parameters
        ----------
        addresses
            Addresses whose links are kept open.
        """

    @abstractmethod
    def count_bytes(self) -> dict[str, ByteCount]:
        """Return the bytes sent and received, by address of the peer."""

    @abstractmethod
    async def start(self) -> None:
        """Bind the address and start to receive messages."""

    @abstractmethod
    async def close(self) -> None:
        """Close all links."""
