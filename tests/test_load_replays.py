"""Simulations of load patterns with the real routing code, on a virtual clock.

Each test compares a run with one in which the mechanism for its pattern is disabled.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import Counter
from unittest.mock import patch

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination import forwarding, subsets
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.fleetretries import FleetRetryBudget, FleetRetryLimits
from almondrouter.coordination.forwarding import Forwarder
from almondrouter.coordination.intake import BodyIntake
from almondrouter.coordination.localbackend import LocalBackend
from almondrouter.coordination.patience import CallerPatience
from almondrouter.coordination.placement import LowestCostPolicy
from almondrouter.coordination.subsets import LinkSubset
from almondrouter.coordination.tenants.admission import TenantAdmission
from almondrouter.coordination.weights import TrafficSplitter
from almondrouter.protocol.calls import BodyOffer
from almondrouter.state.hosts import BackendEntry, HostEntry, ServingState
from almondrouter.state.occupancy import OccupancyTable
from almondrouter.transport.calls import (
    BackendResponse,
    BackendSender,
    CallerRequest,
    CallLinks,
)
from almondrouter_standins.virtual_time import run_virtual
from almondrouterd.platform.configuration import decode_routes
from almondrouterd.platform.headers import PlatformDialect
from platform_support import SERVICE, make_configuration, make_crash_guard

HOSTS = 42
SERVERS = 14
SLOTS = 5
RUN_S = 0.1
TARGET_LATENCY_S = 0.4
"""Target latency of the route in the shared configuration."""
SECONDS = 4.0
DEADLINE_S = 1.6
"""Longest time that callers wait, and what the route allows."""
MIN_PATIENCE_SHARE = 0.85
"""Shortest time that a caller waits, as a share of the longest."""
REGIONS = 3
ONE_WAY_S = {0: 0.0001, 1: 0.001, 2: 0.02}
"""One-way delays within a data centre, within a region, and between regions."""
SIGNED = (("response-signature", "s"),)


class VirtualSender(BackendSender):
    """A backend server with random run times of 0.04 s to 0.16 s."""

    def __init__(self, rng):
        self._rng = rng

    async def send(self, method, target, headers, body, **options):
        await asyncio.sleep(RUN_S * self._rng.uniform(0.4, 1.6))
        return BackendResponse(200, SIGNED, b"")


class VirtualHost:
    """A host at a location, with the bandwidth of its link and a local backend."""

    def __init__(self, number, *, clock, rng, bytes_per_second, lost_region=""):
        self.number, self.clock = number, clock
        self.region = f"r{number % REGIONS}"
        self.has_server = number < SERVERS and self.region != lost_region
        self.data_centre = f"{self.region}-{number // REGIONS % 2}"
        self.bytes_per_second = bytes_per_second
        self.link_free_at = 0.0
        self.backend = LocalBackend(
            sender=VirtualSender(rng),
            dialect=PlatformDialect(),
            clock=clock,
            intake=BodyIntake(bytes_per_second=bytes_per_second, clock=clock),
            guard=make_crash_guard(clock),
            on_changed=lambda: None,
        )

    @property
    def entry(self):
        name, announced = f"h{self.number}", None
        if self.has_server:
            ready = ServingState.READY
            announced = BackendEntry(f"b{self.number}", 1, SERVICE, SLOTS, ready)
        address = f"{name}:1"
        return HostEntry(name, 1, self.data_centre, self.region, address, announced)

    def find_distance(self, other):
        if self.data_centre == other.data_centre:
            return 0
        return 1 if self.region == other.region else 2

    async def receive(self, size):
        """Wait until the link has transferred a body after the earlier ones."""
        begin = max(self.clock.monotonic(), self.link_free_at)
        self.link_free_at = begin + size / self.bytes_per_second
        await asyncio.sleep(self.link_free_at - self.clock.monotonic())


class VirtualLinks(CallLinks):
    """Links of one host, with delays for distance and the transfer of bodies."""

    def __init__(self, host, fleet):
        self._host, self._fleet = host, fleet

    async def call(self, peer_address, request, *, abandon_silent=lambda: True):
        peer = self._fleet[int(peer_address[1:-2])]
        delay = ONE_WAY_S[self._host.find_distance(peer)]
        await asyncio.sleep(delay)
        if isinstance(request, BodyOffer):
            reply = await peer.backend.answer_offer(request)
        else:
            if request.body:
                await peer.receive(len(request.body))
            reply = await peer.backend.handle_call(request)
        await asyncio.sleep(delay)
        return reply


class UnlimitedWaitPolicy(LowestCostPolicy):
    """The policy without a maximum wait."""

    def find_max_wait(self, destination, *, now, demand):
        return None


class LoadReplayTest(unittest.TestCase):
    """Callers send to all hosts uniformly, at random times from a fixed seed."""

    def simulate(
        self,
        *,
        per_second,
        placement=LowestCostPolicy,
        body=b"",
        link=125e6,
        attempts=1,
        lost_region="",
        all_linked=True,
    ):
        """Return the number of requests in time, late, and by error status."""
        clock, rng = ManualClock(), random.Random(7)
        fleet = [
            VirtualHost(
                n, clock=clock, rng=rng, bytes_per_second=link, lost_region=lost_region
            )
            for n in range(HOSTS)
        ]
        for host in filter(lambda host: host.has_server, fleet):
            host.backend.apply_announcement(host.entry.backend)
        results = Counter()
        forwarders = [
            self.make_forwarder(h, fleet, placement, clock, all_linked) for h in fleet
        ]
        work = self.send_all(
            forwarders, per_second, body, attempts, clock, rng, results
        )
        run_virtual(work, clock)
        return results

    def make_forwarder(self, host, fleet, placement, clock, all_linked):
        entries = [other.entry for other in fleet]
        if not all_linked:
            subset = LinkSubset(host.entry.host, host.region)
            entries = [host.entry, *subset.select(entries)]
        linked = {entry.peer_address for entry in entries}
        directory = HostDirectory(clock=clock, is_alive=lambda _: True)
        for other in fleet:
            directory.put(other.entry)
        table = decode_routes(make_configuration(timeout=DEADLINE_S))
        rng = random.Random(host.number)
        return Forwarder(
            table=lambda: table,
            directory=directory,
            balancer=placement(
                host=host.entry.host,
                data_centre=host.data_centre,
                region=host.region,
                occupancy=OccupancyTable(),
                random=rng,
                clock=clock,
                is_reachable=lambda found: found.peer_address in linked,
            ),
            admission=TenantAdmission(PlatformDialect()),
            splitter=TrafficSplitter(rng),
            retry_budget=FleetRetryBudget(
                FleetRetryLimits(0.2, 60.0, 10.0),
                count_hosts=lambda: HOSTS,
                clock=clock,
            ),
            links=VirtualLinks(host, fleet),
            run_locally=host.backend.handle_call,
            is_running=lambda _: False,
            dialect=PlatformDialect(),
            clock=clock,
            random=rng,
            host=host.entry.host,
            own_service="callers",
            find_condemned_until=lambda _: None,
            on_newer_version=lambda version, address: None,
            on_finished=lambda *result: None,
        )

    async def send_all(
        self, forwarders, per_second, body, attempts, clock, rng, results
    ):
        tasks = []
        for _ in range(int(per_second * SECONDS)):
            await asyncio.sleep(rng.expovariate(per_second))
            chosen = [rng.choice(forwarders) for _ in range(attempts)]
            patience = DEADLINE_S
            if attempts > 1:
                patience *= rng.uniform(MIN_PATIENCE_SHARE, 1.0)
            tasks.append(
                asyncio.create_task(self.send(chosen, body, patience, clock, results))
            )
        await asyncio.gather(*tasks)

    async def send(self, forwarders, body, patience, clock, results):
        """Send a request, and to the next daemon when the response says so."""
        began_at = clock.monotonic()
        path = "/pay/1" if body else "/read/1"
        method = "POST" if body else "GET"
        for forwarder in forwarders:
            left = began_at + patience - clock.monotonic()
            headers = (
                ("host", "shop.example"),
                ("attempt-id", "a"),
                ("deadline-ms", f"{left * 1000:.0f}"),
            )
            request = CallerRequest(method, path, headers, body)
            response = await forwarder.handle(request)
            if response.status != 503:
                break
            await asyncio.sleep(float(dict(response.headers)["retry-after"]))
        in_time = clock.monotonic() - began_at <= TARGET_LATENCY_S
        if response.status == 200:
            results["in time" if in_time else "late"] += 1
        else:
            results[response.status] += 1

    def test_idle_slots_beside_queues(self):
        """Guards against queues at one server while others are idle.

        Many daemons get load reports of a server only rarely, and demand is nine tenths
        of the slots. Without a maximum wait, calls queue where a report is outdated.
        """
        per_second = 0.9 * SERVERS * SLOTS / RUN_S
        without_mechanism = self.simulate(
            per_second=per_second, placement=UnlimitedWaitPolicy
        )
        with_mechanism = self.simulate(per_second=per_second)
        self.assertEqual(sum(without_mechanism.values()), sum(with_mechanism.values()))
        self.assertLess(
            sum(with_mechanism.values()) - with_mechanism["in time"],
            (sum(without_mechanism.values()) - without_mechanism["in time"]) / 2,
            (with_mechanism, without_mechanism),
        )

    def test_bodies_beyond_the_links(self):
        """Guards against concurrent transfers of bodies that are all too late.

        Uploads need one and a half times the bandwidth of the links. Without offers,
        all bodies are transferred at once.
        """
        body = bytes(250_000)
        pattern = {"body": body, "link": 1e6, "per_second": 1.5 * SERVERS * 4}
        limit = forwarding.MAX_UNOFFERED_BYTES
        forwarding.MAX_UNOFFERED_BYTES = len(body)
        try:
            without_mechanism = self.simulate(**pattern)
        finally:
            forwarding.MAX_UNOFFERED_BYTES = limit
        with_mechanism = self.simulate(**pattern)
        self.assertGreater(
            with_mechanism["in time"],
            without_mechanism["in time"],
            (with_mechanism, without_mechanism),
        )
        self.assertLess(
            with_mechanism["late"],
            without_mechanism["late"] / 2,
            (with_mechanism, without_mechanism),
        )

    @parameterized.expand([("above capacity", 1.2), ("twice the capacity", 2.0)])
    def test_retries_of_refused_requests(self, _, demand):
        """Guards against responses that are late for requests that were sent again.

        Callers send a refused request once more. If it is taken for a new one, it waits
        beside new ones, which then are late, too.
        """
        per_second = demand * SERVERS * SLOTS / RUN_S
        with patch.object(CallerPatience, "estimate_elapsed", return_value=0.0):
            without_mechanism = self.simulate(per_second=per_second, attempts=2)
        with_mechanism = self.simulate(per_second=per_second, attempts=2)
        self.assertEqual(sum(without_mechanism.values()), sum(with_mechanism.values()))
        self.assertGreater(
            with_mechanism["in time"],
            without_mechanism["in time"],
            (with_mechanism, without_mechanism),
        )

    @parameterized.expand([("at ease", 0.6), ("near", 0.9), ("above capacity", 1.1)])
    def test_region_without_servers(self, _, demand):
        """Guards against a region that crowds the few servers it has links to.

        One of three regions loses its servers, and its hosts have links to two servers
        of each other region.
        """
        lost = "r0"
        left = sum(f"r{number % REGIONS}" != lost for number in range(SERVERS))
        pattern = {"per_second": demand * left * SLOTS / RUN_S, "lost_region": lost}
        all_linked = self.simulate(**pattern)
        with patch.object(subsets, "REMOTE_SERVERS_PER_SERVICE", 2):
            subset = self.simulate(**pattern, all_linked=False)
        self.assertEqual(sum(all_linked.values()), sum(subset.values()))
        self.assertGreaterEqual(
            subset["in time"], 0.98 * all_linked["in time"], (subset, all_linked)
        )

    def test_replays_repeat(self):
        """Guards against simulations whose results differ between runs."""
        first, second = (self.simulate(per_second=200) for _ in range(2))
        self.assertEqual(first, second)
