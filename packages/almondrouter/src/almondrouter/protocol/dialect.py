"""Interface to the HTTP headers that carry routing information."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from almondrouter.protocol.calls import CallRequest, HeaderList


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """Routing information from the headers of a caller's request.

    Parameters
    ----------
    attempt_id
        Id that the caller gave to this attempt; empty if it gave none.
    parent_id
        Id of the attempt that the calling backend server is serving, if it can be
        derived from ``attempt_id``; empty otherwise.
    virtual_host
        Virtual host that the request addresses.
    time_left
        Seconds that the caller will wait; None if it sent no timeout.
    headers
        Headers to forward.
    """

    attempt_id: str
    parent_id: str
    virtual_host: str
    time_left: float | None
    headers: HeaderList


@dataclass(frozen=True, slots=True)
class BackendLoad:
    """Load that a backend server reports with a response.

    Parameters
    ----------
    running, waiting, slots
        Requests that run and wait there, and number that it runs at once.
    run_time_factor
        How long work takes there at the moment, relative to its usual time; None if
        it is not reported.
    """

    running: int
    waiting: int
    slots: int
    run_time_factor: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseInfo:
    """Information from the headers of a backend server's response.

    Parameters
    ----------
    executed
        False only if the backend server reports that it did not run the request.
    misdirected
        Whether a backend server other than the expected one responded.
    genuine
        Whether the response carries the signature of its backend server and its
        body was not altered on the way.
    headers
        Headers to forward.
    load
        Load of the backend server; None if it is not reported or is malformed.
    """

    executed: bool
    misdirected: bool
    genuine: bool
    headers: HeaderList
    load: BackendLoad | None = None


class Dialect(ABC):
    """Reads and writes HTTP headers in one naming convention."""

    @abstractmethod
    def read_request(self, headers: HeaderList) -> RequestInfo:
        """Read the headers of a caller's request."""

    @abstractmethod
    def read_keys(self, headers: HeaderList) -> list[str]:
        """Return the keys of a caller's request, one for each header that holds one."""

    @abstractmethod
    def drop_credentials(self, headers: HeaderList) -> HeaderList:
        """Return the headers without keys and without a claimed tenant."""

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
    def is_response_to(
        self, request: CallRequest, headers: HeaderList, *, reused: bool
    ) -> bool:
        """Return whether a response certainly belongs to the request.

        Parameters
        ----------
        headers
            Headers of the response.
        reused
            Whether its connection has carried earlier requests.
        """
