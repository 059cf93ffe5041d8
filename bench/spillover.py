"""Replays of uneven demand between data centres, with the policies of many daemons.

Compares constants for distance, shares that fill free capacity, and a price that rises
with use, in virtual time and without a network. Prints the tables of
docs/design/spillover.md.
"""

from __future__ import annotations

import argparse
import asyncio
import random
from collections import Counter
from collections.abc import Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from itertools import product

import msgspec

from almondrouter.clock import ManualClock
from almondrouter.coordination.placement import LowestCostPolicy
from almondrouter.coordination.routing import Demand
from almondrouter.coordination.slots import SlotQueue
from almondrouter.coordination.spillover import LONG_BYTES
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import CallRequest, Load
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.state.snapshot import Destination
from almondrouter_standins.virtual_time import run_virtual

ONE_WAY_S = {"none": 0.0003, "data_centre": 0.0039, "region": 0.02}
SLOTS = 7
HOSTS_PER_SERVER = 2
FAULT_AT_S, FAULT_END_S, END_S = 4.0, 12.0, 16.0
INTERVAL_S = 0.5
"""Interval of the series in which oscillations are counted."""
SWING = 0.15
"""Least change of the share moved that counts as part of an oscillation."""
DIGITS = (3, 3, 3, 3, 0, 0, 2, 1)
PROCESSES = 3
MAX_REFUSALS = 3
MAX_CORRECTIONS = 2


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request of customer A; times in seconds, ``size`` in bytes."""

    name: str
    share: float
    run: float
    target: float
    deadline: float
    rank: int
    repeatable: bool
    nested: bool
    size: int


KINDS = (
    Kind("read", 0.55, 0.151, 0.701, 3.281, 2, True, False, 4_000),
    Kind("pay", 0.22, 0.215, 0.914, 3.196, 1, False, False, 2_000),
    Kind("pack", 0.08, 0.129, 0.997, 3.582, 2, True, False, 90_000),
    Kind("check", 0.15, 0.047, 0.316, 0.605, 2, True, True, 1_000),
)
MEAN_RUN_S = sum(kind.share * kind.run for kind in KINDS)


@dataclass(frozen=True, slots=True)
class Case:
    """A pattern of demand; loads are multiples of the capacity of a data centre.

    Parameters
    ----------
    hosts
        Hosts of each data centre; two data centres are a region.
    load
        Usual load of each data centre.
    surge
        Load by number of the data centre during the fault.
    lost
        Share of the servers of data centre 0 that are gone during the fault.
    slow_s
        Additional one-way delay of the way to data centre 1 during the fault.
    report_age
        Seconds that load reports are late.
    """

    hosts: tuple[int, ...] = (10,) * 6
    load: float = 0.65
    surge: Mapping[int, float] = field(default_factory=dict)
    lost: float = 0.0
    slow_s: float = 0.0
    report_age: float = 0.0


CASES = {
    "even, 0.65": Case(),
    "even, 0.9": Case(load=0.9),
    "even, 1.2": Case(load=1.2),
    "one at twice its demand": Case(surge={0: 1.3}),
    "a third of its servers gone": Case(load=0.8, lost=0.34),
    "two neighbours short": Case(surge={0: 1.3, 1: 1.3}),
    "slow link, one at twice": Case(surge={0: 1.3}, slow_s=0.15),
    "reports 2 s old, one at twice": Case(surge={0: 1.3}, report_age=2.0),
    "reports 2 s old, two short": Case(surge={0: 1.3, 1: 1.3}, report_age=2.0),
    "2 to 100 hosts, 10 at twice": Case((10, 2, 24, 4, 50, 100), surge={0: 1.3}),
    "2 to 100 hosts, 100 at 1.2": Case((100, 2, 24, 4, 50, 10), surge={0: 1.2}),
}


class ConstantsPolicy(LowestCostPolicy):
    """The policy with constants for distance only."""

    def __init__(self, **options) -> None:  # noqa: ANN003
        super().__init__(**options)
        self._spillover.draw = lambda destinations, demand, now: ""


class PricePolicy(ConstantsPolicy):
    """A price of each data centre that rises with the use of its slots.

    Distance costs what its transfer takes, as the price keeps calls near.
    """

    def _compute_load_cost(self, destination, demand, baseline, now):  # noqa: ANN001, ANN202
        cost, after = super()._compute_load_cost(destination, demand, baseline, now)
        if not hasattr(self, "_prices"):
            self._prices: dict[str, tuple[float, float]] = {}
        price, updated_at = self._prices.get(destination.data_centre, (0.0, now))
        entry = self._occupancy.find(destination.backend)
        if entry is not None and entry.slots:
            use = entry.calls(now, rank=demand.rank) / entry.slots
            step = min(1.0, (now - updated_at) / 0.5) * (use - 0.95)
            price = min(max(0.0, price + step * demand.target_latency), 1.0)
        self._prices[destination.data_centre] = (price, now)
        return cost + price, after


POLICIES: dict[str, type[LowestCostPolicy]] = {
    "constants": ConstantsPolicy,
    "filling": LowestCostPolicy,
    "price": PricePolicy,
}


class Server:
    """A backend server with the slot queue of the daemon beside it."""

    def __init__(self, place: Destination, clock: ManualClock) -> None:
        self.place, self.clock = place, clock
        self.queue = SlotQueue(SLOTS, clock=clock)
        self.alive = True
        self._reports: list[tuple[float, Load]] = []

    def report(self, age: float) -> Load | None:
        """Return the load of some time ago."""
        now, load = self.clock.monotonic(), self.queue.load()
        if not age:
            return load
        self._reports.append((now, load))
        while len(self._reports) > 1 and self._reports[1][0] <= now - age:
            self._reports.pop(0)
        return self._reports[0][1]

    async def serve(self, request: CallRequest, run: float) -> str:
        """Run a request; return its error code, or an empty text."""
        try:
            grant = await self.queue.acquire(request)
        except CallError as error:
            return error.code.value
        await asyncio.sleep(run)
        self.queue.release(grant, measured=True)
        return ""


class Replay:
    """Callers, daemons and servers of one case under one policy."""

    def __init__(self, case: Case, policy: type[LowestCostPolicy], seed: int) -> None:
        self.case, self.clock, self.rng = (
            case,
            ManualClock(monotonic=0.0),
            random.Random(seed),
        )
        self.counts: Counter[tuple[str, bool]] = Counter()
        self.bytes: Counter[str] = Counter()
        self.series: Counter[tuple[int, bool]] = Counter()
        self.servers: dict[str, Server] = {}
        self.daemons: list[list[tuple[Destination, LowestCostPolicy]]] = []
        places = [self._make_places(n, size) for n, size in enumerate(case.hosts)]
        for members in places:
            for place in members[::HOSTS_PER_SERVER]:
                self.servers[place.backend] = Server(place, self.clock)
        self.destinations = tuple(server.place for server in self.servers.values())
        for members in places:
            self.daemons.append([(p, self._make_policy(policy, p)) for p in members])

    def _make_places(self, number: int, size: int) -> list[Destination]:
        name, region = f"d{number}", f"r{number // 2}"
        hosts = [f"{name}-{index}" for index in range(size)]
        return [Destination(h, h, name, region, h, 1, SLOTS, False) for h in hosts]

    def _make_policy(self, policy, place):  # noqa: ANN001, ANN202
        return policy(
            host=place.host,
            data_centre=place.data_centre,
            region=place.region,
            occupancy=OccupancyTable(),
            random=random.Random(f"{place.host} {self.rng.random()}"),
            clock=self.clock,
            is_reachable=lambda found: self.servers[found.backend].alive,
        )

    def run(self) -> None:
        """Play the case to its end."""
        run_virtual(self._play(), self.clock)

    async def _play(self) -> None:
        sources = [self._send_all(number) for number in range(len(self.daemons))]
        await asyncio.gather(self._inject(), *sources)

    @property
    def faulty(self) -> bool:
        """Whether the fault is present."""
        return FAULT_AT_S <= self.clock.monotonic() < FAULT_END_S

    async def _inject(self) -> None:
        await asyncio.sleep(FAULT_AT_S)
        own = [s for s in self.servers.values() if s.place.data_centre == "d0"]
        lost = own[: int(self.case.lost * len(own))]
        for server in lost:
            server.alive = False
        await asyncio.sleep(FAULT_END_S - FAULT_AT_S)
        for server in lost:
            server.alive = True

    async def _send_all(self, number: int) -> None:
        case, daemons, tasks = self.case, self.daemons[number], []
        servers = -(-len(daemons) // HOSTS_PER_SERVER)
        while self.clock.monotonic() < END_S:
            load = case.surge.get(number, case.load) if self.faulty else case.load
            per_second = load * servers * SLOTS / MEAN_RUN_S
            await asyncio.sleep(self.rng.expovariate(per_second))
            kind = self.rng.choices(KINDS, [kind.share for kind in KINDS])[0]
            place, policy = self.rng.choice(daemons)
            tasks.append(asyncio.create_task(self._call(place, policy, kind)))
        await asyncio.gather(*tasks)

    async def _call(
        self, place: Destination, policy: LowestCostPolicy, kind: Kind
    ) -> None:
        began_at, excluded, corrections, code = self.clock.monotonic(), set(), 0, "none"
        counted = began_at >= FAULT_AT_S
        limit = kind.deadline if kind.nested else kind.target
        while len(excluded) < MAX_REFUSALS and code:
            now = self.clock.monotonic()
            demand = Demand(
                0,
                kind.nested,
                kind.target,
                kind.rank,
                began_at + limit - now,
                kind.size if kind.size > LONG_BYTES else 0,
                kind.repeatable,
                is_first=not excluded and not corrections,
                service="s",
            )
            chosen = policy.choose(
                self.destinations, now=now, excluded=excluded, demand=demand
            )
            if chosen is None:
                break
            request = self._make_request(kind, chosen, began_at, limit)
            if corrections < MAX_CORRECTIONS:
                wait = policy.find_max_wait(chosen, now=now, demand=demand)
                request = msgspec.structs.replace(request, max_wait=wait)
            weight = policy.find_demand_weight(chosen, demand)
            request = msgspec.structs.replace(request, demand_weight=weight)
            code = await self._attempt(place, policy, chosen, request, kind)
            if code == ErrorCode.BUSIER_THAN_EXPECTED.value:
                corrections += 1
            elif code:
                excluded.add(chosen.backend)
        if counted:
            on_time = self.clock.monotonic() - began_at <= kind.target and not code
            self.counts[kind.name, on_time] += 1

    def _make_request(
        self, kind: Kind, chosen: Destination, began_at: float, limit: float
    ) -> CallRequest:
        deadline, useful = began_at + kind.deadline, began_at + limit
        return CallRequest(
            0, kind.name, chosen.backend, "GET", "/", (), b"", deadline, "", "", 1,
            kind.rank, kind.repeatable, useful, kind.nested,
        )  # fmt: skip

    async def _attempt(
        self,
        place: Destination,
        policy: LowestCostPolicy,
        chosen: Destination,
        request: CallRequest,
        kind: Kind,
    ) -> str:
        server, began_at = self.servers[chosen.backend], self.clock.monotonic()
        distance = policy._describe_distance(chosen)
        delay = ONE_WAY_S[distance]
        if distance != "none" and chosen.data_centre == "d1" and self.faulty:
            delay += self.case.slow_s
        policy.record_start(chosen)
        await asyncio.sleep(delay)
        run = kind.run * self.rng.uniform(0.4, 1.6)
        code = await server.serve(request, run) if server.alive else "no_backend"
        load = server.report(self.case.report_age) if server.alive else None
        await asyncio.sleep(delay)
        outcome = Outcome.NOT_RUN if code else Outcome.COMPLETE
        elapsed = self.clock.monotonic() - began_at
        policy.record_end(chosen, outcome=outcome, load=load, elapsed=elapsed)
        if not code and began_at >= FAULT_AT_S:
            self.bytes[distance] += kind.size
        if not code and place.data_centre == "d0":
            index = int(self.clock.monotonic() / INTERVAL_S)
            self.series[index, distance != "none"] += 1
        return code

    def list_moved(self) -> list[float]:
        """Return the share that leaves data centre 0, by interval from the fault."""
        first, last = (int(at / INTERVAL_S) for at in (FAULT_AT_S, END_S))
        pairs = [
            (self.series[i, True], self.series[i, False]) for i in range(first, last)
        ]
        return [moved / max(1, moved + kept) for moved, kept in pairs]


def count_oscillations(series: list[float]) -> int:
    """Return how often a series falls by `SWING` and rises again by it."""
    count, extreme, rising = 0, series[0], True
    for value in series:
        if (value > extreme) == rising:
            extreme = value
        elif abs(value - extreme) >= SWING:
            rising, extreme = not rising, value
            count += rising
    return count


def describe(replay: Replay) -> list[float]:
    """Return the figures of one replay."""
    seconds, moved = END_S - FAULT_AT_S, replay.list_moved()
    shares = []
    for kind in KINDS:
        on_time = replay.counts[kind.name, True]
        shares.append(on_time / (on_time + replay.counts[kind.name, False]))
    sizes = [replay.bytes[d] / seconds / 1e3 for d in ("data_centre", "region")]
    during = moved[: int((FAULT_END_S - FAULT_AT_S) / INTERVAL_S)]
    per_minute = count_oscillations(moved) * 60 / seconds
    return [*shares, *sizes, sum(during) / len(during), per_minute]


def play(job: tuple[str, str, int]) -> list[float]:
    """Play a case under a policy with one seed; return the figures of its row."""
    name, label, seed = job
    replay = Replay(CASES[name], POLICIES[label], seed)
    replay.run()
    return describe(replay)


def main() -> None:
    """Print one row for each case and policy, the mean of some seeds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--case", default="")
    parser.add_argument("--seeds", type=int, default=3)
    options = parser.parse_args()
    names = [name for name in CASES if options.case in name]
    with ProcessPoolExecutor(PROCESSES) as executor:
        for name, label in product(names, POLICIES):
            jobs = [(name, label, seed) for seed in range(1, options.seeds + 1)]
            rows = list(executor.map(play, jobs))
            means = [sum(column) / len(rows) for column in zip(*rows, strict=True)]
            pairs = zip(means, DIGITS, strict=True)
            cells = " | ".join(f"{mean:.{digits}f}" for mean, digits in pairs)
            print(f"| {name} | {label} | {cells} |", flush=True)


if __name__ == "__main__":
    main()
