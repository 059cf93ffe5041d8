"""Decoding of host records, which another writer may have made."""

from __future__ import annotations

import unittest

import msgspec
from parameterized import parameterized

from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.state.hosts import (
    MAX_SUSPECTS,
    CrashSuspect,
    Departure,
    decode_host,
    encode_host,
)
from test_coordination_directory import make_entry

SUSPECT = {"fingerprint": "a" * 32, "crashes": 1}
NESTED = b"[" * 3_000 + b"]" * 3_000
RECORD = msgspec.structs.replace(
    make_entry(departure=Departure("b0", 1)),
    suspects=(CrashSuspect("a" * 32, 1),),
)


def change_record(**fields):
    """Return an encoded record with other values; a dotted name is a nested field."""
    document = msgspec.json.decode(encode_host(RECORD))
    for name, value in fields.items():
        *path, last = name.split("__")
        place = document
        for part in path:
            place = place[int(part) if part.isdigit() else part]
        place[last] = value
    return msgspec.json.encode(document)


ODD_RECORDS = [
    ("nested", NESTED),
    ("nested in an unknown field", encode_host(RECORD)[:-1] + b',"x":' + NESTED + b"}"),
    ("bytes", b"\xff"),
    ("no object", b"7"),
    ("number too large", change_record(incarnation=10**22)),
    ("number of 5,000 digits", change_record().replace(b'":1,', b'":' + b"9" * 5_000)),
    ("negative number", change_record(change=-1)),
    ("start too large", change_record(backend__started_ms=2**63)),
    ("departure too large", change_record(departure__started_ms=2**64)),
    ("no slots", change_record(backend__slots=0)),
    ("too many slots", change_record(backend__slots=10**9)),
    ("no service", change_record(backend__service="")),
    ("unknown state", change_record(backend__state="gone")),
    ("line break in the id", change_record(backend__backend="a\r\nb")),
    ("no id", change_record(backend__backend="")),
    ("no host", change_record(host="")),
    ("long host name", change_record(host="h" * 1_000)),
    ("port too large", change_record(peer_address="10.0.0.1:70000")),
    ("port of 23 digits", change_record(peer_address="10.0.0.1:" + "7" * 23)),
    ("port 0", change_record(peer_address="10.0.0.1:0")),
    ("negative port", change_record(peer_address="10.0.0.1:-1")),
    ("no port", change_record(peer_address="10.0.0.1")),
    ("no address", change_record(peer_address="")),
    ("long address", change_record(peer_address="a" * 300 + ":1")),
    ("address of another type", change_record(peer_address=7)),
    ("suspects of another type", change_record(suspects=7)),
    ("fingerprint of another form", change_record(suspects__0__fingerprint="x")),
    ("negative crashes", change_record(suspects__0__crashes=-1)),
    ("too many suspects", change_record(suspects=[SUSPECT] * (MAX_SUSPECTS + 1))),
]
"""Values under the key of a host that name no backend server to use."""


class HostRecordTest(unittest.TestCase):
    """Records as they are read from the store and from notices of peers."""

    @parameterized.expand(ODD_RECORDS)
    def test_odd_record_is_refused(self, _, data):
        """Guards against an entry of another writer that ends a daemon's task."""
        with self.assertRaises(AlmondError) as caught:
            decode_host(data)
        self.assertEqual(ErrorCode.STORE_RESPONSE_INVALID, caught.exception.code)

    @parameterized.expand(["10.0.0.1:7380", "[::1]:1", "host-1.example:65535"])
    def test_record_is_decoded_as_it_was_encoded(self, address):
        """Guards against refusing the records of sound daemons."""
        record = msgspec.structs.replace(RECORD, peer_address=address)
        self.assertEqual(record, decode_host(encode_host(record)))
