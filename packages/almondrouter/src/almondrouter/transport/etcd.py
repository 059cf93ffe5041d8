"""Client of the store over the JSON gateway of etcd v3."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from typing import TypeVar

import aiohttp

from almondrouter.clock import Clock
from almondrouter.errors import (
    AlmondError,
    ErrorCode,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
)
from almondrouter.transport.etcdcodec import (
    Body,
    decode_commit,
    decode_read,
    decode_watch,
    encode_prefix_read,
    encode_range,
    encode_transaction,
)
from almondrouter.transport.store import (
    CommitResult,
    Delete,
    Lease,
    Put,
    ReadResult,
    Store,
    Transaction,
    WatchBatch,
)

# Connecting may take this fraction of the remaining time, so that an endpoint that
# does not accept connections leaves time for the next one.
CONNECT_TIMEOUT_FRACTION = 0.5
# A watch fails after this time without events or progress notifications, because a
# half-open connection would otherwise hide all later changes.
WATCH_IDLE_TIMEOUT_S = 30.0
MAX_WATCH_MESSAGE_BYTES = 8_000_000
# gRPC status codes that mean that the request was refused without any effect:
# INVALID_ARGUMENT, NOT_FOUND, PERMISSION_DENIED, RESOURCE_EXHAUSTED,
# FAILED_PRECONDITION, OUT_OF_RANGE, UNIMPLEMENTED, UNAUTHENTICATED. UNAVAILABLE
# is not one of them: etcd also returns it for a write during which the leader was
# lost.
_REFUSAL_CODES = frozenset({3, 5, 7, 8, 9, 11, 12, 16})
# HTTP statuses with the same meaning, for responses without a gRPC code.
_REFUSAL_STATUSES = frozenset({400, 401, 403, 404, 405, 413, 429})
_NOT_FOUND = 5

T = TypeVar("T")


class EtcdStore(Store):
    """Store client that distinguishes failures without effect from unknown outcomes.

    Parameters
    ----------
    endpoints
        URLs such as ``http://10.0.0.5:2379``. A request is repeated on the next one
        only if its failure definitely had no effect or if it is a read.
    clock
        Clock of the deadlines and lease expiry times.
    timeout
        Time limit for a call in seconds, over all endpoints.
    watch_idle_timeout
        Seconds without a message after which a watch fails.

    Attributes
    ----------
    calls
        Number of requests sent, by kind.
    """

    def __init__(
        self,
        endpoints: tuple[str, ...],
        *,
        clock: Clock,
        timeout: float = 1.0,
        watch_idle_timeout: float = WATCH_IDLE_TIMEOUT_S,
    ) -> None:
        if not endpoints:
            raise AlmondError(
                ErrorCode.SETTING_MISSING, "no store endpoint is configured"
            )
        self._endpoints = tuple(url.rstrip("/") for url in endpoints)
        self._preferred = 0
        self._clock = clock
        self._timeout = timeout
        self._watch_idle_timeout = watch_idle_timeout
        self._session: aiohttp.ClientSession | None = None
        self.calls: dict[str, int] = {}

    async def read(self, key: str) -> ReadResult:  # noqa: D102
        body = encode_range(key)
        return await self._call_read_only("range", "/v3/kv/range", body, decode_read)

    async def read_prefix(  # noqa: D102
        self,
        prefix: str,
        *,
        start: str | None = None,
        limit: int = 0,
        stale: bool = False,
    ) -> ReadResult:
        body = encode_prefix_read(prefix, start, limit, stale=stale)
        return await self._call_read_only("range", "/v3/kv/range", body, decode_read)

    async def commit(self, transaction: Transaction) -> CommitResult:  # noqa: D102
        body = encode_transaction(transaction)
        if not _has_writes(transaction):
            return await self._call_read_only("txn", "/v3/kv/txn", body, decode_commit)
        answer = await self._call("txn", "/v3/kv/txn", body)
        return _decode_response(decode_commit, answer)

    async def grant_lease(self, ttl: int) -> Lease:  # noqa: D102
        sent_at = self._clock.monotonic()
        answer = await self._call("grant", "/v3/lease/grant", {"TTL": str(ttl)})
        return _decode_response(
            lambda body: Lease(int(body["ID"]), sent_at + int(body["TTL"])), answer
        )

    async def keep_alive(self, lease: Lease) -> Lease:  # noqa: D102
        sent_at = self._clock.monotonic()
        body = {"ID": str(lease.lease_id)}
        answer = await self._call("keepalive", "/v3/lease/keepalive", body)
        ttl = _decode_response(lambda body: int(body["result"].get("TTL", 0)), answer)
        if ttl <= 0:
            message = f"lease {lease.lease_id} has expired"
            raise AlmondError(ErrorCode.LEASE_EXPIRED, message)
        return Lease(lease.lease_id, sent_at + ttl)

    async def revoke_lease(self, lease: Lease) -> None:  # noqa: D102
        body = {"ID": str(lease.lease_id)}
        await self._call("revoke", "/v3/lease/revoke", body)

    async def watch(  # noqa: D102
        self, prefix: str, *, from_revision: int
    ) -> AsyncIterator[WatchBatch]:
        create = encode_range(prefix, prefix=True) | {
            "start_revision": str(from_revision),
            "progress_notify": True,
        }
        try:
            async with asyncio.timeout(self._timeout):
                response = await self._open_watch({"create_request": create})
        except (TimeoutError, OSError, aiohttp.ClientError) as error:
            self._switch_endpoint()
            raise StoreUnavailableError(f"watch: {error!r}") from error
        try:
            async for message in self._read_watch(response):
                yield _decode_watch_message(message)
        finally:
            response.close()

    async def close(self) -> None:  # noqa: D102
        if self._session is not None:
            await self._session.close()

    async def _call_read_only(
        self, kind: str, path: str, body: Body, decoder: Callable[[Body], T]
    ) -> T:
        """Call an operation without writes, for which every failure means no effect."""
        try:
            return _decode_response(
                decoder, await self._call(kind, path, body, has_effect=False)
            )
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(error.message) from error

    async def _call(
        self, kind: str, path: str, body: Body, *, has_effect: bool = True
    ) -> Body:
        """Send a request to the endpoints in turn until one responds.

        With ``has_effect``, no further endpoint is tried once a request may have
        taken effect.
        """
        deadline = self._clock.monotonic() + self._timeout
        failure: AlmondError = StoreUnavailableError(
            f"{kind}: timed out before a request was sent"
        )
        for _ in self._endpoints:
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                break
            try:
                return await self._post(kind, path, body, remaining)
            except _RefusedError:
                raise
            except StoreUnavailableError as error:
                failure = error
            except StoreOutcomeUnknownError as error:
                failure = error
                if has_effect:
                    self._switch_endpoint()
                    break
            self._switch_endpoint()
        raise failure

    async def _post(self, kind: str, path: str, body: Body, remaining: float) -> Body:
        """Send one request to the preferred endpoint.

        Raises
        ------
        StoreUnavailableError
            If no connection was established, or the store refused the request.
        StoreOutcomeUnknownError
            If the response was lost or does not exclude that the request took
            effect.
        """
        self._count_call(kind)
        timeout = aiohttp.ClientTimeout(
            total=remaining, connect=remaining * CONNECT_TIMEOUT_FRACTION
        )
        url = self._endpoints[self._preferred] + path
        try:
            async with self._get_session().post(
                url, json=body, timeout=timeout, allow_redirects=False
            ) as response:
                data = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise StoreUnavailableError(f"{kind}: {error!r}") from error
        except (TimeoutError, OSError, aiohttp.ClientError) as error:
            raise StoreOutcomeUnknownError(f"{kind}: {error!r}") from error
        return _parse_response(kind, response.status, data)

    async def _open_watch(self, body: Body) -> aiohttp.ClientResponse:
        self._count_call("watch")
        url = self._endpoints[self._preferred] + "/v3/watch"
        timeout = aiohttp.ClientTimeout(total=None, sock_read=self._watch_idle_timeout)
        response = await self._get_session().post(
            url, json=body, timeout=timeout, allow_redirects=False
        )
        if response.status != 200:
            response.close()
            raise StoreUnavailableError(
                f"watch: unexpected HTTP status {response.status}"
            )
        return response

    async def _read_watch(
        self, response: aiohttp.ClientResponse
    ) -> AsyncIterator[bytes]:
        buffer = bytearray()
        try:
            async for chunk in response.content.iter_any():
                buffer += chunk
                while (end := buffer.find(b"\n")) >= 0:
                    yield bytes(buffer[:end])
                    del buffer[: end + 1]
                if len(buffer) > MAX_WATCH_MESSAGE_BYTES:
                    raise StoreUnavailableError(
                        f"watch: message exceeds {MAX_WATCH_MESSAGE_BYTES} bytes"
                    )
        except (TimeoutError, OSError, aiohttp.ClientError) as error:
            self._switch_endpoint()
            raise StoreUnavailableError(f"watch: {error!r}") from error
        raise StoreUnavailableError("watch: stream closed by the store")

    def _get_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        return self._session

    def _switch_endpoint(self) -> None:
        self._preferred = (self._preferred + 1) % len(self._endpoints)

    def _count_call(self, kind: str) -> None:
        self.calls[kind] = self.calls.get(kind, 0) + 1


class _RefusedError(StoreUnavailableError):
    """The store itself refused a request; every endpoint would do the same."""


def _parse_response(kind: str, status: int, data: bytes) -> Body:
    """Return the body of a successful response.

    Raises
    ------
    AlmondError
        ``lease_expired`` if the request named a lease that no longer exists.
    StoreUnavailableError
        If the store refused the request without any effect.
    StoreOutcomeUnknownError
        For any other failure.
    """
    try:
        body = json.loads(data)
    except ValueError:
        body = None
    if status == 200 and isinstance(body, dict):
        return body
    code = body.get("code") if isinstance(body, dict) else None
    text = body.get("message", body) if isinstance(body, dict) else data[:200]
    message = f"{kind}: HTTP status {status}, {text}"
    if code == _NOT_FOUND and "lease not found" in str(text):
        raise AlmondError(ErrorCode.LEASE_EXPIRED, message)
    if code in _REFUSAL_CODES or (code is None and status in _REFUSAL_STATUSES):
        raise _RefusedError(message)
    raise StoreOutcomeUnknownError(message)


def _has_writes(transaction: Transaction) -> bool:
    items = (*transaction.success, *transaction.failure)
    nested = [item for item in items if isinstance(item, Transaction)]
    return any(isinstance(item, Put | Delete) for item in items) or any(
        map(_has_writes, nested)
    )


def _decode_response(decoder: Callable[[Body], T], body: Body) -> T:
    try:
        return decoder(body)
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise StoreOutcomeUnknownError(f"malformed response: {error!r}") from error


def _decode_watch_message(line: bytes) -> WatchBatch:
    try:
        message = json.loads(line)
        result = message["result"]
        if result.get("canceled"):
            compacted = result.get("compact_revision", "0")
            raise StoreUnavailableError(
                f"watch: cancelled, compacted up to revision {compacted}"
            )
        return decode_watch(result)
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise StoreUnavailableError(f"watch: malformed message: {error!r}") from error
