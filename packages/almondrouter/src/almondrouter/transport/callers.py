"""HTTP server for callers."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus

import httptools

from almondrouter.clock import Clock, SystemClock
from almondrouter.errors import ErrorCode
from almondrouter.protocol.headers import CODE, OUTCOME, VERSION, Outcome
from almondrouter.protocol.outcomes import choose_status
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

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n"
    for status in HTTPStatus
}
_BODYLESS = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})

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
    """

    def __init__(
        self,
        *,
        address: str,
        handler: CallerHandler,
        max_body_bytes: int,
        version: Callable[[], int] = lambda: 0,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(address)
        self.handler = handler
        self.max_body_bytes = max_body_bytes
        self.version = version
        self.clock = clock or SystemClock()
        self.connections: set[CallerConnection] = set()
        self.draining = False
        self.counts: Counter[str] = Counter()

    def make_protocol(self) -> asyncio.BaseProtocol:  # noqa: D102
        return CallerConnection(self)

    async def drain(self) -> None:
        """Refuse new requests and wait until those in flight are answered."""
        self.draining = True
        for connection in tuple(self.connections):
            connection.close_if_idle()
        while tasks := [c.task for c in self.connections if c.task is not None]:
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
        tasks = [c.task for c in self.connections if c.task is not None]
        for connection in tuple(self.connections):
            connection.abort()
        await asyncio.gather(*tasks, return_exceptions=True)

    def tick(self) -> None:
        """Close the connections whose caller is too slow."""
        now = self.clock.monotonic()
        for connection in tuple(self.connections):
            connection.check_time(now)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; its requests are served one after another."""

    def __init__(self, server: CallerServer) -> None:
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiting: deque[tuple[CallerRequest, bool]] = deque()
        self._expires_at = server.clock.monotonic() + READ_HEADERS_S
        self._refused = False
        self._reading = False
        self._closing = False
        self.task: asyncio.Task[None] | None = None
        self._reset()

    def connection_made(self, transport: asyncio.Transport) -> None:  # noqa: D102
        self._transport = transport
        self._server.connections.add(self)
        if len(self._server.connections) > MAX_CONNECTIONS:
            self._server.counts["connections_refused"] += 1
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:  # noqa: D102
        self._server.connections.discard(self)
        self._closing = True
        self._waiting.clear()
        if self.task is not None:
            self.task.cancel()

    def data_received(self, data: bytes) -> None:  # noqa: D102
        if self._refused:
            return
        if not self._reading:
            self._reading = True
            self._expires_at = self._server.clock.monotonic() + READ_HEADERS_S
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
                self._count_header_bytes(len(data))

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
        self._count_header_bytes(size + len(self._target))
        if self._parser.should_upgrade():
            self._refuse(ErrorCode.HEADER_INVALID)
        for name, value in self._headers:
            if name == "content-length" and int(value) > self._server.max_body_bytes:
                self._refuse(ErrorCode.BODY_TOO_LARGE)
            elif name == "expect" and not self._refused and self.task is None:
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_size += len(body)
        if self._body_size > self._server.max_body_bytes:
            self._refuse(ErrorCode.BODY_TOO_LARGE)
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Serve the request, or keep it until the ones before are answered."""
        if self._refused:
            return
        request = CallerRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            tuple(self._headers),
            self._body[0] if len(self._body) == 1 else b"".join(self._body),
        )
        keep_alive = self._parser.should_keep_alive()
        self._reading = False
        self._reset()
        if self.task is None:
            self._start(request, keep_alive)
        elif len(self._waiting) < MAX_PIPELINED:
            self._waiting.append((request, keep_alive))
        else:
            self._server.counts["pipeline_refused"] += 1
            self.abort()

    @property
    def is_writing(self) -> bool:
        """Whether a part of a response was not sent yet."""
        return self._transport.get_write_buffer_size() > 0

    def close_if_idle(self) -> None:
        """Close the connection unless a request is read or served."""
        if self.task is None and not self._reading:
            self._closing = True
            self._transport.close()

    def abort(self) -> None:
        """Drop the connection."""
        self._refused = True
        self._transport.abort()

    def check_time(self, now: float) -> None:
        """End the connection if its caller is too slow."""
        if now < self._expires_at or self.task is not None:
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
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_size = 0

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > MAX_HEADER_BYTES:
            self._refuse(ErrorCode.HEADER_INVALID)

    def _start(self, request: CallerRequest, keep_alive: bool) -> None:
        if self._server.draining:
            self._refuse(ErrorCode.STOPPING)
            return
        self.task = asyncio.create_task(self._serve(request, keep_alive))

    async def _serve(self, request: CallerRequest, keep_alive: bool) -> None:
        try:
            response = await self._server.handler(request)
        except Exception:  # noqa: BLE001 - one failed call must not end the server
            self._server.counts["failed"] += 1
            response = self._make_error(Outcome.UNKNOWN, ErrorCode.BACKEND_FAILED)
        finally:
            self.task = None
        if self._closing:
            return
        self._expires_at = self._server.clock.monotonic() + max(WRITE_S, KEEP_ALIVE_S)
        keep_alive = keep_alive and not self._server.draining
        self._transport.write(encode_response(response, keep_alive=keep_alive))
        if not keep_alive:
            self._closing = True
            self._transport.close()
        elif self._waiting:
            self._start(*self._waiting.popleft())

    def _refuse(self, code: ErrorCode) -> None:
        if self._refused or self._closing:
            return
        self._refused = True
        self._server.counts[code.value] += 1
        if self.task is not None:
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
    parts.append(f"Content-Length: {len(response.body)}\r\n\r\n")
    return "".join(parts).encode("latin-1") + response.body
