"""Tests of `almondctl logs`, which explains requests and versions."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from almondctl.main import main


def make_line(time, host, event, **fields):
    """Return a log line as a daemon writes it."""
    first = {"time": time, "level": "info", "host": host, "channel": "forwarding"}
    return json.dumps(first | {"event": event} | fields)


class LogExplanationTest(unittest.TestCase):
    """Log files of two daemons whose clocks differ slightly."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write_log(self, name, *lines, end="\n"):
        path = self.folder / name
        path.write_text("\n".join(lines) + end)
        return str(path)

    def explain(self, about, name, *files, output="text"):
        text = io.StringIO()
        with contextlib.redirect_stdout(text), contextlib.redirect_stderr(text):
            code = main(["logs", about, name, *files, "--output", output])
        return int(code), text.getvalue()

    def write_request_logs(self):
        """Write logs of a request; two events have the wording of earlier releases."""
        caller = self.write_log(
            "caller",
            make_line(10.0, "h1", "sending failed", request="a", peer="h2"),
            make_line(10.2, "h1", "request failed", request="a", code="overloaded"),
            make_line(10.3, "h1", "request failed", request="ab"),
            make_line(10.1, "h1", "request failed", request="a.1", nested=True),
        )
        leaving = make_line(9.0, "h2", "backend server changed state")
        late = make_line(30.0, "h2", "backend server changed state")
        peer = self.write_log(
            "peer",
            leaving.replace("forwarding", "backend"),
            late.replace("forwarding", "backend"),
            make_line(9.99, "h2", "request not answered here", request="a"),
            '{"time": 11.0, "host": "h2", "ev',
        )
        return caller, peer

    def test_request_with_lines_of_all_hosts(self):
        """Guards against lines of other hosts that are left out."""
        code, text = self.explain("request", "a", *self.write_request_logs())
        self.assertEqual(0, code)
        events = [line.split(":")[0].partition(" ")[2] for line in text.splitlines()]
        self.assertEqual(
            [
                "h2 backend server changed state",
                "h2 request not answered here",
                "h1 sending failed",
                "h1 request failed",
                "h1 request failed",
            ],
            events[:-1],
        )
        self.assertIn("1 lines could not be read", text)
        self.assertNotIn("request=ab", text)

    def test_json(self):
        """Guards against JSON output that cannot be parsed or is incomplete."""
        code, text = self.explain(
            "request", "a", *self.write_request_logs(), output="json"
        )
        document = json.loads(text)
        found = (code, len(document["lines"]), document["unreadable"])
        self.assertEqual((0, 5, 1), found)

    def test_version(self):
        """Guards against a host that is left out because it skipped the version."""
        path = self.write_log(
            "all",
            make_line(1.0, "h1", "configuration in force", version=4),
            make_line(2.0, "h1", "configuration in force", version=7),
            make_line(2.5, "h2", "configuration in force", version=9),
            make_line(3.0, "h1", "configuration in force", version=9),
        )
        _, text = self.explain("version", "7", path)
        self.assertEqual(
            ["2.0000 h1", "2.5000 h2"],
            [" ".join(line.split()[:2]) for line in text.splitlines()],
        )

    @parameterized.expand(
        [("request", "none"), ("version", "99"), ("version", "x\ny"), ("request", "")]
    )
    def test_nothing_found(self, about, name):
        """Guards against empty output and a zero exit code if nothing matches."""
        code, text = self.explain(about, name, *self.write_request_logs())
        self.assertEqual(1, code)
        self.assertIn("no line names", text)

    def test_missing_file(self):
        """Guards against a missing file that is silently skipped."""
        code, text = self.explain("request", "a", str(self.folder / "none"))
        self.assertEqual(1, code)
        self.assertIn("file_unreadable", text)
