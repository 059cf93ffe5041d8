"""The share of the stated rate at which transfers are paced, without a network."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from almondrouter.coordination.transfers.budget import LINK_SHARE
from almondrouter.coordination.transfers.ratecontrol import (
    CONGESTED_DELAY_S,
    MIN_SHARE,
    RateControl,
)

PING_INTERVAL_S = 0.3
SLOW_S = 2 * CONGESTED_DELAY_S


class RateControlTest(unittest.TestCase):
    """Pings on the connections of a host, whose transfers always have parts to send."""

    def record(self, delays_at, seconds):
        control = RateControl()
        for number in range(int(seconds / PING_INTERVAL_S)):
            now = number * PING_INTERVAL_S
            for delay in delays_at(now, control):
                control.record(delay, now)
        return control

    @parameterized.expand([(0.45,), (0.8,), (0.9,), (1.0,)])
    def test_link_slower_than_stated(self, carried):
        """Guards against a buffer of the network in which short frames wait."""
        waiting, delays = 0.0, []

        def pass_link(now, control):
            nonlocal waiting
            excess = control.share * LINK_SHARE / carried - 1.0
            waiting = max(0.0, waiting + excess * PING_INTERVAL_S)
            delays.append(waiting)
            return [waiting, waiting + SLOW_S]

        control = self.record(pass_link, 60)
        self.assertLess(sum(delays[-100:]) / 100, CONGESTED_DELAY_S)
        self.assertLess(max(delays), 3.0)
        self.assertGreater(control.share, 0.7 * carried)
        if carried == 1.0:
            self.assertEqual(1.0, control.share)

    @parameterized.expand(
        [
            ("one slow peer", [SLOW_S, 0.0]),
            ("busy for a moment", [CONGESTED_DELAY_S / 2] * 2),
            ("no pings", []),
        ]
    )
    def test_other_delays(self, _, delays):
        """Guards against transfers that are slowed down for a busy peer or process."""
        self.assertEqual(1.0, self.record(lambda now, control: delays, 30).share)

    def test_few_pings_decide_nothing(self):
        """Guards against decisions from a single link that may be unread."""
        control = RateControl()
        for second in range(30):
            control.record(second * SLOW_S, 2.0 * second)
        self.assertEqual(1.0, control.share)

    def test_share_has_a_lower_bound(self):
        """Guards against transfers that stop because of a delay they don't cause."""
        control = self.record(lambda now, control: [now] * 2, 60)
        self.assertEqual(MIN_SHARE, control.share)
