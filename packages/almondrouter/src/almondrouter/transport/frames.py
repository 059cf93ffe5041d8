"""Frames over a connection, and the clock offset between its ends."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.calls import CALL_CODEC, CallFrame, Hello, Ping, Pong
from almondrouter.protocol.codec import MAX_CALL_FRAME_BYTES

HANDSHAKE_S = 3.0
PING_INTERVAL_S = 1.0
MAX_SILENCE_S = 3.0
MAX_CLOCK_DRIFT = 200e-6
"""Seconds a second by which the clocks of two hosts may drift apart."""

_LENGTH_BYTES = 4
_READ_BYTES = 262_144


class ClockOffset:
    """Estimates this host's monotonic clock less that of the peer.

    Notes
    -----
    A sample is off by at most half its round trip. A later sample replaces it
    if its error is lower than that of the kept one with the drift since then,
    so a ping that waited in a buffer does not spoil the estimate.
    """

    def __init__(self) -> None:
        self._offset = 0.0
        self._error = float("inf")
        self._measured_at = 0.0

    def add_sample(self, *, sent: float, received: float, peer: float) -> None:
        """Take the result of one round trip.

        Parameters
        ----------
        sent, received
            Monotonic seconds of this host.
        peer
            Monotonic seconds of the peer in between.
        """
        error = (received - sent) / 2
        drift = (received - self._measured_at) * MAX_CLOCK_DRIFT
        if error <= self._error + drift:
            self._offset = (sent + received) / 2 - peer
            self._error = error
            self._measured_at = received

    @property
    def error(self) -> float:
        """Return the bound on the error of the kept sample in seconds."""
        return self._error

    def localize(self, peer_time: float) -> float:
        """Return the time of this host's clock for a time of the peer's.

        Notes
        -----
        The result is the earliest that the error allows, so that no request
        begins after the deadline of its caller, even if the greeting itself
        was held up in a buffer.
        """
        return peer_time + self._offset - self._error


class FrameStream:
    """Reads and writes the frames of one connection.

    Notes
    -----
    Silence counts only while something is expected from the peer, which
    `watch` says.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, clock: Clock
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._clock = clock
        self._buffer = bytearray()
        self._heard_at = clock.monotonic()
        self._checked_at: float | None = None
        self.offset = ClockOffset()

    async def receive(self) -> CallFrame:
        """Return the next frame that is not a ping or pong.

        Raises
        ------
        ConnectionError
            If the connection has ended.
        AlmondError
            ``frame_too_large`` or ``frame_malformed``.
        """
        while True:
            frame = await self._receive_any()
            if isinstance(frame, Ping):
                self.send(Pong(frame.clock, self._clock.monotonic()))
            elif isinstance(frame, Pong):
                self._take_pong(frame)
            else:
                return frame

    def send(self, frame: CallFrame) -> None:
        """Write a frame without waiting; see `wait_writable`.

        Raises
        ------
        AlmondError
            ``frame_too_large``; nothing was written.
        """
        data = CALL_CODEC.encode(frame)
        self._writer.write(len(data).to_bytes(_LENGTH_BYTES, "big") + data)

    async def wait_writable(self) -> None:
        """Wait until the peer has read enough of what was written before."""
        await self._writer.drain()

    def watch(self) -> None:
        """Begin to expect signs of life from now on."""
        self._heard_at = self._clock.monotonic()
        self._checked_at = None

    def check_silence(self) -> bool:
        """Ping the peer; return whether it has been silent for too long.

        Notes
        -----
        To be called every `PING_INTERVAL_S` while something is expected. A
        late call means that this process was frozen, which says nothing of
        the peer.
        """
        now = self._clock.monotonic()
        if self._checked_at is not None and now - self._checked_at > MAX_SILENCE_S:
            self._heard_at = now
        self._checked_at = now
        if now - self._heard_at >= MAX_SILENCE_S:
            return True
        self.send(Ping(now))
        return False

    def close(self) -> None:
        """Drop the connection with all that was not sent yet."""
        self._writer.transport.abort()

    async def close_gracefully(self) -> None:
        """Send what was written, then close the connection."""
        self._writer.close()
        with contextlib.suppress(ConnectionError, TimeoutError):
            async with asyncio.timeout(HANDSHAKE_S):
                await self._writer.wait_closed()

    async def greet(self, hello: Hello) -> Hello:
        """Open a link as its client; return the greeting of the peer.

        Raises
        ------
        AlmondError
            ``cluster_mismatch``, ``protocol_mismatch`` or ``frame_malformed``.
        """
        sent = self._clock.monotonic()
        self.send(msgspec.structs.replace(hello, clock=sent))
        peer = check_hello(await self._receive_any(), hello)
        received = self._clock.monotonic()
        self.offset.add_sample(sent=sent, received=received, peer=peer.clock)
        self.send(Pong(peer.clock, received))
        return peer

    async def answer_greeting(self, hello: Hello) -> Hello:
        """Open a link as its server; return the greeting of the peer.

        Raises
        ------
        AlmondError
            As in `greet`; the peer gets this host's greeting even then, so
            that it can tell why.
        """
        frame = await self._receive_any()
        sent = self._clock.monotonic()
        self.send(msgspec.structs.replace(hello, clock=sent))
        peer = check_hello(frame, hello)
        pong = await self._receive_any()
        if not isinstance(pong, Pong) or pong.echoed != sent:
            raise AlmondError(ErrorCode.FRAME_MALFORMED, "the greeting is not finished")
        self._take_pong(pong)
        return peer

    def _take_pong(self, pong: Pong) -> None:
        now = self._clock.monotonic()
        if pong.echoed <= now:
            self.offset.add_sample(sent=pong.echoed, received=now, peer=pong.clock)

    async def _receive_any(self) -> CallFrame:
        while True:
            frame = self._take_frame()
            if frame is not None:
                return frame
            data = await self._reader.read(_READ_BYTES)
            if not data:
                raise ConnectionResetError("the peer closed the link")
            self._heard_at = self._clock.monotonic()
            self._buffer += data

    def _take_frame(self) -> CallFrame | None:
        buffer = self._buffer
        if len(buffer) < _LENGTH_BYTES:
            return None
        end = _LENGTH_BYTES + int.from_bytes(buffer[:_LENGTH_BYTES], "big")
        if end - _LENGTH_BYTES > MAX_CALL_FRAME_BYTES:
            message = f"a frame of {end - _LENGTH_BYTES} bytes was announced"
            raise AlmondError(ErrorCode.FRAME_TOO_LARGE, message)
        if len(buffer) < end:
            return None
        data = bytes(buffer[_LENGTH_BYTES:end])
        del buffer[:end]
        return CALL_CODEC.decode(data)


def check_hello(frame: CallFrame, own: Hello) -> Hello:
    """Return the greeting if its sender belongs to the same cluster."""
    if not isinstance(frame, Hello):
        raise AlmondError(ErrorCode.FRAME_MALFORMED, "the link begins without hello")
    if frame.cluster != own.cluster:
        message = f"{frame.host!r} belongs to cluster {frame.cluster!r}"
        raise AlmondError(ErrorCode.CLUSTER_MISMATCH, message)
    if frame.protocol_version != own.protocol_version:
        message = f"{frame.host!r} speaks version {frame.protocol_version}"
        raise AlmondError(ErrorCode.PROTOCOL_MISMATCH, message)
    return frame
