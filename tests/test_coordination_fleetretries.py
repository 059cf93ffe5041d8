"""Fleet retry budget: never above the limit in any window."""

from __future__ import annotations

import bisect
import random
import unittest
from collections import Counter
from dataclasses import replace

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.fleetretries import (
    BUCKET_S,
    USABLE_EXTRA_SHARE,
    FleetRetryBudget,
    FleetRetryLimits,
)

LIMITS = FleetRetryLimits(ratio=0.2, extra=60.0, window=10.0)


def count_within(times, end):
    """Return how many of the sorted times lie in the window before an end."""
    begin = bisect.bisect(times, end - LIMITS.window)
    return bisect.bisect(times, end) - begin


class FleetRetryBudgetTest(unittest.TestCase):
    """All daemons use up their budgets."""

    @parameterized.expand([(1, 0), (14, 0), (14, 4), (80, 10)])
    def test_fleet_stays_within_its_limit(self, hosts, rate):
        """Guards against retries of many daemons that together amplify an overload."""
        clock = ManualClock()
        budgets = [
            FleetRetryBudget(LIMITS, count_hosts=lambda: hosts, clock=clock)
            for _ in range(hosts)
        ]
        source = random.Random(7)
        retry_times, request_times = [], []
        for _ in range(600):
            clock.advance(0.05)
            now = clock.monotonic()
            for budget in budgets:
                for _ in range(source.randint(0, rate)):
                    budget.record_request("s")
                    request_times.append(now)
                for _ in range(5):
                    if budget.try_spend("s"):
                        retry_times.append(now)
        for end in {*retry_times}:
            retries, requests = (
                count_within(retry_times, end),
                count_within(request_times, end),
            )
            self.assertLessEqual(retries, LIMITS.ratio * requests + LIMITS.extra)
        self.assertTrue(retry_times)

    @parameterized.expand([(14,), (195,), (680,)])
    def test_cut_off_hosts_stay_within_the_limit_of_the_fleet(self, hosts):
        """Guards against hosts that share a budget with fewer others than there are.

        A third of the fleet is cut off in small groups, which know only themselves.
        """
        clock = ManualClock()
        known = [hosts] * hosts
        budgets = [
            FleetRetryBudget(LIMITS, count_hosts=lambda n=n: known[n], clock=clock)
            for n in range(hosts)
        ]
        retry_times, request_times = [], []
        for step in range(150):
            clock.advance(0.15)
            now = clock.monotonic()
            if step == 30:
                known[: hosts // 3] = [2] * (hosts // 3)
            for number, budget in enumerate(budgets):
                if (step + number) % 8 == 0:
                    budget.record_request("s")
                    request_times.append(now)
                retry_times += [now] * sum(budget.try_spend("s") for _ in range(3))
        for end in {*retry_times}:
            requests = count_within(request_times, end)
            allowed = LIMITS.ratio * requests + LIMITS.extra
            self.assertLessEqual(count_within(retry_times, end), allowed)

    @parameterized.expand(
        [
            # Ranks that ask for retries in turn, and the share that each must get.
            ("most urgent first", (0, 2), {0: 0.49, 2: 0.0}),
            ("one rank has all", (2,), {2: 1.0}),
            ("urgent ones seldom ask", (0, 2, 2, 2, 2, 2, 2, 2, 2, 2), {0: 0.09}),
            ("nothing is left unused", (0, 1, 2), {0: 0.5}),
        ]
    )
    def test_urgent_requests_get_their_part(self, _, ranks, least):
        """Guards against retries of unimportant requests that leave none for others."""
        clock = ManualClock()
        budget = FleetRetryBudget(LIMITS, count_hosts=lambda: 1, clock=clock)
        spent = Counter()
        for turn in range(1000):
            rank = ranks[turn % len(ranks)]
            spent[rank] += budget.try_spend("s", rank=rank)
        total = LIMITS.extra * USABLE_EXTRA_SHARE
        for rank, share in least.items():
            self.assertGreaterEqual(spent[rank], int(share * total))
        self.assertLessEqual(sum(spent.values()), total)
        self.assertEqual(total, sum(spent.values()))

    def test_less_urgent_requests_get_all_once_urgent_ones_need_none(self):
        """Guards against a reserve for requests that no longer fail."""
        clock = ManualClock()
        budget = FleetRetryBudget(LIMITS, count_hosts=lambda: 1, clock=clock)
        self.assertTrue(budget.try_spend("s", rank=0))
        clock.advance(LIMITS.window + BUCKET_S)
        spent = sum(budget.try_spend("s", rank=2) for _ in range(100))
        self.assertEqual(LIMITS.extra * USABLE_EXTRA_SHARE, spent)

    def test_services_do_not_share(self):
        """Guards against a failing service that uses up the retries of another."""
        clock = ManualClock()
        budget = FleetRetryBudget(LIMITS, count_hosts=lambda: 1, clock=clock)
        while budget.try_spend("failing"):
            pass
        self.assertTrue(budget.try_spend("sound"))
        self.assertEqual(1, budget.counts["denied"])

    @parameterized.expand([("shorter", 10.0, 2.0, True), ("longer", 2.0, 10.0, False)])
    def test_reloaded_window_applies_to_existing_counts(
        self, _, before, after, is_allowed
    ):
        """Guards against a daemon that keeps an old window until it restarts."""
        clock = ManualClock()
        limits = replace(LIMITS, window=before)
        budget = FleetRetryBudget(limits, count_hosts=lambda: 1, clock=clock)
        while budget.try_spend("s"):
            pass
        budget.limits = replace(LIMITS, window=after)
        clock.advance(5.0)
        self.assertEqual(is_allowed, budget.try_spend("s"))

    def test_requests_outside_the_window_are_dropped(self):
        """Guards against memory that grows with each request that needs no retry."""
        clock = ManualClock()
        budget = FleetRetryBudget(LIMITS, count_hosts=lambda: 1, clock=clock)
        for _ in range(1000):
            clock.advance(BUCKET_S)
            budget.record_request("s")
        buckets = budget._requests["s"]._buckets
        self.assertLessEqual(len(buckets), LIMITS.window / BUCKET_S + 1)
