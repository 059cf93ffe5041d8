"""Latency and processor time that routing adds to a call, on loopback.

One backend server, an ingress and an egress daemon and the load generator are
separate processes. Each arrival is in turn a direct call of the backend server
and a call through both daemons, so both see the same machine. Prints one JSON
line for each figure.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import subprocess
import sys
from collections.abc import Iterator

import psutil
import uvloop

from almondrouter_standins.load import Result, Target, run_load

TARGET_ADDED_P99_MS = 0.94
DAEMON = ["-m", "almondrouter_standins.call_daemon"]
BACKEND = ["-m", "almondrouter_standins.backend", "--name", "b", "--service", "bench"]
WARM_UP_S = 2.0
DEPTH_S = 4.0


@contextlib.contextmanager
def start(*arguments: str) -> Iterator[tuple[psutil.Process, str]]:
    """Run a Python process; yield it and the first line that it prints."""
    command = [sys.executable, *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        yield psutil.Process(process.pid), process.stdout.readline().strip()
    finally:
        process.terminate()
        process.wait()
        process.stdout.close()


def find_cpu_s(process: psutil.Process) -> float:
    """Return the processor seconds that a process has used."""
    times = process.cpu_times()
    return times.user + times.system


def report(figure: str, value: float, **context: object) -> None:
    """Print one figure."""
    print(json.dumps({"figure": figure, "value": round(value, 4), **context}))


def report_latency(results: dict[str, Result], rate: float) -> None:
    """Print the latencies of both kinds of call and what routing adds."""
    for percentile in (50, 99):
        found = {
            name: result.get_percentile_ms(percentile)
            for name, result in results.items()
        }
        for name, value in found.items():
            report(f"{name}_p{percentile}_ms", value, rate=rate)
        added = found["routed"] - found["direct"]
        report(f"added_p{percentile}_ms", added, rate=rate, target=TARGET_ADDED_P99_MS)


def measure(
    urls: dict[str, str],
    daemons: dict[str, psutil.Process],
    *,
    rate: float,
    seconds: float,
) -> None:
    """Run the load at one rate and print its figures."""
    headers = {"Almond-Class": "read"}
    targets = [Target(name, url, headers, b"x" * 200) for name, url in urls.items()]
    asyncio.run(run_load(targets, rate=rate, seconds=WARM_UP_S, seed=1))
    before = {name: find_cpu_s(process) for name, process in daemons.items()}
    results = asyncio.run(run_load(targets, rate=rate, seconds=seconds, seed=2))
    report_latency(results, rate)
    calls = results["routed"].latencies.get_total_count()
    for name, process in daemons.items():
        used = (find_cpu_s(process) - before[name]) / calls
        report(f"{name}_cpu_us_per_call", used * 1e6, rate=rate, calls=calls)
    for name, result in results.items():
        failed = calls_failed(result)
        report(f"{name}_failed", failed, rate=rate, outcomes=dict(result.outcomes))


def measure_depth(urls: dict[str, str], *, depth: int, rate: float) -> None:
    """Print what routing adds to calls whose backend servers call further."""
    targets = []
    for name, url in urls.items():
        headers = {"Almond-Class": "read", "x-standin-call": url}
        headers["x-standin-depth"] = str(depth)
        targets.append(Target(name, url, headers, b"x" * 200))
    results = asyncio.run(run_load(targets, rate=rate, seconds=DEPTH_S, seed=depth))
    for percentile in (50, 99):
        found = {
            name: result.get_percentile_ms(percentile)
            for name, result in results.items()
        }
        added = found["routed"] - found["direct"]
        context = {"depth": depth, "rate": rate, **found}
        report(f"added_p{percentile}_ms_per_level", added / depth, **context)
    failed = sum(map(calls_failed, results.values()))
    report("depth_failed", failed, depth=depth)


def calls_failed(result: Result) -> int:
    """Return how many calls had no complete response."""
    good = result.outcomes["complete"] + result.outcomes["200"]
    return sum(result.outcomes.values()) - good


def main() -> None:
    """Run the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[68.0, 500.0])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--depths", type=int, nargs="*", default=[1, 5, 20])
    parser.add_argument("--depth-rate", type=float, default=5.0)
    arguments = parser.parse_args()
    uvloop.install()
    with contextlib.ExitStack() as stack:
        _, backend = stack.enter_context(start(*BACKEND, "--slots", "1000"))
        egress, line = stack.enter_context(
            start(*DAEMON, "--host", "egress", "--backend", backend)
        )
        peer = json.loads(line)["peer"]
        ingress, line = stack.enter_context(
            start(*DAEMON, "--host", "ingress", "--peer", peer)
        )
        callers = json.loads(line)["callers"]
        urls = {"direct": f"http://{backend}/x", "routed": f"http://{callers}/x"}
        daemons = {"ingress": ingress, "egress": egress}
        for rate in arguments.rates:
            measure(urls, daemons, rate=rate, seconds=arguments.seconds)
        for depth in arguments.depths:
            measure_depth(urls, depth=depth, rate=arguments.depth_rate)


if __name__ == "__main__":
    main()
