"""Tests of log lines: complete, rate-limited and written without blocking."""

from __future__ import annotations

import os
import tempfile
import unittest
from unittest import mock

import msgspec
from parameterized import parameterized

from almondrouter import logs
from almondrouter.logs import MAX_BURST_LINES, EventLogger, JsonHandler, LineWriter


class LineWriterTest(unittest.TestCase):
    """Lines are written to a pipe whose reader may stall or close it."""

    def setUp(self):
        self.reader, self.descriptor = os.pipe()
        self.addCleanup(self.close, self.descriptor)
        self.addCleanup(self.close, self.reader)
        clock = mock.patch.object(logs.time, "monotonic", lambda: self.now)
        self.now = 1000.0
        clock.start()
        self.addCleanup(clock.stop)
        self.writer = LineWriter(self.descriptor)

    def close(self, descriptor):
        try:
            os.close(descriptor)
        except OSError:
            self.assertEqual(self.reader, descriptor)

    def test_reader_that_stops_does_not_block(self):
        """A process must not block because the reader of its logs has stalled."""
        line = b"x" * 999 + b"\n"
        for _ in range(1000):
            self.writer.write(line, urgent=True)
        self.assertGreater(self.writer.dropped, 500)
        taken = os.read(self.reader, 10_000_000)
        while self.writer.write(line, urgent=True) and len(taken) < 400_000:
            taken += os.read(self.reader, 10_000_000)
        self.assertEqual({line}, set(taken.splitlines(keepends=True)[:-1]))

    @parameterized.expand([("pipe", True), ("file", False)])
    def test_closed_output_is_no_error(self, _, pipe):
        """A process must not exit because the reader of its logs is gone."""
        if pipe:
            os.close(self.reader)
            writer = self.writer
        else:
            with tempfile.TemporaryFile() as file:
                writer = LineWriter(file.fileno())
        writer.write(b"line\n")
        self.assertEqual(1, writer.dropped)

    def test_rate_is_bounded_and_urgent_lines_pass(self):
        """Logging must not use the CPU time that requests need."""
        taken = sum(self.writer.write(b"l\n") for _ in range(1000))
        self.assertEqual(MAX_BURST_LINES, taken)
        self.assertTrue(self.writer.write(b"state\n", urgent=True))
        self.now += 1.0
        taken = sum(self.writer.write(b"l\n") for _ in range(1000))
        self.assertEqual(logs.MAX_LINES_PER_SECOND, taken)


class JsonHandlerTest(unittest.TestCase):
    """Each line is one JSON object with the same leading fields."""

    def capture_lines(self, log_events):
        reader, descriptor = os.pipe()
        self.addCleanup(os.close, reader)
        writer = LineWriter(descriptor)
        handler = JsonHandler(writer, host="h1", level="DEBUG")
        with handler.applicationbound():
            log_events(EventLogger("test"), writer)
        os.close(descriptor)
        lines = os.read(reader, 1_000_000).splitlines()
        return [msgspec.json.decode(line) for line in lines]

    @parameterized.expand(["a\nb", 'a"b', "\u2028", "\x00", "é"])
    def test_hostile_id_stays_in_its_field(self, value):
        """A caller must not be able to forge log lines through its request id."""
        lines = self.capture_lines(lambda log, _: log.request("refused", request=value))
        self.assertEqual(1, len(lines))
        self.assertEqual((value, "h1"), (lines[0]["request"], lines[0]["host"]))

    def test_dropped_lines_are_reported(self):
        """The next line must report how many lines were dropped before it."""

        def log_events(log, writer):
            writer.dropped = 7
            log.warning("store lost")
            log.info("store regained")

        lines = self.capture_lines(log_events)
        self.assertEqual(7, lines[0]["lines_dropped"])
        self.assertNotIn("lines_dropped", lines[1])
