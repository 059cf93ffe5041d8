"""Host records that the daemons of a hosting platform keep in the platform's store.

Daemons of clusters with an etcd store exchange the records of
`almondrouter.state.registry` over control links instead.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

import msgspec

from almondrouter.addresses import is_valid_address
from almondrouter.errors import MALFORMED_DATA_ERRORS, AlmondError, ErrorCode

MAX_SLOTS = 10_000
MAX_PROCESSORS = 10_000
MAX_SUSPECTS = 64
"""Most suspects that a record names; a few times the requests that run at once."""
MAX_INTEGER = 2**53 - 1
"""Largest integer that all JSON and MessagePack decoders read exactly."""

Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Processors = Annotated[float, msgspec.Meta(ge=0, le=MAX_PROCESSORS)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Version = Annotated[str, msgspec.Meta(max_length=200)]
Fingerprint = Annotated[str, msgspec.Meta(pattern=r"\A[0-9a-f]{32}\Z")]
BackendId = Annotated[str, msgspec.Meta(pattern=r"\A[!-~]{1,120}\Z")]


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
    version
        Version of its software; empty if it names none.
    """

    backend: BackendId
    started_ms: Integer
    service: Name
    slots: Slots
    state: ServingState
    version: Version = ""


class Departure(msgspec.Struct, frozen=True):
    """Announcement of a backend server that it leaves, which is final for its start.

    Parameters
    ----------
    backend
        Id of the backend server.
    started_ms
        Its start time in Unix milliseconds; earlier starts have left, too.
    """

    backend: BackendId
    started_ms: Integer

    def includes(self, entry: BackendEntry) -> bool:
        """Return whether a backend server has left according to this announcement."""
        return entry.backend == self.backend and entry.started_ms <= self.started_ms


class CrashSuspect(msgspec.Struct, frozen=True):
    """Request that was in flight when backend servers of a host crashed.

    Parameters
    ----------
    fingerprint
        Digest of the request, the same for each of its attempts.
    crashes
        Number of these crashes.
    repeated
        Whether it had been sent, in one of them, although an earlier crash was known.
    """

    fingerprint: Fingerprint
    crashes: Integer
    repeated: bool = False


Suspects = Annotated[tuple[CrashSuspect, ...], msgspec.Meta(max_length=MAX_SUSPECTS)]


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
    suspects
        Requests under which backend servers of the host have crashed.
    processors
        Processor time that the platform allows the daemon, in cores; 0 if unknown.
    """

    host: Name
    incarnation: Integer
    data_centre: str
    region: str
    peer_address: str
    backend: BackendEntry | None = None
    change: Integer = 0
    departure: Departure | None = None
    suspects: Suspects = ()
    processors: Processors = 0.0

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
        entry = _DECODER.decode(data)
    except MALFORMED_DATA_ERRORS as error:
        raise AlmondError(ErrorCode.STORE_RESPONSE_INVALID, str(error)) from error
    if not is_valid_address(entry.peer_address):
        message = f"peer address {entry.peer_address!r} is not ip:port"
        raise AlmondError(ErrorCode.STORE_RESPONSE_INVALID, message)
    return entry
