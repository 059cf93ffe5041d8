"""Tests of the store stand-in: it must follow the published etcd protocol."""

import asyncio
import base64
import json
import unittest

import aiohttp

from almondrouter.clock import ManualClock
from almondrouter_standins.store import StoreStandIn


def _b64(text):
    return base64.b64encode(text.encode()).decode()


def _put(key, value="v", **more):
    return {"request_put": {"key": _b64(key), "value": _b64(value), **more}}


def _absent(key):
    return {"key": _b64(key), "target": "CREATE", "create_revision": "0"}


class StoreStandInTest(unittest.IsolatedAsyncioTestCase):
    """The stand-in must not accept or hide what the real store does not."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.standin = StoreStandIn(clock=self.clock, progress_interval=0.01)
        await self.standin.start()
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.standin.close)
        self.addAsyncCleanup(self.session.close)

    async def post(self, path, body):
        url = f"{self.standin.url}{path}"
        async with self.session.post(url, json=body) as response:
            return response.status, json.loads(await response.text())

    async def read(self, key):
        return (await self.post("/v3/kv/range", {"key": _b64(key)}))[1].get("kvs", [])

    async def test_integers_are_strings_and_zeros_are_left_out(self):
        """Guards against clients that work only with JSON the gateway never sends."""
        _, empty = await self.post("/v3/kv/range", {"key": _b64("a")})
        self.assertEqual(set(empty), {"header"})
        self.assertEqual(empty["header"]["revision"], "1")
        await self.post("/v3/kv/put", {"key": _b64("a"), "value": _b64("x")})
        (entry,) = await self.read("a")
        self.assertEqual(
            entry,
            {
                "key": _b64("a"),
                "value": _b64("x"),
                "create_revision": "2",
                "mod_revision": "2",
                "version": "1",
            },
        )

    async def test_nested_conditions_are_decided_before_any_effect(self):
        """Guards against conditions that see the writes of their own transaction."""
        nested = {"request_txn": {"compare": [_absent("a")], "success": [_put("b")]}}
        _, result = await self.post("/v3/kv/txn", {"success": [_put("a"), nested]})
        self.assertTrue(result["responses"][1]["response_txn"]["succeeded"])
        self.assertEqual((await self.read("b"))[0]["mod_revision"], "2")

    async def test_refuses_what_the_protocol_refuses(self):
        """Guards against limits of the real store that only production reveals."""
        nested = {"request_txn": {"failure": [_put("a")]}}
        for name, body in {
            "duplicate": {"success": [_put("a"), nested]},
            "put and delete": {
                "success": [{"request_delete_range": {"key": _b64("a")}}, _put("a")]
            },
            "too many": {"success": [_put(f"k{i}") for i in range(129)]},
            "too large": {"success": [_put("a", "x" * 1_000_001)]},
            "no lease": {"success": [_put("a", lease="99")]},
        }.items():
            with self.subTest(name):
                status, answer = await self.post("/v3/kv/txn", body)
                self.assertIn(status, (400, 404))
                self.assertTrue(answer["error"])
                self.assertEqual(await self.read("a"), [])

    async def test_expired_lease_deletes_its_keys(self):
        """Guards against keys that outlive their lease."""
        _, lease = await self.post("/v3/lease/grant", {"TTL": "15"})
        await self.post("/v3/kv/txn", {"success": [_put("a", lease=lease["ID"])]})
        self.clock.advance(14)
        _, kept = await self.post("/v3/lease/keepalive", {"ID": lease["ID"]})
        self.assertEqual(kept["result"]["TTL"], "15")
        self.clock.advance(14)
        self.assertEqual(len(await self.read("a")), 1)
        await self.standin.set_faults(lease_offset=2)
        self.assertEqual(await self.read("a"), [])
        _, lost = await self.post("/v3/lease/keepalive", {"ID": lease["ID"]})
        self.assertNotIn("TTL", lost["result"])

    async def test_a_slow_write_takes_effect_after_its_caller_left(self):
        """Guards against a stand-in without late effects, which clients must handle."""
        await self.standin.set_faults(latency=0.1)
        timeout = aiohttp.ClientTimeout(total=0.02)
        body = {"key": _b64("a"), "value": _b64("x")}
        with self.assertRaises(TimeoutError):
            await self.session.post(
                f"{self.standin.url}/v3/kv/put", json=body, timeout=timeout
            )
        async with asyncio.timeout(10):
            while not await self.read("a"):
                pass

    async def test_control_counts_and_sets_faults(self):
        """Guards against faults that cannot be set over HTTP, as manual runs do."""
        await self.read("a")
        status, _ = await self.post("/standin", {"rate_limit": 1.0})
        self.assertEqual(status, 200)
        answers = [(await self.post("/v3/kv/range", {"key": _b64("a")})) for _ in "12"]
        self.assertEqual([status for status, _ in answers], [200, 429])
        self.assertEqual(answers[1][1]["code"], 8)
        async with self.session.get(f"{self.standin.url}/standin") as response:
            shown = await response.json()
        self.assertEqual(shown["calls"]["range"], 3)
        self.assertEqual(shown["limited"], 1)
        status, _ = await self.post("/standin", {"no_such_fault": 1})
        self.assertEqual(status, 400)
