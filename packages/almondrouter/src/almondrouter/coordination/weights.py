"""Choice among the services of a route in proportion to their weights.

Load pattern: a new version splits a route; from the first requests on, each
service gets its share, on every daemon and not only in the long run.
"""

from __future__ import annotations

import random as random_module

from almondrouter.state.routes import RouteTarget, ServiceShare

MAX_ROUTES = 4_096
"""Routes whose credits are kept; more are forgotten together."""


class TrafficSplitter:
    """Takes services in turn so that shares hold over few requests.

    Parameters
    ----------
    random
        Sets where the turns begin, so that daemons do not all begin with the
        same service.
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
        credits = self._find_credits(route, total)
        for index, share in enumerate(shares):
            credits[index] += share.weight
        best = max(range(len(shares)), key=credits.__getitem__)
        credits[best] -= total
        return shares[best].service

    def _find_credits(self, route: RouteTarget, total: float) -> list[float]:
        key = (route.name, route.shares)
        if key not in self._credits:
            if len(self._credits) >= MAX_ROUTES:
                self._credits.clear()
            self._credits[key] = [
                self._random.random() * total if share.weight else 0.0
                for share in route.shares
            ]
        return self._credits[key]
