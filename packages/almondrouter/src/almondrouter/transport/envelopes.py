"""Envelopes of control messages, and what every control endpoint does with them."""

from __future__ import annotations

import asyncio
import itertools
from abc import abstractmethod
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.codec import MAX_CONTROL_FRAME_BYTES, PROTOCOL_VERSION
from almondrouter.protocol.control import CONTROL_CODEC, ControlMessage, Refused
from almondrouter.transport.control import ByteCount, ControlEndpoint, ControlHandler

ReplySender = Callable[[int, bytes], None]

MAX_ENVELOPE_BYTES = MAX_CONTROL_FRAME_BYTES + 1024
# A flood of requests whose handlers wait must not pile up tasks without end.
MAX_RUNNING_HANDLERS = 512

_SEGMENT_BYTES = 1448
_SEGMENT_HEADER_BYTES = 52
_SHORT_FRAME_BYTES = 255


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Surrounds every control message.

    Parameters
    ----------
    cluster, protocol_version
        Must equal the receiver's.
    host, incarnation
        Sender.
    correlation
        0 for a message without a reply, positive for a request, negative for
        the reply to the request of that number.
    message
        Encoded control message.
    """

    cluster: str
    protocol_version: int
    host: str
    incarnation: int
    correlation: int
    message: bytes


def estimate_wire_bytes(size: int) -> int:
    """Return the bytes on the network of a frame of ``size`` bytes.

    Adds the ZMTP frame header and the IPv4 and TCP headers, with timestamps, of
    each segment. Acknowledgements without data are left out.
    """
    framed = size + (2 if size <= _SHORT_FRAME_BYTES else 9)
    return framed + _SEGMENT_HEADER_BYTES * -(-framed // _SEGMENT_BYTES)


class EnvelopeEndpoint(ControlEndpoint):
    """Base of control endpoints: envelopes, correlation, handlers and counts.

    Parameters
    ----------
    cluster, host, incarnation
        Sent with each message.
    clock
        Clock of the deadlines.

    Notes
    -----
    ``refused`` counts the frames that were dropped, by error code; ``dropped``
    counts the messages that a full or missing link did not take.
    """

    def __init__(
        self, *, cluster: str, host: str, incarnation: int, clock: Clock
    ) -> None:
        self.cluster = cluster
        self.host = host
        self.incarnation = incarnation
        self.protocol_version = PROTOCOL_VERSION
        self.refused: Counter[ErrorCode] = Counter()
        self.dropped = 0
        self._clock = clock
        self._handlers: dict[type, ControlHandler] = {}
        self._pending: dict[int, asyncio.Future[ControlMessage]] = {}
        self._correlations = itertools.count(1)
        self._counts: dict[str, ByteCount] = {}
        self._running: set[asyncio.Task[None]] = set()

    def set_handler(self, message_type: type, handler: ControlHandler) -> None:  # noqa: D102
        self._handlers[message_type] = handler

    def count_bytes(self) -> dict[str, ByteCount]:  # noqa: D102
        return self._counts

    def send(self, address: str, message: ControlMessage) -> None:  # noqa: D102
        self._send_frame(address, self._seal(message, 0))

    async def request(  # noqa: D102
        self, address: str, message: ControlMessage, *, deadline: float
    ) -> ControlMessage:
        correlation = next(self._correlations)
        frame = self._seal(message, correlation)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[ControlMessage] = loop.create_future()
        self._pending[correlation] = future
        wait = max(0.0, deadline - self._clock.monotonic())
        timer = loop.call_later(wait, self._expire, future, address)
        try:
            self._send_frame(address, frame)
            reply = await future
        finally:
            timer.cancel()
            del self._pending[correlation]
        if isinstance(reply, Refused):
            raise AlmondError(_find_code(reply.code), f"{address}: {reply.message}")
        return reply

    @abstractmethod
    def _transmit(self, address: str, frame: bytes) -> bool:
        """Pass a frame to the link to an address; return whether it took it."""

    def _expire(self, future: asyncio.Future[ControlMessage], address: str) -> None:
        """Fail a request whose deadline has passed."""
        _fail(future, ErrorCode.PEER_TIMEOUT, f"{address}: no reply by the deadline")

    def _send_frame(self, address: str, frame: bytes) -> None:
        if self._transmit(address, frame):
            self._count(address).sent += estimate_wire_bytes(len(frame))
        else:
            self.dropped += 1

    def _count(self, address: str) -> ByteCount:
        return self._counts.setdefault(address, ByteCount())

    def _seal(self, message: ControlMessage, correlation: int) -> bytes:
        envelope = Envelope(
            self.cluster,
            self.protocol_version,
            self.host,
            self.incarnation,
            correlation,
            CONTROL_CODEC.encode(message),
        )
        return _ENCODER.encode(envelope)

    def _receive(self, address: str, frame: bytes, reply: ReplySender | None) -> None:
        """Handle a frame from an address; ``reply`` sends a frame back to it.

        ``reply`` is called with the incarnation that sent the request.
        """
        self._count(address).received += estimate_wire_bytes(len(frame))
        envelope = None
        try:
            envelope = self._open(frame)
            self._check(envelope)
            message = CONTROL_CODEC.decode(envelope.message)
        except AlmondError as error:
            self._refuse(envelope, error, reply)
            return
        if envelope.correlation < 0:
            future = self._pending.get(-envelope.correlation)
            if future is not None and not future.done():
                future.set_result(message)
        else:
            self._start(self._handle(envelope, message, reply))

    def _open(self, frame: bytes) -> Envelope:
        if len(frame) > MAX_ENVELOPE_BYTES:
            raise AlmondError(
                ErrorCode.FRAME_TOO_LARGE,
                f"{len(frame)} bytes, at most {MAX_ENVELOPE_BYTES} are allowed",
            )
        try:
            return _DECODER.decode(frame)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise AlmondError(ErrorCode.FRAME_MALFORMED, str(error)) from error

    def _check(self, envelope: Envelope) -> None:
        if envelope.cluster != self.cluster:
            raise AlmondError(
                ErrorCode.CLUSTER_MISMATCH,
                f"cluster {envelope.cluster!r}, this is {self.cluster!r}",
            )
        if envelope.protocol_version != self.protocol_version:
            raise AlmondError(
                ErrorCode.PROTOCOL_MISMATCH,
                f"protocol version {envelope.protocol_version}, this is "
                f"{self.protocol_version}",
            )

    def _refuse(
        self,
        envelope: Envelope | None,
        error: AlmondError,
        reply: ReplySender | None,
    ) -> None:
        self.refused[error.code] += 1
        if envelope is None or envelope.correlation == 0:
            return
        if envelope.correlation < 0:
            future = self._pending.get(-envelope.correlation)
            if future is not None:
                _fail(future, error.code, error.message)
        elif reply is not None:
            refusal = Refused(error.code.value, error.message)
            frame = self._seal(refusal, -envelope.correlation)
            reply(envelope.incarnation, frame)

    def _start(self, handling: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(handling)
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _handle(
        self,
        envelope: Envelope,
        message: ControlMessage,
        reply: ReplySender | None,
    ) -> None:
        try:
            answer = await self._call_handler(envelope, message)
            if answer is None:
                return
            frame = self._seal(answer, -envelope.correlation)
        except AlmondError as error:
            refusal = Refused(error.code.value, error.message)
            frame = self._seal(refusal, -envelope.correlation)
        if envelope.correlation and reply is not None:
            reply(envelope.incarnation, frame)

    async def _call_handler(
        self, envelope: Envelope, message: ControlMessage
    ) -> ControlMessage | None:
        handler = self._handlers.get(type(message))
        if handler is None:
            name = type(message).__name__
            raise AlmondError(ErrorCode.NOT_READY, f"no handler of {name}")
        if len(self._running) > MAX_RUNNING_HANDLERS:
            raise AlmondError(ErrorCode.OVERLOADED, "too many requests in progress")
        return await handler(message, envelope.host)

    async def _stop_handlers(self) -> None:
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)


def _fail(
    future: asyncio.Future[ControlMessage], code: ErrorCode, message: str
) -> None:
    if not future.done():
        future.set_exception(AlmondError(code, message))


def _find_code(code: str) -> ErrorCode:
    try:
        return ErrorCode(code)
    except ValueError:
        # A newer daemon may refuse with a code that this one does not know.
        return ErrorCode.PEER_UNAVAILABLE


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)
