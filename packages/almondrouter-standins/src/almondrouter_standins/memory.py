"""The store without sockets, with faults chosen call by call."""

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
    """What becomes of one call.

    ``REFUSED`` surely has no effect. The caller of the other faults is told
    that the outcome is unknown: ``LOST`` took effect, ``DROPPED`` did not, and
    ``LATE`` takes effect when `MemoryStore.deliver_late` is called.
    """

    NONE = "none"
    REFUSED = "refused"
    LOST = "lost"
    DROPPED = "dropped"
    LATE = "late"


class MemoryStore(EtcdStore):
    """A store client whose requests reach a keyspace of this process directly.

    Parameters
    ----------
    keyspace
        Shared by all clients of the same store.
    choose_fault
        Called with the kind of each call before it is done; a call waits as
        long as this does.
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
        self.choose_fault = choose_fault or _choose_none
        self.late: list[Callable[[], Body]] = []

    def deliver_late(self, index: int = 0) -> None:
        """Let a late call take effect; its answer goes nowhere."""
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
            # A request that its caller no longer waits for is on its way.
            self.late.append(lambda: self._apply(path, body))
            raise
        if fault is CallFault.REFUSED:
            raise StoreUnavailableError(f"{kind}: refused")
        if fault is CallFault.LATE:
            self.late.append(lambda: self._apply(path, body))
        if fault in (CallFault.NONE, CallFault.LOST):
            answer = self._apply(path, body)
            if fault is CallFault.NONE:
                if "error" in answer:
                    _raise_refusal(answer)
                return answer
        raise StoreOutcomeUnknownError(f"{kind}: {fault}")

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
        """Return the values of all keys with a prefix, past all faults."""
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


async def _choose_none(_kind: str) -> CallFault:
    await asyncio.sleep(0)
    return CallFault.NONE


def _raise_refusal(answer: Body) -> None:
    if answer["code"] == NOT_FOUND:
        raise AlmondError(ErrorCode.LEASE_EXPIRED, answer["error"])
    raise StoreUnavailableError(answer["error"])
