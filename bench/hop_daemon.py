"""A daemon reduced to the call path, for `bench/hop.py`."""

from __future__ import annotations

import argparse
import asyncio
import json
from types import MappingProxyType

import uvloop

from almondrouter.clock import SystemClock
from almondrouter.coordination.calls import CallService
from almondrouter.protocol.calls import Hello
from almondrouter.protocol.codec import PROTOCOL_VERSION
from almondrouter.state.snapshot import Destination, Route, Snapshot
from almondrouter.state.targets import Priority
from almondrouter.transport.backends import BackendClient
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.links import CallLinkPool, CallLinkServer
from almondrouter_standins.collaborators import (
    ClaimStore,
    FirstChoice,
    FixedBudget,
    FixedQuarantine,
    HostClaims,
    OpenLimits,
    SlotAdmission,
)

BACKEND = "bench-backend"
CLASS = "bench"
CLOCK = SystemClock()


def make_snapshot(host: str, peer_address: str) -> Snapshot:
    """Return a snapshot with one route to one backend server."""
    destination = Destination(BACKEND, host, "dc", "region", peer_address, 1, 9, False)
    route = Route(CLASS, "bench", 10.0, True, Priority.NORMAL, (), (destination,))
    return Snapshot(1, "", MappingProxyType({CLASS: route}), MappingProxyType({}))


async def serve(arguments: argparse.Namespace) -> None:
    """Serve until cancelled; print the addresses as a JSON line."""
    hello = Hello("bench", PROTOCOL_VERSION, arguments.host, 1, 0.0)
    links = CallLinkPool(hello=hello, clock=CLOCK)
    await links.start()
    backends = {}
    if arguments.backend:
        client = BackendClient(arguments.backend, connections=120, clock=CLOCK)
        backends[BACKEND] = client
    egress_host = arguments.host if backends else "egress"
    snapshot = make_snapshot(egress_host, arguments.peer)
    service = CallService(
        snapshot=lambda: snapshot,
        links=links,
        choice=FirstChoice(),
        retries=FixedBudget(0),
        admissions={name: SlotAdmission(CLOCK, slots=1000) for name in backends},
        backends=backends,
        claims=HostClaims(ClaimStore(), arguments.host),
        limits=OpenLimits(),
        quarantine=FixedQuarantine(),
        clock=CLOCK,
        host=arguments.host,
    )
    callers = CallerServer(
        address="127.0.0.1:0", handler=service.handle_caller, max_body_bytes=7_000_000
    )
    server = CallLinkServer(
        address="127.0.0.1:0", hello=hello, handler=service.handle_link, clock=CLOCK
    )
    await callers.start()
    await server.start()
    line = {"callers": callers.address, "peer": server.address}
    print(json.dumps(line), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the daemon."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", required=True)
    parser.add_argument("--backend", default="", help="ip:port of a backend server")
    parser.add_argument("--peer", default="", help="peer address of the egress")
    uvloop.install()
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
