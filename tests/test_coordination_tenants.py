"""Tenants: keys, refusals, headers for the backend server, and ranks."""

from __future__ import annotations

import unittest

import msgspec
from parameterized import parameterized

from almondrouter.coordination.tenants.admission import TenantAdmission, compute_rank
from almondrouter.errors import ErrorCode, FindingsError
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.tenants import TenantPolicy
from almondrouterd.platform.configuration import MAX_KEY_BYTES, decode_routes
from almondrouterd.platform.headers import PlatformDialect
from platform_support import make_configuration

TENANTS = [
    {"name": "mill", "api_keys": ["k-mill", "k-old"], "priority": 1, "rate_per_s": 5},
    {"name": "farm", "api_keys": ["k-farm"]},
]


def make_table(tenants=TENANTS, *, public=False):
    """Return the routes of a configuration with tenants, all public or none."""
    document = msgspec.json.decode(make_configuration(tenants=tenants))
    for path in document["virtual_hosts"][0]["paths"]:
        path["public"] = public
    return decode_routes(msgspec.json.encode(document))


def admit(*headers, public=False, nested=False, tenants=TENANTS, trusted=True):
    """Return what the admission makes of a request with these headers."""
    table = make_table(tenants, public=public)
    admission = TenantAdmission(PlatformDialect(), may_trust_keys=lambda: trusted)
    route = table.find("shop.example", "/read/1")
    return admission.admit(headers, route, table.tenants, nested=nested)


class AdmissionTest(unittest.TestCase):
    """A request needs exactly one known key unless its route is public."""

    @parameterized.expand(
        [
            ("known", [("key", "k-mill")], {}, "mill"),
            ("second key", [("key", "k-old")], {}, "mill"),
            ("nested without", [], {"nested": True}, ""),
            ("public without", [], {"public": True}, ""),
            ("public with", [("key", "k-farm")], {"public": True}, "farm"),
            ("public unknown", [("key", "x")], {"public": True}, ""),
        ]
    )
    def test_admitted(self, _name, headers, options, tenant):
        """Guards against refusals of proper requests, and another tenant's name."""
        admitted = admit(*headers, **options)
        self.assertEqual(tenant, admitted.tenant.name if admitted.tenant else "")

    @parameterized.expand(
        [
            ("none", []),
            ("unknown", [("key", "k-other")]),
            ("empty", [("key", "")]),
            ("two", [("key", "k-mill"), ("key", "k-farm")]),
            ("long", [("key", "x" * 10_000)]),
            ("not ASCII", [("key", "k-mill\xff")]),
            ("with scheme", [("key", "Bearer k-mill")]),
            ("tenant only", [("tenant-id", "mill")]),
        ]
    )
    def test_refused(self, _name, headers):
        """Guards against requests that run although no tenant sent them."""
        with self.assertRaises(CallError) as caught:
            admit(*headers)
        self.assertEqual(ErrorCode.KEY_UNKNOWN, caught.exception.code)
        self.assertNotIn("k-", caught.exception.message)

    @parameterized.expand([("open", True), ("closed", False)])
    def test_credentials_are_not_forwarded(self, _name, public):
        """Guards against keys and claimed tenants that reach a backend server."""
        sent = [("key", "k-mill"), ("tenant-id", "farm"), ("accept", "*/*")]
        self.assertEqual((("accept", "*/*"),), admit(*sent, public=public).headers)

    def test_no_tenants_change_nothing(self):
        """Guards against a header that another deployment uses and would miss."""
        admitted = admit(("key", "v"), ("tenant-id", "t"), tenants=None)
        self.assertEqual((("key", "v"), ("tenant-id", "t")), admitted.headers)

    def test_keys_without_news(self):
        """Guards against removed keys at a daemon that cannot hear of the removal."""
        with self.assertRaises(CallError) as caught:
            admit(("key", "k-mill"), trusted=False)
        self.assertEqual(ErrorCode.NOT_READY, caught.exception.code)

    def test_removed_key(self):
        """Guards against keys that outlive the version that removes them."""
        with self.assertRaises(CallError):
            admit(("key", "k-old"), tenants=[{"name": "mill", "api_keys": ["k-mill"]}])

    @parameterized.expand(
        [
            ("none", None, 2, 2),
            ("no priority", TenantPolicy("t"), 1, 1),
            ("urgent tenant", TenantPolicy("t", 0), 2, 2),
            ("less urgent tenant", TenantPolicy("t", 1), 0, 3),
            ("very low route", TenantPolicy("t", 0), 7, 2),
        ]
    )
    def test_rank(self, _name, tenant, priority, expected):
        """Guards against the priority of a route that precedes that of a tenant."""
        route = make_table().find("shop.example", "/read/1")
        object.__setattr__(route, "priority", priority)
        self.assertEqual(expected, compute_rank(route, tenant))


class ConfigurationTest(unittest.TestCase):
    """Faulty tenants refuse a configuration whole, with each place and no key."""

    @parameterized.expand(
        [
            ("twice", [TENANTS[1], {"name": "farm"}], "tenants.farm"),
            ("shared", [*TENANTS, {"name": "b", "api_keys": ["k-farm"]}], "tenants.b"),
            ("empty key", [{"name": "a", "api_keys": [""]}], "tenants.a"),
            ("long", [{"name": "a", "api_keys": ["k" * 10_000]}], "tenants.a"),
            ("negative rate", [{"name": "a", "rate_per_s": -1}], "op/config"),
            ("rate as text", [{"name": "a", "rate_per_s": "5"}], "op/config"),
            ("negative burst", [{"name": "a", "burst": -0.1}], "op/config"),
            ("no name", [{"name": ""}], "op/config"),
        ]
    )
    def test_refused(self, _name, tenants, place):
        """Guards against tenants whose requests would be counted for others."""
        with self.assertRaises(FindingsError) as caught:
            make_table(tenants)
        self.assertIn(place, [finding.place for finding in caught.exception.findings])
        self.assertNotIn("k-farm", str(caught.exception.findings))

    def test_many_tenants(self):
        """Guards against a limit below 10,000 tenants."""
        tenants = [
            {"name": f"t{n}", "api_keys": [f"{n:0{MAX_KEY_BYTES}}"]}
            for n in range(10_000)
        ]
        self.assertEqual(10_000, len(make_table(tenants).tenants.policies))

    def test_download_is_repeatable(self):
        """Guards against downloads that are not repeated after a failure."""
        data = make_configuration().replace(b'"safe"', b'"download"')
        self.assertTrue(decode_routes(data).find("shop.example", "/read/1").repeatable)
