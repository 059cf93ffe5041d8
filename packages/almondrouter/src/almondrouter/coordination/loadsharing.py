"""When a daemon tells its peers how busy its backend server is.

Load pattern: many daemons that each send a backend server few requests, so that the
load in its replies is seconds old when a burst or the loss of servers makes it
matter. A daemon tells the daemons of its region when the load has changed by a good
part of its slots; a calm fleet says little.
"""

from __future__ import annotations

from almondrouter.clock import Clock
from almondrouter.protocol.calls import Load

CHANGED_SHARE = 0.4
"""Share of the slots by which running and waiting requests have to differ from what
was told."""
REFRESH_S = 1.0
"""Seconds after which a smaller change is told too; reports lose weight by then."""
LOOK_S = 0.15
"""Seconds between looks at the load; shorter than a typical request."""


class LoadSharing:
    """Decides whether the load is worth telling now.

    Parameters
    ----------
    clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._told: Load | None = None
        self._told_at = 0.0

    def take(self, load: Load | None) -> bool:
        """Return whether to tell a load, which then counts as told.

        Parameters
        ----------
        load
            Load of the backend server; None if it takes no work, which its record
            tells already.
        """
        if load is None:
            self._told = None
            return False
        now = self._clock.monotonic()
        if not self._is_news(load, now):
            return False
        self._told, self._told_at = load, now
        return True

    def _is_news(self, load: Load, now: float) -> bool:
        if self._told is None:
            return True
        change = abs(count_calls(load) - count_calls(self._told))
        if change >= CHANGED_SHARE * load.slots:
            return True
        return change > 0 and now - self._told_at >= REFRESH_S


def count_calls(load: Load) -> int:
    """Return the requests that run or wait."""
    return load.in_use + load.queued
