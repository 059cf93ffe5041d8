"""Measures the membership protocol in simulated fleets, and ZeroMQ control links.

Prints one JSON line per figure. The simulated fleets run production `Membership`
objects that exchange encoded messages in virtual time; byte counts include the
estimated frame headers. Arguments: the fleet sizes, 28, 56, 112 and 224 by default.
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
from almondrouter.transport.control import ControlEndpoint
from almondrouter.transport.zeromq import ZmqControlEndpoint
from almondrouter_standins.simulated_fleet import SimulatedFleet, make_topology
from almondrouter_standins.simulation import run_simulated

SIZES = (28, 56, 112, 224)
DATA_CENTRE_COUNT = 7
REGION_COUNT = 2
# Fleet size that the figures are extrapolated to.
DESIGN_HOSTS = 680
IDLE_SECONDS = 30.0
MESSAGE_COUNT = 10_000
LINK_COUNT = 50

EndpointBytes = dict[ControlEndpoint, int]
"""Bytes sent and received by the endpoint of each daemon since it was started."""


def print_figure(name: str, value: float, unit: str, **details: Any) -> None:
    """Print one figure as a JSON line."""
    line = {"bench": "membership", "figure": name, "value": round(value, 4)}
    print(json.dumps({**line, "unit": unit, **details}), flush=True)


def main() -> None:
    """Measure every fleet size, print the slopes, then measure the links."""
    sizes = tuple(map(int, sys.argv[1:])) or SIZES
    figures: dict[str, list[tuple[int, float]]] = {}
    for size in sizes:
        for name, (value, unit) in run_simulated(Scenario(size).run).items():
            print_figure(name, value, unit, hosts=size)
            figures.setdefault(f"{name} [{unit}]", []).append((size, value))
    for name, points in figures.items():
        if len(points) > 1:
            print_slopes(name, points)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(measure_links())


def print_slopes(name: str, points: list[tuple[int, float]]) -> None:
    """Print least-squares slopes of a figure and its values at the design size.

    The number of overlay links per daemon grows with the logarithm of the fleet
    size, the size of a pull linearly, so both fits are printed.
    """
    for fit, scale in (("linear", float), ("log2", math.log2)):
        xs = [scale(size) for size, _ in points]
        ys = [value for _, value in points]
        mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
        variation = sum((x - mean_x) ** 2 for x in xs)
        pairs = zip(xs, ys, strict=True)
        slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / variation
        extrapolated = mean_y + slope * (scale(DESIGN_HOSTS) - mean_x)
        print_figure(
            f"slope of {name}",
            slope,
            f"per {'host' if fit == 'linear' else 'doubling'}",
            fit=fit,
            worked_out_for_680=round(extrapolated, 4),
        )


class Scenario:
    """Measures one fleet: idle, with a changed record, and through host failures.

    Parameters
    ----------
    size
        Number of hosts, rounded down to a multiple of the number of data centres.
    """

    def __init__(self, size: int) -> None:
        self.hosts = make_topology(
            data_centres=DATA_CENTRE_COUNT,
            regions=REGION_COUNT,
            hosts_each=size // DATA_CENTRE_COUNT,
        )
        self.fleet: SimulatedFleet
        self.results: dict[str, tuple[float, str]] = {}

    async def run(self, clock: Any) -> dict[str, tuple[float, str]]:
        """Run all measurements; return values and units by figure name."""
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
        before, frames_sent = self._count_bytes(), self.fleet.network.frames_sent
        cross_region_bytes = self._count_cross_region_bytes()
        started = time.process_time()
        await asyncio.sleep(IDLE_SECONDS)
        cpu_seconds = time.process_time() - started
        rates = [total / IDLE_SECONDS for total in self._count_bytes_since(before)]
        frames_sent = self.fleet.network.frames_sent - frames_sent
        daemons = len(self.fleet.daemons)
        self._add_figure(
            "idle bytes, mean", sum(rates) / len(rates), "B/s sent and received"
        )
        self._add_figure("idle bytes, worst", max(rates), "B/s sent and received")
        self._add_figure(
            "idle messages", frames_sent / IDLE_SECONDS / daemons, "1/s sent"
        )
        self._add_figure(
            "idle CPU", 100 * cpu_seconds / IDLE_SECONDS / daemons, "% of a core"
        )
        cross_region_bytes = (
            self._count_cross_region_bytes() - cross_region_bytes
        ) / IDLE_SECONDS
        self._add_figure(
            "idle bytes between regions", cross_region_bytes, "B/s sent, whole fleet"
        )

    async def _measure_change(self) -> None:
        seconds = 5.0
        before = self._count_bytes()
        await asyncio.sleep(seconds)
        idle = sum(self._count_bytes_since(before))
        before = self._count_bytes()
        daemon = next(iter(self.fleet.daemons.values()))
        started = self.fleet.clock.monotonic()
        daemon.membership.update_backends(())
        own = daemon.membership.record
        while any(
            other.registry.find(own.host) != own
            for other in self.fleet.daemons.values()
        ):
            await asyncio.sleep(0.01)
        propagation_seconds = self.fleet.clock.monotonic() - started
        await asyncio.sleep(seconds - propagation_seconds)
        cost = (sum(self._count_bytes_since(before)) - idle) / len(self.fleet.daemons)
        self._add_figure("changed record", cost, "B sent and received per daemon")
        self._add_figure("changed record known everywhere", propagation_seconds, "s")

    async def _measure_failures(self) -> None:
        names = [host for host in self.hosts if host not in self.fleet.seeds]
        await self.fleet.kill(names[:1])
        await self._measure_agreement("death of one", limit=60)
        await self.fleet.start(names[:1])
        await asyncio.sleep(20)
        quarter_of_hosts = names[:: max(1, len(names) * 4 // len(self.hosts))]
        await self._measure_event(
            "restart of a quarter", self._restart, quarter_of_hosts
        )
        await asyncio.sleep(20)
        third_of_hosts = names[:: max(1, len(names) * 3 // len(self.hosts))]
        await self._measure_event("death of a third", self.fleet.kill, third_of_hosts)
        await asyncio.sleep(20)
        await self._measure_event("return of a third", self.fleet.start, third_of_hosts)

    async def _restart(self, hosts: list[str]) -> None:
        await self.fleet.kill(hosts)
        await self.fleet.start(hosts)

    async def _measure_event(
        self,
        name: str,
        action: Callable[[list[str]], Coroutine[Any, Any, None]],
        hosts: list[str],
    ) -> None:
        before = self._count_bytes()
        await action(hosts)
        peak_tracker = asyncio.create_task(self._track_peak_rate())
        await self._measure_agreement(name, limit=120)
        peak_tracker.cancel()
        totals = self._count_bytes_since(before)
        self._add_figure(
            f"{name}: bytes, mean",
            sum(totals) / len(totals),
            "B sent and received per daemon",
        )
        self._add_figure(f"{name}: bytes, worst", max(totals), "B sent and received")
        self._add_figure(
            f"{name}: worst second", self._peak_rate, "B sent and received"
        )

    async def _track_peak_rate(self) -> None:
        self._peak_rate = 0.0
        while True:
            before = self._count_bytes()
            await asyncio.sleep(1)
            self._peak_rate = max(self._peak_rate, *self._count_bytes_since(before))

    async def _measure_agreement(self, name: str, *, limit: float) -> None:
        """Wait until all daemons agree; record the seconds, or -1 at the limit."""
        seconds_until_agreed = await self.fleet.run_until_converged(seconds=limit)
        self._add_figure(
            f"{name}: until all agree",
            -1.0 if seconds_until_agreed is None else seconds_until_agreed,
            "s",
        )

    def _count_bytes(self) -> EndpointBytes:
        return {
            daemon.endpoint: sum(
                count.sent + count.received
                for count in daemon.endpoint.count_bytes().values()
            )
            for daemon in self.fleet.daemons.values()
        }

    def _count_cross_region_bytes(self) -> int:
        return sum(
            count.sent
            for host, daemon in self.fleet.daemons.items()
            for address, count in daemon.endpoint.count_bytes().items()
            if self.hosts[address][1] != self.hosts[host][1]
        )

    def _count_bytes_since(self, before: EndpointBytes) -> list[int]:
        """Return the bytes that each daemon has sent and received since a count."""
        # A daemon that was restarted in between has another endpoint, whose count
        # began at 0.
        return [
            total - before.get(endpoint, 0)
            for endpoint, total in self._count_bytes().items()
        ]

    def _add_figure(self, name: str, value: float, unit: str) -> None:
        self.results[name] = (value, unit)


async def measure_links() -> None:
    """Measure the memory of ZeroMQ links, and CPU time and bytes of heartbeats.

    All endpoints run in this process, so the figures cover both ends of a link.
    """
    process = psutil.Process()
    endpoints = [await open_endpoint(number) for number in range(LINK_COUNT + 1)]
    hub, others = endpoints[0], endpoints[1:]
    digests = {f"dc{n}": 2**63 + n for n in range(DATA_CENTRE_COUNT)}
    message = Heartbeat("host000-dc0", 1_700_000_000_000, Head(1, "0" * 32), digests)
    before = process.memory_info().rss
    for other in others:
        await exchange_heartbeat(hub, other.address, message)
    print_figure(
        "memory of a link, both ends",
        (process.memory_info().rss - before) / LINK_COUNT / 1024,
        "KiB",
        links=LINK_COUNT,
    )
    target = others[0]
    count = hub.count_bytes()[target.address]
    before, started = count.sent + count.received, time.process_time()
    for _ in range(MESSAGE_COUNT // 8):
        await asyncio.gather(
            *(exchange_heartbeat(hub, target.address, message) for _ in range(8))
        )
    exchanges = MESSAGE_COUNT // 8 * 8
    cpu_seconds = time.process_time() - started
    print_figure(
        "CPU of a message, both ends and I/O threads",
        cpu_seconds / exchanges / 2 * 1e6,
        "µs",
        messages=2 * exchanges,
    )
    exchanged = count.sent + count.received - before
    print_figure("bytes of a message", exchanged / exchanges / 2, "B with headers")
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

    async def answer_heartbeat(message: Heartbeat, _host: str) -> HeartbeatReply:
        return HeartbeatReply(message.host, message.incarnation, message.head, {})

    endpoint.set_handler(Heartbeat, answer_heartbeat)
    await endpoint.start()
    return endpoint


async def exchange_heartbeat(
    endpoint: ZmqControlEndpoint, address: str, message: Heartbeat
) -> None:
    """Send a heartbeat and wait for its reply, for at most 10 s."""
    deadline = time.monotonic() + 10
    await endpoint.request(address, message, deadline=deadline)


if __name__ == "__main__":
    main()
