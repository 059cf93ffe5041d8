"""Identifies requests that crash backend servers from the requests in flight."""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import CrashReport, SuspicionCleared

# Bound on the requests named in one message, and in all recorded crashes together.
MAX_ENTRIES = 1000
# Delay before an ingress retries a call that a crash interrupted. An earlier retry
# could reach daemons that have not received the crash report yet.
CRASH_RETRY_DELAY_S = 0.25
# Bound on the remembered ids of evicted reports, which keep late copies of those
# reports from being merged again.
MAX_EVICTED_IDS = 4000

QuarantineMessage = CrashReport | SuspicionCleared


class Suspicion(StrEnum):
    """Whether a request is suspected of crashing backend servers, or condemned."""

    NONE = "none"
    SUSPECT = "suspect"
    CONDEMNED = "condemned"


@dataclass(frozen=True, slots=True)
class Explanation:
    """State of a request in the quarantine, and the crashes that led to it.

    Parameters
    ----------
    fingerprint, suspicion
        The request and its state.
    crashes
        Reports of the crashes during which it was in flight.
    reason
        Explanation for operators.
    """

    fingerprint: str
    suspicion: Suspicion
    crashes: tuple[CrashReport, ...]
    reason: str


@dataclass(slots=True)
class _Crash:
    """Merged messages about one crash, which may arrive in any order.

    Parameters
    ----------
    report
        The crash report; None if it has not arrived yet.
    cleared
        Requests that have completed since.
    lifted
        Requests that an operator has cleared.
    """

    report: CrashReport | None = None
    cleared: set[str] = field(default_factory=set)
    lifted: set[str] = field(default_factory=set)

    @property
    def fingerprints(self) -> tuple[str, ...]:
        return self.report.fingerprints if self.report else ()

    def size(self) -> int:
        return max(1, len({*self.fingerprints, *self.cleared, *self.lifted}))


def compute_fingerprint(class_name: str, method: str, target: str, body: bytes) -> str:
    """Return 32 hex digits that are the same each time a request is sent.

    Headers are not included, since they differ between attempts.
    """
    digest = xxhash.xxh3_128(f"{class_name}\0{method}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()


class Quarantine:
    """Identifies requests that crash backend servers and refuses them.

    After a crash, all requests that were in flight are suspects. A suspect runs
    only on a backend server that runs no other suspect. If it causes another crash,
    it is the only suspect in flight and is condemned, that is, refused from then on.
    A suspect that completes is cleared.

    The state of a request depends only on the set of merged messages, not on their
    order or repetition. If a condemned request was in flight during a crash, it
    explains the crash, and the other requests in flight are not suspects. A
    condemnation is void if it is based on a crash that another condemned request
    explains or of which the request was cleared.

    Parameters
    ----------
    host
        Name of this host, included in its reports.
    clock
        Source of wall time for report ids.
    """

    def __init__(self, *, host: str, clock: Clock) -> None:
        self._host = host
        self._clock = clock
        self._counter = itertools.count()
        self._crashes: dict[str, _Crash] = {}
        self._evicted_ids: dict[str, None] = {}
        self._in_flight: dict[str, Counter[str]] = {}
        self._suspects: frozenset[str] = frozenset()
        self._condemned: frozenset[str] = frozenset()

    def check_not_condemned(self, fingerprint: str) -> None:
        """Raise `AlmondError` with code ``condemned`` if the request must not run."""
        if fingerprint in self._condemned:
            message = f"request {fingerprint} is refused: it crashes backend servers"
            raise AlmondError(ErrorCode.CONDEMNED, message)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request was in flight during an unexplained crash."""
        return fingerprint in self._suspects

    def may_run_now(self, backend: str, fingerprint: str) -> bool:
        """Return whether the request may be sent to a backend server now.

        A suspect must not run while another suspect is in flight there. The caller
        should refuse it as not run, so that its ingress selects another server.
        """
        if not self.is_suspect(fingerprint):
            return True
        running = self._in_flight.get(backend, ())
        others = (other for other in running if other != fingerprint)
        return not any(other in self._suspects for other in others)

    def begin_request(self, backend: str, fingerprint: str) -> None:
        """Record that a request is being sent to a backend server."""
        self._in_flight.setdefault(backend, Counter())[fingerprint] += 1

    def end_request(
        self, backend: str, fingerprint: str, *, completed: bool
    ) -> tuple[SuspicionCleared, ...]:
        """Record that a request has ended.

        Parameters
        ----------
        completed
            Whether the backend server responded.

        Returns
        -------
        tuple of SuspicionCleared
            Messages to publish; already merged here.
        """
        running = self._in_flight.get(backend)
        if running is not None:
            running[fingerprint] -= 1
            if running[fingerprint] <= 0:
                del running[fingerprint]
            if not running:
                del self._in_flight[backend]
        if not (completed and self.is_suspect(fingerprint)):
            return ()
        return self._clear_suspicion(fingerprint, lifted=False)

    def record_crash(self, backend: str) -> CrashReport:
        """Report that a backend server of this host has crashed.

        Must not be called for a planned stop. The requests in flight there count
        as ended; a later `end_request` does not change the report.

        Returns
        -------
        CrashReport
            Message to publish; already merged here. It need not be published if
            it has no fingerprints.
        """
        running = self._in_flight.pop(backend, Counter())
        suspects = [
            fingerprint for fingerprint in running if self.is_suspect(fingerprint)
        ]
        condemned = tuple(suspects) if len(suspects) == 1 else ()
        wall_ms = int(self._clock.wall() * 1000)
        report = CrashReport(
            report_id=f"{self._host}-{wall_ms}-{next(self._counter)}",
            host=self._host,
            backend=backend,
            fingerprints=tuple(sorted(running)),
            condemned=condemned,
            grounds=self._list_grounds(condemned),
        )
        self.merge(report)
        return report

    def merge(self, message: QuarantineMessage) -> bool:
        """Merge a message of this or another daemon.

        Returns
        -------
        bool
            Whether the message was new and should be forwarded to other daemons.
        """
        size = len(message.fingerprints)
        if not 0 < size <= MAX_ENTRIES or message.report_id in self._evicted_ids:
            return False
        crash = self._crashes.setdefault(message.report_id, _Crash())
        if isinstance(message, CrashReport):
            if crash.report is not None:
                return False
            crash.report = message
        elif not _add_clearance(crash, message):
            return False
        self._evict_oldest()
        self._recompute_suspicions()
        return True

    def lift(self, fingerprint: str) -> tuple[SuspicionCleared, ...]:
        """Allow a request to run again, as requested by an operator.

        Returns
        -------
        tuple of SuspicionCleared
            Messages to publish; already merged here.
        """
        return self._clear_suspicion(fingerprint, lifted=True)

    def explain(self, fingerprint: str) -> Explanation:
        """Return why a request is refused or suspected."""
        crashes = tuple(
            crash.report
            for crash in self._crashes.values()
            if crash.report and fingerprint in crash.fingerprints
        )
        backends = ", ".join(report.backend for report in crashes)
        if fingerprint in self._condemned:
            suspicion = Suspicion.CONDEMNED
            reason = f"was the only suspect in flight in a crash; crashed {backends}"
        elif self.is_suspect(fingerprint):
            suspicion = Suspicion.SUSPECT
            reason = f"was in flight when {backends} crashed; has not completed since"
        else:
            suspicion = Suspicion.NONE
            reason = (
                "has completed, was lifted or is not the cause"
                if crashes
                else "was in flight in no known crash"
            )
        return Explanation(fingerprint, suspicion, crashes, reason)

    def list_condemned(self) -> tuple[Explanation, ...]:
        """Return all condemned requests, sorted by fingerprint."""
        return tuple(
            self.explain(fingerprint) for fingerprint in sorted(self._condemned)
        )

    def list_messages(self) -> tuple[QuarantineMessage, ...]:
        """Return messages that transfer the complete state to another daemon."""
        messages: list[QuarantineMessage] = []
        for report_id, crash in self._crashes.items():
            if crash.report is not None:
                messages.append(crash.report)
            for fingerprints, lifted in ((crash.cleared, False), (crash.lifted, True)):
                if fingerprints:
                    messages.append(
                        SuspicionCleared(report_id, tuple(sorted(fingerprints)), lifted)
                    )
        return tuple(messages)

    def _clear_suspicion(
        self, fingerprint: str, *, lifted: bool
    ) -> tuple[SuspicionCleared, ...]:
        """Clear a request of the crashes known here, but not of later ones."""
        messages = tuple(
            SuspicionCleared(report_id, (fingerprint,), lifted)
            for report_id, crash in self._crashes.items()
            if fingerprint in crash.fingerprints
        )
        return tuple(message for message in messages if self.merge(message))

    def _recompute_suspicions(self) -> None:
        condemning_crashes: dict[str, list[_Crash]] = {}
        for crash in self._crashes.values():
            for fingerprint in crash.report.condemned if crash.report else ():
                if fingerprint not in crash.lifted:
                    condemning_crashes.setdefault(fingerprint, []).append(crash)
        self._condemned = frozenset(
            fingerprint
            for fingerprint, condemning in condemning_crashes.items()
            if any(
                self._is_condemnation_valid(crash, fingerprint, condemning_crashes)
                for crash in condemning
            )
        )
        self._suspects = frozenset(
            fingerprint
            for crash in self._crashes.values()
            if not crash.lifted and self._condemned.isdisjoint(crash.fingerprints)
            for fingerprint in crash.fingerprints
            if fingerprint not in crash.cleared
        )

    def _list_grounds(self, condemned: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(
            report_id
            for report_id, crash in self._crashes.items()
            for fingerprint in condemned
            if fingerprint in crash.fingerprints and fingerprint not in crash.cleared
        )

    def _is_condemnation_valid(
        self,
        crash: _Crash,
        fingerprint: str,
        condemning_crashes: dict[str, list[_Crash]],
    ) -> bool:
        """Return whether a condemnation of a request in a crash is still valid.

        It is void if another condemned request explains the crash, or if each
        earlier crash that it is based on has been explained or cleared.
        """
        if _is_explained_by_other(crash, fingerprint, condemning_crashes):
            return False
        grounds = [
            self._crashes.get(report_id, _Crash())
            for report_id in (crash.report.grounds if crash.report else ())
        ]
        # The request may have completed on another daemon since a crash on which
        # the condemnation is based; that daemon's message clears it of the crash.
        return not grounds or any(
            fingerprint not in ground.cleared
            and not _is_explained_by_other(ground, fingerprint, condemning_crashes)
            for ground in grounds
        )

    def _evict_oldest(self) -> None:
        """Evict crashes above the limit, those without a condemned request first."""
        total = sum(crash.size() for crash in self._crashes.values())
        if total <= MAX_ENTRIES:
            return
        oldest_first = sorted(
            self._crashes,
            key=lambda report_id: (
                not self._condemned.isdisjoint(self._crashes[report_id].fingerprints)
            ),
        )
        for report_id in oldest_first:
            if total <= MAX_ENTRIES:
                break
            total -= self._crashes.pop(report_id).size()
            self._evicted_ids[report_id] = None
        while len(self._evicted_ids) > MAX_EVICTED_IDS:
            del self._evicted_ids[next(iter(self._evicted_ids))]


def _add_clearance(crash: _Crash, message: SuspicionCleared) -> bool:
    known = crash.lifted if message.lifted else crash.cleared
    before = len(known)
    known.update(message.fingerprints)
    return len(known) > before


def _is_explained_by_other(
    crash: _Crash, fingerprint: str, condemning_crashes: dict[str, list[_Crash]]
) -> bool:
    """Return whether the crash is explained by another condemned request.

    Only condemnations from crashes without this request in flight count.
    """
    return any(
        fingerprint not in condemning_crash.fingerprints
        for other in crash.fingerprints
        if other != fingerprint
        for condemning_crash in condemning_crashes.get(other, ())
    )
