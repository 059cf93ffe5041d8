"""Measures configuration distribution in fleets of growing size.

Every daemon has a real ``Distribution``; the network, the store and membership
are those of ``tests/simulation``. Seconds of convergence and readiness are
simulated (1 ms in a region, 20 ms between regions, 2 ms for a store call); CPU
is real and includes the simulation, so it is an upper bound for what the
modules cost, without sockets. Heartbeats are those of the simulated membership:
three ring neighbours and all delegate links, each second, with replies.

Prints one JSON line for each spread and size, and one for each spread with the
slopes over the size and the values at the design size.
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
DESIGN_SIZE = 680
DATA_CENTRES = ("n-1", "n-2", "n-3", "n-4", "s-1", "s-2", "s-3")
SERVICES = tuple(f"service-{index}" for index in range(54))
CLASSES_PER_SERVICE = 4
CHANGES = 10
CHANGES_PER_DAY = 450
IDLE_S = 6
HERD_SHARE = 0.25
HERDS = 3
# Membership's view settles between two herds.
HERD_PAUSE_S = 5
SPREADING = ("Announcement", "ConfigurationRequest", "ConfigurationReply")
# Figures that are a share of a total for the fleet; the totals are fitted,
# because the work of delegates is shared by more daemons in a larger fleet.
SHARED = (
    "idle_bytes_per_daemon_s",
    "change_bytes_per_daemon",
    "herd_bytes_per_newcomer",
)
SLOPED = (
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
    """A fleet that records activations without the checks of the tests."""

    def on_activation(self, host: SimulatedHost) -> None:
        """Record the time."""
        self.activations.append(self.loop.time())

    def count_bytes(self, kinds: tuple[str, ...] = ()) -> int:
        """Return the bytes sent so far, of some kinds of message or all."""
        count = self.network.bytes_by_kind
        return sum(count[kind] for kind in kinds) if kinds else count.total()


def make_first_change() -> Change:
    """Return the targets of 54 services with four classes each."""
    classes = {
        f"{service}-class-{index}": ClassTarget(service, 250 + index)
        for service in SERVICES
        for index in range(CLASSES_PER_SERVICE)
    }
    services = {name: ServiceTarget(calls_per_second=1000.0) for name in SERVICES}
    return Change(set_services=services, set_classes=classes)


def make_change(index: int) -> Change:
    """Return a change of one class."""
    name = f"{SERVICES[index % len(SERVICES)]}-class-0"
    return Change(set_classes={name: ClassTarget(name[:-8], 300 + index)})


async def measure(size: int, spread: WatcherSpread) -> dict:
    """Return all figures for a fleet."""
    share, rest = divmod(size, len(DATA_CENTRES))
    sizes = {n: share + (i < rest) for i, n in enumerate(DATA_CENTRES)}
    fleet = Fleet(sizes, spread=spread, services=SERVICES)
    fleet.store.accept(make_first_change())
    await fleet.start()
    await asyncio.sleep(8)
    figures = {"spread": spread.value, "daemons": size}
    figures |= await measure_idle(fleet)
    figures |= await measure_changes(fleet)
    figures |= await measure_herds(fleet)
    await fleet.close()
    return figures


async def measure_idle(fleet: Fleet) -> dict:
    """Return what a fleet costs in which nothing changes."""
    sent, calls = fleet.count_bytes(), fleet.store.calls.total()
    spreading = fleet.count_bytes(SPREADING)
    before = {name: count_host(host) for name, host in fleet.hosts.items()}
    began = time.process_time()
    await asyncio.sleep(IDLE_S)
    cpu = time.process_time() - began
    daemons = len(fleet.hosts)
    watches = sum(host.distribution.watches_store for host in fleet.hosts.values())
    spent = [count_host(host) - before[name] for name, host in fleet.hosts.items()]
    # A byte is sent by one daemon and received by another.
    rate = 2 / IDLE_S / daemons
    return {
        "idle_bytes_per_daemon_s": (fleet.count_bytes() - sent) * rate,
        "idle_bytes_worst_daemon_s": max(spent) / IDLE_S,
        "idle_bytes_without_heartbeats": (fleet.count_bytes(SPREADING) - spreading)
        * rate,
        "idle_cpu_share_per_daemon": cpu / IDLE_S / daemons,
        "store_calls_per_s": (fleet.store.calls.total() - calls) / IDLE_S,
        "waiting_watches": watches,
    }


def count_host(host: SimulatedHost) -> int:
    """Return the bytes that a daemon has sent and received."""
    return host.endpoint.sent + host.endpoint.received


async def measure_changes(fleet: Fleet) -> dict:
    """Return how changes spread when nothing fails."""
    arrivals, worst = [], []
    sent, cross = fleet.count_bytes(SPREADING), 0
    began = time.process_time()
    for index in range(CHANGES):
        fleet.activations.clear()
        before = count_cross(fleet)
        accepted_at = fleet.loop.time()
        fleet.store.accept(make_change(index))
        await asyncio.sleep(fleet.random.uniform(1.0, 2.0))
        if fleet.list_behind():
            raise RuntimeError(f"{len(fleet.list_behind())} daemons are behind")
        arrivals += [at - accepted_at for at in fleet.activations]
        worst.append(max(fleet.activations) - accepted_at)
        cross += count_cross(fleet) - before
    cpu = time.process_time() - began
    arrivals.sort()
    changes = CHANGES * len(fleet.hosts)
    return {
        "convergence_p50_s": arrivals[len(arrivals) // 2],
        "convergence_p99_s": arrivals[len(arrivals) * 99 // 100],
        "convergence_worst_s": max(worst),
        "change_bytes_per_daemon": 2 * (fleet.count_bytes(SPREADING) - sent) / changes,
        "change_bytes_across_regions": cross / CHANGES,
        "change_cpu_ms_per_daemon": 1000 * cpu / changes,
    }


def count_cross(fleet: Fleet) -> int:
    """Return the bytes across regions without heartbeats."""
    return sum(fleet.network.cross_by_kind[kind] for kind in SPREADING)


async def measure_herds(fleet: Fleet) -> dict:
    """Return the worst of several herds, as few delegates are in each."""
    herds = []
    for seed in range(HERDS):
        herds.append(await measure_herd(fleet, seed))
        await asyncio.sleep(HERD_PAUSE_S)
    return {name: max(herd[name] for herd in herds) for name in herds[0]}


async def measure_herd(fleet: Fleet, seed: int) -> dict:
    """Return how a quarter of the daemons restart while a change is accepted."""
    names = sorted(fleet.hosts)
    herd = Random(seed).sample(names, int(len(names) * HERD_SHARE))
    chosen = [fleet.hosts[name] for name in herd]
    await asyncio.gather(*(host.kill() for host in chosen))
    calls, sent = fleet.store.calls.total(), fleet.count_bytes()
    idle = fleet.loop.time()
    await asyncio.gather(*(host.start() for host in chosen))
    await asyncio.sleep(0.2)
    accepted_at = fleet.loop.time()
    fleet.store.accept(make_change(CHANGES + seed))
    await fleet.wait_until(lambda: not fleet.list_behind(), 30)
    changed = fleet.loop.time() - accepted_at
    await fleet.wait_until(lambda: not fleet.list_unready(), 30)
    ready = fleet.loop.time() - idle
    if fleet.list_behind() or fleet.list_unready():
        raise RuntimeError("the herd has not recovered in 60 s")
    return {
        "herd_ready_worst_s": ready,
        "herd_change_worst_s": changed,
        "herd_store_calls": fleet.store.calls.total() - calls,
        "herd_bytes_per_newcomer": (fleet.count_bytes() - sent) / len(chosen),
    }


def measure_activation() -> dict:
    """Return the real time for which an activation holds the event loop."""
    fleet = {}

    async def make() -> None:
        sizes = dict.fromkeys(DATA_CENTRES, DESIGN_SIZE // len(DATA_CENTRES) + 1)
        made = Fleet(sizes, services=SERVICES)
        fleet["records"] = [host.record for host in made.hosts.values()]
        made.store.accept(make_first_change())
        fleet["store"] = made.store

    run_virtual(make)
    registry = Registry()
    registry.merge(fleet["records"][:DESIGN_SIZE])
    activation = Activation(registry=registry)
    first = fleet["store"].accepted
    activation.activate(first, digest=first.digest())
    spent = []
    for index in range(CHANGES):
        change = make_change(index)
        before = fleet["store"].accepted
        after = fleet["store"].accept(change)
        record = ChangeRecord(after.version, "id", "", "", 0, change, after.digest())
        began = time.perf_counter()
        if before.version + 1 != after.version or not activation.activate_records(
            [record]
        ):
            raise RuntimeError("the change was refused")
        spent.append(1000 * (time.perf_counter() - began))
    return {
        "activation_ms_median": statistics.median(spent),
        "activation_ms_worst": max(spent),
        "document_bytes": len(activation.document()),
        "daemons": DESIGN_SIZE,
    }


def fit(rows: list[dict], name: str) -> dict:
    """Return the slope of a figure for each daemon, and the line at 680."""
    sizes = [row["daemons"] for row in rows]
    shared = name in SHARED
    values = [row[name] * (row["daemons"] if shared else 1) for row in rows]
    line = statistics.linear_regression(sizes, values)
    at_design = line.intercept + line.slope * DESIGN_SIZE
    at_design /= DESIGN_SIZE if shared else 1
    return {"slope": round(line.slope, 7), "at_680": round(at_design, 5)}


def main() -> None:
    """Print all figures."""
    print(json.dumps(measure_activation()))
    for spread in WatcherSpread:
        rows = []
        for size in SIZES:
            row = run_virtual(lambda s=size, p=spread: measure(s, p))
            rows.append(row)
            rounded = {k: round(v, 5) if v != str(v) else v for k, v in row.items()}
            print(json.dumps(rounded), flush=True)
        slopes = {name: fit(rows, name) for name in SLOPED}
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
