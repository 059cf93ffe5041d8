"""Ingress: parses calls of callers, and sends each to a destination that can run it."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from http import HTTPStatus

import msgspec

from almondrouter.clock import Clock
from almondrouter.coordination.quarantine import CRASH_RETRY_DELAY_S
from almondrouter.coordination.retries import RetryBudget
from almondrouter.coordination.routing import LoadBalancingPolicy
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol import headers as names
from almondrouter.protocol.calls import CallReply, CallRequest, HeaderList
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.keys import check_idempotency_key
from almondrouter.protocol.outcomes import CallError, choose_status
from almondrouter.state.snapshot import Destination, Route, Snapshot
from almondrouter.tracing import Tracer
from almondrouter.transport.calls import CallerRequest, CallerResponse, CallLinks

MAX_ALTERNATIVES = 2
"""Further destinations that are tried after a call was refused as not run.

The shares of a rate limit are adjusted to demand with a delay, so another daemon may
still accept the call.
"""
MAX_HEADER_VALUE = 256
"""Longest value in characters of a header that the router reads."""

_RETRY_ELSEWHERE_CODES = frozenset(
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
_ROUTER_HEADERS = frozenset(
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
_DROPPED_HEADERS = names.HOP_BY_HOP_HEADERS | _ROUTER_HEADERS
_DROPPED_HEADERS |= {
    "host",
    *(name.lower() for name in (names.DEADLINE_MS, names.OUTCOME, names.SEND_ID)),
    *(name.lower() for name in (names.CODE, names.VERSION)),
}
_DIGITS = re.compile(r"[0-9]{1,18}")
_TRACEPARENT = re.compile(r"[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}")

LocalEgress = Callable[[CallRequest], Awaitable[CallReply]]


@dataclass(frozen=True, slots=True)
class Call:
    """A call that was parsed from a caller's request.

    Parameters
    ----------
    route
        Route of the call's class.
    request
        The request to send; the name of the backend server and the call id are set for
        each attempt.
    attempt
        Attempt number if the caller, or a caller above it in a chain of nested calls,
        retries the call; 0 otherwise.
    """

    route: Route
    request: CallRequest
    attempt: int


class Ingress:
    """Parses the calls of callers and sends each to a destination that can run it.

    Parameters
    ----------
    snapshot
        Returns the snapshot in force.
    links, balancer, retries
        Call links, load balancing policy and retry budget.
    egress
        Runs a call on this host.
    clock, host
        Source of monotonic and wall-clock time, and name of this host.
    tracer
        Starts a span for each call.
    """

    def __init__(
        self,
        *,
        snapshot: Callable[[], Snapshot],
        links: CallLinks,
        balancer: LoadBalancingPolicy,
        retries: RetryBudget,
        egress: LocalEgress,
        clock: Clock,
        host: str,
        tracer: Tracer,
    ) -> None:
        self._tracer = tracer
        self._snapshot = snapshot
        self._links = links
        self._balancer = balancer
        self._retries = retries
        self._egress = egress
        self._clock = clock
        self._host = host

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Serve a caller's request and return its response."""
        snapshot = self._snapshot()
        try:
            call = read_call(request, snapshot, self._clock)
            reply = await self._run_traced(call)
        except AlmondError as error:
            reply = make_error_reply(error)
        return make_response(reply, snapshot.version)

    async def _run_traced(self, call: Call) -> CallReply:
        with self._tracer.span("ingress", call.request.traceparent) as span:
            span.annotate(host=self._host, **{"class": call.route.class_name})
            if span.traceparent != call.request.traceparent:
                traced = msgspec.structs.replace(
                    call.request, traceparent=span.traceparent
                )
                call = replace(call, request=traced)
            reply = await self._try_destinations(call)
            span.annotate(outcome=reply.outcome.value, code=reply.code)
            return reply

    async def _try_destinations(self, call: Call) -> CallReply:
        """Try destinations until one has run the call or may have run it.

        Notes
        -----
        After an attempt that may have run, a later refusal must not be reported as
        not run.
        """
        self._retries.record_call(
            call.route.class_name, caller_retries=call.attempt > 0
        )
        excluded: set[str] = set()
        alternatives = MAX_ALTERNATIVES
        unknown: CallReply | None = None
        reply: CallReply | None = None
        while destination := self._choose_destination(call, excluded):
            excluded.add(destination.backend)
            reply = await self._send_attempt(
                destination, call, retried=unknown is not None
            )
            if reply.outcome is Outcome.COMPLETE:
                return reply
            if reply.outcome is Outcome.NOT_RUN:
                if reply.code not in _RETRY_ELSEWHERE_CODES or not alternatives:
                    break
                # An unavailable link fails at once, so it costs no time of the call.
                alternatives -= reply.code != ErrorCode.PEER_UNAVAILABLE.value
            elif unknown is None and self._may_retry(call):
                unknown = reply
                await self._wait_for_crash_report(call, reply)
            else:
                return reply
        if unknown is not None:
            return unknown
        if reply is None:
            message = f"no backend server for class {call.route.class_name!r}"
            raise CallError(ErrorCode.NO_BACKEND, message)
        return reply

    def _choose_destination(self, call: Call, excluded: set[str]) -> Destination | None:
        now = self._clock.monotonic()
        if now >= call.request.deadline:
            if excluded:
                return None
            message = "the deadline passed before the first attempt"
            raise CallError(ErrorCode.DEADLINE_EXCEEDED, message)
        destinations = call.route.destinations
        return self._balancer.choose(
            destinations, now=now, excluded=excluded, priority=call.route.priority
        )

    def _may_retry(self, call: Call) -> bool:
        return (
            can_retry(call)
            and self._clock.monotonic() < call.request.deadline
            and self._retries.try_spend(call.route.class_name)
        )

    async def _wait_for_crash_report(self, call: Call, reply: CallReply) -> None:
        """Wait before a retry until the report of a crash has reached other daemons."""
        now = self._clock.monotonic()
        crashed = reply.code == ErrorCode.BACKEND_FAILED.value
        if crashed and now + CRASH_RETRY_DELAY_S < call.request.deadline:
            await asyncio.sleep(CRASH_RETRY_DELAY_S)

    async def _send_attempt(
        self, destination: Destination, call: Call, *, retried: bool
    ) -> CallReply:
        request = _make_attempt_request(call, destination.backend, retried=retried)
        started_at = self._clock.monotonic()
        outcome: Outcome | None = None
        load, failed = None, False
        self._balancer.record_start(destination)
        try:
            if destination.host == self._host:
                reply = await self._egress(request)
            else:
                reply = await self._links.call(
                    destination.peer_address,
                    request,
                    # Without a retry, an error would only replace a late response.
                    abandon_silent=lambda: can_retry(call) and not retried,
                )
            outcome, load = reply.outcome, reply.load
            failed = reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR and (
                outcome is Outcome.COMPLETE
            )
        except CallError as error:
            outcome = error.outcome
            reply = make_error_reply(error)
        finally:
            self._balancer.record_end(
                destination,
                outcome=outcome,
                load=load,
                elapsed=self._clock.monotonic() - started_at,
                failed=failed,
            )
        return reply


def can_retry(call: Call) -> bool:
    """Return whether a call may be sent again; its caller's own retries may not."""
    return call.route.repeatable and call.attempt == 0


def read_call(request: CallerRequest, snapshot: Snapshot, clock: Clock) -> Call:
    """Parse the call of a caller's request.

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
    router_headers = _read_router_headers(request.headers)
    route = _find_route(router_headers, snapshot)
    key = _read_key(router_headers, route, clock.wall())
    traceparent = router_headers.get("traceparent", "")
    attempt = _read_number(router_headers, names.ATTEMPT, 0)
    call_request = CallRequest(
        call_id=0,
        class_name=route.class_name,
        backend="",
        method=request.method,
        target=request.target,
        headers=_filter_headers(request.headers, keep_key=route.repeatable),
        body=request.body,
        deadline=now + _read_timeout(router_headers, route),
        key=key,
        traceparent=traceparent if _TRACEPARENT.fullmatch(traceparent) else "",
        version=snapshot.version,
    )
    return Call(route, call_request, attempt)


def make_response(reply: CallReply, version: int) -> CallerResponse:
    """Return the response to the caller for a reply."""
    status = reply.status or choose_status(reply.outcome, reply.code)
    headers = (
        *reply.headers,
        (names.OUTCOME, reply.outcome.value),
        (names.CODE, reply.code),
        (names.VERSION, str(version)),
    )
    return CallerResponse(status, headers, reply.body)


def make_error_reply(error: AlmondError) -> CallReply:
    """Return the reply for an error; an error without an outcome means not run."""
    outcome = error.outcome if isinstance(error, CallError) else Outcome.NOT_RUN
    status = choose_status(outcome, error.code.value)
    return CallReply(0, outcome, status, (), b"", error.code.value, None)


def _make_attempt_request(call: Call, backend: str, *, retried: bool) -> CallRequest:
    """Return the request for an attempt at one backend server.

    Every attempt of a call that may be retried here carries an attempt number, the
    first one too, so that daemons do not retry the nested calls that it causes.
    """
    attempt = call.attempt
    if call.route.repeatable:
        attempt = max(attempt, 1) + retried
    headers = call.request.headers
    if attempt:
        headers = (*headers, (names.ATTEMPT.lower(), str(attempt)))
    return msgspec.structs.replace(call.request, backend=backend, headers=headers)


def _read_router_headers(headers: HeaderList) -> dict[str, str]:
    router_headers: dict[str, str] = {}
    for name, value in headers:
        if name not in _ROUTER_HEADERS:
            continue
        if name in router_headers or len(value) > MAX_HEADER_VALUE:
            message = f"header {name} is repeated or too long"
            raise CallError(ErrorCode.HEADER_INVALID, message)
        router_headers[name] = value.strip()
    return router_headers


def _find_route(router_headers: dict[str, str], snapshot: Snapshot) -> Route:
    class_name = router_headers.get(names.CLASS.lower(), "")
    if not class_name:
        message = f"header {names.CLASS} is missing"
        raise CallError(ErrorCode.HEADER_INVALID, message)
    route = snapshot.routes.get(class_name)
    if route is None:
        message = f"class {class_name!r} is not declared"
        raise CallError(ErrorCode.CLASS_UNKNOWN, message)
    if router_headers.get(names.SERVICE.lower(), route.service) != route.service:
        message = f"class {class_name!r} belongs to service {route.service!r}"
        raise CallError(ErrorCode.SERVICE_UNKNOWN, message)
    return route


def _read_key(router_headers: dict[str, str], route: Route, wall: float) -> str:
    if route.repeatable:
        return ""
    key = router_headers.get(names.IDEMPOTENCY_KEY.lower(), "")
    if not key:
        message = f"class {route.class_name!r} requires header {names.IDEMPOTENCY_KEY}"
        raise CallError(ErrorCode.KEY_MISSING, message)
    try:
        return check_idempotency_key(key, now=wall)
    except AlmondError as error:
        # The request of an expired key may have run when it was first sent.
        expired = error.code is ErrorCode.KEY_EXPIRED
        outcome = Outcome.UNKNOWN if expired else Outcome.NOT_RUN
        raise CallError(error.code, error.message, outcome=outcome) from error


def _read_timeout(router_headers: dict[str, str], route: Route) -> float:
    timeout = _read_number(router_headers, names.TIMEOUT_MS, None)
    if timeout is None:
        return route.answer_within
    if timeout == 0:
        raise CallError(
            ErrorCode.DEADLINE_EXCEEDED, "the timeout that the caller set is 0 ms"
        )
    return min(timeout / 1000, route.answer_within)


def _read_number(
    router_headers: dict[str, str], name: str, default: int | None
) -> int | None:
    text = router_headers.get(name.lower())
    if text is None:
        return default
    if not _DIGITS.fullmatch(text):
        raise CallError(ErrorCode.HEADER_INVALID, f"header {name} is not a number")
    return int(text)


def _filter_headers(headers: HeaderList, *, keep_key: bool) -> HeaderList:
    dropped = _DROPPED_HEADERS
    if keep_key:
        dropped = dropped - {names.IDEMPOTENCY_KEY.lower()}
    connection_values = [value for name, value in headers if name == "connection"]
    if connection_values:
        connection_options = {
            item.strip().lower() for v in connection_values for item in v.split(",")
        }
        dropped = dropped | connection_options
    return tuple(item for item in headers if item[0] not in dropped)
