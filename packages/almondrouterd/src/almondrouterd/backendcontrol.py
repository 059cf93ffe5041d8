"""Endpoint for heartbeats and deregistrations of the backend server on this host."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from almondrouter.coordination.activeroutes import ActiveRoutes
from almondrouter.coordination.localbackend import LocalBackend
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.state.hosts import Departure, ServingState
from almondrouter.transport.calls import CallerRequest, CallerResponse
from almondrouterd.platform.heartbeats import (
    ACKNOWLEDGEMENT,
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    decode_deregistration,
    decode_heartbeat,
)

MAX_STORE_WAIT_S = 0.5
"""Seconds that an acknowledgement waits for the store. The backend server discards an
acknowledgement that takes a second."""

_JSON = (("content-type", "application/json"),)
_log = EventLogger("heartbeats")


class BackendControl:
    """Validates heartbeats, applies them and acknowledges them.

    Parameters
    ----------
    backend
        Local backend server, to which the reported state is applied.
    backend_address
        ``ip:port`` of the backend server on this host; heartbeats with another
        address are refused.
    routes
        Routing configuration, which declares the services.
    is_stopping
        Returns whether the daemon is stopping; if so, heartbeats are acknowledged
        but do not make the backend server ready again.
    store_state
        Awaited until the store has the state of the backend server.
    is_known_by_peers
        Returns whether a peer knows of a departure.

    Notes
    -----
    A daemon that restarts restores its backend server from the store. The state of a
    leaving one is therefore stored before it is acknowledged. While the store does not
    respond, it is enough that a peer knows of it, which tells the restarted daemon. If
    neither does, there is no acknowledgement: the backend server gets no new requests
    meanwhile, and reports its state again.
    """

    def __init__(
        self,
        *,
        backend: LocalBackend,
        backend_address: str,
        routes: ActiveRoutes,
        is_stopping: Callable[[], bool],
        store_state: Callable[[], Awaitable[None]],
        is_known_by_peers: Callable[[Departure], bool],
    ) -> None:
        self._is_known_by_peers = is_known_by_peers
        self._backend = backend
        self._backend_address = backend_address
        self._routes = routes
        self._is_stopping = is_stopping
        self._store_state = store_state

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Handle a heartbeat or a deregistration."""
        path = request.target.partition("?")[0]
        try:
            if request.method == "POST" and path.startswith(HEARTBEAT_PATH):
                self._handle_heartbeat(path.removeprefix(HEARTBEAT_PATH), request.body)
            elif request.method == "POST" and path.startswith(DEREGISTER_PATH):
                self._handle_deregistration(
                    path.removeprefix(DEREGISTER_PATH), request.body
                )
            else:
                return CallerResponse(HTTPStatus.NOT_FOUND, (), b"")
        except AlmondError as error:
            _log.request(
                "heartbeat or deregistration refused", path=path, reason=error.message
            )
            return CallerResponse(HTTPStatus.BAD_REQUEST, (), b"")
        if not await self._store_leaving_state():
            return CallerResponse(HTTPStatus.SERVICE_UNAVAILABLE, (), b"")
        return CallerResponse(HTTPStatus.OK, _JSON, ACKNOWLEDGEMENT)

    async def _store_leaving_state(self) -> bool:
        """Return whether a departure, if there is one, outlasts this process."""
        entry, departure = self._backend.entry, self._backend.departure
        if departure is None:
            return True
        if entry is not None and entry.state is not ServingState.LEAVING:
            return True
        try:
            async with asyncio.timeout(MAX_STORE_WAIT_S):
                await self._store_state()
        except TimeoutError:
            acknowledged = self._is_known_by_peers(departure)
            event = (
                "leaving backend server acknowledged before the store knows of it"
                if acknowledged
                else "leaving not acknowledged; neither store nor peers know of it"
            )
            _log.warning(event, backend=departure.backend)
            return acknowledged
        return True

    def _handle_heartbeat(self, backend: str, body: bytes) -> None:
        report = decode_heartbeat(backend, body)
        if report.address != self._backend_address:
            message = f"address {report.address!r} is not this host's backend server"
            raise AlmondError(ErrorCode.VALUE_OUT_OF_RANGE, message)
        table = self._routes.table
        if table is not None and report.entry.service not in table.services:
            message = (
                f"service {report.entry.service!r} is not declared in the configuration"
            )
            raise AlmondError(ErrorCode.SERVICE_UNKNOWN, message)
        if not self._is_stopping() or report.entry.state is ServingState.LEAVING:
            self._backend.apply_announcement(report.entry)

    def _handle_deregistration(self, backend: str, body: bytes) -> None:
        self._backend.mark_leaving(backend, decode_deregistration(body) or None)
