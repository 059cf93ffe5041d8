"""Monitors the backend servers on this host: announcements, silence and crashes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Literal

import msgspec

from almondrouter.addresses import split_address
from almondrouter.clock import Clock
from almondrouter.coordination.admission import Admission
from almondrouter.errors import ErrorCode, Finding, FindingsError
from almondrouter.logs import EventLogger
from almondrouter.settings import parse_address, parse_name
from almondrouter.state.registry import BackendRecord, BackendState
from almondrouter.transport.backends import BackendClient

ANNOUNCEMENT_INTERVAL_S = 1.0
MAX_MISSED_ANNOUNCEMENTS = 3
"""Announcements that a backend server may miss before it is probed."""
MAX_SILENCE_S = 10.0
"""Seconds without an announcement after which a backend server is removed, even if it
still accepts connections."""
PROBE_TIMEOUT_S = 1.0
PROBE_ATTEMPTS = 4
PROBE_OPEN_S = 0.05
"""Seconds for which a probe's connection must stay open to count as accepted; a dying
process may accept a connection and reset it."""
MAX_SLOTS = 10_000

_log = EventLogger("backend")


class BackendAnnouncement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Announcement that a backend server sends to its daemon every second.

    Parameters
    ----------
    name
        Unique name of this run of the backend server.
    service
        Service that it serves.
    address
        ``ip:port`` of its HTTP server.
    slots, connections
        Maximum numbers of concurrent calls and of open connections.
    state
        Whether it accepts calls, only finishes the running ones, or has stopped.
    """

    name: str
    service: str
    address: str
    slots: int
    connections: int
    state: Literal["ready", "draining", "stopped"] = "ready"


@dataclass(slots=True)
class _Backend:
    announcement: BackendAnnouncement
    record: BackendRecord
    announced_at: float
    """Monotonic time of the last announcement."""


class BackendMonitor:
    """Tracks the backend servers on this host, each with its admission and connections.

    Parameters
    ----------
    clock
        Clock of the daemon.
    on_change
        Called with the records of all backend servers after each change.
    on_crash
        Called with the name of a backend server that refuses connections although it
        has not announced its end.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        on_change: Callable[[tuple[BackendRecord, ...]], None],
        on_crash: Callable[[str], None],
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        self._on_crash = on_crash
        self._backends: dict[str, _Backend] = {}
        self._close_tasks: set[asyncio.Task[None]] = set()
        self.admissions: dict[str, Admission] = {}
        self.clients: dict[str, BackendClient] = {}
        self.crashes = 0

    @property
    def records(self) -> tuple[BackendRecord, ...]:
        """Return the records of all backend servers."""
        return tuple(item.record for item in self._backends.values())

    def announce(self, announcement: BackendAnnouncement) -> None:
        """Validate and apply an announcement.

        Raises
        ------
        FindingsError
            With every invalid field.
        """
        _check_announcement(announcement)
        if announcement.state == "stopped":
            self._remove_backend(announcement.name, reason="stopped")
            return
        known = self._backends.get(announcement.name)
        if known is None:
            self._add_backend(announcement)
        elif announcement.state == "draining":
            self._start_draining(known)
        if announcement.name in self._backends:
            self._backends[announcement.name].announced_at = self._clock.monotonic()

    async def run(self) -> None:
        """Probe and remove backend servers that stop announcing, until cancelled."""
        while True:
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)
            for name in self._list_silent_backends(
                ANNOUNCEMENT_INTERVAL_S * MAX_MISSED_ANNOUNCEMENTS
            ):
                await self.probe(name)
            for name in self._list_silent_backends(MAX_SILENCE_S):
                self._remove_backend(name, reason="silent")

    async def probe(self, name: str) -> bool:
        """Return whether a backend server is alive; remove it if not.

        It counts as crashed only if it refuses a connection. A dying process may
        accept a connection and reset it, so a connection proves that it is alive only
        after staying open for `PROBE_OPEN_S`; otherwise the probe is repeated, and
        after `PROBE_ATTEMPTS` without a refusal it still counts as alive.
        """
        backend = self._backends.get(name)
        if backend is None:
            return False
        for _ in range(PROBE_ATTEMPTS):
            try:
                if await _probe_connection(backend.announcement.address):
                    return True
            except ConnectionRefusedError:
                self._remove_crashed(name)
                return False
            except (OSError, TimeoutError):
                continue
        return True

    async def wait_until_idle(self) -> None:
        """Wait until no call occupies a slot of a backend server."""
        for admission in list(self.admissions.values()):
            await admission.wait_until_idle()

    async def close(self) -> None:
        """Close the connections to the backend servers."""
        if self._close_tasks:
            await asyncio.wait(self._close_tasks)
        for client in self.clients.values():
            with suppress(OSError):
                await client.close()

    def _add_backend(self, announcement: BackendAnnouncement) -> None:
        name = announcement.name
        draining = announcement.state == "draining"
        state = BackendState.DRAINING if draining else BackendState.READY
        record = BackendRecord(name, announcement.service, announcement.slots, state)
        self.admissions[name] = Admission(record, clock=self._clock)
        if draining:
            self.admissions[name].start_draining()
        self.clients[name] = BackendClient(
            announcement.address,
            connections=announcement.connections,
            clock=self._clock,
        )
        now = self._clock.monotonic()
        self._backends[name] = _Backend(announcement, record, now)
        _log.info("backend server announced", name=name, service=record.service)
        self._publish_records()

    def _start_draining(self, backend: _Backend) -> None:
        if backend.record.state is not BackendState.READY:
            return
        name = backend.record.name
        self.admissions[name].start_draining()
        backend.record = msgspec.structs.replace(
            backend.record, state=BackendState.DRAINING
        )
        _log.info("backend server is draining", name=name)
        self._publish_records()

    def _remove_crashed(self, name: str) -> None:
        if name not in self._backends:
            return
        self.crashes += 1
        self._on_crash(name)
        self._remove_backend(name, reason="crashed")

    def _remove_backend(self, name: str, *, reason: str) -> None:
        if self._backends.pop(name, None) is None:
            return
        self.admissions.pop(name).start_draining()
        client = self.clients.pop(name)
        task = asyncio.ensure_future(client.close())
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)
        _log.warning("backend server removed", name=name, reason=reason)
        self._publish_records()

    def _publish_records(self) -> None:
        self._on_change(self.records)

    def _list_silent_backends(self, limit: float) -> list[str]:
        oldest = self._clock.monotonic() - limit
        return [n for n, item in self._backends.items() if item.announced_at < oldest]


async def _probe_connection(address: str) -> bool:
    """Return whether a connection is accepted and stays open for `PROBE_OPEN_S`.

    Raises
    ------
    OSError, TimeoutError
        If no connection can be opened.
    """
    async with asyncio.timeout(PROBE_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(*split_address(address))
    try:
        async with asyncio.timeout(PROBE_OPEN_S):
            await reader.read(1)
    except TimeoutError:
        return True
    finally:
        writer.close()
    return False


def _check_announcement(announcement: BackendAnnouncement) -> None:
    findings = []
    for field, parse in (
        ("name", parse_name),
        ("service", parse_name),
        ("address", parse_address),
    ):
        try:
            parse(getattr(announcement, field))
        except ValueError as error:
            findings.append(Finding(field, ErrorCode.SETTING_INVALID, str(error)))
    for field in ("slots", "connections"):
        if not 1 <= getattr(announcement, field) <= MAX_SLOTS:
            message = f"must be from 1 to {MAX_SLOTS}"
            findings.append(Finding(field, ErrorCode.VALUE_OUT_OF_RANGE, message))
    if findings:
        raise FindingsError(findings)
