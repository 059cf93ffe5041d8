"""Structured log lines on standard output, written without blocking the process."""

from __future__ import annotations

import os
import stat
import sys
import time

import logbook
import msgspec

MAX_LINES_PER_SECOND = 50.0
"""Sustained rate of log lines, so that logging takes little CPU time from requests.

A busy host would log about 20 times as many.
"""
MAX_BURST_LINES = 200.0
"""Lines that may be written at once after a quiet period: the token bucket's size."""
MAX_BUFFERED_BYTES = 65_536
"""Bytes kept while the reader of the log is stalled; the size of a pipe buffer."""

_ENCODER = msgspec.json.Encoder()


class LineWriter:
    """Writes whole lines to a file descriptor without waiting for its reader.

    Parameters
    ----------
    descriptor
        File descriptor to write to; pipes and sockets are made non-blocking.

    Notes
    -----
    Lines above the rate limit, and lines that no longer fit in the buffer while
    the reader is stalled, are dropped and counted in ``dropped``.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer = b""
        self._tokens = MAX_BURST_LINES
        self._refilled_at = time.monotonic()
        self.dropped = 0
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            os.set_blocking(descriptor, False)

    def has_token(self) -> bool:
        """Return whether the rate limit allows a line that is not urgent."""
        self._refill_tokens()
        return self._tokens >= 1

    def write(self, line: bytes, *, urgent: bool = False) -> bool:
        """Write or buffer a line; return False if it was dropped.

        Parameters
        ----------
        urgent
            Whether the rate limit never drops the line, although the line takes
            a token; set for changes of state.
        """
        self._refill_tokens()
        if self._tokens < 1 and not urgent:
            self.dropped += 1
            return False
        self._tokens = max(0.0, self._tokens - 1)
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._flush_buffer()
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return False
        self._buffer += line
        self._flush_buffer()
        return True

    def _refill_tokens(self) -> None:
        now = time.monotonic()
        gained = (now - self._refilled_at) * MAX_LINES_PER_SECOND
        self._tokens = min(MAX_BURST_LINES, self._tokens + gained)
        self._refilled_at = now

    def _flush_buffer(self) -> None:
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the descriptor, so the error cannot be logged.
            self._buffer = b""
            self.dropped += 1
            return
        self._buffer = self._buffer[written:]


class JsonHandler(logbook.Handler):
    """Logbook handler that writes each record as a JSON object on one line.

    Parameters
    ----------
    writer
        Receives the lines.
    host
        Name of the host, written into each line.
    level
        Lowest level that is written.
    """

    def __init__(self, writer: LineWriter, *, host: str, level: str) -> None:
        super().__init__(level=level)
        self._writer = writer
        self._host = host
        self._reported_drops = 0

    def emit(self, record: logbook.LogRecord) -> None:  # noqa: D102
        writer = self._writer
        urgent = record.level >= logbook.INFO
        if not urgent and not writer.has_token():
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
        if writer.dropped > self._reported_drops:
            line["lines_dropped"] = writer.dropped - self._reported_drops
        dropped = writer.dropped
        data = _ENCODER.encode(line) + b"\n"
        if writer.write(data, urgent=urgent):
            self._reported_drops = dropped


def set_up_logs(level: str, *, host: str = "") -> LineWriter:
    """Write log records of at least ``level`` to standard output as JSON lines."""
    writer = LineWriter(sys.stdout.fileno())
    JsonHandler(writer, host=host, level=level.upper()).push_application()
    return writer


class EventLogger:
    """Logs events with structured fields.

    Parameters
    ----------
    channel
        Component that the events belong to.
    """

    def __init__(self, channel: str) -> None:
        self._logger = logbook.Logger(channel)

    def request(self, event: str, **fields: object) -> None:
        """Log a decision about one request; dropped above the rate limit."""
        self._logger.debug(event, extra={"fields": fields})

    def info(self, event: str, **fields: object) -> None:
        """Log an expected change of state."""
        self._logger.info(event, extra={"fields": fields})

    def warning(self, event: str, **fields: object) -> None:
        """Log a change of state that needs an operator's attention."""
        self._logger.warning(event, extra={"fields": fields})

    def error(self, event: str, **fields: object) -> None:
        """Log an internal fault of the program."""
        self._logger.error(event, extra={"fields": fields})
