"""Prints results and errors of commands as text or JSON."""

from __future__ import annotations

import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from almondctl.exits import ExitCode
from almondrouter.errors import AlmondError, Finding, FindingsError


@dataclass(frozen=True, slots=True)
class Result:
    """Result of a command.

    Parameters
    ----------
    data
        Content of the JSON output.
    lines
        Lines of the text output.
    exit_code
        Exit code of the process.
    """

    data: dict[str, Any]
    lines: tuple[str, ...] = ()
    exit_code: ExitCode = field(default=ExitCode.OK)


def print_result(result: Result, *, output: str) -> None:
    """Print a result on standard output."""
    if output == "json":
        print(msgspec.json.encode(result.data, order="deterministic").decode())
        return
    for line in result.lines:
        print(line)


def print_progress(line: str, *, output: str) -> None:
    """Print a progress line on standard error, in text output only."""
    if output == "text":
        print(line, file=sys.stderr, flush=True)


def report_error(error: AlmondError, *, output: str) -> None:
    """Print an error with all its findings on standard error."""
    findings = list_findings(error)
    if output == "json":
        data = {"error": error.code.value, "findings": findings}
        print(msgspec.json.encode(data).decode(), file=sys.stderr)
        return
    if isinstance(error, FindingsError):
        for finding in error.findings:
            print(f"error: {finding}", file=sys.stderr)
    else:
        print(f"error: {error}", file=sys.stderr)


def list_findings(error: AlmondError) -> list[dict[str, str]]:
    """Return the findings of an error as JSON-compatible data."""
    if not isinstance(error, FindingsError):
        return [{"place": "", "code": error.code.value, "message": error.message}]
    return describe_findings(error.findings)


def describe_findings(findings: Iterable[Finding]) -> list[dict[str, str]]:
    """Return findings as JSON-compatible data."""
    return [
        {"place": item.place, "code": item.code.value, "message": item.message}
        for item in findings
    ]


def format_table(header: tuple[str, ...], rows: list[tuple[Any, ...]]) -> list[str]:
    """Return the lines of a table with aligned columns."""
    cells = [header, *[tuple(map(str, row)) for row in rows]]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
