"""HTTP server for callers."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

from aiohttp import web

from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.headers import CODE, OUTCOME, VERSION, Outcome
from almondrouter.protocol.outcomes import choose_status
from almondrouter.transport.calls import CallerRequest, CallerResponse
from almondrouter.transport.links import split_address

READ_BODY_S = 30.0
"""Seconds in which the body of a request must have arrived."""
KEEP_ALIVE_S = 75.0
"""Seconds after which a connection without a request is closed."""

CallerHandler = Callable[[CallerRequest], Awaitable[CallerResponse]]


class CallerServer:
    """Serves the requests of callers over HTTP/1.1.

    Parameters
    ----------
    address
        ``ip:port`` to listen on; port 0 takes a free one.
    handler
        Called for each whole request; cancelled if the caller goes away.
    max_body_bytes
        Longest body that is accepted, in bytes.
    version
        Returns the configuration version that refusals name.
    """

    def __init__(
        self,
        *,
        address: str,
        handler: CallerHandler,
        max_body_bytes: int,
        version: Callable[[], int] = lambda: 0,
    ) -> None:
        self._address = address
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._version = version
        self._runner: web.ServerRunner | None = None
        self.draining = False
        self.counts: Counter[str] = Counter()

    @property
    def address(self) -> str:
        """Return the address that the server listens on."""
        if self._runner is None or not self._runner.addresses:
            return self._address
        host, port = self._runner.addresses[0][:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen for callers.

        Raises
        ------
        AlmondError
            ``address_in_use`` if the address cannot be taken.
        """
        server = web.Server(
            self._serve,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_S,
        )
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        host, port = split_address(self._address)
        try:
            await web.TCPSite(self._runner, host, port).start()
        except OSError as error:
            raise AlmondError(ErrorCode.ADDRESS_IN_USE, str(error)) from error

    async def close(self) -> None:
        """Stop at once."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _serve(self, request: web.BaseRequest) -> web.Response:
        if self.draining:
            return self._refuse(ErrorCode.STOPPING)
        try:
            async with asyncio.timeout(READ_BODY_S):
                body = await request.read()
        except TimeoutError:
            return self._refuse(ErrorCode.HEADER_INVALID)
        if len(body) > self._max_body_bytes:
            return self._refuse(ErrorCode.BODY_TOO_LARGE)
        items = request.headers.items()
        headers = tuple((name.lower(), value) for name, value in items)
        response = await self._handler(
            CallerRequest(request.method, request.raw_path, headers, body)
        )
        return web.Response(
            status=response.status, headers=response.headers, body=response.body
        )

    def _refuse(self, code: ErrorCode) -> web.Response:
        self.counts[code.value] += 1
        headers = {
            OUTCOME: Outcome.NOT_RUN.value,
            CODE: code.value,
            VERSION: str(self._version()),
            "Connection": "close",
        }
        status = choose_status(Outcome.NOT_RUN, code)
        return web.Response(status=status, headers=headers)
