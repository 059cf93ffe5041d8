"""Measures how configuration distribution scales with the number of daemons.

Every daemon runs the production ``Distribution`` class; the network, the store
and membership are simulated by ``tests/simulation``. Convergence and readiness
times are in virtual seconds (one-way latency of 1 ms within a region and 20 ms
between regions, 2 ms per store call). CPU time is real and includes the cost of
the simulation, but no sockets; it is an upper bound for the modules under test.
Each daemon sends a heartbeat every second to three ring neighbours and, if it is
one of the two delegates of its data centre, to delegates of other data centres;
every heartbeat is answered.

Prints one JSON line with the activation time. Then, for each `WatcherSpread`,
prints one line per fleet size and one with the linear fits over the fleet size and
their values at the design size. Figures named ``herd_*`` belong to mass restarts.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import sys
import time
from pathlib import Path
from random import Random

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

from almondrouter.coordination.activation import Activation  # noqa: E402
from almondrouter.coordination.watchers import WatcherSpread  # noqa: E402
from almondrouter.state.changes import Change, ChangeRecord  # noqa: E402
from almondrouter.state.registry import Registry  # noqa: E402
from almondrouter.state.targets import ClassTarget, ServiceTarget  # noqa: E402
from simulation.fleet import SimulatedFleet, SimulatedHost  # noqa: E402
from simulation.loop import run_virtual  # noqa: E402

SIZES = (28, 56, 112, 224)
# Fleet size that the figures are extrapolated to.
DESIGN_HOSTS = 680
# The part of a name before the hyphen is the region.
DATA_CENTRES = ("n-1", "n-2", "n-3", "n-4", "s-1", "s-2", "s-3")
SERVICES = tuple(f"service-{index}" for index in range(54))
CLASSES_PER_SERVICE = 4
CHANGES = 10
CHANGES_PER_DAY = 450
IDLE_S = 6
RESTARTED_SHARE = 0.25
MASS_RESTARTS = 3
# Lets membership converge before the next mass restart.
MASS_RESTART_PAUSE_S = 5
DISTRIBUTION_MESSAGES = ("Announcement", "ConfigurationRequest", "ConfigurationReply")
# Figures that are averages over the daemons. Their lines are fitted through the fleet
# totals, because in a larger fleet more daemons share the fixed cost of the delegates.
PER_DAEMON_FIGURES = (
    "idle_bytes_per_daemon_s",
    "change_bytes_per_daemon",
    "herd_bytes_per_newcomer",
)
FITTED_FIGURES = (
    "convergence_worst_s",
    "change_bytes_per_daemon",
    "change_bytes_across_regions",
    "idle_bytes_per_daemon_s",
    "idle_cpu_share_per_daemon",
    "change_cpu_ms_per_daemon",
    "store_calls_per_s",
    "herd_ready_worst_s",
    "herd_change_worst_s",
    "herd_store_calls",
    "herd_bytes_per_newcomer",
)


class Fleet(SimulatedFleet):
    """A fleet that records activation times but skips the invariant checks."""

    def on_activation(self, host: SimulatedHost) -> None:
        """Record when a host activated a configuration."""
        self.activations.append(self.loop.time())

    def count_bytes(self, kinds: tuple[str, ...] = ()) -> int:
        """Return the bytes sent so far in messages of ``kinds``, or in all."""
        count = self.network.bytes_by_kind
        return sum(count[kind] for kind in kinds) if kinds else count.total()


def make_first_change() -> Change:
    """Return a change that sets targets for every service and its classes."""
    classes = {
        f"{service}-class-{index}": ClassTarget(service, 250 + index)
        for service in SERVICES
        for index in range(CLASSES_PER_SERVICE)
    }
    services = {name: ServiceTarget(calls_per_second=1000.0) for name in SERVICES}
    return Change(set_services=services, set_classes=classes)


def make_change(index: int) -> Change:
    """Return a change that sets the target of one class."""
    name = f"{SERVICES[index % len(SERVICES)]}-class-0"
    return Change(set_classes={name: ClassTarget(name[:-8], 300 + index)})


async def measure_fleet(size: int, spread: WatcherSpread) -> dict:
    """Return all figures for a fleet of ``size`` daemons."""
    share, remainder = divmod(size, len(DATA_CENTRES))
    sizes = {n: share + (i < remainder) for i, n in enumerate(DATA_CENTRES)}
    fleet = Fleet(sizes, spread=spread, services=SERVICES)
    fleet.store.accept(make_first_change())
    await fleet.start()
    await asyncio.sleep(8)
    figures = {"spread": spread.value, "daemons": size}
    figures |= await measure_idle(fleet)
    figures |= await measure_changes(fleet)
    figures |= await measure_mass_restarts(fleet)
    await fleet.close()
    return figures


async def measure_idle(fleet: Fleet) -> dict:
    """Return traffic, CPU time and store calls while no change is accepted."""
    sent, calls = fleet.count_bytes(), fleet.store.calls.total()
    distribution_bytes = fleet.count_bytes(DISTRIBUTION_MESSAGES)
    before = {name: count_host_bytes(host) for name, host in fleet.hosts.items()}
    cpu_start = time.process_time()
    await asyncio.sleep(IDLE_S)
    cpu = time.process_time() - cpu_start
    daemons = len(fleet.hosts)
    watches = sum(host.distribution.watches_store for host in fleet.hosts.values())
    host_bytes = [
        count_host_bytes(host) - before[name] for name, host in fleet.hosts.items()
    ]
    # Each byte counts twice: for the daemon that sends it and for its receiver.
    per_daemon_factor = 2 / IDLE_S / daemons
    return {
        "idle_bytes_per_daemon_s": (fleet.count_bytes() - sent) * per_daemon_factor,
        "idle_bytes_worst_daemon_s": max(host_bytes) / IDLE_S,
        "idle_bytes_without_heartbeats": (
            fleet.count_bytes(DISTRIBUTION_MESSAGES) - distribution_bytes
        )
        * per_daemon_factor,
        "idle_cpu_share_per_daemon": cpu / IDLE_S / daemons,
        "store_calls_per_s": (fleet.store.calls.total() - calls) / IDLE_S,
        "waiting_watches": watches,
    }


def count_host_bytes(host: SimulatedHost) -> int:
    """Return the bytes that one daemon has sent and received."""
    return host.endpoint.sent + host.endpoint.received


async def measure_changes(fleet: Fleet) -> dict:
    """Return convergence times and costs of changes in a healthy fleet."""
    delays, worst = [], []
    sent, cross_region_bytes = fleet.count_bytes(DISTRIBUTION_MESSAGES), 0
    cpu_start = time.process_time()
    for index in range(CHANGES):
        fleet.activations.clear()
        before = count_cross_region_bytes(fleet)
        accepted_at = fleet.loop.time()
        fleet.store.accept(make_change(index))
        await asyncio.sleep(fleet.random.uniform(1.0, 2.0))
        if fleet.list_behind():
            raise RuntimeError(
                f"{len(fleet.list_behind())} daemons lack the newest version"
            )
        delays += [at - accepted_at for at in fleet.activations]
        worst.append(max(fleet.activations) - accepted_at)
        cross_region_bytes += count_cross_region_bytes(fleet) - before
    cpu = time.process_time() - cpu_start
    delays.sort()
    changes = CHANGES * len(fleet.hosts)
    return {
        "convergence_p50_s": delays[len(delays) // 2],
        "convergence_p99_s": delays[len(delays) * 99 // 100],
        "convergence_worst_s": max(worst),
        "change_bytes_per_daemon": 2
        * (fleet.count_bytes(DISTRIBUTION_MESSAGES) - sent)
        / changes,
        "change_bytes_across_regions": cross_region_bytes / CHANGES,
        "change_cpu_ms_per_daemon": 1000 * cpu / changes,
    }


def count_cross_region_bytes(fleet: Fleet) -> int:
    """Return the distribution bytes sent across regions, without heartbeats."""
    return sum(
        fleet.network.cross_region_bytes_by_kind[kind] for kind in DISTRIBUTION_MESSAGES
    )


async def measure_mass_restarts(fleet: Fleet) -> dict:
    """Return the worst figures of several mass restarts.

    One random sample of the daemons contains few delegates, so a single restart
    may miss the worst case.
    """
    results = []
    for seed in range(MASS_RESTARTS):
        results.append(await measure_mass_restart(fleet, seed))
        await asyncio.sleep(MASS_RESTART_PAUSE_S)
    return {name: max(result[name] for result in results) for name in results[0]}


async def measure_mass_restart(fleet: Fleet, seed: int) -> dict:
    """Restart a quarter of the daemons at once while a change is accepted.

    Returns recovery times in virtual seconds, store calls and bytes.
    """
    names = sorted(fleet.hosts)
    sample = Random(seed).sample(names, int(len(names) * RESTARTED_SHARE))
    restarted = [fleet.hosts[name] for name in sample]
    await asyncio.gather(*(host.kill() for host in restarted))
    calls, sent = fleet.store.calls.total(), fleet.count_bytes()
    restarted_at = fleet.loop.time()
    await asyncio.gather(*(host.start() for host in restarted))
    await asyncio.sleep(0.2)
    accepted_at = fleet.loop.time()
    fleet.store.accept(make_change(CHANGES + seed))
    await fleet.wait_until(lambda: not fleet.list_behind(), 30)
    changed = fleet.loop.time() - accepted_at
    await fleet.wait_until(lambda: not fleet.list_unready(), 30)
    ready = fleet.loop.time() - restarted_at
    if fleet.list_behind() or fleet.list_unready():
        raise RuntimeError(
            "the fleet has not recovered within 60 s of a mass restart: a daemon lacks "
            "the newest version or is not ready"
        )
    return {
        "herd_ready_worst_s": ready,
        "herd_change_worst_s": changed,
        "herd_store_calls": fleet.store.calls.total() - calls,
        "herd_bytes_per_newcomer": (fleet.count_bytes() - sent) / len(restarted),
    }


def measure_activation() -> dict:
    """Return how many real milliseconds an activation blocks the event loop."""
    captured = {}

    async def build_fleet() -> None:
        sizes = dict.fromkeys(DATA_CENTRES, DESIGN_HOSTS // len(DATA_CENTRES) + 1)
        fleet = Fleet(sizes, services=SERVICES)
        captured["records"] = [host.record for host in fleet.hosts.values()]
        fleet.store.accept(make_first_change())
        captured["store"] = fleet.store

    run_virtual(build_fleet)
    registry = Registry()
    registry.merge(captured["records"][:DESIGN_HOSTS])
    activation = Activation(registry=registry)
    first = captured["store"].accepted
    activation.activate(first, digest=first.digest())
    elapsed_ms = []
    for index in range(CHANGES):
        change = make_change(index)
        before = captured["store"].accepted
        after = captured["store"].accept(change)
        record = ChangeRecord(after.version, "id", "", "", 0, change, after.digest())
        start = time.perf_counter()
        if before.version + 1 != after.version or not activation.activate_records(
            [record]
        ):
            raise RuntimeError("the change was not activated")
        elapsed_ms.append(1000 * (time.perf_counter() - start))
    return {
        "activation_ms_median": statistics.median(elapsed_ms),
        "activation_ms_worst": max(elapsed_ms),
        "document_bytes": len(activation.document()),
        "daemons": DESIGN_HOSTS,
    }


def fit_line(rows: list[dict], name: str) -> dict:
    """Return the growth of a figure per added daemon and its value at 680 daemons."""
    sizes = [row["daemons"] for row in rows]
    is_per_daemon = name in PER_DAEMON_FIGURES
    values = [row[name] * (row["daemons"] if is_per_daemon else 1) for row in rows]
    line = statistics.linear_regression(sizes, values)
    at_design = line.intercept + line.slope * DESIGN_HOSTS
    at_design /= DESIGN_HOSTS if is_per_daemon else 1
    return {"slope": round(line.slope, 7), "at_680": round(at_design, 5)}


def main() -> None:
    """Print the activation time, then all figures for each distribution mode."""
    print(json.dumps(measure_activation()))
    for spread in WatcherSpread:
        rows = []
        for size in SIZES:
            row = run_virtual(lambda s=size, p=spread: measure_fleet(s, p))
            rows.append(row)
            rounded = {k: round(v, 5) if v != str(v) else v for k, v in row.items()}
            print(json.dumps(rounded), flush=True)
        slopes = {name: fit_line(rows, name) for name in FITTED_FIGURES}
        change_rate = CHANGES_PER_DAY / 86400
        total = (
            slopes["idle_bytes_per_daemon_s"]["at_680"]
            + slopes["change_bytes_per_daemon"]["at_680"] * change_rate
        )
        print(
            json.dumps(
                {
                    "spread": spread.value,
                    "fit": slopes,
                    "control_bytes_per_daemon_s_at_680": round(total, 1),
                }
            ),
            flush=True,
        )


if __name__ == "__main__":
    main()
