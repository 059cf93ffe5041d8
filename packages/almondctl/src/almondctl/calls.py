"""Command that shows where a request would go."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Any

from almondctl.connections import Connections
from almondctl.output import Result, format_table
from almondrouter.addresses import is_loopback
from almondrouter.errors import ErrorCode, Finding, FindingsError

_COST_PARTS = ("distance", "wait", "run_time", "occupancy", "failures", "total")


async def explain_call(
    arguments: argparse.Namespace, connections: Connections
) -> Result:
    """Ask a daemon where a request would go now, without sending it."""
    host, _, path = arguments.name.partition("/")
    if not host or any(c.isspace() for c in arguments.name):
        raise _make_usage_error("name", "must be HOST/PATH")
    key = read_key(arguments.key_file) if arguments.key_file else ""
    daemons = connections.settings["daemon"]
    if key and not all(is_loopback(address) for address in daemons):
        message = "a key is only sent to a daemon on loopback"
        raise _make_usage_error("--daemon", message)
    body = {
        "host": host,
        "target": f"/{path}",
        "method": arguments.method.upper(),
        "key": key,
        "tenant": arguments.tenant,
        "body_bytes": arguments.body_bytes,
        "nested": arguments.nested,
    }
    answer = await connections.request_daemon(
        "/explain/call",
        method="POST",
        body=body,
        not_found="the daemon does not answer questions about calls",
    )
    return Result(answer, tuple(format_explanation(answer)))


def read_key(path: str) -> str:
    """Return the key that a file holds; ``-`` is standard input.

    Raises
    ------
    FindingsError
        ``setting_invalid`` if the file cannot be read or does not hold one key. No
        message contains the key.
    """
    try:
        data = sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()
    except OSError as error:
        message = f"cannot read the key: {error.strerror}"
        raise _make_usage_error("--key-file", message) from error
    # Header values have one character for each byte.
    key = data.decode("latin-1").strip("\r\n\t ")
    if not key or "\n" in key or "\r" in key:
        raise _make_usage_error("--key-file", "must hold one line with a key")
    return key


def format_explanation(answer: dict[str, Any]) -> list[str]:
    """Return the lines of text for an answer of a daemon."""
    lines = [
        f"version {answer['version']}, route {answer['route'] or '-'}, "
        f"service {answer['service'] or '-'}, tenant {answer['tenant'] or '-'}"
    ]
    quota = answer["quota"]
    if quota is not None:
        waits = "later ones wait" if quota["may_wait"] else "later ones are refused"
        lines.append(
            f"quota {quota['rate']:g} requests/s in all; this daemon admits "
            f"{quota['tokens']} at once, {waits}"
        )
    rows = [_format_candidate(item, answer) for item in answer["candidates"]]
    if rows:
        parts = (name.replace("_", " ").upper() for name in _COST_PARTS)
        header = ("SERVER", "HOST", "DATA CENTRE", *parts, "REMARK")
        lines += [*format_table(header, rows), "costs in ms"]
    lines.append(_format_decision(answer))
    if answer["chosen"]:
        lines.append(_format_second(answer))
    return lines


def _format_candidate(item: dict[str, Any], answer: dict[str, Any]) -> tuple[str, ...]:
    remarks = list(item["excluded"])
    if item["backend"] == answer["chosen"]:
        remarks.append("chosen")
    if item["backend"] == answer["second"]:
        remarks.append("second attempt")
    costs = (f"{1000 * item[name]:.1f}" for name in _COST_PARTS)
    names = (item["backend"], item["host"], item["data_centre"])
    return (*names, *costs, ", ".join(remarks) or "-")


def _format_decision(answer: dict[str, Any]) -> str:
    refusal = answer["refusal"]
    if refusal is None:
        return f"the request would be sent to {answer['chosen']}"
    line = f"the request would be refused: {refusal['status']} {refusal['code']}"
    if refusal["retry_after"] is not None:
        line += f", Retry-After {refusal['retry_after']:.3f} s"
    return f"{line} ({refusal['reason']})" if refusal["reason"] else line


def _format_second(answer: dict[str, Any]) -> str:
    if not answer["second"]:
        return "there is no destination for a second attempt"
    only = ", only if the first is refused" if answer["second_needs_refusal"] else ""
    return f"a second attempt would go to {answer['second']}{only}"


def _make_usage_error(place: str, message: str) -> FindingsError:
    return FindingsError([Finding(place, ErrorCode.SETTING_INVALID, message)])
