"""Load of backend servers elsewhere, as their hosts last reported it."""

from __future__ import annotations

from dataclasses import dataclass

# A report loses half of its weight in this time. Queues hold about two service
# times, so a backlog that was reported a second ago has mostly been served.
REPORT_HALF_LIFE_SECONDS = 1.0
# A slow server stays slow for longer than a queue stays long. With the half-life
# of the queue, each daemon tried it with calls every three seconds.
SERVICE_TIME_HALF_LIFE_SECONDS = 3.0
MAX_ENTRIES = 1024


@dataclass(slots=True)
class Occupancy:
    """What is known of the load of one backend server.

    Parameters
    ----------
    slots, in_use, queued, service_time, queued_by_rank
        As last reported; ``slots`` is 0 before the first report.
    reported_at
        Monotonic seconds of the report.
    in_flight
        Own calls that have no reply yet.
    since_report
        Own calls started after the report, which it cannot count.
    """

    slots: int = 0
    in_use: int = 0
    queued: int = 0
    service_time: float = 0.0
    queued_by_rank: tuple[int, ...] = ()
    reported_at: float = 0.0
    in_flight: int = 0
    started_since_report: int = 0

    def weight(
        self, now: float, *, half_life: float = REPORT_HALF_LIFE_SECONDS
    ) -> float:
        """Return the weight of the report by its age, 1 when new."""
        return 0.5 ** (max(0.0, now - self.reported_at) / half_life)

    def reported_calls(self, rank: int | None) -> int:
        """Return the calls that the report has ahead of a call of a rank."""
        queued = self.queued
        if rank is not None and self.queued_by_rank:
            queued = sum(self.queued_by_rank[: rank + 1])
        return self.in_use + queued

    def calls(
        self, now: float, *, rank: int | None = None, usual: float = 0.0
    ) -> float:
        """Return the calls expected to be running or waiting there.

        Parameters
        ----------
        rank
            Rank of the priority of a call that overtakes those behind it; with
            None it overtakes none.
        usual
            Calls to expect where a report is too old to tell.
        """
        weight = self.weight(now)
        reported = self.reported_calls(rank) * weight + usual * (1.0 - weight)
        return max(reported + self.started_since_report, float(self.in_flight))


class OccupancyTable:
    """The last report of each backend server that this daemon used."""

    def __init__(self) -> None:
        self._entries: dict[str, Occupancy] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, backend: str) -> Occupancy | None:
        """Return what is known of a backend server, or None."""
        return self._entries.get(backend)

    def start(self, backend: str) -> None:
        """Count an own call that leaves for a backend server."""
        entry = self._entries.get(backend)
        if entry is None:
            self._evict_oldest_entry()
            entry = self._entries[backend] = Occupancy()
        entry.in_flight += 1
        entry.started_since_report += 1

    def finish(self, backend: str) -> None:
        """Count an own call as over."""
        entry = self._entries.get(backend)
        if entry is not None:
            entry.in_flight = max(0, entry.in_flight - 1)
            entry.started_since_report = min(
                entry.started_since_report, entry.in_flight
            )

    def report(
        self,
        backend: str,
        *,
        slots: int,
        in_use: int,
        queued: int,
        service_time: float,
        now: float,
        queued_by_rank: tuple[int, ...] = (),
    ) -> None:
        """Take over the load that the backend server's own host reports."""
        entry = self._entries.get(backend)
        if entry is None:
            self._evict_oldest_entry()
            entry = self._entries[backend] = Occupancy()
        entry.slots, entry.in_use, entry.queued = slots, in_use, queued
        entry.service_time = service_time
        entry.queued_by_rank = queued_by_rank
        entry.reported_at = now
        entry.started_since_report = 0

    def _evict_oldest_entry(self) -> None:
        if len(self._entries) < MAX_ENTRIES:
            return
        unused = (name for name, entry in self._entries.items() if not entry.in_flight)
        oldest = min(
            unused, key=lambda name: self._entries[name].reported_at, default=None
        )
        if oldest is not None:
            del self._entries[oldest]
