"""When long bodies may be sent to this host.

Load pattern: uploads that ask for more than the narrow link of a host carries, for
seconds. Bodies that all move at once share the link, hold up the short requests on
it, and arrive too late; a body that is refused after it has moved has wasted it. So
a daemon offers a long body first, and this host takes one after the other, as long
as the answer can still be in time.
"""

from __future__ import annotations

from almondrouter.clock import Clock

LINK_SHARE = 0.85
"""Share of the link that long bodies may fill; the rest is for requests and replies."""
OVERLAP_S = 0.05
"""Seconds before the end of a body at which the next one may begin, so that the link
is not idle for the time that the word takes to its sender."""


class BodyIntake:
    """Plans the arrival of long bodies one after the other.

    Parameters
    ----------
    bytes_per_second
        What the link of the host carries.
    clock
        Source of monotonic time.
    """

    def __init__(self, *, bytes_per_second: float, clock: Clock) -> None:
        self._rate = bytes_per_second * LINK_SHARE
        self._clock = clock
        self._free_at = 0.0

    def plan(self, size: int, *, arrive_by: float) -> float | None:
        """Take a body of a size in bytes, if it can have arrived in time.

        Parameters
        ----------
        arrive_by
            Monotonic seconds at which the whole body has to be here.

        Returns
        -------
        Monotonic seconds from which it may be sent, or None if it is not taken.
        """
        now = self._clock.monotonic()
        begins_at = max(now, self._free_at)
        ends_at = begins_at + size / self._rate
        if ends_at > arrive_by:
            return None
        self._free_at = ends_at
        return max(now, begins_at - OVERLAP_S)
