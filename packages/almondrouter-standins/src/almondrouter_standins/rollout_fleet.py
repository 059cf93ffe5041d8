"""A fleet in virtual time that rolls a service out, with the real decisions.

The daemons' `Rollouts`, `VersionFilter` and `RunTally` are those of the product. Links,
store, backend servers and callers are simulated in one process.
"""

from __future__ import annotations

import asyncio
import random as random_module
from collections.abc import Callable

import msgspec

from almondrouter.clock import ManualClock
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.rollouts.members import list_ready
from almondrouter.coordination.rollouts.tally import Run
from almondrouter.protocol.calls import CallReply
from almondrouter.protocol.headers import Outcome
from almondrouter.transport.store import WatchEvent
from almondrouter_standins.rollout_hosts import VirtualHost
from almondrouter_standins.rollout_servers import (
    BASE_FAILURE_SHARE,
    COLD_S,
    MAX_QUEUE,
    NEW,
    OLD,
    ONCE_ROUTES,
    REGIONS,
    RETRY_SHARE,
    ROUTES,
    SERVICE,
    SLOTS,
    WATCH_DELAY_S,
    Counts,
    Fault,
    Server,
)
from almondrouter_standins.rollout_store import VirtualStore
from almondrouterd.platform.rollouts import (
    ORDERS_PREFIX,
    STATUSES_PREFIX,
)


class RolloutFleet:
    """Hosts with old and new servers, and callers at every host.

    Parameters
    ----------
    old, new
        Numbers of servers.
    callers
        Number of hosts without a server.
    fault
        Fault of the new version.
    seed
        Seed of all random values.
    load
        Share of the old servers' slots that the callers need.
    rate
        Requests a second; overrides ``load``.
    """

    def __init__(
        self,
        *,
        old: int,
        new: int,
        fault: Fault,
        callers: int = 0,
        seed: int = 1,
        load: float = 0.4,
        rate: float | None = None,
        old_fault: Fault | None = None,
    ) -> None:
        self.random = random_module.Random(seed)
        self.clock = ManualClock()
        self.store = VirtualStore(self.clock)
        self.directory = HostDirectory(clock=self.clock, is_alive=lambda a: True)
        self.hosts: dict[str, VirtualHost] = {}
        self.counts = Counts()
        self.notices = 0
        self.cut_region = ""
        self._old, self._new, self._callers = old, new, callers
        self._fault, self._old_fault = fault, old_fault
        mean = sum(share * seconds for share, seconds in ROUTES.values())
        self.rate = rate or load * old * SLOTS / mean
        self._ordered_at: float | None = None
        self._duration = 0.0

    def find_ready(self, service: str) -> list[tuple[str, str]]:
        """Return name and version of the ready servers."""
        return list_ready(self.directory, service)

    def add_host(self, version: str = "") -> VirtualHost:
        """Start a host, with a server of a version unless that is empty."""
        number, now = len(self.hosts), self.clock.monotonic()
        speed = self.random.uniform(0.6, 1.6)
        server = Server(f"i{number}", version, speed, now) if version else None
        host = self.hosts[f"h{number}"] = VirtualHost(self, number, server)
        self.directory.put(host.record)
        host.start()
        return host

    def replace_daemon(self, host: VirtualHost) -> VirtualHost:
        """Kill the daemon of a host and start another one, which knows nothing."""
        host.stop()
        fresh = self.hosts[host.name] = VirtualHost(self, host.number, host.server)
        self.directory.put(fresh.record)
        fresh.start()
        return fresh

    async def order(self, duration: float, *, target: str = NEW) -> None:
        """Write an order; the relays hear of it, and the others from them."""
        value = msgspec.json.encode(
            {"service": SERVICE, "target_version": target, "duration_s": duration}
        )
        key = ORDERS_PREFIX + SERVICE
        revision = self.store.put(key, value)
        self._ordered_at, self._duration = self.clock.monotonic(), duration
        self.counts = Counts()
        await asyncio.sleep(WATCH_DELAY_S)
        for host in tuple(self.hosts.values()):
            if host.number < REGIONS and not host.is_cut:
                host.orders.apply(WatchEvent(key, value, revision))

    @property
    def state(self) -> str:
        """Stored state of the roll-out."""
        value = self.store.get(STATUSES_PREFIX + SERVICE)
        return msgspec.json.decode(value)["state"] if value else ""

    async def run(
        self,
        *,
        duration: float = 12.0,
        appear_after: float = 1.0,
        script: Callable[[RolloutFleet], object] | None = None,
        overtime: float = 6.0,
    ) -> Counts:
        """Order a roll-out and run until some time after its deadline.

        Parameters
        ----------
        appear_after
            Seconds from the order to the start of the new servers.
        script
            Coroutine function that disturbs the fleet after the order.
        """
        for _ in range(self._old):
            self.add_host(OLD)
        for _ in range(self._callers):
            self.add_host()
        self.clock.advance(60.0)
        traffic = self.start_traffic()
        await asyncio.sleep(1.0)
        await self.order(duration)
        disturbance = asyncio.create_task(script(self)) if script else None
        await asyncio.sleep(appear_after)
        for _ in range(self._new):
            self.add_host(NEW)
        await self._watch_status(duration + overtime)
        traffic.cancel()
        if disturbance is not None:
            await disturbance
        return self.counts

    def start_traffic(self) -> asyncio.Task:
        """Let callers send requests until the task is cancelled."""
        return asyncio.create_task(self._send_forever())

    def remove_order(self) -> None:
        """Remove the order; the relays hear of it."""
        key = ORDERS_PREFIX + SERVICE
        revision = self.store.remove(key)
        for host in tuple(self.hosts.values()):
            if host.number < REGIONS:
                host.orders.apply(WatchEvent(key, None, revision))

    async def _watch_status(self, seconds: float) -> None:
        while (elapsed := self.elapsed) < seconds:
            final = self.state in ("completed", "rolled_back")
            if final and self.counts.decided_at is None:
                self.counts.decided_at = elapsed
            decided_at = self.counts.decided_at
            if decided_at is not None and elapsed > max(self._duration, decided_at + 3):
                return
            await asyncio.sleep(0.05)

    @property
    def elapsed(self) -> float:
        """Seconds since the order."""
        return self.clock.monotonic() - self._ordered_at

    async def _send_forever(self) -> None:
        routes = list(ROUTES)
        weights = [share for share, _ in ROUTES.values()]
        while True:
            await asyncio.sleep(self.random.expovariate(self.rate))
            hosts = [h for h in self.hosts.values() if not h.is_cut]
            host = self.random.choice(hosts)
            self._send(host, self.random.choices(routes, weights)[0], is_first=True)

    def _send(self, host: VirtualHost, route: str, *, is_first: bool) -> None:
        choices = host.versions.list_choices(
            SERVICE, route, is_first=is_first, repeatable=route not in ONCE_ROUTES
        )
        for destinations in choices:
            if not destinations:
                continue
            names = [d.host for d in destinations]
            sampled = self.random.sample(names, min(2, len(names)))
            peers = [self.hosts[name] for name in sampled]
            peer = min(peers, key=lambda p: p.server.runs_in_flight)
            if len(peer.server.waiting) < MAX_QUEUE:
                asyncio.get_running_loop().call_later(
                    0.005, self._arrive, host, peer, route, is_first
                )
                return
        self.counts.wasted += 1

    def _arrive(
        self, host: VirtualHost, peer: VirtualHost, route: str, is_first: bool
    ) -> None:
        def begin() -> None:
            self._begin(host, peer, route, is_first)

        if peer.server.runs_in_flight < SLOTS:
            begin()
        else:
            peer.server.waiting.append(begin)

    def _begin(
        self, host: VirtualHost, peer: VirtualHost, route: str, is_first: bool
    ) -> None:
        server, now = peer.server, self.clock.monotonic()
        version = server.entry.version
        if peer.versions.is_barred(SERVICE, version):
            self._send(host, route, is_first=False)
            return
        server.runs_in_flight += 1
        failure_share, factor = self._find_fault(server, route, now)
        if self._ordered_at is not None and self.elapsed <= self._duration:
            self.counts.total += 1
        if version == NEW and self._ordered_at is not None:
            self.counts.last_sent = self.elapsed
            self.counts.exposed += self.elapsed <= self._duration
        seconds = ROUTES[route][1] * server.speed * factor
        seconds *= self.random.lognormvariate(-0.08, 0.4)
        seconds *= 2.0 if now - server.born < COLD_S else 1.0
        failed = self.random.random() < max(failure_share, BASE_FAILURE_SHARE)
        run = peer.tally.begin(version, route, "")
        asyncio.get_running_loop().call_later(
            seconds,
            lambda: self._end(host, peer, run, route, failed, factor > 2, is_first),
        )

    def _find_fault(
        self, server: Server, route: str, now: float
    ) -> tuple[float, float]:
        if server.entry.version == NEW:
            return self._fault(server, route, now)
        if self._old_fault is not None:
            return self._old_fault(server, route, now)
        return 0.0, 1.0

    def _end(
        self,
        host: VirtualHost,
        peer: VirtualHost,
        run: Run | None,
        route: str,
        failed: bool,
        is_slow: bool,
        is_first: bool,
    ) -> None:
        server = peer.server
        server.runs_in_flight -= 1
        status = 500 if failed else 200
        reply = CallReply(0, Outcome.COMPLETE, status, (), b"", "", None)
        peer.tally.end(run, reply)
        if server.entry.version == NEW and (failed or is_slow):
            self.counts.bad_at.append(self.elapsed)
        if server.waiting and server.runs_in_flight < SLOTS:
            server.waiting.popleft()()
        repeats = failed and is_first and route not in ONCE_ROUTES
        if repeats and self.random.random() < RETRY_SHARE:
            self._send(host, route, is_first=False)
