"""Backend servers of the load model, with the product's or the baseline's queue."""

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

COLD_PHASE_SECONDS = 10.0
# Factor on the service time right after a cold restart; it falls linearly to 1.
COLD_SLOWDOWN = 4.0
FAILED_CALL_SECONDS = 0.005
BASELINE_QUEUE_LENGTH = 100


@dataclass(frozen=True, slots=True)
class WorkClass:
    """A class of work.

    Parameters
    ----------
    name, priority
        Name and priority of the class.
    call_share
        Share of the service's calls, from 0 to 1.
    mean_seconds
        Mean service time in seconds.
    target_seconds
        Time within which a call should be answered, in seconds.
    """

    name: str
    priority: Priority
    call_share: float
    mean_seconds: float
    target_seconds: float


@dataclass(frozen=True, slots=True)
class Service:
    """A service with the number of its servers and of the slots of each."""

    name: str
    servers: int
    slots: int
    classes: tuple[WorkClass, ...]

    def capacity(self) -> float:
        """Return the calls per second that all slots together can run."""
        mean_seconds = sum(item.call_share * item.mean_seconds for item in self.classes)
        return self.servers * self.slots / mean_seconds


@dataclass(slots=True)
class Reply:
    """Result of one attempt.

    Parameters
    ----------
    outcome
        Whether the server ran the call.
    load
        Load that the server reported, if it was running.
    failed
        Whether the server answered with an error.
    """

    outcome: Outcome
    load: Load | None = None
    failed: bool = False

    @property
    def succeeded(self) -> bool:
        """Whether the caller received a successful response."""
        return self.outcome is Outcome.COMPLETE and not self.failed


class Server(ABC):
    """A backend server and the queue in front of it."""

    def __init__(self, destination: Destination, clock: ManualClock) -> None:
        self.destination = destination
        self.clock = clock
        self.alive = True
        self.fails_calls = False
        self.slowdown = 1.0
        self.restarted_at = -COLD_PHASE_SECONDS
        self.died_at = 0.0
        # A dict keeps insertion order, unlike a set; this makes runs deterministic.
        self._running_calls: dict[asyncio.Future[None], None] = {}

    @abstractmethod
    async def serve(self, work: WorkClass, seconds: float, deadline: float) -> Reply:
        """Run a call that takes ``seconds`` of service time, or refuse it.

        ``deadline`` is in seconds of the monotonic clock.
        """

    def kill(self) -> None:
        """Stop the server: running calls are lost, later ones are not run."""
        self.alive = False
        self.died_at = self.clock.monotonic()
        for running in tuple(self._running_calls):
            running.set_exception(ConnectionError())

    def restart_cold(self) -> None:
        """Restart with cold caches; calls are slower for `COLD_PHASE_SECONDS`.

        Calls that are already running complete normally.
        """
        self.restarted_at = self.clock.monotonic()

    async def run_call(self, seconds: float) -> Reply:
        """Run one call, for which `serve` holds a slot.

        ``seconds`` is the service time at normal speed.
        """
        if self.fails_calls:
            await asyncio.sleep(FAILED_CALL_SECONDS)
            return Reply(Outcome.COMPLETE, failed=True)
        age = self.clock.monotonic() - self.restarted_at
        cold_slowdown = 1 + (COLD_SLOWDOWN - 1) * max(0.0, 1 - age / COLD_PHASE_SECONDS)
        done = asyncio.get_running_loop().create_future()
        timer = asyncio.get_running_loop().call_later(
            seconds * self.slowdown * cold_slowdown, done.set_result, None
        )
        self._running_calls[done] = None
        try:
            await done
        except ConnectionError:
            timer.cancel()
            return Reply(Outcome.UNKNOWN)
        finally:
            self._running_calls.pop(done, None)
        return Reply(Outcome.COMPLETE)


class AdmittingServer(Server):
    """A backend server behind the product's admission queue."""

    def __init__(
        self,
        destination: Destination,
        clock: ManualClock,
        admission_type: Callable[..., Admission] = Admission,
    ) -> None:
        super().__init__(destination, clock)
        self._admission_type = admission_type
        self.admission = self._open_admission(warm=True)

    def restart_cold(self) -> None:  # noqa: D102
        super().restart_cold()
        self.admission.start_draining()
        self.admission = self._open_admission(warm=False)

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
        reply = await self.run_call(seconds)
        admission.release(slot, failed=not reply.succeeded)
        if self.alive:
            reply.load = admission.load()
        return reply

    def _open_admission(self, *, warm: bool) -> Admission:
        record = BackendRecord(
            self.destination.backend, "service", self.destination.slots
        )
        clock = _ShiftedClock(self.clock) if warm else self.clock
        return self._admission_type(record, clock=clock)


class _ShiftedClock(ManualClock):
    """Follows another clock, but its first reading lies in the past.

    An admission created with this clock has already completed its ramp-up.
    """

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._source = clock
        self._is_first = True

    def monotonic(self) -> float:
        now = self._source.monotonic()
        shift, self._is_first = (
            (2 * COLD_PHASE_SECONDS if self._is_first else 0.0),
            False,
        )
        return now - shift


class FifoServer(Server):
    """The baseline: a FIFO queue that refuses calls only when it is full."""

    def __init__(self, destination: Destination, clock: ManualClock) -> None:
        super().__init__(destination, clock)
        self._slots = asyncio.Semaphore(destination.slots)
        self._waiting = 0

    async def serve(  # noqa: D102
        self, work: WorkClass, seconds: float, deadline: float
    ) -> Reply:
        if self._waiting >= BASELINE_QUEUE_LENGTH:
            return Reply(Outcome.NOT_RUN)
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            return await self.run_call(seconds)
