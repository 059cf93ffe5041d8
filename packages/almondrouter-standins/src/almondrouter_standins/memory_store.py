"""In-memory store client on which a test chooses the fault of each call."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from enum import StrEnum

from almondrouter.clock import Clock
from almondrouter.errors import (
    AlmondError,
    ErrorCode,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from almondrouter.transport.etcd import EtcdStore
from almondrouter.transport.etcdcodec import decode_watch, find_prefix_end
from almondrouter.transport.store import WatchBatch
from almondrouter_standins.keyspace import (
    NOT_FOUND,
    Body,
    Keyspace,
    ProtocolError,
    decode_bytes,
    encode_bytes,
)

WATCH_POLL_S = 0.001


class CallFault(StrEnum):
    """Fault of one call.

    A ``REFUSED`` call fails, and its caller learns that it had no effect. With the
    other faults, the caller learns that the outcome is unknown: a ``LOST`` call
    took effect and its response was lost, a ``DROPPED`` one had no effect, and a
    ``LATE`` one takes effect when `MemoryStore.deliver_late` is called.
    """

    NONE = "none"
    REFUSED = "refused"
    LOST = "lost"
    DROPPED = "dropped"
    LATE = "late"


class MemoryStore(EtcdStore):
    """A store client that applies its requests to a keyspace in the same process.

    Parameters
    ----------
    keyspace
        Contents of the store, shared by all its clients.
    choose_fault
        Called with the kind of each call and awaited before the call is applied;
        returns its fault.

    Attributes
    ----------
    late
        Functions that apply the late calls, oldest first.
    """

    def __init__(
        self,
        keyspace: Keyspace,
        *,
        clock: Clock,
        choose_fault: Callable[[str], Awaitable[CallFault]] | None = None,
    ) -> None:
        super().__init__(("memory",), clock=clock)
        self.keyspace = keyspace
        self.choose_fault = choose_fault or _choose_no_fault
        self.late: list[Callable[[], Body]] = []

    def deliver_late(self, index: int = 0) -> None:
        """Apply a late call; its response is discarded."""
        self.late.pop(index)()

    async def watch(  # noqa: D102
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[WatchBatch]:
        self._count_call("watch")
        position = from_revision or self.keyspace.revision + 1
        key = prefix.encode()
        while True:
            events = list(self.keyspace.events(key, find_prefix_end(key), position))
            if events:
                position = self.keyspace.revision + 1
                result = {"header": self.keyspace.header()}
                yield decode_watch(result | {"events": [e for _, e in events]})
            await asyncio.sleep(WATCH_POLL_S)

    async def _post(self, kind: str, path: str, body: Body, remaining: float) -> Body:
        self._count_call(kind)
        try:
            fault = await self.choose_fault(kind)
        except asyncio.CancelledError:
            # As on a real connection, a cancelled request may still take effect.
            self.late.append(lambda: self._apply(path, body))
            raise
        if fault is CallFault.REFUSED:
            raise StoreUnavailableError(f"{kind}: connection refused")
        if fault is CallFault.LATE:
            self.late.append(lambda: self._apply(path, body))
        if fault in (CallFault.NONE, CallFault.LOST):
            answer = self._apply(path, body)
            if fault is CallFault.NONE:
                if "error" in answer:
                    _raise_store_error(answer)
                return answer
        raise StoreOutcomeUnknownError(f"{kind}: no response: {fault}")

    def _apply(self, path: str, body: Body) -> Body:
        keyspace = self.keyspace
        operation = {
            "/v3/kv/range": keyspace.range,
            "/v3/kv/txn": keyspace.txn,
            "/v3/lease/grant": keyspace.grant,
            "/v3/lease/keepalive": keyspace.keep_alive,
            "/v3/lease/revoke": keyspace.revoke,
        }[path]
        try:
            return operation(body)
        except ProtocolError as error:
            return {"error": error.message, "code": error.code}

    def snapshot(self, prefix: str) -> dict[str, bytes]:
        """Return all keys with a prefix and their values, bypassing all faults."""
        found = self.keyspace.range(
            {
                "key": encode_bytes(prefix.encode()),
                "range_end": encode_bytes(find_prefix_end(prefix.encode())),
            }
        )
        return {
            decode_bytes(kv["key"]).decode(): decode_bytes(kv.get("value"))
            for kv in found.get("kvs", ())
        }


async def _choose_no_fault(_kind: str) -> CallFault:
    await asyncio.sleep(0)
    return CallFault.NONE


def _raise_store_error(answer: Body) -> None:
    if answer["code"] == NOT_FOUND:
        raise AlmondError(ErrorCode.LEASE_EXPIRED, answer["error"])
    raise StoreUnavailableError(answer["error"])
