"""Reads and validates target files in TOML."""

from __future__ import annotations

import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from almondrouter.errors import ErrorCode, Finding, FindingsError
from almondrouter.state.targets import (
    MAX_CONFIGURATION_BYTES,
    ClassTarget,
    Configuration,
    ServiceTarget,
    find_faults,
)

_KINDS = {"services": ServiceTarget, "classes": ClassTarget}


def read_target_file(path: str) -> Configuration:
    """Read and validate a target file; the version of the result is 0.

    Raises
    ------
    FindingsError
        With every error of the file and its place.
    """
    data = _read_bytes(path)
    try:
        document = tomllib.loads(data.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise _make_file_error(
            path, ErrorCode.CONFIGURATION_MALFORMED, str(error)
        ) from error
    findings: list[Finding] = []
    configuration = convert_document(document, findings.append)
    findings.extend(find_faults(configuration))
    if findings:
        raise FindingsError(findings)
    return configuration


def convert_document(
    document: dict[str, Any], report: Callable[[Finding], None]
) -> Configuration:
    """Return the well-formed targets of a parsed document.

    Parameters
    ----------
    report
        Called with a finding for each unknown table and each malformed target.
    """
    for name in document.keys() - _KINDS.keys():
        message = "unknown table; use 'services' or 'classes'"
        report(Finding(name, ErrorCode.CONFIGURATION_MALFORMED, message))
    services = _convert_targets("services", document, report)
    classes = _convert_targets("classes", document, report)
    return Configuration(services=services, classes=classes)


def _convert_targets(
    kind: str, document: dict[str, Any], report: Callable[[Finding], None]
) -> dict[str, Any]:
    table = document.get(kind, {})
    if not isinstance(table, dict):
        report(Finding(kind, ErrorCode.CONFIGURATION_MALFORMED, "must be a table"))
        return {}
    targets = {}
    for name, fields in table.items():
        try:
            targets[name] = msgspec.convert(fields, _KINDS[kind])
        except msgspec.ValidationError as error:
            place = f"{kind}.{name}"
            report(Finding(place, ErrorCode.CONFIGURATION_MALFORMED, str(error)))
    return targets


def _read_bytes(path: str) -> bytes:
    try:
        with Path(path).open("rb") as file:
            data = file.read(MAX_CONFIGURATION_BYTES + 1)
    except OSError as error:
        message = error.strerror or str(error)
        raise _make_file_error(path, ErrorCode.FILE_UNREADABLE, message) from error
    if len(data) > MAX_CONFIGURATION_BYTES:
        message = f"longer than {MAX_CONFIGURATION_BYTES} bytes"
        raise _make_file_error(path, ErrorCode.CONFIGURATION_TOO_LARGE, message)
    return data


def _make_file_error(path: str, code: ErrorCode, message: str) -> FindingsError:
    return FindingsError([Finding(path, code, message)])
