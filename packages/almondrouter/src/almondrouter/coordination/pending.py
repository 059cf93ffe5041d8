"""Requests of callers that have no response yet.

Used by the daemon for hosting platforms.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from almondrouter.coordination.quotas.allowances import QuotaToken
from almondrouter.coordination.routing import Demand
from almondrouter.protocol.calls import BodyOffer, CallRequest
from almondrouter.protocol.dialect import RequestInfo
from almondrouter.state.routes import RouteTarget
from almondrouter.state.snapshot import Destination

MIN_ON_TIME_SHARE = 0.45
"""Least time left of the target latency, as a share of it, with which a request is not
overdue. With less, queues would refuse it as it can hardly be on time, although its
caller still waits for a late response."""
OVERDUE_SHARE = 0.4
"""Share of the time until its deadline for which an overdue request may wait and run;
its caller can use the rest for another attempt."""


@dataclass(slots=True)
class PendingRequest:
    """A caller's request that has no response yet.

    Parameters
    ----------
    call
        The call to send; each attempt sets the name of the backend server and the
        longest wait.
    arrived_at
        Monotonic seconds at which the caller began to send the request.
    sent
        Attempts that may have reached a backend server.
    refusals
        Attempts that a destination refused.
    misses
        Attempts whose destination had no backend server or could not be reached.
    corrections
        Attempts that a destination declined as busier than expected.
    excluded
        Names of the backend servers that are not to be tried again.
    retry
        Destination of the next attempt, if the retry budget has granted it already.
    response_bytes
        Expected length of the response if the route's responses are long, else 0.
    token
        Tokens of the tenant's quota; None if the request does not count.
    """

    info: RequestInfo
    route: RouteTarget
    service: str
    call: CallRequest
    arrived_at: float
    sent: int = 0
    refusals: int = 0
    misses: int = 0
    corrections: int = 0
    excluded: set[str] = field(default_factory=set)
    retry: Destination | None = None
    response_bytes: int = 0
    token: QuotaToken | None = None

    @property
    def is_first_attempt(self) -> bool:
        """Whether no destination has been tried."""
        return not (self.excluded or self.corrections or self.sent)

    def mark_if_overdue(self, now: float) -> None:
        """Let a request wait behind others if it can hardly be on time any more."""
        call = self.call
        # A route or caller may allow less than the target latency from the start.
        time_allowed = call.deadline - self.arrived_at
        needed = MIN_ON_TIME_SHARE * min(self.route.target_latency, time_allowed)
        if not call.overdue and now + needed > call.useful_until:
            useful_until = now + OVERDUE_SHARE * (call.deadline - now)
            self.call = msgspec.structs.replace(
                call, overdue=True, useful_until=useful_until
            )


def make_demand(pending: PendingRequest, now: float) -> Demand:
    """Return what a request requires of its next destination at a given time."""
    call = pending.call
    return Demand(
        len(call.body),
        call.nested,
        pending.route.target_latency,
        call.rank + call.overdue,
        call.useful_until - now,
        pending.response_bytes,
        call.repeatable,
        is_first=not pending.excluded and not pending.corrections,
        service=pending.service,
    )


def make_offer(call: CallRequest) -> BodyOffer:
    """Return the offer that asks a daemon whether to send the body of a call."""
    return BodyOffer(
        call_id=0,
        class_name=call.class_name,
        backend=call.backend,
        rank=call.rank,
        size=len(call.body),
        deadline=call.deadline,
        useful_until=call.useful_until,
        offer_id=call.offer_id,
    )
