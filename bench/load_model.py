"""Discrete-event model of callers, daemons and backend servers.

The model runs either the product's policies (Admission, LeastOccupied and
RetryBudget) or a baseline (round-robin, 3 retries, FIFO queue) in virtual time
under the same arrivals. It compares policies only: links lose no messages and
daemons take no processing time.
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

SAME_REGION_ROUND_TRIP_SECONDS = 0.001
CROSS_REGION_ROUND_TRIP_SECONDS = 0.020
# Time during which calls are still sent to a killed server.
FAILURE_DETECTION_SECONDS = 6.0
# Arrivals continue after the measured period. Otherwise the calls that still wait
# at its end would be answered by servers that receive no new load.
COOL_DOWN_SECONDS = 5.0
MAX_REROUTES = 2
BASELINE_RETRIES = 3


@dataclass(slots=True)
class CallCounts:
    """Numbers of calls offered, calls answered in time and attempts, by class."""

    offered: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)
    attempts: Counter[str] = field(default_factory=Counter)


class Fleet:
    """The backend servers of a service and the ingress daemons of its callers.

    Parameters
    ----------
    service
        Service that the backend servers belong to.
    clock
        Clock of the virtual time.
    use_product
        Whether to run the product's policies instead of the baseline.
    seed
        Seed of the random server choices.
    admission_type
        Creates the admission of each server; unused by the baseline.
    """

    def __init__(
        self,
        service: Service,
        clock: ManualClock,
        *,
        use_product: bool,
        seed: int,
        admission_type: Callable[..., Admission] = Admission,
    ) -> None:
        self.service = service
        self.clock = clock
        self.use_product = use_product
        self.counts = CallCounts()
        locations = [_make_location(n, service) for n in range(service.servers)]
        self.servers: dict[str, Server] = {
            location.backend: (
                AdmittingServer(location, clock, admission_type)
                if use_product
                else FifoServer(location, clock)
            )
            for location in locations
        }
        self.ingresses = [
            _Ingress(location, self._make_policy(location, seed))
            for location in locations
        ]

    def list_destinations(self) -> list[Destination]:
        """Return the servers that the failure detector does not report as dead."""
        now = self.clock.monotonic()
        return [
            server.destination
            for server in self.servers.values()
            if server.alive or now < server.died_at + FAILURE_DETECTION_SECONDS
        ]

    async def make_call(
        self, work: WorkClass, seconds: float, ingress_index: int
    ) -> None:
        """Make a call through one ingress daemon and count its result.

        Parameters
        ----------
        work
            Class of the call.
        seconds
            Service time of the call.
        ingress_index
            Index of the ingress daemon.
        """
        start = self.clock.monotonic()
        counts = self.counts
        counts.offered[work.name] += 1
        ingress = self.ingresses[ingress_index]
        send = self._call_with_product if self.use_product else self._call_with_baseline
        reply = await send(ingress, work, seconds, start + work.target_seconds)
        if (
            reply
            and reply.succeeded
            and self.clock.monotonic() - start <= work.target_seconds
        ):
            counts.in_time[work.name] += 1

    async def send_attempt(
        self,
        ingress: _Ingress,
        target: Destination,
        work: WorkClass,
        seconds: float,
        deadline: float,
    ) -> Reply:
        """Send an attempt to one server and return its reply.

        The reply of a server that is down, or dies during the call, carries no
        load report.
        """
        self.counts.attempts[work.name] += 1
        server = self.servers[target.backend]
        one_way_seconds = _find_round_trip_seconds(ingress.location, target) / 2
        ingress.policy.record_start(target)
        sent = self.clock.monotonic()
        await asyncio.sleep(one_way_seconds)
        if server.alive:
            reply = await server.serve(work, seconds, deadline - one_way_seconds)
            reply = reply if server.alive else Reply(Outcome.UNKNOWN)
        else:
            reply = Reply(Outcome.NOT_RUN)
        await asyncio.sleep(one_way_seconds)
        ingress.policy.record_end(
            target,
            outcome=reply.outcome,
            load=reply.load,
            elapsed=self.clock.monotonic() - sent,
            failed=reply.failed,
        )
        return reply

    async def _call_with_product(
        self, ingress: _Ingress, work: WorkClass, seconds: float, deadline: float
    ) -> Reply | None:
        ingress.budget.record_call(work.name)
        tried: list[str] = []
        reply = None
        reroutes_left = MAX_REROUTES
        while self.clock.monotonic() < deadline:
            target = ingress.policy.choose(
                self.list_destinations(),
                now=self.clock.monotonic(),
                excluded=tried,
                priority=work.priority,
            )
            if target is None:
                return reply
            reply = await self.send_attempt(ingress, target, work, seconds, deadline)
            tried.append(target.backend)
            if reply.succeeded:
                return reply
            if reply.outcome is not Outcome.NOT_RUN:
                if not ingress.budget.try_spend(work.name):
                    return reply
            elif reply.load is not None:
                # Only a refusal by a running server uses up a reroute; without
                # a load report the server was down.
                if not reroutes_left:
                    return reply
                reroutes_left -= 1
        return reply

    async def _call_with_baseline(
        self, ingress: _Ingress, work: WorkClass, seconds: float, deadline: float
    ) -> Reply | None:
        reply = None
        for _ in range(1 + BASELINE_RETRIES):
            now = self.clock.monotonic()
            target = ingress.policy.choose(self.list_destinations(), now=now)
            if target is None:
                return reply
            attempt = asyncio.ensure_future(
                self.send_attempt(ingress, target, work, seconds, deadline)
            )
            # The caller times out, but the attempt is not cancelled: the server
            # still runs it.
            done, _ = await asyncio.wait([attempt], timeout=work.target_seconds)
            if done and attempt.result().succeeded:
                return attempt.result()
        return reply

    def _make_policy(self, location: Destination, seed: int) -> LoadBalancingPolicy:
        if not self.use_product:
            return RoundRobin()
        return LeastOccupied(
            data_centre=location.data_centre,
            region=location.region,
            occupancy=OccupancyTable(),
            random=random.Random(f"{seed} {location.backend}"),
            clock=self.clock,
        )


@dataclass(slots=True)
class _Ingress:
    location: Destination
    policy: LoadBalancingPolicy
    budget: RetryBudget = field(default_factory=RetryBudget)


Fault = Callable[[Fleet], None]


def run_load(
    service: Service,
    *,
    use_product: bool,
    load: float,
    seed: int = 1,
    seconds: float = 6.0,
    warm_up: float = 4.0,
    fault: Fault | None = None,
    admission_type: Callable[..., Admission] = Admission,
) -> CallCounts:
    """Offer load to a service; count the calls that arrive while measuring.

    Parameters
    ----------
    service
        Service that is called.
    use_product
        Whether to run the product's policies instead of the baseline.
    load
        Offered load as a multiple of the service's capacity.
    seed
        Seed of the arrivals and of the server choices.
    seconds, warm_up
        Length of the measured period and of the warm-up before it, in seconds.
    fault
        Fault that is injected at the end of the warm-up.
    admission_type
        Creates the admission of each server.
    """
    clock = ManualClock()

    async def run_phases() -> CallCounts:
        fleet = Fleet(
            service,
            clock,
            use_product=use_product,
            seed=seed,
            admission_type=admission_type,
        )
        rng = random.Random(seed)
        tasks: set[asyncio.Task[None]] = set()

        async def generate_arrivals(duration: float) -> CallCounts:
            end = clock.monotonic() + duration
            fleet.counts = CallCounts()
            while clock.monotonic() < end:
                await asyncio.sleep(rng.expovariate(load * service.capacity()))
                work = rng.choices(service.classes, weights)[0]
                seconds = rng.expovariate(1 / work.mean_seconds)
                ingress_index = rng.randrange(len(fleet.ingresses))
                task = asyncio.ensure_future(
                    fleet.make_call(work, seconds, ingress_index)
                )
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            return fleet.counts

        weights = [item.call_share for item in service.classes]
        await generate_arrivals(warm_up)
        if fault is not None:
            fault(fleet)
        measured = await generate_arrivals(seconds)
        await generate_arrivals(COOL_DOWN_SECONDS)
        while tasks:
            await asyncio.wait(tasks)
        return measured

    return run_virtual(run_phases(), clock)


def _make_location(number: int, service: Service) -> Destination:
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


def _find_round_trip_seconds(origin: Destination, target: Destination) -> float:
    if origin.host == target.host:
        return 0.0
    return (
        SAME_REGION_ROUND_TRIP_SECONDS
        if origin.region == target.region
        else CROSS_REGION_ROUND_TRIP_SECONDS
    )
