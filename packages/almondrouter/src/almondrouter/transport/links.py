"""Call links: connections that multiplex the calls from one daemon to another."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable, Collection, Coroutine
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
    RolloutPlan,
)
from almondrouter.protocol.codec import MAX_CALL_FRAME_BYTES
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError, make_reply
from almondrouter.protocol.quotas import QuotaGrant, QuotaReport
from almondrouter.transport.calls import CallLinks
from almondrouter.transport.deadlines import Deadlines
from almondrouter.transport.frames import (
    HANDSHAKE_TIMEOUT_S,
    IDLE_PINGS_PER_SILENCE,
    IDLE_SILENCE_FACTOR,
    MAX_CHECK_GAP,
    MAX_SILENCE_S,
    PING_INTERVAL_S,
    ClockOffset,
    FrameStream,
    FrameTraffic,
)
from almondrouter.transport.listeners import Listener, run_periodically
from almondrouter.transport.outbound_link import OutboundLink
from almondrouter.transport.parts import MAX_PARTED_BYTES, is_parted, send_body
from almondrouter.transport.receivebudget import ReceiveBudget
from almondrouter.transport.transfers import TransferPacer

CONNECT_TIMEOUT_S = 1.0
"""Least time limit for connecting to a daemon, including the handshake.

These take two round trips; one to a distant region takes 20 ms.
"""
MAX_INBOUND_SILENCE_S = 10.0
"""Silence of a calling daemon after which its calls are cancelled.

Longer than the deadlines of most calls: a slow or congested caller is silent, too.
"""
MAX_IDLE_S = 60.0
"""Time after the last call at which an outbound link is closed."""
UNPROBED_PINGS_PER_S = 4.0
"""Pings per second to all peers together that others probe and report if silent."""
MAX_OPEN_CALLS = 10_000
"""Limit on concurrent calls of one inbound link; further calls are refused."""

SILENCE_REASON = "peer sent no data within the allowed silence"
_BULK_SUFFIX = "#bulk"
"""Suffix of the peer address in the key of a link that carries long bodies."""
_log = EventLogger("links")


@dataclass(frozen=True, slots=True)
class LinkPolicy:
    """Timeouts of call links, and which calls share a link.

    Parameters
    ----------
    ping_interval
        Seconds between pings.
    max_silence
        Seconds without received bytes after which a link with pending calls carries
        no further calls; idle links that are pinged are allowed a longer silence.
    max_inbound_silence
        Seconds without received bytes after which a daemon closes a link on which
        it has calls in progress, which cancels those that may be repeated.
    max_connect_wait
        Seconds that a call waits for a link to open. The attempt goes on for
        ``CONNECT_TIMEOUT_S`` if that is longer, as later calls can use the link.
    ping_idle
        Whether links without pending calls are also pinged. If not, they are
        closed after ``MAX_IDLE_S``.
    max_short_bytes
        Longest body that is sent on the link for short requests; longer bodies
        are sent on a separate link.
    max_bulk_silence
        Like ``max_silence``, for the link that carries longer bodies. Pings queue
        behind the bodies there, so on a slow path they need more time.
    """

    ping_interval: float = PING_INTERVAL_S
    max_silence: float = MAX_SILENCE_S
    max_inbound_silence: float = MAX_INBOUND_SILENCE_S
    max_connect_wait: float = CONNECT_TIMEOUT_S
    ping_idle: bool = False
    max_short_bytes: int = MAX_CALL_FRAME_BYTES
    max_bulk_silence: float = MAX_SILENCE_S

    @property
    def connect_timeout(self) -> float:
        """Seconds after which an attempt to open a link is given up."""
        return max(CONNECT_TIMEOUT_S, self.max_connect_wait)


LinkHandler = Callable[[LinkRequest], Awaitable[CallReply]]


class CallLinkServer(Listener):
    """Server for the calls that other daemons send.

    Parameters
    ----------
    address
        ``ip:port`` to listen on; port 0 selects a free port.
    hello
        Hello frame of this daemon; ``clock`` is set for each handshake.
    handler
        Awaited for each call, whose deadline is converted to this host's
        monotonic clock. It is cancelled if the calling daemon cancels the call.
    clock
        Source of monotonic time.
    policy
        Timeouts; the defaults of `LinkPolicy` if None.
    on_notice
        Called with each notice that a peer sends.
    withdraw
        Called with each call that its sender cancels. Returns whether the handler
        will now reply that the call has not run; otherwise the handler is cancelled.
        Body offers are always cancelled, as they never run.
    pacer
        Sends long bodies in parts; if None, they are sent at once.

    Notes
    -----
    When a link is lost, only calls without an idempotency key are cancelled. Calls
    with a key run to completion, because the calling daemon retries them and then
    gets the stored response.
    """

    def __init__(
        self,
        *,
        address: str,
        hello: Hello,
        handler: LinkHandler,
        clock: Clock,
        policy: LinkPolicy | None = None,
        on_notice: Callable[[Notice], None] | None = None,
        withdraw: Callable[[LinkRequest], bool] = lambda request: False,
        pacer: TransferPacer | None = None,
    ) -> None:
        self._pacer = pacer
        self._on_notice = on_notice
        self._withdraw = withdraw
        self._policy = policy or LinkPolicy()
        super().__init__(address, tick_interval=self._policy.ping_interval)
        self._hello = hello
        self._handler = handler
        self._clock = clock
        self._links: set[_InboundLink] = set()
        self._tasks: set[asyncio.Task] = set()
        self.draining = False
        self.traffic = FrameTraffic()
        self.counts: Counter[str] = Counter()

    def make_protocol(self) -> asyncio.BaseProtocol:  # noqa: D102
        return self._make_stream()

    @property
    def link_count(self) -> int:
        """Number of open links."""
        return len(self._links)

    @property
    def calls_in_flight(self) -> int:
        """Number of calls that have no reply yet."""
        return sum(len(link.open_calls) for link in self._links)

    async def drain(self) -> None:
        """Refuse new calls, wait for those in flight, then close all links."""
        self.draining = True
        while self._tasks:
            await asyncio.wait(self._tasks)
        self.stop_listening()
        await asyncio.gather(*(link.stream.close_gracefully() for link in self._links))

    async def close(self) -> None:
        """Close all links at once and cancel the calls in flight."""
        self.stop_ticking()
        self.stop_listening()
        for link in tuple(self._links):
            link.stream.close()
        for task in tuple(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)

    def tick(self) -> None:
        """Ping the peers with calls in flight; close the links of silent ones."""
        for link in tuple(self._links):
            if link.open_calls and link.stream.check_silence():
                self.counts["silent"] += 1
                link.stream.close()

    def _make_stream(self) -> FrameStream:
        stream = FrameStream(
            self._clock,
            on_connect=self._serve_link,
            max_silence=self._policy.max_inbound_silence,
            ping_interval=self._policy.ping_interval,
            traffic=self.traffic,
        )
        if self._pacer is not None:
            stream.on_writable = self._pacer.wake
            stream.on_delay = self._pacer.record_delay
        return stream

    async def _serve_link(self, stream: FrameStream) -> None:
        """Run the handshake, then handle the frames of the link as they arrive."""
        link = _InboundLink(stream)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                await stream.run_server_handshake(self._hello)
        except (AlmondError, ConnectionError, TimeoutError) as error:
            await self._end_link(link, error)
            return
        self._links.add(link)
        stream.set_callbacks(
            lambda frame: self._handle_frame(link, frame),
            lambda error: self._start_task(self._end_link(link, error)),
        )

    async def _end_link(self, link: _InboundLink, error: Exception) -> None:
        self._links.discard(link)
        link.cancel_unkeyed_calls()
        refused = isinstance(error, AlmondError)
        self.counts[error.code.value if refused else "closed"] += 1
        await link.stream.close_gracefully()

    def _start_task(self, coroutine: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _handle_frame(self, link: _InboundLink, frame: CallFrame) -> None:
        if isinstance(frame, LinkRequest):
            self._start_call(link, frame)
        elif isinstance(frame, Cancel):
            self._cancel_call(link, frame.call_id)
        elif isinstance(frame, Notice) and self._on_notice is not None:
            if isinstance(frame, RolloutPlan):
                # A paused receiver reads plans late; they must not last longer for it.
                valid_until = link.stream.offset.to_local_time(frame.valid_until)
                frame = msgspec.structs.replace(frame, valid_until=valid_until)
            self._on_notice(frame)
        else:
            raise AlmondError(
                ErrorCode.FRAME_MALFORMED, f"unexpected {type(frame).__name__} frame"
            )

    def _start_call(self, link: _InboundLink, frame: LinkRequest) -> None:
        if frame.call_id in link.open_calls:
            raise AlmondError(
                ErrorCode.FRAME_MALFORMED, f"call id {frame.call_id} is already in use"
            )
        if self.draining and isinstance(frame, CallRequest | BodyOffer):
            self._refuse_call(link, frame, ErrorCode.STOPPING)
            return
        if len(link.open_calls) >= MAX_OPEN_CALLS:
            self._refuse_call(link, frame, ErrorCode.OVERLOADED)
            return
        if not link.open_calls:
            link.stream.restart_silence_timer()
        request = convert_deadlines(frame, link.stream.offset)
        task = self._start_task(self._answer_call(link, request))
        link.open_calls[frame.call_id] = (task, request)

    def _cancel_call(self, link: _InboundLink, call_id: int) -> None:
        """Cancel a call; reply if it has certainly not run.

        Notes
        -----
        The sender needs the reply if it still has a caller to answer. Otherwise it
        discards the reply as a late one.
        """
        task, request = link.open_calls.get(call_id, (None, None))
        if task is None:
            return
        is_offer = isinstance(request, BodyOffer)
        if not is_offer and self._withdraw(request):
            return
        # A task that is cancelled before it starts does not remove its call itself.
        del link.open_calls[call_id]
        task.cancel()
        if is_offer:
            self._refuse_call(link, request, ErrorCode.CALL_CANCELLED)

    def _refuse_call(
        self, link: _InboundLink, frame: LinkRequest, code: ErrorCode
    ) -> None:
        self.counts[code.value] += 1
        outcome = Outcome.NOT_RUN
        if isinstance(frame, ClaimQuery):
            # Refusing the query does not tell whether the claimed request has run.
            outcome = Outcome.UNKNOWN
        link.stream.send(make_reply(code, outcome, call_id=frame.call_id, status=503))

    async def _answer_call(self, link: _InboundLink, request: LinkRequest) -> None:
        try:
            reply = await self._handle_call(request)
            if self._pacer is not None and is_parted(request, reply):
                reply = await send_body(self._pacer, link.stream, request, reply)
            if not link.stream.is_writable:
                # The call stays open meanwhile, so that a silent caller is noticed.
                await link.stream.wait_writable()
            self._send_reply(link, reply)
        finally:
            link.open_calls.pop(request.call_id, None)

    async def _handle_call(self, request: LinkRequest) -> CallReply:
        try:
            reply = await self._handler(request)
            return msgspec.structs.replace(reply, call_id=request.call_id)
        except Exception as error:  # noqa: BLE001 - the link has to outlive a failed call
            self.counts["failed"] += 1
            _log.error(
                "call handler raised an exception; the outcome is unknown",
                error=repr(error),
            )
            code = ErrorCode.BACKEND_FAILED
            return make_reply(code, Outcome.UNKNOWN, call_id=request.call_id)

    def _send_reply(self, link: _InboundLink, reply: CallReply) -> None:
        try:
            link.stream.send(reply)
        except AlmondError as error:
            self.counts[error.code.value] += 1
            code = ErrorCode.FRAME_TOO_LARGE
            link.stream.send(make_reply(code, Outcome.UNKNOWN, call_id=reply.call_id))


def convert_deadlines(frame: LinkRequest, offset: ClockOffset) -> LinkRequest:
    """Convert the deadlines of a frame from the peer's clock to this host's.

    Parameters
    ----------
    frame
        Call whose times are monotonic seconds of the peer.
    offset
        Estimated offset between the two clocks.
    """
    deadline = offset.to_local_time(frame.deadline)
    if isinstance(frame, CallRequest | BodyOffer) and frame.useful_until:
        useful_until = offset.to_local_time(frame.useful_until)
        return msgspec.structs.replace(
            frame, deadline=deadline, useful_until=useful_until
        )
    return msgspec.structs.replace(frame, deadline=deadline)


class CallLinkPool(CallLinks):
    """Pool of outbound links to the daemons that are called.

    Parameters
    ----------
    hello
        Hello frame of this daemon; ``clock`` is set for each handshake.
    clock
        Source of monotonic time.
    policy
        Timeouts; the defaults of `LinkPolicy` if None.
    make_notice
        Returns the notice that is sent to each peer when its link opens.

    Notes
    -----
    Bodies longer than ``max_short_bytes`` of the policy are sent on a separate link
    to the same daemon, so that short requests do not queue behind them on a slow
    path.
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
        self._parts_budget = ReceiveBudget(MAX_PARTED_BYTES)
        self._links: dict[str, OutboundLink] = {}
        self._silent_links: set[OutboundLink] = set()
        self._probed: Collection[str] | None = None
        self._closely_probed: Collection[str] = ()
        self._kept: Collection[str] | None = None
        self._newly_silent: list[str] = []
        self._ticked_at: float | None = None
        self._withdrawn = False
        self._connecting: dict[str, asyncio.Task[OutboundLink]] = {}
        self._ticker: asyncio.Task | None = None
        self.traffic = FrameTraffic()
        self.counts: Counter[str] = Counter()

    @property
    def link_count(self) -> int:
        """Number of open links."""
        return len(self._links)

    async def start(self) -> None:
        """Start to ping peers and to close silent and idle links."""
        self._ticker = asyncio.create_task(
            run_periodically(self.tick, self._policy.ping_interval)
        )

    async def close(self) -> None:
        """Close all links; calls in flight fail with ``peer_timeout``."""
        tasks = list(self._connecting.values())
        if self._ticker is not None:
            tasks.append(self._ticker)
        for task in tasks:
            task.cancel()
        for link_key, link in tuple(self._links.items()):
            self._drop_link(link_key, link, "closed by this daemon")
        for link in tuple(self._silent_links):
            self._drop_silent_link(link, "closed by this daemon")
        await asyncio.gather(*tasks, return_exceptions=True)

    async def call(  # noqa: D102
        self,
        peer_address: str,
        request: LinkRequest,
        *,
        abandon_silent: Callable[[], bool] = lambda: True,
    ) -> CallReply:
        link_key = peer_address
        is_call = isinstance(request, CallRequest)
        if is_call and len(request.body) > self._policy.max_short_bytes:
            link_key += _BULK_SUFFIX
        link = self._links.get(link_key)
        if link is None:
            now = self._clock.monotonic()
            connect_deadline = now + self._policy.max_connect_wait
            link = await self._connect(
                link_key, min(request.deadline, connect_deadline)
            )
        if self._withdrawn:
            raise CallError(ErrorCode.STOPPING, "this daemon is stopping")
        return await link.call(request, abandon_silent=abandon_silent)

    def withdraw_calls(self) -> None:
        """Cancel all calls and send none; see `OutboundLink.withdraw_calls`."""
        self._withdrawn = True
        for link in (*self._links.values(), *self._silent_links):
            link.withdraw_calls()

    def notify_all(self) -> None:
        """Send the current notice of this daemon to every peer with an open link."""
        for link_key in self._links:
            self._send_own_notice(link_key)

    def set_probed(self, peer_addresses: Collection[str]) -> None:
        """Choose the peers whose idle links are pinged often; by default all are.

        Notes
        -----
        The other idle links are pinged rarely. They rely on `suspect`, called for the
        peers that other daemons report as silent.
        """
        self._probed = peer_addresses

    def set_closely_probed(self, peer_addresses: Collection[str]) -> None:
        """Choose the peers that have to respond soon on idle links, too."""
        self._closely_probed = peer_addresses

    def set_kept(self, peer_addresses: Collection[str]) -> None:
        """Choose the peers whose idle links stay open; by default `ping_idle` decides.

        Links to other peers are opened by calls and closed after ``MAX_IDLE_S``.
        """
        self._kept = peer_addresses

    def suspect(self, peer_address: str) -> None:
        """Check the link to a peer soon, unless the peer has sent something lately.

        A link that is checked already is not given more time.
        """
        link = self._links.get(peer_address)
        if link is None or self._is_checked(peer_address, link):
            return
        now = self._clock.monotonic()
        if now - link.stream.last_received_at >= self._policy.ping_interval:
            link.suspect()

    def suspect_all(self) -> None:
        """Check all links soon."""
        for link_key in self._links:
            self.suspect(link_key)

    def take_newly_silent(self) -> list[str]:
        """Return the peers that were found silent since the last call."""
        found, self._newly_silent = self._newly_silent, []
        return found

    def send_notice(self, peer_address: str, notice: Notice) -> None:
        """Send a notice to a peer; does nothing if the link is not open."""
        link = self._links.get(peer_address)
        if link is not None:
            link.stream.send(notice)
            if isinstance(notice, QuotaReport | QuotaGrant):
                link.used_at = self._clock.monotonic()

    def _send_own_notice(self, link_key: str) -> None:
        if self._make_notice is not None and not link_key.endswith(_BULK_SUFFIX):
            self._links[link_key].stream.send(self._make_notice())

    def preconnect(self, peer_address: str) -> None:
        """Start to open the link to a daemon, so that the next call need not wait."""
        if peer_address not in self._links and peer_address not in self._connecting:
            self._start_connecting(peer_address)

    def is_alive(self, peer_address: str) -> bool:
        """Return whether a daemon has sent anything within the allowed silence.

        Notes
        -----
        The allowed silence is longer while no call is pending, as the peer is then
        pinged less often. Without an open link the result is False.
        """
        link = self._links.get(peer_address)
        if link is None:
            return False
        factor = self._get_silence_factor(peer_address, link)
        oldest = self._clock.monotonic() - self._policy.max_silence * factor
        return link.stream.last_received_at > oldest

    def _get_silence_factor(self, link_key: str, link: OutboundLink) -> float:
        if self._is_checked(link_key, link):
            return 1.0
        if self._probed is None or link_key in self._probed:
            return IDLE_SILENCE_FACTOR
        unprobed = max(1, len(self._links) - len(self._probed))
        interval = unprobed / UNPROBED_PINGS_PER_S
        silence = interval * IDLE_PINGS_PER_SILENCE
        return max(IDLE_SILENCE_FACTOR, silence / self._policy.max_silence)

    def _is_checked(self, link_key: str, link: OutboundLink) -> bool:
        """Return whether the peer of a link has to respond soon."""
        if link.pending or link.is_suspected:
            return True
        return link_key in self._closely_probed

    def tick(self) -> None:
        """Ping the peers of pending calls; suspend silent links, close idle ones."""
        now = self._clock.monotonic()
        ticked_at, self._ticked_at = self._ticked_at, now
        max_gap = MAX_CHECK_GAP * self._policy.ping_interval
        if ticked_at is not None and now - ticked_at > max_gap:
            # News of silent peers may have been missed while this process was paused.
            self.suspect_all()
        for link_key, link in tuple(self._links.items()):
            if self._is_unused(link_key, link, now):
                self._drop_link(link_key, link, "idle for too long")
            elif link.pending or self._policy.ping_idle:
                factor = self._get_silence_factor(link_key, link)
                if link.stream.check_silence(factor=factor):
                    self._record_silence(link_key)
                    self._suspend_link(link_key, link)
        for link in tuple(self._silent_links):
            if link.pending:
                link.suspend(SILENCE_REASON)
            else:
                self._drop_silent_link(link, "no call waits for the silent peer")

    def _is_unused(self, link_key: str, link: OutboundLink, now: float) -> bool:
        """Return whether a link has been idle for too long and is not to be kept."""
        if link.pending or now - link.used_at <= MAX_IDLE_S:
            return False
        if not self._policy.ping_idle:
            return True
        return (
            self._kept is not None
            and link_key.removesuffix(_BULK_SUFFIX) not in self._kept
        )

    async def _connect(self, link_key: str, deadline: float) -> OutboundLink:
        task = self._connecting.get(link_key) or self._start_connecting(link_key)
        try:
            async with asyncio.timeout(deadline - self._clock.monotonic()):
                return await asyncio.shield(task)
        except (AlmondError, OSError, TimeoutError) as error:
            message = f"cannot open a link to {link_key}: {error!r}"
            raise CallError(ErrorCode.PEER_UNAVAILABLE, message) from error

    def _start_connecting(self, link_key: str) -> asyncio.Task[OutboundLink]:
        task = asyncio.create_task(self._open_link(link_key))
        self._connecting[link_key] = task
        task.add_done_callback(lambda done: self._finish_connecting(link_key, done))
        return task

    def _finish_connecting(self, link_key: str, task: asyncio.Task) -> None:
        self._connecting.pop(link_key, None)
        if not task.cancelled():
            # Retrieves the exception; otherwise asyncio logs it if no call awaits
            # the task any more.
            task.exception()

    async def _open_link(self, link_key: str) -> OutboundLink:
        stream = None
        try:
            async with asyncio.timeout(self._policy.connect_timeout):
                stream = await FrameStream.connect(
                    link_key.removesuffix(_BULK_SUFFIX),
                    self._clock,
                    max_silence=self._get_max_silence(link_key),
                    ping_interval=self._policy.ping_interval,
                    traffic=self.traffic,
                )
                await stream.run_client_handshake(self._hello)
        except BaseException as error:
            code = error.code.value if isinstance(error, AlmondError) else "unreachable"
            self.counts[code] += 1
            if stream is not None:
                stream.close()
            raise
        link = OutboundLink(
            stream, self._clock, self._deadlines, self.counts, self._parts_budget
        )
        self._links[link_key] = link
        self._send_own_notice(link_key)
        stream.set_callbacks(
            link.handle_frame,
            lambda error: self._handle_link_end(link_key, link, error),
        )
        return link

    def _get_max_silence(self, link_key: str) -> float:
        if link_key.endswith(_BULK_SUFFIX):
            return self._policy.max_bulk_silence
        return self._policy.max_silence

    def _handle_link_end(
        self, link_key: str, link: OutboundLink, error: Exception
    ) -> None:
        if isinstance(error, AlmondError):
            self.counts[error.code.value] += 1
        elif isinstance(error, TimeoutError):
            self._record_silence(link_key)
        self._drop_link(link_key, link, str(error))

    def _record_silence(self, link_key: str) -> None:
        self.counts["silent"] += 1
        self._newly_silent.append(link_key.removesuffix(_BULK_SUFFIX))

    def _drop_link(self, link_key: str, link: OutboundLink, reason: str) -> None:
        if self._links.get(link_key) is link:
            del self._links[link_key]
        self._drop_silent_link(link, reason)

    def _drop_silent_link(self, link: OutboundLink, reason: str) -> None:
        self._silent_links.discard(link)
        link.fail(reason)

    def _suspend_link(self, link_key: str, link: OutboundLink) -> None:
        """Use another connection for new calls; the calls on this one may wait on."""
        del self._links[link_key]
        self._silent_links.add(link)
        link.suspend(SILENCE_REASON)


class _InboundLink:
    """A link that another daemon opened, with its calls in progress."""

    def __init__(self, stream: FrameStream) -> None:
        self.stream = stream
        self.open_calls: dict[int, tuple[asyncio.Task, LinkRequest]] = {}

    def cancel_unkeyed_calls(self) -> None:
        """Cancel the calls without an idempotency key, which are not retried."""
        for task, request in tuple(self.open_calls.values()):
            if not request.key:
                task.cancel()
