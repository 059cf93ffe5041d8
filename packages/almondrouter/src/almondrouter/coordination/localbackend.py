"""The backend server beside this daemon: its slots and what its answers mean."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from almondrouter.clock import Clock
from almondrouter.coordination.intake import BodyIntake
from almondrouter.coordination.slots import Grant, SlotQueue
from almondrouter.errors import ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.protocol.calls import BodyOffer, CallReply, CallRequest, Load
from almondrouter.protocol.dialect import Dialect
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError, make_reply
from almondrouter.state.hosts import BackendEntry, ServingState
from almondrouter.transport.calls import BackendResponse, BackendSender

MAX_IDLE_ONCE_S = 0.1
"""Seconds for which a connection may have been idle before a request that must
run at most once; a connection that its peer forgot fails such a request."""

MAX_LEFT = 100
"""Backend servers that are remembered as having left; a host has one at a time."""

_log = EventLogger("backend")


class LocalBackend:
    """Runs requests on the backend server of this host.

    Parameters
    ----------
    sender
        Client of the backend server.
    dialect
        Reads and writes headers.
    clock
        Source of monotonic time.
    intake
        Plans when long bodies are sent here.
    changed
        Called when the announced state has changed.
    """

    def __init__(
        self,
        *,
        sender: BackendSender,
        dialect: Dialect,
        clock: Clock,
        intake: BodyIntake,
        changed: Callable[[], None],
    ) -> None:
        self._intake = intake
        self._sender = sender
        self._dialect = dialect
        self._clock = clock
        self._changed = changed
        self._runs: dict[asyncio.Task[CallReply], str] = {}
        self._left: dict[str, int] = {}
        self.entry: BackendEntry | None = None
        self.queue = SlotQueue(1, clock=clock)
        self.counts: Counter[str] = Counter()

    def announce(self, entry: BackendEntry) -> None:
        """Take over what the backend server says of itself."""
        known = self.entry
        if known is not None and entry.started_ms < known.started_ms:
            return
        if known == entry:
            return
        if entry.state is ServingState.LEAVING:
            self._remember_left(entry.backend, entry.started_ms)
        elif entry.started_ms <= self._left.get(entry.backend, 0):
            # A late heartbeat, or the record of an earlier daemon of this host.
            return
        restarted = known is None or (
            (known.backend, known.started_ms) != (entry.backend, entry.started_ms)
        )
        if restarted:
            self.queue.refuse_waiting(ErrorCode.NO_BACKEND, "the backend restarted")
            self.queue = SlotQueue(entry.slots, clock=self._clock)
        elif known is not None and known.state is ServingState.LEAVING:
            # A leaving backend server does not come back under the same start.
            return
        self.entry = entry
        _log.info(
            "backend server announced",
            backend=entry.backend,
            service=entry.service,
            state=entry.state.value,
            started_ms=entry.started_ms,
            slots=entry.slots,
        )
        self._changed()

    def sign_off(self, backend: str, started_ms: int | None) -> None:
        """Take over that a backend server leaves, also one that is not known yet.

        Parameters
        ----------
        started_ms
            Its start in Unix milliseconds; None if it does not say, which means
            the one that is known, or any start until now.
        """
        entry = self.entry
        is_known = entry is not None and entry.backend == backend
        if started_ms is None:
            now_ms = int(self._clock.wall() * 1000)
            started_ms = entry.started_ms if is_known else now_ms
        self._remember_left(backend, started_ms)
        if is_known and started_ms >= entry.started_ms:
            self.change_state(ServingState.LEAVING, reason="it signs off")

    def _remember_left(self, backend: str, started_ms: int) -> None:
        if backend not in self._left and len(self._left) >= MAX_LEFT:
            del self._left[next(iter(self._left))]
        self._left[backend] = max(started_ms, self._left.get(backend, 0))

    def change_state(self, state: ServingState, *, reason: str) -> None:
        """Change the state of the backend server that is known now."""
        entry = self.entry
        if entry is None or entry.state in (state, ServingState.LEAVING):
            return
        self.entry = BackendEntry(
            entry.backend, entry.started_ms, entry.service, entry.slots, state
        )
        _log.info(
            "backend server changed state",
            backend=entry.backend,
            state=state.value,
            reason=reason,
        )
        self._changed()

    async def answer(self, request: CallRequest) -> CallReply:
        """Run a request; the reply tells the load whatever the outcome is."""
        try:
            reply = await self.run(request)
        except CallError as error:
            reply = make_reply(error.code, error.outcome)
        return msgspec.structs.replace(reply, load=self.load)

    async def run(self, request: CallRequest) -> CallReply:
        """Run a request and return its result.

        Raises
        ------
        CallError
            With the outcome; ``NOT_RUN`` only if the request surely did not run
            and never will.
        """
        try:
            return await self._run(request)
        except CallError as error:
            if error.code is ErrorCode.BUSIER_THAN_EXPECTED:
                raise
            load = self.queue.load()
            _log.request(
                "request not answered here",
                request=request.attempt_id,
                route=request.class_name,
                backend=request.backend,
                code=error.code.value,
                outcome=error.outcome.value,
                reason=error.message,
                running=load.in_use,
                waiting=load.queued,
                slots=load.slots,
                service_time=round(load.service_time, 4),
                version=request.version,
            )
            raise

    async def _run(self, request: CallRequest) -> CallReply:
        self._check_serves(request)
        queue = self.queue
        grant = await queue.acquire(request)
        try:
            self._check_serves(request)
        except CallError:
            queue.release(grant, measured=False)
            raise
        run = asyncio.ensure_future(self._run_granted(request, queue, grant))
        self._runs[run] = request.attempt_id
        run.add_done_callback(self._forget_run)
        if request.repeatable:
            return await run
        # A request that may run once only is finished even if its caller leaves:
        # its effect must not be cut in half.
        return await asyncio.shield(run)

    @property
    def runs_in_flight(self) -> int:
        """Return how many requests the backend server runs now."""
        return len(self._runs)

    def is_running(self, attempt_id: str) -> bool:
        """Return whether the backend server runs a request with this id now."""
        return bool(attempt_id) and attempt_id in self._runs.values()

    @property
    def load(self) -> Load | None:
        """Return the exact load; None if the backend server takes no work."""
        if self.entry is None or self.entry.state is not ServingState.READY:
            return None
        return self.queue.load()

    def _forget_run(self, run: asyncio.Task[CallReply]) -> None:
        self._runs.pop(run, None)
        if not run.cancelled():
            run.exception()  # Marks it as seen if its caller has left.

    async def take_offer(self, offer: BodyOffer) -> CallReply:
        """Answer an offer of a long body as soon as it may be sent."""
        try:
            self._check_serves(offer)
            await self._clock.sleep_until(self._plan_body(offer))
        except CallError as error:
            reply = make_reply(error.code, error.outcome)
            return msgspec.structs.replace(reply, load=self.load)
        status = HTTPStatus.CONTINUE
        return CallReply(0, Outcome.COMPLETE, status, (), b"", "", self.load)

    def _plan_body(self, offer: BodyOffer) -> float:
        run_time = self.queue.expected_time(offer.class_name)
        begins_at = self._intake.plan(
            offer.size, arrive_by=offer.useful_until - run_time
        )
        if begins_at is None:
            message = f"{offer.size} bytes would arrive too late"
            raise CallError(ErrorCode.OVERLOADED, message)
        return begins_at

    def _check_serves(self, request: CallRequest | BodyOffer) -> None:
        entry = self.entry
        if entry is None or entry.backend != request.backend:
            message = f"backend server {request.backend!r} is not on this host"
            raise CallError(ErrorCode.NO_BACKEND, message)
        if entry.state is not ServingState.READY:
            message = f"backend server {entry.backend!r} is {entry.state.value}"
            raise CallError(ErrorCode.NO_BACKEND, message)

    async def _run_granted(
        self, request: CallRequest, queue: SlotQueue, grant: Grant
    ) -> CallReply:
        measured = False
        try:
            response = await self._send(request)
            reply = self._read(request, response)
            measured = response.status < HTTPStatus.INTERNAL_SERVER_ERROR
            return reply
        finally:
            queue.release(grant, measured=measured)

    async def _send(self, request: CallRequest) -> BackendResponse:
        time_left = request.deadline - self._clock.monotonic()
        if time_left <= 0:
            raise CallError(ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed")
        try:
            return await self._sender.send(
                request.method,
                request.target,
                self._dialect.write_request(request, time_left=time_left),
                request.body,
                deadline=request.deadline,
                matches=lambda headers: self._dialect.is_response_to(request, headers),
                max_idle=None if request.repeatable else MAX_IDLE_ONCE_S,
            )
        except CallError as error:
            self.counts[error.code.value] += 1
            if error.code is ErrorCode.NO_BACKEND:
                self.change_state(ServingState.DOWN, reason=error.message)
            raise

    def _read(self, request: CallRequest, response: BackendResponse) -> CallReply:
        answer = self._dialect.read_response(response.status, response.headers)
        if answer.misdirected:
            self.counts["misdirected"] += 1
            self.change_state(ServingState.DOWN, reason="another backend answers")
            raise CallError(ErrorCode.NO_BACKEND, "another backend server answered")
        if not answer.executed:
            self.counts["shed"] += 1
            raise CallError(ErrorCode.BACKEND_REFUSED, "the backend server is full")
        if not answer.genuine and response.status < HTTPStatus.MULTIPLE_CHOICES:
            self.counts["not_genuine"] += 1
            message = "the response is not the backend server's own"
            raise CallError(ErrorCode.BACKEND_FAILED, message, outcome=Outcome.UNKNOWN)
        return CallReply(
            0,
            Outcome.COMPLETE,
            response.status,
            answer.headers,
            response.body,
            "",
            None,
            framed=response.framed,
        )
