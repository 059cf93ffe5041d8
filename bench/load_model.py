"""A small discrete-event model of callers, daemons and backend servers.

It runs the product's Admission, LeastOccupied and RetryBudget, or the baseline
(round-robin, 3 retries, FIFO queue), in virtual time under the same arrivals.
It is a bench of policies: links lose nothing and daemons take no time.
"""

from __future__ import annotations

import asyncio
import random
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from almondrouter.clock import ManualClock
from almondrouter.coordination.admission import Admission
from almondrouter.coordination.retries import RetryBudget
from almondrouter.coordination.routing import ChoicePolicy, LeastOccupied, RoundRobin
from almondrouter.errors import AlmondError
from almondrouter.protocol.calls import Load
from almondrouter.protocol.headers import Outcome
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.state.registry import BackendRecord
from almondrouter.state.snapshot import Destination
from almondrouter.state.targets import Priority
from almondrouter_standins.virtual_time import run_virtual

REGION_ROUND_TRIP = 0.001
REMOTE_ROUND_TRIP = 0.020
DEAD_AFTER_SECONDS = 6.0
COLD_SECONDS = 10.0
# Load goes on after the measured time, or calls that wait then would all be
# answered in the calm that follows.
TAIL_SECONDS = 5.0
COLD_FACTOR = 4.0
LIE_SECONDS = 0.005
FURTHER_CHOICES = 2
BASELINE_RETRIES = 3
BASELINE_QUEUE = 100


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work: its part of the calls, mean service time and target."""

    name: str
    priority: Priority
    part: float
    mean: float
    within: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service of one of the deployments."""

    name: str
    servers: int
    slots: int
    classes: tuple[WorkClass, ...]

    def capacity(self) -> float:
        """Return the calls a second that all slots can run."""
        mean = sum(item.part * item.mean for item in self.classes)
        return self.servers * self.slots / mean


@dataclass(slots=True)
class Reply:
    """What an attempt came to."""

    outcome: Outcome
    load: Load | None = None
    failed: bool = False

    @property
    def good(self) -> bool:
        """Whether the caller has its response."""
        return self.outcome is Outcome.COMPLETE and not self.failed


@dataclass(slots=True)
class Tally:
    """Calls by class name: offered, answered in time, and attempts sent."""

    offered: Counter[str] = field(default_factory=Counter)
    good: Counter[str] = field(default_factory=Counter)
    attempts: Counter[str] = field(default_factory=Counter)


class Server(ABC):
    """A backend server with the queue in front of it."""

    def __init__(self, destination: Destination, clock: ManualClock) -> None:
        self.destination = destination
        self.clock = clock
        self.alive = True
        self.lies = False
        self.slowness = 1.0
        self.cold_since = -COLD_SECONDS
        self.died_at = 0.0
        # A dict keeps the order of starts, so that runs repeat exactly.
        self._active: dict[asyncio.Future[None], None] = {}

    @abstractmethod
    async def serve(self, work: WorkClass, seconds: float, deadline: float) -> Reply:
        """Run a call of so many seconds of work, or refuse it."""

    def kill(self) -> None:
        """Cut the running calls; later ones find nobody."""
        self.alive = False
        self.died_at = self.clock.monotonic()
        for running in tuple(self._active):
            running.set_exception(ConnectionError())

    def restart_cold(self) -> None:
        """Begin a new run with empty caches."""
        self.cold_since = self.clock.monotonic()

    async def work(self, seconds: float) -> Reply:
        """Hold a slot for the time of one call."""
        if self.lies:
            await asyncio.sleep(LIE_SECONDS)
            return Reply(Outcome.COMPLETE, failed=True)
        age = self.clock.monotonic() - self.cold_since
        cold = 1 + (COLD_FACTOR - 1) * max(0.0, 1 - age / COLD_SECONDS)
        done = asyncio.get_running_loop().create_future()
        timer = asyncio.get_running_loop().call_later(
            seconds * self.slowness * cold, done.set_result, None
        )
        self._active[done] = None
        try:
            await done
        except ConnectionError:
            timer.cancel()
            return Reply(Outcome.UNKNOWN)
        finally:
            self._active.pop(done, None)
        return Reply(Outcome.COMPLETE)


class AdmittingServer(Server):
    """A backend server behind the product's admission."""

    def __init__(
        self,
        destination: Destination,
        clock: ManualClock,
        admission_type: Callable[..., Admission] = Admission,
    ) -> None:
        super().__init__(destination, clock)
        self._admission_type = admission_type
        self.admission = self._open(warm=True)

    def restart_cold(self) -> None:  # noqa: D102
        super().restart_cold()
        self.admission.start_draining()
        self.admission = self._open(warm=False)

    async def serve(  # noqa: D102
        self, work: WorkClass, seconds: float, deadline: float
    ) -> Reply:
        admission = self.admission
        try:
            slot = await admission.acquire(
                priority=work.priority, deadline=deadline, class_name=work.name
            )
        except AlmondError:
            return Reply(Outcome.NOT_RUN, admission.load())
        reply = await self.work(seconds)
        admission.release(slot, failed=not reply.good)
        if self.alive:
            reply.load = admission.load()
        return reply

    def _open(self, *, warm: bool) -> Admission:
        record = BackendRecord(
            self.destination.backend, "service", self.destination.slots
        )
        clock = _ShiftedClock(self.clock) if warm else self.clock
        return self._admission_type(record, clock=clock)


class _ShiftedClock(ManualClock):
    """Reads as `ManualClock` but opens an admission that has ramped up already."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._source = clock
        self._first = True

    def monotonic(self) -> float:
        now = self._source.monotonic()
        shift, self._first = (2 * COLD_SECONDS if self._first else 0.0), False
        return now - shift


class FifoServer(Server):
    """The baseline: first come, first served, and nothing is refused early."""

    def __init__(self, destination: Destination, clock: ManualClock) -> None:
        super().__init__(destination, clock)
        self._slots = asyncio.Semaphore(destination.slots)
        self._waiting = 0

    async def serve(  # noqa: D102
        self, work: WorkClass, seconds: float, deadline: float
    ) -> Reply:
        if self._waiting >= BASELINE_QUEUE:
            return Reply(Outcome.NOT_RUN)
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            return await self.work(seconds)


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
        entry.policy.started(target)
        sent = self.clock.monotonic()
        await asyncio.sleep(one_way)
        if server.alive:
            reply = await server.serve(work, seconds, deadline - one_way)
            reply = reply if server.alive else Reply(Outcome.UNKNOWN)
        else:
            reply = Reply(Outcome.NOT_RUN)
        await asyncio.sleep(one_way)
        entry.policy.finished(
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

    def _policy(self, place: Destination, seed: int) -> ChoicePolicy:
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
    policy: ChoicePolicy
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
