"""Load balancing by expected response time and cost of the network transfer.

Designed for demand near the capacity of the fleet: backend servers differ in speed
and distance, some become slow, shed load or fail for a few seconds, and many daemons
choose concurrently from load reports that are some calls old. Used by the daemon for
hosting platforms; the daemon for clusters with an etcd store uses `LeastOccupied`.
"""

from __future__ import annotations

import contextlib
import random as random_module
from collections import Counter
from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import dataclass
from statistics import median_low

from almondrouter.clock import Clock
from almondrouter.coordination.callexplanation import (
    CandidateCost,
    keep_random_state,
)
from almondrouter.coordination.routing import Demand, OccupancyPolicy
from almondrouter.coordination.spillover import Spillover
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
"""Round-trip times to another data centre of the region and to another region."""
SAME_DATA_CENTRE_S_PER_MB = 0.5
SAME_REGION_S_PER_MB = 1.0
OTHER_REGION_S_PER_MB = 4.0
"""Cost of sending one megabyte of body, in seconds of additional waiting. It stands
for the transfer time on a slow link and for the price of traffic over distance."""
MAX_REMOTE_BODY_BYTES = 32_768
"""Longest body that is sent to another region while a backend server in the local
region can be reached; traffic between regions for a longer one costs more than the
request is worth."""
SAME_REGION_RESPONSE_COST_SHARE = 0.03
OTHER_REGION_RESPONSE_COST_SHARE = 0.2
"""Cost of the response's transfer, as a share of the target latency, unless the
responses of the route are known to be long. The two shares are in proportion to the
price of traffic."""
SAME_REGION_EXTRA_WAIT_S = 0.02
OTHER_REGION_EXTRA_WAIT_S = 0.08
"""Seconds that a call may wait beyond the estimate before another destination is
tried; the round trip of a second attempt has to pay off."""
LONG_RESPONSE_EXTRA_WAIT_S = 0.1
"""The same for calls with long responses. A single response changes the wait for a slow
link by that much, which another destination would change again soon."""
NESTED_DISTANCE_FACTOR = 2.0
"""Factor on the round trip of nested calls, during which the parent request holds a
slot on its own backend server."""
FAST_RUN_TIME_WEIGHT = 0.3
"""Weight of the part of a run time that is below `FAST_RUN_TIME_SHARE`: being faster
than the target latency requires does not justify a longer network path."""
FAST_RUN_TIME_SHARE = 0.5
"""Share of the target latency up to which a run time counts as fast."""
OCCUPANCY_COST_S = 0.01
"""Cost in seconds of one running or waiting request per slot; an idle backend server
costs 0."""
FAILURE_WEIGHT = 0.15
"""Weight of the newest result in the moving failure rate."""
FAILURE_HALF_LIFE_S = 2.0
"""Half-life of the failure rate; the decay lets failed backend servers get calls
again."""
REFUSAL_EXCLUSION_S = 1.0
"""Seconds for which a destination is excluded after its daemon replied that the
backend server accepts no work. The host record says so as well, but may arrive
late."""
SAMPLES_PER_TIER = 2
"""Random candidates that are compared at each distance; sampling prevents daemons
with the same outdated report from all choosing the same backend server."""
MIN_REPORT_WEIGHT = 0.5
"""Lower bound on the total weight of the reports in the average occupancy; a few
outdated reports then cannot dominate it."""
BASELINE_TTL_S = 0.1
"""Seconds for which the baseline of a service is cached."""


@dataclass(frozen=True, slots=True)
class _Baseline:
    """Load to assume for a backend server that has no recent report.

    Parameters
    ----------
    destinations
        The backend servers of the service.
    service_time
        Median seconds that a request usually runs.
    occupancy
        Average number of running and waiting requests per slot.
    until
        Monotonic seconds at which the cached values expire.
    link_wait
        Average wait for the link of a host, in seconds.
    """

    destinations: Sequence[Destination]
    service_time: float
    occupancy: float
    until: float
    link_wait: float = 0.0


@dataclass(frozen=True, slots=True)
class _Estimate:
    """Estimated load that a call meets at a destination.

    Parameters
    ----------
    wait, run_time
        Seconds until a slot is free, and seconds that the call then runs.
    occupancy
        Running and waiting requests per slot.
    link_wait
        Seconds for which a long response then waits for the link of the host.
    """

    wait: float
    run_time: float
    occupancy: float
    link_wait: float = 0.0

    @property
    def response_after(self) -> float:
        """Seconds until the response."""
        return self.wait + self.run_time + self.link_wait


@dataclass(slots=True)
class _FailureRate:
    """Moving failure rate of one backend server, which decays over time."""

    share: float = 0.0
    updated_at: float = 0.0

    def decayed_share(self, now: float) -> float:
        return self.share * 0.5 ** ((now - self.updated_at) / FAILURE_HALF_LIFE_S)

    def record(self, failed: bool, now: float) -> None:
        share = self.decayed_share(now)
        self.share = share + FAILURE_WEIGHT * (float(failed) - share)
        self.updated_at = now


class LowestCostPolicy(OccupancyPolicy):
    """Chooses the destination with the lowest cost, expressed in seconds.

    The cost is the sum of the network distance and transfer, the expected wait and
    run time, the occupancy, and the recent failure rate. At each distance only
    `SAMPLES_PER_TIER` random candidates are compared.

    Parameters
    ----------
    host, data_centre, region
        Where this daemon runs.
    occupancy
        Load reports, and the calls of this daemon in flight.
    random
        Source of the random samples.
    clock
        Clock for the times of reports and results.
    is_reachable
        Returns whether the daemon beside a destination currently responds.
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
        self._failure_rates: dict[str, _FailureRate] = {}
        self._excluded_until: dict[str, float] = {}
        self._baselines: dict[tuple[str, int], _Baseline] = {}
        self._last_baseline = _Baseline((), 0.0, 0.0, 0.0)
        self._spillover = Spillover(
            data_centre=data_centre,
            region=region,
            occupancy=occupancy,
            random=random,
            is_reachable=is_reachable,
        )
        self.choices: Counter[tuple[str, str]] = Counter()
        """Chosen destinations by service and by what the calls leave to reach them."""

    def choose(  # noqa: D102
        self,
        destinations: Sequence[Destination],
        *,
        now: float,
        excluded: Collection[str] = (),
        priority: Priority | None = None,
        demand: Demand | None = None,
    ) -> Destination | None:
        candidates = self._list_candidates(destinations, now, excluded, demand)
        demand = demand or Demand(0, nested=False, target_latency=0.0, rank=0)
        baseline = self._last_baseline = self._get_baseline(
            destinations, demand.rank, now
        )
        sent_to = self._spillover.draw(destinations, demand, now)
        best = None
        if sent_to:
            there = [d for d in candidates if d.data_centre == sent_to]
            best = self._choose_lowest(there, demand, baseline, now, in_time=True)
        if best is None:
            best = self._choose_lowest(
                candidates, demand, baseline, now, in_time=bool(excluded)
            )
        if best is not None:
            self._spillover.record_choice(best, demand)
            self.choices[demand.service, self._describe_distance(best)] += 1
        return best

    def _list_candidates(
        self,
        destinations: Sequence[Destination],
        now: float,
        excluded: Collection[str],
        demand: Demand | None,
    ) -> list[Destination]:
        remaining = [
            d
            for d in destinations
            if d.backend not in excluded and now >= self._get_excluded_until(d)
        ]
        candidates = [d for d in remaining if self._is_reachable(d)] or remaining
        if demand is not None and demand.body_bytes > MAX_REMOTE_BODY_BYTES:
            candidates = self._keep_in_region(candidates, destinations)
        return candidates

    @contextlib.contextmanager
    def preview(self) -> Iterator[None]:  # noqa: D102
        baselines, last = dict(self._baselines), self._last_baseline
        choices = self.choices.copy()
        try:
            with keep_random_state(self._random), self._spillover.preview():
                yield
        finally:
            self._baselines, self._last_baseline = baselines, last
            # The metrics hold the counter itself.
            self.choices.clear()
            self.choices.update(choices)

    def list_costs(
        self,
        known: Sequence[Destination],
        choices: Sequence[Sequence[Destination]],
        demand: Demand,
        *,
        now: float,
    ) -> list[CandidateCost]:
        """Return the costs that `choose` compares, without its choice.

        Parameters
        ----------
        known
            Destinations to list.
        choices
            Groups of those that may get the request.
        """
        costs: dict[str, CandidateCost] = {}
        with self.preview():
            for members in choices:
                baseline = self._get_baseline(members, demand.rank, now)
                kept = self._list_candidates(members, now, (), demand)
                for found in members:
                    reasons = () if found in kept else self._list_reasons(found, now)
                    costs[found.backend] = self._describe_cost(
                        found, demand, baseline, now, reasons
                    )
            baseline = self._get_baseline(known, demand.rank, now)
        for found in known:
            if found.backend not in costs:
                reasons = ("left out by a roll-out",)
                costs[found.backend] = self._describe_cost(
                    found, demand, baseline, now, reasons
                )
        return list(costs.values())

    def _list_reasons(self, destination: Destination, now: float) -> tuple[str, ...]:
        """Return why `_list_candidates` has dropped a destination."""
        reasons = []
        if now < self._get_excluded_until(destination):
            reasons.append("recently refused")
        if not self._is_reachable(destination):
            reasons.append("not reachable")
        return tuple(reasons) or ("body too long for another region",)

    def _describe_cost(
        self,
        destination: Destination,
        demand: Demand,
        baseline: _Baseline,
        now: float,
        reasons: tuple[str, ...],
    ) -> CandidateCost:
        distance = self._compute_distance_cost(destination, demand)
        load_cost, _, parts = self._compute_load_cost(
            destination, demand, baseline, now
        )
        return CandidateCost(
            destination.backend,
            destination.host,
            destination.data_centre,
            distance,
            *parts,
            distance + load_cost,
            reasons,
        )

    def _choose_lowest(
        self,
        candidates: Sequence[Destination],
        demand: Demand,
        baseline: _Baseline,
        now: float,
        *,
        in_time: bool,
    ) -> Destination | None:
        """Return the candidate with the lowest cost of a sample.

        Parameters
        ----------
        in_time
            Whether a response has to be expected in time.
        """
        tiers: dict[float, list[Destination]] = {}
        for destination in candidates:
            distance = self._compute_distance_cost(destination, demand)
            tiers.setdefault(distance, []).append(destination)
        best, best_cost = None, 0.0
        for distance, members in tiers.items():
            for candidate in self._sample_candidates(members):
                load_cost, response_after, _ = self._compute_load_cost(
                    candidate, demand, baseline, now
                )
                if in_time and response_after > demand.time_left:
                    # The first attempt may show that a report was outdated. Later
                    # attempts are made only where a response in time is expected;
                    # others would transfer the request just to be refused.
                    continue
                if best is None or distance + load_cost < best_cost:
                    best, best_cost = candidate, distance + load_cost
        return best

    def find_max_wait(  # noqa: D102
        self, destination: Destination, *, now: float, demand: Demand
    ) -> float | None:
        estimate = self._estimate_load(destination, demand, self._last_baseline, now)
        extra_wait = LONG_RESPONSE_EXTRA_WAIT_S if demand.response_bytes else 0.0
        if destination.region == self._region:
            extra_wait = max(extra_wait, SAME_REGION_EXTRA_WAIT_S)
        else:
            extra_wait = max(extra_wait, OTHER_REGION_EXTRA_WAIT_S)
        return estimate.wait + estimate.link_wait + extra_wait

    def find_demand_weight(  # noqa: D102
        self, destination: Destination, demand: Demand
    ) -> float:
        return self._spillover.find_weight(destination, demand)

    def _describe_distance(self, destination: Destination) -> str:
        if destination.data_centre == self._data_centre:
            return "none"
        return "data_centre" if destination.region == self._region else "region"

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
        if outcome is Outcome.NOT_RUN and not failed:
            if load is None and self._is_reachable(destination):
                self._excluded_until[destination.backend] = now + REFUSAL_EXCLUSION_S
            return
        if outcome is None:
            return
        self._excluded_until.pop(destination.backend, None)
        self._record_result(
            destination.backend, failed or outcome is Outcome.UNKNOWN, now
        )

    def _record_result(self, backend: str, failed: bool, now: float) -> None:
        failure_rate = self._failure_rates.get(backend)
        if failure_rate is None:
            if not failed:
                return
            if len(self._failure_rates) >= MAX_ENTRIES:
                # The oldest entry most likely belongs to a removed backend server.
                del self._failure_rates[next(iter(self._failure_rates))]
            failure_rate = self._failure_rates[backend] = _FailureRate(updated_at=now)
        failure_rate.record(failed, now)

    def _keep_in_region(
        self, candidates: list[Destination], destinations: Sequence[Destination]
    ) -> list[Destination]:
        """Drop other regions if a backend server in the local region can be reached."""
        in_region = [d for d in destinations if d.region == self._region]
        if any(self._is_reachable(d) for d in in_region):
            return [d for d in candidates if d.region == self._region]
        return candidates

    def _get_excluded_until(self, destination: Destination) -> float:
        return self._excluded_until.get(destination.backend, 0.0)

    def _sample_candidates(self, members: list[Destination]) -> list[Destination]:
        if len(members) <= SAMPLES_PER_TIER:
            return members
        return self._random.sample(members, SAMPLES_PER_TIER)

    def _compute_distance_cost(self, destination: Destination, demand: Demand) -> float:
        megabytes = (demand.body_bytes + demand.response_bytes) / 1e6
        if destination.host == self._host:
            return 0.0
        if destination.data_centre == self._data_centre:
            return SAME_DATA_CENTRE_S_PER_MB * megabytes
        if destination.region == self._region:
            delay = SAME_REGION_ROUND_TRIP_S
            price = SAME_REGION_S_PER_MB * megabytes
            share = SAME_REGION_RESPONSE_COST_SHARE
        else:
            delay = OTHER_REGION_ROUND_TRIP_S
            price = OTHER_REGION_S_PER_MB * megabytes
            share = OTHER_REGION_RESPONSE_COST_SHARE
        if not demand.response_bytes:
            price += share * demand.target_latency
        return delay * (NESTED_DISTANCE_FACTOR if demand.nested else 1.0) + price

    def _get_baseline(
        self, destinations: Sequence[Destination], rank: int, now: float
    ) -> _Baseline:
        key = (destinations[0].backend if destinations else "", rank)
        known = self._baselines.get(key)
        if known and known.destinations is destinations and now < known.until:
            return known
        if len(self._baselines) >= MAX_ENTRIES:
            self._baselines.clear()
        baseline = self._baselines[key] = self._compute_baseline(
            destinations, rank, now
        )
        return baseline

    def _compute_baseline(
        self, destinations: Sequence[Destination], rank: int, now: float
    ) -> _Baseline:
        found = [self._occupancy.find(d.backend) for d in destinations]
        entries = [entry for entry in found if entry and entry.slots]
        times = [entry.usual_service_time for entry in entries]
        weights = [entry.weight(now) for entry in entries]
        calls = sum(
            weight * entry.reported_calls(rank) / entry.slots
            for weight, entry in zip(weights, entries, strict=True)
        )
        link_waits = sum(
            weight * entry.link_wait
            for weight, entry in zip(weights, entries, strict=True)
        )
        return _Baseline(
            destinations,
            median_low(times) if times else 0.0,
            calls / max(sum(weights), MIN_REPORT_WEIGHT),
            now + BASELINE_TTL_S,
            link_waits / max(sum(weights), MIN_REPORT_WEIGHT),
        )

    def _compute_load_cost(
        self, destination: Destination, demand: Demand, baseline: _Baseline, now: float
    ) -> tuple[float, float, tuple[float, float, float, float]]:
        """Return the cost of a destination's load, and the seconds until a response.

        The parts of the cost follow: wait, run time, occupancy and failures.
        """
        failures = 0.0
        failure_rate = self._failure_rates.get(destination.backend)
        if failure_rate is not None:
            failures = failure_rate.decayed_share(now) * demand.target_latency
        estimate = self._estimate_load(destination, demand, baseline, now)
        # A wait for the link costs like a run time: a longer network path fills more
        # links, which does not pay while the response is on time anyway.
        run_time = compute_run_time_cost(
            estimate.run_time + estimate.link_wait, demand.target_latency
        )
        occupancy = OCCUPANCY_COST_S * estimate.occupancy
        return (
            failures + (estimate.wait + run_time + occupancy),
            estimate.response_after,
            (estimate.wait, run_time, occupancy, failures),
        )

    def _estimate_load(
        self, destination: Destination, demand: Demand, baseline: _Baseline, now: float
    ) -> _Estimate:
        entry = self._occupancy.find(destination.backend)
        if entry is None:
            entry = Occupancy(reported_at=float("-inf"))
        slots = entry.slots or destination.slots
        weight = entry.weight(now, half_life=SERVICE_TIME_HALF_LIFE_SECONDS)
        seconds = baseline.service_time
        run_time = seconds + weight * (entry.usual_service_time - seconds)
        run_time *= 1.0 + weight * (entry.run_time_factor - 1.0)
        baseline_calls = baseline.occupancy * slots
        calls = entry.calls(now, rank=demand.rank, typical_calls=baseline_calls)
        wait = max(0.0, calls + 1 - slots) * run_time / slots
        link_wait = 0.0
        if demand.response_bytes:
            # The link carries other responses while the request runs.
            weight = entry.weight(now)
            link_wait = baseline.link_wait + weight * (
                entry.link_wait - baseline.link_wait
            )
            link_wait = max(0.0, link_wait - run_time)
        return _Estimate(wait, run_time, calls / slots, link_wait)


def compute_run_time_cost(seconds: float, target_latency: float) -> float:
    """Return the cost of a run time; its fast part counts less."""
    fast_part = min(seconds, FAST_RUN_TIME_SHARE * target_latency)
    return FAST_RUN_TIME_WEIGHT * fast_part + seconds - fast_part
