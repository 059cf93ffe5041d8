"""Follows the store: configuration, records of hosts, and losses of both."""

from __future__ import annotations

import asyncio
import random as random_module
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Sequence

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError
from almondrouter.logs import StateLogger
from almondrouter.transport.store import KeyValue, Store, WatchEvent

FIRST_PAUSE_S = 0.1
"""Seconds before the first new try after the store failed."""
MAX_PAUSE_S = 0.8
"""Longest pause between tries; the records of hosts return within two seconds."""
REREAD_PAUSE_S = 0.5
"""Least seconds between readings that other daemons' versions ask for."""

_log = StateLogger("storefeed")


class StoreSubscriber(ABC):
    """Takes over what the store says about one kind of key."""

    @property
    @abstractmethod
    def prefix(self) -> str:
        """Prefix of the keys."""

    @abstractmethod
    def load(self, items: Sequence[KeyValue]) -> None:
        """Take over a whole reading."""

    @abstractmethod
    def apply(self, event: WatchEvent) -> None:
        """Take over one change."""


class StoreFeed:
    """Reads each subscriber's keys once, then follows all changes by one watch.

    Parameters
    ----------
    store
        The platform's service.
    subscribers
        Who takes the keys over.
    clock, random
        Time, and the spread of pauses.

    Notes
    -----
    After a failure the watch goes on where it ended. Everything is read again
    only if the store has no history that far back, or another daemon is found
    to know a later configuration.
    """

    def __init__(
        self,
        store: Store,
        subscribers: Sequence[StoreSubscriber],
        *,
        clock: Clock,
        random: random_module.Random,
    ) -> None:
        self._store = store
        self._subscribers = subscribers
        self._clock = clock
        self._random = random
        self._prefix = find_common_prefix([s.prefix for s in subscribers])
        self._revision = 0
        self._loaded = False
        self._reread = asyncio.Event()
        self._next_reread_at = 0.0
        self._pause = FIRST_PAUSE_S
        self._connected: bool | None = None
        self.loaded = asyncio.Event()
        self.heard_at = 0.0
        self.counts: Counter[str] = Counter()

    def request_reread(self) -> None:
        """Read everything again soon, whatever the watch says."""
        now = self._clock.monotonic()
        if now >= self._next_reread_at:
            self._next_reread_at = now + REREAD_PAUSE_S
            self._reread.set()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                if not self._loaded:
                    await self._load()
                await self._follow()
            except AlmondError as error:
                self._note_loss(error)
                if error.code.value == "history_compacted":
                    self._loaded = False
                    continue
                await asyncio.sleep(self._pause * self._random.uniform(0.5, 1.0))
                self._pause = min(MAX_PAUSE_S, self._pause * 2)

    async def _load(self) -> None:
        revision = None
        for subscriber in self._subscribers:
            result = await self._store.read_prefix(subscriber.prefix)
            subscriber.load(result.items)
            revision = result.revision if revision is None else revision
        self._revision = revision or 0
        self._loaded = True
        self.counts["readings"] += 1
        self._note_contact()
        self.loaded.set()

    async def _follow(self) -> None:
        self._reread.clear()
        reread = asyncio.ensure_future(self._reread.wait())
        batches = self._store.watch(self._prefix, from_revision=self._revision + 1)
        try:
            while True:
                following = asyncio.ensure_future(anext(batches))
                await asyncio.wait(
                    (following, reread), return_when=asyncio.FIRST_COMPLETED
                )
                if not following.done():
                    following.cancel()
                    await asyncio.wait((following,))
                    self._loaded = False
                    return
                batch = following.result()
                self._note_contact()
                for event in batch.events:
                    self._dispatch(event)
                self._revision = batch.revision
        finally:
            reread.cancel()
            await batches.aclose()

    def _dispatch(self, event: WatchEvent) -> None:
        for subscriber in self._subscribers:
            if event.key.startswith(subscriber.prefix):
                subscriber.apply(event)

    def _note_contact(self) -> None:
        self.heard_at = self._clock.monotonic()
        self._pause = FIRST_PAUSE_S
        if self._connected is not True:
            self._connected = True
            _log.info("store regained", revision=self._revision)

    def _note_loss(self, error: AlmondError) -> None:
        self.counts[error.code.value] += 1
        if self._connected is not False:
            self._connected = False
            _log.warning("store lost", code=error.code.value, reason=error.message)


def find_common_prefix(prefixes: Sequence[str]) -> str:
    """Return the longest prefix of all prefixes."""
    shortest, longest = min(prefixes), max(prefixes)
    for place, character in enumerate(shortest):
        if longest[place] != character:
            return shortest[:place]
    return shortest
