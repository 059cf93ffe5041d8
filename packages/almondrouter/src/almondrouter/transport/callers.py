"""HTTP server for callers."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus

import httptools

from almondrouter.clock import Clock, SystemClock
from almondrouter.errors import ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.protocol.headers import CODE, OUTCOME, VERSION, Outcome
from almondrouter.protocol.outcomes import choose_status
from almondrouter.state.routes import CallerLimits
from almondrouter.transport.calls import CallerRequest, CallerResponse
from almondrouter.transport.listeners import Listener

READ_HEADERS_S = 10.0
"""Seconds in which the headers of a request must have arrived."""
READ_BODY_S = 30.0
"""Seconds in which the body of a request must have arrived."""
WRITE_S = 30.0
"""Seconds in which a caller must have read a response."""
KEEP_ALIVE_S = 75.0
"""Seconds after which a connection without a request is closed."""
LINGER_S = 2.0
"""Seconds for reading a refusal while the rest of its request is discarded.

Closing at once would reset the connection, which can destroy the refusal.
"""
FLUSH_CHECK_S = 0.01
"""Seconds between looks at responses that callers are still reading."""
MAX_HEADER_BYTES = 32_768
MAX_PIPELINED = 16
MAX_CONNECTIONS = 4_096

_log = EventLogger("callers")
_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    for status in HTTPStatus
}
_BODYLESS = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})

_CONCURRENT_METHODS = frozenset({"GET", "HEAD"})
"""Methods whose pipelined requests are served at the same time."""

CallerHandler = Callable[[CallerRequest], Awaitable[CallerResponse]]


class CallerServer(Listener):
    """Serves the requests of callers over HTTP/1.1.

    Parameters
    ----------
    address
        ``ip:port`` to listen on; port 0 takes a free one.
    handler
        Called for each whole request; cancelled if the caller goes away.
    max_body_bytes
        Longest body that is accepted, in bytes.
    version
        Returns the configuration version that refusals name.
    clock
        Source of monotonic time.
    limits
        Returns the limits in force; the constants of this module by default.
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
    ) -> None:
        super().__init__(address)
        default = CallerLimits(
            MAX_HEADER_BYTES, max_body_bytes, READ_HEADERS_S, KEEP_ALIVE_S
        )
        self.handler = handler
        self.limits = limits or (lambda: default)
        self.version = version
        self.clock = clock or SystemClock()
        self.connections: set[CallerConnection] = set()
        self.draining = False
        self.winding_down = False
        self.counts: Counter[str] = Counter()

    def make_protocol(self) -> asyncio.BaseProtocol:  # noqa: D102
        return CallerConnection(self)

    def wind_down(self) -> None:
        """Go on serving, but ask callers to close their connections."""
        self.winding_down = True

    @property
    def requests_in_flight(self) -> int:
        """Return how many requests have no response yet."""
        return sum(connection.in_flight for connection in self.connections)

    async def drain(self) -> None:
        """Refuse new requests and wait until those in flight are answered."""
        self.draining = True
        for connection in tuple(self.connections):
            connection.close_if_idle()
        while tasks := [t for c in self.connections for t in c.tasks]:
            await asyncio.wait(tasks)
        self.stop_listening()
        for connection in tuple(self.connections):
            connection.close_if_idle()
        expires_at = self.clock.monotonic() + WRITE_S
        while any(connection.is_writing for connection in self.connections):
            if self.clock.monotonic() >= expires_at:
                break
            await asyncio.sleep(FLUSH_CHECK_S)

    async def close(self) -> None:
        """Stop at once; requests in flight are cancelled."""
        self.stop_ticking()
        self.stop_listening()
        tasks = [task for c in self.connections for task in c.tasks]
        for connection in tuple(self.connections):
            connection.abort()
        await asyncio.gather(*tasks, return_exceptions=True)

    def tick(self) -> None:
        """Close the connections whose caller is too slow."""
        now = self.clock.monotonic()
        for connection in tuple(self.connections):
            connection.check_time(now)


@dataclass(slots=True, eq=False)
class _Exchange:
    """A request with its response, once there is one."""

    request: CallerRequest
    keep_alive: bool
    task: asyncio.Task[None] | None = None
    response: CallerResponse | None = None


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; responses are sent in the order of requests.

    Notes
    -----
    Pipelined requests run at the same time only if their methods are safe. Any
    other request waits until all before it are answered, since its caller
    sends it again if an earlier response closes the connection.
    """

    def __init__(self, server: CallerServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._exchanges: deque[_Exchange] = deque()
        limits = server.limits()
        self._expires_at = server.clock.monotonic() + limits.header_timeout
        self._peer = ""
        self._refused = False
        self._reading = False
        self._closing = False
        self._accepting = True
        self._began_at = server.clock.monotonic()
        self._reset()

    @property
    def tasks(self) -> list[asyncio.Task[None]]:
        """Return the tasks of the requests that are served now."""
        return [e.task for e in self._exchanges if e.task is not None]

    @property
    def in_flight(self) -> int:
        """Return how many requests have no response yet."""
        return len(self._exchanges)

    def connection_made(self, transport: asyncio.Transport) -> None:  # noqa: D102
        self._transport = transport
        peer = transport.get_extra_info("peername")
        self._peer = peer[0] if peer else ""
        self._server.connections.add(self)
        if len(self._server.connections) > MAX_CONNECTIONS:
            self._server.counts["connections_refused"] += 1
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:  # noqa: D102
        self._server.connections.discard(self)
        self._closing = True
        self._cancel_all()

    def data_received(self, data: bytes) -> None:  # noqa: D102
        if self._refused:
            return
        if not self._reading:
            self._reading = True
            limits = self._server.limits()
            self._expires_at = self._server.clock.monotonic() + limits.header_timeout
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(ErrorCode.HEADER_INVALID)
        except httptools.HttpParserError as error:
            # An error raised in a callback is the refusal that it has made.
            if not self._refused:
                self._server.counts[type(error).__name__] += 1
                self._refuse(ErrorCode.HEADER_INVALID)
        else:
            if self._reading and not self._headers_done:
                self._partial_bytes += len(data)
                self._check_header_bytes(self._partial_bytes)

    def on_message_begin(self) -> None:
        """Note when the request begins; a long body may take a while."""
        self._began_at = self._server.clock.monotonic()

    def on_url(self, url: bytes) -> None:
        """Take a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check what the headers say of the body."""
        self._headers_done = True
        self._expires_at = self._server.clock.monotonic() + READ_BODY_S
        size = sum(len(name) + len(value) for name, value in self._headers)
        self._check_header_bytes(size + len(self._target))
        if self._parser.should_upgrade():
            self._refuse(ErrorCode.HEADER_INVALID)
        for name, value in self._headers:
            if name == "content-length" and int(value) > self._max_body_bytes:
                self._refuse(ErrorCode.BODY_TOO_LARGE)
            elif name == "expect" and not self._refused and not self._exchanges:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_size += len(body)
        if self._body_size > self._max_body_bytes:
            self._refuse(ErrorCode.BODY_TOO_LARGE)
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Serve the request, or keep it until the ones before are answered."""
        if self._refused or not self._accepting:
            return
        request = CallerRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            tuple(self._headers),
            self._body[0] if len(self._body) == 1 else b"".join(self._body),
            self._peer,
            self._began_at,
        )
        exchange = _Exchange(request, self._parser.should_keep_alive())
        self._reading = False
        self._reset()
        if len(self._exchanges) > MAX_PIPELINED:
            self._server.counts["pipeline_refused"] += 1
            self.abort()
            return
        if not self._exchanges and self._server.draining:
            self._refuse(ErrorCode.STOPPING)
            return
        self._exchanges.append(exchange)
        self._start_ready()

    @property
    def is_writing(self) -> bool:
        """Whether a part of a response was not sent yet."""
        return self._transport.get_write_buffer_size() > 0

    def close_if_idle(self) -> None:
        """Close the connection unless a request is read or served."""
        if not self._exchanges and not self._reading:
            self._closing = True
            self._transport.close()

    def abort(self) -> None:
        """Drop the connection."""
        self._refused = True
        self._transport.abort()

    def check_time(self, now: float) -> None:
        """End the connection if its caller is too slow."""
        if now < self._expires_at or self._exchanges:
            return
        if self._reading and not self._refused:
            self._server.counts["slow_callers"] += 1
            self._refuse(ErrorCode.HEADER_INVALID)
        else:
            self.abort()

    def _reset(self) -> None:
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._headers_done = False
        self._partial_bytes = 0
        self._body: list[bytes] = []
        self._body_size = 0
        self._max_body_bytes = self._server.limits().max_body_bytes

    def _check_header_bytes(self, size: int) -> None:
        if size > self._server.limits().max_header_bytes:
            self._refuse(ErrorCode.HEADER_INVALID)

    def _start_ready(self) -> None:
        """Start the requests that need not wait for those before them."""
        for place, exchange in enumerate(self._exchanges):
            concurrent = exchange.request.method in _CONCURRENT_METHODS
            if place and not concurrent:
                return
            if exchange.task is None and exchange.response is None:
                exchange.task = asyncio.create_task(self._serve(exchange))
            if not concurrent:
                return

    async def _serve(self, exchange: _Exchange) -> None:
        try:
            exchange.response = await self._server.handler(exchange.request)
        except Exception as error:  # noqa: BLE001 - one failed call must not end the server
            self._server.counts["failed"] += 1
            _log.error("the handler of a request failed", error=repr(error))
            exchange.response = self._make_error(
                Outcome.UNKNOWN, ErrorCode.BACKEND_FAILED
            )
        finally:
            exchange.task = None
        if not self._closing:
            self._send_ready()

    def _send_ready(self) -> None:
        """Send the responses whose turn it is."""
        server = self._server
        while self._exchanges and self._exchanges[0].response is not None:
            exchange = self._exchanges.popleft()
            self._expires_at = server.clock.monotonic() + max(
                WRITE_S, server.limits().keep_alive
            )
            if server.draining or server.winding_down:
                # Requests that arrive from now on count as unread: their caller
                # sends them again elsewhere once the connection closes.
                self._accepting = False
            last = not self._accepting and not self._exchanges
            keep_alive = exchange.keep_alive and not last
            keep_alive = keep_alive and exchange.response.framed
            self._transport.write(
                encode_response(exchange.response, keep_alive=keep_alive)
            )
            if not keep_alive:
                self._closing = True
                self._cancel_all()
                self._transport.close()
                return
        self._start_ready()

    def _cancel_all(self) -> None:
        for task in self.tasks:
            task.cancel()
        self._exchanges.clear()

    def _refuse(self, code: ErrorCode) -> None:
        if self._refused or self._closing:
            return
        self._refused = True
        self._server.counts[code.value] += 1
        if self._exchanges:
            # The response of an earlier request is still due on this connection.
            self.abort()
            return
        response = self._make_error(Outcome.NOT_RUN, code)
        self._transport.write(encode_response(response, keep_alive=False))
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._expires_at = self._server.clock.monotonic() + LINGER_S

    def _make_error(self, outcome: Outcome, code: ErrorCode) -> CallerResponse:
        headers = (
            (OUTCOME, outcome.value),
            (CODE, code.value),
            (VERSION, str(self._server.version())),
        )
        return CallerResponse(choose_status(outcome, code), headers, b"")


def encode_response(response: CallerResponse, *, keep_alive: bool) -> bytes:
    """Return the bytes of a response."""
    line = _STATUS_LINES.get(response.status)
    parts = [line or f"HTTP/1.1 {response.status} \r\n"]
    parts += [f"{name}: {value}\r\n" for name, value in response.headers]
    if not keep_alive:
        parts.append("Connection: close\r\n")
    if response.status in _BODYLESS:
        parts.append("\r\n")
        return "".join(parts).encode("latin-1")
    if response.framed:
        parts.append(f"Content-Length: {len(response.body)}\r\n")
    parts.append("\r\n")
    return "".join(parts).encode("latin-1") + response.body
