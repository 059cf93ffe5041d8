"""Call services of several hosts in one process, with links that fail."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterable
from types import MappingProxyType

from almondrouter.clock import Clock, ManualClock
from almondrouter.coordination.calls import CallService
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import CallReply, CallRequest, ClaimQuery
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

ANSWER_WITHIN_S = 10.0
REPLY_GRACE_S = 0.1

Reply = asyncio.Future[CallReply]


def make_snapshot(*destinations: Destination) -> Snapshot:
    """Return a snapshot; class ``read`` may be repeated, ``write`` may not."""
    routes = {
        name: Route(
            class_name=name,
            service="service",
            answer_within=ANSWER_WITHIN_S,
            repeatable=name == "read",
            priority=Priority.NORMAL,
            limit_names=(),
            destinations=destinations,
        )
        for name in ("read", "write")
    }
    return Snapshot(7, "", MappingProxyType(routes), MappingProxyType({}))


class ManualLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers follow a manual clock."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._manual_clock = clock

    def time(self) -> float:
        """Return the time of the manual clock."""
        return self._manual_clock.monotonic()


class Fleet(CallLinks):
    """One daemon and one backend server on each host, and links that hold.

    Parameters
    ----------
    clock
        Clock of all hosts.
    hosts
        Their names; destinations are tried in the order of `incarnations`.
    """

    def __init__(self, clock: Clock, hosts: Iterable[str]) -> None:
        self.clock = clock
        self.claims = ClaimStore()
        self.balancer = FirstChoice()
        self.budget = FixedBudget()
        self.limits = OpenLimits()
        self.cut: set[str] = set()
        self.admissions: dict[str, SlotAdmission] = {}
        self.backends: dict[str, RecordingBackend] = {}
        self.quarantines: dict[str, FixedQuarantine] = {}
        self.services: dict[str, CallService] = {}
        self.incarnations = dict.fromkeys(hosts, 1)
        for host in self.incarnations:
            self.start(host)

    def start(self, host: str) -> None:
        """Start the daemon of a host without any memory."""
        self.backends.setdefault(host, RecordingBackend())
        self.admissions[host] = SlotAdmission(self.clock)
        self.quarantines[host] = FixedQuarantine()
        self.services[host] = CallService(
            snapshot=self.make_snapshot,
            links=self,
            balancer=self.balancer,
            retries=self.budget,
            admissions={f"b-{host}": self.admissions[host]},
            backends={f"b-{host}": self.backends[host]},
            claims=HostClaims(self.claims, host, self.incarnations[host]),
            limits=self.limits,
            quarantine=self.quarantines[host],
            clock=self.clock,
            host=host,
        )

    def make_snapshot(self) -> Snapshot:
        """Return a snapshot of all hosts."""
        return make_snapshot(
            *(
                Destination(
                    backend=f"b-{host}",
                    host=host,
                    data_centre="dc",
                    region="region",
                    peer_address=f"{host}:1",
                    incarnation=incarnation,
                    slots=2,
                    suspect=False,
                )
                for host, incarnation in self.incarnations.items()
            )
        )

    async def call(  # noqa: D102
        self, peer_address: str, request: CallRequest | ClaimQuery
    ) -> CallReply:
        host = peer_address.partition(":")[0]
        if host in self.cut:
            raise CallError(ErrorCode.PEER_UNAVAILABLE, "no link")
        return await self.services[host].handle_link(request)


class UnreliableFleet(Fleet):
    """A fleet whose links are cut or freeze, and whose daemons crash.

    Parameters
    ----------
    frozen
        Frozen hosts with the calls that were sent to them since.
    """

    def __init__(self, clock: Clock, hosts: Iterable[str]) -> None:
        super().__init__(clock, hosts)
        self.frozen: dict[str, list[tuple[CallRequest | ClaimQuery, Reply]]] = {}
        self._in_flight: list[tuple[str, Reply]] = []
        self._tasks: dict[str, set[asyncio.Task]] = {
            host: set() for host in self.incarnations
        }

    async def call(  # noqa: D102
        self, peer_address: str, request: CallRequest | ClaimQuery
    ) -> CallReply:
        host = peer_address.partition(":")[0]
        reply = asyncio.get_running_loop().create_future()
        flight = (host, reply)
        self._in_flight.append(flight)
        if host in self.frozen:
            self.frozen[host].append((request, reply))
        else:
            self.deliver(host, request, reply)
        try:
            left = request.deadline + REPLY_GRACE_S - self.clock.monotonic()
            async with asyncio.timeout(left):
                return await asyncio.shield(reply)
        except (ConnectionError, TimeoutError) as error:
            code = ErrorCode.PEER_TIMEOUT
            raise CallError(code, "lost", outcome=Outcome.UNKNOWN) from error
        finally:
            self._in_flight.remove(flight)

    def deliver(
        self, host: str, request: CallRequest | ClaimQuery, reply: Reply
    ) -> None:
        """Have a daemon serve a call, however late."""
        task = self.spawn(host, self.services[host].handle_link(request))
        task.add_done_callback(lambda done: _answer(done, reply))
        if not request.key:
            reply.add_done_callback(lambda _: task.done() or task.cancel())

    def thaw(self, host: str) -> None:
        """Deliver what was held back."""
        for request, reply in self.frozen.pop(host, []):
            self.deliver(host, request, reply)

    def spawn(self, host: str, coroutine: Coroutine) -> asyncio.Task:
        """Run a coroutine that ends with the daemon of a host."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks[host].add(task)
        task.add_done_callback(self._tasks[host].discard)
        return task

    def cut_links(self, host: str) -> None:
        """Lose the links to a host with the calls in them."""
        for called, reply in tuple(self._in_flight):
            if called == host:
                _lose(reply)

    def crash(self, host: str) -> None:
        """End the daemon of a host with all its memory, and start another."""
        self.frozen.pop(host, None)
        for task in tuple(self._tasks[host]):
            task.cancel()
        self.services[host].cancel_runs()
        self.cut_links(host)
        self.incarnations[host] += 1
        self.start(host)


def _answer(task: asyncio.Task[CallReply], reply: Reply) -> None:
    if task.cancelled() or task.exception():
        _lose(reply)
    elif not reply.done():
        reply.set_result(task.result())


def _lose(reply: Reply) -> None:
    if not reply.done():
        reply.set_exception(ConnectionResetError("lost"))
        reply.exception()
