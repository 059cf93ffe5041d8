"""Tests of the document in the store, between its writer and its readers."""

import unittest

from almondrouter.clock import ManualClock
from almondrouter.coordination.acceptance import AcceptanceStatus, ChangeWriter
from almondrouter.protocol.keys import StoreKeys
from almondrouter.state.changes import Change
from almondrouter.state.stored import decode_stored
from almondrouter.state.targets import ServiceTarget
from almondrouter_standins.keyspace import Keyspace
from almondrouter_standins.memory import MemoryStore

KEYS = StoreKeys("test")


class StoredDocumentTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that starts after a change can read only the whole document.

    If it cannot decode what operators write, it never becomes ready unless a peer
    that is ready hands it the configuration.
    """

    async def test_daemons_read_what_operators_write(self):
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
