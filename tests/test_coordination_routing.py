"""Tests of the load balancing policies."""

import random
import unittest
from collections import Counter

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.routing import LeastOccupied, RoundRobin
from almondrouter.protocol.calls import Load
from almondrouter.protocol.headers import Outcome
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.state.snapshot import Destination
from almondrouter.state.targets import Priority

COMPLETE, NOT_RUN, UNKNOWN = Outcome
IDLE = Load(slots=4, in_use=0, queued=0, service_time=0.1)


def make_destination(backend, data_centre="n1", *, suspect=False):
    """Return a destination; the region is the data centre's first letter."""
    return Destination(
        backend=backend,
        host=f"host-{backend}",
        data_centre=data_centre,
        region=data_centre[0],
        peer_address="127.0.0.1:1",
        incarnation=1,
        slots=4,
        suspect=suspect,
    )


LOCAL = [make_destination("a"), make_destination("b")]
NEAR = make_destination("c", "n2")
FAR = make_destination("d", "s1")


class LeastOccupiedTest(unittest.TestCase):
    """Calls must go to the destination with the shortest expected response time."""

    def setUp(self):
        self.clock = ManualClock()
        self.policy = LeastOccupied(
            data_centre="n1",
            region="n",
            occupancy=OccupancyTable(),
            random=random.Random(1),
            clock=self.clock,
        )

    def report(self, destination, **changes):
        values = {"slots": 4, "in_use": 0, "queued": 0, "service_time": 0.1}
        self.finish(destination, load=Load(**values | changes))

    def finish(self, destination, *, outcome=COMPLETE, load=IDLE, failed=False):
        self.policy.record_start(destination)
        self.policy.record_end(
            destination, outcome=outcome, load=load, elapsed=0.1, failed=failed
        )

    def count(self, destinations, calls=200, **options):
        chosen = Counter()
        for _ in range(calls):
            choice = self.policy.choose(
                destinations, now=self.clock.monotonic(), **options
            )
            chosen[choice.backend] += 1
        return dict(chosen)

    @parameterized.expand(
        [
            # Waits are (in use + queued + 1 - slots) * service time / slots.
            ("idle", 0, 0.1, "a"),
            ("last slot", 3, 0.1, "a"),
            ("saves less than 1 ms", 4, 0.0036, "a"),
            ("saves more than 1 ms", 4, 0.0044, "c"),
            ("near one is full too, saves less than 20 ms", 4, 0.076, "a", 4),
            ("near one is full too, saves more than 20 ms", 4, 0.088, "d", 4),
        ]
    )
    def test_distant_server_is_chosen_only_if_it_saves_time(
        self, _name, busy, seconds, expected, near=0
    ):
        """Guards against network round trips that save less waiting than they cost."""
        local = make_destination("a")
        self.report(local, in_use=busy, service_time=seconds)
        self.report(NEAR, in_use=near, service_time=seconds)
        self.report(FAR, in_use=0, service_time=seconds)
        self.assertEqual(self.count([local, NEAR, FAR]), {expected: 200})

    @parameterized.expand(
        [(Priority.CRITICAL, "a"), (Priority.DEFERRABLE, "b"), (None, "b")]
    )
    def test_call_overtakes_those_of_lower_priority(self, priority, expected):
        """Guards against urgent calls that avoid servers which serve them first."""
        self.report(LOCAL[0], in_use=4, queued=8, queued_by_rank=(0, 0, 8))
        self.report(LOCAL[1], in_use=4, queued=4, queued_by_rank=(4, 0, 0))
        self.assertEqual(self.count(LOCAL, priority=priority), {expected: 200})

    def test_counts_own_calls_between_reports(self):
        """Guards against sending a burst to one server before it reports again."""
        for _ in range(8):
            now = self.clock.monotonic()
            self.policy.record_start(self.policy.choose(LOCAL, now=now))
        counts = [self.policy._occupancy.find(d.backend).in_flight for d in LOCAL]
        self.assertEqual(counts, [4, 4])

    def test_stale_report_of_a_full_server_is_forgotten(self):
        """Guards against avoiding a server for ever because of its last report."""
        self.report(LOCAL[0], in_use=4, queued=4)
        self.report(NEAR)
        self.assertEqual(self.count([LOCAL[0], NEAR]), {"c": 200})
        self.clock.advance(10.0)
        self.assertEqual(self.count([LOCAL[0], NEAR]), {"a": 200})

    def test_slow_server_is_avoided_though_idle(self):
        """Guards against preferring a slow server because it has free slots."""
        self.report(LOCAL[0], service_time=1.0)
        self.report(LOCAL[1], in_use=3)
        self.report(NEAR)
        self.assertEqual(self.count([*LOCAL, NEAR]), {"b": 200})

    @parameterized.expand(
        [("errors", COMPLETE, IDLE, True), ("timeouts", UNKNOWN, None, False)]
    )
    def test_failing_server_that_reports_as_healthy_is_excluded(
        self, _name, outcome, load, failed
    ):
        """Guards against trusting load reports of a server whose calls fail."""
        for _ in range(4):
            self.assertIn("a", self.count(LOCAL))
            self.finish(LOCAL[0], outcome=outcome, load=load, failed=failed)
        self.assertEqual(self.count(LOCAL), {"b": 200})

    def test_unavailable_server_is_excluded_at_once(self):
        """Guards against further calls to a server whose daemon is unreachable."""
        self.finish(LOCAL[0], outcome=NOT_RUN, load=None)
        self.assertEqual(self.count(LOCAL), {"b": 200})

    @parameterized.expand([("busy", NOT_RUN, IDLE), ("given up", None, None)])
    def test_refusals_and_cancellations_are_not_failures(self, _name, outcome, load):
        """Guards against excluding a server for refusals or cancelled calls."""
        for _ in range(20):
            self.finish(LOCAL[0], outcome=outcome, load=load)
        self.assertIn("a", self.count(LOCAL))

    def test_cancelled_calls_do_not_readmit(self):
        """Guards against readmission without a call that succeeded."""
        self.finish(LOCAL[0], outcome=NOT_RUN, load=None)
        self.clock.advance(1.0)
        for _ in range(8):
            self.finish(LOCAL[0], outcome=None, load=None)
        for destination in (LOCAL[0], LOCAL[1], LOCAL[1]):
            self.policy.record_start(destination)
        self.assertEqual(self.count(LOCAL), {"b": 200})

    def test_readmission_is_exponential(self):
        """Guards against frequent trial calls to a server that stays unavailable."""
        waits = []
        self.finish(LOCAL[0], outcome=NOT_RUN, load=None)
        for _ in range(9):
            waits.append(0)
            while "a" not in self.count(LOCAL):
                self.clock.advance(0.5)
                waits[-1] += 0.5
            self.finish(LOCAL[0], outcome=NOT_RUN, load=None)
        self.assertEqual(waits, [1, 2, 4, 8, 16, 32, 60, 60, 60])

    def test_readmitted_server_gets_doubling_calls(self):
        """Guards against full load on a server that has only just recovered."""
        self.finish(LOCAL[0], outcome=NOT_RUN, load=None)
        self.clock.advance(1.0)
        allowed = []
        for _ in range(4):
            allowed.append(0)
            while allowed[-1] < 20 and "a" in self.count(LOCAL, calls=20):
                self.policy.record_start(LOCAL[0])
                self.policy.record_start(LOCAL[1])
                allowed[-1] += 1
            for _ in range(allowed[-1]):
                self.policy._occupancy.finish("a")
                self.policy._occupancy.finish("b")
            self.finish(LOCAL[0])
        self.assertEqual(allowed, [1, 2, 4, 8])

    @parameterized.expand([(1, {"b", "e"}), (2, {"a", "b", "e"})])
    def test_failures_of_most_servers_exclude_nobody(self, failing, chosen):
        """Guards against overloading the few servers that are not excluded."""
        servers = [*LOCAL, make_destination("e")]
        for destination in servers[:failing]:
            for _ in range(20):
                self.finish(destination, outcome=UNKNOWN, load=None)
        self.assertEqual(set(self.count(servers)), chosen)

    @parameterized.expand(
        [
            (
                "suspect",
                [make_destination("a", suspect=True), make_destination("b")],
                (),
                {"b": 200},
            ),
            ("only suspects", [make_destination("a", suspect=True)], (), {"a": 200}),
            ("tried", LOCAL, ("a",), {"b": 200}),
        ]
    )
    def test_leaves_out(self, _name, destinations, excluded, expected):
        """Guards against choosing suspect or tried servers while others remain."""
        self.assertEqual(self.count(destinations, excluded=excluded), expected)

    @parameterized.expand([(LeastOccupied,), (RoundRobin,)])
    def test_nothing_left(self, kind):
        """Guards against choosing a server that was already tried."""
        policy = self.policy if kind is LeastOccupied else RoundRobin()
        chosen = policy.choose(LOCAL, now=0.0, excluded=("a", "b"))
        self.assertIsNone(chosen)


class RoundRobinTest(unittest.TestCase):
    """The benchmark baseline must distribute calls evenly for a fair comparison."""

    def test_takes_turns(self):
        """Guards against a baseline that favours one server."""
        policy = RoundRobin()
        chosen = Counter(policy.choose(LOCAL, now=0.0).backend for _ in range(10))
        self.assertEqual(chosen, {"a": 5, "b": 5})
