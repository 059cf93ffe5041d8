"""Tests of the search for requests that crash backend servers."""

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
    """Daemons with one backend server each, and the messages between them."""

    def __init__(self, size=5):
        clock = ManualClock()
        self.daemons = [Quarantine(host=f"h{n}", clock=clock) for n in range(size)]
        self.messages = []

    def run(self, place, *fingerprints):
        """Hand requests to one backend server."""
        for fingerprint in fingerprints:
            self.daemons[place].check(fingerprint)
            self.daemons[place].begin("b", fingerprint)

    def complete(self, place, *fingerprints):
        for fingerprint in fingerprints:
            self.messages += self.daemons[place].end("b", fingerprint, completed=True)

    def crash(self, place):
        report = self.daemons[place].record_crash("b")
        self.messages.append(report)
        return report

    def lose(self, place, *fingerprints):
        """Crash one backend server that runs requests; tell every daemon."""
        self.run(place, *fingerprints)
        self.crash(place)
        self.spread()

    def spread(self, messages=None):
        for message in self.messages if messages is None else messages:
            for daemon in self.daemons:
                daemon.merge(message)

    def find(self, fingerprint, place=0):
        return self.daemons[place].explain(fingerprint).suspicion


class QuarantineTest(unittest.TestCase):
    """One request must cost few servers, and no innocent one may be refused."""

    def setUp(self):
        self.fleet = Fleet()

    def test_second_crash_condemns_through_another_daemon(self):
        self.fleet.lose(0, "poison", "x", "y")
        self.fleet.run(1, "z", "poison")
        self.assertEqual(self.fleet.crash(1).condemned, ("poison",))
        self.fleet.spread()
        for daemon in self.fleet.daemons:
            with self.assertRaises(AlmondError) as caught:
                daemon.check("poison")
            self.assertEqual(caught.exception.code, ErrorCode.CONDEMNED)
            for innocent in "xyz":
                explanation = daemon.explain(innocent)
                self.assertEqual(explanation.suspicion, Suspicion.NONE)

    def test_suspects_run_apart(self):
        self.fleet.lose(0, "poison", "x")
        daemon = self.fleet.daemons[1]
        self.fleet.run(1, "fresh", "x")
        may_run = [daemon.may_run_now("b", name) for name in ("poison", "x", "other")]
        self.assertEqual(may_run, [False, True, True])
        self.fleet.complete(1, "x")
        self.assertTrue(daemon.may_run_now("b", "poison"))

    @parameterized.expand([(1,), (2,)])
    def test_riding_along_condemns_no_innocent(self, times):
        # Reports arrive late, so that the suspects do not run apart.
        for place in range(times):
            self.fleet.lose(place, "poison", "x")
        self.fleet.lose(2, "poison", "x")
        self.assertEqual(self.fleet.find("x"), Suspicion.SUSPECT)
        self.fleet.run(3, "x")
        self.fleet.complete(3, "x")
        self.fleet.spread()
        self.assertEqual(self.fleet.find("x"), Suspicion.NONE)
        self.assertEqual(self.fleet.find("poison"), Suspicion.SUSPECT)

    def test_riding_along_with_two_poisons_is_made_good(self):
        self.fleet.lose(0, "poison", "x")
        self.fleet.lose(1, "venom", "x")
        self.assertEqual(self.fleet.find("x"), Suspicion.CONDEMNED)
        for place, name in ((2, "venom"), (3, "venom"), (2, "poison"), (3, "poison")):
            if self.fleet.find(name) is not Suspicion.CONDEMNED:
                self.fleet.lose(place, name)
            if self.fleet.find("venom") is Suspicion.CONDEMNED:
                self.assertNotEqual(self.fleet.find("x"), Suspicion.CONDEMNED)
        found = [self.fleet.find(name) for name in ("x", "venom", "poison")]
        condemned = Suspicion.CONDEMNED
        self.assertEqual(found, [Suspicion.NONE, condemned, condemned])

    def test_death_of_a_rack_condemns_nobody(self):
        for place in range(4):
            self.fleet.run(place, f"x{place}", "everywhere")
        # Daemons that died with their servers come back without memory.
        reborn = [Quarantine(host=f"h{n}", clock=ManualClock()) for n in range(4)]
        reports = [daemon.record_crash("b") for daemon in reborn]
        self.fleet.spread(reports)
        self.assertEqual({report.fingerprints for report in reports}, {()})
        self.assertEqual(self.fleet.find("everywhere", place=4), Suspicion.NONE)

    def test_completion_elsewhere_voids_a_condemnation(self):
        self.fleet.lose(0, "x", "y")
        self.fleet.run(1, "x")
        self.fleet.complete(1, "x")
        self.fleet.run(2, "x", "z")
        self.assertEqual(self.fleet.crash(2).condemned, ("x",))
        self.fleet.spread()
        self.assertEqual(self.fleet.find("x"), Suspicion.SUSPECT)

    def test_operator_lifts(self):
        for place in (0, 1):
            self.fleet.lose(place, "x", f"rider{place}")
        condemned = self.fleet.daemons[4].list_condemned()
        self.assertEqual([item.fingerprint for item in condemned], ["x"])
        self.fleet.spread(self.fleet.daemons[4].lift("x"))
        for name in ("x", "rider0", "rider1"):
            self.assertEqual(self.fleet.find(name), Suspicion.NONE)

    def test_is_bounded_and_keeps_the_condemned(self):
        daemon = self.fleet.daemons[0]
        daemon.merge(CrashReport("first", "h", "b", ("poison", "x"), ("poison",)))
        reports = [
            CrashReport(f"r{n}", "h", "b", tuple(f"f{n}-{i}" for i in range(9)))
            for n in range(2 * MAX_ENTRIES // 9)
        ]
        for report in reports:
            found = [daemon.merge(report), daemon.merge(report)]
            self.assertEqual(found, [True, False], "a duplicate must not spread on")
        self.assertFalse(daemon.merge(reports[0]), "a dropped report came back")
        kept = sum(len(m.fingerprints) for m in daemon.list_messages())
        self.assertLessEqual(kept, MAX_ENTRIES)
        self.assertEqual(self.fleet.find("poison"), Suspicion.CONDEMNED)

    def test_fingerprint_tells_requests_apart(self):
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
    """Late, lost and repeated reports must not change the judgement."""

    @settings(derandomize=True, deadline=None, database=None, max_examples=300)
    @given(EVENTS, st.randoms(use_true_random=False))
    def test_judgement_follows_from_the_messages(self, events, chance):
        fleet = Fleet()
        for place, names, delivered in events:
            self._play(fleet, place, names)
            count = min(delivered, len(fleet.messages))
            fleet.spread(chance.sample(fleet.messages, count))
        fleet.spread(chance.sample(fleet.messages * 2, 2 * len(fleet.messages)))
        late = Quarantine(host="late", clock=ManualClock())
        for message in reversed(fleet.daemons[0].list_messages()):
            late.merge(message)
        for name in NAMES:
            found = {daemon.explain(name).suspicion for daemon in fleet.daemons}
            self.assertEqual(found, {late.explain(name).suspicion}, name)
            if name != "poison":
                self.assertNotIn(Suspicion.CONDEMNED, found, name)

    def _play(self, fleet, place, names):
        """Run requests on one server as a daemon would; poison crashes it."""
        daemon = fleet.daemons[place]
        running = []
        for name in names:
            condemned = daemon.explain(name).suspicion is Suspicion.CONDEMNED
            if not condemned and daemon.may_run_now("b", name):
                daemon.begin("b", name)
                running.append(name)
        if "poison" in running:
            fleet.crash(place)
        else:
            fleet.complete(place, *running)

    def test_poison_is_condemned_however_it_is_sent_again(self):
        for seed in range(50):
            chance = random.Random(seed)
            fleet = Fleet()
            crashes = 0
            while fleet.find("poison") is not Suspicion.CONDEMNED:
                before = len(fleet.messages)
                names = ["poison", *chance.sample(NAMES[1:], 3)]
                chance.shuffle(names)
                self._play(fleet, chance.randrange(5), names)
                fleet.spread()
                new = fleet.messages[before:]
                crashes += any(isinstance(m, CrashReport) for m in new)
                self.assertLess(len(fleet.messages), 200)
            self.assertEqual(crashes, 2)

    def test_clearance_that_overtakes_its_crash_counts(self):
        fleet = Fleet()
        crash = CrashReport("r1", "h", "b", ("x", "y"))
        fleet.spread([SuspicionCleared("r1", ("x",)), crash])
        self.assertEqual(fleet.find("x"), Suspicion.NONE)
        self.assertEqual(fleet.find("y"), Suspicion.SUSPECT)
