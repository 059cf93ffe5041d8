"""What configuration distribution needs to know of the other daemons."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from almondrouter.protocol.control import Head
from almondrouter.state.registry import HostRecord

HostRanking = Callable[[Iterable[HostRecord], str], list[HostRecord]]
"""Sorts the live hosts of a data centre, those that are delegates first."""


class Fleet(Protocol):
    """The part of membership that configuration distribution uses."""

    @property
    def discovery_done(self) -> bool:
        """Whether a member of the own data centre is known or none can be."""

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Join through more addresses, such as those kept in the store."""

    def push_targets(self) -> tuple[HostRecord, ...]:
        """Return the overlay neighbours that are told of news."""

    def live_hosts(self, data_centre: str) -> list[HostRecord]:
        """Return the hosts of a data centre that are held to be alive."""

    def unreachable_data_centres(self) -> Iterable[str]:
        """Return the data centres that are not heard from."""

    def update_store_down(self, store_down: bool) -> None:
        """Change ``store_down`` in this daemon's own record and spread it."""

    def add_change_listener(self, listener: Callable[..., None]) -> None:
        """Call ``listener`` with the records that were accepted."""

    def add_head_listener(self, listener: Callable[[HostRecord, Head], None]) -> None:
        """Call ``listener`` with the head in each neighbour's heartbeat."""

    def add_resume_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` when the process has been frozen and goes on."""
