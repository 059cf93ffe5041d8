"""Load balancing by cost: distance, waits, failures and refusals."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.placement import (
    OTHER_REGION_EXTRA_WAIT_S,
    REFUSAL_EXCLUSION_S,
    SAME_REGION_EXTRA_WAIT_S,
    LowestCostPolicy,
)
from almondrouter.coordination.routing import Demand
from almondrouter.protocol.calls import Load
from almondrouter.protocol.headers import Outcome
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.state.snapshot import Destination

TARGET_LATENCY_S = 0.4


def make_destination(name, *, data_centre="here-1", region="here"):
    """Return a destination with ten slots."""
    return Destination(name, name, data_centre, region, f"{name}:1", 1, 10, False)


NEAR = make_destination("near")
BESIDE = make_destination("beside", data_centre="here-2")
FAR = make_destination("far", data_centre="there-1", region="there")
ALL = (NEAR, BESIDE, FAR)


class LowestCostPolicyTest(unittest.TestCase):
    """The policy chooses by the load reports and results of earlier calls."""

    def setUp(self):
        self.clock = ManualClock()
        self.unreachable = set()
        self.policy = LowestCostPolicy(
            host="own",
            data_centre="here-1",
            region="here",
            occupancy=OccupancyTable(),
            random=random.Random(1),
            clock=self.clock,
            is_reachable=lambda d: d.backend not in self.unreachable,
        )

    def choose(
        self,
        *,
        body=0,
        nested=False,
        among=ALL,
        excluded=(),
        time_left=TARGET_LATENCY_S,
        response=0,
    ):
        return self.policy.choose(
            among,
            now=self.clock.monotonic(),
            excluded=excluded,
            demand=Demand(body, nested, TARGET_LATENCY_S, 1, time_left, response),
        )

    def report(self, destination, *, busy=0, seconds=0.1, link_wait=0.0, **result):
        load = Load(10, min(busy, 10), max(0, busy - 10), seconds, link_wait=link_wait)
        result = {"outcome": Outcome.COMPLETE, "load": load, **result}
        self.policy.record_start(destination)
        self.policy.record_end(destination, elapsed=0.1, **result)

    @parameterized.expand(
        [
            ("idle", 0, {}, NEAR),
            ("short wait", 12, {}, BESIDE),
            ("long body stays", 12, {"body": 300_000}, NEAR),
            ("long wait", 60, {"body": 300_000}, BESIDE),
        ]
    )
    def test_near_unless_it_takes_longer(self, _, busy, demand, expected):
        """Guards against traffic between data centres that saves no response time."""
        self.report(NEAR, busy=busy)
        for other in (BESIDE, FAR):
            self.report(other, busy=0)
        self.assertEqual(expected, self.choose(**demand))

    @parameterized.expand([("call", False, FAR), ("nested call", True, BESIDE)])
    def test_nested_calls_stay_nearer(self, _, nested, expected):
        """Guards against parent requests that hold a slot during a long round trip."""
        self.report(NEAR, busy=40)
        self.report(BESIDE, busy=20)
        self.report(FAR, busy=0)
        self.assertEqual(expected, self.choose(nested=nested))

    @parameterized.expand(
        [
            ("room elsewhere", 0, ("near",), BESIDE),
            ("no room in time", 60, ("near",), None),
            ("first choice", 60, (), NEAR),
        ]
    )
    def test_no_further_attempt_without_room_in_time(self, _, busy, excluded, expected):
        """Guards against attempts at servers that would refuse the request too."""
        for destination in ALL:
            self.report(destination, busy=busy)
        self.assertEqual(expected, self.choose(excluded=excluded))

    @parameterized.expand(
        [
            ("short response", 0, 5.0, 5.0, NEAR),
            ("long response", 90_000, 0.5, 0.5, BESIDE),
            ("while it runs", 90_000, 0.1, 0.5, NEAR),
            ("the other region's only", 90_000, 5.0, 5.0, FAR),
            ("not worth the distance", 90_000, 0.4, 0.4, NEAR),
        ]
    )
    def test_wait_for_the_link(self, name, response, near, beside, expected):
        """Guards against long responses that queue although another link is free."""
        self.report(NEAR, link_wait=near)
        self.report(BESIDE, link_wait=0.0 if expected is BESIDE else beside)
        self.report(FAR)
        self.assertEqual(expected, self.choose(response=response), name)

    def test_longest_wait_knows_the_link(self):
        """Guards against refusals of calls that were sent in spite of a known wait."""
        self.report(NEAR, link_wait=0.5)
        self.choose()
        for response, expected in ((0, 0.02), (90_000, 0.5 - 0.1 + 0.1)):
            demand = Demand(0, False, TARGET_LATENCY_S, 1, response_bytes=response)
            wait = self.policy.find_max_wait(
                NEAR, now=self.clock.monotonic(), demand=demand
            )
            self.assertAlmostEqual(expected, wait)

    def test_unknown_link_counts_as_usual(self):
        """Guards against preferring hosts of which nothing is known lately."""
        self.report(BESIDE)
        self.clock.advance(60)
        self.report(NEAR, link_wait=0.6)
        self.assertEqual(NEAR, self.choose(response=90_000, among=(NEAR, BESIDE)))

    def test_failing_server_gets_less(self):
        """Guards against preferring a server that is idle because it fails or sheds."""
        for _ in range(5):
            self.report(NEAR, failed=True)
            self.report(BESIDE)
        self.assertEqual(BESIDE, self.choose())
        self.clock.advance(30)
        self.assertEqual(NEAR, self.choose())

    def test_refusing_server_is_left_out(self):
        """Guards against choosing a server that is shutting down.

        While the store is unavailable, its host record still says that it is ready.
        """
        self.report(NEAR, outcome=Outcome.NOT_RUN, load=None)
        self.assertEqual(BESIDE, self.choose())
        self.assertIsNone(self.choose(among=(NEAR,)))
        self.clock.advance(REFUSAL_EXCLUSION_S)
        self.assertEqual(NEAR, self.choose())

    def test_unreachable_server_is_the_last_choice(self):
        """Guards against sending requests to an unreachable host."""
        self.unreachable = {"near"}
        self.assertEqual(BESIDE, self.choose())
        self.unreachable = {"near", "beside", "far"}
        self.assertEqual(NEAR, self.choose())

    def test_server_that_is_slow_at_the_moment(self):
        """Guards against run times that are expected as if hosts were never busy."""
        for other, factor in ((NEAR, 3.0), (BESIDE, 1.0)):
            self.report(other, load=Load(10, 0, 0, 0.1 * factor, (), 0.0, factor))
        self.assertEqual(BESIDE, self.choose(among=(NEAR, BESIDE)))
        self.clock.advance(20)
        self.assertEqual(NEAR, self.choose(among=(NEAR, BESIDE)))

    def test_old_report_does_not_look_idle(self):
        """Guards against bursts to a server only because its last report is old."""
        full = make_destination("full", data_centre="here-3")
        self.report(NEAR, busy=0)
        self.assertEqual(NEAR, self.choose(among=(NEAR, BESIDE, full)))
        self.clock.advance(8)
        self.report(BESIDE, busy=0)
        self.report(full, busy=30)
        self.assertEqual(BESIDE, self.choose(among=(NEAR, BESIDE, full)))

    def test_long_body_stays_on_its_host(self):
        """Guards against filling slow links while the local server has free slots."""
        own = make_destination("own")
        for other in (own, NEAR):
            self.report(other, busy=5)
        chosen = {self.choose(body=300_000, among=(own, NEAR)) for _ in range(9)}
        self.assertEqual({own}, chosen)
        self.report(own, busy=60)
        self.assertEqual(NEAR, self.choose(body=300_000, among=(own, NEAR)))

    @parameterized.expand(
        [
            ("short", 1_000, (), FAR),
            ("long", 300_000, (), None),
            ("long, region cut off", 300_000, ("near", "beside"), FAR),
        ]
    )
    def test_long_body_stays_in_its_region(self, _, body, unreachable, expected):
        """Guards against traffic between regions that costs more than the response."""
        self.unreachable = set(unreachable)
        for other in ALL:
            self.report(other)
        tried = ("near", "beside")
        self.assertEqual(expected, self.choose(body=body, excluded=tried))

    @parameterized.expand([("idle", NEAR, 0), ("busy", NEAR, 20), ("far", FAR, 0)])
    def test_max_wait(self, _, destination, busy):
        """Guards against calls that wait behind a longer queue than was reported."""
        for other in ALL:
            self.report(other, busy=busy)
        self.choose()
        demand = Demand(0, nested=False, target_latency=TARGET_LATENCY_S, rank=1)
        now = self.clock.monotonic()
        max_wait = self.policy.find_max_wait(destination, now=now, demand=demand)
        expected = max(0, busy + 1 - 10) * 0.1 / 10
        extra_wait = SAME_REGION_EXTRA_WAIT_S
        if destination is FAR:
            extra_wait = OTHER_REGION_EXTRA_WAIT_S
        self.assertAlmostEqual(expected + extra_wait, max_wait)

    def test_daemons_with_the_same_report_spread(self):
        """Guards against many daemons that all choose the same idle server."""
        many = tuple(make_destination(str(i)) for i in range(9))
        self.report(many[0], busy=0)
        for other in many[1:]:
            self.report(other, busy=3)
        counts = Counter(self.choose(among=many).backend for _ in range(900))
        self.assertLess(counts["0"], 300)
