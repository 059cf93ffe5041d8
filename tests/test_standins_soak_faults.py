"""The random faults of the soak test, without processes."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import tempfile
import time
import unittest
from pathlib import Path
from types import SimpleNamespace

from parameterized import parameterized

from almondrouter_standins.soak import Soak
from almondrouter_standins.soak_faults import FaultInjector, LaterSignal
from almondrouter_standins.soak_hosts import HostState

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


class FakeFleet:
    """One daemon that exits some time after SIGTERM; records its signals."""

    def __init__(self, *, started=True, code=0, settings=None):
        self.daemons = [SimpleNamespace(returncode=None)]
        self.signals = []
        self._started = started
        self._code = code
        self._settings = settings

    def get_settings_path(self, number):
        return self._settings

    def is_started(self, number):
        return self._started

    def send_signal(self, number, signal_number):
        self.signals.append(signal_number)

    async def stop_daemon(self, number, stop_signal):
        self.send_signal(number, stop_signal)
        await asyncio.sleep(0.3)
        return self._code

    async def start_daemon(self, number):
        self.signals.append("start")


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Stops a simulated daemon."""

    def make_injector(self, fleet):
        self.violations = []
        self.state = HostState()
        return FaultInjector(
            fleet, [self.state], random=random.Random(1), violations=self.violations
        )

    async def test_signals_during_a_stop(self):
        """Guards against a soak that leaves a stopping daemon alone."""
        fleet = FakeFleet()
        signals = [
            LaterSignal(signal.SIGTERM, 0.02, 0.0),
            LaterSignal(signal.SIGSTOP, 0.02, 0.02),
            LaterSignal(signal.SIGHUP, 0.02, 0.0),
            LaterSignal(signal.SIGHUP, 9.0, 0.0),
        ]
        await self.make_injector(fleet).restart(0, signals)
        expected = ["SIGTERM", "SIGTERM", "SIGSTOP", "SIGCONT", "SIGHUP", "start"]
        names = [getattr(item, "name", item) for item in fleet.signals]
        self.assertEqual(expected, names)
        self.assertEqual([], self.violations)
        self.assertFalse(self.state.was_killed_since(0.1))

    @parameterized.expand([(True, 1), (False, 0)])
    async def test_exit_code(self, started, violations):
        """Guards against a daemon that fails to stop, or a start counted as that."""
        fleet = FakeFleet(started=started, code=3)
        await self.make_injector(fleet).restart(0, [])
        self.assertEqual(violations, len(self.violations))
        self.assertEqual(not started, self.state.was_killed_since(0.1))

    async def test_exit_without_a_signal(self):
        """Guards against a daemon whose own exit goes unnoticed."""
        fleet = FakeFleet()
        fleet.daemons[0].returncode = 1
        self.make_injector(fleet).check_running(0)
        self.assertIn("exited by itself with code 1", self.violations[0])

    async def test_pauses(self):
        """Guards against a paused daemon that is expected to answer at once."""
        injector = self.make_injector(FakeFleet())
        began = time.monotonic()
        with self.state.mark_paused():
            await asyncio.sleep(0.1)
            self.assertGreater(self.state.sum_pauses_since(began), 0.05)
        middle = time.monotonic()
        await asyncio.sleep(0.1)
        await injector.restart(0, [LaterSignal(signal.SIGSTOP, 0.0, 0.1)])
        ended = time.monotonic()
        first, second = 0.1, 0.1
        total = self.state.sum_pauses_since(began)
        later = self.state.sum_pauses_since(middle)
        self.assertGreaterEqual(total, first + second - 0.01)
        self.assertAlmostEqual(total - later, first, delta=0.09)
        self.assertEqual(0.0, self.state.sum_pauses_since(ended))
        events = [event.partition(": ")[2] for event in injector.events]
        self.assertEqual(["SIGTERM", "SIGSTOP", "SIGCONT"], events)

    @parameterized.expand([(True,), (False,)])
    async def test_reload(self, started):
        """Guards against a starting daemon that reads invalid settings."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text("a = 1\n")
            before = path.stat().st_mtime_ns
            fleet = FakeFleet(started=started, settings=path)
            await self.make_injector(fleet).reload(0)
            self.assertEqual("a = 1\n", path.read_text())
            self.assertEqual(started, path.stat().st_mtime_ns != before)
        self.assertEqual(started, signal.SIGHUP in fleet.signals)
