"""Membership: the live daemons, their addresses and their backend servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Sequence
from random import Random
from typing import Any

import logbook
import msgspec

from almondrouter.clock import Clock
from almondrouter.coordination.delegates import Overlay
from almondrouter.coordination.dissemination import Dissemination
from almondrouter.coordination.joining import Joining
from almondrouter.coordination.liveness import FailureDetector
from almondrouter.coordination.reachability import Reachability
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import (
    Accepted,
    ControlMessage,
    Head,
    Heartbeat,
    HeartbeatReply,
    Records,
    RecordsRequest,
)
from almondrouter.state.registry import (
    BackendRecord,
    HostRecord,
    HostStatus,
    Registry,
)
from almondrouter.transport.control import ControlEndpoint

HEARTBEAT_INTERVAL_SECONDS = 1.0
# Shorter than the interval, so that a miss is counted before the next heartbeat.
HEARTBEAT_TIMEOUT_SECONDS = 0.8
# Heartbeats between data centres are less frequent, because traffic between data
# centres costs more than inside one.
DELEGATE_HEARTBEAT_INTERVAL_SECONDS = 2.0
# A timer that fires this late means that the process was frozen.
FREEZE_THRESHOLD_SECONDS = 2.0
# Mean interval between probes of hosts that may be reachable again.
PROBE_INTERVAL_SECONDS = 5.0
# Two daemons with the same host name would otherwise supersede each other endlessly.
MIN_INCARNATION_INTERVAL_SECONDS = 1.0
# Bounds the traffic of many joining hosts: a pull of a data centre of 97 hosts
# transfers about 15 KB. Hosts whose pull is refused retry.
MAX_PULLS_SERVED_PER_SECOND = 16
# Far longer than partitions between regions, which last minutes: a data centre that
# was cut off must not reintroduce a host that the others have removed.
GONE_HOST_RETENTION_SECONDS = 3600.0

ChangeListener = Callable[[list[HostRecord]], None]
HeadListener = Callable[[HostRecord, Head], None]

_logger = logbook.Logger("almondrouter.membership")


class Membership:
    """Keeps the registry up to date by heartbeats and exchanged host records.

    Parameters
    ----------
    record
        Initial own record; its sequence and incarnation are raised from there.
    endpoint
        Control endpoint, started and closed by the caller.
    registry
        Receives the records.
    clock
        Source of monotonic time.
    seeds
        Control addresses of daemons to join through.
    head
        Returns the head of the configuration in force on this daemon.
    random
        Source of jitter.
    """

    def __init__(
        self,
        *,
        record: HostRecord,
        endpoint: ControlEndpoint,
        registry: Registry,
        clock: Clock,
        seeds: Sequence[str],
        head: Callable[[], Head],
        random: Random | None = None,
    ) -> None:
        self.record = record
        self._endpoint = endpoint
        self._registry = registry
        self._clock = clock
        self._head = head
        self._random = random or Random()
        self._reachability = Reachability(registry, record, clock)
        self.overlay = Overlay(
            registry, record, find_unreachable=self._reachability.find_unreachable
        )
        self._detector = FailureDetector(clock)
        self._dissemination = Dissemination(
            record=record,
            endpoint=endpoint,
            registry=registry,
            overlay=self.overlay,
            clock=clock,
            merge=self._merge_records,
            random=self._random,
        )
        self._joining = Joining(
            record=record,
            registry=registry,
            dissemination=self._dissemination,
            clock=clock,
            seeds=seeds,
            random=self._random,
        )
        self._change_listeners: list[ChangeListener] = []
        self._head_listeners: list[HeadListener] = []
        self._resume_listeners: list[Callable[[], None]] = []
        self._gone_since: dict[str, float] = {}
        self._next_delegate_heartbeat = 0.0
        self._next_probe = clock.monotonic() + PROBE_INTERVAL_SECONDS
        self._incarnation_allowed_at = 0.0
        self._pull_window_start = 0.0
        self._pulls_served = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def joined(self) -> bool:
        """Whether another daemon is known, or every seed has answered."""
        return self._joining.joined

    @property
    def discovery_done(self) -> bool:
        """Whether the discovery of peers is complete.

        True once another live host of the data centre is known or every seed has
        answered.
        """
        return self._joining.discovery_done

    async def start(self) -> None:
        """Start answering messages, sending heartbeats and joining through seeds."""
        self._endpoint.set_handler(Heartbeat, self._answer_heartbeat)
        self._endpoint.set_handler(Records, self._receive_records)
        self._endpoint.set_handler(RecordsRequest, self._serve_records)
        self._registry.merge([self.record])
        self._start_task(self._run_heartbeats())
        self._start_task(self._joining.run())
        self._start_task(self._dissemination.run())

    async def leave(self) -> None:
        """Announce that this daemon accepts no new calls and will leave."""
        if self.record.status is HostStatus.ALIVE:
            self._update_own_record(status=HostStatus.LEAVING)
            self._dissemination.flush()

    async def close(self) -> None:
        """Stop all tasks; after `leave`, first announce that this daemon has left."""
        if self.record.status is HostStatus.LEAVING:
            self._update_own_record(status=HostStatus.LEFT)
            await self._announce_departure()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_backends(self, backends: tuple[BackendRecord, ...]) -> None:
        """Set the backend servers in the own record and publish it."""
        if backends != self.record.backends:
            self._update_own_record(backends=backends)

    def update_store_down(self, store_down: bool) -> None:
        """Set in the own record whether the store is unreachable, and publish it."""
        if store_down != self.record.store_down:
            self._update_own_record(store_down=store_down)

    def push_targets(self) -> tuple[HostRecord, ...]:
        """Return the overlay neighbours that changes are pushed to."""
        return self.overlay.ring_neighbours + self.overlay.delegate_links

    def live_hosts(self, data_centre: str) -> tuple[HostRecord, ...]:
        """Return the hosts of a data centre that are neither dead nor left."""
        records = self._registry.list_data_centre(data_centre)
        return tuple(r for r in records if r.status < HostStatus.DEAD)

    def unreachable_data_centres(self) -> frozenset[str]:
        """Return the known data centres that no chain of delegates reaches."""
        return self._reachability.find_unreachable()

    def add_change_listener(self, listener: ChangeListener) -> None:
        """Call ``listener`` with the records of each merge that were accepted."""
        self._change_listeners.append(listener)

    def add_head_listener(self, listener: HeadListener) -> None:
        """Call ``listener`` with the sender and head of each heartbeat or reply."""
        self._head_listeners.append(listener)

    def add_resume_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when this process continues after it was frozen."""
        self._resume_listeners.append(listener)

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Join through more addresses, such as those kept in the store."""
        self._joining.add_seeds(addresses)

    # Loops

    async def _run_heartbeats(self) -> None:
        # Daemons that start together must not send their heartbeats together.
        first = (
            self._clock.monotonic() + self._random.random() * HEARTBEAT_INTERVAL_SECONDS
        )
        await self._clock.sleep_until(first)
        while True:
            self._run_heartbeat_round()
            planned = self._clock.monotonic() + HEARTBEAT_INTERVAL_SECONDS
            await self._clock.sleep_until(planned)
            gap = self._clock.monotonic() - planned
            if gap > FREEZE_THRESHOLD_SECONDS:
                self._resume_after_freeze(gap)

    def _run_heartbeat_round(self) -> None:
        now = self._clock.monotonic()
        monitored = self.overlay.select_monitored(self._detector.is_silent)
        self._publish_records(self._detector.detect_failures(monitored))
        for record in self.overlay.select_monitored(self._detector.is_silent):
            self._start_task(self._heartbeat_host(record))
        if now >= self._next_delegate_heartbeat:
            self._next_delegate_heartbeat = now + DELEGATE_HEARTBEAT_INTERVAL_SECONDS
            for name in self._reachability.choose_data_centres(self.overlay):
                self._start_task(self._heartbeat_data_centre(name))
            self._update_reaches()
        if now >= self._next_probe:
            self._next_probe = now + PROBE_INTERVAL_SECONDS * (
                0.5 + self._random.random()
            )
            self._start_task(self._joining.probe_lost_host())
            self._evict_gone_hosts(now)
            links = {record.control_address for record in self.push_targets()}
            links |= {record.control_address for record in self.overlay.monitored}
            self._endpoint.close_other_links(links)

    def _resume_after_freeze(self, gap: float) -> None:
        """Recover after the process was frozen for ``gap`` seconds."""
        _logger.warn("the process was frozen for {:.1f} s; refuting suspicions", gap)
        self._detector.reset()
        self._reachability.reset()
        if gap > GONE_HOST_RETENTION_SECONDS / 2:
            # This host must not reintroduce hosts that others have removed meanwhile.
            for record in list(self._registry):
                if record.host != self.record.host:
                    self._registry.remove(record.host)
            self._gone_since.clear()
            self._start_task(self._joining.run())
        # Others may consider this host suspect or dead; a newer record refutes that.
        self._update_own_record()
        for listener in self._resume_listeners:
            listener()

    # Heartbeats

    async def _heartbeat_host(self, record: HostRecord) -> None:
        """Send a heartbeat to a monitored host."""
        if await self._exchange_heartbeat(record, HEARTBEAT_TIMEOUT_SECONDS):
            self._detector.record_reply(record.host)
        else:
            self._detector.record_miss(record.host)

    async def _heartbeat_data_centre(self, name: str) -> None:
        """Send a heartbeat to a host of another data centre."""
        record = self._reachability.choose_host(self.overlay, name)
        if record is not None:
            answered = await self._exchange_heartbeat(
                record, DELEGATE_HEARTBEAT_INTERVAL_SECONDS
            )
            self._reachability.record_heartbeat(name, answered=answered)

    async def _exchange_heartbeat(self, record: HostRecord, timeout: float) -> bool:
        deadline = self._clock.monotonic() + timeout
        digests = self._registry.digests()
        message = self._make_heartbeat(Heartbeat, digests)
        try:
            reply = await self._endpoint.request(
                record.control_address, message, deadline=deadline
            )
        except AlmondError:
            return False
        # A replacement host may use the same address.
        if not isinstance(reply, HeartbeatReply) or reply.host != record.host:
            return False
        self._process_heartbeat(reply, reply.digests or digests)
        return True

    async def _answer_heartbeat(
        self, message: Heartbeat, _host: str
    ) -> ControlMessage | None:
        self._process_heartbeat(message, message.digests)
        digests = self._registry.digests()
        return self._make_heartbeat(
            HeartbeatReply, {} if digests == message.digests else digests
        )

    def _make_heartbeat(self, message_type: type, digests: dict[str, int]) -> Any:
        return message_type(
            self.record.host, self.record.incarnation, self._head(), digests
        )

    def _process_heartbeat(
        self, message: Heartbeat | HeartbeatReply, digests: dict[str, int]
    ) -> None:
        self._detector.record_contact()
        record = self._registry.find(message.host)
        if record is None:
            return
        for listener in self._head_listeners:
            listener(record, message.head)
        data_centres = self._dissemination.find_differences(record, digests)
        if data_centres:
            self._start_task(self._dissemination.pull_differences(record, data_centres))
        if record.status >= HostStatus.SUSPECT:
            # The host is alive: send it the record, so that it refutes the status.
            self._endpoint.send(record.control_address, Records((record,)))

    def _update_reaches(self) -> None:
        reaches = self._reachability.list_responsive()
        if reaches != self.record.reaches:
            self._update_own_record(reaches=reaches)

    # Records

    async def _receive_records(
        self, message: Records, host: str
    ) -> ControlMessage | None:
        self._merge_records(
            self._dissemination.expand_records(message, self.record), host
        )
        return Accepted()

    async def _serve_records(
        self, message: RecordsRequest, _host: str
    ) -> ControlMessage | None:
        now = self._clock.monotonic()
        if now - self._pull_window_start >= 1.0:
            self._pull_window_start, self._pulls_served = now, 0
        self._pulls_served += 1
        if self._pulls_served > MAX_PULLS_SERVED_PER_SECOND:
            raise AlmondError(
                ErrorCode.OVERLOADED,
                f"pull refused: more than {MAX_PULLS_SERVED_PER_SECOND} in one second",
            )
        return self._dissemination.answer_pull(message)

    def _merge_records(
        self, records: Iterable[HostRecord], source: str
    ) -> list[HostRecord]:
        """Merge records into the registry; forward the new ones if a source is given.

        Parameters
        ----------
        source
            Host that sent the records; empty if they are not to be forwarded.
        """
        others = []
        for record in records:
            if record.host == self.record.host:
                self._refute_record(record)
            else:
                others.append(record)
        accepted = self._registry.merge(others)
        self._notify_changes(accepted)
        if source:
            self._dissemination.queue_records(accepted, source=source)
        return accepted

    def _publish_records(self, records: list[HostRecord]) -> None:
        """Merge records that this daemon has made and push them to the neighbours."""
        accepted = self._registry.merge(records)
        self._notify_changes(accepted)
        self._dissemination.queue_records(accepted, source=self.record.host)

    def _notify_changes(self, accepted: list[HostRecord]) -> None:
        if not accepted:
            return
        now = self._clock.monotonic()
        for record in accepted:
            if record.status >= HostStatus.DEAD:
                self._gone_since[record.host] = now
                self._dissemination.drop_neighbour(record.host)
            else:
                self._gone_since.pop(record.host, None)
        for listener in self._change_listeners:
            listener(accepted)

    def _refute_record(self, record: HostRecord) -> None:
        """Publish a newer own record if a received one would supersede it.

        Such a record reports a failure of this host or comes from an earlier run of it.
        """
        own = self.record
        if record.order_key() <= own.order_key() or own.status is HostStatus.LEFT:
            return
        if record.incarnation > own.incarnation or record.status is HostStatus.LEFT:
            # Incarnations follow the wall clock, which was ahead in an earlier run of
            # this host. The rate is limited because two daemons with the same host
            # name would keep superseding each other.
            now = self._clock.monotonic()
            if now < self._incarnation_allowed_at:
                return
            self._incarnation_allowed_at = now + MIN_INCARNATION_INTERVAL_SECONDS
            _logger.warn(
                "host {}: raising own incarnation above {} of an earlier run",
                own.host,
                record.incarnation,
            )
            self._update_own_record(incarnation=record.incarnation + 1, sequence=0)
        else:
            self._update_own_record(sequence=max(record.sequence, own.sequence) + 1)

    def _update_own_record(self, **changes: Any) -> None:
        changes.setdefault("sequence", self.record.sequence + 1)
        self.record = msgspec.structs.replace(self.record, **changes)
        self._endpoint.incarnation = self.record.incarnation
        self._publish_records([self.record])

    def _evict_gone_hosts(self, now: float) -> None:
        for host, since in list(self._gone_since.items()):
            if now - since >= GONE_HOST_RETENTION_SECONDS:
                del self._gone_since[host]
                self._registry.remove(host)

    async def _announce_departure(self) -> None:
        """Send the last record and wait for the replies, before the links close."""
        deadline = self._clock.monotonic() + HEARTBEAT_INTERVAL_SECONDS
        message = Records((self.record,))
        targets = {r.control_address for r in self.push_targets()}
        await asyncio.gather(
            *(self._endpoint.request(t, message, deadline=deadline) for t in targets),
            return_exceptions=True,
        )

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _logger.error(
                "membership task failed and is not restarted: {!r}", task.exception()
            )
