"""Follows the store: configuration, records of hosts, and losses of both."""

from __future__ import annotations

import asyncio
import random as random_module
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Sequence

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError
from almondrouter.logs import EventLogger
from almondrouter.transport.store import KeyValue, Store, WatchBatch, WatchEvent

FIRST_PAUSE_S = 0.1
"""Seconds before the first new try after the store failed."""
MAX_PAUSE_S = 0.8
"""Longest pause between tries; the records of hosts return within two seconds."""
REREAD_PAUSE_S = 0.5
"""Least seconds between readings that other daemons' versions ask for."""
POLL_S = 12.0
"""Seconds between readings of a daemon that does not follow the store; they heal
what was lost on the way and show whether the store still answers."""
SETTLING_POLL_S = 0.5
"""Seconds between readings while a new daemon looks for its peers."""
COALESCE_S = 0.3
"""Seconds for which changes are collected before the next wait; small against the
seconds within which a configuration has to be in force."""

_log = EventLogger("storefeed")


class StoreSubscriber(ABC):
    """Takes over what the store says about one kind of key."""

    @property
    @abstractmethod
    def prefix(self) -> str:
        """Prefix of the keys."""

    @property
    def is_polled(self) -> bool:
        """Whether a daemon that does not follow the store reads the keys too."""
        return True

    @abstractmethod
    def load(self, items: Sequence[KeyValue], *, stale: bool = False) -> None:
        """Take over a whole reading, which is some seconds old if ``stale``."""

    @abstractmethod
    def apply(self, event: WatchEvent) -> None:
        """Take over one change."""


class StoreFeed:
    """Reads each subscriber's keys, then follows all changes by one watch.

    Parameters
    ----------
    store
        The platform's service.
    subscribers
        Who takes the keys over.
    clock, random
        Time, and the spread of pauses.
    contact_changed
        Called when the store was lost or regained.
    settles_at
        Monotonic seconds until which the daemon reads now and then instead of
        following, as it will probably find a peer that follows for it.

    Notes
    -----
    While ``following`` is False, changes come from another daemon, and only
    polled keys are read now and then; these readings may be stale. After a failure
    the watch goes on where it ended. Everything is read again only if the store has
    no history that far back, or another daemon is found to know a later
    configuration.
    """

    def __init__(
        self,
        store: Store,
        subscribers: Sequence[StoreSubscriber],
        *,
        clock: Clock,
        random: random_module.Random,
        contact_changed: Callable[[], None] = lambda: None,
        settles_at: float = 0.0,
    ) -> None:
        self._contact_changed = contact_changed
        self._store = store
        self._subscribers = subscribers
        self._clock = clock
        self._random = random
        self._prefix = find_common_prefix([s.prefix for s in subscribers])
        self._revision = 0
        self._loaded = False
        self._current = False
        self._stale_will_do = True
        self._interrupt = asyncio.Event()
        self._settles_at = settles_at
        self._following = clock.monotonic() >= settles_at
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
            self._require_reading()
            self._interrupt.set()

    @property
    def following(self) -> bool:
        """Whether this daemon follows the store by itself."""
        return self._following

    @property
    def reaches_store(self) -> bool:
        """Whether the store has answered the last call."""
        return self._connected is not False

    def set_following(self, following: bool) -> None:
        """Begin or end to follow the store by itself."""
        following = following and not self._is_settling
        if following == self._following:
            return
        self._following = following
        self._current = False
        self._interrupt.set()
        _log.info("following the store" if following else "leaving the store to a peer")

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                self._interrupt.clear()
                if not self._loaded or (self._following and not self._current):
                    stale = self._stale_will_do and not self._following
                    await self._load(self._subscribers, stale=stale)
                if self._following:
                    await self._follow()
                else:
                    await self._rest()
            except AlmondError as error:
                self._note_loss(error)
                if error.code.value == "history_compacted":
                    self._require_reading()
                    continue
                await asyncio.sleep(self._pause * self._random.uniform(0.5, 1.0))
                self._pause = min(MAX_PAUSE_S, self._pause * 2)

    async def _rest(self) -> None:
        """Let another daemon tell of changes; read the polled keys now and then."""
        pause = SETTLING_POLL_S if self._is_settling else POLL_S
        try:
            async with asyncio.timeout(pause * self._random.uniform(0.8, 1.2)):
                await self._interrupt.wait()
        except TimeoutError:
            polled = [s for s in self._subscribers if s.is_polled]
            await self._load(polled, stale=True)

    @property
    def _is_settling(self) -> bool:
        return self._clock.monotonic() < self._settles_at

    def _require_reading(self) -> None:
        """Have everything read again, in its newest state."""
        self._loaded = self._current = self._stale_will_do = False

    async def _load(
        self, subscribers: Sequence[StoreSubscriber], *, stale: bool
    ) -> None:
        revision = None
        for subscriber in subscribers:
            result = await self._store.read_prefix(subscriber.prefix, stale=stale)
            subscriber.load(result.items, stale=stale)
            revision = result.revision if revision is None else revision
        self._revision = revision or 0
        self._current = not stale
        self._loaded = self._stale_will_do = True
        self.counts["readings"] += 1
        self._note_contact()
        self.loaded.set()

    async def _follow(self) -> None:
        interrupt = asyncio.ensure_future(self._interrupt.wait())
        batches = self._store.watch(self._prefix, from_revision=self._revision + 1)
        waiting: asyncio.Task[WatchBatch] | None = None
        try:
            while not interrupt.done():
                waiting = asyncio.ensure_future(anext(batches))
                await asyncio.wait(
                    (waiting, interrupt), return_when=asyncio.FIRST_COMPLETED
                )
                if not waiting.done():
                    return
                batch = waiting.result()
                self._take(batch)
                if batch.events:
                    await asyncio.sleep(COALESCE_S)
        finally:
            interrupt.cancel()
            if waiting is not None:
                waiting.cancel()
                await asyncio.gather(waiting, return_exceptions=True)
            await batches.aclose()

    def _take(self, batch: WatchBatch) -> None:
        self._note_contact()
        for event in batch.events:
            self._dispatch(event)
        self._revision = batch.revision

    def _dispatch(self, event: WatchEvent) -> None:
        for subscriber in self._subscribers:
            if event.key.startswith(subscriber.prefix):
                subscriber.apply(event)

    def _note_contact(self) -> None:
        self.heard_at = self._clock.monotonic()
        self._pause = FIRST_PAUSE_S
        if self._connected is not True:
            self._connected = True
            self._contact_changed()
            _log.info("store regained", revision=self._revision)

    def _note_loss(self, error: AlmondError) -> None:
        self.counts[error.code.value] += 1
        if self._connected is not False:
            self._connected = False
            self._contact_changed()
            _log.warning("store lost", code=error.code.value, reason=error.message)


def find_common_prefix(prefixes: Sequence[str]) -> str:
    """Return the longest prefix of all prefixes."""
    shortest, longest = min(prefixes), max(prefixes)
    for place, character in enumerate(shortest):
        if longest[place] != character:
            return shortest[:place]
    return shortest
