"""Decisions of roll-outs: versions, counts, verdicts, steps, orders and the lease."""

from __future__ import annotations

import dataclasses
import unittest
from unittest.mock import Mock

import msgspec
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.rollouts.coordinator import Coordinator, FleetView
from almondrouter.coordination.rollouts.evidence import RolloutEvidence
from almondrouter.coordination.rollouts.lease import CoordinatorLease
from almondrouter.coordination.rollouts.members import RolloutMembers
from almondrouter.coordination.rollouts.orders import OrderBook
from almondrouter.coordination.rollouts.tally import RunTally
from almondrouter.coordination.rollouts.verdict import (
    Judgement,
    RouteComparison,
    Sample,
    judge_route,
)
from almondrouter.coordination.rollouts.versions import OVERFLOW_S, VersionFilter
from almondrouter.errors import ErrorCode, FindingsError
from almondrouter.protocol.calls import (
    CALL_CODEC,
    CallReply,
    HostNotice,
    RolloutPlan,
    RolloutReport,
    VersionCounts,
)
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.bounds import RolloutBounds
from almondrouter.state.hosts import BackendEntry, Departure, HostEntry, ServingState
from almondrouter.state.revisions import join_era
from almondrouter.state.rollouts import RolloutOrder, RolloutPhase, RolloutStatus
from almondrouter.transport.store import WatchEvent
from almondrouter_standins.rollout_store import VirtualStore
from almondrouter_standins.virtual_time import run_virtual
from almondrouterd.platform.rollouts import (
    ORDERS_PREFIX,
    decode_order,
    decode_status,
    encode_status,
)

SERVICE = "orders"
ORDER = RolloutOrder(SERVICE, "v2", 12.0, 7)
READY, DOWN = ServingState.READY, ServingState.DOWN


def make_entry(host, version, *, state=READY, started=1000, change=0, departed=False):
    """Return the record of a host with a server of a version."""
    backend = BackendEntry(f"b-{host}", started, SERVICE, 4, state, version)
    departure = Departure(backend.backend, started) if departed else None
    return HostEntry(host, 1, "z", "r", f"{host}:1", backend, change, departure)


def make_plan(clock, phase, **changes):
    """Return a plan for the order; all requests go to the new version by default."""
    plan = RolloutPlan(SERVICE, 7, "v2", 12.0, 0.0, 5, 1, phase)
    changes = {"share": 1.0, "valid_until": clock.monotonic() + 2.0} | changes
    return msgspec.structs.replace(plan, **changes)


def make_reply(status=200):
    """Return a response of a backend server."""
    return CallReply(0, Outcome.COMPLETE, status, (), b"", "", None)


def make_report(host="h", *, new=(), old=(), **changes):
    """Return a report with responses, failures and seconds for each version."""
    counts = tuple(
        VersionCounts(version, "r", responses, failures, seconds, seconds)
        for version, rows in (("v2", new), ("v1", old))
        for responses, failures, seconds in rows
    )
    report = RolloutReport(
        SERVICE, 7, host, 1, 5, 1, RolloutPhase.TRIAL, 0.0, 0, counts
    )
    return msgspec.structs.replace(report, **changes)


class VerdictTest(unittest.TestCase):
    """Guards against wrong verdicts on small samples."""

    @parameterized.expand(
        [
            ("one_failure_of_one", (1, 1, 0), Judgement.GOOD),
            ("three_failures_of_three", (3, 3, 0), Judgement.SUSPECT),
            ("four_failures_of_five", (5, 4, 0.1), Judgement.BAD),
            ("half_of_ten", (10, 5, 0.5), Judgement.BAD),
            ("few_failures", (100, 6, 9.4), Judgement.GOOD),
            ("slow_on_nine", (9, 0, 7.2), Judgement.SUSPECT),
            ("slow_on_ten", (10, 0, 8.0), Judgement.BAD),
            ("twice_as_slow", (50, 0, 9.9), Judgement.GOOD),
        ]
    )
    def test_judgement(self, _name, new, expected):
        new = Sample(*new, new[2] ** 2 / max(1, new[0]))
        old = Sample(200, 2, 19.8, 2.0)
        verdict = judge_route(RouteComparison("r", new, old, 0.1))
        self.assertIs(verdict.judgement, expected, verdict)

    def test_no_verdict_without_the_old_version(self):
        """Guards against blaming a version when nothing can be compared."""
        comparison = RouteComparison("r", Sample(20, 10, 50.0, 300.0), Sample(), 0.0)
        self.assertIs(judge_route(comparison).judgement, Judgement.GOOD)

    def test_requests_in_flight_count_as_slow(self):
        """Guards against a version that is never judged since nothing is answered."""
        new = Sample(0, 0, 0.0, 0.0, in_flight=12, in_flight_time=12.0)
        verdict = judge_route(RouteComparison("r", new, Sample(99, 0, 9.9, 1.0), 0.1))
        self.assertIs(verdict.judgement, Judgement.BAD)

    @parameterized.expand(
        [
            ("faulty_minority", (20, 10, 1.0), (20, 10, 1.0), 4, Judgement.BAD),
            ("stalled_server", (20, 0, 16.0), (20, 0, 60.0), 4, Judgement.BAD),
            ("all_fail", (20, 10, 1.0), (20, 10, 1.0), 0, Judgement.GOOD),
        ]
    )
    def test_faulty_old_servers(self, _name, new, faulty, sound, expected):
        """Guards against old servers whose fault hides that of the new version."""
        evidence = RolloutEvidence("v2")
        evidence.add(make_report("new", new=[new]))
        evidence.add(make_report("faulty", old=[faulty]))
        for number in range(sound):
            evidence.add(make_report(f"h{number}", old=[(20, 0, 2.0)]))
        self.assertIs(evidence.judge(0.0).judgement, expected)

    def test_late_fault(self):
        """Guards against a fault that the good responses before it dilute."""
        evidence = RolloutEvidence("v2")
        for second, failures in ((0.0, 0), (0.5, 0), (1.0, 8)):
            responses = 1000 + int(second * 20)
            evidence.add(make_report("n", new=[(responses, failures, 100.0)]))
            evidence.add(make_report("o", old=[(9000 + responses, 0, 900.0)]))
            evidence.record_snapshot(second)
        self.assertIs(evidence.judge(1.0).judgement, Judgement.BAD)


class TallyTest(unittest.TestCase):
    """Guards against results that count although they are no evidence."""

    def setUp(self):
        self.clock = ManualClock()
        self.tally = RunTally(self.clock)
        self.tally.note_start("b/1")
        self.clock.advance(10.0)
        self.tally.start_counting()

    def run_request(self, result, *, attempt="a", seconds=1.0, **options):
        run = self.tally.begin("v2", "r", attempt)
        self.clock.advance(seconds)
        self.tally.end(run, result, **options)

    def count(self):
        rows = self.tally.list_counts()
        return tuple(
            sum(getattr(r, n) for r in rows) for n in ("responses", "failures")
        )

    @parameterized.expand(
        [
            ("response", make_reply(), (1, 0)),
            ("refused_by_the_application", make_reply(404), (1, 0)),
            ("failure", make_reply(500), (1, 1)),
            ("cancelled", None, (0, 0)),
            ("not_run", CallError(ErrorCode.BACKEND_REFUSED, ""), (0, 0)),
            (
                "deadline",
                CallError(ErrorCode.DEADLINE_EXCEEDED, "", outcome=Outcome.UNKNOWN),
                (1, 0),
            ),
        ]
    )
    def test_result(self, _name, result, expected):
        self.run_request(result)
        self.assertEqual(expected, self.count())

    def test_crash_counts_once(self):
        """Guards against one crash that outweighs all other results."""
        crash = CallError(ErrorCode.BACKEND_FAILED, "", outcome=Outcome.UNKNOWN)
        for _ in range(5):
            self.run_request(crash)
        self.assertEqual((1, 1), self.count())
        self.run_request(crash, responded=True)
        self.assertEqual((2, 2), self.count())

    def test_failed_nested_call(self):
        """Guards against blaming a version for the failure of another service."""
        run = self.tally.begin("v2", "r", "a")
        self.tally.mark_nested_failure("a")
        self.tally.end(run, make_reply(500))
        self.run_request(make_reply(500), attempt="b")
        self.assertEqual((1, 1), self.count())

    def test_cold_start(self):
        """Guards against taking a cold server for a slow version."""
        self.tally.note_start("b/2")
        self.run_request(make_reply(), seconds=2.0)
        self.assertEqual(1.0, self.tally.list_counts()[0].run_time)

    def test_counts_nothing_without_an_order(self):
        """Guards against costs in deployments without roll-outs."""
        self.tally.stop_counting()
        self.assertIsNone(self.tally.begin("v2", "r", "a"))


class VersionsTest(unittest.TestCase):
    """One daemon chooses among hosts with servers of two versions."""

    def setUp(self):
        self.clock = ManualClock()
        self.directory = HostDirectory(clock=self.clock, is_alive=lambda a: False)
        self.mixed = []
        self.versions = self.make_filter("own")

    def make_filter(self, host):
        return VersionFilter(
            self.directory, host=host, clock=self.clock, on_mixed=self.mixed.append
        )

    def put(self, *entries):
        for entry in entries:
            self.directory.put(entry)

    def choose(self, versions=None, *, is_first=True, repeatable=True, route="r"):
        """Return the versions in each choice."""
        choices = (versions or self.versions).list_choices(
            SERVICE, route, is_first=is_first, repeatable=repeatable
        )
        return [{d.version for d in found} for found in choices]

    def begin(self, phase, **changes):
        self.put(make_entry("h1", "v1"), make_entry("h2", "v2", started=2000))
        self.versions.set_order(SERVICE, ORDER)
        self.versions.accept_plan(make_plan(self.clock, phase, **changes))

    def test_same_destinations_without_versions(self):
        """Guards against a changed choice where no versions differ."""
        for version in ("", "v1"):
            self.put(make_entry("h1", version, change=1), make_entry("h2", ""))
            (choice,) = self.versions.list_choices(
                SERVICE, "r", is_first=True, repeatable=True
            )
            self.assertIs(choice, self.directory.find_destinations(SERVICE))
        self.assertEqual([], self.mixed)

    @parameterized.expand(
        [
            ("started_first", ("v1", 1000), ("v2", 2000), "", {"v1"}),
            ("name_does_not_count", ("v1", 2000), ("v2", 1000), "", {"v2"}),
            ("completed", ("v1", 1000), ("v2", 2000), "v2", {"v2"}),
            ("no_version_named", ("", 1000), ("v2", 2000), "", {"", "v2"}),
            ("completed_is_gone", ("v1", 1000), ("v2", 2000), "v0", {"v1", "v2"}),
        ]
    )
    def test_established_version(self, _name, first, second, completed, expected):
        """Guards against requests to a version that nobody ordered."""
        if completed:
            self.versions.set_completed(SERVICE, completed)
        for host, (version, started) in (("h1", first), ("h2", second)):
            self.put(make_entry(host, version, started=started))
        self.assertEqual([expected], self.choose())

    def test_version_that_was_seen_first_stays(self):
        """Guards against a new version that takes over as old servers restart."""
        self.put(make_entry("h1", "v1"))
        self.assertEqual([{"v1"}], self.choose())
        self.clock.advance(10.0)
        self.put(make_entry("h2", "v2"), make_entry("h1", "v1", started=9999, change=1))
        self.assertEqual([{"v1"}], self.choose())
        self.assertEqual([], self.mixed)
        self.put(make_entry("h1", "v1", started=9999, change=2, state=DOWN))
        self.assertEqual([{"v2"}], self.choose())

    def test_nothing_without_a_valid_plan(self):
        """Guards against an order or an old plan taken for a permission."""
        self.begin(RolloutPhase.TRIAL, servers=("b-h2",))
        self.assertEqual([{"v2"}, {"v1"}], self.choose())
        self.assertEqual([{"v1"}], self.choose(is_first=False))
        self.clock.advance(2.0)
        self.assertEqual([{"v1"}], self.choose())

    @parameterized.expand(
        [
            ("waiting", RolloutPhase.WAITING, {"share": 0.0}, [{"v1"}]),
            ("other_servers", RolloutPhase.TRIAL, {"servers": ("x",)}, [{"v1"}]),
            ("whole", RolloutPhase.WHOLE, {}, [{"v2"}, {"v1"}]),
            ("suspect", RolloutPhase.WHOLE, {"suspect": True}, [{"v1"}]),
            ("old_order", RolloutPhase.WHOLE, {"order_revision": 6}, [{"v1"}]),
            ("announcement", RolloutPhase.WHOLE, {"token": 0}, [{"v1"}]),
        ]
    )
    def test_plan(self, _name, phase, changes, expected):
        """Guards against requests that a plan does not permit."""
        self.begin(phase, **changes)
        self.assertEqual(expected, self.choose(repeatable=False))

    def test_overflow_to_old_servers_ends(self):
        """Guards against old servers that stay busy, so that nothing is completed."""
        self.begin(RolloutPhase.WHOLE)
        self.clock.advance(OVERFLOW_S)
        self.versions.accept_plan(make_plan(self.clock, RolloutPhase.WHOLE))
        self.assertEqual([{"v2"}], self.choose())

    @parameterized.expand([("token", 4, 9), ("step", 5, 0)])
    def test_older_plan_is_ignored(self, _name, token, step):
        """Guards against a coordinator that wakes after it was replaced."""
        self.begin(RolloutPhase.WAITING, share=0.0)
        plan = make_plan(self.clock, RolloutPhase.WHOLE, token=token, step=step)
        self.assertFalse(self.versions.accept_plan(plan))
        self.assertEqual([{"v1"}], self.choose())

    def test_decision(self):
        """Guards against requests to a version after its rollback."""
        self.begin(RolloutPhase.WHOLE)
        self.versions.decide(SERVICE, RolloutPhase.ROLLED_BACK, is_stored=False)
        self.assertEqual([{"v1"}], self.choose())
        self.assertTrue(self.versions.is_barred(SERVICE, "v2"))
        self.versions.accept_plan(make_plan(self.clock, RolloutPhase.WHOLE, step=9))
        self.assertEqual([{"v1"}], self.choose())
        self.versions.decide(SERVICE, RolloutPhase.COMPLETED, is_stored=True)
        self.assertEqual([{"v2"}], self.choose())

    @parameterized.expand(
        [
            ("old_may_return", RolloutPhase.TRIAL, {"state": DOWN}, set()),
            ("old_has_left", RolloutPhase.TRIAL, {"departed": True}, {"v2"}),
            ("whole", RolloutPhase.WHOLE, {"state": DOWN}, {"v2"}),
        ]
    )
    def test_no_established_server_is_ready(self, _name, phase, changes, expected):
        """Guards against more than the plan's share, and against no service at all."""
        self.begin(phase, servers=("b-h2",))
        self.put(make_entry("h1", "v1", change=1, **changes))
        self.clock.advance(3.0)
        self.assertEqual([expected], self.choose())

    @parameterized.expand([(200, 5), (60, 30), (1, 3000)])
    def test_share_is_counted(self, hosts, requests):
        """Guards against a share that depends on chance or on the number of hosts."""
        self.begin(RolloutPhase.WAITING)
        trials = 0
        for number in range(hosts):
            versions = self.make_filter(f"h{number}")
            versions.set_order(SERVICE, ORDER)
            plan = make_plan(
                self.clock, RolloutPhase.TRIAL, share=0.08, servers=("b-h2",)
            )
            versions.accept_plan(plan)
            for index in range(requests):
                trials += len(self.choose(versions, route=f"r{index % 2}")) > 1
        expected = 0.08 * hosts * requests
        self.assertAlmostEqual(expected, trials, delta=2 + 1.2 * hosts**0.5)


class CoordinatorTest(unittest.TestCase):
    """The state machine with reports that a test makes."""

    member_count = 1

    def setUp(self):
        self.coordinator = Coordinator(ORDER, 5, RolloutBounds(), now=0.0)

    def tick(self, now, *, servers=("b2",), **report):
        host = report.pop("host", "h")
        fields = {"step": self.coordinator.number} | report
        self.coordinator.add_report(make_report(host, **fields), now)
        ready_since = 0.0 if servers else None
        view = FleetView(servers, 10, frozenset({"h"}), ready_since, self.member_count)
        self.coordinator.tick(now, view, age=now)
        return self.coordinator.step

    def run_until(self, end, begin=0.0, **report):
        for tenth in range(int(begin * 10), int(end * 10) + 1):
            step = self.tick(tenth / 10, **report)
        return step

    def test_good_version(self):
        """Guards against skipped steps, and a share that exceeds that of the trial."""
        sound = {"new": [(200, 0, 20.0)], "old": [(2000, 0, 200.0)]}
        shares = []
        for tenth in range(50):
            shares.append(self.tick(tenth / 10, **sound).share)
        self.assertEqual(sorted(shares), shares)
        self.assertLess(shares[-1], 0.1)
        self.assertIs(RolloutPhase.WHOLE, self.tick(5.0, **sound).phase)
        self.run_until(9.0, 5.1, running_old=1, **sound)
        self.assertIsNone(self.coordinator.decision)
        self.tick(9.1, **sound)
        self.assertIs(RolloutPhase.COMPLETED, self.coordinator.decision)

    def test_waits_for_every_daemon(self):
        """Guards against completion while a live daemon uses the old servers."""
        sound = {"new": [(200, 0, 20.0)], "old": [(2000, 0, 200.0)]}
        self.run_until(5.0, **sound)
        for tenth in range(51, 118):
            self.coordinator.add_report(make_report("late", step=2), tenth / 10)
            self.tick(tenth / 10, **sound)
        self.assertIsNone(self.coordinator.decision)
        self.run_until(14.5, 11.8, **sound)
        self.assertIs(RolloutPhase.COMPLETED, self.coordinator.decision)

    def test_minority_completes_nothing(self):
        """Guards against completion by a coordinator that is cut off from others."""
        self.member_count = 3
        self.run_until(12.0, new=[(200, 0, 20.0)], old=[(2000, 0, 200.0)])
        self.assertIsNone(self.coordinator.decision)

    def test_bad_version(self):
        """Guards against a share that stays after a verdict."""
        step = self.run_until(1.0, new=[(10, 6, 1.0)], old=[(99, 0, 9.9)])
        self.assertEqual((RolloutPhase.ROLLED_BACK, 0.0), (step.phase, step.share))

    def test_suspect_version(self):
        """Guards against a decision without evidence, and against none in time."""
        weak = {"new": [(8, 3, 0.5)], "old": [(99, 0, 9.9)]}
        step = self.run_until(11.0, **weak)
        self.assertEqual((RolloutPhase.TRIAL, True), (step.phase, step.suspect))
        self.tick(11.2, **weak)
        self.assertIs(RolloutPhase.ROLLED_BACK, self.coordinator.decision)

    def test_version_never_appears(self):
        """Guards against an order that stays undecided."""
        self.assertIs(RolloutPhase.WAITING, self.run_until(11.0, servers=()).phase)
        self.tick(11.2, servers=())
        self.assertIs(RolloutPhase.ROLLED_BACK, self.coordinator.decision)

    @parameterized.expand(
        [
            (RolloutPhase.WHOLE, RolloutPhase.WHOLE),
            (RolloutPhase.TRIAL, RolloutPhase.TRIAL),
            (RolloutPhase.ROLLED_BACK, RolloutPhase.ROLLED_BACK),
        ]
    )
    def test_successor_goes_on(self, reached, expected):
        """Guards against a new coordinator that starts again, or forgets a verdict."""
        step = self.tick(6.0, reached=reached, old=[(99, 0, 9.9)])
        self.assertIs(expected, step.phase)


class OrderTest(unittest.TestCase):
    """Guards against orders that are half applied, or lost."""

    def setUp(self):
        self.changed = []
        self.book = OrderBook(
            ORDERS_PREFIX, self.decode, clock=ManualClock(), on_changed=self.note
        )

    def note(self, service):
        self.changed.append(service)

    def decode(self, key, value, revision):
        return decode_order(
            key, value, revision, knows_service=lambda service: service == SERVICE
        )

    def apply(self, revision, value, service=SERVICE):
        self.book.apply(WatchEvent(ORDERS_PREFIX + service, value, revision))

    def encode(self, **changes):
        order = {"service": SERVICE, "target_version": "v2", "duration_s": 12}
        order |= changes
        return msgspec.json.encode({k: v for k, v in order.items() if v is not None})

    @parameterized.expand(
        [
            ("service", {"service": "other"}),
            ("no_version", {"target_version": None}),
            ("empty_version", {"target_version": ""}),
            ("no_duration", {"duration_s": None}),
            ("zero", {"duration_s": 0}),
            ("too_long", {"duration_s": 86_400}),
            ("text", {"duration_s": "12"}),
        ]
    )
    def test_invalid_order(self, _name, changes):
        self.apply(7, self.encode())
        self.apply(8, self.encode(**changes))
        self.assertEqual(7, self.book.find(SERVICE).order.revision)
        self.assertEqual(8, self.book.get_stored_revision(SERVICE))
        self.assertEqual(1, self.book.counts["refused"])

    def test_unknown_service(self):
        value = self.encode(service="other")
        with self.assertRaises(FindingsError):
            self.decode(ORDERS_PREFIX + "other", value, 1)

    def test_replaced_and_removed(self):
        self.apply(7, self.encode())
        self.apply(8, self.encode(target_version="v3"))
        self.book.add(ORDER, age=1.0)
        self.assertEqual("v3", self.book.find(SERVICE).order.target_version)
        self.apply(9, None)
        self.book.add(ORDER, age=1.0)
        self.assertIsNone(self.book.find(SERVICE))
        self.assertEqual([SERVICE] * 3, self.changed)

    def test_order_that_a_copy_of_the_store_brings_back(self):
        """Guards against a roll-out that starts again after a restore of the store."""
        before, after = join_era(1, 7), join_era(2, 7)
        self.apply(before, self.encode())
        self.apply(after, self.encode())
        self.assertEqual([SERVICE], self.changed)
        self.assertEqual(before, self.book.find(SERVICE).order.revision)
        self.assertEqual(after, self.book.get_stored_revision(SERVICE))

    def test_order_of_a_new_era_at_a_lower_number(self):
        """Guards against an order that is ignored because the revisions went back."""
        self.apply(join_era(1, 9), self.encode())
        self.apply(join_era(2, 8), self.encode(target_version="v3"))
        self.assertEqual("v3", self.book.find(SERVICE).order.target_version)

    @parameterized.expand(
        [
            ("both in the copy", 8, True),
            ("about an order before", 6, False),
        ]
    )
    def test_status_that_a_copy_of_the_store_brings_back(self, _, number, expected):
        """Guards against a decision about an earlier order that decides a later one."""
        revision = join_era(2, number)
        status = RolloutStatus(SERVICE, "v2", RolloutPhase.ROLLED_BACK, revision)
        order = dataclasses.replace(ORDER, revision=join_era(1, 7))
        self.assertEqual(expected, status.decides(order))

    @parameterized.expand([*RolloutPhase])
    def test_status(self, phase):
        """Guards against a status that is taken for that of another order."""
        if phase not in (RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK):
            phase = None
        status = RolloutStatus(SERVICE, "v2", phase, 8)
        self.assertEqual(status, decode_status(encode_status(status), 8))
        self.assertEqual(phase is not None, status.decides(ORDER))
        self.assertFalse(RolloutStatus(SERVICE, "v2", phase, 6).decides(ORDER))


class LeaseTest(unittest.TestCase):
    """Guards against two holders of the lease, and against a lease without one."""

    def setUp(self):
        self.clock = ManualClock()
        self.store = VirtualStore(self.clock)

    def make_lease(self, owner):
        return CoordinatorLease(
            self.store.connect(lambda: True),
            SERVICE,
            owner=owner,
            peer_address=f"{owner}:1",
            clock=self.clock,
        )

    def acquire(self, lease):
        async def acquire():
            return await lease.is_free() and await lease.try_acquire()

        return run_virtual(acquire(), self.clock)

    def test_one_holder(self):
        first, second = self.make_lease("a"), self.make_lease("b")
        self.store.loses_commits = True
        self.assertTrue(self.acquire(first))
        self.assertFalse(self.acquire(second))
        self.assertEqual("a:1", second.holder_address)
        self.clock.advance(2.0)
        self.assertFalse(first.is_held)
        self.assertTrue(self.acquire(second))
        self.assertGreater(second.token, first.token)


class MembersTest(unittest.TestCase):
    """Guards against frames that a peer of an earlier release cannot decode."""

    def test_frames_only_to_those_that_know_them(self):
        sent = []
        clock = ManualClock()
        directory = HostDirectory(clock=clock, is_alive=lambda a: True)
        links = Mock()
        links.send_notice = lambda address, notice: sent.append(address)
        members = RolloutMembers(links, directory, own_host="own")
        notice = HostNotice(b"", 1, True)
        old = CALL_CODEC.decode(msgspec.msgpack.encode([8, b"", 1, True]))
        self.assertEqual(notice, old)
        for host, knows in (("own", True), ("new", True), ("old", old.knows_rollouts)):
            directory.put(make_entry(host, "v1"))
            members.note(host, knows_rollouts=knows)
        members.broadcast(make_plan(clock, RolloutPhase.TRIAL))
        self.assertEqual(["new:1"], sent)
        self.assertEqual({"own"}, {h for h in members.list_linked() if h != "new"})

    def test_frames_survive_the_codec(self):
        """Guards against frames that their receiver cannot decode."""
        clock = ManualClock()
        report = make_report(new=[(3, 1, 0.5)])
        for frame in (report, make_plan(clock, RolloutPhase.TRIAL, servers=("b",))):
            self.assertEqual(frame, CALL_CODEC.decode(CALL_CODEC.encode(frame)))
