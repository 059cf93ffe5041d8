"""Call services of several hosts in one process, connected by in-memory links."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
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
from almondrouter_standins.call_dependencies import (
    ClaimStore,
    FirstDestinationPolicy,
    FixedRetryBudget,
    HostClaimService,
    RecordingBackend,
    ScriptedCrashGuard,
    SlotAdmission,
    UnlimitedRates,
)

ANSWER_WITHIN_S = 10.0
REPLY_GRACE_S = 0.1
"""Time that a call waits for its reply beyond the deadline, as on real call links."""

ReplyFuture = asyncio.Future[CallReply]


def make_snapshot(*destinations: Destination) -> Snapshot:
    """Return a snapshot with the classes ``read`` (repeatable) and ``write``."""
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
    """An event loop on the time of a manual clock, which only the test advances."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._manual_clock = clock

    def time(self) -> float:
        """Return the time of the manual clock."""
        return self._manual_clock.monotonic()


class Fleet(CallLinks):
    """One daemon and one backend server per host, connected by reliable links.

    Parameters
    ----------
    clock
        Clock shared by all hosts.
    hosts
        Host names; calls try the destinations in this order.

    Attributes
    ----------
    unreachable
        Hosts to which every call fails without being sent.
    """

    def __init__(self, clock: Clock, hosts: Iterable[str]) -> None:
        self.clock = clock
        self.claims = ClaimStore()
        self.balancer = FirstDestinationPolicy()
        self.budget = FixedRetryBudget()
        self.limits = UnlimitedRates()
        self.unreachable: set[str] = set()
        self.admissions: dict[str, SlotAdmission] = {}
        self.backends: dict[str, RecordingBackend] = {}
        self.quarantines: dict[str, ScriptedCrashGuard] = {}
        self.services: dict[str, CallService] = {}
        self.incarnations = dict.fromkeys(hosts, 1)
        for host in self.incarnations:
            self.start(host)

    def start(self, host: str) -> None:
        """Start the daemon of a host with empty state."""
        self.backends.setdefault(host, RecordingBackend())
        self.admissions[host] = SlotAdmission(self.clock)
        self.quarantines[host] = ScriptedCrashGuard()
        self.services[host] = CallService(
            snapshot=self.make_snapshot,
            links=self,
            balancer=self.balancer,
            retries=self.budget,
            admissions={f"b-{host}": self.admissions[host]},
            backends={f"b-{host}": self.backends[host]},
            claims=HostClaimService(self.claims, host, self.incarnations[host]),
            limits=self.limits,
            quarantine=self.quarantines[host],
            clock=self.clock,
            host=host,
        )

    def make_snapshot(self) -> Snapshot:
        """Return a snapshot with one destination per host."""
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
        self,
        peer_address: str,
        request: CallRequest | ClaimQuery,
        *,
        abandon_silent: Callable[[], bool] = lambda: True,
    ) -> CallReply:
        host = peer_address.partition(":")[0]
        if host in self.unreachable:
            raise CallError(ErrorCode.PEER_UNAVAILABLE, "no link to the host")
        return await self.services[host].handle_link(request)


class UnreliableFleet(Fleet):
    """A fleet with faults: broken links, frozen hosts and crashing daemons.

    Attributes
    ----------
    frozen
        Calls held back for each frozen host, in the order they were sent.
    """

    def __init__(self, clock: Clock, hosts: Iterable[str]) -> None:
        super().__init__(clock, hosts)
        self.frozen: dict[str, list[tuple[CallRequest | ClaimQuery, ReplyFuture]]] = {}
        self._in_flight: list[tuple[str, ReplyFuture]] = []
        self._tasks: dict[str, set[asyncio.Task]] = {
            host: set() for host in self.incarnations
        }

    async def call(  # noqa: D102
        self,
        peer_address: str,
        request: CallRequest | ClaimQuery,
        *,
        abandon_silent: Callable[[], bool] = lambda: True,
    ) -> CallReply:
        host = peer_address.partition(":")[0]
        reply = asyncio.get_running_loop().create_future()
        call_entry = (host, reply)
        self._in_flight.append(call_entry)
        if host in self.frozen:
            self.frozen[host].append((request, reply))
        else:
            self.deliver(host, request, reply)
        try:
            remaining = request.deadline + REPLY_GRACE_S - self.clock.monotonic()
            async with asyncio.timeout(remaining):
                return await asyncio.shield(reply)
        except (ConnectionError, TimeoutError) as error:
            code = ErrorCode.PEER_TIMEOUT
            raise CallError(code, "no reply", outcome=Outcome.UNKNOWN) from error
        finally:
            self._in_flight.remove(call_entry)

    def deliver(
        self, host: str, request: CallRequest | ClaimQuery, reply: ReplyFuture
    ) -> None:
        """Let a host's daemon serve a call; complete `reply` with the result.

        A request without an idempotency key is cancelled once its reply is done.
        """
        task = self.spawn(host, self.services[host].handle_link(request))
        task.add_done_callback(lambda done: _complete_reply(done, reply))
        if not request.key:
            reply.add_done_callback(lambda _: task.done() or task.cancel())

    def resume(self, host: str) -> None:
        """Deliver the calls held back for a frozen host."""
        for request, reply in self.frozen.pop(host, []):
            self.deliver(host, request, reply)

    def spawn(self, host: str, coroutine: Coroutine) -> asyncio.Task:
        """Start a task that is cancelled when the daemon of the host crashes."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks[host].add(task)
        task.add_done_callback(self._tasks[host].discard)
        return task

    def cut_links(self, host: str) -> None:
        """Break the links to a host; all calls in flight to it fail."""
        for destination_host, reply in tuple(self._in_flight):
            if destination_host == host:
                _fail_reply(reply)

    def crash(self, host: str) -> None:
        """Kill the daemon of a host and start a new one with empty state."""
        self.frozen.pop(host, None)
        for task in tuple(self._tasks[host]):
            task.cancel()
        self.services[host].cancel_runs()
        self.cut_links(host)
        self.incarnations[host] += 1
        self.start(host)


def _complete_reply(task: asyncio.Task[CallReply], reply: ReplyFuture) -> None:
    if task.cancelled() or task.exception():
        _fail_reply(reply)
    elif not reply.done():
        reply.set_result(task.result())


def _fail_reply(reply: ReplyFuture) -> None:
    if not reply.done():
        reply.set_exception(ConnectionResetError("link lost"))
        reply.exception()
