"""Records by which daemons announce themselves and their backend servers."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from almondrouter.errors import AlmondError, ErrorCode


class ServingState(StrEnum):
    """Whether a backend server takes work."""

    READY = "ready"
    LEAVING = "leaving"
    DOWN = "down"


class BackendEntry(msgspec.Struct, frozen=True):
    """A backend server as its own daemon announces it.

    Parameters
    ----------
    backend
        Id of the backend server.
    started_ms
        Unix milliseconds of its start; tells restarts under the same id apart.
    service, slots
        What it serves, and how many requests it runs at a time.
    """

    backend: str
    started_ms: int
    service: str
    slots: int
    state: ServingState


class HostEntry(msgspec.Struct, frozen=True):
    """A daemon and the backend server beside it.

    Parameters
    ----------
    host, incarnation
        Name of the host, and Unix milliseconds of the start of its daemon.
    peer_address
        ``ip:port`` that takes calls from other daemons.
    backend
        The backend server, or None if none has announced itself.
    change
        Rises with each change of the record by the same daemon.
    """

    host: str
    incarnation: int
    data_centre: str
    region: str
    peer_address: str
    backend: BackendEntry | None = None
    change: int = 0

    @property
    def recency_key(self) -> tuple[int, int]:
        """Return what orders the records of one host by age."""
        return (self.incarnation, self.change)


_DECODER = msgspec.json.Decoder(HostEntry)


def encode_host(entry: HostEntry) -> bytes:
    """Return the stored form of a record."""
    return msgspec.json.encode(entry)


def decode_host(data: bytes) -> HostEntry:
    """Return the record of its stored form.

    Raises
    ------
    AlmondError
        ``store_response_invalid`` if the value is no such record.
    """
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError as error:
        raise AlmondError(ErrorCode.STORE_RESPONSE_INVALID, str(error)) from error
