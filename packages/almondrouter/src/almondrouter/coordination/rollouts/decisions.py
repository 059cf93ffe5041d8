"""Reads and writes the status of roll-outs in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from almondrouter.coordination.rollouts.coordinator import Coordinator
from almondrouter.coordination.rollouts.lease import CoordinatorLease
from almondrouter.coordination.rollouts.orders import OrderBook
from almondrouter.errors import AlmondError, ErrorCode
from almondrouter.logs import EventLogger
from almondrouter.state.rollouts import RolloutOrder, RolloutPhase, RolloutStatus
from almondrouter.transport.store import Compare, Put, Store, Transaction

RETRY_INTERVAL_S = 0.15
"""Seconds between attempts to write a status."""
DECISION_CHECK_S = 0.05
"""Interval at which the writer looks for a decision."""

_log = EventLogger("rollouts")


class StatusCodec:
    """Stored form of statuses, and where orders and statuses are.

    Parameters
    ----------
    orders_prefix, statuses_prefix
        Prefixes of the keys; the name of the service follows.
    encode
        Returns the stored form of a status.
    decode
        Returns the status of a value, given its revision; None if it is invalid.
    """

    def __init__(
        self,
        orders_prefix: str,
        statuses_prefix: str,
        *,
        encode: Callable[[RolloutStatus], bytes],
        decode: Callable[[bytes, int], RolloutStatus | None],
    ) -> None:
        self.orders_prefix = orders_prefix
        self.statuses_prefix = statuses_prefix
        self.encode = encode
        self.decode = decode


class Decisions:
    """Statuses of roll-outs in the store.

    Parameters
    ----------
    store
        Store of the platform.
    codec
        Stored form.
    orders
        Known orders.
    """

    def __init__(self, store: Store, codec: StatusCodec, orders: OrderBook) -> None:
        self._store = store
        self._codec = codec
        self._orders = orders

    async def read_all(self) -> list[RolloutStatus]:
        """Return the statuses of all services."""
        prefix = self._codec.statuses_prefix
        # A decision that is too new for this read arrives with the plans.
        result = await self._store.read_prefix(prefix, stale=True)
        found = (self._codec.decode(i.value, i.mod_revision) for i in result.items)
        return [status for status in found if status is not None]

    async def read(self, service: str) -> tuple[RolloutStatus | None, int]:
        """Return the status of a service, and the revision of its key or 0."""
        result = await self._store.read(self._codec.statuses_prefix + service)
        for item in result.items:
            return self._codec.decode(item.value, item.mod_revision), item.mod_revision
        return None, 0

    async def reread_order(self, service: str) -> None:
        """Apply the stored order of a service, which may have changed."""
        key = self._codec.orders_prefix + service
        result = await self._store.read(key)
        if result.items:
            self._orders.load(result.items, stale=True)
        elif known := self._orders.find(service):
            self._orders.remove(service, known.order.revision)

    async def write(
        self,
        order: RolloutOrder,
        phase: RolloutPhase | None,
        lease: CoordinatorLease,
        *,
        seen_revision: int,
    ) -> bool:
        """Write a status if nothing has changed; return whether it was written.

        Parameters
        ----------
        phase
            The decision; None for a roll-out that runs.
        seen_revision
            Revision of the present status, or 0 if there is none.
        """
        if not lease.is_held:
            raise AlmondError(ErrorCode.LEASE_EXPIRED, f"lease {lease.key} was lost")
        service = order.service
        status_key = self._codec.statuses_prefix + service
        status = RolloutStatus(service, order.target_version, phase, 0)
        compares = (
            Compare(status_key, seen_revision),
            Compare(lease.key, lease.token),
            Compare(
                self._codec.orders_prefix + service,
                self._orders.get_stored_revision(service),
            ),
        )
        put = Put(status_key, self._codec.encode(status))
        return (await self._store.commit(Transaction(compares, (put,)))).succeeded


class StatusWriter:
    """Keeps the stored status of one roll-out up to date for its coordinator.

    Parameters
    ----------
    decisions
        Statuses in the store.
    coordinator
        Decides what is to be written; told when a decision has been.
    lease
        Lease of the coordinator.
    """

    def __init__(
        self, decisions: Decisions, coordinator: Coordinator, lease: CoordinatorLease
    ) -> None:
        self._decisions = decisions
        self._coordinator = coordinator
        self._lease = lease
        self._is_running_stored = False

    async def run(self) -> None:
        """Write ``running``, then the decision, until that is stored."""
        coordinator = self._coordinator
        while not coordinator.is_written:
            if self._is_running_stored and coordinator.decision is None:
                await asyncio.sleep(DECISION_CHECK_S)
                continue
            try:
                done = await self._bring_up_to_date()
            except AlmondError as error:
                done = False
                _log.warning(
                    "status of a roll-out not written; trying again",
                    service=coordinator.order.service,
                    code=error.code.value,
                    reason=error.message,
                )
                if error.code is ErrorCode.LEASE_EXPIRED:
                    return
            if not done:
                await asyncio.sleep(RETRY_INTERVAL_S)

    async def _bring_up_to_date(self) -> bool:
        """Read the status and write it unless it says already what it should.

        Returns
        -------
        bool
            Whether the store now holds the right status.

        Notes
        -----
        Each attempt reads again: the response to an earlier write may have been lost
        after the write had taken effect.
        """
        coordinator, order = self._coordinator, self._coordinator.order
        status, revision = await self._decisions.read(order.service)
        if status is not None and status.decides(order):
            coordinator.mark_written(status.phase)
            return True
        is_running = (
            status is not None
            and status.phase is None
            and status.target_version == order.target_version
            and status.revision > order.revision
        )
        phase = coordinator.decision
        if phase is None and is_running:
            self._is_running_stored = True
            return True
        written = await self._decisions.write(
            order, phase, self._lease, seen_revision=revision
        )
        if not written:
            await self._decisions.reread_order(order.service)
        elif phase is None:
            self._is_running_stored = True
        else:
            coordinator.mark_written(phase)
        return written
