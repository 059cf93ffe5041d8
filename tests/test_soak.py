"""Soak test with random faults around real daemons.

A seed that has failed once stays in the list.
"""

from __future__ import annotations

import asyncio
import os
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from almondrouter_standins.soak import run_seed

NETWORK_OCTETS = iter(range(230 + os.getpid() % 10, 254))


class SoakTest(unittest.TestCase):
    """Daemons are processes; proxies inject faults on all their connections."""

    @parameterized.expand(
        [
            (3, 4),
            (7, 4),
            # Failed where a stopping daemon reads on after the last response of a
            # connection: a pipelined request is dropped at the end of the stop.
            (60, 4),
            (4, 4),
            # Failed where the time for which a daemon was paused, twice in a row, was
            # not added to the time limit of a response.
            (65, 4),
            # Failed where a request that a paused daemon had not read counted as lost.
            (200, 12),
            # Failed where a starting daemon read settings that were being changed.
            (402, 4),
            # Failed where a signal after a graceful stop changed the exit code.
            (448, 4),
        ]
    )
    def test_seed(self, seed, hosts):
        """Guards against guarantees that fail when several faults coincide."""
        self.assertEqual([], self.run_seed(seed, hosts=hosts))

    def test_responses_without_a_length(self):
        """Guards against responses that end the requests behind them.

        Seed 700 failed where a response without a length closed the connection
        although backend servers already ran pipelined requests behind it.
        """
        self.assertEqual([], self.run_seed(700, unframed_share=0.01))

    def test_request_that_crashes_its_backend_servers(self):
        """Guards against sending it on after faults, and refusing others for it."""
        self.assertEqual([], self.run_seed(800, crashing=True))

    def run_seed(self, seed, **options):
        """Return the violations of a seed."""
        with tempfile.TemporaryDirectory() as folder:
            # The debug mode of asynchronous test cases would take most of the time.
            return asyncio.run(
                run_seed(
                    seed, Path(folder), network_octet=next(NETWORK_OCTETS), **options
                )
            )
