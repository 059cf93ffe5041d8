"""Header names of the platform."""

from __future__ import annotations

from http import HTTPStatus

from almondrouter.protocol.calls import CallRequest, HeaderList
from almondrouter.protocol.dialect import Dialect, RequestInfo, ResponseInfo
from almondrouter.protocol.headers import HOP_BY_HOP_HEADERS

ATTEMPT_ID = "attempt-id"
TIME_LEFT_MS = "deadline-ms"
"""Named a deadline, but holds the milliseconds that are left."""
SIGNATURE = "response-signature"
EXPECTED_BACKEND = "expected-instance"
NOT_EXECUTED = "not-executed"
CALLER_SERVICE = "caller-service"

_SET_HERE = frozenset({TIME_LEFT_MS, EXPECTED_BACKEND, CALLER_SERVICE})
_DROPPED_FROM_REQUEST = HOP_BY_HOP_HEADERS | _SET_HERE
_PARENT_SEPARATOR = "."
"""Ids of calls that an instance makes were seen to extend the id of the request
that it runs; the pages do not promise it, so the id only orders what waits."""
MAX_TIME_LEFT_MS = 3_600_000


class PlatformDialect(Dialect):
    """Reads and writes the platform's headers."""

    def read_request(self, headers: HeaderList) -> RequestInfo:  # noqa: D102
        attempt_id, virtual_host = "", ""
        time_left: float | None = None
        for name, value in headers:
            if name == ATTEMPT_ID:
                attempt_id = value
            elif name == "host":
                virtual_host = value
            elif name == TIME_LEFT_MS:
                time_left = read_milliseconds(value)
        return RequestInfo(
            attempt_id,
            attempt_id.rpartition(_PARENT_SEPARATOR)[0],
            virtual_host,
            time_left,
            drop(headers, _DROPPED_FROM_REQUEST),
        )

    def write_request(  # noqa: D102
        self, request: CallRequest, *, time_left: float
    ) -> HeaderList:
        return (
            *request.headers,
            (TIME_LEFT_MS, str(max(1, int(time_left * 1000)))),
            (EXPECTED_BACKEND, request.backend),
            (CALLER_SERVICE, request.caller_service),
        )

    def read_response(self, status: int, headers: HeaderList) -> ResponseInfo:  # noqa: D102
        found = dict(headers)
        not_executed = NOT_EXECUTED in found
        misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
        return ResponseInfo(
            executed=not not_executed and not misdirected,
            misdirected=misdirected,
            genuine=SIGNATURE in found and "content-encoding" not in found,
            headers=drop(headers, HOP_BY_HOP_HEADERS),
        )

    def is_response_to(self, request: CallRequest, headers: HeaderList) -> bool:  # noqa: D102
        answered = dict(headers).get(ATTEMPT_ID)
        return answered is None or answered == request.attempt_id


def read_milliseconds(text: str) -> float | None:
    """Return seconds for a count of milliseconds, or None if it is none."""
    if not text.isascii() or not text.isdigit():
        return None
    return min(int(text), MAX_TIME_LEFT_MS) / 1000


def drop(headers: HeaderList, dropped: frozenset[str]) -> HeaderList:
    """Return the headers without some names, and those that `Connection` lists."""
    for name, value in headers:
        if name == "connection" and value.lower() not in ("close", "keep-alive"):
            dropped = dropped | {item.strip().lower() for item in value.split(",")}
    return tuple(item for item in headers if item[0] not in dropped)
