"""A version that a relay learns before it watches the store is not relayed."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from deployment import (  # noqa: E402
    HOST,
    Daemon,
    Deployment,
    Record,
    fetch,
    make_configuration,
    make_route,
    run_case,
)

CONFIG_APPLY_S = 2.5
STABLE_WINDOW_S = 3.0
JUDGED_UNTIL_S = 5.0
"""Seconds after the acknowledgement until which requests are sent on the new route."""
PROBE_INTERVAL_S = 0.25
REQUEST_INTERVAL_S = 0.05
ACKNOWLEDGED_AFTER_S = (0.6, 0.8, 1.0, 1.2, 0.7, 0.9)
"""Seconds from the start of the daemon to the acknowledgement, one for each round."""


async def send_forever(daemon: Daemon) -> None:
    """Send requests of a client to the service of the other region."""
    tasks = set()
    number = 0
    while True:
        number += 1
        headers = {"Host": HOST, "Attempt-Id": f"t{number}", "Deadline-Ms": "1000"}
        request = fetch(daemon.outbound, "GET", "/far/x", headers, timeout=1.5)
        task = asyncio.create_task(request)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def probe(
    record: Record, daemon: Daemon, name: str, acknowledged_at: float
) -> int:
    """Send requests on a new route to one daemon; return how many got 404 too late."""
    late = number = 0
    while (after := time.monotonic() - acknowledged_at) < JUDGED_UNTIL_S:
        number += 1
        attempt = f"{name}-{daemon.name}-{number}"
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "1000"}
        target = f"/{name}/x"
        response = await fetch(daemon.outbound, "GET", target, headers, timeout=1.5)
        record.note(f"{attempt} sent {after:.3f} s after it: {response.status}")
        late += after > CONFIG_APPLY_S and response.status == 404
        await asyncio.sleep(PROBE_INTERVAL_S)
    return late


async def play(record: Record, trouble: bool) -> bool:
    """Return whether each version was in force in time at the machines in touch."""
    routes = [make_route("far", "docs", "safe"), make_route("near", "shop", "safe")]
    deployment = Deployment(
        ["shop"] * 4 + ["docs"] * 2,
        make_configuration(routes),
        zones=["stolica-1"] * 4 + ["wawel-1"] * 2,
    )
    broken = 0
    try:
        await deployment.start(work_s=0.02)
        first, *others = deployment.daemons[:4]
        traffic = asyncio.create_task(send_forever(first))
        await asyncio.sleep(1.0)
        for place, delay in enumerate(ACKNOWLEDGED_AFTER_S):
            if trouble:
                await first.stop(signal.SIGTERM)
                await asyncio.sleep(1.0)
                await first.start()
            await asyncio.sleep(delay)
            name = f"new{place}"
            routes.append(make_route(name, "docs", "safe"))
            configuration = make_configuration(routes, version=f"r{9 + place}")
            value = json.dumps(configuration).encode()
            await deployment.store.put("op/config", value)
            acknowledged_at = time.monotonic()
            record.write(f"version r{9 + place} acknowledged, which adds /{name}/")
            probes = [probe(record, d, name, acknowledged_at) for d in others]
            late = await asyncio.gather(*probes)
            counts = {d.name: n for d, n in zip(others, late, strict=True)}
            record.write(f"404 later than {CONFIG_APPLY_S} s after it: {counts}")
            broken += any(late)
            await asyncio.sleep(STABLE_WINDOW_S)
        traffic.cancel()
        rounds = len(ACKNOWLEDGED_AFTER_S)
        record.write(f"rounds with the rule broken: {broken} of {rounds}")
        return not broken
    finally:
        await deployment.close()


sys.exit(run_case(Path(__file__).resolve().parent, play))
