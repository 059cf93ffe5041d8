"""Explains where a request would go now, without sending it.

The decision itself is that of `Forwarder.preview`, which runs the code of a request and
puts back what that code changes. Used by the daemon for hosting platforms.
"""

from __future__ import annotations

import contextlib
import random as random_module
from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from almondrouter.coordination.tenants.admission import counts_for_quota
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.state.snapshot import Destination
from almondrouter.state.tenants import TenantPolicy
from almondrouter.transport.calls import CallerRequest

if TYPE_CHECKING:
    from almondrouter.coordination.forwarding import Forwarder
    from almondrouter.coordination.placement import LowestCostPolicy
    from almondrouter.coordination.quotas.service import QuotaService
    from almondrouter.coordination.rollouts.versions import Choices
    from almondrouter.coordination.routing import Demand


@dataclass(frozen=True, slots=True)
class CallQuestion:
    """A request to explain.

    Parameters
    ----------
    request
        The request; only the length of its body counts, and whether it is condemned.
    tenant
        Name of the tenant, in place of a key in the request; empty for none.
    nested
        Whether the backend server of this host makes it for a request that it runs.
    """

    request: CallerRequest
    tenant: str = ""
    nested: bool = False


@dataclass(frozen=True, slots=True)
class Refusal:
    """Response to a request that is not sent.

    Parameters
    ----------
    retry_after
        ``Retry-After`` in seconds; None without the header.
    """

    code: str
    status: int
    retry_after: float | None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class CallPreview:
    """What a daemon would do with a request now.

    Parameters
    ----------
    route, service
        Names; empty if the request is refused before they are chosen.
    known, choices
        Destinations of the service, and the groups of them that the roll-outs leave;
        a later group is used if no destination of an earlier one is found.
    demand, now
        What the request requires of its first destination, and the time of that.
    chosen, second
        Destinations of the first attempt, and of one after that has failed.
    second_needs_refusal
        Whether there is a second attempt only if the first was refused as not run.
    """

    version: int
    route: str = ""
    tenant: TenantPolicy | None = None
    service: str = ""
    known: tuple[Destination, ...] = ()
    choices: Choices = ()
    demand: Demand | None = None
    now: float = 0.0
    chosen: Destination | None = None
    second: Destination | None = None
    second_needs_refusal: bool = False
    refusal: Refusal | None = None


@dataclass(frozen=True, slots=True)
class CandidateCost:
    """Cost of a destination, all parts in seconds.

    Parameters
    ----------
    excluded
        Reasons for which the destination is not compared; empty if it is.
    """

    backend: str
    host: str
    data_centre: str
    distance: float
    wait: float
    run_time: float
    occupancy: float
    failures: float
    total: float
    excluded: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class QuotaState:
    """What is left of a tenant's quota at this daemon.

    Parameters
    ----------
    rate
        Requests per second of the tenant over all daemons.
    tokens
        Requests that this daemon admits at once.
    may_wait
        Whether a request without a token waits for one before it is refused.
    """

    rate: float
    tokens: int
    may_wait: bool


@dataclass(frozen=True, slots=True)
class CallExplanation:
    """Answer to a `CallQuestion`; names are empty where there is nothing to name."""

    version: int
    route: str
    tenant: str
    quota: QuotaState | None
    service: str
    candidates: tuple[CandidateCost, ...]
    chosen: str
    second: str
    second_needs_refusal: bool
    refusal: Refusal | None


class CallExplainer:
    """Answers questions about requests.

    Parameters
    ----------
    forwarder, placement
        Parts that decide about requests.
    quotas
        Quotas of the tenants; None if none are limited.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        placement: LowestCostPolicy,
        quotas: QuotaService | None = None,
    ) -> None:
        self._forwarder = forwarder
        self._placement = placement
        self._quotas = quotas

    def explain(self, question: CallQuestion) -> CallExplanation:
        """Return where a request would go.

        Raises
        ------
        AlmondError
            ``class_unknown`` if the path has no route, ``target_unknown`` if there is
            no such tenant.
        """
        preview = self._forwarder.preview(question)
        refusal = preview.refusal
        if refusal is not None and refusal.code == ErrorCode.CLASS_UNKNOWN.value:
            message = "no route of the configuration matches the host and path"
            raise AlmondError(ErrorCode.CLASS_UNKNOWN, message)
        return CallExplanation(
            preview.version,
            preview.route,
            preview.tenant.name if preview.tenant else "",
            self._find_quota(preview.tenant, nested=question.nested),
            preview.service,
            self._list_candidates(preview),
            preview.chosen.backend if preview.chosen else "",
            preview.second.backend if preview.second else "",
            preview.second_needs_refusal,
            refusal,
        )

    def _find_quota(
        self, tenant: TenantPolicy | None, *, nested: bool
    ) -> QuotaState | None:
        if self._quotas is None or not counts_for_quota(tenant, nested=nested):
            return None
        tokens = self._quotas.count_tokens(tenant)
        return QuotaState(tenant.rate, tokens, self._quotas.may_wait(tenant))

    def _list_candidates(self, preview: CallPreview) -> tuple[CandidateCost, ...]:
        if preview.demand is None:
            return ()
        costs = self._placement.list_costs(
            preview.known, preview.choices, preview.demand, now=preview.now
        )
        return tuple(sorted(costs, key=lambda c: (bool(c.excluded), c.total)))


@contextlib.contextmanager
def keep_random_state(random: random_module.Random) -> Iterator[None]:
    """Put the state of a random generator back at the end of the context."""
    state = random.getstate()
    try:
        yield
    finally:
        random.setstate(state)
