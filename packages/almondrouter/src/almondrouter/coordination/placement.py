"""Choice of the backend server by the whole time and cost that a call takes.

Load pattern: demand near the capacity of a fleet whose backend servers differ in
speed and distance, of which some turn slow, shed or fail for a few seconds, while
many daemons choose at once from reports that are some calls old.
"""

from __future__ import annotations

import random as random_module
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from statistics import median_low

from almondrouter.clock import Clock
from almondrouter.coordination.routing import Demand, OccupancyPolicy
from almondrouter.protocol.calls import Load
from almondrouter.protocol.headers import Outcome
from almondrouter.state.occupancy import (
    MAX_ENTRIES,
    SERVICE_TIME_HALF_LIFE_SECONDS,
    Occupancy,
    OccupancyTable,
)
from almondrouter.state.snapshot import Destination
from almondrouter.state.targets import Priority

SAME_REGION_ROUND_TRIP_S = 0.002
OTHER_REGION_ROUND_TRIP_S = 0.040
"""Round trips between data centres and between regions of the deployments."""
SAME_DATA_CENTRE_S_PER_MB = 0.5
SAME_REGION_S_PER_MB = 1.0
OTHER_REGION_S_PER_MB = 4.0
"""Seconds of delay that are accepted rather than moving a megabyte there: the time on
a narrow link, and what the two deployments pay for a byte."""
MAX_REMOTE_BODY_BYTES = 32_768
"""Longest body that goes to another region while the own one has a server; the bytes
of a longer one cost both deployments more than what the request is worth."""
SAME_REGION_TARGET_SHARE = 0.03
OTHER_REGION_TARGET_SHARE = 0.2
"""Shares of the target latency that are accepted as delay rather than moving an
answer there, whose length nobody knows yet; in the proportion of the price of bytes."""
SAME_REGION_PATIENCE_S = 0.02
OTHER_REGION_PATIENCE_S = 0.08
"""Seconds beyond the expected wait that are accepted rather than a second path."""
NESTED_DISTANCE_FACTOR = 2.0
"""Weight of distance for nested calls, which hold a slot elsewhere meanwhile."""
SPEED_WEIGHT = 0.3
"""Weight of a run time that leaves enough of the target; more speed than the target
asks for is not worth a longer path."""
COMFORTABLE_SHARE = 0.5
"""Share of the target latency up to which a run time leaves enough of it."""
CROWDING_S = 0.01
"""Seconds that a wholly busy backend server counts worse than an idle one."""
FAILURE_WEIGHT = 0.15
"""Weight of the newest result in the share of failures."""
FAILURE_HALF_LIFE_S = 2.0
"""Seconds after which an old failure counts half, so that each is tried again."""
REFUSED_S = 1.0
"""Seconds for which a destination is left out after its daemon said that the
backend server takes no work; its record says so too, but may be held up."""
DRAWN_PER_TIER = 2
"""Backend servers that are compared at each distance; drawing a few keeps daemons
with the same old report from choosing the same one."""
MIN_REPORT_WEIGHT = 0.5
"""Least weight of all reports; less of it tells little of a service."""
USUAL_S = 0.1
"""Seconds for which the usual load of a service is not worked out again."""


@dataclass(frozen=True, slots=True)
class _Usual:
    """What to expect of a backend server without a report that is still true.

    Parameters
    ----------
    destinations
        The backend servers of the service.
    service_time
        Seconds that a request runs.
    occupancy
        Running and waiting requests a slot.
    until
        Monotonic seconds until which it holds.
    """

    destinations: Sequence[Destination]
    service_time: float
    occupancy: float
    until: float


@dataclass(frozen=True, slots=True)
class _Expected:
    """Seconds of waiting and running, and requests a slot, that a call will meet."""

    wait: float
    run_time: float
    occupancy: float


@dataclass(slots=True)
class _Failures:
    share: float = 0.0
    updated_at: float = 0.0

    def decayed(self, now: float) -> float:
        return self.share * 0.5 ** ((now - self.updated_at) / FAILURE_HALF_LIFE_S)

    def record(self, failed: bool, now: float) -> None:
        share = self.decayed(now)
        self.share = share + FAILURE_WEIGHT * (float(failed) - share)
        self.updated_at = now


class CostPlacement(OccupancyPolicy):
    """Takes the destination with the lowest expected time and cost.

    Parameters
    ----------
    host, data_centre, region
        Where this daemon runs.
    occupancy
        Load reports and own calls in flight.
    random
        Source of the random choices.
    clock
        Clock that the results of calls are dated with.
    is_reachable
        Returns whether the daemon beside a destination answers now.
    """

    def __init__(
        self,
        *,
        host: str,
        data_centre: str,
        region: str,
        occupancy: OccupancyTable,
        random: random_module.Random,
        clock: Clock,
        is_reachable: Callable[[Destination], bool],
    ) -> None:
        super().__init__(occupancy, clock)
        self._host = host
        self._data_centre = data_centre
        self._region = region
        self._random = random
        self._is_reachable = is_reachable
        self._failures: dict[str, _Failures] = {}
        self._refusals: dict[str, float] = {}
        self._usual: dict[tuple[str, int], _Usual] = {}
        self._last_usual = _Usual((), 0.0, 0.0, 0.0)

    def choose(  # noqa: D102
        self,
        destinations: Sequence[Destination],
        *,
        now: float,
        excluded: Collection[str] = (),
        priority: Priority | None = None,
        demand: Demand | None = None,
    ) -> Destination | None:
        left = [
            d
            for d in destinations
            if d.backend not in excluded and now >= self._refused_until(d)
        ]
        usable = [d for d in left if self._is_reachable(d)] or left
        if demand is not None and demand.body_bytes > MAX_REMOTE_BODY_BYTES:
            usable = self._keep_in_region(usable, destinations)
        demand = demand or Demand(0, nested=False, target_latency=0.0, rank=0)
        usual = self._last_usual = self._find_usual(destinations, demand.rank, now)
        tiers: dict[float, list[Destination]] = {}
        for destination in usable:
            distance = self._weigh_distance(destination, demand)
            tiers.setdefault(distance, []).append(destination)
        best, best_cost = None, 0.0
        for distance, members in tiers.items():
            for candidate in self._draw(members):
                cost, answer_after = self._weigh_load(candidate, demand, usual, now)
                if excluded and answer_after > demand.time_left:
                    # The first choice may find that a report was too old; those
                    # after it would only carry the request about.
                    continue
                if best is None or distance + cost < best_cost:
                    best, best_cost = candidate, distance + cost
        return best

    def find_max_wait(  # noqa: D102
        self, destination: Destination, *, now: float, demand: Demand
    ) -> float | None:
        expected = self._expect(destination, demand, self._last_usual, now)
        if destination.region == self._region:
            return expected.wait + SAME_REGION_PATIENCE_S
        return expected.wait + OTHER_REGION_PATIENCE_S

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
        if outcome is Outcome.NOT_RUN and not failed:
            if load is None and self._is_reachable(destination):
                self._refusals[destination.backend] = now + REFUSED_S
            return
        if outcome is None:
            return
        self._refusals.pop(destination.backend, None)
        self._record(destination.backend, failed or outcome is Outcome.UNKNOWN, now)

    def _record(self, backend: str, failed: bool, now: float) -> None:
        failures = self._failures.get(backend)
        if failures is None:
            if not failed:
                return
            if len(self._failures) >= MAX_ENTRIES:
                # The oldest entry most likely belongs to a server that is gone.
                del self._failures[next(iter(self._failures))]
            failures = self._failures[backend] = _Failures(updated_at=now)
        failures.record(failed, now)

    def _keep_in_region(
        self, usable: list[Destination], destinations: Sequence[Destination]
    ) -> list[Destination]:
        """Leave other regions out if a server of the own region can be reached."""
        near = [d for d in destinations if d.region == self._region]
        if any(self._is_reachable(d) for d in near):
            return [d for d in usable if d.region == self._region]
        return usable

    def _refused_until(self, destination: Destination) -> float:
        return self._refusals.get(destination.backend, 0.0)

    def _draw(self, members: list[Destination]) -> list[Destination]:
        if len(members) <= DRAWN_PER_TIER:
            return members
        return self._random.sample(members, DRAWN_PER_TIER)

    def _weigh_distance(self, destination: Destination, demand: Demand) -> float:
        megabytes = demand.body_bytes / 1e6
        if destination.host == self._host:
            return 0.0
        if destination.data_centre == self._data_centre:
            return SAME_DATA_CENTRE_S_PER_MB * megabytes
        if destination.region == self._region:
            delay = SAME_REGION_ROUND_TRIP_S
            price = SAME_REGION_S_PER_MB * megabytes
            price += SAME_REGION_TARGET_SHARE * demand.target_latency
        else:
            delay = OTHER_REGION_ROUND_TRIP_S
            price = OTHER_REGION_S_PER_MB * megabytes
            price += OTHER_REGION_TARGET_SHARE * demand.target_latency
        return delay * (NESTED_DISTANCE_FACTOR if demand.nested else 1.0) + price

    def _find_usual(
        self, destinations: Sequence[Destination], rank: int, now: float
    ) -> _Usual:
        key = (destinations[0].backend if destinations else "", rank)
        known = self._usual.get(key)
        if known and known.destinations is destinations and now < known.until:
            return known
        if len(self._usual) >= MAX_ENTRIES:
            self._usual.clear()
        usual = self._usual[key] = self._work_out_usual(destinations, rank, now)
        return usual

    def _work_out_usual(
        self, destinations: Sequence[Destination], rank: int, now: float
    ) -> _Usual:
        found = [self._occupancy.find(d.backend) for d in destinations]
        entries = [entry for entry in found if entry and entry.slots]
        times = [entry.service_time for entry in entries]
        weights = [entry.weight(now) for entry in entries]
        calls = sum(
            weight * entry.reported_calls(rank) / entry.slots
            for weight, entry in zip(weights, entries, strict=True)
        )
        return _Usual(
            destinations,
            median_low(times) if times else 0.0,
            calls / max(sum(weights), MIN_REPORT_WEIGHT),
            now + USUAL_S,
        )

    def _weigh_load(
        self, destination: Destination, demand: Demand, usual: _Usual, now: float
    ) -> tuple[float, float]:
        """Return the cost of a load, and the seconds until an answer."""
        cost = 0.0
        failures = self._failures.get(destination.backend)
        if failures is not None:
            cost += failures.decayed(now) * demand.target_latency
        expected = self._expect(destination, demand, usual, now)
        run_time = weigh_run_time(expected.run_time, demand.target_latency)
        cost += expected.wait + run_time + CROWDING_S * expected.occupancy
        return cost, expected.wait + expected.run_time

    def _expect(
        self, destination: Destination, demand: Demand, usual: _Usual, now: float
    ) -> _Expected:
        entry = self._occupancy.find(destination.backend)
        if entry is None:
            entry = Occupancy(reported_at=float("-inf"))
        slots = entry.slots or destination.slots
        weight = entry.weight(now, half_life=SERVICE_TIME_HALF_LIFE_SECONDS)
        seconds = usual.service_time
        run_time = seconds + weight * (entry.service_time - seconds)
        usual_calls = usual.occupancy * slots
        calls = entry.calls(now, rank=demand.rank, usual=usual_calls)
        wait = max(0.0, calls + 1 - slots) * run_time / slots
        return _Expected(wait, run_time, calls / slots)


def weigh_run_time(seconds: float, target_latency: float) -> float:
    """Return what a run time counts beside distance and wait, in seconds."""
    comfortable = min(seconds, COMFORTABLE_SHARE * target_latency)
    return SPEED_WEIGHT * comfortable + seconds - comfortable
