"""Control messages between daemons."""

from __future__ import annotations

import msgspec

from almondrouter.protocol.codec import MAX_CONTROL_FRAME_BYTES, Codec
from almondrouter.state.changes import ChangeRecord
from almondrouter.state.registry import HostRecord, HostStatus


class Head(msgspec.Struct, frozen=True, array_like=True):
    """A configuration version with the digest of its document."""

    version: int
    digest: str


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="hb"):
    """Asks a neighbour whether it is alive; carries what repair needs.

    Parameters
    ----------
    host, incarnation
        Sender.
    head
        Configuration in force at the sender.
    digests
        Registry digest for each data centre.
    """

    host: str
    incarnation: int
    head: Head
    digests: dict[str, int]


class HeartbeatReply(msgspec.Struct, frozen=True, array_like=True, tag="hr"):
    """Answers a heartbeat with the same content.

    ``digests`` is empty if they equal those of the heartbeat.
    """

    host: str
    incarnation: int
    head: Head
    digests: dict[str, int]


class Records(msgspec.Struct, frozen=True, array_like=True, tag="rs"):
    """Host records, pushed on change or sent for a pull.

    Parameters
    ----------
    wanted
        In the reply to a pull, hosts whose records the asker has newer; it
        pushes them, so that one exchange repairs both sides.
    accusations
        ``(host, incarnation, sequence, status)`` of suspect and dead hosts whose
        records are known but for the status; a fifth of the bytes of a record.
    """

    records: tuple[HostRecord, ...]
    wanted: tuple[str, ...] = ()
    accusations: tuple[tuple[str, int, int, HostStatus], ...] = ()


class RecordsRequest(msgspec.Struct, frozen=True, array_like=True, tag="rq"):
    """Asks for the records of a data centre that are newer than the known ones.

    Parameters
    ----------
    data_centre
        Data centre whose digests differ; empty asks for all.
    known
        ``(incarnation, sequence, status)`` by host.
    """

    data_centre: str
    known: dict[str, tuple[int, int, int]]


class Announcement(msgspec.Struct, frozen=True, array_like=True, tag="an"):
    """Tells a neighbour of the configuration in force at the sender."""

    host: str
    head: Head


class ConfigurationRequest(msgspec.Struct, frozen=True, array_like=True, tag="cq"):
    """Asks for what leads from a version to the receiver's.

    Parameters
    ----------
    with_members
        Whether the reply is to list the members of the receiver's data centre.
    """

    head: Head
    with_members: bool = False


class ConfigurationReply(msgspec.Struct, frozen=True, array_like=True, tag="cr"):
    """Change records that follow the asked version, or the whole document.

    Parameters
    ----------
    head
        Configuration in force at the sender.
    records
        Change records in order; empty if ``document`` is given.
    document
        Canonical JSON of the configuration; None if ``records`` suffice.
    members
        Hosts of the sender's data centre that it holds to be alive; empty if
        the request did not ask for them.
    """

    head: Head
    records: tuple[ChangeRecord, ...] = ()
    document: bytes | None = None
    members: tuple[str, ...] = ()


class StatusRequest(msgspec.Struct, frozen=True, array_like=True, tag="sq"):
    """Asks a daemon which version it has in force."""


class StatusReply(msgspec.Struct, frozen=True, array_like=True, tag="sr"):
    """Says which version is in force and whether the daemon serves."""

    host: str
    incarnation: int
    head: Head
    ready: bool


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """Who may run the request of an idempotency key.

    Parameters
    ----------
    key
        Idempotency key.
    claim_id
        Unique id of this attempt.
    host, incarnation
        Daemon beside the backend server that may run it.
    """

    key: str
    claim_id: str
    host: str
    incarnation: int


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True, tag="kq"):
    """Asks the data centre's delegate to create a claim.

    Parameters
    ----------
    replaces
        Claim id that the holder has given up and that may be taken over.
    """

    claim: Claim
    replaces: str | None = None


class ClaimRelease(msgspec.Struct, frozen=True, array_like=True, tag="kl"):
    """Asks the delegate to delete a claim whose request was not run."""

    claim: Claim


class ClaimReply(msgspec.Struct, frozen=True, array_like=True, tag="kr"):
    """Names the holder of the key, or says that the store was not reached.

    Parameters
    ----------
    holder
        The claim in the store; None if it is not known or was deleted.
    available
        False if the store could not be asked.
    """

    holder: Claim | None
    available: bool


class LoanRequest(msgspec.Struct, frozen=True, array_like=True, tag="lq"):
    """Asks the delegate for a share of a rate limit.

    Parameters
    ----------
    limit
        Name of the limit.
    demand
        Calls a second that the daemon would admit.
    incarnation
        Incarnation of the host; a restarted daemon does not know what its
        predecessor admitted, so it gets loans of its own.
    """

    host: str
    limit: str
    demand: float
    incarnation: int = 0


class LoanReply(msgspec.Struct, frozen=True, array_like=True, tag="lr"):
    """Lends calls a second.

    Parameters
    ----------
    rate
        Calls a second; 0 if nothing is left.
    valid_for
        Seconds from when the receiver sent the request.
    """

    rate: float
    valid_for: float


class CrashReport(msgspec.Struct, frozen=True, array_like=True, tag="cx"):
    """Says that a backend server died beside a living daemon.

    Parameters
    ----------
    report_id
        Unique id; a report counts once.
    fingerprints
        Requests that were in flight.
    condemned
        Requests that are condemned from now on.
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
    """Says that suspected requests have completed, or that an operator lifted them.

    Parameters
    ----------
    report_id
        Report of the crash that no longer speaks against the requests.
    fingerprints
        The requests.
    lifted
        Whether an operator said so; the crash then casts no suspicion at all.
    """

    report_id: str
    fingerprints: tuple[str, ...]
    lifted: bool = False


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag="ok"):
    """Answers a request that has no other answer."""


class Refused(msgspec.Struct, frozen=True, array_like=True, tag="no"):
    """Answers a request that the receiver cannot serve."""

    code: str
    message: str


class FleetRequest(msgspec.Struct, frozen=True, array_like=True, tag="fq"):
    """Asks a delegate for the status of every daemon of its data centre.

    Parameters
    ----------
    version
        Daemons already known to have this version in force need not be asked.
    """

    version: int


class FleetReply(msgspec.Struct, frozen=True, array_like=True, tag="fr"):
    """Status of the daemons of a data centre.

    Parameters
    ----------
    replies
        Status of each daemon that responded.
    silent
        Hosts that are held to be alive and did not respond.
    """

    replies: tuple[StatusReply, ...]
    silent: tuple[str, ...]


class QuarantineRequest(msgspec.Struct, frozen=True, array_like=True, tag="uq"):
    """Asks a neighbour for all that it knows of crashes."""


class QuarantineReply(msgspec.Struct, frozen=True, array_like=True, tag="ur"):
    """Messages that tell all that the sender knows of crashes."""

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
