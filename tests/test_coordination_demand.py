"""Lines about demand that is new to a host, that rises, or that falls."""

from __future__ import annotations

import unittest
from unittest.mock import patch

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination import demand
from almondrouter.coordination.demand import INTERVAL_S, MAX_LINES, DemandMonitor


class DemandMonitorTest(unittest.TestCase):
    """Requests arrive at constant rates that change between two intervals."""

    def setUp(self):
        self.clock = ManualClock()
        self.lines = []
        log = self.enterContext(patch.object(demand, "_log"))
        log.info.side_effect = lambda event, **fields: self.lines.append(
            (event, fields["route"], fields["before"], fields["per_second"])
        )
        self.monitor = DemandMonitor(self.clock)

    def run_intervals(self, count, **rates):
        """Record requests of each route at a rate, then end the last interval."""
        for _ in range(count):
            for route, rate in rates.items():
                for _ in range(int(rate * INTERVAL_S)):
                    self.monitor.record(route)
            self.clock.advance(INTERVAL_S)

    @parameterized.expand(
        [
            ("steady", 10, 13, []),
            ("risen", 10, 25, [("demand risen", "r", 10.0, 25.0)]),
            ("new", 0, 25, [("demand risen", "r", 0.0, 25.0)]),
            ("fallen", 25, 10, [("demand fallen", "r", 25.0, 10.0)]),
            ("gone", 25, 0, [("demand fallen", "r", 25.0, 0.0)]),
            ("rare", 0, 1, []),
        ]
    )
    def test_changes(self, _, before, after, lines):
        """Guards against an incident whose logs do not show that callers came."""
        self.run_intervals(8, r=before, other=1)
        self.run_intervals(1, other=0)
        self.lines.clear()
        self.monitor = self.monitor if before else DemandMonitor(self.clock)
        self.run_intervals(1, r=before, other=1)
        self.monitor.record("other")
        self.lines.clear()
        self.run_intervals(3, r=after, other=1)
        self.monitor.record("other")
        self.assertEqual(lines, [line for line in self.lines if line[1] == "r"])

    def test_lines_are_bounded(self):
        """Guards against a line for each of many routes that get requests."""
        self.run_intervals(1, **{f"r{n}": n for n in range(3, 20)})
        self.monitor.record("other")
        self.assertEqual(MAX_LINES, len(self.lines))
        self.assertEqual(("demand risen", "r19", 0.0, 19.0), self.lines[0])
