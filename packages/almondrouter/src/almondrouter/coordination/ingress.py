"""Calls as their callers send them, and the choice of where they run."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from http import HTTPStatus

import msgspec

from almondrouter.clock import Clock
from almondrouter.coordination.quarantine import RETRY_DELAY_SECONDS
from almondrouter.coordination.retries import RetryBudget
from almondrouter.coordination.routing import ChoicePolicy
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol import headers as names
from almondrouter.protocol.calls import CallReply, CallRequest, HeaderList
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.keys import check_idempotency_key
from almondrouter.protocol.outcomes import CallError, choose_status
from almondrouter.state.snapshot import Destination, Route, Snapshot
from almondrouter.tracing import Tracer
from almondrouter.transport.calls import CallerRequest, CallerResponse, CallLinks

MAX_FURTHER_CHOICES = 2
"""Choices after the first one when calls are refused as not run.

Shares of a rate limit follow demand with a delay, so another daemon may have
calls left.
"""
MAX_HEADER_VALUE = 256
"""Characters of the header values that the router reads."""

_FURTHER_CHOICE_CODES = frozenset(
    code.value
    for code in (
        ErrorCode.OVERLOADED,
        ErrorCode.LIMITED,
        ErrorCode.LIMIT_UNAVAILABLE,
        ErrorCode.NO_BACKEND,
        ErrorCode.BACKEND_REFUSED,
        ErrorCode.STOPPING,
        ErrorCode.NOT_READY,
        ErrorCode.PEER_UNAVAILABLE,
    )
)
_OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        names.SERVICE,
        names.CLASS,
        names.TIMEOUT_MS,
        names.ATTEMPT,
        names.IDEMPOTENCY_KEY,
        names.TRACEPARENT,
    )
)
_DROPPED_HEADERS = names.HOP_BY_HOP_HEADERS | _OWN_HEADERS
_DROPPED_HEADERS |= {
    "host",
    *(name.lower() for name in (names.DEADLINE_MS, names.OUTCOME)),
    *(name.lower() for name in (names.CODE, names.VERSION)),
}
_DIGITS = re.compile(r"[0-9]{1,18}")
_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")

Egress = Callable[[CallRequest], Awaitable[CallReply]]


@dataclass(frozen=True, slots=True)
class Call:
    """A call that was read from a caller's request.

    Parameters
    ----------
    request
        What is sent to the daemon beside the backend server, but for the
        backend server's name and the call id.
    attempt
        Number of the attempt of a caller above that retries the call itself; 0
        if there is none.
    """

    route: Route
    request: CallRequest
    attempt: int


class Ingress:
    """Reads calls and sends each to a daemon that can have it run.

    Parameters
    ----------
    snapshot
        Returns the snapshot in force.
    links, choice, retries
        Call links, choice of destinations and the budget of retries.
    egress
        Runs a call on this host.
    clock, host
        Time, and name of this host.
    tracer
        Starts a span for each call.
    """

    def __init__(
        self,
        *,
        snapshot: Callable[[], Snapshot],
        links: CallLinks,
        choice: ChoicePolicy,
        retries: RetryBudget,
        egress: Egress,
        clock: Clock,
        host: str,
        tracer: Tracer,
    ) -> None:
        self._tracer = tracer
        self._snapshot = snapshot
        self._links = links
        self._choice = choice
        self._retries = retries
        self._egress = egress
        self._clock = clock
        self._host = host

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Serve a caller's request and return its response."""
        snapshot = self._snapshot()
        try:
            call = read_call(request, snapshot, self._clock)
            reply = await self._trace(call)
        except AlmondError as error:
            reply = make_error_reply(error)
        return make_response(reply, snapshot.version)

    async def _trace(self, call: Call) -> CallReply:
        with self._tracer.span("ingress", call.request.traceparent) as span:
            span.annotate(host=self._host, **{"class": call.route.class_name})
            if span.traceparent != call.request.traceparent:
                traced = msgspec.structs.replace(
                    call.request, traceparent=span.traceparent
                )
                call = replace(call, request=traced)
            reply = await self._place(call)
            span.annotate(outcome=reply.outcome.value, code=reply.code)
            return reply

    async def _place(self, call: Call) -> CallReply:
        """Try destinations until one has run the call or may have run it.

        Notes
        -----
        Once a sending may have run, a later refusal does not mean that the
        request was not run.
        """
        self._retries.record_call(
            call.route.class_name, caller_retries=call.attempt > 0
        )
        excluded: set[str] = set()
        further = MAX_FURTHER_CHOICES
        unknown: CallReply | None = None
        reply: CallReply | None = None
        while destination := self._choose(call, excluded):
            excluded.add(destination.backend)
            reply = await self._send(destination, call, retried=unknown is not None)
            if reply.outcome is Outcome.COMPLETE:
                return reply
            if reply.outcome is Outcome.NOT_RUN:
                if reply.code not in _FURTHER_CHOICE_CODES or not further:
                    break
                # A link that was refused at once cost the call no time.
                further -= reply.code != ErrorCode.PEER_UNAVAILABLE.value
            elif unknown is None and self._may_retry(call):
                unknown = reply
                await self._wait_for_reports(call, reply)
            else:
                return reply
        if unknown is not None:
            return unknown
        if reply is None:
            message = f"no backend server for class {call.route.class_name!r}"
            raise CallError(ErrorCode.NO_BACKEND, message)
        return reply

    def _choose(self, call: Call, excluded: set[str]) -> Destination | None:
        now = self._clock.monotonic()
        if now >= call.request.deadline:
            if excluded:
                return None
            message = "the deadline has passed"
            raise CallError(ErrorCode.DEADLINE_EXCEEDED, message)
        destinations = call.route.destinations
        return self._choice.choose(
            destinations, now=now, excluded=excluded, priority=call.route.priority
        )

    def _may_retry(self, call: Call) -> bool:
        return (
            call.route.repeatable
            and call.attempt == 0
            and self._clock.monotonic() < call.request.deadline
            and self._retries.try_spend(call.route.class_name)
        )

    async def _wait_for_reports(self, call: Call, reply: CallReply) -> None:
        """Let the report of a crash spread before the call is repeated."""
        now = self._clock.monotonic()
        crashed = reply.code == ErrorCode.BACKEND_FAILED.value
        if crashed and now + RETRY_DELAY_SECONDS < call.request.deadline:
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _send(
        self, destination: Destination, call: Call, *, retried: bool
    ) -> CallReply:
        request = _address(call, destination.backend, retried=retried)
        started = self._clock.monotonic()
        outcome: Outcome | None = None
        load, failed = None, False
        self._choice.started(destination)
        try:
            if destination.host == self._host:
                reply = await self._egress(request)
            else:
                reply = await self._links.call(destination.peer_address, request)
            outcome, load = reply.outcome, reply.load
            failed = reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR and (
                outcome is Outcome.COMPLETE
            )
        except CallError as error:
            outcome = error.outcome
            reply = make_error_reply(error)
        finally:
            self._choice.finished(
                destination,
                outcome=outcome,
                load=load,
                elapsed=self._clock.monotonic() - started,
                failed=failed,
            )
        return reply


def read_call(request: CallerRequest, snapshot: Snapshot, clock: Clock) -> Call:
    """Read the call of a caller's request.

    Raises
    ------
    AlmondError
        ``not_ready``, ``header_invalid``, ``class_unknown``,
        ``service_unknown``, ``key_missing``, ``key_invalid`` or
        ``key_expired``.
    """
    now = clock.monotonic()
    if not snapshot.version:
        raise CallError(ErrorCode.NOT_READY, "no configuration is in force yet")
    own = _read_own_headers(request.headers)
    route = _find_route(own, snapshot)
    key = _read_key(own, route, clock.wall())
    traceparent = own.get("traceparent", "")
    attempt = _read_number(own, names.ATTEMPT, 0)
    call_request = CallRequest(
        call_id=0,
        class_name=route.class_name,
        backend="",
        method=request.method,
        target=request.target,
        headers=_keep_headers(request.headers, keep_key=route.repeatable),
        body=request.body,
        deadline=now + _read_timeout(own, route),
        key=key,
        traceparent=traceparent if _TRACEPARENT.fullmatch(traceparent) else "",
        version=snapshot.version,
    )
    return Call(route, call_request, attempt)


def make_response(reply: CallReply, version: int) -> CallerResponse:
    """Return the response to a caller for a reply."""
    status = reply.status or choose_status(reply.outcome, reply.code)
    headers = (
        *reply.headers,
        (names.OUTCOME, reply.outcome.value),
        (names.CODE, reply.code),
        (names.VERSION, str(version)),
    )
    return CallerResponse(status, headers, reply.body)


def make_error_reply(error: AlmondError) -> CallReply:
    """Return the reply for an error; one without an outcome means not run."""
    outcome = error.outcome if isinstance(error, CallError) else Outcome.NOT_RUN
    status = choose_status(outcome, error.code.value)
    return CallReply(0, outcome, status, (), b"", error.code.value, None)


def _address(call: Call, backend: str, *, retried: bool) -> CallRequest:
    """Return the request for one backend server.

    Each attempt of a call that is retried here is marked, the first one too:
    the calls that it leads to further down must not be retried again.
    """
    attempt = call.attempt
    if call.route.repeatable:
        attempt = max(attempt, 1) + retried
    headers = call.request.headers
    if attempt:
        headers = (*headers, (names.ATTEMPT.lower(), str(attempt)))
    return msgspec.structs.replace(call.request, backend=backend, headers=headers)


def _read_own_headers(headers: HeaderList) -> dict[str, str]:
    own: dict[str, str] = {}
    for name, value in headers:
        if name not in _OWN_HEADERS:
            continue
        if name in own or len(value) > MAX_HEADER_VALUE:
            message = f"header {name} is given twice or too long"
            raise CallError(ErrorCode.HEADER_INVALID, message)
        own[name] = value.strip()
    return own


def _find_route(own: dict[str, str], snapshot: Snapshot) -> Route:
    class_name = own.get(names.CLASS.lower(), "")
    if not class_name:
        message = f"header {names.CLASS} is missing"
        raise CallError(ErrorCode.HEADER_INVALID, message)
    route = snapshot.routes.get(class_name)
    if route is None:
        message = f"class {class_name!r} is not declared"
        raise CallError(ErrorCode.CLASS_UNKNOWN, message)
    if own.get(names.SERVICE.lower(), route.service) != route.service:
        message = f"class {class_name!r} belongs to service {route.service!r}"
        raise CallError(ErrorCode.SERVICE_UNKNOWN, message)
    return route


def _read_key(own: dict[str, str], route: Route, wall: float) -> str:
    if route.repeatable:
        return ""
    key = own.get(names.IDEMPOTENCY_KEY.lower(), "")
    if not key:
        message = f"class {route.class_name!r} needs {names.IDEMPOTENCY_KEY}"
        raise CallError(ErrorCode.KEY_MISSING, message)
    try:
        return check_idempotency_key(key, now=wall)
    except AlmondError as error:
        # An expired key may belong to a request that ran when it was sent first.
        expired = error.code is ErrorCode.KEY_EXPIRED
        outcome = Outcome.UNKNOWN if expired else Outcome.NOT_RUN
        raise CallError(error.code, error.message, outcome=outcome) from error


def _read_timeout(own: dict[str, str], route: Route) -> float:
    timeout = _read_number(own, names.TIMEOUT_MS, None)
    if timeout is None:
        return route.answer_within
    if timeout == 0:
        raise CallError(ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed")
    return min(timeout / 1000, route.answer_within)


def _read_number(own: dict[str, str], name: str, default: int | None) -> int | None:
    text = own.get(name.lower())
    if text is None:
        return default
    if not _DIGITS.fullmatch(text):
        raise CallError(ErrorCode.HEADER_INVALID, f"header {name} is not a number")
    return int(text)


def _keep_headers(headers: HeaderList, *, keep_key: bool) -> HeaderList:
    dropped = _DROPPED_HEADERS
    if keep_key:
        dropped = dropped - {names.IDEMPOTENCY_KEY.lower()}
    named = [value for name, value in headers if name == "connection"]
    if named:
        listed = {item.strip().lower() for v in named for item in v.split(",")}
        dropped = dropped | listed
    return tuple(item for item in headers if item[0] not in dropped)
