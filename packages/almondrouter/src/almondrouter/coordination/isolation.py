"""Detects that this host is isolated, so that its callers should use other hosts.

A host may lose its network for seconds while its callers keep sending. It can then
serve only the calls for its own backend server; other daemons can serve all.
"""

from __future__ import annotations

from almondrouter.clock import Clock

MIN_PEERS = 4
"""Fewest known peers from which isolation is concluded; fewer may all be down."""
MIN_REACHABLE_SHARE = 0.25
"""Share of responding peers below which this host counts as isolated; the hosts of a
region that is cut off from the two others still reach a larger share."""
ISOLATION_DELAY_S = 0.5
"""Seconds for which too few peers respond before this host counts as isolated; links
that were reset are open again by then."""


class IsolationDetector:
    """Concludes from the state of the links whether this host is isolated.

    Parameters
    ----------
    clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._isolated_at: float | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether too few peers have responded for at least `ISOLATION_DELAY_S`."""
        isolated_at = self._isolated_at
        return isolated_at is not None and self._clock.monotonic() >= isolated_at

    def update(self, *, known: int, reachable: int) -> None:
        """Update the numbers of known peers and of those that respond."""
        if known < MIN_PEERS or reachable >= MIN_REACHABLE_SHARE * known:
            self._isolated_at = None
        elif self._isolated_at is None:
            self._isolated_at = self._clock.monotonic() + ISOLATION_DELAY_S
