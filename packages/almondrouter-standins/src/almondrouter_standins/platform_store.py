"""Stand-in of the users' key-value service, with its faults."""

from __future__ import annotations

import asyncio
import base64
import itertools
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto
from http import HTTPStatus
from urllib.parse import parse_qsl, urlsplit

import msgspec

from almondrouter.clock import Clock, SystemClock
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.calls import CallerRequest, CallerResponse

PATH = "/almondrouter/"
MAX_BODY_BYTES = 4_000_000
SILENCE_S = 60.0
LAPSE_CHECK_S = 0.02


class StoreFault(Enum):
    """What happens to a call."""

    NONE = auto()
    BUSY = auto()
    MANY = auto()
    SILENT = auto()
    LOST = auto()
    NONSENSE = auto()


@dataclass(slots=True)
class _Item:
    value: bytes
    revision: int
    create_revision: int
    lease_id: int = 0


@dataclass(slots=True)
class _Keys:
    items: dict[str, _Item] = field(default_factory=dict)
    history: list[dict] = field(default_factory=list)
    revision: int = 10
    first_revision: int = 0


class PlatformStoreServer:
    """Serves the calls of the service from memory.

    Parameters
    ----------
    clock
        Source of monotonic time for leases.

    Notes
    -----
    ``fault`` holds for every call that ``faulty`` accepts by its kind.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self._clock = clock or SystemClock()
        self._keys = _Keys()
        self._leases: dict[int, tuple[float, float]] = {}
        self._ids = itertools.count(100)
        self._changed = asyncio.Condition()
        self._tasks: list[asyncio.Task] = []
        self.fault = StoreFault.NONE
        self.faulty: set[str] | None = None
        self.calls: Counter[str] = Counter()
        self.stale_reads = 0
        self.server = CallerServer(
            address="127.0.0.1:0", handler=self._handle, max_body_bytes=MAX_BODY_BYTES
        )

    @property
    def address(self) -> str:
        """Return the address that the service listens on."""
        return self.server.address

    @property
    def keys(self) -> dict[str, bytes]:
        """Return all keys with their values."""
        return {key: item.value for key, item in self._keys.items.items()}

    async def start(self) -> None:
        """Listen, and let leases lapse."""
        await self.server.start()
        self._tasks.append(asyncio.create_task(self._lapse_forever()))

    async def close(self) -> None:
        """Stop at once."""
        for task in self._tasks:
            task.cancel()
        await self.server.close()

    async def put(self, key: str, value: bytes, *, lease_id: int = 0) -> None:
        """Write a key as the operator does."""
        async with self._changed:
            self._write(key, value, lease_id)
            self._changed.notify_all()

    async def remove(self, key: str) -> None:
        """Remove a key without any call, as a lapse does."""
        async with self._changed:
            self._delete(key)
            self._changed.notify_all()

    async def forget_history(self) -> None:
        """Discard the history and cut the watches that wait."""
        self._keys.history.clear()
        self._keys.first_revision = self._keys.revision
        self.cut_connections()

    def cut_connections(self) -> None:
        """Reset every connection."""
        for connection in tuple(self.server.connections):
            connection.abort()

    async def _lapse_forever(self) -> None:
        while True:
            await asyncio.sleep(LAPSE_CHECK_S)
            now = self._clock.monotonic()
            for lease_id, (_, ends_at) in tuple(self._leases.items()):
                if now >= ends_at:
                    await self._end_lease(lease_id)

    async def _end_lease(self, lease_id: int) -> None:
        self._leases.pop(lease_id, None)
        items = self._keys.items
        for key in [k for k, item in items.items() if item.lease_id == lease_id]:
            await self.remove(key)

    async def _handle(self, request: CallerRequest) -> CallerResponse:
        parts = urlsplit(request.target)
        name, _, argument = parts.path.removeprefix(PATH).partition("/")
        self.calls[name] += 1
        fault = self.fault
        if self.faulty is not None and name not in self.faulty:
            fault = StoreFault.NONE
        if fault is StoreFault.BUSY:
            return make_response(HTTPStatus.SERVICE_UNAVAILABLE)
        if fault is StoreFault.MANY:
            return make_response(HTTPStatus.TOO_MANY_REQUESTS)
        if fault is StoreFault.NONSENSE:
            return CallerResponse(HTTPStatus.OK, (), b'{"items": 7, "at": "x"}')
        if fault is StoreFault.SILENT:
            await asyncio.sleep(SILENCE_S)
        response = await self._answer(name, argument, request, parts.query)
        if fault is StoreFault.LOST:
            await asyncio.sleep(SILENCE_S)
        return response

    async def _answer(
        self, name: str, argument: str, request: CallerRequest, query: str
    ) -> CallerResponse:
        asked = dict(parse_qsl(query, keep_blank_values=True))
        if name == "kv-range":
            return self._read_range(asked)
        if name == "kv-key":
            return self._read_key(asked)
        if name == "kv-watch":
            return await self._watch(asked)
        if name == "kv-txn":
            return await self._commit(msgspec.json.decode(request.body))
        return await self._answer_lease(name, argument, request.body)

    async def _answer_lease(
        self, name: str, argument: str, body: bytes
    ) -> CallerResponse:
        if name == "kv-lease":
            ttl = msgspec.json.decode(body)["ttl_s_time"]
            lease_id = next(self._ids)
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

    def _read_key(self, asked: dict[str, str]) -> CallerResponse:
        item = self._keys.items.get(asked["key"])
        if item is None:
            return make_response(HTTPStatus.NOT_FOUND)
        fields = describe_item(asked["key"], item)
        return make_response(HTTPStatus.OK, at=self._keys.revision, **fields)

    def _read_range(self, asked: dict[str, str]) -> CallerResponse:
        self.stale_reads += asked.get("allow_stale") == "1"
        prefix, after = asked["path_prefix"], asked.get("after", "")
        found = [
            describe_item(key, item)
            for key, item in sorted(self._keys.items.items())
            if key.startswith(prefix) and key > after
        ]
        page = found[:3]
        return make_response(
            HTTPStatus.OK,
            items=page,
            has_more=len(found) > len(page),
            at=self._keys.revision,
        )

    async def _watch(self, asked: dict[str, str]) -> CallerResponse:
        after, prefix = int(asked["after"]), asked["path_prefix"]
        wait = int(asked["wait_ms"]) / 1000
        if after < self._keys.first_revision:
            return make_response(HTTPStatus.GONE)
        async with self._changed:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait_for(
                        lambda: self._find_events(prefix, after)
                    )
            except TimeoutError:
                return make_response(HTTPStatus.OK, events=[], at=self._keys.revision)
            events = self._find_events(prefix, after)
            return make_response(HTTPStatus.OK, events=events, at=self._keys.revision)

    def _find_events(self, prefix: str, after: int) -> list[dict]:
        return [
            event
            for event in self._keys.history
            if event["revision"] > after and event["key"].startswith(prefix)
        ]

    async def _commit(self, asked: dict) -> CallerResponse:
        async with self._changed:
            items = self._keys.items
            for row in asked["precondition"]:
                item = items.get(row["key"])
                if (item.revision if item else 0) != row["revision"]:
                    return make_response(HTTPStatus.PRECONDITION_FAILED, items=[])
            for row in asked["writes"]:
                if row["lease_id"] and row["lease_id"] not in self._leases:
                    return make_response(HTTPStatus.NOT_FOUND)
            for row in asked["writes"]:
                value = base64.b64decode(row["value"])
                self._write(row["key"], value, row["lease_id"])
            for key in asked["remove"]:
                self._delete(key)
            self._changed.notify_all()
            return make_response(HTTPStatus.OK, revision=self._keys.revision)

    def _write(self, key: str, value: bytes, lease_id: int) -> None:
        keys = self._keys
        keys.revision += 1
        before = keys.items.get(key)
        created = before.create_revision if before else keys.revision
        keys.items[key] = _Item(value, keys.revision, created, lease_id)
        keys.history.append(describe_item(key, keys.items[key]))

    def _delete(self, key: str) -> None:
        keys = self._keys
        if keys.items.pop(key, None) is not None:
            keys.revision += 1
            event = {"key": key, "revision": keys.revision, "deleted": True}
            keys.history.append(event)


def describe_item(key: str, item: _Item) -> dict:
    """Return an item as it stands in a body."""
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
