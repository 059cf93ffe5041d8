"""Client of the hosting platform's key-value store."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec

from almondrouter.clock import Clock
from almondrouter.errors import (
    MALFORMED_DATA_ERRORS,
    AlmondError,
    ErrorCode,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.transport.backends import BackendClient
from almondrouter.transport.calls import BackendResponse
from almondrouter.transport.store import (
    CommitResult,
    Compare,
    Delete,
    KeyValue,
    Lease,
    Put,
    ReadResult,
    Store,
    Transaction,
    WatchBatch,
    WatchEvent,
)

CALL_TIMEOUT_S = 0.8
"""Timeout of one call in seconds; a slow store responds within 0.4 s. A daemon that the
store does not respond to is passed over as relay only after this time, and several such
daemons are passed over one after another."""
WATCH_WAIT_MS = 1_000
"""Milliseconds for which the store holds a watch request without events. Wait and
slack together bound how long a dead watch goes undetected; they must stay below the
time within which a change has to be in force (``config_apply_s`` in the settings)."""
WATCH_SLACK_S = 0.5
"""Seconds beyond the wait after which an unanswered watch request times out."""
MAX_STORE_CONNECTIONS = 4
MAX_CONNECTION_IDLE_S = 8.0
"""Seconds after which an idle connection to the store is no longer reused."""
_PATH_PREFIX = "/almondrouter/"
T = TypeVar("T")


class _Item(msgspec.Struct):
    """A key of the store, or a change of one."""

    key: str
    value: bytes = b""
    revision: int = 0
    create_revision: int = 0
    lease_id: int = 0
    at: int = 0
    """Revision of the whole store when the key was read."""
    deleted: bool = False


class _RangePage(msgspec.Struct):
    items: tuple[_Item, ...]
    at: int
    has_more: bool = False


class _WatchReply(msgspec.Struct):
    events: tuple[_Item, ...]
    at: int


class _CommitReply(msgspec.Struct):
    revision: int


class _LeaseGrant(msgspec.Struct):
    ttl_s_time: float
    lease_id: int = 0


class _Write(msgspec.Struct):
    key: str
    value: bytes
    lease_id: int


class _Condition(msgspec.Struct):
    key: str
    revision: int


class _Transaction(msgspec.Struct):
    precondition: list[_Condition]
    writes: list[_Write]
    remove: list[str]


class PlatformStore(Store):
    """Store client for the platform's HTTP interface, with pooled connections.

    Parameters
    ----------
    address
        ``ip:port`` of the store.
    clock
        Source of monotonic time.
    """

    def __init__(self, address: str, *, clock: Clock) -> None:
        self._clock = clock
        self._client = BackendClient(
            address,
            connections=MAX_STORE_CONNECTIONS,
            clock=clock,
            max_idle=MAX_CONNECTION_IDLE_S,
        )
        self.counts: Counter[tuple[str, int]] = Counter()

    async def read(self, key: str) -> ReadResult:  # noqa: D102
        response = await self._call_store("GET", "kv-key", query={"key": key})
        if response.status == HTTPStatus.NOT_FOUND:
            return ReadResult((), 0)
        item = decode_response(response, _Item)
        return ReadResult((make_key_value(item),), item.at)

    async def read_prefix(  # noqa: D102
        self,
        prefix: str,
        *,
        start: str | None = None,
        limit: int = 0,
        stale: bool = False,
    ) -> ReadResult:
        items: list[KeyValue] = []
        query = {"path_prefix": prefix}
        if stale:
            query["allow_stale"] = "1"
        if start is not None:
            query["after"] = start
        revision = 0
        while True:
            response = await self._call_store("GET", "kv-range", query=query)
            page = decode_response(response, _RangePage)
            items += [make_key_value(item) for item in page.items]
            # Pages are read at different revisions; a watch from the first page's
            # revision misses no change.
            revision = revision or page.at
            if not page.has_more or not page.items or 0 < limit <= len(items):
                return ReadResult(tuple(items[: limit or None]), revision)
            last_key = page.items[-1].key
            if last_key <= query.get("after", ""):
                message = f"page does not continue after key {query['after']!r}"
                raise AlmondError(ErrorCode.STORE_RESPONSE_INVALID, message)
            query["after"] = last_key

    async def commit(self, transaction: Transaction) -> CommitResult:  # noqa: D102
        response = await self._call_store(
            "POST", "kv-txn", body=encode_transaction(transaction)
        )
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            return CommitResult(succeeded=False, revision=0)
        if response.status == HTTPStatus.NOT_FOUND:
            raise AlmondError(
                ErrorCode.LEASE_EXPIRED,
                "the lease of a key in the transaction has expired",
            )
        return CommitResult(True, decode_response(response, _CommitReply).revision)

    async def grant_lease(self, ttl: int) -> Lease:  # noqa: D102
        requested_at = self._clock.monotonic()
        response = await self._call_store("POST", "kv-lease", body=_LeaseGrant(ttl))
        granted = decode_response(response, _LeaseGrant)
        return Lease(granted.lease_id, requested_at + granted.ttl_s_time)

    async def keep_alive(self, lease: Lease) -> Lease:  # noqa: D102
        requested_at = self._clock.monotonic()
        response = await self._call_store("POST", f"kv-keep/{lease.lease_id}")
        if response.status == HTTPStatus.NOT_FOUND:
            raise AlmondError(
                ErrorCode.LEASE_EXPIRED, f"lease {lease.lease_id} has expired"
            )
        ttl = decode_response(response, _LeaseGrant).ttl_s_time
        return Lease(lease.lease_id, requested_at + ttl)

    async def revoke_lease(self, lease: Lease) -> None:  # noqa: D102
        await self._call_store("DELETE", f"kv-lease-end/{lease.lease_id}")

    async def watch(  # noqa: D102
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[WatchBatch]:
        after = from_revision - 1
        while True:
            query = {
                "path_prefix": prefix,
                "after": str(after),
                "wait_ms": str(WATCH_WAIT_MS),
            }
            timeout = WATCH_WAIT_MS / 1000 + WATCH_SLACK_S
            response = await self._call_store(
                "GET", "kv-watch", query=query, timeout=timeout
            )
            if response.status == HTTPStatus.GONE:
                raise AlmondError(
                    ErrorCode.HISTORY_COMPACTED, f"no history after revision {after}"
                )
            reply = decode_response(response, _WatchReply)
            after = max(after, reply.at)
            yield WatchBatch(tuple(make_event(e) for e in reply.events), after)

    async def close(self) -> None:  # noqa: D102
        await self._client.close()

    async def _call_store(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: msgspec.Struct | None = None,
        timeout: float = CALL_TIMEOUT_S,
    ) -> BackendResponse:
        target = _PATH_PREFIX + path + (f"?{urlencode(query)}" if query else "")
        data = b"" if body is None else msgspec.json.encode(body)
        headers = (("content-type", "application/json"),) if data else ()
        name = path.partition("/")[0]
        try:
            response = await self._client.send(
                method,
                target,
                headers,
                data,
                deadline=self._clock.monotonic() + timeout,
            )
        except CallError as error:
            self.counts[(name, 0)] += 1
            # Other idle connections may be broken like the one that failed.
            self._client.drop_idle_connections()
            if error.outcome is Outcome.NOT_RUN:
                raise StoreUnavailableError(f"{name}: {error.message}") from error
            raise StoreOutcomeUnknownError(f"{name}: {error.message}") from error
        self.counts[(name, response.status)] += 1
        refused = (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
        if response.status in refused:
            raise StoreUnavailableError(f"{name}: HTTP status {response.status}")
        return response


def encode_transaction(transaction: Transaction) -> _Transaction:
    """Return a transaction in the platform's format.

    Raises
    ------
    ValueError
        If the platform's store does not support one of its operations.
    """
    if transaction.failure:
        raise ValueError("the store supports no operations for a failed condition")
    return _Transaction(
        [make_condition(compare) for compare in transaction.compares],
        [
            _Write(put.key, put.value, put.lease_id)
            for put in transaction.success
            if isinstance(put, Put)
        ],
        [get_deleted_key(op) for op in transaction.success if not isinstance(op, Put)],
    )


def make_condition(compare: Compare) -> _Condition:
    """Return a condition on a revision in the platform's format."""
    if compare.mod_revision is None:
        raise ValueError("the store supports conditions on revisions only")
    return _Condition(compare.key, compare.mod_revision)


def get_deleted_key(operation: Any) -> str:
    """Return the key that a delete operation removes."""
    if not isinstance(operation, Delete) or operation.prefix:
        raise ValueError("the store supports the removal of single keys only")
    return operation.key


def make_key_value(item: _Item) -> KeyValue:
    """Return an item of the platform's store as a `KeyValue`."""
    return KeyValue(item.key, item.value, item.create_revision, item.revision, 0)


def make_event(item: _Item) -> WatchEvent:
    """Return an event of the platform's store as a `WatchEvent`."""
    return WatchEvent(item.key, None if item.deleted else item.value, item.revision)


def decode_response(response: BackendResponse, kind: type[T]) -> T:
    """Return the decoded body of a successful response.

    Raises
    ------
    AlmondError
        ``store_response_invalid`` for a status other than 200 or a malformed body.
    """
    if response.status != HTTPStatus.OK:
        message = f"unexpected HTTP status {response.status}"
        raise AlmondError(ErrorCode.STORE_RESPONSE_INVALID, message)
    try:
        return msgspec.json.decode(response.body, type=kind)
    except MALFORMED_DATA_ERRORS as error:
        raise AlmondError(ErrorCode.STORE_RESPONSE_INVALID, str(error)) from error
