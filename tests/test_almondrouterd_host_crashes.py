"""Requests that crash their backend servers, at daemons that run as processes."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import tempfile
import unittest
from collections import Counter
from pathlib import Path

from almondrouter_standins.platform_backend import RESTART_DELAY_S
from almondrouter_standins.platform_fleet import PlatformFleet
from platform_support import make_configuration

NETWORKS = iter(range(140 + os.getpid() % 100, 255))
HOSTS = 4
CRASHING, HARMLESS = "/read/crash", "/read/1"
CRASHES_UNTIL_KNOWN = 3
"""Crashes after which the platform demands that a request is recognised."""
MAX_LATE_RETRIES = 3
"""Runs of a recognised request that the platform still allows."""
STABLE_WINDOW_S = 3.0
"""Seconds after the last crash from which these runs count."""
PATIENCE_S = 60.0


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    """The backend servers end when they run some request, and start again."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = PlatformFleet(
            Path(folder.name),
            hosts=HOSTS,
            random=random.Random(1),
            network_octet=next(NETWORKS),
        )
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.crashing_targets = frozenset({CRASHING})
        await self.fleet.start(make_configuration(1, timeout=5.0))

    @property
    def crashes(self):
        return self.fleet.ledger.crashes[CRASHING]

    async def wait_until_all_serve(self):
        """Wait until all daemons serve and all backend servers have been announced."""
        for number in range(HOSTS):
            await self.fleet.wait_until_ready(number)
        async with asyncio.timeout(PATIENCE_S):
            while not all(backend.acknowledged for backend in self.fleet.backends):
                await asyncio.sleep(0.02)

    async def crash_until_known(self):
        """Send the crashing request until it must be recognised everywhere."""
        async with asyncio.timeout(PATIENCE_S):
            while self.crashes < CRASHES_UNTIL_KNOWN:
                await self.fleet.send(self.crashes % HOSTS, CRASHING)
        await asyncio.sleep(STABLE_WINDOW_S)

    async def send_crashing_request(self, count):
        """Send it from all hosts in turn, while all backend servers are there."""
        statuses = Counter()
        for number in range(count):
            await self.wait_until_all_serve()
            statuses[await self.fleet.send(number % HOSTS, CRASHING)] += 1
        return statuses

    async def test_request_that_crashed_three_servers_is_sent_to_no_more(self):
        """Guards against sending a request on although servers ended under it."""
        await self.crash_until_known()
        known = self.crashes
        statuses = await self.send_crashing_request(12)
        self.assertLessEqual(self.crashes - known, MAX_LATE_RETRIES)
        self.assertGreaterEqual(statuses[503], 12 - MAX_LATE_RETRIES)
        self.assertEqual(200, await self.fleet.send(0, HARMLESS))
        self.assertEqual([], self.fleet.ledger.find_violations())

    async def test_crashing_request_stays_known_if_all_daemons_restart(self):
        """Guards against a request that crashes servers again after a power cut."""
        await self.crash_until_known()
        known = self.crashes
        for number in range(HOSTS):
            self.fleet.send_signal(number, signal.SIGKILL)
        for number in range(HOSTS):
            await self.fleet.daemons[number].wait()
        await asyncio.gather(*map(self.fleet.start_daemon, range(HOSTS)))
        await self.send_crashing_request(12)
        self.assertLessEqual(self.crashes - known, MAX_LATE_RETRIES)
        self.assertEqual([], self.fleet.ledger.find_violations())

    async def test_no_request_is_refused_if_servers_end_for_other_reasons(self):
        """Guards against taking a request for the cause because it was in flight."""
        for backend in self.fleet.backends:
            backend.run_time = (0.1, 0.2)
        stopped = asyncio.Event()

        async def send_until_stopped(number):
            statuses = Counter()
            while not stopped.is_set():
                statuses[await self.fleet.send(number, HARMLESS)] += 1
            return statuses

        senders = [
            asyncio.create_task(send_until_stopped(number % HOSTS))
            for number in range(3 * HOSTS)
        ]
        for number in range(3 * HOSTS):
            await asyncio.sleep(RESTART_DELAY_S)
            self.fleet.backends[number % HOSTS].crash()
        stopped.set()
        totals = sum(await asyncio.gather(*senders), Counter())
        self.assertGreater(totals[200], 10)
        self.assertNotIn('"condemned"', self.fleet.read_logs())
        await self.wait_until_all_serve()
        self.assertEqual(200, await self.fleet.send(0, HARMLESS))
