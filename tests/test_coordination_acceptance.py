"""Tests of writing configuration changes to the store."""

import asyncio
import unittest

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import initialize, invariant, precondition, rule
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.acceptance import AcceptanceStatus, ChangeWriter
from almondrouter.errors import ErrorCode
from almondrouter.protocol.keys import StoreKeys
from almondrouter.state.changes import Change, ChangeRecord, apply_record
from almondrouter.state.stored import decode_stored
from almondrouter.state.targets import (
    ClassTarget,
    Configuration,
    ServiceTarget,
)
from almondrouter.transport.store import Delete, Put, Transaction
from almondrouter_standins.keyspace import Keyspace
from almondrouter_standins.memory_store import CallFault, MemoryStore
from machine import INDEXES, FaultMachine, make_settings

KEYS = StoreKeys("test")
F = CallFault
ACCEPTED, REFUSED, UNKNOWN = AcceptanceStatus


def _set_service(name, limit=1.0):
    return Change(set_services={name: ServiceTarget(calls_per_second=limit)})


def _read_history(store):
    values = store.snapshot(KEYS.history).values()
    return [msgspec.json.decode(value, type=ChangeRecord) for value in values]


class _WriterTestCase(unittest.IsolatedAsyncioTestCase):
    """Provides writers whose waits between attempts advance a manual clock."""

    def setUp(self):
        self.clock = ManualClock()
        self.keyspace = Keyspace(clock=self.clock)

    def make_writer(self, faults=(), **options):
        faults = list(faults)

        async def choose(kind):
            if kind == "txn" and faults:
                return faults.pop(0)
            return F.NONE

        store = MemoryStore(self.keyspace, clock=self.clock, choose_fault=choose)
        return store, ChangeWriter(
            store, KEYS, clock=self.clock, sleep=self.advance_time, **options
        )

    async def advance_time(self, seconds):
        self.clock.advance(seconds)

    async def submit(self, writer, change, **options):
        deadline = self.clock.monotonic() + 5
        return await writer.submit(
            change, author="ann", reason="test", deadline=deadline, **options
        )


class LostResponsesTest(_WriterTestCase):
    """The reported outcome must be correct, and no change may be written twice."""

    @parameterized.expand(
        [
            ("answer lost", [F.LOST], ACCEPTED, 2),
            ("write dropped", [F.DROPPED], ACCEPTED, 3),
            ("refused, then accepted", [F.REFUSED] * 3, ACCEPTED, 4),
            ("read-back refused", [F.LOST, F.REFUSED, F.REFUSED], ACCEPTED, 4),
            ("lost after a drop", [F.DROPPED, F.NONE, F.LOST], ACCEPTED, 4),
            ("store down", [F.REFUSED] * 500, REFUSED, None),
            ("store silent", [F.DROPPED] * 500, UNKNOWN, None),
            ("late, then store down", [F.LATE] + [F.REFUSED] * 500, UNKNOWN, None),
        ]
    )
    async def test_commit(self, _name, faults, status, calls):
        store, writer = self.make_writer(faults)
        acceptance = await self.submit(writer, _set_service("a"))
        self.assertEqual(acceptance.status, status)
        self.assertEqual(bool(acceptance.findings), status is not ACCEPTED)
        expected = [acceptance.change_id] if status is ACCEPTED else []
        history = _read_history(store)
        self.assertEqual([record.change_id for record in history], expected)
        if calls is not None:
            self.assertEqual(store.calls["txn"], calls)

    async def test_late_write_after_the_read_back_is_accepted_once(self):
        """Guards against a retry that conflicts with its own delayed first attempt."""
        store, writer = self.make_writer()
        store.choose_fault = self.deliver_late_write_before_retry(store)
        acceptance = await self.submit(writer, _set_service("a"))
        self.assertEqual(acceptance.status, ACCEPTED)
        (record,) = _read_history(store)
        self.assertEqual(record.change_id, acceptance.change_id)

    def deliver_late_write_before_retry(self, store):
        async def choose(kind):
            if kind == "txn" and store.calls["txn"] == 3:
                store.deliver_late()
            return F.LATE if kind == "txn" and store.calls["txn"] == 1 else F.NONE

        return choose

    async def test_unknown_outcome_is_resolved_later(self):
        store, writer = self.make_writer([F.LATE] + [F.REFUSED] * 500)
        submitted = await self.submit(writer, _set_service("a"))
        _, other = self.make_writer()
        unresolved = await other.resolve(submitted.version, submitted.change_id)
        store.deliver_late()
        done = await other.resolve(submitted.version, submitted.change_id)
        foreign = await other.resolve(submitted.version, "another id")
        self.assertEqual(
            [unresolved.status, done.status, foreign.status],
            [UNKNOWN, ACCEPTED, REFUSED],
        )

    async def test_pruned_record_leaves_the_outcome_unknown(self):
        """Guards against reporting an accepted change as refused after a long pause."""
        store, writer = self.make_writer(kept_records=2)
        first = await self.submit(writer, _set_service("a"))
        for name in "bcd":
            await self.submit(writer, _set_service(name))
        self.assertEqual([r.version for r in _read_history(store)], [3, 4])
        old = await writer.resolve(first.version, first.change_id)
        self.assertEqual(old.status, UNKNOWN)

    async def test_late_write_does_not_revert_later_versions(self):
        """Guards against a delayed write whose record's key was freed by pruning."""
        store, writer = self.make_writer([F.LATE] + [F.REFUSED] * 500)
        await self.submit(writer, _set_service("late"))
        _, other = self.make_writer(kept_records=2)
        for name in "abcd":
            await self.submit(other, _set_service(name))
        store.deliver_late()
        configuration, _ = await other.read()
        self.assertEqual(configuration.version, 4)
        self.assertNotIn("late", configuration.services)

    async def test_lost_document_does_not_restart_the_versions(self):
        """Guards against versions that start again and that daemons would ignore."""
        store, writer = self.make_writer()
        await self.submit(writer, _set_service("a"))
        await store.commit(Transaction(success=(Delete(KEYS.configuration),)))
        result = await self.submit(writer, _set_service("b"))
        self.assertEqual(result.status, REFUSED)
        self.assertEqual(len(_read_history(store)), 1)


class ConcurrentChangesTest(_WriterTestCase):
    """Concurrent changes must not overwrite an accepted target unnoticed."""

    async def test_concurrent_changes_of_different_targets_are_all_kept(self):
        writers = [self.make_writer() for _ in range(8)]
        results = await asyncio.gather(
            *(
                self.submit(writer, _set_service(f"s{i}"))
                for i, (_, writer) in enumerate(writers)
            )
        )
        self.assertEqual({r.status for r in results}, {ACCEPTED})
        configuration, _ = await writers[0][1].read()
        self.assertEqual(configuration.version, 8)
        self.assertEqual(len(configuration.services), 8)

    @parameterized.expand(
        [
            ("unseen", {}, REFUSED),
            ("seen before it was touched", {"expect_version": 1}, REFUSED),
            ("seen", {"expect_version": 2}, ACCEPTED),
            ("seen after an unrelated change", {"expect_version": 3}, ACCEPTED),
            ("not yet there", {"expect_version": 4}, REFUSED),
            ("replaced", {"replace": True}, ACCEPTED),
        ]
    )
    async def test_same_target(self, _name, options, status):
        _, writer = self.make_writer()
        await self.submit(writer, _set_service("a"))
        await self.submit(writer, _set_service("a", 2.0), expect_version=1)
        await self.submit(writer, _set_service("b"))
        result = await self.submit(writer, _set_service("a", 3.0), **options)
        self.assertEqual(result.status, status)
        configuration, _ = await writer.read()
        limit = configuration.services["a"].calls_per_second
        self.assertEqual(limit, 3.0 if status is ACCEPTED else 2.0)
        if status is REFUSED:
            code = result.findings[0].code
            self.assertEqual(code, ErrorCode.VERSION_CONFLICT)

    async def test_paused_writer_does_not_revert_a_concurrent_change(self):
        """Guards against a writer that stalls between its read and its write."""
        store, writer = self.make_writer()
        _, other = self.make_writer()
        await self.submit(writer, _set_service("a"))

        async def choose(kind):
            if kind == "txn" and store.calls["txn"] == 2:
                seen = {"expect_version": 1}
                await self.submit(other, _set_service("a", 9.0), **seen)
            return F.NONE

        store.choose_fault = choose
        result = await self.submit(writer, _set_service("a", 2.0), expect_version=1)
        self.assertEqual(result.status, REFUSED)
        configuration, _ = await writer.read()
        self.assertEqual(configuration.services["a"].calls_per_second, 9.0)

    async def test_refuses_a_result_over_the_size_of_a_value(self):
        """Guards against a document that exceeds the store's limit on a value."""
        _, writer = self.make_writer()
        places = tuple(f"d{i}" for i in range(60_000))
        huge = Change(
            set_services={
                name: ServiceTarget(data_centres=places) for name in ("a", "b", "c")
            }
        )
        result = await self.submit(writer, huge)
        self.assertEqual(result.findings[0].code, ErrorCode.CONFIGURATION_TOO_LARGE)
        self.assertEqual((await writer.read())[0].version, 0)

    async def test_unreadable_record_refuses_instead_of_overwriting(self):
        """Guards against overwriting a target that the record may have changed."""
        store, writer = self.make_writer()
        for seen in (0, 1):
            await self.submit(writer, _set_service("a"), expect_version=seen)
        record = Put(KEYS.history_record(2), b"{}")
        await store.commit(Transaction(success=(record,)))
        result = await self.submit(writer, _set_service("a"), expect_version=1)
        self.assertEqual(result.status, REFUSED)
        code = result.findings[0].code
        self.assertEqual(code, ErrorCode.STORE_RESPONSE_INVALID)

    async def test_findings_are_reported_together(self):
        _, writer = self.make_writer()
        change = Change(
            set_classes={
                "x": ClassTarget(service="none", answer_within_ms=1),
                "y": ClassTarget(service="none", answer_within_ms=0),
            }
        )
        result = await self.submit(writer, change)
        self.assertEqual(result.status, REFUSED)
        self.assertEqual(len(result.findings), 3)

    async def test_history_is_listed_newest_first_across_pages(self):
        _, writer = self.make_writer()
        for index in range(205):
            await self.submit(writer, _set_service("a", index + 1.0), replace=True)
        listed = await writer.list_history(203)
        versions = [record.version for record in listed]
        self.assertEqual(versions, list(range(205, 2, -1)))


class AcceptanceMachine(FaultMachine):
    """Concurrent writers whose store calls may be delayed or lost or arrive late.

    The oracle is the stored history: accepted changes stay, in their order, and
    agree with each outcome that was reported.
    """

    def __init__(self):
        super().__init__()
        self.probe = MemoryStore(self.keyspace, clock=self.clock)
        self.running, self.reported, self.seen = {}, [], {}

    @initialize(count=st.integers(2, 4))
    def start(self, count):
        self.schedule.clients = [
            MemoryStore(
                self.keyspace, clock=self.clock, choose_fault=self.schedule.hold
            )
            for _ in range(count)
        ]

    def collect(self):
        for task in [task for task in self.running if task.done()]:
            self.reported.append((task.result(), self.running.pop(task)))

    @rule(
        who=st.integers(0, 3),
        name=st.sampled_from("abc"),
        limit=st.integers(1, 9),
        mode=st.sampled_from(["plain", "replace", "expect", "stale", "remove"]),
    )
    def submit(self, who, name, limit, mode):
        latest = max(self.seen, default=0)
        options = {
            "plain": {},
            "replace": {"replace": True},
            "remove": {"replace": True},
            "expect": {"expect_version": latest},
            "stale": {"expect_version": max(0, latest - 1)},
        }[mode]
        change = _set_service(name, float(limit))
        if mode == "remove":
            change = Change(removed_services=(name,))
        stores = self.schedule.clients
        writer = ChangeWriter(
            stores[who % len(stores)],
            KEYS,
            clock=self.clock,
            sleep=lambda _: asyncio.sleep(0),
        )
        deadline = self.clock.monotonic() + 60
        task = self.schedule.start(
            writer.submit(change, author="x", reason="y", deadline=deadline, **options)
        )
        self.running[task] = options
        self.collect()

    @precondition(lambda self: self.schedule.held)
    @rule(index=INDEXES)
    def read_back_before_a_late_write(self, index):
        """Deliver a late write between its retries; single rules rarely do this."""
        self.answer(index, F.LATE)
        if self.schedule.held:
            self.answer(len(self.schedule.held) - 1, F.NONE)
        self.deliver_late(index)

    @precondition(lambda self: self.running)
    @rule()
    def pass_deadlines(self):
        self.clock.advance(61)

    @invariant()
    def history_matches_reported_outcomes(self):
        records = _read_history(self.probe)
        found = {record.version: record.change_id for record in records}
        for version, change_id in self.seen.items():
            assert found.get(version) == change_id, f"version {version} was reverted"
        assert sorted(found) == list(range(1, len(found) + 1))
        assert len(set(found.values())) == len(found), "a change was made twice"
        self.seen = found
        self.check_configuration(records)
        self.check_reported_outcomes(records)

    def check_configuration(self, records):
        built = Configuration()
        for record in records:
            built = apply_record(built, record)
        stored = self.probe.snapshot(KEYS.configuration).get(KEYS.configuration)
        if stored is not None:
            assert decode_stored(stored).configuration == built

    def check_reported_outcomes(self, records):
        by_id = {record.change_id: record for record in records}
        for acceptance, options in self.reported:
            record = by_id.get(acceptance.change_id)
            if acceptance.status is ACCEPTED:
                assert record is not None and record.version == acceptance.version
                self.check_overwritten(record, records, options)
            elif acceptance.status is REFUSED:
                assert record is None, "a refused change is in force"
            elif record is not None:
                assert record.version == acceptance.version

    def check_overwritten(self, record, records, options):
        if options.get("replace"):
            return
        seen = options.get("expect_version")
        before = [r for r in records if r.version < record.version]
        for name in record.change.set_services:
            if seen is not None:
                later = [r for r in before if r.version > seen]
                unseen_changes = [
                    r for r in later if f"services.{name}" in r.change.changed_targets()
                ]
                assert not unseen_changes, "an unseen change was overwritten"
            else:
                last = [
                    r
                    for r in before
                    if f"services.{name}" in r.change.changed_targets()
                ]
                assert not last or last[-1].change.removed_services == (name,)

    def teardown(self):
        # All calls are answered and all late writes delivered before the reported
        # outcomes are checked once more.
        self.clock.advance(61)
        while self.schedule.held or self.schedule.list_clients_with_late_calls():
            self.answer_all()
            while self.schedule.list_clients_with_late_calls():
                self.deliver_late(0)
        self.history_matches_reported_outcomes()
        for acceptance, _ in self.reported:
            if acceptance.status is UNKNOWN:
                self.check_resolved(acceptance)
        super().teardown()

    def check_resolved(self, acceptance):
        writer = ChangeWriter(self.probe, KEYS, clock=self.clock)
        resolved = self.schedule.loop.run_until_complete(
            writer.resolve(acceptance.version, acceptance.change_id)
        )
        in_force = acceptance.change_id in self.seen.values()
        assert (resolved.status is ACCEPTED) == in_force


AcceptanceMachineTest = AcceptanceMachine.TestCase
AcceptanceMachineTest.settings = make_settings(examples=150, steps=40)
