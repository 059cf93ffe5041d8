"""Measures membership on simulated fleets, and ZeroMQ control links.

Prints one JSON line per figure. The simulated fleets run real `Membership`
objects on encoded messages; bytes include the estimated frame headers, and
time is simulated. Sizes are the arguments; 28, 56, 112 and 224 by default.
"""

from __future__ import annotations

import asyncio
import json
import math
import sys
import time
from collections.abc import Callable, Coroutine
from typing import Any

import psutil
import uvloop

from almondrouter.clock import SystemClock
from almondrouter.protocol.control import Head, Heartbeat, HeartbeatReply
from almondrouter.state.registry import BackendRecord
from almondrouter.transport.zeromq import ZmqControlEndpoint
from almondrouter_standins.fleet import SimulatedFleet, make_topology
from almondrouter_standins.simulation import run_simulated

SIZES = (28, 56, 112, 224)
DATA_CENTRES = 7
REGIONS = 2
DESIGN_SIZE = 680
IDLE_SECONDS = 30.0
MESSAGES = 10_000
LINKS = 50

Totals = dict[str, float]


def report(name: str, value: float, unit: str, **details: Any) -> None:
    """Print one figure."""
    line = {"bench": "membership", "figure": name, "value": round(value, 4)}
    print(json.dumps({**line, "unit": unit, **details}), flush=True)


def main() -> None:
    """Run everything."""
    sizes = tuple(map(int, sys.argv[1:])) or SIZES
    figures: dict[str, list[tuple[int, float]]] = {}
    for size in sizes:
        for name, (value, unit) in run_simulated(Scenario(size).run).items():
            report(name, value, unit, hosts=size)
            figures.setdefault(f"{name} [{unit}]", []).append((size, value))
    for name, points in figures.items():
        if len(points) > 1:
            report_slope(name, points)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure_links())


def report_slope(name: str, points: list[tuple[int, float]]) -> None:
    """Print the least-squares slopes and the values at the design size.

    Costs of the overlay grow with the logarithm of the size, those of pulls with
    the size, so both fits are given.
    """
    for fit, scale in (("linear", float), ("log2", math.log2)):
        xs = [scale(size) for size, _ in points]
        ys = [value for _, value in points]
        mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
        spread = sum((x - mean_x) ** 2 for x in xs)
        pairs = zip(xs, ys, strict=True)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
        worked_out = mean_y + slope * (scale(DESIGN_SIZE) - mean_x)
        report(
            f"slope of {name}",
            slope,
            f"per {'host' if fit == 'linear' else 'doubling'}",
            fit=fit,
            worked_out_for_680=round(worked_out, 4),
        )


class Scenario:
    """One fleet through idle time, a change, a death and mass failures."""

    def __init__(self, size: int) -> None:
        self.hosts = make_topology(
            data_centres=DATA_CENTRES,
            regions=REGIONS,
            hosts_each=size // DATA_CENTRES,
        )
        self.fleet: SimulatedFleet
        self.results: dict[str, tuple[float, str]] = {}

    async def run(self, clock: Any) -> dict[str, tuple[float, str]]:
        """Return values and units by name."""
        self.fleet = SimulatedFleet(clock, self.hosts)
        await self.fleet.start(self.hosts)
        await self._measure_agreement("fleet start", limit=120)
        for host, daemon in self.fleet.daemons.items():
            backend = BackendRecord(f"{host}-backend-1", "accounts", 9)
            daemon.membership.update_backends((backend,))
        await asyncio.sleep(30)
        await self._measure_idle()
        await self._measure_change()
        await self._measure_failures()
        await self.fleet.stop()
        return self.results

    async def _measure_idle(self) -> None:
        before, frames_sent = self._count(), self.fleet.network.frames_sent
        crossed = self._count_between_regions()
        started = time.process_time()
        await asyncio.sleep(IDLE_SECONDS)
        used = time.process_time() - started
        rates = self._rates(before, IDLE_SECONDS)
        frames_sent = self.fleet.network.frames_sent - frames_sent
        daemons = len(self.fleet.daemons)
        self._add("idle bytes, mean", sum(rates) / len(rates), "B/s sent and received")
        self._add("idle bytes, worst", max(rates), "B/s sent and received")
        self._add("idle messages", frames_sent / IDLE_SECONDS / daemons, "1/s sent")
        self._add("idle CPU", 100 * used / IDLE_SECONDS / daemons, "% of a core")
        crossed = (self._count_between_regions() - crossed) / IDLE_SECONDS
        self._add("idle bytes between regions", crossed, "B/s sent, whole fleet")

    async def _measure_change(self) -> None:
        seconds = 5.0
        before = self._count()
        await asyncio.sleep(seconds)
        idle = sum(self._rates(before, 1.0))
        before = self._count()
        daemon = next(iter(self.fleet.daemons.values()))
        started = self.fleet.clock.monotonic()
        daemon.membership.update_backends(())
        own = daemon.membership.record
        while any(
            other.registry.find(own.host) != own
            for other in self.fleet.daemons.values()
        ):
            await asyncio.sleep(0.01)
        spread = self.fleet.clock.monotonic() - started
        await asyncio.sleep(seconds - spread)
        cost = (sum(self._rates(before, 1.0)) - idle) / len(self.fleet.daemons)
        self._add("changed record", cost, "B sent and received per daemon")
        self._add("changed record known everywhere", spread, "s")

    async def _measure_failures(self) -> None:
        names = [host for host in self.hosts if host not in self.fleet.seeds]
        await self.fleet.kill(names[:1])
        await self._measure_agreement("death of one", limit=60)
        await self.fleet.start(names[:1])
        await asyncio.sleep(20)
        quarter = names[:: max(1, len(names) * 4 // len(self.hosts))]
        await self._with_cost("restart of a quarter", self._restart, quarter)
        await asyncio.sleep(20)
        third = names[:: max(1, len(names) * 3 // len(self.hosts))]
        await self._with_cost("death of a third", self.fleet.kill, third)
        await asyncio.sleep(20)
        await self._with_cost("return of a third", self.fleet.start, third)

    async def _restart(self, hosts: list[str]) -> None:
        await self.fleet.kill(hosts)
        await self.fleet.start(hosts)

    async def _with_cost(
        self,
        name: str,
        act: Callable[[list[str]], Coroutine[Any, Any, None]],
        hosts: list[str],
    ) -> None:
        before = self._count()
        await act(hosts)
        peaks = asyncio.create_task(self._watch_peak())
        spent = await self._measure_agreement(name, limit=120)
        peaks.cancel()
        rates = self._rates(before, spent)
        total = sum(rates) / len(rates) * spent
        self._add(f"{name}: bytes, mean", total, "B sent and received per daemon")
        self._add(f"{name}: bytes, worst", max(rates) * spent, "B sent and received")
        self._add(f"{name}: worst second", self._peak, "B sent and received")

    async def _watch_peak(self) -> None:
        self._peak = 0.0
        while True:
            before = self._count()
            await asyncio.sleep(1)
            self._peak = max(self._peak, *self._rates(before, 1.0))

    async def _measure_agreement(self, name: str, *, limit: float) -> float:
        spent = await self.fleet.run_until_converged(seconds=limit)
        self._add(f"{name}: until all agree", -1.0 if spent is None else spent, "s")
        return spent or limit

    def _count(self) -> Totals:
        return {
            host: sum(
                count.sent + count.received
                for count in daemon.endpoint.count_bytes().values()
            )
            for host, daemon in self.fleet.daemons.items()
        }

    def _count_between_regions(self) -> int:
        return sum(
            count.sent
            for host, daemon in self.fleet.daemons.items()
            for address, count in daemon.endpoint.count_bytes().items()
            if self.hosts[address][1] != self.hosts[host][1]
        )

    def _rates(self, before: Totals, seconds: float) -> list[float]:
        after = self._count()
        return [
            (total - before.get(host, 0.0)) / seconds
            for host, total in after.items()
            if total >= before.get(host, 0.0)
        ]

    def _add(self, name: str, value: float, unit: str) -> None:
        self.results[name] = (value, unit)


async def measure_links() -> None:
    """Measure heartbeats between ZeroMQ endpoints in this process."""
    process = psutil.Process()
    endpoints = [await open_endpoint(number) for number in range(LINKS + 1)]
    hub, others = endpoints[0], endpoints[1:]
    digests = {f"dc{n}": 2**63 + n for n in range(DATA_CENTRES)}
    message = Heartbeat("host000-dc0", 1_700_000_000_000, Head(1, "0" * 32), digests)
    before = process.memory_info().rss
    for other in others:
        await ask(hub, other.address, message)
    report(
        "memory of a link, both ends",
        (process.memory_info().rss - before) / LINKS / 1024,
        "KiB",
        links=LINKS,
    )
    target = others[0]
    count = hub.count_bytes()[target.address]
    before, started = count.sent + count.received, time.process_time()
    for _ in range(MESSAGES // 8):
        await asyncio.gather(*(ask(hub, target.address, message) for _ in range(8)))
    exchanges = MESSAGES // 8 * 8
    used = time.process_time() - started
    report(
        "CPU of a message, both ends and I/O threads",
        used / exchanges / 2 * 1e6,
        "µs",
        messages=2 * exchanges,
    )
    exchanged = count.sent + count.received - before
    report("bytes of a message", exchanged / exchanges / 2, "B with headers")
    for endpoint in endpoints:
        await endpoint.close()


async def open_endpoint(number: int) -> ZmqControlEndpoint:
    """Return a started endpoint that answers heartbeats."""
    endpoint = ZmqControlEndpoint(
        cluster="bench",
        host=f"host{number}",
        incarnation=1_700_000_000_000,
        address="127.0.0.1:0",
        clock=SystemClock(),
    )

    async def answer(message: Heartbeat, _host: str) -> HeartbeatReply:
        return HeartbeatReply(message.host, message.incarnation, message.head, {})

    endpoint.set_handler(Heartbeat, answer)
    await endpoint.start()
    return endpoint


async def ask(endpoint: ZmqControlEndpoint, address: str, message: Heartbeat) -> None:
    """Exchange one heartbeat."""
    deadline = time.monotonic() + 10
    await endpoint.request(address, message, deadline=deadline)


if __name__ == "__main__":
    main()
