"""Checks the guarantees of configuration distribution under random failures.

Only newer, complete and valid versions take effect, routes lead only to working
backend servers, and all daemons converge after the failures have ended.
"""

import asyncio
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from almondrouter.coordination.watchers import WatcherSpread
from almondrouter.state.changes import Change
from almondrouter.state.stored import StoredConfiguration, encode_stored
from almondrouter.state.targets import ClassTarget, ServiceTarget
from simulation.fleet import SERVICES, SimulatedFleet
from simulation.loop import VirtualLoop
from simulation.store import KEYS

SIZES = {"n-1": 3, "n-2": 2, "s-1": 2, "s-2": 2}
HOSTS = [f"{name}-{index}" for name, size in SIZES.items() for index in range(size)]
ALL_OTHERS = tuple(HOSTS)
HOST_PREFIXES = st.sampled_from([*SIZES, "n", "s", *HOSTS])
# Allows for failure detection, the selection of new store watchers, and the checks
# before a started daemon becomes ready, one after another.
RECOVERY_TIMEOUT_S = 40
DURATIONS_S = st.sampled_from([0.01, 0.3, 2.0, 7.0])
LOSS_RATES = st.sampled_from([0.0, 0.5])


class DistributionMachine(RuleBasedStateMachine):
    """Daemons, the store and the network with failures in any order.

    The oracle is the list of accepted versions. The fleet records each activation
    of an older version or of content that was not accepted, and each invalid route.
    """

    def __init__(self):
        super().__init__()
        self.document_is_bad = False
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.fleet = self.loop.run_until_complete(self.make_fleet())

    async def make_fleet(self):
        fleet = SimulatedFleet(SIZES, spread=WatcherSpread.ECONOMICAL)
        services = dict.fromkeys(SERVICES, ServiceTarget())
        fleet.store.accept(Change(set_services=services))
        await fleet.start()
        await asyncio.sleep(6)
        return fleet

    def pass_time(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(
        number=st.integers(0, 3), service=st.sampled_from(SERVICES), seconds=DURATIONS_S
    )
    def accept(self, number, service, seconds):
        target = ClassTarget(service, 250)
        self.document_is_bad = False
        self.fleet.store.accept(Change(set_classes={f"class-{number}": target}))
        self.pass_time(seconds)

    @rule(record=st.booleans(), document=st.booleans(), length=st.integers(0, 60))
    def accept_with_bad_value(self, record, document, length):
        """Truncate the written value, or change it so that it stays decodable."""
        store = self.fleet.store
        put = store.put_now

        def put_bad(key, value):
            if record if key.startswith(KEYS.history) else document:
                changed = value.replace(b":250", b":999")
                value = value[:length] if length % 2 else changed
            put(key, value)

        self.document_is_bad = document
        store.put_now = put_bad
        store.accept(Change(set_classes={"last": ClassTarget("accounts", 250)}))
        store.put_now = put

    @rule(back=st.integers(1, 3))
    def restore_old_document(self, back):
        """Replace the document by an older one, as restoring a backup does."""
        store = self.fleet.store
        old = store.history.get(store.accepted.version - back)
        if old is not None and old.version:
            stored = StoredConfiguration("old", old.digest(), old)
            store.put(KEYS.configuration, encode_stored(stored))
            self.document_is_bad = True

    @rule(version=st.integers(1, 9))
    def put_invalid_record(self, version):
        version += self.fleet.store.accepted.version
        self.fleet.store.put(KEYS.history_record(version), b'{"kind": "Pod"}')

    @rule(seconds=DURATIONS_S)
    def wait(self, seconds):
        self.pass_time(seconds)

    @rule(
        one=HOST_PREFIXES,
        others=st.one_of(st.just(ALL_OTHERS), st.sets(HOST_PREFIXES)),
        both=st.booleans(),
    )
    def cut(self, one, others, both):
        """Cut the hosts of a prefix from others, or from all hosts outside it."""
        for other in others:
            if others is ALL_OTHERS and other.startswith(one):
                continue
            self.fleet.network.cuts.add((one, other))
            if both:
                self.fleet.network.cuts.add((other, one))
        self.fleet.schedule_view_refresh()

    @rule(loss=st.sampled_from([0.0, 0.3]), repeated=st.sampled_from([0.0, 0.5]))
    def disturb_links(self, loss, repeated):
        network = self.fleet.network
        network.loss, network.duplicates, network.jitter = loss, repeated, loss

    @rule(down=st.booleans(), latency=st.sampled_from([0.002, 1.5]))
    def disturb_store(self, down, latency):
        self.fleet.store.down, self.fleet.store.latency = down, latency

    @rule(lost=LOSS_RATES, silent=st.booleans(), shuffled=st.booleans())
    def disturb_responses(self, lost, silent, shuffled):
        store = self.fleet.store
        store.lost_answers = lost
        store.silent_watches, store.shuffled_watches = silent, shuffled

    @rule(prefix=HOST_PREFIXES)
    def cut_from_store(self, prefix):
        for name, host in self.fleet.hosts.items():
            if name.startswith(prefix):
                host.store.reachable = False

    @rule(prefix=HOST_PREFIXES)
    def restart(self, prefix):
        chosen = [h for name, h in self.fleet.hosts.items() if name.startswith(prefix)]
        for host in chosen:
            if host.endpoint.up:
                self.loop.run_until_complete(host.kill())
        for host in chosen:
            host.endpoint.running.set()
            host.store.running.set()
            self.loop.run_until_complete(host.start())

    @rule(host=st.sampled_from(HOSTS))
    def kill(self, host):
        if self.fleet.hosts[host].endpoint.up:
            self.loop.run_until_complete(self.fleet.hosts[host].kill())

    @rule(host=st.sampled_from(HOSTS))
    def pause_or_wake(self, host):
        chosen = self.fleet.hosts[host]
        if chosen.running:
            chosen.pause()
        elif chosen.endpoint.up:
            self.loop.call_soon(chosen.resume)
            self.pass_time(0)

    @invariant()
    def guarantees_hold(self):
        for host in self.fleet.hosts.values():
            self.fleet.check_routes(host)
        assert not self.fleet.faults, self.fleet.faults

    def teardown(self):
        """End all faults; then all daemons must get the newest version and be ready."""
        try:
            self.loop.run_until_complete(self.heal())
            self.guarantees_hold()
        finally:
            self.loop.run_until_complete(self.fleet.close())
            self.loop.close()

    async def heal(self):
        fleet = self.fleet
        fleet.network.cuts.clear()
        fleet.network.loss = fleet.network.duplicates = fleet.network.jitter = 0.0
        store = fleet.store
        store.down = store.silent_watches = store.shuffled_watches = False
        store.latency, store.lost_answers = 0.002, 0.0
        for host in fleet.hosts.values():
            host.store.reachable = True
            if not host.endpoint.up:
                host.endpoint.running.set()
                host.store.running.set()
                await host.start()
            elif not host.running:
                host.resume()
        fleet.schedule_view_refresh()
        if self.document_is_bad:
            # Only another change replaces an invalid document in the store.
            fleet.store.accept(Change(set_classes={"end": ClassTarget("accounts", 9)}))
        recovered = lambda: not fleet.list_behind() + fleet.list_unready()  # noqa: E731
        await fleet.wait_until(recovered, RECOVERY_TIMEOUT_S)
        assert not fleet.list_behind(), fleet.list_behind()
        assert not fleet.list_unready(), fleet.list_unready()


DistributionMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=120,
    stateful_step_count=30,
    suppress_health_check=list(HealthCheck),
)


class FuzzTest(DistributionMachine.TestCase, unittest.TestCase):
    """Guards against sequences of failures that break a guarantee."""
