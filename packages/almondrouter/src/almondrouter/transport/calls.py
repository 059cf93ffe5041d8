"""Interfaces between call routing and the transports that carry calls."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from almondrouter.protocol.calls import (
    CallReply,
    HeaderList,
    LinkRequest,
)
from almondrouter.transport.transfers import Urgency


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request of a caller.

    Parameters
    ----------
    method, target, headers, body
        The HTTP request. ``target`` is the path with the query; header names are
        in lower case.
    peer
        IP address of the caller; empty if unknown.
    began_at
        Time at which the first byte was received, in monotonic seconds; None if
        unknown.
    """

    method: str
    target: str
    headers: HeaderList
    body: bytes
    peer: str = ""
    began_at: float | None = None


@dataclass(frozen=True, slots=True)
class CallerResponse:
    """The response to a caller, with its Almond headers.

    Parameters
    ----------
    framed
        Whether the body is known to be complete. Otherwise it is sent without a
        length and delimited by the end of the connection, as it was received.
    urgency
        Order among the long responses of this host; None if it need not wait for them.
    """

    status: int
    headers: HeaderList
    body: bytes
    framed: bool = True
    urgency: Urgency | None = None


@dataclass(frozen=True, slots=True)
class BackendResponse:
    """The response of a backend server; header names are in lower case.

    Parameters
    ----------
    framed
        Whether the body is known to be complete. A body without a length that is
        delimited by the end of the connection may be truncated.
    """

    status: int
    headers: HeaderList
    body: bytes
    framed: bool = True


class CallLinks(ABC):
    """Sends calls to the daemons of other hosts."""

    @abstractmethod
    async def call(
        self,
        peer_address: str,
        request: LinkRequest,
        *,
        abandon_silent: Callable[[], bool] = lambda: True,
    ) -> CallReply:
        """Send a call and return its reply.

        Parameters
        ----------
        peer_address
            ``ip:port`` of the daemon.
        request
            Call to send. ``call_id`` is assigned by the link; ``deadline`` is in
            monotonic seconds of this host.
        abandon_silent
            Called if the daemon becomes silent after the call was sent. Returns
            whether the call fails then; otherwise it waits on for its reply, as the
            daemon may only be slow or its network congested.

        Raises
        ------
        CallError
            ``peer_unavailable`` (not run) if the request was definitely not sent,
            ``peer_timeout`` (outcome unknown) if it may have been received.
        """


ResponseMatcher = Callable[[HeaderList, bool], bool]
"""Returns whether a response belongs to the request.

Receives the headers of the response, and whether its connection is reused: the response
may then be a late copy of that to an earlier request.
"""


class BackendSender(ABC):
    """Sends requests to the backend server on this host."""

    @abstractmethod
    async def send(
        self,
        method: str,
        target: str,
        headers: HeaderList,
        body: bytes,
        *,
        deadline: float,
        attempt_id: str = "",
        matches: ResponseMatcher | None = None,
        max_idle: float | None = None,
    ) -> BackendResponse:
        """Send a request and return the complete response.

        Parameters
        ----------
        deadline
            Time until which to wait for the response, in monotonic seconds.
        attempt_id
            Id that identifies the response to this attempt; empty if there is none.
            The attempt is not sent on a connection on which it has failed before:
            a second copy of that response would have the same id.
        matches
            Returns whether a response belongs to the request.
        max_idle
            Longest idle time in seconds of a connection to reuse; lower for a
            request that must not be retried, as an idle connection may be stale.

        Raises
        ------
        CallError
            With outcome not run: ``no_backend`` if there is no connection to the
            backend server, ``backend_refused`` if it refused the request,
            ``deadline_exceeded`` if the request was not sent by the deadline, or
            ``header_invalid``. With outcome unknown: ``backend_failed`` or
            ``deadline_exceeded``.
        """
