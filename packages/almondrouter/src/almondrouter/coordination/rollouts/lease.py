"""The coordinator's lease in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from almondrouter.clock import Clock
from almondrouter.errors import AlmondError, ErrorCode, StoreOutcomeUnknownError
from almondrouter.transport.store import Compare, Lease, Put, Store, Transaction

LEASES_PREFIX = "almondrouter/rollouts/"
LEASE_TTL_S = 2
RENEWAL_INTERVAL_S = 0.6
"""Seconds between renewals; two may fail before the lease expires."""
RETRY_INTERVAL_S = 0.2


class CoordinatorLease:
    """Lease of the coordinator of one service.

    Parameters
    ----------
    store
        Store of the platform.
    service
        Service whose roll-out is coordinated.
    owner
        Value of the key, different for each start of a daemon.
    clock
        Source of monotonic time, which includes time spent suspended.
    """

    def __init__(self, store: Store, service: str, *, owner: str, clock: Clock) -> None:
        self._store = store
        self.key = LEASES_PREFIX + service
        self._owner = owner.encode()
        self._clock = clock
        self._lease: Lease | None = None
        self.token = 0
        """Revision at which the key was created; 0 while the lease is not held."""

    @property
    def is_held(self) -> bool:
        """Whether no other daemon can hold the lease at this moment."""
        lease = self._lease
        return (
            bool(self.token)
            and lease is not None
            and self._clock.monotonic() < lease.deadline
        )

    async def try_acquire(self) -> bool:
        """Take the lease if it is free; return whether it is held now.

        Raises
        ------
        AlmondError
            If the store does not respond.
        """
        if (await self._store.read(self.key)).items:
            return False
        self._lease = await self._store.grant_lease(LEASE_TTL_S)
        put = Put(self.key, self._owner, self._lease.lease_id)
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
            if item.value == self._owner:
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
