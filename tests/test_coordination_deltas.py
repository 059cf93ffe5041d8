"""Differences of configurations: true results, small sizes, foreign bases."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from almondrouter.coordination.deltas import apply_delta, make_delta
from almondrouter.errors import AlmondError

MANY = 1000
FORMS = st.lists(st.sampled_from([b'{"name":', b"a", b"b{", b'"name":', b""]))


def make_form(version, *, changed=None):
    """Return a configuration with many routes."""
    routes = [
        {"name": f"r-{n}", "path_prefix": f"/p{n}/", "timeout_s": n % 7}
        for n in range(MANY)
    ]
    if changed is not None:
        routes[changed]["timeout_s"] = 99
    return msgspec.json.encode({"version": f"r{version}", "paths": routes})


class DeltaTest(unittest.TestCase):
    """The older form is known to both ends, or is not."""

    @parameterized.expand([("version", None), ("first", 0), ("last", MANY - 1)])
    def test_small_change_is_small(self, _, changed):
        """Guards against storms of versions that fill narrow links."""
        older, newer = make_form(7), make_form(8, changed=changed)
        delta = make_delta(older, newer)
        self.assertEqual(newer, apply_delta(older, delta))
        self.assertLess(len(delta), 300)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(FORMS, FORMS)
    def test_any_forms(self, older, newer):
        """Guards against a form that is put together wrongly."""
        older, newer = b"".join(older), b"".join(newer)
        self.assertEqual(newer, apply_delta(older, make_delta(older, newer)))

    @parameterized.expand([("other base", make_form(6)), ("no base", b"")])
    def test_foreign_base(self, _, base):
        """Guards against a configuration mixed of two versions."""
        delta = make_delta(make_form(7), make_form(8, changed=5))
        with self.assertRaises(AlmondError):
            apply_delta(base.replace(b'"r-9"', b'"x"'), delta)

    @parameterized.expand([(b"",), (b"no zlib",), (make_delta(b"", b"x")[:-3],)])
    def test_unreadable(self, data):
        """Guards against bytes of a foreign writer that end the daemon."""
        with self.assertRaises(AlmondError):
            apply_delta(b"", data)
