"""Requests that crash backend servers, found by who was in flight."""

from __future__ import annotations

import itertools
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

import xxhash

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import CrashReport, SuspicionCleared

MAX_ENTRIES = 1000
# How long an ingress waits before it repeats a call that a crash has cut. A
# sooner attempt meets daemons that have not heard of the suspects.
RETRY_DELAY_SECONDS = 0.25
# Ids of reports that were dropped for room; a late copy must not revive them.
MAX_DROPPED_IDS = 4000

QuarantineMessage = CrashReport | SuspicionCleared


class Suspicion(StrEnum):
    """What is held against a request."""

    NONE = "none"
    SUSPECT = "suspect"
    CONDEMNED = "condemned"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Why a request is refused, runs apart from others, or does neither.

    Parameters
    ----------
    fingerprint, suspicion
        The request and what is held against it.
    crashes
        Reports of the crashes during which it was in flight.
    reason
        The same for people.
    """

    fingerprint: str
    suspicion: Suspicion
    crashes: tuple[CrashReport, ...]
    reason: str


@dataclass(slots=True)
class _Case:
    """All that is known of one crash; the parts may arrive in any order."""

    report: CrashReport | None = None
    cleared: set[str] = field(default_factory=set)
    lifted: set[str] = field(default_factory=set)

    @property
    def fingerprints(self) -> tuple[str, ...]:
        return self.report.fingerprints if self.report else ()

    def size(self) -> int:
        return max(1, len({*self.fingerprints, *self.cleared, *self.lifted}))


def compute_fingerprint(class_name: str, method: str, target: str, body: bytes) -> str:
    """Return 32 hex digits that identify a request when it is sent again.

    Headers are left out, since they differ between attempts.
    """
    digest = xxhash.xxh3_128(f"{class_name}\0{method}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()


class Quarantine:
    """Finds the request that crashes backend servers and refuses it.

    A crash makes suspects of the requests in flight. A suspect runs only where
    no other suspect does, so that its next crash has exactly one suspect in
    flight, which condemns it. A suspect that completes is cleared.

    What is held against a request follows from the set of messages merged,
    whatever their order and number. A crash that a condemned request explains
    casts no suspicion on the others in flight, and a condemnation that rests on
    such a crash, or on one that the request was cleared of, is void.

    Parameters
    ----------
    host
        Host of this daemon, named in its reports.
    clock
        Clock for report ids.
    """

    def __init__(self, *, host: str, clock: Clock) -> None:
        self._host = host
        self._clock = clock
        self._counter = itertools.count()
        self._cases: dict[str, _Case] = {}
        self._dropped: dict[str, None] = {}
        self._in_flight: dict[str, Counter[str]] = {}
        self._suspects: frozenset[str] = frozenset()
        self._condemned: frozenset[str] = frozenset()

    def check(self, fingerprint: str) -> None:
        """Raise ``condemned`` if the request must not run."""
        if fingerprint in self._condemned:
            message = f"request {fingerprint} crashes backend servers"
            raise AlmondError(ErrorCode.CONDEMNED, message)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request was in flight during an unexplained crash."""
        return fingerprint in self._suspects

    def may_run_now(self, backend: str, fingerprint: str) -> bool:
        """Return whether the request may be handed to a backend server now.

        A suspect may not while another suspect is in flight there; it should
        be refused as not run, so that its ingress chooses another server.
        """
        if not self.is_suspect(fingerprint):
            return True
        running = self._in_flight.get(backend, ())
        others = (name for name in running if name != fingerprint)
        return not any(name in self._suspects for name in others)

    def begin(self, backend: str, fingerprint: str) -> None:
        """Count a request as handed to a backend server."""
        self._in_flight.setdefault(backend, Counter())[fingerprint] += 1

    def end(
        self, backend: str, fingerprint: str, *, completed: bool
    ) -> tuple[SuspicionCleared, ...]:
        """Count a request as over.

        Parameters
        ----------
        completed
            Whether the backend server responded.

        Returns
        -------
        tuple of SuspicionCleared
            Messages to spread; already merged here.
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
        return self._clear(fingerprint, lifted=False)

    def record_crash(self, backend: str) -> CrashReport:
        """Report that a backend server beside this daemon has crashed.

        It must not be called for a planned stop. Requests in flight there are
        over; a later `end` has no effect on the report.

        Returns
        -------
        CrashReport
            Message to spread; already merged here. Without fingerprints it
            need not be spread.
        """
        running = self._in_flight.pop(backend, Counter())
        suspects = [name for name in running if self.is_suspect(name)]
        condemned = tuple(suspects) if len(suspects) == 1 else ()
        wall_ms = int(self._clock.wall() * 1000)
        report = CrashReport(
            report_id=f"{self._host}-{wall_ms}-{next(self._counter)}",
            host=self._host,
            backend=backend,
            fingerprints=tuple(sorted(running)),
            condemned=condemned,
            grounds=self._find_grounds(condemned),
        )
        self.merge(report)
        return report

    def merge(self, message: QuarantineMessage) -> bool:
        """Take over what another daemon reports.

        Returns
        -------
        bool
            Whether it was new and should be spread further.
        """
        size = len(message.fingerprints)
        if not 0 < size <= MAX_ENTRIES or message.report_id in self._dropped:
            return False
        case = self._cases.setdefault(message.report_id, _Case())
        if isinstance(message, CrashReport):
            if case.report is not None:
                return False
            case.report = message
        elif not _add_cleared(case, message):
            return False
        self._drop_oldest()
        self._judge()
        return True

    def lift(self, fingerprint: str) -> tuple[SuspicionCleared, ...]:
        """Let a request run again, on an operator's word.

        Returns
        -------
        tuple of SuspicionCleared
            Messages to spread; already merged here.
        """
        return self._clear(fingerprint, lifted=True)

    def explain(self, fingerprint: str) -> Explanation:
        """Return why a request is refused or suspected."""
        crashes = tuple(
            case.report
            for case in self._cases.values()
            if case.report and fingerprint in case.fingerprints
        )
        backends = ", ".join(report.backend for report in crashes)
        if fingerprint in self._condemned:
            suspicion = Suspicion.CONDEMNED
            reason = f"the only suspect in flight in a crash; crashed {backends}"
        elif self.is_suspect(fingerprint):
            suspicion = Suspicion.SUSPECT
            reason = f"in flight when {backends} crashed, has not completed since"
        else:
            suspicion = Suspicion.NONE
            reason = "completed, lifted or explained" if crashes else "no crash known"
        return Explanation(fingerprint, suspicion, crashes, reason)

    def list_condemned(self) -> tuple[Explanation, ...]:
        """Return all condemned requests, sorted by fingerprint."""
        return tuple(self.explain(name) for name in sorted(self._condemned))

    def list_messages(self) -> tuple[QuarantineMessage, ...]:
        """Return messages that tell another daemon all that is known here."""
        messages: list[QuarantineMessage] = []
        for report_id, case in self._cases.items():
            if case.report is not None:
                messages.append(case.report)
            for names, lifted in ((case.cleared, False), (case.lifted, True)):
                if names:
                    messages.append(
                        SuspicionCleared(report_id, tuple(sorted(names)), lifted)
                    )
        return tuple(messages)

    def _clear(self, fingerprint: str, *, lifted: bool) -> tuple[SuspicionCleared, ...]:
        """Clear a request of the crashes known here, and of no later ones."""
        messages = tuple(
            SuspicionCleared(report_id, (fingerprint,), lifted)
            for report_id, case in self._cases.items()
            if fingerprint in case.fingerprints
        )
        return tuple(message for message in messages if self.merge(message))

    def _judge(self) -> None:
        bases: dict[str, list[_Case]] = {}
        for case in self._cases.values():
            for name in case.report.condemned if case.report else ():
                if name not in case.lifted:
                    bases.setdefault(name, []).append(case)
        self._condemned = frozenset(
            name
            for name, cases in bases.items()
            if any(self._stands(case, name, bases) for case in cases)
        )
        self._suspects = frozenset(
            name
            for case in self._cases.values()
            if not case.lifted and self._condemned.isdisjoint(case.fingerprints)
            for name in case.fingerprints
            if name not in case.cleared
        )

    def _find_grounds(self, condemned: tuple[str, ...]) -> tuple[str, ...]:
        return tuple(
            report_id
            for report_id, case in self._cases.items()
            for name in condemned
            if name in case.fingerprints and name not in case.cleared
        )

    def _stands(
        self, case: _Case, fingerprint: str, bases: dict[str, list[_Case]]
    ) -> bool:
        """Return whether a condemnation has neither been explained nor cleared."""
        if _is_explained_by_other(case, fingerprint, bases):
            return False
        grounds = [
            self._cases.get(report_id, _Case())
            for report_id in (case.report.grounds if case.report else ())
        ]
        # Another daemon may have seen the request complete in the meantime.
        return not grounds or any(
            fingerprint not in ground.cleared
            and not _is_explained_by_other(ground, fingerprint, bases)
            for ground in grounds
        )

    def _drop_oldest(self) -> None:
        """Keep to the bound; crashes that condemn nobody are dropped first."""
        total = sum(case.size() for case in self._cases.values())
        if total <= MAX_ENTRIES:
            return
        oldest_first = sorted(
            self._cases,
            key=lambda name: (
                not self._condemned.isdisjoint(self._cases[name].fingerprints)
            ),
        )
        for report_id in oldest_first:
            if total <= MAX_ENTRIES:
                break
            total -= self._cases.pop(report_id).size()
            self._dropped[report_id] = None
        while len(self._dropped) > MAX_DROPPED_IDS:
            del self._dropped[next(iter(self._dropped))]


def _add_cleared(case: _Case, message: SuspicionCleared) -> bool:
    known = case.lifted if message.lifted else case.cleared
    before = len(known)
    known.update(message.fingerprints)
    return len(known) > before


def _is_explained_by_other(
    case: _Case, fingerprint: str, bases: dict[str, list[_Case]]
) -> bool:
    """Return whether a request condemned without this one was in flight too."""
    return any(
        fingerprint not in basis.fingerprints
        for other in case.fingerprints
        if other != fingerprint
        for basis in bases.get(other, ())
    )
