"""Pulls of newer configurations from peers, and the answers to them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from almondrouter.clock import Clock
from almondrouter.coordination.activation import EMPTY_HEAD, Activation
from almondrouter.errors import AlmondError
from almondrouter.protocol.control import (
    ConfigurationReply,
    ConfigurationRequest,
    Head,
)
from almondrouter.state.registry import HostRecord
from almondrouter.transport.control import ControlEndpoint

# A silent link costs this long before the next source is asked.
PULL_TIMEOUT_S = 1.0
# A lost message is repeated soon; a source that stays silent is dropped until
# its next heartbeat.
SILENT_REST_S = 0.3
MAX_SILENT_PULLS = 3
# Heartbeats offer a source every second; asking for a bad document each time
# would cost its whole size.
REFUSED_REST_S = 30.0


@dataclass(frozen=True, slots=True)
class _Source:
    """A peer that has a newer configuration."""

    record: HostRecord
    head: Head
    not_before: float
    silent_pulls: int = 0


class ConfigurationPuller:
    """Fetches newer configurations, one pull at a time.

    Parameters
    ----------
    record
        This daemon.
    activation
        Takes what is fetched.
    endpoint
        Control links to peers.
    clock
        Clock of the not-before times and deadlines.
    """

    def __init__(
        self,
        *,
        record: HostRecord,
        activation: Activation,
        endpoint: ControlEndpoint,
        clock: Clock,
    ) -> None:
        self._record = record
        self._activation = activation
        self._endpoint = endpoint
        self._clock = clock
        self._sources: dict[str, _Source] = {}
        self._resting: dict[str, float] = {}
        self._wake = asyncio.Event()
        self._progress = asyncio.Event()
        self.pulls = 0
        activation.add_listener(lambda _: self._progress.set())

    def offer(self, record: HostRecord, head: Head, *, delay: float = 0.0) -> None:
        """Note that a peer has a configuration.

        Parameters
        ----------
        delay
            Seconds to wait in case a nearer source has it first.
        """
        if head.version <= self._activation.head().version:
            return
        now = self._clock.monotonic()
        not_before = max(now + delay, self._resting.get(record.host, 0.0))
        known = self._sources.get(record.host)
        silent_pulls = 0
        if known is not None:
            not_before = min(not_before, max(known.not_before, now))
            silent_pulls = known.silent_pulls
        self._sources[record.host] = _Source(record, head, not_before, silent_pulls)
        self._wake.set()

    async def run(self) -> None:
        """Pull from the sources that are due until cancelled."""
        while True:
            source = self._choose()
            if source is None:
                await self._wait_for_source()
            else:
                await self._pull(source)

    async def _pull(self, source: _Source) -> None:
        host = source.record.host
        reply = await self.ask(source.record)
        # A peer that has restarted may have less than it announced before.
        self._sources.pop(host, None)
        now = self._clock.monotonic()
        silent_pulls = source.silent_pulls + 1
        if reply is None and silent_pulls < MAX_SILENT_PULLS:
            self._sources[host] = _Source(
                source.record, source.head, now + SILENT_REST_S, silent_pulls
            )
        elif reply is not None and self._is_behind(reply.head):
            self._resting[host] = now + REFUSED_REST_S

    async def ask(
        self, record: HostRecord, *, with_members: bool = False
    ) -> ConfigurationReply | None:
        """Ask a peer for what it has and put that in force.

        Returns
        -------
        ConfigurationReply or None
            None if the peer did not reply.
        """
        reply = await self._request(record, self._activation.head(), with_members)
        if reply is None or not self._is_behind(reply.head):
            return reply
        if not self._apply(reply) and reply.document is None:
            # A bad record need not mean a bad document.
            whole = await self._request(record, EMPTY_HEAD, with_members)
            if whole is not None:
                self._apply(whole)
        return reply

    async def wait_for(self, head: Head, *, deadline: float) -> bool:
        """Wait until a version at least as new as ``head`` is in force."""
        while self._is_behind(head):
            left = deadline - self._clock.monotonic()
            self._progress.clear()
            if left <= 0 or not await _wait(self._progress, left):
                return not self._is_behind(head)
        return True

    def answer(
        self, request: ConfigurationRequest, members: tuple[str, ...]
    ) -> ConfigurationReply:
        """Return the records or the document that the asker lacks."""
        head = self._activation.head()
        listed = members if request.with_members else ()
        if request.head.version >= head.version:
            return ConfigurationReply(head, members=listed)
        records = self._activation.find_records(request.head)
        if records is not None:
            return ConfigurationReply(head, records=records, members=listed)
        document = self._activation.document()
        return ConfigurationReply(head, document=document, members=listed)

    def _is_behind(self, head: Head) -> bool:
        return self._activation.head().version < head.version

    async def _request(
        self, record: HostRecord, head: Head, with_members: bool
    ) -> ConfigurationReply | None:
        self.pulls += 1
        deadline = self._clock.monotonic() + PULL_TIMEOUT_S
        request = ConfigurationRequest(head, with_members)
        address = record.control_address
        try:
            reply = await self._endpoint.request(address, request, deadline=deadline)
        except AlmondError:
            return None
        return reply if isinstance(reply, ConfigurationReply) else None

    def _apply(self, reply: ConfigurationReply) -> bool:
        if reply.document is None:
            return self._activation.activate_records(reply.records)
        digest = reply.head.digest
        return self._activation.activate_document(reply.document, digest=digest)

    def _choose(self) -> _Source | None:
        """Return the newest due source, the nearest of equals."""
        now = self._clock.monotonic()
        self._resting = {h: until for h, until in self._resting.items() if until > now}
        for host, source in list(self._sources.items()):
            if not self._is_behind(source.head):
                del self._sources[host]
        due = [s for s in self._sources.values() if s.not_before <= now]
        return max(due, key=self._rate, default=None)

    def _rate(self, source: _Source) -> tuple[int, bool, bool]:
        record = source.record
        return (
            source.head.version,
            record.data_centre == self._record.data_centre,
            record.region == self._record.region,
        )

    async def _wait_for_source(self) -> None:
        self._wake.clear()
        times = [source.not_before for source in self._sources.values()]
        if times:
            await _wait(self._wake, max(min(times) - self._clock.monotonic(), 0.001))
        else:
            await self._wake.wait()


async def _wait(event: asyncio.Event, seconds: float) -> bool:
    # In Python 3.11 wait_for loses a cancellation that meets its result.
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
