"""Forwards requests of callers: route lookup, load balancing, retries, responses.

Used by the daemon for hosting platforms. The daemon for clusters with an etcd store
uses `almondrouter.coordination.calls`.
"""

from __future__ import annotations

import contextlib
import math
import random as random_module
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import msgspec

from almondrouter.clock import Clock
from almondrouter.coordination.callexplanation import (
    CallPreview,
    CallQuestion,
    Refusal,
    keep_random_state,
)
from almondrouter.coordination.demand import DemandMonitor
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.fleetretries import FleetRetryBudget
from almondrouter.coordination.patience import CallerPatience
from almondrouter.coordination.pending import PendingRequest, make_demand, make_offer
from almondrouter.coordination.quotas.allowances import QuotaToken
from almondrouter.coordination.quotas.service import QuotaExceededError, QuotaService
from almondrouter.coordination.rollouts.versions import Choices, VersionFilter
from almondrouter.coordination.routing import LoadBalancingPolicy
from almondrouter.coordination.tenants.admission import (
    Admitted,
    TenantAdmission,
    counts_for_quota,
)
from almondrouter.coordination.transfers.sizes import ResponseSizes
from almondrouter.coordination.weights import TrafficSplitter
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.protocol import headers as names
from almondrouter.protocol.calls import CallReply, CallRequest
from almondrouter.protocol.dialect import Dialect, RequestInfo
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError, choose_status, make_reply
from almondrouter.state.routes import RouteTable, RouteTarget
from almondrouter.state.snapshot import Destination
from almondrouter.state.tenants import TenantPolicy
from almondrouter.transport.calls import CallerRequest, CallerResponse, CallLinks
from almondrouter.transport.transfers import make_urgency

MAX_REFUSALS = 3
"""Refusals after which a request is not tried elsewhere; its caller gets 503 with a
``Retry-After`` header."""
MAX_MISSES = 8
"""Misses after which a request is not tried elsewhere. A miss is an attempt at a
destination that has no backend server or cannot be reached."""
MAX_CORRECTIONS = 2
"""Corrections after which a request joins the queue of its destination, however long
that is. A correction is a reply that the destination is busier than expected; it
carries the current load."""
MIN_RETRY_TIME_SHARE = 0.3
"""Least time until the deadline for a retry, as a share of the target latency; with
less time, a retry is unlikely to complete."""
MIN_RETRY_AFTER_SHARE = 0.15
"""Least ``Retry-After``, as a share of the target latency."""
MAX_RETRY_AFTER_SHARE = 0.45
"""Largest ``Retry-After``, as a share of the target latency; the values between are
random so that refused callers do not all retry at the same time."""
UNSERVED_RETRY_AFTER_S = 0.3
"""``Retry-After`` in seconds of a daemon that has no routes yet or is stopping."""
MAX_UNOFFERED_BYTES = 16_384
"""Longest body that is sent with its request; a longer one is sent after the other
daemon has accepted a `BodyOffer`. A body of this length occupies a slow link for some
hundredths of a second."""
OFFER_ID_BITS = 63
RETRY_AFTER = "retry-after"

_RETRY_ELSEWHERE_CODES = frozenset(
    code.value
    for code in (
        ErrorCode.OVERLOADED,
        ErrorCode.BACKEND_REFUSED,
    )
)
_RETRIED_LATER_CODES = frozenset(
    {ErrorCode.NOT_READY, ErrorCode.STOPPING, ErrorCode.LIMITED}
)
_UNAVAILABLE_CODES = frozenset(
    code.value
    for code in (
        ErrorCode.NO_BACKEND,
        ErrorCode.STOPPING,
        ErrorCode.PEER_UNAVAILABLE,
    )
)
_log = EventLogger("forwarding")

LocalRunner = Callable[[CallRequest], Awaitable[CallReply]]


class Forwarder:
    """Forwards each request of a caller to a backend server.

    Parameters
    ----------
    table
        Returns the routes in force, or None before the first configuration.
    directory
        Known hosts and their backend servers.
    balancer
        Chooses the destination of each attempt.
    admission
        Finds the tenant of each request by its key.
    quotas
        Limits the requests of each tenant; None if none are limited.
    splitter
        Chooses the service for each request of a route with several services.
    retry_budget
        Budget of the retries.
    links
        Links to the daemons of other hosts.
    run_locally
        Runs a call on the backend server of this host.
    is_running
        Returns whether the backend server of this host currently runs the request
        with an attempt id; calls of such a request are nested.
    dialect
        Reads and writes the headers of the platform.
    clock
        Source of monotonic time.
    random
        Source of the random part of ``Retry-After``.
    host, own_service
        Name and service of this host.
    on_newer_version
        Called with a configuration version above that of the request, and the
        address of the daemon that has it.
    find_condemned_until
        Returns the time until which a request is refused because it crashes backend
        servers, in monotonic seconds; None if it may be sent.
    on_finished
        Called with route name, outcome, error code and seconds of each request.
    versions
        Narrows the destinations while versions differ within a service.
    on_nested_failure
        Called with the attempt id of a running request whose nested call has failed.
    """

    def __init__(
        self,
        *,
        table: Callable[[], RouteTable | None],
        directory: HostDirectory,
        balancer: LoadBalancingPolicy,
        admission: TenantAdmission,
        quotas: QuotaService | None = None,
        splitter: TrafficSplitter,
        retry_budget: FleetRetryBudget,
        links: CallLinks,
        run_locally: LocalRunner,
        is_running: Callable[[str], bool],
        dialect: Dialect,
        clock: Clock,
        random: random_module.Random,
        host: str,
        own_service: str,
        on_newer_version: Callable[[int, str], None],
        find_condemned_until: Callable[[CallRequest], float | None],
        on_finished: Callable[[str, Outcome, str, float], None],
        versions: VersionFilter | None = None,
        on_nested_failure: Callable[[str], None] = lambda attempt_id: None,
    ) -> None:
        self._versions = versions or VersionFilter(directory, host=host, clock=clock)
        self._on_nested_failure = on_nested_failure
        self._table = table
        self._directory = directory
        self._balancer = balancer
        self._admission = admission
        self._quotas = quotas
        self._splitter = splitter
        self._retry_budget = retry_budget
        self._links = links
        self._run_locally = run_locally
        self._dialect = dialect
        self._clock = clock
        self._random = random
        self._host = host
        self._own_service = own_service
        self._is_running = is_running
        self._on_newer_version = on_newer_version
        self._find_condemned_until = find_condemned_until
        self._on_finished = on_finished
        self._patience = CallerPatience(clock)
        self._demand = DemandMonitor(clock)
        self._response_sizes = ResponseSizes()
        self._answers_until = math.inf
        self._refuses_new = False

    def stop_answering(self, at: float) -> None:
        """Set the time at which this daemon stops answering its callers.

        Notes
        -----
        A later response is of no use, so no attempt is made after that time, and a
        request that would wait for a slot until then is refused as not run.
        """
        self._answers_until = at

    def refuse_new_requests(self) -> None:
        """Refuse all requests except calls of requests that run on this host."""
        self._refuses_new = True

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Serve a caller's request and return its response."""
        # The caller's timeout starts when it begins to send the request, not when a
        # long body has arrived.
        arrived_at = request.began_at
        if arrived_at is None:
            arrived_at = self._clock.monotonic()
        info = self._dialect.read_request(request.headers)
        table = self._table()
        version = table.version if table is not None else 0
        nested = self._is_running(info.parent_id)
        try:
            table, route = self._find_route(table, request, info, nested=nested)
            admitted = self._admission.admit(
                info.headers, route, table.tenants, nested=nested
            )
            token = await self._take_token(admitted, nested=nested)
        except QuotaExceededError as error:
            return self._refuse_request(
                info,
                error.code,
                version,
                retry_after=error.retry_after,
                reason=error.message,
            )
        except CallError as error:
            return self._refuse_request(info, error.code, version)
        self._demand.record(route.name)
        pending = self._prepare_request(
            request, info, route, admitted, nested, version, arrived_at
        )
        if not nested:
            self._retry_budget.record_request(pending.service)
        pending.token = token
        try:
            if self._find_condemned_until(pending.call) is not None:
                reply = make_reply(ErrorCode.CONDEMNED)
            else:
                reply = await self._try_destinations(pending)
        finally:
            if token is not None:
                token.settle(self._clock.monotonic())
        self._record_result(pending, reply)
        return self._make_response(pending, reply)

    def _find_route(
        self,
        table: RouteTable | None,
        request: CallerRequest,
        info: RequestInfo,
        *,
        nested: bool,
    ) -> tuple[RouteTable, RouteTarget]:
        if table is None:
            raise CallError(ErrorCode.NOT_READY, "this daemon has no routes yet")
        if self._refuses_new and not nested:
            raise CallError(ErrorCode.STOPPING, "this daemon is stopping")
        route = table.find(info.virtual_host, request.target.partition("?")[0])
        if route is None:
            raise CallError(ErrorCode.CLASS_UNKNOWN, "no route matches")
        return table, route

    def preview(self, question: CallQuestion) -> CallPreview:
        """Return what `handle` would do with a request now; changes and sends nothing.

        Raises
        ------
        AlmondError
            ``target_unknown`` if there is no such tenant.
        """
        request, nested = question.request, question.nested
        info = self._dialect.read_request(request.headers)
        table = self._table()
        version = table.version if table is not None else 0
        route_name, tenant = "", None
        try:
            table, route = self._find_route(table, request, info, nested=nested)
            route_name = route.name
            admitted = self._preview_admission(question, info, route, table)
            tenant = admitted.tenant
            if self._quotas and counts_for_quota(tenant, nested=nested):
                error = self._quotas.preview_refusal(tenant)
                if error is not None:
                    raise error
        except CallError as error:
            wait = getattr(error, "retry_after", UNSERVED_RETRY_AFTER_S)
            response = _make_refusal(error.code, wait)
            refusal = _describe_refusal(response, error.message)
            return CallPreview(version, route_name, tenant, refusal=refusal)
        with contextlib.ExitStack() as kept:
            kept.enter_context(keep_random_state(self._random))
            for part in (self._splitter, self._versions, self._balancer):
                kept.enter_context(part.preview())
            now = self._clock.monotonic()
            pending = self._prepare_request(
                request, info, route, admitted, nested, version, now
            )
            return self._preview_attempts(pending, tenant)

    def _preview_admission(
        self,
        question: CallQuestion,
        info: RequestInfo,
        route: RouteTarget,
        table: RouteTable,
    ) -> Admitted:
        if not question.tenant:
            return self._admission.admit(
                info.headers, route, table.tenants, nested=question.nested
            )
        policies = table.tenants.policies if table.tenants is not None else {}
        tenant = policies.get(question.tenant)
        if tenant is None:
            message = f"the configuration has no tenant {question.tenant!r}"
            raise AlmondError(ErrorCode.TARGET_UNKNOWN, message)
        return self._admission.admit_tenant(info.headers, route, tenant)

    def _preview_attempts(
        self, pending: PendingRequest, tenant: TenantPolicy | None
    ) -> CallPreview:
        route, first, second, reply = pending.route, None, None, None
        demand = make_demand(pending, pending.arrived_at)
        with self._versions.preview():
            choices = self._list_choices(pending)
        if self._find_condemned_until(pending.call) is not None:
            reply = make_reply(ErrorCode.CONDEMNED)
        else:
            first = self._choose_destination(pending)
            if first is None:
                reply = make_reply(self._explain_no_attempt(pending))
        refusal = None
        if reply is not None:
            refusal = _describe_refusal(self._make_response(pending, reply))
        if first is not None:
            pending.excluded.add(first.backend)
            second = self._choose_destination(pending)
        return CallPreview(
            pending.call.version,
            route.name,
            tenant,
            pending.service,
            tuple(self._directory.find_destinations(pending.service)),
            choices,
            demand,
            pending.arrived_at,
            first,
            second,
            not route.repeatable or route.max_attempts < 2,
            refusal,
        )

    async def _take_token(
        self, admitted: Admitted, *, nested: bool
    ) -> QuotaToken | None:
        """Take a token of the tenant's quota; None if the request does not count."""
        tenant = admitted.tenant
        if self._quotas is None or not counts_for_quota(tenant, nested=nested):
            return None
        return await self._quotas.admit(tenant)

    def _prepare_request(
        self,
        request: CallerRequest,
        info: RequestInfo,
        route: RouteTarget,
        admitted: Admitted,
        nested: bool,
        version: int,
        now: float,
    ) -> PendingRequest:
        time_left = route.answer_within
        if info.time_left is not None:
            time_left = min(time_left, info.time_left)
        if nested:
            # The parent request fails without this response, so that it is useful
            # until the deadline, even after the target latency.
            useful_until = now + time_left
        else:
            elapsed = self._patience.estimate_elapsed(route.name, info.time_left)
            useful_until = now + min(time_left, route.target_latency - elapsed)
        call = CallRequest(
            call_id=0,
            class_name=route.name,
            backend="",
            method=request.method,
            target=request.target,
            headers=admitted.headers,
            body=request.body,
            deadline=now + time_left,
            key="",
            traceparent="",
            version=version,
            rank=admitted.rank,
            repeatable=route.repeatable,
            useful_until=useful_until,
            nested=nested,
            caller_service=self._own_service,
            attempt_id=info.attempt_id,
            tenant=admitted.tenant.name if admitted.tenant else "",
        )
        service = self._splitter.choose(route)
        pending = PendingRequest(info, route, service, call, now)
        pending.response_bytes = self._response_sizes.expect(route.name)
        if not nested:
            pending.mark_if_overdue(now)
        return pending

    async def _try_destinations(self, pending: PendingRequest) -> CallReply:
        """Send a request to one destination after another until one gives a result.

        Returns
        -------
        CallReply
            The first successful response. Otherwise the result of an attempt that
            ran or may have run, a failure response before an unknown outcome. A
            refusal only if every attempt was refused: if an earlier attempt may have
            run, a later refusal must not be reported as ``NOT_RUN``.
        """
        result: CallReply | None = None
        refusal: CallReply | None = None
        while destination := self._choose_destination(pending):
            reply = await self._send_attempt(destination, pending)
            if reply.code == ErrorCode.BUSIER_THAN_EXPECTED.value:
                # The reply updated the load of this destination, so it stays eligible.
                pending.corrections += 1
                continue
            pending.excluded.add(destination.backend)
            if reply.outcome is Outcome.NOT_RUN:
                refusal = reply
                if not self._may_try_elsewhere(pending, reply):
                    break
                continue
            pending.sent += 1
            if reply.outcome is Outcome.COMPLETE and not is_server_error(reply):
                return reply
            result = reply if result is None or is_server_error(reply) else result
            if not self._may_retry(pending):
                break
        return result or refusal or make_reply(self._explain_no_attempt(pending))

    def _choose_destination(self, pending: PendingRequest) -> Destination | None:
        now = self._clock.monotonic()
        if pending.sent and not pending.call.nested:
            pending.mark_if_overdue(now)
        if pending.retry is not None:
            destination, pending.retry = pending.retry, None
            return destination
        call = pending.call
        if now >= min(call.deadline, self._find_last_send(pending)):
            return None
        if call.useful_until > self._answers_until:
            pending.call = msgspec.structs.replace(
                call, useful_until=self._answers_until
            )
        demand = make_demand(pending, now)
        for destinations in self._list_choices(pending):
            destination = self._balancer.choose(
                destinations, now=now, excluded=pending.excluded, demand=demand
            )
            if destination is not None:
                return destination
        return None

    def _list_choices(self, pending: PendingRequest) -> Choices:
        return self._versions.list_choices(
            pending.service,
            pending.route.name,
            is_first=pending.is_first_attempt,
            repeatable=pending.route.repeatable,
        )

    def _find_last_send(self, pending: PendingRequest) -> float:
        """Return the time after which this daemon no longer sends a request.

        Notes
        -----
        Once a stopping daemon refuses new requests, what cannot be answered within its
        target latency would probably be cut while a backend server is at work on it.
        """
        if not self._refuses_new:
            return self._answers_until
        return self._answers_until - pending.route.target_latency

    def _explain_no_attempt(self, pending: PendingRequest) -> ErrorCode:
        now = self._clock.monotonic()
        if now >= pending.call.deadline:
            return ErrorCode.DEADLINE_EXCEEDED
        if now >= self._find_last_send(pending):
            return ErrorCode.STOPPING
        return ErrorCode.NO_BACKEND

    def _find_max_wait(
        self, destination: Destination, pending: PendingRequest
    ) -> float:
        """Return the longest wait for a slot in seconds; negative if unbounded."""
        if pending.corrections >= MAX_CORRECTIONS:
            return -1.0
        now = self._clock.monotonic()
        demand = make_demand(pending, now)
        wait = self._balancer.find_max_wait(destination, now=now, demand=demand)
        return -1.0 if wait is None else wait

    def _may_try_elsewhere(self, pending: PendingRequest, reply: CallReply) -> bool:
        if reply.code in _UNAVAILABLE_CODES:
            pending.misses += 1
            return pending.misses < MAX_MISSES
        pending.refusals += 1
        if reply.code not in _RETRY_ELSEWHERE_CODES or pending.refusals >= MAX_REFUSALS:
            return False
        if reply.code == ErrorCode.BACKEND_REFUSED.value:
            # The request reached the backend server, so the next attempt is a retry
            # and is charged to the retry budget.
            pending.sent += 1
            if pending.sent >= pending.route.max_attempts:
                return False
            return self._spend_retry(pending)
        return True

    def _may_retry(self, pending: PendingRequest) -> bool:
        if pending.retry is not None:
            return True
        return self._claim_retry(pending, sent=pending.sent)

    def _abandon_silent(
        self, destination: Destination, pending: PendingRequest
    ) -> bool:
        """Return whether to give up an attempt because its destination is silent.

        Notes
        -----
        Only another attempt makes that worthwhile. Without one the caller would get
        an error while the backend server may be at work on the response. A stopping
        daemon keeps the attempt, as no other may succeed in the time that is left.
        """
        if self._answers_until < math.inf:
            return False
        pending.excluded.add(destination.backend)
        other = self._choose_destination(pending)
        if other is not None and self._claim_retry(pending, sent=pending.sent + 1):
            pending.retry = other
        return pending.retry is not None

    def _claim_retry(self, pending: PendingRequest, *, sent: int) -> bool:
        """Take a retry from the budget if a request may be sent again.

        Parameters
        ----------
        sent
            Attempts so far that may have reached a backend server.
        """
        route = pending.route
        if not route.repeatable or sent >= route.max_attempts:
            return False
        needed = route.target_latency * MIN_RETRY_TIME_SHARE
        if self._clock.monotonic() + needed > pending.call.deadline:
            return False
        if self._find_condemned_until(pending.call) is not None:
            return False
        return self._spend_retry(pending)

    def _spend_retry(self, pending: PendingRequest) -> bool:
        token = pending.token
        if token is not None and not token.take_another(self._clock.monotonic()):
            return False
        return self._retry_budget.try_spend(pending.service, rank=pending.call.rank)

    async def _send_attempt(
        self, destination: Destination, pending: PendingRequest
    ) -> CallReply:
        call = msgspec.structs.replace(
            pending.call,
            backend=destination.backend,
            max_wait=self._find_max_wait(destination, pending),
        )
        started_at = self._clock.monotonic()
        demand = make_demand(pending, started_at)
        weight = self._balancer.find_demand_weight(destination, demand)
        call = msgspec.structs.replace(call, demand_weight=weight)
        outcome: Outcome | None = None
        reply, reason = make_reply(ErrorCode.CALL_CANCELLED), ""
        self._balancer.record_start(destination)
        try:
            if destination.host == self._host:
                reply = await self._run_locally(call)
            else:
                reply = await self._send_over_link(destination, call, pending)
            outcome = reply.outcome
        except CallError as error:
            outcome, reason = error.outcome, error.message
            reply = make_reply(error.code, outcome)
        finally:
            now = self._clock.monotonic()
            self._balancer.record_end(
                destination,
                outcome=outcome,
                load=reply.load,
                elapsed=now - started_at,
                failed=is_server_error(reply)
                or reply.code == ErrorCode.BACKEND_REFUSED.value,
            )
            if pending.token is not None and _may_have_arrived(outcome, reply):
                pending.token.record_use()
        if reply.version > call.version:
            self._on_newer_version(reply.version, destination.peer_address)
        corrected = reply.code == ErrorCode.BUSIER_THAN_EXPECTED.value
        answered = reply.outcome is Outcome.COMPLETE and not is_server_error(reply)
        if not corrected and not answered:
            _log.request(
                "forwarding attempt failed",
                request=pending.info.attempt_id,
                route=pending.route.name,
                peer=destination.host,
                backend=destination.backend,
                outcome=reply.outcome.value,
                status=reply.status,
                code=reply.code,
                reason=reason,
                after=round(now - pending.arrived_at, 4),
                version=call.version,
            )
        return reply

    async def _send_over_link(
        self, destination: Destination, call: CallRequest, pending: PendingRequest
    ) -> CallReply:
        """Send a call to another daemon, a long body only after its offer was accepted.

        A refused offer costs no transfer of the body.
        """
        address = destination.peer_address
        if len(call.body) > MAX_UNOFFERED_BYTES:
            call = msgspec.structs.replace(call, offer_id=self._make_offer_id())
            try:
                offer_reply = await self._links.call(address, make_offer(call))
            except CallError as error:
                # Only the offer was sent, so the request has certainly not run.
                raise CallError(ErrorCode.PEER_UNAVAILABLE, error.message) from error
            if offer_reply.outcome is not Outcome.COMPLETE:
                return msgspec.structs.replace(offer_reply, outcome=Outcome.NOT_RUN)
            # Once the body is transferred, waiting at this destination is cheaper than
            # transferring it again to one with a shorter queue.
            call = msgspec.structs.replace(call, max_wait=-1.0)
        return await self._links.call(
            address,
            call,
            abandon_silent=lambda: self._abandon_silent(destination, pending),
        )

    def _make_offer_id(self) -> int:
        return self._random.getrandbits(OFFER_ID_BITS) or 1

    def _record_result(self, pending: PendingRequest, reply: CallReply) -> None:
        elapsed = self._clock.monotonic() - pending.arrived_at
        self._on_finished(pending.route.name, reply.outcome, reply.code, elapsed)
        if reply.outcome is Outcome.COMPLETE and not is_server_error(reply):
            self._response_sizes.record(pending.route.name, reply)
            return
        if pending.call.nested:
            self._on_nested_failure(pending.info.parent_id)
        condemned = reply.code == ErrorCode.CONDEMNED.value
        if not pending.call.nested and not condemned:
            self._patience.record_unserved(pending.route.name)
        _log.request(
            "request failed",
            request=pending.info.attempt_id,
            route=pending.route.name,
            service=pending.service,
            outcome=reply.outcome.value,
            status=reply.status,
            code=reply.code,
            nested=pending.call.nested,
            sent=pending.sent,
            refusals=pending.refusals,
            misses=pending.misses,
            corrections=pending.corrections,
            overdue=pending.call.overdue,
            known=len(self._directory.find_destinations(pending.service)),
            after=round(elapsed, 4),
            version=pending.call.version,
        )

    def _make_response(
        self, pending: PendingRequest, reply: CallReply
    ) -> CallerResponse:
        if reply.outcome is Outcome.COMPLETE:
            return CallerResponse(
                reply.status,
                reply.headers,
                reply.body,
                reply.framed,
                make_urgency(pending.call),
            )
        status = choose_status(reply.outcome, reply.code)
        headers: tuple[tuple[str, str], ...] = ((names.CODE, reply.code),)
        if reply.outcome is Outcome.NOT_RUN:
            status = HTTPStatus.SERVICE_UNAVAILABLE
            retry_after = self._choose_retry_after(pending)
            headers = (*headers, (RETRY_AFTER, f"{retry_after:.3f}"))
        return CallerResponse(status, headers, b"")

    def _choose_retry_after(self, pending: PendingRequest) -> float:
        """Return the ``Retry-After`` in seconds for a request that has not run."""
        condemned_until = self._find_condemned_until(pending.call)
        if condemned_until is not None:
            return condemned_until - self._clock.monotonic()
        share = self._random.uniform(MIN_RETRY_AFTER_SHARE, MAX_RETRY_AFTER_SHARE)
        return share * pending.route.target_latency

    def _refuse_request(
        self,
        info: RequestInfo,
        code: ErrorCode,
        version: int,
        *,
        retry_after: float = UNSERVED_RETRY_AFTER_S,
        reason: str = "",
    ) -> CallerResponse:
        self._on_finished("", Outcome.NOT_RUN, code.value, 0.0)
        _log.request(
            "request refused",
            request=info.attempt_id,
            virtual_host=info.virtual_host,
            code=code.value,
            reason=reason,
            version=version,
        )
        return _make_refusal(code, retry_after)


def _make_refusal(code: ErrorCode, retry_after: float) -> CallerResponse:
    headers: tuple[tuple[str, str], ...] = ((names.CODE, code.value),)
    if code in _RETRIED_LATER_CODES:
        headers = (*headers, (RETRY_AFTER, f"{retry_after:.3f}"))
    return CallerResponse(choose_status(Outcome.NOT_RUN, code), headers, b"")


def _describe_refusal(response: CallerResponse, reason: str = "") -> Refusal:
    found = dict(response.headers)
    wait = found.get(RETRY_AFTER)
    retry_after = float(wait) if wait is not None else None
    return Refusal(found[names.CODE], response.status, retry_after, reason)


def _may_have_arrived(outcome: Outcome | None, reply: CallReply) -> bool:
    """Return whether an attempt may have reached a backend server.

    Parameters
    ----------
    outcome
        Outcome of the attempt; None if its caller has gone away.
    """
    refused_by_backend = reply.code == ErrorCode.BACKEND_REFUSED.value
    return outcome is not Outcome.NOT_RUN or refused_by_backend


def is_server_error(reply: CallReply) -> bool:
    """Return whether a backend server responded with a server error (5xx)."""
    return (
        reply.outcome is Outcome.COMPLETE
        and reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR
    )
