"""In-memory keys, transactions, leases and event history of the store stand-in."""

from __future__ import annotations

import base64
import bisect
import operator
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from almondrouter.clock import Clock

MAX_VALUE_BYTES = 1_000_000
# Default limit of etcd, for each operation list of a transaction.
MAX_TRANSACTION_OPERATIONS = 128
MAX_HISTORY_EVENTS = 100_000

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
    """A request refused by the store, with its gRPC status code."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value, revisions, version and lease."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int

    def encode(self) -> Body:
        """Return the entry as JSON of the gateway, which omits zero values."""
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
class _EvaluatedTransaction:
    """A transaction after its conditions, including nested ones, were evaluated."""

    succeeded: bool
    operations: tuple[tuple[str, Any], ...]


@dataclass(frozen=True, slots=True)
class _WriteSet:
    """Keys that a transaction may put and ranges that it may delete."""

    puts: set[bytes]
    deletes: list[tuple[bytes, bytes]]


class Keyspace:
    """Linearizable keys with revisions, transactions, leases and event history.

    The methods take and return the JSON bodies of the etcd v3 gateway.

    Parameters
    ----------
    clock
        Clock of the leases.

    Attributes
    ----------
    compact_revision
        Newest revision whose events were discarded.
    lease_offset
        Seconds by which the clock of leases is ahead of `clock`.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._entries: dict[bytes, Entry] = {}
        self._sorted_keys: list[bytes] = []
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
        """Execute a transaction."""
        self.expire_leases()
        _check_transaction(body)
        evaluated = self._evaluate_conditions(body)
        self._check_put_leases(evaluated)
        before = self.revision
        result = self._apply(evaluated, before + 1)
        result["header"] = self.header()
        return result

    def grant(self, body: Body) -> Body:
        """Grant a lease."""
        ttl = int(body.get("TTL", 0))
        if ttl <= 0:
            raise ProtocolError(OUT_OF_RANGE, "etcdserver: too small lease TTL")
        lease_id = int(body.get("ID", 0)) or self._next_lease
        self._next_lease += 1
        self._leases[lease_id] = _Lease(ttl, self._get_lease_time() + ttl)
        return {"header": self.header(), "ID": str(lease_id), "TTL": str(ttl)}

    def keep_alive(self, body: Body) -> Body:
        """Renew a lease; the response has no TTL if the lease does not exist."""
        self.expire_leases()
        lease_id = int(body.get("ID", 0))
        result = {"header": self.header(), "ID": str(lease_id)}
        lease = self._leases.get(lease_id)
        if lease is not None:
            lease.expires_at = self._get_lease_time() + lease.ttl
            result["TTL"] = str(lease.ttl)
        return {"result": result}

    def revoke(self, body: Body) -> Body:
        """Revoke a lease and delete its keys."""
        self.expire_leases()
        lease_id = int(body.get("ID", 0))
        if lease_id not in self._leases:
            raise ProtocolError(NOT_FOUND, "etcdserver: requested lease not found")
        self._delete_lease(lease_id)
        return {"header": self.header()}

    def expire_leases(self) -> None:
        """Remove expired leases and their keys."""
        now = self._get_lease_time()
        for lease_id in [i for i, x in self._leases.items() if x.expires_at <= now]:
            self._delete_lease(lease_id)

    def header(self) -> Body:
        """Return the header of a response with the current revision."""
        return {"cluster_id": "1", "member_id": "1", "revision": str(self.revision)}

    def events(
        self, key: bytes, range_end: bytes, from_revision: int
    ) -> Iterator[tuple[int, Body]]:
        """Yield the events of a key range and their revisions, oldest first."""
        first = bisect.bisect_left(self._events, from_revision, key=lambda e: e[0])
        for revision, event in self._events[first:]:
            if _range_contains(key, range_end, base64.b64decode(event["kv"]["key"])):
                yield revision, event

    def _get_lease_time(self) -> float:
        return self._clock.monotonic() + self.lease_offset

    def _delete_lease(self, lease_id: int) -> None:
        del self._leases[lease_id]
        keys = [k for k, entry in self._entries.items() if entry.lease == lease_id]
        if keys:
            for key in keys:
                self._delete_entry(key, self.revision + 1)
            self.revision += 1

    def _range(self, body: Body) -> Body:
        keys = self._find_keys(body)
        limit = int(body.get("limit", 0))
        returned_keys = keys[:limit] if limit else keys
        result: Body = {"header": self.header()}
        if returned_keys and not body.get("count_only"):
            result["kvs"] = [self._entries[key].encode() for key in returned_keys]
        if len(returned_keys) < len(keys):
            result["more"] = True
        if keys:
            result["count"] = str(len(keys))
        return result

    def _find_keys(self, body: Body) -> list[bytes]:
        key, end = decode_bytes(body.get("key")), decode_bytes(body.get("range_end"))
        if not end:
            return [key] if key in self._entries else []
        first = bisect.bisect_left(self._sorted_keys, key)
        last = (
            len(self._sorted_keys)
            if end == b"\0"
            else bisect.bisect(self._sorted_keys, end)
        )
        keys = self._sorted_keys[first:last]
        return keys[:-1] if keys and keys[-1] == end else keys

    def _evaluate_conditions(self, body: Body) -> _EvaluatedTransaction:
        # etcd evaluates nested conditions on the state before the whole transaction.
        succeeded = all(self._evaluate_comparison(c) for c in body.get("compare", ()))
        branch = body.get("success" if succeeded else "failure") or ()
        operations = []
        for item in branch:
            ((kind, request),) = item.items()
            nested = (
                self._evaluate_conditions(request) if kind == "request_txn" else request
            )
            operations.append((kind, nested))
        return _EvaluatedTransaction(succeeded, tuple(operations))

    def _evaluate_comparison(self, compare: Body) -> bool:
        entry = self._entries.get(decode_bytes(compare.get("key")))
        name = _TARGETS[compare.get("target", "VERSION")]
        matches = _COMPARISONS[compare.get("result", "EQUAL")]
        if name == "value":
            expected = decode_bytes(compare.get("value"))
            return entry is not None and matches(entry.value, expected)
        actual = getattr(entry, name) if entry is not None else 0
        return matches(actual, int(compare.get(name, 0)))

    def _check_put_leases(self, evaluated: _EvaluatedTransaction) -> None:
        for kind, request in evaluated.operations:
            if kind == "request_txn":
                self._check_put_leases(request)
            elif kind == "request_put":
                lease = int(request.get("lease", 0))
                if lease and lease not in self._leases:
                    message = "etcdserver: requested lease not found"
                    raise ProtocolError(NOT_FOUND, message)

    def _apply(self, evaluated: _EvaluatedTransaction, revision: int) -> Body:
        result: Body = {"header": {"revision": str(revision)}}
        if evaluated.succeeded:
            result["succeeded"] = True
        responses = [
            self._apply_operation(*item, revision) for item in evaluated.operations
        ]
        if responses:
            result["responses"] = responses
        return result

    def _apply_operation(self, kind: str, request: Any, revision: int) -> Body:
        if kind == "request_txn":
            return {"response_txn": self._apply(request, revision)}
        if kind == "request_range":
            return {"response_range": self._range(request)}
        if kind == "request_put":
            self._put_entry(request, revision)
            self.revision = revision
            return {"response_put": {"header": self.header()}}
        keys = self._find_keys(request)
        for key in keys:
            self._delete_entry(key, revision)
            self.revision = revision
        answer: Body = {"header": self.header()}
        if keys:
            answer["deleted"] = str(len(keys))
        return {"response_delete_range": answer}

    def _put_entry(self, request: Body, revision: int) -> None:
        key = decode_bytes(request.get("key"))
        value = decode_bytes(request.get("value"))
        old = self._entries.get(key)
        if old is None:
            bisect.insort(self._sorted_keys, key)
        entry = Entry(
            key,
            value,
            old.create_revision if old else revision,
            revision,
            old.version + 1 if old else 1,
            int(request.get("lease", 0)),
        )
        self._entries[key] = entry
        self._append_event(revision, {"kv": entry.encode()})

    def _delete_entry(self, key: bytes, revision: int) -> None:
        del self._entries[key]
        del self._sorted_keys[bisect.bisect_left(self._sorted_keys, key)]
        kv = {"key": encode_bytes(key), "mod_revision": str(revision)}
        self._append_event(revision, {"type": "DELETE", "kv": kv})

    def _append_event(self, revision: int, event: Body) -> None:
        self._events.append((revision, event))
        if len(self._events) > 2 * MAX_HISTORY_EVENTS:
            self.compact_revision = self._events[MAX_HISTORY_EVENTS - 1][0]
            del self._events[:MAX_HISTORY_EVENTS]


def encode_bytes(data: bytes) -> str:
    """Return bytes in base64, as in the JSON of the gateway."""
    return base64.b64encode(data).decode()


def decode_bytes(text: str | None) -> bytes:
    """Decode base64 text of a request; a missing text gives no bytes.

    Raises
    ------
    ProtocolError
        If the text is not valid base64.
    """
    try:
        return base64.b64decode(text or "", validate=True)
    except ValueError as error:
        raise ProtocolError(INVALID_ARGUMENT, f"illegal base64: {error}") from error


def _range_contains(key: bytes, range_end: bytes, candidate: bytes) -> bool:
    if not range_end:
        return candidate == key
    return key <= candidate and (range_end == b"\0" or candidate < range_end)


def _check_transaction(body: Body) -> _WriteSet:
    """Validate a transaction as etcd does; return what it may write."""
    lists = [body.get(name) or [] for name in ("compare", "success", "failure")]
    if max(map(len, lists)) > MAX_TRANSACTION_OPERATIONS:
        message = "etcdserver: too many operations in txn request"
        raise ProtocolError(INVALID_ARGUMENT, message)
    success, failure = map(_check_operations, lists[1:])
    return _WriteSet(success.puts | failure.puts, success.deletes + failure.deletes)


def _check_operations(operations: list[Body]) -> _WriteSet:
    """Refuse a list of operations that puts a key twice, or puts and deletes it."""
    seen = _WriteSet(set(), [])
    for item in operations:
        write_set = _find_write_set(item)
        if (
            seen.puts & write_set.puts
            or _deletes_overlap_puts(seen.deletes, write_set.puts)
            or _deletes_overlap_puts(write_set.deletes, seen.puts)
        ):
            message = "etcdserver: duplicate key given in txn request"
            raise ProtocolError(INVALID_ARGUMENT, message)
        seen = _WriteSet(seen.puts | write_set.puts, seen.deletes + write_set.deletes)
    return seen


def _deletes_overlap_puts(deletes: list[tuple[bytes, bytes]], puts: set[bytes]) -> bool:
    return any(_range_contains(key, end, put) for key, end in deletes for put in puts)


def _find_write_set(item: Body) -> _WriteSet:
    ((kind, request),) = item.items()
    if kind == "request_txn":
        return _check_transaction(request)
    key = decode_bytes(request.get("key"))
    if kind == "request_delete_range":
        return _WriteSet(set(), [(key, decode_bytes(request.get("range_end")))])
    if kind != "request_put":
        return _WriteSet(set(), [])
    if len(decode_bytes(request.get("value"))) > MAX_VALUE_BYTES:
        raise ProtocolError(INVALID_ARGUMENT, "etcdserver: request is too large")
    return _WriteSet({key}, [])
