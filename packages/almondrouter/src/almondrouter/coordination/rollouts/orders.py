"""Orders of roll-outs that are known to this daemon."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from almondrouter.clock import Clock
from almondrouter.coordination.storefeed import StoreSubscriber
from almondrouter.errors import FindingsError
from almondrouter.logs import EventLogger
from almondrouter.state.revisions import are_one_write
from almondrouter.state.rollouts import RolloutOrder
from almondrouter.transport.store import KeyValue, WatchEvent

_log = EventLogger("rollouts")


@dataclass(slots=True)
class KnownOrder:
    """An order, and when it was written as far as this daemon knows.

    Parameters
    ----------
    ordered_at
        Monotonic seconds; later than the order was written, by an unknown time, if this
        daemon read it after a start.
    """

    order: RolloutOrder
    ordered_at: float


class OrderBook(StoreSubscriber):
    """Holds the newest order of each service.

    Parameters
    ----------
    prefix
        Prefix of the keys of orders.
    decode
        Returns the order of a value, given its key, value and revision; raises
        ``FindingsError`` if it is invalid.
    clock
        Source of monotonic time.
    on_changed
        Called with the service whose order is new or was removed.
    on_loaded
        Called after each complete read that is up to date.
    """

    def __init__(
        self,
        prefix: str,
        decode: Callable[[str, bytes, int], RolloutOrder],
        *,
        clock: Clock,
        on_changed: Callable[[str], None],
        on_loaded: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_loaded = on_loaded
        self._prefix = prefix
        self._decode = decode
        self._clock = clock
        self._on_changed = on_changed
        self._orders: dict[str, KnownOrder] = {}
        self._removed: dict[str, int] = {}
        self._stored: dict[str, int] = {}
        self.counts: Counter[str] = Counter()

    @property
    def prefix(self) -> str:  # noqa: D102
        return self._prefix

    @property
    def is_polled(self) -> bool:  # noqa: D102
        # The relay of the region and the coordinator tell of orders.
        return False

    @property
    def orders(self) -> list[KnownOrder]:
        """Return all orders, open or decided."""
        return list(self._orders.values())

    def find(self, service: str) -> KnownOrder | None:
        """Return the order of a service."""
        return self._orders.get(service)

    def find_removal(self, service: str) -> int:
        """Return the revision at which the order of a service was removed, or 0."""
        return self._removed.get(service, 0)

    def get_stored_revision(self, service: str) -> int:
        """Return the revision of the key of an order as last seen; 0 if there is none.

        It differs from that of the order in force if a later value was refused.
        """
        known = self._orders.get(service)
        return max(self._stored.get(service, 0), known.order.revision if known else 0)

    def load(  # noqa: D102
        self, items: Sequence[KeyValue], *, stale: bool = False, revision: int = 0
    ) -> None:
        services = set()
        for item in items:
            services.add(item.key.removeprefix(self._prefix))
            self._apply_value(item.key, item.value, item.mod_revision)
        if stale:
            return
        for service, known in tuple(self._orders.items()):
            if service not in services and known.order.revision <= revision:
                self.remove(service, revision)
        self._on_loaded()

    def apply(self, event: WatchEvent) -> None:  # noqa: D102
        if event.value is None:
            self.remove(event.key.removeprefix(self._prefix), event.mod_revision)
        else:
            self._apply_value(event.key, event.value, event.mod_revision)

    def remove(self, service: str, revision: int) -> None:
        """Forget the order of a service if it was written before a revision."""
        self._stored.pop(service, None)
        known = self._orders.get(service)
        if known is None or known.order.revision > revision:
            return
        del self._orders[service]
        self._removed[service] = revision
        _log.info("roll-out order removed", service=service, revision=revision)
        self._on_changed(service)

    def add(self, order: RolloutOrder, *, age: float) -> None:
        """Take over an order that may be known already.

        Parameters
        ----------
        age
            Seconds since it was written, as far as the source knows.
        """
        service, now = order.service, self._clock.monotonic()
        known = self._orders.get(service)
        if known is not None and is_same_order(known.order, order):
            known.ordered_at = min(known.ordered_at, now - age)
            return
        outdated = known is not None and known.order.revision > order.revision
        if outdated or order.revision <= self.find_removal(service):
            return
        self._orders[service] = KnownOrder(order, now - age)
        _log.info(
            "roll-out ordered",
            service=service,
            target_version=order.target_version,
            duration=order.duration,
            revision=order.revision,
            age=round(age, 3),
        )
        self._on_changed(service)

    def _apply_value(self, key: str, value: bytes, revision: int) -> None:
        service = key.removeprefix(self._prefix)
        try:
            order = self._decode(key, value, revision)
        except FindingsError as error:
            if self._stored.get(service) != revision:
                self.counts["refused"] += 1
                _log.error(
                    "invalid roll-out order refused",
                    service=service,
                    revision=revision,
                    findings=[str(finding) for finding in error.findings],
                )
            self._stored[service] = revision
            return
        self._stored[service] = revision
        self.add(order, age=0.0)


def is_same_order(known: RolloutOrder, order: RolloutOrder) -> bool:
    """Return whether an order is known, also if a copy of the store brings it back.

    Notes
    -----
    A roll-out that was ordered before the copy was made goes on, and what was decided
    about it holds.
    """
    same_request = (known.target_version, known.duration) == (
        order.target_version,
        order.duration,
    )
    return known.revision == order.revision or (
        same_request and are_one_write(known.revision, order.revision)
    )
