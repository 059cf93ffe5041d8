"""Memory for the bodies of requests that other daemons send to this host.

Designed for uploads on many hosts that one backend server has to run: each of the other
hosts keeps within its own memory, but all their bodies wait here for a slot.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass

from almondrouter.clock import Clock
from almondrouter.coordination.callerbudget import CallerBudget
from almondrouter.coordination.callerlimits import estimate_body_bytes
from almondrouter.protocol.calls import BodyOffer, CallRequest

CHECK_INTERVAL_S = 0.1
"""Seconds between looks whether callers have left memory to the offers that wait."""


@dataclass(slots=True, eq=False)
class _Waiter:
    """Offer that waits for memory; the result tells whether there is any."""

    size: int
    result: asyncio.Future[bool]


class PeerBodies:
    """Counts long bodies from the acceptance of their offer to the end of the run.

    Parameters
    ----------
    budget
        Memory that is shared with the callers of this host.
    clock
        Source of monotonic time.

    Notes
    -----
    Offers wait in the order in which they came. The memory of an accepted offer whose
    body never comes is released when the body would be of no more use.
    """

    def __init__(self, budget: CallerBudget, *, clock: Clock) -> None:
        self._budget = budget
        self._clock = clock
        self._accepted: dict[int, tuple[int, float]] = {}
        self._waiters: deque[_Waiter] = deque()
        self._held = 0
        self._timer: asyncio.TimerHandle | None = None

    async def accept(self, offer: BodyOffer, *, until: float, run_time: float) -> bool:
        """Reserve memory for a body, once there is some; False if that is too late.

        Parameters
        ----------
        until
            Monotonic seconds until which a transfer is of use.
        run_time
            Usual seconds for which the backend server runs such a request.
        """
        size = estimate_body_bytes(offer.size)
        self._expire()
        if self._waiters or not self._reserve(size):
            if self._estimate_wait(size, run_time) > until - self._clock.monotonic():
                self._budget.counts["peer_body_refused"] += 1
                return False
            if not await self._wait(size, until):
                self._budget.counts["peer_body_refused"] += 1
                return False
        if offer.offer_id:
            self._accepted[offer.offer_id] = (size, offer.useful_until)
        else:
            # Earlier daemons do not tell which call belongs to the offer.
            self.end(size)
        return True

    def decline(self, offer: BodyOffer) -> None:
        """Release the memory of an offer that is refused or withdrawn after all."""
        self.end(self._take_accepted(offer.offer_id))

    def begin(self, request: CallRequest) -> int | None:
        """Return the bytes that a request holds until `end`; None if it has no room."""
        if not request.body:
            return 0
        size = self._take_accepted(request.offer_id)
        if not size:
            size = estimate_body_bytes(len(request.body))
            self._expire()
            if not self._reserve(size):
                self._budget.counts["peer_body_refused"] += 1
                return None
        return size

    def end(self, size: int) -> None:
        """Release the bytes of a request that has ended."""
        if size:
            self._held -= size
            self._budget.release_peer_body(size)
            self._admit_waiting()

    def refuse_waiting(self) -> None:
        """Refuse the offers that wait, as the backend server takes no more requests."""
        while self._waiters:
            self._waiters.popleft().result.set_result(False)

    def _reserve(self, size: int) -> bool:
        if not self._budget.reserve_peer_body(size):
            return False
        self._held += size
        return True

    def _take_accepted(self, offer_id: int) -> int:
        size, _ = self._accepted.pop(offer_id, (0, 0.0))
        return size

    def _estimate_wait(self, size: int, run_time: float) -> float:
        """Return the seconds until the bodies before another one have been run."""
        before = sum(waiter.size for waiter in self._waiters) + size
        return before / self._held * run_time if self._held else 0.0

    async def _wait(self, size: int, until: float) -> bool:
        loop = asyncio.get_running_loop()
        waiter = _Waiter(size, loop.create_future())
        self._waiters.append(waiter)
        self._budget.counts["peer_body_waited"] += 1
        self._check_later()
        try:
            await asyncio.wait(
                (waiter.result,), timeout=until - self._clock.monotonic()
            )
        except asyncio.CancelledError:
            if self._stop_waiting(waiter):
                self.end(size)
            raise
        return self._stop_waiting(waiter)

    def _stop_waiting(self, waiter: _Waiter) -> bool:
        """Return whether an offer that waits no longer has got its memory."""
        if waiter.result.done():
            return waiter.result.result()
        self._waiters.remove(waiter)
        self._admit_waiting()
        return False

    def _admit_waiting(self) -> None:
        while self._waiters and self._reserve(self._waiters[0].size):
            self._waiters.popleft().result.set_result(True)

    def _check_later(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        self._expire()
        self._admit_waiting()
        if self._waiters:
            self._check_later()

    def _expire(self) -> None:
        now = self._clock.monotonic()
        late = [key for key, (_, until) in self._accepted.items() if until < now]
        for key in late:
            self.end(self._take_accepted(key))
