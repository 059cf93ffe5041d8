"""Reader of the HTTP/1.1 requests that arrive on a caller's connection."""

from __future__ import annotations

import io
from abc import ABC, abstractmethod
from collections.abc import Callable

import httptools

from almondrouter.clock import Clock
from almondrouter.coordination.callerlimits import (
    HEADER_LINE_BYTES,
    estimate_body_bytes,
)
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import HeaderList
from almondrouter.state.routes import CallerLimits
from almondrouter.transport.calls import CallerRequest

BODY_TIMEOUT_S = 30.0
"""Time limit for receiving the body of a request, after its headers."""
MAX_WAITING_BYTES = 65_536
"""Unparsed bytes of a connection from which on it is not read."""
PARSE_BYTES = 4_096
"""Most bytes to parse at once, except in a body of known length."""
CHUNK_FRAMING_BYTES = 32
"""Bytes of chunk sizes and trailers that are allowed for each part of a body, beside
the bytes that the headers may have."""
MAX_KEPT_HEADERS = 32
"""Header lines that are stored parsed while a request is received. Further ones are
stored as text, since the objects of short lines cost many times their text."""
DIRECT_BYTES = 16_384
"""Most bytes that are parsed without being copied to the waiting bytes, if the sink has
room for all requests in them. Ordinary requests arrive in one such read."""
MAX_PARTS_AT_ONCE = 512
"""Parts of bodies that are parsed before other connections get their turn. One read of
one-byte chunks has 43,000 parts and takes some 30 ms; a crowd of them would stop the
process for seconds."""
MIN_REQUEST_BYTES = 16
"""Lower bound of the length of a request with its empty line."""


class RequestSink(ABC):
    """Takes what a ``RequestReader`` has read."""

    @property
    @abstractmethod
    def request_room(self) -> int:
        """Number of requests that may be passed on now."""

    @abstractmethod
    def accept_request(self, request: CallerRequest, *, keep_alive: bool) -> None:
        """Take a complete request."""

    @abstractmethod
    def refuse_request(self, code: ErrorCode, *, event: str = "") -> None:
        """Refuse the request that is being read; ``event`` names a count to raise."""

    @abstractmethod
    def confirm_expectation(self) -> None:
        """Let the caller send the body of a request with ``Expect: 100-continue``."""


class RequestReader:
    """Parses the bytes of a connection into requests.

    Parameters
    ----------
    sink
        Takes the requests and the refusals.
    limits
        Returns the limits in force.
    clock
        Source of monotonic time.

    Notes
    -----
    The parser cannot be stopped between two requests. It gets the bytes in parts in
    which no more requests can end than the sink has room for; the rest waits.
    """

    def __init__(
        self, *, sink: RequestSink, limits: Callable[[], CallerLimits], clock: Clock
    ) -> None:
        self.peer = ""
        self.receiving = False
        self.stopped = False
        self.expires_at = clock.monotonic() + limits().header_timeout
        self._sink = sink
        self._limits = limits
        self._clock = clock
        self._parser = httptools.HttpRequestParser(self)
        self._waiting = bytearray()
        self._requests_read = 0
        self._parts_at_once = 0
        self._began_at = clock.monotonic()
        self._reset_request()

    def stop(self) -> None:
        """Ignore all further bytes."""
        self.stopped = True
        self.receiving = False
        self._waiting.clear()
        self._reset_request()

    @property
    def held_bytes(self) -> int:
        """Memory of the request that is being received and of the waiting bytes."""
        held = len(self._waiting)
        if self.receiving:
            held += self._partial_header_bytes
            held += HEADER_LINE_BYTES * len(self._headers)
            held += estimate_body_bytes(self._body_size)
        return held

    @property
    def waiting_bytes(self) -> int:
        """Number of bytes that wait until the sink has room for requests."""
        return len(self._waiting)

    def feed(self, data: bytes) -> None:
        """Parse received bytes as far as the sink has room for their requests."""
        if self.stopped:
            return
        self._parts_at_once = 0
        if not self._waiting and self._fits(data):
            self._parse(data)
        else:
            self._waiting += data
            self._parse_waiting()

    def _fits(self, data: bytes) -> bool:
        """Return whether the sink has room for all requests that can end in the data.

        Such data need not be copied to the waiting bytes.
        """
        size = len(data)
        if size <= self._body_left:
            return self._sink.request_room > 0
        if size > DIRECT_BYTES or self._body_left:
            return False
        ends = data.count(b"\n\r\n") + data.count(b"\n\n")
        return ends < self._sink.request_room

    def resume(self) -> None:
        """Parse the waiting bytes when the sink has room again."""
        if self._waiting and not self.stopped:
            # The caller did not cause the time that has passed meanwhile.
            self.expires_at = self._clock.monotonic() + (
                BODY_TIMEOUT_S if self._headers_done else self._limits().header_timeout
            )
            self.go_on()

    @property
    def is_interrupted(self) -> bool:
        """Whether bytes wait only so that other connections get their turn."""
        return bool(self._waiting) and self._sink.request_room > 0

    def go_on(self) -> None:
        """Parse the next of the waiting bytes after an interruption."""
        self._parts_at_once = 0
        self._parse_waiting()

    def _parse_waiting(self) -> None:
        while self._waiting and (room := self._sink.request_room) > 0:
            if self._parts_at_once >= MAX_PARTS_AT_ONCE:
                break
            size = self._choose_size(room)
            data = bytes(self._waiting[:size])
            del self._waiting[:size]
            self._parse(data)

    def _choose_size(self, room: int) -> int:
        """Return how many bytes to parse so that at most ``room`` requests end.

        Notes
        -----
        Besides the request that is being received, only those can end whose headers
        end in these bytes.
        """
        if self._body_left:
            return self._body_left
        size = min(PARSE_BYTES, len(self._waiting))
        while size > room * MIN_REQUEST_BYTES and self._count_ends(size) >= room:
            size //= 2
        return size

    def _count_ends(self, size: int) -> int:
        """Return at least the number of headers that end in the next bytes."""
        return sum(self._waiting.count(end, 0, size) for end in (b"\n\r\n", b"\n\n"))

    def _parse(self, data: bytes) -> None:
        requests_read, body_size = self._requests_read, self._body_size
        in_body = self._headers_done
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(ErrorCode.HEADER_INVALID)
        except httptools.HttpParserError as error:
            self._refuse(ErrorCode.HEADER_INVALID, event=type(error).__name__)
        else:
            # The bytes of an earlier request in this data are not told apart.
            unmixed = requests_read == self._requests_read
            if not unmixed or not self.receiving:
                return
            if in_body:
                self._framing_bytes += len(data) - (self._body_size - body_size)
                allowed = CHUNK_FRAMING_BYTES * self._body_parts
                self._check_header_bytes(self._framing_bytes - allowed)
            elif not self._headers_done:
                self._partial_header_bytes += len(data)
                self._check_header_bytes(self._partial_header_bytes)

    def on_message_begin(self) -> None:
        """Record when the request began, as receiving a long body takes time."""
        if self.stopped:
            return
        self.receiving = True
        limits = self._limits()
        self._max_body_bytes = limits.max_body_bytes
        self._began_at = self._clock.monotonic()
        self.expires_at = self._began_at + limits.header_timeout

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header with its name in lower case; trailers are discarded."""
        if self._headers_done or self.stopped:
            return
        if len(self._headers) < MAX_KEPT_HEADERS:
            header = (name.decode("latin-1").lower(), value.decode("latin-1"))
            self._headers.append(header)
            return
        if not self._more_headers:
            self._more_headers = bytearray()
        self._more_headers += b"%b\n%b\n" % (name, value)
        self._more_count += 1

    def on_headers_complete(self) -> None:
        """Check size, upgrade and body length; confirm ``Expect: 100-continue``."""
        if self.stopped:
            return
        self._headers_done = True
        self.expires_at = self._clock.monotonic() + BODY_TIMEOUT_S
        size = sum(len(name) + len(value) for name, value in self._headers)
        size += len(self._more_headers) - 2 * self._more_count
        size += len(self._target)
        self._check_header_bytes(size)
        self._partial_header_bytes = max(size, self._partial_header_bytes)
        if self._parser.should_upgrade():
            self._refuse(ErrorCode.HEADER_INVALID)
        for name, value in self._list_headers():
            if name == "content-length":
                self._body_left = int(value)
                if self._body_left > self._max_body_bytes:
                    self._refuse(ErrorCode.BODY_TOO_LARGE)
            elif name == "expect" and not self.stopped:
                self._sink.confirm_expectation()

    def _list_headers(self) -> HeaderList:
        """Return all headers of the request that is being received."""
        if not self._more_headers:
            return tuple(self._headers)
        texts = self._more_headers.decode("latin-1").split("\n")
        if len(texts) != 2 * self._more_count + 1:
            # The parser passes on no line breaks; a value with one would shift others.
            self._refuse(ErrorCode.HEADER_INVALID)
            return ()
        names = map(str.lower, texts[:-1:2])
        return (*self._headers, *zip(names, texts[1::2], strict=True))

    def on_body(self, body: bytes) -> None:
        """Store a part of the body unless the request has been refused."""
        if self.stopped:
            return
        self._body_size += len(body)
        self._body_left = max(0, self._body_left - len(body))
        self._body_parts += 1
        self._parts_at_once += 1
        if self._body_size > self._max_body_bytes:
            self._refuse(ErrorCode.BODY_TOO_LARGE)
        elif not self._body:
            self._body = body
        else:
            # One buffer, since each small object would cost a multiple of its bytes.
            # It becomes the body of the request without a copy.
            if isinstance(self._body, bytes):
                first, self._body = self._body, io.BytesIO()
                self._body.write(first)
            self._body.write(body)

    def on_message_complete(self) -> None:
        """Pass on the complete request."""
        if self.stopped:
            return
        headers = self._list_headers()
        if self.stopped:
            return
        body = self._body
        request = CallerRequest(
            self._parser.get_method().decode("latin-1"),
            self._target.decode("latin-1"),
            headers,
            body if isinstance(body, bytes) else body.getvalue(),
            self.peer,
            self._began_at,
        )
        self.receiving = False
        self._requests_read += 1
        self._reset_request()
        keep_alive = self._parser.should_keep_alive()
        if not keep_alive:
            # Bytes behind the last request are to be ignored (RFC 9112 section 9.6).
            self.stop()
        self._sink.accept_request(request, keep_alive=keep_alive)

    def _reset_request(self) -> None:
        self._target = b""
        self._headers: list[tuple[str, str]] = []
        self._more_headers: bytes | bytearray = b""
        self._more_count = 0
        self._headers_done = False
        self._partial_header_bytes = 0
        self._framing_bytes = 0
        self._body: bytes | io.BytesIO = b""
        self._body_parts = 0
        self._body_size = 0
        self._body_left = 0
        self._max_body_bytes = self._limits().max_body_bytes

    def _check_header_bytes(self, size: int) -> None:
        if size > self._limits().max_header_bytes:
            self._refuse(ErrorCode.HEADER_INVALID)

    def _refuse(self, code: ErrorCode, *, event: str = "") -> None:
        # A parser error that follows from a refusal is not another refusal.
        if not self.stopped:
            self.stop()
            self._sink.refuse_request(code, event=event)
