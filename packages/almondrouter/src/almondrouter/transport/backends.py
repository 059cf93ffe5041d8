"""HTTP client of the backend server on this host."""

from __future__ import annotations

import asyncio
import re
from collections import Counter, deque
from collections.abc import Callable
from http import HTTPStatus

import httptools

from almondrouter.addresses import split_address
from almondrouter.clock import Clock
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import HeaderList
from almondrouter.protocol.headers import OUTCOME, Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.transport.calls import BackendResponse, BackendSender
from almondrouter.transport.deadlines import Deadlines
from almondrouter.transport.listeners import set_user_timeout

CONNECT_S = 1.0
MAX_IDLE_S = 30.0
"""Seconds after which an idle connection is not used again.

A request on a connection that the backend server closes at that moment has an
unknown outcome, so idle connections end here before they end there.
"""
KEEP_ALIVE_MARGIN_S = 1.0
"""Seconds before the announced idle timeout at which a connection is given up."""
FORGOTTEN_IDLE_SHARE = 0.5
"""Share of the age at which the server had forgotten an idle connection, up to which
others are used."""
MIN_FORGOTTEN_IDLE_S = 0.05
"""Least age at which an ended connection counts as forgotten; a younger one ended for
another reason."""
FORGOTTEN_MEMORY_S = 10.0
"""Seconds for which that limit holds; such trouble lasts some seconds."""
MAX_UNACKNOWLEDGED_S = 1.0
"""Seconds after which a peer that acknowledges no bytes is taken as gone."""
MAX_RESPONSE_BYTES = 7_500_000
"""Longest response; it has to fit into a frame with its headers."""
MAX_HEADER_BYTES = 131_072

_OUTCOME_HEADER = OUTCOME.lower()
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})")

Matcher = Callable[[HeaderList], bool]
"""Tells from its headers whether a response belongs to the request."""


class BackendClient(BackendSender):
    """Sends requests over a bounded pool of connections.

    Parameters
    ----------
    address
        ``ip:port`` of the backend server.
    connections
        Connections that the backend server allows.
    clock
        Source of monotonic time.
    max_idle
        Seconds after which an idle connection is not used again.
    accept_unframed
        Whether a response without a length that ends with its connection is
        whole; it cannot be told from one that its sender broke off.
    """

    def __init__(
        self,
        address: str,
        *,
        connections: int,
        clock: Clock,
        max_idle: float = MAX_IDLE_S,
        accept_unframed: bool = False,
    ) -> None:
        self._address = address
        self._limit = connections
        self._clock = clock
        self._max_idle = max_idle
        self._accept_unframed = accept_unframed
        self.counts: Counter[str] = Counter()
        self._deadlines = Deadlines(clock)
        self._idle: list[_Connection] = []
        self._open: set[_Connection] = set()
        self._connecting = 0
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._learned_idle = float("inf")
        self._learned_until = 0.0

    @property
    def connections(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._open) + self._connecting

    async def close(self) -> None:
        """Close all connections; requests in flight fail."""
        for connection in tuple(self._open):
            connection.abort()

    async def send(  # noqa: D102
        self,
        method: str,
        target: str,
        headers: HeaderList,
        body: bytes,
        *,
        deadline: float,
        matches: Matcher | None = None,
        max_idle: float | None = None,
    ) -> BackendResponse:
        data = encode_request(self._address, method, target, headers, body)
        sent = False
        connection = future = None
        try:
            self._check_deadline(deadline)
            limit = self._max_idle if max_idle is None else max_idle
            connection = self._take_idle(limit)
            if connection is None:
                async with asyncio.timeout(deadline - self._clock.monotonic()):
                    connection = await self._acquire(limit)
                self._check_deadline(deadline)
            sent = True
            future = connection.start(data, is_head=method == "HEAD", matches=matches)
            self._deadlines.add(future, deadline)
            response = await connection.finish(future)
        except TimeoutError as error:
            outcome = Outcome.UNKNOWN if sent else Outcome.NOT_RUN
            code = ErrorCode.DEADLINE_EXCEEDED
            raise CallError(code, "no response in time", outcome=outcome) from error
        finally:
            if connection is not None:
                self._give_back(connection)
                self._deadlines.discard(future)
        if is_refusal(response):
            message = "the backend server did not run the request"
            raise CallError(ErrorCode.BACKEND_REFUSED, message)
        return response

    def _check_deadline(self, deadline: float) -> None:
        if self._clock.monotonic() >= deadline:
            raise CallError(ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed")

    async def _acquire(self, max_idle: float) -> _Connection:
        while True:
            connection = self._take_idle(max_idle)
            if connection is not None:
                return connection
            if self.connections < self._limit:
                return await self._connect()
            if self._idle:
                # Idle for too long for this request; makes room for a new one.
                self._drop(self._idle.pop(0))
                continue
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake_next()
                raise

    def drop_idle(self) -> None:
        """Close the idle connections, which may be as dead as one that failed."""
        while self._idle:
            self._drop(self._idle.pop())

    def _take_idle(self, max_idle: float) -> _Connection | None:
        now = self._clock.monotonic()
        if now < self._learned_until:
            max_idle = min(max_idle, self._learned_idle)
        else:
            self._learned_idle = float("inf")
        while self._idle:
            connection = self._idle[-1]
            if not connection.usable or now >= connection.reusable_until:
                self._drop(self._idle.pop())
            elif connection.idle_since > now - max_idle:
                connection.idle_age = now - connection.idle_since
                return self._idle.pop()
            else:
                return None
        return None

    def _drop(self, connection: _Connection) -> None:
        connection.abort()
        self._open.discard(connection)

    async def _connect(self) -> _Connection:
        loop = asyncio.get_running_loop()
        host, port = split_address(self._address)
        self._connecting += 1
        try:
            async with asyncio.timeout(CONNECT_S):
                _, connection = await loop.create_connection(
                    lambda: _Connection(accept_unframed=self._accept_unframed),
                    host,
                    port,
                )
            self.counts["connections_opened"] += 1
        except (OSError, TimeoutError) as error:
            self._wake_next()
            message = f"the backend server cannot be connected: {error}"
            raise CallError(ErrorCode.NO_BACKEND, message) from error
        except asyncio.CancelledError:
            self._wake_next()
            raise
        finally:
            self._connecting -= 1
        self._open.add(connection)
        return connection

    def _give_back(self, connection: _Connection) -> None:
        self.counts["stray_responses"] += connection.take_stray_count()
        if connection.forgotten:
            self._learn_idle(connection.idle_age)
        if connection.usable:
            now = self._clock.monotonic()
            connection.idle_since = now
            usable_for = connection.announced_idle - KEEP_ALIVE_MARGIN_S
            connection.reusable_until = now + min(self._max_idle, usable_for)
            self._idle.append(connection)
        else:
            self._drop(connection)
        self._wake_next()

    def _learn_idle(self, age: float) -> None:
        """Reuse only younger connections for a while, as the server forgets them."""
        self.counts["connections_forgotten"] += 1
        self._learned_idle = min(self._learned_idle, age * FORGOTTEN_IDLE_SHARE)
        self._learned_until = self._clock.monotonic() + FORGOTTEN_MEMORY_S

    def _wake_next(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


class _Connection(asyncio.Protocol):
    """One connection, with one request at a time.

    Attributes
    ----------
    idle_age
        Seconds that it was idle before its last request; 0 if it was new.
    forgotten
        Whether it ended without a byte after it had been idle.
    """

    def __init__(self, *, accept_unframed: bool) -> None:
        self._accept_unframed = accept_unframed
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._future: asyncio.Future[BackendResponse] | None = None
        self._is_head = False
        self._matches: Matcher | None = None
        self._stray_count = 0
        self._heard = False
        self.usable = True
        self.forgotten = False
        self.idle_age = 0.0
        self.idle_since = 0.0
        self.reusable_until = 0.0
        self.announced_idle = float("inf")
        self._reset()

    def start(
        self, data: bytes, *, is_head: bool, matches: Matcher | None = None
    ) -> asyncio.Future[BackendResponse]:
        """Send a request; the future gets its whole response.

        Parameters
        ----------
        matches
            Responses that it rejects belong to an earlier request and are
            discarded; the connection is closed after the right one.
        """
        self._reset()
        self._parser = httptools.HttpResponseParser(self)
        self._is_head = is_head
        self._matches = matches
        self._heard = False
        self._future = asyncio.get_running_loop().create_future()
        self._transport.write(data)
        return self._future

    async def finish(self, future: asyncio.Future[BackendResponse]) -> BackendResponse:
        """Return the whole response, or drop the connection.

        Raises
        ------
        CallError
            ``backend_failed`` (unknown).
        """
        try:
            return await future
        except BaseException:
            self.abort()
            raise
        finally:
            self._future = None

    def abort(self) -> None:
        """Drop the connection, which cancels its request."""
        self.usable = False
        self._transport.abort()

    def take_stray_count(self) -> int:
        """Return how many responses were discarded since the last call."""
        count, self._stray_count = self._stray_count, 0
        return count

    def connection_made(self, transport: asyncio.Transport) -> None:  # noqa: D102
        self._transport = transport
        set_user_timeout(transport, MAX_UNACKNOWLEDGED_S)

    def eof_received(self) -> None:
        """Finish a response without a length, which ends with its connection."""
        self.usable = False
        ends_here = self._headers_done and not self._framed and not self._complete
        if ends_here and self._accept_unframed and self._future is not None:
            self._finish()

    def connection_lost(self, error: Exception | None) -> None:  # noqa: D102
        waiting = self._future is not None and not self._future.done()
        was_idle = self.idle_age >= MIN_FORGOTTEN_IDLE_S
        self.forgotten = waiting and not self._heard and was_idle
        self._fail("the backend server closed the connection")

    def data_received(self, data: bytes) -> None:  # noqa: D102
        self._heard = True
        if self._future is None or self._future.done():
            self._fail("data without a request")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"malformed response: {error}")
        self._header_bytes += 0 if self._headers_done else len(data)
        if self._header_bytes > MAX_HEADER_BYTES:
            self._fail("the headers are too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Finish a response to HEAD, whose length stands for no body."""
        if self._parser.get_status_code() < HTTPStatus.OK:
            return
        self._headers_done = True
        self._framed = any(
            name in ("content-length", "transfer-encoding") for name, _ in self._headers
        )
        if self._is_head:
            self.usable = False
            self._finish()

    def on_message_begin(self) -> None:
        """Give the connection up if a response comes that was not asked for."""
        if self._complete:
            self.usable = False

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body_size += len(body)
        if self._body_size > MAX_RESPONSE_BYTES:
            self._fail("the response is too large")
        else:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Finish the response, unless it is an interim one."""
        if not self._headers_done:
            self._headers = []
        elif not self._complete:
            self._finish()
        else:
            self.usable = False

    def _finish(self) -> None:
        if self._matches is not None and not self._matches(tuple(self._headers)):
            self._stray_count += 1
            self.usable = False
            self._reset()
            return
        self._complete = True
        # A peer that answers before it has read the whole request reads on later.
        unread = self._transport.get_write_buffer_size() > 0
        if unread or not self._parser.should_keep_alive():
            self.usable = False
        self._read_keep_alive()
        body = self._body[0] if len(self._body) == 1 else b"".join(self._body)
        status = self._parser.get_status_code()
        if self._future is not None and not self._future.done():
            response = BackendResponse(status, tuple(self._headers), body, self._framed)
            self._future.set_result(response)

    def _read_keep_alive(self) -> None:
        for name, value in self._headers:
            if name == "keep-alive" and (found := _KEEP_ALIVE_TIMEOUT.search(value)):
                self.announced_idle = float(found[1])

    def _fail(self, message: str) -> None:
        self.abort()
        if self._future is not None and not self._future.done():
            code = ErrorCode.BACKEND_FAILED
            self._future.set_exception(
                CallError(code, message, outcome=Outcome.UNKNOWN)
            )

    def _reset(self) -> None:
        self._headers: list[tuple[str, str]] = []
        self._headers_done = False
        self._body: list[bytes] = []
        self._header_bytes = 0
        self._body_size = 0
        self._complete = False
        self._framed = True


def is_refusal(response: BackendResponse) -> bool:
    """Return whether a backend server says that it did not run the request."""
    if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    return (_OUTCOME_HEADER, Outcome.NOT_RUN.value) in response.headers


def encode_request(
    address: str, method: str, target: str, headers: HeaderList, body: bytes
) -> bytes:
    """Return the bytes of a request.

    Raises
    ------
    CallError
        ``header_invalid`` (not run) if a part would break out of its line.
    """
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}\r\n\r\n")
    text = "\r\n".join(lines)
    if text.count("\n") != len(lines) + 1 or text.count("\r") != len(lines) + 1:
        message = "a header holds a line break"
        raise CallError(ErrorCode.HEADER_INVALID, message)
    try:
        return text.encode("latin-1") + body
    except UnicodeEncodeError as error:
        raise CallError(ErrorCode.HEADER_INVALID, str(error)) from error
