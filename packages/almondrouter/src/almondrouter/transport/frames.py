"""Frames over a connection, and the clock offset between its ends."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Coroutine

import msgspec

from almondrouter.addresses import split_address
from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.calls import CALL_CODEC, CallFrame, Hello, Ping, Pong
from almondrouter.protocol.codec import MAX_CALL_FRAME_BYTES
from almondrouter.transport.listeners import set_user_timeout

HANDSHAKE_S = 3.0
PING_INTERVAL_S = 1.0
MAX_SILENCE_S = 3.0
IDLE_FACTOR = 3.0
"""How many times longer a peer of which nothing is expected may be silent."""
IDLE_PINGS = 3
"""Pings within the longest silence of such a peer."""
MAX_CLOCK_DRIFT = 200e-6
"""Seconds a second by which the clocks of two hosts may drift apart."""

_LENGTH_BYTES = 4


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


class FrameStream(asyncio.Protocol):
    """Reads and writes the frames of one connection.

    Parameters
    ----------
    clock
        Source of monotonic time.
    connected
        Run as a task when the connection is open; for servers.
    max_silence
        Seconds without any byte after which the peer counts as silent.

    Notes
    -----
    Frames wait for `receive` until `forward` says who takes them; from then
    on they are passed on as they arrive, without a task in between. Silence
    counts only while something is expected from the peer, which `watch` says.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        connected: Callable[..., Coroutine] | None = None,
        max_silence: float = MAX_SILENCE_S,
    ) -> None:
        self._clock = clock
        self._max_silence = max_silence
        self._connected = connected
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._waiting: asyncio.Queue[CallFrame | Exception] = asyncio.Queue()
        self._take: Callable[[CallFrame], None] = self._waiting.put_nowait
        self._finish: Callable[[Exception], None] = self._waiting.put_nowait
        self._writable = asyncio.Event()
        self._writable.set()
        self._closed = asyncio.Event()
        self._greeted = False
        self._ended = False
        self._heard_at = clock.monotonic()
        self._checked_at: float | None = None
        self._pinged_at = 0.0
        self._task: asyncio.Task | None = None
        self.offset = ClockOffset()

    @classmethod
    async def connect(
        cls, address: str, clock: Clock, *, max_silence: float = MAX_SILENCE_S
    ) -> FrameStream:
        """Open a connection to ``ip:port``."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        _, stream = await loop.create_connection(
            lambda: cls(clock, max_silence=max_silence), host, port
        )
        return stream

    def forward(
        self, take: Callable[[CallFrame], None], finish: Callable[[Exception], None]
    ) -> None:
        """Pass frames on as they arrive, and say when there will be no more.

        Parameters
        ----------
        take
            Called with each frame; an `AlmondError` ends the connection.
        finish
            Called once with a `ConnectionError` or an `AlmondError`.
        """
        self._take, self._finish = take, finish
        try:
            while not self._waiting.empty():
                item = self._waiting.get_nowait()
                if isinstance(item, Exception):
                    finish(item)
                else:
                    self._dispatch(item)
        except AlmondError as error:
            self._end(error)

    async def receive(self) -> CallFrame:
        """Return the next frame of a connection that is not forwarded.

        Raises
        ------
        ConnectionError
            If the connection has ended.
        AlmondError
            ``frame_too_large`` or ``frame_malformed``.
        """
        item = await self._waiting.get()
        if isinstance(item, Exception):
            raise item
        return item

    def send(self, frame: CallFrame) -> None:
        """Write a frame without waiting; see `wait_writable`.

        Notes
        -----
        A frame for a connection that has ended is dropped.

        Raises
        ------
        AlmondError
            ``frame_too_large``; nothing was written.
        """
        data = CALL_CODEC.encode(frame)
        if self._transport.is_closing():
            return
        self._transport.write(len(data).to_bytes(_LENGTH_BYTES, "big") + data)

    @property
    def heard_at(self) -> float:
        """Return the monotonic time in seconds of the last bytes from the peer."""
        return self._heard_at

    @property
    def is_writable(self) -> bool:
        """Whether the peer has read enough of what was written before."""
        return self._writable.is_set()

    async def wait_writable(self) -> None:
        """Wait until the peer has read enough, or the connection has ended."""
        await self._writable.wait()

    def watch(self) -> None:
        """Begin to expect signs of life from now on."""
        self._heard_at = self._clock.monotonic()
        self._checked_at = None

    def check_silence(self, *, idle: bool = False) -> bool:
        """Ping the peer; return whether it has been silent for too long.

        Parameters
        ----------
        idle
            Whether nothing is expected now. Such a peer is pinged less often and
            may be silent for longer.

        Notes
        -----
        To be called regularly while something is expected. A late call means
        that this process was frozen, which says nothing of the peer.
        """
        now = self._clock.monotonic()
        factor = IDLE_FACTOR if idle else 1.0
        max_silence = self._max_silence * factor
        if self._checked_at is not None and now - self._checked_at > max_silence:
            self._heard_at = now
        self._checked_at = now
        if now - self._heard_at >= max_silence:
            return True
        if not idle or now - self._pinged_at >= max_silence / IDLE_PINGS:
            self._pinged_at = now
            self.send(Ping(now))
        return False

    def close(self) -> None:
        """Drop the connection with all that was not sent yet."""
        self._transport.abort()

    async def close_gracefully(self) -> None:
        """Send what was written, then close the connection."""
        self._transport.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HANDSHAKE_S):
                await self._closed.wait()
        self._transport.abort()

    async def greet(self, hello: Hello) -> Hello:
        """Open a link as its client; return the greeting of the peer.

        Raises
        ------
        AlmondError
            ``cluster_mismatch``, ``protocol_mismatch`` or ``frame_malformed``.
        """
        sent = self._clock.monotonic()
        self.send(msgspec.structs.replace(hello, clock=sent))
        peer = check_hello(await self.receive(), hello)
        received = self._clock.monotonic()
        self.offset.add_sample(sent=sent, received=received, peer=peer.clock)
        self.send(Pong(peer.clock, received))
        self._greeted = True
        return peer

    async def answer_greeting(self, hello: Hello) -> Hello:
        """Open a link as its server; return the greeting of the peer.

        Raises
        ------
        AlmondError
            As in `greet`; the peer gets this host's greeting even then, so
            that it can tell why.
        """
        frame = await self.receive()
        sent = self._clock.monotonic()
        self.send(msgspec.structs.replace(hello, clock=sent))
        peer = check_hello(frame, hello)
        pong = await self.receive()
        if not isinstance(pong, Pong) or pong.echoed != sent:
            raise AlmondError(ErrorCode.FRAME_MALFORMED, "the greeting is not finished")
        self._take_pong(pong)
        self._greeted = True
        return peer

    def connection_made(self, transport: asyncio.Transport) -> None:  # noqa: D102
        self._transport = transport
        set_user_timeout(transport, self._max_silence)
        if self._connected is not None:
            self._task = asyncio.create_task(self._connected(self))

    def connection_lost(self, error: Exception | None) -> None:  # noqa: D102
        self._closed.set()
        self._writable.set()
        self._end(ConnectionResetError("the link was closed"))

    def pause_writing(self) -> None:  # noqa: D102
        self._writable.clear()

    def resume_writing(self) -> None:  # noqa: D102
        self._writable.set()

    def data_received(self, data: bytes) -> None:  # noqa: D102
        self._heard_at = self._clock.monotonic()
        try:
            if self._buffer:
                self._buffer += data
                del self._buffer[: self._take_frames(self._buffer)]
            else:
                self._buffer += data[self._take_frames(data) :]
        except AlmondError as error:
            self._end(error)

    def _take_frames(self, data: bytes | bytearray) -> int:
        """Dispatch all whole frames; return how many bytes they have."""
        begin = 0
        while len(data) - begin >= _LENGTH_BYTES and not self._ended:
            body = begin + _LENGTH_BYTES
            length = int.from_bytes(data[begin:body], "big")
            if length > MAX_CALL_FRAME_BYTES:
                message = f"a frame of {length} bytes was announced"
                raise AlmondError(ErrorCode.FRAME_TOO_LARGE, message)
            end = body + length
            if len(data) < end:
                break
            frame = CALL_CODEC.decode(bytes(data[body:end]))
            begin = end
            self._dispatch(frame)
        return begin

    def _dispatch(self, frame: CallFrame) -> None:
        if self._greeted and isinstance(frame, Ping):
            self.send(Pong(frame.clock, self._clock.monotonic()))
        elif self._greeted and isinstance(frame, Pong):
            self._take_pong(frame)
        else:
            self._take(frame)

    def _end(self, error: Exception) -> None:
        if not self._ended:
            self._ended = True
            self._finish(error)

    def _take_pong(self, pong: Pong) -> None:
        now = self._clock.monotonic()
        if pong.echoed <= now:
            self.offset.add_sample(sent=pong.echoed, received=now, peer=pong.clock)


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
