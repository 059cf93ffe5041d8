"""What a daemon knows of the versions of a service, and of its roll-out."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from almondrouter.protocol.calls import RolloutPlan
from almondrouter.state.rollouts import FINAL_PHASES, RolloutOrder, RolloutPhase

SEEN_TOGETHER_S = 1.0
"""Seconds within which versions count as seen at the same time, as after the start of
a daemon; the start times of their servers then tell which was there first."""


@dataclass(slots=True)
class SeenVersion:
    """A version of a service: when it was seen, and its earliest server start."""

    first_seen: float
    started_ms: int
    missing_since: float | None = None


@dataclass(slots=True)
class ServiceVersions:
    """What this daemon knows of the versions of a service.

    Parameters
    ----------
    completed
        Target of the last completed order; empty without one.
    order
        Order in force; None without one.
    plan
        Last accepted plan for the order.
    reached
        Furthest phase that was in force for the order; a final one if it is decided.
    is_settled
        Whether the decision about the order is in the store.
    whole_since
        Monotonic seconds at which the step ``whole`` came into force.
    ready_since
        Monotonic seconds at which a server of the ordered version was first ready.
    """

    completed: str = ""
    order: RolloutOrder | None = None
    plan: RolloutPlan | None = None
    reached: RolloutPhase = RolloutPhase.WAITING
    is_settled: bool = False
    whole_since: float | None = None
    ready_since: float | None = None
    seen: dict[str, SeenVersion] = field(default_factory=dict)
    credits: dict[str, float] = field(default_factory=dict)

    @property
    def is_open(self) -> bool:
        """Whether an order is in force that is not decided."""
        return self.order is not None and self.reached not in FINAL_PHASES

    @property
    def needs_coordinator(self) -> bool:
        """Whether an order is in force whose decision is not yet in the store."""
        return self.order is not None and not self.is_settled

    @property
    def rolled_back(self) -> str:
        """Version that was rolled back; empty if none was."""
        if self.order is None or self.reached is not RolloutPhase.ROLLED_BACK:
            return ""
        return self.order.target_version

    @property
    def step(self) -> tuple[int, int]:
        """Fencing token and number of the step of the last plan."""
        return (self.plan.token, self.plan.step) if self.plan else (0, 0)


def find_first(seen: Mapping[str, SeenVersion]) -> list[str]:
    """Return the versions that may have been there first, the likeliest one first."""
    if not seen:
        return []
    first = min(item.first_seen for item in seen.values())
    together = [
        (item.started_ms, version)
        for version, item in seen.items()
        if item.first_seen - first < SEEN_TOGETHER_S
    ]
    return [version for _, version in sorted(together)]
