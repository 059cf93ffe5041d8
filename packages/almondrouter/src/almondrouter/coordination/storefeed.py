"""Reads configuration and host records from the store and watches their changes."""

from __future__ import annotations

import asyncio
import random as random_module
from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Sequence

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.transport.store import (
    KeyValue,
    ReadResult,
    Store,
    WatchBatch,
    WatchEvent,
)

INITIAL_BACKOFF_S = 0.1
"""Seconds before the first retry after a failed store call."""
MAX_BACKOFF_S = 0.8
"""Longest delay between retries. Host records must be known again within 2 s after
the store returns."""
MIN_REREAD_INTERVAL_S = 0.5
"""Shortest interval between full reads that are requested because other daemons have
a newer configuration."""
POLL_INTERVAL_S = 12.0
"""Least time between reads of the keys that are not watched. The reads recover changes
that peers failed to deliver."""
MAX_POLLED_KEYS_PER_S = 4.0
"""Keys that a daemon reads a second on average. Every daemon reads all of them, so that
the bytes from the store would otherwise grow with the square of the number of hosts."""
STARTUP_POLL_INTERVAL_S = 0.5
"""Seconds between the polls of a new daemon for keys that did not exist before."""
CHANGES_DELAY_S = 0.3
"""Longest delay of a requested read of changes; hosts that start together do not read
together."""
COALESCING_DELAY_S = 0.3
"""Seconds for which changes are batched after each event; short compared with the
seconds within which a new configuration must be in force."""

_log = EventLogger("storefeed")


class StoreSubscriber(ABC):
    """Receives the keys with one prefix, and their changes."""

    @property
    @abstractmethod
    def prefix(self) -> str:
        """Prefix of the keys."""

    @property
    def is_watched(self) -> bool:
        """Whether a daemon that watches the store watches these keys.

        Each change of a watched key costs a call of every daemon that watches. Keys
        whose changes also arrive over the links between daemons are only polled.
        """
        return True

    @property
    def is_polled(self) -> bool:
        """Whether a daemon that does not watch the store polls these keys."""
        return True

    @abstractmethod
    def load(
        self, items: Sequence[KeyValue], *, stale: bool = False, revision: int = 0
    ) -> None:
        """Apply a complete read.

        Parameters
        ----------
        stale
            Whether the read may be some seconds old.
        revision
            Revision of the store that was read.
        """

    @abstractmethod
    def apply(self, event: WatchEvent) -> None:
        """Apply one change."""


class StoreFeed:
    """Reads each subscriber's keys, then watches or polls them for changes.

    Parameters
    ----------
    store
        Store of the platform.
    subscribers
        Receivers of the keys and their changes.
    clock, random
        Sources of monotonic time and of the jitter of delays.
    on_connection_changed
        Called when the store becomes reachable or unreachable.
    poll_until
        Monotonic time in seconds until which the daemon polls instead of watching,
        because it will probably discover a peer that watches on its behalf.
    first_read_may_be_stale
        Whether the first read may be stale. That is safe only if no earlier process
        of this host can have acted on a later state, or acknowledged one.

    Notes
    -----
    While ``watching`` is False, another daemon relays the changes, and only the
    polled keys are read periodically; these reads may be stale. A daemon that has just
    started has read all keys: it polls those that did not exist, and reads what has
    changed in the others once, after `request_changes`. One watch covers all
    watched keys, and the other keys are polled beside it. The first read of a
    restarted daemon is not: it would bring back an older configuration, or a backend
    server that has left. After a failure
    the watch resumes at the revision where it ended. The watched keys are read again
    only if the store has compacted the history since that revision, or if another
    daemon announces a newer configuration.
    """

    def __init__(
        self,
        store: Store,
        subscribers: Sequence[StoreSubscriber],
        *,
        clock: Clock,
        random: random_module.Random,
        on_connection_changed: Callable[[], None] = lambda: None,
        poll_until: float = 0.0,
        first_read_may_be_stale: bool = False,
    ) -> None:
        self._on_connection_changed = on_connection_changed
        self._store = store
        self._subscribers = subscribers
        self._clock = clock
        self._random = random
        self._watched = [s for s in subscribers if s.is_watched]
        self._prefix = find_common_prefix([s.prefix for s in self._watched])
        self._polled_keys = 0
        self._absent: set[str] = set()
        self._poll_at = clock.monotonic()
        self._unwatched_revisions: dict[str, int] = {}
        self._changes_due = False
        self._revision = 0
        self._watched_keys_read = False
        self._up_to_date = False
        self._stale_read_allowed = first_read_may_be_stale
        self._interrupt = asyncio.Event()
        self._poll_until = poll_until
        self._watching = clock.monotonic() >= poll_until
        self._reread_allowed_at = 0.0
        self._backoff_s = INITIAL_BACKOFF_S
        self._connected: bool | None = None
        self.loaded = asyncio.Event()
        self.counts: Counter[str] = Counter()

    def request_reread(self) -> None:
        """Read the watched keys again soon, even while the watch is open."""
        now = self._clock.monotonic()
        if now >= self._reread_allowed_at:
            self._reread_allowed_at = now + MIN_REREAD_INTERVAL_S
            self._require_full_read()
            self._interrupt.set()

    def request_changes(self) -> None:
        """Read soon what has changed in the unwatched keys since they were read.

        Notes
        -----
        Called once the record of this host has been written. Of two new hosts, the one
        that writes its record later then reads that of the other.
        """
        delay = CHANGES_DELAY_S * self._random.random()
        self._poll_at = min(self._poll_at, self._clock.monotonic() + delay)
        self._changes_due = True
        self._interrupt.set()

    @property
    def watching(self) -> bool:
        """Whether this daemon watches the store itself."""
        return self._watching

    @property
    def reaches_store(self) -> bool:
        """Whether the store responded to the last call; True before the first."""
        return self._connected is not False

    def record_contact(self, *, reached: bool) -> None:
        """Take over from other calls of this daemon whether the store responds.

        Notes
        -----
        A daemon that watches the store knows better by its watch.
        """
        if self._watching or not self.loaded.is_set():
            return
        if reached:
            self._record_response()
        else:
            self._record_outage(None, "a call for the own record failed")

    def set_watching(self, watching: bool) -> None:
        """Start or stop watching; a daemon that has just started polls first."""
        watching = watching and not self._is_starting
        if watching == self._watching:
            return
        self._watching = watching
        self._up_to_date = False
        self._interrupt.set()
        _log.info(
            "watching the store"
            if watching
            else "stopped watching the store; a peer relays its changes"
        )

    async def run(self) -> None:
        """Watch or poll the store until cancelled."""
        while True:
            try:
                self._interrupt.clear()
                await self._read_missing_keys()
                if self._watching:
                    await self._run_watch()
                else:
                    await self._poll_store()
            except AlmondError as error:
                if error.code is ErrorCode.HISTORY_COMPACTED:
                    self._handle_compaction(error)
                    continue
                self._record_failure(error)
                await asyncio.sleep(self._backoff_s * self._random.uniform(0.5, 1.0))
                self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)

    async def _read_missing_keys(self) -> None:
        """Read all keys at first, later the watched ones if they may have changed."""
        outdated = self._watching and not self._up_to_date
        if self._watched_keys_read and not outdated:
            return
        subscribers = self._watched if self.loaded.is_set() else self._subscribers
        stale = self._stale_read_allowed and not self._watching
        await self._read_prefixes(subscribers, stale=stale)

    async def _poll_store(self) -> None:
        """Wait until the next poll is due, then read the polled keys."""
        try:
            async with asyncio.timeout(self._poll_at - self._clock.monotonic()):
                await self._interrupt.wait()
        except TimeoutError:
            await self._poll_keys([s for s in self._subscribers if s.is_polled])

    async def _poll_keys(self, polled: Sequence[StoreSubscriber]) -> None:
        """Read keys, or only what may be new if they have just been read."""
        changes_due, self._changes_due = self._changes_due, False
        if changes_due or self._is_starting:
            polled = [s for s in polled if s.prefix in self._absent]
        self._schedule_poll()
        try:
            if polled:
                await self._read_prefixes(polled, stale=True)
            if changes_due:
                for subscriber in self._subscribers:
                    if not subscriber.is_watched:
                        await self._read_changes(subscriber)
        except AlmondError:
            if changes_due:
                self.request_changes()
            raise

    def _schedule_poll(self) -> None:
        """Set the time of the next poll; a daemon that has just started polls soon."""
        interval = max(POLL_INTERVAL_S, self._polled_keys / MAX_POLLED_KEYS_PER_S)
        if self._is_starting:
            interval = STARTUP_POLL_INTERVAL_S
        self._poll_at = self._clock.monotonic() + interval * self._random.uniform(
            0.8, 1.2
        )

    @property
    def _is_starting(self) -> bool:
        return self._clock.monotonic() < self._poll_until

    def _require_full_read(self) -> None:
        """Require a linearizable read of the watched keys."""
        self._watched_keys_read = self._up_to_date = False
        self._stale_read_allowed = False

    async def _read_prefixes(
        self, subscribers: Sequence[StoreSubscriber], *, stale: bool
    ) -> None:
        revisions = []
        shared: ReadResult | None = None
        for subscriber in subscribers:
            if subscriber.is_watched and self._prefix.endswith("/"):
                # One read serves all watched keys of a folder, as one watch does.
                shared = shared or await self._store.read_prefix(
                    self._prefix, stale=stale
                )
                result = select_prefix(shared, subscriber.prefix)
            else:
                result = await self._store.read_prefix(subscriber.prefix, stale=stale)
            subscriber.load(result.items, stale=stale, revision=result.revision)
            if not result.items:
                self._absent.add(subscriber.prefix)
            else:
                self._absent.discard(subscriber.prefix)
            if subscriber.is_watched:
                revisions.append(result.revision)
            else:
                self._unwatched_revisions[subscriber.prefix] = result.revision
                self._polled_keys = len(result.items)
                self._schedule_poll()
        if revisions:
            # A watch from the first read misses no change made between the reads.
            self._revision = revisions[0]
            self._up_to_date = not stale
            self._watched_keys_read = self._stale_read_allowed = True
        self.counts["readings"] += 1
        self._record_response()
        self.loaded.set()

    async def _read_changes(self, subscriber: StoreSubscriber) -> None:
        """Apply what has changed since the last read of a subscriber's keys."""
        revision = self._unwatched_revisions.get(subscriber.prefix, 0)
        batches = self._store.watch(subscriber.prefix, from_revision=revision + 1)
        try:
            batch = await anext(batches)
        except AlmondError as error:
            if error.code is not ErrorCode.HISTORY_COMPACTED:
                raise
            _log.info("store history compacted; reading all keys", reason=error.message)
            await self._read_prefixes([subscriber], stale=False)
            return
        finally:
            await batches.aclose()
        for event in batch.events:
            subscriber.apply(event)
        self._unwatched_revisions[subscriber.prefix] = batch.revision
        self.counts["change_readings"] += 1
        self._record_response()

    async def _run_watch(self) -> None:
        interrupt = asyncio.ensure_future(self._interrupt.wait())
        batches = self._store.watch(self._prefix, from_revision=self._revision + 1)
        next_batch: asyncio.Task[WatchBatch] | None = None
        try:
            while not interrupt.done():
                if next_batch is None:
                    next_batch = asyncio.ensure_future(anext(batches))
                await asyncio.wait(
                    (next_batch, interrupt),
                    timeout=max(0.0, self._poll_at - self._clock.monotonic()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if next_batch.done():
                    batch, next_batch = next_batch.result(), None
                    self._apply_batch(batch)
                    if batch.events:
                        await asyncio.sleep(COALESCING_DELAY_S)
                await self._poll_unwatched_keys()
        finally:
            interrupt.cancel()
            if next_batch is not None:
                next_batch.cancel()
                await asyncio.gather(next_batch, return_exceptions=True)
            await batches.aclose()

    async def _poll_unwatched_keys(self) -> None:
        if self._clock.monotonic() >= self._poll_at:
            unwatched = [s for s in self._subscribers if not s.is_watched]
            await self._poll_keys([s for s in unwatched if s.is_polled])

    def _apply_batch(self, batch: WatchBatch) -> None:
        self._record_response()
        for event in batch.events:
            self._dispatch_event(event)
        self._revision = batch.revision

    def _dispatch_event(self, event: WatchEvent) -> None:
        for subscriber in self._subscribers:
            if event.key.startswith(subscriber.prefix):
                subscriber.apply(event)

    def _record_response(self) -> None:
        self._backoff_s = INITIAL_BACKOFF_S
        if self._connected is not True:
            self._connected = True
            self._on_connection_changed()
            _log.info("store reachable", revision=self._revision)

    def _handle_compaction(self, error: AlmondError) -> None:
        """Require a full read; the store has responded, so this is no outage."""
        self.counts[error.code.value] += 1
        self._require_full_read()
        _log.info("store history compacted; reading all keys", reason=error.message)

    def _record_failure(self, error: AlmondError) -> None:
        self.counts[error.code.value] += 1
        self._record_outage(error.code, error.message)

    def _record_outage(self, code: ErrorCode | None, reason: str) -> None:
        if self._connected is not False:
            self._connected = False
            self._on_connection_changed()
            _log.warning("store unreachable; retrying", code=code, reason=reason)


def select_prefix(result: ReadResult, prefix: str) -> ReadResult:
    """Return the part of a read whose keys have a prefix."""
    items = tuple(item for item in result.items if item.key.startswith(prefix))
    return ReadResult(items, result.revision)


def find_common_prefix(prefixes: Sequence[str]) -> str:
    """Return the longest string that all prefixes start with."""
    shortest, longest = min(prefixes), max(prefixes)
    for index, character in enumerate(shortest):
        if longest[index] != character:
            return shortest[:index]
    return shortest
