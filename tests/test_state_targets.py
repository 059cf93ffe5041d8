"""Tests of the validation of targets."""

import unittest

from parameterized import parameterized

from almondrouter.errors import ErrorCode, FindingsError
from almondrouter.state.targets import (
    MAX_CONFIGURATION_BYTES,
    Configuration,
    decode_configuration,
    encode_configuration,
)

VALID = b"""{"version": 3, "services": {"accounts": {"calls_per_second": 50}},
 "classes": {"renewals": {"service": "accounts", "answer_within_ms": 250}}}"""


class TargetsTest(unittest.TestCase):
    """A single fault must cause the whole configuration to be rejected."""

    def test_round_trip_keeps_the_digest(self):
        """Guards against digests that differ between the writer and its readers."""
        configuration = decode_configuration(VALID)
        again = decode_configuration(encode_configuration(configuration))
        self.assertEqual(configuration.digest(), again.digest())

    @parameterized.expand(
        [
            ("truncated", VALID[:-1], ErrorCode.CONFIGURATION_MALFORMED),
            (
                "other document type",
                b'{"kind": "Pod"}',
                ErrorCode.CONFIGURATION_MALFORMED,
            ),
            ("not json", b"\xff\xfe", ErrorCode.CONFIGURATION_MALFORMED),
            (
                "too large",
                b" " * (MAX_CONFIGURATION_BYTES + 1),
                ErrorCode.CONFIGURATION_TOO_LARGE,
            ),
            (
                "unknown service",
                VALID.replace(b'"service": "accounts"', b'"service": "other"'),
                ErrorCode.SERVICE_UNKNOWN,
            ),
            (
                "response time of zero",
                VALID.replace(b"250", b"0"),
                ErrorCode.VALUE_OUT_OF_RANGE,
            ),
            (
                "class limit above the service's",
                VALID.replace(b"250", b'250, "calls_per_second": 60'),
                ErrorCode.TARGET_CONTRADICTORY,
            ),
            (
                "invalid name",
                VALID.replace(b'"renewals"', b'"Re new"'),
                ErrorCode.NAME_INVALID,
            ),
        ]
    )
    def test_rejects(self, _name, data, code):
        """Guards against accepting an invalid document or reporting another fault."""
        with self.assertRaises(FindingsError) as caught:
            decode_configuration(data)
        self.assertEqual(caught.exception.code, code)

    def test_reports_all_findings_together(self):
        """Guards against validation that stops at the first fault."""
        data = VALID.replace(b"250", b"0").replace(b"50}", b"-1}")
        with self.assertRaises(FindingsError) as caught:
            decode_configuration(data)
        places = [finding.place for finding in caught.exception.findings]
        self.assertEqual(
            places,
            ["services.accounts.calls_per_second", "classes.renewals.answer_within_ms"],
        )

    def test_empty_configuration_is_valid(self):
        """Guards against a new cluster that cannot start without targets."""
        data = encode_configuration(Configuration())
        self.assertEqual(decode_configuration(data).version, 0)
