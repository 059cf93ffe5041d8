"""Values and fakes that the tests of the call path share."""

from __future__ import annotations

import asyncio
from types import MappingProxyType

from almondrouter.protocol.calls import CallReply, CallRequest, Hello
from almondrouter.protocol.codec import PROTOCOL_VERSION
from almondrouter.protocol.headers import Outcome
from almondrouter.state.snapshot import Destination, Route, Snapshot
from almondrouter.state.targets import Priority

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


def make_destination(backend, *, host=None, incarnation=1):
    """Return a destination on its own host."""
    host = host or f"host-{backend}"
    return Destination(backend, host, "dc", "r", f"{host}:1", incarnation, 9, False)


def make_snapshot(*destinations, limit_names=()):
    """Return a snapshot; class ``read`` may be repeated, ``write`` may not."""
    routes = {
        name: Route(
            name,
            "service",
            10.0,
            name == "read",
            Priority.NORMAL,
            limit_names,
            destinations,
        )
        for name in ("read", "write")
    }
    return Snapshot(7, "", MappingProxyType(routes), MappingProxyType({}))


async def wait_until(condition):
    """Wait for a condition that other tasks bring about."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)
