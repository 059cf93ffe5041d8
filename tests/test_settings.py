"""Tests of settings from flags and environment."""

import argparse
import unittest

from parameterized import parameterized

from almondrouter.errors import ErrorCode, FindingsError
from almondrouter.settings import (
    FindingsParser,
    Setting,
    add_settings,
    parse_address,
    parse_addresses,
    parse_bytes,
    parse_name,
    parse_seconds,
    parse_share,
    read_settings,
)

SETTINGS = (
    Setting("host", parse_name, "Host"),
    Setting("peer-address", parse_address, "Peer"),
    Setting("drain-timeout", parse_seconds, "Drain", default="60"),
    Setting("token", str, "Token", default="none", secret=True),
)


def read(argv, environment):
    """Read the settings from a command line and an environment."""
    parser = FindingsParser()
    add_settings(parser, SETTINGS)
    arguments, unknown = parser.parse_known_args(argv)
    return read_settings(SETTINGS, arguments, environment, unknown_flags=unknown)


class ReadSettingsTest(unittest.TestCase):
    """An invalid setting must prevent the start and report all findings at once."""

    def test_flag_overrides_environment_and_default(self):
        """Guards against a wrong precedence or a wrong report of a value's origin."""
        environment = {
            "ALMONDROUTER_HOST": "from-environment",
            "ALMONDROUTER_PEER_ADDRESS": "127.0.0.1:2",
        }
        values = read(["--host", "from-flag"], environment)
        self.assertEqual(values["host"], "from-flag")
        self.assertEqual(
            dict(values.origins),
            {
                "host": "flag",
                "peer-address": "environment",
                "drain-timeout": "default",
                "token": "default",
            },
        )

    def test_reports_every_finding_with_its_place(self):
        """Guards against stopping at the first invalid setting."""
        argv = ["--host", "UPPER", "--wrong-flag", "--drain-timeout", "-1"]
        with self.assertRaises(FindingsError) as caught:
            read(argv, {"ALMONDROUTER_PEER_ADDRESS": "localhost:80"})
        found = {(item.place, item.code) for item in caught.exception.findings}
        self.assertEqual(
            found,
            {
                ("--wrong-flag", ErrorCode.SETTING_INVALID),
                ("--host", ErrorCode.SETTING_INVALID),
                ("ALMONDROUTER_PEER_ADDRESS", ErrorCode.SETTING_INVALID),
                ("--drain-timeout", ErrorCode.SETTING_INVALID),
            },
        )

    def test_missing_setting_names_flag_and_variable(self):
        """Guards against a message that does not say how to set the value."""
        with self.assertRaises(FindingsError) as caught:
            read(["--host", "h"], {})
        finding = caught.exception.findings[0]
        self.assertEqual(finding.code, ErrorCode.SETTING_MISSING)
        self.assertIn("ALMONDROUTER_PEER_ADDRESS", finding.message)

    def test_description_leaves_secrets_out(self):
        """Guards against printing secrets with the settings."""
        argv = ["--host", "h", "--peer-address", "127.0.0.1:1", "--token", "hunter2"]
        text = str(read(argv, {}).describe())
        self.assertNotIn("hunter2", text)

    def test_argument_errors_become_findings(self):
        """Guards against ``argparse`` exiting the process on a usage error."""
        parser = FindingsParser()
        parser.add_argument("--number", type=int)
        with self.assertRaises(FindingsError):
            parser.parse_args(["--number", "x"])


class ParseTest(unittest.TestCase):
    """Values outside their range must be rejected before the daemon starts."""

    @parameterized.expand(
        [
            ("no port", parse_address, "127.0.0.1"),
            ("port 0", parse_address, "127.0.0.1:0"),
            ("port too high", parse_address, "127.0.0.1:65536"),
            ("host name", parse_address, "localhost:80"),
            ("one bad address of two", parse_addresses, "127.0.0.1:1,x"),
            ("empty name", parse_name, ""),
            ("upper-case name", parse_name, "North"),
            ("share above 1", parse_share, "1.1"),
            ("share not a number", parse_share, "half"),
            ("zero seconds", parse_seconds, "0"),
            ("more than a day", parse_seconds, "1e9"),
            ("not a number of seconds", parse_seconds, "nan"),
            ("zero bytes", parse_bytes, "0"),
            ("bytes above the frame limit", parse_bytes, "9000000"),
        ]
    )
    def test_rejects(self, _name, parse, text):
        """Guards against a parser that accepts malformed or out-of-range text."""
        with self.assertRaises(ValueError):
            parse(text)

    @parameterized.expand(
        [
            (parse_address, "[::1]:80", "[::1]:80"),
            (parse_addresses, "", ()),
            (
                parse_addresses,
                "127.0.0.1:1, 127.0.0.1:2",
                ("127.0.0.1:1", "127.0.0.1:2"),
            ),
            (parse_share, "0.25", 0.25),
        ]
    )
    def test_accepts(self, parse, text, value):
        """Guards against rejecting IPv6 addresses, empty lists and spaces in lists."""
        self.assertEqual(parse(text), value)


class HelpTest(unittest.TestCase):
    """A percent sign in a summary must not break ``--help``."""

    def test_help_can_be_formatted(self):
        parser = argparse.ArgumentParser()
        add_settings(parser, (Setting("share", parse_share, "at most 5%"),))
        self.assertIn("at most 5%", parser.format_help())
