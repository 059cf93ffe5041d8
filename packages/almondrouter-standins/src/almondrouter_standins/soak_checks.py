"""Checks of the soak test on the log files of the daemons."""

from __future__ import annotations

import re
from collections.abc import Sequence
from pathlib import Path

import msgspec

from almondrouter.errors import ErrorCode
from almondrouter_standins.platform_backend import RunLedger

DROPPED_EVENT = "connection of the caller ended before the response"
CALLER_LEFT = "caller_left"
RESPONSE_ENDS = frozenset({"caller_closes", "response_unframed"})
"""Reasons for which a connection ends with the response to an earlier request."""
ATTEMPT_ID = re.compile(r"\ba\d+x\d+\b")


def find_version_regressions(paths: Sequence[Path]) -> list[str]:
    """Return the log files in which a configuration version did not increase."""
    found = []
    for path in paths:
        version = 0
        for line in path.read_bytes().splitlines():
            fields = parse_log_line(line)
            if fields.get("event") == "daemon started":
                version = 0
            elif fields.get("event") == "configuration in force":
                if fields["version"] <= version:
                    found.append(
                        f"{path.name}: configuration version {fields['version']} "
                        f"in force after version {version}"
                    )
                version = fields["version"]
    return found


def find_dropped_requests(paths: Sequence[Path], ledger: RunLedger) -> list[str]:
    """Return the accepted requests of callers whose connections the daemon ended.

    Not counted are requests behind others on their connections that reached no
    backend server; their callers may safely send them again.
    """
    found = []
    for path in paths:
        for line in path.read_bytes().splitlines():
            fields = parse_log_line(line)
            if fields.get("event") != DROPPED_EVENT or not fields["request"]:
                continue
            first = not fields["position"] and fields["reason"] not in RESPONSE_ENDS
            accepted = first or ledger.arrivals[fields["request"]]
            if accepted and fields["reason"] != CALLER_LEFT:
                found.append(
                    f"{path.name}: {fields['request']} was accepted, but its "
                    f"connection was ended: {fields['reason']}"
                )
    return found


def find_innocent_refusals(paths: Sequence[Path], crashing: set[str]) -> list[str]:
    """Return the requests refused as crashing that are not among these attempts."""
    found = []
    for path in paths:
        for line in path.read_bytes().splitlines():
            fields = parse_log_line(line)
            if fields.get("code") != ErrorCode.CONDEMNED.value:
                continue
            if fields["request"] not in crashing:
                found.append(
                    f"{path.name}: {fields['request']} was refused as crashing"
                )
    return found


def find_log_lines(paths: Sequence[Path], violations: Sequence[str]) -> list[str]:
    """Return the log lines about the attempts that violations name."""
    attempts = set(ATTEMPT_ID.findall(" ".join(violations)))
    return [
        f"{path.name}: {line}"
        for path in paths
        for line in path.read_text(errors="replace").splitlines()
        if attempts.intersection(ATTEMPT_ID.findall(line))
    ]


def parse_log_line(line: bytes) -> dict:
    """Return the fields of a log line; none if it was truncated by a kill."""
    try:
        return msgspec.json.decode(line, type=dict)
    except msgspec.DecodeError:
        return {}
