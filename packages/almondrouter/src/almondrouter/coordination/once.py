"""Calls that run at most once: claims, joining, replay and takeover."""

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
"""Seconds that a call keeps a slot while its claim is made.

Claims take some 15 ms and are made while the call waits for its slot. With a
slow store the slots would be held idle, and repeatable classes with them.
"""
MAX_HOLDERS_ASKED = 3
"""Holders that a call asks in turn before its outcome counts as unknown."""

CLAIM_SHARE = 0.5
"""Share of the time left in which the store has to confirm a claim.

The rest lets the refusal reach the caller, who else hears only of a timeout.
"""

QUERY_DELAYS_S = (0.02, 0.1)
"""Seconds before each repeated query of a claim's holder."""

JOIN_GRACE_S = 0.05
"""Seconds after the deadline in which the run itself may still say how it ended."""


class OnceRunner:
    """Runs each request with an idempotency key at most once.

    Parameters
    ----------
    egress
        Admission and hand-over of this host.
    claims
        Who may run the request of a key.
    links, find_peer
        Call links, and the peer address of a claim's holder or None.
    clock, host
        Time, and name of this host.
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
        memory: ReplayCache | None = None,
    ) -> None:
        self._egress = egress
        self._claims = claims
        self._links = links
        self._find_peer = find_peer
        self._clock = clock
        self._host = host
        self._memory = memory or ReplayCache(clock=clock)

    async def run(self, request: CallRequest) -> CallReply:
        """Run a request, or join or replay the run that its key has here."""
        fingerprint = make_fingerprint(request)
        run = self._memory.find(request.key)
        if run is None:
            run = self._memory.start(request.key, fingerprint)
            run.task = asyncio.create_task(self._run(run, request))
        elif run.fingerprint != fingerprint:
            message = "the idempotency key belongs to a request with other content"
            raise CallError(ErrorCode.KEY_CLAIMED, message, outcome=Outcome.UNKNOWN)
        return await self._join(run, request.deadline)

    async def answer_query(self, query: ClaimQuery) -> CallReply:
        """Return the result of the run under a claim of this host.

        Notes
        -----
        A claim that is not known counts as unknown: it may have been used
        before this daemon was restarted, or been forgotten.
        """
        run = self._memory.find(query.key)
        if run is not None and run.claim_id in ("", query.claim_id):
            reply = await self._join(run, query.deadline)
            if run.claim_id == query.claim_id:
                return reply
        given_up = self._memory.is_abandoned(query.claim_id)
        if given_up or self._claims.gives_up(query.claim_id):
            error = CallError(ErrorCode.CALL_CANCELLED, "the claim was given up")
            return make_error_reply(error)
        message = "nothing is known of the request's run"
        return make_error_reply(_make_unknown(ErrorCode.KEY_CLAIMED, message))

    def cancel_runs(self) -> None:
        """Cancel all runs in flight."""
        for run in self._memory.list_in_flight():
            run.task.cancel()

    async def _join(self, run: Run, deadline: float) -> CallReply:
        """Wait for a run; the last waiter that goes away cancels it."""
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
            message = "the run under this key has not ended in time"
            raise _make_unknown(ErrorCode.DEADLINE_EXCEEDED, message) from error
        finally:
            run.waiters -= 1
            if not run.waiters and not task.done():
                task.cancel()

    async def _run(self, run: Run, request: CallRequest) -> CallReply:
        try:
            reply = await self._claim_and_run(run, request)
        except AlmondError as error:
            reply = make_error_reply(error)
        except asyncio.CancelledError:
            reply = make_error_reply(_make_cancelled(run))
        except BaseException:
            message = "the run has failed"
            error = _make_unknown(ErrorCode.BACKEND_FAILED, message)
            self._memory.finish(run, make_error_reply(error))
            raise
        self._memory.finish(run, reply)
        return reply

    async def _claim_and_run(self, run: Run, request: CallRequest) -> CallReply:
        route = self._egress.check(request, run.fingerprint)
        admission = self._egress.find_admission(request)
        claiming = asyncio.create_task(self._claim(request))
        try:
            slot = await self._acquire(admission, route, request, claiming)
        except BaseException:
            await self._abandon(claiming)
            raise
        held = claiming.result()
        if isinstance(held, CallReply):
            if slot is not None:
                admission.release(slot, failed=False)
            return held
        run.claim_id = held.claim_id
        failed = False
        try:
            reply = await self._run_claimed(run, request, held)
            failed = reply.outcome is Outcome.UNKNOWN
            return reply
        finally:
            admission.release(slot, failed=failed)

    async def _acquire(
        self,
        admission: Admission,
        route: Route,
        request: CallRequest,
        claiming: asyncio.Task[Claim | CallReply],
    ) -> Any:
        """Wait for a slot and for the claim; return the slot.

        Returns
        -------
        Any
            The slot; None if the key's run is elsewhere and no slot is held.
        """
        options = {
            "priority": route.priority,
            "deadline": request.deadline,
            "class_name": route.class_name,
        }
        slot = await admission.acquire(**options)
        try:
            await asyncio.wait([claiming], timeout=MAX_IDLE_SLOT_S)
            if not claiming.done():
                admission.release(slot, failed=False)
                slot = None
                await asyncio.wait([claiming])
            held = claiming.result()
            if slot is None and isinstance(held, Claim):
                slot = await admission.acquire(**options)
        except BaseException:
            if slot is not None:
                admission.release(slot, failed=False)
            raise
        return slot

    async def _run_claimed(
        self, run: Run, request: CallRequest, claim: Claim
    ) -> CallReply:
        """Hand over under a claim; give the claim up if nothing was run."""
        try:
            run.handed_over = True
            return await self._egress.hand_over(request, run.fingerprint)
        except AlmondError as error:
            reply = make_error_reply(error)
            if reply.outcome is Outcome.NOT_RUN:
                run.handed_over = False
                await self._give_up(claim)
            return reply

    async def _claim(self, request: CallRequest) -> Claim | CallReply:
        """Return an own, unused claim, or the reply of the run that has it."""
        now = self._clock.monotonic()
        deadline = now + CLAIM_SHARE * (request.deadline - now)
        replaces: str | None = None
        for _ in range(MAX_HOLDERS_ASKED):
            claim = await self._claims.claim(
                request.key, deadline=deadline, replaces=replaces
            )
            if self._claims.owns(claim) and self._memory.mark_claim_used(
                claim.claim_id
            ):
                return claim
            reply = await self._ask_holder(claim, request)
            if reply.outcome is not Outcome.NOT_RUN:
                return reply
            replaces = claim.claim_id
        message = "the claim on the key keeps changing hands"
        raise _make_unknown(ErrorCode.KEY_CLAIMED, message)

    async def _ask_holder(self, claim: Claim, request: CallRequest) -> CallReply:
        if claim.host == self._host and self._memory.is_abandoned(claim.claim_id):
            error = CallError(ErrorCode.CALL_CANCELLED, "the claim was given up")
            return make_error_reply(error)
        address = None if claim.host == self._host else self._find_peer(claim)
        if address is None:
            message = f"the key is claimed by {claim.host!r}, which cannot be asked"
            raise _make_unknown(ErrorCode.KEY_CLAIMED, message)
        query = ClaimQuery(0, request.key, claim.claim_id, request.deadline)
        return await self._query(address, query)

    async def _query(self, address: str, query: ClaimQuery) -> CallReply:
        """Ask a claim's holder; a query changes nothing, so it may be repeated."""
        for delay in (*QUERY_DELAYS_S, None):
            try:
                return await self._links.call(address, query)
            except CallError as error:
                late = self._clock.monotonic() >= query.deadline
                if delay is None or late:
                    message = error.message
                    raise _make_unknown(ErrorCode.KEY_CLAIMED, message) from error
            await asyncio.sleep(delay)
        raise AssertionError("the last attempt returns or raises")

    async def _abandon(self, claiming: asyncio.Task[Any]) -> None:
        """Wait for a claim that is no longer wanted, and give it up."""
        with contextlib.suppress(AlmondError):
            held = await claiming
            if isinstance(held, Claim):
                await self._give_up(held)

    async def _give_up(self, claim: Claim) -> None:
        # From here on this daemon never runs under the claim, so the answer
        # "not run" holds even if the store does not learn of the release.
        self._memory.abandon_claim(claim.claim_id)
        with contextlib.suppress(AlmondError):
            await self._claims.release(claim)


def _make_unknown(code: ErrorCode, message: str) -> CallError:
    return CallError(code, message, outcome=Outcome.UNKNOWN)


def _make_cancelled(run: Run) -> CallError:
    outcome = Outcome.UNKNOWN if run.handed_over else Outcome.NOT_RUN
    return CallError(ErrorCode.CALL_CANCELLED, "its caller has gone", outcome=outcome)
