"""Stand-in for the hosting platform's key-value service, with injected faults."""

from __future__ import annotations

import asyncio
import base64
import copy
import dataclasses
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from http import HTTPStatus
from urllib.parse import parse_qsl, urlsplit

import msgspec

from almondrouter.clock import Clock, SystemClock
from almondrouter.transport.callers import CallerServer, EndReason
from almondrouter.transport.calls import CallerRequest, CallerResponse

PATH = "/almondrouter/"
MAX_BODY_BYTES = 4_000_000
RESPONSE_DELAY_S = 60.0
LEASE_CHECK_INTERVAL_S = 0.02
ERA_HEADER = "Store-Era"


class StoreFault(Enum):
    """Fault of a call.

    ``UNAVAILABLE`` and ``RATE_LIMITED`` calls are refused. The response of a
    ``NO_RESPONSE`` or ``RESPONSE_LOST`` call is delayed beyond any timeout; the
    former also takes effect only then, the latter at once. A ``LATE`` call is not
    answered either, and takes effect when `PlatformStoreServer.execute_late_calls` is
    called. The response of a ``MALFORMED`` call has values of the wrong types, and the
    call has no effect.
    """

    NONE = auto()
    UNAVAILABLE = auto()
    RATE_LIMITED = auto()
    NO_RESPONSE = auto()
    RESPONSE_LOST = auto()
    LATE = auto()
    MALFORMED = auto()


@dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    create_revision: int
    lease_id: int = 0


@dataclass(slots=True)
class _StoreState:
    """Keys, and the events after ``compacted_revision``."""

    items: dict[str, _Item] = field(default_factory=dict)
    history: list[dict] = field(default_factory=list)
    revision: int = 10
    compacted_revision: int = 0


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Keys, history and leases of the store at one moment."""

    state: _StoreState
    leases: dict[int, tuple[float, float]]


class PlatformStoreServer:
    """Serves the calls of the service from memory.

    Parameters
    ----------
    clock
        Clock of the leases.

    Attributes
    ----------
    fault
        Fault of the calls whose kind is in ``faulty_calls``.
    faulty_calls
        Kinds of calls such as ``kv-txn``; None for all.
    calls
        Number of calls by kind.
    stale_reads
        Number of range reads that allowed stale results.
    stale_items
        Items that stale reads return; None for the current ones.
    late_calls
        Functions that execute the ``LATE`` calls, oldest first.
    era
        Number of the era that all responses name; 0 for a store without eras.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._state = _StoreState()
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(100)
        self._changed = asyncio.Condition()
        self._tasks: list[asyncio.Task] = []
        self.fault = StoreFault.NONE
        self.faulty_calls: set[str] | None = None
        self.calls: Counter[str] = Counter()
        self.stale_reads = 0
        self.stale_items: dict[str, _Item] | None = None
        self.late_calls: list[Callable[[], Awaitable[CallerResponse]]] = []
        self.era = 1
        self.server = CallerServer(
            address="127.0.0.1:0", handler=self._handle, max_body_bytes=MAX_BODY_BYTES
        )

    @property
    def address(self) -> str:
        """Return the ``ip:port`` that the service listens on."""
        return self.server.address

    @property
    def keys(self) -> dict[str, bytes]:
        """Return the values of all keys."""
        return {key: item.value for key, item in self._state.items.items()}

    def find_lease(self, key: str) -> int:
        """Return the id of the lease of a key; 0 if it has none."""
        return self._state.items[key].lease_id

    async def start(self) -> None:
        """Start listening and expiring leases."""
        await self.server.start()
        self._tasks.append(asyncio.create_task(self._expire_leases_forever()))

    async def close(self) -> None:
        """Stop the expiry of leases and close the server."""
        for task in self._tasks:
            task.cancel()
        await self.server.close()

    async def put(self, key: str, value: bytes, *, lease_id: int = 0) -> None:
        """Write a key directly, as an operator does."""
        async with self._changed:
            self._write(key, value, lease_id)
            self._changed.notify_all()

    async def remove(self, key: str) -> None:
        """Delete a key directly, as the expiry of its lease does."""
        async with self._changed:
            self._delete(key)
            self._changed.notify_all()

    async def execute_late_calls(self) -> None:
        """Let the ``LATE`` calls take effect, if their conditions still hold."""
        late_calls, self.late_calls = self.late_calls, []
        for execute in late_calls:
            await execute()

    def make_copy(self) -> StoreCopy:
        """Return a copy of the present keys, history and leases."""
        return StoreCopy(copy.deepcopy(self._state), dict(self._leases))

    def restore_copy(self, source: StoreCopy) -> None:
        """Come back from a copy: what was written since is gone, and a new era begins.

        Notes
        -----
        Revisions that were given out since the copy was made are given out again.
        """
        self._state = copy.deepcopy(source.state)
        self._leases = dict(source.leases)
        self.era += 1
        self.cut_connections()

    def freeze_stale_reads(self) -> None:
        """Let stale reads return the present state from now on."""
        self.stale_items = dict(self._state.items)

    def compact_history(self) -> None:
        """Discard the event history."""
        self._state.history.clear()
        self._state.compacted_revision = self._state.revision

    async def forget_history(self) -> None:
        """Discard the event history and reset all connections, with their watches."""
        self.compact_history()
        self.cut_connections()

    def cut_connections(self) -> None:
        """Reset every connection."""
        for connection in tuple(self.server.connections):
            connection.abort(EndReason.CLOSED)

    async def _expire_leases_forever(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            now = self._clock.monotonic()
            for lease_id, (_, expires_at) in tuple(self._leases.items()):
                if now >= expires_at:
                    await self._end_lease(lease_id)

    async def _end_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        items = self._state.items
        for key in [k for k, item in items.items() if item.lease_id == lease_id]:
            await self.remove(key)

    async def _handle(self, request: CallerRequest) -> CallerResponse:
        response = await self._answer(request)
        if self.era:
            headers = ((ERA_HEADER, str(self.era)),)
            response = dataclasses.replace(response, headers=headers)
        return response

    async def _answer(self, request: CallerRequest) -> CallerResponse:
        parts = urlsplit(request.target)
        name, _, argument = parts.path.removeprefix(PATH).partition("/")
        self.calls[name] += 1
        fault = self.fault
        if self.faulty_calls is not None and name not in self.faulty_calls:
            fault = StoreFault.NONE
        if fault is StoreFault.UNAVAILABLE:
            return make_response(HTTPStatus.SERVICE_UNAVAILABLE)
        if fault is StoreFault.RATE_LIMITED:
            return make_response(HTTPStatus.TOO_MANY_REQUESTS)
        if fault is StoreFault.MALFORMED:
            return CallerResponse(HTTPStatus.OK, (), b'{"items": 7, "at": "x"}')
        if fault is StoreFault.LATE:
            self.late_calls.append(
                lambda: self._dispatch(name, argument, request, parts.query)
            )
            await asyncio.sleep(RESPONSE_DELAY_S)
            return make_response(HTTPStatus.SERVICE_UNAVAILABLE)
        if fault is StoreFault.NO_RESPONSE:
            await asyncio.sleep(RESPONSE_DELAY_S)
        response = await self._dispatch(name, argument, request, parts.query)
        if fault is StoreFault.RESPONSE_LOST:
            await asyncio.sleep(RESPONSE_DELAY_S)
        return response

    async def _dispatch(
        self, name: str, argument: str, request: CallerRequest, query: str
    ) -> CallerResponse:
        parameters = dict(parse_qsl(query, keep_blank_values=True))
        if name == "kv-range":
            return self._read_range(parameters)
        if name == "kv-key":
            return self._read_key(parameters)
        if name == "kv-watch":
            return await self._watch(parameters)
        if name == "kv-txn":
            return await self._commit(msgspec.json.decode(request.body))
        return await self._handle_lease_call(name, argument, request.body)

    async def _handle_lease_call(
        self, name: str, argument: str, body: bytes
    ) -> CallerResponse:
        if name == "kv-lease":
            ttl = msgspec.json.decode(body)["ttl_s_time"]
            lease_id = next(self._lease_ids)
            self._leases[lease_id] = (ttl, self._clock.monotonic() + ttl)
            return make_response(HTTPStatus.OK, lease_id=lease_id, ttl_s_time=ttl)
        lease_id = int(argument or 0)
        if lease_id not in self._leases:
            return make_response(HTTPStatus.NOT_FOUND)
        if name == "kv-lease-end":
            await self._end_lease(lease_id)
            return make_response(HTTPStatus.OK)
        ttl = self._leases[lease_id][0]
        self._leases[lease_id] = (ttl, self._clock.monotonic() + ttl)
        return make_response(HTTPStatus.OK, ttl_s_time=ttl)

    def _read_key(self, parameters: dict[str, str]) -> CallerResponse:
        item = self._state.items.get(parameters["key"])
        if item is None:
            return make_response(HTTPStatus.NOT_FOUND)
        fields = describe_item(parameters["key"], item)
        return make_response(HTTPStatus.OK, at=self._state.revision, **fields)

    def _read_range(self, parameters: dict[str, str]) -> CallerResponse:
        items = self._state.items
        if parameters.get("allow_stale") == "1":
            self.stale_reads += 1
            items = items if self.stale_items is None else self.stale_items
        prefix, after = parameters["path_prefix"], parameters.get("after", "")
        found = [
            describe_item(key, item)
            for key, item in sorted(items.items())
            if key.startswith(prefix) and key > after
        ]
        page = found[:3]
        return make_response(
            HTTPStatus.OK,
            items=page,
            has_more=len(found) > len(page),
            at=self._state.revision,
        )

    async def _watch(self, parameters: dict[str, str]) -> CallerResponse:
        after, prefix = int(parameters["after"]), parameters["path_prefix"]
        wait = int(parameters["wait_ms"]) / 1000
        state = self._state
        if not state.compacted_revision <= after <= state.revision:
            return make_response(HTTPStatus.GONE)
        async with self._changed:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait_for(
                        lambda: self._find_events(prefix, after)
                    )
            except TimeoutError:
                return make_response(HTTPStatus.OK, events=[], at=self._state.revision)
            events = self._find_events(prefix, after)
            return make_response(HTTPStatus.OK, events=events, at=self._state.revision)

    def _find_events(self, prefix: str, after: int) -> list[dict]:
        return [
            event
            for event in self._state.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    async def _commit(self, parameters: dict) -> CallerResponse:
        async with self._changed:
            items = self._state.items
            for row in parameters["precondition"]:
                item = items.get(row["key"])
                if (item.revision if item else 0) != row["revision"]:
                    return make_response(HTTPStatus.PRECONDITION_FAILED, items=[])
            for row in parameters["writes"]:
                if row["lease_id"] and row["lease_id"] not in self._leases:
                    return make_response(HTTPStatus.NOT_FOUND)
            for row in parameters["writes"]:
                value = base64.b64decode(row["value"])
                self._write(row["key"], value, row["lease_id"])
            for key in parameters["remove"]:
                self._delete(key)
            self._changed.notify_all()
            return make_response(HTTPStatus.OK, revision=self._state.revision)

    def _write(self, key: str, value: bytes, lease_id: int) -> None:
        state = self._state
        state.revision += 1
        before = state.items.get(key)
        created = before.create_revision if before else state.revision
        state.items[key] = _Item(value, state.revision, created, lease_id)
        state.history.append(describe_item(key, state.items[key]))

    def _delete(self, key: str) -> None:
        state = self._state
        if state.items.pop(key, None) is not None:
            state.revision += 1
            event = {"key": key, "revision": state.revision, "deleted": True}
            state.history.append(event)


def describe_item(key: str, item: _Item) -> dict:
    """Return the JSON form of an item in a response."""
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "create_revision": item.create_revision,
        "lease_id": item.lease_id,
    }


def make_response(status: HTTPStatus, **fields: object) -> CallerResponse:
    """Return a response with a JSON body."""
    return CallerResponse(status, (), msgspec.json.encode(fields))
