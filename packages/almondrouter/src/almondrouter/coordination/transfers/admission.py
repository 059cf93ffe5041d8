"""Admits requests with long responses by what the link of the host can carry."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from almondrouter.clock import Clock
from almondrouter.coordination.transfers.scheduler import TransferScheduler
from almondrouter.coordination.transfers.sizes import ResponseSizes
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import CallReply, CallRequest
from almondrouter.protocol.outcomes import CallError
from almondrouter.transport.transfers import get_transfer_rank


class TransferAdmission:
    """Refuses requests whose responses could not arrive by their deadlines.

    The size of a response is known only after its request has run. Before, the
    expected size of its route counts as waiting for the link.

    Parameters
    ----------
    scheduler
        Transfers that wait for the link.
    clock
        Source of monotonic time.
    """

    def __init__(self, scheduler: TransferScheduler, clock: Clock) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._sizes = ResponseSizes()
        self._expected: Counter[int] = Counter()
        self.counts: Counter[str] = Counter()

    @property
    def link_wait(self) -> float:
        """Seconds until the link has carried what waits and what is expected."""
        return self._estimate_wait(math.inf)

    def record(self, route: str, reply: CallReply) -> None:
        """Learn from the length of a response."""
        self._sizes.record(route, reply)

    @contextmanager
    def admit(self, request: CallRequest, *, run_time: float) -> Iterator[None]:
        """Admit a request while it waits for a slot and runs.

        Parameters
        ----------
        run_time
            Expected run time in seconds, during which the link carries other responses.

        Raises
        ------
        CallError
            ``overloaded`` if the response is expected after the deadline,
            ``busier_than_expected`` if the response would wait for the link for longer
            than the sender's ``max_wait``. In both cases the request was not run.
        """
        size = self._sizes.expect(request.class_name)
        if not size:
            yield
            return
        rank = get_transfer_rank(request)
        wait = max(0.0, self._estimate_wait(rank) - run_time)
        arrives_in = run_time + wait + size / self._scheduler.budget.rate
        onward = self._scheduler.estimate_onward_time(size)
        self._check(request, wait, arrives_in + onward)
        self.counts["admitted"] += 1
        self._expected[rank] += size
        try:
            yield
        finally:
            self._expected[rank] -= size

    def _estimate_wait(self, rank: float) -> float:
        """Return the seconds until the link has carried all up to a rank."""
        counts = self._scheduler.count_bytes_by_rank() + self._expected
        waiting = sum(size for known, size in counts.items() if known <= rank)
        return self._scheduler.budget.wait + waiting / self._scheduler.budget.rate

    def _check(self, request: CallRequest, wait: float, arrives_in: float) -> None:
        if self._clock.monotonic() + arrives_in > request.deadline:
            self.counts["refused"] += 1
            message = "the link cannot carry the response by the deadline"
            raise CallError(ErrorCode.OVERLOADED, message)
        if 0 <= request.max_wait < wait:
            self.counts["busier_than_expected"] += 1
            message = "the expected wait for the link exceeds the limit of the sender"
            raise CallError(ErrorCode.BUSIER_THAN_EXPECTED, message)
