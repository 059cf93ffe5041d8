"""Tests of configuration deltas: correctness, size, and invalid input."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from almondrouter.coordination.deltas import apply_delta, make_delta
from almondrouter.errors import AlmondError

ROUTE_COUNT = 1000
ENCODINGS = st.lists(st.sampled_from([b'{"name":', b"a", b"b{", b'"name":', b""]))


def encode_routes(version, *, changed=None):
    """Return an encoded configuration with many routes."""
    routes = [
        {"name": f"r-{n}", "path_prefix": f"/p{n}/", "timeout_s": n % 7}
        for n in range(ROUTE_COUNT)
    ]
    if changed is not None:
        routes[changed]["timeout_s"] = 99
    return msgspec.json.encode({"version": f"r{version}", "paths": routes})


class DeltaTest(unittest.TestCase):
    """A delta gives the newer encoding, or is refused if its base differs."""

    @parameterized.expand([("version", None), ("first", 0), ("last", ROUTE_COUNT - 1)])
    def test_small_change_is_small(self, _, changed):
        """Guards against versions in quick succession that saturate narrow links."""
        older, newer = encode_routes(7), encode_routes(8, changed=changed)
        delta = make_delta(older, newer)
        self.assertEqual(newer, apply_delta(older, delta))
        self.assertLess(len(delta), 300)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(ENCODINGS, ENCODINGS)
    def test_any_encodings(self, older, newer):
        """Guards against an encoding that is reassembled incorrectly."""
        older, newer = b"".join(older), b"".join(newer)
        self.assertEqual(newer, apply_delta(older, make_delta(older, newer)))

    @parameterized.expand([("other base", encode_routes(6)), ("no base", b"")])
    def test_other_base_is_refused(self, _, base):
        """Guards against a configuration that mixes two versions."""
        delta = make_delta(encode_routes(7), encode_routes(8, changed=5))
        with self.assertRaises(AlmondError):
            apply_delta(base.replace(b'"r-9"', b'"x"'), delta)

    @parameterized.expand([(b"",), (b"no zlib",), (make_delta(b"", b"x")[:-3],)])
    def test_undecodable_delta_is_refused(self, data):
        """Guards against a crash of the daemon on bytes that are not a delta."""
        with self.assertRaises(AlmondError):
            apply_delta(b"", data)
