"""HTTP endpoint for operators, metrics scrapers and this host's backend server."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from almondrouter.errors import (
    MALFORMED_DATA_ERRORS,
    AlmondError,
    ErrorCode,
    FindingsError,
)
from almondrouter.transport.callers import CallerServer
from almondrouter.transport.calls import CallerRequest, CallerResponse
from almondrouterd.backendmonitor import BackendAnnouncement

if TYPE_CHECKING:
    from almondrouterd.daemon import Daemon

MAX_ADMIN_BODY_BYTES = 10_000
_STATUS_BY_CODE = {ErrorCode.TARGET_UNKNOWN: 404, ErrorCode.CLASS_UNKNOWN: 404}

PathParts = tuple[str, ...]
RequestHandler = Callable[[CallerRequest, PathParts], Awaitable[CallerResponse]]


class AdminServer:
    """Serves the daemon's admin address.

    It uses the same HTTP server as the caller address, because another HTTP library
    would take over 10 MB of memory for a few requests per minute.

    Parameters
    ----------
    address
        ``ip:port`` to bind.
    daemon
        The daemon whose state is served.
    """

    def __init__(self, *, address: str, daemon: Daemon) -> None:
        self._daemon = daemon
        self._server = CallerServer(
            address=address, handler=self.handle, max_body_bytes=MAX_ADMIN_BODY_BYTES
        )
        self._handlers: dict[tuple[str, str], RequestHandler] = {
            ("GET", "metrics"): self._get_metrics,
            ("GET", "status"): self._get_status,
            ("GET", "fleet"): self._get_fleet,
            ("GET", "explain"): self._get_explanation,
            ("GET", "quarantine"): self._get_quarantine,
            ("DELETE", "quarantine"): self._lift_quarantine,
            ("POST", "announce"): self._announce,
        }

    async def start(self) -> None:
        """Bind the address and serve."""
        await self._server.start()

    async def close(self) -> None:
        """Close the address and all connections."""
        await self._server.close()

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Serve one request."""
        first, *rest = urlsplit(request.target).path.strip("/").split("/")
        handler = self._handlers.get((request.method, first))
        try:
            if handler is None:
                message = f"{request.method} {request.target} is not supported"
                raise AlmondError(ErrorCode.TARGET_UNKNOWN, message)
            return await handler(request, tuple(rest))
        except AlmondError as error:
            return _make_error_response(error)

    async def _get_metrics(
        self, request: CallerRequest, rest: PathParts
    ) -> CallerResponse:
        body = self._daemon.metrics.render()
        headers = (("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),)
        return CallerResponse(200, headers, body)

    async def _get_status(
        self, request: CallerRequest, rest: PathParts
    ) -> CallerResponse:
        return _make_json_response(self._daemon.status.describe_daemon())

    async def _get_fleet(
        self, request: CallerRequest, rest: PathParts
    ) -> CallerResponse:
        query = parse_qs(urlsplit(request.target).query)
        text = query.get("version", [""])[0]
        if text and not text.isdecimal():
            message = f"version {text!r} is not a number"
            raise AlmondError(ErrorCode.HEADER_INVALID, message)
        version = int(text) if text else None
        return _make_json_response(await self._daemon.status.describe_fleet(version))

    async def _get_explanation(
        self, request: CallerRequest, rest: PathParts
    ) -> CallerResponse:
        about, name = _require_path_parts(rest, 2)
        return _make_json_response(self._daemon.explanations.explain(about, name))

    async def _get_quarantine(
        self, request: CallerRequest, rest: PathParts
    ) -> CallerResponse:
        condemned = [
            {"fingerprint": item.fingerprint, "reason": item.reason}
            for item in self._daemon.control.quarantine.list_condemned()
        ]
        return _make_json_response({"condemned": condemned})

    async def _lift_quarantine(
        self, request: CallerRequest, rest: PathParts
    ) -> CallerResponse:
        (fingerprint,) = _require_path_parts(rest, 1)
        self._daemon.lift_quarantine(fingerprint)
        return _make_json_response({"lifted": fingerprint})

    async def _announce(
        self, request: CallerRequest, rest: PathParts
    ) -> CallerResponse:
        try:
            announcement = msgspec.json.decode(request.body, type=BackendAnnouncement)
        except MALFORMED_DATA_ERRORS as error:
            raise AlmondError(ErrorCode.HEADER_INVALID, str(error)) from error
        self._daemon.backends.announce(announcement)
        return _make_json_response({"host": self._daemon.host})


def _require_path_parts(parts: PathParts, count: int) -> PathParts:
    if len(parts) != count:
        message = f"the path needs exactly {count} segments after the first"
        raise AlmondError(ErrorCode.TARGET_UNKNOWN, message)
    return parts


def _make_error_response(error: AlmondError) -> CallerResponse:
    data: dict[str, Any] = {"code": error.code.value, "message": error.message}
    if isinstance(error, FindingsError):
        data["findings"] = [
            {"place": item.place, "code": item.code.value, "message": item.message}
            for item in error.findings
        ]
    return _make_json_response(data, status=_STATUS_BY_CODE.get(error.code, 400))


def _make_json_response(data: Any, *, status: int = 200) -> CallerResponse:
    headers = (("Content-Type", "application/json"),)
    return CallerResponse(status, headers, msgspec.json.encode(data))
