"""The backend server of this host: its state, its slots and its responses.

Used by the daemon for hosting platforms, where a host has one backend server.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections import Counter
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from almondrouter.clock import Clock
from almondrouter.coordination.crashes import CrashGuard
from almondrouter.coordination.intake import BodyIntake
from almondrouter.coordination.peerbodies import PeerBodies
from almondrouter.coordination.quarantine import compute_fingerprint
from almondrouter.coordination.rollouts.tally import RunTally
from almondrouter.coordination.slots import Grant, SlotQueue
from almondrouter.coordination.transfers.admission import TransferAdmission
from almondrouter.errors import ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.protocol.calls import (
    BodyOffer,
    CallReply,
    CallRequest,
    LinkRequest,
    Load,
)
from almondrouter.protocol.dialect import BackendLoad, Dialect
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError, make_reply
from almondrouter.state.hosts import BackendEntry, Departure, ServingState
from almondrouter.transport.calls import BackendResponse, BackendSender

MAX_IDLE_NON_REPEATABLE_S = 0.1
"""Longest idle time of a connection that is reused for a request that is not
repeatable. If the backend server has closed the connection meanwhile, such a request
fails and cannot be retried."""

MAX_DEPARTURES = 100
"""Limit of stored departures, one per backend server name; a host has one backend
server at a time."""

MAX_SILENCE_S = 1.0
"""Time since its last response within which a backend server that runs requests and
refuses a connection counts as full. Otherwise it is taken for ended."""

_UNLOGGED_CODES = frozenset({ErrorCode.BUSIER_THAN_EXPECTED, ErrorCode.CALL_CANCELLED})
"""Codes after which the sending daemon tries again, or logs why it withdrew."""


_log = EventLogger("backend")


class _RefusedError(CallError):
    """A backend server refused a request without running it.

    Parameters
    ----------
    report
        Load that it reported with the refusal.
    """

    def __init__(
        self,
        message: str,
        *,
        code: ErrorCode = ErrorCode.BACKEND_REFUSED,
        report: BackendLoad | None = None,
    ) -> None:
        super().__init__(code, message)
        self.report = report


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
        Schedules the transfer of long bodies to this host.
    bodies
        Memory for these bodies; if None, it is not limited.
    guard
        Refuses requests that crash backend servers.
    on_changed
        Called after `entry` or `departure` has changed.
    transfers
        Admits requests with long responses; if None, all are admitted.
    tally
        Counts results by version and route during roll-outs.
    is_barred
        Returns whether a version of a service was rolled back, so that its servers
        refuse requests.
    find_rate
        Returns the declared rate of a tenant; 0 for none.
    """

    def __init__(
        self,
        *,
        sender: BackendSender,
        dialect: Dialect,
        clock: Clock,
        intake: BodyIntake,
        bodies: PeerBodies | None = None,
        guard: CrashGuard,
        on_changed: Callable[[], None],
        transfers: TransferAdmission | None = None,
        tally: RunTally | None = None,
        is_barred: Callable[[str, str], bool] = lambda service, version: False,
        find_rate: Callable[[str], float] = lambda tenant: 0.0,
    ) -> None:
        self._find_rate = find_rate
        self._tally = tally or RunTally(clock)
        self._is_barred = is_barred
        self._transfers = transfers
        self._intake = intake
        self._bodies = bodies
        self._guard = guard
        self._sender = sender
        self._dialect = dialect
        self._clock = clock
        self._on_changed = on_changed
        self._runs: dict[asyncio.Task[CallReply], str] = {}
        self._departures: dict[str, int] = {}
        self._responded_at = -math.inf
        self.entry: BackendEntry | None = None
        self.departure: Departure | None = None
        """Latest departure that a backend server of this host has announced."""
        self.queue = SlotQueue(1, clock=clock)
        self._not_ready = asyncio.Event()
        self.counts: Counter[str] = Counter()

    def apply_announcement(self, entry: BackendEntry) -> None:
        """Apply a state that the backend server announces, unless it is outdated."""
        known = self.entry
        if known is not None and entry.started_ms < known.started_ms:
            return
        departed = False
        if entry.state is ServingState.LEAVING:
            departed = self._record_departure(entry.backend, entry.started_ms)
        elif self.has_left(entry):
            # A delayed heartbeat of a backend server that has left, or its record from
            # an earlier daemon process on this host.
            return
        was_leaving = known is not None and known.state is ServingState.LEAVING
        restarted = known is None or (
            (known.backend, known.started_ms) != (entry.backend, entry.started_ms)
        )
        if restarted:
            self.queue.refuse_waiting(
                ErrorCode.NO_BACKEND, "the backend server has restarted"
            )
            self.queue = SlotQueue(
                entry.slots, clock=self._clock, find_rate=self._find_rate
            )
        elif known == entry or was_leaving:
            # Leaving is final until the backend server is started again.
            if departed:
                self._on_changed()
            return
        else:
            self.queue.usable.announce(entry.slots)
        self.entry = entry
        self._tally.note_start(self.current_start)
        _log.info(
            "backend server announced",
            backend=entry.backend,
            service=entry.service,
            state=entry.state.value,
            started_ms=entry.started_ms,
            slots=entry.slots,
        )
        self._apply_readiness(entry)
        self._on_changed()

    def has_left(self, entry: BackendEntry) -> bool:
        """Return whether a start of a backend server has announced its departure."""
        return entry.started_ms <= self._departures.get(entry.backend, 0)

    def mark_leaving(self, backend: str, started_ms: int | None) -> None:
        """Record that a backend server is leaving, even if it has not announced itself.

        Parameters
        ----------
        backend
            Name of the backend server.
        started_ms
            Its start time in Unix milliseconds. None stands for the known start time,
            or for the current time if the backend server is not known.
        """
        entry = self.entry
        is_known = entry is not None and entry.backend == backend
        if started_ms is None:
            now_ms = int(self._clock.wall() * 1000)
            started_ms = entry.started_ms if is_known else now_ms
        departed = self._record_departure(backend, started_ms)
        if (
            is_known
            and started_ms >= entry.started_ms
            and entry.state is not ServingState.LEAVING
        ):
            self.change_state(
                ServingState.LEAVING,
                reason="the backend server announced that it is leaving",
            )
        elif departed:
            self._on_changed()

    def _record_departure(self, backend: str, started_ms: int) -> bool:
        """Remember a departure; return whether `departure` has changed."""
        if backend not in self._departures and len(self._departures) >= MAX_DEPARTURES:
            del self._departures[next(iter(self._departures))]
        self._departures[backend] = max(started_ms, self._departures.get(backend, 0))
        if self.departure is not None and started_ms <= self.departure.started_ms:
            return False
        self.departure = Departure(backend, started_ms)
        return True

    def change_state(self, state: ServingState, *, reason: str) -> None:
        """Change the state of the current backend server, unless it is leaving."""
        entry = self.entry
        if entry is None or entry.state in (state, ServingState.LEAVING):
            return
        self.entry = msgspec.structs.replace(entry, state=state)
        _log.info(
            "backend server changed state",
            backend=entry.backend,
            state=state.value,
            reason=reason,
        )
        self._apply_readiness(self.entry)
        self._on_changed()

    def _apply_readiness(self, entry: BackendEntry) -> None:
        """Refuse what waits if the backend server is not ready.

        Requests and offers of bodies are then tried elsewhere at once.

        Notes
        -----
        A slot granted later would be of no use: `_check_destination` refuses each
        request that is granted one while the backend server is not ready.
        """
        if entry.state is not ServingState.READY:
            message = f"backend server {entry.backend!r} is {entry.state.value}"
            self.queue.refuse_waiting(ErrorCode.NO_BACKEND, message)
            if self._bodies is not None:
                self._bodies.refuse_waiting()
            self._not_ready.set()
        else:
            self._not_ready.clear()

    async def handle_call(self, request: CallRequest) -> CallReply:
        """Run a request; return its result or error as a reply with the load."""
        try:
            reply = await self.run(request)
        except CallError as error:
            reply = make_reply(error.code, error.outcome)
        return msgspec.structs.replace(reply, load=self.load)

    def withdraw(self, request: LinkRequest) -> bool:
        """Refuse a request that waits for a slot; return whether it was waiting."""
        return self.queue.withdraw(request)

    async def run(self, request: CallRequest) -> CallReply:
        """Run a request and return its result.

        Raises
        ------
        CallError
            The outcome is ``NOT_RUN`` only if the request has certainly not run and
            will not run later.
        """
        try:
            return await self._run_admitted(request)
        except CallError as error:
            if error.code in _UNLOGGED_CODES:
                raise
            load = self.queue.load()
            _log.request(
                "request not served by local backend server",
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
                **describe_content(request, error),
            )
            raise

    async def _run_admitted(self, request: CallRequest) -> CallReply:
        """Run a request if the link can carry its response in time."""
        if self._transfers is None:
            return await self._run_request(request)
        self._check_destination(request)
        run_time = self.queue.estimate_run_time(request.class_name)
        with self._transfers.admit(request, run_time=run_time):
            reply = await self._run_request(request)
        self._transfers.record(request.class_name, reply)
        return reply

    async def _run_request(self, request: CallRequest) -> CallReply:
        self._check_destination(request)
        fingerprint = make_fingerprint(request)
        self._guard.check_not_condemned(fingerprint)
        queue = self.queue
        grant = await queue.acquire(request)
        try:
            self._check_destination(request)
            self._check_for_suspicion(fingerprint)
        except CallError:
            queue.release(grant, measured=False)
            raise
        run = asyncio.ensure_future(self._run_guarded(request, fingerprint))
        self._runs[run] = request.attempt_id
        # A task that is cancelled before its first step runs none of its code, so that
        # the slot is released by a callback.
        run.add_done_callback(lambda done: self._finish_run(done, queue, grant))
        if request.repeatable:
            return await run
        # A request that is not repeatable runs to its end even if the caller cancels
        # it, since an interrupted run may leave partial effects.
        return await asyncio.shield(run)

    @property
    def runs_in_flight(self) -> int:
        """Number of requests that the backend server is running."""
        return len(self._runs)

    def is_running(self, attempt_id: str) -> bool:
        """Return whether the backend server is running the request of an attempt id."""
        return bool(attempt_id) and attempt_id in self._runs.values()

    @property
    def load(self) -> Load | None:
        """Current load; None if the backend server accepts no work."""
        if self.entry is None or self.entry.state is not ServingState.READY:
            return None
        load = self.queue.load()
        if self._transfers is None:
            return load
        return msgspec.structs.replace(load, link_wait=self._transfers.link_wait)

    def _finish_run(
        self, run: asyncio.Task[CallReply], queue: SlotQueue, grant: Grant
    ) -> None:
        """Release the slot of a run that has ended in any way."""
        self._runs.pop(run, None)
        if run.cancelled():
            queue.abandon(grant)
            return
        # If no caller retrieves the exception, asyncio logs it as an error.
        error = run.exception()
        if error is None:
            queue.usable.record_accepted(grant.level)
            status = run.result().status
            measured = status < HTTPStatus.INTERNAL_SERVER_ERROR
            queue.release(grant, measured=measured)
            return
        code = error.code if isinstance(error, CallError) else None
        if code is ErrorCode.DEADLINE_EXCEEDED and error.outcome is Outcome.UNKNOWN:
            queue.abandon(grant)
            return
        if isinstance(error, _RefusedError):
            queue.usable.record_refused(grant.level, error.report)
        elif code is ErrorCode.BACKEND_FAILED:
            # Some backend servers reset the connection when they are full.
            queue.usable.record_refused(grant.level)
        queue.release(grant, measured=False)

    async def answer_offer(self, offer: BodyOffer) -> CallReply:
        """Reply to the offer of a long body at the time when its transfer may start.

        The reply has status 100, or an error code if the offer is refused.
        """
        try:
            self._check_destination(offer)
            await self._admit_body(offer)
        except CallError as error:
            reply = make_reply(error.code, error.outcome)
            return msgspec.structs.replace(reply, load=self.load)
        status = HTTPStatus.CONTINUE
        return CallReply(0, Outcome.COMPLETE, status, (), b"", "", self.load)

    async def _admit_body(self, offer: BodyOffer) -> None:
        """Return when there is memory for a body and its transfer may start."""
        run_time = self.queue.estimate_run_time(offer.class_name)
        arrive_by = offer.useful_until - run_time
        if self._bodies is not None and not await self._bodies.accept(
            offer, until=arrive_by, run_time=run_time
        ):
            self._check_destination(offer)
            message = f"no memory for {offer.size} bytes of body in time"
            raise CallError(ErrorCode.OVERLOADED, message)
        try:
            self._check_destination(offer)
            await self._wait_for_turn(self._schedule_body(offer, arrive_by))
            self._check_destination(offer)
        except BaseException:
            if self._bodies is not None:
                self._bodies.decline(offer)
            raise

    async def _wait_for_turn(self, starts_at: float) -> None:
        """Wait until a body may be sent, or the backend server stops being ready."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(starts_at - self._clock.monotonic()):
                await self._not_ready.wait()

    def _schedule_body(self, offer: BodyOffer, arrive_by: float) -> float:
        starts_at = self._intake.reserve(offer.size, arrive_by=arrive_by)
        if starts_at is None:
            message = f"{offer.size} bytes of body would arrive too late"
            raise CallError(ErrorCode.OVERLOADED, message)
        return starts_at

    def _check_destination(self, request: CallRequest | BodyOffer) -> None:
        entry = self.entry
        if entry is None or entry.backend != request.backend:
            message = f"backend server {request.backend!r} is not on this host"
            raise CallError(ErrorCode.NO_BACKEND, message)
        if entry.state is not ServingState.READY:
            message = f"backend server {entry.backend!r} is {entry.state.value}"
            raise CallError(ErrorCode.NO_BACKEND, message)
        if self._is_barred(entry.service, entry.version):
            message = f"version {entry.version!r} was rolled back"
            raise CallError(ErrorCode.NO_BACKEND, message)

    def _check_for_suspicion(self, fingerprint: str) -> None:
        """Refuse a request that crashes backend servers, or must not run beside others.

        It may have come under suspicion while it waited for its slot.
        """
        self._guard.check_not_condemned(fingerprint)
        if not self._guard.may_run_now(self.current_start, fingerprint):
            message = "another request suspected of a crash is in flight on this host"
            raise CallError(ErrorCode.OVERLOADED, message)

    @property
    def current_start(self) -> str:
        """Id of the backend server with its start, which differ for each start."""
        entry = self.entry
        return f"{entry.backend}/{entry.started_ms}" if entry else ""

    async def _run_guarded(self, request: CallRequest, fingerprint: str) -> CallReply:
        """Run a request; tell the guard whether the backend server crashed under it."""
        guard, start = self._guard, self.current_start
        completed = False
        guard.begin_request(start, fingerprint)
        try:
            reply = await self._run_with_slot(request)
            completed = True
        except CallError as error:
            if error.code is ErrorCode.BACKEND_FAILED:
                await guard.check_for_crash(start, fingerprint)
            raise
        finally:
            guard.end_request(start, fingerprint, completed=completed)
        return reply

    def mark_crashed(self, start: str) -> None:
        """Take the backend server out of use if it is still that start of it."""
        if start == self.current_start:
            self.counts["crashed"] += 1
            self.change_state(ServingState.DOWN, reason="it crashed")

    async def _run_with_slot(self, request: CallRequest) -> CallReply:
        version = self.entry.version if self.entry else ""
        run = self._tally.begin(version, request.class_name, request.attempt_id)
        result: CallReply | CallError | None = None
        responded = False
        try:
            response = await self._send_request(request)
            responded = True
            result = self._interpret_response(request, response)
        except CallError as error:
            result = error
            raise
        finally:
            self._tally.end(run, result, responded=responded)
        return result

    async def _send_request(self, request: CallRequest) -> BackendResponse:
        time_left = request.deadline - self._clock.monotonic()
        if time_left <= 0:
            raise CallError(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed before the request was sent",
            )
        try:
            return await self._sender.send(
                request.method,
                request.target,
                self._dialect.write_request(request, time_left=time_left),
                request.body,
                deadline=request.deadline,
                attempt_id=request.attempt_id,
                matches=lambda headers, reused: self._dialect.is_response_to(
                    request, headers, reused=reused
                ),
                max_idle=_find_max_idle(request),
            )
        except CallError as error:
            self.counts[error.code.value] += 1
            if error.code is ErrorCode.NO_BACKEND:
                if self._is_alive() and isinstance(error.__cause__, ConnectionError):
                    message = "the backend server is full and refuses connections"
                    # It has not received the request, so that another attempt is no
                    # retry.
                    code = ErrorCode.OVERLOADED
                    raise _RefusedError(message, code=code) from error
                self.change_state(ServingState.DOWN, reason=error.message)
            raise

    def _is_alive(self) -> bool:
        """Return whether the backend server runs other requests and has responded."""
        silence = self._clock.monotonic() - self._responded_at
        return len(self._runs) > 1 and silence < MAX_SILENCE_S

    def _interpret_response(
        self, request: CallRequest, response: BackendResponse
    ) -> CallReply:
        response_info = self._dialect.read_response(response.status, response.headers)
        self._responded_at = self._clock.monotonic()
        if response_info.load is not None and not response_info.misdirected:
            self.queue.apply_report(response_info.load)
        if response_info.misdirected:
            self.counts["misdirected"] += 1
            self.change_state(
                ServingState.DOWN, reason="a different backend server responded"
            )
            raise CallError(
                ErrorCode.NO_BACKEND, "a different backend server responded"
            )
        if not response_info.executed:
            self.counts["shed"] += 1
            raise _RefusedError(
                "the backend server refused the request without running it",
                report=response_info.load,
            )
        if not response_info.genuine and response.status < HTTPStatus.MULTIPLE_CHOICES:
            self.counts["not_genuine"] += 1
            message = "the origin of the response cannot be verified"
            raise CallError(ErrorCode.BACKEND_FAILED, message, outcome=Outcome.UNKNOWN)
        return CallReply(
            0,
            Outcome.COMPLETE,
            response.status,
            response_info.headers,
            response.body,
            "",
            None,
            framed=response.framed,
        )


def make_fingerprint(request: CallRequest) -> str:
    """Return a digest that is the same each time a caller sends a request again.

    Its route may have another name by then, or lead to another service.
    """
    virtual_host = dict(request.headers).get("host", "")
    scope = f"{virtual_host}\0{request.caller_service}"
    return compute_fingerprint(scope, request.method, request.target, request.body)


def describe_content(request: CallRequest, error: CallError) -> dict[str, str]:
    """Return the log field by which attempts of one request are recognised."""
    if error.outcome is Outcome.NOT_RUN:
        return {}
    return {"fingerprint": make_fingerprint(request)}


def _find_max_idle(request: CallRequest) -> float | None:
    """Return the longest idle time of a connection for a request; None for any."""
    if not request.attempt_id:
        # Only the first response on a connection belongs to it beyond doubt.
        return 0.0
    return None if request.repeatable else MAX_IDLE_NON_REPEATABLE_S
