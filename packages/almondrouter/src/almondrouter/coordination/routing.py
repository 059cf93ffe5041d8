"""Load balancing policies: the choice of a backend server for a call."""

from __future__ import annotations

import random as random_module
from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass
from statistics import median_low

from almondrouter.clock import Clock, SystemClock
from almondrouter.coordination.outliers import OutlierRecord
from almondrouter.protocol.calls import Load
from almondrouter.protocol.headers import Outcome
from almondrouter.state.occupancy import (
    MAX_ENTRIES,
    SERVICE_TIME_HALF_LIFE_SECONDS,
    OccupancyTable,
)
from almondrouter.state.snapshot import Destination
from almondrouter.state.targets import Priority

# Round-trip times beyond that within the data centre.
SAME_REGION_ROUND_TRIP_SECONDS = 0.001
OTHER_REGION_ROUND_TRIP_SECONDS = 0.020
# Multiple of the median service time above which a backend server counts as slow;
# smoothed service times of healthy ones differ by about a quarter.
SLOW_SERVICE_TIME_FACTOR = 2.0
# If more than this share of the destinations would be excluded, their failures most
# likely have a common cause elsewhere, and none are excluded.
MAX_EXCLUDED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Demand:
    """Requirements of a call that a policy weighs against the destinations.

    Parameters
    ----------
    body_bytes
        Length of the request body.
    nested
        Whether the call is made by a running request, which holds a slot until the
        call completes.
    target_latency
        Seconds within which the route should respond.
    rank
        Rank of the route; 0 is served first.
    time_left
        Seconds from now after which a response is no longer useful.
    response_bytes
        Expected length of the response if the route's responses are long, else 0.
    repeatable
        Whether the request is idempotent.
    is_first
        Whether the call has not been sent before.
    service
        Service that is called; empty if the call must not be moved to another data
        centre for lack of capacity.
    """

    body_bytes: int
    nested: bool
    target_latency: float
    rank: int
    time_left: float = float("inf")
    response_bytes: int = 0
    repeatable: bool = True
    is_first: bool = True
    service: str = ""


class LoadBalancingPolicy(ABC):
    """Chooses a destination for each call; results of calls guide later choices."""

    def preview(self) -> AbstractContextManager[None]:
        """Return a context at whose end the policy is as it was before its choices.

        Raises
        ------
        NotImplementedError
            If the policy cannot be asked for a choice without a call.
        """
        raise NotImplementedError

    @abstractmethod
    def choose(
        self,
        destinations: Sequence[Destination],
        *,
        now: float,
        excluded: Collection[str] = (),
        priority: Priority | None = None,
        demand: Demand | None = None,
    ) -> Destination | None:
        """Return the destination for a call, or None if none is eligible.

        Parameters
        ----------
        destinations
            Destinations of the route.
        now
            Monotonic seconds.
        excluded
            Names of backend servers already tried for this call.
        priority
            Priority of the call; it is queued ahead of calls with a lower one.
        demand
            Requirements of the call; a policy may ignore them.
        """

    def find_max_wait(
        self, destination: Destination, *, now: float, demand: Demand
    ) -> float | None:
        """Return the longest wait for a slot before a call should be sent elsewhere.

        Returns
        -------
        float or None
            Seconds, or None if the call may wait until it is refused.
        """
        return None

    def find_demand_weight(self, destination: Destination, demand: Demand) -> float:
        """Return the number of requests that a call stands for at its destination."""
        return 1.0

    @abstractmethod
    def record_start(self, destination: Destination) -> None:
        """Count a call as in flight; `record_end` must follow."""

    @abstractmethod
    def record_end(
        self,
        destination: Destination,
        *,
        outcome: Outcome | None,
        load: Load | None,
        elapsed: float,
        failed: bool = False,
    ) -> None:
        """Count a call as no longer in flight and record its result.

        Parameters
        ----------
        outcome
            Outcome of the call; None if the caller cancelled it, which says nothing
            about the backend server.
        load
            Load in the reply; None if there was no reply, or if the backend server
            accepts no work. ``NOT_RUN`` without load means that the backend server is
            unavailable.
        elapsed
            Seconds since `record_start`.
        failed
            Whether the backend server responded with an error or refused the call.
        """


class RoundRobin(LoadBalancingPolicy):
    """Cycles through the destinations; the baseline that benchmarks compare with."""

    def __init__(self) -> None:
        self._next_index = 0

    def choose(  # noqa: D102
        self,
        destinations: Sequence[Destination],
        *,
        now: float,
        excluded: Collection[str] = (),
        priority: Priority | None = None,
        demand: Demand | None = None,
    ) -> Destination | None:
        usable = [d for d in destinations if d.backend not in excluded]
        if not usable:
            return None
        self._next_index += 1
        return usable[self._next_index % len(usable)]

    def record_start(self, destination: Destination) -> None:  # noqa: D102
        pass

    def record_end(  # noqa: D102
        self,
        destination: Destination,
        *,
        outcome: Outcome | None,
        load: Load | None,
        elapsed: float,
        failed: bool = False,
    ) -> None:
        pass


class OccupancyPolicy(LoadBalancingPolicy):
    """Base of policies that track calls in flight and the load in replies.

    Parameters
    ----------
    occupancy
        Load reports, and the calls of this daemon in flight.
    clock
        Clock for the times of reports and results.
    """

    def __init__(self, occupancy: OccupancyTable, clock: Clock) -> None:
        self._occupancy = occupancy
        self._clock = clock

    def record_start(self, destination: Destination) -> None:  # noqa: D102
        self._occupancy.start(destination.backend)

    def _apply_report(self, destination: Destination, load: Load | None) -> float:
        """Store the load of a reply; return its time in monotonic seconds."""
        now = self._clock.monotonic()
        self._occupancy.finish(destination.backend)
        if load is not None:
            self._occupancy.report(
                destination.backend,
                slots=load.slots,
                in_use=load.in_use,
                queued=load.queued,
                service_time=load.service_time,
                now=now,
                queued_by_rank=load.queued_by_rank,
                run_time_factor=load.run_time_factor,
                link_wait=load.link_wait,
                demand=load.demand,
            )
        return now


class LeastOccupied(OccupancyPolicy):
    """Chooses the shortest expected wait among random candidates, near ones first.

    The candidates are two random destinations in the local data centre, two elsewhere
    in the region and two in other regions. The extra round trip is added to the wait
    of distant ones, so they are chosen only if they save more than that. The random
    choice prevents daemons with the same outdated report from all choosing the same
    backend server.

    Parameters
    ----------
    data_centre, region
        Where this daemon runs.
    occupancy
        Load reports, and the calls of this daemon in flight.
    random
        Source of the random candidates.
    clock
        Clock for the times of reports and results.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        region: str,
        occupancy: OccupancyTable,
        random: random_module.Random,
        clock: Clock | None = None,
    ) -> None:
        super().__init__(occupancy, clock or SystemClock())
        self._data_centre = data_centre
        self._region = region
        self._random = random
        self._outlier_records: dict[str, OutlierRecord] = {}

    def choose(  # noqa: D102
        self,
        destinations: Sequence[Destination],
        *,
        now: float,
        excluded: Collection[str] = (),
        priority: Priority | None = None,
        demand: Demand | None = None,
    ) -> Destination | None:
        usable = self._find_usable(destinations, now, excluded)
        typical_time = self._compute_median_service_time(destinations)
        rank = None if priority is None else priority.rank
        tiers: dict[float, list[Destination]] = {}
        for destination in usable:
            tiers.setdefault(self._get_extra_round_trip(destination), []).append(
                destination
            )
        best, best_cost = None, (0.0, 0.0)
        for extra_round_trip, members in sorted(tiers.items()):
            for candidate in self._sample_candidates(members):
                wait, share = self._estimate_wait(candidate, typical_time, now, rank)
                cost = (wait + extra_round_trip, share)
                if best is None or cost < best_cost:
                    best, best_cost = candidate, cost
        return best

    def record_end(  # noqa: D102
        self,
        destination: Destination,
        *,
        outcome: Outcome | None,
        load: Load | None,
        elapsed: float,
        failed: bool = False,
    ) -> None:
        now = self._apply_report(destination, load)
        if outcome is None:
            return
        unavailable = outcome is Outcome.NOT_RUN and load is None
        if failed or unavailable or outcome is Outcome.UNKNOWN:
            self._get_outlier_record(destination.backend).record_failure(
                now, unavailable=unavailable
            )
        elif destination.backend in self._outlier_records:
            self._record_success(destination.backend, outcome)

    def _get_outlier_record(self, backend: str) -> OutlierRecord:
        if (
            backend not in self._outlier_records
            and len(self._outlier_records) >= MAX_ENTRIES
        ):
            # The oldest entry most likely belongs to a removed backend server.
            del self._outlier_records[next(iter(self._outlier_records))]
        return self._outlier_records.setdefault(backend, OutlierRecord())

    def _record_success(self, backend: str, outcome: Outcome) -> None:
        # A refusal by the daemon's admission control shows that the daemon responds,
        # but not that the backend server does.
        record = self._outlier_records[backend]
        if outcome is not Outcome.COMPLETE and not record.unavailable:
            return
        record.record_success()
        if record.trial_successes is None and record.failure_share < 0.01:
            del self._outlier_records[backend]

    def _find_usable(
        self, destinations: Sequence[Destination], now: float, excluded: Collection[str]
    ) -> list[Destination]:
        """Drop suspect, unreachable and failing destinations unless too few remain."""
        untried = [d for d in destinations if d.backend not in excluded]
        reachable = [d for d in untried if not d.suspect and self._is_reachable(d, now)]
        healthy = [d for d in reachable if self._allows_call(d, now)]
        if len(healthy) >= MAX_EXCLUDED_SHARE * len(reachable) and healthy:
            return healthy
        return reachable or untried

    def _is_reachable(self, destination: Destination, now: float) -> bool:
        record = self._outlier_records.get(destination.backend)
        return not (
            record and record.unavailable and not self._allows_call(destination, now)
        )

    def _allows_call(self, destination: Destination, now: float) -> bool:
        record = self._outlier_records.get(destination.backend)
        if record is None:
            return True
        entry = self._occupancy.find(destination.backend)
        return record.allows_call(entry.in_flight if entry else 0, now)

    def _sample_candidates(self, members: list[Destination]) -> list[Destination]:
        return self._random.sample(members, min(2, len(members)))

    def _get_extra_round_trip(self, destination: Destination) -> float:
        if destination.data_centre == self._data_centre:
            return 0.0
        if destination.region == self._region:
            return SAME_REGION_ROUND_TRIP_SECONDS
        return OTHER_REGION_ROUND_TRIP_SECONDS

    def _compute_median_service_time(
        self, destinations: Sequence[Destination]
    ) -> float:
        entries = (self._occupancy.find(d.backend) for d in destinations)
        times = [entry.service_time for entry in entries if entry and entry.slots]
        return median_low(times) if times else 0.0

    def _estimate_wait(
        self,
        destination: Destination,
        typical_time: float,
        now: float,
        rank: int | None,
    ) -> tuple[float, float]:
        """Return the expected wait in seconds, and the calls per slot."""
        entry = self._occupancy.find(destination.backend)
        if entry is None:
            return (0.0, 0.0)
        slots = entry.slots or destination.slots
        weight = entry.weight(now, half_life=SERVICE_TIME_HALF_LIFE_SECONDS)
        service_time = typical_time + weight * (entry.service_time - typical_time)
        calls = entry.calls(now, rank=rank)
        wait = max(0.0, calls + 1 - slots) * service_time / slots
        if service_time > SLOW_SERVICE_TIME_FACTOR * typical_time:
            wait += service_time - typical_time
        return (wait, calls / slots)
