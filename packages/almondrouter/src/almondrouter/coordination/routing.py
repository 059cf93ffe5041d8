"""Choice of the backend server for a call."""

from __future__ import annotations

import random as random_module
from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from dataclasses import dataclass
from statistics import median_low

from almondrouter.clock import Clock, SystemClock
from almondrouter.coordination.outliers import Standing
from almondrouter.protocol.calls import Load
from almondrouter.protocol.headers import Outcome
from almondrouter.state.occupancy import (
    MAX_ENTRIES,
    SERVICE_TIME_HALF_LIFE_SECONDS,
    OccupancyTable,
)
from almondrouter.state.snapshot import Destination
from almondrouter.state.targets import Priority

REGION_ROUND_TRIP_SECONDS = 0.001
REMOTE_ROUND_TRIP_SECONDS = 0.020
# Smoothed service times of healthy backend servers differ by about a quarter.
SLOW_FACTOR = 2.0
# With more excluded than this, failures are not the fault of single servers.
MAX_EXCLUDED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Demand:
    """What a call asks of its destination.

    Parameters
    ----------
    body_bytes
        Length of the body that has to get there.
    nested
        Whether another request holds a slot until the call is answered.
    target_latency
        Seconds within which an answer is of full use.
    rank
        Rank of the route; 0 is served first.
    time_left
        Seconds for which an answer is still of full use.
    """

    body_bytes: int
    nested: bool
    target_latency: float
    rank: int
    time_left: float = float("inf")


class ChoicePolicy(ABC):
    """Chooses a destination for each call and learns from the results."""

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
        """Return where to send a call, or None if nothing is left.

        Parameters
        ----------
        destinations
            Destinations of the route.
        now
            Monotonic seconds.
        excluded
            Names of backend servers already tried for this call.
        priority
            Priority of the call; it overtakes those that wait with a lower one.
        demand
            What the call asks for; policies that do not weigh it ignore it.
        """

    def find_max_wait(
        self, destination: Destination, *, now: float, demand: Demand
    ) -> float | None:
        """Return up to which wait a call should stay with its destination.

        Returns
        -------
        Seconds beyond which another choice is better, or None for any wait.
        """
        return None

    @abstractmethod
    def started(self, destination: Destination) -> None:
        """Count a call as sent; `finished` must follow."""

    @abstractmethod
    def finished(
        self,
        destination: Destination,
        *,
        outcome: Outcome | None,
        load: Load | None,
        elapsed: float,
        failed: bool = False,
    ) -> None:
        """Count a call as over.

        Parameters
        ----------
        outcome
            What became of the call; None if its caller gave it up, which says
            nothing about the backend server.
        load
            Load in the reply; None if there was no reply or the server is gone.
            ``NOT_RUN`` without load means that the server cannot be reached.
        elapsed
            Seconds since `started`.
        failed
            Whether a complete response was an error of the backend server.
        """


class RoundRobin(ChoicePolicy):
    """Takes the destinations in turn; the baseline of the measurements."""

    def __init__(self) -> None:
        self._turn = 0

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
        self._turn += 1
        return usable[self._turn % len(usable)]

    def started(self, destination: Destination) -> None:  # noqa: D102
        pass

    def finished(  # noqa: D102
        self,
        destination: Destination,
        *,
        outcome: Outcome | None,
        load: Load | None,
        elapsed: float,
        failed: bool = False,
    ) -> None:
        pass


class OccupancyPolicy(ChoicePolicy):
    """Keeps count of own calls and of the load that replies report.

    Parameters
    ----------
    occupancy
        Load reports and own calls in flight.
    clock
        Clock that the results of calls are dated with.
    """

    def __init__(self, occupancy: OccupancyTable, clock: Clock) -> None:
        self._occupancy = occupancy
        self._clock = clock

    def started(self, destination: Destination) -> None:  # noqa: D102
        self._occupancy.start(destination.backend)

    def _take_report(self, destination: Destination, load: Load | None) -> float:
        """Take over a reply's load; return the time that it is dated with."""
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
            )
        return now


class LeastOccupied(OccupancyPolicy):
    """Takes the lower expected wait of two random choices, near ones first.

    Two destinations are drawn at random in the own data centre, two elsewhere
    in the region and two in other regions. Those further away carry their extra
    round trip, so they are taken only if they save more wait than that. Drawing
    two keeps daemons with the same stale report from choosing the same server.

    Parameters
    ----------
    data_centre, region
        Where this daemon runs.
    occupancy
        Load reports and own calls in flight.
    random
        Source of the random choices.
    clock
        Clock that the results of calls are dated with.
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
        self._standings: dict[str, Standing] = {}

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
        usual = self._usual_service_time(destinations)
        rank = None if priority is None else priority.rank
        tiers: dict[float, list[Destination]] = {}
        for destination in usable:
            tiers.setdefault(self._extra_round_trip(destination), []).append(
                destination
            )
        best, best_cost = None, (0.0, 0.0)
        for extra, members in sorted(tiers.items()):
            for candidate in self._draw(members):
                wait, share = self._expected(candidate, usual, now, rank)
                cost = (wait + extra, share)
                if best is None or cost < best_cost:
                    best, best_cost = candidate, cost
        return best

    def finished(  # noqa: D102
        self,
        destination: Destination,
        *,
        outcome: Outcome | None,
        load: Load | None,
        elapsed: float,
        failed: bool = False,
    ) -> None:
        now = self._take_report(destination, load)
        if outcome is None:
            return
        unavailable = outcome is Outcome.NOT_RUN and load is None
        if failed or unavailable or outcome is Outcome.UNKNOWN:
            self._find_standing(destination.backend).record_failure(
                now, unavailable=unavailable
            )
        elif destination.backend in self._standings:
            self._record_success(destination.backend, outcome)

    def _find_standing(self, backend: str) -> Standing:
        if backend not in self._standings and len(self._standings) >= MAX_ENTRIES:
            # The oldest entry most likely belongs to a server that is gone.
            del self._standings[next(iter(self._standings))]
        return self._standings.setdefault(backend, Standing())

    def _record_success(self, backend: str, outcome: Outcome) -> None:
        # A refusal by admission shows that the daemon lives, not that the
        # backend server does.
        standing = self._standings[backend]
        if outcome is not Outcome.COMPLETE and not standing.unavailable:
            return
        standing.record_success()
        if standing.trials is None and standing.failure_share < 0.01:
            del self._standings[backend]

    def _find_usable(
        self, destinations: Sequence[Destination], now: float, excluded: Collection[str]
    ) -> list[Destination]:
        """Leave out suspects and outliers, unless too little would be left."""
        left = [d for d in destinations if d.backend not in excluded]
        reachable = [d for d in left if not d.suspect and self._reachable(d, now)]
        healthy = [d for d in reachable if self._allows(d, now)]
        if len(healthy) >= MAX_EXCLUDED_SHARE * len(reachable) and healthy:
            return healthy
        return reachable or left

    def _reachable(self, destination: Destination, now: float) -> bool:
        standing = self._standings.get(destination.backend)
        return not (
            standing and standing.unavailable and not self._allows(destination, now)
        )

    def _allows(self, destination: Destination, now: float) -> bool:
        standing = self._standings.get(destination.backend)
        if standing is None:
            return True
        entry = self._occupancy.find(destination.backend)
        return standing.allows(entry.in_flight if entry else 0, now)

    def _draw(self, members: list[Destination]) -> list[Destination]:
        return self._random.sample(members, min(2, len(members)))

    def _extra_round_trip(self, destination: Destination) -> float:
        if destination.data_centre == self._data_centre:
            return 0.0
        if destination.region == self._region:
            return REGION_ROUND_TRIP_SECONDS
        return REMOTE_ROUND_TRIP_SECONDS

    def _usual_service_time(self, destinations: Sequence[Destination]) -> float:
        entries = (self._occupancy.find(d.backend) for d in destinations)
        times = [entry.service_time for entry in entries if entry and entry.slots]
        return median_low(times) if times else 0.0

    def _expected(
        self, destination: Destination, usual: float, now: float, rank: int | None
    ) -> tuple[float, float]:
        """Return the expected wait in seconds and the share of slots in use."""
        entry = self._occupancy.find(destination.backend)
        if entry is None:
            return (0.0, 0.0)
        slots = entry.slots or destination.slots
        weight = entry.weight(now, half_life=SERVICE_TIME_HALF_LIFE_SECONDS)
        service_time = usual + weight * (entry.service_time - usual)
        calls = entry.calls(now, rank=rank)
        wait = max(0.0, calls + 1 - slots) * service_time / slots
        if service_time > SLOW_FACTOR * usual:
            wait += service_time - usual
        return (wait, calls / slots)
