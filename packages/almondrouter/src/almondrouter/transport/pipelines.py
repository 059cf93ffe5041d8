"""Requests of a caller's connection, in the order of their arrival."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from almondrouter.transport.calls import CallerRequest, CallerResponse

MAX_PIPELINED = 16
"""Limit on pipelined requests of a connection that wait for a response."""


@dataclass(slots=True, eq=False)
class Exchange:
    """A request and, once it is available, its response.

    Parameters
    ----------
    started
        Whether the request has been passed on; it must not be passed on again.
    """

    request: CallerRequest
    keep_alive: bool
    started: bool = False
    task: asyncio.Task[None] | None = None
    response: CallerResponse | None = None


class Pipeline:
    """Requests of a connection that wait for their responses, oldest first.

    Notes
    -----
    A request waits until the ones before it are answered: a response without a length
    closes the connection, and the caller retries the requests behind it. They must
    not have run, even those that may be repeated, as nobody gets their responses.
    """

    def __init__(self) -> None:
        self._exchanges: deque[Exchange] = deque()

    def __len__(self) -> int:
        return len(self._exchanges)

    def __iter__(self) -> Iterator[Exchange]:
        return iter(self._exchanges)

    @property
    def room(self) -> int:
        """Number of requests that may be added."""
        return MAX_PIPELINED - len(self._exchanges)

    @property
    def tasks(self) -> list[asyncio.Task[None]]:
        """Tasks of the requests in progress."""
        return [e.task for e in self._exchanges if e.task is not None]

    def append(self, exchange: Exchange) -> None:
        """Add the request that was received last."""
        self._exchanges.append(exchange)

    def find_startable(self) -> Exchange | None:
        """Return the oldest request unless it has started; None if there is none."""
        if self._exchanges and not self._exchanges[0].started:
            return self._exchanges[0]
        return None

    def pop_answered(self) -> Exchange | None:
        """Remove and return the oldest request if its response is available."""
        if self._exchanges and self._exchanges[0].response is not None:
            return self._exchanges.popleft()
        return None

    def clear(self) -> list[Exchange]:
        """Remove and return all requests."""
        removed = list(self._exchanges)
        self._exchanges.clear()
        return removed
