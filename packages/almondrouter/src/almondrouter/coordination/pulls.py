"""Pulls newer configurations from peers and answers the pulls of peers."""

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

# Time until a pull that gets no reply is given up and the next source is tried.
PULL_TIMEOUT_S = 1.0
# A lost message is retried soon. A source that leaves several pulls unanswered is
# removed until its next heartbeat adds it again.
PULL_RETRY_DELAY_S = 0.3
MAX_UNANSWERED_PULLS = 3
# Backoff for a source whose configuration was refused. Its heartbeats add it again
# every second, and each pull would transfer the complete invalid document.
REFUSED_BACKOFF_S = 30.0


@dataclass(frozen=True, slots=True)
class _Source:
    """A peer that has a newer configuration, and when to pull from it."""

    record: HostRecord
    head: Head
    not_before: float
    unanswered_pulls: int = 0


class ConfigurationPuller:
    """Fetches newer configurations from peers, one pull at a time.

    Parameters
    ----------
    record
        Host record of this daemon.
    activation
        Puts fetched configurations in force.
    endpoint
        Control links to peers.
    clock
        Source of monotonic time.

    Notes
    -----
    ``pulls`` counts the requests sent.
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
        self._backoff_until: dict[str, float] = {}
        self._source_added = asyncio.Event()
        self._activated = asyncio.Event()
        self.pulls = 0
        activation.add_listener(lambda _: self._activated.set())

    def add_source(self, record: HostRecord, head: Head, *, delay: float = 0.0) -> None:
        """Schedule a pull from a peer if its configuration is newer.

        Parameters
        ----------
        record, head
            The peer, and the version and digest that it has.
        delay
            Seconds to wait before the pull, in case a nearer source gets the
            version first.
        """
        if head.version <= self._activation.head().version:
            return
        now = self._clock.monotonic()
        not_before = max(now + delay, self._backoff_until.get(record.host, 0.0))
        known = self._sources.get(record.host)
        unanswered_pulls = 0
        if known is not None:
            not_before = min(not_before, max(known.not_before, now))
            unanswered_pulls = known.unanswered_pulls
        self._sources[record.host] = _Source(record, head, not_before, unanswered_pulls)
        self._source_added.set()

    async def run(self) -> None:
        """Pull from each source when it is due, until cancelled."""
        while True:
            source = self._choose_source()
            if source is None:
                await self._wait_for_source()
            else:
                await self._pull_from(source)

    async def _pull_from(self, source: _Source) -> None:
        host = source.record.host
        reply = await self.fetch(source.record)
        # Removed even after a reply: a peer that has restarted may have an older
        # version than it announced before.
        self._sources.pop(host, None)
        now = self._clock.monotonic()
        unanswered_pulls = source.unanswered_pulls + 1
        if reply is None and unanswered_pulls < MAX_UNANSWERED_PULLS:
            self._sources[host] = _Source(
                source.record, source.head, now + PULL_RETRY_DELAY_S, unanswered_pulls
            )
        elif reply is not None and self._is_newer(reply.head):
            self._backoff_until[host] = now + REFUSED_BACKOFF_S

    async def fetch(
        self, record: HostRecord, *, with_members: bool = False
    ) -> ConfigurationReply | None:
        """Request a peer's configuration and put it in force if it is newer.

        Parameters
        ----------
        with_members
            Whether to request the peer's list of data centre members too.

        Returns
        -------
        ConfigurationReply or None
            The peer's reply; None if it did not reply in time.
        """
        reply = await self._request_configuration(
            record, self._activation.head(), with_members
        )
        if reply is None or not self._is_newer(reply.head):
            return reply
        if not self._apply_reply(reply) and reply.document is None:
            # The document may be valid although a change record is not.
            document_reply = await self._request_configuration(
                record, EMPTY_HEAD, with_members
            )
            if document_reply is not None:
                self._apply_reply(document_reply)
        return reply

    async def wait_for(self, head: Head, *, deadline: float) -> bool:
        """Wait until a version at least as new as ``head`` is in force.

        Returns
        -------
        bool
            False if none was in force by ``deadline``, in monotonic seconds.
        """
        while self._is_newer(head):
            left = deadline - self._clock.monotonic()
            self._activated.clear()
            if left <= 0 or not await _wait_for_event(self._activated, left):
                return not self._is_newer(head)
        return True

    def make_reply(
        self, request: ConfigurationRequest, members: tuple[str, ...]
    ) -> ConfigurationReply:
        """Return a reply with the records or the document that the requester lacks.

        Parameters
        ----------
        members
            Live hosts of this data centre, included if the request asks for them.
        """
        head = self._activation.head()
        listed = members if request.with_members else ()
        if request.head.version >= head.version:
            return ConfigurationReply(head, members=listed)
        records = self._activation.find_records(request.head)
        if records is not None:
            return ConfigurationReply(head, records=records, members=listed)
        document = self._activation.document()
        return ConfigurationReply(head, document=document, members=listed)

    def _is_newer(self, head: Head) -> bool:
        return self._activation.head().version < head.version

    async def _request_configuration(
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

    def _apply_reply(self, reply: ConfigurationReply) -> bool:
        if reply.document is None:
            return self._activation.activate_records(reply.records)
        digest = reply.head.digest
        return self._activation.activate_document(reply.document, digest=digest)

    def _choose_source(self) -> _Source | None:
        """Return the due source with the newest version, preferring the nearest."""
        now = self._clock.monotonic()
        self._backoff_until = {
            h: until for h, until in self._backoff_until.items() if until > now
        }
        for host, source in list(self._sources.items()):
            if not self._is_newer(source.head):
                del self._sources[host]
        due = [s for s in self._sources.values() if s.not_before <= now]
        return max(due, key=self._rank_source, default=None)

    def _rank_source(self, source: _Source) -> tuple[int, bool, bool]:
        record = source.record
        return (
            source.head.version,
            record.data_centre == self._record.data_centre,
            record.region == self._record.region,
        )

    async def _wait_for_source(self) -> None:
        self._source_added.clear()
        times = [source.not_before for source in self._sources.values()]
        if times:
            await _wait_for_event(
                self._source_added, max(min(times) - self._clock.monotonic(), 0.001)
            )
        else:
            await self._source_added.wait()


async def _wait_for_event(event: asyncio.Event, seconds: float) -> bool:
    # asyncio.wait_for of Python 3.11 can swallow a cancellation that arrives at the
    # same time as the result.
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return False
    return True
