"""Which versions of a service may get a request, while versions differ within it."""

from __future__ import annotations

import contextlib
import hashlib
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from almondrouter.clock import Clock
from almondrouter.coordination.directory import HostDirectory
from almondrouter.coordination.rollouts.servicestate import (
    SeenVersion,
    ServiceVersions,
    find_first,
)
from almondrouter.protocol.calls import RolloutPlan
from almondrouter.state.hosts import BackendEntry, HostEntry
from almondrouter.state.rollouts import RolloutOrder, RolloutPhase
from almondrouter.state.snapshot import Destination

FORGOTTEN_AFTER_S = 30.0
"""Seconds without any server after which a version counts as new when it returns."""
OVERFLOW_S = 1.2
"""Seconds in the step ``whole`` in which requests that no new server takes may go to
the old ones. The roll-out cannot be completed while requests run there."""
MAX_CREDITS = 4096

Choices = tuple[Sequence[Destination], ...]


@dataclass(slots=True)
class _Split:
    """Destinations of a service by what may be sent to them.

    Parameters
    ----------
    source
        Destinations that were split.
    base
        Destinations for requests that are not for the ordered version.
    target
        Destinations of the ordered version; empty without an order.
    """

    source: Sequence[Destination]
    base: Sequence[Destination]
    target: Sequence[Destination] = ()
    trial: dict[tuple[str, ...], Sequence[Destination]] = field(default_factory=dict)


class VersionFilter:
    """Narrows the destinations of requests by their versions.

    Parameters
    ----------
    directory
        Known hosts and their backend servers.
    host
        Name of this host; determines the first trial request of this daemon.
    clock
        Source of monotonic time.
    on_mixed
        Called with a service of whose versions several may have been there first.
    """

    def __init__(
        self,
        directory: HostDirectory,
        *,
        host: str,
        clock: Clock,
        on_mixed: Callable[[str], None] = lambda service: None,
    ) -> None:
        self._directory = directory
        self._host = host
        self._clock = clock
        self._on_mixed = on_mixed
        self._services: dict[str, ServiceVersions] = {}
        self._splits: dict[str, _Split] = {}

    @property
    def services(self) -> list[str]:
        """Return the services with known versions."""
        return list(self._services)

    def get(self, service: str) -> ServiceVersions:
        """Return what is known of a service; kept until the daemon stops."""
        return self._services.setdefault(service, ServiceVersions())

    def set_order(self, service: str, order: RolloutOrder | None) -> None:
        """Put an order in force, or none; the evidence for an earlier one ends."""
        state = self.get(service)
        state.order, state.plan = order, None
        state.reached, state.ready_since = RolloutPhase.WAITING, None
        state.is_settled, state.whole_since = False, None
        state.credits.clear()
        self._splits.pop(service, None)

    def set_completed(self, service: str, version: str) -> None:
        """Set the established version by the stored status."""
        self.get(service).completed = version
        self._splits.pop(service, None)

    def decide(self, service: str, phase: RolloutPhase, *, is_stored: bool) -> bool:
        """Apply a decision about the order in force; return whether it is news.

        Parameters
        ----------
        is_stored
            Whether the decision is in the store, and so cannot change any more.
        """
        state = self.get(service)
        if not state.needs_coordinator:
            return False
        is_news = state.reached is not phase or state.is_settled is not is_stored
        state.reached, state.is_settled = phase, is_stored
        if phase is RolloutPhase.COMPLETED:
            state.completed = state.order.target_version
        self._splits.pop(service, None)
        return is_news

    def accept_plan(self, plan: RolloutPlan) -> bool:
        """Put a plan in force unless a newer one is known; return whether it was."""
        state = self.get(plan.service)
        if not state.needs_coordinator or plan.order_revision != state.order.revision:
            return False
        if not plan.token or (plan.token, plan.step) < state.step:
            return False
        if (plan.token, plan.step) != state.step:
            self._splits.pop(plan.service, None)
        if plan.phase is RolloutPhase.TRIAL:
            state.whole_since = None
        elif plan.phase is RolloutPhase.WHOLE and state.whole_since is None:
            state.whole_since = self._clock.monotonic()
        state.plan = plan
        if plan.phase is RolloutPhase.WHOLE and state.is_open:
            state.reached = RolloutPhase.WHOLE
        elif plan.phase is RolloutPhase.TRIAL and (
            state.reached is RolloutPhase.WAITING
        ):
            state.reached = RolloutPhase.TRIAL
        return True

    def find_valid_plan(
        self, service: str, *, for_seconds: float = 0.0
    ) -> RolloutPlan | None:
        """Return the plan of a service if it does not expire within some seconds."""
        state = self._services.get(service)
        if state is None or state.plan is None:
            return None
        until = self._clock.monotonic() + for_seconds
        return state.plan if until < state.plan.valid_until else None

    def find_established(self, service: str) -> str:
        """Return the established version of a service; empty if none is known."""
        state = self.get(service)
        if state.completed:
            return state.completed
        if state.plan is not None and state.plan.established:
            return state.plan.established
        self._note_versions(service, state)
        excluded = {state.order.target_version} if state.order else set()
        seen = {v: s for v, s in state.seen.items() if v not in excluded}
        if not seen:
            return ""
        return find_first(seen)[0]

    def _is_ambiguous(self, state: ServiceVersions) -> bool:
        """Return whether the stored status may name another established version."""
        if state.completed or (state.plan is not None and state.plan.established):
            return False
        return len(find_first(state.seen)) > 1

    def is_barred(self, service: str, version: str) -> bool:
        """Return whether a server of a version has to refuse requests.

        This is so once its version was rolled back. Daemons of earlier releases would
        go on to send to it.
        """
        state = self._services.get(service)
        if state is None or not version or state.rolled_back != version:
            return False
        return self._has_others(service, version)

    def list_choices(
        self, service: str, route: str, *, is_first: bool, repeatable: bool
    ) -> Choices:
        """Return the destinations for a request; later ones if no earlier one will do.

        Parameters
        ----------
        is_first
            Whether this is the first attempt. Repeats never go to a trial.
        repeatable
            Whether the request is idempotent.
        """
        destinations = self._directory.find_destinations(service)
        split = self._splits.get(service)
        if split is None or split.source is not destinations:
            split = self._splits[service] = self._split(service, destinations)
        if not split.target:
            return (split.base,)
        plan = self.find_valid_plan(service)
        if plan is None or (plan.suspect and not repeatable and split.base):
            return (split.base,)
        if plan.phase is RolloutPhase.WHOLE:
            since = self._services[service].whole_since
            if since is None or self._clock.monotonic() - since >= OVERFLOW_S:
                return (split.target,)
            return (split.target, split.base)
        if plan.phase is RolloutPhase.TRIAL and is_first and plan.share > 0:
            trial = self._find_trial_servers(split, plan)
            if trial and self._spend_credit(service, route, plan.share):
                return (trial, split.base)
        return (split.base,)

    @contextlib.contextmanager
    def preview(self) -> Iterator[None]:
        """Put the credits of trials back at the end of the context."""
        states = [(state, dict(state.credits)) for state in self._services.values()]
        try:
            yield
        finally:
            for state, credits in states:
                state.credits = credits

    def _find_trial_servers(
        self, split: _Split, plan: RolloutPlan
    ) -> Sequence[Destination]:
        if plan.servers not in split.trial:
            split.trial[plan.servers] = tuple(
                d for d in split.target if d.backend in plan.servers
            )
        return split.trial[plan.servers]

    def _spend_credit(self, service: str, route: str, share: float) -> bool:
        """Return whether the next request of a route is one of the trial's share.

        Notes
        -----
        Hosts begin with different credits. A fleet whose hosts have few requests each
        thus sends its share from the start, and not only once each host has had
        ``1 / share`` requests.
        """
        state = self._services[service]
        if route not in state.credits:
            if len(state.credits) >= MAX_CREDITS:
                state.credits.clear()
            name = f"{self._host}\0{service}\0{route}\0{state.order.revision}"
            state.credits[route] = compute_fraction(name)
        state.credits[route] += share
        if state.credits[route] < 1.0:
            return False
        state.credits[route] -= 1.0
        return True

    def _split(self, service: str, destinations: Sequence[Destination]) -> _Split:
        state = self._services.get(service)
        versions = {d.version for d in destinations} - {""}
        if state is None and len(versions) < 2:
            if versions:
                # Which version was there first is known before another one comes.
                self._note_versions(service, self.get(service))
            return _Split(destinations, destinations)
        state = self.get(service)
        established = self.find_established(service)
        if self._is_ambiguous(state):
            self._on_mixed(service)
        target = state.order.target_version if state.is_open else ""
        if target == established:
            target = ""
        if versions <= {established} or (not established and len(versions) < 2):
            return _Split(destinations, destinations)
        base = tuple(d for d in destinations if d.version in ("", established))
        new = tuple(d for d in destinations if target and d.version == target)
        if not base:
            base = self._find_fallback(service, state, destinations, target)
        return _Split(destinations, base, new)

    def _find_fallback(
        self,
        service: str,
        state: ServiceVersions,
        destinations: Sequence[Destination],
        target: str,
    ) -> Sequence[Destination]:
        """Return the destinations while no established server is ready.

        Notes
        -----
        An ordered or rolled-back version gets nothing beyond its plan while any server
        of another version may return. Only after the step ``whole`` may the old ones
        have stopped for good.
        """
        restricted = target or state.rolled_back
        others = tuple(d for d in destinations if d.version != restricted)
        was_whole = bool(target) and state.reached is RolloutPhase.WHOLE
        if was_whole or not self._has_others(service, restricted):
            return tuple(destinations)
        return others

    def _has_others(self, service: str, version: str) -> bool:
        return any(b.version != version for _, b in self._iterate_servers(service))

    def note_record(self, entry: HostEntry) -> None:
        """Remember when the version of a server on another host was first seen."""
        backend = entry.backend
        if backend is not None and backend.version and entry.host != self._host:
            self._note_version(self.get(backend.service), backend)

    def _note_version(self, state: ServiceVersions, backend: BackendEntry) -> None:
        first = SeenVersion(self._clock.monotonic(), backend.started_ms)
        seen = state.seen.setdefault(backend.version, first)
        seen.missing_since = None
        seen.started_ms = min(seen.started_ms, backend.started_ms)

    def _note_versions(self, service: str, state: ServiceVersions) -> None:
        """Note the versions of all known servers of a service.

        Notes
        -----
        A daemon that has just started hears of the server of its own host before it
        has read of the others, so that this one is noted after them.
        """
        now = self._clock.monotonic()
        present = set()
        servers = list(self._iterate_servers(service))
        for host, backend in sorted(servers, key=lambda item: item[0] == self._host):
            if backend.version and (host != self._host or state.seen):
                present.add(backend.version)
                self._note_version(state, backend)
        for version, item in tuple(state.seen.items()):
            if version in present:
                continue
            if item.missing_since is None:
                item.missing_since = now
            elif present and now - item.missing_since > FORGOTTEN_AFTER_S:
                del state.seen[version]

    def _iterate_servers(self, service: str) -> Iterable[tuple[str, BackendEntry]]:
        """Yield the known servers of a service that have not announced to leave.

        Each is preceded by its host.
        """
        for entry in self._directory.entries:
            backend = entry.backend
            if backend is None or backend.service != service:
                continue
            departure = self._directory.find_departure(entry.host)
            if departure is None or not departure.includes(backend):
                yield entry.host, backend


def compute_fraction(name: str) -> float:
    """Return a number from 0 to 1 that looks random and depends on a name only."""
    digest = hashlib.blake2b(name.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / 2**32
