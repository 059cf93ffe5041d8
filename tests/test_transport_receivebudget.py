"""Tests of the bound on the memory of unfinished responses."""

from __future__ import annotations

import unittest

from almondrouter.transport.receivebudget import ReceiveBudget


class ReceiveBudgetTest(unittest.TestCase):
    """Reservations of connections that share a budget."""

    def test_reservations_are_bounded(self):
        """Guards against a reservation beyond the limit and refused ones that count."""
        budget = ReceiveBudget(10)
        self.assertTrue(budget.reserve(6))
        self.assertFalse(budget.reserve(5))
        self.assertTrue(budget.reserve(4))
        self.assertFalse(budget.reserve(1))

    def test_released_bytes_are_free_again(self):
        """Guards against a budget that shrinks with each response."""
        budget = ReceiveBudget(10)
        for _ in range(3):
            self.assertTrue(budget.reserve(10))
            budget.release(10)
