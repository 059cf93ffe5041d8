"""Open-loop load generator: calls start on schedule, however slow earlier ones are."""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field

import aiohttp
import uuid6
import uvloop
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


def make_histogram() -> HdrHistogram:
    """Return an empty histogram of latencies in microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(frozen=True, slots=True)
class Target:
    """A POST request that the load generator repeats.

    Parameters
    ----------
    name
        Key of the target's results.
    url, headers, body
        Contents of the request.
    keyed
        Whether each call gets its own idempotency key.
    """

    name: str
    url: str
    headers: dict[str, str]
    body: bytes = b"{}"
    keyed: bool = False


@dataclass(slots=True)
class Result:
    """Latencies in microseconds and outcomes of the calls to one target."""

    latencies: HdrHistogram = field(default_factory=make_histogram)
    outcomes: Counter[str] = field(default_factory=Counter)

    def get_percentile_ms(self, percentile: float) -> float:
        """Return the latency at a percentile from 0 to 100, in milliseconds."""
        return self.latencies.get_value_at_percentile(percentile) / 1000


async def run_load(
    targets: list[Target], *, rate: float, seconds: float, seed: int
) -> dict[str, Result]:
    """Call all targets in turn, with exponentially distributed gaps between calls.

    Parameters
    ----------
    rate
        Average number of calls per second to each target.
    seconds
        Time in which calls are started; those in flight are then awaited.
    seed
        Seed of the gaps.

    Returns
    -------
    dict
        Results by name of the target.
    """
    gap_source = random.Random(seed)
    results = {target.name: Result() for target in targets}
    tasks: set[asyncio.Task] = set()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        due = begin = time.monotonic()
        index = 0
        while due < begin + seconds:
            await asyncio.sleep(due - time.monotonic())
            target = targets[index % len(targets)]
            task = asyncio.create_task(
                _send_call(session, target, results[target.name])
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            due += gap_source.expovariate(rate * len(targets))
            index += 1
        if tasks:
            await asyncio.wait(tasks)
    return results


async def _send_call(
    session: aiohttp.ClientSession, target: Target, result: Result
) -> None:
    headers = target.headers
    if target.keyed:
        headers = {**headers, "Idempotency-Key": str(uuid6.uuid7())}
    started = time.perf_counter_ns()
    try:
        async with session.post(
            target.url, headers=headers, data=target.body
        ) as response:
            await response.read()
    except (aiohttp.ClientError, TimeoutError) as error:
        result.outcomes[type(error).__name__] += 1
        return
    elapsed = (time.perf_counter_ns() - started) // 1000
    result.latencies.record_value(min(elapsed, MAX_LATENCY_US))
    outcome = response.headers.get("Almond-Outcome", str(response.status))
    result.outcomes[outcome] += 1


def main() -> None:
    """Run the load generator as a command; print one JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--url", required=True)
    parser.add_argument("--class", dest="class_name", required=True)
    parser.add_argument("--rate", type=float, default=68.0, help="calls per second")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--keyed", action="store_true", help="send idempotency keys")
    arguments = parser.parse_args()
    uvloop.install()
    headers = {"Almond-Class": arguments.class_name}
    target = Target("load", arguments.url, headers, keyed=arguments.keyed)
    load = run_load(
        [target], rate=arguments.rate, seconds=arguments.seconds, seed=arguments.seed
    )
    result = asyncio.run(load)["load"]
    summary = {
        "calls": sum(result.outcomes.values()),
        "outcomes": dict(result.outcomes),
    }
    for percentile in (50, 90, 99, 99.9):
        summary[f"p{percentile:g}_ms"] = round(result.get_percentile_ms(percentile), 3)
    print(json.dumps(summary))


if __name__ == "__main__":
    main()
