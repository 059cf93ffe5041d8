"""Interface between the connections and what paces long responses over all of them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from almondrouter.protocol.calls import CallRequest


@dataclass(slots=True, eq=False)
class Transfer:
    """A long response that leaves in parts.

    Parameters
    ----------
    rank
        Priority rank of the request; -1 for nested requests, which precede all others.
    remaining
        Bytes that have yet to leave.
    useful_until, deadline
        Monotonic seconds until which the response has its full value, and any value.
    send_part
        Sends at most the given number of bytes and lowers `remaining`.
    is_writable
        Returns whether the connection takes a part now.
    """

    rank: int
    remaining: int
    useful_until: float
    deadline: float
    send_part: Callable[[Transfer, int], None]
    is_writable: Callable[[], bool] = lambda: True


class TransferPacer(ABC):
    """Sends the parts of transfers in its own order and time."""

    @abstractmethod
    def add(self, transfer: Transfer) -> None:
        """Start a transfer."""

    @abstractmethod
    def discard(self, transfer: Transfer) -> None:
        """End a transfer; parts that have not left are dropped."""

    @abstractmethod
    def wake(self) -> None:
        """Send what may leave now, as a connection is writable again."""


def get_transfer_rank(request: CallRequest) -> int:
    """Return the rank of the response to a request."""
    return -1 if request.nested else request.rank


def get_useful_until(request: CallRequest) -> float:
    """Return the time until which the response to a request has its full value.

    Notes
    -----
    That of an overdue request has passed. What the request tells instead is when its
    caller can still use an error.
    """
    if request.overdue:
        return 0.0
    return request.useful_until or request.deadline
