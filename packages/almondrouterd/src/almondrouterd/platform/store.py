"""Client of the hosting platform's key-value store."""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from typing import Annotated, Any, TypeVar
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
from almondrouter.logs import EventLogger
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.revisions import MAX_ERA, MAX_NUMBER, join_era, split_era
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
ERA_HEADER = "store-era"
LEASE_NUMBER_BITS = 64
"""Bits of the id of a lease that hold the number that the store has given it."""
_PATH_PREFIX = "/almondrouter/"
_ERA = re.compile(r"[0-9]{1,9}", re.ASCII)
_log = EventLogger("store")
T = TypeVar("T")


_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class _Item(msgspec.Struct):
    """A key of the store, or a change of one."""

    key: str
    value: bytes = b""
    revision: _Number = 0
    create_revision: _Number = 0
    lease_id: int = 0
    at: _Number = 0
    """Revision of the whole store when the key was read."""
    deleted: bool = False


class _RangePage(msgspec.Struct):
    items: tuple[_Item, ...]
    at: _Number
    has_more: bool = False


class _WatchReply(msgspec.Struct):
    events: tuple[_Item, ...]
    at: _Number


class _CommitReply(msgspec.Struct):
    revision: _Number


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
    on_restored
        Called when a response shows that the store has come back from an older copy.

    Attributes
    ----------
    era
        Era of the store as of its latest response; 0 if it names none.

    Notes
    -----
    Revisions and ids of leases hold the era in which they were read. A condition, a
    lease or a position of a watch of an earlier era is never sent: its number may stand
    for something else by now.
    """

    def __init__(
        self,
        address: str,
        *,
        clock: Clock,
        on_restored: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._on_restored = on_restored
        self.era = 0
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
        return ReadResult(
            (make_key_value(item, self.era),), join_era(self.era, item.at)
        )

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
        revision, era = 0, self.era
        while True:
            response = await self._call_store("GET", "kv-range", query=query)
            if items and era != self.era:
                message = "the store came back from an older copy between two pages"
                raise StoreOutcomeUnknownError(message)
            era = self.era
            page = decode_response(response, _RangePage)
            items += [make_key_value(item, era) for item in page.items]
            # Pages are read at different revisions; a watch from the first page's
            # revision misses no change.
            revision = revision or join_era(era, page.at)
            if not page.has_more or not page.items or 0 < limit <= len(items):
                return ReadResult(tuple(items[: limit or None]), revision)
            last_key = page.items[-1].key
            if last_key <= query.get("after", ""):
                message = f"page does not continue after key {query['after']!r}"
                raise AlmondError(ErrorCode.STORE_RESPONSE_INVALID, message)
            query["after"] = last_key

    async def commit(self, transaction: Transaction) -> CommitResult:  # noqa: D102
        body = encode_transaction(transaction)
        for compare in transaction.compares:
            if compare.mod_revision and not self._is_current(compare.mod_revision):
                return CommitResult(succeeded=False, revision=0)
        for put in transaction.success:
            if isinstance(put, Put) and put.lease_id:
                self._check_lease(put.lease_id)
        response = await self._call_store(
            "POST", "kv-txn", body=body, valid_in_new_era=False
        )
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            return CommitResult(succeeded=False, revision=0)
        if response.status == HTTPStatus.NOT_FOUND:
            raise AlmondError(
                ErrorCode.LEASE_EXPIRED,
                "the lease of a key in the transaction has expired",
            )
        revision = decode_response(response, _CommitReply).revision
        return CommitResult(True, join_era(self.era, revision))

    async def grant_lease(self, ttl: int) -> Lease:  # noqa: D102
        requested_at = self._clock.monotonic()
        response = await self._call_store(
            "POST", "kv-lease", body=_LeaseGrant(ttl), valid_in_new_era=False
        )
        granted = decode_response(response, _LeaseGrant)
        lease_id = (self.era << LEASE_NUMBER_BITS) | granted.lease_id
        return Lease(lease_id, requested_at + granted.ttl_s_time)

    async def keep_alive(self, lease: Lease) -> Lease:  # noqa: D102
        requested_at = self._clock.monotonic()
        number = self._check_lease(lease.lease_id)
        response = await self._call_store("POST", f"kv-keep/{number}")
        self._check_lease(lease.lease_id)
        if response.status == HTTPStatus.NOT_FOUND:
            raise AlmondError(
                ErrorCode.LEASE_EXPIRED, f"lease {lease.lease_id} has expired"
            )
        ttl = decode_response(response, _LeaseGrant).ttl_s_time
        return Lease(lease.lease_id, requested_at + ttl)

    async def revoke_lease(self, lease: Lease) -> None:  # noqa: D102
        number = self._check_lease(lease.lease_id)
        await self._call_store(
            "DELETE", f"kv-lease-end/{number}", valid_in_new_era=False
        )

    async def watch(  # noqa: D102
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[WatchBatch]:
        era, after = split_era(from_revision - 1)
        while True:
            self._check_position(era, after)
            query = {
                "path_prefix": prefix,
                "after": str(after),
                "wait_ms": str(WATCH_WAIT_MS),
            }
            timeout = WATCH_WAIT_MS / 1000 + WATCH_SLACK_S
            response = await self._call_store(
                "GET", "kv-watch", query=query, timeout=timeout
            )
            self._check_position(era, after)
            if response.status == HTTPStatus.GONE:
                raise AlmondError(
                    ErrorCode.HISTORY_COMPACTED, f"no history after revision {after}"
                )
            reply = decode_response(response, _WatchReply)
            after = max(after, reply.at)
            events = tuple(make_event(event, era) for event in reply.events)
            yield WatchBatch(events, join_era(era, after))

    async def close(self) -> None:  # noqa: D102
        await self._client.close()

    def _is_current(self, revision: int) -> bool:
        return split_era(revision)[0] == self.era

    def _check_lease(self, lease_id: int) -> int:
        """Return the number of a lease; raise ``lease_expired`` in a later era."""
        era, number = divmod(lease_id, 1 << LEASE_NUMBER_BITS)
        if era != self.era:
            message = f"lease {number} is of era {era}, and the store in era {self.era}"
            raise AlmondError(ErrorCode.LEASE_EXPIRED, message)
        return number

    def _check_position(self, era: int, after: int) -> None:
        if era != self.era:
            message = f"no history of era {era} after revision {after}"
            raise AlmondError(ErrorCode.HISTORY_COMPACTED, message)

    def _note_era(self, response: BackendResponse) -> None:
        """Take over the era that a response names.

        Raises
        ------
        StoreOutcomeUnknownError
            If it names no valid era, or an earlier one than a response before.
        """
        text = dict(response.headers).get(ERA_HEADER)
        if text is None and not self.era:
            return
        era = int(text) if text is not None and _ERA.fullmatch(text) else 0
        if not max(1, self.era) <= era <= MAX_ERA:
            _log.warning("response of the store ignored", era=text, known=self.era)
            self.counts[("era", 0)] += 1
            raise StoreOutcomeUnknownError(f"era {text!r} after {self.era}")
        before, self.era = self.era, era
        if before and before != era:
            _log.warning("store came back from an older copy", era=era, before=before)
            self._on_restored()

    async def _call_store(
        self,
        method: str,
        path: str,
        *,
        query: dict[str, str] | None = None,
        body: msgspec.Struct | None = None,
        timeout: float = CALL_TIMEOUT_S,
        valid_in_new_era: bool = True,
    ) -> BackendResponse:
        """Send a call and return its response.

        Parameters
        ----------
        valid_in_new_era
            Whether the response can be used although a new era has begun since the
            call was sent.
        """
        target = _PATH_PREFIX + path + (f"?{urlencode(query)}" if query else "")
        data = b"" if body is None else msgspec.json.encode(body)
        headers = (("content-type", "application/json"),) if data else ()
        name = path.partition("/")[0]
        era = self.era
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
        self._note_era(response)
        if era not in (0, self.era) and not valid_in_new_era:
            message = f"{name}: the store came back from an older copy meanwhile"
            raise StoreOutcomeUnknownError(message)
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
            _Write(put.key, put.value, put.lease_id % (1 << LEASE_NUMBER_BITS))
            for put in transaction.success
            if isinstance(put, Put)
        ],
        [get_deleted_key(op) for op in transaction.success if not isinstance(op, Put)],
    )


def make_condition(compare: Compare) -> _Condition:
    """Return a condition on a revision in the platform's format."""
    if compare.mod_revision is None:
        raise ValueError("the store supports conditions on revisions only")
    _, number = split_era(compare.mod_revision)
    return _Condition(compare.key, number)


def get_deleted_key(operation: Any) -> str:
    """Return the key that a delete operation removes."""
    if not isinstance(operation, Delete) or operation.prefix:
        raise ValueError("the store supports the removal of single keys only")
    return operation.key


def make_key_value(item: _Item, era: int) -> KeyValue:
    """Return an item of the platform's store as a `KeyValue`."""
    created = join_era(era, item.create_revision)
    return KeyValue(item.key, item.value, created, join_era(era, item.revision), 0)


def make_event(item: _Item, era: int) -> WatchEvent:
    """Return an event of the platform's store as a `WatchEvent`."""
    value = None if item.deleted else item.value
    return WatchEvent(item.key, value, join_era(era, item.revision))


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
