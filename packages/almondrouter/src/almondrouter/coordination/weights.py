"""Traffic splitting among the services of a route in proportion to their weights.

Shares hold on each daemon from the first requests after a change of weights, and not
only on average over many requests.
"""

from __future__ import annotations

import contextlib
import random as random_module
from collections.abc import Iterator

from almondrouter.coordination.callexplanation import keep_random_state
from almondrouter.state.routes import RouteTarget, ServiceShare

MAX_ROUTES = 4_096
"""Routes whose credits are kept; beyond this limit all credits are reset."""


class TrafficSplitter:
    """Chooses the services of a route by smooth weighted round robin.

    Parameters
    ----------
    random
        Source of the initial credits, so that daemons do not all start with the same
        service.
    """

    def __init__(self, random: random_module.Random) -> None:
        self._random = random
        self._credits: dict[tuple[str, tuple[ServiceShare, ...]], list[float]] = {}

    def choose(self, route: RouteTarget) -> str:
        """Return the service for the next request of a route."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        total = sum(share.weight for share in shares)
        credits = self._get_credits(route, total)
        for index, share in enumerate(shares):
            credits[index] += share.weight
        best = max(range(len(shares)), key=credits.__getitem__)
        credits[best] -= total
        return shares[best].service

    @contextlib.contextmanager
    def preview(self) -> Iterator[None]:
        """Put the credits and the random state back at the end of the context."""
        credits = {key: list(values) for key, values in self._credits.items()}
        try:
            with keep_random_state(self._random):
                yield
        finally:
            self._credits = credits

    def _get_credits(self, route: RouteTarget, total: float) -> list[float]:
        key = (route.name, route.shares)
        if key not in self._credits:
            if len(self._credits) >= MAX_ROUTES:
                self._credits.clear()
            # Without initial credit, a service of weight 0 is never chosen.
            self._credits[key] = [
                self._random.random() * total if share.weight else 0.0
                for share in route.shares
            ]
        return self._credits[key]
