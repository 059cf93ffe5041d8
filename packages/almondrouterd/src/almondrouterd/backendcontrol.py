"""What the backend server on this host says of itself."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.localbackend import LocalBackend
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.transport.calls import CallerRequest, CallerResponse
from almondrouterd.platform.heartbeats import (
    ACKNOWLEDGEMENT,
    HEARTBEAT_PATH,
    LEAVE_PATH,
    decode_heartbeat,
    decode_leaving,
)

_JSON = (("content-type", "application/json"),)
_log = EventLogger("heartbeats")


class BackendControl:
    """Takes heartbeats and acknowledges those that name a backend server to use.

    Parameters
    ----------
    backend
        Takes over what is said.
    backend_address
        ``ip:port`` of the backend server on this host; others are refused.
    routes
        Tells which services are declared.
    is_stopping
        Returns whether the daemon stops, and so takes no backend server back.
    """

    def __init__(
        self,
        *,
        backend: LocalBackend,
        backend_address: str,
        routes: ActiveRoutes,
        is_stopping: Callable[[], bool],
    ) -> None:
        self._backend = backend
        self._backend_address = backend_address
        self._routes = routes
        self._is_stopping = is_stopping

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Serve a heartbeat or a message of leaving."""
        path = request.target.partition("?")[0]
        try:
            if request.method == "POST" and path.startswith(HEARTBEAT_PATH):
                self._take_heartbeat(path.removeprefix(HEARTBEAT_PATH), request.body)
            elif request.method == "POST" and path.startswith(LEAVE_PATH):
                self._take_leaving(path.removeprefix(LEAVE_PATH), request.body)
            else:
                return CallerResponse(HTTPStatus.NOT_FOUND, (), b"")
        except AlmondError as error:
            _log.request("heartbeat ignored", path=path, reason=error.message)
            return CallerResponse(HTTPStatus.BAD_REQUEST, (), b"")
        return CallerResponse(HTTPStatus.OK, _JSON, ACKNOWLEDGEMENT)

    def _take_heartbeat(self, backend: str, body: bytes) -> None:
        report = decode_heartbeat(backend, body)
        if report.address != self._backend_address:
            message = f"address {report.address!r} is not on this host"
            raise AlmondError(ErrorCode.VALUE_OUT_OF_RANGE, message)
        table = self._routes.table
        if table is not None and report.entry.service not in table.services:
            message = f"service {report.entry.service!r} is not declared"
            raise AlmondError(ErrorCode.SERVICE_UNKNOWN, message)
        if not self._is_stopping():
            self._backend.apply_announcement(report.entry)

    def _take_leaving(self, backend: str, body: bytes) -> None:
        self._backend.mark_leaving(backend, decode_leaving(body) or None)
