"""Finds the lines of collected log files that explain a request or a version."""

from __future__ import annotations

import argparse
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from almondctl.connections import Connections
from almondctl.exits import ExitCode
from almondctl.output import Result
from almondrouter.errors import MALFORMED_DATA_ERRORS, AlmondError, ErrorCode

STATE_CONTEXT_S = 3.0
"""Seconds before and after a request within which state changes are shown with it."""
IN_FORCE_EVENT = "configuration in force"

_REQUIRED_FIELDS = ("time", "host", "event")
_STATE_CHANNELS = frozenset({"backend", "daemon", "directory", "routes", "storefeed"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a daemon's log.

    Parameters
    ----------
    time
        Seconds since the epoch by the clock of the host.
    host, event
        Host that wrote the line, and its message.
    fields
        All other fields of the line.
    """

    time: float
    host: str
    event: str
    fields: dict[str, object]


async def explain_logs(arguments: argparse.Namespace, _: Connections) -> Result:
    """Show the lines that explain a request, or when a version came into force."""
    lines, unreadable = read_log_files(arguments.files)
    if arguments.about == "request":
        found = find_request_lines(lines, arguments.name)
    else:
        found = find_activation_lines(lines, arguments.name)
    text = [format_line(line) for line in found]
    if unreadable:
        text.append(f"{unreadable} lines could not be read")
    if not found:
        text.append(f"no line names {arguments.about} {arguments.name!r}")
    code = ExitCode.OK if found else ExitCode.FAILED
    entries = [
        {"time": line.time, "host": line.host, "event": line.event, **line.fields}
        for line in found
    ]
    return Result({"lines": entries, "unreadable": unreadable}, tuple(text), code)


def read_log_files(paths: Iterable[str]) -> tuple[list[LogLine], int]:
    """Return all lines ordered by time, and the number of malformed lines.

    Raises
    ------
    AlmondError
        ``file_unreadable`` if a file cannot be opened.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for path in paths:
        try:
            data = Path(path).read_bytes()
        except OSError as error:
            raise AlmondError(ErrorCode.FILE_UNREADABLE, str(error)) from error
        for raw in data.splitlines():
            line = decode_line(raw)
            if line is None:
                unreadable += bool(raw.strip())
            else:
                lines.append(line)
    return sorted(lines, key=lambda line: line.time), unreadable


def decode_line(raw: bytes) -> LogLine | None:
    """Return a decoded line, or None if it is malformed, such as a truncated one."""
    try:
        fields = msgspec.json.decode(raw, type=dict[str, object])
        required = {name: fields.pop(name) for name in _REQUIRED_FIELDS}
        return LogLine(
            float(required["time"]),
            str(required["host"]),
            str(required["event"]),
            fields,
        )
    except (*MALFORMED_DATA_ERRORS, KeyError, TypeError, ValueError):
        return None


def find_request_lines(lines: list[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request, its nested calls and the state changes around it.

    State changes are those of the hosts and backend servers that took part, up to
    `STATE_CONTEXT_S` before the first and after the last line of the request.
    """
    request_lines = [line for line in lines if is_about_request(line, request)]
    if not request_lines:
        return []
    begin, end = (
        request_lines[0].time - STATE_CONTEXT_S,
        request_lines[-1].time + STATE_CONTEXT_S,
    )
    involved = {line.host for line in request_lines}
    involved |= {
        str(line.fields["peer"]) for line in request_lines if "peer" in line.fields
    }
    backends = {str(line.fields.get("backend", "")) for line in request_lines} - {""}
    state_lines = [
        line
        for line in lines
        if begin <= line.time <= end
        and line.fields.get("channel") in _STATE_CHANNELS
        and "request" not in line.fields
        and (line.host in involved or line.fields.get("backend") in backends)
    ]
    return sorted([*request_lines, *state_lines], key=lambda line: line.time)


def is_about_request(line: LogLine, request: str) -> bool:
    """Return whether a line is about a request or a call nested in it."""
    found = str(line.fields.get("request", ""))
    return bool(found) and (found == request or found.startswith(f"{request}."))


def find_activation_lines(lines: list[LogLine], version: str) -> list[LogLine]:
    """Return each daemon's first line with this version or a later one in force."""
    wanted = int(version) if version.isdigit() else -1
    found: dict[str, LogLine] = {}
    for line in lines:
        reached = line.fields.get("version")
        in_force = line.event == IN_FORCE_EVENT and isinstance(reached, int)
        if in_force and reached >= wanted >= 0:
            found.setdefault(line.host, line)
    return sorted(found.values(), key=lambda line: line.time)


def format_line(line: LogLine) -> str:
    """Return a line as text for operators."""
    hidden = ("level", "channel")
    fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if k not in hidden)
    return f"{line.time:.4f} {line.host} {line.event}: {fields}"
