"""Tests of the backend server stand-in: the behaviour that other tests rely on."""

from __future__ import annotations

import unittest

import aiohttp
from aiohttp import web

from almondrouter_standins.backend import BackendStandin
from calls_support import TIMEOUT_S, wait_until


class BackendStandinTest(unittest.IsolatedAsyncioTestCase):
    """Guards against other tests that pass only because the stand-in is wrong."""

    async def asyncSetUp(self):
        self.announced = []
        self.crashes = []
        runner = web.ServerRunner(web.Server(self.receive_announcement))
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        host, port = runner.addresses[0]
        self.standin = BackendStandin(
            name="b",
            service="s",
            slots=1,
            daemon=f"{host}:{port}",
            crash=lambda: self.crashes.append(1),
        )
        self.url = f"http://{await self.standin.start()}"
        self.addAsyncCleanup(self.standin.close)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.addAsyncCleanup(self.session.close)

    async def receive_announcement(self, request):
        self.announced.append((request.path, await request.json()))
        return web.Response()

    async def post(self, path, body=b"", **headers):
        headers = {name.replace("_", "-"): text for name, text in headers.items()}
        response = await self.session.post(self.url + path, data=body, headers=headers)
        return response.status, response.headers.get("Almond-Outcome")

    async def get(self, path):
        return await (await self.session.get(self.url + path)).json()

    async def test_announces_itself_and_drains(self):
        """Guards against a stand-in that is unknown to its daemon or never drains."""
        await wait_until(lambda: self.announced)
        path, announcement = self.announced[0]
        self.assertEqual("/announce", path)
        self.assertEqual("ready", announcement["state"])
        self.assertEqual(self.standin.address, announcement["address"])
        await self.post("/drain")
        await wait_until(lambda: self.standin.state == "stopped")
        self.assertEqual((503, "not-run"), await self.post("/x"))
        self.assertEqual([], await self.get("/runs"))

    async def test_faults(self):
        """Guards against injected faults that are ignored or misspelt unnoticed."""
        self.assertEqual(400, (await self.post("/standin", b'{"slw": 1}'))[0])
        faults = b'{"crash_mark": "m", "lie_load": 5, "lie_health": false}'
        await self.post("/standin", faults)
        await self.post("/x", x_standin_mark="m", idempotency_key="k")
        self.assertEqual([1], self.crashes)
        runs = [(run["key"], run["mark"]) for run in await self.get("/runs")]
        self.assertEqual([("k", "m")], runs)
        self.assertEqual(5, (await self.get("/load"))["in_use"])
        self.assertFalse((await self.get("/health"))["healthy"])
        expired = await self.post("/x", almond_deadline_ms="0")
        self.assertEqual((503, "not-run"), expired)
