"""Bodies of long replies in parts: sending them paced, and putting them together."""

from __future__ import annotations

import asyncio

import msgspec

from almondrouter.protocol.calls import CallReply, CallRequest, LinkRequest, ReplyPart
from almondrouter.protocol.headers import Outcome
from almondrouter.transport.frames import FrameStream
from almondrouter.transport.receivebudget import ReceiveBudget
from almondrouter.transport.transfers import (
    Transfer,
    TransferPacer,
    make_urgency,
)

MIN_PARTED_BYTES = 16_384
"""Longest body that is sent at once; the link of a host carries one of this length in
some hundredths of a second."""
MAX_PARTED_BYTES = 67_108_864
"""Limit on the bytes of all bodies that are being received in parts; the longest body
that a deployment declares."""


def is_parted(request: LinkRequest, reply: CallReply) -> bool:
    """Return whether a reply is sent in parts, which its receiver has to know."""
    if not isinstance(request, CallRequest) or not request.accepts_parts:
        return False
    return len(reply.body) > MIN_PARTED_BYTES


async def send_body(
    pacer: TransferPacer,
    stream: FrameStream,
    request: CallRequest,
    reply: CallReply,
) -> CallReply:
    """Send the body of a reply in parts; return the reply that has to follow them.

    Notes
    -----
    The parts that have not left are dropped if this is cancelled.
    """
    body = reply.body
    sent = asyncio.get_running_loop().create_future()

    def send_part(transfer: Transfer, size: int) -> None:
        offset = len(body) - transfer.remaining
        data = body[offset : offset + size]
        transfer.remaining -= len(data)
        stream.send(ReplyPart(request.call_id, len(body), offset, data))
        if not transfer.remaining and not sent.done():
            sent.set_result(None)

    urgency = make_urgency(request)
    transfer = Transfer(
        rank=urgency.rank,
        remaining=len(body),
        useful_until=urgency.useful_until,
        deadline=urgency.deadline,
        send_part=send_part,
        is_writable=lambda: stream.is_writable,
    )
    try:
        pacer.add(transfer)
        await sent
    finally:
        pacer.discard(transfer)
    return msgspec.structs.replace(reply, body=b"", parts_bytes=len(body))


class PartedBody:
    """Body of a reply that is being received in parts.

    Parameters
    ----------
    budget
        Memory for all bodies that are being received in parts.
    """

    def __init__(self, budget: ReceiveBudget) -> None:
        self._budget = budget
        self._size = 0
        self._received = 0
        self._parts: list[bytes] = []

    def add(self, part: ReplyPart) -> None:
        """Add the next part.

        Raises
        ------
        ValueError
            If the part does not follow the one before, or there is too little memory.
        """
        if not self._parts:
            if part.size <= 0 or not self._budget.reserve(part.size):
                raise ValueError(f"no memory for a body of {part.size} bytes")
            self._size = part.size
        end = part.offset + len(part.data)
        if part.offset != self._received or part.size != self._size or end > self._size:
            message = f"part at {part.offset} of {part.size} bytes"
            raise ValueError(f"{message} after {self._received} of {self._size} bytes")
        if not part.data:
            raise ValueError("empty part of a body")
        self._received = end
        self._parts.append(part.data)

    def complete(self, reply: CallReply) -> CallReply:
        """Return a reply with the body of its parts.

        Raises
        ------
        ValueError
            If the reply promises a response whose body is not complete.
        """
        if reply.outcome is not Outcome.COMPLETE:
            # The sender could not finish the body, and tells why.
            return reply
        if reply.parts_bytes != self._received or self._received != self._size:
            message = f"{self._received} of {reply.parts_bytes} bytes of body arrived"
            raise ValueError(message)
        return msgspec.structs.replace(reply, body=b"".join(self._parts))

    def release(self) -> None:
        """Return the memory to the budget."""
        self._budget.release(self._size)
        self._size = 0
        self._parts.clear()
