"""Envelopes of control messages, and the base class of control endpoints."""

from __future__ import annotations

import asyncio
import itertools
from abc import abstractmethod
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from almondrouter.clock import Clock
from almondrouter.errors import MALFORMED_DATA_ERRORS, AlmondError, ErrorCode
from almondrouter.protocol.codec import MAX_CONTROL_FRAME_BYTES, PROTOCOL_VERSION
from almondrouter.protocol.control import CONTROL_CODEC, ControlMessage, Refused
from almondrouter.transport.control import ByteCount, ControlEndpoint, ControlHandler

ReplySender = Callable[[int, bytes], None]
"""Sends a frame to the given incarnation of the requesting daemon."""

# Leaves room for the fields of the envelope besides the message.
MAX_ENVELOPE_BYTES = MAX_CONTROL_FRAME_BYTES + 1024
# Requests beyond this limit are refused as overloaded, so that handlers that wait do
# not accumulate without bound.
MAX_RUNNING_HANDLERS = 512

# Payload and headers of a TCP segment at an MTU of 1500 bytes, with timestamps.
_SEGMENT_BYTES = 1448
_SEGMENT_HEADER_BYTES = 52
# ZMTP frames up to this length have a header of 2 bytes instead of 9.
_SHORT_FRAME_BYTES = 255


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Frame of a control message, with its sender and correlation id.

    Parameters
    ----------
    cluster, protocol_version
        The receiver refuses messages whose values differ from its own.
    host, incarnation
        Name and incarnation of the sender.
    correlation
        0 for a message that expects no reply, a positive id for a request, and the
        negated id of the request for its reply.
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
    """Estimate the bytes on the network for a frame of ``size`` bytes.

    Includes the ZMTP frame header and, for each segment, the IPv4 and TCP headers
    with timestamps. Acknowledgements without data are not counted.
    """
    framed = size + (2 if size <= _SHORT_FRAME_BYTES else 9)
    return framed + _SEGMENT_HEADER_BYTES * -(-framed // _SEGMENT_BYTES)


class EnvelopeEndpoint(ControlEndpoint):
    """Base class of control endpoints, independent of the transport.

    It encodes and checks envelopes, matches replies to requests, runs handlers and
    counts bytes.

    Parameters
    ----------
    cluster, host, incarnation
        Sent with each message.
    clock
        Clock of the request deadlines.

    Attributes
    ----------
    refused
        Number of received frames that were refused, by error code.
    dropped
        Number of messages that were not sent because the link was down or its queue
        was full.
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
        self._byte_counts: dict[str, ByteCount] = {}
        self._handler_tasks: set[asyncio.Task[None]] = set()

    def set_handler(self, message_type: type, handler: ControlHandler) -> None:  # noqa: D102
        self._handlers[message_type] = handler

    def count_bytes(self) -> dict[str, ByteCount]:  # noqa: D102
        return self._byte_counts

    def send(self, address: str, message: ControlMessage) -> None:  # noqa: D102
        self._send_frame(address, self._encode_envelope(message, 0))

    async def request(  # noqa: D102
        self, address: str, message: ControlMessage, *, deadline: float
    ) -> ControlMessage:
        correlation = next(self._correlations)
        frame = self._encode_envelope(message, correlation)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[ControlMessage] = loop.create_future()
        self._pending[correlation] = future
        wait = max(0.0, deadline - self._clock.monotonic())
        timer = loop.call_later(wait, self._expire_request, future, address)
        try:
            self._send_frame(address, frame)
            reply = await future
        finally:
            timer.cancel()
            del self._pending[correlation]
        if isinstance(reply, Refused):
            raise AlmondError(
                _parse_error_code(reply.code), f"{address}: {reply.message}"
            )
        return reply

    @abstractmethod
    def _transmit_frame(self, address: str, frame: bytes) -> bool:
        """Queue a frame on the link to an address; return whether it was queued."""

    def _expire_request(
        self, future: asyncio.Future[ControlMessage], address: str
    ) -> None:
        """Fail a request whose deadline has passed."""
        _fail_request(
            future, ErrorCode.PEER_TIMEOUT, f"{address}: no reply before the deadline"
        )

    def _send_frame(self, address: str, frame: bytes) -> None:
        if self._transmit_frame(address, frame):
            self._get_byte_count(address).sent += estimate_wire_bytes(len(frame))
        else:
            self.dropped += 1

    def _get_byte_count(self, address: str) -> ByteCount:
        return self._byte_counts.setdefault(address, ByteCount())

    def _encode_envelope(self, message: ControlMessage, correlation: int) -> bytes:
        envelope = Envelope(
            self.cluster,
            self.protocol_version,
            self.host,
            self.incarnation,
            correlation,
            CONTROL_CODEC.encode(message),
        )
        return _ENCODER.encode(envelope)

    def _receive_frame(
        self, address: str, frame: bytes, reply: ReplySender | None
    ) -> None:
        """Handle a received frame.

        Parameters
        ----------
        address
            Address of the sender.
        frame
            Encoded envelope.
        reply
            Sends a reply to the sender; None on links that carry no requests.
        """
        self._get_byte_count(address).received += estimate_wire_bytes(len(frame))
        envelope = None
        try:
            envelope = self._decode_envelope(frame)
            self._check_envelope(envelope)
            message = CONTROL_CODEC.decode(envelope.message)
        except AlmondError as error:
            self._refuse_frame(envelope, error, reply)
            return
        if envelope.correlation < 0:
            future = self._pending.get(-envelope.correlation)
            if future is not None and not future.done():
                future.set_result(message)
        else:
            self._start_handler(self._run_handler(envelope, message, reply))

    def _decode_envelope(self, frame: bytes) -> Envelope:
        if len(frame) > MAX_ENVELOPE_BYTES:
            raise AlmondError(
                ErrorCode.FRAME_TOO_LARGE,
                f"envelope of {len(frame)} bytes, limit is {MAX_ENVELOPE_BYTES}",
            )
        try:
            return _DECODER.decode(frame)
        except MALFORMED_DATA_ERRORS as error:
            raise AlmondError(ErrorCode.FRAME_MALFORMED, str(error)) from error

    def _check_envelope(self, envelope: Envelope) -> None:
        if envelope.cluster != self.cluster:
            raise AlmondError(
                ErrorCode.CLUSTER_MISMATCH,
                f"message from cluster {envelope.cluster!r}, expected {self.cluster!r}",
            )
        if envelope.protocol_version != self.protocol_version:
            raise AlmondError(
                ErrorCode.PROTOCOL_MISMATCH,
                f"message with protocol version {envelope.protocol_version}, expected "
                f"{self.protocol_version}",
            )

    def _refuse_frame(
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
                _fail_request(future, error.code, error.message)
        elif reply is not None:
            refusal = Refused(error.code.value, error.message)
            frame = self._encode_envelope(refusal, -envelope.correlation)
            reply(envelope.incarnation, frame)

    def _start_handler(self, handling: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(handling)
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)

    async def _run_handler(
        self,
        envelope: Envelope,
        message: ControlMessage,
        reply: ReplySender | None,
    ) -> None:
        try:
            answer = await self._call_handler(envelope, message)
            if answer is None:
                return
            frame = self._encode_envelope(answer, -envelope.correlation)
        except AlmondError as error:
            refusal = Refused(error.code.value, error.message)
            frame = self._encode_envelope(refusal, -envelope.correlation)
        if envelope.correlation and reply is not None:
            reply(envelope.incarnation, frame)

    async def _call_handler(
        self, envelope: Envelope, message: ControlMessage
    ) -> ControlMessage | None:
        handler = self._handlers.get(type(message))
        if handler is None:
            name = type(message).__name__
            raise AlmondError(
                ErrorCode.NOT_READY, f"no handler is registered for {name}"
            )
        if len(self._handler_tasks) > MAX_RUNNING_HANDLERS:
            raise AlmondError(
                ErrorCode.OVERLOADED,
                f"more than {MAX_RUNNING_HANDLERS} control requests in progress",
            )
        return await handler(message, envelope.host)

    async def _stop_handlers(self) -> None:
        for task in self._handler_tasks:
            task.cancel()
        await asyncio.gather(*self._handler_tasks, return_exceptions=True)


def _fail_request(
    future: asyncio.Future[ControlMessage], code: ErrorCode, message: str
) -> None:
    if not future.done():
        future.set_exception(AlmondError(code, message))


def _parse_error_code(code: str) -> ErrorCode:
    try:
        return ErrorCode(code)
    except ValueError:
        # A newer daemon may send an error code that this version does not know.
        return ErrorCode.PEER_UNAVAILABLE


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)
