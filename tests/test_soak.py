"""Soak test with random faults around real daemons.

A seed that has failed once stays in the list.
"""

from __future__ import annotations

import os
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from almondrouter_standins.soak import run_seed

NETWORK_OCTETS = iter(range(230 + os.getpid() % 10, 254))


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Daemons are processes; proxies inject faults on all their connections."""

    @parameterized.expand([(3,), (7,)])
    async def test_seed(self, seed):
        """Guards against guarantees that fail when several faults coincide."""
        with tempfile.TemporaryDirectory() as folder:
            violations = await run_seed(
                seed, Path(folder), network_octet=next(NETWORK_OCTETS)
            )
        self.assertEqual([], violations)
