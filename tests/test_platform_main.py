"""The daemon for the hosting platform as a process: signals around its exit."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from almondrouter_standins.platform_fleet import PlatformFleet
from platform_support import make_configuration

NETWORKS = iter(range(100 + os.getpid() % 5, 110))


class ExitTest(unittest.IsolatedAsyncioTestCase):
    """Stops a daemon and sends it further signals until it has exited."""

    @parameterized.expand([(signal.SIGTERM,), (signal.SIGHUP,)])
    async def test_signals_until_the_exit(self, later):
        """Guards against a graceful stop that ends by a signal, not with code 0."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        fleet = PlatformFleet(
            Path(folder.name),
            hosts=1,
            random=random.Random(1),
            network_octet=next(NETWORKS),
        )
        self.addAsyncCleanup(fleet.close)
        await fleet.start(make_configuration(1))
        stop = asyncio.create_task(fleet.stop_daemon(0, signal.SIGTERM))
        while not stop.done():
            fleet.send_signal(0, later)
            await asyncio.sleep(0.002)
        self.assertEqual(0, await stop)
