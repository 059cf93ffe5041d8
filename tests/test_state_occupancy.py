"""Tests of the last known load of backend servers."""

import unittest

from parameterized import parameterized

from almondrouter.state.occupancy import MAX_ENTRIES, OccupancyTable


def report(table, *, backend="a-1", in_use=4, queued=2, now=100.0, **options):
    """Record one report of a backend server with 4 slots."""
    table.report(
        backend,
        slots=4,
        in_use=in_use,
        queued=queued,
        service_time=0.1,
        now=now,
        **options,
    )


class OccupancyTest(unittest.TestCase):
    """An outdated report must not attract or repel calls indefinitely."""

    @parameterized.expand([(100.0, 6.0), (101.0, 3.0), (102.0, 1.5), (99.0, 6.0)])
    def test_stale_report_decays(self, now, calls):
        """Guards against old reports that count fully, and against negative ages."""
        table = OccupancyTable()
        report(table)
        self.assertAlmostEqual(table.find("a-1").calls(now), calls)

    @parameterized.expand([(0, 5.0), (1, 8.0), (2, 14.0), (None, 14.0)])
    def test_overtaken_calls_do_not_count(self, rank, calls):
        """Guards against counting queued calls that a call of this rank overtakes."""
        table = OccupancyTable()
        ranks = (1, 3, 6)
        report(table, in_use=4, queued=10, queued_by_rank=ranks)
        self.assertEqual(table.find("a-1").calls(100.0, rank=rank), calls)

    def test_own_calls_count_once(self):
        """Guards against counting a call both as started and as reported."""
        table = OccupancyTable()
        table.start("a-1")
        report(table)
        self.assertEqual(table.find("a-1").calls(100.0), 6)
        table.start("a-1")
        self.assertEqual(table.find("a-1").calls(100.0), 7)
        table.finish("a-1")
        table.finish("a-1")
        self.assertEqual(table.find("a-1").calls(100.0), 6)

    def test_calls_in_flight_outlast_the_report(self):
        """Guards against estimates below the number of own calls in flight."""
        table = OccupancyTable()
        for _ in range(3):
            table.start("a-1")
        report(table, in_use=3, queued=0)
        self.assertEqual(table.find("a-1").calls(1000.0), 3)

    def test_table_is_bounded_and_keeps_servers_with_calls(self):
        """Guards against unbounded growth, and against evicting entries in use."""
        table = OccupancyTable()
        table.start("busy")
        for number in range(2 * MAX_ENTRIES):
            report(table, backend=f"a-{number}", now=float(number))
        self.assertEqual(len(table), MAX_ENTRIES)
        self.assertIsNotNone(table.find("busy"))
        self.assertIsNotNone(table.find(f"a-{2 * MAX_ENTRIES - 1}"))
