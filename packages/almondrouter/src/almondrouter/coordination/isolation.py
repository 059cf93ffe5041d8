"""Whether this host is cut off from the others, so that callers should go elsewhere.

Load pattern: a host that is cut off for seconds while its clients go on sending. It
can serve only what its own backend server serves; daemons beside it can serve all.
"""

from __future__ import annotations

from almondrouter.clock import Clock

MIN_PEERS = 4
"""Known peers below which their silence says little about this host."""
MIN_REACHABLE_SHARE = 0.25
"""Share of the known peers that answers unless this host is cut off; a region that
has lost the two others still reaches more."""
ISOLATION_DELAY_S = 0.5
"""Seconds for which too few answer before this host counts as cut off; links that
were reset are open again by then."""


class IsolationDetector:
    """Tells from the links whether this host is cut off.

    Parameters
    ----------
    clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._cut_off_at: float | None = None

    @property
    def is_isolated(self) -> bool:
        """Return whether too few peers have answered for a while."""
        cut_off_at = self._cut_off_at
        return cut_off_at is not None and self._clock.monotonic() >= cut_off_at

    def update(self, *, known: int, reachable: int) -> None:
        """Take over how many peers are known, and how many of them answer."""
        if known < MIN_PEERS or reachable >= MIN_REACHABLE_SHARE * known:
            self._cut_off_at = None
        elif self._cut_off_at is None:
            self._cut_off_at = self._clock.monotonic() + ISOLATION_DELAY_S
