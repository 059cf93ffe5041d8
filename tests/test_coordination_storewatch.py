"""Tests of the store watch against invalid, outdated and missing content."""

import asyncio
import unittest

import msgspec
from parameterized import parameterized

from almondrouter.coordination.alarms import Alarm
from almondrouter.coordination.storewatch import HEAD_CHECK_INTERVAL_S
from almondrouter.state.changes import Change
from almondrouter.state.stored import decode_stored, encode_stored
from almondrouter.state.targets import ClassTarget, ServiceTarget
from simulation.fleet import SimulatedFleet
from simulation.loop import run_virtual
from simulation.store import KEYS

CHANGE = Change(
    set_services={"accounts": ServiceTarget()},
    set_classes={"renewals": ClassTarget("accounts", 250)},
)
UNKNOWN_DOCUMENT = b'{"kind": "Pod", "version": 9}'


def change_stored(store, **changes):
    """Return the stored document with changed fields of its configuration."""
    stored = decode_stored(store.items[KEYS.configuration].value)
    configuration = msgspec.structs.replace(stored.configuration, **changes)
    digest = changes.pop("digest", None) or configuration.digest()
    return encode_stored(
        msgspec.structs.replace(stored, configuration=configuration, digest=digest)
    )


def _put_older(store):
    store.put(KEYS.configuration, change_stored(store, version=1))


def _put_diverged(store):
    store.put(KEYS.configuration, change_stored(store, classes={}))


def _put_unknown_document(store):
    store.put(KEYS.configuration, UNKNOWN_DOCUMENT)


def _put_unknown_record(store):
    store.put(KEYS.history_record(3), UNKNOWN_DOCUMENT)


def _put_mislabelled_record(store):
    store.put(KEYS.history_record(3), store.items[KEYS.history_record(2)].value)


def _put_wrong_digest(store):
    stored = decode_stored(store.items[KEYS.configuration].value)
    configuration = msgspec.structs.replace(stored.configuration, version=3)
    invalid = msgspec.structs.replace(stored, configuration=configuration)
    store.put(KEYS.configuration, msgspec.json.encode(invalid))


async def start_single_daemon():
    """Return a fleet of one daemon at version 2."""
    fleet = SimulatedFleet({"n-1": 1})
    fleet.store.accept(CHANGE)
    fleet.store.accept(CHANGE)
    await fleet.start()
    await asyncio.sleep(3)
    return fleet, fleet.hosts["n-1-0"]


class StoredContentTest(unittest.TestCase):
    """Invalid content activates nothing and raises an alarm until it is replaced."""

    @parameterized.expand(
        [
            ("older", _put_older, Alarm.STORE_BEHIND),
            ("diverged", _put_diverged, Alarm.VERSION_DIVERGED),
            ("unknown document", _put_unknown_document, Alarm.STORE_RECORD_INVALID),
            ("unknown record", _put_unknown_record, Alarm.STORE_RECORD_INVALID),
            ("wrong digest", _put_wrong_digest, Alarm.STORE_RECORD_INVALID),
            ("mislabelled", _put_mislabelled_record, Alarm.STORE_RECORD_INVALID),
        ]
    )
    def test_keeps_the_version_in_force(self, _name, corrupt, alarm):
        """Guards against activating invalid content, or ignoring it silently."""

        async def work():
            fleet, host = await start_single_daemon()
            before = host.activation.head()
            corrupt(fleet.store)
            await asyncio.sleep(2 * HEAD_CHECK_INTERVAL_S)
            self.assertEqual(host.activation.head(), before)
            self.assertEqual(list(host.distribution.alarms), [alarm])
            self.assertTrue(host.distribution.ready)
            fleet.store.accept(CHANGE)
            await asyncio.sleep(2 * HEAD_CHECK_INTERVAL_S)
            self.assertEqual(host.activation.head().version, 3)
            self.assertEqual(host.distribution.alarms, {})
            await fleet.close()

        run_virtual(work)

    def test_missing_document_is_behind(self):
        """Guards against a deleted configuration that raises no alarm."""

        async def work():
            fleet, host = await start_single_daemon()
            fleet.store.items.clear()
            await asyncio.sleep(2 * HEAD_CHECK_INTERVAL_S)
            self.assertEqual(list(host.distribution.alarms), [Alarm.STORE_BEHIND])
            await fleet.close()

        run_virtual(work)

    def test_stalled_watch_is_replaced(self):
        """Guards against a stalled watch that delays each change to a head check."""

        async def work():
            fleet, host = await start_single_daemon()
            fleet.store.silent_watches = True
            fleet.store.accept(CHANGE)
            await asyncio.sleep(0.1)
            self.assertEqual(host.activation.head().version, 2)
            fleet.store.silent_watches = False
            await asyncio.sleep(HEAD_CHECK_INTERVAL_S + 0.5)
            fleet.store.accept(CHANGE)
            await asyncio.sleep(0.1)
            self.assertEqual(host.activation.head().version, 4)
            await fleet.close()

        run_virtual(work)

    def test_invalid_record_causes_a_read_of_the_document_at_once(self):
        """Guards against a change that waits for a head check.

        Its change record is truncated, so the version can only be read as a document.
        """

        async def work():
            fleet, host = await start_single_daemon()
            put = fleet.store.put_now
            fleet.store.put_now = lambda k, v: put(k, v if "hist" not in k else v[:9])
            await asyncio.sleep(0.1)
            fleet.store.accept(CHANGE)
            await asyncio.sleep(0.1)
            self.assertEqual(host.activation.head().version, 3)
            self.assertIn(Alarm.STORE_RECORD_INVALID, host.distribution.alarms)
            await fleet.close()

        run_virtual(work)

    @parameterized.expand([("valid", None), ("invalid", _put_unknown_document)])
    def test_idle_watch_reads_no_values(self, _name, corrupt):
        """Guards against reading the whole document at each head check."""

        async def work():
            fleet, _ = await start_single_daemon()
            if corrupt:
                corrupt(fleet.store)
                await asyncio.sleep(2 * HEAD_CHECK_INTERVAL_S)
            fleet.store.calls.clear()
            await asyncio.sleep(30 * HEAD_CHECK_INTERVAL_S)
            commits = fleet.store.calls.pop("commit")
            # One read of the seeds may happen during this time.
            self.assertLessEqual(fleet.store.calls.total(), 1)
            self.assertLessEqual(commits, 31)
            await fleet.close()

        run_virtual(work)
