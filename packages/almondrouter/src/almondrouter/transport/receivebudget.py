"""Bound on the memory of unfinished responses over all connections of a client."""

from __future__ import annotations

MAX_SHARED_BYTES = 33_554_432
"""Limit on the bytes of unfinished bodies beyond the share of each connection."""
CONNECTION_SHARE_BYTES = 65_536
"""Bytes of a body that a connection may hold without drawing on the shared budget."""


class ReceiveBudget:
    """Counts the bytes of unfinished bodies that connections hold beyond their shares.

    Parameters
    ----------
    limit
        Largest number of bytes that all connections together may hold beyond their
        shares.
    """

    def __init__(self, limit: int = MAX_SHARED_BYTES) -> None:
        self.limit = limit
        self._used = 0

    def reserve(self, size: int) -> bool:
        """Reserve bytes; return False and reserve none if too few are left."""
        if self._used + size > self.limit:
            return False
        self._used += size
        return True

    def release(self, size: int) -> None:
        """Return reserved bytes to the budget."""
        self._used -= size
