"""Status of the fleet, collected through one delegate per data centre."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from functools import partial

from almondrouter.clock import Clock
from almondrouter.coordination.delegates import rank_hosts
from almondrouter.errors import AlmondError
from almondrouter.protocol.control import (
    ControlMessage,
    FleetReply,
    FleetRequest,
    StatusReply,
    StatusRequest,
)
from almondrouter.state.registry import HostRecord, Registry
from almondrouter.transport.control import ControlEndpoint

HOST_TIMEOUT_S = 1.0
# Longer, because the delegate first requests the status of its data centre's hosts.
DELEGATE_TIMEOUT_S = 2.5
MAX_CONCURRENT_REQUESTS = 16
# Seconds within which the last request of a data centre is sent. With HOST_TIMEOUT_S it
# stays below DELEGATE_TIMEOUT_S, however many hosts do not respond.
SENDING_TIME_S = 1.0


@dataclass(frozen=True, slots=True)
class DataCentreStatus:
    """Status of the daemons of one data centre.

    Parameters
    ----------
    replies
        Status of each daemon that responded.
    silent
        Hosts that did not respond, or whose delegates did not.
    """

    data_centre: str
    replies: tuple[StatusReply, ...]
    silent: tuple[str, ...]


class FleetStatus:
    """Collects the status of all daemons.

    Requests the status from the daemons of the own data centre and from one delegate
    of each other data centre, to keep the connections and traffic between data
    centres low. A daemon that had a version in force is not asked for it again,
    because versions never decrease.

    Parameters
    ----------
    host, data_centre
        Names of this host and of its data centre.
    status
        Returns the status of this daemon.
    """

    def __init__(
        self,
        *,
        host: str,
        data_centre: str,
        registry: Registry,
        endpoint: ControlEndpoint,
        clock: Clock,
        status: Callable[[], StatusReply],
    ) -> None:
        self._host = host
        self._data_centre = data_centre
        self._registry = registry
        self._endpoint = endpoint
        self._clock = clock
        self._status = status
        self._cached_replies: dict[str, StatusReply] = {}
        endpoint.set_handler(FleetRequest, self._answer_fleet_request)

    async def collect(self, version: int) -> list[DataCentreStatus]:
        """Return the status of every data centre.

        Parameters
        ----------
        version
            Daemons known to have this version or a newer one in force are not asked
            again; pass a version that does not exist yet to ask all.
        """
        names = sorted({record.data_centre for record in self._registry})
        collected = (self._collect_data_centre(name, version) for name in names)
        return list(await asyncio.gather(*collected))

    async def _collect_data_centre(self, name: str, version: int) -> DataCentreStatus:
        if name == self._data_centre:
            return await self._collect_own_data_centre(version)
        request = FleetRequest(version)
        for record in rank_hosts(self._registry, name)[:2]:
            deadline = self._clock.monotonic() + DELEGATE_TIMEOUT_S
            try:
                reply = await self._endpoint.request(
                    record.control_address, request, deadline=deadline
                )
            except AlmondError:
                continue
            if isinstance(reply, FleetReply):
                return DataCentreStatus(name, reply.replies, reply.silent)
        live = _list_live(self._registry.list_data_centre(name))
        return DataCentreStatus(name, (), tuple(record.host for record in live))

    async def _collect_own_data_centre(self, version: int) -> DataCentreStatus:
        records = _list_live(self._registry.list_data_centre(self._data_centre))
        slots = _RequestSlots(len(records))
        requests = [self._request_status(record, version, slots) for record in records]
        replies = await asyncio.gather(*requests)
        pairs = list(zip(records, replies, strict=True))
        return DataCentreStatus(
            self._data_centre,
            tuple(reply for _, reply in pairs if reply is not None),
            tuple(record.host for record, reply in pairs if reply is None),
        )

    async def _request_status(
        self, record: HostRecord, version: int, slots: _RequestSlots
    ) -> StatusReply | None:
        if record.host == self._host:
            return self._status()
        cached = self._cached_replies.get(record.host)
        if cached is not None and _is_still_valid(cached, record, version):
            return cached
        reply = await slots.run(partial(self._query_host, record))
        if reply is not None:
            self._cached_replies[record.host] = reply
        return reply

    async def _query_host(self, record: HostRecord) -> StatusReply | None:
        deadline = self._clock.monotonic() + HOST_TIMEOUT_S
        try:
            reply = await self._endpoint.request(
                record.control_address, StatusRequest(), deadline=deadline
            )
        except AlmondError:
            return None
        return reply if isinstance(reply, StatusReply) else None

    async def _answer_fleet_request(
        self, message: ControlMessage, sender: str
    ) -> FleetReply:
        status = await self._collect_own_data_centre(message.version)
        return FleetReply(status.replies, status.silent)


class _RequestSlots:
    """Limits the concurrent requests of one collection, and how long one delays others.

    A request that gets no reply gives its slot back early, so that hosts that do not
    respond cannot delay the last request by more than ``SENDING_TIME_S``.

    Parameters
    ----------
    count
        Number of requests in the collection.
    """

    def __init__(self, count: int) -> None:
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)
        rounds = max(1, math.ceil(count / MAX_CONCURRENT_REQUESTS))
        self._max_hold_s = SENDING_TIME_S / rounds

    async def run(
        self, query: Callable[[], Coroutine[None, None, StatusReply | None]]
    ) -> StatusReply | None:
        """Query a host as soon as a slot is free; return its reply."""
        async with self._slots:
            task = asyncio.create_task(query())
            try:
                await asyncio.wait((task,), timeout=self._max_hold_s)
            except asyncio.CancelledError:
                task.cancel()
                raise
        return await task


def _is_still_valid(cached: StatusReply, record: HostRecord, version: int) -> bool:
    return (
        cached.ready
        and cached.incarnation == record.incarnation
        and cached.head.version >= version
    )


def _list_live(records: Iterable[HostRecord]) -> list[HostRecord]:
    return [record for record in records if record.takes_calls]
