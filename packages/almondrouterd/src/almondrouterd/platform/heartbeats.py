"""Decodes the heartbeats and deregistrations that a backend server sends."""

from __future__ import annotations

import re
from dataclasses import dataclass

import msgspec

from almondrouter.errors import MALFORMED_DATA_ERRORS, AlmondError, ErrorCode
from almondrouter.state.hosts import (
    BackendEntry,
    Integer,
    Name,
    ServingState,
    Slots,
    Version,
)

HEARTBEAT_PATH = "/almondrouter/Instances.Heartbeat/"
DEREGISTER_PATH = "/almondrouter/Instances.Deregister/"
READY_PATH = "/almondrouter/readyz"
ACKNOWLEDGEMENT = b"{}"

_BACKEND_ID = re.compile(r"[!-~]{1,120}")


class _Info(msgspec.Struct):
    service: Name
    slots: Slots
    zone: str = ""
    version: Version = ""


class _Status(msgspec.Struct):
    state: str
    sequence: Integer
    cold_remaining_s: float = 0.0


class _Heartbeat(msgspec.Struct):
    address: str
    born: Integer
    info: _Info
    status: _Status


class _Deregistration(msgspec.Struct):
    born: Integer = 0


@dataclass(frozen=True, slots=True)
class BackendReport:
    """State of a backend server as its heartbeat reports it.

    Parameters
    ----------
    entry
        Name, start time, service, slots and state.
    address
        ``ip:port`` at which it serves requests.
    sequence
        Number of the heartbeat; rises until the backend server restarts.
    """

    entry: BackendEntry
    address: str
    sequence: int


_STATES = {"ready": ServingState.READY, "draining": ServingState.LEAVING}
_DECODER = msgspec.json.Decoder(_Heartbeat)
_DEREGISTRATION_DECODER = msgspec.json.Decoder(_Deregistration)


def decode_heartbeat(backend: str, body: bytes) -> BackendReport:
    """Decode and validate a heartbeat.

    Parameters
    ----------
    backend
        Id of the backend server, from the path of the request.

    Raises
    ------
    AlmondError
        ``value_out_of_range`` if the id, state, service or slots are not valid.
    """
    if not _BACKEND_ID.fullmatch(backend):
        raise AlmondError(
            ErrorCode.VALUE_OUT_OF_RANGE,
            "backend server id is not 1 to 120 printable ASCII characters",
        )
    try:
        heartbeat = _DECODER.decode(body)
    except MALFORMED_DATA_ERRORS as error:
        raise AlmondError(ErrorCode.VALUE_OUT_OF_RANGE, str(error)) from error
    state = _STATES.get(heartbeat.status.state)
    if state is None:
        message = f"invalid state {heartbeat.status.state!r}"
        raise AlmondError(ErrorCode.VALUE_OUT_OF_RANGE, message)
    entry = BackendEntry(
        backend,
        heartbeat.born,
        heartbeat.info.service,
        heartbeat.info.slots,
        state,
        heartbeat.info.version,
    )
    return BackendReport(entry, heartbeat.address, heartbeat.status.sequence)


def decode_deregistration(body: bytes) -> int:
    """Return the start time in Unix milliseconds that a deregistration names, or 0."""
    if not body:
        return 0
    try:
        return _DEREGISTRATION_DECODER.decode(body).born
    except MALFORMED_DATA_ERRORS:
        return 0
