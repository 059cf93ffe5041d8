"""Call handling of a daemon: ingress for callers, egress for backend servers.

Used by the daemon for clusters with an etcd store. The daemon for hosting platforms
uses `Forwarder` and `LocalBackend` instead.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import msgspec

from almondrouter.clock import Clock
from almondrouter.coordination.admission import Admission
from almondrouter.coordination.claims import ClaimService
from almondrouter.coordination.crashes import CrashGuard
from almondrouter.coordination.egress import Egress
from almondrouter.coordination.ingress import Ingress, make_error_reply
from almondrouter.coordination.limits import LimitService
from almondrouter.coordination.once import AtMostOnceRunner
from almondrouter.coordination.retries import RetryBudget
from almondrouter.coordination.routing import LoadBalancingPolicy
from almondrouter.errors import AlmondError
from almondrouter.protocol.calls import CallReply, CallRequest, ClaimQuery
from almondrouter.protocol.control import Claim
from almondrouter.state.snapshot import Snapshot
from almondrouter.tracing import PassThroughTracer, Tracer
from almondrouter.transport.calls import (
    BackendSender,
    CallerRequest,
    CallerResponse,
    CallLinks,
)


class CallService:
    """Handles calls of callers (ingress) and of other daemons (egress).

    Parameters
    ----------
    snapshot
        Returns the snapshot in force.
    links
        Call links to other daemons.
    balancer, retries
        Load balancing policy and retry budget.
    admissions, backends
        Admission control and client by name of the backend server on this host.
    claims, limits, quarantine
        At-most-once claims, rate limits, and quarantine of requests suspected to crash
        backend servers.
    clock, host
        Source of monotonic and wall-clock time, and name of this host.
    find_peer
        Returns the peer address of the daemon that holds a claim, or None. By default
        only holders among the destinations of the snapshot are found.
    tracer
        Starts a span for each hop; calls are not traced by default.
    """

    def __init__(
        self,
        *,
        snapshot: Callable[[], Snapshot],
        links: CallLinks,
        balancer: LoadBalancingPolicy,
        retries: RetryBudget,
        admissions: Mapping[str, Admission],
        backends: Mapping[str, BackendSender],
        claims: ClaimService,
        limits: LimitService,
        quarantine: CrashGuard,
        clock: Clock,
        host: str,
        find_peer: Callable[[Claim], str | None] | None = None,
        tracer: Tracer | None = None,
    ) -> None:
        tracer = tracer or PassThroughTracer()
        self._snapshot = snapshot
        self._admissions = admissions
        self._ingress = Ingress(
            snapshot=snapshot,
            links=links,
            balancer=balancer,
            retries=retries,
            egress=self.handle_link,
            clock=clock,
            host=host,
            tracer=tracer,
        )
        self._egress = Egress(
            snapshot=snapshot,
            admissions=admissions,
            backends=backends,
            limits=limits,
            quarantine=quarantine,
            clock=clock,
            tracer=tracer,
        )
        self._once = AtMostOnceRunner(
            egress=self._egress,
            claims=claims,
            links=links,
            find_peer=find_peer or self._find_routed_peer,
            clock=clock,
            host=host,
        )

    async def handle_caller(self, request: CallerRequest) -> CallerResponse:
        """Serve a request of a caller."""
        return await self._ingress.handle(request)

    async def handle_link(self, request: CallRequest | ClaimQuery) -> CallReply:
        """Serve a call or claim query from another daemon, or a call of a local caller.

        Parameters
        ----------
        request
            Call or query; its deadline is in monotonic seconds of this host.
        """
        if isinstance(request, ClaimQuery):
            try:
                return await self._once.answer_query(request)
            except AlmondError as error:
                return make_error_reply(error)
        try:
            run = self._once.run if request.key else self._egress.run
            reply = await run(request)
        except AlmondError as error:
            reply = make_error_reply(error)
        admission = self._admissions.get(request.backend)
        if admission is None:
            return reply
        return msgspec.structs.replace(reply, load=admission.load())

    def cancel_runs(self) -> None:
        """Cancel the runs with idempotency keys when the daemon stops."""
        self._once.cancel_runs()

    def _find_routed_peer(self, claim: Claim) -> str | None:
        for route in self._snapshot().routes.values():
            for destination in route.destinations:
                same = destination.incarnation == claim.incarnation
                if destination.host == claim.host and same:
                    return destination.peer_address
        return None
