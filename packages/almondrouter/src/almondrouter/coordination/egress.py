"""Egress: admits calls for the backend servers of this host and runs them there."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Mapping

from almondrouter.clock import Clock
from almondrouter.coordination.admission import Admission
from almondrouter.coordination.crashes import CrashGuard
from almondrouter.coordination.limits import LimitService
from almondrouter.coordination.quarantine import compute_fingerprint
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol import headers as names
from almondrouter.protocol.calls import CallReply, CallRequest, HeaderList
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.snapshot import Route, Snapshot
from almondrouter.tracing import Tracer
from almondrouter.transport.calls import BackendSender

_DROPPED_FROM_RESPONSE = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "transfer-encoding",
        "upgrade",
        names.OUTCOME.lower(),
        names.CODE.lower(),
        names.VERSION.lower(),
        names.SEND_ID.lower(),
    }
)


def make_fingerprint(request: CallRequest) -> str:
    """Return a digest of a request's content, without its idempotency key."""
    return compute_fingerprint(
        request.class_name, request.method, request.target, request.body
    )


class Egress:
    """Checks whether a call may run on this host, and sends it to the backend server.

    Parameters
    ----------
    snapshot
        Returns the snapshot in force.
    admissions, backends
        Admission and client by name of the backend server on this host.
    limits, quarantine
        Rate limits, and quarantine of requests suspected to crash backend servers.
    clock
        Source of monotonic time.
    tracer
        Starts a span for each request to a backend server.
    """

    def __init__(
        self,
        *,
        snapshot: Callable[[], Snapshot],
        admissions: Mapping[str, Admission],
        backends: Mapping[str, BackendSender],
        limits: LimitService,
        quarantine: CrashGuard,
        clock: Clock,
        tracer: Tracer,
    ) -> None:
        self._snapshot = snapshot
        self._admissions = admissions
        self._backends = backends
        self._limits = limits
        self._quarantine = quarantine
        self._clock = clock
        self._tracer = tracer
        self._send_ids = itertools.count(1)

    def find_admission(self, request: CallRequest) -> Admission:
        """Return the admission control of the call's backend server.

        Raises
        ------
        CallError
            ``no_backend`` if the backend server is not on this host.
        """
        admission = self._admissions.get(request.backend)
        if admission is None or request.backend not in self._backends:
            message = f"backend server {request.backend!r} is not on this host"
            raise CallError(ErrorCode.NO_BACKEND, message)
        return admission

    def find_permitted_route(self, request: CallRequest, fingerprint: str) -> Route:
        """Return the route of a call; refuse a call that may not run on this host.

        Raises
        ------
        AlmondError
            ``deadline_exceeded``, ``no_backend``, ``not_ready``,
            ``key_missing``, ``condemned``, ``limited`` or
            ``limit_unavailable``. In all cases the call was not run.
        """
        self.check_deadline(request)
        self.find_admission(request)
        route = self._snapshot().routes.get(request.class_name)
        if route is None:
            message = f"class {request.class_name!r} is not known on this host yet"
            raise CallError(ErrorCode.NOT_READY, message)
        if not route.repeatable and not request.key:
            message = f"class {request.class_name!r} requires an idempotency key"
            raise CallError(ErrorCode.KEY_MISSING, message)
        self._quarantine.check_not_condemned(fingerprint)
        self._limits.admit(route.limit_names)
        return route

    def check_deadline(self, request: CallRequest) -> None:
        """Refuse a call whose deadline has passed; it was not run."""
        if self._clock.monotonic() >= request.deadline:
            message = "the deadline passed before the request was sent"
            raise CallError(ErrorCode.DEADLINE_EXCEEDED, message)

    async def run(self, request: CallRequest) -> CallReply:
        """Run a repeatable call."""
        fingerprint = make_fingerprint(request)
        route = self.find_permitted_route(request, fingerprint)
        admission = self.find_admission(request)
        slot = await admission.acquire(
            priority=route.priority,
            deadline=request.deadline,
            class_name=route.class_name,
        )
        failed = False
        try:
            return await self.send_to_backend(request, fingerprint)
        except Exception as error:
            failed = not is_not_run(error)
            raise
        finally:
            admission.release(slot, failed=failed)

    async def send_to_backend(
        self, request: CallRequest, fingerprint: str
    ) -> CallReply:
        """Send a call to the backend server; its slot must have been acquired.

        Raises
        ------
        CallError
            With the outcome; see `BackendSender.send`.
        """
        if not self._quarantine.may_run_now(request.backend, fingerprint):
            message = "another request suspected of a crash is in flight on this host"
            raise CallError(ErrorCode.OVERLOADED, message)
        self.check_deadline(request)
        completed = False
        self._quarantine.begin_request(request.backend, fingerprint)
        try:
            reply = await self._send_request(request)
            completed = True
        except CallError as error:
            if error.code is ErrorCode.BACKEND_FAILED:
                await self._quarantine.check_for_crash(request.backend, fingerprint)
            raise
        finally:
            self._quarantine.end_request(
                request.backend, fingerprint, completed=completed
            )
        return reply

    async def _send_request(self, request: CallRequest) -> CallReply:
        backend = self._backends.get(request.backend)
        if backend is None:
            raise CallError(ErrorCode.NO_BACKEND, "the backend server was removed")
        with self._tracer.span("egress", request.traceparent) as span:
            span.annotate(backend=request.backend, **{"class": request.class_name})
            send_id = str(next(self._send_ids))
            response = await backend.send(
                request.method,
                request.target,
                self._make_headers(request, send_id, span.traceparent),
                request.body,
                deadline=request.deadline,
                attempt_id=send_id,
            )
            span.annotate(status=response.status)
        headers = tuple(
            item for item in response.headers if item[0] not in _DROPPED_FROM_RESPONSE
        )
        status = response.status
        return CallReply(0, Outcome.COMPLETE, status, headers, response.body, "", None)

    def _make_headers(
        self, request: CallRequest, send_id: str, traceparent: str
    ) -> HeaderList:
        time_left = request.deadline - self._clock.monotonic()
        headers = [
            *request.headers,
            (names.CLASS.lower(), request.class_name),
            (names.DEADLINE_MS.lower(), str(max(0, int(time_left * 1000)))),
            (names.SEND_ID.lower(), send_id),
        ]
        if request.key:
            headers.append((names.IDEMPOTENCY_KEY.lower(), request.key))
        if traceparent:
            headers.append((names.TRACEPARENT, traceparent))
        return tuple(headers)


def is_not_run(error: Exception) -> bool:
    """Return whether an error means that the request was not run."""
    if isinstance(error, CallError):
        return error.outcome is Outcome.NOT_RUN
    return isinstance(error, AlmondError)
