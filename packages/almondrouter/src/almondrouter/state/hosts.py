"""Host records that the daemons of a hosting platform keep in the platform's store.

Daemons of clusters with an etcd store exchange the records of
`almondrouter.state.registry` over control links instead.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from almondrouter.errors import AlmondError, ErrorCode


class ServingState(StrEnum):
    """Whether a backend server accepts calls."""

    READY = "ready"
    LEAVING = "leaving"
    DOWN = "down"


class BackendEntry(msgspec.Struct, frozen=True):
    """Backend server as published by the daemon on its host.

    Parameters
    ----------
    backend
        Id of the backend server.
    started_ms
        Start time in Unix milliseconds; distinguishes restarts under the same id.
    service, slots
        Service that it serves, and number of requests that it runs concurrently.
    """

    backend: str
    started_ms: int
    service: str
    slots: int
    state: ServingState


class Departure(msgspec.Struct, frozen=True):
    """Announcement of a backend server that it leaves, which is final for its start.

    Parameters
    ----------
    backend
        Id of the backend server.
    started_ms
        Its start time in Unix milliseconds; earlier starts have left, too.
    """

    backend: str
    started_ms: int

    def includes(self, entry: BackendEntry) -> bool:
        """Return whether a backend server has left according to this announcement."""
        return entry.backend == self.backend and entry.started_ms <= self.started_ms


class HostEntry(msgspec.Struct, frozen=True):
    """Daemon and the backend server on its host.

    Parameters
    ----------
    host, incarnation
        Name of the host, and start time of its daemon in Unix milliseconds.
    peer_address
        ``ip:port`` that accepts calls from other daemons.
    backend
        Backend server; None if none has registered.
    change
        Counter that the daemon increments with each change of its record.
    departure
        Latest departure that a backend server of the host has announced. A backend
        server is also ``leaving`` without one, while only its daemon stops.
    """

    host: str
    incarnation: int
    data_centre: str
    region: str
    peer_address: str
    backend: BackendEntry | None = None
    change: int = 0
    departure: Departure | None = None

    @property
    def recency_key(self) -> tuple[int, int]:
        """Key that orders the records of one host from oldest to newest."""
        return (self.incarnation, self.change)


_DECODER = msgspec.json.Decoder(HostEntry)


def encode_host(entry: HostEntry) -> bytes:
    """Encode a record in its stored form."""
    return msgspec.json.encode(entry)


def decode_host(data: bytes) -> HostEntry:
    """Decode the stored form of a record.

    Raises
    ------
    AlmondError
        ``store_response_invalid`` if the value is not a valid record.
    """
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise AlmondError(ErrorCode.STORE_RESPONSE_INVALID, str(error)) from error
