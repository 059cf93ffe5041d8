"""Fleet-wide rate limits, divided among daemons so that none is ever exceeded."""

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
# The first call under a limit requests a loan at once; this bounds the requests that
# a series of refused calls causes.
MIN_RENEW_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 0.8
# Factor from the calls attempted a second to the rate requested for them.
DEMAND_HEADROOM = 1.25
# Share of its demand that a limit keeps at least from one renewal to the next.
DEMAND_DECAY = 0.7
# Bounds on the demand in calls a second; below the minimum no loan is requested.
MIN_DEMAND = 0.1
MAX_DEMAND = 10_000


class LimitService(ABC):
    """Admits calls within this daemon's share of each rate limit."""

    @abstractmethod
    def admit(self, limit_names: tuple[str, ...]) -> None:
        """Admit a call and count it against each limit, or refuse it uncounted.

        Parameters
        ----------
        limit_names
            Names from `Route.limit_names`; if empty, the call is always admitted.

        Raises
        ------
        AlmondError
            ``limited`` if the share of a limit is used up, ``limit_unavailable``
            if this daemon holds no valid share of it.
        """


@dataclass(slots=True)
class _HeldLoan:
    """A loan of a rate, with the calls admitted in its sliding window.

    A token bucket with a burst and a steady refill would either admit more than the
    rate in some second or leave part of it unused.

    Parameters
    ----------
    rate
        Calls a second that may be admitted.
    deadline
        Monotonic time in seconds at which the loan expires.
    admitted_at
        Monotonic times of the calls admitted in the latest window.
    attempts
        Calls attempted since the demand was last updated.
    demand
        Calls a second to request in the next loan.
    """

    rate: float = 0.0
    deadline: float = -math.inf
    admitted_at: deque[float] = field(default_factory=deque)
    attempts: int = 0
    demand: float = 0.0

    def has_capacity(self, now: float) -> bool:
        if self.rate <= 0:
            return False
        start = now - find_window(self.rate)
        while self.admitted_at and self.admitted_at[0] < start:
            self.admitted_at.popleft()
        return len(self.admitted_at) < max(1, math.floor(self.rate))

    def update_demand(self) -> float:
        """Return the calls a second to request, from the attempts since last time."""
        wanted = self.attempts * DEMAND_HEADROOM / RENEW_INTERVAL_S
        self.attempts = 0
        self.demand = min(MAX_DEMAND, max(wanted, self.demand * DEMAND_DECAY))
        if self.demand < MIN_DEMAND:
            self.demand = 0.0
        return self.demand


class BorrowingRateLimiter(LimitService):
    """Admits calls within loans from the data centre's delegate.

    Parameters
    ----------
    host, incarnation
        Identity of this daemon.
    endpoint
        Control links to the delegate; also receives the loan requests of other
        daemons when this one is the delegate.
    slices
        Grants loans when this daemon is the delegate.
    delegate
        Returns the control address of the delegate; None if it is this daemon.
    clock
        Source of monotonic time.
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
        self._loans: dict[str, _HeldLoan] = {}
        self._minimum_demands: dict[str, float] = {}
        self._loan_missing = False
        self._renewal_requested = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        endpoint.set_handler(LoanRequest, self._handle_loan_request)

    def start(self) -> None:
        """Start the task that renews loans."""
        self._task = asyncio.create_task(self._renew_periodically())

    async def close(self) -> None:
        """Stop renewing; held loans expire."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def set_minimum_demands(self, demands: Mapping[str, float]) -> None:
        """Keep shares of limits even without calls, so that a first burst is admitted.

        Parameters
        ----------
        demands
            Minimum calls a second to request, by limit. Replaces the demands of
            the previous call.
        """
        if not demands.keys() <= self._loans.keys():
            self._renewal_requested.set()
        self._minimum_demands = dict(demands)
        for name in demands:
            self._loans.setdefault(name, _HeldLoan())

    def admit(self, limit_names: tuple[str, ...]) -> None:  # noqa: D102
        now = self._clock.monotonic()
        loans = [self._loans.setdefault(n, _HeldLoan()) for n in limit_names]
        for loan in loans:
            loan.attempts += 1
        for name, loan in zip(limit_names, loans, strict=True):
            if now >= loan.deadline:
                self._renewal_requested.set()
                message = f"no valid share of the limit {name!r} is held by this daemon"
                raise AlmondError(ErrorCode.LIMIT_UNAVAILABLE, message)
            if not loan.has_capacity(now):
                if loan.rate <= 0:
                    self._renewal_requested.set()
                message = f"this daemon's share of the limit {name!r} is used up"
                raise AlmondError(ErrorCode.LIMITED, message)
        for loan in loans:
            loan.admitted_at.append(now)

    async def renew(self, name: str) -> None:
        """Request a loan for the demand since the previous request.

        Without any demand, a limit is removed once its loan has expired and the
        window of its last call is over.
        """
        loan = self._loans[name]
        demand = loan.update_demand()
        demand = max(demand, self._minimum_demands.get(name, 0.0))
        now = self._clock.monotonic()
        if demand <= 0 and now >= loan.deadline:
            start = now - find_window(max(loan.rate, MIN_DEMAND))
            if not loan.admitted_at or loan.admitted_at[-1] < start:
                del self._loans[name]
            return
        request = LoanRequest(self._host, name, demand, self._incarnation)
        reply = await self._request_loan(request, now + REQUEST_TIMEOUT_S)
        # A loan stays valid until its own deadline, so an empty reply, such as from
        # a new delegate that holds no slices yet, does not end it.
        replaced = isinstance(reply, LoanReply) and (
            reply.rate > 0 or now >= loan.deadline
        )
        if replaced:
            loan.rate = reply.rate
            # Counted from before the request was sent, so that a loan expires here
            # before it expires at the delegate.
            loan.deadline = now + reply.valid_for

    async def _request_loan(
        self, request: LoanRequest, deadline: float
    ) -> ControlMessage | None:
        address = self._delegate()
        if address is None:
            return self._slices.lend(request)
        try:
            return await self._endpoint.request(address, request, deadline=deadline)
        except AlmondError:
            return None

    async def _renew_periodically(self) -> None:
        delay = RENEW_INTERVAL_S
        while True:
            self._renewal_requested.clear()
            await asyncio.gather(*(self.renew(name) for name in list(self._loans)))
            delay = self._find_renewal_delay(delay)
            await asyncio.sleep(MIN_RENEW_INTERVAL_S)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(delay - MIN_RENEW_INTERVAL_S):
                    await self._renewal_requested.wait()

    def _find_renewal_delay(self, last: float) -> float:
        """Return the seconds until the next renewal of loans.

        While a limit with a minimum demand has no loan, the delay starts at the
        minimum and doubles up to the normal interval. A new limit thus gets its loan
        soon, and a store outage soon causes no more requests than normal renewals.
        """
        now = self._clock.monotonic()
        missing = any(
            name in self._minimum_demands and (loan.rate <= 0 or now >= loan.deadline)
            for name, loan in self._loans.items()
        )
        was_missing, self._loan_missing = self._loan_missing, missing
        if not missing:
            return RENEW_INTERVAL_S
        return min(RENEW_INTERVAL_S, 2 * last if was_missing else MIN_RENEW_INTERVAL_S)

    async def _handle_loan_request(
        self, message: LoanRequest, _sender: str
    ) -> LoanReply:
        return self._slices.lend(message)
