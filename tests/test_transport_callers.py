"""Tests of the server for callers: bad input, timeouts, cancellation, drain."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import unittest
from unittest import mock

from parameterized import parameterized

from almondrouter.addresses import split_address
from almondrouter.clock import ManualClock
from almondrouter.transport import callers
from almondrouter.transport.callers import (
    HEADER_TIMEOUT_S,
    KEEP_ALIVE_TIMEOUT_S,
    LINGER_TIMEOUT_S,
    MAX_HEADER_BYTES,
    CallerServer,
)
from almondrouter.transport.calls import CallerResponse
from almondrouter.transport.pipelines import MAX_PIPELINED
from almondrouter.transport.readers import BODY_TIMEOUT_S, MAX_WAITING_BYTES
from calls_support import TIMEOUT_S, wait_until

MAX_BODY = 1000
GET = b"GET /a?b HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: x\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"258\r\n%s\r\n" % (b"x" * 600)
CLOSE = b"Connection: close\r\n"
CLOSING_GET = GET.replace(b"Host", CLOSE + b"Host")
CLOSING_BIG_GET = CLOSING_GET.replace(b"a?b", b"big")
TINY = b"GET / HTTP/1.1\r\n\r\n"
BIG = 30_000_000
SMALL_BUFFER = 200_000
BIG_INPUT = 1_000_000
MAX_READ_BYTES = 262_144
"""Most bytes that an event loop passes on at once."""
TOO_LARGE = "body_too_large"


class CallerServerTest(unittest.IsolatedAsyncioTestCase):
    """Requests are sent as raw bytes over TCP sockets."""

    async def asyncSetUp(self):
        self.clock = ManualClock()
        self.requests = []
        self.cancelled = 0
        self.framed = True
        self.release = asyncio.Event()
        self.release.set()
        self.server = CallerServer(
            address="127.0.0.1:0",
            handler=self.handle,
            max_body_bytes=MAX_BODY,
            version=lambda: 7,
            clock=self.clock,
        )
        await self.server.start()
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request):
        self.requests.append(request)
        try:
            await self.release.wait()
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        if request.target == "/fail":
            raise RuntimeError
        if request.target == "/big":
            return CallerResponse(200, (), bytes(BIG), self.framed)
        headers = (("Almond-Outcome", "complete"),)
        body = request.target.encode() + request.body
        return CallerResponse(200, headers, body, self.framed)

    async def open(self, data, *, receive_buffer=0):
        connected = socket.socket()
        if receive_buffer:
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connected.setblocking(False)
        address = split_address(self.server.address)
        await asyncio.get_running_loop().sock_connect(connected, address)
        reader, writer = await asyncio.open_connection(sock=connected)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader, writer

    async def read_response(self, reader):
        async with asyncio.timeout(TIMEOUT_S):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            lines = head.split("\r\n")
            size = next(int(x[16:]) for x in lines if x.startswith("content-length"))
            return lines[0].split()[1], head, await reader.readexactly(size)

    async def assert_refused(self, reader, status, code, outcome="not-run"):
        found, head, _ = await self.read_response(reader)
        self.assertEqual(status, found)
        self.assertIn(f"almond-code: {code}\r\n", head)
        self.assertIn(f"almond-outcome: {outcome}\r\n", head)
        self.assertIn("almond-version: 7\r\n", head)

    async def assert_serves(self):
        reader, _ = await self.open(GET)
        self.assertEqual(b"/a?b", (await self.read_response(reader))[2])

    @parameterized.expand(
        [
            ("no HTTP", b"\x16\x03\x01\x02\r\n\r\n"),
            ("bad name", POST + b"A B: 1\r\n\r\n"),
            ("line break", POST + b"a: b\nc\r\n\r\n"),
            ("no colon", POST + b"abc\r\n\r\n"),
            ("long number", POST + b"Content-Length: 99999999999999999999\r\n"),
            ("long chunk size", POST + CHUNKED + b"12345678901234567890\r\n"),
            ("bad length", POST + b"Content-Length: -1\r\n"),
            ("length and chunks", POST + b"Content-Length: 1\r\n" + CHUNKED),
            ("upgrade", POST + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n"),
            ("long headers", POST + b"a: " + b"x" * MAX_HEADER_BYTES),
            ("long target", b"GET /" + b"x" * MAX_HEADER_BYTES + b" HTTP/1.1\r\n\r\n"),
            ("long body", POST + b"Content-Length: 1001\r\n\r\n", TOO_LARGE),
            ("long chunks", POST + CHUNKED + CHUNK * 2, TOO_LARGE),
        ]
    )
    async def test_bad_request_is_refused(self, _, data, code="header_invalid"):
        """Guards against malformed requests that are run, leak or stop the server."""
        reader, _ = await self.open(data)
        await self.assert_refused(reader, "413" if code == TOO_LARGE else "400", code)
        self.assertEqual(b"", await reader.read())
        self.clock.advance(LINGER_TIMEOUT_S)
        self.server.tick()
        await wait_until(lambda: not self.server.connections)
        self.assertEqual([], self.requests)
        await self.assert_serves()

    @parameterized.expand(
        [
            ("headers", POST, HEADER_TIMEOUT_S),
            ("body", POST + b"Content-Length: 9\r\n\r\nx", BODY_TIMEOUT_S),
        ]
    )
    async def test_incomplete_request_times_out(self, _, data, seconds):
        """Guards against slow callers that hold connections forever."""
        reader, _ = await self.open(data)
        await wait_until(lambda: any(c.is_receiving for c in self.server.connections))
        self.clock.advance(seconds - 1)
        self.server.tick()
        self.assertFalse(self.server.counts["slow_callers"])
        self.clock.advance(1)
        self.server.tick()
        await self.assert_refused(reader, "400", "header_invalid")

    async def test_idle_connection_is_closed(self):
        """Guards against idle connections that accumulate."""
        reader, _ = await self.open(GET)
        await self.read_response(reader)
        self.clock.advance(KEEP_ALIVE_TIMEOUT_S)
        self.server.tick()
        self.assertEqual(b"", await reader.read())

    async def test_pipelined_requests_are_answered_in_order(self):
        """Guards against matching a response to the wrong request."""
        data = b"".join(GET.replace(b"a?b", b"%d" % i) for i in range(5))
        reader, _ = await self.open(data)
        bodies = [(await self.read_response(reader))[2] for _ in range(5)]
        self.assertEqual([b"/%d" % i for i in range(5)], bodies)

    @parameterized.expand([("GET",), ("HEAD",), ("POST",)])
    async def test_pipelined_requests_run_one_at_a_time(self, method):
        """Guards against running a pipelined request that its caller retries.

        If an earlier response closes the connection, the caller retries the
        requests behind it, which must not have started.
        """
        self.release.clear()
        data = GET.replace(b"GET", method.encode()) * 3
        reader, _ = await self.open(data)
        await wait_until(lambda: self.server.requests_in_flight == 3)
        await asyncio.sleep(0.01)
        self.assertEqual(1, len(self.requests))
        self.release.set()
        for _ in range(3):
            self.assertEqual(b"/a?b", (await self.read_response(reader))[2])

    @parameterized.expand([("GET", 3), ("HEAD", 3), ("POST", 1)])
    async def test_safe_requests_run_concurrently_once_responses_have_a_length(
        self, method, started
    ):
        """Guards against pipelined requests that are late for the ones before them."""
        reader, writer = await self.open(GET)
        await self.read_response(reader)
        self.release.clear()
        writer.write(GET.replace(b"GET", method.encode()) * 3)
        await wait_until(lambda: self.server.requests_in_flight == 3)
        await asyncio.sleep(0.01)
        self.assertEqual(1 + started, len(self.requests))
        self.release.set()
        for _ in range(3):
            self.assertEqual(b"/a?b", (await self.read_response(reader))[2])

    async def test_response_without_a_length_cuts_off_no_running_request(self):
        """Guards against requests that run behind a response that ends the connection.

        Until it came, responses had a length, so that the requests ran concurrently.
        """

        async def handle(request):
            self.requests.append(request)
            await self.release.wait()
            framed = request.target != "/first"
            return CallerResponse(200, (), request.target.encode(), framed=framed)

        reader, writer = await self.open(GET)
        await self.read_response(reader)
        self.server.handler = handle
        self.release.clear()
        writer.write(GET.replace(b"/a?b", b"/first") + GET)
        await wait_until(lambda: len(self.requests) == 3)
        self.release.set()
        await self.assert_refused(reader, "502", "backend_failed", "unknown")
        self.assertEqual(b"/a?b", (await self.read_response(reader))[2])
        self.assertEqual(1, self.server.counts["unframed_withheld"])
        self.release.clear()
        writer.write(GET * 2)
        await wait_until(lambda: self.server.requests_in_flight == 2)
        await asyncio.sleep(0.01)
        self.assertEqual(4, len(self.requests))
        self.release.set()

    async def test_start_of_a_request_is_recorded(self):
        """Guards against not counting the time that receiving a slow body takes."""
        reader, writer = await self.open(POST + b"Content-Length: 4\r\n\r\nab")
        await wait_until(lambda: any(c.is_receiving for c in self.server.connections))
        began_at = self.clock.monotonic()
        self.clock.advance(1)
        writer.write(b"cd")
        await self.read_response(reader)
        writer.write(GET)
        await self.read_response(reader)
        self.assertEqual([began_at, began_at + 1], [r.began_at for r in self.requests])

    async def test_response_without_length_closes_its_connection(self):
        """Guards against a truncated response that looks complete to its caller."""
        self.framed = False
        reader, _ = await self.open(GET)
        async with asyncio.timeout(TIMEOUT_S):
            answer = (await reader.read()).lower()
        self.assertNotIn(b"content-length", answer)
        self.assertIn(b"connection: close", answer)
        self.assertTrue(answer.endswith(b"/a?b"))

    async def test_disabled_keep_alive_serves_and_closes(self):
        """Guards against a planned stop that aborts keep-alive connections."""
        self.server.disable_keep_alive()
        reader, _ = await self.open(GET * 2)
        heads = [(await self.read_response(reader))[1] for _ in range(2)]
        closing = ["connection: close" in head for head in heads]
        self.assertEqual([False, True], closing)

    async def test_disabled_keep_alive_ignores_requests_after_the_last_response(self):
        """Guards against pipelining callers that keep a stopping daemon busy.

        The first response is sent after keep-alive was disabled. A request that
        arrives later is not run, and the last response closes the connection.
        """
        slow = asyncio.Event()

        async def handle(request):
            self.requests.append(request)
            if request.target == "/slow":
                await slow.wait()
            return CallerResponse(200, (), request.target.encode())

        self.server.handler = handle
        reader, writer = await self.open(GET + GET.replace(b"a?b", b"slow"))
        self.server.disable_keep_alive()
        self.assertEqual(b"/a?b", (await self.read_response(reader))[2])
        writer.write(GET.replace(b"a?b", b"late"))
        await asyncio.sleep(0.05)
        slow.set()
        _, head, body = await self.read_response(reader)
        self.assertEqual(b"/slow", body)
        self.assertIn("connection: close", head)
        self.assertEqual(b"", await reader.read())
        self.assertEqual(["/a?b", "/slow"], [r.target for r in self.requests])

    async def test_disconnected_caller_cancels_the_call(self):
        """Guards against work that continues after its caller has disconnected."""
        self.release.clear()
        _, writer = await self.open(GET)
        await wait_until(lambda: self.requests)
        writer.close()
        await wait_until(lambda: self.cancelled == 1)

    @parameterized.expand(
        [
            ("caller_left", 1),
            ("response_unframed", 2),
            ("closed", 3),
        ]
    )
    async def test_unanswered_request_is_counted_by_reason(self, reason, count):
        """Guards against connections that end with requests and leave no trace."""
        self.release.clear()
        _, writer = await self.open(GET * count)
        await wait_until(lambda: self.server.requests_in_flight == count)
        if reason == "caller_left":
            writer.close()
        elif reason == "response_unframed":
            self.framed = False
            self.release.set()
        else:
            await self.server.close()
        counter = f"unanswered_{reason}"
        await wait_until(lambda: self.server.counts[counter])
        unframed = reason == "response_unframed"
        self.assertEqual(count - unframed, self.server.counts[counter])

    async def test_beginning_of_a_request_behind_another_is_noticed(self):
        """Guards against closing a connection that is receiving a request as idle."""
        reader, writer = await self.open(GET + POST)
        await self.read_response(reader)
        (connection,) = self.server.connections
        self.assertTrue(connection.is_receiving)
        connection.close_if_idle()
        writer.write(b"Content-Length: 1\r\n\r\nx")
        self.assertEqual(b"/x", (await self.read_response(reader))[2])

    async def test_beginning_of_a_request_behind_another_times_out(self):
        """Guards against the idle limit for a request that is received in part."""
        reader, _ = await self.open(GET + POST)
        await self.read_response(reader)
        self.clock.advance(HEADER_TIMEOUT_S)
        self.server.tick()
        await self.assert_refused(reader, "400", "header_invalid")

    @parameterized.expand(
        [
            ("malformed", b"\x00\r\n\r\n"),
            ("upgrade", POST + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n"),
            ("long headers", POST + b"a: " + b"x" * 2 * MAX_HEADER_BYTES),
            ("long body", POST + b"Content-Length: 1001\r\n\r\n", TOO_LARGE),
            ("long chunks", POST + CHUNKED + CHUNK * 2, TOO_LARGE),
        ]
    )
    async def test_refusal_waits_for_earlier_requests(
        self, _, data, code="header_invalid"
    ):
        """Guards against dropping accepted requests because a later one is refused."""
        self.release.clear()
        reader, writer = await self.open(GET * 3 + data)
        await wait_until(lambda: self.server.counts[code])
        writer.write(b"y" * BIG_INPUT + GET)
        await asyncio.sleep(0.05)
        self.release.set()
        for _ in range(3):
            self.assertEqual(b"/a?b", (await self.read_response(reader))[2])
        status = "413" if code == TOO_LARGE else "400"
        await self.assert_refused(reader, status, code)
        self.assertEqual(b"", await reader.read())
        self.assertEqual(3, len(self.requests))
        self.assertEqual(0, self.server.requests_in_flight)

    @parameterized.expand(
        [
            ("in one piece", GET, b""),
            ("later", b"", GET),
            ("no request", b"\x00\r\n\r\n", b"\x00\r\n\r\n"),
        ]
    )
    async def test_bytes_after_the_closing_request_are_ignored(self, _, data, later):
        """Guards against dropping requests for bytes behind Connection: close."""
        self.release.clear()
        reader, writer = await self.open(GET + CLOSING_GET + data)
        await wait_until(lambda: self.server.requests_in_flight == 2)
        writer.write(later)
        await asyncio.sleep(0.05)
        self.release.set()
        heads = [(await self.read_response(reader))[1] for _ in range(2)]
        closing = ["connection: close" in head for head in heads]
        self.assertEqual([False, True], closing)
        self.assertEqual(b"", await reader.read())
        self.assertEqual(2, len(self.requests))
        self.assertFalse(self.server.counts["header_invalid"])

    @parameterized.expand([(MAX_PIPELINED,), (MAX_PIPELINED + 1,), (3000,)])
    async def test_pipelined_requests_beyond_the_limit_wait(self, count):
        """Guards against ending a connection for the number of its requests."""
        self.release.clear()
        reader, _ = await self.open(TINY * count)
        await wait_until(lambda: self.server.requests_in_flight >= MAX_PIPELINED)
        await asyncio.sleep(0.05)
        self.assertEqual(MAX_PIPELINED, self.server.requests_in_flight)
        self.release.set()
        for _ in range(count):
            self.assertEqual(b"/", (await self.read_response(reader))[2])
        self.assertEqual(count, len(self.requests))

    async def test_waiting_input_is_bounded(self):
        """Guards against storing without limit what a caller pipelines."""
        self.release.clear()
        count = 40_000_000 // len(GET)
        reader, writer = await self.open(GET * count)
        await wait_until(lambda: self.server.requests_in_flight == MAX_PIPELINED)
        await asyncio.sleep(0.3)
        self.assertGreater(writer.transport.get_write_buffer_size(), 0)
        (connection,) = self.server.connections
        self.assertLess(
            connection._reader.waiting_bytes, MAX_WAITING_BYTES + MAX_READ_BYTES
        )
        self.release.set()
        for _ in range(2000):
            self.assertEqual(b"/a?b", (await self.read_response(reader))[2])

    async def test_caller_that_leaves_a_full_pipeline_cancels_it(self):
        """Guards against work for a caller whose end stands behind other input."""
        self.release.clear()
        _, writer = await self.open(GET * 3 * MAX_PIPELINED)
        await wait_until(lambda: self.server.requests_in_flight == MAX_PIPELINED)
        writer.close()
        await wait_until(lambda: self.cancelled == 1)
        await asyncio.sleep(0.01)
        self.assertEqual(1, len(self.requests))
        self.assertEqual(0, self.server.requests_in_flight)

    @parameterized.expand(
        [
            ("close", CLOSING_BIG_GET, True),
            ("unframed", CLOSING_BIG_GET.replace(CLOSE, b""), False),
            ("stop", CLOSING_BIG_GET.replace(CLOSE, b""), True),
        ]
    )
    async def test_input_during_the_last_response_does_not_truncate_it(
        self, name, data, framed
    ):
        """Guards against a reset that discards what the caller has not read yet."""
        self.framed = framed
        if name == "stop":
            self.server.disable_keep_alive()
        reader, writer = await self.open(data, receive_buffer=SMALL_BUFFER)
        received = await reader.read(1)
        while any(c.is_writing for c in self.server.connections):
            writer.write(b"x")
            received += await reader.read(100_000)
        writer.write(GET)
        await asyncio.sleep(0.05)
        async with asyncio.timeout(TIMEOUT_S):
            received += await reader.read()
        self.assertEqual(BIG, len(received.partition(b"\r\n\r\n")[2]))
        self.assertEqual(1, len(self.requests))
        self.assertEqual(0, self.server.requests_in_flight)

    async def test_caller_that_does_not_close_is_closed(self):
        """Guards against connections that linger forever after their last response."""
        reader, _ = await self.open(CLOSING_GET)
        await self.read_response(reader)
        self.assertEqual(b"", await reader.read())
        self.clock.advance(LINGER_TIMEOUT_S - 0.1)
        self.server.tick()
        await asyncio.sleep(0.01)
        self.assertTrue(self.server.connections)
        self.clock.advance(0.1)
        self.server.tick()
        await wait_until(lambda: not self.server.connections)

    @parameterized.expand([("raised by the handler", True), ("from outside", False)])
    async def test_request_whose_task_is_cancelled_runs_once(self, _, raised):
        """Guards against a second run of a request whose handler was cancelled."""

        async def handle(request):
            self.requests.append(request)
            if request.target == "/slow":
                await self.release.wait()
                return CallerResponse(200, (), b"")
            if raised:
                raise asyncio.CancelledError
            return await asyncio.Event().wait()

        self.release.clear()
        self.server.handler = handle
        reader, _ = await self.open(GET + GET.replace(b"a?b", b"slow"))
        await wait_until(lambda: self.requests)
        if not raised:
            (connection,) = self.server.connections
            connection.tasks[0].cancel()
        await self.assert_refused(reader, "502", "backend_failed", "unknown")
        await wait_until(lambda: len(self.requests) == 2)
        self.release.set()
        self.assertEqual("200", (await self.read_response(reader))[0])
        self.assertEqual(2, len(self.requests))
        self.assertEqual(1, self.server.counts["failed"])

    async def test_half_close_ends_the_requests(self):
        """Guards against work that goes on, as a half-close looks like a full one."""
        self.release.clear()
        reader, writer = await self.open(GET)
        await wait_until(lambda: self.requests)
        writer.write_eof()
        await wait_until(lambda: self.cancelled == 1)
        self.assertEqual(b"", await reader.read())
        self.assertEqual(1, self.server.counts["unanswered_caller_left"])

    async def test_failure_of_the_handler_is_unknown(self):
        """Guards against reporting not run after an internal error.

        The request may have run before its handler failed.
        """
        reader, _ = await self.open(GET.replace(b"a?b", b"fail"))
        await self.assert_refused(reader, "502", "backend_failed", "unknown")

    async def test_drain(self):
        """Guards against aborting a request in flight at a planned stop."""
        self.release.clear()
        reader, writer = await self.open(GET)
        idle, _ = await self.open(b"")
        await wait_until(lambda: self.requests and len(self.server.connections) == 2)
        draining = asyncio.create_task(self.server.drain())
        self.assertEqual(b"", await idle.read())
        late, late_writer = await self.open(GET)
        await self.assert_refused(late, "503", "stopping")
        self.assertFalse(draining.done())
        self.release.set()
        _, head, body = await self.read_response(reader)
        self.assertEqual(b"/a?b", body)
        self.assertIn("connection: close", head)
        await asyncio.sleep(0.05)
        self.assertFalse(draining.done())
        for connected in (writer, late_writer):
            connected.close()
        await draining
        with self.assertRaises(ConnectionError):
            await self.open(GET)

    async def test_drain_waits_for_slow_readers(self):
        """Guards against truncating a response that its caller is still reading."""
        reader, writer = await self.open(GET.replace(b"/a?b", b"/big"))
        await wait_until(lambda: any(c.is_writing for c in self.server.connections))
        draining = asyncio.create_task(self.server.drain())
        await asyncio.sleep(0)
        self.assertFalse(draining.done())
        _, _, body = await self.read_response(reader)
        self.assertEqual(BIG, len(body))
        await asyncio.sleep(0.05)
        self.assertFalse(draining.done())
        writer.close()
        await draining

    @parameterized.expand(
        [
            ("after its last response", CLOSING_GET, 0, LINGER_TIMEOUT_S),
            ("just answered", GET, 0, LINGER_TIMEOUT_S),
            ("idle for a second", GET, 1, LINGER_TIMEOUT_S - 1),
            ("idle", GET, LINGER_TIMEOUT_S, 0),
            ("never used", b"", 0, 0),
        ]
    )
    async def test_drain_waits_only_shortly_for_callers(self, _, data, idle, waits):
        """Guards against a stop that callers delay, or that takes their responses."""
        reader, _ = await self.open(data)
        await wait_until(lambda: self.server.connections)
        if data:
            await self.read_response(reader)
        self.clock.advance(idle)
        draining = asyncio.create_task(self.server.drain())
        if waits:
            self.clock.advance(waits - 0.1)
            await asyncio.sleep(0.05)
            self.assertFalse(draining.done())
            self.assertEqual(0, self.server.requests_in_flight)
            self.clock.advance(0.1)
        async with asyncio.timeout(TIMEOUT_S):
            await draining
            self.assertEqual(b"", await reader.read())

    async def test_connections_without_a_request_give_way(self):
        """Guards against refusing callers for connections that nobody uses."""
        with mock.patch.object(callers, "MAX_CONNECTIONS", 2):
            lingering, _ = await self.open(CLOSING_GET)
            await self.read_response(lingering)
            silent, _ = await self.open(b"")
            await self.assert_serves()
            await wait_until(lambda: len(self.server.connections) == 2)
            await self.open(GET[:10])
            await self.assert_ended(silent)
            await self.open(GET[:10])
            await wait_until(
                lambda: all(c.is_receiving for c in self.server.connections)
            )
            refused, _ = await self.open(GET)
            await self.assert_ended(refused)
        self.assertEqual(2, self.server.counts["connections_released"])
        self.assertEqual(1, self.server.counts["connections_refused"])

    async def assert_ended(self, reader):
        with contextlib.suppress(ConnectionError):
            self.assertEqual(b"", await reader.read())
