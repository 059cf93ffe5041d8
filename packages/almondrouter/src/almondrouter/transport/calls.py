"""Interfaces between the path of a call and its transports."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from almondrouter.protocol.calls import (
    CallReply,
    HeaderList,
    LinkRequest,
)


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request of a caller.

    Parameters
    ----------
    method, target, headers, body
        The HTTP request; ``target`` is path and query, header names are in
        lower case.
    peer
        IP number that the request came from; empty if it is not known.
    began_at
        Monotonic seconds at which its first byte was read; None if it is not known.
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
        Whether the body is known to be whole. One that is not is sent without a
        length and ends with its connection, as it came.
    """

    status: int
    headers: HeaderList
    body: bytes
    framed: bool = True


@dataclass(frozen=True, slots=True)
class BackendResponse:
    """The response of a backend server; header names are in lower case.

    Parameters
    ----------
    framed
        Whether the body is known to be whole; one without a length that ended
        with its connection may have been broken off.
    """

    status: int
    headers: HeaderList
    body: bytes
    framed: bool = True


class CallLinks(ABC):
    """Sends calls to the daemons of other hosts."""

    @abstractmethod
    async def call(self, peer_address: str, request: LinkRequest) -> CallReply:
        """Send a call and return its reply.

        Parameters
        ----------
        peer_address
            ``ip:port`` of the daemon.
        request
            Its ``call_id`` is replaced; its ``deadline`` is in monotonic
            seconds of this host.

        Raises
        ------
        CallError
            ``peer_unavailable`` (not run) if the request surely did not
            leave, ``peer_timeout`` (unknown) otherwise.
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
        matches: Callable[[HeaderList], bool] | None = None,
        max_idle: float | None = None,
    ) -> BackendResponse:
        """Send a request and return the whole response.

        Parameters
        ----------
        deadline
            Monotonic seconds until which the response is waited for.
        matches
            Tells from its headers whether a response belongs to the request.
        max_idle
            Seconds for which a connection may have been idle; a request that
            must not be repeated takes a younger one.

        Raises
        ------
        CallError
            Not run: ``no_backend`` if the request surely was not sent,
            ``backend_refused`` if the backend server did not run it,
            ``deadline_exceeded`` if it was not sent in time. Unknown:
            ``backend_failed`` or ``deadline_exceeded``.
        """
