"""Stand-ins of what the path of a call works with, in memory."""

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


class FirstChoice(LoadBalancingPolicy):
    """Chooses the first destination left, and counts calls begun and ended."""

    def __init__(self) -> None:
        self.open = 0
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
        """Count a call that begins."""
        self.open += 1

    def record_end(
        self, destination: Destination, *, outcome: Outcome | None, **measured: Any
    ) -> None:
        """Count a call that ends."""
        self.open -= 1
        self.outcomes.append((destination.backend, outcome))


class FixedBudget:
    """Allows a fixed number of retries."""

    def __init__(self, left: int = 10) -> None:
        self.left = left

    def record_call(self, name: str, *, caller_retries: bool = False) -> None:
        """Take no note."""

    def try_spend(self, name: str) -> bool:
        """Return whether a retry is left, and take it."""
        self.left -= 1
        return self.left >= 0


class SlotAdmission:
    """Admits calls to slots; refuses all of them with `refusal` if it is set."""

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
        """Return a slot when there is one; deadlines are seen in `wake`."""
        if self.refusal is not None:
            raise CallError(self.refusal, "refused")
        while self.in_use >= self._slots:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter
            if self._clock.monotonic() >= deadline:
                raise CallError(ErrorCode.DEADLINE_EXCEEDED, "no slot in time")
        self.in_use += 1
        return object()

    def release(self, slot: Any, *, failed: bool) -> None:
        """Give back a slot."""
        self.in_use -= 1
        if failed:
            self.failed.append(failed)
        self.wake()

    def wake(self) -> None:
        """Have all that wait look at their deadline and the slots."""
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)

    def load(self) -> Load:
        """Return the load now."""
        return Load(self._slots, self.in_use, len(self._waiters), 0.01)


class OpenLimits(LimitService):
    """Admits calls; refuses all of them with `refusal` if it is set."""

    refusal: ErrorCode | None = None

    def admit(self, limit_names: tuple[str, ...]) -> None:  # noqa: D102
        if self.refusal is not None:
            raise AlmondError(self.refusal, "refused")


class FixedQuarantine(CrashGuard):
    """Condemns or suspects all requests if told so; counts what is open."""

    def __init__(self) -> None:
        self.condemned = False
        self.suspect = False
        self.open = 0
        self.ended: list[bool] = []
        self.examined: list[str] = []
        self._running: Counter[str] = Counter()

    def check(self, fingerprint: str) -> None:
        """Raise ``condemned`` if told so."""
        if self.condemned:
            raise AlmondError(ErrorCode.CONDEMNED, "condemned")

    def may_run_now(self, backend: str, fingerprint: str) -> bool:
        """Return whether no other suspect is in flight."""
        return not (self.suspect and self._running[backend])

    def begin_request(self, backend: str, fingerprint: str) -> None:
        """Count a request that is handed over."""
        self.open += 1
        self._running[backend] += 1

    def end_request(self, backend: str, fingerprint: str, *, completed: bool) -> None:
        """Count a request that has ended."""
        self.open -= 1
        self._running[backend] -= 1
        if not completed:
            self.ended.append(completed)

    async def check_for_crash(self, backend: str) -> None:
        """Take note of a backend server whose connection failed."""
        assert self._running[backend], "the request is no longer in flight"
        self.examined.append(backend)


class ClaimStore:
    """Claims of all hosts as the store has them, and its faults.

    Parameters
    ----------
    available, answer_lost, releases
        Whether claims can be made, whether the answer to a claim that was
        made is lost, and whether claims can be released.
    held
        Keeps all claims waiting until it is set.
    """

    def __init__(self) -> None:
        self.by_key: dict[str, Claim] = {}
        self.available = True
        self.answer_lost = False
        self.releases = True
        self.held: asyncio.Event | None = None
        self._numbers = itertools.count()

    def create(self, key: str, host: str, incarnation: int) -> Claim:
        """Put a new claim in place of what is there."""
        claim = Claim(key, f"claim-{next(self._numbers)}", host, incarnation)
        self.by_key[key] = claim
        return claim


class HostClaims(ClaimService):
    """The claim service of one daemon; it ends with the daemon."""

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
            raise AlmondError(ErrorCode.CLAIM_UNAVAILABLE, "the store is down")
        known = self._store.by_key.get(key)
        if known is not None and known.claim_id != replaces:
            return known
        claim = self._store.create(key, self._host, self._incarnation)
        self._own.add(claim.claim_id)
        if self._store.answer_lost:
            message = "the answer of the store was lost"
            raise AlmondError(ErrorCode.CLAIM_UNAVAILABLE, message)
        return claim

    def owns(self, claim: Claim) -> bool:  # noqa: D102
        return claim.claim_id in self._own

    async def release(self, claim: Claim) -> None:  # noqa: D102
        if not self._store.releases:
            raise AlmondError(ErrorCode.STORE_UNAVAILABLE, "the store is down")
        self._own.discard(claim.claim_id)
        if self._store.by_key.get(claim.key) == claim:
            del self._store.by_key[claim.key]


class RecordingBackend(BackendSender):
    """Records the requests that it runs.

    Parameters
    ----------
    ending
        How requests end: None for a response, an error, or `HOLD` for what
        the future in `endings` of the request's body says. An error that
        means not run is raised before anything is run.
    """

    def __init__(self) -> None:
        self.ending: Exception | str | None = None
        self.endings: dict[bytes, asyncio.Future[Exception | None]] = {}
        self.runs: list[tuple[bytes, dict[str, str]]] = []

    async def send(  # noqa: D102
        self,
        method: str,
        target: str,
        headers: HeaderList,
        body: bytes,
        *,
        deadline: float,
    ) -> BackendResponse:
        ending = self.ending
        if isinstance(ending, CallError) and ending.outcome is Outcome.NOT_RUN:
            raise ending
        self.runs.append((body, dict(headers)))
        if ending == HOLD:
            future = asyncio.get_running_loop().create_future()
            ending = await self.endings.setdefault(body, future)
        if isinstance(ending, Exception):
            raise ending
        return BackendResponse(200, (("x", "y"),), b"answer " + body)

    def list_held(self) -> list[asyncio.Future[Exception | None]]:
        """Return the futures of requests that are held."""
        return [future for future in self.endings.values() if not future.done()]
