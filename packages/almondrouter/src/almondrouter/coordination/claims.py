"""Claims on idempotency keys, which ensure that a request runs at most once."""

from __future__ import annotations

import asyncio
import random
import uuid
import weakref
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Awaitable, Callable

from almondrouter.clock import Clock
from almondrouter.coordination.claimbatches import ClaimBatcher
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.protocol.control import (
    Accepted,
    Claim,
    ClaimRelease,
    ClaimReply,
    ClaimRequest,
    ControlMessage,
    Refused,
)
from almondrouter.protocol.keys import check_idempotency_key
from almondrouter.transport.control import ControlEndpoint

# Longer than the store client's timeout, so that the delegate can still report a
# store that does not respond.
ATTEMPT_TIMEOUT_S = 1.2
RELEASE_TIMEOUT_S = 1.2
# Backoff between attempts; limits the messages of waiting calls in a store outage.
INITIAL_RETRY_DELAY_S = 0.02
MAX_RETRY_DELAY_S = 0.5
# Bound on the remembered ids of abandoned claims. A request whose claim is no longer
# remembered counts as possibly run.
MAX_ABANDONED_CLAIMS = 10_000


class ClaimService(ABC):
    """Decides which daemon may run the request of an idempotency key."""

    @abstractmethod
    async def claim(
        self, key: str, *, deadline: float, replaces: str | None = None
    ) -> Claim:
        """Create a claim on a key, or return the existing one.

        Parameters
        ----------
        key
            Canonical idempotency key.
        deadline
            Monotonic time in seconds until which attempts are made.
        replaces
            Id of a claim that its holder has abandoned without running the
            request; the new claim takes its place.

        Returns
        -------
        Claim
            The claim that holds the key. The caller may run the request only if
            this call created it, which `owns` tells.

        Raises
        ------
        AlmondError
            ``claim_unavailable`` if the store did not respond in time, and
            ``key_expired`` if the key expired meanwhile. The claim may still
            be created later; it is then released or stays unused.
        """

    @abstractmethod
    def owns(self, claim: Claim) -> bool:
        """Return whether the call that returned this claim also created it.

        False for a claim that has been released, and for one that another call
        on this daemon created.
        """

    @abstractmethod
    async def release(self, claim: Claim) -> None:
        """Delete an owned claim whose request has not run and never will."""

    def try_abandon(self, claim_id: str) -> bool:
        """Abandon a requested claim unless this daemon may have run under it.

        Returns
        -------
        bool
            True if the claim is abandoned, now or before, so that its request
            never runs under it. False if it is owned or not known, since its
            request may then have run.
        """
        return False


class _OwnClaim(Claim, frozen=True, array_like=True, weakref=True):
    """A claim created by a call on this daemon.

    Claims received in replies have the base type, even if they have the same claim id.
    """


class StoreClaims(ClaimService):
    """Creates claims through the data centre's delegate, which batches them.

    Parameters
    ----------
    host, incarnation
        Identity of this daemon.
    endpoint
        Control links to the delegate; also receives the claims of other daemons
        when this one is the delegate.
    batcher
        Writes claims to the store when this daemon is the delegate.
    delegate
        Returns the control address of the delegate; None if it is this daemon.
    clock
        Source of monotonic time for deadlines and of wall time for key expiry.
    sleep
        Waits the given number of seconds between attempts.
    """

    def __init__(
        self,
        *,
        host: str,
        incarnation: int,
        endpoint: ControlEndpoint,
        batcher: ClaimBatcher,
        delegate: Callable[[], str | None],
        clock: Clock,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._endpoint = endpoint
        self._batcher = batcher
        self._delegate = delegate
        self._clock = clock
        self._sleep = sleep
        self._pending: set[str] = set()
        self._owned: weakref.WeakSet[_OwnClaim] = weakref.WeakSet()
        self._abandoned: OrderedDict[str, None] = OrderedDict()
        self._releases: set[asyncio.Task[None]] = set()
        endpoint.set_handler(ClaimRequest, self._handle_claim)
        endpoint.set_handler(ClaimRelease, self._handle_release)

    async def claim(  # noqa: D102
        self, key: str, *, deadline: float, replaces: str | None = None
    ) -> Claim:
        claim = _OwnClaim(key, str(uuid.uuid4()), self._host, self._incarnation)
        request = ClaimRequest(claim, replaces)
        self._pending.add(claim.claim_id)
        holder = None
        try:
            holder = await self._request_holder(request, deadline)
            # If the key has expired, an earlier claim under which the request ran
            # may already have been removed.
            check_idempotency_key(key, now=self._clock.wall())
            if claim.claim_id not in self._pending:
                message = "the claim was abandoned while it was being created"
                raise AlmondError(ErrorCode.CLAIM_UNAVAILABLE, message)
            if holder.claim_id != claim.claim_id:
                return holder
            self._owned.add(claim)
            return claim
        finally:
            self._pending.discard(claim.claim_id)
            if claim not in self._owned:
                self._mark_abandoned(claim.claim_id)
                if holder is None or holder.claim_id == claim.claim_id:
                    self._start_release(claim)

    def owns(self, claim: Claim) -> bool:  # noqa: D102
        return isinstance(claim, _OwnClaim) and claim in self._owned

    async def release(self, claim: Claim) -> None:  # noqa: D102
        if not self.owns(claim):
            return
        self._owned.discard(claim)
        self._mark_abandoned(claim.claim_id)
        await self._request_release(claim)

    def try_abandon(self, claim_id: str) -> bool:  # noqa: D102
        # The request of a claim that is owned or no longer known may have run.
        if claim_id in self._pending:
            self._pending.discard(claim_id)
            self._mark_abandoned(claim_id)
        return claim_id in self._abandoned

    async def close(self) -> None:
        """Cancel the releases in progress."""
        for task in self._releases:
            task.cancel()
        await asyncio.gather(*self._releases, return_exceptions=True)

    async def _request_holder(self, request: ClaimRequest, deadline: float) -> Claim:
        """Request a claim, with retries of the same id, until its holder is known."""
        delay = INITIAL_RETRY_DELAY_S
        while True:
            check_idempotency_key(request.claim.key, now=self._clock.wall())
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                message = (
                    "the store did not confirm the claim in time; "
                    "no request was run under it"
                )
                raise AlmondError(ErrorCode.CLAIM_UNAVAILABLE, message)
            reply = await self._request_from_delegate(
                request, min(remaining, ATTEMPT_TIMEOUT_S)
            )
            if isinstance(reply, ClaimReply) and reply.holder is not None:
                return reply.holder
            await self._sleep(random.uniform(delay / 2, delay))
            delay = min(2 * delay, MAX_RETRY_DELAY_S)

    async def _request_from_delegate(
        self, message: ClaimRequest | ClaimRelease, seconds: float
    ) -> ControlMessage | None:
        """Return the delegate's reply, or None if there is none in ``seconds``."""
        address = self._delegate()
        try:
            async with asyncio.timeout(seconds):
                if address is None:
                    return await self._handle_as_delegate(message)
                deadline = self._clock.monotonic() + seconds
                return await self._endpoint.request(address, message, deadline=deadline)
        except (TimeoutError, AlmondError):
            return None

    async def _handle_as_delegate(
        self, message: ClaimRequest | ClaimRelease
    ) -> ControlMessage:
        if isinstance(message, ClaimRequest):
            return await self._batcher.claim(message)
        if await self._batcher.release(message.claim):
            return Accepted()
        return Refused(
            ErrorCode.CLAIM_UNAVAILABLE, "the store did not confirm the release"
        )

    async def _handle_claim(self, message: ClaimRequest, _sender: str) -> ClaimReply:
        return await self._batcher.claim(message)

    async def _handle_release(
        self, message: ClaimRelease, _sender: str
    ) -> ControlMessage:
        return await self._handle_as_delegate(message)

    async def _request_release(self, claim: Claim) -> None:
        deadline = self._clock.monotonic() + RELEASE_TIMEOUT_S
        while (remaining := deadline - self._clock.monotonic()) > 0:
            if isinstance(
                await self._request_from_delegate(ClaimRelease(claim), remaining),
                Accepted,
            ):
                return
            await self._sleep(INITIAL_RETRY_DELAY_S)

    def _start_release(self, claim: Claim) -> None:
        task = asyncio.ensure_future(self._request_release(claim))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    def _mark_abandoned(self, claim_id: str) -> None:
        self._abandoned[claim_id] = None
        if len(self._abandoned) > MAX_ABANDONED_CLAIMS:
            self._abandoned.popitem(last=False)
