"""Stand-in for the etcd store: a subset of the v3 JSON gateway."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
import uvloop
from aiohttp import web

from almondrouter.clock import Clock, SystemClock
from almondrouter_standins.keyspace import (
    INVALID_ARGUMENT,
    RESOURCE_EXHAUSTED,
    Body,
    Keyspace,
    ProtocolError,
    decode_bytes,
)

MAX_REQUEST_BYTES = 8_000_000
PROGRESS_INTERVAL_S = 1.0
LEASE_CHECK_INTERVAL_S = 0.1
_HTTP_STATUS = {RESOURCE_EXHAUSTED: 429, 5: 404, 14: 503}
_WRITES = {"txn", "put", "deleterange", "grant", "revoke"}


class Faults(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=False):
    """Injected faults, changed at run time by a POST to ``/standin``.

    Parameters
    ----------
    latency
        Seconds before each call takes effect, even if its caller has
        disconnected by then.
    rate_limit
        Calls per second; calls above the limit fail with RESOURCE_EXHAUSTED. None
        for no limit.
    outage
        ``none``, ``refuse`` (connections are refused) or ``hang`` (calls are
        accepted but neither applied nor answered).
    lose_answers
        Number of following writes whose connection is reset after they took
        effect.
    silent_watches
        Whether watches stay open and send nothing.
    lease_offset
        Seconds by which the clock of leases is ahead of the other clocks.
    """

    latency: float = 0.0
    rate_limit: float | None = None
    outage: str = "none"
    lose_answers: int = 0
    silent_watches: bool = False
    lease_offset: float = 0.0


class StoreStandIn:
    """Serves the gateway's API from memory, with faults set at run time.

    Parameters
    ----------
    address
        ``host:port`` of the API; port 0 takes a free one.
    control_address
        Second ``host:port`` that serves only ``/standin``; it stays reachable
        while connections to ``address`` are refused.
    clock
        Clock of the leases and the rate limit.
    progress_interval
        Seconds after which an idle watch is sent a progress notification.
    """

    def __init__(
        self,
        address: str = "127.0.0.1:0",
        *,
        control_address: str | None = None,
        clock: Clock | None = None,
        progress_interval: float = PROGRESS_INTERVAL_S,
    ) -> None:
        self._clock = clock or SystemClock()
        self.address = address
        self._control_address = control_address
        self._progress_interval = progress_interval
        self.keyspace = Keyspace(clock=self._clock)
        self.faults = Faults()
        self.calls: Counter[str] = Counter()
        self.limited = 0
        self.open_watches = 0
        self._tokens = 1.0
        self._tokens_updated_at = self._clock.monotonic()
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._runner: web.AppRunner | None = None
        self._control_runner: web.AppRunner | None = None
        self._site: web.TCPSite | None = None

    @property
    def url(self) -> str:
        """Return the URL of the API."""
        return f"http://{self.address}"

    async def start(self) -> None:
        """Bind the addresses and start serving."""
        application = web.Application(client_max_size=MAX_REQUEST_BYTES)
        for kind, path, operation in self._list_operations():
            application.router.add_post(path, self._make_handler(kind, operation))
        application.router.add_post("/v3/watch", self._watch)
        self._add_control_routes(application)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await self._listen()
        if self._control_address is not None:
            control = web.Application()
            self._add_control_routes(control)
            self._control_runner = web.AppRunner(control, access_log=None)
            await self._control_runner.setup()
            host, port = self._control_address.rsplit(":", 1)
            await web.TCPSite(self._control_runner, host, int(port)).start()
        self._tasks.append(asyncio.create_task(self._expire_leases()))

    async def close(self) -> None:
        """Stop serving and reset all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._cut_connections()
        for runner in (self._runner, self._control_runner):
            if runner is not None:
                await runner.cleanup()

    async def set_faults(self, **changes: Any) -> None:
        """Change the given faults and keep the others.

        Raises
        ------
        ValueError
            If a fault is unknown or its value is invalid.
        """
        merged = {**msgspec.to_builtins(self.faults), **changes}
        faults = msgspec.convert(merged, Faults)
        if faults.outage not in ("none", "refuse", "hang"):
            raise ValueError(f"unknown outage {faults.outage!r}")
        self.faults = faults
        self.keyspace.lease_offset = faults.lease_offset
        self.keyspace.expire_leases()
        if faults.outage == "refuse" and self._site is not None:
            await self._site.stop()
            self._site = None
            self._cut_connections()
        elif faults.outage != "refuse" and self._site is None:
            await self._listen()
        self._notify_watches()

    def status(self) -> Body:
        """Return the call counts by kind, the open watches and the faults."""
        return {
            "calls": dict(self.calls),
            "limited": self.limited,
            "open_watches": self.open_watches,
            "revision": self.keyspace.revision,
            "faults": msgspec.to_builtins(self.faults),
        }

    def _list_operations(self) -> list[tuple[str, str, Callable[[Body], Body]]]:
        keyspace = self.keyspace
        return [
            ("range", "/v3/kv/range", keyspace.range),
            ("txn", "/v3/kv/txn", keyspace.txn),
            ("put", "/v3/kv/put", keyspace.put),
            ("deleterange", "/v3/kv/deleterange", keyspace.delete_range),
            ("grant", "/v3/lease/grant", keyspace.grant),
            ("keepalive", "/v3/lease/keepalive", keyspace.keep_alive),
            ("revoke", "/v3/lease/revoke", keyspace.revoke),
        ]

    def _add_control_routes(self, application: web.Application) -> None:
        application.router.add_get("/standin", self._handle_get_status)
        application.router.add_post("/standin", self._handle_set_faults)

    async def _listen(self) -> None:
        host, port = self.address.rsplit(":", 1)
        self._site = web.TCPSite(self._runner, host, int(port))
        await self._site.start()
        bound = self._site._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"

    def _cut_connections(self) -> None:
        server = self._runner.server if self._runner else None
        for connection in list(server.connections) if server else ():
            if connection.transport is not None:
                connection.transport.abort()

    def _make_handler(
        self, kind: str, operation: Callable[[Body], Body]
    ) -> Callable[[web.Request], Any]:
        async def handle(request: web.Request) -> web.StreamResponse:
            try:
                body = await self._accept_call(kind, request)
                result = operation(body)
            except ProtocolError as error:
                return _make_refusal(error)
            except (KeyError, ValueError, TypeError, AttributeError) as error:
                return _make_refusal(ProtocolError(INVALID_ARGUMENT, repr(error)))
            self._notify_watches()
            if kind in _WRITES and self.faults.lose_answers > 0:
                self.faults.lose_answers -= 1
                if request.transport is not None:
                    request.transport.abort()
            return web.json_response(result)

        return handle

    async def _accept_call(self, kind: str, request: web.Request) -> Body:
        """Count a call, apply the faults that precede its effect; return its body.

        Raises
        ------
        ProtocolError
            If the call exceeds the rate limit.
        """
        body = json.loads(await request.read())
        self.calls[kind] += 1
        if self.faults.outage == "hang":
            await asyncio.Event().wait()
        if not self._take_token():
            self.limited += 1
            message = "etcdserver: too many requests"
            raise ProtocolError(RESOURCE_EXHAUSTED, message)
        if self.faults.latency:
            await asyncio.sleep(self.faults.latency)
        return body

    def _take_token(self) -> bool:
        rate = self.faults.rate_limit
        if rate is None:
            return True
        now = self._clock.monotonic()
        refilled = (now - self._tokens_updated_at) * rate
        self._tokens = min(max(1.0, rate), self._tokens + refilled)
        self._tokens_updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            before = self.keyspace.revision
            self.keyspace.expire_leases()
            if self.keyspace.revision != before:
                self._notify_watches()

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        try:
            body = (await self._accept_call("watch", request))["create_request"]
            key, end = decode_bytes(body["key"]), decode_bytes(body.get("range_end"))
        except ProtocolError as error:
            return _make_refusal(error)
        except (KeyError, ValueError, TypeError) as error:
            return _make_refusal(ProtocolError(INVALID_ARGUMENT, repr(error)))
        keyspace = self.keyspace
        position = int(body.get("start_revision", 0)) or keyspace.revision + 1
        response = web.StreamResponse()
        await response.prepare(request)
        self.open_watches += 1
        try:
            if position <= keyspace.compact_revision:
                compacted = str(keyspace.compact_revision)
                await self._send(response, canceled=True, compact_revision=compacted)
                return response
            await self._send(response, created=True)
            await self._stream_events(response, key, end, position)
        except ConnectionError:
            pass
        finally:
            self.open_watches -= 1
        return response

    async def _stream_events(
        self, response: web.StreamResponse, key: bytes, end: bytes, position: int
    ) -> None:
        while True:
            changed = self._changed
            if not self.faults.silent_watches and self.faults.outage != "hang":
                events = [e for _, e in self.keyspace.events(key, end, position)]
                position = max(position, self.keyspace.revision + 1)
                fields = {"events": events} if events else {}
                await self._send(response, **fields)
            with contextlib.suppress(TimeoutError):
                await self._wait_for_events(changed, key, end, position)

    async def _wait_for_events(
        self, changed: asyncio.Event, key: bytes, end: bytes, position: int
    ) -> None:
        async with asyncio.timeout(self._progress_interval):
            while True:
                await changed.wait()
                changed = self._changed
                if any(self.keyspace.events(key, end, position)):
                    return

    async def _send(self, response: web.StreamResponse, **fields: Any) -> None:
        result = {"header": self.keyspace.header(), **fields}
        await response.write(json.dumps({"result": result}).encode() + b"\n")

    async def _handle_get_status(self, _request: web.Request) -> web.Response:
        return web.json_response(self.status())

    async def _handle_set_faults(self, request: web.Request) -> web.Response:
        try:
            changes = json.loads(await request.read())
            if changes.get("outage") == "refuse" and self._control_address is None:
                raise ValueError("outage 'refuse' needs --control-address")
            await self.set_faults(**changes)
        except (ValueError, TypeError, AttributeError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response(self.status())


def _make_refusal(error: ProtocolError) -> web.Response:
    status = _HTTP_STATUS.get(error.code, 400)
    body = {"error": error.message, "code": error.code, "message": error.message}
    return web.json_response(body, status=status)


async def _serve(address: str, control_address: str | None) -> None:
    standin = StoreStandIn(address, control_address=control_address)
    await standin.start()
    print(f"store stand-in on {standin.url}", flush=True)
    try:
        await asyncio.Event().wait()
    finally:
        await standin.close()


def main() -> None:
    """Serve until interrupted."""
    parser = argparse.ArgumentParser(prog="almond-store", description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:2379", help="host:port")
    parser.add_argument(
        "--control-address", help="second host:port for /standin (for outage 'refuse')"
    )
    options = parser.parse_args()
    uvloop.install()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_serve(options.address, options.control_address))


if __name__ == "__main__":
    main()
