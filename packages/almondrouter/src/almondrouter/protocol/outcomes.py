"""Errors of calls, which tell whether the request may have run."""

from __future__ import annotations

from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.calls import CallReply
from almondrouter.protocol.headers import Outcome


class CallError(AlmondError):
    """Failure of a call that has no complete response.

    Parameters
    ----------
    code, message
        As in `AlmondError`.
    outcome
        ``NOT_RUN`` only if no backend server ran this attempt of the request and
        none can run it later.
    """

    def __init__(
        self, code: ErrorCode, message: str, *, outcome: Outcome = Outcome.NOT_RUN
    ) -> None:
        super().__init__(code, message)
        self.outcome = outcome


_NOT_RUN_STATUSES: dict[str, int] = {
    ErrorCode.HEADER_INVALID: 400,
    ErrorCode.KEY_MISSING: 400,
    ErrorCode.KEY_INVALID: 400,
    ErrorCode.KEY_UNKNOWN: 401,
    ErrorCode.CLASS_UNKNOWN: 404,
    ErrorCode.SERVICE_UNKNOWN: 404,
    ErrorCode.CONDEMNED: 409,
    ErrorCode.KEY_CLAIMED: 409,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.FRAME_TOO_LARGE: 413,
    ErrorCode.LIMITED: 429,
}
STATUS_CODES = range(100, 600)
"""Valid HTTP status codes (RFC 9110 section 15)."""
_TIMEOUT_CODES = frozenset({ErrorCode.DEADLINE_EXCEEDED, ErrorCode.PEER_TIMEOUT})


def choose_status(outcome: Outcome, code: str) -> int:
    """Return the HTTP status of a call without a complete response."""
    if outcome is Outcome.NOT_RUN:
        return _NOT_RUN_STATUSES.get(code, 503)
    return 504 if code in _TIMEOUT_CODES else 502


def make_reply(
    code: ErrorCode,
    outcome: Outcome = Outcome.NOT_RUN,
    *,
    call_id: int = 0,
    status: int = 0,
) -> CallReply:
    """Return a reply with an error code in place of a response."""
    return CallReply(call_id, outcome, status, (), b"", code.value, None)
