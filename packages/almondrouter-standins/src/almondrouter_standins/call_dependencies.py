"""In-memory stand-ins for the dependencies of the call service."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from collections.abc import Set
from typing import Any

from almondrouter.clock import Clock
from almondrouter.coordination.claims import ClaimService
from almondrouter.coordination.crashes import CrashGuard
from almondrouter.coordination.limits import LimitService
from almondrouter.coordination.routing import LoadBalancingPolicy
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.calls import HeaderList, Load
from almondrouter.protocol.control import Claim
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.snapshot import Destination
from almondrouter.state.targets import Priority
from almondrouter.transport.calls import BackendResponse, BackendSender

HOLD = "hold"


class FirstDestinationPolicy(LoadBalancingPolicy):
    """Chooses the first destination that is not excluded; records call outcomes.

    Attributes
    ----------
    in_flight
        Number of calls in flight.
    outcomes
        Backend server and outcome of each finished call.
    """

    def __init__(self) -> None:
        self.in_flight = 0
        self.outcomes: list[tuple[str, Outcome | None]] = []

    def choose(
        self,
        destinations: tuple[Destination, ...],
        *,
        now: float,
        excluded: Set[str],
        priority: Priority | None = None,
    ) -> Destination | None:
        """Return the first destination that is not excluded, or None."""
        return next((d for d in destinations if d.backend not in excluded), None)

    def record_start(self, destination: Destination) -> None:
        """Count a call as in flight."""
        self.in_flight += 1

    def record_end(
        self, destination: Destination, *, outcome: Outcome | None, **measured: Any
    ) -> None:
        """Record the outcome of a call that is no longer in flight."""
        self.in_flight -= 1
        self.outcomes.append((destination.backend, outcome))


class FixedRetryBudget:
    """A retry budget with a fixed number of retries."""

    def __init__(self, remaining: int = 10) -> None:
        self.remaining = remaining

    def record_call(self, name: str, *, caller_retries: bool = False) -> None:
        """Do nothing: calls do not add to the budget."""

    def try_spend(self, name: str) -> bool:
        """Take one retry from the budget; return whether one remained."""
        self.remaining -= 1
        return self.remaining >= 0


class SlotAdmission:
    """Admits calls to a fixed number of slots; the others wait.

    Attributes
    ----------
    refusal
        If set, all calls are refused with this code.
    failed
        One entry for each slot that was released after a failed call.
    """

    def __init__(self, clock: Clock, *, slots: int = 2) -> None:
        self._clock = clock
        self._slots = slots
        self._waiters: list[asyncio.Future[None]] = []
        self.in_use = 0
        self.failed: list[bool] = []
        self.refusal: ErrorCode | None = None

    async def acquire(
        self, *, priority: Priority, deadline: float, class_name: str = ""
    ) -> Any:
        """Wait for a free slot and return it.

        A waiter checks its deadline only after `wake` or the release of a slot.
        """
        if self.refusal is not None:
            raise CallError(self.refusal, "call refused by admission")
        while self.in_use >= self._slots:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter
            if self._clock.monotonic() >= deadline:
                raise CallError(ErrorCode.DEADLINE_EXCEEDED, "no slot in time")
        self.in_use += 1
        return object()

    def release(self, slot: Any, *, failed: bool) -> None:
        """Free a slot and wake the waiters."""
        self.in_use -= 1
        if failed:
            self.failed.append(failed)
        self.wake()

    def wake(self) -> None:
        """Let all waiters check for a free slot and for their deadline."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def load(self) -> Load:
        """Return the current load."""
        return Load(self._slots, self.in_use, len(self._waiters), 0.01)


class UnlimitedRates(LimitService):
    """Rate limits that admit all calls, or refuse all if `refusal` is set."""

    refusal: ErrorCode | None = None

    def admit(self, limit_names: tuple[str, ...]) -> None:  # noqa: D102
        if self.refusal is not None:
            raise AlmondError(self.refusal, "call refused by rate limit")


class ScriptedCrashGuard(CrashGuard):
    """A crash guard whose verdict on all requests is set by the test.

    Attributes
    ----------
    condemned, suspect
        Verdict on all requests.
    in_flight
        Number of requests in flight.
    failed_runs
        One entry for each request that did not complete.
    checked_backends
        Backend servers for which `check_for_crash` was called, in order.
    """

    def __init__(self) -> None:
        self.condemned = False
        self.suspect = False
        self.in_flight = 0
        self.failed_runs: list[bool] = []
        self.checked_backends: list[str] = []
        self._running: Counter[str] = Counter()

    def check_not_condemned(self, fingerprint: str) -> None:
        """Raise an error with code ``condemned`` if `condemned` is set."""
        if self.condemned:
            raise AlmondError(ErrorCode.CONDEMNED, "request is condemned")

    def may_run_now(self, backend: str, fingerprint: str) -> bool:
        """Return whether the request may run now: suspects run one at a time."""
        return not (self.suspect and self._running[backend])

    def begin_request(self, backend: str, fingerprint: str) -> None:
        """Count a request that is sent to a backend server."""
        self.in_flight += 1
        self._running[backend] += 1

    def end_request(self, backend: str, fingerprint: str, *, completed: bool) -> None:
        """Count a request as ended; record it if it did not complete."""
        self.in_flight -= 1
        self._running[backend] -= 1
        if not completed:
            self.failed_runs.append(completed)

    async def check_for_crash(self, backend: str, fingerprint: str) -> None:
        """Record a backend server whose connection failed."""
        assert self._running[backend], "no request to it is in flight"
        self.checked_backends.append(backend)


class ClaimStore:
    """Claims of all hosts, with faults set by the test.

    Attributes
    ----------
    available
        Whether claims can be made.
    claim_response_lost
        Whether claims are stored but their responses are lost.
    can_release
        Whether claims can be released.
    held
        If not None, claims wait until this event is set.
    """

    def __init__(self) -> None:
        self.by_key: dict[str, Claim] = {}
        self.available = True
        self.claim_response_lost = False
        self.can_release = True
        self.held: asyncio.Event | None = None
        self._claim_numbers = itertools.count()

    def create(self, key: str, host: str, incarnation: int) -> Claim:
        """Store a new claim for a key, replacing any earlier one."""
        claim = Claim(key, f"claim-{next(self._claim_numbers)}", host, incarnation)
        self.by_key[key] = claim
        return claim


class HostClaimService(ClaimService):
    """The claim service of one incarnation of a daemon."""

    def __init__(self, store: ClaimStore, host: str, incarnation: int = 1) -> None:
        self._store = store
        self._host = host
        self._incarnation = incarnation
        self._own: set[str] = set()

    async def claim(  # noqa: D102
        self, key: str, *, deadline: float, replaces: str | None = None
    ) -> Claim:
        if self._store.held is not None:
            await self._store.held.wait()
        if not self._store.available:
            raise AlmondError(ErrorCode.CLAIM_UNAVAILABLE, "store is unavailable")
        existing = self._store.by_key.get(key)
        if existing is not None and existing.claim_id != replaces:
            return existing
        claim = self._store.create(key, self._host, self._incarnation)
        self._own.add(claim.claim_id)
        if self._store.claim_response_lost:
            message = "response of the store was lost"
            raise AlmondError(ErrorCode.CLAIM_UNAVAILABLE, message)
        return claim

    def owns(self, claim: Claim) -> bool:  # noqa: D102
        return claim.claim_id in self._own

    async def release(self, claim: Claim) -> None:  # noqa: D102
        if not self._store.can_release:
            raise AlmondError(ErrorCode.STORE_UNAVAILABLE, "store is unavailable")
        self._own.discard(claim.claim_id)
        if self._store.by_key.get(claim.key) == claim:
            del self._store.by_key[claim.key]


class RecordingBackend(BackendSender):
    """A backend client that records the requests it runs.

    Attributes
    ----------
    run_result
        Result of each request: None for a response, an error to raise, or `HOLD`
        to wait for the result that the test sets on the future in
        `held_results`. An error with the outcome not run is raised before the
        request is recorded as run.
    held_results
        Futures of the results by request body.
    runs
        Body and headers of each request that was run.
    """

    def __init__(self) -> None:
        self.run_result: Exception | str | None = None
        self.held_results: dict[bytes, asyncio.Future[Exception | None]] = {}
        self.runs: list[tuple[bytes, dict[str, str]]] = []

    async def send(  # noqa: D102
        self,
        method: str,
        target: str,
        headers: HeaderList,
        body: bytes,
        *,
        deadline: float,
        attempt_id: str = "",
    ) -> BackendResponse:
        run_result = self.run_result
        if isinstance(run_result, CallError) and run_result.outcome is Outcome.NOT_RUN:
            raise run_result
        self.runs.append((body, dict(headers)))
        if run_result == HOLD:
            future = asyncio.get_running_loop().create_future()
            run_result = await self.held_results.setdefault(body, future)
        if isinstance(run_result, Exception):
            raise run_result
        return BackendResponse(200, (("x", "y"),), b"answer " + body)

    def list_held_results(self) -> list[asyncio.Future[Exception | None]]:
        """Return the result futures of the requests that are still held."""
        return [future for future in self.held_results.values() if not future.done()]
