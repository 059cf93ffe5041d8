"""The fleet of daemons for the hosting platform, without its processes."""

from __future__ import annotations

import os
import random
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from parameterized import parameterized

from almondrouter.transport.calls import BackendResponse
from almondrouter_standins.platform_fleet import PlatformFleet

NETWORK_OCTET = 120 + os.getpid() % 10


class MetricsTest(unittest.IsolatedAsyncioTestCase):
    """Replaces the responses of the daemons' metrics endpoints."""

    def make_fleet(self, metrics, *, hosts=1):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        fleet = PlatformFleet(
            Path(folder.name),
            hosts=hosts,
            random=random.Random(1),
            network_octet=NETWORK_OCTET,
        )
        response = BackendResponse(200, (), metrics.encode())
        fleet.fetch = mock.AsyncMock(return_value=response)
        return fleet

    @parameterized.expand([(15, True), (1, False), (5, False), (150, False)])
    async def test_version_in_force(self, version, expected):
        """Guards against a version that counts as in force while another one is."""
        fleet = self.make_fleet(
            "# HELP almond_configuration_version 1\n"
            "almond_configuration_version 15.0\n"
            'almond_configuration_version_total{kind="x"} 1.0\n'
        )
        self.assertEqual(expected, await fleet.is_in_force_everywhere(version))

    @parameterized.expand([("2.0", True), ("20.0", False), ("21.0", False)])
    async def test_known_hosts(self, count, expected):
        """Guards against a start that goes on while hosts are unknown."""
        fleet = self.make_fleet(f"almond_hosts {count}\n", hosts=2)
        self.assertEqual(expected, await fleet.knows_all_hosts(0))

    async def test_missing_metric(self):
        """Guards against a missing metric that is taken for a value."""
        fleet = self.make_fleet("almond_hosts_total 2.0\n", hosts=2)
        self.assertIsNone(await fleet.read_metric(0, "almond_hosts"))
