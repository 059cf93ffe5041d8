"""Order in which the parts of long responses leave over the link of the host."""

from __future__ import annotations

from almondrouter.transport.transfers import Transfer


class TransferQueue:
    """Chooses the transfer whose part leaves next.

    Parameters
    ----------
    rate
        Bytes per second that the link carries for transfers.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        # Insertion order breaks ties, so that equal transfers do not alternate.
        self._transfers: dict[Transfer, None] = {}

    def __len__(self) -> int:
        return len(self._transfers)

    @property
    def waiting_bytes(self) -> int:
        """Bytes of all transfers that have yet to leave."""
        return sum(transfer.remaining for transfer in self._transfers)

    def add(self, transfer: Transfer) -> None:
        """Add a transfer."""
        self._transfers[transfer] = None

    def discard(self, transfer: Transfer) -> None:
        """Remove a transfer, whose waiting parts are dropped."""
        self._transfers.pop(transfer, None)

    def choose(self, now: float) -> Transfer | None:
        """Return the next transfer whose connection takes a part; None without one."""
        ready = [t for t in self._transfers if t.is_writable()]
        return min(ready, key=lambda t: compute_order(t, now, self._rate), default=None)


def compute_order(transfer: Transfer, now: float, rate: float) -> tuple[bool, int, int]:
    """Return the position key of a transfer at a given time on a link of a given rate.

    Notes
    -----
    What can no longer arrive by the deadline follows all others. What can no longer be
    on time follows the others of its rank. Among the rest the shortest precedes, which
    serves the most responses in time when there are too many.
    """
    arrives_at = now + transfer.remaining / rate
    lost = arrives_at > transfer.deadline
    late = arrives_at > transfer.useful_until
    return (lost, 2 * transfer.rank + late, transfer.remaining)
