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
SEND_ID = "Almond-Send-Id"
"""Identifies one sending of a request to a backend server, which repeats the id in a
refusal."""
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
"""Headers that apply to a single connection and are not forwarded; in lower case."""


class Outcome(StrEnum):
    """Whether the request of a call was run.

    ``NOT_RUN`` is reported only if no backend server ran the request and none can
    run it later.
    """

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
