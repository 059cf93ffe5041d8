"""An instance that was acknowledged to leave gets work again after a restart."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

from almondrouter_standins.platform_store import StoreFault  # noqa: E402

DRAIN_S = 2.5
STABLE_WINDOW_S = 3.0
DOWN_S = 4.5
RESTART_S = 0.3
SERVES_ON_S = 9.0
"""Seconds from its acknowledgement until the instance exits."""


async def send_traffic(hosts: list[harness.Host]) -> None:
    """Send requests as clients of some hosts until cancelled."""
    async with asyncio.TaskGroup() as group:
        while True:
            for host in hosts:
                group.create_task(host.send("/orders/a"))
            await asyncio.sleep(0.02)


async def play(fleet: harness.Fleet, record: harness.Record) -> tuple[float, float]:
    """Let an instance leave, and its daemon be restarted, while the store is down.

    Returns
    -------
    tuple
        Times of the acknowledgement and of the end of the disruption.
    """
    leaving = fleet.hosts[2]
    down_at = record.now()
    if harness.is_troubled():
        record.write("the store is down: it answers 503")
        fleet.store.fault = StoreFault.UNAVAILABLE
    await asyncio.sleep(0.3)
    leaving.instance.beating = False
    if not await leaving.instance.deregister():
        raise harness.CaseError("the deregistration was not acknowledged")
    acknowledged_at = record.now()
    leaving.signal(signal.SIGTERM)
    restart = asyncio.create_task(restart_daemon(leaving))
    await asyncio.sleep(max(0.0, down_at + DOWN_S - record.now()))
    record.write("the store is back")
    fleet.store.fault = StoreFault.NONE
    back_at = record.now()
    await restart
    await asyncio.sleep(max(0.0, acknowledged_at + SERVES_ON_S - record.now()))
    record.write(f"{leaving.instance.name} exits")
    await leaving.instance.close()
    return acknowledged_at, back_at


async def restart_daemon(host: harness.Host) -> None:
    """Wait for the end of a stopped daemon and start it again."""
    await host.process.wait()
    host.fleet.record.write(f"daemon {host.name} has stopped")
    await asyncio.sleep(RESTART_S)
    await host.start_daemon()


async def main(record: harness.Record) -> int:
    """Play the case."""
    services = ["front", "front", "orders", "orders"]
    fleet = harness.Fleet(record, services=services, work_s=0.05, slots=9)
    try:
        route = harness.make_route("orders", "/orders/", "orders")
        await fleet.start(harness.make_configuration(7, [route], ["front", "orders"]))
        await asyncio.sleep(6.0)
        traffic = asyncio.create_task(send_traffic(fleet.hosts[:2]))
        await asyncio.sleep(2.0)
        acknowledged_at, back_at = await play(fleet, record)
        traffic.cancel()
        await asyncio.gather(traffic, return_exceptions=True)
    finally:
        await fleet.close()
    runs = [run for run in fleet.hosts[2].instance.runs if run[0] > acknowledged_at]
    late = [run for run in runs if run[0] > acknowledged_at + DRAIN_S]
    # All machines are in touch again by then.
    in_touch = [run for run in late if run[0] > back_at + STABLE_WINDOW_S]
    record.say(f"requests that reached the instance later than drain_s: {len(late)}")
    record.say(f"of these, with all machines in touch: {len(in_touch)}")
    return harness.BROKEN if in_touch else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(main, FOLDER))
