"""Restart of background tasks."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

from almondrouter.clock import SystemClock
from almondrouter.coordination import restarts
from almondrouter.coordination.restarts import run_with_restart
from almondrouterd import hostdaemon
from almondrouterd.loopdelay import LoopDelay

TIMEOUT_S = 5.0


@patch.object(restarts, "RESTART_DELAY_S", 0.0)
class RestartTest(unittest.IsolatedAsyncioTestCase):
    """Work that fails at first."""

    async def test_failed_task_starts_again(self):
        """Guards against a daemon that goes on without one of its tasks."""
        failures = [RecursionError("nested"), OverflowError("large")]
        ended = asyncio.Event()

        async def work():
            if failures:
                raise failures.pop()
            ended.set()

        async with asyncio.timeout(TIMEOUT_S):
            await run_with_restart(work)
        self.assertTrue(ended.is_set())

    async def test_cancelled_task_ends(self):
        """Guards against a daemon that cannot stop its tasks."""
        task = asyncio.create_task(run_with_restart(asyncio.Event().wait))
        await asyncio.sleep(0)
        task.cancel()
        async with asyncio.timeout(TIMEOUT_S):
            await asyncio.wait([task])
        self.assertTrue(task.cancelled())

    async def test_maintenance_of_peers_goes_on(self):
        """Guards against a daemon whose view of its peers stands still."""
        calls = []

        class FailingPeers:
            def run_maintenance(self):
                calls.append(1)
                if len(calls) == 1:
                    raise OverflowError("large")

        daemon = object.__new__(hostdaemon.HostDaemon)
        daemon._tasks, daemon._peers = [], FailingPeers()
        daemon._loop_delay = LoopDelay(SystemClock())
        with patch.object(hostdaemon, "PEER_MAINTENANCE_INTERVAL_S", 0.0):
            daemon._start_forever(daemon._maintain_peers_forever)
            async with asyncio.timeout(TIMEOUT_S):
                while len(calls) < 3:
                    await asyncio.sleep(0)
        daemon._tasks[0].cancel()
        await asyncio.gather(*daemon._tasks, return_exceptions=True)
