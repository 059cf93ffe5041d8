"""Interface between the connections and what paces long responses over all of them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from almondrouter.protocol.calls import CallRequest


@dataclass(frozen=True, slots=True)
class Urgency:
    """Order of a response among others.

    Parameters
    ----------
    rank
        Priority rank of the request; -1 for nested requests, which precede all others.
    useful_until, deadline
        Monotonic seconds until which the response has its full value, and any value.
    """

    rank: int
    useful_until: float
    deadline: float


@dataclass(slots=True, eq=False)
class Transfer:
    """A long response that leaves in parts.

    Parameters
    ----------
    rank, useful_until, deadline
        As in `Urgency`.
    remaining
        Bytes that have yet to leave.
    send_part
        Sends at most the given number of bytes and lowers `remaining`.
    is_writable
        Returns whether the connection takes a part now.
    is_last_hop
        Whether the connection leads to the caller itself.
    """

    rank: int
    remaining: int
    useful_until: float
    deadline: float
    send_part: Callable[[Transfer, int], None]
    is_writable: Callable[[], bool] = lambda: True
    is_last_hop: bool = False


class TransferPacer(ABC):
    """Sends the parts of transfers in its own order and time."""

    @abstractmethod
    def add(self, transfer: Transfer) -> None:
        """Start a transfer."""

    @abstractmethod
    def discard(self, transfer: Transfer) -> None:
        """End a transfer; parts that have not left are dropped."""

    @abstractmethod
    def record_delay(self, delay: float) -> None:
        """Learn that a ping took longer by a delay in seconds than the fastest one."""

    @abstractmethod
    def wake(self) -> None:
        """Send what may leave now, as a connection is writable again."""


def make_urgency(request: CallRequest) -> Urgency:
    """Return the urgency of the response to a request."""
    rank, useful_until = get_transfer_rank(request), get_useful_until(request)
    return Urgency(rank, useful_until, request.deadline)


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
