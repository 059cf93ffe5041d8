"""Exchange of host records and configurations between daemons."""

from __future__ import annotations

import asyncio
import random
import unittest
import zlib

import msgspec
from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.deltas import make_delta
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.isolation import ISOLATION_DELAY_S
from almondrouter.coordination.probing import PROBED_SUCCESSORS
from almondrouter.coordination.subsets import REMOTE_SERVERS_PER_SERVICE
from almondrouter.protocol.calls import (
    CALL_CODEC,
    CrashVerdict,
    HostNotice,
    RoutesNotice,
    RoutesQuery,
)
from almondrouter.state.hosts import Departure, encode_host
from almondrouterd import peers as peers_module
from almondrouterd.hostdaemon import LINK_POLICY
from almondrouterd.peers import Peers
from almondrouterd.platform.configuration import CONFIGURATION_KEY, decode_routes
from platform_support import SERVICE, make_configuration, make_evidence
from test_coordination_directory import make_entry

QUERYING_PEERS = 40
NARROW_LINK_RATE = 1.5e6
"""Bytes per second of the narrowest links that hosts have."""


class FakeLinks:
    """Records what is sent; every peer is alive unless a test says otherwise."""

    def __init__(self):
        self.notices = []
        self.queries = []
        self.warmed = []
        self.probed = frozenset()
        self.closely_probed = frozenset()
        self.kept = frozenset()
        self.silent = []
        self.suspected = []
        self.reply = None

    alive = True

    def is_alive(self, address):
        return self.alive

    def set_probed(self, addresses):
        self.probed = addresses

    def set_closely_probed(self, addresses):
        self.closely_probed = addresses

    def set_kept(self, addresses):
        self.kept = addresses

    def suspect(self, address):
        self.suspected.append(address)

    def suspect_all(self):
        self.suspected.append("all")

    def take_newly_silent(self):
        silent, self.silent = self.silent, []
        return silent

    def preconnect(self, address):
        self.warmed.append(address)

    def send_notice(self, address, notice):
        self.notices.append((address, notice))

    async def call(self, address, request):
        self.queries.append((address, request))
        return self.reply


class FakeFeed:
    """Store feed that watches the store and counts requested rereads."""

    watching = True
    reaches_store = True
    rereads = 0

    def __init__(self):
        self.on_reread = lambda: None

    def request_reread(self):
        self.rereads += 1
        self.on_reread()

    def set_watching(self, watching):
        self.watching = watching


class PeersTest(unittest.IsolatedAsyncioTestCase):
    """One daemon receives notices from others of its region."""

    async def asyncSetUp(self):
        self.links, self.feed = FakeLinks(), FakeFeed()
        self.directory = HostDirectory(
            clock=SystemClock(), is_alive=self.links.is_alive
        )
        self.evidence = make_evidence(SystemClock(), host="h5")
        self.routes = ActiveRoutes(
            CONFIGURATION_KEY,
            decode_routes,
            on_activated=lambda: self.peers.relay_routes(),
        )
        self.peers = Peers(
            links=self.links,
            directory=self.directory,
            routes=self.routes,
            feed=self.feed,
            own_host="h5",
            own_region="r",
            evidence=self.evidence,
            make_entry=lambda: make_entry("h5"),
            on_departure=lambda departure: self.departures.append(departure),
            clock=SystemClock(),
            get_store_era=lambda: self.store_era,
            on_store_restored=self.count_restore,
        )
        self.departures = []
        self.store_era = self.restores = 0
        delay = peers_module.CATCH_UP_DELAY_S
        peers_module.CATCH_UP_DELAY_S = 0.01
        self.addCleanup(setattr, peers_module, "CATCH_UP_DELAY_S", delay)
        delay = getattr(peers_module, "REREAD_DELAY_S", 0.0)
        peers_module.REREAD_DELAY_S = 0.01
        self.addCleanup(setattr, peers_module, "REREAD_DELAY_S", delay)

    async def test_verdicts_of_a_peer_are_taken_over_and_passed_on(self):
        """Guards against a request that is refused only where its servers crashed."""
        verdict = CrashVerdict("a" * 32, 3)
        record = encode_host(make_entry("h6"))
        notice = HostNotice(record, 0, True, verdicts=(verdict,))
        self.peers.handle_notice(notice)
        self.assertIsNotNone(self.evidence.find_condemned_until("a" * 32))
        self.assertEqual((verdict,), self.peers.make_notice().verdicts)

    def receive_notice(self, host="h6", *, version=0, reaches_store=True, **entry):
        record = encode_host(make_entry(host, **entry))
        self.peers.handle_notice(HostNotice(record, version, reaches_store))

    async def test_host_is_known_without_the_store(self):
        """Guards against hosts that stay unknown while the store is unavailable."""
        self.receive_notice()
        self.assertEqual(1, len(self.directory.find_destinations("s")))
        self.assertEqual(["h6:1"], self.links.warmed)

    @parameterized.expand(
        [
            ("later", 1, 2, 1),
            ("same", 2, 2, 0),
            ("earlier", 2, 1, 0),
            ("unknown to the peer", 2, 0, 0),
            ("unknown here", 0, 2, 0),
        ]
    )
    async def test_later_era_of_the_store_is_looked_for(self, _, own, heard, expected):
        """Guards against hosts that hear of a restore only by their next renewal."""
        self.store_era = own
        notice = HostNotice(encode_host(make_entry("h6")), 0, True, store_era=heard)
        self.peers.handle_notice(notice)
        self.assertEqual(expected, self.restores)
        self.assertEqual(own, self.peers.make_notice().store_era)

    def count_restore(self):
        self.restores += 1

    async def test_restarted_daemon_is_reminded_of_a_departure(self):
        """Guards against a departure that is forgotten if the store never had it."""
        left = Departure("b1", 1)
        self.receive_notice(departure=left)
        self.links.notices.clear()
        self.receive_notice(incarnation=2)
        [(address, reminder)] = self.links.notices
        self.assertEqual(("h6:1", left), (address, reminder.departure))
        self.peers.handle_notice(reminder)
        self.assertEqual([left], self.departures)
        self.receive_notice(incarnation=2, departure=left)
        self.assertEqual(1, len(self.links.notices))

    @parameterized.expand(
        [
            ("new", None, True, True),
            ("known", Departure("b1", 1), True, False),
            ("known, no store", Departure("b1", 1), False, True),
        ]
    )
    async def test_departure_is_confirmed(self, _, known, reaches_store, expected):
        """Guards against an acknowledgement of which only one process knows.

        A confirmation is not answered, or two daemons would send them without end.
        """
        left = Departure("b1", 1)
        self.receive_notice(departure=known)
        self.links.notices.clear()
        self.receive_notice(departure=left, reaches_store=reaches_store)
        confirmed = [notice.departure for _, notice in self.links.notices]
        self.assertEqual([left] if expected else [], confirmed)
        self.assertFalse(self.peers.has_confirmed(left))
        self.links.notices.clear()
        record = encode_host(make_entry("h7", departure=Departure("b7", 1)))
        self.peers.handle_notice(HostNotice(record, 0, False, (), left))
        self.assertTrue(self.peers.has_confirmed(left))
        self.assertEqual([], self.links.notices)

    async def test_silent_peers_mark_the_host_as_isolated(self):
        """Guards against an isolated host that still reports itself as ready."""
        for number in range(10, 15):
            self.receive_notice(f"h{number}")
        self.links.alive = False
        self.peers.run_maintenance()
        self.assertFalse(self.peers.is_isolated)
        await asyncio.sleep(ISOLATION_DELAY_S)
        self.assertTrue(self.peers.is_isolated)
        self.links.alive = True
        self.peers.run_maintenance()
        self.assertFalse(self.peers.is_isolated)

    async def test_silent_peer_is_announced_once(self):
        """Guards against a silent host that stays the choice of others.

        They ping it rarely and rely on the news of its observers.
        """
        for number in (6, 7):
            self.receive_notice(f"h{number}")
        self.links.notices.clear()
        for _ in range(2):
            self.links.silent = ["h6:1", "h6:1"]
            self.peers.run_maintenance()
        news = [(to, n.silent_peers) for to, n in self.links.notices]
        self.assertEqual([("h6:1", ("h6:1",)), ("h7:1", ("h6:1",))], news)

    async def test_reported_peer_is_checked_and_not_reported_again(self):
        """Guards against reports that every daemon repeats to every other one."""
        self.receive_notice("h6")
        record = encode_host(make_entry("h6"))
        self.peers.handle_notice(HostNotice(record, 0, True, ("h7:1",)))
        self.assertEqual(["h7:1"], self.links.suspected)
        self.links.notices.clear()
        self.links.silent = ["h7:1"]
        self.peers.run_maintenance()
        self.assertEqual([], self.links.notices)

    async def test_each_region_announces_silent_peers(self):
        """Guards against a region that only observers elsewhere have told its hosts.

        A report from another region reaches only the hosts with links to its sender.
        """
        self.receive_notice("h6")
        record = encode_host(make_entry("h8", region="other"))
        self.peers.handle_notice(HostNotice(record, 0, True, ("h7:1",)))
        self.assertEqual(["h7:1"], self.links.suspected)
        self.links.notices.clear()
        self.links.silent = ["h7:1"]
        self.peers.run_maintenance()
        self.assertIn("h6:1", [to for to, _ in self.links.notices])

    async def test_few_links_are_kept_to_another_region(self):
        """Guards against links to all hosts, which few calls use, and their records."""
        for number in range(10, 70):
            self.directory.put(make_entry(f"h{number}", region="other"))
            self.directory.put(make_entry(f"i{number}"))
        self.peers.select_peers()
        remote = {a for a in self.links.warmed if a.startswith("h")}
        self.assertEqual(60, len(set(self.links.warmed) - remote))
        most = REMOTE_SERVERS_PER_SERVICE + PROBED_SUCCESSORS
        self.assertLessEqual(len(remote), most)
        self.assertEqual(set(self.links.warmed), set(self.links.kept))

    async def test_selection_waits_for_more_records(self):
        """Guards against needless links while the hosts of a fleet start together."""
        self.peers.run_maintenance()
        self.directory.put(make_entry("h6"))
        self.peers.run_maintenance()
        self.assertEqual([], self.links.warmed)
        self.peers.select_peers()
        self.assertEqual(["h6:1"], self.links.warmed)

    async def test_sender_of_a_notice_is_connected(self):
        """Guards against a host of another region that does not learn of changes."""
        self.receive_notice("h6", region="other")
        self.receive_notice("h5")
        self.assertEqual(["h6:1"], self.links.warmed)

    @parameterized.expand([("alive", True, []), ("silent", False, ["all"])])
    async def test_all_links_are_checked_if_few_respond(self, _, alive, suspected):
        """Guards against a host that is cut off and still relies on old news."""
        for number in range(10, 50):
            self.receive_notice(f"h{number}")
        self.links.alive = alive
        self.peers.run_maintenance()
        self.assertEqual(suspected, self.links.suspected)

    async def test_relay_is_probed(self):
        """Guards against a region whose relay falls silent unnoticed."""
        for number in range(10, 50):
            self.receive_notice(f"h{number}")
        self.peers.run_maintenance()
        self.assertIn("h10:1", self.links.probed)
        self.assertLessEqual(len(self.links.probed), PROBED_SUCCESSORS + 1)

    async def test_standby_probes_the_relay_closely(self):
        """Guards against a version that a frozen relay holds back for too long."""
        self.receive_notice("h4")
        self.receive_notice("h6")
        for alive in (True, False):
            self.links.alive = alive
            self.peers.run_maintenance()
            self.assertEqual({"h4:1"}, self.links.closely_probed)

    async def test_malformed_notices_change_nothing(self):
        """Guards against malformed notices that stop the daemon or change its state."""
        self.peers.handle_notice(HostNotice(b"{", 3, True))
        self.peers.handle_notice(RoutesNotice(b"no zlib"))
        self.peers.handle_notice(RoutesNotice(zlib.compress(b"{")))
        self.assertEqual((0, 0), (len(self.directory), self.routes.version))

    async def test_next_version_is_relayed_as_a_delta(self):
        """Guards against frequent versions that saturate narrow links."""
        self.receive_notice("h6")
        many = [{"name": f"s{n}"} for n in range(500)] + [{"name": SERVICE}]
        for version in (4, 5):
            self.routes.activate(make_configuration(version, services=many))
        whole, delta = (notice for _, notice in self.links.notices)
        self.assertEqual((4, 0, 5, 4), tuple(find_versions(whole, delta)))
        self.assertLess(len(delta.compressed), len(whole.compressed) / 2)
        other = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        peers = make_peers(other)
        peers.handle_notice(delta)
        self.assertEqual(0, other.version)
        for notice in (whole, delta):
            peers.handle_notice(notice)
        self.assertEqual(5, other.version)
        self.assertEqual(self.routes.stored_form, other.stored_form)

    @parameterized.expand([("relay", True, 1), ("other", False, 0)])
    async def test_only_the_relay_sends_a_version_on(self, _, watching, sent):
        """Guards against a version that no daemon or every daemon sends on."""
        self.receive_notice("h6")
        self.feed.watching = watching
        self.routes.activate(make_configuration(4))
        self.assertEqual(sent, len(self.links.notices))

    async def test_new_relay_sends_a_version_that_it_learned_before(self):
        """Guards against a version that a region misses because its relay had it early.

        A started daemon polls for some seconds before it watches, and may learn of
        several versions meanwhile.
        """
        self.receive_notice("h6", version=3)
        self.feed.watching = False
        for version in (4, 5):
            self.routes.activate(make_configuration(version))
        self.peers.run_maintenance()
        ((address, notice),) = self.links.notices
        self.assertEqual("h6:1", address)
        self.assertEqual((5, 0), (notice.version, notice.base))
        self.peers.run_maintenance()
        self.assertEqual(1, len(self.links.notices))

    async def test_new_relay_repeats_the_last_version_of_the_relay_before(self):
        """Guards against a version that only a part of the region got.

        The earlier relay may have lost power while it sent the version.
        """
        self.receive_notice("h6", version=3)
        self.feed.watching = False
        self.routes.activate(make_configuration(3))
        earlier = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        earlier.activate(make_configuration(3))
        earlier.activate(make_configuration(4))
        self.peers.handle_notice(make_relayed_notice(earlier))
        self.peers.run_maintenance()
        ((address, notice),) = self.links.notices
        self.assertEqual("h6:1", address)
        self.assertEqual((4, 3), (notice.version, notice.base))

    async def test_new_relay_without_routes_sends_nothing(self):
        """Guards against an empty configuration that a started relay sends."""
        self.receive_notice("h6", version=0)
        self.feed.watching = False
        self.peers.run_maintenance()
        self.assertTrue(self.feed.watching)
        self.assertEqual([], self.links.notices)

    async def test_outdated_peer_is_sent_the_configuration(self):
        """Guards against a restarted daemon that needs the store to get its routes."""
        self.routes.activate(make_configuration(4))
        self.receive_notice("h6", version=0)
        address, notice = self.links.notices[-1]
        self.assertEqual("h6:1", address)
        self.assertEqual(make_configuration(4), zlib.decompress(notice.compressed))
        self.receive_notice("h7", version=4)
        self.assertEqual(1, len(self.links.notices))

    async def test_later_version_of_a_peer_is_fetched(self):
        """Guards against a daemon that stays outdated because its relay is silent."""
        self.routes.activate(make_configuration(4))
        source = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        source.activate(make_configuration(9))
        self.links.reply = make_routes_reply(source)
        for _ in range(3):
            self.peers.catch_up_to(9, "h6:1")
        await asyncio.sleep(0.05)
        self.assertEqual((9, 1), (self.routes.version, self.feed.rereads))
        self.assertEqual(1, len(self.links.queries))
        self.assertIsInstance(self.links.queries[0][1], RoutesQuery)

    async def test_version_that_the_store_delivers_is_not_fetched(self):
        """Guards against a host that all its peers query for the same version."""
        loop = asyncio.get_running_loop()
        value = make_configuration(9)
        self.feed.on_reread = lambda: loop.call_soon(self.routes.activate, value)
        self.peers.catch_up_to(9, "h6:1")
        await asyncio.sleep(0.05)
        self.assertEqual((9, 1), (self.routes.version, self.feed.rereads))
        self.assertEqual([], self.links.queries)

    async def test_unreachable_store_is_not_waited_for(self):
        """Guards against a late version where only peers can deliver it."""
        peers_module.REREAD_DELAY_S = 10.0
        self.feed.reaches_store = False
        source = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        source.activate(make_configuration(9))
        self.links.reply = make_routes_reply(source)
        self.peers.catch_up_to(9, "h6:1")
        await asyncio.sleep(0.05)
        self.assertEqual(9, self.routes.version)

    async def test_replies_to_many_queries_fit_a_narrow_link(self):
        """Guards against a host that seems dead while it sends its configuration."""
        names = random.Random(1)
        many = [{"name": f"s{names.getrandbits(24)}"} for _ in range(2000)]
        services = [*many, {"name": SERVICE}]
        source = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        source.activate(make_configuration(9, services=services))
        data = CALL_CODEC.encode(make_routes_reply(source))
        self.links.reply = CALL_CODEC.decode(data)
        sent = QUERYING_PEERS * len(data)
        self.assertLess(sent / NARROW_LINK_RATE, LINK_POLICY.max_silence)
        self.peers.catch_up_to(9, "h6:1")
        await asyncio.sleep(0.05)
        self.assertEqual(source.stored_form, self.routes.stored_form)

    async def test_malformed_reply_is_ignored(self):
        """Guards against a daemon that stays outdated after a truncated reply."""
        self.routes.activate(make_configuration(4))
        source = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        source.activate(make_configuration(9))
        reply = make_routes_reply(source)
        truncated = msgspec.structs.replace(reply, body=reply.body[:-9])
        for self.links.reply, version in ((truncated, 4), (reply, 9)):
            self.peers.catch_up_to(9, "h6:1")
            await asyncio.sleep(0.05)
            self.assertEqual(version, self.routes.version)

    @parameterized.expand([("earlier sender", False), ("current sender", True)])
    async def test_reply_is_compressed_on_request(self, _, accepted):
        """Guards against replies that a daemon of an earlier release cannot read."""
        self.routes.activate(make_configuration(9))
        query = RoutesQuery(0, 0.0, accepts_compressed=accepted)
        reply = self.peers.answer_routes_query(query)
        self.assertEqual(accepted, reply.body != self.routes.stored_form)

    async def test_peer_without_routes(self):
        """Guards against a malformed reply of a daemon that has just started."""
        reply = make_routes_reply(self.routes)
        self.assertEqual(b"", zlib.decompress(reply.body))

    async def test_reply_of_an_earlier_release(self):
        """Guards against ignoring a peer that sends its configuration as it is."""
        source = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        source.activate(make_configuration(9))
        self.links.reply = make_peers(source).answer_routes_query(RoutesQuery(0, 0.0))
        self.peers.catch_up_to(9, "h6:1")
        await asyncio.sleep(0.05)
        self.assertEqual(9, self.routes.version)

    async def test_version_that_arrives_in_time_is_not_fetched(self):
        """Guards against every daemon querying its peers at each change."""
        self.peers.catch_up_to(9, "h6:1")
        self.routes.activate(make_configuration(9))
        await asyncio.sleep(0.05)
        self.assertEqual([], self.links.queries)

    @parameterized.expand(
        [
            ("later host", "h6", True, True),
            ("earlier host", "h1", True, False),
            ("earlier host without the store", "h1", False, True),
        ]
    )
    async def test_relay_is_elected(self, _, host, reaches_store, watching):
        """Guards against a region in which no daemon watches the store."""
        self.receive_notice(host, reaches_store=reaches_store)
        self.peers.run_maintenance()
        self.assertEqual(watching, self.feed.watching)


def find_versions(*notices):
    """Return version and base of each notice."""
    return [n for notice in notices for n in (notice.version, notice.base)]


def make_relayed_notice(routes):
    """Return the notice in which a relay sends on its latest version."""
    base, base_form = routes.previous
    delta = make_delta(base_form, routes.stored_form)
    return RoutesNotice(delta, routes.version, base, "h1:1")


def make_routes_reply(routes):
    """Return the reply to a routes query of a peer with these routes in force."""
    query = RoutesQuery(0, 0.0, accepts_compressed=True)
    return make_peers(routes).answer_routes_query(query)


def make_peers(routes):
    """Return the `Peers` of a daemon with these routes in force."""
    return Peers(
        links=None,
        directory=None,
        routes=routes,
        feed=FakeFeed(),
        own_host="h6",
        own_region="r",
        evidence=make_evidence(SystemClock()),
        make_entry=None,
        on_departure=None,
        clock=SystemClock(),
    )
