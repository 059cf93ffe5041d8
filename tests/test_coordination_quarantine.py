"""Tests of identifying requests that crash backend servers."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.quarantine import (
    MAX_ENTRIES,
    Quarantine,
    Suspicion,
    compute_fingerprint,
)
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import CrashReport, SuspicionCleared


class Fleet:
    """Quarantines of daemons with one backend server each, and their messages."""

    def __init__(self, size=5):
        clock = ManualClock()
        self.daemons = [Quarantine(host=f"h{n}", clock=clock) for n in range(size)]
        self.messages = []

    def run(self, place, *fingerprints):
        """Send requests to the backend server of one daemon."""
        for fingerprint in fingerprints:
            self.daemons[place].check_not_condemned(fingerprint)
            self.daemons[place].begin_request("b", fingerprint)

    def complete(self, place, *fingerprints):
        for fingerprint in fingerprints:
            self.messages += self.daemons[place].end_request(
                "b", fingerprint, completed=True
            )

    def crash(self, place):
        report = self.daemons[place].record_crash("b")
        self.messages.append(report)
        return report

    def crash_running(self, place, *fingerprints):
        """Crash a backend server that runs requests and inform every daemon."""
        self.run(place, *fingerprints)
        self.crash(place)
        self.deliver()

    def deliver(self, messages=None):
        for message in self.messages if messages is None else messages:
            for daemon in self.daemons:
                daemon.merge(message)

    def find_suspicion(self, fingerprint, place=0):
        return self.daemons[place].explain(fingerprint).suspicion


class QuarantineTest(unittest.TestCase):
    """A request may crash few servers, and no harmless one may be refused."""

    def setUp(self):
        self.fleet = Fleet()

    def test_second_crash_condemns_through_another_daemon(self):
        """Guards against a request that crashes one server after another."""
        self.fleet.crash_running(0, "poison", "x", "y")
        self.fleet.run(1, "z", "poison")
        self.assertEqual(self.fleet.crash(1).condemned, ("poison",))
        self.fleet.deliver()
        for daemon in self.fleet.daemons:
            with self.assertRaises(AlmondError) as caught:
                daemon.check_not_condemned("poison")
            self.assertEqual(caught.exception.code, ErrorCode.CONDEMNED)
            for harmless in "xyz":
                explanation = daemon.explain(harmless)
                self.assertEqual(explanation.suspicion, Suspicion.NONE)

    def test_suspects_run_apart(self):
        """Guards against a crash with two suspects, which does not show the cause."""
        self.fleet.crash_running(0, "poison", "x")
        daemon = self.fleet.daemons[1]
        self.fleet.run(1, "fresh", "x")
        may_run = [daemon.may_run_now("b", name) for name in ("poison", "x", "other")]
        self.assertEqual(may_run, [False, True, True])
        self.fleet.complete(1, "x")
        self.assertTrue(daemon.may_run_now("b", "poison"))

    @parameterized.expand([(1,), (2,)])
    def test_request_in_flight_with_the_cause_is_not_condemned(self, times):
        """Guards against refusing a request that ran beside the cause repeatedly."""
        # The reports arrive late, so that the suspects run together.
        for place in range(times):
            self.fleet.crash_running(place, "poison", "x")
        self.fleet.crash_running(2, "poison", "x")
        self.assertEqual(self.fleet.find_suspicion("x"), Suspicion.SUSPECT)
        self.fleet.run(3, "x")
        self.fleet.complete(3, "x")
        self.fleet.deliver()
        self.assertEqual(self.fleet.find_suspicion("x"), Suspicion.NONE)
        self.assertEqual(self.fleet.find_suspicion("poison"), Suspicion.SUSPECT)

    def test_condemnation_is_revoked_when_two_causes_are_found(self):
        """Guards against refusing a request that ran beside two different causes."""
        self.fleet.crash_running(0, "poison", "x")
        self.fleet.crash_running(1, "venom", "x")
        self.assertEqual(self.fleet.find_suspicion("x"), Suspicion.CONDEMNED)
        for place, name in ((2, "venom"), (3, "venom"), (2, "poison"), (3, "poison")):
            if self.fleet.find_suspicion(name) is not Suspicion.CONDEMNED:
                self.fleet.crash_running(place, name)
            if self.fleet.find_suspicion("venom") is Suspicion.CONDEMNED:
                self.assertNotEqual(self.fleet.find_suspicion("x"), Suspicion.CONDEMNED)
        found = [self.fleet.find_suspicion(name) for name in ("x", "venom", "poison")]
        condemned = Suspicion.CONDEMNED
        self.assertEqual(found, [Suspicion.NONE, condemned, condemned])

    def test_simultaneous_loss_of_daemons_and_servers_condemns_nothing(self):
        """Guards against refusing requests because whole hosts failed."""
        for place in range(4):
            self.fleet.run(place, f"x{place}", "everywhere")
        # Daemons that failed together with their servers restart without state.
        restarted = [Quarantine(host=f"h{n}", clock=ManualClock()) for n in range(4)]
        reports = [daemon.record_crash("b") for daemon in restarted]
        self.fleet.deliver(reports)
        self.assertEqual({report.fingerprints for report in reports}, {()})
        self.assertEqual(
            self.fleet.find_suspicion("everywhere", place=4), Suspicion.NONE
        )

    def test_completion_elsewhere_voids_a_condemnation(self):
        """Guards against a condemnation made before a completion was known."""
        self.fleet.crash_running(0, "x", "y")
        self.fleet.run(1, "x")
        self.fleet.complete(1, "x")
        self.fleet.run(2, "x", "z")
        self.assertEqual(self.fleet.crash(2).condemned, ("x",))
        self.fleet.deliver()
        self.assertEqual(self.fleet.find_suspicion("x"), Suspicion.SUSPECT)

    def test_operator_can_lift_a_condemnation(self):
        for place in (0, 1):
            self.fleet.crash_running(place, "x", f"other{place}")
        condemned = self.fleet.daemons[4].list_condemned()
        self.assertEqual([item.fingerprint for item in condemned], ["x"])
        self.fleet.deliver(self.fleet.daemons[4].lift("x"))
        for name in ("x", "other0", "other1"):
            self.assertEqual(self.fleet.find_suspicion(name), Suspicion.NONE)

    def test_size_is_bounded_and_condemned_requests_are_kept(self):
        """Guards against memory that grows with each crash."""
        daemon = self.fleet.daemons[0]
        daemon.merge(CrashReport("first", "h", "b", ("poison", "x"), ("poison",)))
        reports = [
            CrashReport(f"r{n}", "h", "b", tuple(f"f{n}-{i}" for i in range(9)))
            for n in range(2 * MAX_ENTRIES // 9)
        ]
        for report in reports:
            found = [daemon.merge(report), daemon.merge(report)]
            self.assertEqual(found, [True, False], "a duplicate must not be forwarded")
        self.assertFalse(daemon.merge(reports[0]), "a dropped report came back")
        kept = sum(len(m.fingerprints) for m in daemon.list_messages())
        self.assertLessEqual(kept, MAX_ENTRIES)
        self.assertEqual(self.fleet.find_suspicion("poison"), Suspicion.CONDEMNED)

    def test_fingerprint_distinguishes_requests(self):
        """Guards against equal fingerprints if parts of a request are shifted."""
        found = set()
        for request in ("c GET /a ", "c GET / a", "cG ET / a") * 2:
            *parts, body = request.split(" ")
            found.add(compute_fingerprint(*parts, body.encode()))
        self.assertEqual(len(found), 3)


NAMES = ["poison", "v", "w", "x", "y", "z"]
EVENTS = st.lists(
    st.tuples(
        st.integers(0, 4),
        st.lists(st.sampled_from(NAMES), min_size=1, max_size=4, unique=True),
        st.integers(0, 3),
    ),
    max_size=30,
)


class GossipTest(unittest.TestCase):
    """Late, lost and repeated messages must not change which requests are refused."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(EVENTS, st.randoms(use_true_random=False))
    def test_result_depends_only_on_the_messages(self, events, rng):
        fleet = Fleet()
        for place, names, delivered in events:
            self._play(fleet, place, names)
            count = min(delivered, len(fleet.messages))
            fleet.deliver(rng.sample(fleet.messages, count))
        fleet.deliver(rng.sample(fleet.messages * 2, 2 * len(fleet.messages)))
        late = Quarantine(host="late", clock=ManualClock())
        for message in reversed(fleet.daemons[0].list_messages()):
            late.merge(message)
        for name in NAMES:
            found = {daemon.explain(name).suspicion for daemon in fleet.daemons}
            self.assertEqual(found, {late.explain(name).suspicion}, name)
            if name != "poison":
                self.assertNotIn(Suspicion.CONDEMNED, found, name)

    def _play(self, fleet, place, names):
        """Run requests on one server as a daemon would; ``poison`` crashes it."""
        daemon = fleet.daemons[place]
        running = []
        for name in names:
            condemned = daemon.explain(name).suspicion is Suspicion.CONDEMNED
            if not condemned and daemon.may_run_now("b", name):
                daemon.begin_request("b", name)
                running.append(name)
        if "poison" in running:
            fleet.crash(place)
        else:
            fleet.complete(place, *running)

    def test_poison_is_condemned_after_two_crashes(self):
        for seed in range(50):
            rng = random.Random(seed)
            fleet = Fleet()
            crashes = 0
            while fleet.find_suspicion("poison") is not Suspicion.CONDEMNED:
                before = len(fleet.messages)
                names = ["poison", *rng.sample(NAMES[1:], 3)]
                rng.shuffle(names)
                self._play(fleet, rng.randrange(5), names)
                fleet.deliver()
                new = fleet.messages[before:]
                crashes += any(isinstance(m, CrashReport) for m in new)
                self.assertLess(len(fleet.messages), 200)
            self.assertEqual(crashes, 2)

    def test_clearance_that_arrives_before_its_crash_counts(self):
        fleet = Fleet()
        crash = CrashReport("r1", "h", "b", ("x", "y"))
        fleet.deliver([SuspicionCleared("r1", ("x",)), crash])
        self.assertEqual(fleet.find_suspicion("x"), Suspicion.NONE)
        self.assertEqual(fleet.find_suspicion("y"), Suspicion.SUSPECT)
