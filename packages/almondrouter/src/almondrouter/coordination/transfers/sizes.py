"""Expected sizes of the responses of routes."""

from __future__ import annotations

from http import HTTPStatus

from almondrouter.protocol.calls import CallReply
from almondrouter.protocol.headers import Outcome

LONG_RESPONSE_BYTES = 16_384
"""Expected length from which on the responses of a route count as long. Shorter ones
leave at once, as a link carries one in some hundredths of a second."""
SIZE_WEIGHT = 0.05
"""Weight of the newest size; sizes of one route differ by a factor of a thousand."""
MAX_ROUTES = 1_000
"""Limit on the routes; the one that was added first is dropped for another."""


class ResponseSizes:
    """Moving average of the response sizes of each route."""

    def __init__(self) -> None:
        self._means: dict[str, tuple[float, int]] = {}

    def record(self, route: str, reply: CallReply) -> None:
        """Learn from the length of a response; errors are short on every route."""
        if (
            reply.outcome is not Outcome.COMPLETE
            or reply.status >= HTTPStatus.MULTIPLE_CHOICES
        ):
            return
        size = len(reply.body)
        mean, count = self._means.get(route, (0.0, 0))
        if not count and len(self._means) >= MAX_ROUTES:
            del self._means[next(iter(self._means))]
        weight = max(SIZE_WEIGHT, 1.0 / (count + 1))
        self._means[route] = (mean + weight * (size - mean), count + 1)

    def expect(self, route: str) -> int:
        """Return the expected size in bytes; 0 if it is unknown or short."""
        mean, _ = self._means.get(route, (0.0, 0))
        return int(mean) if mean >= LONG_RESPONSE_BYTES else 0
