"""Runs calls with an idempotency key at most once.

A repeated call joins the run in flight, gets the stored response of a finished one,
or takes over the claim of a daemon that has not run the request.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

from almondrouter.clock import Clock
from almondrouter.coordination.admission import Admission
from almondrouter.coordination.claims import ClaimService
from almondrouter.coordination.egress import Egress, make_fingerprint
from almondrouter.coordination.ingress import make_error_reply
from almondrouter.coordination.replays import ReplayCache, Run
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.calls import CallReply, CallRequest, ClaimQuery
from almondrouter.protocol.control import Claim
from almondrouter.protocol.headers import Outcome
from almondrouter.protocol.outcomes import CallError
from almondrouter.state.snapshot import Route
from almondrouter.transport.calls import CallLinks

MAX_IDLE_SLOT_S = 0.05
"""Seconds that a call holds a slot while it waits for its claim.

A claim takes about 15 ms and is created while the call waits for its slot. Without
this limit, a slow store would leave slots idle that other classes could use.
"""
MAX_HOLDERS_QUERIED = 3
"""Number of successive claim holders queried before the outcome counts as unknown."""

CLAIM_TIME_SHARE = 0.5
"""Share of a call's remaining time in which the store has to confirm its claim.

The rest leaves time for the refusal to reach the caller, which would otherwise see
only a timeout.
"""

QUERY_RETRY_DELAYS_S = (0.02, 0.1)
"""Seconds before each retry of a query to a claim's holder."""

JOIN_GRACE_S = 0.05
"""Seconds after the deadline in which a run may still report its own outcome."""


class AtMostOnceRunner:
    """Runs each request with an idempotency key at most once.

    Parameters
    ----------
    egress
        Admits requests to the backend servers of this host and forwards them.
    claims
        Decides which daemon may run the request of a key.
    links
        Call links to other daemons.
    find_peer
        Returns the peer address of a claim's holder; None if it is not known.
    clock
        Source of monotonic time.
    host
        Name of this host.
    replay_cache
        Runs in flight, finished runs with their replies, and abandoned claims.
    """

    def __init__(
        self,
        *,
        egress: Egress,
        claims: ClaimService,
        links: CallLinks,
        find_peer: Callable[[Claim], str | None],
        clock: Clock,
        host: str,
        replay_cache: ReplayCache | None = None,
    ) -> None:
        self._egress = egress
        self._claims = claims
        self._links = links
        self._find_peer = find_peer
        self._clock = clock
        self._host = host
        self._replay_cache = replay_cache or ReplayCache(clock=clock)

    async def run(self, request: CallRequest) -> CallReply:
        """Run a request, or return the result of the run that its key has here."""
        fingerprint = make_fingerprint(request)
        run = self._replay_cache.find(request.key)
        if run is None:
            run = self._replay_cache.start(request.key, fingerprint)
            run.task = asyncio.create_task(self._run_and_store_reply(run, request))
        elif run.fingerprint != fingerprint:
            message = "the idempotency key was used for a request with other content"
            raise CallError(ErrorCode.KEY_CLAIMED, message, outcome=Outcome.UNKNOWN)
        return await self._join_run(run, request.deadline)

    async def answer_query(self, query: ClaimQuery) -> CallReply:
        """Return the result of the run under a claim of this host.

        Notes
        -----
        The outcome is unknown if the claim is not known here: the request may
        have run before this daemon restarted, or its run may have been evicted.
        """
        run = self._replay_cache.find(query.key)
        # A run has no claim id until its claim is acquired, which may be this one.
        if run is not None and run.claim_id in ("", query.claim_id):
            reply = await self._join_run(run, query.deadline)
            if run.claim_id == query.claim_id:
                return reply
        abandoned = self._replay_cache.is_abandoned(query.claim_id)
        if abandoned or self._claims.try_abandon(query.claim_id):
            error = CallError(
                ErrorCode.CALL_CANCELLED,
                "the claim was abandoned before its request ran",
            )
            return make_error_reply(error)
        message = "the claim's holder has no record of the request's run"
        return make_error_reply(_make_unknown_error(ErrorCode.KEY_CLAIMED, message))

    def cancel_runs(self) -> None:
        """Cancel all runs in flight."""
        for run in self._replay_cache.list_in_flight():
            run.task.cancel()

    async def _join_run(self, run: Run, deadline: float) -> CallReply:
        """Wait for a run; cancel it when its last waiter stops waiting."""
        if run.reply is not None:
            return run.reply
        assert run.task is not None
        task = run.task
        run.waiters += 1
        try:
            left = deadline + JOIN_GRACE_S - self._clock.monotonic()
            async with asyncio.timeout(left):
                return await asyncio.shield(task)
        except TimeoutError as error:
            message = "the run of this idempotency key did not finish in time"
            raise _make_unknown_error(ErrorCode.DEADLINE_EXCEEDED, message) from error
        finally:
            run.waiters -= 1
            if not run.waiters and not task.done():
                task.cancel()

    async def _run_and_store_reply(self, run: Run, request: CallRequest) -> CallReply:
        try:
            reply = await self._claim_and_run(run, request)
        except AlmondError as error:
            reply = make_error_reply(error)
        except asyncio.CancelledError:
            reply = make_error_reply(_make_cancelled_error(run))
        except BaseException:
            message = "running the request failed with an internal error"
            error = _make_unknown_error(ErrorCode.BACKEND_FAILED, message)
            self._replay_cache.finish(run, make_error_reply(error))
            raise
        self._replay_cache.finish(run, reply)
        return reply

    async def _claim_and_run(self, run: Run, request: CallRequest) -> CallReply:
        route = self._egress.find_permitted_route(request, run.fingerprint)
        admission = self._egress.find_admission(request)
        claim_task = asyncio.create_task(self._acquire_claim(request))
        try:
            slot = await self._acquire_slot(admission, route, request, claim_task)
        except BaseException:
            await self._abandon_pending_claim(claim_task)
            raise
        claim_or_reply = claim_task.result()
        if isinstance(claim_or_reply, CallReply):
            if slot is not None:
                admission.release(slot, failed=False)
            return claim_or_reply
        run.claim_id = claim_or_reply.claim_id
        failed = False
        try:
            reply = await self._run_claimed(run, request, claim_or_reply)
            failed = reply.outcome is Outcome.UNKNOWN
            return reply
        finally:
            admission.release(slot, failed=failed)

    async def _acquire_slot(
        self,
        admission: Admission,
        route: Route,
        request: CallRequest,
        claim_task: asyncio.Task[Claim | CallReply],
    ) -> Any:
        """Wait for a slot and for the claim.

        Returns
        -------
        Any
            The slot; None if none is held because the key has its run elsewhere.
        """
        options = {
            "priority": route.priority,
            "deadline": request.deadline,
            "class_name": route.class_name,
        }
        slot = await admission.acquire(**options)
        try:
            await asyncio.wait([claim_task], timeout=MAX_IDLE_SLOT_S)
            if not claim_task.done():
                admission.release(slot, failed=False)
                slot = None
                await asyncio.wait([claim_task])
            claim_or_reply = claim_task.result()
            if slot is None and isinstance(claim_or_reply, Claim):
                slot = await admission.acquire(**options)
        except BaseException:
            if slot is not None:
                admission.release(slot, failed=False)
            raise
        return slot

    async def _run_claimed(
        self, run: Run, request: CallRequest, claim: Claim
    ) -> CallReply:
        """Forward a request under a claim; release the claim if it was not run."""
        try:
            run.sent_to_backend = True
            return await self._egress.send_to_backend(request, run.fingerprint)
        except AlmondError as error:
            reply = make_error_reply(error)
            if reply.outcome is Outcome.NOT_RUN:
                run.sent_to_backend = False
                await self._abandon_claim(claim)
            return reply

    async def _acquire_claim(self, request: CallRequest) -> Claim | CallReply:
        """Return an owned, unused claim, or the reply of the run that holds the key."""
        now = self._clock.monotonic()
        deadline = now + CLAIM_TIME_SHARE * (request.deadline - now)
        replaces: str | None = None
        for _ in range(MAX_HOLDERS_QUERIED):
            claim = await self._claims.claim(
                request.key, deadline=deadline, replaces=replaces
            )
            if self._claims.owns(claim) and self._replay_cache.mark_claim_used(
                claim.claim_id
            ):
                return claim
            reply = await self._query_holder(claim, request)
            if reply.outcome is not Outcome.NOT_RUN:
                return reply
            replaces = claim.claim_id
        message = (
            f"{MAX_HOLDERS_QUERIED} holders in turn abandoned their claim on the key"
        )
        raise _make_unknown_error(ErrorCode.KEY_CLAIMED, message)

    async def _query_holder(self, claim: Claim, request: CallRequest) -> CallReply:
        if claim.host == self._host and self._replay_cache.is_abandoned(claim.claim_id):
            error = CallError(
                ErrorCode.CALL_CANCELLED,
                "the claim was abandoned before its request ran",
            )
            return make_error_reply(error)
        address = None if claim.host == self._host else self._find_peer(claim)
        if address is None:
            message = f"the key is claimed by {claim.host!r}, which cannot be queried"
            raise _make_unknown_error(ErrorCode.KEY_CLAIMED, message)
        query = ClaimQuery(0, request.key, claim.claim_id, request.deadline)
        return await self._send_query(address, query)

    async def _send_query(self, address: str, query: ClaimQuery) -> CallReply:
        """Query a claim's holder, with retries, which are safe for queries."""
        for delay in (*QUERY_RETRY_DELAYS_S, None):
            try:
                return await self._links.call(address, query)
            except CallError as error:
                late = self._clock.monotonic() >= query.deadline
                if delay is None or late:
                    message = error.message
                    raise _make_unknown_error(ErrorCode.KEY_CLAIMED, message) from error
            await asyncio.sleep(delay)
        raise AssertionError("the last attempt returns or raises")

    async def _abandon_pending_claim(self, claim_task: asyncio.Task[Any]) -> None:
        """Wait for a claim that is no longer needed, and release it."""
        with contextlib.suppress(AlmondError):
            claim_or_reply = await claim_task
            if isinstance(claim_or_reply, Claim):
                await self._abandon_claim(claim_or_reply)

    async def _abandon_claim(self, claim: Claim) -> None:
        # Recorded first: this daemon will not run under the claim any more, so
        # the outcome "not run" is correct even if the release does not reach the
        # store.
        self._replay_cache.abandon_claim(claim.claim_id)
        with contextlib.suppress(AlmondError):
            await self._claims.release(claim)


def _make_unknown_error(code: ErrorCode, message: str) -> CallError:
    return CallError(code, message, outcome=Outcome.UNKNOWN)


def _make_cancelled_error(run: Run) -> CallError:
    outcome = Outcome.UNKNOWN if run.sent_to_backend else Outcome.NOT_RUN
    return CallError(
        ErrorCode.CALL_CANCELLED,
        "the run was cancelled before it finished",
        outcome=outcome,
    )
