"""Pushes changed host records through the overlay and pulls missed ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

import msgspec

from almondrouter.clock import Clock
from almondrouter.coordination.delegates import Overlay
from almondrouter.errors import AlmondError
from almondrouter.protocol.control import Records, RecordsRequest
from almondrouter.state.registry import (
    HostRecord,
    HostStatus,
    Registry,
    make_order_key,
)
from almondrouter.transport.control import ControlEndpoint

# Batches changes that occur at about the same time.
PUSH_DELAY_SECONDS = 0.05
PUSH_JITTER_SECONDS = 0.05
# Digests differ while a change is being pushed; a pull would be wasted then.
PULL_GRACE_SECONDS = 1.0
# Continuous changes must not postpone a pull indefinitely.
MAX_PULL_GRACE_SECONDS = 5.0
PULL_JITTER_SECONDS = 0.5
PULL_TIMEOUT_SECONDS = 2.0
# Delay after a pull that brought nothing new. The neighbour lacks records that this
# host has and pulls them itself.
EMPTY_PULL_BACKOFF_SECONDS = 4.0
MAX_CONCURRENT_PULLS = 2

Merge = Callable[[Iterable[HostRecord], str], list[HostRecord]]


class Dissemination:
    """Pushes changed records along the overlay and pulls records that were missed.

    Parameters
    ----------
    record
        Record of this host.
    merge
        Merges records into the registry, forwards them if a source is given, and
        returns those that were new.
    """

    def __init__(
        self,
        *,
        record: HostRecord,
        endpoint: ControlEndpoint,
        registry: Registry,
        overlay: Overlay,
        clock: Clock,
        merge: Merge,
        random: Random,
    ) -> None:
        self._record = record
        self._endpoint = endpoint
        self._registry = registry
        self._overlay = overlay
        self._clock = clock
        self._merge = merge
        self._random = random
        self._queue: dict[str, tuple[HostRecord, str]] = {}
        self._queued = asyncio.Event()
        self._digests: dict[str, int] = {}
        self._changed_at: dict[str, float] = {}
        self._differs_since: dict[tuple[str, str], float] = {}
        self._pull_allowed_at: dict[tuple[str, str], float] = {}
        self._pulls_in_progress: set[str] = set()

    def queue_records(self, records: Iterable[HostRecord], *, source: str) -> None:
        """Add records to the next batch; they are not sent back to their source."""
        for record in records:
            self._queue[record.host] = (record, source)
            self._queued.set()

    async def run(self) -> None:
        """Push the queued records in batches until cancelled."""
        while True:
            await self._queued.wait()
            jitter = self._random.random() * PUSH_JITTER_SECONDS
            delay = PUSH_DELAY_SECONDS + jitter
            await self._clock.sleep_until(self._clock.monotonic() + delay)
            self.flush()

    def flush(self) -> None:
        """Push the queued records now."""
        self._queued.clear()
        queue, self._queue = self._queue, {}
        for index, target in enumerate(self._overlay.ring_neighbours):
            records = (
                record
                for record, source in queue.values()
                if self._forwards_on_ring(record, source, 2**index)
            )
            self._push_records(target, records)
        if self._overlay.rank == 0:
            for name in self._overlay.linked_data_centres:
                target = self._overlay.ranked_hosts(name)[0]
                records = (
                    record
                    for record, source in queue.values()
                    if source != target.host
                    and self._forwards_to_data_centre(record, target)
                )
                self._push_records(target, records)

    def _push_records(self, target: HostRecord, records: Iterable[HostRecord]) -> None:
        records = [
            record
            for record in records
            if record.host != target.host or record.status >= HostStatus.SUSPECT
        ]
        if records:
            self._endpoint.send(target.control_address, _make_message(records))

    def _forwards_on_ring(self, record: HostRecord, source: str, distance: int) -> bool:
        """Return whether to forward a record to the successor at a distance.

        A host that received a record over a link of some distance forwards it to
        the hosts within that distance, so that each host gets one copy and another
        one from its predecessor. Reports of failures are small and spread while
        hosts are missing, so they are forwarded over every link.
        """
        source_distance = self._overlay.distance_from(source)
        if (
            source_distance is None
            or distance == 1
            or record.status in _FAILURE_STATUSES
        ):
            return True
        return distance < source_distance

    def _forwards_to_data_centre(self, record: HostRecord, target: HostRecord) -> bool:
        """Return whether this data centre forwards a record to that of ``target``.

        A data centre sends its own records to its region; the first data centre of
        a region exchanges the records of the region with other regions. Each record
        reaches a data centre by one path only.
        """
        own = self._record
        if target.region != own.region:
            return record.region == own.region
        if record.region != own.region:
            return self._overlay.crosses_regions
        return record.data_centre == own.data_centre

    def answer_pull(self, request: RecordsRequest) -> Records:
        """Return the records that are newer here than those that a pull lists.

        The reply also names the hosts of which the puller has newer records. Dead hosts
        that the puller does not know are left out, so that a host that was removed
        everywhere does not return as a dead one.
        """
        newer = []
        for record in self._registry:
            if request.data_centre not in ("", record.data_centre):
                continue
            known = request.known.get(record.host)
            if known is None:
                if record.status < HostStatus.DEAD:
                    newer.append(record)
            elif record.order_key() > make_order_key(*known):
                newer.append(record)
        wanted = tuple(
            host
            for host, known in request.known.items()
            if self._is_older_here(host, known)
        )
        return Records(tuple(newer), wanted)

    def _is_older_here(self, host: str, known: tuple[int, int, int]) -> bool:
        record = self._registry.find(host)
        if record is None:
            return known[2] < HostStatus.DEAD
        return record.order_key() < make_order_key(*known)

    def expand_records(self, message: Records, own: HostRecord) -> list[HostRecord]:
        """Return the records of a message, including those of its accusations.

        An accusation reports the status of a failed host, with the incarnation and
        sequence of the record that it applies to. It is ignored if this host does not
        have that record; a later pull transfers the whole record.
        """
        records = list(message.records)
        for host, incarnation, sequence, status in message.accusations:
            known = own if host == own.host else self._registry.find(host)
            numbers = (incarnation, sequence)
            if known is not None and (known.incarnation, known.sequence) == numbers:
                records.append(msgspec.structs.replace(known, status=status))
        return records

    def find_differences(
        self, neighbour: HostRecord, digests: dict[str, int]
    ) -> list[str]:
        """Return the data centres to pull from a neighbour, given its digests."""
        now = self._clock.monotonic()
        own = self._registry.digests()
        self._record_digest_changes(own, now)
        wanted = []
        for name in own.keys() | digests.keys():
            key = (neighbour.host, name)
            if own.get(name) == digests.get(name):
                self._differs_since.pop(key, None)
                self._pull_allowed_at.pop(key, None)
            elif self._is_pull_due(key, now):
                wanted.append(name)
        return sorted(wanted)

    async def pull(self, address: str, data_centre: str, *, source: str = "") -> bool:
        """Pull the records of a data centre; return whether the pull succeeded.

        Raises nothing: a failed pull is repeated after a later heartbeat.

        Parameters
        ----------
        address
            Control address of the daemon to pull from.
        data_centre
            Data centre to pull; empty for all.
        source
            Host that the records come from; if given, they are forwarded.
        """
        if (
            len(self._pulls_in_progress) >= MAX_CONCURRENT_PULLS
            or data_centre in self._pulls_in_progress
        ):
            return False
        self._pulls_in_progress.add(data_centre)
        try:
            known = {
                record.host: (record.incarnation, record.sequence, int(record.status))
                for record in self._registry
                if data_centre in ("", record.data_centre)
            }
            deadline = self._clock.monotonic() + PULL_TIMEOUT_SECONDS
            reply = await self._endpoint.request(
                address, RecordsRequest(data_centre, known), deadline=deadline
            )
        except AlmondError:
            return False
        finally:
            self._pulls_in_progress.discard(data_centre)
        if not isinstance(reply, Records):
            return False
        self._merge(reply.records, source)
        found = (self._registry.find(host) for host in reply.wanted)
        wanted = tuple(record for record in found if record is not None)
        if wanted:
            self._endpoint.send(address, Records(wanted))
        return True

    async def pull_differences(
        self, neighbour: HostRecord, data_centres: list[str]
    ) -> None:
        """Pull data centres from a neighbour after a random delay.

        Data centres whose digest changes during the delay are skipped.
        """
        before = self._registry.digests()
        delay = self._random.random() * PULL_JITTER_SECONDS
        await self._clock.sleep_until(self._clock.monotonic() + delay)
        # Records pulled inside the data centre are not forwarded, because the other
        # hosts pull them too; only delegates pull from outside, so they forward.
        outside = neighbour.data_centre != self._record.data_centre
        source = neighbour.host if outside else ""
        for name in data_centres:
            digest = self._registry.digests().get(name)
            if digest != before.get(name):
                continue
            await self.pull(neighbour.control_address, name, source=source)
            if self._registry.digests().get(name) == digest:
                allowed_at = self._clock.monotonic() + EMPTY_PULL_BACKOFF_SECONDS
                self._pull_allowed_at[(neighbour.host, name)] = allowed_at

    def drop_neighbour(self, host: str) -> None:
        """Drop the pull state of a neighbour that is dead or has left."""
        for table in (self._differs_since, self._pull_allowed_at):
            for key in [key for key in table if key[0] == host]:
                del table[key]

    def _record_digest_changes(self, own: dict[str, int], now: float) -> None:
        for name, digest in own.items():
            if self._digests.get(name) != digest:
                self._changed_at[name] = now
        self._digests = own

    def _is_pull_due(self, key: tuple[str, str], now: float) -> bool:
        since = self._differs_since.setdefault(key, now)
        if now < self._pull_allowed_at.get(key, 0.0):
            return False
        unchanged = now - self._changed_at.get(key[1], 0.0) >= PULL_GRACE_SECONDS
        waited = now - since
        return (
            waited >= PULL_GRACE_SECONDS and unchanged
        ) or waited >= MAX_PULL_GRACE_SECONDS


def _make_message(records: list[HostRecord]) -> Records:
    accused = [r for r in records if r.status in _FAILURE_STATUSES]
    return Records(
        tuple(r for r in records if r.status not in _FAILURE_STATUSES),
        accusations=tuple(
            (r.host, r.incarnation, r.sequence, r.status) for r in accused
        ),
    )


_FAILURE_STATUSES = (HostStatus.SUSPECT, HostStatus.DEAD)
