"""Control links between daemons."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Collection
from dataclasses import dataclass

from almondrouter.protocol.control import ControlMessage

ControlHandler = Callable[[ControlMessage, str], Awaitable[ControlMessage | None]]


@dataclass(slots=True)
class ByteCount:
    """Bytes of control messages with frame headers, by direction."""

    sent: int = 0
    received: int = 0


class ControlEndpoint(ABC):
    """Sends control messages to other daemons and receives theirs.

    A handler gets a message and the sender's host; what it returns is the
    reply. ``incarnation`` is the run of this daemon, sent with each message.
    """

    incarnation: int

    @abstractmethod
    def set_handler(self, message_type: type, handler: ControlHandler) -> None:
        """Register the handler of a message type."""

    @abstractmethod
    def send(self, address: str, message: ControlMessage) -> None:
        """Send a message and expect no reply; drops it if the link is down."""

    @abstractmethod
    async def request(
        self, address: str, message: ControlMessage, *, deadline: float
    ) -> ControlMessage:
        """Send a message and return its reply.

        Parameters
        ----------
        deadline
            Monotonic seconds.

        Raises
        ------
        AlmondError
            ``peer_timeout`` without a reply by the deadline, or the code of a
            ``Refused`` reply.
        """

    def close_other_links(self, addresses: Collection[str]) -> None:  # noqa: B027
        """Close the links to addresses other than these unless used lately.

        A closed link opens again when it is needed. Endpoints without links of
        their own do nothing.
        """

    @abstractmethod
    def count_bytes(self) -> dict[str, ByteCount]:
        """Return the bytes exchanged, by address of the other end."""

    @abstractmethod
    async def start(self) -> None:
        """Bind the address and begin to receive."""

    @abstractmethod
    async def close(self) -> None:
        """Close all links."""
