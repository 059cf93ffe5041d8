"""The backend server of a host: states, and interpretation of its responses."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

import msgspec
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.intake import BodyIntake
from almondrouter.coordination.localbackend import LocalBackend, make_fingerprint
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import BodyOffer, CrashVerdict
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.hosts import BackendEntry, Departure, ServingState
from almondrouter.transport.calls import BackendResponse, BackendSender
from almondrouterd.platform.headers import PlatformDialect
from calls_support import CallAssertions, make_request
from platform_support import make_crash_guard, make_evidence

READY, LEAVING, DOWN = ServingState.READY, ServingState.LEAVING, ServingState.DOWN
SIGNED = (("response-signature", "s"),)
REFUSAL_TIMEOUT_S = 5.0
"""Time limit for a refusal that should come at once."""


class ScriptedSender(BackendSender):
    """Responds to each request with the next item of a script."""

    def __init__(self):
        self.script = []
        self.sent = []
        self.release = asyncio.Event()
        self.release.set()

    async def send(self, method, target, headers, body, **options):
        self.sent.append((dict(headers), options))
        await self.release.wait()
        item = self.script.pop(0)
        if isinstance(item, Exception):
            raise item
        return item


def make_entry(*, state=READY, started=1, backend="b"):
    """Return the announcement of a backend server."""
    return BackendEntry(backend, started, "s", 1, state)


class LocalBackendTest(CallAssertions, unittest.IsolatedAsyncioTestCase):
    """The backend server is a sender with scripted responses."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.sender = ScriptedSender()
        self.changes = 0
        self.has_crashed = False
        self.evidence = make_evidence(self.clock)
        self.backend = LocalBackend(
            sender=self.sender,
            dialect=PlatformDialect(),
            clock=self.clock,
            intake=BodyIntake(bytes_per_second=1_000_000, clock=self.clock),
            guard=make_crash_guard(
                self.clock,
                evidence=self.evidence,
                has_crashed=self.check_crash,
                on_crash=lambda start: self.backend.mark_crashed(start),
            ),
            on_changed=self.count_change,
        )
        self.backend.apply_announcement(make_entry())

    async def check_crash(self):
        return self.has_crashed

    def count_change(self):
        self.changes += 1

    def request(self, *, repeatable=True, backend="b"):
        request = make_request(deadline=self.clock.monotonic() + 1.0, backend=backend)
        return msgspec.structs.replace(
            request, repeatable=repeatable, attempt_id="id", caller_service="own"
        )

    async def test_refusal_tells_the_load(self):
        """Guards against refusals without load, which mean that the server is gone."""
        self.sender.script = [BackendResponse(503, (("not-executed", "full"),), b"")]
        refused = await self.backend.handle_call(self.request())
        self.assertEqual(ErrorCode.BACKEND_REFUSED.value, refused.code)
        self.assertEqual(1, refused.load.slots)
        self.backend.change_state(LEAVING, reason="test")
        leaving = await self.backend.handle_call(self.request())
        self.assertEqual(
            (ErrorCode.NO_BACKEND.value, Outcome.NOT_RUN, None),
            (leaving.code, leaving.outcome, leaving.load),
        )

    @parameterized.expand(
        [
            ("in time", 100_000, 1.0, READY, "", Outcome.COMPLETE),
            ("too long", 900_000, 1.0, READY, "overloaded", Outcome.NOT_RUN),
            ("leaving", 100, 1.0, LEAVING, "no_backend", Outcome.NOT_RUN),
        ]
    )
    async def test_offer(self, _, size, within, state, code, outcome):
        """Guards against accepting offers of bodies that would then be refused."""
        self.backend.change_state(state, reason="test")
        now = self.clock.monotonic()
        offer = BodyOffer(0, "c", "b", 1, size, now + 2.0, now + within)
        reply = await self.backend.answer_offer(offer)
        self.assertEqual((code, outcome), (reply.code, reply.outcome))
        self.assertEqual([], self.sender.sent)

    async def test_waiting_offer_is_refused_when_the_server_leaves(self):
        """Guards against sending a long body to a server that will refuse it.

        The offer waits for its turn meanwhile; another server could take the body.
        """
        now = self.clock.monotonic()
        first, second = (
            BodyOffer(0, "c", "b", 1, 20_000_000, now + 90.0, now + 90.0)
            for _ in range(2)
        )
        accepted = await self.backend.answer_offer(first)
        self.assertEqual(100, accepted.status)
        waiting = asyncio.create_task(self.backend.answer_offer(second))
        await asyncio.sleep(0)
        self.backend.change_state(LEAVING, reason="test")
        async with asyncio.timeout(REFUSAL_TIMEOUT_S):
            refused = await waiting
        self.assertEqual(
            (ErrorCode.NO_BACKEND.value, Outcome.NOT_RUN),
            (refused.code, refused.outcome),
        )

    async def test_answer_is_passed_on(self):
        """Guards against responses that lose their status, headers or body."""
        self.sender.script = [BackendResponse(201, SIGNED, b"body")]
        reply = await self.backend.run(self.request())
        self.assertEqual(
            (Outcome.COMPLETE, 201, SIGNED, b"body"),
            (reply.outcome, reply.status, reply.headers, reply.body),
        )
        headers, options = self.sender.sent[0]
        self.assertEqual("1000", headers["deadline-ms"])
        self.assertEqual("b", headers["expected-instance"])
        self.assertIsNone(options["max_idle"])

    @parameterized.expand(
        [
            ("shed", 503, (("not-executed", "1"),), ErrorCode.BACKEND_REFUSED, False),
            ("another server", 421, (), ErrorCode.NO_BACKEND, False),
            ("unsigned success", 200, (), ErrorCode.BACKEND_FAILED, True),
        ]
    )
    async def test_response_that_is_not_a_result(
        self, _, status, headers, code, may_have_run
    ):
        """Guards against wrong outcomes of responses that are not the server's own."""
        self.sender.script = [BackendResponse(status, headers, b"")]
        outcome = Outcome.UNKNOWN if may_have_run else Outcome.NOT_RUN
        await self.assert_fails(self.backend.run(self.request()), code, outcome)
        self.assertTrue(self.backend.queue.is_idle)

    @parameterized.expand(
        [
            ("crashed", True, DOWN, ErrorCode.NO_BACKEND),
            ("cut an answer", False, READY, None),
        ]
    )
    async def test_lost_connection(self, _, crashed, state, code):
        """Guards against requests to a server that crashed, until one is refused."""
        failed = CallError(
            ErrorCode.BACKEND_FAILED, "connection lost", outcome=Outcome.UNKNOWN
        )
        self.sender.script = [failed, BackendResponse(200, SIGNED, b"")]
        self.has_crashed = crashed
        await self.assert_fails(
            self.backend.run(self.request()), failed.code, Outcome.UNKNOWN
        )
        self.assertEqual(state, self.backend.entry.state)
        reply = await self.backend.handle_call(self.request())
        self.assertEqual(code.value if code else "", reply.code)

    async def test_request_condemned_while_it_waits_is_not_run(self):
        """Guards against running what has crashed other servers in the meantime."""
        self.sender.script = [BackendResponse(200, SIGNED, b"")]
        blocker = await self.backend.queue.acquire(self.request())
        request = self.request()
        waiting = asyncio.create_task(self.backend.handle_call(request))
        await asyncio.sleep(0)
        verdict = CrashVerdict(make_fingerprint(request), 3)
        self.evidence.merge_verdicts((verdict,))
        self.backend.queue.release(blocker, measured=False)
        for reply in (await waiting, await self.backend.handle_call(request)):
            self.assertEqual(
                (ErrorCode.CONDEMNED.value, Outcome.NOT_RUN),
                (reply.code, reply.outcome),
            )
        self.assertEqual([], self.sender.sent)
        self.assertTrue(self.backend.queue.is_idle)

    @parameterized.expand(
        [
            ("attempt", {"attempt_id": "again"}, True),
            ("host it was sent to", {"backend": "c"}, True),
            ("name of its route", {"class_name": "other"}, True),
            ("virtual host", {"headers": (("host", "other"),)}, False),
            ("path", {"target": "/other"}, False),
            ("body", {"body": b"other"}, False),
            ("service of its caller", {"caller_service": "other"}, False),
        ]
    )
    async def test_same_request_with_another(self, _, change, is_same):
        """Guards against missing a request that comes again, or blaming another."""
        request = self.request()
        changed = msgspec.structs.replace(request, **change)
        self.assertEqual(
            is_same, make_fingerprint(request) == make_fingerprint(changed)
        )

    async def test_log_tells_which_attempts_were_one_request(self):
        """Guards against logs in which a request that comes again looks new."""
        failed = CallError(
            ErrorCode.BACKEND_FAILED, "connection lost", outcome=Outcome.UNKNOWN
        )
        self.sender.script = [failed] * 3
        again = msgspec.structs.replace(self.request(), attempt_id="again")
        other = msgspec.structs.replace(self.request(), target="/other")
        with patch("almondrouter.coordination.localbackend._log.request") as log:
            for request in (self.request(), again, other):
                await self.assert_fails(
                    self.backend.run(request), failed.code, Outcome.UNKNOWN
                )
        first, second, third = (call[1]["fingerprint"] for call in log.call_args_list)
        self.assertEqual(first, second)
        self.assertNotEqual(first, third)

    async def test_unsigned_failure_is_passed_on(self):
        """Guards against altering the status of an error response."""
        self.sender.script = [BackendResponse(500, (), b"")]
        self.assertEqual(500, (await self.backend.run(self.request())).status)

    async def test_refused_connection_marks_the_server_down(self):
        """Guards against sending requests to a server that has crashed."""
        error = CallError(ErrorCode.NO_BACKEND, "refused")
        self.sender.script = [error, BackendResponse(200, SIGNED, b"")]
        for _ in range(2):
            await self.assert_fails(
                self.backend.run(self.request()),
                ErrorCode.NO_BACKEND,
                Outcome.NOT_RUN,
            )
        self.assertEqual(1, len(self.sender.sent))
        self.backend.apply_announcement(make_entry())
        self.assertEqual(200, (await self.backend.run(self.request())).status)

    async def test_full_server_that_refuses_a_connection_stays_in_use(self):
        """Guards against taking a server for ended because it accepts no more."""
        refused = CallError(ErrorCode.NO_BACKEND, "refused")
        refused.__cause__ = ConnectionRefusedError()
        answer = BackendResponse(200, (*SIGNED, ("instance-load", "1,0,2,300")), b"")
        self.sender.script = [answer, answer, refused]
        slots = msgspec.structs.replace(make_entry(), slots=2)
        self.backend.apply_announcement(slots)
        reply = await self.backend.handle_call(self.request())
        self.assertEqual((2, 3.0), (reply.load.slots, reply.load.run_time_factor))
        self.sender.release.clear()
        calls = [self.backend.handle_call(self.request()) for _ in range(2)]
        runs = asyncio.gather(*calls)
        while len(self.sender.sent) < 3:
            await asyncio.sleep(0)
        self.sender.release.set()
        codes = [(reply.code, reply.outcome) for reply in await runs]
        not_run = (ErrorCode.OVERLOADED.value, Outcome.NOT_RUN)
        self.assertEqual([("", Outcome.COMPLETE), not_run], codes)
        self.assertEqual(READY, self.backend.entry.state)
        self.assertEqual(1, self.backend.load.slots)

    @parameterized.expand(
        [
            ("older start", make_entry(started=0, state=LEAVING), READY),
            ("same start leaves", make_entry(state=LEAVING), LEAVING),
            ("new start", make_entry(started=2, backend="c"), READY),
        ]
    )
    async def test_announcement(self, _, entry, expected):
        """Guards against applying a delayed heartbeat of an earlier start."""
        self.backend.apply_announcement(entry)
        self.assertEqual(expected, self.backend.entry.state)

    async def test_leaving_is_final_for_one_start(self):
        """Guards against new requests for a server that was told it may stop."""
        self.backend.change_state(LEAVING, reason="test")
        self.backend.apply_announcement(make_entry())
        await self.assert_fails(
            self.backend.run(self.request()), ErrorCode.NO_BACKEND, Outcome.NOT_RUN
        )
        self.backend.apply_announcement(make_entry(started=2))
        self.assertEqual(READY, self.backend.entry.state)

    @parameterized.expand(
        [
            ("report", lambda t: t.apply_announcement(make_entry(state=LEAVING))),
            ("deregistered", lambda t: t.mark_leaving("b", None)),
        ]
    )
    async def test_departure_is_published_even_if_the_daemon_stops(self, _, leave):
        """Guards against a departure that looks like the stop of a daemon only."""
        self.backend.change_state(LEAVING, reason="the daemon stops")
        self.assertIsNone(self.backend.departure)
        changes = self.changes
        for _ in range(2):
            leave(self.backend)
            self.assertEqual(Departure("b", 1), self.backend.departure)
            self.assertEqual(changes + 1, self.changes)

    async def test_request_for_another_server_is_not_run(self):
        """Guards against running a request on a server that reuses an address."""
        await self.assert_fails(
            self.backend.run(self.request(backend="old")),
            ErrorCode.NO_BACKEND,
            Outcome.NOT_RUN,
        )
        self.assertEqual([], self.sender.sent)

    @parameterized.expand([("repeatable", True), ("at most once", False)])
    async def test_cancelled_caller(self, _, repeatable):
        """Guards against runs without a caller, and against partial effects.

        A repeatable request is cancelled with its caller, others run to their end.
        """
        self.sender.release.clear()
        self.sender.script = [BackendResponse(200, SIGNED, b"")]
        task = asyncio.create_task(
            self.backend.run(self.request(repeatable=repeatable))
        )
        while not self.sender.sent:
            await asyncio.sleep(0)
        self.assertTrue(self.backend.is_running("id"))
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await asyncio.sleep(0)
        self.assertEqual(0 if repeatable else 1, self.backend.runs_in_flight)
        self.sender.release.set()
        while self.backend.runs_in_flight:
            await asyncio.sleep(0)
        self.assertTrue(self.backend.queue.is_idle)

    @parameterized.expand(
        [
            (f"{name}, turn {turn}", waits, turn)
            for name, waits in (("free slot", False), ("slot after a wait", True))
            for turn in range(5)
        ]
    )
    async def test_caller_that_leaves_releases_its_slot(self, _, waits, turn):
        """Guards against slots that stay taken when their caller leaves at once.

        A task that is cancelled before its first step runs none of its code.
        """
        self.sender.release.clear()
        blocker = await self.backend.queue.acquire(self.request()) if waits else None
        left = asyncio.create_task(self.backend.run(self.request()))
        if blocker is not None:
            await asyncio.sleep(0)
            self.backend.queue.release(blocker, measured=False)
        for _ in range(turn):
            await asyncio.sleep(0)
        left.cancel()
        await asyncio.gather(left, return_exceptions=True)
        await asyncio.sleep(0)
        self.assertTrue(self.backend.queue.is_idle)
        self.assertEqual(0, self.backend.runs_in_flight)
        self.sender.release.set()
        self.sender.script = [BackendResponse(200, SIGNED, b"")]
        self.assertEqual(200, (await self.backend.run(self.request())).status)

    @parameterized.expand(
        [
            ("daemon stops", lambda t: t.change_state(LEAVING, reason="test")),
            ("draining", lambda t: t.apply_announcement(make_entry(state=LEAVING))),
            ("deregistered", lambda t: t.mark_leaving("b", None)),
            ("down", lambda t: t.change_state(DOWN, reason="test")),
        ]
    )
    async def test_waiting_requests_are_refused_when_the_server_leaves(self, _, leave):
        """Guards against requests that wait for a slot and are refused only then.

        Another backend server could run them meanwhile. What runs is not affected.
        """
        self.sender.release.clear()
        self.sender.script = [BackendResponse(200, SIGNED, b"")]
        running = asyncio.create_task(self.backend.run(self.request()))
        while not self.sender.sent:
            await asyncio.sleep(0)
        waiting = asyncio.create_task(self.backend.handle_call(self.request()))
        await asyncio.sleep(0)
        leave(self.backend)
        async with asyncio.timeout(REFUSAL_TIMEOUT_S):
            refused = await waiting
        self.assertEqual(
            (ErrorCode.NO_BACKEND.value, Outcome.NOT_RUN, None),
            (refused.code, refused.outcome, refused.load),
        )
        self.sender.release.set()
        self.assertEqual(200, (await running).status)
        self.assertEqual(1, len(self.sender.sent))

    @parameterized.expand(
        [
            ("ready again", lambda t: t.apply_announcement(make_entry())),
            ("changed back", lambda t: t.change_state(READY, reason="test")),
        ]
    )
    async def test_leaving_server_grants_no_slot_later(self, _, announce):
        """Guards against refusing a waiting request that would have run after all.

        A backend server that leaves never becomes ready again without a restart, so
        refusing its waiting requests at once takes no run from them.
        """
        self.backend.change_state(LEAVING, reason="test")
        announce(self.backend)
        self.assertEqual(LEAVING, self.backend.entry.state)
        reply = await self.backend.handle_call(self.request())
        self.assertEqual(ErrorCode.NO_BACKEND.value, reply.code)
        self.assertEqual([], self.sender.sent)

    @parameterized.expand([("repeatable", True), ("at most once", False)])
    async def test_only_a_waiting_request_is_withdrawn(self, _, repeatable):
        """Guards against reporting a request as not run that runs, or runs later."""
        self.sender.release.clear()
        self.sender.script = [BackendResponse(200, SIGNED, b"")]
        runs = self.request(repeatable=repeatable)
        running = asyncio.create_task(self.backend.run(runs))
        while not self.sender.sent:
            await asyncio.sleep(0)
        waits = self.request(repeatable=repeatable)
        waiting = asyncio.create_task(self.backend.handle_call(waits))
        await asyncio.sleep(0)
        self.assertFalse(self.backend.withdraw(runs))
        self.assertTrue(self.backend.withdraw(waits))
        self.assertFalse(self.backend.withdraw(waits))
        reply = await waiting
        self.assertEqual(
            (ErrorCode.CALL_CANCELLED.value, Outcome.NOT_RUN),
            (reply.code, reply.outcome),
        )
        self.sender.release.set()
        self.assertEqual(200, (await running).status)
        self.assertEqual(1, len(self.sender.sent))
        self.assertTrue(self.backend.queue.is_idle)

    async def test_request_with_a_granted_slot_is_not_withdrawn(self):
        """Guards against a withdrawal between the grant of a slot and the run."""
        self.sender.script = [BackendResponse(200, SIGNED, b"")]
        blocker = await self.backend.queue.acquire(self.request())
        request = self.request()
        waiting = asyncio.create_task(self.backend.run(request))
        await asyncio.sleep(0)
        self.backend.queue.release(blocker, measured=False)
        self.assertFalse(self.backend.withdraw(request))
        self.assertEqual(200, (await waiting).status)

    async def test_waiting_requests_end_with_a_restart(self):
        """Guards against requests that wait for a server that no longer runs."""
        self.sender.release.clear()
        self.sender.script = [BackendResponse(200, SIGNED, b"")]
        running = asyncio.create_task(self.backend.run(self.request()))
        while not self.sender.sent:
            await asyncio.sleep(0)
        waiting = asyncio.create_task(self.backend.run(self.request()))
        await asyncio.sleep(0)
        self.backend.apply_announcement(make_entry(started=2))
        await self.assert_fails(waiting, ErrorCode.NO_BACKEND, Outcome.NOT_RUN)
        self.sender.release.set()
        self.assertEqual(200, (await running).status)
