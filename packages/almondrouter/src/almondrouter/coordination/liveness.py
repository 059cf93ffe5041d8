"""Failure detector: turns missed heartbeats into suspect and dead records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from almondrouter.clock import Clock
from almondrouter.state.registry import HostRecord, HostStatus

MISSES_BEFORE_SUSPECT = 3
SUSPECT_SECONDS = 3.0
# A host that hears nobody is more likely cut off itself than the last one alive.
ISOLATED_SUSPECT_SECONDS = 10.0
ISOLATED_AFTER_SECONDS = 2.5
# A host that refutes while our heartbeats to it still fail is alive behind a
# broken link; suspecting it each 3 s would spread two records each time.
FIRST_BACKOFF_SECONDS = 10.0
MAX_BACKOFF_SECONDS = 160.0


@dataclass(slots=True)
class _Watch:
    """What is known of one monitored host.

    Parameters
    ----------
    misses
        Heartbeats without a reply since the last reply.
    suspected
        Numbers of the record that is suspect, and monotonic seconds since when.
    accused
        Sequence at which this detector last made the host suspect.
    backoff, quiet_until
        No new suspicion before ``quiet_until``, in monotonic seconds.
    """

    misses: int = 0
    suspected: tuple[int, int] | None = None
    suspected_since: float = 0.0
    accused: tuple[int, int] | None = None
    backoff: float = FIRST_BACKOFF_SECONDS
    quiet_until: float = 0.0


class FailureDetector:
    """Judges the monitored hosts.

    Parameters
    ----------
    clock
        Its monotonic time is used.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._watches: dict[str, _Watch] = {}
        self._heard_at = clock.monotonic()

    @property
    def isolated(self) -> bool:
        """Whether no other daemon has been heard for a while."""
        return self._clock.monotonic() - self._heard_at > ISOLATED_AFTER_SECONDS

    def is_silent(self, host: str) -> bool:
        """Return whether the last heartbeat to a host was not answered."""
        watch = self._watches.get(host)
        return watch is not None and watch.misses > 0

    def reset(self) -> None:
        """Forget what was missed, because this process itself stood still."""
        self._watches.clear()
        self._heard_at = self._clock.monotonic()

    def record_contact(self) -> None:
        """Take note that some other daemon was heard."""
        self._heard_at = self._clock.monotonic()

    def record_reply(self, host: str) -> None:
        """Take note that a monitored host has answered."""
        self.record_contact()
        self._watches.pop(host, None)

    def record_miss(self, host: str) -> None:
        """Take note that a monitored host has not answered in time."""
        self._watches.setdefault(host, _Watch()).misses += 1

    def judge(self, monitored: Iterable[HostRecord]) -> list[HostRecord]:
        """Return the records whose status has become worse."""
        hosts = {record.host: record for record in monitored}
        for host in self._watches.keys() - hosts.keys():
            del self._watches[host]
        worse = []
        for host, watch in self._watches.items():
            status = self._judge(hosts[host], watch)
            if status is not None:
                worse.append(msgspec.structs.replace(hosts[host], status=status))
        return worse

    def _judge(self, record: HostRecord, watch: _Watch) -> HostStatus | None:
        now = self._clock.monotonic()
        numbers = (record.incarnation, record.sequence)
        if record.status is HostStatus.SUSPECT:
            if watch.suspected != numbers:
                watch.suspected, watch.suspected_since = numbers, now
            limit = ISOLATED_SUSPECT_SECONDS if self.isolated else SUSPECT_SECONDS
            expired = watch.misses and now - watch.suspected_since >= limit
            return HostStatus.DEAD if expired else None
        if watch.accused is not None and watch.accused < numbers:
            watch.accused = None
            watch.misses = 0
            watch.quiet_until = now + watch.backoff
            watch.backoff = min(2 * watch.backoff, MAX_BACKOFF_SECONDS)
        if watch.misses < MISSES_BEFORE_SUSPECT or now < watch.quiet_until:
            return None
        watch.accused = watch.suspected = numbers
        watch.suspected_since = now
        return HostStatus.SUSPECT
