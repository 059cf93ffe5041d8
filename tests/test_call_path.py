"""End-to-end calls over real sockets, with the backend server stand-in."""

from __future__ import annotations

import asyncio
import unittest

import aiohttp
from parameterized import parameterized

from almondrouter_standins.backend import BackendStandin, Faults
from almondrouter_standins.call_daemon import CallDaemon
from calls_support import TIMEOUT_S, make_key, wait_until


class CallPathTest(unittest.IsolatedAsyncioTestCase):
    """Callers reach a backend server through an ingress and an egress daemon."""

    async def asyncSetUp(self):
        self.backend = BackendStandin(name="b", service="service", slots=50)
        address = await self.backend.start()
        self.addAsyncCleanup(self.backend.close)
        self.egress = CallDaemon(host="egress", backend=address)
        await self.egress.start()
        self.addAsyncCleanup(self.egress.close)
        peer = ("egress", self.egress.peers.address)
        self.ingress = CallDaemon(host="ingress", egress=peer)
        await self.ingress.start()
        self.addAsyncCleanup(self.ingress.close)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.addAsyncCleanup(self.session.close)

    async def call(self, body=b"body", *, name="read", **headers):
        headers = {key.replace("_", "-"): value for key, value in headers.items()}
        headers["Almond-Class"] = name
        url = f"http://{self.ingress.callers.address}/path"
        async with self.session.post(url, data=body, headers=headers) as response:
            found = (response.status, response.headers["Almond-Outcome"])
            return *found, response.headers["Almond-Code"], await response.read()

    def start_call(self, *args, **options):
        return asyncio.create_task(self.call(*args, **options))

    @parameterized.expand(
        [
            ("none", Faults(), (200, "complete", "")),
            ("shed", Faults(shed=True), (503, "not-run", "backend_refused")),
            ("truncate", Faults(truncate=True), (502, "unknown", "backend_failed")),
            (
                "silent",
                Faults(stop_answering=True),
                (504, "unknown", "deadline_exceeded"),
            ),
        ]
    )
    async def test_faults_of_the_backend_server(self, _, faults, expected):
        """Guards against wrong outcomes when the backend server misbehaves."""
        self.backend.faults = faults
        key = make_key()
        *found, _ = await self.call(
            name="write", Idempotency_Key=key, Almond_Timeout_Ms="300"
        )
        self.assertEqual(expected, tuple(found))
        runs = [run["key"] for run in self.backend.runs]
        self.assertEqual([] if faults.shed else [key], runs)

    async def test_large_bodies_in_parallel(self):
        """Guards against bodies that are swapped, or truncated between frames."""
        bodies = [bytes([i]) * (i * 100_000) for i in range(1, 20)]
        answers = await asyncio.gather(*map(self.call, bodies))
        self.assertEqual(bodies, [answer[3] for answer in answers])

    async def test_caller_gone_cancels_the_run(self):
        """Guards against runs that continue after the caller has disconnected."""
        task = self.start_call(x_standin_work_ms="60000")
        await wait_until(lambda: self.backend.in_use)
        task.cancel()
        await wait_until(lambda: not self.backend.in_use)
        self.assertEqual("cancelled", self.backend.runs[0]["result"])

    async def test_drain_cuts_no_call(self):
        """Guards against draining daemons that drop requests in flight."""
        tasks = [self.start_call(x_standin_work_ms="300") for _ in range(20)]
        await wait_until(lambda: self.backend.in_use == 20)
        draining = asyncio.gather(self.egress.drain(), self.ingress.drain())
        for task in tasks:
            self.assertEqual((200, "complete", "", b"body"), await task)
        await draining
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.call()

    async def test_crash_in_the_middle_is_unknown(self):
        """Guards against not-run for a request whose egress daemon was killed."""
        task = self.start_call(x_standin_work_ms="60000")
        await wait_until(lambda: self.backend.in_use)
        await self.egress.close()
        status, outcome, code, _ = await task
        self.assertEqual((504, "unknown", "peer_timeout"), (status, outcome, code))
        self.assertEqual(("not-run", "peer_unavailable"), (await self.call())[1:3])
