"""Frames of the links that carry calls between daemons."""

from __future__ import annotations

import msgspec

from almondrouter.protocol.codec import MAX_CALL_FRAME_BYTES, Codec
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.quotas import QuotaGrant, QuotaReport
from almondrouter.state.hosts import Departure
from almondrouter.state.rollouts import RolloutPhase

HeaderList = tuple[tuple[str, str], ...]


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=0):
    """First frame that each end of a call link sends.

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
    """Liveness probe that also asks for the receiver's clock.

    Parameters
    ----------
    clock
        Monotonic clock of the sender in seconds.
    """

    clock: float


class Pong(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Reply to a `Ping`.

    Parameters
    ----------
    echoed
        ``clock`` of the ping.
    clock
        Monotonic clock of the sender of the pong in seconds.
    """

    echoed: float
    clock: float


class CallRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Call to the backend server on the host of the receiver.

    Parameters
    ----------
    call_id
        Identifier of the call, unique on this link.
    class_name, backend
        Class of the call, and the chosen backend server.
    method, target, headers, body
        The HTTP request; ``target`` is the path with the query.
    deadline
        Deadline of the call on the monotonic clock of the sender, in seconds.
    key
        Idempotency key; empty for repeatable classes.
    traceparent
        W3C trace context; empty if the call is not traced.
    version
        Configuration version that the route was taken from.
    rank
        Priority rank of the route; rank 0 is served first.
    repeatable
        Whether the request is idempotent.
    useful_until
        Time until which a response has its full value to the caller, on the
        monotonic clock of the sender in seconds; 0 if unknown.
    nested
        Whether a backend server makes the request while it serves another one.
    caller_service
        Service that is served on the host where the request originated.
    attempt_id
        Id that the caller gave to this attempt; empty if it gave none.
    max_wait
        Limit on the expected wait for a slot in seconds. If the wait would be
        longer, the receiver refuses the call, so that the sender can choose another
        backend server. Negative for no limit.
    overdue
        Whether the response can hardly be within the target latency any more. The call
        waits behind the others of its rank.
    tenant
        Name of the tenant that holds the caller's key; empty without one.
    accepts_parts
        Whether the sender can receive the body of the response in parts.
    demand_weight
        Number of requests of the receiver's data centre that this one stands for, as
        others are sent elsewhere; 0 if it is not their first attempt or comes from
        another data centre.
    offer_id
        Number of the `BodyOffer` that was accepted for the body; 0 if there was none.
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
    overdue: bool = False
    tenant: str = ""
    accepts_parts: bool = False
    demand_weight: float = 1.0
    offer_id: int = 0


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of a backend server, as counted by the daemon on its host.

    Parameters
    ----------
    slots, in_use, queued
        Slots that can be used now, slots in use, and queued calls.
    service_time
        Smoothed time in seconds for which a call occupies a slot.
    queued_by_rank
        Queued calls by priority rank; their sum is ``queued``.
    link_wait
        Seconds until the network link of the host could begin to carry another long
        response.
    run_time_factor
        How long work takes on the host at the moment, relative to its usual time.
    demand
        Slots that the callers of the data centre would keep in use, including what is
        sent elsewhere for lack of capacity; negative if unknown.
    """

    slots: int
    in_use: int
    queued: int
    service_time: float
    queued_by_rank: tuple[int, ...] = ()
    link_wait: float = 0.0
    run_time_factor: float = 1.0
    demand: float = -1.0


class CallReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Result of a call.

    Parameters
    ----------
    code
        Error code; empty if the response is complete.
    load
        Load of the backend server; None if it is gone or its load is unknown.
    version
        Configuration version in force where the call ran; 0 if unknown.
    framed
        Whether the HTTP framing shows that the body is complete.
    parts_bytes
        Length of the body if it was sent before, as `ReplyPart` frames.
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
    parts_bytes: int = 0


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Tells the receiver that the caller of a call has disconnected."""

    call_id: int


class ClaimQuery(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """Asks the holder of a claim for the result of the claimed request.

    Parameters
    ----------
    deadline
        Time until which the sender waits, on its monotonic clock in seconds.
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
        Time until which the sender waits, on its monotonic clock in seconds.
    key
        Always empty, so that the query may be cancelled when the link closes.
    accepts_compressed
        Whether the body of the reply may be compressed with zlib; its header
        ``content-encoding`` then says so.
    """

    call_id: int
    deadline: float
    key: str = ""
    accepts_compressed: bool = False


class CrashVerdict(msgspec.Struct, frozen=True, array_like=True):
    """Tells that a request is condemned, or cleared of the suspicion.

    Parameters
    ----------
    fingerprint
        Digest of the request.
    crashes
        Backend servers that crashed under it; 0 if it has completed since.
    """

    fingerprint: str
    crashes: int


class HostNotice(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """Sends the host record of the sender to a peer; has no reply.

    Parameters
    ----------
    record
        Host record in its stored form.
    version
        Configuration version that the sender has in force.
    reaches_store
        Whether the sender can reach the store.
    silent_peers
        Peer addresses of daemons that the sender has just found silent.
    departure
        Departure on the receiver's host, which the sender knows of.
    verdicts
        Requests that the sender refuses because they crash backend servers, and those
        that were cleared of this a moment ago.
    knows_quotas
        Whether the sender knows `QuotaReport` and `QuotaGrant`.
    knows_rollouts
        Whether the sender can decode `RolloutReport` and `RolloutPlan`.
    store_era
        Era of the store as the sender knows it; 0 if unknown.
    """

    record: bytes
    version: int
    reaches_store: bool
    silent_peers: tuple[str, ...] = ()
    departure: Departure | None = None
    verdicts: tuple[CrashVerdict, ...] = ()
    knows_quotas: bool = False
    knows_rollouts: bool = False
    store_era: int = 0


class RoutesNotice(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """Pushes a configuration to a peer; has no reply.

    Parameters
    ----------
    compressed
        Stored form of the configuration, compressed with zlib, or a delta to the
        stored form of the base version.
    version, base
        Version that is pushed, and the version that the delta applies to; ``base``
        is 0 if ``compressed`` holds the full configuration.
    peer_address
        Address of the sender, which serves requests for the full configuration.
    """

    compressed: bytes
    version: int = 0
    base: int = 0
    peer_address: str = ""


class BodyOffer(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks for permission to send the long body of a call.

    Works like ``Expect: 100-continue``; the receiver replies when the body may be
    sent.

    Parameters
    ----------
    class_name, backend, rank
        As in `CallRequest`.
    size
        Length of the body in bytes.
    deadline, useful_until
        As in `CallRequest`.
    key
        Always empty, so that the offer may be cancelled when the link closes.
    offer_id
        Random number that the call with this body repeats; 0 if it does not.
    """

    call_id: int
    class_name: str
    backend: str
    rank: int
    size: int
    deadline: float
    useful_until: float
    key: str = ""
    offer_id: int = 0


class VersionCounts(msgspec.Struct, frozen=True, array_like=True):
    """Responses of one version of a backend server on one route.

    Parameters
    ----------
    version, route
        What was counted.
    responses, failures
        Responses since the order, and those of them that count as failures.
    run_time, run_time_squares
        Sums of the run times and of their squares, in seconds.
    in_flight, in_flight_time
        Requests that run now, and the sum of the seconds for which they have run.
    """

    version: str
    route: str
    responses: int
    failures: int
    run_time: float
    run_time_squares: float
    in_flight: int = 0
    in_flight_time: float = 0.0


class RolloutReport(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """Reports to the coordinator of a roll-out; has no reply.

    Parameters
    ----------
    service, order_revision
        Service, and revision of the order that the sender knows.
    host, incarnation
        Sender, and the start of its daemon.
    token, step
        Fencing token and number of the step that the sender has in force; 0 if none.
    reached
        Furthest phase that the sender has had in force for this order.
    order_age
        Seconds since the order as far as the sender knows.
    running_old
        Requests on the sender's own server, if that is one of the service and not of
        the ordered version.
    counts
        What the sender's own server of the service has answered since the order.
    """

    service: str
    order_revision: int
    host: str
    incarnation: int
    token: int
    step: int
    reached: RolloutPhase
    order_age: float
    running_old: int
    counts: tuple[VersionCounts, ...] = ()


class RolloutPlan(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """Permits requests to the version of a roll-out for a limited time; has no reply.

    Parameters
    ----------
    service, order_revision, target_version, duration
        The order; a receiver that did not know it learns it from here.
    order_age
        Seconds since the order when the plan was sent.
    token, step
        Fencing token of the coordinator, and number of the step. Token 0 only makes an
        order, or its removal, known.
    phase, share
        Phase, and share of the service's requests for the new version.
    is_stored
        Whether a final phase is in the store already.
    valid_until
        Time until which the plan may be used, on the monotonic clock of the sender.
    established
        Version that serves the other requests; empty if unknown.
    servers
        Backend servers that get the trial requests.
    suspect
        Whether there is evidence against the version, though too little to decide.
    peer_address
        Address of the coordinator, which receives the reports.
    """

    service: str
    order_revision: int
    target_version: str
    duration: float
    order_age: float
    token: int
    step: int
    phase: RolloutPhase
    share: float = 0.0
    valid_until: float = 0.0
    established: str = ""
    servers: tuple[str, ...] = ()
    suspect: bool = False
    peer_address: str = ""
    is_stored: bool = False


class ReplyPart(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """Part of the body of a `CallReply`, which follows the last part.

    Sent only for calls with ``accepts_parts``. Parts are sent in order, without gaps.

    Parameters
    ----------
    size
        Length of the whole body in bytes.
    offset
        Bytes of the body before this part.
    data
        The part; not empty.
    """

    call_id: int
    size: int
    offset: int
    data: bytes


Notice = (
    HostNotice | RoutesNotice | QuotaReport | QuotaGrant | RolloutReport | RolloutPlan
)
"""Frames without a reply that a daemon pushes to its peers."""

LinkRequest = CallRequest | ClaimQuery | RoutesQuery | BodyOffer
"""Frames that the receiver answers with a `CallReply`."""

CallFrame = Hello | Ping | Pong | LinkRequest | CallReply | Cancel | Notice | ReplyPart

CALL_CODEC: Codec[CallFrame] = Codec(CallFrame, max_bytes=MAX_CALL_FRAME_BYTES)
