"""A small discrete-event model of callers, daemons and backend servers.

It runs the product's Admission, LeastOccupied and RetryBudget, or the baseline
(round-robin, 3 retries, FIFO queue), in virtual time under the same arrivals.
It is a bench of policies: links lose nothing and daemons take no time.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from almondrouter.clock import ManualClock
from almondrouter.coordination.admission import Admission
from almondrouter.coordination.retries import RetryBudget
from almondrouter.coordination.routing import (
    LeastOccupied,
    LoadBalancingPolicy,
    RoundRobin,
)
from almondrouter.protocol.headers import Outcome
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.state.snapshot import Destination
from almondrouter_standins.virtual_time import run_virtual
from load_servers import AdmittingServer, FifoServer, Reply, Server, Service, WorkClass

REGION_ROUND_TRIP = 0.001
REMOTE_ROUND_TRIP = 0.020
DEAD_AFTER_SECONDS = 6.0
# Load goes on after the measured time, or calls that wait then would all be
# answered in the calm that follows.
TAIL_SECONDS = 5.0
FURTHER_CHOICES = 2
BASELINE_RETRIES = 3


@dataclass(slots=True)
class Tally:
    """Calls by class name: offered, answered in time, and attempts sent."""

    offered: Counter[str] = field(default_factory=Counter)
    good: Counter[str] = field(default_factory=Counter)
    attempts: Counter[str] = field(default_factory=Counter)


class Fleet:
    """Backend servers and the daemons that calls enter through.

    Parameters
    ----------
    service
        What is called.
    ours
        Whether the product's policies run, or the baseline's.
    seed
        Seed of the random choices.
    admission_type
        Makes the admission of each server, if the product's policies run.
    """

    def __init__(
        self,
        service: Service,
        clock: ManualClock,
        *,
        ours: bool,
        seed: int,
        admission_type: Callable[..., Admission] = Admission,
    ) -> None:
        self.service = service
        self.clock = clock
        self.ours = ours
        self.tally = Tally()
        places = [_place(n, service) for n in range(service.servers)]
        self.servers: dict[str, Server] = {
            place.backend: (
                AdmittingServer(place, clock, admission_type)
                if ours
                else FifoServer(place, clock)
            )
            for place in places
        }
        self.ingresses = [
            _Ingress(place, self._policy(place, seed)) for place in places
        ]

    def destinations(self) -> list[Destination]:
        """Return the servers that membership does not hold to be dead."""
        now = self.clock.monotonic()
        return [
            server.destination
            for server in self.servers.values()
            if server.alive or now < server.died_at + DEAD_AFTER_SECONDS
        ]

    async def call(self, work: WorkClass, seconds: float, ingress: int) -> None:
        """Make one call through one daemon and count its result."""
        start = self.clock.monotonic()
        tally = self.tally
        tally.offered[work.name] += 1
        entry = self.ingresses[ingress]
        run = self._call_ours if self.ours else self._call_baseline
        reply = await run(entry, work, seconds, start + work.within)
        if reply and reply.good and self.clock.monotonic() - start <= work.within:
            tally.good[work.name] += 1

    async def attempt(
        self,
        entry: _Ingress,
        target: Destination,
        work: WorkClass,
        seconds: float,
        deadline: float,
    ) -> Reply:
        """Send a call to one server and bring its reply back."""
        self.tally.attempts[work.name] += 1
        server = self.servers[target.backend]
        one_way = _round_trip(entry.place, target) / 2
        entry.policy.record_start(target)
        sent = self.clock.monotonic()
        await asyncio.sleep(one_way)
        if server.alive:
            reply = await server.serve(work, seconds, deadline - one_way)
            reply = reply if server.alive else Reply(Outcome.UNKNOWN)
        else:
            reply = Reply(Outcome.NOT_RUN)
        await asyncio.sleep(one_way)
        entry.policy.record_end(
            target,
            outcome=reply.outcome,
            load=reply.load,
            elapsed=self.clock.monotonic() - sent,
            failed=reply.failed,
        )
        return reply

    async def _call_ours(
        self, entry: _Ingress, work: WorkClass, seconds: float, deadline: float
    ) -> Reply | None:
        entry.budget.record_call(work.name)
        tried: list[str] = []
        reply = None
        further = FURTHER_CHOICES
        while self.clock.monotonic() < deadline:
            target = entry.policy.choose(
                self.destinations(),
                now=self.clock.monotonic(),
                excluded=tried,
                priority=work.priority,
            )
            if target is None:
                return reply
            reply = await self.attempt(entry, target, work, seconds, deadline)
            tried.append(target.backend)
            if reply.good:
                return reply
            if reply.outcome is not Outcome.NOT_RUN:
                if not entry.budget.try_spend(work.name):
                    return reply
            elif reply.load is not None:
                # A refused link is no busy server; it costs no further choice.
                if not further:
                    return reply
                further -= 1
        return reply

    async def _call_baseline(
        self, entry: _Ingress, work: WorkClass, seconds: float, deadline: float
    ) -> Reply | None:
        reply = None
        for _ in range(1 + BASELINE_RETRIES):
            now = self.clock.monotonic()
            target = entry.policy.choose(self.destinations(), now=now)
            if target is None:
                return reply
            attempt = asyncio.ensure_future(
                self.attempt(entry, target, work, seconds, deadline)
            )
            # The caller stops waiting, but nobody tells the server.
            done, _ = await asyncio.wait([attempt], timeout=work.within)
            if done and attempt.result().good:
                return attempt.result()
        return reply

    def _policy(self, place: Destination, seed: int) -> LoadBalancingPolicy:
        if not self.ours:
            return RoundRobin()
        return LeastOccupied(
            data_centre=place.data_centre,
            region=place.region,
            occupancy=OccupancyTable(),
            random=random.Random(f"{seed} {place.backend}"),
            clock=self.clock,
        )


@dataclass(slots=True)
class _Ingress:
    place: Destination
    policy: LoadBalancingPolicy
    budget: RetryBudget = field(default_factory=RetryBudget)


Fault = Callable[[Fleet], None]


def run_load(
    service: Service,
    *,
    ours: bool,
    load: float,
    seed: int = 1,
    seconds: float = 6.0,
    warm_up: float = 4.0,
    fault: Fault | None = None,
    admission_type: Callable[..., Admission] = Admission,
) -> Tally:
    """Offer ``load`` times the capacity; tally calls that arrive while measured.

    Parameters
    ----------
    seconds, warm_up
        Measured time, and time before it, in seconds.
    fault
        Strikes at the end of the warm-up.
    admission_type
        Makes the admission of each server.
    """
    clock = ManualClock()

    async def offer() -> Tally:
        fleet = Fleet(
            service, clock, ours=ours, seed=seed, admission_type=admission_type
        )
        chance = random.Random(seed)
        tasks: set[asyncio.Task[None]] = set()

        async def arrive(length: float) -> Tally:
            end = clock.monotonic() + length
            fleet.tally = Tally()
            while clock.monotonic() < end:
                await asyncio.sleep(chance.expovariate(load * service.capacity()))
                work = chance.choices(service.classes, weights)[0]
                seconds = chance.expovariate(1 / work.mean)
                ingress = chance.randrange(len(fleet.ingresses))
                task = asyncio.ensure_future(fleet.call(work, seconds, ingress))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            return fleet.tally

        weights = [item.part for item in service.classes]
        await arrive(warm_up)
        if fault is not None:
            fault(fleet)
        measured = await arrive(seconds)
        await arrive(TAIL_SECONDS)
        while tasks:
            await asyncio.wait(tasks)
        return measured

    return run_virtual(offer(), clock)


def _place(number: int, service: Service) -> Destination:
    data_centre = number % 6
    return Destination(
        backend=f"{service.name}-{number}",
        host=f"host-{number}",
        data_centre=f"dc{data_centre}",
        region=f"region{data_centre % 3}",
        peer_address="127.0.0.1:1",
        incarnation=1,
        slots=service.slots,
        suspect=False,
    )


def _round_trip(one: Destination, other: Destination) -> float:
    if one.host == other.host:
        return 0.0
    return REGION_ROUND_TRIP if one.region == other.region else REMOTE_ROUND_TRIP
