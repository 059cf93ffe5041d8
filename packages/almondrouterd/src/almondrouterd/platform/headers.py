"""Translates the HTTP headers of the hosting platform."""

from __future__ import annotations

import re
from http import HTTPStatus

from almondrouter.protocol.calls import CallRequest, HeaderList
from almondrouter.protocol.dialect import (
    BackendLoad,
    Dialect,
    RequestInfo,
    ResponseInfo,
)
from almondrouter.protocol.headers import HOP_BY_HOP_HEADERS

ATTEMPT_ID = "attempt-id"
TIME_LEFT_MS = "deadline-ms"
"""Holds the remaining milliseconds, although the name says deadline."""
SIGNATURE = "response-signature"
EXPECTED_BACKEND = "expected-instance"
NOT_EXECUTED = "not-executed"
CALLER_SERVICE = "caller-service"
KEY = "key"
TENANT = "tenant-id"
LOAD = "instance-load"
"""Holds running, waiting, slots and, from some instances, how long work takes at the
moment in hundredths of its usual time, separated by commas."""

_SET_BY_DAEMON = frozenset({TIME_LEFT_MS, EXPECTED_BACKEND, CALLER_SERVICE})
_CREDENTIALS = frozenset({KEY, TENANT})
_STRIPPED_FROM_REQUEST = HOP_BY_HOP_HEADERS | _SET_BY_DAEMON
_PARENT_SEPARATOR = "."
"""Separates the parent's id from a nested call's own part in an attempt id. In practice
nested ids extend the parent's, but the platform does not document it, so no guarantee
depends on the parent id: it only affects scheduling and retry budgets."""
_LOAD = re.compile(r"(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(\d{1,5}))?", re.ASCII)
MAX_TIME_LEFT_MS = 3_600_000
"""Milliseconds to which a longer time in a request's header is reduced."""


class PlatformDialect(Dialect):
    """Reads and writes the headers of the hosting platform."""

    def read_request(self, headers: HeaderList) -> RequestInfo:  # noqa: D102
        attempt_id, virtual_host = "", ""
        time_left: float | None = None
        for name, value in headers:
            if name == ATTEMPT_ID:
                attempt_id = value
            elif name == "host":
                virtual_host = value
            elif name == TIME_LEFT_MS:
                time_left = parse_milliseconds(value)
        return RequestInfo(
            attempt_id,
            attempt_id.rpartition(_PARENT_SEPARATOR)[0],
            virtual_host,
            time_left,
            drop_headers(headers, _STRIPPED_FROM_REQUEST),
        )

    def read_keys(self, headers: HeaderList) -> list[str]:  # noqa: D102
        return [value for name, value in headers if name == KEY]

    def drop_credentials(self, headers: HeaderList) -> HeaderList:  # noqa: D102
        return tuple(item for item in headers if item[0] not in _CREDENTIALS)

    def write_request(  # noqa: D102
        self, request: CallRequest, *, time_left: float
    ) -> HeaderList:
        tenant = ((TENANT, request.tenant),) if request.tenant else ()
        return (
            *request.headers,
            (TIME_LEFT_MS, str(max(1, int(time_left * 1000)))),
            (EXPECTED_BACKEND, request.backend),
            (CALLER_SERVICE, request.caller_service),
            *tenant,
        )

    def read_response(self, status: int, headers: HeaderList) -> ResponseInfo:  # noqa: D102
        found = dict(headers)
        not_executed = NOT_EXECUTED in found
        misdirected = status == HTTPStatus.MISDIRECTED_REQUEST
        return ResponseInfo(
            executed=not not_executed and not misdirected,
            misdirected=misdirected,
            genuine=SIGNATURE in found and "content-encoding" not in found,
            headers=drop_headers(headers, HOP_BY_HOP_HEADERS),
            load=parse_load(found.get(LOAD, "")),
        )

    def is_response_to(  # noqa: D102
        self, request: CallRequest, headers: HeaderList, *, reused: bool
    ) -> bool:
        answered = dict(headers).get(ATTEMPT_ID)
        if answered is None:
            return not reused
        return answered == request.attempt_id


def parse_milliseconds(text: str) -> float | None:
    """Return a decimal number of milliseconds in seconds, or None if it is not one."""
    if not text.isascii() or not text.isdigit():
        return None
    return min(int(text), MAX_TIME_LEFT_MS) / 1000


def parse_load(text: str) -> BackendLoad | None:
    """Return the load that a header reports, or None if it is malformed."""
    found = _LOAD.fullmatch(text.replace(" ", ""))
    if found is None:
        return None
    running, waiting, slots = (int(found[i]) for i in (1, 2, 3))
    hundredths = int(found[4] or 0)
    if not slots:
        return None
    factor = hundredths / 100 if hundredths else None
    return BackendLoad(running, waiting, slots, factor)


def drop_headers(headers: HeaderList, dropped: frozenset[str]) -> HeaderList:
    """Return the headers without `dropped` and the names that `Connection` lists."""
    for name, value in headers:
        if name == "connection" and value.lower() not in ("close", "keep-alive"):
            dropped = dropped | {item.strip().lower() for item in value.split(",")}
    return tuple(item for item in headers if item[0] not in dropped)
