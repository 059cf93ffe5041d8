"""Notices between daemons: records, versions, and configurations."""

from __future__ import annotations

import asyncio
import unittest
import zlib

from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.isolation import ISOLATION_DELAY_S
from almondrouter.protocol.calls import (
    HostNotice,
    RoutesNotice,
    RoutesQuery,
)
from almondrouter.state.hosts import encode_host
from almondrouterd import peers as module
from almondrouterd.peers import Peers
from almondrouterd.platform.configuration import CONFIGURATION_KEY, decode_routes
from platform_support import SERVICE, make_configuration
from test_coordination_directory import make_entry


class FakeLinks:
    """Records what is sent; every peer answers."""

    def __init__(self):
        self.notices = []
        self.queries = []
        self.warmed = []
        self.answer = None

    alive = True

    def is_alive(self, address):
        return self.alive

    def preconnect(self, address):
        self.warmed.append(address)

    def send_notice(self, address, notice):
        self.notices.append((address, notice))

    async def call(self, address, request):
        self.queries.append((address, request))
        return self.answer


class FakeFeed:
    """Says that it follows the store."""

    watching = True
    reaches_store = True
    rereads = 0

    def request_reread(self):
        self.rereads += 1

    def set_watching(self, watching):
        self.watching = watching


class PeersTest(unittest.IsolatedAsyncioTestCase):
    """One daemon hears notices from others of its region."""

    async def asyncSetUp(self):
        self.links, self.feed = FakeLinks(), FakeFeed()
        self.directory = HostDirectory(
            clock=SystemClock(), is_alive=self.links.is_alive
        )
        self.routes = ActiveRoutes(
            CONFIGURATION_KEY,
            decode_routes,
            changed=lambda: self.peers.hand_routes_on(),
        )
        self.peers = Peers(
            links=self.links,
            directory=self.directory,
            routes=self.routes,
            feed=self.feed,
            own_host="h5",
            own_region="r",
            make_entry=lambda: make_entry("h5"),
            clock=SystemClock(),
        )
        patience = module.STORE_PATIENCE_S
        module.STORE_PATIENCE_S = 0.01
        self.addCleanup(setattr, module, "STORE_PATIENCE_S", patience)

    def hear(self, host="h6", *, version=0, reaches_store=True, **entry):
        record = encode_host(make_entry(host, **entry))
        self.peers.take_notice(HostNotice(record, version, reaches_store))

    async def test_host_is_known_without_the_store(self):
        """Guards against hosts that nobody knows while the store is away."""
        self.hear()
        self.assertEqual(1, len(self.directory.find_destinations("s")))
        self.assertEqual(["h6:1"], self.links.warmed)

    async def test_silent_peers_tell_of_a_cut(self):
        """Guards against callers kept at a host that reaches nobody."""
        for number in range(10, 15):
            self.hear(f"h{number}")
        self.links.alive = False
        self.peers.tidy()
        self.assertFalse(self.peers.is_isolated)
        await asyncio.sleep(ISOLATION_DELAY_S)
        self.assertTrue(self.peers.is_isolated)
        self.links.alive = True
        self.peers.tidy()
        self.assertFalse(self.peers.is_isolated)

    async def test_unreadable_notices_change_nothing(self):
        """Guards against bytes of a foreign writer that end the daemon."""
        self.peers.take_notice(HostNotice(b"{", 3, True))
        self.peers.take_notice(RoutesNotice(b"no zlib"))
        self.peers.take_notice(RoutesNotice(zlib.compress(b"{")))
        self.assertEqual((0, 0), (len(self.directory), self.routes.version))

    async def test_next_version_is_handed_on_as_a_difference(self):
        """Guards against storms of versions that fill narrow links."""
        self.hear("h6")
        many = [{"name": f"s{n}"} for n in range(500)] + [{"name": SERVICE}]
        for version in (4, 5):
            self.routes.activate(make_configuration(version, services=many))
        whole, delta = (notice for _, notice in self.links.notices)
        self.assertEqual((4, 0, 5, 4), tuple(find_versions(whole, delta)))
        self.assertLess(len(delta.compressed), len(whole.compressed) / 2)
        other = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        peers = make_peers(other)
        peers.take_notice(delta)
        self.assertEqual(0, other.version)
        for notice in (whole, delta):
            peers.take_notice(notice)
        self.assertEqual(5, other.version)
        self.assertEqual(self.routes.stored_form, other.stored_form)

    @parameterized.expand([("relay", True, 1), ("other", False, 0)])
    async def test_version_is_handed_on_once(self, _, watching, sent):
        """Guards against a region that waits, or hears everything from everyone."""
        self.hear("h6")
        self.feed.watching = watching
        self.routes.activate(make_configuration(4))
        self.assertEqual(sent, len(self.links.notices))

    async def test_newcomer_gets_the_configuration(self):
        """Guards against a restarted daemon that has to ask the store."""
        self.routes.activate(make_configuration(4))
        self.hear("h6", version=0)
        address, notice = self.links.notices[-1]
        self.assertEqual("h6:1", address)
        self.assertEqual(make_configuration(4), zlib.decompress(notice.compressed))
        self.hear("h7", version=4)
        self.assertEqual(1, len(self.links.notices))

    async def test_later_version_of_a_peer_is_fetched(self):
        """Guards against a daemon that stays behind a silent relay."""
        self.routes.activate(make_configuration(4))
        source = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        source.activate(make_configuration(9))
        self.links.answer = make_answer(source)
        for _ in range(3):
            self.peers.note_version(9, "h6:1")
        await asyncio.sleep(0.05)
        self.assertEqual((9, 1), (self.routes.version, self.feed.rereads))
        self.assertEqual(1, len(self.links.queries))
        self.assertIsInstance(self.links.queries[0][1], RoutesQuery)

    async def test_version_that_arrives_meanwhile_is_not_fetched(self):
        """Guards against a query by every daemon at each change."""
        self.peers.note_version(9, "h6:1")
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
        """Guards against a region that no daemon follows the store for."""
        self.hear(host, reaches_store=reaches_store)
        self.peers.tidy()
        self.assertEqual(watching, self.feed.watching)


def find_versions(*notices):
    """Return version and base of each notice."""
    return [n for notice in notices for n in (notice.version, notice.base)]


def make_answer(routes):
    """Return the reply of a peer that has these routes in force."""
    return make_peers(routes).answer_query()


def make_peers(routes):
    """Return the peers of a daemon that has these routes in force."""
    return Peers(
        links=None,
        directory=None,
        routes=routes,
        feed=FakeFeed(),
        own_host="h6",
        own_region="r",
        make_entry=None,
        clock=SystemClock(),
    )
