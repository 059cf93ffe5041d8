"""Forwarding: attempts after a refusal or failure, and the responses to callers."""

from __future__ import annotations

import random
import unittest
from unittest.mock import patch

import msgspec
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.fleetretries import FleetRetryBudget, FleetRetryLimits
from almondrouter.coordination.forwarding import (
    MAX_CORRECTIONS,
    MAX_REFUSALS,
    MAX_UNOFFERED_BYTES,
    Forwarder,
)
from almondrouter.coordination.quotas.allowances import Allowance
from almondrouter.coordination.quotas.service import QuotaExceededError
from almondrouter.coordination.routing import RoundRobin
from almondrouter.coordination.tenants.admission import TenantAdmission
from almondrouter.coordination.weights import TrafficSplitter
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import BodyOffer, CallReply, CallRequest
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError, make_reply
from almondrouter.protocol.quotas import TenantGrant
from almondrouter.state.hosts import BackendEntry, HostEntry, ServingState
from almondrouter.transport.calls import CallerRequest, CallLinks
from almondrouterd.platform.configuration import decode_routes
from almondrouterd.platform.headers import PlatformDialect
from platform_support import SERVICE, make_configuration

NOT_RUN, UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN
HOSTS = 6


def make_answer(status=200, *, framed=True, version=7):
    """Return a reply that holds a backend server's response."""
    return CallReply(0, Outcome.COMPLETE, status, (), b"x", "", None, version, framed)


LONG_BODY = bytes(MAX_UNOFFERED_BYTES + 1)
OFFER_ACCEPTED = make_answer(100)
OVERLOADED_REPLY = make_reply(ErrorCode.OVERLOADED)
SECOND_OFFER_ACCEPTED = [BodyOffer, BodyOffer, CallRequest]
REPLY_LOST = CallError(ErrorCode.PEER_TIMEOUT, "scripted", outcome=UNKNOWN)
SILENCE = "the destination is silent, then replies if the call was not abandoned"


class ScriptedLinks(CallLinks):
    """Replies to each call with the next item of a script."""

    def __init__(self):
        self.script = []
        self.calls = []
        self.abandoned = []
        self.on_silence = lambda: None

    async def call(self, peer_address, request, *, abandon_silent=lambda: True):
        self.calls.append(request)
        item = self.script.pop(0)
        if item is SILENCE:
            self.on_silence()
            self.abandoned.append(abandon_silent())
            item = REPLY_LOST if self.abandoned[-1] else make_answer()
        if isinstance(item, Exception):
            raise item
        return item


class ScriptedQuotas:
    """Grants some tokens, then refuses; counts the tokens that are used."""

    def __init__(self, tokens):
        self.allowance = Allowance(5.0)
        grant = TenantGrant("mill", tokens, tokens, False, 0, 0, 0)
        self.allowance.apply(grant, asked_at=1000.0, now=1000.0)

    async def admit(self, policy):
        token = self.allowance.take(1000.0)
        if token is None:
            raise QuotaExceededError("scripted", retry_after=1.25)
        return token

    def count(self):
        """Return the tokens used and held."""
        use = self.allowance.make_use("mill", 1000.0, is_first=False)
        return use.used, use.held


class BoundedWaitRoundRobin(RoundRobin):
    """Round robin that gives each call a maximum wait."""

    max_wait = None

    def find_max_wait(self, destination, *, now, demand):
        return self.max_wait


class ForwarderTest(unittest.IsolatedAsyncioTestCase):
    """All backend servers run on other hosts."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.links = ScriptedLinks()
        self.running = set()
        self.finished = []
        self.condemned_until, self.condemned_after_calls = None, 0
        self.newer_versions = []
        self.table = decode_routes(make_configuration())
        directory = HostDirectory(clock=self.clock, is_alive=lambda _: True)
        for number in range(HOSTS):
            backend = BackendEntry(f"b{number}", 1, SERVICE, 4, ServingState.READY)
            directory.put(HostEntry(f"h{number}", 1, "z", "r", f"h{number}:1", backend))
        self.balancer = BoundedWaitRoundRobin()
        self.retry_budget = FleetRetryBudget(
            FleetRetryLimits(0.2, 4.0, 10.0), count_hosts=lambda: 1, clock=self.clock
        )
        self.forwarder = Forwarder(
            table=lambda: self.table,
            directory=directory,
            balancer=self.balancer,
            admission=TenantAdmission(PlatformDialect()),
            splitter=TrafficSplitter(random.Random(1)),
            retry_budget=self.retry_budget,
            links=self.links,
            run_locally=None,
            is_running=self.running.__contains__,
            dialect=PlatformDialect(),
            clock=self.clock,
            random=random.Random(1),
            host="own",
            own_service="caller",
            on_newer_version=lambda version, address: self.newer_versions.append(
                version
            ),
            find_condemned_until=self.find_condemned_until,
            on_finished=lambda *result: self.finished.append(result),
        )

    async def send(
        self, path="/read/1", *, host="shop.example", script=(), body=b"", **headers
    ):
        self.links.script = list(script)
        sent = {"host": host, "attempt-id": "id", "deadline-ms": "700"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        request = CallerRequest("GET", path, tuple(sent.items()), body)
        return await self.forwarder.handle(request)

    async def test_condemned_request_is_refused_at_once(self):
        """Guards against sending on what crashes backend servers.

        Its caller learns when it may run again, and that it has not run.
        """
        self.condemned_until = self.clock.monotonic() + 42.0
        response = await self.send("/pay/1")
        self.assertEqual([], self.links.calls)
        self.assertEqual(503, response.status)
        self.assertEqual("42.000", dict(response.headers)["retry-after"])

    async def test_request_condemned_by_its_first_attempt_is_not_repeated(self):
        """Guards against a repeat that crashes one more backend server.

        The first attempt has run, so that the request is not refused as not run.
        """
        self.condemned_until = self.clock.monotonic() + 42.0
        self.condemned_after_calls = 1
        failed = self.make_error(ErrorCode.BACKEND_FAILED, UNKNOWN)
        response = await self.send(script=[failed])
        self.assertEqual(1, len(self.links.calls))
        self.assertEqual(502, response.status)

    def find_condemned_until(self, call):
        if len(self.links.calls) < self.condemned_after_calls:
            return None
        return self.condemned_until

    def make_error(self, code, outcome=NOT_RUN):
        return CallError(code, "scripted", outcome=outcome)

    @parameterized.expand(
        [
            ("may be repeated", "/read/1", [SILENCE, make_answer()], 0, [True], 2),
            ("may not be repeated", "/pay/1", [SILENCE], 0, [False], 1),
            ("retry budget spent", "/read/1", [SILENCE], 99, [False], 1),
            ("last attempt", "/read/1", [REPLY_LOST, SILENCE], 0, [False], 2),
        ]
    )
    async def test_silent_destination_is_abandoned_only_for_a_retry(
        self, _, path, script, spent, abandoned, calls
    ):
        """Guards against an error in place of a response that is still to come."""
        for _ in range(spent):
            self.retry_budget.try_spend(SERVICE)
        retries = self.retry_budget.counts["spent"]
        response = await self.send(path, script=script)
        self.assertEqual(200, response.status)
        self.assertEqual(abandoned, self.links.abandoned)
        self.assertEqual(calls, len(self.links.calls))
        self.assertEqual(calls - 1, self.retry_budget.counts["spent"] - retries)

    async def test_silent_destination_is_kept_if_there_is_no_other(self):
        """Guards against giving up an attempt for a retry that is never made."""
        choose = self.balancer.choose

        def choose_first(destinations, *, excluded, **details):
            if excluded:
                return None
            return choose(destinations, excluded=excluded, **details)

        with patch.object(self.balancer, "choose", choose_first):
            response = await self.send(script=[SILENCE])
        self.assertEqual(200, response.status)
        self.assertEqual([False], self.links.abandoned)
        self.assertEqual(0, self.retry_budget.counts["spent"])

    @parameterized.expand(
        [
            ("no time for another attempt", 0.0, []),
            ("others may refuse it", 10.0, [OVERLOADED_REPLY] * MAX_REFUSALS),
        ]
    )
    async def test_stopping_daemon_does_not_abandon_a_silent_destination(
        self, _, seconds, script
    ):
        """Guards against breaking off, during a stop, a request that is being run."""
        clock = self.clock

        def stop():
            self.forwarder.stop_answering(clock.monotonic() + seconds)

        self.links.on_silence = stop
        response = await self.send(script=[SILENCE, *script])
        self.assertEqual((200, [False]), (response.status, self.links.abandoned))

    @parameterized.expand(
        [
            # Deadline in ms, whether earlier requests were refused, and what the call
            # says: seconds for which it is useful, and whether it is overdue.
            ("first attempt", 700, True, 0.4, False),
            ("sent again at once", 590, True, 0.332, False),
            ("sent again late", 350, True, 0.14, True),
            ("short deadline without a refusal", 350, False, 0.35, False),
        ]
    )
    async def test_request_that_its_caller_sends_again(
        self, _, deadline_ms, refused, useful_for, overdue
    ):
        """Guards against serving late requests before those that can be on time."""
        for _ in range(40):
            await self.send(script=[make_answer()])
        if refused:
            await self.send(script=[OVERLOADED_REPLY] * MAX_REFUSALS)
        self.links.calls.clear()
        await self.send(script=[make_answer()], deadline_ms=str(deadline_ms))
        (call,) = self.links.calls
        self.assertEqual(overdue, call.overdue)
        now = self.clock.monotonic()
        self.assertAlmostEqual(now + useful_for, call.useful_until, delta=0.011)

    @parameterized.expand([("route", 0.1, 700), ("caller", 0.8, 100)])
    async def test_first_attempt_with_little_time_is_not_overdue(
        self, _, timeout, deadline_ms
    ):
        """Guards against a lower rank for routes with a timeout below their target."""
        self.table = decode_routes(make_configuration(timeout=timeout))
        await self.send(script=[make_answer()], deadline_ms=str(deadline_ms))
        (call,) = self.links.calls
        self.assertFalse(call.overdue)
        self.assertAlmostEqual(self.clock.monotonic() + 0.1, call.useful_until)

    async def test_retry_after_a_late_failure_waits_behind_others(self):
        """Guards against refusing a retry because it cannot be on time any more."""

        def fail_late():
            self.clock.advance(0.35)

        self.links.on_silence = fail_late
        response = await self.send(script=[SILENCE, make_answer()])
        self.assertEqual(200, response.status)
        first, second = self.links.calls
        self.assertEqual((False, True), (first.overdue, second.overdue))
        self.assertGreater(second.useful_until, first.useful_until)
        self.assertLess(second.useful_until, second.deadline)

    async def test_answer_is_passed_on(self):
        """Guards against altered responses, and calls with wrong deadlines."""
        response = await self.send(script=[make_answer(framed=False)])
        self.assertEqual(
            (200, b"x", False), (response.status, response.body, response.framed)
        )
        call = self.links.calls[0]
        now = self.clock.monotonic()
        self.assertAlmostEqual(now + 0.7, call.deadline)
        self.assertAlmostEqual(now + 0.4, call.useful_until)
        self.assertEqual(
            ("caller", "id", True, 2, 7),
            (
                call.caller_service,
                call.attempt_id,
                call.repeatable,
                call.rank,
                call.version,
            ),
        )

    async def test_time_of_a_long_body_counts(self):
        """Guards against runs for callers that have timed out.

        The caller's timeout includes the time to send a long body.
        """
        began_at = self.clock.monotonic()
        self.clock.advance(0.3)
        headers = (("host", "shop.example"), ("deadline-ms", "700"))
        self.links.script = [make_answer()]
        await self.forwarder.handle(
            CallerRequest("GET", "/read/1", headers, b"", began_at=began_at)
        )
        self.assertAlmostEqual(began_at + 0.7, self.links.calls[0].deadline)

    async def test_passed_deadline_is_not_reported_as_a_missing_server(self):
        """Guards against a search for missing servers when a deadline had passed."""
        began_at = self.clock.monotonic()
        self.clock.advance(1.0)
        headers = (("host", "shop.example"), ("deadline-ms", "700"))
        response = await self.forwarder.handle(
            CallerRequest("GET", "/read/1", headers, b"", began_at=began_at)
        )
        self.assertEqual((503, []), (response.status, self.links.calls))
        self.assertIn(("Almond-Code", "deadline_exceeded"), response.headers)

    def limit(self, tokens, *, rate=5):
        """Let the configuration name a tenant, and grant it some tokens."""
        tenant = {"name": "mill", "api_keys": ["k"], "rate_per_s": rate}
        self.table = decode_routes(make_configuration(tenants=[tenant]))
        self.forwarder._quotas = quotas = ScriptedQuotas(tokens)
        return quotas

    @parameterized.expand(
        [
            ("answered", [make_answer()], (1, 0)),
            ("refused as not run", [OVERLOADED_REPLY] * MAX_REFUSALS, (0, 0)),
            ("refused, then answered", [OVERLOADED_REPLY, make_answer()], (1, 0)),
            ("lost, then answered", [REPLY_LOST, make_answer()], (2, 0)),
            ("backend refused", [make_reply(ErrorCode.BACKEND_REFUSED)] * 2, (2, 0)),
        ]
    )
    async def test_tokens_of_a_request(self, _, script, expected):
        """Guards against tokens that are lost, or attempts that have none."""
        quotas = self.limit(9)
        await self.send(script=script, key="k")
        self.assertEqual(expected, quotas.count())

    async def test_retry_needs_a_token_of_its_own(self):
        """Guards against retries beyond the quota; the first attempt may have run."""
        quotas = self.limit(1)
        response = await self.send(script=[REPLY_LOST, make_answer()], key="k")
        self.assertEqual((504, 1), (response.status, len(self.links.calls)))
        self.assertEqual((1, 0), quotas.count())

    async def test_request_over_the_quota_is_refused(self):
        """Guards against refusals without the time to return, or after a run."""
        self.limit(0)
        response = await self.send(key="k")
        headers = dict(response.headers)
        self.assertEqual((429, []), (response.status, self.links.calls))
        self.assertEqual("1.250", headers["retry-after"])
        self.assertEqual("limited", headers["Almond-Code"])

    @parameterized.expand(
        [
            ("nested", {"rate": 5}, {"key": "k", "attempt_id": "parent.1"}),
            ("without a rate", {"rate": 0}, {"key": "k"}),
        ]
    )
    async def test_uncounted_request_needs_no_token(self, _, options, headers):
        """Guards against quotas on requests that count for no tenant."""
        self.limit(0, **options)
        self.running.add("parent")
        response = await self.send(script=[make_answer()], **headers)
        self.assertEqual(200, response.status)

    async def test_route_bounds_the_wait(self):
        """Guards against deadlines beyond the route's limit for a response."""
        await self.send(script=[make_answer()], deadline_ms="9000")
        left = self.links.calls[0].deadline - self.clock.monotonic()
        self.assertAlmostEqual(0.8, left)

    async def test_stopping_daemon_bounds_the_wait_for_a_slot(self):
        """Guards against requests that wait until their caller's daemon has ended.

        The deadline is not changed: a request that runs is not broken off for it.
        """
        stops_at = self.clock.monotonic() + 0.3
        self.forwarder.stop_answering(stops_at)
        await self.send(script=[make_answer()])
        call = self.links.calls[0]
        self.assertAlmostEqual(stops_at, call.useful_until)
        self.assertAlmostEqual(stops_at + 0.4, call.deadline)

    async def test_no_attempt_after_answers_have_ended(self):
        """Guards against attempts whose result this daemon can no longer send."""
        self.forwarder.stop_answering(self.clock.monotonic())
        response = await self.send(script=[make_answer()])
        self.assertEqual((503, []), (response.status, self.links.calls))
        self.assertIn(("Almond-Code", "stopping"), response.headers)
        self.assertIn("retry-after", dict(response.headers))

    async def test_stopping_daemon_serves_only_nested_calls(self):
        """Guards against refusing the calls of requests that a stop waits for."""
        self.forwarder.refuse_new_requests()
        self.running.add("parent")
        refused = await self.send(script=[make_answer()])
        self.assertEqual((503, []), (refused.status, self.links.calls))
        self.assertIn(("Almond-Code", "stopping"), refused.headers)
        self.assertIn("retry-after", dict(refused.headers))
        nested = await self.send(script=[make_answer()], attempt_id="parent.child")
        self.assertEqual(200, nested.status)

    @parameterized.expand([("in time", 0.41, 200, 1), ("late", 0.39, 503, 0)])
    async def test_nested_call_late_in_a_stop(self, _, left, status, sent):
        """Guards against requests that are taken and then cut at the end of the grace.

        The target latency of the route is 0.4 s.
        """
        self.forwarder.refuse_new_requests()
        self.forwarder.stop_answering(self.clock.monotonic() + left)
        self.running.add("parent")
        response = await self.send(script=[make_answer()], attempt_id="parent.child")
        self.assertEqual((status, sent), (response.status, len(self.links.calls)))
        if not sent:
            self.assertIn(("Almond-Code", "stopping"), response.headers)

    async def test_withdrawn_request_is_not_tried_elsewhere(self):
        """Guards against a second attempt of a request that its daemon withdrew."""
        withdrawn = make_reply(ErrorCode.CALL_CANCELLED)
        response = await self.send("/pay/1", script=[withdrawn, make_answer()])
        self.assertEqual((503, 1), (response.status, len(self.links.calls)))

    @parameterized.expand(
        [
            ("/none/", "shop.example", 404, "class_unknown"),
            ("/read/", "none.example", 404, "class_unknown"),
        ]
    )
    async def test_unknown_route(self, path, host, status, code):
        """Guards against forwarding a request that matches no route."""
        response = await self.send(path, host=host)
        self.assertEqual(status, response.status)
        self.assertIn(("Almond-Code", code), response.headers)
        self.assertEqual([], self.links.calls)

    async def test_no_configuration_yet(self):
        """Guards against 404 instead of 503 before the first configuration."""
        self.table = None
        response = await self.send()
        self.assertEqual(503, response.status)
        self.assertIn("retry-after", dict(response.headers))

    @parameterized.expand(
        [
            ("misses are free", [ErrorCode.NO_BACKEND] * 4, 5, 200),
            ("link is lost", [ErrorCode.PEER_UNAVAILABLE], 2, 200),
            ("refusals end", [ErrorCode.OVERLOADED] * 5, MAX_REFUSALS, 503),
            ("time is over", [ErrorCode.DEADLINE_EXCEEDED], 1, 503),
        ]
    )
    async def test_not_run_is_tried_elsewhere(self, _, codes, sent, status):
        """Guards against refusing a request while another server has free slots."""
        script = [self.make_error(code) for code in codes] + [make_answer()]
        response = await self.send("/pay/1", script=script)
        self.assertEqual((status, sent), (response.status, len(self.links.calls)))
        self.assertEqual(sent, len({call.backend for call in self.links.calls}))
        if status == 503:
            delay = float(dict(response.headers)["retry-after"])
            self.assertTrue(0 < delay < 0.4)

    @parameterized.expand(
        [
            ("safe repeated", "/read/1", UNKNOWN, ErrorCode.BACKEND_FAILED, 2, 200),
            ("unsafe unknown", "/pay/1", UNKNOWN, ErrorCode.BACKEND_FAILED, 1, 502),
            ("unsafe late", "/pay/1", UNKNOWN, ErrorCode.PEER_TIMEOUT, 1, 504),
            ("unsafe shed", "/pay/1", NOT_RUN, ErrorCode.BACKEND_REFUSED, 2, 200),
        ]
    )
    async def test_retry_after_an_attempt_that_may_have_run(
        self, _, path, outcome, code, sent, status
    ):
        """Guards against second runs of unrepeatable requests and false ``NOT_RUN``."""
        script = [self.make_error(code, outcome), make_answer()]
        response = await self.send(path, script=script)
        self.assertEqual((status, sent), (response.status, len(self.links.calls)))

    async def test_refusal_after_an_unknown_outcome_is_not_reported(self):
        """Guards against ``NOT_RUN`` for a request whose first attempt may have run."""
        script = [self.make_error(ErrorCode.BACKEND_FAILED, UNKNOWN)]
        script += [self.make_error(ErrorCode.OVERLOADED)] * 5
        self.assertEqual(502, (await self.send(script=script)).status)

    @parameterized.expand([("/read/1", 2, 200), ("/pay/1", 1, 500)])
    async def test_failure_of_the_backend_server(self, path, sent, status):
        """Guards against retrying unrepeatable requests, and not retrying others."""
        response = await self.send(path, script=[make_answer(500), make_answer()])
        self.assertEqual((status, sent), (response.status, len(self.links.calls)))

    async def test_attempts_are_bounded(self):
        """Guards against more attempts than the route allows."""
        response = await self.send(script=[make_answer(500)] * 9)
        self.assertEqual((500, 2), (response.status, len(self.links.calls)))

    async def test_empty_budget_ends_retries(self):
        """Guards against retries that amplify an overload."""
        while self.retry_budget.try_spend(SERVICE):
            pass
        response = await self.send(script=[make_answer(500), make_answer()])
        self.assertEqual((500, 1), (response.status, len(self.links.calls)))

    async def test_retry_needs_time(self):
        """Guards against retries that cannot complete before the deadline."""
        script = [self.make_error(ErrorCode.BACKEND_FAILED, UNKNOWN), make_answer()]
        response = await self.send(script=script, deadline_ms="100")
        self.assertEqual((502, 1), (response.status, len(self.links.calls)))

    @parameterized.expand([("parent runs here", True), ("unknown parent", False)])
    async def test_nested(self, _, running):
        """Guards against nested calls that queue behind new requests.

        Their parent request holds a slot meanwhile.
        """
        if running:
            self.running.add("parent")
        await self.send(script=[make_answer()], attempt_id="parent.child")
        call = self.links.calls[0]
        self.assertEqual(running, call.nested)
        # Refusing a nested call fails its parent, so a late response is still useful.
        useful_for = call.useful_until - self.clock.monotonic()
        self.assertAlmostEqual(0.7 if running else 0.4, useful_for)

    @parameterized.expand(
        [
            ("short", b"x", [make_answer()], [CallRequest], 200),
            (
                "taken",
                LONG_BODY,
                [OFFER_ACCEPTED, make_answer()],
                [BodyOffer, CallRequest],
                200,
            ),
            (
                "refused",
                LONG_BODY,
                [OVERLOADED_REPLY] * MAX_REFUSALS,
                [BodyOffer] * MAX_REFUSALS,
                503,
            ),
            (
                "lost",
                LONG_BODY,
                [REPLY_LOST, OFFER_ACCEPTED, make_answer()],
                SECOND_OFFER_ACCEPTED,
                200,
            ),
        ]
    )
    async def test_long_body_is_offered_first(self, _, body, script, sent, status):
        """Guards against sending long bodies to destinations that refuse them."""
        self.balancer.max_wait = 0.1
        response = await self.send(script=script, body=body)
        last = self.links.calls[-1]
        if body is LONG_BODY and isinstance(last, CallRequest):
            self.assertEqual(-1.0, last.max_wait)
        self.assertEqual(sent, [type(call) for call in self.links.calls])
        self.assertEqual(status, response.status)

    async def test_busier_destination_does_not_count_as_refusal(self):
        """Guards against refusing callers because of an outdated load report."""
        busier = make_reply(ErrorCode.BUSIER_THAN_EXPECTED)
        self.balancer.max_wait = 0.1
        response = await self.send(script=[busier] * 2 + [make_answer()])
        self.assertEqual(200, response.status)
        waits = [call.max_wait for call in self.links.calls]
        self.assertEqual([0.1] * MAX_CORRECTIONS + [-1.0], waits)

    async def test_newer_version_is_reported(self):
        """Guards against a daemon that does not notice its outdated configuration."""
        reply = msgspec.structs.replace(make_answer(), version=9)
        await self.send(script=[reply])
        self.assertEqual([9], self.newer_versions)
