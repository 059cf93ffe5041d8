"""Fleet-wide rate limits, shared out so that their sum is never exceeded."""

from __future__ import annotations

import asyncio
import contextlib
import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from almondrouter.clock import Clock
from almondrouter.coordination.slices import SliceHolder, find_window
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import ControlMessage, LoanReply, LoanRequest
from almondrouter.transport.control import ControlEndpoint

RENEW_INTERVAL_S = 1.0
# A limit that is met for the first time asks for a loan at once, but a series of
# refused calls does not send a message each.
MIN_RENEW_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 0.8
DEMAND_HEADROOM = 1.25
DEMAND_DECAY = 0.7
# Below this the limit is no longer asked for.
LEAST_DEMAND = 0.1
MAX_RATE = 10_000


class LimitService(ABC):
    """Admits calls within this daemon's share of each rate limit."""

    @abstractmethod
    def admit(self, limit_names: tuple[str, ...]) -> None:
        """Take one call from the share of each limit, or from none.

        Parameters
        ----------
        limit_names
            Names from `Route.limit_names`; empty admits at once.

        Raises
        ------
        AlmondError
            ``limited`` if the share is used up, ``limit_unavailable`` if no
            valid share is held.
        """


@dataclass(slots=True)
class _Bucket:
    """A loan as tokens, each of which returns one window after it was taken.

    A bucket with a burst and a steady refill would either admit more than the
    loan in some second or leave part of it unused.
    """

    rate: float = 0.0
    deadline: float = -math.inf
    taken: deque[float] = field(default_factory=deque)
    attempts: int = 0
    demand: float = 0.0

    def has_token(self, now: float) -> bool:
        if self.rate <= 0:
            return False
        start = now - find_window(self.rate)
        while self.taken and self.taken[0] < start:
            self.taken.popleft()
        return len(self.taken) < max(1, math.floor(self.rate))

    def measure_demand(self) -> float:
        """Return the calls a second to ask for, from the attempts since last time."""
        wanted = self.attempts * DEMAND_HEADROOM / RENEW_INTERVAL_S
        self.attempts = 0
        self.demand = min(MAX_RATE, max(wanted, self.demand * DEMAND_DECAY))
        if self.demand < LEAST_DEMAND:
            self.demand = 0.0
        return self.demand


class LoanedLimits(LimitService):
    """Admits calls within loans from the data centre's delegate.

    Parameters
    ----------
    host, incarnation
        This daemon.
    endpoint
        Reaches the delegate; this daemon serves loans to others on it.
    slices
        Lends when this daemon is the delegate.
    delegate
        Returns the control address of the delegate; None for this daemon.
    clock
        Measures loans.
    """

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        endpoint: ControlEndpoint,
        slices: SliceHolder,
        delegate: Callable[[], str | None],
        clock: Clock,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._endpoint = endpoint
        self._slices = slices
        self._delegate = delegate
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}
        self._prepared: dict[str, float] = {}
        self._missing = False
        self._wake = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        endpoint.set_handler(LoanRequest, self._handle_request)

    def start(self) -> None:
        """Begin to renew loans."""
        self._task = asyncio.create_task(self._run())

    async def close(self) -> None:
        """Stop; loans run out."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def prepare(self, demands: Mapping[str, float]) -> None:
        """Keep shares of limits while nothing is called, so that bursts find some.

        Parameters
        ----------
        demands
            Calls a second to ask for at least, by limit; limits that were named
            before and are not now are dropped.
        """
        if not demands.keys() <= self._buckets.keys():
            self._wake.set()
        self._prepared = dict(demands)
        for name in demands:
            self._buckets.setdefault(name, _Bucket())

    def admit(self, limit_names: tuple[str, ...]) -> None:  # noqa: D102
        now = self._clock.monotonic()
        buckets = [self._buckets.setdefault(n, _Bucket()) for n in limit_names]
        for bucket in buckets:
            bucket.attempts += 1
        for name, bucket in zip(limit_names, buckets, strict=True):
            if now >= bucket.deadline:
                self._wake.set()
                message = f"no share of the limit {name!r} is held"
                raise AlmondError(ErrorCode.LIMIT_UNAVAILABLE, message)
            if not bucket.has_token(now):
                if bucket.rate <= 0:
                    self._wake.set()
                message = f"the share of the limit {name!r} is used up"
                raise AlmondError(ErrorCode.LIMITED, message)
        for bucket in buckets:
            bucket.taken.append(now)

    async def renew(self, name: str) -> None:
        """Ask for a loan by the demand since the last time."""
        bucket = self._buckets[name]
        demand = bucket.measure_demand()
        demand = max(demand, self._prepared.get(name, 0.0))
        now = self._clock.monotonic()
        if demand <= 0 and now >= bucket.deadline:
            start = now - find_window(max(bucket.rate, LEAST_DEMAND))
            if not bucket.taken or bucket.taken[-1] < start:
                del self._buckets[name]
            return
        request = LoanRequest(self._host, name, demand, self._incarnation)
        reply = await self._ask(request, now + REQUEST_TIMEOUT_S)
        # An earlier loan holds until its own deadline; a new delegate that has
        # nothing to lend yet does not end it.
        replaced = isinstance(reply, LoanReply) and (
            reply.rate > 0 or now >= bucket.deadline
        )
        if replaced:
            bucket.rate = reply.rate
            # Counted from before the request was sent, so that a loan is over
            # for its holder before it is over for its lender.
            bucket.deadline = now + reply.valid_for

    async def _ask(
        self, request: LoanRequest, deadline: float
    ) -> ControlMessage | None:
        address = self._delegate()
        if address is None:
            return self._slices.lend(request)
        try:
            return await self._endpoint.request(address, request, deadline=deadline)
        except AlmondError:
            return None

    async def _run(self) -> None:
        delay = RENEW_INTERVAL_S
        while True:
            self._wake.clear()
            await asyncio.gather(*(self.renew(name) for name in list(self._buckets)))
            delay = self._find_delay(delay)
            await asyncio.sleep(MIN_RENEW_INTERVAL_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay - MIN_RENEW_INTERVAL_S):
                    await self._wake.wait()

    def _find_delay(self, last: float) -> float:
        """Return the seconds until loans are asked for again.

        While a loan is missing they double from the shortest interval on, so
        that a new limit is soon in use and an outage of the store costs no more
        than a loan does.
        """
        now = self._clock.monotonic()
        missing = any(
            name in self._prepared and (bucket.rate <= 0 or now >= bucket.deadline)
            for name, bucket in self._buckets.items()
        )
        was_missing, self._missing = self._missing, missing
        if not missing:
            return RENEW_INTERVAL_S
        return min(RENEW_INTERVAL_S, 2 * last if was_missing else MIN_RENEW_INTERVAL_S)

    async def _handle_request(self, message: LoanRequest, _sender: str) -> LoanReply:
        return self._slices.lend(message)
