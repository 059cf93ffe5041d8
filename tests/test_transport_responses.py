"""Tests of responses as bytes: how their ends are found."""

from __future__ import annotations

import unittest

from parameterized import parameterized

from almondrouter.transport.calls import CallerResponse
from almondrouter.transport.responses import encode_response

OK = b"HTTP/1.1 200 OK\r\na: b\r\n"


class EncodeResponseTest(unittest.TestCase):
    """Whole responses are compared."""

    @parameterized.expand(
        [
            ("kept", 200, True, True, OK + b"Content-Length: 2\r\n\r\nxy"),
            (
                "last",
                200,
                True,
                False,
                OK + b"Connection: close\r\nContent-Length: 2\r\n\r\nxy",
            ),
            ("unframed", 200, False, False, OK + b"Connection: close\r\n\r\nxy"),
            ("bodyless", 204, True, True, b"HTTP/1.1 204 No Content\r\na: b\r\n\r\n"),
            (
                "unknown status",
                299,
                True,
                True,
                b"HTTP/1.1 299 \r\na: b\r\nContent-Length: 2\r\n\r\nxy",
            ),
        ]
    )
    def test_end_of_a_response_is_unambiguous(
        self, _, status, framed, keep_alive, expected
    ):
        """Guards against bytes of one response that are taken for the next."""
        response = CallerResponse(status, (("a", "b"),), b"xy", framed)
        self.assertEqual(expected, encode_response(response, keep_alive=keep_alive))
