"""A frozen daemon delays a configuration on machines that are not frozen."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

CONFIG_APPLY_S = 2.5
FREEZE_S = 3.5
HOSTS = 10
ROUNDS = 7
CALM_S = 6.0
"""Seconds between two freezes, longer than ``stable_window_s``."""
NOT_FOUND = 404


async def play_round(fleet: harness.Fleet, number: int) -> list[float]:
    """Freeze one daemon and change the configuration.

    Returns
    -------
    list
        Seconds after the acknowledgement at which requests were sent that only an
        older version refuses.
    """
    record = fleet.record
    frozen, *others = fleet.hosts
    if harness.is_troubled():
        frozen.signal(signal.SIGSTOP)
    began_at = record.now()
    routes = [
        harness.make_route(f"route-{index}", f"/front/{index}/", "front")
        for index in range(number + 1)
    ]
    services = ["front", "billing"]
    acknowledged_at = await fleet.configure(
        harness.make_configuration(10 + number, routes, services)
    )
    await asyncio.sleep(CONFIG_APPLY_S + 0.02)
    late = []
    while record.now() < began_at + FREEZE_S:
        sent = record.now() - acknowledged_at
        replies = await asyncio.gather(
            *(host.send(f"/front/{number}/a") for host in others)
        )
        late += [sent for reply in replies if reply.status == NOT_FOUND]
        await asyncio.sleep(0.05)
    frozen.signal(signal.SIGCONT)
    return late


async def main(record: harness.Record) -> int:
    """Play the case."""
    services = ["billing"] + ["front"] * (HOSTS - 1)
    fleet = harness.Fleet(record, services=services, work_s=0.02, slots=9)
    rounds_broken = 0
    try:
        first = harness.make_route("route-0", "/front/0/", "front")
        configuration = harness.make_configuration(7, [first], ["front", "billing"])
        await fleet.start(configuration)
        for number in range(1, ROUNDS + 1):
            await asyncio.sleep(CALM_S)
            late = await play_round(fleet, number)
            rounds_broken += bool(late)
            record.say(
                f"round {number}: {len(late)} requests with 404 later than "
                f"{CONFIG_APPLY_S} s after the ack"
                + (f", up to {max(late):.2f} s" if late else "")
            )
    finally:
        await fleet.close()
    record.say(f"rounds with the rule broken: {rounds_broken} of {ROUNDS}")
    return harness.BROKEN if rounds_broken else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(main, FOLDER))
