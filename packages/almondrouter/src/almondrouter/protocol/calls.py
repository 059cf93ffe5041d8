"""Frames of the call links between daemons."""

from __future__ import annotations

import msgspec

from almondrouter.protocol.codec import MAX_CALL_FRAME_BYTES, Codec
from almondrouter.protocol.headers import Outcome

HeaderList = tuple[tuple[str, str], ...]


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """First frame of each end of a call link.

    Parameters
    ----------
    clock
        Monotonic clock of the sender in seconds.
    """

    cluster: str
    protocol_version: int
    host: str
    incarnation: int
    clock: float


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks the other end for its clock and a sign of life."""

    clock: float


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a ping.

    Parameters
    ----------
    echoed
        Clock of the ping.
    clock
        Monotonic clock of the sender of the pong in seconds.
    """

    echoed: float
    clock: float


class CallRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """A call for the backend server beside the receiver.

    Parameters
    ----------
    call_id
        Unique on this link.
    class_name, backend
        Class of work and the chosen backend server.
    method, target, headers, body
        The HTTP request; ``target`` is path and query.
    deadline
        Monotonic clock of the sender in seconds.
    key
        Idempotency key; empty for repeatable classes.
    traceparent
        W3C trace context; empty if the call is not traced.
    version
        Configuration version that the route came from.
    rank
        Rank of the route; 0 is served first.
    repeatable
        Whether the request is idempotent.
    useful_until
        Monotonic clock of the sender in seconds until which an answer is of
        full use; 0 if that is not known.
    nested
        Whether a backend server makes the request while it serves another one.
    caller_service
        Service of the host that the request began on.
    attempt_id
        Id of the caller's attempt; empty if it gave none.
    max_wait
        Seconds that the sender accepts to wait for a slot rather than to choose
        again; negative if it has no bound.
    """

    call_id: int
    class_name: str
    backend: str
    method: str
    target: str
    headers: HeaderList
    body: bytes
    deadline: float
    key: str
    traceparent: str
    version: int
    rank: int = 0
    repeatable: bool = False
    useful_until: float = 0.0
    nested: bool = False
    caller_service: str = ""
    attempt_id: str = ""
    max_wait: float = -1.0


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Exact load of a backend server.

    Parameters
    ----------
    slots, in_use, queued
        Slots usable now, slots in use, calls that wait.
    service_time
        Smoothed seconds that a call holds a slot.
    queued_by_rank
        Calls that wait by the rank of their priority; their sum is ``queued``.
    """

    slots: int
    in_use: int
    queued: int
    service_time: float
    queued_by_rank: tuple[int, ...] = ()


class CallReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """The result of a call.

    Parameters
    ----------
    code
        Error code; empty for a complete answer.
    load
        Load of the backend server; None if it is gone.
    version
        Configuration version in force where the call ran; 0 if not told.
    framed
        Whether the body is known to be whole.
    """

    call_id: int
    outcome: Outcome
    status: int
    headers: HeaderList
    body: bytes
    code: str
    load: Load | None
    version: int = 0
    framed: bool = True


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Says that the caller of a call has gone away."""

    call_id: int


class ClaimQuery(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks a claim's holder for the result of the claimed request.

    Parameters
    ----------
    deadline
        Monotonic clock of the sender until which it waits, in seconds.
    """

    call_id: int
    key: str
    claim_id: str
    deadline: float


class RoutesQuery(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Asks a daemon for the configuration that it has in force.

    Parameters
    ----------
    deadline
        Monotonic clock of the sender until which it waits, in seconds.
    key
        Always empty; a query may be cancelled with its link.
    """

    call_id: int
    deadline: float
    key: str = ""


class HostNotice(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Says what the sender's record is now; needs no reply.

    Parameters
    ----------
    record
        The record in its stored form.
    version
        Configuration version that the sender has in force.
    reaches_store
        Whether the store answers the sender.
    """

    record: bytes
    version: int
    reaches_store: bool


class RoutesNotice(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Hands a configuration on; needs no reply.

    Parameters
    ----------
    compressed
        The stored form of the configuration, compressed with zlib, or its
        difference from that of the base.
    version, base
        Version that is handed on, and the one that it differs from; 0 for none.
    peer_address
        Address of the sender, which can be asked for the whole.
    """

    compressed: bytes
    version: int = 0
    base: int = 0
    peer_address: str = ""


class BodyOffer(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks whether the long body of a call may be sent, which is answered in turn.

    Parameters
    ----------
    class_name, backend, rank
        As in the call.
    size
        Length of the body in bytes.
    deadline, useful_until
        As in the call.
    key
        Always empty; an offer may be cancelled with its link.
    """

    call_id: int
    class_name: str
    backend: str
    rank: int
    size: int
    deadline: float
    useful_until: float
    key: str = ""


Notice = HostNotice | RoutesNotice

LinkRequest = CallRequest | ClaimQuery | RoutesQuery | BodyOffer
"""Frames that are answered by a `CallReply`."""

CallFrame = Hello | Ping | Pong | LinkRequest | CallReply | Cancel | Notice

CALL_CODEC: Codec[CallFrame] = Codec(CallFrame, max_bytes=MAX_CALL_FRAME_BYTES)
