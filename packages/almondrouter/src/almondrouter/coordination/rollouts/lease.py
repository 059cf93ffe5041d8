"""The coordinator's lease in the store."""

from __future__ import annotations

import asyncio
import random as random_module
from collections import Counter
from collections.abc import Callable

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode, StoreOutcomeUnknownError
from almondrouter.transport.store import Compare, Lease, Put, Store, Transaction

LEASES_PREFIX = "almondrouter/rollouts/"
LEASE_TTL_S = 2
RENEWAL_INTERVAL_S = 0.6
"""Seconds between renewals; two may fail before the lease expires."""
RETRY_INTERVAL_S = 0.2
ELECTION_DELAY_S = 0.5
"""Longest random delay before an attempt to become coordinator."""
OTHER_HOSTS_DELAY_S = 0.6
"""Additional delay of daemons that are not beside a server of the service."""
FAILED_ATTEMPT_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 2.0
"""Longest delay after attempts that failed because the store did not respond."""


class CoordinatorLease:
    """Lease of the coordinator of one service.

    Parameters
    ----------
    store
        Store of the platform.
    service
        Service whose roll-out is coordinated.
    owner
        Name of this daemon, different for each of its starts.
    peer_address
        Address at which other daemons reach this one; others find it in the key.
    clock
        Source of monotonic time, which includes time spent suspended.
    """

    def __init__(
        self, store: Store, service: str, *, owner: str, peer_address: str, clock: Clock
    ) -> None:
        self._store = store
        self.key = LEASES_PREFIX + service
        self._value = f"{owner} {peer_address}".encode()
        self._clock = clock
        self._lease: Lease | None = None
        self.token = 0
        """Revision at which the key was created; 0 while the lease is not held."""
        self.holder_address = ""
        """Address of the daemon that was found to hold the lease."""

    @property
    def is_held(self) -> bool:
        """Whether no other daemon can hold the lease at this moment."""
        lease = self._lease
        return (
            bool(self.token)
            and lease is not None
            and self._clock.monotonic() < lease.deadline
        )

    async def is_free(self) -> bool:
        """Return whether no daemon holds the lease."""
        for item in (await self._store.read(self.key)).items:
            self.holder_address = item.value.decode(errors="replace").rpartition(" ")[2]
            return False
        return True

    async def try_acquire(self) -> bool:
        """Take the lease if it is free; return whether it is held now.

        Raises
        ------
        AlmondError
            If the store does not respond.
        """
        self._lease = await self._store.grant_lease(LEASE_TTL_S)
        put = Put(self.key, self._value, self._lease.lease_id)
        try:
            result = await self._store.commit(
                Transaction((Compare(self.key, 0),), (put,))
            )
            if result.succeeded:
                self.token = result.revision
        except StoreOutcomeUnknownError:
            await self._find_own_key()
        return self.is_held

    async def _find_own_key(self) -> None:
        """Look whether a write whose response was lost has taken effect."""
        for item in (await self._store.read(self.key)).items:
            if item.value == self._value:
                self.token = item.create_revision

    async def keep(self, on_lost: Callable[[], None]) -> None:
        """Renew the lease until it is lost or this is cancelled."""
        delay = RENEWAL_INTERVAL_S
        while self.is_held:
            await asyncio.sleep(delay)
            try:
                self._lease = await self._store.keep_alive(self._lease)
                delay = RENEWAL_INTERVAL_S
            except AlmondError as error:
                delay = RETRY_INTERVAL_S
                if error.code is ErrorCode.LEASE_EXPIRED:
                    self.token = 0
        on_lost()

    async def release(self) -> None:
        """Give the lease back; it expires by itself if the store does not respond."""
        if self._lease is None:
            return
        self.token = 0
        try:
            await self._store.revoke_lease(self._lease)
        except AlmondError:
            return


class AttemptSchedule:
    """When this daemon tries to become the coordinator of each service.

    Parameters
    ----------
    clock, random
        Sources of monotonic time and of the delays.
    """

    def __init__(self, clock: Clock, random: random_module.Random) -> None:
        self._clock = clock
        self._random = random
        self._due_at: dict[str, float] = {}
        self._failures: Counter[str] = Counter()

    def reset(self, service: str) -> None:
        """Make no attempt, as there is a coordinator or no order."""
        self._due_at.pop(service, None)

    def is_due(self, service: str, *, is_near: bool) -> bool:
        """Return whether to make an attempt now; the first call starts the delay.

        Parameters
        ----------
        is_near
            Whether this daemon is beside a server of the service.
        """
        now = self._clock.monotonic()
        if service not in self._due_at:
            delay = ELECTION_DELAY_S * self._random.random()
            delay += 0.0 if is_near else OTHER_HOSTS_DELAY_S
            backoff = FAILED_ATTEMPT_DELAY_S * self._failures[service]
            self._due_at[service] = now + delay + min(MAX_RETRY_DELAY_S, backoff)
        if now < self._due_at[service]:
            return False
        del self._due_at[service]
        return True

    def record_failure(self, service: str) -> None:
        """Wait longer, as the store did not respond."""
        self._failures[service] += 1

    def defer(self, service: str) -> None:
        """Let other daemons go first, as this one reaches too few."""
        self._due_at[service] = self._clock.monotonic() + MAX_RETRY_DELAY_S

    def record_response(self, service: str) -> None:
        """Wait no longer than usual, as the store has responded."""
        self._failures.pop(service, None)
