"""Tests of the backend client: whether a failed request may have run."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import tracemalloc
import unittest

from parameterized import parameterized

from almondrouter.clock import SystemClock
from almondrouter.errors import ErrorCode
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.transport.backends import (
    MAX_RESPONSE_BYTES,
    TCP_USER_TIMEOUT_S,
    BackendClient,
)
from calls_support import TIMEOUT_S, CallAssertions, wait_until

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
LATE = OK.replace(b"\r\n\r\n", b"\r\nAttempt: other\r\n\r\n")
LONG_LATE = LATE.replace(b"Length: 4", b"Length: 240000") + bytes(239_996)
OWN = LATE.replace(b"other", b"own").replace(b"body", b"mine")
SHED = b"HTTP/1.1 503 x\r\nAlmond-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"
SHED_IN_TRAILER = (
    CHUNKED.replace(b"200 OK", b"503 x") + b"0\r\nAlmond-Outcome: not-run\r\n\r\n"
)
SHED_200 = OK.replace(b"\r\n\r\n", b"\r\nAlmond-Outcome: not-run\r\n\r\n")


def is_own(headers, reused):
    """Return whether the headers have the id of the request."""
    return ("attempt", "own") in headers


class BackendClientTest(CallAssertions, unittest.IsolatedAsyncioTestCase):
    """Requests to a server that sends the scripted bytes as its response."""

    async def asyncSetUp(self):
        self.requests = []
        self.closed = 0
        self.aborting_reused = False
        self.script = None
        self.release = asyncio.Event()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        self.use_client()

    def use_client(self, **options):
        host, port = self.server.sockets[0].getsockname()
        self.client = BackendClient(
            f"{host}:{port}", connections=2, clock=SystemClock(), **options
        )
        self.addAsyncCleanup(self.client.close)

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if self.aborting_reused and len(self.requests) == 1:
                    self.aborting_reused = False
                    writer.transport.abort()
                    return
                self.requests.append(head)
                if self.script is None:
                    await self.release.wait()
                    writer.write(OK)
                    continue
                writer.write(self.script[0])
                if self.script[1]:
                    writer.close()
                    return
        except (EOFError, ConnectionError, asyncio.CancelledError):
            self.closed += 1
            writer.close()

    def send(self, *, seconds=TIMEOUT_S, method="GET", headers=(), **options):
        deadline = SystemClock().monotonic() + seconds
        return self.client.send(
            method, "/x", headers, b"", deadline=deadline, **options
        )

    @parameterized.expand(
        [
            ("whole", OK),
            ("whole and closed", OK, True),
            ("chunked", CHUNKED + b"4\r\nbody\r\n0\r\n\r\n"),
            ("chunks", CHUNKED + b"1\r\nb\r\n2\r\nod\r\n1\r\ny\r\n0\r\n\r\n"),
            ("after an interim one", INTERIM + OK),
            ("followed by another", OK + OK),
            ("marked not run but answered", SHED_200),
        ]
    )
    async def test_whole_response(self, _, data, close=False):
        """Guards against rejecting a complete response or returning another one."""
        self.script = (data, close)
        for _ in range(2):
            self.assertEqual(b"body", (await self.send()).body)
            if close:
                await wait_until(lambda: not self.client._idle[0].reusable)

    @parameterized.expand(
        [
            ("nothing", b""),
            ("half a head", HEAD),
            ("half a body", OK[:-2]),
            ("body without length", HEAD + b"\r\nbody"),
            ("half a chunk", CHUNKED + b"4\r\nbo"),
            ("no last chunk", CHUNKED + b"4\r\nbody\r\n"),
            ("no HTTP", b"220 mail server ready\r\n"),
            ("half a refusal", SHED[:-2]),
            ("refusal with another status", SHED.replace(b"503", b"2x0")),
        ]
    )
    async def test_partial_response_is_unknown(self, _, data):
        """Guards against truncated responses that count as complete or not run."""
        self.script = (data, True)
        await self.assert_fails(self.send(), ErrorCode.BACKEND_FAILED, Outcome.UNKNOWN)
        self.assertEqual(1, len(self.requests))

    @parameterized.expand(
        [
            (status, framing)
            for status in ("000", "001", "099", "20", "600", "999", "1000", "0200")
            for framing in ("Content-Length: 4\r\n\r\nbody", "\r\nbody")
        ]
    )
    async def test_response_with_an_invalid_status_is_unknown(self, status, framing):
        """Guards against an answer whose status is none of HTTP.

        The connection stays open: waiting for another response would only end with the
        deadline of the caller.
        """
        self.use_client(accept_unframed=True)
        self.script = (f"HTTP/1.1 {status} x\r\n{framing}".encode(), False)
        await self.assert_fails(self.send(), ErrorCode.BACKEND_FAILED, Outcome.UNKNOWN)

    async def test_stale_connection_lowers_the_idle_limit(self):
        """Guards against losing one request after another on stale connections.

        The server aborts an idle connection at its next request. The client must
        then reuse only connections that were idle for a shorter time.
        """
        self.script = (OK, False)
        self.aborting_reused = True
        await self.send()
        await asyncio.sleep(0.1)
        await self.assert_fails(self.send(), ErrorCode.BACKEND_FAILED, Outcome.UNKNOWN)
        await self.send()
        opened = self.client.counts["connections_opened"]
        await self.send()
        self.assertEqual(opened, self.client.counts["connections_opened"])
        await asyncio.sleep(0.1)
        await self.send()
        self.assertEqual(opened + 1, self.client.counts["connections_opened"])

    @parameterized.expand([("whole", b"body"), ("empty", b"")])
    async def test_response_without_length_is_marked(self, _, body):
        """Guards against passing a response on as complete that may be truncated."""
        self.use_client(accept_unframed=True)
        self.script = (HEAD + b"\r\n" + body, True)
        response = await self.send()
        self.assertEqual((body, False), (response.body, response.framed))
        self.script = (OK, True)
        self.assertTrue((await self.send()).framed)

    @parameterized.expand(
        [
            ("one stray response", LATE + OWN, 1),
            ("two stray responses", LATE + LATE + OWN, 2),
            ("long stray response", LONG_LATE + OWN, 1),
            ("many long stray responses", LONG_LATE * 20 + OWN, 20),
        ]
    )
    async def test_response_to_an_earlier_request_is_discarded(
        self, _, data, discarded
    ):
        """Guards against returning the late response of an earlier request."""
        self.script = (data, False)
        response = await self.send(matches=is_own)
        self.assertEqual(b"mine", response.body)
        self.assertEqual(discarded, self.client.counts["stray_responses"])
        await self.send(matches=is_own)
        self.assertEqual(2, self.client.counts["connections_opened"])

    @parameterized.expand(
        [
            ("announced too short", b"Keep-Alive: timeout=1\r\n", None, 2),
            ("announced long", b"Keep-Alive: timeout=9\r\n", None, 1),
            ("idle for too long", b"", 0.0, 2),
        ]
    )
    async def test_idle_connection_is_reused(self, _, header, max_idle, opened):
        """Guards against sending a request on a connection that its peer has closed."""
        self.script = (OK.replace(b"\r\n\r\n", b"\r\n" + header + b"\r\n"), False)
        for _ in range(2):
            await self.send(max_idle=max_idle)
        self.assertEqual(opened, self.client.counts["connections_opened"])

    async def test_refusal_is_not_run(self):
        """Guards against counting a request as run that the server has shed."""
        self.script = (SHED, False)
        await self.assert_fails(self.send(), ErrorCode.BACKEND_REFUSED, Outcome.NOT_RUN)

    @parameterized.expand(
        [
            ("the id", b"b", ErrorCode.BACKEND_REFUSED, Outcome.NOT_RUN),
            ("another id", b"a", ErrorCode.BACKEND_FAILED, Outcome.UNKNOWN),
            ("no id", b"", ErrorCode.BACKEND_FAILED, Outcome.UNKNOWN),
        ]
    )
    async def test_refusal_on_a_reused_connection(self, _, send_id, code, outcome):
        """Guards against the copy of an earlier refusal, which hides a run."""
        self.script = (OK, False)
        await self.send(attempt_id="a")
        header = b"Almond-Send-Id: " + send_id + b"\r\nContent-Length"
        self.script = (SHED.replace(b"Content-Length", header), False)
        await self.assert_fails(self.send(attempt_id="b"), code, outcome)
        self.assertEqual(1, self.client.counts["connections_opened"])

    async def test_trailer_is_not_a_header(self):
        """Guards against a trailer that marks a response as not run or as another's."""
        self.script = (SHED_IN_TRAILER, False)
        response = await self.send()
        self.assertEqual(503, response.status)
        self.assertEqual((("transfer-encoding", "chunked"),), response.headers)

    async def test_response_too_large_for_a_frame_is_unknown(self):
        """Guards against responses that exhaust memory."""
        size = MAX_RESPONSE_BYTES + 1
        head = HEAD + b"Content-Length: %d\r\n\r\n" % size
        self.script = (head + bytes(size), False)
        await self.assert_fails(self.send(), ErrorCode.BACKEND_FAILED, Outcome.UNKNOWN)

    async def test_idle_connection_keeps_no_body(self):
        """Guards against idle connections that hold their last responses in memory."""
        body = bytes(MAX_RESPONSE_BYTES)
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(body)
        self.script = (head + body, False)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.assertEqual(body, (await self.send()).body)
        self.assertEqual(1, len(self.client._idle))
        # The callback that resumed this task holds the response until it returns.
        await asyncio.sleep(0)
        held, _ = tracemalloc.get_traced_memory()
        self.assertLess(held, MAX_RESPONSE_BYTES / 2)

    async def test_response_to_head_has_no_body(self):
        """Guards against waiting for a body that never comes."""
        self.script = (OK[:-4], False)
        self.assertEqual(b"", (await self.send(method="HEAD")).body)

    async def test_refused_connection_is_not_run(self):
        """Guards against reporting an unknown outcome when nothing was sent."""
        self.server.close()
        await self.server.wait_closed()
        await self.assert_fails(self.send(), ErrorCode.NO_BACKEND, Outcome.NOT_RUN)

    @parameterized.expand(
        [
            ("ended", True, False, False, True),
            ("cut one answer", False, False, False, False),
            ("cut one answer of two", False, True, False, False),
            ("client closed", True, False, True, False),
        ]
    )
    async def test_crash_of_the_server(self, _, ends, busy, closes, expected):
        """Guards against taking one lost connection for a crash, and missing one."""
        if busy:
            running = asyncio.create_task(self.send())
            await wait_until(lambda: len(self.requests) == 1)
        self.script = (OK[:-4], True)
        if ends:
            self.server.close()
            self.script = None
        else:
            await self.assert_fails(
                self.send(), ErrorCode.BACKEND_FAILED, Outcome.UNKNOWN
            )
        if closes:
            await self.client.close()
        self.assertEqual(expected, await self.client.has_crashed())
        if busy:
            self.release.set()
            self.assertEqual(b"body", (await running).body)

    async def test_deadline_before_sending_is_not_run(self):
        """Guards against sending a request after its deadline."""
        code = ErrorCode.DEADLINE_EXCEEDED
        await self.assert_fails(self.send(seconds=-1), code, Outcome.NOT_RUN)
        self.assertEqual([], self.requests)

    async def test_deadline_after_sending_is_unknown(self):
        """Guards against a backend server that stops answering."""
        code = ErrorCode.DEADLINE_EXCEEDED
        await self.assert_fails(self.send(seconds=0.1), code, Outcome.UNKNOWN)
        self.release.set()
        await wait_until(lambda: self.closed == 1)

    async def test_body_that_is_read_late_is_not_cut(self):
        """Guards against an error for a long body that a backend server reads slowly.

        Its full receive buffer is no sign that the server has failed.
        """
        body = bytes(2_000_000)

        async def read_late(reader, writer):
            with contextlib.closing(writer):
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(3 * TCP_USER_TIMEOUT_S)
                await reader.readexactly(len(body))
                writer.write(OK)
                await reader.read()

        listener = socket.create_server(("127.0.0.1", 0))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        server = await asyncio.start_server(read_late, sock=listener)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        client = BackendClient(f"{host}:{port}", connections=1, clock=SystemClock())
        self.addAsyncCleanup(client.close)
        deadline = SystemClock().monotonic() + TIMEOUT_S
        response = await client.send("POST", "/x", (), body, deadline=deadline)
        self.assertEqual(b"body", response.body)

    async def test_connections_are_bounded(self):
        """Guards against more connections than the backend server allows."""
        tasks = [asyncio.create_task(self.send()) for _ in range(5)]
        await wait_until(lambda: len(self.requests) == 2)
        code = ErrorCode.DEADLINE_EXCEEDED
        await self.assert_fails(self.send(seconds=0.05), code, Outcome.NOT_RUN)
        self.assertEqual(2, self.client.connections)
        self.release.set()
        for response in await asyncio.gather(*tasks):
            self.assertEqual(b"body", response.body)
        self.assertEqual(2, self.client.connections)

    @parameterized.expand([("waiting", 2, "no connection"), ("sent", 0, "no response")])
    async def test_deadline_error_names_its_cause(self, _, others, message):
        """Guards against blaming the backend server for a lack of connections."""
        tasks = [asyncio.create_task(self.send()) for _ in range(others)]
        await wait_until(lambda: len(self.requests) == others)
        with self.assertRaisesRegex(CallError, message) as caught:
            await self.send(seconds=0.05)
        outcome = Outcome.NOT_RUN if others else Outcome.UNKNOWN
        self.assertEqual(outcome, caught.exception.outcome)
        self.release.set()
        await asyncio.gather(*tasks)

    async def test_cancelled_request_closes_its_connection(self):
        """Guards against work that continues after its caller has disconnected."""
        task = asyncio.create_task(self.send())
        await wait_until(lambda: self.requests)
        task.cancel()
        self.release.set()
        await wait_until(lambda: self.closed == 1)
        self.assertEqual(0, self.client.connections)

    @parameterized.expand(["a\r\nevil: 1", "a\nb", "a\rb", "\u20ac"])
    async def test_line_break_in_a_header_is_refused(self, value):
        """Guards against request smuggling through a header value."""
        sending = self.send(headers=(("name", value),))
        await self.assert_fails(sending, ErrorCode.HEADER_INVALID, Outcome.NOT_RUN)
        self.assertEqual([], self.requests)
