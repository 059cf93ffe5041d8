"""Measures the policies under load and faults beside a baseline.

Prints one JSON line per figure, ``ours`` beside ``baseline``. The baseline is
round-robin over all servers, 3 retries after any failure, and a FIFO queue of
100 calls per server; its callers give an attempt up after the class's target.
Everything runs in virtual time with fixed seeds, so figures repeat exactly.

Run it with ``python bench/load.py [WORD]``; WORD selects scenarios by name.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

from almondrouter.coordination.retries import RetryBudget
from almondrouter.state.targets import Priority
from load_crash import SENDS, run_crash
from load_model import Fault, Fleet, run_load
from load_servers import Service, WorkClass

WORKERS = 4
LOADS = (1.0, 1.5, 2.0, 4.0)
FAULT_LOAD = 0.6
DEPTH = 20
ROOT_CALLS = 1000
SLOW_FACTOR = 10.0
HANG_FACTOR = 1e6


def make_classes(mean: float) -> tuple[WorkClass, ...]:
    """Return three classes; long deferrable calls are half of the work."""
    return (
        WorkClass("critical", Priority.CRITICAL, 0.2, 0.5 * mean, 5 * mean),
        WorkClass("normal", Priority.NORMAL, 0.5, mean, 10 * mean),
        WorkClass("deferrable", Priority.DEFERRABLE, 0.3, 2 * mean, 50 * mean),
    )


ACCOUNTS = Service("accounts", 8, 9, make_classes(0.1))
MANUSCRIPTS = Service("manuscripts", 6, 9, make_classes(0.1))
ADVICE_DESK = Service("advice-desk", 9, 14, make_classes(0.2))
DOCUMENTS = Service("documents", 6, 14, make_classes(0.2))
SERVICES = (ACCOUNTS, MANUSCRIPTS, ADVICE_DESK, DOCUMENTS)


def kill_third(fleet: Fleet) -> None:
    """Kill every third host."""
    for server in list(fleet.servers.values())[::3]:
        server.kill()


def slow_one(fleet: Fleet) -> None:
    """Make one server ten times slower."""
    next(iter(fleet.servers.values())).slowness = SLOW_FACTOR


def lie_one(fleet: Fleet) -> None:
    """Make one server fail every call at once while it says that it is ready."""
    next(iter(fleet.servers.values())).lies = True


def hang_one(fleet: Fleet) -> None:
    """Make one server answer nothing while it says that it is ready."""
    next(iter(fleet.servers.values())).slowness = HANG_FACTOR


def restart_half(fleet: Fleet) -> None:
    """Replace every second server by a cold one."""
    for server in list(fleet.servers.values())[::2]:
        server.restart_cold()


FAULTS: dict[str, Fault | None] = {
    "no fault": None,
    "third killed": kill_third,
    "one slow tenfold": slow_one,
    "one lies about health": lie_one,
    "one hangs": hang_one,
    "cold herd": restart_half,
}


def measure_load(service: Service, load: float, fault_name: str) -> list[dict]:
    """Return the figures of each class for one service, load and fault."""
    fault = FAULTS[fault_name]
    ours, baseline = (
        run_load(service, ours=kind, load=load, fault=fault) for kind in (True, False)
    )
    figures = []
    for name in (item.name for item in service.classes):
        figure = {
            "scenario": f"{service.name} {load:g}x {fault_name}",
            "class": name,
            "calls": ours.offered[name],
        }
        for label, tally in (("ours", ours), ("baseline", baseline)):
            figure[label] = round(tally.good[name] / tally.offered[name], 4)
        figure["measure"] = "share answered within target"
        figures.append(figure)
    return figures


def measure_crash(gossip: float, interval: float) -> list[dict]:
    """Return servers lost to one crashing request, and innocents condemned."""
    scenario = f"crashing request, gossip {gossip:g} s, sent again after {interval:g} s"
    results = [
        run_crash(ours=kind, gossip=gossip, interval=interval) for kind in (True, False)
    ]
    return [
        {
            "scenario": scenario,
            "calls": SENDS,
            "ours": getattr(results[0], name),
            "baseline": getattr(results[1], name),
            "measure": measure,
        }
        for name, measure in (
            ("crashes", "servers lost"),
            ("innocent_cut", "innocent requests cut"),
            ("innocent_condemned", "innocent requests refused as condemned"),
        )
    ]


def measure_depth(marks_first: bool) -> list[dict]:
    """Return the calls at the bottom of a deep chain whose last service is down.

    Parameters
    ----------
    marks_first
        Whether a daemon marks every attempt with ``Almond-Attempt``, or only
        the retries.
    """
    budgets = [RetryBudget() for _ in range(DEPTH)]
    arrivals = 0

    def send(level: int, marked: bool) -> None:
        nonlocal arrivals
        if level == DEPTH:
            arrivals += 1
            return
        budgets[level].record_call("class", caller_retries=marked)
        send(level + 1, marked or marks_first)
        while budgets[level].try_spend("class", caller_retries=marked):
            send(level + 1, True)

    for _ in range(ROOT_CALLS):
        send(0, marked=False)
    which = "every attempt" if marks_first else "only retries"
    return [
        {
            "scenario": f"last of {DEPTH} services down, {which} marked",
            "calls": ROOT_CALLS,
            "ours": round(arrivals / ROOT_CALLS, 3),
            # Computed, as 4 attempts at each of the levels cannot be run.
            "baseline": float(4**DEPTH),
            "measure": "calls at the bottom per call at the top",
        }
    ]


def list_scenarios() -> Iterator[tuple]:
    """Yield each measurement as its name, its function and the arguments."""
    for service in SERVICES:
        for load in LOADS:
            name = f"{service.name} {load:g}x no fault"
            yield name, measure_load, service, load, "no fault"
    for service in SERVICES:
        for fault in FAULTS:
            name = f"{service.name} {FAULT_LOAD:g}x {fault}"
            yield name, measure_load, service, FAULT_LOAD, fault
    for gossip, interval in ((0.1, 1.0), (0.1, 0.0), (1.0, 0.0)):
        yield "crashing request", measure_crash, gossip, interval
    for marks_first in (True, False):
        yield "depth", measure_depth, marks_first


def main() -> None:
    """Run the scenarios and print their figures."""
    wanted = " ".join(sys.argv[1:])
    with ProcessPoolExecutor(WORKERS) as pool:
        running = [
            pool.submit(function, *arguments)
            for name, function, *arguments in list_scenarios()
            if wanted in name
        ]
        for future in running:
            for figure in future.result():
                print(json.dumps(figure), flush=True)


if __name__ == "__main__":
    main()
