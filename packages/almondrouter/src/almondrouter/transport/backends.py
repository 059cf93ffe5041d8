"""HTTP client of the backend server on this host."""

from __future__ import annotations

import asyncio

import aiohttp
from yarl import URL

from almondrouter.clock import Clock
from almondrouter.errors import ErrorCode
from almondrouter.protocol.calls import HeaderList
from almondrouter.protocol.headers import OUTCOME, Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.transport.calls import BackendResponse, BackendSender


class BackendClient(BackendSender):
    """Sends requests over a bounded pool of connections.

    Parameters
    ----------
    address
        ``ip:port`` of the backend server.
    connections
        Connections that the backend server allows.
    clock
        Source of monotonic time.
    """

    def __init__(self, address: str, *, connections: int, clock: Clock) -> None:
        self._base = f"http://{address}"
        connector = aiohttp.TCPConnector(limit=connections, use_dns_cache=False)
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            timeout=aiohttp.ClientTimeout(total=None),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        # A second sending on a broken connection could run the request twice.
        self._session._retry_connection = False
        self._clock = clock

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def send(  # noqa: D102
        self,
        method: str,
        target: str,
        headers: HeaderList,
        body: bytes,
        *,
        deadline: float,
    ) -> BackendResponse:
        try:
            async with asyncio.timeout(deadline - self._clock.monotonic()):
                return await self._send(method, target, headers, body)
        except aiohttp.ClientConnectorError as error:
            raise CallError(ErrorCode.NO_BACKEND, str(error)) from error
        except aiohttp.ClientError as error:
            code = ErrorCode.BACKEND_FAILED
            raise CallError(code, str(error), outcome=Outcome.UNKNOWN) from error
        except TimeoutError as error:
            code = ErrorCode.DEADLINE_EXCEEDED
            message = "no response in time"
            raise CallError(code, message, outcome=Outcome.UNKNOWN) from error

    async def _send(
        self, method: str, target: str, headers: HeaderList, body: bytes
    ) -> BackendResponse:
        url = URL(self._base + target, encoded=True)
        sending = self._session.request(
            method, url, headers=headers, data=body or None, allow_redirects=False
        )
        async with sending as response:
            data = await response.read()
            if response.headers.get(OUTCOME) == Outcome.NOT_RUN:
                raise CallError(ErrorCode.BACKEND_REFUSED, "refused as not run")
            received = tuple(
                (name.lower(), value) for name, value in response.headers.items()
            )
            return BackendResponse(response.status, received, data)
