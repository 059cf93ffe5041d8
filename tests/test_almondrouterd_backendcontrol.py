"""Handling of heartbeats and deregistrations of the backend server."""

from __future__ import annotations

import asyncio
import unittest
from unittest.mock import patch

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.intake import BodyIntake
from almondrouter.coordination.localbackend import LocalBackend
from almondrouter.state.hosts import Departure, ServingState
from almondrouter.transport.calls import CallerRequest
from almondrouterd import backendcontrol
from almondrouterd.backendcontrol import BackendControl
from almondrouterd.platform.configuration import CONFIGURATION_KEY, decode_routes
from almondrouterd.platform.headers import PlatformDialect
from almondrouterd.platform.heartbeats import DEREGISTER_PATH, HEARTBEAT_PATH
from platform_support import make_configuration, make_crash_guard, make_heartbeat

READY, LEAVING = ServingState.READY, ServingState.LEAVING
OWN, OTHER = "10.0.0.1:80", "10.0.0.2:80"


class BackendControlTest(unittest.IsolatedAsyncioTestCase):
    """One backend server has sent its first heartbeat."""

    async def asyncSetUp(self):
        self.stopping = False
        self.stored = []
        self.store_answers = True
        self.known_by_peers = []
        self.routes = ActiveRoutes(CONFIGURATION_KEY, decode_routes)
        self.backend = LocalBackend(
            sender=None,
            dialect=PlatformDialect(),
            clock=ManualClock(),
            intake=BodyIntake(bytes_per_second=1_000_000, clock=ManualClock()),
            guard=make_crash_guard(ManualClock()),
            on_changed=lambda: None,
        )
        self.control = BackendControl(
            backend=self.backend,
            backend_address=OWN,
            routes=self.routes,
            is_stopping=lambda: self.stopping,
            store_state=self.store_state,
            is_known_by_peers=lambda departure: departure in self.known_by_peers,
        )
        self.assertEqual(200, await self.send_heartbeat())

    async def store_state(self):
        if not self.store_answers:
            await asyncio.Event().wait()
        entry = self.backend.entry
        self.stored.append(entry and entry.state)

    async def post(self, path, body=b""):
        request = CallerRequest("POST", path, (), body)
        return (await self.control.handle(request)).status

    async def send_heartbeat(self, backend="i-1", *, address=OWN, **changes):
        body = make_heartbeat(address, **changes)
        return await self.post(HEARTBEAT_PATH + backend, body)

    @parameterized.expand(
        [
            ("leaving", {"state": "draining"}, 200, "i-1", LEAVING),
            ("later start", {"backend": "i-2", "born": 2000}, 200, "i-2", READY),
            ("earlier start", {"born": 1, "state": "draining"}, 200, "i-1", READY),
            ("other address", {"address": OTHER, "born": 9000}, 400, "i-1", READY),
            ("unreadable", {"status": 7}, 400, "i-1", READY),
        ]
    )
    async def test_heartbeat(self, _, beat, status, backend, state):
        """Guards against forged or late heartbeats that change the routing state."""
        self.assertEqual(status, await self.send_heartbeat(**beat))
        entry = self.backend.entry
        self.assertEqual((backend, state), (entry.backend, entry.state))

    async def test_undeclared_service_is_refused(self):
        """Guards against a service that the configuration does not declare."""
        self.routes.activate(make_configuration())
        info = {"service": "other", "slots": 4}
        self.assertEqual(400, await self.send_heartbeat(born=9000, info=info))
        self.assertEqual(200, await self.send_heartbeat(born=9000))

    @parameterized.expand(
        [
            ("own", "i-1", b"", LEAVING),
            ("own start", "i-1", b'{"born":1000}', LEAVING),
            ("earlier start", "i-1", b'{"born":999}', READY),
            ("another", "i-9", b"", READY),
            ("no start time", "i-1", b"{}", LEAVING),
            ("unreadable", "i-1", b"{", LEAVING),
        ]
    )
    async def test_leaving(self, _, backend, body, state):
        """Guards against a deregistration that is lost or hits a restarted server.

        A delayed one names an earlier start time and must change nothing.
        """
        self.assertEqual(200, await self.post(DEREGISTER_PATH + backend, body))
        self.assertEqual(state, self.backend.entry.state)

    @parameterized.expand(
        [
            ("same start", 2000, b'{"born":2000}', None),
            ("no start time", 2000, b"", None),
            ("later start", 3000, b'{"born":2000}', "i-2"),
        ]
    )
    async def test_leaving_before_it_was_known(self, _, born, body, expected):
        """Guards against requests to a backend server that has deregistered.

        A restarted daemon acknowledges the deregistration before it knows the server,
        and learns of the server later from a late heartbeat or the stored record.
        """
        self.backend.entry = None
        self.assertEqual(200, await self.post(DEREGISTER_PATH + "i-2", body))
        self.assertEqual(200, await self.send_heartbeat("i-2", born=born))
        entry = self.backend.entry
        self.assertEqual(expected, entry and entry.backend)

    @parameterized.expand(
        [
            ("report", HEARTBEAT_PATH + "i-1", make_heartbeat(OWN, state="draining")),
            ("deregistration", DEREGISTER_PATH + "i-1", b""),
        ]
    )
    async def test_leaving_state_is_stored_before_it_is_acknowledged(
        self, _, path, body
    ):
        """Guards against a restarted daemon that restores a server that has left.

        The daemon loses power right after its acknowledgement.
        """
        self.assertEqual([], self.stored)
        self.assertEqual(200, await self.post(path, body))
        self.assertEqual([LEAVING], self.stored)

    async def test_departure_of_an_unknown_server_is_stored(self):
        """Guards against a departure that only the daemon's memory has.

        A restarted daemon may be told of it before the first heartbeat.
        """
        self.backend.entry = None
        self.assertEqual(200, await self.post(DEREGISTER_PATH + "i-1", b""))
        self.assertEqual([None], self.stored)
        self.assertEqual("i-1", self.backend.departure.backend)

    async def test_stopping_daemon_records_a_departure(self):
        """Guards against a departure that the next daemon of the host cannot know."""
        self.stopping = True
        self.backend.change_state(LEAVING, reason="test")
        self.assertIsNone(self.backend.departure)
        self.assertEqual(200, await self.send_heartbeat(state="draining"))
        self.assertEqual("i-1", self.backend.departure.backend)
        self.assertEqual([LEAVING], self.stored)

    @patch.object(backendcontrol, "MAX_STORE_WAIT_S", 0.01)
    async def test_leaving_is_acknowledged_without_the_store(self):
        """Guards against leaving servers without acknowledgement in a store outage."""
        self.store_answers = False
        self.known_by_peers = [Departure("i-1", 1000)]
        self.assertEqual(200, await self.send_heartbeat(state="draining"))

    @patch.object(backendcontrol, "MAX_STORE_WAIT_S", 0.01)
    async def test_leaving_that_nobody_else_knows_of_is_not_acknowledged(self):
        """Guards against a promise that is forgotten when the daemon restarts."""
        self.store_answers = False
        self.known_by_peers = [Departure("i-1", 999)]
        self.assertEqual(503, await self.send_heartbeat(state="draining"))
        self.assertEqual(LEAVING, self.backend.entry.state)
        self.known_by_peers = [Departure("i-1", 1000)]
        self.assertEqual(200, await self.post(DEREGISTER_PATH + "i-1"))

    async def test_stopping_daemon_ignores_a_new_start(self):
        """Guards against a heartbeat that makes a stopping daemon's backend ready."""
        self.stopping = True
        self.assertEqual(200, await self.send_heartbeat("i-2", born=2000))
        self.assertEqual("i-1", self.backend.entry.backend)

    @parameterized.expand([("GET", HEARTBEAT_PATH + "i-1"), ("POST", "/other")])
    async def test_unsupported_request(self, method, path):
        """Guards against an acknowledgement of requests that are not supported."""
        response = await self.control.handle(CallerRequest(method, path, (), b""))
        self.assertEqual(404, response.status)
