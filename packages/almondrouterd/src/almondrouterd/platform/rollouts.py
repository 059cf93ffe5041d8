"""Orders and statuses of roll-outs in the platform's store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated

import msgspec

from almondrouter.coordination.rollouts.decisions import StatusCodec
from almondrouter.errors import MALFORMED_DATA_ERRORS, ErrorCode, Finding, FindingsError
from almondrouter.state.hosts import Name
from almondrouter.state.rollouts import (
    MAX_DURATION_S,
    RolloutOrder,
    RolloutPhase,
    RolloutStatus,
)

ORDERS_PREFIX = "op/rollout/"
STATUSES_PREFIX = "status/rollout/"
RUNNING = "running"
_PHASES = {
    "completed": RolloutPhase.COMPLETED,
    "rolled_back": RolloutPhase.ROLLED_BACK,
    RUNNING: None,
}
_STATES = {phase: state for state, phase in _PHASES.items()}


class _Order(msgspec.Struct):
    service: Name
    target_version: Name
    duration_s: Annotated[float, msgspec.Meta(gt=0, lt=MAX_DURATION_S)]


class _Status(msgspec.Struct):
    service: Name
    state: str
    target_version: str


_ORDER_DECODER = msgspec.json.Decoder(_Order)
_STATUS_DECODER = msgspec.json.Decoder(_Status)


def decode_order(
    key: str, value: bytes, revision: int, *, knows_service: Callable[[str], bool]
) -> RolloutOrder:
    """Decode and validate an order.

    Raises
    ------
    FindingsError
        If a field is missing or out of range, or the service is not that of the key
        or is not known.
    """
    try:
        order = _ORDER_DECODER.decode(value)
    except MALFORMED_DATA_ERRORS as error:
        code = ErrorCode.VALUE_OUT_OF_RANGE
        raise FindingsError([Finding(key, code, str(error))]) from error
    if order.service != key.removeprefix(ORDERS_PREFIX):
        message = f"service {order.service!r} is not that of the key"
        finding = Finding(f"{key}.service", ErrorCode.VALUE_OUT_OF_RANGE, message)
        raise FindingsError([finding])
    if not knows_service(order.service):
        message = f"undeclared service {order.service!r}"
        finding = Finding(f"{key}.service", ErrorCode.SERVICE_UNKNOWN, message)
        raise FindingsError([finding])
    return RolloutOrder(order.service, order.target_version, order.duration_s, revision)


def encode_status(status: RolloutStatus) -> bytes:
    """Encode a status in its stored form."""
    return msgspec.json.encode(
        _Status(status.service, _STATES[status.phase], status.target_version)
    )


def decode_status(value: bytes, revision: int) -> RolloutStatus | None:
    """Decode a stored status; None if it is invalid."""
    try:
        status = _STATUS_DECODER.decode(value)
    except MALFORMED_DATA_ERRORS:
        return None
    if status.state not in _PHASES:
        return None
    return RolloutStatus(
        status.service, status.target_version, _PHASES[status.state], revision
    )


STATUS_CODEC = StatusCodec(
    ORDERS_PREFIX, STATUSES_PREFIX, encode=encode_status, decode=decode_status
)
