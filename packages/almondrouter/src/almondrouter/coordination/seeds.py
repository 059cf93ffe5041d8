"""Seed addresses in the store, through which new daemons join their data centre."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec

from almondrouter.coordination.watchers import WatcherChoice
from almondrouter.errors import MALFORMED_DATA_ERRORS, AlmondError
from almondrouter.protocol.keys import StoreKeys
from almondrouter.state.registry import HostRecord, Registry
from almondrouter.transport.store import Put, Store, Transaction

MAX_SEEDS = 8
# The seeds are rewritten if fewer than these are live. Half of the list is enough,
# because a new daemon needs just one seed that responds.
MIN_LIVE_SEEDS = 4
CHECK_INTERVAL_S = 30.0
# Most checks compare with the seeds read or written last. Reading the key detects
# that the store has lost it or that another daemon has written it.
CHECKS_PER_READ = 20


class SeedKeeper:
    """Keeps the key ``seeds/<data centre>`` current while this daemon ranks first.

    The rank counts only the hosts of the data centre that reach the store.

    The value is a JSON list of control addresses. It is written only when fewer than
    half of its addresses belong to live hosts, so that the daily replacement of
    hosts causes few writes.

    Parameters
    ----------
    record
        Record of this host.
    registry
        Known hosts.
    choice
        Ranks the hosts of the data centre.
    store, keys
        Store of the seeds, and its keys.
    on_read
        Called with the addresses that were read from the store.
    """

    def __init__(
        self,
        *,
        record: HostRecord,
        registry: Registry,
        choice: WatcherChoice,
        store: Store,
        keys: StoreKeys,
        on_read: Callable[[list[str]], None],
    ) -> None:
        self._record = record
        self._registry = registry
        self._choice = choice
        self._store = store
        self._key = keys.seeds(record.data_centre)
        self._on_read = on_read
        self._stored_seeds: list[str] | None = None

    async def run(self) -> None:
        """Check the seeds periodically until cancelled."""
        rounds = 0
        while True:
            if rounds % CHECKS_PER_READ == 0 or not self._ranks_first():
                self._stored_seeds = None
            if self._ranks_first():
                try:
                    await self._update_seeds()
                except AlmondError:
                    # A failed write may have taken effect; the next round reads.
                    self._stored_seeds = None
            rounds += 1
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _ranks_first(self) -> bool:
        eligible = [
            record
            for record in self._choice.list_candidates(self._record.data_centre)
            if not record.store_down
        ]
        return bool(eligible) and eligible[0].host == self._record.host

    async def _update_seeds(self) -> None:
        newly_read = self._stored_seeds is None
        if self._stored_seeds is None:
            self._stored_seeds = await self._read_seeds()
            self._on_read(self._stored_seeds)
        live = [
            record.control_address
            for record in self._registry.list_data_centre(self._record.data_centre)
            if record.takes_calls
        ]
        if len(set(live) & set(self._stored_seeds)) >= min(MIN_LIVE_SEEDS, len(live)):
            return
        if newly_read and self._stored_seeds and len(live) == 1:
            # A new daemon whose configured seeds no longer exist knows only itself; it
            # first tries to join through the stored seeds, before it replaces them.
            return
        seeds = live[:MAX_SEEDS]
        put = Put(self._key, msgspec.json.encode(seeds))
        await self._store.commit(Transaction(success=(put,)))
        self._stored_seeds = seeds

    async def _read_seeds(self) -> list[str]:
        found = await self._store.read(self._key)
        try:
            return msgspec.json.decode(found.items[0].value, type=list[str])
        except (*MALFORMED_DATA_ERRORS, IndexError):
            return []
