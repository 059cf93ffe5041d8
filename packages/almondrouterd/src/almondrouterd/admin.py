"""HTTP for operators, metrics and the backend server on this host."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

from almondrouter.errors import AlmondError, ErrorCode, FindingsError
from almondrouter.settings import split_address
from almondrouterd.backendmonitor import BackendAnnouncement

if TYPE_CHECKING:
    from almondrouterd.daemon import Daemon

MAX_ADMIN_BODY_BYTES = 10_000
_STATUS_BY_CODE = {ErrorCode.TARGET_UNKNOWN: 404, ErrorCode.CLASS_UNKNOWN: 404}


class AdminServer:
    """Serves the daemon's admin address.

    Parameters
    ----------
    address
        ``ip:port`` to bind.
    daemon
        The daemon whose state is shown.
    """

    def __init__(self, *, address: str, daemon: Daemon) -> None:
        self._address = address
        self._daemon = daemon
        application = web.Application(
            middlewares=[_report_errors], client_max_size=MAX_ADMIN_BODY_BYTES
        )
        application.router.add_get("/metrics", self._get_metrics)
        application.router.add_get("/status", self._get_status)
        application.router.add_get("/fleet", self._get_fleet)
        application.router.add_get("/explain/{about}/{name}", self._get_explanation)
        application.router.add_get("/quarantine", self._get_quarantine)
        application.router.add_delete("/quarantine/{name}", self._lift)
        application.router.add_post("/announce", self._announce)
        self._runner = web.AppRunner(application, access_log=None)

    async def start(self) -> None:
        """Bind the address and serve."""
        await self._runner.setup()
        host, port = split_address(self._address)
        await web.TCPSite(self._runner, host, port).start()

    async def close(self) -> None:
        """Close the address and all connections."""
        await self._runner.cleanup()

    async def _get_metrics(self, request: web.Request) -> web.Response:
        body = self._daemon.metrics.render()
        return web.Response(body=body, content_type="text/plain", charset="utf-8")

    async def _get_status(self, request: web.Request) -> web.Response:
        return _respond(self._daemon.status.describe_daemon())

    async def _get_fleet(self, request: web.Request) -> web.Response:
        text = request.query.get("version", "")
        if text and not text.isdecimal():
            message = f"version {text!r} is no number"
            raise AlmondError(ErrorCode.HEADER_INVALID, message)
        return _respond(
            await self._daemon.status.describe_fleet(int(text) if text else None)
        )

    async def _get_explanation(self, request: web.Request) -> web.Response:
        about, name = request.match_info["about"], request.match_info["name"]
        return _respond(self._daemon.explanations.explain(about, name))

    async def _get_quarantine(self, request: web.Request) -> web.Response:
        condemned = [
            {"fingerprint": item.fingerprint, "reason": item.reason}
            for item in self._daemon.quarantine.list_condemned()
        ]
        return _respond({"condemned": condemned})

    async def _lift(self, request: web.Request) -> web.Response:
        self._daemon.lift(request.match_info["name"])
        return _respond({"lifted": request.match_info["name"]})

    async def _announce(self, request: web.Request) -> web.Response:
        body = await request.read()
        try:
            announcement = msgspec.json.decode(body, type=BackendAnnouncement)
        except msgspec.DecodeError as error:
            raise AlmondError(ErrorCode.HEADER_INVALID, str(error)) from error
        self._daemon.backends.announce(announcement)
        return _respond({"host": self._daemon.host})


@web.middleware
async def _report_errors(request: web.Request, handler: Any) -> web.StreamResponse:
    try:
        return await handler(request)
    except FindingsError as error:
        findings = [
            {"place": item.place, "code": item.code.value, "message": item.message}
            for item in error.findings
        ]
        return _respond(
            {"code": error.code.value, "message": str(error), "findings": findings},
            status=400,
        )
    except AlmondError as error:
        status = _STATUS_BY_CODE.get(error.code, 400)
        return _respond(
            {"code": error.code.value, "message": error.message}, status=status
        )


def _respond(data: Any, *, status: int = 200) -> web.Response:
    body = msgspec.json.encode(data)
    return web.Response(body=body, status=status, content_type="application/json")
