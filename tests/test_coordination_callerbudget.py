"""Tests of the choice of callers that give way when memory or descriptors run short."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.callerbudget import (
    STALL_S,
    TURN_S,
    CallerBudget,
    Holder,
    choose_without_use,
)
from almondrouter.coordination.callerlimits import (
    CONNECTION_BYTES,
    compute_budget_bytes,
    divide_descriptors,
    estimate_body_bytes,
    estimate_request_bytes,
)

LIMIT = 10_000_000
LARGE = 1_000_000
SMALL = 10_000
LONGEST_BODY = 64 * 1024 * 1024
HEADERS_OF_LIMIT = 16_384


class RecordingHolder(Holder):
    """Records what the budget demands of a connection."""

    def __init__(self):
        self.unsent = 0
        self.paced = False
        self.events = []

    def measure_unsent(self):
        return self.unsent

    def awaits_caller(self):
        return self.unsent > 0 and not self.paced

    def hold_back(self, *, enabled):
        self.events.append("held back" if enabled else "read")

    def refuse_for_memory(self):
        self.events.append("refused")

    def close_for_memory(self):
        self.events.append("closed")


class CallerBudgetTest(unittest.TestCase):
    """Connections are accounts; no sockets."""

    def setUp(self):
        self.clock = ManualClock()
        self.budget = CallerBudget(LIMIT, clock=self.clock)
        self.accounts = []

    def open(self, size=0, *, address="a", unsent=0):
        account = self.budget.open(address, RecordingHolder())
        self.accounts.append(account)
        if size:
            self.budget.set_receiving(account, size)
        if unsent:
            account.holder.unsent = unsent
            self.budget.measure_unsent(account)
        return account

    def list_released(self):
        """Return the positions of the connections that were refused or closed."""
        released = ("refused", "closed")
        return [
            position
            for position, account in enumerate(self.accounts)
            if account.holder.events[-1:] and account.holder.events[-1] in released
        ]

    @parameterized.expand(
        [
            # sizes and addresses of the callers, waits, positions of those released
            ("room", [(LARGE, "a")] * 5, 0.0, []),
            ("latest large", [(LARGE, "a")] * 10, 0.0, [8, 9]),
            ("longest stalled", [(LARGE, "a")] * 10, 9.0, [0, 1]),
            ("address", [(2 * LARGE, "a")] * 4 + [(LARGE, "b")] * 2, 0.0, [3]),
            # The fifth is the one that is being received.
            ("half", [(LARGE, "a")] * 6 + [(LARGE, "b")] * 4, 0.0, [3, 5]),
        ]
    )
    def test_callers_give_way_in_order(self, _, callers, wait, expected):
        """Guards against refusing callers that progress for others that do not."""
        for held, address in callers[:-1]:
            self.open(held, address=address)
        self.clock.advance(wait)
        held, address = callers[-1]
        self.open(held, address=address)
        self.assertEqual(expected, self.list_released())
        self.assertLessEqual(self.budget.used, LIMIT)

    def test_stalled_callers_go_by_size_and_time(self):
        """Guards against a crowd that holds the budget until its time limits."""
        short, long, recent = self.open(LARGE), self.open(3 * LARGE), self.open()
        self.clock.advance(STALL_S * 2)
        self.budget.set_receiving(recent, 2 * LARGE)
        self.budget.tick()
        self.assertIn("refused", long.holder.events)
        self.assertNotIn("refused", short.holder.events + recent.holder.events)

    def test_large_requests_take_turns_under_pressure(self):
        """Guards against uploads that fill the budget and none of which ends."""
        accounts = [self.open(LARGE) for _ in range(6)]
        first, second = accounts[0], accounts[1]
        # Those that came before the pressure join the queue when they send more.
        for account in accounts:
            self.budget.set_receiving(account, LARGE + 1)
        held = [a.held_back for a in accounts]
        self.assertEqual(5, sum(held))
        running = accounts[held.index(False)]
        self.clock.advance(TURN_S)
        self.budget.set_receiving(running, LARGE + 2)
        self.assertTrue(running.held_back)
        self.budget.close(first)
        self.budget.close(second)
        self.assertFalse(any(a.held_back for a in accounts[2:]))

    def test_held_back_callers_are_not_taken_for_stalled(self):
        """Guards against refusing callers for a pause that they did not cause."""
        accounts = [self.open(LARGE) for _ in range(7)]
        held_back = [a for a in accounts if a.held_back]
        self.assertTrue(held_back)
        self.clock.advance(STALL_S)
        self.budget.tick()
        for account in held_back:
            self.assertNotIn("refused", account.holder.events)

    def test_ordinary_request_has_room_beside_large_ones(self):
        """Guards against large requests that leave no room for an ordinary one."""
        for _ in range(30):
            self.open(LARGE)
        ordinary = self.open(SMALL)
        size = estimate_request_bytes(10, SMALL)
        self.assertTrue(self.budget.admit_request(ordinary, size))
        self.assertEqual([], ordinary.holder.events)

    def test_request_without_room_is_refused_before_it_runs(self):
        """Guards against running requests that exceed the memory together."""
        accounts = [self.open() for _ in range(12)]
        admitted = [self.budget.admit_request(a, LARGE) for a in accounts]
        self.assertEqual(9, sum(admitted))
        self.budget.finish_request(accounts[0], LARGE)
        self.assertTrue(self.budget.admit_request(accounts[11], LARGE))

    def test_callers_that_do_not_read_are_closed(self):
        """Guards against responses that nobody reads and that fill the memory."""
        for _ in range(12):
            self.open(unsent=LARGE)
        self.assertTrue(self.list_released())
        self.assertIn("closed", self.accounts[-1].holder.events)
        self.assertLessEqual(self.budget.used, LIMIT)

    def test_responses_that_wait_for_the_link_are_not_taken_for_stalled(self):
        """Guards against closing callers whose responses this host paces."""
        paced, unread = self.open(unsent=3 * LARGE), self.open(unsent=3 * LARGE)
        paced.holder.paced = True
        self.clock.advance(STALL_S * 2)
        self.budget.tick()
        self.assertEqual([], paced.holder.events)
        self.assertEqual(["closed"], unread.holder.events)

    def test_everything_is_returned_at_the_end(self):
        """Guards against a budget that shrinks with each connection."""
        for account in [self.open(LARGE, unsent=SMALL) for _ in range(20)]:
            self.budget.admit_request(account, SMALL)
            self.budget.add_response(account, SMALL)
            self.budget.finish_request(account, 2 * SMALL)
            self.budget.close(account)
            self.budget.set_receiving(account, SMALL)
        self.assertEqual(0, self.budget.used)

    @parameterized.expand(
        [(128, 48, 400_000), (150, 1, LONGEST_BODY), (552, 300, SMALL)]
    )
    def test_documented_clients_are_served_in_calm(self, megabytes, callers, body):
        """Guards against defaults that refuse clients within the documented limits."""
        self.budget = CallerBudget(
            compute_budget_bytes(megabytes * 1e6), clock=self.clock
        )
        accounts = [self.open() for _ in range(callers)]
        for account in accounts:
            receiving = HEADERS_OF_LIMIT + estimate_body_bytes(body)
            self.budget.set_receiving(account, receiving)
        for account in accounts:
            size = estimate_request_bytes(50, body)
            self.assertTrue(self.budget.admit_request(account, size))
        self.assertEqual([], self.list_released())

    def test_connections_without_use_go_first(self):
        """Guards against refusing a caller for connections that send nothing."""
        busy, partial, idle, silent, newer = (self.open() for _ in range(5))
        self.budget.admit_request(busy, SMALL)
        self.budget.set_receiving(partial, SMALL)
        idle.has_sent = True
        self.clock.advance(1.0)
        newer.progressed_at = self.clock.monotonic()
        order = choose_without_use(self.accounts, 9, self.clock.monotonic())
        self.assertEqual([silent, newer, idle, partial], order)

    @parameterized.expand([(100, 16, 6), (4_100, 1_890, 64), (20_000, 4_096, 64)])
    def test_descriptors_are_divided(self, total, callers, internal):
        """Guards against callers that take the descriptors of links and store."""
        shares = divide_descriptors(total)
        self.assertEqual((callers, internal), (shares.callers, shares.internal))

    def test_small_hosts_have_a_budget(self):
        """Guards against a budget of nothing on a host with little memory."""
        self.assertGreater(compute_budget_bytes(1e6), 100 * CONNECTION_BYTES)
