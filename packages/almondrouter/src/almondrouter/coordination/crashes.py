"""Detects crashes of the backend servers on this host and reports them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from almondrouter.coordination.quarantine import Quarantine, QuarantineMessage

Probe = Callable[[str], Awaitable[bool]]
Publish = Callable[..., None]


class CrashGuard(ABC):
    """Isolates requests suspected of crashing backend servers, or refuses them."""

    @abstractmethod
    def check_not_condemned(self, fingerprint: str) -> None:
        """Raise `AlmondError` with code ``condemned`` if the request must not run."""

    @abstractmethod
    def may_run_now(self, backend: str, fingerprint: str) -> bool:
        """Return whether the request may be sent to a backend server now."""

    @abstractmethod
    def begin_request(self, backend: str, fingerprint: str) -> None:
        """Record that a request is being sent to a backend server."""

    @abstractmethod
    def end_request(self, backend: str, fingerprint: str, *, completed: bool) -> None:
        """Record that a request has ended; ``completed`` if it got a response."""

    @abstractmethod
    async def check_for_crash(self, backend: str, fingerprint: str) -> None:
        """Determine whether a backend server has crashed under a request.

        Called for a request whose connection failed, and before `end_request`, so that
        it still counts as in flight.
        """


class CrashReporter(CrashGuard):
    """Connects the quarantine to the probe of backend servers and to gossip.

    Parameters
    ----------
    quarantine
        Tracks suspected and condemned requests.
    probe
        Returns whether a backend server of this host accepts connections; if not,
        it reports the crash itself.
    publish
        Sends messages to all daemons.
    """

    def __init__(
        self, *, quarantine: Quarantine, probe: Probe, publish: Publish
    ) -> None:
        self._quarantine = quarantine
        self._probe = probe
        self._publish = publish

    def check_not_condemned(self, fingerprint: str) -> None:  # noqa: D102
        self._quarantine.check_not_condemned(fingerprint)

    def may_run_now(self, backend: str, fingerprint: str) -> bool:  # noqa: D102
        return self._quarantine.may_run_now(backend, fingerprint)

    def begin_request(self, backend: str, fingerprint: str) -> None:  # noqa: D102
        self._quarantine.begin_request(backend, fingerprint)

    def end_request(  # noqa: D102
        self, backend: str, fingerprint: str, *, completed: bool
    ) -> None:
        messages = self._quarantine.end_request(
            backend, fingerprint, completed=completed
        )
        if messages:
            self._publish(*messages)

    async def check_for_crash(self, backend: str, fingerprint: str) -> None:  # noqa: D102
        await self._probe(backend)

    def record_crash(self, backend: str) -> QuarantineMessage:
        """Report a crash that the probe has detected, and return the report."""
        report = self._quarantine.record_crash(backend)
        if report.fingerprints:
            self._publish(report)
        return report
