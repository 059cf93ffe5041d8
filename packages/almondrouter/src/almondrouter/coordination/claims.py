"""Claims on idempotency keys, so that a request runs at most once."""

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

# Above the store client's timeout, so that the delegate's reply comes first.
ATTEMPT_S = 1.2
RELEASE_S = 1.2
# A store outage must not turn every waiting call into a stream of messages.
FIRST_RETRY_DELAY_S = 0.02
LONGEST_RETRY_DELAY_S = 0.5
MAX_GIVEN_UP = 10_000


class ClaimService(ABC):
    """Decides which daemon may run the request of an idempotency key."""

    @abstractmethod
    async def claim(
        self, key: str, *, deadline: float, replaces: str | None = None
    ) -> Claim:
        """Create the claim on a key, or return the one that exists.

        Parameters
        ----------
        key
            Canonical idempotency key.
        deadline
            Monotonic seconds until which the store may be asked.
        replaces
            Claim id that its holder has given up as not run.

        Returns
        -------
        Claim
            The holder. The caller may run the request only if ``claim_id`` was
            made by this call, which `owns` tells.

        Raises
        ------
        AlmondError
            ``claim_unavailable`` if the store did not answer in time, and
            ``key_expired`` if the key became too old meanwhile. The claim may
            still come into being; it is then released or stays unused.
        """

    @abstractmethod
    def owns(self, claim: Claim) -> bool:
        """Return whether the call that returned this claim made it.

        False for a claim that was released, and for one that another call on
        this daemon made.
        """

    @abstractmethod
    async def release(self, claim: Claim) -> None:
        """Give up an own claim whose request was not run and never will be."""

    def gives_up(self, claim_id: str) -> bool:
        """Return whether this daemon never runs under a claim that it asked for.

        A claim that is still being asked for is given up by this.
        """
        return False


class _OwnClaim(Claim, frozen=True, array_like=True, weakref=True):
    """A claim that one call on this daemon made, told from a copy by its type."""


class StoreClaims(ClaimService):
    """Claims through the data centre's delegate, which batches them.

    Parameters
    ----------
    host, incarnation
        This daemon.
    endpoint
        Reaches the delegate; this daemon serves claims for others on it.
    batcher
        Writes claims when this daemon is the delegate.
    delegate
        Returns the control address of the delegate; None for this daemon.
    clock
        Measures deadlines and the age of keys.
    sleep
        Waits between attempts.
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
        self._given_up: OrderedDict[str, None] = OrderedDict()
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
            holder = await self._find_holder(request, deadline)
            # A claim that came into being after the key's time could outlive
            # an earlier one that has been removed.
            check_idempotency_key(key, now=self._clock.wall())
            if claim.claim_id not in self._pending:
                message = "the claim was given up while it was asked for"
                raise AlmondError(ErrorCode.CLAIM_UNAVAILABLE, message)
            if holder.claim_id != claim.claim_id:
                return holder
            self._owned.add(claim)
            return claim
        finally:
            self._pending.discard(claim.claim_id)
            if claim not in self._owned:
                self._give_up(claim.claim_id)
                if holder is None or holder.claim_id == claim.claim_id:
                    self._start_release(claim)

    def owns(self, claim: Claim) -> bool:  # noqa: D102
        return isinstance(claim, _OwnClaim) and claim in self._owned

    async def release(self, claim: Claim) -> None:  # noqa: D102
        if not self.owns(claim):
            return
        self._owned.discard(claim)
        self._give_up(claim.claim_id)
        await self._release(claim)

    def gives_up(self, claim_id: str) -> bool:  # noqa: D102
        # A claim that is owned, or that is not remembered, may have run.
        if claim_id in self._pending:
            self._pending.discard(claim_id)
            self._give_up(claim_id)
        return claim_id in self._given_up

    async def close(self) -> None:
        """Stop the releases that are under way."""
        for task in self._releases:
            task.cancel()
        await asyncio.gather(*self._releases, return_exceptions=True)

    async def _find_holder(self, request: ClaimRequest, deadline: float) -> Claim:
        """Ask until the holder is known; each attempt names the same claim id."""
        delay = FIRST_RETRY_DELAY_S
        while True:
            check_idempotency_key(request.claim.key, now=self._clock.wall())
            remaining = deadline - self._clock.monotonic()
            if remaining <= 0:
                message = "the store did not answer in time"
                raise AlmondError(ErrorCode.CLAIM_UNAVAILABLE, message)
            reply = await self._ask(request, min(remaining, ATTEMPT_S))
            if isinstance(reply, ClaimReply) and reply.holder is not None:
                return reply.holder
            await self._sleep(random.uniform(delay / 2, delay))
            delay = min(2 * delay, LONGEST_RETRY_DELAY_S)

    async def _ask(
        self, message: ClaimRequest | ClaimRelease, seconds: float
    ) -> ControlMessage | None:
        """Return the delegate's reply, or None if there was none in time."""
        address = self._delegate()
        try:
            async with asyncio.timeout(seconds):
                if address is None:
                    return await self._serve(message)
                deadline = self._clock.monotonic() + seconds
                return await self._endpoint.request(address, message, deadline=deadline)
        except (TimeoutError, AlmondError):
            return None

    async def _serve(self, message: ClaimRequest | ClaimRelease) -> ControlMessage:
        if isinstance(message, ClaimRequest):
            return await self._batcher.claim(message)
        if await self._batcher.release(message.claim):
            return Accepted()
        return Refused(ErrorCode.CLAIM_UNAVAILABLE, "the store did not answer")

    async def _handle_claim(self, message: ClaimRequest, _sender: str) -> ClaimReply:
        return await self._batcher.claim(message)

    async def _handle_release(
        self, message: ClaimRelease, _sender: str
    ) -> ControlMessage:
        return await self._serve(message)

    async def _release(self, claim: Claim) -> None:
        deadline = self._clock.monotonic() + RELEASE_S
        while (remaining := deadline - self._clock.monotonic()) > 0:
            if isinstance(await self._ask(ClaimRelease(claim), remaining), Accepted):
                return
            await self._sleep(FIRST_RETRY_DELAY_S)

    def _start_release(self, claim: Claim) -> None:
        task = asyncio.ensure_future(self._release(claim))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)

    def _give_up(self, claim_id: str) -> None:
        self._given_up[claim_id] = None
        if len(self._given_up) > MAX_GIVEN_UP:
            self._given_up.popitem(last=False)
