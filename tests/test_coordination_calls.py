"""Calls: outcomes, alternative destinations, retries, shared runs and claims."""

from __future__ import annotations

import asyncio
import unittest

import msgspec
from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.ingress import read_call
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import ClaimQuery
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.snapshot import EMPTY_SNAPSHOT
from almondrouter.transport.calls import CallerRequest
from almondrouter_standins.call_dependencies import HOLD
from almondrouter_standins.call_fleet import Fleet
from calls_support import make_key, make_request, wait_until

WRITE = {"class_name": "write"}
NOT_RUN, UNKNOWN, COMPLETE = Outcome.NOT_RUN, Outcome.UNKNOWN, Outcome.COMPLETE


def make_failure(code, outcome=UNKNOWN):
    """Return an error of a call."""
    return CallError(code, "failed", outcome=outcome)


class _FailingLinks:
    """Fails a number of attempts on the link to a host."""

    def __init__(self, host, *, times):
        self._host = host
        self._times = times

    def __contains__(self, host):
        if host != self._host or not self._times:
            return False
        self._times -= 1
        return True


class CallServiceTest(unittest.IsolatedAsyncioTestCase):
    """Calls in a fleet of three hosts whose links are function calls."""

    def setUp(self):
        self.clock = ManualClock()
        self.fleet = Fleet(self.clock, ["h1", "h2", "h3"])

    def call(self, class_name="read", *, host="h1", body=b"body", **headers):
        pairs = [("almond-class", class_name)]
        pairs += [(name.replace("_", "-"), value) for name, value in headers.items()]
        request = CallerRequest("POST", "/", tuple(pairs), body)
        return self.fleet.services[host].handle_caller(request)

    def start_call(self, *args, **options):
        return asyncio.create_task(self.call(*args, **options))

    def start_write(self, number=0, **options):
        key = make_key(self.clock, number=number)
        return self.start_call("write", idempotency_key=key, **options)

    def assert_response(self, response, status, outcome, code=""):
        headers = dict(response.headers)
        found = (response.status, headers["Almond-Outcome"], headers["Almond-Code"])
        self.assertEqual((status, outcome, code), found)
        self.assertEqual("7", headers["Almond-Version"])
        self.assertEqual(0, self.fleet.balancer.in_flight)

    def count_runs(self):
        return sum(len(backend.runs) for backend in self.fleet.backends.values())

    def end_runs(self, run_result=None):
        for backend in self.fleet.backends.values():
            for future in backend.list_held_results():
                future.set_result(run_result)

    async def start_call_with_held_claim(self):
        self.fleet.claims.held = asyncio.Event()
        task = self.start_write()
        await wait_until(lambda: self.fleet.admissions["h1"].in_use)
        return task

    async def test_complete_response(self):
        """Guards against lost headers, and against forwarding connection headers."""
        response = await self.call(
            cookie="c", connection="cookie2", cookie2="d", traceparent="bad"
        )
        self.assert_response(response, 200, COMPLETE)
        self.assertEqual(b"answer body", response.body)
        self.assertIn(("x", "y"), response.headers)
        _, headers = self.fleet.backends["h1"].runs[0]
        self.assertEqual("10000", headers.pop("almond-deadline-ms"))
        self.assertEqual("1", headers.pop("almond-send-id"))
        self.assertEqual(
            {"cookie": "c", "almond-attempt": "1", "almond-class": "read"}, headers
        )

    @parameterized.expand(
        [
            ("no class", {"class_name": ""}),
            ("class", {"class_name": "x"}, 404, "class_unknown"),
            ("service", {"almond_service": "x"}, 404, "service_unknown"),
            ("no key", {"class_name": "write"}, 400, "key_missing"),
            ("bad key", {**WRITE, "idempotency_key": "x" * 36}, 400, "key_invalid"),
            ("long key", {**WRITE, "idempotency_key": "x" * 9999}),
            ("past", {"almond_timeout_ms": "0"}, 503, "deadline_exceeded"),
            ("negative", {"almond_timeout_ms": "-5"}),
            ("far", {"almond_timeout_ms": "9" * 200}),
            ("digits", {"almond_timeout_ms": "\u0665"}),
            ("attempt", {"almond_attempt": "x"}),
        ]
    )
    async def test_bad_headers_are_refused(
        self, _, options, status=400, code="header_invalid"
    ):
        """Guards against running invalid requests, and wrong error codes."""
        response = await self.call(**options)
        self.assert_response(response, status, NOT_RUN, code)
        self.assertEqual(0, self.count_runs())

    async def test_header_given_twice_is_refused(self):
        """Guards against a class or key that the backend server reads differently."""
        request = CallerRequest("POST", "/t", (("almond-class", "read"),) * 2, b"")
        response = await self.fleet.services["h1"].handle_caller(request)
        self.assert_response(response, 400, NOT_RUN, "header_invalid")

    async def test_timeout_only_shortens_the_deadline(self):
        """Guards against deadlines beyond the limit of the class."""
        for text, expected in (("500", "500"), ("99999999", "10000")):
            await self.call(almond_timeout_ms=text)
            _, headers = self.fleet.backends["h1"].runs[-1]
            self.assertEqual(expected, headers["almond-deadline-ms"])

    async def test_expired_key_is_unknown(self):
        """Guards against not-run for a request that may have run when first sent."""
        key = make_key(self.clock, age=541)
        response = await self.call("write", idempotency_key=key)
        self.assert_response(response, 502, UNKNOWN, "key_expired")

    async def test_daemon_without_configuration_is_not_ready(self):
        """Guards against calls before a configuration is in force."""
        with self.assertRaises(CallError) as caught:
            read_call(CallerRequest("GET", "/", (), b""), EMPTY_SNAPSHOT, self.clock)
        self.assertEqual(ErrorCode.NOT_READY, caught.exception.code)

    @parameterized.expand(
        [("overloaded", 3), ("no_backend", 3), ("deadline_exceeded", 1)]
    )
    async def test_not_run_is_placed_elsewhere(self, code, choices):
        """Guards against failing at one busy host, and against unlimited attempts."""
        for host in ("h1", "h2", "h3"):
            self.fleet.admissions[host].refusal = ErrorCode(code)
        self.assert_response(await self.call(), 503, NOT_RUN, code)
        self.assertEqual(choices, len(self.fleet.balancer.outcomes))
        self.fleet.admissions["h3"].refusal = None
        if choices > 1:
            self.assert_response(await self.call(), 200, COMPLETE)

    async def test_unreachable_hosts_are_passed_over(self):
        """Guards against failing a call because a host is unreachable."""
        self.fleet.unreachable = {"h2"}
        self.fleet.admissions["h1"].refusal = ErrorCode.OVERLOADED
        self.assert_response(await self.call(), 200, COMPLETE)
        self.assertEqual(1, len(self.fleet.backends["h3"].runs))

    @parameterized.expand([("", 10, 2), ("1", 10, 1), ("2", 10, 1), ("", 0, 1)])
    async def test_retry(self, attempt, budget, runs):
        """Guards against retries that multiply at each level of nested calls.

        The first attempt carries a number too, since nested calls fail before the
        call that causes them.
        """
        self.fleet.budget.remaining = budget
        self.fleet.backends["h1"].run_result = make_failure(ErrorCode.BACKEND_FAILED)
        marked = {"almond_attempt": attempt} if attempt else {}
        response = await self.call(**marked)
        _, first = self.fleet.backends["h1"].runs[0]
        self.assertEqual(attempt or "1", first["almond-attempt"])
        self.assertEqual(runs, self.count_runs())
        if runs == 1:
            self.assert_response(response, 502, UNKNOWN, "backend_failed")
        else:
            self.assert_response(response, 200, COMPLETE)
            _, headers = self.fleet.backends["h2"].runs[0]
            self.assertEqual("2", headers["almond-attempt"])

    async def test_refusal_after_a_sending_that_may_have_run(self):
        """Guards against not-run when an earlier attempt may have run."""
        self.fleet.backends["h1"].run_result = make_failure(ErrorCode.BACKEND_FAILED)
        for host in ("h2", "h3"):
            self.fleet.admissions[host].refusal = ErrorCode.OVERLOADED
        self.assert_response(await self.call(), 502, UNKNOWN, "backend_failed")

    async def test_unrepeatable_call_is_not_retried(self):
        """Guards against a second run of a request that is not repeatable."""
        self.fleet.backends["h1"].run_result = make_failure(ErrorCode.BACKEND_FAILED)
        self.assert_response(await self.start_write(), 502, UNKNOWN, "backend_failed")
        self.assertEqual(1, self.count_runs())
        self.assertEqual([True], self.fleet.admissions["h1"].failed)

    @parameterized.expand(
        [
            ("condemned", 409),
            ("limited", 429),
            ("limit_unavailable", 503),
            ("claim_unavailable", 503),
        ]
    )
    async def test_refusals_before_the_backend_server(self, code, status):
        """Guards against running calls that a check refuses."""
        if code == "condemned":
            self.fleet.quarantines["h1"].condemned = True
        elif code == "claim_unavailable":
            self.fleet.claims.available = False
        else:
            self.fleet.limits.refusal = ErrorCode(code)
        self.assert_response(await self.start_write(), status, NOT_RUN, code)
        self.assertEqual(0, self.count_runs())
        self.assertEqual(0, self.fleet.admissions["h1"].in_use)

    async def test_repeatable_calls_need_no_store(self):
        """Guards against a store outage that fails repeatable calls."""
        self.fleet.claims.available = False
        self.assert_response(await self.call(), 200, COMPLETE)

    async def test_slow_store_holds_no_slots(self):
        """Guards against waiting for the store with a slot that other classes need."""
        task = await self.start_call_with_held_claim()
        await wait_until(lambda: not self.fleet.admissions["h1"].in_use)
        self.assertFalse(task.done())
        self.fleet.claims.held.set()
        self.assert_response(await task, 200, COMPLETE)
        self.assertEqual(0, self.fleet.admissions["h1"].in_use)

    async def test_deadline_is_checked_right_before_sending(self):
        """Guards against running an expired request after a daemon was frozen."""
        task = await self.start_call_with_held_claim()
        self.clock.advance(11)
        self.fleet.claims.held.set()
        self.assert_response(await task, 503, NOT_RUN, "deadline_exceeded")
        self.assertEqual(0, self.count_runs())
        self.assertEqual({}, self.fleet.claims.by_key)

    async def test_refused_by_the_backend_server_releases_the_claim(self):
        """Guards against a key that stays claimed for a request that did not run."""
        for backend in self.fleet.backends.values():
            backend.run_result = make_failure(ErrorCode.BACKEND_REFUSED, NOT_RUN)
        self.assert_response(await self.start_write(), 503, NOT_RUN, "backend_refused")
        self.assertEqual({}, self.fleet.claims.by_key)
        self.fleet.backends["h1"].run_result = None
        self.assert_response(await self.start_write(), 200, COMPLETE)

    async def test_claim_that_could_not_be_released_is_taken_over(self):
        """Guards against a store outage that blocks the key of a refused request."""
        self.fleet.claims.can_release = False
        self.fleet.backends["h1"].run_result = make_failure(
            ErrorCode.BACKEND_REFUSED, NOT_RUN
        )
        self.assert_response(await self.start_write(), 200, COMPLETE)
        self.assertEqual("h2", next(iter(self.fleet.claims.by_key.values())).host)

    async def test_same_key_joins_and_replays(self):
        """Guards against a second run of a key on the same or another host."""
        self.fleet.backends["h1"].run_result = HOLD
        first, second = self.start_write(), self.start_write()
        await wait_until(lambda: self.count_runs())
        third = self.start_write(host="h2")
        self.end_runs()
        for task in (first, second, third, self.start_write()):
            response = await task
            self.assert_response(response, 200, COMPLETE)
            self.assertEqual(b"answer body", response.body)
        self.assertEqual(1, self.count_runs())

    async def test_query_of_the_holder_is_repeated(self):
        """Guards against unknown for a resend when single link attempts fail."""
        self.assert_response(await self.start_write(), 200, COMPLETE)
        key, deadline = make_key(self.clock), self.clock.monotonic() + 5
        request = make_request(
            b"body", deadline=deadline, key=key, backend="b-h2", class_name="write"
        )
        self.fleet.unreachable = _FailingLinks("h1", times=2)
        reply = await self.fleet.services["h2"].handle_link(request)
        self.assertEqual((COMPLETE, b"answer body"), (reply.outcome, reply.body))
        self.assertEqual(1, self.count_runs())

    async def test_other_host_asks_the_holder(self):
        """Guards against a second run when another host is chosen for a resend."""
        self.assert_response(await self.start_write(), 200, COMPLETE)
        key, deadline = make_key(self.clock), self.clock.monotonic() + 5
        request = make_request(
            b"body", deadline=deadline, key=key, backend="b-h2", class_name="write"
        )
        reply = await self.fleet.services["h2"].handle_link(request)
        self.assertEqual((COMPLETE, b"answer body"), (reply.outcome, reply.body))
        self.fleet.unreachable = {"h1"}
        request = msgspec.structs.replace(request, backend="b-h3")
        reply = await self.fleet.services["h3"].handle_link(request)
        self.assertEqual((UNKNOWN, "key_claimed"), (reply.outcome, reply.code))
        self.assertEqual(1, self.count_runs())

    async def test_restarted_holder_knows_nothing(self):
        """Guards against not-run from a daemon that lost its state in a restart."""
        self.assert_response(await self.start_write(), 200, COMPLETE)
        claim = next(iter(self.fleet.claims.by_key.values()))
        self.fleet.incarnations["h1"] = 2
        self.fleet.start("h1")
        query = ClaimQuery(1, claim.key, claim.claim_id, self.clock.monotonic() + 1)
        reply = await self.fleet.services["h1"].handle_link(query)
        self.assertEqual(UNKNOWN, reply.outcome)
        self.assert_response(await self.start_write(), 502, UNKNOWN, "key_claimed")
        self.assertEqual(1, self.count_runs())

    async def test_query_for_another_claim_is_unknown(self):
        """Guards against answering a query with the run of a different claim."""
        task = await self.start_call_with_held_claim()
        deadline = self.clock.monotonic() + 1
        query = ClaimQuery(1, make_key(self.clock), "older", deadline)
        asking = asyncio.create_task(self.fleet.services["h1"].handle_link(query))
        await asyncio.sleep(0)
        self.fleet.claims.available = False
        self.fleet.claims.held.set()
        self.assert_response(await task, 503, NOT_RUN, "claim_unavailable")
        self.assertEqual(UNKNOWN, (await asking).outcome)

    async def test_forgotten_run_is_not_repeated(self):
        """Guards against a second run under an own claim whose run was evicted."""
        self.fleet.services["h1"]._once._replay_cache._max_bytes = 10
        self.assert_response(await self.start_write(), 200, COMPLETE)
        self.assert_response(await self.start_write(), 502, UNKNOWN, "key_claimed")
        self.assertEqual(1, self.count_runs())

    async def test_key_with_other_content_is_unknown(self):
        """Guards against returning the response of a different request."""
        self.assert_response(await self.start_write(), 200, COMPLETE)
        response = await self.start_write(body=b"other")
        self.assert_response(response, 502, UNKNOWN, "key_claimed")

    async def test_last_caller_that_goes_cancels_the_run(self):
        """Guards against runs without callers, and cancelling runs that have one."""
        self.fleet.backends["h1"].run_result = HOLD
        first, second = self.start_write(), self.start_write()
        await wait_until(lambda: self.count_runs())
        first.cancel()
        await asyncio.wait([first])
        self.assertEqual(1, self.fleet.admissions["h1"].in_use)
        second.cancel()
        await wait_until(lambda: not self.fleet.admissions["h1"].in_use)
        self.assertEqual([False], self.fleet.quarantines["h1"].failed_runs)
        self.assert_response(await self.start_write(), 502, UNKNOWN, "call_cancelled")

    async def test_cancelled_before_sending_releases_the_claim(self):
        """Guards against a key that stays claimed after its caller has cancelled."""
        task = await self.start_call_with_held_claim()
        task.cancel()
        await asyncio.wait([task])
        self.fleet.claims.held.set()
        memory = self.fleet.services["h1"]._once._replay_cache
        await wait_until(lambda: not memory.list_in_flight())
        self.assertEqual({}, self.fleet.claims.by_key)
        self.assert_response(await self.start_write(), 200, COMPLETE)

    async def test_suspects_run_one_at_a_time(self):
        """Guards against a crash with two suspects, which condemns neither of them."""
        for host in ("h1", "h2", "h3"):
            self.fleet.quarantines[host].suspect = True
            self.fleet.backends[host].run_result = HOLD
        tasks = [self.start_call(body=b"%d" % i) for i in range(4)]
        await wait_until(lambda: any(task.done() for task in tasks))
        self.assertEqual(3, self.count_runs())
        response = await next(task for task in tasks if task.done())
        self.assertIn(("Almond-Outcome", "not-run"), response.headers)
        self.assertIn(("Almond-Code", "overloaded"), response.headers)
        self.end_runs()
        await asyncio.gather(*tasks)
