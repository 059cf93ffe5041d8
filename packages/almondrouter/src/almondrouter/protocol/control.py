"""Control messages between daemons."""

from __future__ import annotations

import msgspec

from almondrouter.protocol.codec import MAX_CONTROL_FRAME_BYTES, Codec
from almondrouter.state.changes import ChangeRecord
from almondrouter.state.registry import HostRecord, HostStatus


class Head(msgspec.Struct, frozen=True, array_like=True):
    """Version of a configuration and the digest of its document."""

    version: int
    digest: str


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="hb"):
    """Liveness probe of a neighbour.

    Its head and digests let the receiver detect configurations and host records
    that differ from its own.

    Parameters
    ----------
    host, incarnation
        Sender.
    head
        Configuration in force at the sender.
    digests
        Registry digest by data centre.
    """

    host: str
    incarnation: int
    head: Head
    digests: dict[str, int]


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="hr"):
    """Reply to a `Heartbeat` with the same fields about the receiver.

    ``digests`` is empty if they equal those of the heartbeat.
    """

    host: str
    incarnation: int
    head: Head
    digests: dict[str, int]


class Records(msgspec.Struct, frozen=True, array_like=True, tag="rs"):
    """Host records, pushed on change or sent in reply to a `RecordsRequest`.

    Parameters
    ----------
    wanted
        In a reply, hosts of which the requester has newer records; it pushes them
        in turn, so that one exchange brings both sides up to date.
    accusations
        ``(host, incarnation, sequence, status)`` of suspect and dead hosts, sent
        instead of their records because it takes a fifth of the bytes. A receiver
        that does not hold the record in question ignores the entry.
    """

    records: tuple[HostRecord, ...]
    wanted: tuple[str, ...] = ()
    accusations: tuple[tuple[str, int, int, HostStatus], ...] = ()


class RecordsRequest(msgspec.Struct, frozen=True, array_like=True, tag="rq"):
    """Requests the host records of a data centre that are newer than known ones.

    Parameters
    ----------
    data_centre
        Data centre whose digests differ; empty for all data centres.
    known
        ``(incarnation, sequence, status)`` of the sender's records, by host.
    """

    data_centre: str
    known: dict[str, tuple[int, int, int]]


class Announcement(msgspec.Struct, frozen=True, array_like=True, tag="an"):
    """Announces the configuration in force at the sender to a neighbour."""

    host: str
    head: Head


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag="cq"):
    """Requests the updates that lead to the configuration of the receiver.

    Parameters
    ----------
    head
        Configuration to start from.
    with_members
        Whether the reply is to list the members of the receiver's data centre.
    """

    head: Head
    with_members: bool = False


class ConfigurationReply(msgspec.Struct, frozen=True, array_like=True, tag="cr"):
    """Change records that follow the requested version, or the full document.

    Parameters
    ----------
    head
        Configuration in force at the sender.
    records
        Change records in order; empty if ``document`` is given.
    document
        Canonical JSON of the configuration; None if ``records`` suffice.
    members
        Hosts of the sender's data centre that the sender considers alive; empty
        if the request did not ask for them.
    """

    head: Head
    records: tuple[ChangeRecord, ...] = ()
    document: bytes | None = None
    members: tuple[str, ...] = ()


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag="sq"):
    """Asks a daemon for its `StatusReply`."""


class StatusReply(msgspec.Struct, frozen=True, array_like=True, tag="sr"):
    """Configuration in force at a daemon, and whether it is ready to serve."""

    host: str
    incarnation: int
    head: Head
    ready: bool


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Exclusive right of one daemon to run the request of an idempotency key.

    Parameters
    ----------
    key
        Idempotency key.
    claim_id
        Unique id of this attempt to claim the key.
    host, incarnation
        Daemon whose backend server may run the request.
    """

    key: str
    claim_id: str
    host: str
    incarnation: int


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, tag="kq"):
    """Asks the delegate of the data centre to create a claim in the store.

    Parameters
    ----------
    replaces
        Id of a claim that its holder has given up and that may be replaced.
    """

    claim: Claim
    replaces: str | None = None


class ClaimRelease(msgspec.Struct, frozen=True, array_like=True, tag="kl"):
    """Asks the delegate to delete a claim whose request did not run."""

    claim: Claim


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag="kr"):
    """Names the holder of a key, or reports that the store was unreachable.

    Parameters
    ----------
    holder
        Claim in the store; None if it is unknown or was deleted.
    available
        False if the store could not be reached.
    """

    holder: Claim | None
    available: bool


class LoanRequest(msgspec.Struct, frozen=True, array_like=True, tag="lq"):
    """Asks the delegate for a loan: a time-limited share of a rate limit.

    Parameters
    ----------
    limit
        Name of the limit.
    demand
        Calls per second that the daemon would admit.
    incarnation
        Incarnation of the daemon. After a restart it does not know what its
        previous incarnation admitted, so each incarnation has its own loans.
    """

    host: str
    limit: str
    demand: float
    incarnation: int = 0


class LoanReply(msgspec.Struct, frozen=True, array_like=True, tag="lr"):
    """Grants a time-limited share of a rate limit.

    Parameters
    ----------
    rate
        Calls per second; 0 if nothing is left.
    valid_for
        Validity in seconds, counted from when the request was sent.
    """

    rate: float
    valid_for: float


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="cx"):
    """Reports that a backend server crashed while the daemon on its host ran on.

    Parameters
    ----------
    report_id
        Unique id, by which repeated copies of the report are ignored.
    fingerprints
        Fingerprints of the requests that were in flight.
    condemned
        Fingerprints of the requests that must be refused from now on.
    grounds
        Ids of the earlier reports that made the condemned request a suspect.
    """

    report_id: str
    host: str
    backend: str
    fingerprints: tuple[str, ...]
    condemned: tuple[str, ...] = ()
    grounds: tuple[str, ...] = ()


class SuspicionCleared(msgspec.Struct, frozen=True, array_like=True, tag="cc"):
    """Withdraws the suspicion that a crash report cast on requests.

    Sent after the requests have completed or when an operator clears them.

    Parameters
    ----------
    report_id
        Id of the crash report.
    fingerprints
        Fingerprints of the requests.
    lifted
        Whether an operator cleared them; the crash then makes no request a suspect.
    """

    report_id: str
    fingerprints: tuple[str, ...]
    lifted: bool = False


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag="ok"):
    """Acknowledges a request that has no other reply."""


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="no"):
    """Rejects a request that the receiver cannot serve."""

    code: str
    message: str


class FleetRequest(msgspec.Struct, frozen=True, array_like=True, tag="fq"):
    """Asks a delegate for the status of every daemon of its data centre.

    Parameters
    ----------
    version
        Daemons already known to have this version in force need not be polled.
    """

    version: int


class FleetReply(msgspec.Struct, frozen=True, array_like=True, tag="fr"):
    """Status of the daemons of a data centre.

    Parameters
    ----------
    replies
        Status of each daemon that responded.
    silent
        Hosts that are considered alive but did not respond.
    """

    replies: tuple[StatusReply, ...]
    silent: tuple[str, ...]


class QuarantineRequest(msgspec.Struct, frozen=True, array_like=True, tag="uq"):
    """Requests all messages about crashes that a neighbour knows."""


class QuarantineReply(msgspec.Struct, frozen=True, array_like=True, tag="ur"):
    """All messages about crashes that the sender knows."""

    messages: tuple[CrashReport | SuspicionCleared, ...]


ControlMessage = (
    Heartbeat
    | HeartbeatReply
    | Records
    | RecordsRequest
    | Announcement
    | ConfigurationRequest
    | ConfigurationReply
    | StatusRequest
    | StatusReply
    | ClaimRequest
    | ClaimRelease
    | ClaimReply
    | LoanRequest
    | LoanReply
    | CrashReport
    | SuspicionCleared
    | Accepted
    | Refused
    | FleetRequest
    | FleetReply
    | QuarantineRequest
    | QuarantineReply
)

CONTROL_CODEC: Codec[ControlMessage] = Codec(
    ControlMessage, max_bytes=MAX_CONTROL_FRAME_BYTES
)
