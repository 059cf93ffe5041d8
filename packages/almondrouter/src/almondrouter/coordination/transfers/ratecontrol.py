"""Lowers the rate of transfers while the link carries less than its stated rate."""

from __future__ import annotations

import math

WINDOW_S = 1.0
"""Seconds over which round trips are compared; links with calls ping every 0.3 s."""
MIN_SAMPLES = 3
"""Least round trips in a window that tell something of the link of this host."""
CONGESTED_DELAY_S = 0.06
"""Delay of even the fastest round trip from which on the link counts as congested.
Paced transfers cause 20 ms at most; a busy process or peer does not delay all pings."""
FREE_DELAY_S = 0.03
"""Delay of the fastest round trip up to which the rate rises again."""
DRAIN_FACTOR = 0.9
"""Factor below what the link carries at which the network's buffer drains."""
MIN_FACTOR = 0.5
"""Largest step down; a single window may mislead."""
INCREASE_STEP = 0.02
MIN_SHARE = 0.4
"""Lower bound of the share; a delay that stays even then has another cause."""


class RateControl:
    """Finds the share of the stated rate that the link carries.

    Transfers that are paced too fast fill a buffer of the network, which delays the
    pings on all connections of the host. A delay of some of them only is caused by
    their peers.
    """

    def __init__(self) -> None:
        self.share = 1.0
        """Share of the stated rate at which transfers are paced."""
        self._begins_at = -math.inf
        self._samples = 0
        self._least_delay = math.inf
        self._known_delay = 0.0

    def record(self, delay: float, now: float) -> None:
        """Learn from a round trip.

        Parameters
        ----------
        delay
            Seconds by which it took longer than the fastest one of its connection.
        now
            Monotonic seconds.
        """
        if now - self._begins_at >= WINDOW_S:
            self._adapt(now)
        self._samples += 1
        self._least_delay = min(self._least_delay, delay)

    def _adapt(self, now: float) -> None:
        """Adapt the share to the window that has ended, and begin another.

        Notes
        -----
        A delay that falls shows that the share is low enough; what has been sent
        before takes time to drain.
        """
        if self._samples >= MIN_SAMPLES:
            delay, known = self._least_delay, self._known_delay
            if delay > CONGESTED_DELAY_S and delay >= known:
                # The delay grows by what is sent in excess of what the link carries.
                growth = (delay - known) / (now - self._begins_at)
                factor = max(MIN_FACTOR, DRAIN_FACTOR / (1.0 + growth))
                self.share = max(MIN_SHARE, self.share * factor)
            elif delay < FREE_DELAY_S:
                self.share = min(1.0, self.share + INCREASE_STEP)
            self._known_delay = delay
        self._begins_at, self._samples, self._least_delay = now, 0, math.inf
