"""Interface of the membership that configuration distribution uses."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from almondrouter.protocol.control import Head
from almondrouter.state.registry import HostRecord

HostRanking = Callable[[Iterable[HostRecord], str], list[HostRecord]]
"""Returns the live hosts of a data centre, the delegates first."""


class Fleet(Protocol):
    """The part of membership that configuration distribution uses."""

    @property
    def discovery_done(self) -> bool:
        """Whether the discovery of peers is complete.

        True once another live host of the data centre is known or every seed has
        answered.
        """

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Join through more addresses, such as those kept in the store."""

    def push_targets(self) -> tuple[HostRecord, ...]:
        """Return the overlay neighbours that changes are pushed to."""

    def live_hosts(self, data_centre: str) -> list[HostRecord]:
        """Return the hosts of a data centre that are neither dead nor left."""

    def unreachable_data_centres(self) -> Iterable[str]:
        """Return the known data centres that cannot be reached."""

    def update_store_down(self, store_down: bool) -> None:
        """Set ``store_down`` in this daemon's own record and publish it."""

    def add_change_listener(self, listener: Callable[..., None]) -> None:
        """Call ``listener`` with the records of each merge that were accepted."""

    def add_head_listener(self, listener: Callable[[HostRecord, Head], None]) -> None:
        """Call ``listener`` with the sender and head of each heartbeat or reply."""

    def add_resume_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when this process continues after it was frozen."""
