"""Orders that move a service to another version, and how far they have come."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from almondrouter.state.revisions import was_written_later

MAX_DURATION_S = 86_400.0


class RolloutPhase(StrEnum):
    """Phase of a roll-out.

    ``WAITING`` sends nothing to the new version, ``TRIAL`` a small share and ``WHOLE``
    everything. ``COMPLETED`` and ``ROLLED_BACK`` are final. ``REMOVED`` tells that the
    operators have withdrawn the order.
    """

    WAITING = "waiting"
    TRIAL = "trial"
    WHOLE = "whole"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"
    REMOVED = "removed"


FINAL_PHASES = frozenset({RolloutPhase.COMPLETED, RolloutPhase.ROLLED_BACK})


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """Order of the operators.

    Parameters
    ----------
    service, target_version
        Service, and the version that it is to move to.
    duration
        Seconds from the order until it has to be decided.
    revision
        Revision of the store at which the order was written; distinguishes the orders
        of a service.
    """

    service: str
    target_version: str
    duration: float
    revision: int


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Stored status of the last roll-out of a service.

    Parameters
    ----------
    service, target_version
        As in `RolloutOrder`.
    phase
        The decision; None while the roll-out runs.
    revision
        Revision of the store at which the status was written.
    """

    service: str
    target_version: str
    phase: RolloutPhase | None
    revision: int

    def decides(self, order: RolloutOrder) -> bool:
        """Return whether this is the decision about an order.

        Notes
        -----
        The status names no order, but one written before the order is about an
        earlier order.
        """
        return (
            self.phase in FINAL_PHASES
            and self.target_version == order.target_version
            and was_written_later(self.revision, order.revision)
        )
