"""Requests in flight when the backend server of a host crashes."""

from __future__ import annotations

import asyncio
import unittest

from almondrouter.clock import ManualClock
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import CrashVerdict
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.hosts import CrashSuspect
from platform_support import make_crash_guard, make_evidence

START, NEXT_START = "b/1", "b/2"
REQUEST, OTHER, WAITING = (letter * 32 for letter in "abc")


class HostCrashGuardTest(unittest.IsolatedAsyncioTestCase):
    """The backend server has crashed or not, as the test says."""

    async def asyncSetUp(self):
        self.crashed, self.checks, self.marked = True, 0, []
        self.evidence = make_evidence(ManualClock())
        self.guard = make_crash_guard(
            ManualClock(),
            evidence=self.evidence,
            has_crashed=self.has_crashed,
            on_crash=self.marked.append,
        )

    async def has_crashed(self):
        self.checks += 1
        await asyncio.sleep(0)
        return self.crashed

    async def interrupt(self, *fingerprints, start=START):
        """Run requests until their connections fail together."""
        for fingerprint in fingerprints:
            self.guard.begin_request(start, fingerprint)
        checks = [self.guard.check_for_crash(start, f) for f in fingerprints]
        await asyncio.gather(*checks)
        for fingerprint in fingerprints:
            self.guard.end_request(start, fingerprint, completed=False)

    async def test_only_interrupted_requests_are_suspects(self):
        """Guards against blaming requests that were never sent to the server."""
        self.guard.begin_request(START, WAITING)
        await self.interrupt(REQUEST, OTHER)
        self.assertEqual(
            {CrashSuspect(REQUEST, 1), CrashSuspect(OTHER, 1)},
            set(self.evidence.suspects),
        )
        self.assertEqual((1, [START]), (self.checks, self.marked))

    async def test_lost_connections_of_a_living_server_blame_nobody(self):
        """Guards against suspects because a server cut or garbled an answer."""
        self.crashed = False
        await self.interrupt(REQUEST, OTHER)
        self.assertEqual(((), []), (self.evidence.suspects, self.marked))

    async def test_each_start_counts_once(self):
        """Guards against one crash that counts for each of several copies."""
        await self.interrupt(REQUEST, REQUEST)
        await self.interrupt(REQUEST)
        self.assertEqual((CrashSuspect(REQUEST, 1),), self.evidence.suspects)
        await self.interrupt(REQUEST, start=NEXT_START)
        self.assertEqual((CrashSuspect(REQUEST, 2, True),), self.evidence.suspects)
        self.assertEqual([START, NEXT_START], self.marked)

    async def test_suspects_of_two_crashes_run_one_by_one(self):
        """Guards against crashes that cannot tell the cause from what ran beside it."""
        for start in (START, NEXT_START):
            await self.interrupt(REQUEST, OTHER, start=start)
        self.guard.begin_request("b/3", REQUEST)
        self.assertFalse(self.guard.may_run_now("b/3", OTHER))
        self.assertTrue(self.guard.may_run_now("b/3", WAITING))
        self.guard.end_request("b/3", REQUEST, completed=True)
        self.assertTrue(self.guard.may_run_now("b/3", OTHER))

    async def test_requests_beside_an_isolated_one_are_not_blamed(self):
        """Guards against condemning what ran beside the cause again and again."""
        for start in (START, NEXT_START):
            await self.interrupt(REQUEST, start=start)
        self.assertTrue(self.evidence.must_be_isolated(REQUEST))
        await self.interrupt(REQUEST, OTHER, start="b/3")
        self.assertEqual((CrashSuspect(REQUEST, 3, True),), self.evidence.suspects)

    async def test_condemned_request_is_refused_as_not_run(self):
        """Guards against running it at a server that it would crash, too."""
        self.evidence.merge_verdicts((CrashVerdict(REQUEST, 3),))
        self.guard.check_not_condemned(OTHER)
        with self.assertRaises(CallError) as caught:
            self.guard.check_not_condemned(REQUEST)
        self.assertEqual(ErrorCode.CONDEMNED, caught.exception.code)

    async def test_check_outlives_a_caller_that_leaves(self):
        """Guards against missing a crash because the first caller did not wait."""
        for fingerprint in (REQUEST, OTHER):
            self.guard.begin_request(START, fingerprint)
        checks = [
            asyncio.create_task(self.guard.check_for_crash(START, fingerprint))
            for fingerprint in (REQUEST, OTHER)
        ]
        await asyncio.sleep(0)
        checks[0].cancel()
        await asyncio.gather(*checks, return_exceptions=True)
        self.assertEqual(2, len(self.evidence.suspects))
