"""Tests of the retry budget."""

import unittest

from almondrouter.coordination.retries import INITIAL_RETRIES, RetryBudget


def count_retries(budget, calls, **options):
    """Return the number of retries that are allowed if all calls fail."""
    allowed = 0
    for _ in range(calls):
        budget.record_call("renewals")
        while budget.try_spend("renewals", **options):
            allowed += 1
    return allowed


class RetryBudgetTest(unittest.TestCase):
    """Retries must not amplify the load of an overloaded service."""

    def test_retries_are_a_tenth_of_calls(self):
        """Guards against more retries than the ratio allows."""
        allowed = count_retries(RetryBudget(), 1000)
        self.assertEqual(allowed, 100 + INITIAL_RETRIES)

    def test_rare_calls_have_a_floor(self):
        """Guards against classes with few calls that never get a retry."""
        self.assertEqual(count_retries(RetryBudget(), 1), INITIAL_RETRIES)

    def test_time_without_failures_permits_no_burst(self):
        """Guards against saving retries without limit for a later burst."""
        budget = RetryBudget()
        for _ in range(100_000):
            budget.record_call("renewals")
        self.assertLessEqual(count_retries(budget, 1), 11)

    def test_names_do_not_share(self):
        """Guards against a failing class that uses up the retries of another."""
        budget = RetryBudget()
        count_retries(budget, 100)
        self.assertTrue(budget.try_spend("quotes"))

    def test_depth_20_does_not_multiply(self):
        """Guards against retries that multiply at each level of nested calls."""
        calls = 1000
        budget = RetryBudget()
        attempts = calls + count_retries(budget, calls)
        for _ in range(19):
            below = RetryBudget()
            attempts += count_retries(below, attempts, caller_retries=True)
        self.assertLessEqual(attempts, 1.1 * calls + INITIAL_RETRIES)
