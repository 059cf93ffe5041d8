"""Connections from almondctl to the store and to daemons."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import aiohttp

from almondrouter.clock import Clock, SystemClock
from almondrouter.coordination.acceptance import ChangeWriter
from almondrouter.errors import AlmondError, ErrorCode, Finding, FindingsError
from almondrouter.protocol.keys import StoreKeys
from almondrouter.settings import SettingValues
from almondrouter.transport.etcd import EtcdStore

CLOCK: Clock = SystemClock()
_DAEMON_TIMEOUT_S = 5.0


class Connections:
    """Opens connections on first use and closes them at the end of the command.

    Parameters
    ----------
    settings
        Validated settings, which hold the addresses and the timeout.
    """

    def __init__(self, settings: SettingValues) -> None:
        self.settings = settings
        self.keys = StoreKeys(settings["cluster"])
        self._store: EtcdStore | None = None
        self._session: aiohttp.ClientSession | None = None

    @property
    def deadline(self) -> float:
        """Return the monotonic time after which a command that starts now times out."""
        return CLOCK.monotonic() + self.settings["timeout"]

    @property
    def store(self) -> EtcdStore:
        """Return the client of the store.

        Raises
        ------
        FindingsError
            If no address of the store is set.
        """
        if self._store is None:
            _require_setting(self.settings, "store")
            addresses = self.settings["store"]
            endpoints = tuple(f"http://{address}" for address in addresses)
            self._store = EtcdStore(endpoints, clock=CLOCK)
        return self._store

    @property
    def writer(self) -> ChangeWriter:
        """Return a writer that submits changes to the store."""
        return ChangeWriter(self.store, self.keys, clock=CLOCK)

    async def request_daemon(
        self,
        path: str,
        *,
        method: str = "GET",
        body: dict[str, Any] | None = None,
        not_found: str = "",
    ) -> Any:
        """Return the decoded JSON of the first daemon that responds to a request.

        Parameters
        ----------
        path
            Path on the daemon's admin address.
        method
            HTTP method.
        body
            Body, sent as JSON.
        not_found
            Message for the status 404, in place of the one that the daemon returns.

        Raises
        ------
        AlmondError
            ``peer_unavailable`` if no daemon responds, or not in JSON;
            ``protocol_mismatch`` for the status 404 if ``not_found`` is given; else
            the code of the error that the daemon returns.
        FindingsError
            If no address of a daemon is set.
        """
        _require_setting(self.settings, "daemon")
        if self._session is None:
            timeout = aiohttp.ClientTimeout(total=_DAEMON_TIMEOUT_S)
            self._session = aiohttp.ClientSession(timeout=timeout)
        failures = []
        for address in self.settings["daemon"]:
            url = f"http://{address}{path}"
            try:
                async with self._session.request(method, url, json=body) as response:
                    if response.status == HTTPStatus.NOT_FOUND and not_found:
                        raise AlmondError(
                            ErrorCode.PROTOCOL_MISMATCH, f"{address}: {not_found}"
                        )
                    return await _read_json(response)
            except (TimeoutError, aiohttp.ClientError) as error:
                failures.append(f"{address}: {error or 'timeout'}")
        raise AlmondError(ErrorCode.PEER_UNAVAILABLE, "; ".join(failures))

    async def close(self) -> None:
        """Close all connections."""
        if self._store is not None:
            await self._store.close()
        if self._session is not None:
            await self._session.close()


async def _read_json(response: aiohttp.ClientResponse) -> Any:
    try:
        data = await response.json(content_type=None)
    except ValueError:
        data = None
    if not isinstance(data, dict):
        message = f"HTTP status {response.status} without a JSON object"
        raise AlmondError(ErrorCode.PEER_UNAVAILABLE, message)
    if response.status < 400:
        return data
    code = ErrorCode(data.get("code", ErrorCode.PEER_UNAVAILABLE.value))
    raise AlmondError(code, data.get("message", f"HTTP status {response.status}"))


def _require_setting(settings: SettingValues, name: str) -> None:
    if not settings[name]:
        message = f"this command needs --{name}"
        finding = Finding(f"--{name}", ErrorCode.SETTING_MISSING, message)
        raise FindingsError([finding])
