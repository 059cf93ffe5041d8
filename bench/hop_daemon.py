"""A daemon reduced to the call path, for `bench/hop.py`."""

from __future__ import annotations

import argparse
import asyncio
import json
from types import MappingProxyType
from typing import Any

import uvloop

from almondrouter.clock import SystemClock
from almondrouter.coordination.calls import CallService
from almondrouter.coordination.claims import ClaimService
from almondrouter.coordination.limits import LimitService
from almondrouter.protocol.calls import Hello, Load
from almondrouter.protocol.codec import PROTOCOL_VERSION
from almondrouter.protocol.control import Claim
from almondrouter.state.snapshot import Destination, Route, Snapshot
from almondrouter.state.targets import Priority
from almondrouter.transport.backends import BackendClient
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.links import CallLinkPool, CallLinkServer

BACKEND = "bench-backend"
CLASS = "bench"
CLOCK = SystemClock()


class FirstDestination:
    """Chooses the first destination that is not excluded."""

    def choose(
        self, destinations: tuple[Destination, ...], *, now: float, excluded: set[str]
    ) -> Destination | None:
        """Return the first destination left."""
        return next((d for d in destinations if d.backend not in excluded), None)

    def started(self, destination: Destination) -> None:
        """Take no note."""

    def finished(self, destination: Destination, **result: Any) -> None:
        """Take no note."""


class OpenAdmission:
    """Admits every call at once."""

    async def acquire(self, *, priority: Priority, deadline: float) -> int:
        """Return a slot."""
        return 0

    def release(self, slot: int, *, failed: bool) -> None:
        """Take no note."""

    def load(self) -> Load:
        """Return a constant load."""
        return Load(9, 0, 0, 0.001)


class NoRetries:
    """Allows no retries."""

    def record_call(self, name: str) -> None:
        """Take no note."""

    def try_spend(self, name: str) -> bool:
        """Return False."""
        return False


class NoSuspects:
    """Suspects no request."""

    def check(self, fingerprint: str) -> None:
        """Allow the request."""

    def is_suspect(self, fingerprint: str) -> bool:
        """Return False."""
        return False

    def begin(self, backend: str, fingerprint: str) -> None:
        """Take no note."""

    def end(self, backend: str, fingerprint: str, *, completed: bool) -> None:
        """Take no note."""


class NoLimits(LimitService):
    """Admits every call."""

    def admit(self, limit_names: tuple[str, ...]) -> None:
        """Admit the call."""


class NoClaims(ClaimService):
    """Is not used, as the bench's class may be repeated."""

    async def claim(self, key: str, **options: Any) -> Claim:
        """Fail."""
        raise NotImplementedError

    def owns(self, claim: Claim) -> bool:
        """Return False."""
        return False

    async def release(self, claim: Claim) -> None:
        """Fail."""
        raise NotImplementedError


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
        choice=FirstDestination(),
        retries=NoRetries(),
        admissions={name: OpenAdmission() for name in backends},
        backends=backends,
        claims=NoClaims(),
        limits=NoLimits(),
        quarantine=NoSuspects(),
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
