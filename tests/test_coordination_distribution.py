"""Tests of configuration distribution under failures, in virtual time."""

import asyncio
import unittest

from parameterized import parameterized

from almondrouter.coordination.watchers import WatcherSpread
from almondrouter.state.changes import Change
from almondrouter.state.targets import ClassTarget, ServiceTarget
from simulation.fleet import SimulatedFleet, rank_hosts
from simulation.loop import run_virtual
from simulation.store import KEYS

SIZES = {"n-1": 4, "n-2": 3, "s-1": 4, "s-2": 3}
# Guaranteed time from the acceptance of a change until it is in force everywhere.
CONVERGENCE_S = 5.0
# If a second fault hits the daemons that would repair the first one, the failure
# detector has to notice it first, which takes additional time.
TWO_FAULTS_CONVERGENCE_S = 10.0
FIRST = Change(set_services=dict.fromkeys(("accounts", "other"), ServiceTarget()))


def make_change(name="renewals"):
    """Return a change that sets one class."""
    return Change(set_classes={name: ClassTarget("accounts", 250)})


def list_watchers(fleet, region=""):
    """Return the hosts that watch the store."""
    return [
        host
        for host in fleet.hosts.values()
        if host.distribution.watches_store and host.record.region.startswith(region)
    ]


def cut(fleet, *pairs, both=True):
    """Cut the network between pairs of hosts, data centres or regions."""
    others = [(a, b) for a, _ in pairs for b in fleet.data_centres if a != b]
    for one, other in others if pairs[0][1] == "all" else pairs:
        fleet.network.cuts |= {(one, other), (other, one)} if both else {(one, other)}
    fleet.schedule_view_refresh()


def heal(fleet):
    """End all faults."""
    fleet.network.cuts.clear()
    fleet.network.loss = fleet.network.duplicates = fleet.network.jitter = 0.0
    store = fleet.store
    store.down = store.silent_watches = store.shuffled_watches = False
    store.latency, store.lost_answers = 0.002, 0.0
    for host in fleet.hosts.values():
        host.store.reachable = True
        if host.endpoint.up and not host.running:
            host.resume()
    fleet.schedule_view_refresh()


def set_store(**attributes):
    """Return a fault that sets attributes of the store."""

    def apply(fleet):
        for name, value in attributes.items():
            setattr(fleet.store, name, value)

    return apply


def set_network(**attributes):
    """Return a fault that sets attributes of all control links."""

    def apply(fleet):
        for name, value in attributes.items():
            setattr(fleet.network, name, value)

    return apply


def cut_from_store(*prefixes):
    """Return a fault that cuts hosts with these name prefixes from the store."""

    def apply(fleet):
        for host in fleet.hosts.values():
            if host.record.host.startswith(prefixes):
                host.store.reachable = False

    return apply


def cut_between(*pairs, both=True):
    """Return a fault that cuts the network between pairs of name prefixes."""
    return lambda fleet: cut(fleet, *pairs, both=both)


def pause_watchers(region=""):
    """Return a fault that freezes all daemons of a region that watch the store."""

    def apply(fleet):
        for host in list_watchers(fleet, region):
            host.pause()

    return apply


def truncate_record(fleet):
    """Make the store truncate the next change record."""
    put = fleet.store.put_now

    def put_truncated(key, value):
        put(key, value[:20] if key.startswith(KEYS.history) else value)

    fleet.store.put_now = put_truncated


def truncate_document(fleet):
    """Make the store truncate the next configuration document."""
    put = fleet.store.put_now

    def put_truncated(key, value):
        put(key, value[:-9] if key == KEYS.configuration else value)

    fleet.store.put_now = put_truncated


# Name, faults that start before the change, prefixes of the hosts that cannot get
# the change until the faults end, and seconds within which all others must have it.
FAULTS = [
    ("none", [], (), CONVERGENCE_S),
    ("store slow", [set_store(latency=1.5)], (), CONVERGENCE_S),
    ("silent watches", [set_store(silent_watches=True)], (), CONVERGENCE_S),
    ("watch events shuffled", [set_store(shuffled_watches=True)], (), CONVERGENCE_S),
    ("store answers lost", [set_store(lost_answers=0.5)], (), CONVERGENCE_S),
    ("record truncated", [truncate_record], (), CONVERGENCE_S),
    ("document truncated", [truncate_document], (), CONVERGENCE_S),
    (
        "links lossy",
        [set_network(loss=0.1, duplicates=0.3, jitter=0.1)],
        (),
        CONVERGENCE_S,
    ),
    (
        "links very lossy and slow",
        [set_network(loss=0.3, duplicates=0.3, jitter=0.5)],
        (),
        TWO_FAULTS_CONVERGENCE_S,
    ),
    (
        "store slow, watches silent",
        [set_store(latency=1.5, silent_watches=True)],
        (),
        TWO_FAULTS_CONVERGENCE_S,
    ),
    ("one region without the store", [cut_from_store("s")], (), CONVERGENCE_S),
    ("one data centre has the store", [cut_from_store("n", "s-1")], (), CONVERGENCE_S),
    ("region cut off", [cut_between(("n", "s"))], (), CONVERGENCE_S),
    ("one way cut", [cut_between(("n-1", "all"), both=False)], (), CONVERGENCE_S),
    ("data centre cut off", [cut_between(("s-2", "all"))], (), CONVERGENCE_S),
    (
        "data centre cut off from all and the store",
        [cut_between(("s-2", "all")), cut_from_store("s-2")],
        ("s-2",),
        CONVERGENCE_S,
    ),
    (
        "region cut off from the other and the store",
        [cut_between(("n", "s")), cut_from_store("s")],
        ("s",),
        CONVERGENCE_S,
    ),
    (
        "watchers of a region frozen",
        [pause_watchers("n")],
        (),
        TWO_FAULTS_CONVERGENCE_S,
    ),
    ("all watchers frozen", [pause_watchers()], (), TWO_FAULTS_CONVERGENCE_S),
    (
        "watchers frozen, watches silent",
        [pause_watchers("s"), set_store(silent_watches=True)],
        (),
        TWO_FAULTS_CONVERGENCE_S,
    ),
    (
        "region without the store, links lossy",
        [cut_from_store("s"), set_network(loss=0.3, jitter=0.5)],
        (),
        TWO_FAULTS_CONVERGENCE_S,
    ),
    (
        "store answers lost, data centre cut off",
        [set_store(lost_answers=0.5), cut_between(("n-1", "all"))],
        (),
        TWO_FAULTS_CONVERGENCE_S,
    ),
]


class FaultsTest(unittest.TestCase):
    """A change must reach all reachable hosts, and all hosts after the fault."""

    @parameterized.expand(
        [
            (f"{spread.value} {name}", spread, *rest)
            for spread in WatcherSpread
            for name, *rest in FAULTS
        ]
    )
    def test_change_arrives(self, _name, spread, faults, cut_off, within):
        async def scenario():
            fleet = SimulatedFleet(SIZES, spread=spread)
            fleet.store.accept(FIRST)
            await fleet.start()
            await asyncio.sleep(6)
            self.assertEqual(fleet.list_unready(), [])
            put = fleet.store.put_now
            for fault in faults:
                fault(fleet)
            paused = [h.record.host for h in fleet.hosts.values() if not h.running]
            fleet.store.accept(make_change())
            fleet.store.put_now = put
            behind = sorted(h for h in fleet.hosts if h.startswith(cut_off or "-"))
            await fleet.wait_until(
                lambda: set(fleet.list_behind()) == {*behind, *paused}, within
            )
            self.assertEqual(sorted(fleet.list_behind()), sorted({*behind, *paused}))
            heal(fleet)
            await fleet.wait_until(lambda: not fleet.list_behind(), CONVERGENCE_S)
            self.assertEqual(fleet.list_behind(), [])
            fleet.store.accept(make_change("second"))
            await fleet.wait_until(lambda: not fleet.list_behind(), CONVERGENCE_S)
            self.assertEqual(fleet.list_behind(), [])
            await asyncio.sleep(10)
            self.assertEqual(fleet.list_unready(), [])
            self.assertEqual(fleet.faults, [])
            alarms = [host.distribution.alarms for host in fleet.hosts.values()]
            self.assertFalse(any(alarms), alarms)
            await fleet.close()

        run_virtual(scenario)


class WatcherFailoverTest(unittest.TestCase):
    """While any daemon can reach the store, one of them must watch it."""

    def test_next_ranks_watch_the_store_until_the_first_can_again(self):
        async def scenario():
            fleet = SimulatedFleet({"n-1": 5})
            fleet.store.accept(FIRST)
            await fleet.start()
            await asyncio.sleep(6)
            ranked = rank_hosts((h.record for h in fleet.hosts.values()), "n-1")
            stores = [fleet.hosts[record.host].store for record in ranked]
            stores[0].reachable = False
            fleet.store.accept(make_change())
            await fleet.wait_until(lambda: not fleet.list_behind(), CONVERGENCE_S)
            self.assertEqual(fleet.list_behind(), [])
            for store in stores[1:4]:
                store.reachable = False
            await asyncio.sleep(20)
            # The number of daemons that try an unreachable store is limited to four.
            self.assertEqual(len(list_watchers(fleet)), 4)
            self.assertIn("store", fleet.hosts["n-1-0"].distribution.isolation)
            stores[2].reachable = True
            fleet.store.accept(make_change("second"))
            await fleet.wait_until(
                lambda: not fleet.list_behind(), TWO_FAULTS_CONVERGENCE_S
            )
            self.assertEqual(fleet.list_behind(), [])
            heal(fleet)
            await asyncio.sleep(20)
            watchers = [host.record.host for host in list_watchers(fleet)]
            self.assertEqual(watchers, [ranked[0].host])
            await fleet.close()

        run_virtual(scenario)

    def test_data_centre_that_does_not_watch_can_start_without_configuration(self):
        """Guards against a new cluster in which one data centre never gets ready."""

        async def scenario():
            fleet = SimulatedFleet({"n-1": 3, "n-2": 3, "n-3": 3})
            await fleet.start()
            await asyncio.sleep(15)
            self.assertEqual(fleet.list_unready(), [])
            self.assertEqual(len(list_watchers(fleet)), 2)
            await fleet.close()

        run_virtual(scenario)

    def test_isolation_names_what_is_cut_off(self):
        async def scenario():
            fleet = SimulatedFleet(SIZES)
            await fleet.start()
            await asyncio.sleep(6)
            host = fleet.hosts["n-1-0"].distribution
            self.assertEqual(host.isolation, ())
            cut(fleet, ("n", "s"))
            await asyncio.sleep(6)
            centres = ("data centre s-1", "data centre s-2", "region s")
            self.assertEqual(host.isolation, centres)
            self.assertEqual(fleet.list_unready(), [])
            await fleet.close()

        run_virtual(scenario)
