"""Compares the product's policies with a baseline under load and faults.

Prints one JSON line per figure: ``ours`` is the product, ``baseline`` is
round-robin over all servers, 3 retries after any failure, and a FIFO queue of
100 calls per server; its callers time an attempt out after the class's target.
Everything runs in virtual time with fixed seeds, so the figures are reproducible.

Run it with ``python bench/load.py [WORD]``; WORD selects scenarios by name.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor

from almondrouter.coordination.retries import RetryBudget
from almondrouter.state.targets import Priority
from load_crash import SEND_COUNT, run_crash
from load_model import Fault, Fleet, run_load
from load_servers import Service, WorkClass

WORKER_PROCESSES = 4
# Offered loads of the overload scenarios and of the fault scenarios, as multiples of
# the service's capacity.
LOADS = (1.0, 1.5, 2.0, 4.0)
FAULT_LOAD = 0.6
CALL_DEPTH = 20
TOP_LEVEL_CALLS = 1000
# Factors on the service time. A hanging server answers no call in time.
SLOW_SLOWDOWN = 10.0
HANG_SLOWDOWN = 1e6


def make_classes(mean_seconds: float) -> tuple[WorkClass, ...]:
    """Return three classes; the long deferrable calls are half of the work.

    ``mean_seconds`` is the mean service time of the normal class.
    """
    return (
        WorkClass(
            "critical", Priority.CRITICAL, 0.2, 0.5 * mean_seconds, 5 * mean_seconds
        ),
        WorkClass("normal", Priority.NORMAL, 0.5, mean_seconds, 10 * mean_seconds),
        WorkClass(
            "deferrable", Priority.DEFERRABLE, 0.3, 2 * mean_seconds, 50 * mean_seconds
        ),
    )


ACCOUNTS = Service("accounts", 8, 9, make_classes(0.1))
MANUSCRIPTS = Service("manuscripts", 6, 9, make_classes(0.1))
ADVICE_DESK = Service("advice-desk", 9, 14, make_classes(0.2))
DOCUMENTS = Service("documents", 6, 14, make_classes(0.2))
SERVICES = (ACCOUNTS, MANUSCRIPTS, ADVICE_DESK, DOCUMENTS)


def kill_third(fleet: Fleet) -> None:
    """Kill every third server."""
    for server in list(fleet.servers.values())[::3]:
        server.kill()


def make_one_slow(fleet: Fleet) -> None:
    """Make one server `SLOW_SLOWDOWN` times slower."""
    next(iter(fleet.servers.values())).slowdown = SLOW_SLOWDOWN


def make_one_fail_calls(fleet: Fleet) -> None:
    """Make one server fail every call immediately while it reports ready."""
    next(iter(fleet.servers.values())).fails_calls = True


def make_one_hang(fleet: Fleet) -> None:
    """Make one server answer no call while it reports ready."""
    next(iter(fleet.servers.values())).slowdown = HANG_SLOWDOWN


def restart_half_cold(fleet: Fleet) -> None:
    """Restart every second server with cold caches."""
    for server in list(fleet.servers.values())[::2]:
        server.restart_cold()


FAULTS: dict[str, Fault | None] = {
    "no fault": None,
    "third killed": kill_third,
    "one slow tenfold": make_one_slow,
    "one lies about health": make_one_fail_calls,
    "one hangs": make_one_hang,
    "cold herd": restart_half_cold,
}


def measure_load(service: Service, load: float, fault_name: str) -> list[dict]:
    """Return one row per class for a service, an offered load and a fault."""
    fault = FAULTS[fault_name]
    product, baseline = (
        run_load(service, use_product=use_product, load=load, fault=fault)
        for use_product in (True, False)
    )
    rows = []
    for name in (item.name for item in service.classes):
        result_row = {
            "scenario": f"{service.name} {load:g}x {fault_name}",
            "class": name,
            "calls": product.offered[name],
        }
        for label, counts in (("ours", product), ("baseline", baseline)):
            result_row[label] = round(counts.in_time[name] / counts.offered[name], 4)
        result_row["measure"] = "share answered within target"
        rows.append(result_row)
    return rows


def measure_crash(gossip_seconds: float, resend_seconds: float) -> list[dict]:
    """Return the servers that one request crashed and the requests it affected."""
    scenario = (
        f"crashing request, gossip {gossip_seconds:g} s, "
        f"sent again after {resend_seconds:g} s"
    )
    results = [
        run_crash(
            use_product=use_product,
            gossip_seconds=gossip_seconds,
            resend_seconds=resend_seconds,
        )
        for use_product in (True, False)
    ]
    return [
        {
            "scenario": scenario,
            "calls": SEND_COUNT,
            "ours": getattr(results[0], name),
            "baseline": getattr(results[1], name),
            "measure": measure,
        }
        for name, measure in (
            ("crashes", "servers lost"),
            ("innocent_interrupted", "innocent requests cut"),
            ("innocent_condemned", "innocent requests refused as condemned"),
        )
    ]


def measure_depth(mark_first_attempts: bool) -> list[dict]:
    """Return how many calls reach the last service of a chain while it is down.

    Parameters
    ----------
    mark_first_attempts
        Whether a daemon marks every attempt with ``Almond-Attempt``, or only
        the retries. The next daemon does not retry a marked call.
    """
    budgets = [RetryBudget() for _ in range(CALL_DEPTH)]
    arrivals = 0

    def send(level: int, marked: bool) -> None:
        nonlocal arrivals
        if level == CALL_DEPTH:
            arrivals += 1
            return
        budgets[level].record_call("class", caller_retries=marked)
        send(level + 1, marked or mark_first_attempts)
        while budgets[level].try_spend("class", caller_retries=marked):
            send(level + 1, True)

    for _ in range(TOP_LEVEL_CALLS):
        send(0, marked=False)
    marked_attempts = "every attempt" if mark_first_attempts else "only retries"
    return [
        {
            "scenario": f"last of {CALL_DEPTH} services down, {marked_attempts} marked",
            "calls": TOP_LEVEL_CALLS,
            "ours": round(arrivals / TOP_LEVEL_CALLS, 3),
            # Computed: 4 attempts at each of 20 levels are too many to simulate.
            "baseline": float(4**CALL_DEPTH),
            "measure": "calls at the bottom per call at the top",
        }
    ]


def list_scenarios() -> Iterator[tuple]:
    """Yield each scenario as its name, its function and the arguments."""
    for service in SERVICES:
        for load in LOADS:
            name = f"{service.name} {load:g}x no fault"
            yield name, measure_load, service, load, "no fault"
    for service in SERVICES:
        for fault in FAULTS:
            name = f"{service.name} {FAULT_LOAD:g}x {fault}"
            yield name, measure_load, service, FAULT_LOAD, fault
    for gossip_seconds, resend_seconds in ((0.1, 1.0), (0.1, 0.0), (1.0, 0.0)):
        yield "crashing request", measure_crash, gossip_seconds, resend_seconds
    for mark_first_attempts in (True, False):
        yield "depth", measure_depth, mark_first_attempts


def main() -> None:
    """Run the selected scenarios and print their figures."""
    wanted = " ".join(sys.argv[1:])
    with ProcessPoolExecutor(WORKER_PROCESSES) as pool:
        running = [
            pool.submit(function, *arguments)
            for name, function, *arguments in list_scenarios()
            if wanted in name
        ]
        for future in running:
            for result_row in future.result():
                print(json.dumps(result_row), flush=True)


if __name__ == "__main__":
    main()
