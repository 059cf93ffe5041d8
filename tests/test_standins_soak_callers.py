"""Callers of the soak test at a server that treats its connections badly."""

from __future__ import annotations

import asyncio
import random
import re
import time
import unittest
from unittest import mock

from parameterized import parameterized

from almondrouter_standins import soak_callers
from almondrouter_standins.platform_backend import RunLedger, make_response_body
from almondrouter_standins.soak_callers import (
    LOSS_SLACK_S,
    PipeliningCaller,
    SequentialCaller,
)
from almondrouter_standins.soak_hosts import HostState

RUN_S = 0.6
ATTEMPT = re.compile(rb"attempt-id: (\S+)")


class BadServer:
    """Reads requests without bodies and passes each to a function."""

    def __init__(self, ledger, serve):
        self.ledger = ledger
        self._serve = serve
        self.received = []
        self._connections = set()

    async def start(self):
        self._server = await asyncio.start_server(self._read, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def close(self):
        self._server.close()
        await self._server.wait_closed()
        if self._connections:
            await asyncio.wait(self._connections)

    async def _read(self, reader, writer):
        self._connections.add(asyncio.current_task())
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                self.received.append(ATTEMPT.search(head)[1].decode())
                await self._serve(self, writer)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    def answer(self, writer, attempt, *, headers=""):
        body = make_response_body(attempt, "/read/1", b"")
        head = f"HTTP/1.1 200 OK\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)


async def pass_on_and_close(server, writer):
    """Close a connection whose request reached a backend server."""
    server.ledger.arrivals[server.received[-1]] += 1
    writer.close()


async def close_later(server, writer):
    """Close a connection long after the request was read."""
    await asyncio.sleep(2 * LOSS_SLACK_S)
    writer.close()


async def close_at_once(server, writer):
    """Close a connection as soon as a request was read."""
    writer.close()


async def answer_twice(server, writer):
    """Send two responses to a request."""
    server.answer(writer, server.received[-1])
    server.answer(writer, server.received[-1])
    writer.close()


async def answer_for_another(server, writer):
    """Send the response of another request."""
    server.answer(writer, "other")


async def announce_close(server, writer):
    """Announce a close, but serve further requests."""
    server.answer(writer, server.received[-1], headers="Connection: close\r\n")


class SafeSequentialCaller(SequentialCaller):
    """Sends safe requests without a body only."""

    async def send_next(self, connection):
        if not connection.pending:
            await connection.send([("GET", "/read/1", b"")])
        await connection.wait(self.draw_pause())


class CallerTest(unittest.IsolatedAsyncioTestCase):
    """Runs one caller at a server that breaks or keeps the guarantees."""

    def setUp(self):
        self.ledger = RunLedger()
        self.state = HostState()

    async def run_caller(self, serve, *, kind=SafeSequentialCaller):
        """Return the violations that a caller finds."""
        self.server = BadServer(self.ledger, serve)
        address = await self.server.start()
        caller = kind(
            address,
            host=0,
            state=self.state,
            ledger=self.ledger,
            random=random.Random(1),
            max_pause=0.02,
        )
        stopping = asyncio.Event()
        asyncio.get_running_loop().call_later(RUN_S, stopping.set)
        await caller.run(stopping)
        await self.server.close()
        return caller.find_violations() + self.ledger.find_violations()

    @parameterized.expand(
        [
            ("lost_at_the_backend", pass_on_and_close, "reached a backend server"),
            ("accepted_and_dropped", close_later, "its connection stayed open"),
            ("response_without_a_request", answer_twice, "without a request"),
            ("response_of_another", answer_for_another, "of another attempt"),
        ]
    )
    async def test_violation(self, _name, serve, expected):
        """Guards against a broken guarantee that the soak does not notice."""
        violations = await self.run_caller(serve)
        self.assertIn(expected, " ".join(violations))

    async def test_close_that_crosses_a_request(self):
        """Guards against requests counted as lost that were never accepted."""
        self.assertEqual([], await self.run_caller(close_at_once))
        self.assertGreater(self.ledger.outcomes["connection ended"], 1)

    async def test_paused_daemon(self):
        """Guards against requests counted as lost that a paused daemon never read."""
        pauses = mock.patch.object(
            HostState, "sum_pauses_since", return_value=1.5 * LOSS_SLACK_S
        )
        with pauses:
            self.assertEqual([], await self.run_caller(close_later))
        self.assertGreater(self.ledger.outcomes["connection ended"], 0)

    async def test_killed_daemon(self):
        """Guards against requests counted as lost whose daemon was killed."""
        self.state.killed_at = time.monotonic() + 60.0
        self.assertEqual([], await self.run_caller(pass_on_and_close))

    async def test_announced_close(self):
        """Guards against callers that leave before the daemon closes."""
        self.assertEqual([], await self.run_caller(announce_close))
        self.assertGreater(self.ledger.outcomes["200"], 3)
        self.assertEqual(0, self.ledger.outcomes["connection ended"])

    async def test_pipelined_requests(self):
        """Guards against a pipelining caller that waits for each response."""

        async def answer_third_request(server, writer):
            if len(server.received) == 3:
                for attempt in server.received:
                    server.answer(writer, attempt)
            elif len(server.received) > 3:
                server.answer(writer, server.received[-1])

        violations = await self.run_caller(answer_third_request, kind=PipeliningCaller)
        self.assertEqual([], violations)
        self.assertGreater(self.ledger.outcomes["200"], 3)

    @parameterized.expand([(0.0, True), (60.0, False)])
    async def test_overdue_response(self, paused, expected):
        """Guards against a response that never comes on an open connection."""

        async def hold(server, writer):
            await asyncio.sleep(2 * RUN_S)
            writer.close()

        pauses = mock.patch.object(HostState, "sum_pauses_since", return_value=paused)
        with pauses, mock.patch.object(soak_callers, "ANSWER_TIMEOUT_S", RUN_S):
            violations = await self.run_caller(hold)
        overdue = [text for text in violations if "on an open connection" in text]
        self.assertEqual(expected, bool(overdue))


class ResponseTest(unittest.IsolatedAsyncioTestCase):
    """Reads responses from bytes."""

    @parameterized.expand(
        [
            ("length", "Content-Length: 3\r\n\r\nabcHTTP", b"abc", True),
            (
                "chunks",
                "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\nHTTP",
                b"abc",
                True,
            ),
            ("end", "X: y\r\n\r\nabc", b"abc", False),
        ]
    )
    async def test_body(self, _name, rest, body, framed):
        """Guards against bodies that are read too far or not to their end."""
        reader = asyncio.StreamReader()
        reader.feed_data(f"HTTP/1.1 200 OK\r\n{rest}".encode())
        reader.feed_eof()
        response = await soak_callers.read_response(reader)
        self.assertEqual((200, body), (response.status, response.body))
        self.assertEqual(framed, response.framed)
        self.assertEqual(b"HTTP" if framed else b"", await reader.read())
