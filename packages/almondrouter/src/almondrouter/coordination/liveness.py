"""Failure detector: turns missed heartbeats into suspect and dead records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from almondrouter.clock import Clock
from almondrouter.state.registry import HostRecord, HostStatus

MISSES_BEFORE_SUSPECT = 3
SUSPICION_TIMEOUT_SECONDS = 3.0
# A host that receives nothing is more likely isolated than the only one alive, so it
# waits longer before it declares others dead.
ISOLATED_SUSPICION_TIMEOUT_SECONDS = 10.0
ISOLATED_AFTER_SECONDS = 2.5
# A host that refutes a suspicion while heartbeats to it still fail is alive behind a
# broken link; suspecting it again every 3 s would spread two records each time.
INITIAL_BACKOFF_SECONDS = 10.0
MAX_BACKOFF_SECONDS = 160.0


@dataclass(slots=True)
class _HostState:
    """State of one monitored host.

    Parameters
    ----------
    misses
        Heartbeats without a reply since the last reply.
    suspect_numbers, suspect_since
        Incarnation and sequence of the suspect record, and the monotonic time in
        seconds since which it is suspect.
    own_suspicion
        Incarnation and sequence at which this detector last suspected the host.
    backoff, next_suspicion_at
        Seconds of the next backoff, and the monotonic time in seconds before which
        the host is not suspected again.
    """

    misses: int = 0
    suspect_numbers: tuple[int, int] | None = None
    suspect_since: float = 0.0
    own_suspicion: tuple[int, int] | None = None
    backoff: float = INITIAL_BACKOFF_SECONDS
    next_suspicion_at: float = 0.0


class FailureDetector:
    """Finds monitored hosts that do not reply, and declares them suspect, then dead.

    Parameters
    ----------
    clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, _HostState] = {}
        self._last_contact_at = clock.monotonic()

    @property
    def isolated(self) -> bool:
        """Whether no message has arrived for `ISOLATED_AFTER_SECONDS`."""
        return self._clock.monotonic() - self._last_contact_at > ISOLATED_AFTER_SECONDS

    def is_silent(self, host: str) -> bool:
        """Return whether the last heartbeat to a host got no reply."""
        state = self._states.get(host)
        return state is not None and state.misses > 0

    def reset(self) -> None:
        """Clear all misses after this process was frozen."""
        self._states.clear()
        self._last_contact_at = self._clock.monotonic()

    def record_contact(self) -> None:
        """Record that a message from any other daemon has arrived."""
        self._last_contact_at = self._clock.monotonic()

    def record_reply(self, host: str) -> None:
        """Record that a monitored host has replied to a heartbeat."""
        self.record_contact()
        self._states.pop(host, None)

    def record_miss(self, host: str) -> None:
        """Record that a monitored host has not replied in time."""
        self._states.setdefault(host, _HostState()).misses += 1

    def detect_failures(self, monitored: Iterable[HostRecord]) -> list[HostRecord]:
        """Return the hosts to declare suspect or dead, as records with that status."""
        hosts = {record.host: record for record in monitored}
        for host in self._states.keys() - hosts.keys():
            del self._states[host]
        failed = []
        for host, state in self._states.items():
            status = self._determine_new_status(hosts[host], state)
            if status is not None:
                failed.append(msgspec.structs.replace(hosts[host], status=status))
        return failed

    def _determine_new_status(
        self, record: HostRecord, state: _HostState
    ) -> HostStatus | None:
        now = self._clock.monotonic()
        numbers = (record.incarnation, record.sequence)
        if record.status is HostStatus.SUSPECT:
            if state.suspect_numbers != numbers:
                state.suspect_numbers, state.suspect_since = numbers, now
            timeout = (
                ISOLATED_SUSPICION_TIMEOUT_SECONDS
                if self.isolated
                else SUSPICION_TIMEOUT_SECONDS
            )
            expired = state.misses and now - state.suspect_since >= timeout
            return HostStatus.DEAD if expired else None
        if state.own_suspicion is not None and state.own_suspicion < numbers:
            state.own_suspicion = None
            state.misses = 0
            state.next_suspicion_at = now + state.backoff
            state.backoff = min(2 * state.backoff, MAX_BACKOFF_SECONDS)
        if state.misses < MISSES_BEFORE_SUSPECT or now < state.next_suspicion_at:
            return None
        state.own_suspicion = state.suspect_numbers = numbers
        state.suspect_since = now
        return HostStatus.SUSPECT
