"""A daemon without its control plane, for tests and `bench/hop.py`."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json

import uvloop

from almondrouter.clock import SystemClock
from almondrouter.coordination.calls import CallService
from almondrouter.protocol.calls import Hello
from almondrouter.protocol.codec import PROTOCOL_VERSION
from almondrouter.state.snapshot import Destination, Snapshot
from almondrouter.transport.backends import BackendClient
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.links import CallLinkPool, CallLinkServer
from almondrouter_standins.call_dependencies import (
    ClaimStore,
    FirstDestinationPolicy,
    FixedRetryBudget,
    HostClaimService,
    ScriptedCrashGuard,
    SlotAdmission,
    UnlimitedRates,
)
from almondrouter_standins.call_fleet import make_snapshot

BACKEND = "backend"
CONNECTIONS = 120
SLOTS = 1000
MAX_BODY_BYTES = 7_000_000


class CallDaemon:
    """Caller server, call links and call service of one host.

    Its snapshot is fixed: all calls go to a single backend server.

    Parameters
    ----------
    host
        Name of the host.
    backend
        ``ip:port`` of the backend server on this host; empty if it has none.
    egress
        Host and peer address of the daemon that calls are forwarded to; both are
        empty if this daemon has the backend server.
    claims
        Claim store shared with other daemons; a new one if not given.
    """

    def __init__(
        self,
        *,
        host: str,
        backend: str = "",
        egress: tuple[str, str] = ("", ""),
        claims: ClaimStore | None = None,
    ) -> None:
        clock = SystemClock()
        hello = Hello("standin", PROTOCOL_VERSION, host, 1, 0.0)
        self._snapshot = _make_snapshot(egress[0] or host, egress[1])
        self.links = CallLinkPool(hello=hello, clock=clock)
        self.backends: dict[str, BackendClient] = {}
        if backend:
            client = BackendClient(backend, connections=CONNECTIONS, clock=clock)
            self.backends[BACKEND] = client
        self.service = CallService(
            snapshot=lambda: self._snapshot,
            links=self.links,
            balancer=FirstDestinationPolicy(),
            retries=FixedRetryBudget(0),
            admissions={
                name: SlotAdmission(clock, slots=SLOTS) for name in self.backends
            },
            backends=self.backends,
            claims=HostClaimService(claims or ClaimStore(), host),
            limits=UnlimitedRates(),
            quarantine=ScriptedCrashGuard(),
            clock=clock,
            host=host,
        )
        self.callers = CallerServer(
            address="127.0.0.1:0",
            handler=self.service.handle_caller,
            max_body_bytes=MAX_BODY_BYTES,
        )
        self.peers = CallLinkServer(
            address="127.0.0.1:0",
            hello=hello,
            handler=self.service.handle_link,
            clock=clock,
        )

    async def start(self) -> None:
        """Start listening for callers and peers."""
        await self.links.start()
        await self.callers.start()
        await self.peers.start()

    async def drain(self) -> None:
        """Refuse new calls and wait for those in flight."""
        await asyncio.gather(self.callers.drain(), self.peers.drain())

    async def close(self) -> None:
        """Close all servers, links and backend connections without draining."""
        await self.callers.close()
        await self.peers.close()
        await self.links.close()
        for client in self.backends.values():
            await client.close()


def _make_snapshot(host: str, peer_address: str) -> Snapshot:
    destination = Destination(
        backend=BACKEND,
        host=host,
        data_centre="dc",
        region="region",
        peer_address=peer_address,
        incarnation=1,
        slots=SLOTS,
        suspect=False,
    )
    return make_snapshot(destination)


async def serve(arguments: argparse.Namespace) -> None:
    """Serve until cancelled; print the bound addresses as a JSON line."""
    daemon = CallDaemon(
        host=arguments.host,
        backend=arguments.backend,
        egress=("egress", arguments.peer) if arguments.peer else ("", ""),
    )
    await daemon.start()
    line = {"callers": daemon.callers.address, "peer": daemon.peers.address}
    print(json.dumps(line), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the daemon as a command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", required=True)
    parser.add_argument("--backend", default="", help="ip:port of a backend server")
    parser.add_argument("--peer", default="", help="peer ip:port of host 'egress'")
    arguments = parser.parse_args()
    uvloop.install()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(arguments))


if __name__ == "__main__":
    main()
