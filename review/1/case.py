"""Clients that leave at once use up the slots of every instance for good."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

REQUESTS_PER_S = 40.0
LEAVING_SHARE = 0.3
CALM_S = 5.0
TROUBLE_S = 5.0
AFTER_S = 40.0
SLOTS = 3
WORK_S = 0.02
MAX_UNSERVED_SHARE = 0.6


async def send_and_leave(host: harness.Host) -> None:
    """Send a request and end the connection at once with a reset."""
    attempt = f"{next(host.fleet.attempts):016x}"
    headers = {
        "Host": harness.VIRTUAL_HOST,
        "Attempt-Id": attempt,
        "Deadline-Ms": "3000",
    }
    ip, _, port = host.outbound.partition(":")
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError), socket.socket() as item:
        item.setblocking(False)
        await loop.sock_connect(item, (ip, int(port)))
        item.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        item.send(harness.encode_request("GET", "/orders/a", headers))
    host.fleet.record.write(f"client {host.name} {attempt}: sent, left at once")


async def play_phase(
    fleet: harness.Fleet, seconds: float, *, leaving: bool
) -> Counter[int]:
    """Send requests at a steady rate; return how many got which status."""
    clients: list[asyncio.Task] = []
    left: list[asyncio.Task] = []
    for _ in range(int(seconds * REQUESTS_PER_S)):
        host = random.choice(fleet.hosts)
        if leaving and random.random() < LEAVING_SHARE:
            left.append(asyncio.create_task(send_and_leave(host)))
        else:
            clients.append(asyncio.create_task(host.send("/orders/a")))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*left)
    replies = await asyncio.gather(*clients)
    fleet.record.say(f"left at once: {len(left)}")
    return Counter(reply.status for reply in replies)


async def main(record: harness.Record) -> int:
    """Play the case."""
    services = ["orders"] * 3
    fleet = harness.Fleet(record, services=services, work_s=WORK_S, slots=SLOTS)
    owed: Counter[int] = Counter()
    try:
        route = harness.make_route("orders", "/orders/", "orders")
        await fleet.start(harness.make_configuration(7, [route], ["orders"]))
        await asyncio.sleep(4.0)
        for name, seconds, leaving in (
            ("calm", CALM_S, False),
            ("clients leave", TROUBLE_S, harness.is_troubled()),
            ("calm", CALM_S, False),
            ("clients leave", TROUBLE_S, harness.is_troubled()),
            ("calm again", AFTER_S, False),
        ):
            record.say(f"phase: {name}, {seconds:g} s")
            statuses = await play_phase(fleet, seconds, leaving=leaving)
            record.say(f"answers by status: {dict(statuses)}")
            owed += statuses
        running = [host.instance.running for host in fleet.hosts]
        record.say(f"requests that the instances run now: {running}")
    finally:
        await fleet.close()
    unserved = 1 - owed[200] / owed.total()
    record.say(f"refused and failed of those owed, whole run: {unserved:.1%}")
    if not owed[200]:
        return harness.NOT_RUN
    return harness.BROKEN if unserved > MAX_UNSERVED_SHARE else harness.HELD


if __name__ == "__main__":
    sys.exit(harness.run_case(main, FOLDER))
