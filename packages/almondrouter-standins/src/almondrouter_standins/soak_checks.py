"""Checks of the soak test on the log files of the daemons."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec


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


def parse_log_line(line: bytes) -> dict:
    """Return the fields of a log line; none if it was truncated by a kill."""
    try:
        return msgspec.json.decode(line, type=dict)
    except msgspec.DecodeError:
        return {}
