"""Shares of the work of a service that a data centre sends to other data centres.

Each daemon beside a backend server measures the work that the callers of its own data
centre want from it, and reports it with its load (`DemandMeter`, `Load.demand`). A
daemon derives the demand and the capacity of each data centre from these reports and
from the host records, and fills the free capacity of the nearest data centres first
(`fill_capacity`). It moves calls in these proportions (`Spillover`).

A request that stays stands for those that were moved: its weight is the inverse of the
share that stays. What is measured is therefore the demand before spillover. It does not
change with the decision, so that old reports cause no oscillation, and daemons with the
same reports come to the same result without an agreement.

Used by the daemon for hosting platforms.
"""

from __future__ import annotations

import contextlib
import copy
import math
import random as random_module
from collections import Counter
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from almondrouter.clock import Clock
from almondrouter.coordination.routing import Demand
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.state.snapshot import Destination

DEMAND_WINDOW_S = 0.5
"""Time constant of the measured demand. A server of seven slots gets some 40 requests a
second, so that its figure has a standard deviation of about an eighth; the mean over a
data centre has less."""
RESERVED_ROOT = 1.0
"""Slots that stay free for random peaks where work of other data centres is sent, as a
multiple of the square root of their number. A data centre of 14 slots takes work until
10.3 of them are used, one of 700 until 674 are."""
DEMAND_HALF_LIFE_S = 10.0
"""Half-life of the reported demand of another data centre. An old report approaches
`UNKNOWN_SHARE`, so that a data centre that was full is tried again."""
UNKNOWN_SHARE = 0.6
"""Demand that is assumed of a data centre without reports, as a share of its slots. The
first calls that are moved there bring reports."""
ASSUMED_REPORTS = 0.1
"""Weight of the assumed demand, as a number of reports."""
PLAN_TTL_S = 0.1
"""Seconds for which a plan is used."""
MIN_KEPT_SHARE = 0.1
"""Least share of the calls of each kind that stays. Their weights would measure the
demand with too much noise if they were fewer."""
MAX_MOVED_SHARE = 1.0 - MIN_KEPT_SHARE
MIN_MOVED_SHARE = 0.02
"""Share of the work below which nothing is moved; it is within the error of the
demand."""
SHARE_WEIGHT = 0.02
"""Least weight of the newest call in the moving averages of shares of the calls."""
LONG_BYTES = 32_768
"""Length of request and expected response together from which a call is long."""
MAX_PLANS = 256
"""Bound on the plans, one for each version of a service."""


class DemandMeter:
    """Measures the work that callers of the own data centre want from a server.

    Parameters
    ----------
    clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._work = 0.0
        self._updated_at = clock.monotonic()

    @property
    def slots_wanted(self) -> float:
        """Slots that the arriving requests would keep in use."""
        age = self._clock.monotonic() - self._updated_at
        return self._work * math.exp(-age / DEMAND_WINDOW_S)

    def record(self, weight: float, run_time: float) -> None:
        """Record a request that arrives.

        Parameters
        ----------
        weight
            Number of requests that it stands for.
        run_time
            Expected run time in seconds.
        """
        self._work = self.slots_wanted + weight * run_time / DEMAND_WINDOW_S
        self._updated_at = self._clock.monotonic()


@dataclass(frozen=True, slots=True)
class Site:
    """Demand for a service in a data centre and number of its slots, both in slots."""

    data_centre: str
    region: str
    demand: float
    slots: float

    @property
    def capacity(self) -> float:
        """Slots to plan with for work of other data centres."""
        return max(0.0, self.slots - RESERVED_ROOT * math.sqrt(self.slots))


def fill_capacity(sites: Sequence[Site], data_centre: str) -> dict[str, float]:
    """Return the shares of a data centre's demand to send to others, by their name.

    Parameters
    ----------
    data_centre
        Data centre that sends.

    Notes
    -----
    Data centres that are short share the free capacity of their region in proportion to
    what they lack, and then that of the other regions. Only what exceeds all slots of
    the own data centre leaves it: the traffic costs more than the short waits that a
    peak within the slots causes. The slots that stay free for peaks are those of the
    data centres that receive work. What exceeds the capacity of all stays where it is.
    """
    own = next((site for site in sites if site.data_centre == data_centre), None)
    if own is None or own.demand <= own.slots:
        return {}
    moved: Counter[str] = Counter()
    sent: Counter[str] = Counter()
    free = {s.data_centre: max(0.0, s.capacity - s.demand) for s in sites}
    regions = sorted({site.region for site in sites})
    groups = [[site for site in sites if site.region == name] for name in regions]
    for group in (*groups, sites):
        lacking = {
            s.data_centre: max(0.0, s.demand - s.slots - sent[s.data_centre])
            for s in group
        }
        wanted, room = sum(lacking.values()), sum(free[name] for name in lacking)
        if not wanted or not room:
            continue
        served = min(1.0, room / wanted)
        for name, slots in lacking.items():
            sent[name] += served * slots
            part = free[name] / room
            moved[name] += lacking.get(data_centre, 0.0) * served * part / own.demand
            free[name] -= served * wanted * part
    moved = Counter({name: share for name, share in moved.items() if share > 0})
    return dict(moved) if moved.total() >= MIN_MOVED_SHARE else {}


@dataclass(slots=True)
class _Share:
    """Moving average of a property of calls; 1 before the first call."""

    value: float = 1.0
    count: int = 0

    def add(self, has_property: bool) -> None:
        self.count += 1
        weight = max(SHARE_WEIGHT, 1.0 / self.count)
        self.value += weight * (has_property - self.value)


@dataclass(slots=True)
class _ServiceState:
    """What a daemon knows of the calls to one version of a service.

    Parameters
    ----------
    shares
        Shares of the work to move, by data centre.
    near_shares
        Those of the data centres of the own region, where long calls may be moved.
    until
        Monotonic seconds until which the shares are used.
    easy_share
        Share of the calls that are moved first.
    own_share
        Share of the calls that are sent to the own data centre while none are moved.
    """

    shares: Mapping[str, float] = field(default_factory=dict)
    near_shares: Mapping[str, float] = field(default_factory=dict)
    until: float = -math.inf
    easy_share: _Share = field(default_factory=_Share)
    own_share: _Share = field(default_factory=_Share)

    def find_shares(self, demand: Demand) -> Mapping[str, float]:
        """Return the shares of the work to move of which a call may be a part."""
        return self.near_shares if is_long(demand) else self.shares

    def find_moved_share(self, demand: Demand) -> float:
        """Return the share of the calls of one kind that are moved, easy ones first."""
        moved = sum(self.find_shares(demand).values())
        easy_share = self.easy_share.value
        from_easy = min(moved, easy_share * MAX_MOVED_SHARE)
        if is_easy(demand):
            return min(from_easy / easy_share, MAX_MOVED_SHARE) if easy_share else 0.0
        others = 1.0 - easy_share
        return min((moved - from_easy) / others, MAX_MOVED_SHARE) if others else 0.0


class Spillover:
    """Decides for each call whether it is moved to another data centre.

    Parameters
    ----------
    data_centre, region
        Where this daemon runs.
    occupancy
        Load reports.
    random
        Source of the random draws.
    is_reachable
        Returns whether the daemon beside a destination currently responds.
    """

    def __init__(
        self,
        *,
        data_centre: str,
        region: str,
        occupancy: OccupancyTable,
        random: random_module.Random,
        is_reachable: Callable[[Destination], bool],
    ) -> None:
        self._data_centre = data_centre
        self._region = region
        self._occupancy = occupancy
        self._random = random
        self._is_reachable = is_reachable
        self._states: dict[tuple[str, str], _ServiceState] = {}

    def draw(
        self, destinations: Sequence[Destination], demand: Demand, now: float
    ) -> str:
        """Return the data centre that a new call is sent to; empty for any.

        Parameters
        ----------
        destinations
            Backend servers of one version of the service. In a roll-out, each version
            has a plan of its own.
        now
            Monotonic seconds.
        """
        if not demand.service or not demand.is_first or not destinations:
            return ""
        key = (demand.service, destinations[0].version)
        state = self._update_plan(destinations, key, now)
        state.easy_share.add(is_easy(demand))
        if not state.shares:
            return ""
        if self._random.random() >= state.find_moved_share(demand):
            return self._data_centre
        shares = state.find_shares(demand)
        return self._random.choices(list(shares), list(shares.values()))[0]

    def find_weight(self, destination: Destination, demand: Demand) -> float:
        """Return the number of requests that a call stands for at its destination."""
        state = self._states.get((demand.service, destination.version))
        if not demand.is_first or destination.data_centre != self._data_centre:
            return 0.0
        if state is None:
            return 1.0
        if not state.shares:
            return 1.0 / max(state.own_share.value, MIN_KEPT_SHARE)
        return 1.0 / (1.0 - state.find_moved_share(demand))

    def record_choice(self, destination: Destination, demand: Demand) -> None:
        """Record where a new call is sent."""
        state = self._states.get((demand.service, destination.version))
        if state is not None and demand.is_first and not state.shares:
            state.own_share.add(destination.data_centre == self._data_centre)

    @contextlib.contextmanager
    def preview(self) -> Iterator[None]:
        """Put plans and moving averages back at the end of the context.

        The caller puts back the random state.
        """
        states = copy.deepcopy(self._states)
        try:
            yield
        finally:
            self._states = states

    def _update_plan(
        self, destinations: Sequence[Destination], key: tuple[str, str], now: float
    ) -> _ServiceState:
        state = self._states.get(key)
        if state is None:
            if len(self._states) >= MAX_PLANS:
                self._states.clear()
            state = self._states[key] = _ServiceState()
        if now >= state.until:
            sites = self._measure_sites(destinations, now)
            state.shares = fill_capacity(sites, self._data_centre)
            near = {site.data_centre for site in sites if site.region == self._region}
            state.near_shares = {n: s for n, s in state.shares.items() if n in near}
            state.until = now + PLAN_TTL_S
        return state

    def _measure_sites(
        self, destinations: Sequence[Destination], now: float
    ) -> list[Site]:
        """Return the data centres of a service, or none if the own one is not short.

        Notes
        -----
        A daemon has links to few servers of other regions, which stand for all of
        their data centre.
        """
        grouped: dict[str, list[Destination]] = {}
        for found in destinations:
            grouped.setdefault(found.data_centre, []).append(found)
        own_members = grouped.pop(self._data_centre, [])
        own = self._measure_site(own_members, now)
        if own is None or own.demand <= own.slots:
            return []
        others = [self._measure_site(m, now) for m in grouped.values()]
        return [own, *(site for site in others if site is not None)]

    def _measure_site(self, members: Sequence[Destination], now: float) -> Site | None:
        """Return a data centre; None if none of its servers can be reached."""
        reachable = [d for d in members if self._is_reachable(d)]
        if not reachable:
            return None
        slots = wanted = reported = 0.0
        for member in reachable:
            entry = self._occupancy.find(member.backend)
            if entry is None or not entry.slots or entry.demand < 0:
                slots += member.slots
                continue
            slots += entry.slots
            weight = entry.weight(now, half_life=DEMAND_HALF_LIFE_S)
            reported += weight * entry.slots
            wanted += weight * entry.demand
        doubt = ASSUMED_REPORTS * slots / len(reachable)
        demand = (wanted + doubt * UNKNOWN_SHARE) / (reported + doubt)
        if members[0].region != self._region:
            slots *= len(members) / len(reachable)
        return Site(members[0].data_centre, members[0].region, demand * slots, slots)


def is_long(demand: Demand) -> bool:
    """Return whether a call carries too much to be moved to another region."""
    return demand.body_bytes + demand.response_bytes > LONG_BYTES


def is_easy(demand: Demand) -> bool:
    """Return whether a call is moved before others.

    Requests that run once cannot be repeated when their link is lost, nested calls hold
    the slot of another request during the longer way, and long ones cost most.
    """
    return demand.repeatable and not demand.nested and not is_long(demand)
