"""A daemon process on loopback that meets crowds of clients with unfinished requests.

No test checks a time or a share of served requests, so that none depends on the speed
of the machine. The bounds are the limits that the settings of the test's host state.
"""

from __future__ import annotations

import contextlib
import os
import random
import socket
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from parameterized import parameterized

import crowd_support as crowds
from almondrouter_standins.platform_fleet import CALLER_PORT, PlatformFleet
from platform_support import make_configuration

NETWORKS = iter(range(120 + os.getpid() % 20, 255))
PATIENCE_S = 60.0
"""Seconds that the ordinary request may take; long enough for any machine."""
BYTES_PER_MEGABYTE = 1_000_000
MEMORY_MB, MAX_FDS = 64, 512
LONG_BODY_MEMORY_MB = 150
"""Least memory of a host on which the longest body has to be served."""
CASES = [
    ("short_header_lines", crowds.Crowd(120, 6, crowds.send_short_lines)),
    ("odd_header_lines", crowds.Crowd(240, 6, crowds.send_odd_lines)),
    ("body_whole", crowds.Crowd(24, 4, crowds.send_whole_body)),
    ("body_in_pieces", crowds.Crowd(24, 4, crowds.send_body_in_pieces)),
    ("large_chunks", crowds.Crowd(24, 4, crowds.send_large_chunks)),
    ("small_chunks", crowds.Crowd(24, 4, crowds.send_small_chunks)),
    ("responses_not_read", crowds.Crowd(12, 4, crowds.request_long_responses)),
    ("silent_connections", crowds.Crowd(600, 6, crowds.send_nothing)),
]


def find_free_network():
    """Return the second octet of a loopback network that no other test run uses."""
    for octet in NETWORKS:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((f"127.{octet}.0.1", CALLER_PORT))
            return octet
    raise RuntimeError("all loopback networks of this module are in use")


class CrowdTest(unittest.IsolatedAsyncioTestCase):
    """The limits of the host are low, so that a small crowd shows a fault."""

    async def start_fleet(self, *, memory_mb):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = PlatformFleet(
            Path(folder.name),
            hosts=1,
            random=random.Random(1),
            network_octet=find_free_network(),
            memory_mb=memory_mb,
            max_fds=MAX_FDS,
        )
        self.addAsyncCleanup(self.fleet.close)
        document = make_configuration(
            1,
            timeout=PATIENCE_S,
            target_latency=PATIENCE_S,
            limits=crowds.CONFIGURED_LIMITS,
        )
        await self.fleet.start(document)
        self.memory_bytes = memory_mb * BYTES_PER_MEGABYTE
        backend = self.fleet.backends[0]
        backend.max_body_bytes = crowds.MAX_BODY_BYTES
        server = backend.server
        self.serve = server.handler
        server.handler = self.serve_long_responses
        self.sampler = crowds.ProcessSampler(self.fleet.daemons[0].pid)
        self.addAsyncCleanup(self.sampler.close)

    async def serve_long_responses(self, request):
        response = await self.serve(request)
        if request.target == crowds.LONG_RESPONSE_PATH:
            return replace(response, body=crowds.LONG_RESPONSE)
        return response

    async def assert_served_within_limits(self, *, body=b""):
        """Fail unless a request is served and the daemon kept its limits so far."""
        status, _ = await self.fleet.send_with_attempt_id(
            0, "/pay/1", body=body, time_limit=PATIENCE_S, patience=PATIENCE_S
        )
        self.sampler.sample()
        peak, descriptors = self.sampler.peak_bytes, self.sampler.most_descriptors
        seen = (
            f"peak {peak / 1e6:.1f} of {self.memory_bytes / 1e6:.0f} MB, "
            f"descriptors {descriptors} of {MAX_FDS}, status {status}"
        )
        self.assertIsNone(self.fleet.daemons[0].returncode, seen)
        self.assertLessEqual(peak, self.memory_bytes, seen)
        self.assertLessEqual(descriptors, MAX_FDS, seen)
        self.assertEqual(200, status, seen)

    @parameterized.expand(CASES)
    async def test_crowd_leaves_the_daemon_within_its_limits(self, _, crowd):
        """Guards against clients outside our control that end the process."""
        await self.start_fleet(memory_mb=MEMORY_MB)
        runner = crowds.CrowdRunner((self.fleet.ips[0], CALLER_PORT))
        self.addAsyncCleanup(runner.close)
        await runner.run(crowd)
        await self.assert_served_within_limits()

    async def test_longest_body_is_served_alone(self):
        """Guards against limits that refuse a legal request of a host in calm."""
        await self.start_fleet(memory_mb=LONG_BODY_MEMORY_MB)
        await self.assert_served_within_limits(body=bytes(crowds.MAX_BODY_BYTES))
