"""Backend servers of the load model, behind the product's queue or the baseline's."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass

from almondrouter.clock import ManualClock
from almondrouter.coordination.admission import Admission
from almondrouter.errors import AlmondError
from almondrouter.protocol.calls import Load
from almondrouter.protocol.headers import Outcome
from almondrouter.state.registry import BackendRecord
from almondrouter.state.snapshot import Destination
from almondrouter.state.targets import Priority

COLD_SECONDS = 10.0
COLD_FACTOR = 4.0
LIE_SECONDS = 0.005
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
