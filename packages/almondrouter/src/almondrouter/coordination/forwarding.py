"""Requests as callers send them: route, placement, repeats and answers."""

from __future__ import annotations

import random as random_module
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from almondrouter.clock import Clock
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.repeats import RepeatBudget
from almondrouter.coordination.routing import ChoicePolicy, Demand
from almondrouter.coordination.weights import WeightedTurns
from almondrouter.errors import ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.protocol import headers as names
from almondrouter.protocol.calls import BodyOffer, CallReply, CallRequest
from almondrouter.protocol.dialect import Dialect, RequestInfo
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError, choose_status, make_reply
from almondrouter.state.routes import RouteTable, RouteTarget
from almondrouter.state.snapshot import Destination
from almondrouter.transport.calls import CallerRequest, CallerResponse, CallLinks

MAX_REFUSALS = 3
"""Choices that may refuse a request before its caller is told to come back."""
MAX_MISSES = 8
"""Choices that may turn out to have no backend server or no link."""
MAX_CORRECTIONS = 2
"""Choices that may turn out busier than expected before a request waits anywhere."""
MIN_REPEAT_TIME_SHARE = 0.3
"""Share of the target latency that must be left for a repeat to be of use."""
MIN_RETURN_SHARE = 0.15
"""Least part of the target latency after which a refused caller returns."""
MAX_RETURN_SHARE = 0.45
"""Largest part of it; the spread keeps refused callers from returning at once."""
MAX_UNOFFERED_BYTES = 16_384
"""Longest body that is sent without an offer; it passes a narrow link in some
hundredths of a second."""
RETRY_AFTER = "retry-after"

_FURTHER_CODES = frozenset(
    code.value
    for code in (
        ErrorCode.OVERLOADED,
        ErrorCode.BACKEND_REFUSED,
    )
)
_MISS_CODES = frozenset(
    code.value
    for code in (
        ErrorCode.NO_BACKEND,
        ErrorCode.STOPPING,
        ErrorCode.PEER_UNAVAILABLE,
    )
)
_log = EventLogger("forwarding")

RunHere = Callable[[CallRequest], Awaitable[CallReply]]


@dataclass(slots=True)
class _Attempt:
    """A caller's request on its way.

    Parameters
    ----------
    call
        What is sent, but for the backend server's name.
    sent
        Backend servers that the request may have reached.
    refusals, misses
        Choices that refused it, and that could not have served it.
    corrections
        Choices that were busier than expected.
    """

    info: RequestInfo
    route: RouteTarget
    service: str
    call: CallRequest
    arrived_at: float
    sent: int = 0
    refusals: int = 0
    misses: int = 0
    corrections: int = 0


class Forwarder:
    """Forwards each request of a caller to a backend server.

    Parameters
    ----------
    table
        Returns the routes in force, or None before the first configuration.
    directory, choice, turns, repeats
        Known hosts, and the decisions about each request.
    links
        Links to the daemons of other hosts.
    run_here
        Runs a call on the backend server of this host.
    is_running
        Returns whether that backend server runs the request with an id now.
    dialect
        Reads and writes headers.
    clock, random
        Time, and the spread of returning callers.
    host, own_service
        Name and service of this host.
    version_seen
        Called with a later configuration version and who knows it.
    finished
        Called with route, outcome, code and seconds of each request.
    """

    def __init__(
        self,
        *,
        table: Callable[[], RouteTable | None],
        directory: HostDirectory,
        choice: ChoicePolicy,
        turns: WeightedTurns,
        repeats: RepeatBudget,
        links: CallLinks,
        run_here: RunHere,
        is_running: Callable[[str], bool],
        dialect: Dialect,
        clock: Clock,
        random: random_module.Random,
        host: str,
        own_service: str,
        version_seen: Callable[[int, str], None],
        finished: Callable[[str, Outcome, str, float], None],
    ) -> None:
        self._table = table
        self._directory = directory
        self._choice = choice
        self._turns = turns
        self._repeats = repeats
        self._links = links
        self._run_here = run_here
        self._dialect = dialect
        self._clock = clock
        self._random = random
        self._host = host
        self._own_service = own_service
        self._is_running = is_running
        self._version_seen = version_seen
        self._finished = finished

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Serve a caller's request and return its response."""
        # Callers count their time from the sending, not from the end of a long body.
        arrived_at = request.began_at
        if arrived_at is None:
            arrived_at = self._clock.monotonic()
        info = self._dialect.read_request(request.headers)
        table = self._table()
        if table is None:
            return self._reject(info, ErrorCode.NOT_READY, 0, retry_after=0.3)
        route = table.find(info.virtual_host, request.target.partition("?")[0])
        if route is None:
            return self._reject(info, ErrorCode.CLASS_UNKNOWN, table.version)
        attempt = self._read(request, info, route, table.version, arrived_at)
        reply = await self._place(attempt)
        self._record(attempt, reply)
        return self._make_response(attempt, reply)

    def _read(
        self,
        request: CallerRequest,
        info: RequestInfo,
        route: RouteTarget,
        version: int,
        now: float,
    ) -> _Attempt:
        time_left = route.answer_within
        if info.time_left is not None:
            time_left = min(time_left, info.time_left)
        nested = self._is_running(info.parent_id)
        # A late answer still saves the request that waits for a nested call.
        useful_for = time_left if nested else min(time_left, route.target_latency)
        call = CallRequest(
            call_id=0,
            class_name=route.name,
            backend="",
            method=request.method,
            target=request.target,
            headers=info.headers,
            body=request.body,
            deadline=now + time_left,
            key="",
            traceparent="",
            version=version,
            rank=route.priority,
            repeatable=route.repeatable,
            useful_until=now + useful_for,
            nested=nested,
            caller_service=self._own_service,
            attempt_id=info.attempt_id,
        )
        service = self._turns.choose(route)
        if not nested:
            self._repeats.record_request(service)
        return _Attempt(info, route, service, call, now)

    async def _place(self, attempt: _Attempt) -> CallReply:
        """Try backend servers until one has answered or may have run the request.

        Notes
        -----
        Once a sending may have run, a later refusal does not mean that the
        request was not run.
        """
        excluded: set[str] = set()
        answer: CallReply | None = None
        refusal: CallReply | None = None
        while destination := self._choose(attempt, excluded):
            reply = await self._send(destination, attempt)
            if reply.code == ErrorCode.BUSIER_THAN_EXPECTED.value:
                # Its load is known now; the next choice may be the same one.
                attempt.corrections += 1
                continue
            excluded.add(destination.backend)
            if reply.outcome is Outcome.NOT_RUN:
                refusal = reply
                if not self._may_choose_again(attempt, reply):
                    break
                continue
            attempt.sent += 1
            if reply.outcome is Outcome.COMPLETE and not is_failure(reply):
                return reply
            answer = reply if answer is None or is_failure(reply) else answer
            if not self._may_repeat(attempt):
                break
        return answer or refusal or make_reply(ErrorCode.NO_BACKEND)

    def _choose(self, attempt: _Attempt, excluded: set[str]) -> Destination | None:
        now = self._clock.monotonic()
        if now >= attempt.call.deadline:
            return None
        return self._choice.choose(
            self._directory.find_destinations(attempt.service),
            now=now,
            excluded=excluded,
            demand=make_demand(attempt, now),
        )

    def _find_max_wait(self, destination: Destination, attempt: _Attempt) -> float:
        if attempt.corrections >= MAX_CORRECTIONS:
            return -1.0
        now = self._clock.monotonic()
        demand = make_demand(attempt, now)
        wait = self._choice.find_max_wait(destination, now=now, demand=demand)
        return -1.0 if wait is None else wait

    def _may_choose_again(self, attempt: _Attempt, reply: CallReply) -> bool:
        if reply.code in _MISS_CODES:
            attempt.misses += 1
            return attempt.misses < MAX_MISSES
        attempt.refusals += 1
        if reply.code not in _FURTHER_CODES or attempt.refusals >= MAX_REFUSALS:
            return False
        if reply.code == ErrorCode.BACKEND_REFUSED.value:
            # The backend server itself refused, so the next sending is a repeat.
            attempt.sent += 1
            if attempt.sent >= attempt.route.max_attempts:
                return False
            return self._repeats.try_spend(attempt.service)
        return True

    def _may_repeat(self, attempt: _Attempt) -> bool:
        route = attempt.route
        if not route.repeatable or attempt.sent >= route.max_attempts:
            return False
        needed = route.target_latency * MIN_REPEAT_TIME_SHARE
        if self._clock.monotonic() + needed > attempt.call.deadline:
            return False
        return self._repeats.try_spend(attempt.service)

    async def _send(self, destination: Destination, attempt: _Attempt) -> CallReply:
        call = msgspec.structs.replace(
            attempt.call,
            backend=destination.backend,
            max_wait=self._find_max_wait(destination, attempt),
        )
        started = self._clock.monotonic()
        outcome: Outcome | None = None
        reply = make_reply(ErrorCode.CALL_CANCELLED)
        self._choice.started(destination)
        try:
            if destination.host == self._host:
                reply = await self._run_here(call)
            else:
                reply = await self._send_over_link(destination, call)
            outcome = reply.outcome
        except CallError as error:
            outcome = error.outcome
            reply = make_reply(error.code, outcome)
        finally:
            now = self._clock.monotonic()
            self._choice.finished(
                destination,
                outcome=outcome,
                load=reply.load,
                elapsed=now - started,
                failed=is_failure(reply)
                or reply.code == ErrorCode.BACKEND_REFUSED.value,
            )
        if reply.version > call.version:
            self._version_seen(reply.version, destination.peer_address)
        corrected = reply.code == ErrorCode.BUSIER_THAN_EXPECTED.value
        answered = reply.outcome is Outcome.COMPLETE and not is_failure(reply)
        if not corrected and not answered:
            _log.request(
                "sending failed",
                request=attempt.info.attempt_id,
                route=attempt.route.name,
                peer=destination.host,
                backend=destination.backend,
                outcome=reply.outcome.value,
                status=reply.status,
                code=reply.code,
                after=round(now - attempt.arrived_at, 4),
                version=call.version,
            )
        return reply

    async def _send_over_link(
        self, destination: Destination, call: CallRequest
    ) -> CallReply:
        """Send a call; offer a long body first, which may be refused unsent."""
        address = destination.peer_address
        if len(call.body) > MAX_UNOFFERED_BYTES:
            try:
                answer = await self._links.call(address, make_offer(call))
            except CallError as error:
                # Only the offer was lost; the request itself was not sent.
                raise CallError(ErrorCode.PEER_UNAVAILABLE, error.message) from error
            if answer.outcome is not Outcome.COMPLETE:
                return msgspec.structs.replace(answer, outcome=Outcome.NOT_RUN)
            # A body that has moved is not sent back for a shorter queue elsewhere.
            call = msgspec.structs.replace(call, max_wait=-1.0)
        return await self._links.call(address, call)

    def _record(self, attempt: _Attempt, reply: CallReply) -> None:
        elapsed = self._clock.monotonic() - attempt.arrived_at
        self._finished(attempt.route.name, reply.outcome, reply.code, elapsed)
        if reply.outcome is Outcome.COMPLETE and not is_failure(reply):
            return
        _log.request(
            "request failed",
            request=attempt.info.attempt_id,
            route=attempt.route.name,
            service=attempt.service,
            outcome=reply.outcome.value,
            status=reply.status,
            code=reply.code,
            nested=attempt.call.nested,
            sent=attempt.sent,
            refusals=attempt.refusals,
            misses=attempt.misses,
            corrections=attempt.corrections,
            known=len(self._directory.find_destinations(attempt.service)),
            after=round(elapsed, 4),
            version=attempt.call.version,
        )

    def _make_response(self, attempt: _Attempt, reply: CallReply) -> CallerResponse:
        if reply.outcome is Outcome.COMPLETE:
            return CallerResponse(reply.status, reply.headers, reply.body, reply.framed)
        status = choose_status(reply.outcome, reply.code)
        headers: tuple[tuple[str, str], ...] = ((names.CODE, reply.code),)
        if reply.outcome is Outcome.NOT_RUN:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            aim = attempt.route.target_latency
            delay = self._random.uniform(MIN_RETURN_SHARE, MAX_RETURN_SHARE) * aim
            headers = (*headers, (RETRY_AFTER, f"{delay:.3f}"))
        return CallerResponse(status, headers, b"")

    def _reject(
        self,
        info: RequestInfo,
        code: ErrorCode,
        version: int,
        *,
        retry_after: float = 0.0,
    ) -> CallerResponse:
        self._finished("", Outcome.NOT_RUN, code.value, 0.0)
        _log.request(
            "request rejected",
            request=info.attempt_id,
            virtual_host=info.virtual_host,
            code=code.value,
            version=version,
        )
        headers: tuple[tuple[str, str], ...] = ((names.CODE, code.value),)
        if retry_after:
            headers = (*headers, (RETRY_AFTER, f"{retry_after:.3f}"))
        return CallerResponse(choose_status(Outcome.NOT_RUN, code), headers, b"")


def make_demand(attempt: _Attempt, now: float) -> Demand:
    """Return what an attempt asks of its destination now."""
    call = attempt.call
    return Demand(
        len(call.body),
        call.nested,
        attempt.route.target_latency,
        attempt.route.priority,
        call.useful_until - now,
    )


def make_offer(call: CallRequest) -> BodyOffer:
    """Return the offer of a call's body."""
    return BodyOffer(
        call_id=0,
        class_name=call.class_name,
        backend=call.backend,
        rank=call.rank,
        size=len(call.body),
        deadline=call.deadline,
        useful_until=call.useful_until,
    )


def is_failure(reply: CallReply) -> bool:
    """Return whether a backend server answered that it failed."""
    return (
        reply.outcome is Outcome.COMPLETE
        and reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    )
