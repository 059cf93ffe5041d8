"""Model of one request that crashes each backend server that runs it."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from almondrouter.clock import ManualClock
from almondrouter.coordination.quarantine import (
    RETRY_DELAY_SECONDS,
    Quarantine,
    QuarantineMessage,
)
from almondrouter.coordination.retries import RetryBudget
from almondrouter.errors import AlmondError
from almondrouter_standins.virtual_time import run_virtual

SERVERS = 8
SENDS = 20
POISON = "poison"
RUN_SECONDS = 0.05
RESTART_SECONDS = 10.0
INNOCENT_SECONDS = 0.1
INNOCENT_CALLERS = 32
CHOICES = 3


@dataclass(slots=True)
class CrashResult:
    """Servers lost to the request, and what innocent requests had to bear."""

    crashes: int = 0
    innocent_cut: int = 0
    innocent_condemned: int = 0


class _Host:
    def __init__(self, number: int, clock: ManualClock) -> None:
        self.quarantine = Quarantine(host=f"host-{number}", clock=clock)
        self.budget = RetryBudget()
        self.up_at = 0.0
        self.running: dict[asyncio.Future[None], None] = {}


class _CrashFleet:
    def __init__(self, clock: ManualClock, *, ours: bool, gossip: float) -> None:
        self.clock = clock
        self.ours = ours
        self.gossip = gossip
        self.hosts = [_Host(number, clock) for number in range(SERVERS)]
        self.result = CrashResult()
        self.chance = random.Random(7)

    async def send(self, fingerprint: str) -> bool:
        """Send a request through a random daemon; return whether it was answered."""
        entry = self.chance.choice(self.hosts)
        entry.budget.record_call("class")
        attempts = CHOICES + 1 if not self.ours else CHOICES
        for _ in range(attempts):
            host = self._choose()
            if host is None or self._refused(entry, fingerprint):
                return False
            if self.ours and not host.quarantine.may_run_now("b", fingerprint):
                continue
            if await self._run(host, fingerprint):
                return True
            if self.ours:
                if not entry.budget.try_spend("class"):
                    return False
                await asyncio.sleep(RETRY_DELAY_SECONDS)
        return False

    def _choose(self) -> _Host | None:
        now = self.clock.monotonic()
        alive = [host for host in self.hosts if now >= host.up_at]
        return self.chance.choice(alive) if alive else None

    def _refused(self, entry: _Host, fingerprint: str) -> bool:
        try:
            entry.quarantine.check(fingerprint)
        except AlmondError:
            self.result.innocent_condemned += fingerprint != POISON
            return True
        return False

    async def _run(self, host: _Host, fingerprint: str) -> bool:
        if self._refused(host, fingerprint):
            return False
        host.quarantine.begin("b", fingerprint)
        loop = asyncio.get_running_loop()
        done = loop.create_future()
        host.running[done] = None
        if fingerprint == POISON:
            timer = loop.call_later(RUN_SECONDS, self._crash, host)
        else:
            timer = loop.call_later(INNOCENT_SECONDS, _answer, done)
        try:
            await done
        except ConnectionError:
            timer.cancel()
            self.result.innocent_cut += fingerprint != POISON
            return False
        finally:
            host.running.pop(done, None)
        for message in host.quarantine.end("b", fingerprint, completed=True):
            self._spread(message)
        return True

    def _crash(self, host: _Host) -> None:
        self.result.crashes += 1
        host.up_at = self.clock.monotonic() + RESTART_SECONDS
        if self.ours:
            self._spread(host.quarantine.record_crash("b"))
        for running in tuple(host.running):
            if not running.done():
                running.set_exception(ConnectionError())

    def _spread(self, message: QuarantineMessage) -> None:
        loop = asyncio.get_running_loop()
        for host in self.hosts:
            loop.call_later(self.gossip, host.quarantine.merge, message)

    async def send_poison(self, interval: float) -> None:
        for _ in range(SENDS):
            await self.send(POISON)
            await asyncio.sleep(interval)

    async def send_innocents(self, number: int) -> None:
        """Send new requests one after the other; send cut ones again."""
        count = 0
        while True:
            answered = await self.send(f"innocent-{number}-{count}")
            count += answered
            await asyncio.sleep(0.01 if answered else 0.1)


def _answer(done: asyncio.Future[None]) -> None:
    if not done.done():  # A crash in the same instant came first.
        done.set_result(None)


def run_crash(*, ours: bool, gossip: float, interval: float) -> CrashResult:
    """Send the crashing request `SENDS` times; count what it does.

    Parameters
    ----------
    gossip
        Seconds until a report has reached every daemon.
    interval
        Seconds after which the caller sends the request again.
    """
    clock = ManualClock()

    async def play() -> CrashResult:
        fleet = _CrashFleet(clock, ours=ours, gossip=gossip)
        others = [
            asyncio.ensure_future(fleet.send_innocents(number))
            for number in range(INNOCENT_CALLERS)
        ]
        await asyncio.sleep(1.0)
        await fleet.send_poison(interval)
        for task in others:
            task.cancel()
        return fleet.result

    return run_virtual(play(), clock)
