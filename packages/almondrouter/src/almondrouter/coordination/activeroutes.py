"""The routes in force; versions only rise."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from almondrouter.coordination.storefeed import StoreSubscriber
from almondrouter.errors import FindingsError
from almondrouter.logs import EventLogger
from almondrouter.state.routes import RouteTable
from almondrouter.transport.store import KeyValue, WatchEvent

_log = EventLogger("routes")


class ActiveRoutes(StoreSubscriber):
    """Brings each accepted configuration into force, whole.

    It keeps the stored form of the one in force, and version and form of the one
    before, from which peers can make it.

    Parameters
    ----------
    key
        Key of the configuration in the store.
    decode
        Returns the routes of a stored configuration; raises ``FindingsError``.
    changed
        Called when another version is in force.
    """

    def __init__(
        self,
        key: str,
        decode: Callable[[bytes], RouteTable],
        *,
        changed: Callable[[], None] = lambda: None,
    ) -> None:
        self._changed = changed
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
        """Return the version in force; 0 before the first."""
        return self.table.version if self.table is not None else 0

    @property
    def is_polled(self) -> bool:  # noqa: D102
        # Peers tell of versions with every call, so a long value is not read.
        return self.table is None

    def load(  # noqa: D102
        self, items: Sequence[KeyValue], *, stale: bool = False
    ) -> None:
        for item in items:
            if item.key == self._key:
                self.take(item.value)

    def apply(self, event: WatchEvent) -> None:  # noqa: D102
        if event.key == self._key and event.value is not None:
            self.take(event.value)

    def take(self, value: bytes) -> None:
        """Take over a configuration in its stored form, if it is a later one."""
        try:
            table = self._decode(value)
        except FindingsError as error:
            _log.error(
                "configuration refused; the one in force stays",
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
        before = self.version
        self.previous = (before, self.stored_form)
        self.table, self.stored_form = table, value
        _log.info("configuration in force", version=table.version, before=before)
        self._changed()
