"""Sends the parts of all long responses of this host, paced over all connections."""

from __future__ import annotations

import asyncio
from collections import Counter

from almondrouter.clock import Clock
from almondrouter.coordination.transfers.budget import LinkBudget
from almondrouter.coordination.transfers.queue import TransferQueue
from almondrouter.transport.transfers import Transfer, TransferPacer

ONWARD_DELAY_S = 0.03
"""Time in seconds from the last byte on this link until its daemon has it and passes it
on to the caller; half a round trip to another region takes 20 ms."""
MIN_TIMER_S = 0.001
"""Shortest wait for the next part in seconds; event loops count in milliseconds."""


class TransferScheduler(TransferPacer):
    """Sends one part after the other as fast as the link carries them.

    Connections have buffers of their own, so that a link is only shared in the intended
    order if little is handed to them in advance.

    Parameters
    ----------
    budget
        Token bucket of the link; the connections charge it with all they send.
    clock
        Source of monotonic time.
    """

    def __init__(self, budget: LinkBudget, clock: Clock) -> None:
        self.budget = budget
        self._clock = clock
        self._queue = TransferQueue()
        self._timer: asyncio.TimerHandle | None = None
        self._sending = False
        self.counts: Counter[str] = Counter()

    @property
    def waiting_transfers(self) -> int:
        """Number of transfers in progress."""
        return len(self._queue)

    def count_bytes_by_rank(self) -> Counter[int]:
        """Return the bytes that have yet to leave by rank."""
        return self._queue.count_bytes_by_rank()

    def estimate_onward_time(self, size: int) -> float:
        """Return the seconds from the end of a transfer until the caller has it all.

        Notes
        -----
        The daemon beside the caller sends the whole body over the link of its host,
        which is taken to be as fast as this one.
        """
        return ONWARD_DELAY_S + size / self.budget.rate

    def add(self, transfer: Transfer) -> None:  # noqa: D102
        self.counts["started"] += 1
        if not transfer.is_last_hop:
            onward = self.estimate_onward_time(transfer.remaining)
            transfer.useful_until -= onward
            transfer.deadline -= onward
        self._queue.add(transfer)
        self.wake()

    def discard(self, transfer: Transfer) -> None:  # noqa: D102
        self._queue.discard(transfer)
        self.counts["dropped" if transfer.remaining else "finished"] += 1

    def record_delay(self, delay: float) -> None:  # noqa: D102
        self.budget.control.record(delay, self._clock.monotonic())

    def wake(self) -> None:  # noqa: D102
        # A part that is the last of its transfer may start the next one.
        if self._timer is None and not self._sending:
            self._send_due()

    def _send_due(self) -> None:
        self._timer = None
        self._sending = True
        try:
            self._send_parts()
        finally:
            self._sending = False

    def _send_parts(self) -> None:
        while self._queue:
            if wait := self.budget.wait:
                loop = asyncio.get_running_loop()
                self._timer = loop.call_later(max(wait, MIN_TIMER_S), self._send_due)
                return
            transfer = self._queue.choose(
                self._clock.monotonic(), rate=self.budget.rate
            )
            if transfer is None:
                # No connection takes a part; `wake` goes on.
                return
            self.counts["parts"] += 1
            transfer.send_part(transfer, self.budget.part_bytes)
            if not transfer.remaining:
                self._queue.discard(transfer)
