"""Daemon processes on loopback whose clients upload to one backend server at once.

No test checks a time or a share of served requests, so that none depends on the speed
of the machine. The bounds are the limits that the settings of the test's hosts state.
"""

from __future__ import annotations

import random
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

import crowd_support as crowds
from almondrouter_standins.platform_fleet import CALLER_PORT, PlatformFleet
from platform_support import make_configuration
from test_almondrouterd_host_crowds import (
    BYTES_PER_MEGABYTE,
    PATIENCE_S,
    find_free_network,
)

MEMORY_MB = 96
HOSTS = 6
RUN_TIME_S = 4.0
CASES = [
    ("whole", crowds.Crowd(6, 6, crowds.send_whole_body)),
    ("in_pieces", crowds.Crowd(6, 6, crowds.send_body_in_pieces)),
    ("large_chunks", crowds.Crowd(6, 6, crowds.send_large_chunks)),
]


class PeerCrowdTest(unittest.IsolatedAsyncioTestCase):
    """Only the first host has a backend server; the clients are on the others."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = PlatformFleet(
            Path(folder.name),
            hosts=HOSTS,
            random=random.Random(1),
            network_octet=find_free_network(),
            memory_mb=MEMORY_MB,
        )
        self.addAsyncCleanup(self.fleet.close)
        document = make_configuration(
            1,
            timeout=PATIENCE_S,
            target_latency=PATIENCE_S,
            limits=crowds.CONFIGURED_LIMITS,
        )
        await self.fleet.start(document)
        for backend in self.fleet.backends[1:]:
            await backend.close()
        backend = self.fleet.backends[0]
        backend.max_body_bytes = crowds.MAX_BODY_BYTES
        backend.run_time = (RUN_TIME_S, RUN_TIME_S)
        self.samplers = [
            crowds.ProcessSampler(daemon.pid) for daemon in self.fleet.daemons
        ]
        for sampler in self.samplers:
            self.addAsyncCleanup(sampler.close)

    @parameterized.expand(CASES)
    async def test_bodies_from_other_hosts_stay_within_memory(self, _, crowd):
        """Guards against uploads on many hosts that end the process beside a server."""
        runners = [crowds.CrowdRunner((ip, CALLER_PORT)) for ip in self.fleet.ips[1:]]
        for runner in runners:
            self.addAsyncCleanup(runner.close)
            runner.start(crowd)
        for runner in runners:
            await runner.settle()
        status, _ = await self.fleet.send_with_attempt_id(
            1, "/pay/1", time_limit=PATIENCE_S, patience=PATIENCE_S
        )
        for sampler in self.samplers:
            sampler.sample()
        peaks = [sampler.peak_bytes / BYTES_PER_MEGABYTE for sampler in self.samplers]
        seen = f"peaks {[round(peak, 1) for peak in peaks]} MB, status {status}"
        ends = [daemon.returncode for daemon in self.fleet.daemons]
        self.assertEqual([None] * HOSTS, ends, seen)
        self.assertLessEqual(max(peaks), MEMORY_MB, seen)
        self.assertEqual(200, status, seen)
