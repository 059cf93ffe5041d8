"""An acknowledged departure is undone by a late write of the store and a restart."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from deployment import (  # noqa: E402
    HOST,
    Deployment,
    Record,
    fetch,
    make_configuration,
    make_route,
    run_case,
)

DRAIN_S = 2.5
STABLE_WINDOW_S = 3.0
LATE_S = 5.0
"""Seconds after which the unanswered write takes effect; the pages allow 1 to 6."""
LEAVE_AFTER_S = 3.0
KILL_AFTER_S = 6.0
RECORD_KEY = "almondrouter/hosts/sidecar-0"


async def play(record: Record, trouble: bool) -> bool:
    """Return whether the instance got no request after its drain period."""
    configuration = make_configuration([make_route("read", "shop", "safe")])
    deployment = Deployment(["shop"] * 3, configuration)
    store = deployment.store
    lost: list[str] = []

    def lose_first_write(keys: list[str]) -> float | None:
        if RECORD_KEY not in keys or lost:
            return None
        lost.extend(keys)
        record.write(f"store: no answer to the write of {keys}; done {LATE_S} s later")
        return LATE_S

    try:
        await deployment.start(work_s=0.05)
        leaving = deployment.instances[0]
        # A new incarnation of the instance starts while the store loses answers.
        await leaving.close()
        leaving.server.port = 8145
        leaving.name, leaving.born = "i-0-next", int(time.time() * 1000)
        if trouble:
            store.plan_write = lose_first_write
        began = time.monotonic()
        await leaving.start()
        record.write("instance i-0-next starts")
        await asyncio.sleep(LEAVE_AFTER_S)
        store.plan_write = lambda keys: None
        leaving.beats = False
        while not await leaving.deregister():
            record.write("deregistration not acknowledged")
            await asyncio.sleep(0.5)
        acknowledged = time.monotonic()
        record.write("deregistration of i-0-next acknowledged")
        show(record, store.read(RECORD_KEY))
        await asyncio.sleep(began + KILL_AFTER_S - time.monotonic())
        show(record, store.read(RECORD_KEY))
        record.write("all daemons are killed and start again")
        await asyncio.gather(*(d.stop(signal.SIGKILL) for d in deployment.daemons))
        await asyncio.sleep(0.5)
        await asyncio.gather(*(d.start() for d in deployment.daemons))
        for daemon in deployment.daemons:
            await daemon.wait_until_ready()
        await asyncio.sleep(STABLE_WINDOW_S)
        in_touch = time.monotonic()
        record.write("the daemons have run and the store was sound for 3 s")
        for number in range(150):
            outbound = deployment.daemons[number % 3].outbound
            headers = {"Host": HOST, "Attempt-Id": f"q{number}", "Deadline-Ms": "3000"}
            response = await fetch(outbound, "GET", "/read/x", headers)
            record.write(f"q{number}: {response.status}")
            await asyncio.sleep(0.02)
        late = [
            request.get("attempt-id")
            for at, request in leaving.runs
            if at > max(in_touch, acknowledged + DRAIN_S)
        ]
        record.write(f"run by i-0-next after its drain period: {late}")
        return not late
    finally:
        await deployment.close()


def show(record: Record, entry: dict | None) -> None:
    """Record what the store holds of the machine of the instance."""
    if entry is None:
        record.write("store: no record of sidecar-0")
        return
    state = (entry.get("backend") or {}).get("state")
    record.write(f"store: sidecar-0 {state}, departure {entry.get('departure')}")


sys.exit(run_case(Path(__file__).resolve().parent, play))
