"""Tests of the in-memory control network."""

import asyncio
import unittest

from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import Accepted, Announcement, Head, StatusRequest
from almondrouter_standins.network import LinkFaults, MemoryControlNetwork
from almondrouter_standins.simulation import run_simulated


class _Pair:
    """Two endpoints; ``b`` records the versions that ``a`` announces to it."""

    def __init__(self, clock, **options):
        self.clock = clock
        self.network = MemoryControlNetwork(seed=1, **options)
        self.a, self.b = (
            self.network.create_endpoint(h, host=h, incarnation=1, clock=clock)
            for h in ("a", "b")
        )
        self.versions = []

    async def start(self):
        self.b.set_handler(Announcement, self.record_version)
        self.b.set_handler(StatusRequest, self.answer)
        await self.a.start()
        await self.b.start()

    async def record_version(self, message, _host):
        self.versions.append(message.head.version)

    async def answer(self, _message, _host):
        return Accepted()

    async def announce_versions(self, count):
        for version in range(count):
            self.a.send("b", Announcement("a", Head(version, "d")))
        await asyncio.sleep(60)

    async def request_status(self, seconds=1.0):
        deadline = self.clock.monotonic() + seconds
        try:
            await self.a.request("b", StatusRequest(), deadline=deadline)
        except AlmondError as error:
            return error.code
        return None


class MemoryControlNetworkTest(unittest.TestCase):
    """Guards against tests that pass because the faults they set do not happen."""

    def test_faults(self):
        """Guards against too much or too little loss, duplication and reordering.

        A second run with the same seed must show the same faults.
        """

        async def main(clock):
            faults = LinkFaults(loss=0.2, duplication=0.2, jitter=5.0)
            pair = _Pair(clock, faults=faults)
            await pair.start()
            await pair.announce_versions(500)
            return pair.versions

        versions = run_simulated(main)
        self.assertEqual(versions, run_simulated(main))
        self.assertNotEqual(versions, sorted(versions))
        self.assertTrue(350 < len(set(versions)) < 450)
        self.assertGreater(len(versions) - len(set(versions)), 50)

    def test_cuts_freezes_and_kills_time_requests_out(self):
        """Guards against replies over broken links, and links that stay broken."""

        async def main(clock):
            pair = _Pair(clock)
            await pair.start()
            results = [await pair.request_status()]
            pair.network.cut(["b"], ["a"], two_way=False)
            await pair.announce_versions(1)
            results.append(await pair.request_status())
            pair.network.heal_all()
            results.append(await pair.request_status())
            pair.network.freeze("b")
            results.append(await pair.request_status())
            pair.network.resume("b")
            results.append(await pair.request_status())
            pair.b.kill()
            results.append(await pair.request_status())
            return results, pair.versions

        timeout = ErrorCode.PEER_TIMEOUT
        results, versions = run_simulated(main)
        self.assertEqual(results, [None, timeout, None, timeout, None, timeout])
        self.assertEqual(versions, [0])
