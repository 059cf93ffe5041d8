"""Checks of the soak test on log files."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from almondrouter_standins.platform_backend import RunLedger
from almondrouter_standins.soak_checks import (
    DROPPED_EVENT,
    find_dropped_requests,
    find_innocent_refusals,
    find_log_lines,
    find_version_regressions,
)

ATTEMPT = "a12x34"


class ChecksTest(unittest.TestCase):
    """Writes the log of one host."""

    def write_log(self, *lines):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / "host-0.log"
        text = "\n".join(json.dumps(line) for line in lines)
        path.write_text(text + '\n{"event": "trunc')
        return [path]

    @parameterized.expand(
        [
            ("stopping", 0, False, True),
            ("closed", 0, True, True),
            ("stopping", 2, True, True),
            ("stopping", 2, False, False),
            ("response_unframed", 0, True, True),
            ("response_unframed", 0, False, False),
            ("caller_left", 0, True, False),
        ]
    )
    def test_dropped_request(self, reason, position, arrived, expected):
        """Guards against accepted requests that a daemon drops unnoticed."""
        paths = self.write_log(
            {"event": DROPPED_EVENT, "request": "", "position": 0, "reason": "closed"},
            {
                "event": DROPPED_EVENT,
                "request": ATTEMPT,
                "position": position,
                "reason": reason,
            },
        )
        ledger = RunLedger()
        ledger.arrivals[ATTEMPT] += arrived
        self.assertEqual(expected, bool(find_dropped_requests(paths, ledger)))

    @parameterized.expand(
        [("condemned", "other", 1), ("condemned", ATTEMPT, 0), ("limited", "other", 0)]
    )
    def test_innocent_refusal(self, code, request, expected):
        """Guards against requests that are refused for the crash of another one."""
        paths = self.write_log({"event": "x", "code": code, "request": request})
        self.assertEqual(expected, len(find_innocent_refusals(paths, {ATTEMPT})))

    @parameterized.expand([((1, 2, 15), 0), ((2, 1), 1), ((2, 2), 1)])
    def test_versions(self, versions, expected):
        """Guards against a version that goes back unnoticed."""
        event = "configuration in force"
        paths = self.write_log(*({"event": event, "version": v} for v in versions))
        self.assertEqual(expected, len(find_version_regressions(paths)))

    def test_lines_of_an_attempt(self):
        """Guards against a violation whose log lines cannot be found."""
        paths = self.write_log(
            {"event": "x", "request": ATTEMPT}, {"event": "y", "request": ATTEMPT + "5"}
        )
        lines = find_log_lines(paths, [f"{ATTEMPT} (GET) ran twice"])
        self.assertEqual(1, len(lines))
        self.assertIn('"x"', lines[0])
