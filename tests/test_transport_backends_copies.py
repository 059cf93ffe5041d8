"""Responses that a backend server sends twice or breaks off, read from real sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest
from enum import Enum, auto

import msgspec
import uvloop
from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.coordination.intake import BodyIntake
from almondrouter.coordination.localbackend import LocalBackend
from almondrouter.errors import ErrorCode
from almondrouter.protocol.headers import Outcome
from almondrouter.state.hosts import BackendEntry, ServingState
from almondrouter.transport.backends import BackendClient
from almondrouterd.platform.headers import PlatformDialect
from calls_support import CallAssertions, make_request
from platform_support import make_crash_guard

TIMEOUT_S = 2.0
COPY_LEAD_S = 0.02
"""Time from a copy to the true response, so that each is read on its own."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def make_response(status, *, attempt="", refused=False, body=b"", length=True):
    """Return a response of a backend server as bytes."""
    lines = [f"HTTP/1.1 {status} x", "Response-Signature: s"]
    if attempt:
        lines.append(f"Attempt-Id: {attempt}")
    if refused:
        lines.append("Not-Executed: full")
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "\r\n"]).encode() + body


REFUSAL = make_response(503, refused=True)
MISDIRECTED = make_response(421)
SUCCESS = make_response(200, body=b"other")
OWN = make_response(200, attempt="second", body=b"own")
CHUNKED = (
    make_response(200, attempt="a", length=False).removesuffix(b"\r\n")
    + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
)


class End(Enum):
    """How a connection ends after its script."""

    BY_CLIENT = auto()
    CLOSED = auto()
    CLOSED_THEN_RESET = auto()
    RESET = auto()


class BackendTestCase(CallAssertions, unittest.IsolatedAsyncioTestCase):
    """A local backend server whose responses are scripts: lists of byte strings.

    Each request of the connection with a number takes the next script of that number.
    """

    async def asyncSetUp(self):
        self.scripts = []
        self.unused_scripts = 0
        self.end = End.BY_CLIENT
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        host, port = self.server.sockets[0].getsockname()
        clock = SystemClock()
        self.client = BackendClient(
            f"{host}:{port}", connections=2, clock=clock, accept_unframed=True
        )
        self.addAsyncCleanup(self.client.close)
        self.backend = LocalBackend(
            sender=self.client,
            dialect=PlatformDialect(),
            clock=clock,
            intake=BodyIntake(bytes_per_second=1_000_000, clock=clock),
            guard=make_crash_guard(clock),
            on_changed=lambda: None,
        )
        self.backend.apply_announcement(
            BackendEntry("b", 1, "s", 2, ServingState.READY)
        )

    async def serve(self, reader, writer):
        script = self.scripts.pop(0)
        try:
            for response in script:
                await reader.readuntil(b"\r\n\r\n")
                for part in response:
                    writer.write(part)
                    await asyncio.sleep(COPY_LEAD_S if len(response) > 1 else 0)
            if self.end is End.RESET:
                connection = writer.get_extra_info("socket")
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
            elif self.end is End.BY_CLIENT:
                await reader.read()
        except (EOFError, ConnectionError):
            # The client does not reuse the connection, so requests are left over.
            self.unused_scripts += 1
        finally:
            writer.close()

    def run_attempt(self, attempt, *, repeatable=False):
        request = make_request(deadline=SystemClock().monotonic() + TIMEOUT_S)
        return self.backend.run(
            msgspec.structs.replace(request, attempt_id=attempt, repeatable=repeatable)
        )

    async def assert_refused(self, attempt):
        await self.assert_fails(
            self.run_attempt(attempt), ErrorCode.BACKEND_REFUSED, Outcome.NOT_RUN
        )

    @property
    def opened(self):
        """Number of connections that the client has opened."""
        return self.client.counts["connections_opened"]


class CopiedResponseTest(BackendTestCase):
    """The second request on a kept connection reads what belongs to the first."""

    @parameterized.expand(
        [
            ("refusal without id", REFUSAL),
            ("misdirected without id", MISDIRECTED),
            ("success without id", SUCCESS),
            ("refusal", make_response(503, attempt="first", refused=True)),
            ("success", make_response(200, attempt="first", body=b"other")),
            ("two refusals without id", REFUSAL + REFUSAL),
        ]
    )
    async def test_copy_is_discarded(self, _, copy):
        """Guards against reporting a request that runs as not run, or another's body.

        The backend server sends a response of an earlier request once more, after the
        next request has been sent and before its own response.
        """
        first = make_response(503, attempt="first", refused=True)
        self.scripts = [[[first], [copy, OWN]]]
        await self.assert_refused("first")
        reply = await self.run_attempt("second")
        self.assertEqual((200, b"own"), (reply.status, reply.body))
        self.assertEqual(1, self.opened)

    async def test_copy_without_a_response_is_unknown(self):
        """Guards against a refusal that is believed because nothing follows it."""
        self.scripts = [[[make_response(200, attempt="first")], [REFUSAL]]]
        self.end = End.RESET
        await self.run_attempt("first")
        await self.assert_fails(
            self.run_attempt("second"), ErrorCode.BACKEND_FAILED, Outcome.UNKNOWN
        )

    async def test_refused_attempt_is_sent_again_on_another_connection(self):
        """Guards against a copy of the attempt's own refusal, which has the same id."""
        refusal = make_response(503, attempt="first", refused=True)
        success = make_response(200, attempt="first", body=b"own")
        self.scripts = [[[refusal], [refusal]], [[success]]]
        await self.assert_refused("first")
        reply = await self.run_attempt("first")
        self.assertEqual(b"own", reply.body)
        self.assertEqual(2, self.opened)

    async def test_true_refusals_are_believed_and_keep_the_connection(self):
        """Guards against refusals of a full backend server that cost connections."""
        attempts = [str(number) for number in range(20)]
        self.scripts = [
            [[make_response(503, attempt=a, refused=True)] for a in attempts]
        ]
        for attempt in attempts:
            await self.assert_refused(attempt)
        self.assertEqual(1, self.opened)

    async def test_request_without_id_gets_a_new_connection(self):
        """Guards against requests whose responses cannot be told from earlier ones."""
        self.scripts = [[[make_response(200, body=b"own")]] for _ in range(3)]
        for _ in range(3):
            reply = await self.run_attempt("")
            self.assertEqual(b"own", reply.body)
        self.assertEqual(3, self.opened)


class BrokenHeadTest(BackendTestCase):
    """The backend server stops in the middle of the head of its response."""

    @parameterized.expand(
        [
            (f"{name}, {end.name}", response, end)
            for name, response in (
                ("length", make_response(200, attempt="a", body=b"body")),
                ("chunked", CHUNKED),
                ("no length", make_response(200, attempt="a", length=False)),
                ("refusal", make_response(503, attempt="a", refused=True)),
            )
            for end in (End.CLOSED, End.RESET)
        ]
    )
    async def test_head_that_ends_early_is_no_response(self, _, response, end):
        """Guards against a broken head that is passed on as an empty response."""
        self.end = end
        for length in range(response.index(b"\r\n\r\n") + 4):
            self.scripts = [[[response[:length]]]]
            with self.subTest(length=length):
                await self.assert_fails(
                    self.run_attempt("a"), ErrorCode.BACKEND_FAILED, Outcome.UNKNOWN
                )


class UnframedBodyEndTest(CallAssertions, unittest.TestCase):
    """A body without a length, whose last bytes and end are noticed together."""

    @parameterized.expand(
        [
            (f"{loop}, {end.name}", factory, end)
            for loop, factory in (
                ("asyncio", asyncio.new_event_loop),
                ("uvloop", uvloop.new_event_loop),
            )
            for end in (End.CLOSED, End.CLOSED_THEN_RESET, End.RESET)
        ]
    )
    def test_body_without_length_is_whole_only_if_closed(self, _, factory, end):
        """Guards against passing on a body that a reset cut short as a whole one.

        uvloop reports a reset that is pending behind readable bytes as an end.
        """
        with asyncio.Runner(loop_factory=factory) as runner:
            runner.run(self.check_end(end))

    async def check_end(self, end):
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listening:
            listening.setblocking(False)
            host, port = listening.getsockname()
            client = BackendClient(
                f"{host}:{port}",
                connections=1,
                clock=SystemClock(),
                accept_unframed=True,
            )
            serving = loop.create_task(self.send_body(listening, end))
            deadline = SystemClock().monotonic() + TIMEOUT_S
            response = client.send("GET", "/", (), b"", deadline=deadline)
            if end is End.RESET:
                code = ErrorCode.BACKEND_FAILED
                await self.assert_fails(response, code, Outcome.UNKNOWN)
            else:
                self.assertEqual(b"part", (await response).body)
            await serving
            await client.close()
            await asyncio.sleep(0)

    async def send_body(self, listening, end):
        """Send a response and end its connection in one turn of the event loop."""
        loop = asyncio.get_running_loop()
        connection, _ = await loop.sock_accept(listening)
        with connection:
            connection.setblocking(False)
            await loop.sock_recv(connection, 65_536)
            connection.send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
            if end is End.CLOSED_THEN_RESET:
                connection.shutdown(socket.SHUT_WR)
            if end is not End.CLOSED:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
