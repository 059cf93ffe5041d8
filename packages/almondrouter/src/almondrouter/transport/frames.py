"""Frames on a call link: framing, handshake, pings and clock offset."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

import msgspec

from almondrouter.addresses import split_address
from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.calls import CALL_CODEC, CallFrame, Hello, Ping, Pong
from almondrouter.protocol.codec import MAX_CALL_FRAME_BYTES
from almondrouter.transport.listeners import set_tcp_user_timeout

HANDSHAKE_TIMEOUT_S = 3.0
"""Time limit for a handshake, and for flushing unsent data before a close."""
PING_INTERVAL_S = 1.0
MAX_SILENCE_S = 3.0
"""Time without received bytes after which a peer counts as silent."""
MAX_CHECK_GAP = 2.0
"""Ping intervals between two checks of a peer above which this process was paused."""
IDLE_SILENCE_FACTOR = 3.0
"""Factor by which a peer may be silent for longer while no reply is pending."""
IDLE_PINGS_PER_SILENCE = 3
"""Number of pings within that longer silence."""
MAX_CLOCK_DRIFT = 200e-6
"""Bound on the drift between the clocks of two hosts, in seconds per second."""

PATIENT_TCP_USER_TIMEOUT_S = 15.0
"""Time without acknowledgement of sent data after which a connection with calls fails.

Longer than the deadlines of most calls: a reply may still arrive after a time without
one. Silence is detected sooner by pings, and new calls then use another connection.
"""

_LENGTH_BYTES = 4


class ClockOffset:
    """Estimate of the offset from the peer's monotonic clock to this host's.

    Notes
    -----
    The error of a sample is at most half its round-trip time. A new sample replaces
    the current one only if its error is no larger than the error of the current one
    plus the possible drift since then. A ping that was delayed in a buffer
    therefore does not degrade the estimate.
    """

    def __init__(self) -> None:
        self._offset = 0.0
        self._error = float("inf")
        self._measured_at = 0.0

    def add_sample(self, *, sent: float, received: float, peer: float) -> None:
        """Update the estimate from one round trip.

        Parameters
        ----------
        sent, received
            Start and end of the round trip, in monotonic seconds of this host.
        peer
            Time of the peer between the two, in its monotonic seconds.
        """
        error = (received - sent) / 2
        drift = (received - self._measured_at) * MAX_CLOCK_DRIFT
        if error <= self._error + drift:
            self._offset = (sent + received) / 2 - peer
            self._error = error
            self._measured_at = received

    @property
    def error(self) -> float:
        """Bound on the error of the current sample, in seconds."""
        return self._error

    def to_local_time(self, peer_time: float) -> float:
        """Convert a time of the peer's clock to this host's clock.

        Notes
        -----
        The result is the earliest time within the error bound. A request is
        therefore never started after its caller's deadline, even if the handshake
        was delayed in a buffer and the estimate is poor.
        """
        return peer_time + self._offset - self._error


@dataclass(slots=True)
class FrameTraffic:
    """Frames and bytes on all links of one side of a daemon.

    Parameters
    ----------
    on_sent
        Called with the length of each frame that leaves.
    """

    frames_sent: int = 0
    frames_received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    on_sent: Callable[[int], None] | None = None

    def record_sent(self, size: int) -> None:
        """Count a frame that leaves."""
        self.frames_sent += 1
        self.bytes_sent += size
        if self.on_sent is not None:
            self.on_sent(size)


class FrameStream(asyncio.Protocol):
    """Protocol that reads and writes length-prefixed frames on one connection.

    Parameters
    ----------
    clock
        Source of monotonic time.
    on_connect
        Coroutine function that runs as a task when the connection is open. Servers
        use it for the handshake.
    max_silence
        Seconds without received bytes after which the peer counts as silent.
    ping_interval
        Seconds between calls of `check_silence`.
    traffic
        Counts the frames and bytes; may be shared between links.

    Notes
    -----
    Frames are queued for `receive` until `set_callbacks` is called. After that the
    callbacks get them directly from the event loop, without a task in between.
    Silence counts only while a reply from the peer is pending; the owner calls
    `restart_silence_timer` when that begins.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        on_connect: Callable[..., Coroutine] | None = None,
        max_silence: float = MAX_SILENCE_S,
        ping_interval: float = PING_INTERVAL_S,
        traffic: FrameTraffic | None = None,
    ) -> None:
        self._clock = clock
        self._traffic = traffic or FrameTraffic()
        self._max_silence = max_silence
        self._max_check_gap = MAX_CHECK_GAP * ping_interval
        self._on_connect = on_connect
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._unread_frames: asyncio.Queue[CallFrame | Exception] = asyncio.Queue()
        self._on_frame: Callable[[CallFrame], None] = self._unread_frames.put_nowait
        self._on_end: Callable[[Exception], None] = self._unread_frames.put_nowait
        self._writable = asyncio.Event()
        self._writable.set()
        self.on_writable: Callable[[], None] | None = None
        """Called when the connection becomes writable again."""
        self.on_delay: Callable[[float], None] | None = None
        """Called with the seconds by which a round trip exceeds the fastest one."""
        self._closed = asyncio.Event()
        self._handshake_done = False
        self._ended = False
        self._last_received_at = clock.monotonic()
        self._checked_at: float | None = None
        self._pinged_at = clock.monotonic()
        # Links that open together do not ping together.
        self._ping_share = random.random()
        self._task: asyncio.Task | None = None
        self.offset = ClockOffset()

    @classmethod
    async def connect(
        cls,
        address: str,
        clock: Clock,
        *,
        max_silence: float = MAX_SILENCE_S,
        ping_interval: float = PING_INTERVAL_S,
        traffic: FrameTraffic | None = None,
    ) -> FrameStream:
        """Connect to ``ip:port``; the handshake is left to the caller."""
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        _, stream = await loop.create_connection(
            lambda: cls(
                clock,
                max_silence=max_silence,
                ping_interval=ping_interval,
                traffic=traffic,
            ),
            host,
            port,
        )
        return stream

    def set_callbacks(
        self, on_frame: Callable[[CallFrame], None], on_end: Callable[[Exception], None]
    ) -> None:
        """Deliver queued and future frames, and the end of the link, to callbacks.

        Parameters
        ----------
        on_frame
            Called with each frame. If it raises an `AlmondError`, no further frames
            are delivered.
        on_end
            Called once with the `ConnectionError` or `AlmondError` that ended the
            link, or with a `TimeoutError` if the peer acknowledged nothing in time.
        """
        self._on_frame, self._on_end = on_frame, on_end
        try:
            while not self._unread_frames.empty():
                item = self._unread_frames.get_nowait()
                if isinstance(item, Exception):
                    on_end(item)
                else:
                    self._dispatch_frame(item)
        except AlmondError as error:
            self._report_end(error)

    async def receive(self) -> CallFrame:
        """Return the next frame; only before `set_callbacks` is called.

        Raises
        ------
        ConnectionError
            If the connection is closed.
        AlmondError
            ``frame_too_large`` or ``frame_malformed``.
        """
        item = await self._unread_frames.get()
        if isinstance(item, Exception):
            raise item
        return item

    def send(self, frame: CallFrame) -> None:
        """Write a frame without waiting for the peer; see `wait_writable`.

        Notes
        -----
        The frame is discarded if the connection is closing or closed.

        Raises
        ------
        AlmondError
            ``frame_too_large``; nothing was written.
        """
        data = CALL_CODEC.encode(frame)
        if self._transport.is_closing():
            return
        self._traffic.record_sent(_LENGTH_BYTES + len(data))
        self._transport.write(len(data).to_bytes(_LENGTH_BYTES, "big") + data)

    @property
    def last_received_at(self) -> float:
        """Monotonic time in seconds at which the last bytes were received."""
        return self._last_received_at

    @property
    def is_writable(self) -> bool:
        """Whether the write buffer is below its high-water mark."""
        return self._writable.is_set()

    async def wait_writable(self) -> None:
        """Wait until the write buffer has drained or the connection is closed."""
        await self._writable.wait()

    def set_patient(self, patient: bool) -> None:
        """Set whether the connection outlasts a silence of the peer.

        Notes
        -----
        Without calls it must not: a notice that is not acknowledged is lost, and the
        next connection delivers the current one.
        """
        limit = PATIENT_TCP_USER_TIMEOUT_S if patient else self._max_silence
        if not self._transport.is_closing():
            set_tcp_user_timeout(self._transport, limit)

    def release_writers(self) -> None:
        """Let those that wait until the connection is writable go on."""
        self._writable.set()

    def restart_silence_timer(self) -> None:
        """Measure the silence of the peer from now on."""
        self._last_received_at = self._clock.monotonic()
        self._checked_at = None

    def check_silence(self, *, factor: float = 1.0) -> bool:
        """Ping the peer; return whether its silence exceeds the limit.

        Parameters
        ----------
        factor
            Factor on the limit; above 1 if no reply is pending. The peer is then
            pinged less often, a fixed number of times within the limit.

        Notes
        -----
        This must be called at regular intervals while a reply is pending. If the
        previous call is too long ago, this process itself was paused, which says
        nothing about the peer: its data may wait to be read. The silence is then
        measured from now on.
        """
        now = self._clock.monotonic()
        max_silence = self._max_silence * factor
        gap = 0.0 if self._checked_at is None else now - self._checked_at
        if gap > self._max_check_gap:
            self._last_received_at = now
        self._checked_at = now
        if now - self._last_received_at >= max_silence:
            return True
        interval = max_silence / IDLE_PINGS_PER_SILENCE
        if factor == 1.0 or now >= self._pinged_at + interval * self._ping_share:
            self._pinged_at, self._ping_share = now, 1.0
            self.send(Ping(now))
        return False

    def close(self) -> None:
        """Abort the connection and discard unsent data."""
        self._transport.abort()

    async def close_gracefully(self) -> None:
        """Flush unsent data, then close the connection."""
        self._transport.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await self._closed.wait()
        self._transport.abort()

    async def run_client_handshake(self, hello: Hello) -> Hello:
        """Run the handshake as the client; return the hello frame of the peer.

        Notes
        -----
        Both ends send a hello frame with their clock. The client then echoes the
        clock of the server in a pong, so that both have a sample of the offset.

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
        self._handshake_done = True
        return peer

    async def run_server_handshake(self, hello: Hello) -> Hello:
        """Run the handshake as the server; return the hello frame of the peer.

        Raises
        ------
        AlmondError
            As in `run_client_handshake`. The hello frame of this daemon is sent
            before the check, so that the peer can also report the mismatch.
        """
        frame = await self.receive()
        sent = self._clock.monotonic()
        self.send(msgspec.structs.replace(hello, clock=sent))
        peer = check_hello(frame, hello)
        pong = await self.receive()
        if not isinstance(pong, Pong) or pong.echoed != sent:
            raise AlmondError(
                ErrorCode.FRAME_MALFORMED,
                "handshake failed: no pong that matches the hello frame",
            )
        self._record_pong(pong)
        self._handshake_done = True
        return peer

    def connection_made(self, transport: asyncio.Transport) -> None:  # noqa: D102
        self._transport = transport
        self.set_patient(self._on_connect is not None)
        if self._on_connect is not None:
            self._task = asyncio.create_task(self._on_connect(self))

    def connection_lost(self, error: Exception | None) -> None:  # noqa: D102
        self._closed.set()
        self._writable.set()
        if not isinstance(error, TimeoutError):
            error = ConnectionResetError("connection closed")
        self._report_end(error)

    def pause_writing(self) -> None:  # noqa: D102
        self._writable.clear()

    def resume_writing(self) -> None:  # noqa: D102
        self._writable.set()
        if self.on_writable is not None:
            self.on_writable()

    def data_received(self, data: bytes) -> None:  # noqa: D102
        self._last_received_at = self._clock.monotonic()
        self._traffic.bytes_received += len(data)
        try:
            if self._buffer:
                self._buffer += data
                del self._buffer[: self._dispatch_frames(self._buffer)]
            else:
                self._buffer += data[self._dispatch_frames(data) :]
        except AlmondError as error:
            self._report_end(error)

    def _dispatch_frames(self, data: bytes | bytearray) -> int:
        """Dispatch all complete frames; return how many bytes they take up."""
        begin = 0
        while len(data) - begin >= _LENGTH_BYTES and not self._ended:
            body = begin + _LENGTH_BYTES
            length = int.from_bytes(data[begin:body], "big")
            if length > MAX_CALL_FRAME_BYTES:
                message = f"frame of {length} bytes, limit is {MAX_CALL_FRAME_BYTES}"
                raise AlmondError(ErrorCode.FRAME_TOO_LARGE, message)
            end = body + length
            if len(data) < end:
                break
            # A slice of the buffer itself would be one more copy of a long frame.
            frame = CALL_CODEC.decode(bytes(memoryview(data)[body:end]))
            begin = end
            self._traffic.frames_received += 1
            self._dispatch_frame(frame)
        return begin

    def _dispatch_frame(self, frame: CallFrame) -> None:
        if self._handshake_done and isinstance(frame, Ping):
            # A peer that reads nothing must not fill the memory with replies.
            if self.is_writable:
                self.send(Pong(frame.clock, self._clock.monotonic()))
        elif self._handshake_done and isinstance(frame, Pong):
            self._record_pong(frame)
        else:
            self._on_frame(frame)

    def _report_end(self, error: Exception) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(error)

    def _record_pong(self, pong: Pong) -> None:
        now = self._clock.monotonic()
        if pong.echoed <= now:
            if self.on_delay is not None and self._handshake_done:
                self.on_delay(now - pong.echoed - 2 * self.offset.error)
            self.offset.add_sample(sent=pong.echoed, received=now, peer=pong.clock)


def check_hello(frame: CallFrame, own: Hello) -> Hello:
    """Return a hello frame after checking its cluster and protocol version.

    Raises
    ------
    AlmondError
        ``frame_malformed`` if the frame is not a hello frame,
        ``cluster_mismatch`` or ``protocol_mismatch``.
    """
    if not isinstance(frame, Hello):
        raise AlmondError(
            ErrorCode.FRAME_MALFORMED, "first frame of the link is not a hello frame"
        )
    if frame.cluster != own.cluster:
        message = (
            f"host {frame.host!r} belongs to cluster {frame.cluster!r}, "
            f"this daemon to {own.cluster!r}"
        )
        raise AlmondError(ErrorCode.CLUSTER_MISMATCH, message)
    if frame.protocol_version != own.protocol_version:
        message = (
            f"host {frame.host!r} uses protocol version {frame.protocol_version}, "
            f"this daemon uses {own.protocol_version}"
        )
        raise AlmondError(ErrorCode.PROTOCOL_MISMATCH, message)
    return frame
