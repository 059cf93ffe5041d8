"""Measures a fleet of real daemons: convergence, traffic, store calls, CPU, memory.

Starts the daemons as separate processes on loopback, in 7 data centres of 2
regions, at several fleet sizes, with the store stand-in. Prints one JSON line
per figure, then the linear fit of each figure over the fleet size and its
extrapolation to 680 daemons. Figures named ``herd`` belong to a mass restart.
Links between regions have no added latency.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import statistics
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import psutil
import uvloop

from almondrouter.clock import SystemClock
from almondrouter.coordination.acceptance import ChangeWriter
from almondrouter.protocol.keys import StoreKeys
from almondrouter.state.changes import Change
from almondrouter.state.targets import ClassTarget, ServiceTarget
from almondrouter.transport.etcd import EtcdStore
from almondrouter_standins.processes import Cluster, Program, fetch_json, wait_until

# Fleet size that the figures are extrapolated to.
DESIGN_HOSTS = 680
DESIGN_SERVICES = 54
DATA_CENTRE_COUNT = 7
REGION_COUNT = 2
SIZES = (14, 28, 56, 112)
CHANGES = 8
IDLE_S = 15.0
SETTLE_S = 10.0
START_BATCH_HOSTS = 14
# Targets at the design size by figure, printed beside the extrapolated values.
TARGETS = {
    "convergence_worst_s": 5.0,
    "control_bytes_per_s": 9_000.0,
    "cpu_share": 0.046,
    "control_memory_mb": 32.0,
}


@dataclass(slots=True)
class FleetTotals:
    """Counters summed over all daemons of a fleet at one time.

    ``at`` is in seconds since the epoch; ``sent``, ``received`` and
    ``other_region_bytes`` are bytes of control traffic.
    """

    at: float
    sent: int
    received: int
    other_region_bytes: int
    store_calls: int
    cpu_seconds: float


@dataclass(slots=True)
class FigureTrends:
    """Collects the values of each figure by fleet size."""

    points: dict[str, list[tuple[int, float]]] = field(default_factory=dict)

    def add(self, figure: str, size: int, value: float) -> None:
        """Record a value and print it."""
        self.points.setdefault(figure, []).append((size, value))
        print_figure(figure, value, hosts=size)

    def report(self) -> None:
        """Print each figure's linear fit and its value at the design size."""
        for figure, points in self.points.items():
            if len(points) < 2:
                continue
            sizes, values = zip(*points, strict=True)
            slope, intercept = statistics.linear_regression(sizes, values)
            print_figure(
                f"{figure}_at_design_size",
                intercept + slope * DESIGN_HOSTS,
                slope_per_host=slope,
                intercept=intercept,
                target=TARGETS.get(figure),
            )


def print_figure(figure: str, value: float, **context: Any) -> None:
    """Print one figure as a JSON line."""
    rounded = {
        key: round(item, 6) if isinstance(item, float) else item
        for key, item in context.items()
        if item is not None
    }
    line = {"bench": "fleet", "figure": figure, "value": round(value, 4), **rounded}
    print(json.dumps(line), flush=True)


class FleetBench:
    """Measures a fleet of one size.

    Parameters
    ----------
    cluster
        Starts and stops the processes of the fleet.
    size
        Number of daemons.
    trends
        Receives the figures.
    """

    def __init__(self, cluster: Cluster, size: int, trends: FigureTrends) -> None:
        self._cluster = cluster
        self._size = size
        self._trends = trends
        self._store = EtcdStore(
            (f"http://{cluster.store_address}",), clock=SystemClock()
        )
        self._writer = ChangeWriter(
            self._store, StoreKeys(cluster.cluster), clock=SystemClock()
        )

    async def run(self, *, mass_restart: bool) -> None:
        """Start the fleet and measure every figure."""
        await self._start()
        await self._submit_change(make_first_change())
        await self._wait_until_active()
        await asyncio.sleep(SETTLE_S)
        await self._measure_idle()
        await self._measure_memory()
        await self._measure_changes("")
        if mass_restart:
            await self._measure_mass_restart()

    async def close(self) -> None:
        """Close the connection to the store."""
        await self._store.close()

    async def _start(self) -> None:
        await self._cluster.start_store()
        plan_fleet(self._cluster, self._size)
        names = list(self._cluster.hosts)
        for start in range(0, len(names), START_BATCH_HOSTS):
            batch = names[start : start + START_BATCH_HOSTS]
            await asyncio.gather(*(self._cluster.start_daemon(n) for n in batch))

        async def all_joined() -> bool:
            statuses = await self._read_all_statuses()
            return all(s["hosts"] == self._size and s["ready"] for s in statuses)

        await wait_until(
            all_joined, "every daemon is ready and knows all others", timeout=120
        )

    async def _measure_idle(self) -> None:
        before = await self._read_totals()
        await asyncio.sleep(IDLE_S)
        after = await self._read_totals()
        seconds = after.at - before.at
        daemons = seconds * self._size
        add = self._trends.add
        # Reading the totals costs no control traffic. The CPU share includes the time
        # that the daemons need to answer, spread over the interval.
        add("control_bytes_per_s", self._size, (after.sent - before.sent) / daemons)
        cross_region_bytes = (
            after.other_region_bytes - before.other_region_bytes
        ) / seconds
        add("idle_cross_region_bytes_per_s", self._size, cross_region_bytes)
        add("cpu_share", self._size, (after.cpu_seconds - before.cpu_seconds) / daemons)
        calls = (after.store_calls - before.store_calls) / seconds
        add("store_calls_per_s", self._size, calls)

    async def _measure_memory(self) -> None:
        sizes = [
            psutil.Process(program.pid).memory_info().rss / 1e6
            for program in self._cluster.daemons.values()
        ]
        self._trends.add("resident_mb", self._size, statistics.mean(sizes))
        self._trends.add("resident_worst_mb", self._size, max(sizes))

    async def _measure_changes(self, suffix: str) -> None:
        delays: list[float] = []
        before = await self._read_totals()
        for number in range(CHANGES):
            change = Change(
                set_classes={"class-0": make_class(0, answer_within_ms=300 + number)}
            )
            accepted = await self._submit_change(change)
            statuses = await self._wait_until_active()
            delays += [status["version_at"] - accepted for status in statuses]
        after = await self._read_totals()
        quantiles = statistics.quantiles(delays, n=100)
        add = self._trends.add
        add(f"convergence_p50_s{suffix}", self._size, quantiles[49])
        add(f"convergence_p99_s{suffix}", self._size, quantiles[98])
        add(f"convergence_worst_s{suffix}", self._size, max(delays))
        cross_region_bytes = (
            after.other_region_bytes - before.other_region_bytes
        ) / CHANGES
        add(f"cross_region_bytes_per_change{suffix}", self._size, cross_region_bytes)
        sent = (after.sent - before.sent) / CHANGES / self._size
        add(f"bytes_per_change_per_daemon{suffix}", self._size, sent)

    async def _measure_mass_restart(self) -> None:
        """Kill a quarter of the daemons and restart it while a change is accepted."""
        names = list(self._cluster.hosts)[::4]
        await asyncio.gather(*(self._cluster.daemons[n].kill() for n in names))
        calls_before = await self._count_store_calls()
        started = time.time()
        restarts = [asyncio.create_task(self._cluster.start_daemon(n)) for n in names]
        change = Change(set_classes={"class-0": make_class(0, answer_within_ms=999)})
        accepted = await self._submit_change(change)
        await asyncio.gather(*restarts)
        statuses = await self._wait_until_active()
        survivors = [s for s in statuses if s["started_at"] < started]
        restarted = [s for s in statuses if s["started_at"] >= started]
        add = self._trends.add
        worst = max(s["version_at"] - accepted for s in survivors)
        add("convergence_worst_s_herd", self._size, worst)
        ready = max(s["version_at"] - s["started_at"] for s in restarted)
        add("herd_ready_worst_s", self._size, ready)
        calls = await self._count_store_calls() - calls_before
        add("herd_store_calls", self._size, calls)

    async def _count_store_calls(self) -> int:
        status = await fetch_json(f"http://{self._cluster.store_address}/standin")
        return sum(status["calls"].values())

    async def _submit_change(self, change: Change) -> float:
        deadline = SystemClock().monotonic() + 10
        acceptance = await self._writer.submit(
            change, author="bench", reason="bench", replace=True, deadline=deadline
        )
        if acceptance.status != "accepted":
            raise RuntimeError(f"change was not accepted: {acceptance}")
        self._version = acceptance.version
        return time.time()

    async def _wait_until_active(self) -> list[dict[str, Any]]:
        statuses: list[dict[str, Any]] = []

        async def all_active() -> bool:
            statuses[:] = await self._read_all_statuses()
            return all(s["version"] >= self._version for s in statuses)

        condition = f"version {self._version} is active on every daemon"
        await wait_until(all_active, condition, timeout=60)
        return statuses

    async def _read_all_statuses(self) -> list[dict[str, Any]]:
        names = list(self._cluster.hosts)
        return await asyncio.gather(*(self._cluster.read_admin(n) for n in names))

    async def _read_totals(self) -> FleetTotals:
        statuses = await self._read_all_statuses()
        return FleetTotals(
            at=time.time(),
            sent=sum(s["control_bytes_sent"] for s in statuses),
            received=sum(s["control_bytes_received"] for s in statuses),
            other_region_bytes=sum(s["other_region_bytes_sent"] for s in statuses),
            store_calls=sum(sum(s["store_calls"].values()) for s in statuses),
            cpu_seconds=sum(map(read_cpu_seconds, self._cluster.daemons.values())),
        )


def read_cpu_seconds(program: Program) -> float:
    """Return the CPU seconds that a process has used."""
    times = psutil.Process(program.pid).cpu_times()
    return times.user + times.system


def plan_fleet(cluster: Cluster, size: int) -> None:
    """Add ``size`` hosts to the cluster, distributed over the data centres."""
    for number in range(size):
        data_centre = number % DATA_CENTRE_COUNT
        cluster.plan_host(
            f"host-{number}",
            data_centre=f"dc-{data_centre}",
            region=f"region-{data_centre % REGION_COUNT}",
        )


def make_first_change() -> Change:
    """Return a change with one service and one class target per design service."""
    names = [f"service-{number}" for number in range(DESIGN_SERVICES)]
    return Change(
        set_services={name: ServiceTarget() for name in names},
        set_classes={
            f"class-{number}": make_class(number, answer_within_ms=250)
            for number in range(DESIGN_SERVICES)
        },
    )


def make_class(number: int, *, answer_within_ms: int) -> ClassTarget:
    """Return the target of a class, with ``answer_within_ms`` in milliseconds."""
    return ClassTarget(
        service=f"service-{number}", answer_within_ms=answer_within_ms, repeatable=True
    )


async def measure_sizes(
    sizes: list[int], spread: str, *, mass_restart: bool, directory: Path
) -> None:
    """Measure every fleet size, then print the linear fits."""
    trends = FigureTrends()
    for size in sizes:
        cluster_directory = directory / str(size)
        cluster_directory.mkdir()
        cluster = Cluster(
            cluster_directory, cluster="bench", options=("--spread", spread)
        )
        bench = FleetBench(cluster, size, trends)
        try:
            await bench.run(mass_restart=mass_restart)
        finally:
            await bench.close()
            await cluster.close()
    print_figure("largest_fleet", max(sizes), spread=spread)
    trends.report()


def main() -> None:
    """Parse the command line and measure every size in a temporary directory."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--spread", default="economical")
    parser.add_argument("--herd", action=argparse.BooleanOptionalAction, default=True)
    arguments = parser.parse_args()
    uvloop.install()
    with tempfile.TemporaryDirectory(prefix="almondrouter-") as directory:
        asyncio.run(
            measure_sizes(
                arguments.sizes,
                arguments.spread,
                mass_restart=arguments.herd,
                directory=Path(directory),
            )
        )


if __name__ == "__main__":
    main()
