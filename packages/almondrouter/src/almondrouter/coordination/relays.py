"""Which daemon of a region follows the store for the others.

Load pattern: configurations in quick succession, a store whose calls and whose
bytes between regions are paid for, and daemons that lose the store or stop while
a change is under way. One daemon a region watches the store and hands each
version on over the links; the others take over as soon as it falls silent.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RelayCandidate:
    """A daemon of the own region.

    Parameters
    ----------
    host
        Name of the host; the first in order is the relay.
    answers
        Whether its link has been heard lately.
    reaches_store
        Whether it says that the store answers it.
    """

    host: str
    answers: bool
    reaches_store: bool


class RelayElection:
    """Decides by rank alone; two relays at a time do no harm.

    Parameters
    ----------
    own_host
        Name of this host.
    reaches_store
        Returns whether the store answers this daemon.
    """

    def __init__(self, own_host: str, *, reaches_store: Callable[[], bool]) -> None:
        self._own_host = own_host
        self._reaches_store = reaches_store

    def is_relay(self, others: Iterable[RelayCandidate]) -> bool:
        """Return whether this daemon follows the store itself.

        Notes
        -----
        A daemon that knows of nobody who reaches the store goes on trying.
        """
        able = [c.host for c in others if c.answers and c.reaches_store]
        if not able:
            return True
        return self._reaches_store() and self._own_host < min(able)
