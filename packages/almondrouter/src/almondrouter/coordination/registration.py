"""Keeps this daemon's own record in the store, under a lease."""

from __future__ import annotations

import asyncio
import random as random_module
from collections import Counter
from collections.abc import Callable, Sequence

from almondrouter.clock import Clock
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.storefeed import StoreSubscriber
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.state.hosts import HostEntry, decode_host, encode_host
from almondrouter.transport.store import (
    KeyValue,
    Lease,
    Put,
    Store,
    Transaction,
    WatchEvent,
)

HOSTS_PREFIX = "almondrouter/hosts/"
LEASE_S = 8
"""Seconds that a record outlives its daemon; links notice a dead one sooner."""
RENEWAL_S = 2.5
"""Seconds between renewals; three may fail before the lease ends."""
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 0.8
"""Longest pause between tries; a lost record has to be back within two seconds."""

_log = EventLogger("registration")


class Registration:
    """Writes the own record whenever it changes or was lost.

    Parameters
    ----------
    store
        The platform's service.
    make_entry
        Returns the record as it is now.
    clock, random
        Time, and the spread of pauses.
    """

    def __init__(
        self,
        store: Store,
        *,
        make_entry: Callable[[], HostEntry],
        clock: Clock,
        random: random_module.Random,
    ) -> None:
        self._store = store
        self._make_entry = make_entry
        self._clock = clock
        self._random = random
        self._lease: Lease | None = None
        self._written: HostEntry | None = None
        self._changed = asyncio.Event()
        self._pause = FIRST_PAUSE_S
        self.counts: Counter[str] = Counter()

    def update(self) -> None:
        """Write the record soon, as it has changed."""
        self._changed.set()

    def note_lost(self) -> None:
        """Write the record again, as the store has lost it."""
        if self._written is not None:
            self.counts["lost"] += 1
            self._written = None
            self._changed.set()

    async def run(self) -> None:
        """Keep the record until cancelled."""
        while True:
            try:
                await self._renew()
                await self._write()
                self._pause = FIRST_PAUSE_S
                await self._wait(RENEWAL_S)
            except AlmondError as error:
                self.counts[error.code.value] += 1
                if error.code is ErrorCode.LEASE_EXPIRED:
                    self._lease, self._written = None, None
                    _log.warning("own lease has ended", code=error.code.value)
                await asyncio.sleep(self._pause * self._random.uniform(0.5, 1.0))
                self._pause = min(MAX_PAUSE_S, self._pause * 2)

    async def withdraw(self) -> None:
        """End the lease, which removes the record."""
        if self._lease is None:
            return
        try:
            await self._store.revoke_lease(self._lease)
        except AlmondError as error:
            _log.warning("own record is left to its lease", code=error.code.value)

    async def _renew(self) -> None:
        if self._lease is None:
            self._lease = await self._store.grant_lease(LEASE_S)
            return
        left = self._lease.deadline - self._clock.monotonic()
        if left < LEASE_S - RENEWAL_S / 2:
            self._lease = await self._store.keep_alive(self._lease)

    async def _write(self) -> None:
        self._changed.clear()
        entry = self._make_entry()
        if entry == self._written or self._lease is None:
            return
        if entry.backend is None and self._written is None:
            return  # There is nothing yet that others could use.
        put = Put(HOSTS_PREFIX + entry.host, encode_host(entry), self._lease.lease_id)
        await self._store.commit(Transaction(success=(put,)))
        self._written = entry
        self.counts["written"] += 1

    async def _wait(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return


class HostRecords(StoreSubscriber):
    """Brings the records of the store into the directory.

    Parameters
    ----------
    directory
        Takes the records.
    own_host, lost
        Name of this host, and what is called if its record is missing.
    seen
        Called with each record of another host.
    own_seen
        Called with the record of this host in a reading; an earlier daemon of the
        host may have written it.
    """

    def __init__(
        self,
        directory: HostDirectory,
        *,
        own_host: str,
        lost: Callable[[], None],
        seen: Callable[[HostEntry], None],
        own_seen: Callable[[HostEntry], None] = lambda entry: None,
    ) -> None:
        self._directory = directory
        self._own_host = own_host
        self._lost = lost
        self._seen = seen
        self._own_seen = own_seen

    @property
    def prefix(self) -> str:  # noqa: D102
        return HOSTS_PREFIX

    def load(  # noqa: D102
        self, items: Sequence[KeyValue], *, stale: bool = False
    ) -> None:
        entries = {}
        for item in items:
            entry = self._decode(item.key, item.value)
            if entry is not None:
                entries[entry.host] = entry
        own = entries.get(self._own_host)
        if own is not None:
            self._own_seen(own)
        elif not stale:
            # A stale reading may be older than the record; its lease tells a loss.
            self._lost()
        self._directory.replace_all(entries, own_host=self._own_host, stale=stale)
        for entry in entries.values():
            self._seen(entry)

    def apply(self, event: WatchEvent) -> None:  # noqa: D102
        host = event.key.removeprefix(HOSTS_PREFIX)
        if event.value is None:
            if host == self._own_host:
                self._lost()
            else:
                self._directory.mark_lost(host)
            return
        entry = self._decode(event.key, event.value)
        if entry is not None:
            self._directory.put(entry)
            self._seen(entry)

    def _decode(self, key: str, value: bytes) -> HostEntry | None:
        try:
            entry = decode_host(value)
        except AlmondError as error:
            _log.warning("unreadable record ignored", key=key, reason=error.message)
            return None
        if entry.host != key.removeprefix(HOSTS_PREFIX):
            _log.warning("record under a wrong key ignored", key=key, peer=entry.host)
            return None
        return entry
