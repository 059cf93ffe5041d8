"""Identifies requests that crash backend servers, from the records of all hosts.

Designed for a request that ends each backend server that runs it, and that its caller
sends again and again, at any host. Each host lists in its record the requests under
which its backend server has crashed; a request that is listed often enough is refused
everywhere. As the store keeps the records, this outlasts a restart of all daemons.

Used by the daemon for hosting platforms. The daemon for clusters with an etcd store
uses `almondrouter.coordination.quarantine`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from almondrouter.clock import Clock
from almondrouter.logs import EventLogger
from almondrouter.protocol.calls import CrashVerdict
from almondrouter.state.hosts import MAX_SUSPECTS, CrashSuspect, HostEntry

CRASHES_TO_CONDEMN = 3
"""Crashes after which a request is condemned. A request is often in flight in one crash
that has another cause, rarely in two, as it is sent again after the first."""
CRASHES_TO_ISOLATE = 2
"""Crashes after which a request runs only where no other such request does, so that the
next crash tells which of them is the cause."""
CONDEMNED_S = 60.0
"""Seconds for which a request is refused after its third crash. Each later crash
doubles them. After that it may run again, which clears one that was not the cause."""
MAX_CONDEMNED_S = 1800.0
"""Longest time for which a request is refused after a crash, in seconds."""
EVIDENCE_TTL_S = 3600.0
"""Seconds from the latest crash of a request until it is forgotten."""
CLEARANCE_TTL_S = 5.0
"""Seconds for which the verdicts of other daemons on a request that has completed are
ignored; some of them have not heard of it yet."""
MAX_VERDICTS = 1000
"""Limit of the condemned requests that are known from other daemons only."""

_log = EventLogger("crashes")


@dataclass(slots=True)
class _RequestState:
    """What is known of one request.

    Parameters
    ----------
    crashes, repeated
        Backend servers that crashed under it, and whether it was sent to one of them
        although an earlier crash was known.
    condemned_until
        Time until which it is refused, in monotonic seconds; 0 if it never was.
    forget_at
        Time at which it is forgotten, in monotonic seconds.
    """

    crashes: int
    repeated: bool
    forget_at: float
    condemned_until: float = 0.0


@dataclass(slots=True)
class _HostEvidence:
    """Suspects that the records of one host name.

    Parameters
    ----------
    incarnation, current
        Incarnation of the latest record, and its suspects.
    earlier
        Suspects of earlier incarnations: a daemon that has restarted may not have
        read its own yet.
    """

    incarnation: int
    current: dict[str, CrashSuspect] = field(default_factory=dict)
    earlier: dict[str, CrashSuspect] = field(default_factory=dict)

    def find(self, fingerprint: str) -> CrashSuspect | None:
        """Return the suspect with the most crashes."""
        found = (self.current.get(fingerprint), self.earlier.get(fingerprint))
        return max(
            (suspect for suspect in found if suspect is not None),
            key=lambda suspect: suspect.crashes,
            default=None,
        )

    def replace(self, entry: HostEntry) -> set[str]:
        """Take over the suspects of a later record; return the affected requests."""
        affected = set(self.current)
        if entry.incarnation != self.incarnation:
            known = {*self.earlier, *self.current}
            self.earlier = {f: self.find(f) for f in known}
            self.incarnation = entry.incarnation
        self.current = {suspect.fingerprint: suspect for suspect in entry.suspects}
        return affected | set(self.current)

    def forget(self, fingerprint: str) -> None:
        self.current.pop(fingerprint, None)
        self.earlier.pop(fingerprint, None)


class CrashEvidence:
    """Counts the crashes of backend servers by the requests that were in flight.

    Parameters
    ----------
    host
        Name of this host, whose record carries `suspects`.
    clock
        Source of monotonic time.
    on_suspects_changed
        Called after `suspects` has changed.
    on_verdicts_changed
        Called after a request was condemned or cleared, which the other daemons are
        to hear at once.

    Notes
    -----
    Servers that fail together, as in a power cut, do not condemn the requests in
    flight: at least one of the crashes must follow a sending at which an earlier crash
    was known. A request that completes is cleared.
    """

    def __init__(
        self,
        *,
        host: str,
        clock: Clock,
        on_suspects_changed: Callable[[], None],
        on_verdicts_changed: Callable[[], None],
    ) -> None:
        self._host = host
        self._clock = clock
        self._on_suspects_changed = on_suspects_changed
        self._on_verdicts_changed = on_verdicts_changed
        self._own: dict[str, CrashSuspect] = {}
        self._hosts: dict[str, _HostEvidence] = {}
        self._told: dict[str, int] = {}
        self._states: dict[str, _RequestState] = {}
        self._condemned: set[str] = set()
        self._cleared_until: dict[str, float] = {}

    @property
    def suspects(self) -> tuple[CrashSuspect, ...]:
        """Requests under which backend servers of this host have crashed."""
        return tuple(self._own.values())

    @property
    def verdicts(self) -> tuple[CrashVerdict, ...]:
        """Requests that are condemned now, or were cleared a moment ago."""
        now = self._clock.monotonic()
        condemned = [
            CrashVerdict(fingerprint, self._states[fingerprint].crashes)
            for fingerprint in self._condemned
            if now < self._states[fingerprint].condemned_until
        ]
        cleared = [
            CrashVerdict(fingerprint, 0)
            for fingerprint, until in self._cleared_until.items()
            if now < until
        ]
        return tuple(condemned + cleared)

    @property
    def has_condemned(self) -> bool:
        """Whether any request may be condemned, so that fingerprints are needed."""
        return bool(self._condemned)

    def count_condemned(self) -> int:
        """Return the number of requests that are refused now."""
        return sum(verdict.crashes > 0 for verdict in self.verdicts)

    def find_condemned_until(self, fingerprint: str) -> float | None:
        """Return the time until which a request is refused; None if it may run."""
        state = self._states.get(fingerprint)
        if state is None or self._clock.monotonic() >= state.condemned_until:
            return None
        return state.condemned_until

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request was in flight in a crash that is remembered."""
        return fingerprint in self._states

    def must_be_isolated(self, fingerprint: str) -> bool:
        """Return whether a request may only run where no other such request does."""
        state = self._states.get(fingerprint)
        if state is None or not state.repeated:
            return False
        return state.crashes >= CRASHES_TO_ISOLATE

    def record_crash(self, in_flight: Mapping[str, bool]) -> None:
        """Record that the backend server of this host has crashed.

        Parameters
        ----------
        in_flight
            Fingerprints of the requests that it was running, and whether each was a
            suspect when it was sent.
        """
        self._forget_expired()
        for fingerprint, repeated in in_flight.items():
            known = self._own.pop(fingerprint, CrashSuspect(fingerprint, 0))
            self._own[fingerprint] = CrashSuspect(
                fingerprint, known.crashes + 1, known.repeated or repeated
            )
        while len(self._own) > MAX_SUSPECTS:
            del self._own[next(iter(self._own))]
        if in_flight:
            self._on_suspects_changed()
        self._update_states(in_flight)

    def record_completion(self, fingerprint: str) -> None:
        """Clear a request that has completed and therefore crashes nothing.

        One that was in flight in a single crash stays listed: it does no harm, and
        each crash makes many such requests.
        """
        state = self._states.get(fingerprint)
        if state is not None and state.crashes >= CRASHES_TO_ISOLATE:
            _log.info("suspected request has completed", fingerprint=fingerprint)
            self._clear(fingerprint)
            self._on_verdicts_changed()

    def restore(self, entry: HostEntry) -> None:
        """Take over the suspects that an earlier daemon of this host has recorded."""
        restored = {
            suspect.fingerprint: suspect
            for suspect in entry.suspects
            if suspect.fingerprint not in self._own
        }
        if restored:
            self._own = restored | self._own
            self._on_suspects_changed()
            self._update_states(restored)

    def merge_record(self, entry: HostEntry) -> None:
        """Take over the suspects that the record of another host names."""
        if entry.host == self._host:
            return
        evidence = self._hosts.get(entry.host)
        if evidence is None:
            if not entry.suspects:
                return
            evidence = _HostEvidence(entry.incarnation)
            self._hosts[entry.host] = evidence
        self._forget_expired()
        self._update_states(evidence.replace(entry))

    def merge_verdicts(self, verdicts: tuple[CrashVerdict, ...]) -> None:
        """Take over which requests another daemon has condemned or cleared."""
        now = self._clock.monotonic()
        for verdict in verdicts:
            fingerprint = verdict.fingerprint
            if now < self._cleared_until.get(fingerprint, 0.0):
                continue
            if verdict.crashes:
                self._merge_condemnation(verdict)
            elif fingerprint in self._states:
                self._clear(fingerprint)
                self._on_verdicts_changed()

    def _merge_condemnation(self, verdict: CrashVerdict) -> None:
        fingerprint = verdict.fingerprint
        if verdict.crashes <= self._told.get(fingerprint, 0):
            return
        if fingerprint not in self._told and len(self._told) >= MAX_VERDICTS:
            del self._told[next(iter(self._told))]
        self._told[fingerprint] = verdict.crashes
        self._update_states((fingerprint,))

    def _update_states(self, fingerprints: Iterable[str]) -> None:
        """Count the crashes of requests again, and condemn those with enough."""
        condemned = [f for f in fingerprints if self._update_state(f)]
        if condemned:
            self._on_verdicts_changed()

    def _update_state(self, fingerprint: str) -> bool:
        """Count the crashes of a request; return whether it was condemned for them."""
        found = [evidence.find(fingerprint) for evidence in self._hosts.values()]
        suspects = [s for s in (self._own.get(fingerprint), *found) if s is not None]
        told = self._told.get(fingerprint, 0)
        crashes = max(told, sum(suspect.crashes for suspect in suspects))
        repeated = told > 0 or any(suspect.repeated for suspect in suspects)
        if not crashes:
            self._states.pop(fingerprint, None)
            self._condemned.discard(fingerprint)
            return False
        now = self._clock.monotonic()
        state = self._states.setdefault(fingerprint, _RequestState(0, False, 0.0))
        is_news = crashes > state.crashes or repeated > state.repeated
        state.crashes, state.repeated = crashes, repeated
        if not is_news:
            return False
        state.forget_at = now + EVIDENCE_TTL_S
        if crashes < CRASHES_TO_CONDEMN or not repeated:
            return False
        state.condemned_until = now + compute_condemned_time(crashes)
        self._condemned.add(fingerprint)
        _log.warning(
            "request condemned; it crashes backend servers",
            fingerprint=fingerprint,
            crashes=crashes,
            seconds=compute_condemned_time(crashes),
        )
        return True

    def _clear(self, fingerprint: str) -> None:
        self._cleared_until = {
            cleared: until
            for cleared, until in self._cleared_until.items()
            if until > self._clock.monotonic()
        }
        self._cleared_until[fingerprint] = self._clock.monotonic() + CLEARANCE_TTL_S
        self._forget(fingerprint)

    def _forget(self, fingerprint: str) -> None:
        self._states.pop(fingerprint, None)
        self._condemned.discard(fingerprint)
        self._told.pop(fingerprint, None)
        for evidence in self._hosts.values():
            evidence.forget(fingerprint)
        if self._own.pop(fingerprint, None) is not None:
            self._on_suspects_changed()

    def _forget_expired(self) -> None:
        now = self._clock.monotonic()
        for fingerprint, state in tuple(self._states.items()):
            if now >= state.forget_at:
                self._forget(fingerprint)


def compute_condemned_time(crashes: int) -> float:
    """Return the seconds for which a request is refused after so many crashes."""
    doublings = min(crashes - CRASHES_TO_CONDEMN, 10)
    return min(MAX_CONDEMNED_S, CONDEMNED_S * 2**doublings)
