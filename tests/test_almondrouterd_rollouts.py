"""Roll-outs with real daemon processes, a simulated store and backend servers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import tempfile
import time
import unittest
from pathlib import Path

import msgspec

from almondrouter_standins.platform_fleet import PlatformFleet
from almondrouter_standins.platform_store import StoreFault
from almondrouterd.platform.rollouts import ORDERS_PREFIX, STATUSES_PREFIX
from platform_support import SERVICE, make_configuration

NETWORKS = range(2, 20)
"""Second octets of loopback addresses; other fleets of the tests use higher ones."""
HOSTS = 4
NEW_HOST = HOSTS - 1
DURATION_S = 12.0
PATIENCE_S = 60.0
"""Seconds until a decision; these tests check no time."""
ORDER_KEY = ORDERS_PREFIX + SERVICE
STATUS_KEY = STATUSES_PREFIX + SERVICE
RATE_PER_S = 40.0
BACKEND_PORT = 7001


def find_network():
    """Return the second octet of loopback addresses that no other fleet uses."""
    for octet in random.sample(NETWORKS, len(NETWORKS)):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((f"127.{octet}.0.1", BACKEND_PORT))
            return octet
    raise AssertionError("all loopback networks are in use")


class RolloutProcessTest(unittest.IsolatedAsyncioTestCase):
    """Four hosts; the server of the last one is replaced by one of the new version."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = PlatformFleet(
            Path(folder.name),
            hosts=HOSTS,
            random=random.Random(1),
            network_octet=find_network(),
        )
        self.addAsyncCleanup(self.fleet.close)
        self.fleet.version = "v1"
        await self.fleet.start(make_configuration(1, timeout=5.0))
        self.traffic = asyncio.create_task(self.send_forever())
        self.addCleanup(self.traffic.cancel)

    async def send_forever(self):
        tasks = set()
        while True:
            number = len(tasks) % 3
            path = random.choice(("/read/1", "/pay/1"))
            if self.fleet.daemons[number].returncode is None:
                task = asyncio.create_task(self.fleet.send(number, path))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(1 / RATE_PER_S)

    async def order(self, **changes):
        document = {
            "service": SERVICE,
            "target_version": "v2",
            "duration_s": DURATION_S,
        }
        await self.fleet.store.put(ORDER_KEY, msgspec.json.encode(document | changes))

    def read_state(self):
        value = self.fleet.store.keys.get(STATUS_KEY)
        return msgspec.json.decode(value)["state"] if value else ""

    async def wait_until(self, condition, what):
        deadline = time.monotonic() + PATIENCE_S
        while not condition():
            if time.monotonic() > deadline:
                self.fail(f"not {what}; logs end:\n{self.fleet.read_logs()[-4000:]}")
            await asyncio.sleep(0.05)

    async def wait_for_state(self, state):
        await self.wait_until(lambda: self.read_state() == state, state)

    def find_coordinators(self):
        """Return the hosts that have coordinated, the last one last."""
        lines = map(msgspec.json.decode, self.fleet.read_logs().splitlines())
        found = [
            (line["time"], line["host"])
            for line in lines
            if line.get("event") == "coordinating a roll-out"
        ]
        return [int(host.removeprefix("host-")) for _, host in sorted(found)]

    async def test_good_version_is_completed(self):
        """Guards against a good version that is not completed, or gets no requests."""
        await self.fleet.replace_backend(NEW_HOST, version="v2")
        await asyncio.sleep(1.0)
        self.assertEqual(0, self.fleet.ledger.served["v2"])
        await self.order()
        await self.wait_for_state("running")
        await self.wait_for_state("completed")
        served = self.fleet.ledger.served["v1"]
        await asyncio.sleep(1.0)
        self.assertLessEqual(self.fleet.ledger.served["v1"], served + 2)

    async def test_bad_version_is_rolled_back(self):
        """Guards against a bad version that stays, or gets more than its share."""
        await self.fleet.replace_backend(NEW_HOST, version="v2", failure_share=0.5)
        await asyncio.sleep(1.0)
        await self.order()
        await self.wait_for_state("rolled_back")
        served = self.fleet.ledger.served
        self.assertLessEqual(served["v2"], 0.1 * served.total() + 50)
        before = served["v2"]
        await asyncio.sleep(2.0)
        self.assertEqual(before, served["v2"])

    async def test_coordinator_dies_before_it_writes(self):
        """Guards against a decision that is lost with the coordinator."""
        await self.fleet.replace_backend(NEW_HOST, version="v2", failure_share=1.0)
        await asyncio.sleep(1.0)
        await self.order()
        await self.wait_for_state("running")
        self.fleet.store.faulty_calls = {"kv-txn"}
        self.fleet.store.fault = StoreFault.UNAVAILABLE
        await self.wait_until(
            lambda: '"roll-out decided"' in self.fleet.read_logs(), "decided"
        )
        (coordinator,) = self.find_coordinators()
        await self.fleet.stop_daemon(coordinator, signal.SIGKILL)
        self.fleet.store.fault = StoreFault.NONE
        await self.wait_for_state("rolled_back")
        self.assertNotEqual(coordinator, self.find_coordinators()[-1])

    async def test_invalid_orders_are_refused(self):
        """Guards against an order that is half applied, or not reported."""
        await self.order(duration_s=0)
        await self.order(service="other")
        await self.wait_until(
            lambda: self.fleet.read_logs().count("order refused") >= 2, "refused"
        )
        self.assertEqual("", self.read_state())
