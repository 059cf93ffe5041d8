"""JSON encoding of the etcd v3 gateway.

Keys and values are base64, 64-bit integers are strings.
"""

from __future__ import annotations

import base64
from typing import Any

from almondrouter.transport.store import (
    CommitResult,
    Compare,
    Delete,
    Get,
    KeyValue,
    Operation,
    Put,
    ReadResult,
    Transaction,
    WatchBatch,
    WatchEvent,
)

Body = dict[str, Any]


def encode_range(key: str, *, prefix: bool = False) -> Body:
    """Return the request fields that select a key, or all keys with a prefix."""
    body = {"key": _encode_base64(key.encode())}
    if prefix:
        body["range_end"] = _encode_base64(find_prefix_end(key.encode()))
    return body


def encode_prefix_read(
    prefix: str, start: str | None, limit: int, *, stale: bool = False
) -> Body:
    """Return the range request for keys with a prefix, from ``start`` on."""
    body = encode_range(prefix, prefix=True)
    if start is not None and start > prefix:
        body["key"] = _encode_base64(start.encode())
    if limit:
        body["limit"] = str(limit)
    if stale:
        body["serializable"] = True
    return body


def encode_transaction(transaction: Transaction) -> Body:
    """Return the request body of a transaction."""
    return {
        "compare": [_encode_compare(compare) for compare in transaction.compares],
        "success": [_encode_operation(item) for item in transaction.success],
        "failure": [_encode_operation(item) for item in transaction.failure],
    }


def decode_read(body: Body) -> ReadResult:
    """Parse the response to a range request."""
    return ReadResult(_decode_key_values(body), _decode_revision(body))


def decode_commit(body: Body) -> CommitResult:
    """Parse the response to a transaction."""
    return CommitResult(
        succeeded=bool(body.get("succeeded", False)),
        revision=_decode_revision(body),
        results=tuple(_decode_result(item) for item in body.get("responses") or ()),
    )


def decode_watch(result: Body) -> WatchBatch:
    """Parse one message of a watch."""
    events = tuple(_decode_event(event) for event in result.get("events") or ())
    return WatchBatch(events, _decode_revision(result))


def find_prefix_end(prefix: bytes) -> bytes:
    """Return the end of the key range that contains all keys with a prefix."""
    kept = prefix.rstrip(b"\xff")
    return kept[:-1] + bytes([kept[-1] + 1]) if kept else b"\0"


def _encode_compare(compare: Compare) -> Body:
    body = {"key": _encode_base64(compare.key.encode()), "result": "EQUAL"}
    if compare.value is not None:
        return body | {"target": "VALUE", "value": _encode_base64(compare.value)}
    if compare.mod_revision is None:
        raise ValueError("a compare needs either a revision or a value")
    return body | {"target": "MOD", "mod_revision": str(compare.mod_revision)}


def _encode_operation(item: Operation) -> Body:
    match item:
        case Put():
            body = encode_range(item.key) | {"value": _encode_base64(item.value)}
            if item.lease_id:
                body["lease"] = str(item.lease_id)
            return {"request_put": body}
        case Delete():
            return {"request_delete_range": encode_range(item.key, prefix=item.prefix)}
        case Get():
            return {"request_range": encode_range(item.key)}
        case Transaction():
            return {"request_txn": encode_transaction(item)}


def _decode_result(body: Body) -> CommitResult | tuple[KeyValue, ...] | None:
    if "response_txn" in body:
        return decode_commit(body["response_txn"])
    if "response_range" in body:
        return _decode_key_values(body["response_range"])
    return None


def _decode_key_values(body: Body) -> tuple[KeyValue, ...]:
    return tuple(
        KeyValue(
            key=_decode_base64(kv["key"]).decode(),
            value=_decode_base64(kv.get("value", "")),
            create_revision=int(kv["create_revision"]),
            mod_revision=int(kv["mod_revision"]),
            version=int(kv["version"]),
        )
        for kv in body.get("kvs") or ()
    )


def _decode_event(event: Body) -> WatchEvent:
    kv = event["kv"]
    deleted = event.get("type") == "DELETE"
    return WatchEvent(
        key=_decode_base64(kv["key"]).decode(),
        value=None if deleted else _decode_base64(kv.get("value", "")),
        mod_revision=int(kv["mod_revision"]),
    )


def _decode_revision(body: Body) -> int:
    return int(body["header"]["revision"])


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text, validate=True)
