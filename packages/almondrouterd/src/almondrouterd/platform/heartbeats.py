"""Heartbeats that a backend server sends to its daemon."""

from __future__ import annotations

import re
from dataclasses import dataclass

import msgspec

from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.state.hosts import BackendEntry, ServingState

HEARTBEAT_PATH = "/almondrouter/Instances.Heartbeat/"
LEAVE_PATH = "/almondrouter/Instances.Deregister/"
READY_PATH = "/almondrouter/readyz"
ACKNOWLEDGEMENT = b"{}"
MAX_SLOTS = 10_000

_ID = re.compile(r"[!-~]{1,120}")


class _Info(msgspec.Struct):
    service: str
    slots: int
    zone: str = ""
    version: str = ""


class _Status(msgspec.Struct):
    state: str
    sequence: int
    cold_remaining_s: float = 0.0


class _Heartbeat(msgspec.Struct):
    address: str
    born: int
    info: _Info
    status: _Status


class _Leaving(msgspec.Struct):
    born: int = 0


@dataclass(frozen=True, slots=True)
class BackendReport:
    """What a backend server says of itself.

    Parameters
    ----------
    address
        ``ip:port`` that it serves at.
    sequence
        Rises with each heartbeat of one start.
    """

    entry: BackendEntry
    address: str
    sequence: int


_STATES = {"ready": ServingState.READY, "draining": ServingState.LEAVING}
_DECODER = msgspec.json.Decoder(_Heartbeat)
_LEAVING_DECODER = msgspec.json.Decoder(_Leaving)


def decode_heartbeat(backend: str, body: bytes) -> BackendReport:
    """Return the report in a heartbeat.

    Raises
    ------
    AlmondError
        ``value_out_of_range`` if it names no backend server to use.
    """
    if not _ID.fullmatch(backend):
        raise AlmondError(ErrorCode.VALUE_OUT_OF_RANGE, "the id is not usable")
    try:
        beat = _DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise AlmondError(ErrorCode.VALUE_OUT_OF_RANGE, str(error)) from error
    state = _STATES.get(beat.status.state)
    if state is None or not beat.info.service or not 0 < beat.info.slots <= MAX_SLOTS:
        message = f"state {beat.status.state!r} with {beat.info.slots} slots"
        raise AlmondError(ErrorCode.VALUE_OUT_OF_RANGE, message)
    entry = BackendEntry(backend, beat.born, beat.info.service, beat.info.slots, state)
    return BackendReport(entry, beat.address, beat.status.sequence)


def decode_leaving(body: bytes) -> int:
    """Return the start in Unix milliseconds that a leaving message names, or 0."""
    if not body:
        return 0
    try:
        return _LEAVING_DECODER.decode(body).born
    except (msgspec.DecodeError, UnicodeDecodeError):
        return 0
