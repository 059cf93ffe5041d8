"""Evidence about requests that crash backend servers: counts, verdicts, clearances."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.crashevidence import (
    CLEARANCE_TTL_S,
    CONDEMNED_S,
    EVIDENCE_TTL_S,
    MAX_CONDEMNED_S,
    compute_condemned_time,
)
from almondrouter.protocol.calls import CrashVerdict
from almondrouter.state.hosts import MAX_SUSPECTS, CrashSuspect, HostEntry
from platform_support import make_evidence

REQUEST, OTHER = "a" * 32, "b" * 32
FIRST, AGAIN = False, True


def make_record(host, *crashes, incarnation=1, change=0):
    """Return the record of a host whose servers crashed, each as `FIRST` or `AGAIN`."""
    suspects = ()
    if crashes:
        suspects = (CrashSuspect(REQUEST, len(crashes), any(crashes)),)
    return HostEntry(
        host, incarnation, "z", "r", f"{host}:1", None, change, None, suspects
    )


class CrashEvidenceTest(unittest.TestCase):
    """One daemon; other hosts are their records."""

    def setUp(self):
        self.clock = ManualClock()
        self.published, self.announced = 0, 0
        self.evidence = make_evidence(
            self.clock, on_suspects=self.count_suspects, on_verdicts=self.count_verdicts
        )

    def count_suspects(self):
        self.published += 1

    def count_verdicts(self):
        self.announced += 1

    @property
    def is_condemned(self):
        return self.evidence.find_condemned_until(REQUEST) is not None

    @parameterized.expand(
        [
            ("two crashes", [(FIRST, AGAIN)], [], False),
            ("three here", [(FIRST, AGAIN, AGAIN)], [], True),
            ("here and elsewhere", [(FIRST,), (AGAIN,)], [AGAIN], True),
            ("elsewhere only", [(FIRST,), (AGAIN,), (AGAIN,)], [], True),
            ("all at the same moment", [(FIRST,), (FIRST,), (FIRST,)], [FIRST], False),
            ("the next one after these", [(FIRST,), (FIRST,)], [FIRST, AGAIN], True),
        ]
    )
    def test_condemnation(self, _, records, own, expected):
        """Guards against missed causes, and blame for servers that end together."""
        for number, crashes in enumerate(records):
            self.evidence.merge_record(make_record(f"h{number}", *crashes))
        for repeated in own:
            self.evidence.record_crash({REQUEST: repeated})
        self.assertEqual(expected, self.is_condemned)
        self.assertEqual(expected, bool(self.announced))
        self.assertIsNone(self.evidence.find_condemned_until(OTHER))

    def condemn(self):
        self.evidence.merge_record(make_record("h1", FIRST, AGAIN, AGAIN))
        self.assertTrue(self.is_condemned)

    def test_condemned_request_may_run_again_alone_later(self):
        """Guards against refusing a request for ever, and against trying too often."""
        self.condemn()
        self.clock.advance(CONDEMNED_S)
        self.assertFalse(self.is_condemned)
        self.assertTrue(self.evidence.must_be_isolated(REQUEST))
        self.evidence.record_crash({REQUEST: AGAIN})
        self.clock.advance(CONDEMNED_S)
        self.assertTrue(self.is_condemned)
        self.assertEqual(MAX_CONDEMNED_S, compute_condemned_time(10_000))

    @parameterized.expand(
        [
            ("completed here", lambda e: e.record_completion(REQUEST)),
            ("elsewhere", lambda e: e.merge_verdicts((CrashVerdict(REQUEST, 0),))),
        ]
    )
    def test_completion_clears(self, _, complete):
        """Guards against innocent requests that stay refused, or are so again at once.

        Other daemons still hold the verdict until they hear of the completion.
        """
        self.evidence.record_crash({REQUEST: FIRST})
        self.condemn()
        complete(self.evidence)
        self.evidence.merge_verdicts((CrashVerdict(REQUEST, 3),))
        self.assertFalse(self.evidence.is_suspect(REQUEST))
        self.assertEqual((), self.evidence.suspects)
        self.assertEqual((CrashVerdict(REQUEST, 0),), self.evidence.verdicts)
        self.clock.advance(CLEARANCE_TTL_S)
        self.assertEqual((), self.evidence.verdicts)
        self.evidence.merge_verdicts((CrashVerdict(REQUEST, 4),))
        self.assertTrue(self.is_condemned)

    def test_verdict_spreads_beyond_the_links_of_its_first_daemon(self):
        """Guards against hosts without a link to those whose servers crashed."""
        for _ in range(2):
            self.evidence.merge_verdicts((CrashVerdict(REQUEST, 3),))
        self.assertEqual((CrashVerdict(REQUEST, 3),), self.evidence.verdicts)
        self.assertEqual(1, self.announced)
        self.evidence.merge_verdicts((CrashVerdict(OTHER, 0),))
        self.assertEqual(1, self.announced)

    def test_restart_of_a_daemon_hides_nothing(self):
        """Guards against forgetting what a daemon recorded before it restarted."""
        self.condemn()
        self.evidence.merge_record(make_record("h1", incarnation=2))
        self.assertTrue(self.is_condemned)
        self.evidence.merge_record(make_record("h1", FIRST, AGAIN, incarnation=2))
        self.evidence.merge_record(make_record("h1", incarnation=2, change=1))
        self.assertEqual(3, self.evidence.verdicts[0].crashes)
        self.evidence.merge_record(make_record("h1", FIRST, incarnation=3))
        self.evidence.merge_record(make_record("h1", incarnation=4))
        self.assertEqual(3, self.evidence.verdicts[0].crashes)
        restarted = make_evidence(self.clock, host="h1")
        restarted.restore(make_record("h1", FIRST, AGAIN, AGAIN))
        self.assertIsNotNone(restarted.find_condemned_until(REQUEST))

    def test_evidence_is_bounded(self):
        """Guards against records that grow with each crash, or are kept for ever."""
        for number in range(2 * MAX_SUSPECTS):
            self.evidence.record_crash({f"{number:032x}": FIRST})
        self.assertEqual(MAX_SUSPECTS, len(self.evidence.suspects))
        self.clock.advance(EVIDENCE_TTL_S)
        self.evidence.record_crash({REQUEST: FIRST})
        self.assertEqual((CrashSuspect(REQUEST, 1),), self.evidence.suspects)
        self.assertFalse(self.evidence.is_suspect(f"{2 * MAX_SUSPECTS - 1:032x}"))
