"""Client side of a call link."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.calls import (
    CallFrame,
    CallReply,
    CallRequest,
    Cancel,
    LinkRequest,
    ReplyPart,
)
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import STATUS_CODES, CallError
from almondrouter.transport.deadlines import Deadlines
from almondrouter.transport.frames import FrameStream
from almondrouter.transport.parts import PartedBody
from almondrouter.transport.receivebudget import ReceiveBudget

REPLY_GRACE_S = 0.1
"""Time that a call waits for its reply beyond the deadline.

A reply that the peer sends at the deadline tells whether the request has run, which
is unknown without it.
"""


@dataclass(slots=True, eq=False)
class _PendingCall:
    """A call without a reply; see `CallLinks.call` for ``abandon_silent``."""

    reply: asyncio.Future[CallReply]
    abandon_silent: Callable[[], bool]
    sent: bool = False
    body: PartedBody | None = None


class OutboundLink:
    """Sends calls over one connection and matches the replies to them.

    Parameters
    ----------
    stream
        Connection whose handshake is complete.
    clock
        Source of monotonic time.
    deadlines
        Timer that is shared by the calls of all links.
    counts
        Event counters, shared by all links of the pool.
    parts_budget
        Memory for bodies that are received in parts, shared as well.
    """

    def __init__(
        self,
        stream: FrameStream,
        clock: Clock,
        deadlines: Deadlines,
        counts: Counter[str],
        parts_budget: ReceiveBudget,
    ) -> None:
        self._parts_budget = parts_budget
        self.stream = stream
        self.used_at = clock.monotonic()
        self.pending: dict[int, _PendingCall] = {}
        self.suspected_at: float | None = None
        self._clock = clock
        self._deadlines = deadlines
        self._counts = counts
        self._call_ids = itertools.count(1)
        self._lost = False
        self._silent = False
        self._withdrawn = False

    async def call(
        self,
        request: LinkRequest,
        *,
        abandon_silent: Callable[[], bool] = lambda: True,
    ) -> CallReply:
        """Send a call and return its reply; see `CallLinks.call`."""
        call_id = next(self._call_ids)
        deadline = request.deadline + REPLY_GRACE_S
        if not self.pending:
            self.stream.restart_silence_timer()
            self.stream.set_patient(True)
        future = asyncio.get_running_loop().create_future()
        call = self.pending[call_id] = _PendingCall(future, abandon_silent)
        try:
            if not self.stream.is_writable:
                async with asyncio.timeout(deadline - self._clock.monotonic()):
                    await self.stream.wait_writable()
            self._check_sendable(request.deadline)
            self.stream.send(_number_request(request, call_id))
            call.sent = True
            self._deadlines.add(future, deadline)
            return await future
        except (ConnectionError, TimeoutError) as error:
            raise self._make_call_error(call.sent, str(error)) from error
        except AlmondError as error:
            raise CallError(error.code, error.message) from error
        finally:
            self.used_at = self._clock.monotonic()
            self.pending.pop(call_id, None)
            if call.body is not None:
                call.body.release()
            self._deadlines.discard(future)
            if not self.pending and not self._lost:
                self.stream.set_patient(False)
            if call.sent and not self._lost and not has_result(future):
                self.stream.send(Cancel(call_id))

    def suspect(self) -> None:
        """Require the peer to show soon that it responds, as if a call were pending."""
        self.stream.restart_silence_timer()
        self.suspected_at = self.stream.last_received_at

    @property
    def is_suspected(self) -> bool:
        """Whether the peer has sent nothing since it was suspected of being silent."""
        if self.suspected_at is None:
            return False
        if self.stream.last_received_at > self.suspected_at:
            self.suspected_at = None
        return self.suspected_at is not None

    def fail(self, reason: str) -> None:
        """Drop the connection and fail its pending calls."""
        self._lost = True
        self.stream.close()
        for call in self.pending.values():
            self._fail_call(call, reason)

    def suspend(self, reason: str) -> None:
        """Send no more calls because the peer is silent; keep the connection.

        Notes
        -----
        Calls that were not sent fail. Of the others, only those fail that their
        senders abandon: a reply to the rest may still arrive. This may be called again
        while the peer stays silent.
        """
        self._silent = True
        self.stream.release_writers()
        for call in tuple(self.pending.values()):
            if call.sent and not call.reply.done() and call.abandon_silent():
                self._fail_call(call, reason)

    def _fail_call(self, call: _PendingCall, reason: str) -> None:
        if not call.reply.done():
            call.reply.set_exception(ConnectionResetError(f"link lost: {reason}"))

    def withdraw_calls(self) -> None:
        """Cancel all calls, but still accept replies that they have not run.

        Notes
        -----
        A call that waits for a slot at the peer gets such a reply. Without one the
        outcome stays unknown: the call may be running, or the peer may run a version
        that does not reply to a `Cancel`. Calls that were not sent are not sent.
        """
        self._withdrawn = True
        for call_id, call in self.pending.items():
            if not call.reply.done():
                self.stream.send(Cancel(call_id))

    def _check_sendable(self, deadline: float) -> None:
        if self._lost or self._silent:
            raise ConnectionResetError("link lost before the call was sent")
        if self._withdrawn:
            raise CallError(ErrorCode.STOPPING, "this daemon is stopping")
        if self._clock.monotonic() >= deadline:
            message = "the deadline passed before the call was sent"
            raise CallError(ErrorCode.DEADLINE_EXCEEDED, message)

    def _make_call_error(self, sent: bool, reason: str) -> CallError:
        if not sent:
            message = reason or "link was not writable before the deadline"
            return CallError(ErrorCode.PEER_UNAVAILABLE, message)
        message = reason or "no reply before the deadline"
        return CallError(ErrorCode.PEER_TIMEOUT, message, outcome=Outcome.UNKNOWN)

    def handle_frame(self, frame: CallFrame) -> None:
        """Complete the call that a reply belongs to, or take a part of its body.

        Notes
        -----
        A reply or part without a pending call is discarded and counted as late. A body
        whose parts do not fit together fails its call: the request has run.

        Raises
        ------
        AlmondError
            ``frame_malformed`` if the frame is neither a reply nor a part.
        """
        if isinstance(frame, ReplyPart):
            self._take_part(frame)
            return
        if not isinstance(frame, CallReply):
            raise AlmondError(
                ErrorCode.FRAME_MALFORMED, f"unexpected {type(frame).__name__} frame"
            )
        call = self.pending.get(frame.call_id)
        if call is None or call.reply.done():
            self._counts["late"] += 1
            return
        if frame.outcome is Outcome.COMPLETE and frame.status not in STATUS_CODES:
            self._counts["replies_invalid"] += 1
            message = f"reply has the invalid status code {frame.status:03d}"
            call.reply.set_exception(ConnectionResetError(message))
            return
        if call.body is None and not frame.parts_bytes:
            call.reply.set_result(frame)
            return
        body = call.body or PartedBody(self._parts_budget)
        try:
            call.reply.set_result(body.complete(frame))
        except ValueError as error:
            self._fail_body(call, error)

    def _take_part(self, part: ReplyPart) -> None:
        call = self.pending.get(part.call_id)
        if call is None or call.reply.done():
            self._counts["late_parts"] += 1
            return
        if call.body is None:
            call.body = PartedBody(self._parts_budget)
        try:
            call.body.add(part)
        except ValueError as error:
            self._fail_body(call, error)

    def _fail_body(self, call: _PendingCall, error: ValueError) -> None:
        self._counts["bodies_broken"] += 1
        call.reply.set_exception(ConnectionResetError(str(error)))


def _number_request(request: LinkRequest, call_id: int) -> LinkRequest:
    if isinstance(request, CallRequest):
        return msgspec.structs.replace(request, call_id=call_id, accepts_parts=True)
    return msgspec.structs.replace(request, call_id=call_id)


def has_result(future: asyncio.Future) -> bool:
    """Return whether a future has a result and not an exception.

    Notes
    -----
    The exception counts as retrieved, so that asyncio does not log it.
    """
    if not future.done() or future.cancelled():
        return False
    return future.exception() is None
