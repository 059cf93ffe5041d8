"""Tests of what a watching daemon makes of the store's content."""

import asyncio
import unittest

import msgspec
from parameterized import parameterized

from almondrouter.coordination.alarms import Alarm
from almondrouter.coordination.storewatch import HEAD_INTERVAL_S
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
FOREIGN = b'{"kind": "Pod", "version": 9}'


def remake(store, **changes):
    """Return the stored document with its configuration changed."""
    stored = decode_stored(store.items[KEYS.configuration].value)
    configuration = msgspec.structs.replace(stored.configuration, **changes)
    digest = changes.pop("digest", None) or configuration.digest()
    return encode_stored(
        msgspec.structs.replace(stored, configuration=configuration, digest=digest)
    )


def _put_older(store):
    store.put(KEYS.configuration, remake(store, version=1))


def _put_diverged(store):
    store.put(KEYS.configuration, remake(store, classes={}))


def _put_foreign_document(store):
    store.put(KEYS.configuration, FOREIGN)


def _put_foreign_record(store):
    store.put(KEYS.history_record(3), FOREIGN)


def _put_mislabelled_record(store):
    store.put(KEYS.history_record(3), store.items[KEYS.history_record(2)].value)


def _put_wrong_digest(store):
    stored = decode_stored(store.items[KEYS.configuration].value)
    configuration = msgspec.structs.replace(stored.configuration, version=3)
    bad = msgspec.structs.replace(stored, configuration=configuration)
    store.put(KEYS.configuration, msgspec.json.encode(bad))


async def start_one():
    """Return a fleet of one daemon at version 2."""
    fleet = SimulatedFleet({"n-1": 1})
    fleet.store.accept(CHANGE)
    fleet.store.accept(CHANGE)
    await fleet.start()
    await asyncio.sleep(3)
    return fleet, fleet.hosts["n-1-0"]


class ContentTest(unittest.TestCase):
    """A bad or foreign document changes nothing and is reported while it lasts."""

    @parameterized.expand(
        [
            ("older", _put_older, Alarm.STORE_BEHIND),
            ("diverged", _put_diverged, Alarm.VERSION_DIVERGED),
            ("foreign document", _put_foreign_document, Alarm.STORE_RECORD_INVALID),
            ("foreign record", _put_foreign_record, Alarm.STORE_RECORD_INVALID),
            ("wrong digest", _put_wrong_digest, Alarm.STORE_RECORD_INVALID),
            ("mislabelled", _put_mislabelled_record, Alarm.STORE_RECORD_INVALID),
        ]
    )
    def test_keeps_the_version_in_force(self, _name, spoil, alarm):
        async def work():
            fleet, host = await start_one()
            before = host.activation.head()
            spoil(fleet.store)
            await asyncio.sleep(2 * HEAD_INTERVAL_S)
            self.assertEqual(host.activation.head(), before)
            self.assertEqual(list(host.distribution.alarms), [alarm])
            self.assertTrue(host.distribution.ready)
            fleet.store.accept(CHANGE)
            await asyncio.sleep(2 * HEAD_INTERVAL_S)
            self.assertEqual(host.activation.head().version, 3)
            self.assertEqual(host.distribution.alarms, {})
            await fleet.close()

        run_virtual(work)

    def test_missing_document_is_behind(self):
        async def work():
            fleet, host = await start_one()
            fleet.store.items.clear()
            await asyncio.sleep(2 * HEAD_INTERVAL_S)
            self.assertEqual(list(host.distribution.alarms), [Alarm.STORE_BEHIND])
            await fleet.close()

        run_virtual(work)

    def test_silent_watch_is_replaced(self):
        """Guards against waiting for the head check from then on."""

        async def work():
            fleet, host = await start_one()
            fleet.store.silent_watches = True
            fleet.store.accept(CHANGE)
            await asyncio.sleep(0.1)
            self.assertEqual(host.activation.head().version, 2)
            fleet.store.silent_watches = False
            await asyncio.sleep(HEAD_INTERVAL_S + 0.5)
            fleet.store.accept(CHANGE)
            await asyncio.sleep(0.1)
            self.assertEqual(host.activation.head().version, 4)
            await fleet.close()

        run_virtual(work)

    def test_bad_record_makes_it_read_the_document_at_once(self):
        async def work():
            fleet, host = await start_one()
            put = fleet.store.put_now
            fleet.store.put_now = lambda k, v: put(k, v if "hist" not in k else v[:9])
            await asyncio.sleep(0.1)
            fleet.store.accept(CHANGE)
            await asyncio.sleep(0.1)
            self.assertEqual(host.activation.head().version, 3)
            self.assertIn(Alarm.STORE_RECORD_INVALID, host.distribution.alarms)
            await fleet.close()

        run_virtual(work)

    @parameterized.expand([("good", None), ("bad document", _put_foreign_document)])
    def test_idle_watch_reads_no_values(self, _name, spoil):
        """Guards against reading the whole document again at each check."""

        async def work():
            fleet, _ = await start_one()
            if spoil:
                spoil(fleet.store)
                await asyncio.sleep(2 * HEAD_INTERVAL_S)
            fleet.store.calls.clear()
            await asyncio.sleep(30 * HEAD_INTERVAL_S)
            commits = fleet.store.calls.pop("commit")
            # One read of the seeds may fall into the time.
            self.assertLessEqual(fleet.store.calls.total(), 1)
            self.assertLessEqual(commits, 31)
            await fleet.close()

        run_virtual(work)
