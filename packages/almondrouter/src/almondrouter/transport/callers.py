"""HTTP/1.1 server for the requests of callers."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from enum import StrEnum

from almondrouter.clock import Clock, SystemClock
from almondrouter.coordination.callerbudget import (
    Account,
    CallerBudget,
    Holder,
    choose_without_use,
)
from almondrouter.coordination.callerlimits import (
    UNLIMITED_BYTES,
    estimate_request_bytes,
)
from almondrouter.errors import ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.protocol.calls import HeaderList
from almondrouter.protocol.headers import CODE, OUTCOME, VERSION, Outcome
from almondrouter.protocol.outcomes import choose_status
from almondrouter.state.routes import CallerLimits
from almondrouter.transport.calls import CallerRequest, CallerResponse
from almondrouter.transport.listeners import Listener, set_reset_on_close
from almondrouter.transport.output import PacedOutput
from almondrouter.transport.parts import MIN_PARTED_BYTES
from almondrouter.transport.pipelines import Exchange, FramingHistory, Pipeline
from almondrouter.transport.readers import (
    MAX_WAITING_BYTES,
    RequestReader,
    RequestSink,
)
from almondrouter.transport.responses import encode_response
from almondrouter.transport.transfers import TransferPacer

HEADER_TIMEOUT_S = 10.0
"""Time limit for receiving the headers of a request."""
WRITE_TIMEOUT_S = 30.0
"""Time limit for a caller to read a response."""
KEEP_ALIVE_TIMEOUT_S = 75.0
"""Idle time after which a keep-alive connection is closed."""
LINGER_TIMEOUT_S = 2.0
"""Time that a caller gets for closing its connection after the last response.

What it sends meanwhile is discarded. Closing at once would reset the connection if it
sends anything, and the caller could lose the response (RFC 9112 section 9.6).
"""
FLUSH_POLL_INTERVAL_S = 0.01
"""Interval at which a drain checks whether callers have read their responses."""
MAX_HEADER_BYTES = 32_768
MAX_CONNECTIONS = 4_096
RELEASED_CONNECTIONS = 32
"""One of so many connections is closed at once when there are too many, so that the
choice is not made anew for each new connection."""

_log = EventLogger("callers")
CallerHandler = Callable[[CallerRequest], Awaitable[CallerResponse]]


class EndReason(StrEnum):
    """Why a connection of a caller ended with requests that have no response."""

    CALLER_LEFT = "caller_left"
    RESPONSE_UNFRAMED = "response_unframed"
    CLOSED = "closed"


class CallerServer(Listener):
    """HTTP/1.1 server for the requests of callers.

    Parameters
    ----------
    address
        ``ip:port`` to listen on; port 0 selects a free port.
    handler
        Awaited for each complete request; cancelled if the caller disconnects.
    max_body_bytes
        Longest request body that is accepted; unused if ``limits`` is given.
    version
        Returns the configuration version for the headers of error responses.
    clock
        Source of monotonic time.
    limits
        Returns the limits in force; by default ``max_body_bytes`` and the constants
        of this module.
    find_request_id
        Returns the id of a request from its headers, for log lines.
    pacer
        Sends long responses in parts; if None, they are sent at once.
    on_sent
        Called with the length of all that is sent to callers.
    own_ip
        IP address of this host; what is sent to its own processes is neither paced nor
        counted, as it does not use the link.
    budget
        Memory that the connections may hold; may be shared with other servers.
    max_connections
        Limit on open connections; `MAX_CONNECTIONS` if None.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: CallerHandler,
        max_body_bytes: int,
        version: Callable[[], int] = lambda: 0,
        clock: Clock | None = None,
        limits: Callable[[], CallerLimits] | None = None,
        find_request_id: Callable[[HeaderList], str] = lambda headers: "",
        pacer: TransferPacer | None = None,
        on_sent: Callable[[int], None] = lambda size: None,
        own_ip: str = "",
        budget: CallerBudget | None = None,
        max_connections: int | None = None,
    ) -> None:
        super().__init__(address)
        default = CallerLimits(
            MAX_HEADER_BYTES, max_body_bytes, HEADER_TIMEOUT_S, KEEP_ALIVE_TIMEOUT_S
        )
        self.handler = handler
        self.limits = limits or (lambda: default)
        self.version = version
        self.clock = clock or SystemClock()
        self.find_request_id = find_request_id
        self.pacer = pacer
        self.on_sent = on_sent
        self.own_ip = own_ip
        self.budget = budget or CallerBudget(UNLIMITED_BYTES, clock=self.clock)
        self._max_connections = max_connections
        self.framing = FramingHistory(self.clock)
        self.connections: set[CallerConnection] = set()
        self.draining = False
        self.keep_alive_disabled = False
        self.counts: Counter[str] = Counter()

    def make_protocol(self) -> asyncio.BaseProtocol:  # noqa: D102
        return CallerConnection(self)

    def make_output(
        self, transport: asyncio.Transport, peer: str, on_paced: Callable[[], None]
    ) -> PacedOutput:
        """Return the output of a connection to the caller of an IP address."""
        local = peer == self.own_ip
        return PacedOutput(
            transport,
            pacer=None if local else self.pacer,
            on_sent=(lambda size: None) if local else self.on_sent,
            on_paced=on_paced,
        )

    def disable_keep_alive(self) -> None:
        """Serve on, but close each connection after its last pending response."""
        self.keep_alive_disabled = True

    @property
    def requests_in_flight(self) -> int:
        """Number of requests that have no response yet."""
        return sum(connection.in_flight for connection in self.connections)

    async def drain(self) -> None:
        """Refuse new requests, then wait until pending responses have been read.

        Notes
        -----
        Callers get at most ``WRITE_TIMEOUT_S`` for reading their responses, and at
        most ``LINGER_TIMEOUT_S`` for closing their connections after that.
        """
        self.draining = True
        for connection in tuple(self.connections):
            connection.close_if_idle()
        while tasks := [t for c in self.connections for t in c.tasks]:
            await asyncio.wait(tasks)
        self.stop_listening()
        for connection in tuple(self.connections):
            connection.close_if_idle()
        expires_at = self.clock.monotonic() + WRITE_TIMEOUT_S
        while any(connection.is_ending for connection in self.connections):
            if self.clock.monotonic() >= expires_at:
                break
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)

    async def close(self) -> None:
        """Close all connections at once and cancel the requests in flight."""
        self.stop_ticking()
        self.stop_listening()
        tasks = [task for c in self.connections for task in c.tasks]
        for connection in tuple(self.connections):
            connection.abort(EndReason.CLOSED)
        await asyncio.gather(*tasks, return_exceptions=True)

    def make_room(self) -> bool:
        """Close connections of least use; False if a new one has to be refused."""
        limit = self._max_connections or MAX_CONNECTIONS
        if len(self.connections) < limit:
            return True
        for connection in self.connections:
            if connection.is_lingering:
                self._close_for_others(connection)
                return True
        accounts = {c.account: c for c in self.connections}
        count = max(1, limit // RELEASED_CONNECTIONS)
        chosen = choose_without_use(accounts, count, self.clock.monotonic())
        for account in chosen:
            self.counts["connections_released"] += 1
            self._close_for_others(accounts[account])
        return bool(chosen)

    def _close_for_others(self, connection: CallerConnection) -> None:
        connection.abort(EndReason.CLOSED)
        # Its loss is reported later, and it must not be chosen again until then.
        self.connections.discard(connection)

    def tick(self) -> None:
        """Close the connections that exceed a time limit; take back unused memory."""
        self.budget.tick()
        now = self.clock.monotonic()
        for connection in tuple(self.connections):
            connection.enforce_timeout(now)


class CallerConnection(asyncio.Protocol, RequestSink, Holder):
    """One connection of a caller; responses are sent in the order of requests.

    Notes
    -----
    Requests beyond the limit on pipelined requests wait unparsed. Reading goes on
    meanwhile, so that the end of the connection is noticed and cancels its requests.
    Once ``MAX_WAITING_BYTES`` wait, reading is paused until responses have been sent;
    a caller that leaves then is noticed only with the next response. The same holds
    while the budget holds the connection back. While the caller does not read its
    responses, no further request of it starts.
    """

    def __init__(self, server: CallerServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._output: PacedOutput | None = None
        self._pipeline = Pipeline()
        self._reader = RequestReader(
            sink=self, limits=server.limits, clock=server.clock
        )
        self._expires_at = self._reader.expires_at
        self._paused = False
        self._held_back_at: float | None = None
        self._buffer_full = self._goes_on = False
        self.account: Account | None = None
        self._refusal: CallerResponse | None = None
        self._closing = False
        self._half_closed = False
        self._linger_until = self._write_expires_at = server.clock.monotonic()
        self._end_reason = EndReason.CALLER_LEFT

    @property
    def tasks(self) -> list[asyncio.Task[None]]:
        """Tasks of the requests in progress."""
        return self._pipeline.tasks

    @property
    def in_flight(self) -> int:
        """Number of requests that have no response yet."""
        return len(self._pipeline)

    def connection_made(self, transport: asyncio.Transport) -> None:  # noqa: D102
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._reader.peer = peer[0] if peer else ""
        self._output = self._server.make_output(
            transport, self._reader.peer, self._go_on_after_writing
        )
        server = self._server
        has_room = server.make_room()
        self.account = server.budget.open(self._reader.peer, self)
        server.connections.add(self)
        if not has_room:
            server.counts["connections_refused"] += 1
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:  # noqa: D102
        self._server.connections.discard(self)
        self._server.budget.close(self.account)
        # The reader and its parser refer to each other, so that an unfinished body
        # would be kept until the next garbage collection.
        self._reader.stop()
        self._closing = True
        self._output.discard()
        self._drop_requests()

    def data_received(self, data: bytes) -> None:  # noqa: D102
        reader = self._reader
        reader.feed(data)
        held = reader.held_bytes
        if held or self.account.receiving:
            self._server.budget.set_receiving(self.account, held)
        if reader.waiting_bytes:
            self._go_on_later()
            self._update_reading()

    @property
    def _writing_paused(self) -> bool:
        """Whether responses wait for the caller or for the link of this host."""
        return self._buffer_full or self._output.is_pacing

    @property
    def request_room(self) -> int:
        """Number of requests that may be added to those waiting for a response."""
        return 0 if self._writing_paused else self._pipeline.room

    def confirm_expectation(self) -> None:  # noqa: D102
        if not self._pipeline:
            self._output.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def accept_request(self, request: CallerRequest, *, keep_alive: bool) -> None:
        """Queue the complete request and start it if its turn has come."""
        if not self._pipeline and self._server.draining:
            self.refuse_request(ErrorCode.STOPPING)
            return
        size = estimate_request_bytes(len(request.headers), len(request.body))
        if not self._server.budget.admit_request(self.account, size):
            self.refuse_request(ErrorCode.MEMORY_SHORT)
            return
        self._pipeline.append(Exchange(request, keep_alive, size))
        self._start_ready_requests()

    @property
    def is_receiving(self) -> bool:
        """Whether a request has been received in part."""
        return self._reader.receiving

    @property
    def is_writing(self) -> bool:
        """Whether response data has yet to leave this process."""
        return self._output.is_writing

    @property
    def is_lingering(self) -> bool:
        """Whether the last response has been sent and the caller has yet to close."""
        return self._half_closed and not self.is_writing

    @property
    def is_ending(self) -> bool:
        """Whether the caller may not have received all that was sent."""
        now = self._server.clock.monotonic()
        return self.is_writing or (self._half_closed and now < self._expires_at)

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being received or served."""
        if not self._closing and not self._pipeline and not self.is_receiving:
            if self.is_writing or self._server.clock.monotonic() < self._linger_until:
                self._half_close()
            else:
                self._closing = True
                self._transport.close()

    def abort(self, reason: EndReason) -> None:
        """Close the connection at once and discard unsent data."""
        self._end_reason = reason
        self._closing = True
        self._half_closed = False
        self._reader.stop()
        self._output.discard()
        self._transport.abort()

    def enforce_timeout(self, now: float) -> None:
        """Refuse the request or close the connection if its time limit has passed."""
        if self._half_closed and self.is_writing:
            # The caller gets its time after the last byte has left the buffer.
            self._linger_until = now + LINGER_TIMEOUT_S
            self._expires_at = min(self._linger_until, self._write_expires_at)
        if self._pipeline and (self._pipeline.has_started or not self._writing_paused):
            return
        if self.is_receiving and not self._writing_paused:
            if self._held_back_at is not None:
                return
            if now >= self._reader.expires_at:
                self._server.counts["slow_callers"] += 1
                self.refuse_request(ErrorCode.HEADER_INVALID)
        elif now >= self._expires_at:
            self.abort(EndReason.CLOSED)

    def _start_ready_requests(self) -> None:
        """Start the queued requests that need not wait for earlier ones."""
        if self._writing_paused:
            return
        concurrent = self._server.framing.is_reliable
        for exchange in self._pipeline.list_startable(concurrent=concurrent):
            exchange.started = True
            exchange.task = asyncio.create_task(self._serve_request(exchange))

    async def _serve_request(self, exchange: Exchange) -> None:
        try:
            exchange.response = await self._server.handler(exchange.request)
        except asyncio.CancelledError as error:
            if self._closing:
                raise
            # Not cancelled by this connection: its caller still waits.
            exchange.response = self._report_failure(error)
        except Exception as error:  # noqa: BLE001 - the server has to outlive a failed call
            exchange.response = self._report_failure(error)
        finally:
            exchange.task = None
        self._server.framing.record(exchange.response)
        if self._closing:
            return
        if not self._pipeline.is_first(exchange):
            size = len(exchange.response.body)
            exchange.held_bytes += size
            self._server.budget.add_response(self.account, size)
        # The budget may have closed this connection.
        if not self._closing:
            self._send_ready_responses()

    def _report_failure(self, error: BaseException) -> CallerResponse:
        self._server.counts["failed"] += 1
        _log.error(
            "request handler raised an exception; the outcome is unknown",
            error=repr(error),
        )
        return self._make_error_response(Outcome.UNKNOWN, ErrorCode.BACKEND_FAILED)

    def _send_ready_responses(self) -> None:
        """Send responses in the order of the requests, as far as they are complete."""
        server = self._server
        while (exchange := self._pipeline.pop_answered()) is not None:
            server.budget.finish_request(self.account, exchange.held_bytes)
            if server.draining or server.keep_alive_disabled:
                # Requests that arrive from now on are ignored. Their caller may
                # safely retry them elsewhere once the connection is closed.
                self._reader.stop()
            if not exchange.response.framed and self._pipeline.has_started:
                exchange.response = self._withhold_response(exchange)
            last = self._reader.stopped and not (self._pipeline or self._refusal)
            keep_alive = exchange.keep_alive and not last and exchange.response.framed
            self._write_response(exchange.response, keep_alive=keep_alive)
            if not keep_alive:
                self._end_reason = EndReason.RESPONSE_UNFRAMED
                self._half_close()
                return
        if self._refusal is not None and not self._pipeline:
            self._send_refusal()
            return
        self._start_ready_requests()
        self._resume_reading()

    def _withhold_response(self, exchange: Exchange) -> CallerResponse:
        """Return an error in place of a response without a length.

        Notes
        -----
        Its connection would have to be closed, and the safe requests that run behind
        it would have no response. Its own request is safe as well, so that the caller
        may send it again.
        """
        server, request = self._server, exchange.request
        server.counts["unframed_withheld"] += 1
        _log.request(
            "response without a length withheld; requests behind it are running",
            request=server.find_request_id(request.headers),
            behind=len(self._pipeline),
            after=round(server.clock.monotonic() - request.began_at, 4),
        )
        return self._make_error_response(Outcome.UNKNOWN, ErrorCode.BACKEND_FAILED)

    def _resume_reading(self) -> None:
        """Parse the requests that waited; read on if enough of them fitted."""
        if not self._reader.waiting_bytes:
            return
        self._reader.resume()
        self._server.budget.set_receiving(self.account, self._reader.held_bytes)
        self._go_on_later()
        self._update_reading()

    def _go_on_later(self) -> None:
        """Parse on after other connections had their turn, if bytes wait for that."""
        if self._reader.is_interrupted and not self._goes_on:
            self._goes_on = True
            asyncio.get_running_loop().call_soon(self._go_on)

    def _go_on(self) -> None:
        self._goes_on = False
        if not self._closing and not self._reader.stopped:
            self._reader.go_on()
            self._server.budget.set_receiving(self.account, self._reader.held_bytes)
            self._go_on_later()
            self._update_reading()

    def _update_reading(self) -> None:
        """Pause reading if enough bytes wait or the budget demands it."""
        pause = not self._closing and (
            self._held_back_at is not None
            or self._reader.waiting_bytes >= MAX_WAITING_BYTES
        )
        if pause is self._paused or self._transport.is_closing():
            return
        self._paused = pause
        if pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def measure_unsent(self) -> int:  # noqa: D102
        return self._output.unsent_bytes

    def awaits_caller(self) -> bool:  # noqa: D102
        return self._transport.get_write_buffer_size() > 0

    def hold_back(self, *, enabled: bool) -> None:
        """Stop reading, and the time limit of the request; or go on with both."""
        now = self._server.clock.monotonic()
        if enabled:
            self._held_back_at = now
        elif self._held_back_at is not None:
            self._reader.expires_at += now - self._held_back_at
            self._held_back_at = None
        self._update_reading()

    def refuse_for_memory(self) -> None:  # noqa: D102
        self.refuse_request(ErrorCode.MEMORY_SHORT)

    def close_for_memory(self) -> None:  # noqa: D102
        self.abort(EndReason.CLOSED)

    def _drop_requests(self) -> None:
        """Cancel the requests that get no response, as the connection has ended."""
        for position, exchange in enumerate(self._pipeline.clear()):
            self._server.budget.finish_request(self.account, exchange.held_bytes)
            if exchange.task is not None:
                exchange.task.cancel()
            self._log_unanswered(exchange, position)

    def _log_unanswered(self, exchange: Exchange, position: int) -> None:
        server, request = self._server, exchange.request
        server.counts[f"unanswered_{self._end_reason}"] += 1
        _log.request(
            "connection of the caller ended before the response",
            request=server.find_request_id(request.headers),
            reason=self._end_reason.value,
            position=position,
            started=exchange.task is not None,
            answered=exchange.response is not None,
            after=round(server.clock.monotonic() - request.began_at, 4),
        )

    def refuse_request(self, code: ErrorCode, *, event: str = "") -> None:
        """Read no further, and send an error response after the pending responses."""
        if self._refusal is not None or self._closing:
            return
        self._reader.stop()
        for name in (event, code.value) if event else (code.value,):
            self._server.counts[name] += 1
        self._refusal = self._make_error_response(Outcome.NOT_RUN, code)
        if not self._pipeline:
            self._send_refusal()

    def _send_refusal(self) -> None:
        self._write_response(self._refusal, keep_alive=False)
        self._half_close()

    def _write_response(self, response: CallerResponse, *, keep_alive: bool) -> None:
        now = self._server.clock.monotonic()
        self.account.progressed_at = now
        self._linger_until = now + LINGER_TIMEOUT_S
        self._write_expires_at = now + WRITE_TIMEOUT_S
        self._expires_at = now + max(
            WRITE_TIMEOUT_S, self._server.limits().idle_timeout
        )
        if not response.framed:
            # The end of the connection tells that the response is whole, so that it
            # must not end in order before all is written.
            self._output.flush()
            self._transport.set_write_buffer_limits(high=0)
            set_reset_on_close(self._transport, enabled=True)
        data = encode_response(response, keep_alive=keep_alive)
        self._output.write(data, response.urgency if response.framed else None)
        if self._writing_paused or len(data) > MIN_PARTED_BYTES:
            # A long response may wait for its turn on the link of the host.
            self._server.budget.measure_unsent(self.account)
        if not response.framed and not self.is_writing:
            set_reset_on_close(self._transport, enabled=False)

    def pause_writing(self) -> None:
        """Start no further request until the caller has read its responses."""
        self._buffer_full = True
        self._output.set_writable(False)
        self._server.budget.measure_unsent(self.account)

    def resume_writing(self) -> None:
        """Go on; allow the connection to end in order, as all responses are written."""
        self._buffer_full = False
        set_reset_on_close(self._transport, enabled=False)
        self._output.set_writable(True)
        self._go_on_after_writing()

    def _go_on_after_writing(self) -> None:
        if self._transport.is_closing():
            return
        self._server.budget.measure_unsent(self.account)
        if not self._closing:
            self._start_ready_requests()
            self._resume_reading()

    def _half_close(self) -> None:
        """End the output and discard input until the caller closes the connection.

        Notes
        -----
        Closing the connection while bytes of the caller are unread, or before they
        arrive, would reset it, and the caller could lose what it has not received.
        """
        self._closing = self._half_closed = True
        self._reader.stop()
        self._drop_requests()
        self._expires_at = self._linger_until
        self._update_reading()
        self._output.write_eof()

    def _make_error_response(self, outcome: Outcome, code: ErrorCode) -> CallerResponse:
        headers = (
            (OUTCOME, outcome.value),
            (CODE, code.value),
            (VERSION, str(self._server.version())),
        )
        return CallerResponse(choose_status(outcome, code), headers, b"")
