"""Explanations of where requests would go, against where they go."""

from __future__ import annotations

import random
import unittest
from collections import Counter

import msgspec
from parameterized import parameterized

from almondctl.calls import format_explanation
from almondrouter.clock import ManualClock
from almondrouter.coordination.callexplanation import CallExplainer
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.fleetretries import FleetRetryBudget, FleetRetryLimits
from almondrouter.coordination.forwarding import Forwarder
from almondrouter.coordination.placement import LowestCostPolicy
from almondrouter.coordination.rollouts.versions import VersionFilter
from almondrouter.coordination.tenants.admission import TenantAdmission
from almondrouter.coordination.weights import TrafficSplitter
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import Load, RolloutPlan
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import make_reply
from almondrouter.state.hosts import BackendEntry, HostEntry, ServingState
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.state.rollouts import RolloutOrder, RolloutPhase
from almondrouter.state.routes import RouteTarget, ServiceShare
from almondrouter.state.tenants import TenantPolicy, TenantTable, digest_key
from almondrouter.transport.calls import CallerRequest, CallLinks
from almondrouterd.platform.configuration import decode_routes
from almondrouterd.platform.headers import PlatformDialect
from almondrouterd.platform.operators import OperatorEndpoint
from platform_support import SERVICE, make_configuration
from quota_replay import Fleet

KEY = "secret-key-of-mill"
SEEDS = 300
HOSTS = 9
OTHER = "invoices"


class RecordingLinks(CallLinks):
    """Refuses each call as overloaded, and records its backend server."""

    def __init__(self):
        self.backends = []

    async def call(self, peer_address, request, *, abandon_silent=lambda: True):
        self.backends.append(request.backend)
        return make_reply(ErrorCode.OVERLOADED)


class ExplanationTest(unittest.IsolatedAsyncioTestCase):
    """A forwarder with the policy of the daemon, and links that only record."""

    def build(self, seed=1, *, has_backends=True, tenants=False, rollout=False):
        self.clock = ManualClock()
        self.links = RecordingLinks()
        self.unreachable, self.condemned_until = set(), None
        self.random = random.Random(seed)
        table = decode_routes(make_configuration())
        if tenants:
            mill = TenantPolicy("mill", 0)
            owners = {digest_key(KEY.encode()): "mill"}
            table = self.replace(table, tenants=TenantTable({"mill": mill}, owners))
        self.table = table
        directory = HostDirectory(clock=self.clock, is_alive=lambda _: True)
        for number in range(HOSTS if has_backends else 0):
            service = OTHER if number % 3 == 2 else SERVICE
            # In a roll-out, every other server of a service has the new version.
            version = ("v1", "v2")[number // 3 % 2] if rollout else ""
            started = 2000 if version == "v2" else 1000
            backend = BackendEntry(
                f"b{number}", started, service, 4, ServingState.READY, version
            )
            place = (f"z{number % 2}", "r") if number < 6 else ("far", "s")
            entry = HostEntry(f"h{number}", 1, *place, f"h{number}:1", backend)
            directory.put(entry)
        self.directory = directory
        self.versions = VersionFilter(directory, host="own", clock=self.clock)
        if rollout:
            self.versions.set_order(SERVICE, RolloutOrder(SERVICE, "v2", 12.0, 7))
            plan = RolloutPlan(
                SERVICE, 7, "v2", 12.0, 0.0, 5, 1, RolloutPhase.TRIAL, share=0.4,
                valid_until=self.clock.monotonic() + 9, servers=("b3", "b4"),
            )  # fmt: skip
            self.assertTrue(self.versions.accept_plan(plan))
        self.policy = LowestCostPolicy(
            host="own",
            data_centre="z0",
            region="r",
            occupancy=OccupancyTable(),
            random=self.random,
            clock=self.clock,
            is_reachable=lambda d: d.backend not in self.unreachable,
        )
        self.finished = []
        self.forwarder = Forwarder(
            table=lambda: self.table,
            directory=directory,
            balancer=self.policy,
            admission=TenantAdmission(PlatformDialect()),
            splitter=TrafficSplitter(self.random),
            retry_budget=FleetRetryBudget(
                FleetRetryLimits(0.2, 4.0, 10.0),
                count_hosts=lambda: 1,
                clock=self.clock,
            ),
            links=self.links,
            run_locally=None,
            is_running=set().__contains__,
            dialect=PlatformDialect(),
            clock=self.clock,
            random=self.random,
            host="own",
            own_service="caller",
            on_newer_version=lambda version, address: None,
            find_condemned_until=lambda call: self.condemned_until,
            on_finished=lambda *result: self.finished.append(result),
            versions=self.versions,
        )
        explainer = CallExplainer(self.forwarder, self.policy)
        self.endpoint = OperatorEndpoint(explainer, limits=lambda: self.table.limits)

    def replace(self, value, **changes):
        names = value.__dataclass_fields__
        return type(value)(**{n: getattr(value, n) for n in names} | changes)

    def split_routes(self):
        """Let the routes split their requests between two services."""
        shares = (ServiceShare(SERVICE, 2.0), ServiceShare(OTHER, 1.0))
        routes = self.table.hosts["shop.example"]
        changed: tuple[RouteTarget, ...] = tuple(
            self.replace(route, shares=shares) for route in routes
        )
        self.table = self.replace(self.table, hosts={"shop.example": changed})

    def report_loads(self, source):
        """Report random loads and failures of the backend servers."""
        for service in (SERVICE, OTHER):
            for found in self.directory.find_destinations(service):
                load = Load(
                    4, source.randrange(5), source.randrange(4), source.random() / 5,
                    demand=source.random() * 8,
                )  # fmt: skip
                self.policy.record_start(found)
                self.policy.record_end(
                    found, outcome=Outcome.COMPLETE, load=load, elapsed=0.1,
                    failed=source.random() < 0.3,
                )  # fmt: skip

    async def ask(self, target="/read/1", **changes):
        query = {"host": "shop.example", "target": target} | changes
        body = msgspec.json.encode(query)
        request = CallerRequest("POST", "/explain/call", (), body)
        response = await self.endpoint.handle(request)
        self.assertNotIn(KEY.encode(), response.body)
        return response.status, msgspec.json.decode(response.body)

    async def send(self, target="/read/1", body=b""):
        headers = (("host", "shop.example"), ("attempt-id", "id"))
        request = CallerRequest("GET", target, headers, body)
        return await self.forwarder.handle(request)

    async def test_explanation_holds_for_the_next_request(self):
        """Guards against an explanation that differs from what is done, or changes it.

        Questions between the requests must not move credits, random state or counts.
        """
        for seed in range(SEEDS):
            self.build(seed, rollout=seed % 2 == 1)
            self.split_routes()
            source = random.Random(seed)
            for _ in range(3):
                self.report_loads(source)
                self.unreachable = {
                    f"b{n}" for n in range(HOSTS) if source.random() < 0.3
                }
                size = source.choice((0, 900, 40_000))
                before = (self.random.getstate(), dict(self.policy.choices))
                await self.ask("/pay/1", nested=True)
                status, answer = await self.ask(body_bytes=size)
                after = (self.random.getstate(), dict(self.policy.choices))
                self.assertEqual((200, before), (status, after))
                self.links.backends.clear()
                await self.send(body=bytes(size))
                # A body that needs an offer is offered to the same server.
                expected = [b for b in (answer["chosen"], answer["second"]) if b]
                self.assertEqual(expected, self.links.backends[:2], seed)
                costs = {c["backend"]: c for c in answer["candidates"]}
                self.assertEqual([], costs[answer["chosen"]]["excluded"])
                for cost in costs.values():
                    parts = ("distance", "wait", "run_time", "occupancy", "failures")
                    total = sum(cost[part] for part in parts)
                    self.assertAlmostEqual(total, cost["total"])
                self.clock.advance(source.random() / 5)

    async def test_questions_change_no_later_request(self):
        """Guards against questions that change what is cached between requests."""
        for seed in range(SEEDS):
            with_questions = await self.run_requests(seed, questions=True)
            without = await self.run_requests(seed, questions=False)
            self.assertEqual(without, with_questions, seed)

    async def run_requests(self, seed, *, questions):
        """Return the attempts and choices of some requests."""
        self.build(seed, rollout=seed % 2 == 1)
        self.split_routes()
        source = random.Random(seed)
        for _ in range(4):
            if questions:
                await self.ask()
                await self.ask("/pay/1", nested=True, body_bytes=900)
            self.report_loads(source)
            self.clock.advance(0.02)
            await self.send()
        return self.links.backends, dict(self.policy.choices)

    async def test_question_sends_and_counts_nothing(self):
        """Guards against questions that reach backend servers or metrics."""
        self.build()
        await self.ask()
        self.assertEqual(([], []), (self.links.backends, self.finished))

    @parameterized.expand(
        [
            # Path, changes of the question, and the code of refusal or error.
            ("no route", "/none", {}, 400, "class_unknown"),
            ("no such tenant", "/read/1", {"tenant": "x"}, 400, "target_unknown"),
            ("key and tenant", "/read/1", {"tenant": "mill", "key": KEY}, 400,
             "header_invalid"),
            ("negative", "/read/1", {"body_bytes": -1}, 400, "body_too_large"),
            ("too long", "/read/1", {"body_bytes": 10**9}, 400, "body_too_large"),
            ("wrong type", "/read/1", {"key": [KEY]}, 400, "header_invalid"),
            ("no key", "/read/1", {}, 200, "key_unknown"),
            ("wrong key", "/read/1", {"key": "wrong"}, 200, "key_unknown"),
            ("key", "/read/1", {"key": KEY}, 200, None),
            ("tenant", "/read/1", {"tenant": "mill"}, 200, None),
            ("nested", "/read/1", {"nested": True}, 200, None),
        ]
    )  # fmt: skip
    async def test_questions(self, _, target, changes, status, code):
        """Guards against wrong refusals, unclear errors and keys in answers."""
        self.build(tenants=True)
        found, answer = await self.ask(target, **changes)
        self.assertEqual(status, found)
        if status != 200:
            self.assertEqual(code, answer["code"])
            return
        refusal = answer["refusal"]
        self.assertEqual(code, refusal and refusal["code"])
        named = "mill" if {"key", "tenant"} & set(changes) and not code else ""
        self.assertEqual(named, answer["tenant"])
        self.assertNotIn(KEY, "\n".join(format_explanation(answer)))

    async def test_refusals_have_the_retry_after_of_the_request(self):
        """Guards against another status or Retry-After than the request gets."""
        for condemned in (True, False):
            self.build(has_backends=condemned)
            if condemned:
                self.condemned_until = self.clock.monotonic() + 42.0
            _, answer = await self.ask()
            response = await self.send()
            headers = dict(response.headers)
            refusal = answer["refusal"]
            self.assertEqual(response.status, refusal["status"])
            self.assertEqual(float(headers["retry-after"]), refusal["retry_after"])
            self.assertEqual("", answer["chosen"])

    async def test_reasons_for_exclusion(self):
        """Guards against servers that are left out without a reason."""
        self.build()
        _, answer = await self.ask()
        self.assertEqual([[]] * 6, [c["excluded"] for c in answer["candidates"]])
        self.unreachable = {"b0"}
        near, refuser = self.directory.find_destinations(SERVICE)[:2]
        self.assertEqual("b0", near.backend)
        self.policy.record_start(refuser)
        self.policy.record_end(refuser, outcome=Outcome.NOT_RUN, load=None, elapsed=0.0)
        _, answer = await self.ask(body_bytes=40_000)
        reasons = {c["backend"]: c["excluded"] for c in answer["candidates"]}
        self.assertEqual(["not reachable"], reasons["b0"])
        self.assertEqual(["recently refused"], reasons[refuser.backend])
        self.assertEqual(["body too long for another region"], reasons["b6"])

    async def test_servers_of_another_version(self):
        """Guards against servers that a roll-out leaves out without a reason."""
        self.build(rollout=True)
        self.versions.set_order(SERVICE, None)
        _, answer = await self.ask()
        reasons = {c["backend"]: c["excluded"] for c in answer["candidates"]}
        left_out = {name for name, found in reasons.items() if found}
        self.assertEqual({"b3", "b4"}, left_out)
        self.assertEqual(["left out by a roll-out"], reasons["b3"])


class QuotaExplanationTest(unittest.TestCase):
    """A few daemons in simulated time that divide the quota of one tenant."""

    def test_preview_holds_for_the_next_request(self):
        """Guards against another verdict or Retry-After than a request gets."""
        verdicts = Counter()
        for seed in range(SEEDS // 10):
            policy = TenantPolicy("mill", rate=10.0, burst=2.0)
            fleet = Fleet(3, [policy], seed=seed)
            source = random.Random(seed)
            service = fleet.daemons["h0"].service
            for _ in range(60):
                fleet.run(fleet.clock.monotonic() + source.random() / 10)
                state = fleet.random.getstate()
                tokens, error = (
                    service.count_tokens(policy), service.preview_refusal(policy)
                )  # fmt: skip
                self.assertEqual(state, fleet.random.getstate())
                token = service.take(policy)
                refused = token is None and not service.may_wait(policy)
                self.assertEqual(
                    (tokens > 0, error is not None), (token is not None, refused)
                )
                if error is not None:
                    found = service.make_refusal(policy)
                    self.assertEqual(found.retry_after, error.retry_after)
                if token is not None:
                    token.record_use()
                    token.settle(fleet.clock.monotonic())
                verdicts["refused" if refused else "taken" if token else "waits"] += 1
        self.assertEqual({"refused", "taken", "waits"}, set(verdicts))


if __name__ == "__main__":
    unittest.main()
