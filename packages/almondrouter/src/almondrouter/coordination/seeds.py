"""Addresses in the store by which newcomers find their data centre."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from almondrouter.coordination.watchers import WatcherChoice
from almondrouter.errors import AlmondError
from almondrouter.protocol.keys import StoreKeys
from almondrouter.state.registry import HostRecord, Registry
from almondrouter.transport.store import Put, Store, Transaction

SEEDS = 8
# One of eight addresses that answers is enough for a newcomer.
MIN_LIVE_SEEDS = 4
CHECK_INTERVAL_S = 30.0
# Finds out that the store has lost the key or another daemon has written it.
REREAD_EVERY = 20


class SeedKeeper:
    """Keeps ``seeds/<data centre>`` current while this daemon ranks first.

    The value is a JSON list of control addresses. It is written only when
    fewer than half of its addresses belong to live hosts, so that the daily
    replacement of hosts costs few writes.

    Parameters
    ----------
    join
        Takes the addresses that were found in the store.
    """

    def __init__(
        self,
        *,
        record: HostRecord,
        registry: Registry,
        choice: WatcherChoice,
        store: Store,
        keys: StoreKeys,
        join: Callable[[list[str]], None],
    ) -> None:
        self._record = record
        self._registry = registry
        self._choice = choice
        self._store = store
        self._key = keys.seeds(record.data_centre)
        self._join = join
        self._known: list[str] | None = None

    async def run(self) -> None:
        """Check the addresses until cancelled."""
        rounds = 0
        while True:
            if rounds % REREAD_EVERY == 0 or not self._is_first():
                self._known = None
            if self._is_first():
                try:
                    await self._refresh()
                except AlmondError:
                    # The write may have had its effect; the next round reads.
                    self._known = None
            rounds += 1
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _is_first(self) -> bool:
        able = [
            record
            for record in self._choice.list_candidates(self._record.data_centre)
            if not record.store_down
        ]
        return bool(able) and able[0].host == self._record.host

    async def _refresh(self) -> None:
        first_read = self._known is None
        if self._known is None:
            self._known = await self._read()
            self._join(self._known)
        live = [
            record.control_address
            for record in self._registry.list_data_centre(self._record.data_centre)
            if record.takes_calls
        ]
        if len(set(live) & set(self._known)) >= min(MIN_LIVE_SEEDS, len(live)):
            return
        if first_read and self._known and len(live) == 1:
            # A newcomer whose configured seeds have all been replaced knows only
            # itself; it joins through these before it may replace them.
            return
        seeds = live[:SEEDS]
        put = Put(self._key, msgspec.json.encode(seeds))
        await self._store.commit(Transaction(success=(put,)))
        self._known = seeds

    async def _read(self) -> list[str]:
        found = await self._store.read(self._key)
        try:
            return msgspec.json.decode(found.items[0].value, type=list[str])
        except (IndexError, msgspec.DecodeError, UnicodeDecodeError):
            return []
