"""Tests of which configurations take effect, and of the routes compiled from them."""

import unittest

import msgspec
from parameterized import parameterized

from almondrouter.coordination.activation import MAX_KEPT_RECORDS, Activation
from almondrouter.errors import ErrorCode
from almondrouter.protocol.control import Head
from almondrouter.state.changes import Change, ChangeRecord, apply_change
from almondrouter.state.registry import (
    BackendRecord,
    BackendState,
    HostRecord,
    HostStatus,
    Registry,
)
from almondrouter.state.targets import (
    ClassTarget,
    Configuration,
    ServiceTarget,
    encode_configuration,
)


def make_configuration(version, **classes):
    """Return a configuration; it is valid unless ``classes`` make it invalid."""
    targets = {"renewals": ClassTarget("accounts", 250), **classes}
    return Configuration(version, {"accounts": ServiceTarget()}, targets)


def make_record(before, change):
    """Apply a change; return the resulting configuration and the change record."""
    after = apply_change(before, change)
    record = ChangeRecord(after.version, "id", "ann", "", 0.0, change, after.digest())
    return after, record


def make_host(sequence=1, status=HostStatus.ALIVE, state=BackendState.READY):
    """Return a host with one backend server."""
    backends = (BackendRecord("accounts-1", "accounts", 9, state),)
    return HostRecord("h1", "dc1", "north", "a", "b", 1, sequence, status, backends)


def activate_first(activation, version=5):
    """Put the first configuration in force and return its head."""
    configuration = make_configuration(version)
    assert activation.activate(configuration, digest=configuration.digest())
    return activation.head()


class ActivationTest(unittest.TestCase):
    """Only newer, complete and valid configurations may take effect."""

    def setUp(self):
        self.registry = Registry()
        self.registry.merge([make_host()])
        self.activation = Activation(registry=self.registry)

    def test_puts_a_newer_configuration_in_force(self):
        seen = []
        self.activation.add_listener(lambda snapshot: seen.append(snapshot.version))
        head = activate_first(self.activation)
        self.assertEqual(seen, [5])
        self.assertEqual(self.activation.snapshot.digest, head.digest)
        self.assertEqual(self.activation.configuration.version, 5)

    @parameterized.expand(
        [
            ("older", make_configuration(4), None, ErrorCode.VERSION_OLDER),
            ("never declared", Configuration(), None, ErrorCode.VERSION_OLDER),
            (
                "same version, other content",
                make_configuration(5, other=ClassTarget("accounts", 1)),
                None,
                ErrorCode.VERSION_DIVERGED,
            ),
            (
                "names an unknown service",
                make_configuration(6, other=ClassTarget("nowhere", 1)),
                None,
                ErrorCode.SERVICE_UNKNOWN,
            ),
            (
                "one bad value among good ones",
                make_configuration(6, other=ClassTarget("accounts", 0)),
                None,
                ErrorCode.VALUE_OUT_OF_RANGE,
            ),
            ("digest", make_configuration(6), "0" * 32, ErrorCode.DIGEST_MISMATCH),
        ]
    )
    def test_invalid_configuration_is_refused_as_a_whole(
        self, _name, configuration, digest, code
    ):
        head = activate_first(self.activation)
        digest = digest or configuration.digest()
        self.assertFalse(self.activation.activate(configuration, digest=digest))
        self.assertEqual(self.activation.refusals, {code: 1})
        self.assertEqual(self.activation.head(), head)
        self.assertEqual(self.activation.configuration.version, 5)
        self.assertEqual(list(self.activation.snapshot.routes), ["renewals"])

    def test_repeated_version_does_not_count_as_refusal(self):
        activate_first(self.activation)
        again = make_configuration(5)
        self.assertFalse(self.activation.activate(again, digest=again.digest()))
        self.assertFalse(self.activation.refusals)

    def test_older_or_truncated_document_does_not_replace_a_newer_version(self):
        activate_first(self.activation, 7)
        document = encode_configuration(make_configuration(6))
        digest = make_configuration(6).digest()
        self.assertFalse(self.activation.activate_document(document, digest=digest))
        self.assertFalse(self.activation.activate_document(document[:-9], digest=""))
        self.assertEqual(self.activation.head().version, 7)

    @parameterized.expand([("good", False, 8), ("one bad record", True, 5)])
    def test_records_take_effect_together_or_not_at_all(self, _name, corrupt, version):
        activate_first(self.activation)
        configuration = self.activation.configuration
        records = []
        for index in range(3):
            change = Change(set_classes={f"c{index}": ClassTarget("accounts", 9)})
            configuration, record = make_record(configuration, change)
            records.append(record)
        if corrupt:
            records[1] = msgspec.structs.replace(records[1], digest="0" * 32)
        self.assertEqual(self.activation.activate_records(records), not corrupt)
        self.assertEqual(self.activation.head().version, version)

    @parameterized.expand(
        [
            ("through the version in force", (6, 7, 8), 8, None),
            ("another history", (6, -7, 8), 7, ErrorCode.VERSION_DIVERGED),
            ("all older", (5, 6), 7, ErrorCode.VERSION_OLDER),
            ("without the version in force", (6, 8), 7, ErrorCode.VERSION_OLDER),
        ]
    )
    def test_older_records_before_newer_ones_are_skipped(
        self, _name, versions, version, code
    ):
        """Guards against fetching a document because a version arrived meanwhile."""
        configuration = make_configuration(4)
        records = {}
        for _ in range(4):
            configuration, record = make_record(configuration, Change())
            records[record.version] = record
            records[-record.version] = msgspec.structs.replace(record, digest="0" * 32)
        activate_first(self.activation, 7)
        reply = [records[number] for number in versions]
        self.assertEqual(code is None, self.activation.activate_records(reply))
        self.assertEqual(version, self.activation.head().version)
        self.assertEqual({code: 1} if code else {}, self.activation.refusals)

    def test_records_with_a_gap_are_refused(self):
        activate_first(self.activation)
        middle, _ = make_record(self.activation.configuration, Change())
        _, last = make_record(middle, Change())
        self.assertFalse(self.activation.activate_records([last]))
        self.assertEqual(self.activation.refusals, {ErrorCode.VERSION_CONFLICT: 1})

    def test_kept_records_lead_only_from_heads_of_the_same_history(self):
        first = activate_first(self.activation)
        configuration = self.activation.configuration
        for _ in range(MAX_KEPT_RECORDS + 1):
            configuration, record = make_record(configuration, Change())
            self.activation.activate_records([record])
        head = self.activation.head()
        oldest = self.activation.find_records(Head(6, make_configuration(6).digest()))
        self.assertEqual(len(oldest), MAX_KEPT_RECORDS)
        self.assertIsNone(self.activation.find_records(first))
        self.assertIsNone(self.activation.find_records(Head(9, "0" * 32)))
        self.assertEqual(self.activation.find_records(head), ())


class RoutesTest(unittest.TestCase):
    """A route must never lead to a backend server that is not known to work."""

    @parameterized.expand(
        [
            ("dead", make_host(2, HostStatus.DEAD)),
            ("leaving", make_host(2, HostStatus.LEAVING)),
            ("backend gone", make_host(2, state=BackendState.GONE)),
            ("backend draining", make_host(2, state=BackendState.DRAINING)),
            ("forgotten", None),
        ]
    )
    def test_route_loses_the_backend_at_once(self, _name, record):
        registry = Registry()
        registry.merge([make_host()])
        activation = Activation(registry=registry)
        activate_first(activation)
        self.assertTrue(activation.snapshot.routes["renewals"].destinations)
        if record is None:
            registry.remove("h1")
        else:
            registry.merge([record])
        self.assertFalse(activation.snapshot.routes["renewals"].destinations)
        self.assertEqual(activation.snapshot.version, 5)
