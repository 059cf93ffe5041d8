"""Values and fakes that the tests of the call path share."""

from __future__ import annotations

import asyncio

from almondrouter.protocol.calls import CallReply, CallRequest, Hello
from almondrouter.protocol.codec import PROTOCOL_VERSION
from almondrouter.protocol.headers import Outcome

TIMEOUT_S = 20.0


def make_hello(host, *, cluster="test", version=PROTOCOL_VERSION):
    """Return the greeting of a host."""
    return Hello(cluster, version, host, 1, 0.0)


def make_request(body=b"", *, deadline, key="", backend="b", class_name="class"):
    """Return a call for a backend server."""
    return CallRequest(
        0, class_name, backend, "POST", "/", (), body, deadline, key, "", 1
    )


def make_reply(body=b""):
    """Return a complete reply."""
    return CallReply(0, Outcome.COMPLETE, 200, (), body, "", None)


async def wait_until(condition):
    """Wait for a condition that other tasks bring about."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)
