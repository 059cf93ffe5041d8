"""HTTP header names and outcomes of calls."""

from __future__ import annotations

from enum import StrEnum

SERVICE = "Almond-Service"
CLASS = "Almond-Class"
TIMEOUT_MS = "Almond-Timeout-Ms"
ATTEMPT = "Almond-Attempt"
OUTCOME = "Almond-Outcome"
CODE = "Almond-Code"
VERSION = "Almond-Version"
DEADLINE_MS = "Almond-Deadline-Ms"
IDEMPOTENCY_KEY = "Idempotency-Key"
TRACEPARENT = "traceparent"


HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern only one connection, in lower case."""


class Outcome(StrEnum):
    """What became of a call.

    ``NOT_RUN`` is said only if no backend server ran the request and none can
    run it later.
    """

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
