"""Traffic splitting: shares of the services of a route."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from parameterized import parameterized

from almondrouter.coordination.weights import TrafficSplitter
from almondrouter.state.routes import RouteTarget, ServiceShare


def make_route(weights, name="r"):
    """Return a route that is split by weights."""
    shares = tuple(ServiceShare(f"s{i}", w) for i, w in enumerate(weights))
    return RouteTarget(name, "/", shares, True, 1.0, 0.5, 2, 0)


class TrafficSplitterTest(unittest.TestCase):
    """Many daemons split the traffic independently."""

    @parameterized.expand([((90, 10),), ((1, 1, 1),), ((100, 0),), ((0.5, 99.5),)])
    def test_shares_hold_over_few_requests(self, weights):
        """Guards against shares that only hold on average over many requests.

        300 requests over 15 daemons; shares may deviate by 0.1.
        """
        route = make_route(weights)
        source = random.Random(3)
        counts = Counter()
        for _ in range(15):
            splitter = TrafficSplitter(source)
            counts.update(splitter.choose(route) for _ in range(20))
        for place, weight in enumerate(weights):
            share = counts[f"s{place}"] / 300
            self.assertLessEqual(abs(share - weight / sum(weights)), 0.1)
            if not weight:
                self.assertEqual(0, counts[f"s{place}"])

    def test_new_weights_apply_at_once(self):
        """Guards against credits of old weights that distort the new shares."""
        splitter = TrafficSplitter(random.Random(1))
        for _ in range(99):
            splitter.choose(make_route((100, 1)))
        counts = Counter(splitter.choose(make_route((1, 100))) for _ in range(100))
        self.assertGreaterEqual(counts["s1"], 98)
