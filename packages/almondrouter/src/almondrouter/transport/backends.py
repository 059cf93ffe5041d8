"""HTTP client of the backend server on this host."""

from __future__ import annotations

import asyncio
import errno
import os
import re
from collections import Counter, deque
from http import HTTPStatus

import httptools

from almondrouter.addresses import split_address
from almondrouter.clock import Clock
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import HeaderList
from almondrouter.protocol.headers import OUTCOME, SEND_ID, Outcome
from almondrouter.protocol.outcomes import STATUS_CODES, CallError
from almondrouter.transport.calls import (
    BackendResponse,
    BackendSender,
    ResponseMatcher,
)
from almondrouter.transport.deadlines import Deadlines
from almondrouter.transport.listeners import (
    count_unreceived_bytes,
    set_tcp_user_timeout,
    take_socket_error,
)
from almondrouter.transport.receivebudget import (
    CONNECTION_SHARE_BYTES,
    MAX_SHARED_BYTES,
    ReceiveBudget,
)

CONNECT_TIMEOUT_S = 1.0
CRASH_SETTLING_S = 0.01
"""Time in which all connections to a backend server that has crashed are found lost."""
CRASH_CHECKS = 3
"""New connections that have to be lost until a server that accepts them counts as
alive; one that is about to end may accept some."""
MAX_IDLE_S = 30.0
"""Time after which an idle connection is no longer reused.

A request that is sent while the backend server closes the connection has an unknown
outcome. The client therefore has to close idle connections before the server does.
"""
KEEP_ALIVE_MARGIN_S = 1.0
"""Time before the announced keep-alive timeout at which reuse of a connection ends."""
STALE_IDLE_FRACTION = 0.5
"""Fraction of the idle time of a stale connection that becomes the idle limit.

A connection is stale if the backend server has dropped it while it was idle. Others
that were idle for nearly as long are then likely to be stale, too.
"""
MIN_STALE_IDLE_S = 0.05
"""Least idle time of a connection that counts as stale if its next request fails.

A connection that was idle for less failed for another reason.
"""
LEARNED_MAX_IDLE_TTL_S = 10.0
"""Time for which the idle limit stays lowered after a stale connection.

Faults that make connections stale last some seconds.
"""
TCP_USER_TIMEOUT_S = 1.0
"""Time without TCP acknowledgement of sent data after which a connection fails."""
LONG_REQUEST_BYTES = 65_536
"""Length of a request that may fill the receive buffer of the backend server."""
LONG_TCP_USER_TIMEOUT_S = 15.0
"""Like `TCP_USER_TIMEOUT_S` for long requests: a full receive buffer is no failure."""
MAX_RESPONSE_BYTES = 7_500_000
"""Longest response body; it has to fit into one call frame with the headers.

The bodies of discarded responses to the same request count, too."""
MAX_HEADER_BYTES = 131_072
"""Limit on the bytes of a response that are not its body: heads of interim responses,
its own head, chunk sizes and extensions, and trailers."""
CHUNK_FRAMING_BYTES = 32
"""Additional bytes of that kind for each part of the body."""
MAX_FAILED_ATTEMPTS = 256
"""Error responses after which a connection is no longer reused, which bounds the memory
for the ids of their attempts."""
MAX_HEADERS = 1_000
"""Headers of a response. Many short ones would take much processor time per byte."""
HEADER_OVERHEAD_BYTES = 200
"""Memory of a stored header beyond its characters."""
YIELD_AFTER_BYTES = 65_536
"""Size of a read after which the event loop serves others before the next read.

uvloop otherwise repeats full reads of one connection many times without a break.
"""

_OUTCOME_HEADER = OUTCOME.lower()
_SEND_ID_HEADER = SEND_ID.lower()
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=([0-9]{1,6})")


class BackendClient(BackendSender):
    """HTTP/1.1 client with a bounded connection pool.

    Parameters
    ----------
    address
        ``ip:port`` of the backend server.
    connections
        Limit on open connections; further requests wait for a free one.
    clock
        Source of monotonic time.
    max_idle
        Seconds after which an idle connection is no longer reused.
    accept_unframed
        Whether to accept responses without ``Content-Length`` or chunked encoding,
        whose body ends when the connection closes. Such a response cannot be told
        from a truncated one if the backend server closes in order.
    max_received_bytes
        Limit on the bytes of unfinished responses beyond a share of each connection.
    """

    def __init__(
        self,
        address: str,
        *,
        connections: int,
        clock: Clock,
        max_idle: float = MAX_IDLE_S,
        accept_unframed: bool = False,
        max_received_bytes: int = MAX_SHARED_BYTES,
    ) -> None:
        self._address = address
        self._max_connections = connections
        self._clock = clock
        self._max_idle = max_idle
        self._accept_unframed = accept_unframed
        self.counts: Counter[str] = Counter()
        self._deadlines = Deadlines(clock)
        self._budget = ReceiveBudget(max_received_bytes)
        self._idle: list[_Connection] = []
        self._open: set[_Connection] = set()
        self._connecting = 0
        self._waiters: deque[asyncio.Future[None]] = deque()
        self._learned_max_idle = float("inf")
        self._learned_max_idle_until = 0.0
        self._closed = False

    @property
    def connections(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open) + self._connecting

    async def close(self) -> None:
        """Close all connections; requests in flight fail."""
        self._closed = True
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
        attempt_id: str = "",
        matches: ResponseMatcher | None = None,
        max_idle: float | None = None,
    ) -> BackendResponse:
        head = encode_head(self._address, method, target, headers, len(body))
        sent = False
        connection = future = None
        try:
            self._check_deadline(deadline)
            limit = self._max_idle if max_idle is None else max_idle
            connection = self._pop_idle_connection(limit, attempt_id)
            if connection is None:
                async with asyncio.timeout(deadline - self._clock.monotonic()):
                    connection = await self._acquire_connection(limit, attempt_id)
                self._check_deadline(deadline)
            sent = True
            future = connection.send_request(
                head,
                body,
                is_head=method == "HEAD",
                attempt_id=attempt_id,
                matches=matches,
            )
            self._deadlines.add(future, deadline)
            response = await connection.wait_for_response(future)
        except TimeoutError as error:
            code = ErrorCode.DEADLINE_EXCEEDED
            if not sent:
                message = "no connection was free or could be opened in time"
                raise CallError(code, message) from error
            message = "no response before the deadline"
            raise CallError(code, message, outcome=Outcome.UNKNOWN) from error
        finally:
            if connection is not None:
                self._release_connection(connection)
                self._deadlines.discard(future)
        if is_refusal(response):
            raise make_refusal_error(
                response, attempt_id=attempt_id, reused=connection.reused
            )
        return response

    def _check_deadline(self, deadline: float) -> None:
        if self._clock.monotonic() >= deadline:
            raise CallError(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed before the request was sent",
            )

    async def _acquire_connection(
        self, max_idle: float, attempt_id: str
    ) -> _Connection:
        while True:
            connection = self._pop_idle_connection(max_idle, attempt_id)
            if connection is not None:
                return connection
            if self.connections < self._max_connections:
                return await self._open_connection()
            if self._idle:
                # Not suitable for this request: closed to allow a new connection.
                self._drop_connection(self._idle.pop(0))
                continue
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake_next_waiter()
                raise

    async def has_crashed(self) -> bool:
        """Return whether all connections are lost and the server refuses new ones."""
        for _ in range(CRASH_CHECKS):
            await asyncio.sleep(CRASH_SETTLING_S)
            if self._closed or any(found.is_open for found in self._open):
                return False
            try:
                connection = await self._open_connection()
            except CallError as error:
                return isinstance(error.__cause__, ConnectionRefusedError)
            self._release_connection(connection)
        return False

    def drop_idle_connections(self) -> None:
        """Close all idle connections, which may be stale after one of them failed."""
        while self._idle:
            self._drop_connection(self._idle.pop())

    def _pop_idle_connection(
        self, max_idle: float, attempt_id: str
    ) -> _Connection | None:
        now = self._clock.monotonic()
        if now < self._learned_max_idle_until:
            max_idle = min(max_idle, self._learned_max_idle)
        else:
            self._learned_max_idle = float("inf")
        while self._idle:
            connection = self._idle[-1]
            if not connection.reusable or now >= connection.reusable_until:
                self._drop_connection(self._idle.pop())
            elif connection.idle_since <= now - max_idle:
                return None
            else:
                return self._pop_first_without(attempt_id, now - max_idle, now)
        return None

    def _pop_first_without(
        self, attempt_id: str, idle_after: float, now: float
    ) -> _Connection | None:
        """Remove and return the latest connection on which an attempt has not failed.

        Parameters
        ----------
        idle_after
            Monotonic time in seconds after which the connection became idle.
        """
        for position in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[position]
            if connection.idle_since <= idle_after:
                return None
            if connection.can_identify(attempt_id, now):
                connection.idle_age = now - connection.idle_since
                return self._idle.pop(position)
        return None

    def _drop_connection(self, connection: _Connection) -> None:
        connection.abort()
        self._open.discard(connection)

    async def _open_connection(self) -> _Connection:
        loop = asyncio.get_running_loop()
        host, port = split_address(self._address)
        self._connecting += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: _Connection(
                        self._budget, accept_unframed=self._accept_unframed
                    ),
                    host,
                    port,
                )
            self.counts["connections_opened"] += 1
        except (OSError, TimeoutError) as error:
            self._wake_next_waiter()
            message = f"cannot connect to {host}:{port}: {error!r}"
            raise CallError(ErrorCode.NO_BACKEND, message) from error
        except asyncio.CancelledError:
            self._wake_next_waiter()
            raise
        finally:
            self._connecting -= 1
        self._open.add(connection)
        return connection

    def _release_connection(self, connection: _Connection) -> None:
        self.counts["stray_responses"] += connection.pop_discarded_response_count()
        if connection.was_stale:
            self._learn_max_idle(connection.idle_age)
        if connection.reusable:
            now = self._clock.monotonic()
            connection.idle_since = now
            usable_for = connection.announced_idle - KEEP_ALIVE_MARGIN_S
            connection.reusable_until = now + min(self._max_idle, usable_for)
            self._idle.append(connection)
        else:
            self._drop_connection(connection)
        self._wake_next_waiter()

    def _learn_max_idle(self, age: float) -> None:
        """Reduce the maximum idle time for a while after a stale connection.

        Parameters
        ----------
        age
            Seconds that the stale connection had been idle.
        """
        self.counts["connections_forgotten"] += 1
        self._learned_max_idle = min(self._learned_max_idle, age * STALE_IDLE_FRACTION)
        self._learned_max_idle_until = self._clock.monotonic() + LEARNED_MAX_IDLE_TTL_S

    def _wake_next_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return


class _Connection(asyncio.Protocol):
    """One connection, which carries one request at a time.

    Attributes
    ----------
    reusable
        Whether the connection can carry another request.
    reused
        Whether the last request, or a response to it, was not the first one.
    was_stale
        Whether the connection was reused after an idle period and closed without
        any response bytes.
    idle_age
        Seconds that the connection was idle before its last request; 0 if new.
    idle_since
        Monotonic time in seconds at which the connection became idle.
    reusable_until
        Monotonic time in seconds at which reuse ends.
    announced_idle
        Keep-alive timeout in seconds that the backend server announced.

    Notes
    -----
    A backend server may send a response once more, even when the next request has been
    sent. The connection therefore keeps the ids of the attempts that it has answered
    with an error, since only such a response can say that its request was not run.
    """

    def __init__(self, budget: ReceiveBudget, *, accept_unframed: bool) -> None:
        self._budget = budget
        self._reserved_bytes = 0
        self._accept_unframed = accept_unframed
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._future: asyncio.Future[BackendResponse] | None = None
        self._is_head = False
        self._attempt_id = ""
        self._failed_attempts: set[str] = set()
        self._matches: ResponseMatcher | None = None
        self.reused = False
        self._discarded_response_count = 0
        self._received_data = False
        self.reusable = True
        self.was_stale = False
        self.idle_age = 0.0
        self.idle_since = 0.0
        self.reusable_until = 0.0
        self.announced_idle = float("inf")
        self._received_bytes = 0
        self._body_size = 0
        self._body_parts = 0
        self._discard_response()

    def send_request(
        self,
        head: bytes,
        body: bytes,
        *,
        is_head: bool,
        attempt_id: str = "",
        matches: ResponseMatcher | None = None,
    ) -> asyncio.Future[BackendResponse]:
        """Send a request; return a future for the complete response.

        Parameters
        ----------
        attempt_id
            Id of the attempt; empty if it has none.
        matches
            Responses for which it returns False belong to an earlier request and
            are discarded. The connection is then closed after the right one.
        """
        self.reused = self._parser is not None
        self._attempt_id = attempt_id
        self._discard_response()
        self._received_bytes = 0
        self._body_size = 0
        self._body_parts = 0
        self._parser = httptools.HttpResponseParser(self)
        self._is_head = is_head
        self._matches = matches
        self._received_data = False
        self._future = asyncio.get_running_loop().create_future()
        if len(head) + len(body) >= LONG_REQUEST_BYTES:
            set_tcp_user_timeout(self._transport, LONG_TCP_USER_TIMEOUT_S)
            # A long body is not copied behind its head.
            self._transport.writelines((head, body))
        else:
            self._transport.write(head + body)
        return self._future

    async def wait_for_response(
        self, future: asyncio.Future[BackendResponse]
    ) -> BackendResponse:
        """Return the complete response; abort the connection on any failure.

        Raises
        ------
        CallError
            ``backend_failed`` (outcome unknown).
        """
        try:
            return await future
        except BaseException:
            self.abort()
            raise
        finally:
            self._future = None
            # It may refer to the request, whose body an idle connection must not keep.
            self._matches = None

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed the connection."""
        return self._transport is not None and not self._transport.is_closing()

    def can_identify(self, attempt_id: str, now: float) -> bool:
        """Return whether the connection is usable and an attempt has not failed on it.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        """
        if not self.reusable or now >= self.reusable_until:
            return False
        return not attempt_id or attempt_id not in self._failed_attempts

    def abort(self) -> None:
        """Close the connection at once, which cancels its request."""
        self.reusable = False
        self._transport.abort()

    def pop_discarded_response_count(self) -> int:
        """Return and reset the number of discarded responses."""
        count, self._discarded_response_count = self._discarded_response_count, 0
        return count

    def connection_made(self, transport: asyncio.Transport) -> None:  # noqa: D102
        self._transport = transport
        set_tcp_user_timeout(transport, TCP_USER_TIMEOUT_S)

    def eof_received(self) -> None:
        """Complete a response that is delimited by the end of the connection.

        Notes
        -----
        uvloop also reports an end if the connection was reset while received bytes
        were still to be read; the error is then pending at the socket. ``EPIPE`` stands
        for a reset that followed an orderly end. A server that ends its response before
        it has received the request may have given up on both.
        """
        self.reusable = False
        ends_here = self._headers_done and not self._framed and not self._complete
        if not ends_here or not self._accept_unframed or self._future is None:
            return
        error = take_socket_error(self._transport)
        if error not in (0, errno.EPIPE):
            reason = os.strerror(error)
            self._abort_with_error(f"response without a length broke off: {reason}")
        elif unreceived := count_unreceived_bytes(self._transport):
            self._abort_with_error(
                f"response without a length ended {unreceived} bytes before its request"
            )
        else:
            self._complete_response()

    def connection_lost(self, error: Exception | None) -> None:  # noqa: D102
        waiting = self._future is not None and not self._future.done()
        was_idle = self.idle_age >= MIN_STALE_IDLE_S
        self.was_stale = waiting and not self._received_data and was_idle
        self._abort_with_error("connection lost before a complete response")

    def data_received(self, data: bytes) -> None:  # noqa: D102
        self._received_data = True
        if self._future is None or self._future.done():
            self._abort_with_error("received data without a request in progress")
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            self._abort_with_error(str(error.__context__))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._abort_with_error(f"malformed HTTP response: {error}")
        if len(data) >= YIELD_AFTER_BYTES and not self._transport.is_closing():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._resume_reading)
        self._received_bytes += len(data)
        self._check_framing()

    def _check_framing(self) -> None:
        framing = self._received_bytes - self._body_size
        limit = MAX_HEADER_BYTES + CHUNK_FRAMING_BYTES * self._body_parts
        if framing > limit:
            message = f"head, chunk framing and trailers exceed {limit} bytes"
            self._abort_with_error(message)

    def _resume_reading(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header with its name in lower case; trailers are discarded."""
        if self._headers_done:
            return
        if len(self._header_texts) >= 2 * MAX_HEADERS:
            raise ValueError(f"response has more than {MAX_HEADERS} headers")
        self._header_memory += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        self._reserve_memory()
        self._header_texts.append(name.decode("latin-1").lower())
        self._header_texts.append(value.decode("latin-1"))

    def on_headers_complete(self) -> None:
        """Check status and framing; complete a response to HEAD, which has no body."""
        status = self._parser.get_status_code()
        if status not in STATUS_CODES:
            raise ValueError(f"response has the invalid status code {status:03d}")
        if status < HTTPStatus.OK:
            return
        self._headers_done = True
        names, values = self._header_texts[::2], self._header_texts[1::2]
        self._headers = tuple(zip(names, values, strict=True))
        self._framed = any(
            name in ("content-length", "transfer-encoding") for name, _ in self._headers
        )
        if self._is_head:
            self.reusable = False
            self._complete_response()

    def on_message_begin(self) -> None:
        """Stop reusing the connection if a second response to one request begins."""
        if self._complete:
            self.reusable = False

    def on_body(self, body: bytes) -> None:
        """Store a part of the body, unless the response is already complete."""
        if self._complete:
            return
        self._body_size += len(body)
        self._body_parts += 1
        if self._body_size > MAX_RESPONSE_BYTES:
            raise ValueError(f"response body exceeds {MAX_RESPONSE_BYTES} bytes")
        self._reserve_memory(len(body))
        if not self._body:
            self._body = body
        else:
            # One buffer, since each small object would cost a multiple of its bytes.
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += body

    def _reserve_memory(self, added_body: int = 0) -> None:
        size = self._header_memory + len(self._body) + added_body
        missing = size - CONNECTION_SHARE_BYTES - self._reserved_bytes
        if missing <= 0:
            return
        if not self._budget.reserve(missing):
            message = f"unfinished responses exceed {self._budget.limit} bytes in total"
            raise ValueError(message)
        self._reserved_bytes += missing

    def _drop_parts(self) -> None:
        self._headers: HeaderList = ()
        # Names and values in turn: a pair for each header of an unfinished head would
        # be one more object for the garbage collector to visit.
        self._header_texts: list[str] = []
        self._header_memory = 0
        self._body: bytes | bytearray = b""
        self._budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def on_message_complete(self) -> None:
        """Complete the response; discard an interim one (status 1xx)."""
        if not self._headers_done:
            self._drop_parts()
        elif not self._complete:
            self._complete_response()
        else:
            self.reusable = False

    def _complete_response(self) -> None:
        if self._matches is not None and not self._matches(self._headers, self.reused):
            self._discarded_response_count += 1
            self.reusable = False
            self.reused = True
            self._discard_response()
            return
        self._complete = True
        # A server that responds before it has read the whole request still has the
        # rest to read, so the connection is not reused.
        unread = self._transport.get_write_buffer_size() > 0
        if unread or not self._parser.should_keep_alive():
            self.reusable = False
        self._read_keep_alive()
        status = self._parser.get_status_code()
        if status >= HTTPStatus.BAD_REQUEST:
            self._record_failed_attempt()
        headers, body = self._headers, bytes(self._body)
        self._drop_parts()
        if self._future is not None and not self._future.done():
            response = BackendResponse(status, headers, body, self._framed)
            self._future.set_result(response)

    def _record_failed_attempt(self) -> None:
        if self._attempt_id:
            self._failed_attempts.add(self._attempt_id)
        if len(self._failed_attempts) >= MAX_FAILED_ATTEMPTS:
            self.reusable = False

    def _read_keep_alive(self) -> None:
        for name, value in self._headers:
            if name == "keep-alive" and (found := _KEEP_ALIVE_TIMEOUT.search(value)):
                self.announced_idle = float(found[1])

    def _abort_with_error(self, message: str) -> None:
        self.abort()
        if self._future is not None and not self._future.done():
            code = ErrorCode.BACKEND_FAILED
            self._future.set_exception(
                CallError(code, message, outcome=Outcome.UNKNOWN)
            )
        self._drop_parts()

    def _discard_response(self) -> None:
        # The counts of bytes go on: the limits apply to all responses to one request.
        self._drop_parts()
        self._headers_done = False
        self._complete = False
        self._framed = True


def is_refusal(response: BackendResponse) -> bool:
    """Return whether a response states that its request was not run."""
    if response.status != HTTPStatus.SERVICE_UNAVAILABLE:
        return False
    return (_OUTCOME_HEADER, Outcome.NOT_RUN.value) in response.headers


def make_refusal_error(
    response: BackendResponse, *, attempt_id: str, reused: bool
) -> CallError:
    """Return the error for a refusal; the outcome is unknown if it may be a copy.

    Parameters
    ----------
    attempt_id
        Id that a refusal repeats in ``Almond-Send-Id``.
    reused
        Whether the connection has carried earlier requests.
    """
    identified = (_SEND_ID_HEADER, attempt_id) in response.headers
    if reused and not identified:
        message = "the refusal may be that of an earlier request on the connection"
        return CallError(ErrorCode.BACKEND_FAILED, message, outcome=Outcome.UNKNOWN)
    message = "the backend server refused the request without running it"
    return CallError(ErrorCode.BACKEND_REFUSED, message)


def encode_request(
    address: str, method: str, target: str, headers: HeaderList, body: bytes
) -> bytes:
    """Return an HTTP/1.1 request as bytes; raises like `encode_head`."""
    return encode_head(address, method, target, headers, len(body)) + body


def encode_head(
    address: str, method: str, target: str, headers: HeaderList, body_size: int
) -> bytes:
    """Return the head of an HTTP/1.1 request as bytes.

    Raises
    ------
    CallError
        ``header_invalid`` (not run) if the method, target or a header contains a line
        break, which would allow header injection, or a character beyond Latin-1.
    """
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {body_size}\r\n\r\n")
    text = "\r\n".join(lines)
    if text.count("\n") != len(lines) + 1 or text.count("\r") != len(lines) + 1:
        message = "request line or header contains a line break"
        raise CallError(ErrorCode.HEADER_INVALID, message)
    try:
        return text.encode("latin-1")
    except UnicodeEncodeError as error:
        raise CallError(ErrorCode.HEADER_INVALID, str(error)) from error
