"""Tests of membership on simulated fleets and over ZeroMQ."""

import asyncio
import unittest
from unittest import mock

from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.coordination import membership
from almondrouter.coordination.delegates import rank_hosts
from almondrouter.coordination.membership import Membership
from almondrouter.errors import ErrorCode
from almondrouter.protocol.codec import MAX_CONTROL_FRAME_BYTES
from almondrouter.protocol.control import Head, Heartbeat, HeartbeatReply, Records
from almondrouter.state.registry import (
    BackendRecord,
    HostRecord,
    HostStatus,
    Registry,
)
from almondrouter.transport.zeromq import ZmqControlEndpoint
from almondrouter_standins.network import LinkFaults
from almondrouter_standins.simulated_fleet import SimulatedFleet, make_topology
from almondrouter_standins.simulation import run_simulated

HOSTS = make_topology(data_centres=3, regions=2, hosts_each=6)
NAMES = list(HOSTS)
FIRST, SECOND, THIRD = ([h for h in NAMES if h.endswith(f"dc{i}")] for i in range(3))


def _simulate(scenario, hosts=HOSTS):
    """Run a scenario on a fleet that agrees on its live hosts, then stop the fleet."""

    async def main(clock):
        fleet = SimulatedFleet(clock, hosts)
        await fleet.start(hosts)
        await fleet.run_until_converged(seconds=60)
        await asyncio.sleep(10)
        result = await scenario(fleet)
        await fleet.stop()
        return result

    return run_simulated(main)


async def _kill(fleet):
    await fleet.kill(FIRST[2:3])


async def _kill_third(fleet):
    await fleet.kill(NAMES[1::3])


async def _kill_delegates(fleet):
    ranks = rank_hosts(fleet.daemons[NAMES[0]].registry, "dc0")
    await fleet.kill([record.host for record in ranks[:2]])


async def _restart_third(fleet):
    await fleet.kill(NAMES[1::3])
    await fleet.start(NAMES[1::3])


async def _return_after_death(fleet):
    await fleet.kill(NAMES[1::3])
    await asyncio.sleep(30)
    await fleet.start(NAMES[1::3])


async def _leave(fleet):
    await fleet.leave(FIRST[3])


async def _freeze_and_resume(fleet):
    fleet.freeze(SECOND[2])
    await asyncio.sleep(60)
    fleet.resume(SECOND[2])


async def _split_data_centre(fleet):
    fleet.network.cut(FIRST[:2], FIRST[2:], two_way=True)
    await asyncio.sleep(30)
    fleet.network.heal_all()


async def _cut_off_host(fleet):
    fleet.network.cut([THIRD[0]], NAMES, two_way=True)
    await asyncio.sleep(30)
    fleet.network.heal_all()


async def _cut_off_data_centre(fleet):
    fleet.network.cut(FIRST, SECOND + THIRD, two_way=True)
    fleet.daemons[FIRST[0]].membership.update_backends((BACKEND,))
    await fleet.kill(FIRST[3:4])
    await asyncio.sleep(30)
    fleet.network.heal_all()


async def _kill_under_faults(fleet):
    fleet.network.faults = LinkFaults(loss=0.1, duplication=0.3, jitter=0.3)
    await fleet.kill(NAMES[4:5])
    await asyncio.sleep(60)
    fleet.network.faults = LinkFaults()


BACKEND = BackendRecord("accounts-1", "accounts", 9)


class MembershipTest(unittest.TestCase):
    """All daemons must agree on which daemons are alive after any failure."""

    # The stated target is about 6 s to detect a dead host. Hosts whose three monitors
    # all died need further rounds, and dead hosts are probed one at a time.
    @parameterized.expand(
        [
            ("kill", _kill, 9),
            ("kill a third", _kill_third, 20),
            ("kill both delegates", _kill_delegates, 15),
            ("restart a third", _restart_third, 15),
            ("return after death", _return_after_death, 15),
            ("leave", _leave, 3),
            ("freeze and resume", _freeze_and_resume, 9),
            ("split data centre", _split_data_centre, 40),
            ("cut off host", _cut_off_host, 40),
            ("cut off data centre", _cut_off_data_centre, 15),
            ("kill under faults", _kill_under_faults, 30),
        ]
    )
    def test_agrees_after(self, _name, inject_fault, seconds):
        """Guards against daemons that keep different views after a failure."""

        async def scenario(fleet):
            await inject_fault(fleet)
            return await fleet.run_until_converged(seconds=seconds)

        self.assertIsNotNone(_simulate(scenario))

    def test_frozen_host_is_declared_dead_and_detects_the_freeze(self):
        """Guards against a resumed host that suspects others because of its freeze."""

        async def scenario(fleet):
            resumed = []
            daemon = fleet.daemons[FIRST[1]]
            daemon.membership.add_resume_listener(lambda: resumed.append(1))
            fleet.freeze(FIRST[1])
            await asyncio.sleep(20)
            seen = fleet.daemons[THIRD[1]].registry.find(FIRST[1]).status
            fleet.resume(FIRST[1])
            accused = _track_hosts(fleet.daemons.values(), HostStatus.SUSPECT)
            await asyncio.sleep(20)
            return seen, resumed, accused - {FIRST[1]}

        expected = (HostStatus.DEAD, [1], set())
        self.assertEqual(_simulate(scenario), expected)

    def test_broken_link_between_two_hosts_causes_no_death_and_few_records(self):
        """Guards against one host that declares a live host dead.

        It cannot reach the live host, which refutes each suspicion; repeated suspicions
        must back off.
        """

        async def scenario(fleet):
            watcher = fleet.daemons[FIRST[0]]
            watched = watcher.membership.overlay.monitored[0].host
            before = fleet.daemons[watched].membership.record.sequence
            dead = _track_hosts(fleet.daemons.values(), HostStatus.DEAD)
            fleet.network.cut([FIRST[0]], [watched], two_way=False)
            await asyncio.sleep(300)
            after = fleet.daemons[watched].membership.record.sequence
            return dead, after - before

        dead, raised = _simulate(scenario)
        self.assertEqual(dead, set())
        # Backoff doubles from 10 s to 160 s.
        self.assertTrue(1 <= raised <= 7, raised)

    def test_host_that_cannot_receive_declares_nobody_dead(self):
        """Guards against a host that cannot receive and declares live hosts dead.

        It can still send, so it suspects all others, and they refute that.
        """

        async def scenario(fleet):
            deaf = FIRST[0]
            others = [d for h, d in fleet.daemons.items() if h != deaf]
            dead = _track_hosts(others, HostStatus.DEAD)
            fleet.network.cut(NAMES, [deaf], two_way=False)
            await asyncio.sleep(120)
            fleet.network.heal_all()
            return dead, await fleet.run_until_converged(seconds=40)

        dead, agreed = _simulate(scenario)
        self.assertEqual(dead, {FIRST[0]})
        self.assertIsNotNone(agreed)

    def test_cut_off_data_centre_is_unreachable_but_its_hosts_stay_alive(self):
        """Guards against declaring the hosts of a partitioned data centre dead."""

        async def scenario(fleet):
            views = [_list_unreachable(fleet)]
            fleet.network.cut(FIRST, SECOND + THIRD, two_way=True)
            await asyncio.sleep(20)
            views.append(_list_unreachable(fleet))
            has_converged = fleet.has_converged()
            fleet.network.heal_all()
            await asyncio.sleep(15)
            return [*views, _list_unreachable(fleet)], has_converged

        views, has_converged = _simulate(scenario)
        inside = {host: {"dc1", "dc2"} for host in FIRST}
        outside = {host: {"dc0"} for host in SECOND + THIRD}
        none = {host: set() for host in NAMES}
        self.assertEqual(views, [none, inside | outside, none])
        self.assertTrue(has_converged)

    def test_change_reaches_all_and_only_the_owner_raises_its_sequence(self):
        async def scenario(fleet):
            owner = fleet.daemons[SECOND[3]]
            before = owner.membership.record
            accepted = []
            far = fleet.daemons[FIRST[4]]
            far.membership.add_change_listener(accepted.extend)
            owner.membership.update_backends((BACKEND,))
            await asyncio.sleep(2)
            found = {d.registry.find(SECOND[3]) for d in fleet.daemons.values()}
            return found == {owner.membership.record}, accepted, before

        agreed, accepted, before = _simulate(scenario)
        self.assertTrue(agreed)
        self.assertEqual([r.backends for r in accepted], [(BACKEND,)])
        self.assertEqual(accepted[0].sequence, before.sequence + 1)

    def test_change_crosses_a_large_ring_in_few_hops(self):
        hosts = make_topology(data_centres=1, regions=1, hosts_each=33)

        async def scenario(fleet):
            owner = fleet.daemons[FIRST[3]]
            owner.membership.update_backends((BACKEND,))
            # Six hops take at most 0.1 s each; forwarding along the ring from host to
            # host would take 2 s or more.
            await asyncio.sleep(0.7)
            return {d.registry.find(FIRST[3]) for d in fleet.daemons.values()}

        (record,) = _simulate(scenario, hosts)
        self.assertEqual(record.backends, (BACKEND,))

    def test_leaving_host_is_known_before_it_has_left(self):
        """Guards against ranking a host as a delegate that is about to leave."""

        async def scenario(fleet):
            host = rank_hosts(fleet.daemons[FIRST[0]].registry, "dc0")[0].host
            viewer = fleet.daemons[next(h for h in FIRST if h != host)]
            await fleet.daemons[host].membership.leave()
            await asyncio.sleep(1)
            ranks = [r.host for r in rank_hosts(viewer.registry, "dc0")]
            statuses = [viewer.registry.find(host).status]
            await fleet.leave(host)
            await asyncio.sleep(1)
            return host in ranks, [*statuses, viewer.registry.find(host).status]

        expected = (False, [HostStatus.LEAVING, HostStatus.LEFT])
        self.assertEqual(_simulate(scenario), expected)

    def test_restart_with_a_clock_behind_takes_a_higher_incarnation(self):
        """Guards against a restarted host whose records are ignored as outdated.

        Incarnations are taken from the wall clock.
        """

        async def scenario(fleet):
            old = fleet.daemons[FIRST[2]].membership.record.incarnation
            await fleet.kill(FIRST[2:3])
            with mock.patch.object(fleet.clock, "wall", return_value=1e9):
                await fleet.start(FIRST[2:3])
            agreed = await fleet.run_until_converged(seconds=15)
            return agreed, fleet.daemons[FIRST[2]].membership.record.incarnation - old

        agreed, raised = _simulate(scenario)
        self.assertIsNotNone(agreed)
        self.assertEqual(raised, 1)

    def test_dead_host_is_removed_by_all_and_does_not_return(self):
        """Guards against a removed host that is pulled back from another daemon."""

        async def scenario(fleet):
            await fleet.kill(FIRST[2:3])
            await asyncio.sleep(50)
            await fleet.kill(FIRST[3:4])
            await fleet.start(FIRST[3:4])
            await asyncio.sleep(8)
            digests = [d.registry.digests() for d in fleet.daemons.values()]
            await asyncio.sleep(80)
            return digests, {len(d.registry) for d in fleet.daemons.values()}

        with mock.patch.object(membership, "GONE_HOST_RETENTION_SECONDS", 60.0):
            digests, sizes = _simulate(scenario)
        # A restarted host that does not know the dead host must not pull forever:
        # the digests must be equal.
        self.assertEqual(digests, digests[:1] * len(digests))
        self.assertEqual(sizes, {len(NAMES) - 1})

    @parameterized.expand([("remembered", 3600.0, False), ("removed", 60.0, True)])
    def test_halves_of_a_single_data_centre_merge_again(self, _name, limit, removed):
        """Guards against halves that stay apart after a partition.

        Each half has declared the hosts of the other dead, or has even removed them.
        """

        async def scenario(fleet):
            fleet.network.cut(FIRST[:2], FIRST[2:], two_way=True)
            await asyncio.sleep(120)
            found = fleet.daemons[FIRST[4]].registry.find(FIRST[1])
            fleet.network.heal_all()
            return found is None, await fleet.run_until_converged(seconds=60)

        with mock.patch.object(membership, "GONE_HOST_RETENTION_SECONDS", limit):
            lost, agreed = _simulate(scenario, {host: HOSTS[host] for host in FIRST})
        self.assertEqual(lost, removed)
        self.assertIsNotNone(agreed)

    def test_resumed_host_declares_nobody_dead(self):
        """Guards against counting misses from before a freeze after the resumption."""

        async def scenario(fleet):
            watcher = fleet.daemons[FIRST[0]]
            watched = watcher.membership.overlay.monitored[0].host
            fleet.freeze(watched)
            while watcher.registry.find(watched).status < HostStatus.SUSPECT:
                await asyncio.sleep(0.01)
            await asyncio.sleep(1.5)
            fleet.freeze(FIRST[0])
            # The frozen host does not receive the refutation.
            fleet.network.cut(NAMES, FIRST[:1], two_way=False)
            fleet.resume(watched)
            await asyncio.sleep(30)
            fleet.network.heal_all()
            dead = _track_hosts([watcher], HostStatus.DEAD)
            fleet.resume(FIRST[0])
            await asyncio.sleep(20)
            return dead

        self.assertEqual(_simulate(scenario), set())

    def test_delegate_behind_a_broken_link_does_not_cut_off_its_data_centre(self):
        """Guards against a data centre that counts as unreachable through one link."""
        hosts = make_topology(data_centres=2, regions=1, hosts_each=4)

        async def scenario(fleet):
            first = rank_hosts(fleet.daemons[FIRST[0]].registry, "dc1")[0].host
            fleet.network.cut([first], FIRST, two_way=True)
            found = []
            for _ in range(30):
                await asyncio.sleep(1)
                found += fleet.daemons[FIRST[0]].membership.unreachable_data_centres()
            return found

        self.assertEqual(_simulate(scenario, hosts), [])

    def test_reused_address_does_not_keep_the_previous_host_alive(self):
        """Guards against accepting a reply of another host at the same address."""

        async def scenario(fleet):
            await fleet.kill(FIRST[2:3])
            other = fleet.network.create_endpoint(
                FIRST[2], host="other", incarnation=1, clock=fleet.clock
            )

            async def answer(message, _host):
                return HeartbeatReply("other", 1, message.head, message.digests)

            other.set_handler(Heartbeat, answer)
            await other.start()
            return await fleet.run_until_converged(seconds=15)

        self.assertIsNotNone(_simulate(scenario))

    @parameterized.expand(
        [
            ("cluster", {"cluster": "other"}, 1, ErrorCode.CLUSTER_MISMATCH),
            ("version", {}, 9, ErrorCode.PROTOCOL_MISMATCH),
        ]
    )
    def test_foreign_daemon_changes_nothing(self, _name, options, version, code):
        """Guards against records from another cluster or protocol version."""

        async def scenario(fleet):
            foreign = fleet.network.create_endpoint(
                "foreign", host="x", incarnation=1, clock=fleet.clock, **options
            )
            foreign.protocol_version = version
            await foreign.start()
            target = fleet.daemons[FIRST[0]]
            victim = target.registry.find(FIRST[1])
            foreign.send(FIRST[0], Records((_make_dead(victim),)))
            await asyncio.sleep(1)
            return dict(target.endpoint.refused), target.registry.find(FIRST[1])

        refused, record = _simulate(scenario)
        self.assertEqual(refused, {code: 1})
        self.assertEqual(record.status, HostStatus.ALIVE)

    @parameterized.expand(
        [
            ("malformed", b"\x96\xa4test", ErrorCode.FRAME_MALFORMED),
            (
                "oversized",
                bytes(MAX_CONTROL_FRAME_BYTES + 4096),
                ErrorCode.FRAME_TOO_LARGE,
            ),
        ]
    )
    def test_faulty_frame_changes_nothing(self, _name, frame, code):
        """Guards against a daemon that fails on a malformed or oversized frame."""

        async def scenario(fleet):
            fleet.network.inject(FIRST[1], FIRST[0], frame)
            await asyncio.sleep(10)
            return dict(fleet.daemons[FIRST[0]].endpoint.refused), fleet.has_converged()

        self.assertEqual(_simulate(scenario), ({code: 1}, True))

    def test_new_daemon_without_a_live_seed_does_not_count_as_joined(self):
        async def scenario(fleet):
            await fleet.kill(fleet.seeds)
            fleet.hosts = {**fleet.hosts, "new": ("dc0", "region0")}
            await fleet.start(["new"])
            new_daemon = fleet.daemons["new"].membership
            await asyncio.sleep(30)
            waiting = new_daemon.joined
            new_daemon.add_seeds([SECOND[1]])
            return (
                waiting,
                await fleet.run_until_converged(seconds=60),
                new_daemon.joined,
            )

        waiting, agreed, joined = _simulate(scenario)
        self.assertEqual((waiting, joined), (False, True))
        self.assertIsNotNone(agreed)


class ZmqMembershipTest(unittest.IsolatedAsyncioTestCase):
    """Membership must work over ZeroMQ links as over the simulated network."""

    async def test_daemons_join_through_a_seed_and_leave(self):
        clock, members = SystemClock(), []
        for number in range(4):
            host, registry = f"h{number}", Registry()
            endpoint = ZmqControlEndpoint(
                cluster="c",
                host=host,
                incarnation=1,
                address="127.0.0.1:0",
                clock=clock,
            )
            await endpoint.start()
            self.addAsyncCleanup(endpoint.close)
            place = f"d{number % 2}"
            record = HostRecord(host, place, "r", endpoint.address, "p", 1)
            member = Membership(
                record=record,
                endpoint=endpoint,
                registry=registry,
                clock=clock,
                seeds=[m.record.control_address for m, _ in members[:1]],
                head=lambda: Head(0, ""),
            )
            await member.start()
            self.addAsyncCleanup(member.close)
            members.append((member, registry))
        await self.wait_until(lambda: all(len(r) == 4 for _, r in members))
        leaver, _ = members.pop()
        await leaver.leave()
        await leaver.close()
        left = HostStatus.LEFT
        await self.wait_until(
            lambda: all(r.find("h3").status is left for _, r in members)
        )

    async def wait_until(self, condition):
        async with asyncio.timeout(60):
            while not condition():
                await asyncio.sleep(0.02)


def _track_hosts(daemons, status):
    """Return a set that collects the hosts with records of at least ``status``.

    It grows while the fleet runs, with each such record that a daemon accepts.
    """
    hosts = set()

    def listen(records):
        hosts.update(r.host for r in records if r.status >= status)

    for daemon in daemons:
        daemon.membership.add_change_listener(listen)
    return hosts


def _list_unreachable(fleet):
    return {
        host: set(daemon.membership.unreachable_data_centres())
        for host, daemon in fleet.daemons.items()
    }


def _make_dead(record):
    return HostRecord(
        record.host,
        record.data_centre,
        record.region,
        record.control_address,
        record.peer_address,
        record.incarnation,
        record.sequence,
        HostStatus.DEAD,
    )
