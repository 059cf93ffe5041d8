"""Model of a request that crashes every backend server that runs it.

A caller keeps sending the crashing request (the poison) while other callers send
harmless requests (the innocents). The model counts crashed servers and affected
requests, with the product's quarantine or with a baseline of 3 immediate retries.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from almondrouter.clock import ManualClock
from almondrouter.coordination.quarantine import (
    CRASH_RETRY_DELAY_S,
    Quarantine,
    QuarantineMessage,
)
from almondrouter.coordination.retries import RetryBudget
from almondrouter.errors import AlmondError
from almondrouter_standins.virtual_time import run_virtual

HOST_COUNT = 8
SEND_COUNT = 20
POISON_FINGERPRINT = "poison"
CRASH_DELAY_SECONDS = 0.05
RESTART_SECONDS = 10.0
INNOCENT_SERVICE_SECONDS = 0.1
INNOCENT_CALLER_COUNT = 32
# Servers that the product chooses per request. A server that may not run the request
# now, because another suspect runs there, counts as well.
PRODUCT_CHOICES = 3


@dataclass(slots=True)
class CrashResult:
    """Effects of the crashing request.

    Parameters
    ----------
    crashes
        Backend servers that crashed.
    innocent_interrupted
        Attempts of harmless requests that a crash interrupted.
    innocent_condemned
        Refusals of harmless requests by the quarantine. A request that is refused
        again when its caller resends it counts again.
    """

    crashes: int = 0
    innocent_interrupted: int = 0
    innocent_condemned: int = 0


class _Host:
    """A daemon and its backend server, which is down until ``up_at``."""

    def __init__(self, number: int, clock: ManualClock) -> None:
        self.quarantine = Quarantine(host=f"host-{number}", clock=clock)
        self.budget = RetryBudget()
        self.up_at = 0.0
        self.running: dict[asyncio.Future[None], None] = {}


class _CrashFleet:
    def __init__(
        self, clock: ManualClock, *, use_product: bool, gossip_seconds: float
    ) -> None:
        self.clock = clock
        self.use_product = use_product
        self.gossip_seconds = gossip_seconds
        self.hosts = [_Host(number, clock) for number in range(HOST_COUNT)]
        self.result = CrashResult()
        self.rng = random.Random(7)

    async def send(self, fingerprint: str) -> bool:
        """Send a request through a random daemon, with retries.

        Return whether it was answered.
        """
        ingress = self.rng.choice(self.hosts)
        ingress.budget.record_call("class")
        # The baseline makes 3 retries after the first attempt.
        choices = PRODUCT_CHOICES + 1 if not self.use_product else PRODUCT_CHOICES
        for _ in range(choices):
            host = self._choose_host()
            if host is None or self._is_condemned(ingress, fingerprint):
                return False
            if self.use_product and not host.quarantine.may_run_now("b", fingerprint):
                continue
            if await self._run_request(host, fingerprint):
                return True
            if self.use_product:
                if not ingress.budget.try_spend("class"):
                    return False
                await asyncio.sleep(CRASH_RETRY_DELAY_S)
        return False

    def _choose_host(self) -> _Host | None:
        now = self.clock.monotonic()
        alive = [host for host in self.hosts if now >= host.up_at]
        return self.rng.choice(alive) if alive else None

    def _is_condemned(self, ingress: _Host, fingerprint: str) -> bool:
        try:
            ingress.quarantine.check_not_condemned(fingerprint)
        except AlmondError:
            self.result.innocent_condemned += fingerprint != POISON_FINGERPRINT
            return True
        return False

    async def _run_request(self, host: _Host, fingerprint: str) -> bool:
        if self._is_condemned(host, fingerprint):
            return False
        host.quarantine.begin_request("b", fingerprint)
        loop = asyncio.get_running_loop()
        done = loop.create_future()
        host.running[done] = None
        if fingerprint == POISON_FINGERPRINT:
            timer = loop.call_later(CRASH_DELAY_SECONDS, self._crash_host, host)
        else:
            timer = loop.call_later(INNOCENT_SERVICE_SECONDS, _complete_request, done)
        try:
            await done
        except ConnectionError:
            timer.cancel()
            self.result.innocent_interrupted += fingerprint != POISON_FINGERPRINT
            return False
        finally:
            host.running.pop(done, None)
        for message in host.quarantine.end_request("b", fingerprint, completed=True):
            self._broadcast_message(message)
        return True

    def _crash_host(self, host: _Host) -> None:
        self.result.crashes += 1
        host.up_at = self.clock.monotonic() + RESTART_SECONDS
        if self.use_product:
            self._broadcast_message(host.quarantine.record_crash("b"))
        for running in tuple(host.running):
            if not running.done():
                running.set_exception(ConnectionError())

    def _broadcast_message(self, message: QuarantineMessage) -> None:
        loop = asyncio.get_running_loop()
        for host in self.hosts:
            loop.call_later(self.gossip_seconds, host.quarantine.merge, message)

    async def send_poison(self, resend_seconds: float) -> None:
        """Send the crashing request `SEND_COUNT` times."""
        for _ in range(SEND_COUNT):
            await self.send(POISON_FINGERPRINT)
            await asyncio.sleep(resend_seconds)

    async def send_innocents(self, number: int) -> None:
        """Send harmless requests one after another; resend one that failed."""
        count = 0
        while True:
            answered = await self.send(f"innocent-{number}-{count}")
            count += answered
            await asyncio.sleep(0.01 if answered else 0.1)


def _complete_request(done: asyncio.Future[None]) -> None:
    if not done.done():  # The server may have crashed at the same time.
        done.set_result(None)


def run_crash(
    *, use_product: bool, gossip_seconds: float, resend_seconds: float
) -> CrashResult:
    """Send the crashing request `SEND_COUNT` times and count its effects.

    Parameters
    ----------
    use_product
        Whether to run the product's quarantine and retry budget instead of the
        baseline.
    gossip_seconds
        Seconds until a crash report has reached every daemon.
    resend_seconds
        Seconds after which the caller sends the request again.
    """
    clock = ManualClock()

    async def run_scenario() -> CrashResult:
        fleet = _CrashFleet(
            clock, use_product=use_product, gossip_seconds=gossip_seconds
        )
        innocent_callers = [
            asyncio.ensure_future(fleet.send_innocents(number))
            for number in range(INNOCENT_CALLER_COUNT)
        ]
        await asyncio.sleep(1.0)
        await fleet.send_poison(resend_seconds)
        for task in innocent_callers:
            task.cancel()
        return fleet.result

    return run_virtual(run_scenario(), clock)
