"""Load of backend servers, as last reported by the daemons on their hosts."""

from __future__ import annotations

from dataclasses import dataclass

# Time in which the weight of a report halves. Queues hold about two service times
# of work, so a backlog reported a second ago has mostly been served.
REPORT_HALF_LIFE_SECONDS = 1.0
# Time in which the weight of a reported service time halves. Longer than for queue
# lengths, because slow servers stay slow for longer than queues stay long. With the
# same half-life for both, each daemon would try a slow server every three seconds.
SERVICE_TIME_HALF_LIFE_SECONDS = 3.0
# Bound on the backend servers tracked; the entry with the oldest report is evicted.
MAX_ENTRIES = 1024


@dataclass(slots=True)
class Occupancy:
    """Last known load of one backend server.

    Parameters
    ----------
    slots, in_use, queued, service_time, queued_by_rank, run_time_factor, link_wait,
    demand
        As in `Load`, from the last report; ``slots`` is 0 before the first report.
    reported_at
        Monotonic time of the report in seconds.
    in_flight
        Calls of this daemon that have no reply yet.
    started_since_report
        Calls that this daemon started after the report, which cannot count them.
    """

    slots: int = 0
    in_use: int = 0
    queued: int = 0
    service_time: float = 0.0
    queued_by_rank: tuple[int, ...] = ()
    reported_at: float = 0.0
    in_flight: int = 0
    started_since_report: int = 0
    run_time_factor: float = 1.0
    link_wait: float = 0.0
    demand: float = -1.0

    @property
    def usual_service_time(self) -> float:
        """Service time in seconds without what slows the host down at the moment."""
        return self.service_time / self.run_time_factor

    def weight(
        self, now: float, *, half_life: float = REPORT_HALF_LIFE_SECONDS
    ) -> float:
        """Return the weight of the report, which decays from 1 as the report ages.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        half_life
            Time in seconds in which the weight halves.
        """
        return 0.5 ** (max(0.0, now - self.reported_at) / half_life)

    def reported_calls(self, rank: int | None) -> int:
        """Return the reported number of calls that are served before a new call.

        Parameters
        ----------
        rank
            Priority rank of the new call; with None, all queued calls count.
        """
        queued = self.queued
        if rank is not None and self.queued_by_rank:
            queued = sum(self.queued_by_rank[: rank + 1])
        return self.in_use + queued

    def calls(
        self, now: float, *, rank: int | None = None, typical_calls: float = 0.0
    ) -> float:
        """Estimate the number of calls running or queued at the backend server.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        rank
            Priority rank of a new call; queued calls that it would overtake are
            left out. With None, all queued calls count.
        usual
            Typical number of calls, which replaces the report as its weight decays.
        """
        weight = self.weight(now)
        reported = self.reported_calls(rank) * weight + typical_calls * (1.0 - weight)
        return max(reported + self.started_since_report, float(self.in_flight))


class OccupancyTable:
    """Last known load of each backend server that this daemon has used."""

    def __init__(self) -> None:
        self._entries: dict[str, Occupancy] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, backend: str) -> Occupancy | None:
        """Return the last known load of a backend server, or None."""
        return self._entries.get(backend)

    def start(self, backend: str) -> None:
        """Count a call that this daemon sends to a backend server."""
        entry = self._entries.get(backend)
        if entry is None:
            self._evict_oldest_entry()
            entry = self._entries[backend] = Occupancy()
        entry.in_flight += 1
        entry.started_since_report += 1

    def finish(self, backend: str) -> None:
        """Count a call of this daemon as finished."""
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
        run_time_factor: float = 1.0,
        link_wait: float = 0.0,
        demand: float = -1.0,
    ) -> None:
        """Store the load that the daemon on the backend server's host reports."""
        entry = self._entries.get(backend)
        if entry is None:
            self._evict_oldest_entry()
            entry = self._entries[backend] = Occupancy()
        entry.slots, entry.in_use, entry.queued = slots, in_use, queued
        entry.service_time = service_time
        entry.queued_by_rank = queued_by_rank
        entry.demand = demand
        entry.run_time_factor = run_time_factor if run_time_factor > 0 else 1.0
        entry.link_wait = link_wait
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
