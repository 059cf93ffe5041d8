"""Follows the configuration in the store, on the delegates that watch it."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

import msgspec

from almondrouter.clock import Clock
from almondrouter.coordination.activation import EMPTY_HEAD, Activation
from almondrouter.coordination.alarms import Alarm, Alarms
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import Head
from almondrouter.protocol.keys import StoreKeys
from almondrouter.state.changes import ChangeRecord
from almondrouter.state.stored import decode_stored
from almondrouter.transport.store import (
    Compare,
    KeyValue,
    Store,
    Transaction,
    WatchBatch,
    WatchEvent,
)

# A silent watch costs at most this long.
HEAD_INTERVAL_S = 2.0
READ_TIMEOUT_S = 1.0
# A slow store is still of use to a delegate that has reported it down.
PATIENT_READ_TIMEOUT_S = 5.0
RETRY_AFTER_S = 0.2
REWATCH_MIN_S = 0.2
REWATCH_MAX_S = 1.0
# A connection that comes and goes must not change the delegates each time.
CHECKS_UNTIL_UP = 3
MAX_HISTORY_READ = 64


class StoreWatch:
    """Watches the change records and checks the head every 2 s.

    Parameters
    ----------
    store, keys
        Where the configuration is.
    activation
        Takes what is read.
    alarms
        Conditions of the store's content.
    on_checked
        Called with the monotonic time before each linearizable check after
        which the store's version, or a newer one, is in force.
    on_down
        Called with whether the store is down, each time that this changes.

    Notes
    -----
    ``divergence`` is the store's head if it has another digest than the same
    version in force here, else None.
    """

    def __init__(
        self,
        *,
        store: Store,
        keys: StoreKeys,
        activation: Activation,
        alarms: Alarms,
        clock: Clock,
        random: Random,
        on_confirmed: Callable[[float], None],
        on_down_changed: Callable[[bool], None],
    ) -> None:
        self._store = store
        self._keys = keys
        self._activation = activation
        self._alarms = alarms
        self._clock = clock
        self._random = random
        self._on_checked = on_confirmed
        self._on_down = on_down_changed
        self._head = EMPTY_HEAD
        self._head_revision: int | None = None
        self._bad_revision = 0
        self._usable = False
        self._revision = 0
        self._good_checks = 0
        self.down = False
        self.divergence: Head | None = None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        follow: asyncio.Task[None] | None = None
        try:
            while True:
                missed = await self._check()
                if missed and follow is not None:
                    await _cancel(follow)
                if missed is not None and (follow is None or follow.done()):
                    follow = asyncio.create_task(self._follow())
                await self._pause(follow)
        finally:
            if follow is not None:
                await _cancel(follow)

    def reset(self) -> None:
        """Take back all conditions, as nobody checks them here any longer."""
        self._head_revision = None
        self.divergence = None
        self._alarms.clear(Alarm.STORE_BEHIND)
        self._alarms.clear(Alarm.STORE_RECORD_INVALID)
        if self.down:
            self.down = False
            self._on_down(False)

    async def _pause(self, follow: asyncio.Task[None] | None) -> None:
        if follow is None or follow.done():
            await asyncio.sleep(HEAD_INTERVAL_S)
            return
        done, _ = await asyncio.wait({follow}, timeout=HEAD_INTERVAL_S)
        if done:
            await asyncio.sleep(self._random.uniform(REWATCH_MIN_S, REWATCH_MAX_S))

    async def _follow(self) -> None:
        with contextlib.suppress(AlmondError):
            watch = self._store.watch(
                self._keys.history, from_revision=self._revision + 1
            )
            async for batch in watch:
                await self._take_batch(batch)

    async def _check(self) -> bool | None:
        """Compare with the store's head; return whether the watch missed it.

        Returns
        -------
        bool or None
            None if the store was not reached.
        """
        for attempt in range(2):
            timeout = PATIENT_READ_TIMEOUT_S if self.down else READ_TIMEOUT_S
            try:
                async with asyncio.timeout(timeout):
                    missed = await self._compare_head()
            except (AlmondError, TimeoutError):
                if attempt == 0:
                    await asyncio.sleep(RETRY_AFTER_S)
            else:
                self._note_reached(True)
                return missed
        self._note_reached(False)
        return None

    async def _compare_head(self) -> bool:
        began = self._clock.monotonic()
        own = self._activation.head()
        changed = not await self._is_unchanged()
        if changed and not await self._read_history():
            await self._read_document()
        self._note_order(own)
        if self._usable:
            self._on_checked(began)
        return changed

    async def _is_unchanged(self) -> bool:
        """Return whether the document is the one that was read last.

        A transaction without operations costs fewer bytes than reading the
        head, and is linearizable like a read.
        """
        if self._head_revision is None:
            return False
        compare = Compare(self._keys.configuration, mod_revision=self._head_revision)
        result = await self._store.commit(Transaction(compares=(compare,)))
        if result.succeeded:
            self._revision = result.revision
        return result.succeeded

    async def _read_history(self) -> bool:
        """Apply the records after the version in force; return whether they led on."""
        own = self._activation.head()
        if not own.version:
            return False
        found = await self._store.read_prefix(
            self._keys.history,
            start=self._keys.history_record(own.version),
            limit=MAX_HISTORY_READ,
        )
        records = [self._decode_record(item) for item in found.items]
        if not records or None in records or len(records) == MAX_HISTORY_READ:
            return False
        if Head(records[0].version, records[0].digest) != own:
            return False
        last = found.items[-1]
        if last.mod_revision == self._head_revision:
            return False
        self._activation.activate_records(records[1:])
        if self._activation.head().version < records[-1].version:
            return False
        self._note_head(records[-1], last.mod_revision)
        self._revision = found.revision
        return True

    async def _read_document(self) -> None:
        found = await self._store.read(self._keys.configuration)
        self._revision = found.revision
        self._usable = not found.items
        if not found.items:
            self._head, self._head_revision = EMPTY_HEAD, 0
            return
        item = found.items[0]
        self._head_revision = item.mod_revision
        try:
            stored = decode_stored(item.value)
        except AlmondError as error:
            self._note_bad(item.mod_revision, str(error))
            return
        self._activation.activate(stored.configuration, digest=stored.digest)
        head = Head(stored.configuration.version, stored.digest)
        self._note_head(head, item.mod_revision)

    async def _take_batch(self, batch: WatchBatch) -> None:
        events = sorted(batch.events, key=lambda event: event.mod_revision)
        read_all = False
        for event in events:
            if event.value is not None and not self._take_event(event):
                read_all = True
        self._revision = max(self._revision, batch.revision)
        if read_all and not await self._read_history():
            await self._read_document()

    def _take_event(self, event: WatchEvent) -> bool:
        """Apply a change record; return False if the store must be read."""
        record = self._decode_record(event)
        if record is None:
            return False
        self._activation.activate_records([record])
        if self._activation.head().version < record.version:
            return False
        if event.mod_revision > (self._head_revision or 0):
            self._note_head(record, event.mod_revision)
        return True

    def _decode_record(self, item: KeyValue | WatchEvent) -> ChangeRecord | None:
        try:
            record = msgspec.json.decode(item.value, type=ChangeRecord)
            if item.key != self._keys.history_record(record.version):
                message = f"{item.key} holds version {record.version}"
                raise AlmondError(ErrorCode.STORE_RESPONSE_INVALID, message)
        except (msgspec.DecodeError, UnicodeDecodeError, AlmondError) as error:
            self._note_bad(item.mod_revision, f"{item.key}: {error}")
            return None
        return record

    def _note_head(self, head: Head | ChangeRecord, revision: int) -> None:
        self._head = Head(head.version, head.digest)
        self._head_revision = revision
        self._usable = True
        if revision > self._bad_revision:
            self._bad_revision = 0
            self._alarms.clear(Alarm.STORE_RECORD_INVALID)

    def _note_bad(self, revision: int, detail: str) -> None:
        self._bad_revision = max(self._bad_revision, revision)
        self._alarms.set(Alarm.STORE_RECORD_INVALID, detail)

    def _note_order(self, own: Head) -> None:
        """Compare the store's head with the version in force before the check."""
        if self._head.version < own.version:
            detail = f"the store has {self._head.version}, in force is {own.version}"
            self._alarms.set(Alarm.STORE_BEHIND, detail)
        else:
            self._alarms.clear(Alarm.STORE_BEHIND)
        current = self._activation.head()
        same_version = self._head.version == current.version
        diverged = same_version and self._head.digest != current.digest
        self.divergence = self._head if diverged else None

    def _note_reached(self, reached: bool) -> None:
        self._good_checks = self._good_checks + 1 if reached else 0
        down = self._good_checks < CHECKS_UNTIL_UP if self.down else not reached
        if down != self.down:
            self.down = down
            self._on_down(down)


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
