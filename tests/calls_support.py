"""Values and fakes that the tests of the call path share."""

from __future__ import annotations

import asyncio
import itertools
from types import MappingProxyType

from almondrouter.coordination.calls import CallService
from almondrouter.coordination.claims import ClaimService
from almondrouter.coordination.limits import LimitService
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.calls import CallReply, CallRequest, Hello, Load
from almondrouter.protocol.codec import PROTOCOL_VERSION
from almondrouter.protocol.control import Claim
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.snapshot import Destination, Route, Snapshot
from almondrouter.state.targets import Priority
from almondrouter.transport.calls import BackendResponse, BackendSender, CallLinks

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


class FirstChoice:
    """Chooses the first destination left; checks that calls are balanced."""

    def __init__(self):
        self.open = 0
        self.outcomes = []

    def choose(self, destinations, *, now, excluded):
        return next((d for d in destinations if d.backend not in excluded), None)

    def started(self, destination):
        self.open += 1

    def finished(self, destination, *, outcome, load, elapsed):
        self.open -= 1
        self.outcomes.append((destination.backend, outcome))


class Budget:
    """Allows a fixed number of retries."""

    def __init__(self, left=10):
        self.left = left

    def record_call(self, name):
        pass

    def try_spend(self, name):
        self.left -= 1
        return self.left >= 0


class SlotAdmission:
    """Admits up to a number of calls; others wait until their deadline."""

    def __init__(self, clock, slots=2):
        self.clock = clock
        self.slots = slots
        self.in_use = 0
        self.failed = []
        self.waiters = []
        self.refusal = None

    async def acquire(self, *, priority, deadline):
        if self.refusal is not None:
            raise CallError(self.refusal, "refused")
        while self.in_use >= self.slots:
            waiter = asyncio.Future()
            self.waiters.append(waiter)
            await waiter
            if self.clock.monotonic() >= deadline:
                raise CallError(ErrorCode.DEADLINE_EXCEEDED, "too late")
        self.in_use += 1
        return object()

    def release(self, slot, *, failed):
        self.in_use -= 1
        self.failed.append(failed)
        self.wake()

    def wake(self):
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def load(self):
        return Load(self.slots, self.in_use, len(self.waiters), 0.01)


class StoreClaims:
    """Claims of all hosts, kept as the store keeps them."""

    def __init__(self):
        self.by_key = {}
        self.available = True
        self.answer_lost = False
        self.release_works = True
        self.held = None
        self.numbers = itertools.count()

    def for_host(self, host, incarnation=1):
        """Return the claim service of one host."""
        return HostClaims(self, host, incarnation)


class HostClaims(ClaimService):
    """The claim service of one host; it forgets its claims with its process."""

    def __init__(self, store, host, incarnation):
        self.store = store
        self.host = host
        self.incarnation = incarnation
        self.own = set()

    async def claim(self, key, *, deadline, replaces=None):
        if self.store.held is not None:
            await self.store.held.wait()
        if not self.store.available:
            raise AlmondError(ErrorCode.CLAIM_UNAVAILABLE, "the store is down")
        known = self.store.by_key.get(key)
        if known is None or known.claim_id == replaces:
            claim_id = f"claim-{next(self.store.numbers)}"
            known = Claim(key, claim_id, self.host, self.incarnation)
            self.store.by_key[key] = known
            self.own.add(claim_id)
            if self.store.answer_lost:
                message = "the answer of the store was lost"
                raise AlmondError(ErrorCode.CLAIM_UNAVAILABLE, message)
        return known

    def owns(self, claim):
        return claim.claim_id in self.own

    async def release(self, claim):
        if not self.store.release_works:
            raise AlmondError(ErrorCode.STORE_UNAVAILABLE, "the store is down")
        self.own.discard(claim.claim_id)
        if self.store.by_key.get(claim.key) == claim:
            del self.store.by_key[claim.key]


class OpenLimits(LimitService):
    """Admits calls unless told to refuse them."""

    refusal = None

    def admit(self, limit_names):
        if self.refusal is not None:
            raise AlmondError(self.refusal, "refused")


class FakeQuarantine:
    """Condemns and suspects the fingerprints that it is told."""

    def __init__(self):
        self.condemned = False
        self.suspect = False
        self.ended = []
        self.open = 0

    def check(self, fingerprint):
        if self.condemned:
            raise AlmondError(ErrorCode.CONDEMNED, "condemned")

    def is_suspect(self, fingerprint):
        return self.suspect

    def begin(self, backend, fingerprint):
        self.open += 1

    def end(self, backend, fingerprint, *, completed):
        self.open -= 1
        self.ended.append(completed)


class FakeBackend(BackendSender):
    """Records its runs; each run waits until it is told how to end."""

    def __init__(self):
        self.runs = []
        self.endings = {}
        self.ending = None

    async def send(self, method, target, headers, body, *, deadline):
        ending = self.ending
        if isinstance(ending, CallError) and ending.outcome is Outcome.NOT_RUN:
            raise ending
        self.runs.append((body, dict(headers)))
        if ending == "hold":
            ending = await self.endings.setdefault(body, asyncio.Future())
        if isinstance(ending, Exception):
            raise ending
        return BackendResponse(200, (("x", "y"),), b"answer " + body)


class Fleet(CallLinks):
    """Call services of several hosts with direct links between them."""

    def __init__(self, clock, hosts, **options):
        self.clock = clock
        self.claims = StoreClaims()
        self.choice = FirstChoice()
        self.budget = Budget()
        self.limits = OpenLimits()
        self.cut = set()
        self.admissions = {}
        self.backends = {}
        self.quarantines = {}
        self.services = {}
        self.incarnations = dict.fromkeys(hosts, 1)
        self.options = options
        for host in hosts:
            self.start(host)

    def start(self, host):
        """Start the daemon of a host without any memory."""
        self.backends.setdefault(host, FakeBackend())
        self.admissions[host] = SlotAdmission(self.clock)
        self.quarantines[host] = FakeQuarantine()
        self.services[host] = CallService(
            snapshot=self.make_snapshot,
            links=self,
            choice=self.choice,
            retries=self.budget,
            admissions={f"b-{host}": self.admissions[host]},
            backends={f"b-{host}": self.backends[host]},
            claims=self.claims.for_host(host, self.incarnations[host]),
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
