"""Call links: one connection carries the calls from one daemon to another."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass

import msgspec

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.protocol.calls import (
    BodyOffer,
    CallFrame,
    CallReply,
    CallRequest,
    Cancel,
    ClaimQuery,
    Hello,
    HostNotice,
    LinkRequest,
    Notice,
)
from almondrouter.protocol.codec import MAX_CALL_FRAME_BYTES
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError, make_reply
from almondrouter.transport.called_link import CalledLink
from almondrouter.transport.calls import CallLinks
from almondrouter.transport.deadlines import Deadlines
from almondrouter.transport.frames import (
    HANDSHAKE_S,
    IDLE_FACTOR,
    MAX_SILENCE_S,
    PING_INTERVAL_S,
    ClockOffset,
    FrameStream,
)
from almondrouter.transport.listeners import Listener, tick_forever

CONNECT_S = 1.0
"""Seconds for connecting and greeting; far regions take 20 ms a round trip."""
MAX_IDLE_S = 60.0
"""Seconds after which a link without calls is closed."""
MAX_OPEN_CALLS = 10_000
"""Calls of one link that a server holds at a time."""

_BULK_SUFFIX = "#bulk"
_log = EventLogger("links")


@dataclass(frozen=True, slots=True)
class LinkPolicy:
    """How links are shared, and how soon a silent peer is noticed, in seconds.

    Parameters
    ----------
    ping_interval, max_silence
        Time between pings, and time without any byte after which a link ends.
    max_connect_wait
        Time that a call waits for a link that is not open yet.
    ping_idle
        Whether links without open calls are watched too.
    max_short_bytes
        Longest body that shares a link with short requests.
    max_bulk_silence
        Like ``max_silence``, for the links of longer bodies; on a narrow path their
        pings wait behind the bodies.
    """

    ping_interval: float = PING_INTERVAL_S
    max_silence: float = MAX_SILENCE_S
    max_connect_wait: float = CONNECT_S
    ping_idle: bool = False
    max_short_bytes: int = MAX_CALL_FRAME_BYTES
    max_bulk_silence: float = MAX_SILENCE_S


LinkHandler = Callable[[LinkRequest], Awaitable[CallReply]]


class CallLinkServer(Listener):
    """Serves the calls that other daemons send.

    Parameters
    ----------
    address
        ``ip:port`` to listen on; port 0 takes a free one.
    hello
        Greeting of this daemon; its clock is filled in.
    handler
        Called for each call with the deadline in this host's monotonic
        seconds. It is cancelled if the caller goes away.
    clock
        Source of monotonic time.
    policy
        How soon silence is noticed.
    noticed
        Called with what a peer says of itself.

    Notes
    -----
    The loss of a link cancels only calls without an idempotency key. The
    others go on, as their callers send them again and then get the response
    from memory.
    """

    def __init__(
        self,
        *,
        address: str,
        hello: Hello,
        handler: LinkHandler,
        clock: Clock,
        policy: LinkPolicy | None = None,
        noticed: Callable[[Notice], None] | None = None,
    ) -> None:
        self._noticed = noticed
        self._policy = policy or LinkPolicy()
        super().__init__(address, tick_interval=self._policy.ping_interval)
        self._hello = hello
        self._handler = handler
        self._clock = clock
        self._links: set[_ServedLink] = set()
        self._tasks: set[asyncio.Task] = set()
        self.draining = False
        self.counts: Counter[str] = Counter()

    def make_protocol(self) -> asyncio.BaseProtocol:  # noqa: D102
        return self._make_stream()

    @property
    def calls_in_flight(self) -> int:
        """Return how many calls have no reply yet."""
        return sum(len(link.open_calls) for link in self._links)

    async def drain(self) -> None:
        """Refuse new calls and wait until those in flight are answered."""
        self.draining = True
        while self._tasks:
            await asyncio.wait(self._tasks)
        self.stop_listening()
        await asyncio.gather(*(link.stream.close_gracefully() for link in self._links))

    async def close(self) -> None:
        """Stop at once; calls in flight are cancelled."""
        self.stop_ticking()
        self.stop_listening()
        for link in tuple(self._links):
            link.stream.close()
        for task in tuple(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def tick(self) -> None:
        """Ping the peers of open calls and drop those that are silent."""
        for link in tuple(self._links):
            if link.open_calls and link.stream.check_silence():
                self.counts["silent"] += 1
                link.stream.close()

    def _make_stream(self) -> FrameStream:
        return FrameStream(
            self._clock, connected=self._serve, max_silence=self._policy.max_silence
        )

    async def _serve(self, stream: FrameStream) -> None:
        """Greet a peer, then have its frames served as they arrive."""
        link = _ServedLink(stream)
        try:
            async with asyncio.timeout(HANDSHAKE_S):
                await stream.answer_greeting(self._hello)
        except (AlmondError, ConnectionError, TimeoutError) as error:
            await self._end_link(link, error)
            return
        self._links.add(link)
        stream.forward(
            lambda frame: self._take(link, frame),
            lambda error: self._start_task(self._end_link(link, error)),
        )

    async def _end_link(self, link: _ServedLink, error: Exception) -> None:
        self._links.discard(link)
        link.cancel_repeatable()
        refused = isinstance(error, AlmondError)
        self.counts[error.code.value if refused else "closed"] += 1
        await link.stream.close_gracefully()

    def _start_task(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _take(self, link: _ServedLink, frame: CallFrame) -> None:
        if isinstance(frame, LinkRequest):
            self._start_call(link, frame)
        elif isinstance(frame, Cancel):
            link.cancel(frame.call_id)
        elif isinstance(frame, Notice) and self._noticed is not None:
            self._noticed(frame)
        else:
            raise AlmondError(ErrorCode.FRAME_MALFORMED, "unexpected frame")

    def _start_call(self, link: _ServedLink, frame: LinkRequest) -> None:
        if frame.call_id in link.open_calls:
            raise AlmondError(ErrorCode.FRAME_MALFORMED, "call id is in use")
        if self.draining and isinstance(frame, CallRequest | BodyOffer):
            self._refuse(link, frame, ErrorCode.STOPPING)
            return
        if len(link.open_calls) >= MAX_OPEN_CALLS:
            self._refuse(link, frame, ErrorCode.OVERLOADED)
            return
        if not link.open_calls:
            link.stream.watch()
        request = localize_deadlines(frame, link.stream.offset)
        task = self._start_task(self._answer(link, request))
        link.open_calls[frame.call_id] = (task, request.key)

    def _refuse(self, link: _ServedLink, frame: LinkRequest, code: ErrorCode) -> None:
        self.counts[code.value] += 1
        outcome = Outcome.NOT_RUN
        if isinstance(frame, ClaimQuery):
            outcome = Outcome.UNKNOWN
        link.stream.send(make_reply(code, outcome, call_id=frame.call_id, status=503))

    async def _answer(self, link: _ServedLink, request: LinkRequest) -> None:
        try:
            reply = await self._handler(request)
            reply = msgspec.structs.replace(reply, call_id=request.call_id)
        except Exception as error:  # noqa: BLE001 - one failed call must not end the link
            self.counts["failed"] += 1
            _log.error("the handler of a call failed", error=repr(error))
            code = ErrorCode.BACKEND_FAILED
            reply = make_reply(code, Outcome.UNKNOWN, call_id=request.call_id)
        finally:
            link.open_calls.pop(request.call_id, None)
        if not link.stream.is_writable:
            await link.stream.wait_writable()
        self._send_reply(link, reply)

    def _send_reply(self, link: _ServedLink, reply: CallReply) -> None:
        try:
            link.stream.send(reply)
        except AlmondError as error:
            self.counts[error.code.value] += 1
            code = ErrorCode.FRAME_TOO_LARGE
            link.stream.send(make_reply(code, Outcome.UNKNOWN, call_id=reply.call_id))


def localize_deadlines(frame: LinkRequest, offset: ClockOffset) -> LinkRequest:
    """Return a frame with its times in this host's monotonic seconds."""
    deadline = offset.localize(frame.deadline)
    if isinstance(frame, CallRequest | BodyOffer) and frame.useful_until:
        useful_until = offset.localize(frame.useful_until)
        return msgspec.structs.replace(
            frame, deadline=deadline, useful_until=useful_until
        )
    return msgspec.structs.replace(frame, deadline=deadline)


class CallLinkPool(CallLinks):
    """Keeps links to each daemon that is called.

    Parameters
    ----------
    hello
        Greeting of this daemon; its clock is filled in.
    clock
        Source of monotonic time.
    policy
        How soon silence is noticed.
    make_notice
        Returns what is told to each peer as soon as its link is open.

    Notes
    -----
    Bodies longer than the policy's ``max_short_bytes`` have a link of their own,
    so that short requests do not wait behind them on a narrow path.
    """

    def __init__(
        self,
        *,
        hello: Hello,
        clock: Clock,
        policy: LinkPolicy | None = None,
        make_notice: Callable[[], HostNotice] | None = None,
    ) -> None:
        self._make_notice = make_notice
        self._policy = policy or LinkPolicy()
        self._hello = hello
        self._clock = clock
        self._deadlines = Deadlines(clock)
        self._links: dict[str, CalledLink] = {}
        self._connecting: dict[str, asyncio.Task[CalledLink]] = {}
        self._ticker: asyncio.Task | None = None
        self.counts: Counter[str] = Counter()

    async def start(self) -> None:
        """Begin to watch the links for silence."""
        self._ticker = asyncio.create_task(
            tick_forever(self.tick, self._policy.ping_interval)
        )

    async def close(self) -> None:
        """Drop all links; calls in flight end as ``peer_timeout``."""
        tasks = list(self._connecting.values())
        if self._ticker is not None:
            tasks.append(self._ticker)
        for task in tasks:
            task.cancel()
        for address, link in tuple(self._links.items()):
            self._drop(address, link, "closed")
        await asyncio.gather(*tasks, return_exceptions=True)

    async def call(  # noqa: D102
        self, peer_address: str, request: LinkRequest
    ) -> CallReply:
        name = peer_address
        is_call = isinstance(request, CallRequest)
        if is_call and len(request.body) > self._policy.max_short_bytes:
            name += _BULK_SUFFIX
        link = self._links.get(name)
        if link is None:
            now = self._clock.monotonic()
            patience = now + self._policy.max_connect_wait
            link = await self._connect(name, min(request.deadline, patience))
        return await link.call(request)

    def notify_all(self) -> None:
        """Tell all peers with an open link what this daemon says of itself."""
        for name in self._links:
            self._notify(name)

    def send_notice(self, peer_address: str, notice: Notice) -> None:
        """Send a notice to a peer, if its link is open."""
        link = self._links.get(peer_address)
        if link is not None:
            link.stream.send(notice)

    def _notify(self, name: str) -> None:
        if self._make_notice is not None and not name.endswith(_BULK_SUFFIX):
            self._links[name].stream.send(self._make_notice())

    def warm(self, peer_address: str) -> None:
        """Open the link to a daemon before a call needs it."""
        if peer_address not in self._links and peer_address not in self._connecting:
            self._start_connecting(peer_address)

    def is_alive(self, peer_address: str) -> bool:
        """Return whether a daemon was heard on its link lately."""
        link = self._links.get(peer_address)
        if link is None:
            return False
        silence = self._policy.max_silence
        if not link.pending:
            silence *= IDLE_FACTOR
        horizon = self._clock.monotonic() - silence
        return link.stream.heard_at > horizon

    def tick(self) -> None:
        """Ping the peers of open calls; drop silent links and idle ones."""
        now = self._clock.monotonic()
        for address, link in tuple(self._links.items()):
            if link.pending or self._policy.ping_idle:
                if link.stream.check_silence(idle=not link.pending):
                    self.counts["silent"] += 1
                    self._drop(address, link, "silent")
            elif now - link.used_at > MAX_IDLE_S:
                self._drop(address, link, "idle")

    async def _connect(self, address: str, deadline: float) -> CalledLink:
        task = self._connecting.get(address) or self._start_connecting(address)
        try:
            async with asyncio.timeout(deadline - self._clock.monotonic()):
                return await asyncio.shield(task)
        except (AlmondError, OSError, TimeoutError) as error:
            message = f"no link to {address}: {error}"
            raise CallError(ErrorCode.PEER_UNAVAILABLE, message) from error

    def _start_connecting(self, address: str) -> asyncio.Task[CalledLink]:
        task = asyncio.create_task(self._open(address))
        self._connecting[address] = task
        task.add_done_callback(lambda done: self._connected(address, done))
        return task

    def _connected(self, address: str, task: asyncio.Task) -> None:
        self._connecting.pop(address, None)
        if not task.cancelled():
            task.exception()  # Marks it as seen if no call waits any more.

    async def _open(self, address: str) -> CalledLink:
        stream = None
        try:
            async with asyncio.timeout(CONNECT_S):
                stream = await FrameStream.connect(
                    address.removesuffix(_BULK_SUFFIX),
                    self._clock,
                    max_silence=self._find_max_silence(address),
                )
                await stream.greet(self._hello)
        except BaseException as error:
            code = error.code.value if isinstance(error, AlmondError) else "unreachable"
            self.counts[code] += 1
            if stream is not None:
                stream.close()
            raise
        link = CalledLink(stream, self._clock, self._deadlines, self.counts)
        self._links[address] = link
        self._notify(address)
        stream.forward(link.take, lambda error: self._end(address, link, error))
        return link

    def _find_max_silence(self, address: str) -> float:
        if address.endswith(_BULK_SUFFIX):
            return self._policy.max_bulk_silence
        return self._policy.max_silence

    def _end(self, address: str, link: CalledLink, error: Exception) -> None:
        if isinstance(error, AlmondError):
            self.counts[error.code.value] += 1
        self._drop(address, link, str(error))

    def _drop(self, address: str, link: CalledLink, reason: str) -> None:
        if self._links.get(address) is link:
            del self._links[address]
        link.fail(reason)


class _ServedLink:
    def __init__(self, stream: FrameStream) -> None:
        self.stream = stream
        self.open_calls: dict[int, tuple[asyncio.Task, str]] = {}

    def cancel(self, call_id: int) -> None:
        task, _ = self.open_calls.get(call_id, (None, ""))
        if task is not None:
            task.cancel()

    def cancel_repeatable(self) -> None:
        for task, key in tuple(self.open_calls.values()):
            if not key:
                task.cancel()
