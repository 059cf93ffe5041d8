"""Watches the configuration in the store; runs on the daemons chosen as watchers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random

import msgspec

from almondrouter.clock import Clock
from almondrouter.coordination.activation import EMPTY_HEAD, Activation
from almondrouter.coordination.alarms import Alarm, Alarms
from almondrouter.errors import MALFORMED_DATA_ERRORS, AlmondError, ErrorCode
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

# Bounds the delay of a change that a stalled watch does not deliver.
HEAD_CHECK_INTERVAL_S = 2.0
READ_TIMEOUT_S = 1.0
# Longer while the store counts as down, so that a slow store is found usable again.
DOWN_READ_TIMEOUT_S = 5.0
RETRY_DELAY_S = 0.2
MIN_REWATCH_DELAY_S = 0.2
MAX_REWATCH_DELAY_S = 1.0
# Consecutive successful checks after which the store counts as up again; several, so
# that an unstable connection does not change the choice of watchers repeatedly.
SUCCESSES_BEFORE_UP = 3
# Change records per read. If more are missing, the document is read instead.
MAX_HISTORY_RECORDS = 64


class StoreWatch:
    """Watches the change records and checks the head every 2 s.

    The head is the version and digest of the newest configuration.

    Parameters
    ----------
    store, keys
        Store of the configuration, and its keys.
    activation
        Activates the configurations that are read.
    alarms
        Alarms to set and clear for the state of the stored configuration.
    on_confirmed
        Called after each linearizable check that leaves the store's version, or a
        newer one, in force; receives the monotonic time at which the check began.
    on_down_changed
        Called with whether the store is down, each time that this changes.

    Notes
    -----
    ``down`` is whether the store counts as unreachable.

    ``divergence`` is the store's head if it has the version in force here but
    another digest, else None.
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
        self._on_confirmed = on_confirmed
        self._on_down_changed = on_down_changed
        self._head = EMPTY_HEAD
        self._head_revision: int | None = None
        self._invalid_revision = 0
        self._head_valid = False
        self._revision = 0
        self._consecutive_successes = 0
        self.down = False
        self.divergence: Head | None = None

    async def run(self) -> None:
        """Watch the store and check its head until cancelled."""
        watch_task: asyncio.Task[None] | None = None
        try:
            while True:
                missed = await self._check_head()
                if missed and watch_task is not None:
                    await _cancel_task(watch_task)
                if missed is not None and (watch_task is None or watch_task.done()):
                    watch_task = asyncio.create_task(self._watch_history())
                await self._wait_for_next_check(watch_task)
        finally:
            if watch_task is not None:
                await _cancel_task(watch_task)

    def reset(self) -> None:
        """Clear the state and alarms of the checks when this daemon stops watching."""
        self._head_revision = None
        self.divergence = None
        self._alarms.clear(Alarm.STORE_BEHIND)
        self._alarms.clear(Alarm.STORE_RECORD_INVALID)
        if self.down:
            self.down = False
            self._on_down_changed(False)

    async def _wait_for_next_check(self, watch_task: asyncio.Task[None] | None) -> None:
        if watch_task is None or watch_task.done():
            await asyncio.sleep(HEAD_CHECK_INTERVAL_S)
            return
        done, _ = await asyncio.wait({watch_task}, timeout=HEAD_CHECK_INTERVAL_S)
        if done:
            await asyncio.sleep(
                self._random.uniform(MIN_REWATCH_DELAY_S, MAX_REWATCH_DELAY_S)
            )

    async def _watch_history(self) -> None:
        with contextlib.suppress(AlmondError):
            watch = self._store.watch(
                self._keys.history, from_revision=self._revision + 1
            )
            async for batch in watch:
                await self._apply_batch(batch)

    async def _check_head(self) -> bool | None:
        """Check the store's head, with one retry.

        Returns
        -------
        bool or None
            Whether the store had changed without an event from the watch; None if
            the store could not be reached.
        """
        for attempt in range(2):
            timeout = DOWN_READ_TIMEOUT_S if self.down else READ_TIMEOUT_S
            try:
                async with asyncio.timeout(timeout):
                    missed = await self._compare_head()
            except (AlmondError, TimeoutError):
                if attempt == 0:
                    await asyncio.sleep(RETRY_DELAY_S)
            else:
                self._record_check_result(True)
                return missed
        self._record_check_result(False)
        return None

    async def _compare_head(self) -> bool:
        started_at = self._clock.monotonic()
        own_head = self._activation.head()
        changed = not await self._is_unchanged()
        if changed and not await self._read_history():
            await self._read_document()
        self._compare_versions(own_head)
        if self._head_valid:
            self._on_confirmed(started_at)
        return changed

    async def _is_unchanged(self) -> bool:
        """Return whether the document is still the one that was read last.

        A transaction without operations transfers fewer bytes than a read of the
        document and is linearizable too.
        """
        if self._head_revision is None:
            return False
        compare = Compare(self._keys.configuration, mod_revision=self._head_revision)
        result = await self._store.commit(Transaction(compares=(compare,)))
        if result.succeeded:
            self._revision = result.revision
        return result.succeeded

    async def _read_history(self) -> bool:
        """Apply the change records after the version in force.

        Returns
        -------
        bool
            Whether the newest version is in force now; if not, the document must
            be read.
        """
        own_head = self._activation.head()
        if not own_head.version:
            return False
        found = await self._store.read_prefix(
            self._keys.history,
            start=self._keys.history_record(own_head.version),
            limit=MAX_HISTORY_RECORDS,
        )
        records = [self._decode_record(item) for item in found.items]
        if not records or None in records or len(records) == MAX_HISTORY_RECORDS:
            return False
        if Head(records[0].version, records[0].digest) != own_head:
            return False
        last = found.items[-1]
        if last.mod_revision == self._head_revision:
            return False
        self._activation.activate_records(records[1:])
        if self._activation.head().version < records[-1].version:
            return False
        self._record_head(records[-1], last.mod_revision)
        self._revision = found.revision
        return True

    async def _read_document(self) -> None:
        found = await self._store.read(self._keys.configuration)
        self._revision = found.revision
        self._head_valid = not found.items
        if not found.items:
            self._head, self._head_revision = EMPTY_HEAD, 0
            return
        item = found.items[0]
        self._head_revision = item.mod_revision
        try:
            stored = decode_stored(item.value)
        except AlmondError as error:
            self._report_invalid_record(item.mod_revision, str(error))
            return
        self._activation.activate(stored.configuration, digest=stored.digest)
        head = Head(stored.configuration.version, stored.digest)
        self._record_head(head, item.mod_revision)

    async def _apply_batch(self, batch: WatchBatch) -> None:
        events = sorted(batch.events, key=lambda event: event.mod_revision)
        needs_read = False
        for event in events:
            if event.value is not None and not self._apply_event(event):
                needs_read = True
        self._revision = max(self._revision, batch.revision)
        if needs_read and not await self._read_history():
            await self._read_document()

    def _apply_event(self, event: WatchEvent) -> bool:
        """Apply a change record; return False if the store must be read instead."""
        record = self._decode_record(event)
        if record is None:
            return False
        self._activation.activate_records([record])
        if self._activation.head().version < record.version:
            return False
        if event.mod_revision > (self._head_revision or 0):
            self._record_head(record, event.mod_revision)
        return True

    def _decode_record(self, item: KeyValue | WatchEvent) -> ChangeRecord | None:
        try:
            record = msgspec.json.decode(item.value, type=ChangeRecord)
            if item.key != self._keys.history_record(record.version):
                message = f"{item.key} holds the record of version {record.version}"
                raise AlmondError(ErrorCode.STORE_RESPONSE_INVALID, message)
        except (*MALFORMED_DATA_ERRORS, AlmondError) as error:
            self._report_invalid_record(item.mod_revision, f"{item.key}: {error}")
            return None
        return record

    def _record_head(self, head: Head | ChangeRecord, revision: int) -> None:
        self._head = Head(head.version, head.digest)
        self._head_revision = revision
        self._head_valid = True
        if revision > self._invalid_revision:
            self._invalid_revision = 0
            self._alarms.clear(Alarm.STORE_RECORD_INVALID)

    def _report_invalid_record(self, revision: int, detail: str) -> None:
        self._invalid_revision = max(self._invalid_revision, revision)
        self._alarms.set(Alarm.STORE_RECORD_INVALID, detail)

    def _compare_versions(self, own_head: Head) -> None:
        """Compare the store's head with those in force before and after the check."""
        if self._head.version < own_head.version:
            detail = (
                f"the store has version {self._head.version}, "
                f"older than the version in force, {own_head.version}"
            )
            self._alarms.set(Alarm.STORE_BEHIND, detail)
        else:
            self._alarms.clear(Alarm.STORE_BEHIND)
        current = self._activation.head()
        same_version = self._head.version == current.version
        diverged = same_version and self._head.digest != current.digest
        self.divergence = self._head if diverged else None

    def _record_check_result(self, reached: bool) -> None:
        self._consecutive_successes = self._consecutive_successes + 1 if reached else 0
        down = (
            self._consecutive_successes < SUCCESSES_BEFORE_UP
            if self.down
            else not reached
        )
        if down != self.down:
            self.down = down
            self._on_down_changed(down)


async def _cancel_task(task: asyncio.Task[None]) -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
