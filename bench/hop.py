"""Measures the latency and CPU time that routing adds to a call, on loopback.

The backend server, the ingress daemon, the egress daemon and the load generator
are separate processes. Arrivals alternate between a direct call to the backend
server and a call through both daemons, so that both kinds run under the same
machine load. Prints one JSON line per figure.
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
DAEMON_COMMAND = ["-m", "almondrouter_standins.call_daemon"]
BACKEND_COMMAND = [
    "-m",
    "almondrouter_standins.backend",
    "--name",
    "b",
    "--service",
    "bench",
]
WARM_UP_SECONDS = 2.0
CALL_DEPTH_SECONDS = 4.0


@contextlib.contextmanager
def start_process(*arguments: str) -> Iterator[tuple[psutil.Process, str]]:
    """Run Python with arguments; yield the process and its first line of output.

    The process is terminated at the end of the context.
    """
    command = [sys.executable, *arguments]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    try:
        yield psutil.Process(process.pid), process.stdout.readline().strip()
    finally:
        process.terminate()
        process.wait()
        process.stdout.close()


def read_cpu_seconds(process: psutil.Process) -> float:
    """Return the CPU seconds that a process has used."""
    times = process.cpu_times()
    return times.user + times.system


def print_figure(figure: str, value: float, **context: object) -> None:
    """Print one figure as a JSON line."""
    print(json.dumps({"figure": figure, "value": round(value, 4), **context}))


def print_latencies(results: dict[str, Result], rate: float) -> None:
    """Print the latencies of direct and routed calls and their difference."""
    for percentile in (50, 99):
        latencies_ms = {
            name: result.get_percentile_ms(percentile)
            for name, result in results.items()
        }
        for name, value in latencies_ms.items():
            print_figure(f"{name}_p{percentile}_ms", value, rate=rate)
        added = latencies_ms["routed"] - latencies_ms["direct"]
        target = {"target": TARGET_ADDED_P99_MS} if percentile == 99 else {}
        print_figure(f"added_p{percentile}_ms", added, rate=rate, **target)


def measure_rate(
    urls: dict[str, str],
    daemons: dict[str, psutil.Process],
    *,
    rate: float,
    seconds: float,
) -> None:
    """Run the load at ``rate`` calls per second and print its figures."""
    headers = {"Almond-Class": "read"}
    targets = [Target(name, url, headers, b"x" * 200) for name, url in urls.items()]
    asyncio.run(run_load(targets, rate=rate, seconds=WARM_UP_SECONDS, seed=1))
    before = {name: read_cpu_seconds(process) for name, process in daemons.items()}
    results = asyncio.run(run_load(targets, rate=rate, seconds=seconds, seed=2))
    print_latencies(results, rate)
    calls = results["routed"].latencies.get_total_count()
    for name, process in daemons.items():
        cpu_seconds = (read_cpu_seconds(process) - before[name]) / calls
        print_figure(
            f"{name}_cpu_us_per_call", cpu_seconds * 1e6, rate=rate, calls=calls
        )
    for name, result in results.items():
        failed = count_failed(result)
        print_figure(
            f"{name}_failed", failed, rate=rate, outcomes=dict(result.outcomes)
        )


def measure_call_depth(urls: dict[str, str], *, depth: int, rate: float) -> None:
    """Print the latency that routing adds per level of nested calls.

    The backend server calls itself ``depth`` times in a chain, either directly
    or through the daemons.
    """
    targets = []
    for name, url in urls.items():
        headers = {"Almond-Class": "read", "x-standin-call": url}
        headers["x-standin-depth"] = str(depth)
        targets.append(Target(name, url, headers, b"x" * 200))
    results = asyncio.run(
        run_load(targets, rate=rate, seconds=CALL_DEPTH_SECONDS, seed=depth)
    )
    for percentile in (50, 99):
        latencies_ms = {
            name: result.get_percentile_ms(percentile)
            for name, result in results.items()
        }
        added = latencies_ms["routed"] - latencies_ms["direct"]
        context = {"depth": depth, "rate": rate, **latencies_ms}
        print_figure(f"added_p{percentile}_ms_per_level", added / depth, **context)
    failed = sum(map(count_failed, results.values()))
    print_figure("depth_failed", failed, depth=depth)


def count_failed(result: Result) -> int:
    """Return how many calls got no complete response.

    A routed call is counted by its outcome. The response to a direct call carries
    none unless the call was shed, so the call is counted by its HTTP status.
    """
    complete = result.outcomes["complete"] + result.outcomes["200"]
    return sum(result.outcomes.values()) - complete


def main() -> None:
    """Start the processes, then measure every rate and every call depth."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=float, nargs="+", default=[68.0, 500.0])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--depths", type=int, nargs="*", default=[1, 5, 20])
    parser.add_argument("--depth-rate", type=float, default=5.0)
    arguments = parser.parse_args()
    uvloop.install()
    with contextlib.ExitStack() as stack:
        _, backend = stack.enter_context(
            start_process(*BACKEND_COMMAND, "--slots", "1000")
        )
        egress, line = stack.enter_context(
            start_process(*DAEMON_COMMAND, "--host", "egress", "--backend", backend)
        )
        peer = json.loads(line)["peer"]
        ingress, line = stack.enter_context(
            start_process(*DAEMON_COMMAND, "--host", "ingress", "--peer", peer)
        )
        callers = json.loads(line)["callers"]
        urls = {"direct": f"http://{backend}/x", "routed": f"http://{callers}/x"}
        daemons = {"ingress": ingress, "egress": egress}
        for rate in arguments.rates:
            measure_rate(urls, daemons, rate=rate, seconds=arguments.seconds)
        for depth in arguments.depths:
            measure_call_depth(urls, depth=depth, rate=arguments.depth_rate)


if __name__ == "__main__":
    main()
