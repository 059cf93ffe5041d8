"""Load sharing: which changes of the load peers hear of."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.loadsharing import REFRESH_S, LoadSharing
from almondrouter.protocol.calls import Load


class LoadSharingTest(unittest.TestCase):
    """A backend server with ten slots of which two are in use."""

    def setUp(self):
        self.clock = ManualClock()
        self.sharing = LoadSharing(clock=self.clock)
        self.sharing.take(Load(10, 2, 0, 0.1))

    @parameterized.expand(
        [
            ("same", 2, 0, 0.0, False),
            ("same for long", 2, 0, 9.0, False),
            ("little", 5, 0, 0.0, False),
            ("little, later", 3, 0, REFRESH_S, True),
            ("burst", 10, 4, 0.0, True),
            ("idle again", 0, 0, REFRESH_S, True),
        ]
    )
    def test_news(self, _, in_use, queued, seconds, expected):
        """Guards against bursts that peers miss, and against idle chatter."""
        self.clock.advance(seconds)
        load = Load(10, in_use, queued, 0.1)
        self.assertIs(expected, self.sharing.take(load))
        self.assertFalse(self.sharing.take(load))

    def test_returned_server_is_told(self):
        """Guards against a restarted server whose load nobody hears of."""
        self.assertFalse(self.sharing.take(None))
        self.assertTrue(self.sharing.take(Load(10, 2, 0, 0.1)))
