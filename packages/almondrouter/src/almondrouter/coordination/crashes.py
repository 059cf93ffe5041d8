"""Crashes of the backend server on this host, found and told to all daemons."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable

from almondrouter.coordination.quarantine import Quarantine, QuarantineMessage

Probe = Callable[[str], Awaitable[bool]]
Publish = Callable[..., None]


class CrashGuard(ABC):
    """Keeps requests that crash backend servers apart, or refuses them."""

    @abstractmethod
    def check(self, fingerprint: str) -> None:
        """Raise ``condemned`` if the request may not run."""

    @abstractmethod
    def may_run_now(self, backend: str, fingerprint: str) -> bool:
        """Return whether the request may be handed to a backend server now."""

    @abstractmethod
    def begin(self, backend: str, fingerprint: str) -> None:
        """Count a request as handed over."""

    @abstractmethod
    def end(self, backend: str, fingerprint: str, *, completed: bool) -> None:
        """Count a request as over."""

    @abstractmethod
    async def examine(self, backend: str) -> None:
        """Find out whether a backend server crashed whose connection failed.

        It is called while the failed request still counts as in flight.
        """


class CrashReporter(CrashGuard):
    """Joins the quarantine with the probe of the backend server and gossip.

    Parameters
    ----------
    quarantine
        What is held against requests.
    probe
        Returns whether a backend server of this host accepts connections; it
        reports the crash itself if it does not.
    publish
        Spreads messages to all daemons.
    """

    def __init__(
        self, *, quarantine: Quarantine, probe: Probe, publish: Publish
    ) -> None:
        self._quarantine = quarantine
        self._probe = probe
        self._publish = publish

    def check(self, fingerprint: str) -> None:  # noqa: D102
        self._quarantine.check(fingerprint)

    def may_run_now(self, backend: str, fingerprint: str) -> bool:  # noqa: D102
        return self._quarantine.may_run_now(backend, fingerprint)

    def begin(self, backend: str, fingerprint: str) -> None:  # noqa: D102
        self._quarantine.begin(backend, fingerprint)

    def end(  # noqa: D102
        self, backend: str, fingerprint: str, *, completed: bool
    ) -> None:
        messages = self._quarantine.end(backend, fingerprint, completed=completed)
        if messages:
            self._publish(*messages)

    async def examine(self, backend: str) -> None:  # noqa: D102
        await self._probe(backend)

    def record_crash(self, backend: str) -> QuarantineMessage:
        """Report a crash that the probe has found, and return the report."""
        report = self._quarantine.record_crash(backend)
        if report.fingerprints:
            self._publish(report)
        return report
