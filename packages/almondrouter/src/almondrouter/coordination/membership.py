"""Membership: which daemons live, where they are and what runs beside them."""

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

HEARTBEAT_SECONDS = 1.0
# Ends before the next heartbeat, so that a miss counts at once.
HEARTBEAT_TIMEOUT_SECONDS = 0.8
# Delegates hear another data centre through one heartbeat each 2 s, because
# bytes between data centres cost more than those inside.
DELEGATE_HEARTBEAT_SECONDS = 2.0
FREEZE_SECONDS = 2.0
PROBE_SECONDS = 5.0
INCARNATION_SECONDS = 1.0
# A pull of a data centre of 97 hosts is about 15 KB; those refused ask again.
MAX_PULLS_SERVED_PER_SECOND = 16
# Far longer than the partitions between regions, which last minutes: a data
# centre that was cut off must not bring back a host that others have forgotten.
FORGET_SECONDS = 3600.0

ChangeListener = Callable[[list[HostRecord]], None]
HeadListener = Callable[[HostRecord, Head], None]

_logger = logbook.Logger("almondrouter.membership")


class Membership:
    """Keeps the registry in step with the fleet.

    Parameters
    ----------
    record
        Own record as configured; its sequence and incarnation rise from here.
    endpoint
        Control endpoint, started and closed by the caller.
    registry
        Takes the records.
    clock
        Times every step.
    seeds
        Control addresses of daemons to join through.
    head
        Returns the head that this daemon has in force.
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
            merge=self._merge,
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
        self._next_probe = clock.monotonic() + PROBE_SECONDS
        self._next_incarnation = 0.0
        self._served_since = 0.0
        self._served = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def joined(self) -> bool:
        """Whether another daemon is known, or there is none to join through."""
        return self._joining.joined

    @property
    def settled(self) -> bool:
        """Whether a member of the own data centre is known or none can be."""
        return self._joining.settled

    async def start(self) -> None:
        """Begin to answer and to join through the seeds."""
        self._endpoint.set_handler(Heartbeat, self._answer_heartbeat)
        self._endpoint.set_handler(Records, self._take_records)
        self._endpoint.set_handler(RecordsRequest, self._serve_records)
        self._registry.merge([self.record])
        self._start_task(self._run())
        self._start_task(self._joining.run())
        self._start_task(self._dissemination.run())

    async def leave(self) -> None:
        """Tell the others that this daemon takes no new calls and will leave."""
        if self.record.status is HostStatus.ALIVE:
            self._change_own(status=HostStatus.LEAVING)
            self._dissemination.flush()

    async def close(self) -> None:
        """Stop; after `leave`, first tell neighbours that this daemon has left."""
        if self.record.status is HostStatus.LEAVING:
            self._change_own(status=HostStatus.LEFT)
            await self._say_goodbye()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def update_backends(self, backends: tuple[BackendRecord, ...]) -> None:
        """Put other backend servers into the own record and spread it."""
        if backends != self.record.backends:
            self._change_own(backends=backends)

    def update_store_down(self, store_down: bool) -> None:
        """Put into the own record whether the store was not reached of late."""
        if store_down != self.record.store_down:
            self._change_own(store_down=store_down)

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
        """Call ``listener`` with the neighbour and head of each heartbeat."""
        self._head_listeners.append(listener)

    def add_resume_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when this process goes on after it was frozen."""
        self._resume_listeners.append(listener)

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Join through more addresses, such as those kept in the store."""
        self._joining.add_seeds(addresses)

    # Loops

    async def _run(self) -> None:
        # Daemons that start together must not heartbeat together.
        first = self._clock.monotonic() + self._random.random() * HEARTBEAT_SECONDS
        await self._clock.sleep_until(first)
        while True:
            self._tick()
            planned = self._clock.monotonic() + HEARTBEAT_SECONDS
            await self._clock.sleep_until(planned)
            gap = self._clock.monotonic() - planned
            if gap > FREEZE_SECONDS:
                self._resume(gap)

    def _tick(self) -> None:
        now = self._clock.monotonic()
        monitored = self.overlay.select_monitored(self._detector.is_silent)
        self._spread(self._detector.judge(monitored))
        for record in self.overlay.select_monitored(self._detector.is_silent):
            self._start_task(self._check(record))
        if now >= self._next_delegate_heartbeat:
            self._next_delegate_heartbeat = now + DELEGATE_HEARTBEAT_SECONDS
            for name in self._reachability.choose_data_centres(self.overlay):
                self._start_task(self._check_data_centre(name))
            self._update_reaches()
        if now >= self._next_probe:
            self._next_probe = now + PROBE_SECONDS * (0.5 + self._random.random())
            self._start_task(self._joining.probe())
            self._forget(now)
            links = {record.control_address for record in self.push_targets()}
            links |= {record.control_address for record in self.overlay.monitored}
            self._endpoint.close_other_links(links)

    def _resume(self, gap: float) -> None:
        """Go on after the process stood still for ``gap`` seconds."""
        _logger.warn("the process stood still for {:.1f} s", gap)
        self._detector.reset()
        self._reachability.reset()
        if gap > FORGET_SECONDS / 2:
            # What others have forgotten since must not come back from here.
            for record in list(self._registry):
                if record.host != self.record.host:
                    self._registry.remove(record.host)
            self._gone_since.clear()
            self._start_task(self._joining.run())
        # Others have taken this host for suspect or dead by now.
        self._change_own()
        for listener in self._resume_listeners:
            listener()

    # Heartbeats

    async def _check(self, record: HostRecord) -> None:
        """Send a heartbeat to a monitored host."""
        if await self._exchange_heartbeat(record, HEARTBEAT_TIMEOUT_SECONDS):
            self._detector.record_reply(record.host)
        else:
            self._detector.record_miss(record.host)

    async def _check_data_centre(self, name: str) -> None:
        """Send a heartbeat to a host of another data centre."""
        record = self._reachability.choose_host(self.overlay, name)
        if record is not None:
            heard = await self._exchange_heartbeat(record, DELEGATE_HEARTBEAT_SECONDS)
            self._reachability.record(name, heard=heard)

    async def _exchange_heartbeat(self, record: HostRecord, seconds: float) -> bool:
        deadline = self._clock.monotonic() + seconds
        digests = self._registry.digests()
        message = self._make(Heartbeat, digests)
        try:
            reply = await self._endpoint.request(
                record.control_address, message, deadline=deadline
            )
        except AlmondError:
            return False
        # A replaced host may have taken the address over.
        if not isinstance(reply, HeartbeatReply) or reply.host != record.host:
            return False
        self._hear(reply, reply.digests or digests)
        return True

    async def _answer_heartbeat(
        self, message: Heartbeat, _host: str
    ) -> ControlMessage | None:
        self._hear(message, message.digests)
        digests = self._registry.digests()
        return self._make(HeartbeatReply, {} if digests == message.digests else digests)

    def _make(self, kind: type, digests: dict[str, int]) -> Any:
        return kind(self.record.host, self.record.incarnation, self._head(), digests)

    def _hear(
        self, message: Heartbeat | HeartbeatReply, digests: dict[str, int]
    ) -> None:
        self._detector.record_contact()
        record = self._registry.find(message.host)
        if record is None:
            return
        for listener in self._head_listeners:
            listener(record, message.head)
        names = self._dissemination.compare(record, digests)
        if names:
            self._start_task(self._dissemination.pull_differences(record, names))
        if record.status >= HostStatus.SUSPECT:
            # It lives: let it know what is said of it, so that it refutes.
            self._endpoint.send(record.control_address, Records((record,)))

    def _update_reaches(self) -> None:
        reaches = self._reachability.list_heard()
        if reaches != self.record.reaches:
            self._change_own(reaches=reaches)

    # Records

    async def _take_records(self, message: Records, host: str) -> ControlMessage | None:
        self._merge(self._dissemination.unpack(message, self.record), host)
        return Accepted()

    async def _serve_records(
        self, message: RecordsRequest, _host: str
    ) -> ControlMessage | None:
        now = self._clock.monotonic()
        if now - self._served_since >= 1.0:
            self._served_since, self._served = now, 0
        self._served += 1
        if self._served > MAX_PULLS_SERVED_PER_SECOND:
            raise AlmondError(ErrorCode.OVERLOADED, "too many pulls")
        return self._dissemination.serve(message)

    def _merge(self, records: Iterable[HostRecord], source: str) -> list[HostRecord]:
        """Take over records; pass them on if they came from a source."""
        others = []
        for record in records:
            if record.host == self.record.host:
                self._refute(record)
            else:
                others.append(record)
        accepted = self._registry.merge(others)
        self._note(accepted)
        if source:
            self._dissemination.queue(accepted, source=source)
        return accepted

    def _spread(self, records: list[HostRecord]) -> None:
        """Take over own statements and push them."""
        accepted = self._registry.merge(records)
        self._note(accepted)
        self._dissemination.queue(accepted, source=self.record.host)

    def _note(self, accepted: list[HostRecord]) -> None:
        if not accepted:
            return
        now = self._clock.monotonic()
        for record in accepted:
            if record.status >= HostStatus.DEAD:
                self._gone_since[record.host] = now
                self._dissemination.forget(record.host)
            else:
                self._gone_since.pop(record.host, None)
        for listener in self._change_listeners:
            listener(accepted)

    def _refute(self, record: HostRecord) -> None:
        """Raise the own numbers above a record that another made of this host."""
        own = self.record
        if record.order_key() <= own.order_key() or own.status is HostStatus.LEFT:
            return
        if record.incarnation > own.incarnation or record.status is HostStatus.LEFT:
            # An earlier run of this host had a clock that was ahead. If two
            # daemons carry one host name, they must not outbid each other fast.
            now = self._clock.monotonic()
            if now < self._next_incarnation:
                return
            self._next_incarnation = now + INCARNATION_SECONDS
            _logger.warn("host {} has run before as {}", own.host, record.incarnation)
            self._change_own(incarnation=record.incarnation + 1, sequence=0)
        else:
            self._change_own(sequence=max(record.sequence, own.sequence) + 1)

    def _change_own(self, **changes: Any) -> None:
        changes.setdefault("sequence", self.record.sequence + 1)
        self.record = msgspec.structs.replace(self.record, **changes)
        self._endpoint.incarnation = self.record.incarnation
        self._spread([self.record])

    def _forget(self, now: float) -> None:
        for host, since in list(self._gone_since.items()):
            if now - since >= FORGET_SECONDS:
                del self._gone_since[host]
                self._registry.remove(host)

    async def _say_goodbye(self) -> None:
        """Pass the last record on for certain, as the link closes right after."""
        deadline = self._clock.monotonic() + HEARTBEAT_SECONDS
        message = Records((self.record,))
        targets = {r.control_address for r in self.push_targets()}
        await asyncio.gather(
            *(self._endpoint.request(t, message, deadline=deadline) for t in targets),
            return_exceptions=True,
        )

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            _logger.error("membership task failed: {!r}", task.exception())
