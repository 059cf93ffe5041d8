"""Stateful property tests of membership against a simple model."""

import asyncio

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from almondrouter.clock import ManualClock
from almondrouter.state.registry import BackendRecord, HostStatus
from almondrouter_standins.network import LinkFaults
from almondrouter_standins.simulated_fleet import SimulatedFleet, make_topology
from almondrouter_standins.simulation import SimulatedLoop

HOSTS = make_topology(data_centres=3, regions=2, hosts_each=3)
NAMES = list(HOSTS)
# Daemons reconnect by probes, which contact one dead host every 2.5 to 7.5 s.
HEALED_SECONDS = 120.0

hosts = st.sampled_from(NAMES)
groups = st.sets(hosts, min_size=1, max_size=5).map(sorted)
data_centres = st.sampled_from(["dc0", "dc1", "dc2"])
probabilities = st.sampled_from([0.0, 0.1, 0.3])


class FleetMachine(RuleBasedStateMachine):
    """Injects and heals failures in a fleet at random.

    The model consists of the running daemons and the numbers (incarnation and
    sequence) of their own records. After all failures have healed, every daemon
    considers exactly the running daemons live. At no time does a daemon hold a record
    whose numbers its owner has not issued, or replace a record by an older one.
    """

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.loop = SimulatedLoop(self.clock)
        self.frozen = set()
        self.issued = {}
        self.seen = {}

    def run(self, work):
        return self.loop.run_until_complete(work)

    @initialize(seed=st.integers(0, 3))
    def start_fleet(self, seed):
        self.fleet = SimulatedFleet(self.clock, HOSTS, seed=seed)
        self.run(self.fleet.start(NAMES))
        self.run(asyncio.sleep(10))

    def running(self):
        return [host for host in self.fleet.daemons if host not in self.frozen]

    @rule(victims=groups)
    def kill(self, victims):
        victims = [host for host in victims if host in self.fleet.daemons]
        self.record_own_numbers()
        self.frozen -= set(victims)
        self.run(self.fleet.kill(victims))

    @rule(newcomers=groups)
    def start(self, newcomers):
        absent = [host for host in newcomers if host not in self.fleet.daemons]
        self.run(self.fleet.start(absent))
        for host in absent:
            self.seen = {k: v for k, v in self.seen.items() if k[0] != host}

    @rule(host=hosts)
    def leave(self, host):
        if host in self.running():
            self.record_own_numbers()
            key = (host, self.fleet.daemons[host].membership.record.incarnation)
            self.issued[key] += 2
            self.run(self.fleet.leave(host))

    @rule(host=hosts)
    def freeze(self, host):
        if host in self.running():
            self.frozen.add(host)
            self.fleet.freeze(host)

    @precondition(lambda self: self.frozen)
    @rule()
    def resume(self):
        self.run(self.resume_all())

    async def resume_all(self):
        for host in sorted(self.frozen):
            self.fleet.resume(host)
        self.frozen.clear()

    @rule(sources=groups, destinations=groups, two_way=st.booleans())
    def cut(self, sources, destinations, two_way):
        self.fleet.network.cut(sources, destinations, two_way=two_way)

    @rule(name=data_centres)
    def cut_off_data_centre(self, name):
        inside = [host for host in NAMES if HOSTS[host][0] == name]
        outside = [host for host in NAMES if HOSTS[host][0] != name]
        self.fleet.network.cut(inside, outside, two_way=True)

    @rule()
    def heal(self):
        self.fleet.network.heal_all()

    @rule(loss=probabilities, duplication=probabilities, jitter=probabilities)
    def set_faults(self, loss, duplication, jitter):
        faults = LinkFaults(loss=loss, duplication=duplication, jitter=jitter)
        self.fleet.network.faults = faults

    @rule(host=hosts, slots=st.integers(1, 9))
    def update_backends(self, host, slots):
        if host in self.running():
            backend = BackendRecord("b", "accounts", slots)
            self.fleet.daemons[host].membership.update_backends((backend,))

    @rule(seconds=st.sampled_from([0.3, 2.0, 7.0, 15.0]))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    def record_own_numbers(self):
        for daemon in self.fleet.daemons.values():
            own = daemon.membership.record
            self.issued[(own.host, own.incarnation)] = own.sequence

    @invariant()
    def check_only_owners_raise_numbers(self):
        if not hasattr(self, "fleet"):
            return
        self.record_own_numbers()
        for viewer, daemon in self.fleet.daemons.items():
            for record in daemon.registry:
                key = (record.host, record.incarnation)
                assert key in self.issued, (
                    f"{viewer} has an incarnation that its owner never issued: {record}"
                )
                assert record.sequence <= self.issued[key], (
                    f"{viewer} has a sequence that its owner never issued: {record}"
                )
                before = self.seen.get((viewer, record.host))
                assert before is None or before <= record.order_key()
                self.seen[(viewer, record.host)] = record.order_key()

    def teardown(self):
        try:
            if hasattr(self, "fleet"):
                self.check_healed()
        finally:
            if hasattr(self, "fleet"):
                self.run(self.fleet.stop())
            self.loop.close()

    def check_healed(self):
        self.resume()
        self.heal()
        self.set_faults(0.0, 0.0, 0.0)
        # A new daemon without a live seed waits; test_coordination_membership covers
        # that case.
        self.start(self.fleet.seeds)
        agreed = self.run(self.fleet.run_until_converged(seconds=HEALED_SECONDS))
        assert agreed is not None, self.describe_disagreement()
        self.check_only_owners_raise_numbers()
        running = {HOSTS[host][0] for host in self.fleet.daemons}
        self.run(asyncio.sleep(15))
        for daemon in self.fleet.daemons.values():
            unreachable = daemon.membership.unreachable_data_centres()
            assert not unreachable & running, f"{unreachable} unreachable"

    def describe_disagreement(self):
        return {
            host: sorted(
                (record.host, record.status.name)
                for record in daemon.registry
                if (record.status < HostStatus.DEAD)
                != (record.host in self.fleet.daemons)
            )
            for host, daemon in self.fleet.daemons.items()
        }


class FleetTest(FleetMachine.TestCase):
    """No sequence of failures may divide the fleet permanently."""

    settings = settings(
        max_examples=40,
        stateful_step_count=20,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
