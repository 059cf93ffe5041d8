"""Tests of the stored configuration across its writer and its readers."""

import unittest

from almondrouter.clock import ManualClock
from almondrouter.coordination.acceptance import AcceptanceStatus, ChangeWriter
from almondrouter.protocol.keys import StoreKeys
from almondrouter.state.changes import Change
from almondrouter.state.stored import decode_stored
from almondrouter.state.targets import ServiceTarget
from almondrouter_standins.keyspace import Keyspace
from almondrouter_standins.memory_store import MemoryStore

KEYS = StoreKeys("test")


class StoredDocumentTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that starts after a change must be able to read the stored document.

    Otherwise it becomes ready only if a peer that is ready sends it the
    configuration.
    """

    async def test_daemon_reads_what_operator_writes(self):
        clock = ManualClock()
        store = MemoryStore(Keyspace(clock=clock), clock=clock)
        writer = ChangeWriter(store, KEYS, clock=clock)
        acceptance = await writer.submit(
            Change(set_services={"accounts": ServiceTarget()}),
            author="operator",
            reason="first targets",
            deadline=clock.monotonic() + 10,
        )
        self.assertIs(acceptance.status, AcceptanceStatus.ACCEPTED)
        found = await store.read(KEYS.configuration)
        stored = decode_stored(found.items[0].value)
        self.assertEqual(stored.configuration.version, acceptance.version)
        self.assertEqual(stored.change_id, acceptance.change_id)
