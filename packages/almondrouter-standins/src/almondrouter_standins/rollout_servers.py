"""Simulated backend servers of fleets that roll a service out."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from almondrouter.state.bounds import RolloutBounds
from almondrouter.state.hosts import BackendEntry, ServingState

SERVICE = "orders"
OLD, NEW = "v1", "v2"
SLOTS = 7
MAX_QUEUE = 10
ROUTES = {"read": (0.6, 0.15), "pay": (0.25, 0.2), "list": (0.15, 0.1)}
"""Share of the requests, and mean run time in seconds, by route."""
ONCE_ROUTES = frozenset({"pay"})
BASE_FAILURE_SHARE = 0.01
COLD_S = 3.0
REGIONS = 3
WATCH_DELAY_S = 0.01
RETRY_SHARE = 0.2

Fault = Callable[["Server", str, float], tuple[float, float]]
"""Returns failure share and run time factor of a server on a route at a time."""


class Server:
    """A backend server with slots and a queue.

    Parameters
    ----------
    name, version
        Its name and version.
    speed
        Factor of its run times.
    born
        Virtual seconds at which it started.
    """

    def __init__(self, name: str, version: str, speed: float, born: float) -> None:
        self.entry = BackendEntry(
            name, int(born * 1000), SERVICE, SLOTS, ServingState.READY, version
        )
        self.speed = speed
        self.born = born
        self.runs_in_flight = 0
        self.waiting: deque[Callable[[], None]] = deque()
        self.queue = self

    def refuse_waiting(self, code: object, message: str) -> None:
        """Drop what waits; its callers try elsewhere."""
        self.waiting.clear()


@dataclass(slots=True)
class Counts:
    """What reached the servers since the order.

    Parameters
    ----------
    total, exposed
        Requests that reached all servers, and those of the new version.
    bad_at
        Times of the bad responses of the new version, since the order.
    last_sent
        Time of the last request to the new version, since the order.
    decided_at
        Time at which the status was decided, since the order; None if it was not.
    wasted
        Requests that found no server.
    """

    total: int = 0
    exposed: int = 0
    bad_at: list[float] = field(default_factory=list)
    last_sent: float = 0.0
    decided_at: float | None = None
    wasted: int = 0

    @property
    def bound(self) -> float:
        """Most requests that a bad version may get, by the default bounds."""
        bounds = RolloutBounds()
        return bounds.exposure_share * self.total + bounds.exposure_slack

    @property
    def sent_after_50_bad(self) -> float:
        """Seconds from the 50th bad response to the last request; 0 if there is none.

        Negative if there were fewer.
        """
        if len(self.bad_at) < 50:
            return -1.0
        return self.last_sent - sorted(self.bad_at)[49]
