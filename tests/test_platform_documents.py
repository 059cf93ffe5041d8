"""Decoding of the hosting platform's settings, configuration, heartbeats, headers."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import msgspec
from parameterized import parameterized

from almondrouter.errors import AlmondError, ErrorCode, FindingsError
from almondrouter.protocol.dialect import BackendLoad
from almondrouter.state.hosts import ServingState
from almondrouterd.platform.configuration import decode_routes
from almondrouterd.platform.headers import PlatformDialect
from almondrouterd.platform.heartbeats import decode_deregistration, decode_heartbeat
from almondrouterd.platform.settings import read_host_settings
from calls_support import make_request
from platform_support import SERVICE, make_configuration, make_heartbeat

SETTINGS = """
node = "h1"
zone = "z1"
region = "r1"
ip = "10.0.0.1"
app_addr = "10.0.0.1:80"
service = "orders"
heartbeat_s = 1.5
port_range = [7380, 7395]
unknown_field = "ignored"
[listen]
inbound = "10.0.0.1:81"
outbound = "10.0.0.1:82"
ready_address = "10.0.0.1:83"
control = "10.0.0.1:84"
[limits]
memory_mb = 150
max_fds = 4100
[provider]
address = "10.0.0.9:90"
writes_per_s = 400
reads_per_s = 2000
"""


class SettingsTest(unittest.TestCase):
    """The settings file is validated as a whole before the daemon starts."""

    def read(self, text, **options):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "boot.toml")
            path.write_text(text)
            return read_host_settings(str(path), **options)

    def test_reads_processor_time(self):
        """Guards against owners of quotas that are chosen without it."""
        text = SETTINGS.replace("max_fds", "cpu_share = 0.7\ncores = 3\nmax_fds")
        self.assertAlmostEqual(2.1, self.read(text).processors)
        self.assertEqual(0.0, self.read(SETTINGS).processors)

    def test_reads_addresses_and_limits(self):
        """Guards against addresses that are assigned to the wrong setting."""
        settings = self.read(SETTINGS)
        self.assertEqual("10.0.0.1:81", settings.peer_address)
        self.assertEqual("10.0.0.1:82", settings.caller_address)
        self.assertEqual("10.0.0.1:80", settings.backend_address)
        self.assertEqual(0.2, settings.repeat_limits.ratio)

    def test_advertised_address(self):
        """Guards against peers that are told an address behind a port forwarder."""
        self.assertEqual("10.0.0.1:81", self.read(SETTINGS).advertised_address)
        settings = self.read(SETTINGS, advertised_address="10.0.0.7:81")
        self.assertEqual("10.0.0.7:81", settings.advertised_address)
        self.assertEqual("10.0.0.1:81", settings.peer_address)

    @parameterized.expand([("narrow", 8.0, 1e6), ("unknown", 0.0, 125e6)])
    def test_link_rate(self, _, megabits, expected):
        """Guards against a link of unknown rate that is treated as having none."""
        text = SETTINGS.replace("max_fds", f"link_mbps = {megabits}\nmax_fds")
        self.assertEqual(expected, self.read(text).link_bytes_per_second)
        self.assertEqual(125e6, self.read(SETTINGS).link_bytes_per_second)

    @parameterized.expand(
        [
            ("heartbeat_s = 1.5", "heartbeat_s = 3.0", False),
            ("memory_mb = 150", "memory_mb = 300", True),
            ("[listen]", "[bounds]\ndrain_s = 9.0\n[listen]", False),
            ("[listen]", "[bounds]\ngrace_s = 9.0\n[listen]", True),
            ("[listen]", "[bounds]\nbudget_extra = 9.0\n[listen]", True),
        ]
    )
    def test_only_settings_in_use_can_change(self, old, new, changes):
        """Guards against a reload that reports a change without any effect."""
        settings = self.read(SETTINGS.replace(old, new))
        self.assertEqual(changes, settings != self.read(SETTINGS))

    @parameterized.expand(
        [
            ("no TOML", "node = ", ErrorCode.FILE_UNREADABLE, "Invalid value"),
            ("missing", SETTINGS.replace("zone", "zona"), None, "zone"),
            ("wrong type", SETTINGS.replace("150", '"x"'), None, "memory_mb"),
        ]
    )
    def test_invalid_file_is_refused_with_its_place(self, _, text, code, place):
        """Guards against a daemon that starts with incomplete settings."""
        with self.assertRaises(FindingsError) as caught:
            self.read(text)
        finding = caught.exception.findings[0]
        self.assertEqual(code or ErrorCode.SETTING_INVALID, finding.code)
        self.assertIn(place, finding.message)

    def test_missing_file_is_refused(self):
        """Guards against a daemon that starts without a settings file."""
        with self.assertRaises(FindingsError) as caught:
            read_host_settings("")
        self.assertEqual(ErrorCode.FILE_UNREADABLE, caught.exception.code)


class ConfigurationTest(unittest.TestCase):
    """A configuration is decoded as a whole or refused."""

    def test_routes(self):
        """Guards against fields of a route that are decoded wrongly."""
        table = decode_routes(make_configuration(12))
        route = table.find("SHOP.example:80", "/read/1")
        self.assertEqual(
            (12, "r-read", True, 0.8, 0.4, 2, 2),
            (
                table.version,
                route.name,
                route.repeatable,
                route.answer_within,
                route.target_latency,
                route.max_attempts,
                route.priority,
            ),
        )
        self.assertFalse(table.find("shop.example", "/pay/x").repeatable)
        self.assertIsNone(table.find("shop.example", "/rea"))
        self.assertIsNone(table.find("other.example", "/read/1"))
        self.assertEqual(15, table.limits.idle_timeout)

    def test_longest_prefix_wins(self):
        """Guards against a short prefix that takes precedence over a longer one."""
        document = msgspec.json.decode(make_configuration())
        paths = document["virtual_hosts"][0]["paths"]
        paths.append(paths[0] | {"path_prefix": "/read/deep/", "name": "r-deep"})
        table = decode_routes(msgspec.json.encode(document))
        self.assertEqual("r-deep", table.find("shop.example", "/read/deep/1").name)

    @parameterized.expand(
        [
            ("no JSON", b"{", ErrorCode.CONFIGURATION_MALFORMED),
            ("nested", b"[" * 3_000, ErrorCode.CONFIGURATION_MALFORMED),
            ("cut short", make_configuration()[:-9], ErrorCode.CONFIGURATION_MALFORMED),
            (
                "version",
                make_configuration().replace(b'"r7"', b'"7"'),
                ErrorCode.VALUE_OUT_OF_RANGE,
            ),
            (
                "unknown service",
                make_configuration(services=[]),
                ErrorCode.SERVICE_UNKNOWN,
            ),
            (
                "no weight",
                make_configuration().replace(
                    b'"service":"orders",',
                    b'"backends":[{"service":"orders","weight":0}],',
                ),
                ErrorCode.VALUE_OUT_OF_RANGE,
            ),
        ]
    )
    def test_invalid_configuration_is_refused(self, _, data, code):
        """Guards against an invalid configuration that is partly applied."""
        with self.assertRaises(FindingsError) as caught:
            decode_routes(data)
        self.assertEqual(code, caught.exception.code)

    def test_weighted_services(self):
        """Guards against traffic weights that are lost in decoding."""
        data = make_configuration().replace(
            b'"service":"orders",',
            b'"backends":[{"service":"orders","weight":90},'
            b'{"service":"orders","weight":10}],',
        )
        route = decode_routes(data).find("shop.example", "/read/")
        self.assertEqual([90, 10], [share.weight for share in route.shares])


class HeartbeatTest(unittest.TestCase):
    """A heartbeat is decoded to a backend server, or refused."""

    @parameterized.expand(
        [("ready", ServingState.READY), ("draining", ServingState.LEAVING)]
    )
    def test_valid_heartbeat(self, state, expected):
        """Guards against a draining server that is decoded as ready."""
        report = decode_heartbeat("i-1", make_heartbeat("a:1", state=state))
        self.assertEqual(
            ("i-1", 1000, SERVICE, 4, expected, "v1"),
            msgspec.structs.astuple(report.entry),
        )

    @parameterized.expand(
        [
            ("bytes", "i-1", b"\xff\xfe"),
            ("nested", "i-1", b"[" * 3_000),
            ("start too large", "i-1", make_heartbeat("a:1", born=10**22)),
            ("start before 1970", "i-1", make_heartbeat("a:1", born=-1)),
            ("state", "i-1", make_heartbeat("a:1", state="gone")),
            ("no start", "i-1", make_heartbeat("a:1").replace(b'"born"', b'"x"')),
            ("start as text", "i-1", make_heartbeat("a:1", born="1000")),
            ("start as fraction", "i-1", make_heartbeat("a:1", born=1.5)),
            ("no slots", "i-1", make_heartbeat("a:1").replace(b":4}", b":0}")),
            ("id", "i 1", make_heartbeat("a:1")),
            ("no id", "", make_heartbeat("a:1")),
        ]
    )
    def test_invalid_heartbeat_is_refused(self, _, backend, body):
        """Guards against a malformed or forged heartbeat that attracts traffic."""
        with self.assertRaises(AlmondError):
            decode_heartbeat(backend, body)

    @parameterized.expand(
        [
            (b"", 0),
            (b'{"born":5}', 5),
            (b"{", 0),
            (b"[]", 0),
            (b"[" * 3_000, 0),
            (b'{"born":10000000000000000000000}', 0),
        ]
    )
    def test_leaving(self, body, expected):
        """Guards against a malformed deregistration that raises an error."""
        self.assertEqual(expected, decode_deregistration(body))


class DialectTest(unittest.TestCase):
    """The platform's headers are translated to and from the daemon's terms."""

    def setUp(self):
        self.dialect = PlatformDialect()

    def test_request(self):
        """Guards against hop-by-hop and forged headers that are forwarded."""
        info = self.dialect.read_request(
            (
                ("host", "shop.example"),
                ("attempt-id", "p.c"),
                ("deadline-ms", "1500"),
                ("connection", "close, x-hop"),
                ("x-hop", "1"),
                ("caller-service", "forged"),
                ("expected-instance", "forged"),
                ("x-keep", "1"),
            )
        )
        self.assertEqual(
            ("p.c", "p", "shop.example", 1.5),
            (info.attempt_id, info.parent_id, info.virtual_host, info.time_left),
        )
        kept = (("host", "shop.example"), ("attempt-id", "p.c"), ("x-keep", "1"))
        self.assertEqual(kept, info.headers)

    @parameterized.expand(["", "-1", "1e3", "\u0663", "1.5"])
    def test_malformed_deadline_is_ignored(self, text):
        """Guards against a deadline that is derived from a malformed header."""
        info = self.dialect.read_request((("deadline-ms", text),))
        self.assertIsNone(info.time_left)

    def test_headers_sent_to_the_backend_server(self):
        """Guards against a caller that sets its own service name."""
        request = msgspec.structs.replace(
            make_request(deadline=1.0, backend="i-1"), caller_service="own"
        )
        headers = dict(self.dialect.write_request(request, time_left=0.25))
        self.assertEqual(
            {
                "deadline-ms": "250",
                "expected-instance": "i-1",
                "caller-service": "own",
            },
            headers,
        )

    @parameterized.expand(
        [
            ("own answer", 200, ("response-signature",), (True, False, True)),
            ("no signature", 200, (), (True, False, False)),
            ("encoded", 200, ("response-signature", "content-encoding"), (1, 0, 0)),
            ("shed", 503, ("not-executed",), (False, False, False)),
            ("another", 421, (), (False, True, False)),
            ("failed", 500, ("response-signature",), (True, False, True)),
        ]
    )
    def test_response_state(self, _, status, names, expected):
        """Guards against a response whose execution state is read wrongly."""
        headers = tuple((name, "x") for name in names)
        answer = self.dialect.read_response(status, headers)
        found = (answer.executed, answer.misdirected, answer.genuine)
        self.assertEqual(tuple(map(bool, expected)), found)

    @parameterized.expand(
        [
            ("3,0,8", BackendLoad(3, 0, 8)),
            ("3, 0, 8, 140", BackendLoad(3, 0, 8, 1.4)),
            *((text, None) for text in ("", "3", "3,0", "-1,0,8", "3,0,0", "a,b,c")),
            *((text, None) for text in ("3,0,8,", "3,0,8,1e9", "\u0663,0,8", "9" * 99)),
        ]
    )
    def test_load(self, text, expected):
        """Guards against loads that are read from malformed headers."""
        answer = self.dialect.read_response(200, (("instance-load", text),))
        self.assertEqual(expected, answer.load)

    @parameterized.expand(
        [
            ("own", False, True),
            ("own", True, True),
            ("other", False, False),
            ("other", True, False),
            (None, False, True),
            (None, True, False),
        ]
    )
    def test_response_is_matched_by_attempt_id(self, answered, reused, expected):
        """Guards against a late response that is matched to another request.

        A response without an id is beyond doubt only as the first on its connection.
        """
        request = msgspec.structs.replace(make_request(deadline=1.0), attempt_id="own")
        headers = (("attempt-id", answered),) if answered else ()
        found = self.dialect.is_response_to(request, headers, reused=reused)
        self.assertEqual(expected, found)
