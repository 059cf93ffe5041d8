"""Registers this daemon in the store through a host record with a lease."""

from __future__ import annotations

import asyncio
import math
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
    Compare,
    KeyValue,
    Lease,
    Put,
    Store,
    Transaction,
    WatchEvent,
)

HOSTS_PREFIX = "almondrouter/hosts/"
LEASE_TTL_S = 8
"""Seconds after which the record of a dead daemon expires; its peers notice the
failure earlier, by their links."""
RENEWAL_INTERVAL_S = 2.5
"""Seconds between renewals; three may fail before the lease expires."""
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
"""Longest delay between retries; a lost record must be restored within 2 s."""
RESTORE_SPREAD_S = 0.5
"""Longest delay before a record is written again after the store has come back from an
older copy, as all daemons write theirs then."""

_log = EventLogger("registration")


class Registration:
    """Writes the record of this host whenever it has changed or was lost.

    Parameters
    ----------
    store
        Store of the platform.
    make_entry
        Returns the current record.
    clock, random
        Sources of monotonic time and of the jitter of delays.
    on_contact
        Called after each call of the store with whether it responded.
    on_registered
        Called when the record has been written for the first time.
    on_replaced
        Called with a record that another process has written, before it is replaced;
        usually an earlier daemon of the host.

    Attributes
    ----------
    stored_revision
        Revision of the store at which the record was last written, as far as this
        daemon knows; 0 if there is none.

    Notes
    -----
    The store may execute a write that it did not answer seconds later. Each write is
    therefore conditional on the revision of the record that it replaces, so that it has
    no effect after a later write.
    """

    def __init__(
        self,
        store: Store,
        *,
        make_entry: Callable[[], HostEntry],
        clock: Clock,
        random: random_module.Random,
        on_contact: Callable[[bool], None] = lambda reached: None,
        on_registered: Callable[[], None] = lambda: None,
        on_replaced: Callable[[HostEntry], None] = lambda entry: None,
    ) -> None:
        self._on_contact = on_contact
        self._on_registered = on_registered
        self._on_replaced = on_replaced
        self._store = store
        self._make_entry = make_entry
        self._clock = clock
        self._random = random
        self._lease: Lease | None = None
        self._written_entry: HostEntry | None = None
        self._unanswered: Put | None = None
        self._restored = False
        self._renewal_due = False
        self.stored_revision = 0
        self._changed = asyncio.Event()
        self._written = asyncio.Event()
        self._backoff_s = INITIAL_BACKOFF_S
        self.counts: Counter[str] = Counter()

    def update(self) -> None:
        """Schedule a write of the record because it has changed."""
        self._changed.set()

    async def wait_until_written(self) -> None:
        """Wait until the store has the current record, if there is one to write."""
        while self._needs_write(self._make_entry()):
            self._written.clear()
            await self._written.wait()

    def _needs_write(self, entry: HostEntry) -> bool:
        if self._written_entry is None and not (entry.backend or entry.departure):
            return False  # Without a backend server, other daemons have no use for it.
        return entry != self._written_entry

    def restore_record(self) -> None:
        """Schedule a write of the record because the store no longer has it."""
        if self._written_entry is not None:
            self.counts["lost"] += 1
            self._written_entry, self.stored_revision = None, 0
            self._changed.set()

    def note_stored_revision(self, revision: int) -> None:
        """Take over from a read at which revision the record was last written."""
        self.stored_revision = max(self.stored_revision, revision)

    def handle_store_restore(self) -> None:
        """Take a new lease and write the record again.

        Called when the store has come back from an older copy, which may have neither
        or may have given the id of the lease to another daemon.
        """
        self.counts["restores"] += 1
        self._lease = self._written_entry = None
        self._restored = True
        self._changed.set()

    async def run(self) -> None:
        """Keep the record up to date and its lease renewed until cancelled."""
        while True:
            try:
                await self._spread_restores()
                await self._renew_lease()
                await self._write_record()
                self._backoff_s = INITIAL_BACKOFF_S
                await self._wait_for_change(RENEWAL_INTERVAL_S)
            except AlmondError as error:
                self.counts[error.code.value] += 1
                if error.code is ErrorCode.LEASE_EXPIRED:
                    # The record may still be there in an older copy of the store.
                    self._lease = self._written_entry = None
                    _log.warning(
                        "lease of own record expired; registering again",
                        code=error.code.value,
                    )
                self._on_contact(error.code is ErrorCode.LEASE_EXPIRED)
                await self._back_off()

    async def withdraw(self) -> None:
        """Revoke the lease, which removes the record.

        Notes
        -----
        If the store has not heard of the latest departure, this is tried until it
        succeeds: the next daemon of the host would take the record for current.
        """
        if self._lease is None:
            return
        while True:
            try:
                await self._store.revoke_lease(self._lease)
            except AlmondError as error:
                retrying = not self._is_departure_stored()
                _log.warning(
                    "own record could not be removed; it stays until its lease expires",
                    code=error.code.value,
                    retrying=retrying,
                )
                if not retrying:
                    return
                await self._back_off()
            else:
                return

    def _is_departure_stored(self) -> bool:
        written = self._written_entry
        return written is None or written.departure == self._make_entry().departure

    def check_lease(self) -> None:
        """Renew the lease soon, as a peer knows of a restore of the store."""
        self._renewal_due = True
        self._changed.set()

    async def _spread_restores(self) -> None:
        """Wait for a random time if all daemons have to write their records again."""
        if self._restored:
            self._restored = False
            await asyncio.sleep(RESTORE_SPREAD_S * self._random.random())

    async def _back_off(self) -> None:
        await asyncio.sleep(self._backoff_s * self._random.uniform(0.5, 1.0))
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)

    async def _renew_lease(self) -> None:
        if self._lease is None:
            self._lease = await self._store.grant_lease(LEASE_TTL_S)
            self._on_contact(True)
            return
        remaining_s = self._lease.deadline - self._clock.monotonic()
        if self._renewal_due or remaining_s < LEASE_TTL_S - RENEWAL_INTERVAL_S / 2:
            self._renewal_due = False
            self._lease = await self._store.keep_alive(self._lease)
            self._on_contact(True)

    async def _write_record(self) -> None:
        self._changed.clear()
        entry = self._make_entry()
        if self._lease is None or not self._needs_write(entry):
            return
        put = Put(HOSTS_PREFIX + entry.host, encode_host(entry), self._lease.lease_id)
        condition = Compare(put.key, self.stored_revision)
        earlier, self._unanswered = self._unanswered, put
        result = await self._store.commit(Transaction((condition,), (put,)))
        self._unanswered = None
        self._on_contact(True)
        if result.succeeded:
            self._record_write(entry, result.revision)
        elif await self._read_stored_value(put.key) == put.value and earlier == put:
            self._record_write(entry, self.stored_revision)
        else:
            self._changed.set()

    async def _read_stored_value(self, key: str) -> bytes | None:
        """Return the record in the store after a write whose condition did not hold."""
        self.counts["conflicts"] += 1
        items = (await self._store.read(key)).items
        _log.info(
            "own record is not the one to be replaced; reading it",
            expected=self.stored_revision,
            found=items[0].mod_revision if items else 0,
        )
        if not items:
            self.stored_revision = 0
            return None
        self.stored_revision = items[0].mod_revision
        self._report_replaced(items[0].value)
        return items[0].value

    def _report_replaced(self, value: bytes) -> None:
        try:
            found = decode_host(value)
        except AlmondError as error:
            _log.warning("invalid own record replaced", reason=error.message)
            return
        if found.incarnation != self._make_entry().incarnation:
            self._on_replaced(found)

    def _record_write(self, entry: HostEntry, revision: int) -> None:
        if not self.counts["written"]:
            self._on_registered()
        self._written_entry, self.stored_revision = entry, revision
        self._written.set()
        self.counts["written"] += 1
        _log.info(
            "own record written",
            revision=revision,
            state=entry.backend.state.value if entry.backend else None,
            left=entry.departure.backend if entry.departure else None,
        )

    async def _wait_for_change(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return


class HostRecords(StoreSubscriber):
    """Applies the host records in the store to the directory.

    Parameters
    ----------
    directory
        Receives the records.
    own_host
        Name of this host.
    on_own_lost
        Called if the record of this host is missing from the store.
    on_loaded
        Called after each complete read.
    on_own_seen
        Called with the record of this host, and the revision at which it was written,
        after a complete read; an earlier daemon of the host may have written it.
    own_revision
        Returns the revision of the store at which the record of this host was last
        written.
    """

    def __init__(
        self,
        directory: HostDirectory,
        *,
        own_host: str,
        on_own_lost: Callable[[], None],
        on_loaded: Callable[[], None] = lambda: None,
        on_own_seen: Callable[[HostEntry, int], None] = lambda entry, revision: None,
        own_revision: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self._own_revision = own_revision
        self._directory = directory
        self._own_host = own_host
        self._on_own_lost = on_own_lost
        self._on_loaded = on_loaded
        self._on_own_seen = on_own_seen

    @property
    def prefix(self) -> str:  # noqa: D102
        return HOSTS_PREFIX

    @property
    def is_watched(self) -> bool:  # noqa: D102
        # Daemons send their records to one another, and links show which are lost.
        return False

    def load(  # noqa: D102
        self, items: Sequence[KeyValue], *, stale: bool = False, revision: int = 0
    ) -> None:
        entries, revisions = {}, {}
        for item in items:
            entry = self._decode_record(item.key, item.value)
            if entry is not None:
                entries[entry.host] = entry
                revisions[entry.host] = item.mod_revision
        own = entries.get(self._own_host)
        if own is not None:
            self._on_own_seen(own, revisions[self._own_host])
        elif not stale or revision > self._own_revision():
            # Any other stale read may predate the record.
            self._on_own_lost()
        self._directory.replace_all(entries, own_host=self._own_host, stale=stale)
        self._on_loaded()

    def apply(self, event: WatchEvent) -> None:  # noqa: D102
        host = event.key.removeprefix(HOSTS_PREFIX)
        if event.value is None:
            if host == self._own_host:
                self._on_own_lost()
            else:
                self._directory.mark_lost(host)
            return
        entry = self._decode_record(event.key, event.value)
        if entry is not None:
            self._directory.put(entry)

    def _decode_record(self, key: str, value: bytes) -> HostEntry | None:
        try:
            entry = decode_host(value)
        except AlmondError as error:
            _log.warning("invalid host record ignored", key=key, reason=error.message)
            return None
        if entry.host != key.removeprefix(HOSTS_PREFIX):
            _log.warning(
                "host record under a wrong key ignored", key=key, peer=entry.host
            )
            return None
        return entry
