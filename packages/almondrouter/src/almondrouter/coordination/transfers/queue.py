"""Order in which the parts of long responses leave over the link of the host."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable

from almondrouter.transport.transfers import Transfer


class TransferQueue:
    """Chooses the transfer whose part leaves next."""

    def __init__(self) -> None:
        # In order of arrival, which decides between equal transfers.
        self._transfers: dict[Transfer, None] = {}

    def __len__(self) -> int:
        return len(self._transfers)

    @property
    def transfers(self) -> list[Transfer]:
        """Transfers in progress, in order of arrival."""
        return list(self._transfers)

    def count_bytes_by_rank(self) -> Counter[int]:
        """Return the bytes that have yet to leave by rank."""
        counts: Counter[int] = Counter()
        for transfer in self._transfers:
            counts[transfer.rank] += transfer.remaining
        return counts

    def add(self, transfer: Transfer) -> None:
        """Add a transfer."""
        self._transfers[transfer] = None

    def discard(self, transfer: Transfer) -> None:
        """Remove a transfer, whose waiting parts are dropped."""
        self._transfers.pop(transfer, None)

    def choose(self, now: float, *, rate: float) -> Transfer | None:
        """Return the next transfer whose connection takes a part; None without one.

        Parameters
        ----------
        now
            Monotonic seconds.
        rate
            Bytes per second that the link carries for transfers.

        Notes
        -----
        Urgent ranks come first. Within a rank, those that can be on time precede late
        ones, of which the shortest comes first. What can no longer arrive by its
        deadline follows all others.
        """
        ready = [t for t in self._transfers if t.is_writable()]
        if len(ready) <= 1:
            return ready[0] if ready else None
        live = [t for t in ready if now + t.remaining / rate <= t.deadline]
        if not live:
            return min(ready, key=_get_remaining)
        rank = min(t.rank for t in live)
        urgent = [t for t in live if t.rank == rank]
        on_time = select_on_time(urgent, now, rate)
        return on_time[0] if on_time else min(urgent, key=_get_remaining)


def select_on_time(
    transfers: Iterable[Transfer], now: float, rate: float
) -> list[Transfer]:
    """Return the most transfers that can all be on time, in the order to send them.

    Notes
    -----
    J. M. Moore, "An n job, one machine sequencing algorithm for minimizing the number
    of late jobs", Management Science 15 (1968): earliest due time first; whenever one
    would be late, the longest so far is left out.
    """
    selected: dict[Transfer, None] = {}
    longest: list[tuple[int, int, Transfer]] = []
    ends_at = now
    by_due_time = sorted(transfers, key=lambda t: t.useful_until)
    for position, transfer in enumerate(by_due_time):
        selected[transfer] = None
        heapq.heappush(longest, (-transfer.remaining, -position, transfer))
        ends_at += transfer.remaining / rate
        if ends_at > transfer.useful_until:
            left_out = heapq.heappop(longest)[2]
            del selected[left_out]
            ends_at -= left_out.remaining / rate
    return list(selected)


def _get_remaining(transfer: Transfer) -> int:
    return transfer.remaining
