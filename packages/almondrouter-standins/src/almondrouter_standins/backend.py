"""Stand-in for a backend server with slots, draining, cold start and faults.

Requests control their own handling by headers: service time, response size, a mark
that identifies them in ``/runs``, and a downstream call.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import socket
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import msgspec
import uvloop
from sanic import HTTPResponse, Request, Sanic
from sanic import json as json_response
from sanic.response import raw

ANNOUNCE_INTERVAL_S = 1.0
CRASH_EXIT_CODE = 70
MARK_HEADER = "x-standin-mark"
SERVICE_TIME_HEADER = "x-standin-work-ms"
RESPONSE_BYTES_HEADER = "x-standin-bytes"
CALL_DEPTH_HEADER = "x-standin-depth"
DOWNSTREAM_URL_HEADER = "x-standin-call"


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Injected faults, set at run time by a POST to ``/standin``.

    Parameters
    ----------
    slow
        Factor by which the service time of each request is multiplied.
    crash_mark
        The process exits when a request with this mark begins to run.
    stop_answering
        Requests run, but their responses are never sent.
    truncate
        The connection is closed after half of each response body.
    shed
        All requests are refused with the outcome not run.
    lie_health, lie_load
        Values that the health and load endpoints report instead of the real ones;
        None for the real ones.
    lag
        Age in seconds of the number of requests in progress that the load
        endpoint reports.
    """

    slow: float = 1.0
    crash_mark: str = ""
    stop_answering: bool = False
    truncate: bool = False
    shed: bool = False
    lie_health: bool | None = None
    lie_load: int | None = None
    lag: float = 0.0


class BackendStandin:
    """A backend server that runs requests in a fixed number of slots.

    Parameters
    ----------
    name, service
        Backend and service name that it announces to the daemon.
    slots, connections
        Maximum number of concurrent requests, and the connection limit that it
        announces to the daemon.
    service_time
        Seconds that a request takes unless its header sets another time.
    cold_start
        Seconds after the start during which requests take four times as long.
    daemon
        ``ip:port`` of the admin address of its daemon; if empty, the backend
        server does not announce itself.
    crash
        Simulates a crash; the default exits the process.
    """

    def __init__(
        self,
        *,
        name: str,
        service: str,
        slots: int = 9,
        connections: int = 120,
        service_time: float = 0.0,
        cold_start: float = 0.0,
        daemon: str = "",
        crash: Callable[[], None] = lambda: os._exit(CRASH_EXIT_CODE),
    ) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.connections = connections
        self.service_time = service_time
        self.cold_start = cold_start
        self.daemon = daemon
        self.crash = crash
        self.state = "ready"
        self.address = ""
        self.faults = Faults()
        self.in_use = 0
        self.runs: list[dict[str, Any]] = []
        self._started = time.monotonic()
        self._load_samples: list[tuple[float, int]] = []
        self._tasks: list[asyncio.Task] = []
        self._server: Any = None
        self._session: aiohttp.ClientSession | None = None
        self.app = self._make_app()

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start listening and announcing; return the address as ``ip:port``."""
        # Sanic replaces port 0 by its default port instead of a free one.
        listener = socket.create_server((host, port))
        self._server = await self.app.create_server(
            sock=listener, return_asyncio_server=True, access_log=False
        )
        await self._server.startup()
        await self._server.before_start()
        await self._server.after_start()
        bound = listener.getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        if self.daemon:
            self._tasks.append(asyncio.create_task(self._announce_forever()))
        return self.address

    async def drain(self) -> None:
        """Refuse new requests and wait until the running ones have ended."""
        self.state = "draining"
        while self.in_use:
            await asyncio.sleep(0.01)
        self.state = "stopped"

    async def close(self) -> None:
        """Abort all connections and stop the server."""
        for task in self._tasks:
            task.cancel()
        if self._session is not None:
            await self._session.close()
        self._server.close()
        for connection in tuple(self._server.connections):
            connection.transport.abort()
        await self._server.before_stop()
        await self._server.after_stop()

    def _make_app(self) -> Sanic:
        app = Sanic(f"standin-{id(self):x}", configure_logging=False)
        app.config.MOTD = False
        # Touch-up rewrites Sanic's classes, which fails for a second app in the
        # same process.
        app.config.TOUCHUP = False
        app.config.KEEP_ALIVE_TIMEOUT = 300
        app.config.RESPONSE_TIMEOUT = 3600
        app.config.REQUEST_MAX_SIZE = 16_000_000
        app.add_route(self._get_health, "/health")
        app.add_route(self._get_load, "/load")
        app.add_route(self._get_runs, "/runs")
        app.add_route(self._set_faults, "/standin", methods=["POST"])
        app.add_route(self._start_draining, "/drain", methods=["POST"])
        methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
        app.add_route(self._serve, "/<path:path>", methods=methods, name="work")
        app.add_route(self._serve, "/", methods=methods, name="root")
        return app

    async def _serve(self, request: Request, path: str = "") -> HTTPResponse | None:
        refusal = self._make_refusal(request)
        if refusal is not None:
            return refusal
        run = {
            "key": request.headers.get("idempotency-key", ""),
            "mark": request.headers.get(MARK_HEADER, ""),
            "at": time.time(),
            "result": "running",
        }
        self.runs.append(run)
        if self.faults.crash_mark and run["mark"] == self.faults.crash_mark:
            self.crash()
        self._adjust_in_use(1)
        try:
            await asyncio.sleep(self._find_service_time(request))
            await self._call_downstream(request)
            run["result"] = "complete"
        except asyncio.CancelledError:
            run["result"] = "cancelled"
            raise
        finally:
            self._adjust_in_use(-1)
        return await self._respond(request)

    def _make_refusal(self, request: Request) -> HTTPResponse | None:
        deadline = request.headers.get("almond-deadline-ms")
        expired = deadline is not None and int(deadline) <= 0
        if (
            self.faults.shed
            or expired
            or self.state != "ready"
            or self.in_use >= self.slots
        ):
            send_id = request.headers.get("almond-send-id", "")
            headers = {"Almond-Outcome": "not-run", "Almond-Send-Id": send_id}
            return HTTPResponse(status=503, headers=headers)
        return None

    async def _respond(self, request: Request) -> HTTPResponse | None:
        if self.faults.stop_answering:
            await asyncio.sleep(3600)
        size = request.headers.get(RESPONSE_BYTES_HEADER)
        body = b"x" * int(size) if size else request.body
        if self.faults.truncate:
            await self._send_truncated(request, body)
            return None
        mark = request.headers.get(MARK_HEADER, "")
        headers = {MARK_HEADER: mark} if mark else {}
        return raw(body, headers=headers)

    async def _call_downstream(self, request: Request) -> None:
        """Call the downstream URL of the request if its call depth is above 1.

        It passes on the class and the downstream URL, and a depth smaller by one.
        """
        depth = int(request.headers.get(CALL_DEPTH_HEADER, 1))
        if depth <= 1:
            return
        if self._session is None:
            self._session = aiohttp.ClientSession()
        url = request.headers[DOWNSTREAM_URL_HEADER]
        names = ("almond-class", DOWNSTREAM_URL_HEADER)
        headers = {name: request.headers[name] for name in names}
        headers[CALL_DEPTH_HEADER] = str(depth - 1)
        async with self._session.post(
            url, data=request.body, headers=headers
        ) as response:
            response.raise_for_status()
            await response.read()

    async def _send_truncated(self, request: Request, body: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % (len(body) + 2)
        request.transport.write(head + body[: len(body) // 2])
        request.transport.close()
        await asyncio.sleep(3600)

    def _find_service_time(self, request: Request) -> float:
        text = request.headers.get(SERVICE_TIME_HEADER)
        service_time = float(text) / 1000 if text else self.service_time
        in_cold_start = time.monotonic() - self._started < self.cold_start
        return service_time * self.faults.slow * (4 if in_cold_start else 1)

    def _adjust_in_use(self, change: int) -> None:
        self.in_use += change
        if self.faults.lag:
            self._load_samples = [
                *self._load_samples[-999:],
                (time.monotonic(), self.in_use),
            ]

    async def _get_health(self, request: Request) -> HTTPResponse:
        healthy = self.state == "ready"
        if self.faults.lie_health is not None:
            healthy = self.faults.lie_health
        return json_response({"healthy": healthy}, status=200 if healthy else 503)

    async def _get_load(self, request: Request) -> HTTPResponse:
        in_use = self.in_use
        if self.faults.lag:
            horizon = time.monotonic() - self.faults.lag
            in_use = next(
                (n for at, n in reversed(self._load_samples) if at <= horizon), 0
            )
        if self.faults.lie_load is not None:
            in_use = self.faults.lie_load
        return json_response({"slots": self.slots, "in_use": in_use})

    async def _get_runs(self, request: Request) -> HTTPResponse:
        return json_response(self.runs)

    async def _set_faults(self, request: Request) -> HTTPResponse:
        try:
            self.faults = msgspec.json.decode(request.body, type=Faults)
        except msgspec.DecodeError as error:
            return json_response({"error": str(error)}, status=400)
        return json_response(msgspec.to_builtins(self.faults))

    async def _start_draining(self, request: Request) -> HTTPResponse:
        self._tasks.append(asyncio.create_task(self.drain()))
        return json_response({"state": "draining"})

    async def _announce_forever(self) -> None:
        timeout = aiohttp.ClientTimeout(total=ANNOUNCE_INTERVAL_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    url = f"http://{self.daemon}/announce"
                    await session.post(url, json=self._make_announcement())
                await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    def _make_announcement(self) -> dict[str, Any]:
        return {
            "name": self.name,
            "service": self.service,
            "address": self.address,
            "slots": self.slots,
            "connections": self.connections,
            "state": self.state,
        }


def parse_arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1:0", help="ip:port to listen on")
    parser.add_argument("--daemon", default="", help="admin ip:port of the daemon")
    parser.add_argument("--name", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--slots", type=int, default=9)
    parser.add_argument("--connections", type=int, default=120)
    parser.add_argument("--work-ms", type=float, default=0.0)
    parser.add_argument("--cold-start", type=float, default=0.0, help="seconds")
    return parser.parse_args()


async def run(arguments: argparse.Namespace) -> None:
    """Serve until cancelled; print the address after it is bound."""
    standin = BackendStandin(
        name=arguments.name,
        service=arguments.service,
        slots=arguments.slots,
        connections=arguments.connections,
        service_time=arguments.work_ms / 1000,
        cold_start=arguments.cold_start,
        daemon=arguments.daemon,
    )
    host, _, port = arguments.address.rpartition(":")
    print(await standin.start(host, int(port)), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Run the stand-in as a command."""
    uvloop.install()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(parse_arguments()))


if __name__ == "__main__":
    main()
