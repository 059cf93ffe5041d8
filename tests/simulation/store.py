"""A store in memory with injected outages, lost responses and faulty watches."""

import asyncio
import contextlib
from collections import Counter

import msgspec

from almondrouter.errors import StoreOutcomeUnknownError, StoreUnavailableError
from almondrouter.protocol.keys import StoreKeys
from almondrouter.state.changes import ChangeRecord, apply_change
from almondrouter.state.stored import StoredConfiguration, encode_stored
from almondrouter.state.targets import Configuration
from almondrouter.transport.store import (
    CommitResult,
    Get,
    KeyValue,
    Put,
    ReadResult,
    Store,
    WatchBatch,
    WatchEvent,
)

KEYS = StoreKeys("test")
# An open watch notices a store outage after at most this time.
FAULT_CHECK_INTERVAL_S = 0.5


class MemoryStore:
    """The keys and revisions of the store, and the faults that affect all clients.

    Attributes
    ----------
    down
        Whether every request fails.
    latency
        Round-trip time in seconds.
    lost_answers
        Probability, from 0 to 1, that a request is executed but its response lost.
    silent_watches
        Whether watches stop delivering events; an affected watch stays silent.
    shuffled_watches
        Whether watches deliver events out of order, with duplicates and with an
        event of an older revision.
    """

    def __init__(self, random):
        self.random = random
        self.items = {}
        self.revision = 1
        self.log = []
        self.calls = Counter()
        self.down = False
        self.latency = 0.002
        self.lost_answers = 0.0
        self.silent_watches = False
        self.shuffled_watches = False
        self.changed = asyncio.Event()
        self.accepted = Configuration()
        self.history = {0: self.accepted}

    def put(self, key, value):
        """Write a key in a new revision."""
        self.revision += 1
        self.put_now(key, value)

    def put_now(self, key, value):
        """Write a key in the current revision."""
        old = self.items.get(key)
        created = old.create_revision if old else self.revision
        version = old.version + 1 if old else 1
        self.items[key] = KeyValue(key, value, created, self.revision, version)
        self.log.append(WatchEvent(key, value, self.revision))
        self.changed.set()
        self.changed = asyncio.Event()

    def accept(self, change):
        """Write the next configuration as an operator's command would.

        Return the configuration.
        """
        after = apply_change(self.accepted, change)
        version, digest = after.version, after.digest()
        record = ChangeRecord(version, f"c{version}", "ann", "", 0, change, digest)
        self.revision += 1
        document = encode_stored(StoredConfiguration(f"c{version}", digest, after))
        self.put_now(KEYS.configuration, document)
        self.put_now(KEYS.history_record(version), msgspec.json.encode(record))
        self.accepted = self.history[version] = after
        return after


class StoreClient(Store):
    """The store client of one host.

    Clearing ``reachable`` disconnects the host from the store; clearing the event
    ``running`` freezes its requests, as in a paused process.
    """

    def __init__(self, memory_store):
        self.memory_store = memory_store
        self.reachable = True
        self.running = asyncio.Event()
        self.running.set()

    async def _send_request(self, kind):
        memory_store = self.memory_store
        memory_store.calls[kind] += 1
        await self.running.wait()
        await asyncio.sleep(memory_store.latency / 2)
        if memory_store.down or not self.reachable:
            raise StoreUnavailableError("connection refused")

    async def _return_result(self, result):
        memory_store = self.memory_store
        await asyncio.sleep(memory_store.latency / 2)
        await self.running.wait()
        lost = memory_store.random.random() < memory_store.lost_answers
        if lost or memory_store.down or not self.reachable:
            raise StoreOutcomeUnknownError("the response to the request was lost")
        return result

    async def read(self, key):
        await self._send_request("read")
        item = self.memory_store.items.get(key)
        found = ReadResult((item,) if item else (), self.memory_store.revision)
        return await self._return_result(found)

    async def read_prefix(self, prefix, *, start=None, limit=0, stale=False):
        await self._send_request("read_prefix")
        items = self.memory_store.items
        keys = sorted(k for k in items if k.startswith(prefix) and k >= (start or ""))
        chosen = keys[:limit] if limit else keys
        found = tuple(items[key] for key in chosen)
        return await self._return_result(ReadResult(found, self.memory_store.revision))

    async def commit(self, transaction):
        await self._send_request("commit")
        memory_store = self.memory_store
        holds = all(self._is_satisfied(compare) for compare in transaction.compares)
        operations = transaction.success if holds else transaction.failure
        if any(isinstance(operation, Put) for operation in operations):
            memory_store.revision += 1
        results = tuple(self._execute(operation) for operation in operations)
        return await self._return_result(
            CommitResult(holds, memory_store.revision, results)
        )

    def _is_satisfied(self, compare):
        item = self.memory_store.items.get(compare.key)
        return (item.mod_revision if item else 0) == compare.mod_revision

    def _execute(self, operation):
        item = self.memory_store.items.get(operation.key)
        if isinstance(operation, Get):
            return (item,) if item else ()
        return self.memory_store.put_now(operation.key, operation.value)

    async def watch(self, prefix, *, from_revision):
        await self._send_request("watch")
        memory_store = self.memory_store
        position = 0
        silent = False
        while True:
            found = [
                event
                for event in memory_store.log[position:]
                if event.key.startswith(prefix) and event.mod_revision >= from_revision
            ]
            position = len(memory_store.log)
            if memory_store.shuffled_watches and found:
                found = [*found, memory_store.log[0], found[0]]
                memory_store.random.shuffle(found)
            await self.running.wait()
            if memory_store.down or not self.reachable:
                raise StoreUnavailableError("connection reset")
            # A watch that stopped delivering stays silent after the fault ends.
            silent = silent or memory_store.silent_watches
            if found and not silent:
                for event in found:
                    yield WatchBatch((event,), event.mod_revision)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FAULT_CHECK_INTERVAL_S):
                    await memory_store.changed.wait()
            await asyncio.sleep(memory_store.latency)

    async def grant_lease(self, ttl):
        raise NotImplementedError("configuration distribution uses no leases")

    keep_alive = revoke_lease = grant_lease

    async def close(self):
        pass
