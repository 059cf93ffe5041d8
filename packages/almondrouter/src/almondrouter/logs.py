"""Structured log lines on standard output that never block the process."""

from __future__ import annotations

import os
import stat
import sys
import time

import logbook
import msgspec

LINES_PER_SECOND = 50.0
"""Lines a second that are written in the long run; a twentieth of a busy host."""
LINES_BURST = 200.0
"""Lines that may be written at once after a calm time."""
MAX_WAITING_BYTES = 65_536
"""Bytes kept for a reader that has stopped reading; one pipe buffer."""

_ENCODER = msgspec.json.Encoder()


class LineWriter:
    """Writes whole lines to a file descriptor without waiting for its reader.

    Parameters
    ----------
    descriptor
        Descriptor that is written to; pipes and sockets become non-blocking.

    Notes
    -----
    Lines beyond the rate, and lines that a stopped reader leaves no room for,
    are dropped and counted in ``dropped``.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting = b""
        self._tokens = LINES_BURST
        self._filled_at = time.monotonic()
        self.dropped = 0
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def admits(self) -> bool:
        """Return whether the rate allows a line that is not urgent."""
        self._refill()
        return self._tokens >= 1

    def write(self, line: bytes, *, urgent: bool = False) -> bool:
        """Write a line; return whether it was taken.

        Parameters
        ----------
        urgent
            Whether the line counts against the rate but is never held back by
            it, as changes of state are.
        """
        self._refill()
        if self._tokens < 1 and not urgent:
            self.dropped += 1
            return False
        self._tokens = max(0.0, self._tokens - 1)
        if len(self._waiting) + len(line) > MAX_WAITING_BYTES:
            self._flush()
        if len(self._waiting) + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return False
        self._waiting += line
        self._flush()
        return True

    def _refill(self) -> None:
        now = time.monotonic()
        gained = (now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(LINES_BURST, self._tokens + gained)
        self._filled_at = now

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody reads standard output any more; there is nowhere to say so.
            self._waiting = b""
            self.dropped += 1
            return
        self._waiting = self._waiting[written:]


class JsonHandler(logbook.Handler):
    """Encodes records as one JSON object a line."""

    def __init__(self, writer: LineWriter, *, host: str, level: str) -> None:
        super().__init__(level=level)
        self._writer = writer
        self._host = host
        self._reported = 0

    def emit(self, record: logbook.LogRecord) -> None:  # noqa: D102
        writer = self._writer
        urgent = record.level >= logbook.INFO
        if not urgent and not writer.admits():
            writer.dropped += 1
            return
        line = {
            "time": round(time.time(), 4),
            "level": record.level_name.lower(),
            "host": self._host,
            "channel": record.channel,
            "event": record.message,
            **record.extra.get("fields", {}),
        }
        if writer.dropped > self._reported:
            line["lines_dropped"] = writer.dropped - self._reported
        dropped = writer.dropped
        data = _ENCODER.encode(line) + b"\n"
        if writer.write(data, urgent=urgent):
            self._reported = dropped


def set_up_logs(level: str, *, host: str = "") -> LineWriter:
    """Send log lines of a level and above to standard output."""
    writer = LineWriter(sys.stdout.fileno())
    JsonHandler(writer, host=host, level=level.upper()).push_application()
    return writer


class StateLogger:
    """Writes an event and its fields.

    Parameters
    ----------
    channel
        Part of the program that the events belong to.
    """

    def __init__(self, channel: str) -> None:
        self._logger = logbook.Logger(channel)

    def request(self, event: str, **fields: object) -> None:
        """Write a line for a decision about one request; dropped under load."""
        self._logger.debug(event, extra={"fields": fields})

    def info(self, event: str, **fields: object) -> None:
        """Write a line for an expected change of state."""
        self._logger.info(event, extra={"fields": fields})

    def warning(self, event: str, **fields: object) -> None:
        """Write a line for a change of state that an operator should know."""
        self._logger.warning(event, extra={"fields": fields})

    def error(self, event: str, **fields: object) -> None:
        """Write a line for a fault of the program."""
        self._logger.error(event, extra={"fields": fields})
