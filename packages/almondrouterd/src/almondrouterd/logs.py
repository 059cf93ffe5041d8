"""Log lines on standard error, for changes of state only."""

from __future__ import annotations

import sys

import logbook

_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f}Z {record.level_name} "
    "{record.channel}: {record.message}{record.extra[fields]}"
)


def set_up_logs(level: str) -> None:
    """Send log lines of a level and above to standard error."""
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(
        sys.stderr, level=level.upper(), format_string=_FORMAT
    )
    handler.push_application()


class StateLogger:
    """Writes structured lines: a message, a code and fields as ``name=value``."""

    def __init__(self, channel: str) -> None:
        self._logger = logbook.Logger(channel)

    def info(self, message: str, **fields: object) -> None:
        """Write a line for an expected change of state."""
        self._logger.info(message, extra={"fields": _format_fields(fields)})

    def warning(self, message: str, **fields: object) -> None:
        """Write a line for a change of state that an operator should know."""
        self._logger.warning(message, extra={"fields": _format_fields(fields)})


def _format_fields(fields: dict[str, object]) -> str:
    return "".join(f" {name}={value}" for name, value in fields.items())
