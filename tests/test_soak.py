"""The soak: random faults around real daemons; each seed that ever failed stays."""

from __future__ import annotations

import os
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from almondrouter_standins.soak import play

NETWORKS = iter(range(230 + os.getpid() % 10, 254))


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Daemons are processes; proxies stand before peers, store and servers."""

    @parameterized.expand([(3,), (7,)])
    async def test_seed(self, seed):
        """Guards against guarantees that hold only one fault at a time."""
        with tempfile.TemporaryDirectory() as folder:
            faults = await play(seed, Path(folder), network=next(NETWORKS))
        self.assertEqual([], faults)
