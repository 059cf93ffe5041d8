"""How requests and responses carry what the router needs to know."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from almondrouter.protocol.calls import CallRequest, HeaderList


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """What the headers of a caller's request say.

    Parameters
    ----------
    attempt_id
        Id of this attempt of the caller; empty if there is none.
    parent_id
        Id of the attempt that its backend server makes this request for, as far
        as the id tells; empty otherwise.
    virtual_host
        Host that the request is for.
    time_left
        Seconds that the caller will wait, or None if it does not say.
    headers
        Headers that are passed on.
    """

    attempt_id: str
    parent_id: str
    virtual_host: str
    time_left: float | None
    headers: HeaderList


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """What the headers of a backend server's response say.

    Parameters
    ----------
    executed
        False only if the backend server says that it did not run the request.
    misdirected
        Whether another backend server than the expected one answered.
    genuine
        Whether the response carries the mark of its backend server and its body
        is as the server made it.
    headers
        Headers that are passed on.
    """

    executed: bool
    misdirected: bool
    genuine: bool
    headers: HeaderList


class Dialect(ABC):
    """Reads and writes the headers of one kind of deployment."""

    @abstractmethod
    def read_request(self, headers: HeaderList) -> RequestInfo:
        """Read the headers of a caller's request."""

    @abstractmethod
    def write_request(self, request: CallRequest, *, time_left: float) -> HeaderList:
        """Return the headers of a request for the backend server.

        Parameters
        ----------
        time_left
            Seconds until the deadline.
        """

    @abstractmethod
    def read_response(self, status: int, headers: HeaderList) -> ResponseInfo:
        """Read the headers of a backend server's response."""

    @abstractmethod
    def is_response_to(self, request: CallRequest, headers: HeaderList) -> bool:
        """Return whether a response's headers belong to the request."""
