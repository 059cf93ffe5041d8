"""Spreads changed host records and pulls those that were missed."""

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

# Changes that come together travel together.
PUSH_DELAY_SECONDS = 0.05
PUSH_JITTER_SECONDS = 0.05
# Differences are expected while a change spreads.
PULL_GRACE_SECONDS = 1.0
# Constant change must not put off a pull for ever.
MAX_PULL_GRACE_SECONDS = 5.0
PULL_JITTER_SECONDS = 0.5
PULL_TIMEOUT_SECONDS = 2.0
# A neighbour that lacks what this host has gives nothing; it pulls itself.
FRUITLESS_PULL_SECONDS = 4.0
MAX_PULLS = 2

Merge = Callable[[Iterable[HostRecord], str], list[HostRecord]]


class Dissemination:
    """Pushes changes along the overlay and repairs by pulls.

    Parameters
    ----------
    record
        Names the host, its data centre and region.
    merge
        Takes over records, passes them on if a source is given, and returns
        those that were new.
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
        self._quiet_until: dict[tuple[str, str], float] = {}
        self._pulling: set[str] = set()

    def queue(self, records: Iterable[HostRecord], *, source: str) -> None:
        """Push records with the next batch, but not back to their source."""
        for record in records:
            self._queue[record.host] = (record, source)
            self._queued.set()

    async def run(self) -> None:
        """Push batches until cancelled."""
        while True:
            await self._queued.wait()
            jitter = self._random.random() * PUSH_JITTER_SECONDS
            delay = PUSH_DELAY_SECONDS + jitter
            await self._clock.sleep_until(self._clock.monotonic() + delay)
            self.flush()

    def flush(self) -> None:
        """Push what is queued now."""
        self._queued.clear()
        queue, self._queue = self._queue, {}
        for index, target in enumerate(self._overlay.ring_neighbours):
            records = (
                record
                for record, source in queue.values()
                if self._goes_on(record, source, 2**index)
            )
            self._push(target, records)
        if self._overlay.rank == 0:
            for name in self._overlay.linked_data_centres:
                target = self._overlay.ranks(name)[0]
                records = (
                    record
                    for record, source in queue.values()
                    if source != target.host and self._brings(record, target)
                )
                self._push(target, records)

    def _push(self, target: HostRecord, records: Iterable[HostRecord]) -> None:
        records = [
            record
            for record in records
            if record.host != target.host or record.status >= HostStatus.SUSPECT
        ]
        if records:
            self._endpoint.send(target.control_address, _pack(records))

    def _goes_on(self, record: HostRecord, source: str, distance: int) -> bool:
        """Return whether a record goes on to the successor at a distance.

        A host that got a record over a link of some distance covers the arc of
        that length, so that each host gets one copy, and one more from its
        predecessor. Accusations are small and spread while hosts are missing:
        they take every link.
        """
        arc = self._overlay.distance_from(source)
        if arc is None or distance == 1 or record.status in _ACCUSED:
            return True
        return distance < arc

    def _brings(self, record: HostRecord, target: HostRecord) -> bool:
        """Return whether this data centre brings a record to another one.

        A data centre brings its own records to its region, and the region's
        first one exchanges those of whole regions. No record takes two ways.
        """
        own = self._record
        if target.region != own.region:
            return record.region == own.region
        if record.region != own.region:
            return self._overlay.crosses_regions
        return record.data_centre == own.data_centre

    def serve(self, request: RecordsRequest) -> Records:
        """Return what a pull asks for, and name what the asker has newer.

        Dead hosts that the other side does not know stay out, so that a host
        that was forgotten everywhere does not come back as a dead one.
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
            host for host, known in request.known.items() if self._lacks(host, known)
        )
        return Records(tuple(newer), wanted)

    def _lacks(self, host: str, known: tuple[int, int, int]) -> bool:
        record = self._registry.find(host)
        if record is None:
            return known[2] < HostStatus.DEAD
        return record.order_key() < make_order_key(*known)

    def unpack(self, message: Records, own: HostRecord) -> list[HostRecord]:
        """Return the records of a message, with those of its accusations.

        An accusation of a record that is not known here is left to repair.
        """
        records = list(message.records)
        for host, incarnation, sequence, status in message.accusations:
            known = own if host == own.host else self._registry.find(host)
            numbers = (incarnation, sequence)
            if known is not None and (known.incarnation, known.sequence) == numbers:
                records.append(msgspec.structs.replace(known, status=status))
        return records

    def compare(self, neighbour: HostRecord, digests: dict[str, int]) -> list[str]:
        """Return the data centres to pull from a neighbour with these digests."""
        now = self._clock.monotonic()
        own = self._registry.digests()
        self._note_changes(own, now)
        wanted = []
        for name in own.keys() | digests.keys():
            key = (neighbour.host, name)
            if own.get(name) == digests.get(name):
                self._differs_since.pop(key, None)
                self._quiet_until.pop(key, None)
            elif self._is_due(key, now):
                wanted.append(name)
        return sorted(wanted)

    async def pull(self, address: str, data_centre: str, *, source: str = "") -> bool:
        """Pull the records of a data centre; return whether it was answered.

        Raises nothing: a failed pull is repeated after a later heartbeat.

        Parameters
        ----------
        data_centre
            Empty for all.
        source
            Host that the records come from; if given, they are passed on.
        """
        if len(self._pulling) >= MAX_PULLS or data_centre in self._pulling:
            return False
        self._pulling.add(data_centre)
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
            self._pulling.discard(data_centre)
        if not isinstance(reply, Records):
            return False
        self._merge(reply.records, source)
        found = (self._registry.find(host) for host in reply.wanted)
        wanted = tuple(record for record in found if record is not None)
        if wanted:
            self._endpoint.send(address, Records(wanted))
        return True

    async def pull_differences(self, neighbour: HostRecord, names: list[str]) -> None:
        """Pull data centres from a neighbour after a random delay."""
        before = self._registry.digests()
        delay = self._random.random() * PULL_JITTER_SECONDS
        await self._clock.sleep_until(self._clock.monotonic() + delay)
        # What a daemon repairs inside its data centre its neighbours repair for
        # themselves; what a delegate brings from outside is passed on.
        outside = neighbour.data_centre != self._record.data_centre
        source = neighbour.host if outside else ""
        for name in names:
            digest = self._registry.digests().get(name)
            if digest != before.get(name):
                continue
            await self.pull(neighbour.control_address, name, source=source)
            if self._registry.digests().get(name) == digest:
                quiet = self._clock.monotonic() + FRUITLESS_PULL_SECONDS
                self._quiet_until[(neighbour.host, name)] = quiet

    def forget(self, host: str) -> None:
        """Drop what is known of a neighbour that is gone."""
        for table in (self._differs_since, self._quiet_until):
            for key in [key for key in table if key[0] == host]:
                del table[key]

    def _note_changes(self, own: dict[str, int], now: float) -> None:
        for name, digest in own.items():
            if self._digests.get(name) != digest:
                self._changed_at[name] = now
        self._digests = own

    def _is_due(self, key: tuple[str, str], now: float) -> bool:
        since = self._differs_since.setdefault(key, now)
        if now < self._quiet_until.get(key, 0.0):
            return False
        settled = now - self._changed_at.get(key[1], 0.0) >= PULL_GRACE_SECONDS
        waited = now - since
        return (
            waited >= PULL_GRACE_SECONDS and settled
        ) or waited >= MAX_PULL_GRACE_SECONDS


def _pack(records: list[HostRecord]) -> Records:
    accused = [r for r in records if r.status in _ACCUSED]
    return Records(
        tuple(r for r in records if r.status not in _ACCUSED),
        accusations=tuple(
            (r.host, r.incarnation, r.sequence, r.status) for r in accused
        ),
    )


_ACCUSED = (HostStatus.SUSPECT, HostStatus.DEAD)
