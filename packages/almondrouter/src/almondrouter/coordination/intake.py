"""Schedules the transfer of long request bodies to this host.

Designed for uploads that exceed the bandwidth of a host's link for seconds. Bodies
that are transferred concurrently share the link, delay the short requests on it and
arrive too late; a body that is refused after its transfer has wasted bandwidth.
Therefore daemons offer a long body first, and this host accepts one after the other,
as long as the response can still be in time.
"""

from __future__ import annotations

from almondrouter.clock import Clock

BODY_LINK_SHARE = 0.85
"""Share of the link's bandwidth for long bodies; the rest is for other traffic."""
TRANSFER_OVERLAP_S = 0.05
"""Seconds by which the next transfer starts before the end of the current one. The
reply that starts a transfer needs time to reach its sender, and the link must not be
idle meanwhile."""


class BodyIntake:
    """Reserves the link for one long body after the other.

    Parameters
    ----------
    bytes_per_second
        Bandwidth of the link of this host.
    clock
        Source of monotonic time.
    """

    def __init__(self, *, bytes_per_second: float, clock: Clock) -> None:
        self._rate = bytes_per_second * BODY_LINK_SHARE
        self._clock = clock
        self._link_free_at = 0.0

    def reserve(self, size: int, *, arrive_by: float) -> float | None:
        """Reserve the link for a body if it can arrive in time.

        Parameters
        ----------
        size
            Length of the body in bytes.
        arrive_by
            Monotonic seconds by which the whole body must have arrived.

        Returns
        -------
        float or None
            Monotonic seconds at which the transfer may start, or None if the body would
            arrive too late.
        """
        now = self._clock.monotonic()
        starts_at = max(now, self._link_free_at)
        ends_at = starts_at + size / self._rate
        if ends_at > arrive_by:
            return None
        self._link_free_at = ends_at
        return max(now, starts_at - TRANSFER_OVERLAP_S)
