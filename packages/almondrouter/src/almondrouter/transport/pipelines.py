"""Requests of a caller's connection, in the order of their arrival."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus

from almondrouter.clock import Clock
from almondrouter.transport.calls import CallerRequest, CallerResponse

MAX_PIPELINED = 16
"""Limit on pipelined requests of a connection that wait for a response."""
UNFRAMED_MEMORY_S = 60.0
"""Seconds after a response without a length in which the next one is expected."""

_CONCURRENT_METHODS = frozenset({"GET", "HEAD"})
"""Safe methods, whose pipelined requests may be served concurrently."""


@dataclass(slots=True, eq=False)
class Exchange:
    """A request and, once it is available, its response.

    Parameters
    ----------
    held_bytes
        Memory of the request, and of the response while it waits for earlier ones.
    started
        Whether the request has been passed on; it must not be passed on again.
    """

    request: CallerRequest
    keep_alive: bool
    held_bytes: int = 0
    started: bool = False
    task: asyncio.Task[None] | None = None
    response: CallerResponse | None = None


class Pipeline:
    """Requests of a connection that wait for their responses, oldest first.

    Notes
    -----
    Pipelined requests run concurrently only if their methods are safe. Any other
    request waits until the ones before it are answered: if one of their responses
    closes the connection, the caller retries the request, which must not have run.
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

    def list_startable(self, *, concurrent: bool) -> list[Exchange]:
        """Return the requests that have not started and need not wait for others.

        Parameters
        ----------
        concurrent
            Whether safe requests may run beside one another.
        """
        startable = []
        for position, exchange in enumerate(self._exchanges):
            safe = concurrent and exchange.request.method in _CONCURRENT_METHODS
            if position and not safe:
                break
            if not exchange.started:
                startable.append(exchange)
            if not safe:
                break
        return startable

    def is_first(self, exchange: Exchange) -> bool:
        """Return whether a request is the oldest one."""
        return bool(self._exchanges) and self._exchanges[0] is exchange

    @property
    def has_started(self) -> bool:
        """Whether any of the requests has been passed on."""
        return any(exchange.started for exchange in self._exchanges)

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


class FramingHistory:
    """Tells whether the next responses can be expected to have a length.

    A response without a length closes its connection. Requests that run behind it on
    the connection would run for nobody, so that they run concurrently only while such
    a response is unlikely.

    Parameters
    ----------
    clock
        Source of monotonic time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reliable_from: float | None = None

    @property
    def is_reliable(self) -> bool:
        """Whether responses have been seen, and all of the last minute had a length."""
        reliable_from = self._reliable_from
        return reliable_from is not None and self._clock.monotonic() >= reliable_from

    def record(self, response: CallerResponse) -> None:
        """Learn from the response to a caller; errors of this daemon teach nothing."""
        if not response.framed:
            self._reliable_from = self._clock.monotonic() + UNFRAMED_MEMORY_S
        elif self._reliable_from is None and response.status < HTTPStatus.BAD_REQUEST:
            self._reliable_from = self._clock.monotonic()
