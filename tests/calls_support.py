"""Values and fakes that the tests of the call path share."""

from __future__ import annotations

import asyncio
from types import MappingProxyType

from almondrouter.coordination.calls import CallService
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import CallReply, CallRequest, Hello
from almondrouter.protocol.codec import PROTOCOL_VERSION
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.snapshot import Destination, Route, Snapshot
from almondrouter.state.targets import Priority
from almondrouter.transport.calls import CallLinks
from almondrouter_standins.collaborators import (
    ClaimStore,
    FirstChoice,
    FixedBudget,
    FixedQuarantine,
    HostClaims,
    OpenLimits,
    RecordingBackend,
    SlotAdmission,
)

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


def make_snapshot(*destinations):
    """Return a snapshot; class ``read`` may be repeated, ``write`` may not."""
    normal = Priority.NORMAL
    routes = {
        "read": Route("read", "service", 10.0, True, normal, (), destinations),
        "write": Route("write", "service", 10.0, False, normal, (), destinations),
    }
    return Snapshot(7, "", MappingProxyType(routes), MappingProxyType({}))


async def wait_until(condition):
    """Wait for a condition that other tasks bring about."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)


class Fleet(CallLinks):
    """Call services of several hosts with direct links between them."""

    def __init__(self, clock, hosts):
        self.clock = clock
        self.claims = ClaimStore()
        self.choice = FirstChoice()
        self.budget = FixedBudget()
        self.limits = OpenLimits()
        self.cut = set()
        self.admissions = {}
        self.backends = {}
        self.quarantines = {}
        self.services = {}
        self.incarnations = dict.fromkeys(hosts, 1)
        for host in hosts:
            self.start(host)

    def start(self, host):
        """Start the daemon of a host without any memory."""
        self.backends.setdefault(host, RecordingBackend())
        self.admissions[host] = SlotAdmission(self.clock)
        self.quarantines[host] = FixedQuarantine()
        self.services[host] = CallService(
            snapshot=self.make_snapshot,
            links=self,
            choice=self.choice,
            retries=self.budget,
            admissions={f"b-{host}": self.admissions[host]},
            backends={f"b-{host}": self.backends[host]},
            claims=HostClaims(self.claims, host, self.incarnations[host]),
            limits=self.limits,
            quarantine=self.quarantines[host],
            clock=self.clock,
            host=host,
        )

    def make_snapshot(self):
        """Return a snapshot of all hosts."""
        destinations = [
            make_destination(f"b-{host}", host=host, incarnation=incarnation)
            for host, incarnation in self.incarnations.items()
        ]
        return make_snapshot(*destinations)

    async def call(self, peer_address, request):
        host = peer_address.partition(":")[0]
        if host in self.cut:
            raise CallError(ErrorCode.PEER_UNAVAILABLE, "no link")
        return await self.services[host].handle_link(request)
