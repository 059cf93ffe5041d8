"""Helpers that the tests of calls share."""

from __future__ import annotations

import asyncio
import uuid

from almondrouter.clock import SystemClock
from almondrouter.protocol.calls import CallReply, CallRequest, Hello
from almondrouter.protocol.codec import PROTOCOL_VERSION
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError

TIMEOUT_S = 20.0


class CallAssertions:
    """Assertions for test cases of calls."""

    async def assert_fails(self, call, code, outcome):
        """Check that a call fails with a code and an outcome."""
        with self.assertRaises(CallError) as caught:
            await call
        error = caught.exception
        self.assertEqual((code, outcome), (error.code, error.outcome))


def make_hello(host, *, cluster="test", version=PROTOCOL_VERSION):
    """Return the first frame that a host sends on a call link."""
    return Hello(cluster, version, host, 1, 0.0)


def make_request(body=b"", *, deadline, key="", backend="b", class_name="class"):
    """Return a call for a backend server."""
    return CallRequest(
        0, class_name, backend, "POST", "/", (), body, deadline, key, "", 1
    )


def make_reply(body=b""):
    """Return a complete reply."""
    return CallReply(0, Outcome.COMPLETE, 200, (), body, "", None)


def make_key(clock=None, *, age=0.0, number=0):
    """Return a UUIDv7 of a given age in seconds."""
    milliseconds = int(((clock or SystemClock()).wall() - age) * 1000)
    text = f"{milliseconds:012x}7000{0x8000000000000000 + number:016x}"
    return str(uuid.UUID(text))


async def wait_until(condition):
    """Wait until other tasks have made a condition true."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)
