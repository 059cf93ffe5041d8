"""Keeps requests that crash backend servers away from the one of this host.

Used by the daemon for hosting platforms.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from almondrouter.coordination.crashes import CrashGuard
from almondrouter.coordination.crashevidence import CrashEvidence
from almondrouter.errors import ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.protocol.outcomes import CallError

_log = EventLogger("crashes")


@dataclass(slots=True)
class _RunningRequest:
    """Runs of one request at the backend server.

    Parameters
    ----------
    runs
        Number of its runs.
    was_suspect
        Whether it was a suspect when one of them began.
    """

    runs: int = 0
    was_suspect: bool = False


class HostCrashGuard(CrashGuard):
    """Finds the requests that were in flight when the backend server crashed.

    Parameters
    ----------
    evidence
        Receives them, and tells which requests must not run.
    has_crashed
        Returns whether the backend server of this host refuses connections.
    on_crash
        Called with the start of the backend server that has crashed.

    Notes
    -----
    The backend server is named by its id and start, so that each start counts once.
    """

    def __init__(
        self,
        *,
        evidence: CrashEvidence,
        has_crashed: Callable[[], Awaitable[bool]],
        on_crash: Callable[[str], None],
    ) -> None:
        self._evidence = evidence
        self._has_crashed = has_crashed
        self._on_crash = on_crash
        self._running: dict[str, _RunningRequest] = {}
        self._interrupted: dict[str, bool] = {}
        self._check: asyncio.Task[None] | None = None
        self._crashed = ""
        self._blamed: set[str] = set()

    def check_not_condemned(self, fingerprint: str) -> None:  # noqa: D102
        if self._evidence.find_condemned_until(fingerprint) is not None:
            message = f"request {fingerprint} is refused: it crashes backend servers"
            raise CallError(ErrorCode.CONDEMNED, message)

    def may_run_now(self, backend: str, fingerprint: str) -> bool:  # noqa: D102
        if not self._evidence.must_be_isolated(fingerprint):
            return True
        return not any(map(self._evidence.must_be_isolated, self._running))

    def begin_request(self, backend: str, fingerprint: str) -> None:  # noqa: D102
        running = self._running.setdefault(fingerprint, _RunningRequest())
        running.runs += 1
        running.was_suspect |= self._evidence.is_suspect(fingerprint)

    def end_request(  # noqa: D102
        self, backend: str, fingerprint: str, *, completed: bool
    ) -> None:
        running = self._running[fingerprint]
        running.runs -= 1
        if not running.runs:
            del self._running[fingerprint]
        if completed:
            self._evidence.record_completion(fingerprint)

    async def check_for_crash(self, backend: str, fingerprint: str) -> None:  # noqa: D102
        self._interrupted[fingerprint] = self._running[fingerprint].was_suspect
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(self._blame_if_crashed(backend))
        # The check goes on for the others if one of their callers leaves.
        await asyncio.shield(self._check)

    async def _blame_if_crashed(self, backend: str) -> None:
        """Record the interrupted requests if the backend server has crashed."""
        crashed = await self._has_crashed()
        interrupted, self._interrupted = self._interrupted, {}
        if not crashed:
            return
        if backend != self._crashed:
            self._crashed, self._blamed = backend, set()
            self._on_crash(backend)
        interrupted = self._select_likely_causes(interrupted)
        in_flight = {f: s for f, s in interrupted.items() if f not in self._blamed}
        self._blamed.update(in_flight)
        _log.warning(
            "backend server crashed", backend=backend, in_flight=list(in_flight)
        )
        self._evidence.record_crash(in_flight)

    def _select_likely_causes(self, interrupted: dict[str, bool]) -> dict[str, bool]:
        """Return the requests to blame: only the isolated one if there was one.

        Those beside it were in flight in fewer crashes, or have completed since.
        """
        isolated = {
            fingerprint: was_suspect
            for fingerprint, was_suspect in interrupted.items()
            if self._evidence.must_be_isolated(fingerprint)
        }
        return isolated or interrupted
