"""The active routes of a daemon; their version never decreases."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from almondrouter.coordination.storefeed import StoreSubscriber
from almondrouter.errors import FindingsError
from almondrouter.logs import EventLogger
from almondrouter.state.routes import RouteTable
from almondrouter.transport.store import KeyValue, WatchEvent

_log = EventLogger("routes")


class ActiveRoutes(StoreSubscriber):
    """Activates each valid newer configuration atomically.

    Keeps the stored form of the active configuration, and the version and stored form
    of the previous one, which is the base of deltas that are sent to peers.

    Parameters
    ----------
    key
        Key of the configuration in the store.
    decode
        Returns the routes of a stored configuration; raises ``FindingsError`` if
        it is invalid.
    on_activated
        Called after another version was activated.
    """

    def __init__(
        self,
        key: str,
        decode: Callable[[bytes], RouteTable],
        *,
        on_activated: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_activated = on_activated
        self._key = key
        self._decode = decode
        self.table: RouteTable | None = None
        self.stored_form = b""
        self.previous: tuple[int, bytes] = (0, b"")

    @property
    def prefix(self) -> str:  # noqa: D102
        return self._key

    @property
    def version(self) -> int:
        """Return the active version; 0 before the first."""
        return self.table.version if self.table is not None else 0

    @property
    def is_polled(self) -> bool:  # noqa: D102
        # Peers announce their version with every call, so the long value need not
        # be polled.
        return self.table is None

    def load(  # noqa: D102
        self, items: Sequence[KeyValue], *, stale: bool = False, revision: int = 0
    ) -> None:
        for item in items:
            if item.key == self._key:
                self.activate(item.value, source="read of the store")

    def apply(self, event: WatchEvent) -> None:  # noqa: D102
        if event.key == self._key and event.value is not None:
            self.activate(event.value, source="watch of the store")

    def activate(self, value: bytes, *, source: str = "") -> None:
        """Activate a configuration in its stored form if it is valid and newer.

        Parameters
        ----------
        source
            What delivered the configuration, for the log.
        """
        try:
            table = self._decode(value)
        except FindingsError as error:
            _log.error(
                "invalid configuration refused; keeping the one in force",
                in_force=self.version,
                findings=[str(finding) for finding in error.findings],
            )
            return
        if table.version <= self.version:
            if table.version < self.version:
                _log.warning(
                    "older configuration ignored",
                    in_force=self.version,
                    offered=table.version,
                )
            return
        previous = self.version
        self.previous = (previous, self.stored_form)
        self.table, self.stored_form = table, value
        _log.info(
            "configuration in force",
            version=table.version,
            before=previous,
            source=source,
        )
        self._on_activated()
