"""Control links over ZeroMQ."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Collection
from functools import partial

import zmq
import zmq.asyncio

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import ControlMessage
from almondrouter.transport.envelopes import (
    MAX_ENVELOPE_BYTES,
    EnvelopeEndpoint,
    estimate_wire_bytes,
)

LINK_IDLE_TIMEOUT_S = 60.0
# Links to hosts that are not neighbours carry only short series of requests, after
# which they need not stay open.
NON_NEIGHBOUR_IDLE_TIMEOUT_S = 10.0
IDLE_CHECK_INTERVAL_S = 10.0
# Maximum number of queued messages of a link, for each direction. A slow link drops
# messages beyond it instead of queueing them, as control messages are small and
# heartbeats repair the loss.
HIGH_WATER_MARK = 32
# Frames up to twice the limit are received, refused and counted. For larger ones
# ZeroMQ closes the connection before it allocates memory for them.
MAX_RECEIVED_BYTES = 2 * MAX_ENVELOPE_BYTES

_PING_INTERVAL_MS = 10_000
_PING_TIMEOUT_MS = 5_000
_RETRANSMIT_TIMEOUT_MS = 5_000
_CONNECT_TIMEOUT_MS = 3_000
_RECONNECT_INTERVAL_MS = 200
_MAX_RECONNECT_INTERVAL_MS = 3_000
_LISTEN_BACKLOG = 1024


class ZmqControlEndpoint(EnvelopeEndpoint):
    """Control endpoint with one ROUTER socket and a DEALER socket for each peer.

    Parameters
    ----------
    cluster, host, incarnation
        Sent with each message.
    address
        ``ip:port`` to bind. Port 0 selects a free port, which the attribute
        ``address`` contains after `start`.
    clock
        Clock of the deadlines and idle times.

    Attributes
    ----------
    replaced_links
        Number of links that were closed because they were silent.

    Notes
    -----
    The first message to an address opens a link, which is closed after 60 s
    without messages. A link is also closed when a request on it times out and
    nothing has been received since the request was sent; the next message then
    opens a new one. Links without requests are monitored by ZMTP heartbeats. The
    routing id consists of the sender's address and incarnation. A new link
    therefore takes over from a silent one, and no reply reaches a later incarnation
    of the same daemon.
    """

    def __init__(
        self, *, cluster: str, host: str, incarnation: int, address: str, clock: Clock
    ) -> None:
        super().__init__(
            cluster=cluster, host=host, incarnation=incarnation, clock=clock
        )
        self.address = address
        self.replaced_links = 0
        self._context: zmq.asyncio.Context | None = None
        self._router: zmq.asyncio.Socket | None = None
        self._links: dict[str, _Link] = {}
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def links(self) -> tuple[str, ...]:
        """Addresses to which links are open."""
        return tuple(self._links)

    async def start(self) -> None:  # noqa: D102
        self._context = zmq.asyncio.Context()
        self._router = self._context.socket(zmq.ROUTER)
        _set_options(self._router)
        self._router.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._router.setsockopt(zmq.BACKLOG, _LISTEN_BACKLOG)
        try:
            self._router.bind(f"tcp://{self.address}")
        except zmq.ZMQError as error:
            self._context.destroy(linger=0)
            self._context = self._router = None
            raise AlmondError(
                ErrorCode.ADDRESS_IN_USE,
                f"cannot bind control address {self.address}: {error}",
            ) from error
        endpoint = self._router.getsockopt(zmq.LAST_ENDPOINT).rstrip(b"\0").decode()
        self.address = endpoint.removeprefix("tcp://")
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(self._receive_requests()),
            loop.create_task(self._close_idle_links()),
        ]

    async def close(self) -> None:  # noqa: D102
        for address in list(self._links):
            self._close_link(address)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._stop_handlers()
        if self._context is not None:
            self._context.destroy(linger=0)
            self._context = self._router = None

    def close_other_links(self, addresses: Collection[str]) -> None:  # noqa: D102
        oldest = self._clock.monotonic() - NON_NEIGHBOUR_IDLE_TIMEOUT_S
        for address, link in list(self._links.items()):
            if address not in addresses and link.is_idle_since(oldest):
                self._close_link(address)

    async def request(  # noqa: D102
        self, address: str, message: ControlMessage, *, deadline: float
    ) -> ControlMessage:
        link = self._open_link(address)
        started = self._clock.monotonic()
        link.requests += 1
        try:
            return await super().request(address, message, deadline=deadline)
        except AlmondError as error:
            silent = link.last_received < started
            if error.code is ErrorCode.PEER_TIMEOUT and silent:
                self._replace_link(address, link)
            raise
        finally:
            link.requests -= 1

    def _transmit_frame(self, address: str, frame: bytes) -> bool:
        if self._context is None:
            return False
        link = self._open_link(address)
        link.last_used = self._clock.monotonic()
        return _try_send(link.socket, [frame])

    def _open_link(self, address: str) -> _Link:
        link = self._links.get(address)
        if link is None:
            if self._context is None:
                raise AlmondError(ErrorCode.STOPPING, "the control endpoint is closed")
            socket = self._context.socket(zmq.DEALER)
            _set_options(socket)
            routing_id = f"{self.address}/{self.incarnation}"
            socket.setsockopt(zmq.ROUTING_ID, routing_id.encode())
            socket.connect(f"tcp://{address}")
            link = _Link(socket, self._clock.monotonic())
            link.task = asyncio.get_running_loop().create_task(
                self._read_replies(address, link)
            )
            self._links[address] = link
        return link

    def _replace_link(self, address: str, link: _Link) -> None:
        # Closing discards the messages queued on the silent link. The next message
        # opens a new link.
        if self._links.get(address) is link:
            self.replaced_links += 1
            self._close_link(address)

    def _close_link(self, address: str) -> None:
        link = self._links.pop(address)
        link.task.cancel()
        link.socket.close(linger=0)

    async def _close_idle_links(self) -> None:
        while True:
            now = self._clock.monotonic()
            await self._clock.sleep_until(now + IDLE_CHECK_INTERVAL_S)
            oldest = self._clock.monotonic() - LINK_IDLE_TIMEOUT_S
            for address, link in list(self._links.items()):
                if link.is_idle_since(oldest):
                    self._close_link(address)

    async def _read_replies(self, address: str, link: _Link) -> None:
        while True:
            frame = await link.socket.recv()
            link.last_received = self._clock.monotonic()
            self._receive_frame(address, frame, None)

    async def _receive_requests(self) -> None:
        router = self._router
        while True:
            parts = await router.recv_multipart()
            if len(parts) != 2:
                self.refused[ErrorCode.FRAME_MALFORMED] += 1
                continue
            address = _parse_sender_address(parts[0])
            reply = partial(self._send_reply, parts[0], address)
            self._receive_frame(address, parts[1], reply)

    def _send_reply(
        self, routing_id: bytes, address: str, _incarnation: int, frame: bytes
    ) -> None:
        if self._router is not None and _try_send(self._router, [routing_id, frame]):
            self._get_byte_count(address).sent += estimate_wire_bytes(len(frame))
        else:
            self.dropped += 1


class _Link:
    """A DEALER socket connected to one address, with its activity."""

    __slots__ = ("last_received", "last_used", "requests", "socket", "task")

    def __init__(self, socket: zmq.asyncio.Socket, now: float) -> None:
        self.socket = socket
        self.task: asyncio.Task[None]
        self.requests = 0
        self.last_used = now
        self.last_received = now

    def is_idle_since(self, time: float) -> bool:
        """Return whether no message was sent since a time and no request is pending.

        Parameters
        ----------
        time
            Monotonic seconds.
        """
        return self.last_used < time and not self.requests


def _set_options(socket: zmq.asyncio.Socket) -> None:
    socket.setsockopt(zmq.LINGER, 0)
    socket.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_RECEIVED_BYTES)
    socket.setsockopt(zmq.HEARTBEAT_IVL, _PING_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, _PING_TIMEOUT_MS)
    socket.setsockopt(zmq.TCP_MAXRT, _RETRANSMIT_TIMEOUT_MS)
    socket.setsockopt(zmq.CONNECT_TIMEOUT, _CONNECT_TIMEOUT_MS)
    socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_INTERVAL_MS)
    socket.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_INTERVAL_MS)


def _try_send(socket: zmq.asyncio.Socket, parts: list[bytes]) -> bool:
    """Queue a message without blocking; return False if the queue is full."""
    # With NOBLOCK the future is already done when the call returns.
    sending = socket.send_multipart(parts, flags=zmq.NOBLOCK)
    with contextlib.suppress(zmq.ZMQError):
        sending.result()
        return True
    return False


def _parse_sender_address(routing_id: bytes) -> str:
    """Return the address in a routing id, or "" if the id has another form."""
    address, separator, _ = routing_id.decode(errors="replace").rpartition("/")
    return address if separator else ""
