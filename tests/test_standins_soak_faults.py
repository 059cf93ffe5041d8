"""The random faults of the soak test, without processes."""

from __future__ import annotations

import os
import tempfile
import unittest
from pathlib import Path

from almondrouter_standins.soak import Soak

NETWORK_OCTET = 110 + os.getpid() % 10
FAULTS = 30


class FaultChoiceTest(unittest.TestCase):
    """Compares runs of one seed."""

    def make_soak(self, seed):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return Soak(Path(folder.name), seed=seed, network_octet=NETWORK_OCTET)

    def list_faults(self, soak):
        faults = [i.choose_fault() for i in soak.injectors for _ in range(FAULTS)]
        return [(f.number, f.delay, f.inject.__name__) for f in faults]

    def test_faults_of_a_seed(self):
        """Guards against faults that depend on the timing of requests."""
        first, second, other = map(self.make_soak, (5, 5, 6))
        # Every run of a request on a backend server draws from this source.
        second.fleet.random.random()
        faults = self.list_faults(first)
        self.assertEqual(faults, self.list_faults(second))
        self.assertNotEqual(faults, self.list_faults(other))
        self.assertNotEqual(faults[:FAULTS], faults[FAULTS : 2 * FAULTS])
