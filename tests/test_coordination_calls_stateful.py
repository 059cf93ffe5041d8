"""Stateful test of call outcomes under faults of links, daemons, callers and store."""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from almondrouter.clock import ManualClock
from almondrouter.errors import ErrorCode
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.transport.calls import CallerRequest
from almondrouter_standins.call_dependencies import HOLD
from almondrouter_standins.call_fleet import ManualLoop, UnreliableFleet
from calls_support import make_key

HOSTS = ("h1", "h2", "h3")
HOST = st.sampled_from(HOSTS)
EVENT_LOOP_PASSES = 60
LATEST_DEADLINE_S = 11.0
SHED = CallError(ErrorCode.BACKEND_REFUSED, "shed", outcome=Outcome.NOT_RUN)
TRUNCATED = CallError(ErrorCode.BACKEND_FAILED, "truncated", outcome=Outcome.UNKNOWN)
ENDINGS = (None, None, TRUNCATED)


class CallMachine(RuleBasedStateMachine):
    """Injects calls and faults in any order and compares outcomes with actual runs."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.loop = ManualLoop(self.clock)
        self.responses = {}
        self.keys = []
        self.request_count = 0
        self.run(self.set_up())

    async def set_up(self):
        self.fleet = UnreliableFleet(self.clock, HOSTS)
        for backend in self.fleet.backends.values():
            backend.run_result = HOLD

    def run(self, coroutine):
        async def settle():
            await coroutine
            for _ in range(EVENT_LOOP_PASSES):
                await asyncio.sleep(0)

        self.loop.run_until_complete(settle())

    async def call_in_loop(self, function, *args):
        function(*args)

    @rule(host=HOST, order=st.permutations(HOSTS), with_key=st.booleans())
    def send_new(self, host, order, with_key):
        """Send a new request; ``order`` is the order in which hosts are tried."""
        self.send(host, order, with_key)

    def send(self, host, order, with_key):
        index = None
        if with_key:
            self.keys.append(make_key(self.clock, number=len(self.keys)))
            index = len(self.keys) - 1
        self.run(self.start_call(host, order, index))

    @rule(order=st.permutations(HOSTS), with_key=st.booleans())
    def send_to_frozen_host(self, order, with_key):
        """Send a new request that is buffered on the link to a frozen host."""
        self.fleet.frozen.setdefault(order[0], [])
        self.send(order[1], order, with_key)

    @precondition(lambda self: self.keys)
    @rule(host=HOST, order=st.permutations(HOSTS), data=st.data())
    def send_again(self, host, order, data):
        """Resend a request with a known idempotency key."""
        index = data.draw(st.integers(0, len(self.keys) - 1))
        self.run(self.start_call(host, order, index))

    async def start_call(self, host, order, index):
        self.request_count += 1
        request_number = str(self.request_count)
        body = f"key {index}" if index is not None else f"request {request_number}"
        class_name = "read" if index is None else "write"
        headers = [("almond-class", class_name), ("x-request-number", request_number)]
        if index is not None:
            headers.append(("idempotency-key", self.keys[index]))
        self.fleet.incarnations = {
            name: self.fleet.incarnations[name] for name in order
        }
        request = CallerRequest("POST", "/", tuple(headers), body.encode())
        serving = self.fleet.services[host].handle_caller(request)
        self.responses[request_number] = (self.fleet.spawn(host, serving), body)

    @rule(data=st.data(), run_result=st.sampled_from(ENDINGS))
    def end_run(self, data, run_result):
        """End a run at a backend server."""
        held = self.list_held_results()
        if held:
            chosen = held[data.draw(st.integers(0, len(held) - 1))]
            self.run(self.call_in_loop(chosen.set_result, run_result))

    @rule(run_result=st.sampled_from(ENDINGS))
    def end_all_runs(self, run_result):
        """End all runs at all backend servers."""
        for future in self.list_held_results():
            self.run(self.call_in_loop(future.set_result, run_result))

    def list_held_results(self):
        backends = self.fleet.backends.values()
        return [
            future for backend in backends for future in backend.list_held_results()
        ]

    @rule(seconds=st.sampled_from([0.1, 0.5, 4.0, LATEST_DEADLINE_S]))
    def advance(self, seconds):
        """Advance the clock, and wake calls that wait for slots at their deadline."""

        def pass_time():
            self.clock.advance(seconds)
            for admission in self.fleet.admissions.values():
                admission.wake()

        self.run(self.call_in_loop(pass_time))

    @rule(host=HOST, fault=st.sampled_from(["cut", "freeze", "crash", "shed", "full"]))
    def fail_host(self, host, fault):
        """Inject a fault of a host or of its links."""
        if fault == "cut":
            self.run(self.call_in_loop(self.fleet.cut_links, host))
        elif fault == "freeze":
            self.fleet.frozen.setdefault(host, [])
        elif fault == "crash":
            self.run(self.call_in_loop(self.fleet.crash, host))
        elif fault == "shed":
            self.fleet.backends[host].run_result = SHED
        else:
            self.fleet.admissions[host].refusal = ErrorCode.OVERLOADED

    @rule(fault=st.sampled_from(["down", "lost", "unreleased", "slow"]))
    def fail_store(self, fault):
        """Inject a partial fault of the store."""
        claims = self.fleet.claims
        claims.available = fault != "down"
        claims.claim_response_lost = fault == "lost"
        claims.can_release = fault != "unreleased"
        if fault == "slow" and claims.held is None:
            claims.held = asyncio.Event()

    @rule()
    def recover_store(self):
        """End all faults of the store and answer the pending requests."""
        claims = self.fleet.claims
        claims.available = claims.can_release = True
        claims.claim_response_lost = False
        held, claims.held = claims.held, None
        if held is not None:
            self.run(self.call_in_loop(held.set))

    @rule(host=HOST)
    def recover_host(self, host):
        """End the faults of a host and deliver its buffered messages, however late."""
        self.fleet.backends[host].run_result = HOLD
        self.fleet.admissions[host].refusal = None
        self.run(self.call_in_loop(self.fleet.resume, host))

    @rule(data=st.data())
    def cancel_caller(self, data):
        """Cancel the request of a caller."""
        waiting = [task for task, _ in self.responses.values() if not task.done()]
        if waiting:
            chosen = waiting[data.draw(st.integers(0, len(waiting) - 1))]
            self.run(self.call_in_loop(chosen.cancel))

    def teardown(self):
        """End all faults and runs, then compare all outcomes with all runs."""
        self.recover_store()
        self.advance(LATEST_DEADLINE_S)
        for host in HOSTS:
            self.recover_host(host)
        for _ in range(3):
            self.advance(LATEST_DEADLINE_S)
        self.end_all_runs(None)
        for _ in range(3):
            self.advance(LATEST_DEADLINE_S)
        self.check_outcomes()
        for host in HOSTS:
            assert self.fleet.admissions[host].in_use == 0, f"slots leaked on {host}"
            assert self.fleet.quarantines[host].in_flight == 0
        assert self.fleet.balancer.in_flight == 0
        self.loop.run_until_complete(self.loop.shutdown_asyncgens())
        self.loop.close()

    def check_outcomes(self):
        runs = [run for b in self.fleet.backends.values() for run in b.runs]
        bodies = [body.decode() for body, _ in runs]
        ran = {headers["x-request-number"] for _, headers in runs}
        late = [sent for _, sent in runs if sent["almond-deadline-ms"] == "0"]
        assert not late, f"sent to the backend server after the deadline: {late}"
        for body in set(bodies):
            if body.startswith("key"):
                assert bodies.count(body) == 1, f"{body} ran more than once"
        for request_number, (task, body) in self.responses.items():
            assert task.done(), f"request {request_number} has no response"
            if task.cancelled():
                continue
            response = task.result()
            outcome = dict(response.headers)["Almond-Outcome"]
            if outcome == Outcome.NOT_RUN:
                assert request_number not in ran, (
                    f"request {request_number} has outcome not-run but ran"
                )
            elif outcome == Outcome.COMPLETE:
                assert response.body == f"answer {body}".encode()
                assert body in bodies


CallMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=200,
    stateful_step_count=50,
)


class CallMachineTest(CallMachine.TestCase):
    """Guards against double runs, false not-run, wrong responses and leaks."""


def load_tests(loader, tests, pattern):
    """Load only the named test case, not the one that hypothesis generates."""
    return unittest.TestSuite([loader.loadTestsFromTestCase(CallMachineTest)])
