"""What the link of the host has carried, and when the next part may leave."""

from __future__ import annotations

from almondrouter.clock import Clock
from almondrouter.coordination.transfers.ratecontrol import RateControl

LINK_SHARE = 0.95
"""Share of the link's rate that parts may fill together with all other traffic. The
rest covers packet headers, and lets the link catch up with short bursts."""
PART_S = 0.0065
"""Time in which the link carries one part, in seconds; 8 KB at 10 Mbit/s. A short frame
waits behind a part that is on its way."""
MIN_PART_BYTES = 4_096
"""Least length of a part, so that its frame costs little beside it."""
MAX_PART_BYTES = 1_000_000
"""Largest length of a part; frames are limited, and this much is no burden for a link
on which it matters."""
CATCH_UP_PARTS = 2
"""Parts that may leave at once after a time in which none left. Timers fire late by up
to a part's time on a busy host, and the link would be idle for that time."""
MAX_DEBT_S = 1.0
"""Longest time in seconds for which bytes that have left hold back the next part. If
the link is faster than its stated rate, parts must not wait for longer."""


class LinkBudget:
    """Token bucket of the link that every byte is charged to, paced or not.

    Parameters
    ----------
    bytes_per_second
        Capacity of the link.
    clock
        Source of monotonic time.
    """

    def __init__(self, *, bytes_per_second: float, clock: Clock) -> None:
        self._stated_rate = bytes_per_second * LINK_SHARE
        self.control = RateControl()
        """Finds out whether the link carries less than stated."""
        self.part_bytes = min(
            max(MIN_PART_BYTES, int(bytes_per_second * PART_S)), MAX_PART_BYTES
        )
        """Length of a part in bytes."""
        self._credit_s = (CATCH_UP_PARTS - 1) * self.part_bytes / self.rate
        self._clock = clock
        self._free_at = clock.monotonic()

    @property
    def rate(self) -> float:
        """Bytes per second that may leave."""
        return self._stated_rate * self.control.share

    def charge(self, size: int) -> None:
        """Charge bytes that leave now; those that may not wait can cause a debt."""
        now = self._clock.monotonic()
        free_at = max(self._free_at, now - self._credit_s) + size / self.rate
        self._free_at = min(free_at, now + MAX_DEBT_S)

    @property
    def wait(self) -> float:
        """Seconds until the next part may leave; 0 if it may leave now."""
        return max(0.0, self._free_at - self._clock.monotonic())
