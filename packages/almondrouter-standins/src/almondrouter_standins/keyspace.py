"""Keys, transactions and leases behind the stand-in of the store."""

from __future__ import annotations

import base64
import bisect
import operator
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from almondrouter.clock import Clock

MAX_VALUE_BYTES = 1_000_000
# The published protocol's default of 128 operations for each list of a
# transaction.
MAX_TRANSACTION_OPERATIONS = 128
KEPT_EVENTS = 100_000

INVALID_ARGUMENT = 3
NOT_FOUND = 5
RESOURCE_EXHAUSTED = 8
OUT_OF_RANGE = 11
UNIMPLEMENTED = 12

Body = dict[str, Any]

_COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}
_TARGETS = {
    "VERSION": "version",
    "CREATE": "create_revision",
    "MOD": "mod_revision",
    "VALUE": "value",
}


class ProtocolError(Exception):
    """A refusal with its gRPC status code."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int

    def encode(self) -> Body:
        """Return the entry as the protocol's JSON; zeros are left out."""
        body = {"key": encode_bytes(self.key)}
        for name in ("create_revision", "mod_revision", "version", "lease"):
            number = getattr(self, name)
            if number:
                body[name] = str(number)
        if self.value:
            body["value"] = encode_bytes(self.value)
        return body


@dataclass(slots=True)
class _Lease:
    ttl: int
    expires_at: float


@dataclass(frozen=True, slots=True)
class _Decided:
    """A transaction whose conditions, nested ones too, have been decided."""

    succeeded: bool
    operations: tuple[tuple[str, Any], ...]


@dataclass(frozen=True, slots=True)
class _Touched:
    """Keys that a transaction may put, and ranges that it may delete."""

    puts: set[bytes]
    deletes: list[tuple[bytes, bytes]]


class Keyspace:
    """Linearizable keys with revisions, transactions, leases and event history.

    Parameters
    ----------
    clock
        Measures leases.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[bytes, Entry] = {}
        self._sorted: list[bytes] = []
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 0x5EED0001
        self._events: list[tuple[int, Body]] = []
        self.revision = 1
        self.compact_revision = 0
        self.lease_offset = 0.0

    def range(self, body: Body) -> Body:
        """Read one key or a range of keys."""
        self.expire_leases()
        return self._range(body)

    def put(self, body: Body) -> Body:
        """Write one key."""
        return self.txn({"success": [{"request_put": body}]})["responses"][0][
            "response_put"
        ]

    def delete_range(self, body: Body) -> Body:
        """Delete one key or a range of keys."""
        return self.txn({"success": [{"request_delete_range": body}]})["responses"][0][
            "response_delete_range"
        ]

    def txn(self, body: Body) -> Body:
        """Do a transaction."""
        self.expire_leases()
        _check_transaction(body)
        decided = self._decide(body)
        self._check_puts(decided)
        before = self.revision
        result = self._apply(decided, before + 1)
        result["header"] = self.header()
        return result

    def grant(self, body: Body) -> Body:
        """Grant a lease."""
        ttl = int(body.get("TTL", 0))
        if ttl <= 0:
            raise ProtocolError(OUT_OF_RANGE, "etcdserver: too small lease TTL")
        lease_id = int(body.get("ID", 0)) or self._next_lease
        self._next_lease += 1
        self._leases[lease_id] = _Lease(ttl, self._lease_time() + ttl)
        return {"header": self.header(), "ID": str(lease_id), "TTL": str(ttl)}

    def keep_alive(self, body: Body) -> Body:
        """Prolong a lease; the TTL is left out if it is not held."""
        self.expire_leases()
        lease_id = int(body.get("ID", 0))
        result = {"header": self.header(), "ID": str(lease_id)}
        lease = self._leases.get(lease_id)
        if lease is not None:
            lease.expires_at = self._lease_time() + lease.ttl
            result["TTL"] = str(lease.ttl)
        return {"result": result}

    def revoke(self, body: Body) -> Body:
        """Revoke a lease and delete its keys."""
        self.expire_leases()
        lease_id = int(body.get("ID", 0))
        if lease_id not in self._leases:
            raise ProtocolError(NOT_FOUND, "etcdserver: requested lease not found")
        self._drop_lease(lease_id)
        return {"header": self.header()}

    def expire_leases(self) -> None:
        """Delete the keys of the leases that have run out."""
        now = self._lease_time()
        for lease_id in [i for i, x in self._leases.items() if x.expires_at <= now]:
            self._drop_lease(lease_id)

    def header(self) -> Body:
        """Return the header of a response."""
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.revision)}

    def events(
        self, key: bytes, range_end: bytes, from_revision: int
    ) -> Iterator[tuple[int, Body]]:
        """Yield events with their revisions, from a revision on."""
        first = bisect.bisect_left(self._events, from_revision, key=lambda e: e[0])
        for revision, event in self._events[first:]:
            if _covers(key, range_end, base64.b64decode(event["kv"]["key"])):
                yield revision, event

    def _lease_time(self) -> float:
        return self._clock.monotonic() + self.lease_offset

    def _drop_lease(self, lease_id: int) -> None:
        del self._leases[lease_id]
        keys = [k for k, entry in self._entries.items() if entry.lease == lease_id]
        if keys:
            for key in keys:
                self._remove(key, self.revision + 1)
            self.revision += 1

    def _range(self, body: Body) -> Body:
        keys = self._select(body)
        limit = int(body.get("limit", 0))
        shown = keys[:limit] if limit else keys
        result: Body = {"header": self.header()}
        if shown and not body.get("count_only"):
            result["kvs"] = [self._entries[key].encode() for key in shown]
        if len(shown) < len(keys):
            result["more"] = True
        if keys:
            result["count"] = str(len(keys))
        return result

    def _select(self, body: Body) -> list[bytes]:
        key, end = decode_bytes(body.get("key")), decode_bytes(body.get("range_end"))
        if not end:
            return [key] if key in self._entries else []
        first = bisect.bisect_left(self._sorted, key)
        last = len(self._sorted) if end == b"\0" else bisect.bisect(self._sorted, end)
        keys = self._sorted[first:last]
        return keys[:-1] if keys and keys[-1] == end else keys

    def _decide(self, body: Body) -> _Decided:
        # The protocol decides nested conditions on the state before the whole
        # transaction.
        succeeded = all(self._holds(c) for c in body.get("compare", ()))
        branch = body.get("success" if succeeded else "failure") or ()
        operations = []
        for item in branch:
            ((kind, request),) = item.items()
            nested = self._decide(request) if kind == "request_txn" else request
            operations.append((kind, nested))
        return _Decided(succeeded, tuple(operations))

    def _holds(self, compare: Body) -> bool:
        entry = self._entries.get(decode_bytes(compare.get("key")))
        name = _TARGETS[compare.get("target", "VERSION")]
        compares = _COMPARISONS[compare.get("result", "EQUAL")]
        if name == "value":
            wanted = decode_bytes(compare.get("value"))
            return entry is not None and compares(entry.value, wanted)
        actual = getattr(entry, name) if entry is not None else 0
        return compares(actual, int(compare.get(name, 0)))

    def _check_puts(self, decided: _Decided) -> None:
        for kind, request in decided.operations:
            if kind == "request_txn":
                self._check_puts(request)
            elif kind == "request_put":
                lease = int(request.get("lease", 0))
                if lease and lease not in self._leases:
                    message = "etcdserver: requested lease not found"
                    raise ProtocolError(NOT_FOUND, message)

    def _apply(self, decided: _Decided, revision: int) -> Body:
        result: Body = {"header": {"revision": str(revision)}}
        if decided.succeeded:
            result["succeeded"] = True
        responses = [self._do(*item, revision) for item in decided.operations]
        if responses:
            result["responses"] = responses
        return result

    def _do(self, kind: str, request: Any, revision: int) -> Body:
        if kind == "request_txn":
            return {"response_txn": self._apply(request, revision)}
        if kind == "request_range":
            return {"response_range": self._range(request)}
        if kind == "request_put":
            self._write(request, revision)
            self.revision = revision
            return {"response_put": {"header": self.header()}}
        keys = self._select(request)
        for key in keys:
            self._remove(key, revision)
            self.revision = revision
        answer: Body = {"header": self.header()}
        if keys:
            answer["deleted"] = str(len(keys))
        return {"response_delete_range": answer}

    def _write(self, request: Body, revision: int) -> None:
        key = decode_bytes(request.get("key"))
        value = decode_bytes(request.get("value"))
        old = self._entries.get(key)
        if old is None:
            bisect.insort(self._sorted, key)
        entry = Entry(
            key,
            value,
            old.create_revision if old else revision,
            revision,
            old.version + 1 if old else 1,
            int(request.get("lease", 0)),
        )
        self._entries[key] = entry
        self._record(revision, {"kv": entry.encode()})

    def _remove(self, key: bytes, revision: int) -> None:
        del self._entries[key]
        del self._sorted[bisect.bisect_left(self._sorted, key)]
        kv = {"key": encode_bytes(key), "mod_revision": str(revision)}
        self._record(revision, {"type": "DELETE", "kv": kv})

    def _record(self, revision: int, event: Body) -> None:
        self._events.append((revision, event))
        if len(self._events) > 2 * KEPT_EVENTS:
            self.compact_revision = self._events[KEPT_EVENTS - 1][0]
            del self._events[:KEPT_EVENTS]


def encode_bytes(data: bytes) -> str:
    """Return bytes as the protocol writes them."""
    return base64.b64encode(data).decode()


def decode_bytes(text: str | None) -> bytes:
    """Return the bytes that the protocol's text stands for."""
    try:
        return base64.b64decode(text or "", validate=True)
    except ValueError as error:
        raise ProtocolError(INVALID_ARGUMENT, f"illegal base64: {error}") from error


def _covers(key: bytes, range_end: bytes, candidate: bytes) -> bool:
    if not range_end:
        return candidate == key
    return key <= candidate and (range_end == b"\0" or candidate < range_end)


def _check_transaction(body: Body) -> _Touched:
    """Refuse what the protocol refuses; return what may be written."""
    lists = [body.get(name) or [] for name in ("compare", "success", "failure")]
    if max(map(len, lists)) > MAX_TRANSACTION_OPERATIONS:
        message = "etcdserver: too many operations in txn request"
        raise ProtocolError(INVALID_ARGUMENT, message)
    success, failure = map(_check_branch, lists[1:])
    return _Touched(success.puts | failure.puts, success.deletes + failure.deletes)


def _check_branch(operations: list[Body]) -> _Touched:
    """Refuse a key that is put twice, or put and deleted, in one list."""
    seen = _Touched(set(), [])
    for item in operations:
        touched = _find_touched(item)
        if (
            seen.puts & touched.puts
            or _overlap(seen.deletes, touched.puts)
            or _overlap(touched.deletes, seen.puts)
        ):
            message = "etcdserver: duplicate key given in txn request"
            raise ProtocolError(INVALID_ARGUMENT, message)
        seen = _Touched(seen.puts | touched.puts, seen.deletes + touched.deletes)
    return seen


def _overlap(deletes: list[tuple[bytes, bytes]], puts: set[bytes]) -> bool:
    return any(_covers(key, end, put) for key, end in deletes for put in puts)


def _find_touched(item: Body) -> _Touched:
    ((kind, request),) = item.items()
    if kind == "request_txn":
        return _check_transaction(request)
    key = decode_bytes(request.get("key"))
    if kind == "request_delete_range":
        return _Touched(set(), [(key, decode_bytes(request.get("range_end")))])
    if kind != "request_put":
        return _Touched(set(), [])
    if len(decode_bytes(request.get("value"))) > MAX_VALUE_BYTES:
        raise ProtocolError(INVALID_ARGUMENT, "etcdserver: request is too large")
    return _Touched({key}, [])
