"""Tests of the reader of requests: pieces of any size, limits, what is refused."""

from __future__ import annotations

import dataclasses
import unittest

from parameterized import parameterized

from almondrouter.clock import ManualClock
from almondrouter.state.routes import CallerLimits
from almondrouter.transport.readers import RequestReader, RequestSink

GET = b"GET /a?b HTTP/1.1\r\nHost: x\r\n\r\n"
POST = b"POST /c HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789"
CHUNKED = b"PUT /d HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"
TINY = b"GET / HTTP/1.1\r\n\r\n"
MIXED = GET + POST + CHUNKED + GET
TARGETS = ["/a?b", "/c", "/d", "/a?b"]
MAX_HEADERS = 200
MAX_BODY = 10
HEADER_TIMEOUT_S = 10.0


class ListSink(RequestSink):
    """Keeps what the reader passes on."""

    def __init__(self):
        self.requests = []
        self.refusals = []
        self.room = 1000

    @property
    def request_room(self):
        """Return how many more requests are taken."""
        return self.room - len(self.requests)

    def accept_request(self, request, *, keep_alive):
        """Keep a request."""
        self.requests.append(request)

    def refuse_request(self, code, *, event=""):
        """Keep the code of a refusal."""
        self.refusals.append(code.value)

    def confirm_expectation(self):
        """Do nothing."""


class RequestReaderTest(unittest.TestCase):
    """Bytes are fed directly; no connection and no event loop."""

    def setUp(self):
        self.clock = ManualClock()
        self.sink = ListSink()
        self.limits = CallerLimits(MAX_HEADERS, MAX_BODY, HEADER_TIMEOUT_S, 75.0)
        self.reader = RequestReader(
            sink=self.sink, limits=lambda: self.limits, clock=self.clock
        )

    @parameterized.expand([("raised", 20, []), ("lowered", 5, ["body_too_large"])])
    def test_next_request_of_a_connection_has_the_limits_in_force(
        self, _, max_body, refusals
    ):
        """Guards against requests that are judged by an earlier configuration."""
        self.reader.feed(POST)
        self.limits = dataclasses.replace(self.limits, max_body_bytes=max_body)
        body = bytes(max_body if not refusals else MAX_BODY)
        head = b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.reader.feed(head + body)
        self.assertEqual(refusals, self.sink.refusals)

    @parameterized.expand([(1,), (7,), (64,), (1000,)])
    def test_pieces_of_any_size_give_the_same_requests(self, size):
        """Guards against requests that depend on how TCP splits them."""
        for start in range(0, len(MIXED), size):
            self.reader.feed(MIXED[start : start + size])
        self.assertEqual(TARGETS, [r.target for r in self.sink.requests])
        self.assertEqual(
            [b"", b"123456789", b"ab", b""], [r.body for r in self.sink.requests]
        )
        self.assertFalse(self.reader.receiving)

    def test_body_does_not_count_as_headers_of_the_next_request(self):
        """Guards against refusing a request for the length of the one before it."""
        self.reader.feed(POST[:-1])
        self.reader.feed(b"9" + GET * MAX_HEADERS + GET[:10])
        self.reader.feed(GET[10:])
        self.assertEqual([], self.sink.refusals)
        self.assertEqual(MAX_HEADERS + 2, len(self.sink.requests))

    def test_many_small_chunks_leave_turns_to_other_connections(self):
        """Guards against one read that stops all other connections for long."""
        self.limits = CallerLimits(MAX_HEADERS, 10_000, HEADER_TIMEOUT_S, 75.0)
        reader = RequestReader(
            sink=self.sink, limits=lambda: self.limits, clock=self.clock
        )
        head = b"PUT /d HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        reader.feed(head + b"1\r\nx\r\n" * 10_000 + b"0\r\n\r\n")
        turns = 0
        while reader.is_interrupted:
            reader.go_on()
            turns += 1
        self.assertGreater(turns, 5)
        self.assertEqual([b"x" * 10_000], [r.body for r in self.sink.requests])

    @parameterized.expand([("close", b"1.1\r\nConnection: close"), ("old", b"1.0")])
    def test_bytes_behind_the_last_request_are_ignored(self, _, protocol):
        """Guards against refusing what is not to be read."""
        closing = b"GET / HTTP/" + protocol + b"\r\n\r\n"
        self.reader.feed(GET + closing + GET)
        self.reader.feed(b"\x00" + GET)
        self.assertEqual(["/a?b", "/"], [r.target for r in self.sink.requests])
        self.assertEqual([], self.sink.refusals)
        self.assertFalse(self.reader.receiving)

    @parameterized.expand(
        [
            (f"{name}, {room}", data, room)
            for room in (1, 2, 3, 16)
            for name, data in (
                ("get", GET),
                ("tiny", TINY),
                ("blank lines", POST.replace(b"123456789", b"\n\n\r\n\r\n\n\r\n")),
                ("chunks", CHUNKED),
                ("mixed", POST + TINY * 2 + CHUNKED),
            )
        ]
    )
    def test_room_is_never_exceeded(self, _, data, room):
        """Guards against one read that yields more requests than may wait."""
        for size in (1, 50, 1_000_000):
            self.setUp()
            everything = data * 50
            self.sink.room = room
            for start in range(0, len(everything), size):
                self.reader.feed(everything[start : start + size])
                self.assertLessEqual(len(self.sink.requests), room)
            self.assertEqual(room, len(self.sink.requests))
            self.sink.room = 1000
            self.reader.resume()
            requests = everything.count(b" HTTP/1.1")
            self.assertEqual(requests, len(self.sink.requests))
            self.assertEqual([], self.sink.refusals)
            self.assertEqual(0, self.reader.waiting_bytes)

    def test_time_in_which_nothing_is_read_does_not_count(self):
        """Guards against refusing a request that the reader itself kept waiting."""
        self.sink.room = 1
        self.reader.feed(GET * 2 + GET[:20])
        self.clock.advance(HEADER_TIMEOUT_S)
        self.sink.room = 2
        self.reader.resume()
        self.assertTrue(self.reader.receiving)
        self.assertEqual(
            self.clock.monotonic() + HEADER_TIMEOUT_S, self.reader.expires_at
        )

    @parameterized.expand(
        [
            ("malformed", GET + b"\x00\r\n\r\n", 1, "header_invalid"),
            ("headers", GET + b"GET /" + b"x" * MAX_HEADERS, 1, "header_invalid"),
            ("body", POST.replace(b"h: 9", b"h: 11") + GET, 0, "body_too_large"),
            ("chunks", CHUNKED.replace(b"2\r\nab", b"b\r\nabcdefghijk"), 0),
        ]
    )
    def test_refused_request_ends_the_reading(
        self, _, data, before, code="body_too_large"
    ):
        """Guards against reading on in bytes whose meaning is unknown."""
        self.reader.feed(data)
        self.reader.feed(GET)
        self.assertEqual(before, len(self.sink.requests))
        self.assertEqual([code], self.sink.refusals)
