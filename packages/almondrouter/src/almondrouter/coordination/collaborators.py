"""What the path of a call needs of admission, routing and retries."""

from __future__ import annotations

from collections.abc import Set
from typing import Any, Protocol

from almondrouter.protocol.calls import Load
from almondrouter.protocol.headers import Outcome
from almondrouter.state.snapshot import Destination
from almondrouter.state.targets import Priority


class Choice(Protocol):
    """Chooses a destination; see `coordination.routing.ChoicePolicy`."""

    def choose(
        self,
        destinations: tuple[Destination, ...],
        *,
        now: float,
        excluded: Set[str],
        priority: Priority | None = None,
    ) -> Destination | None:
        """Return a destination whose backend is not excluded, or None."""

    def started(self, destination: Destination) -> None:
        """Take note that a call was sent."""

    def finished(
        self,
        destination: Destination,
        *,
        outcome: Outcome | None,
        load: Load | None,
        elapsed: float,
        failed: bool = False,
    ) -> None:
        """Take note of how a call ended."""


class Admitter(Protocol):
    """Admits calls to one backend server; see `coordination.admission.Admission`."""

    async def acquire(
        self, *, priority: Priority, deadline: float, class_name: str = ""
    ) -> Any:
        """Return a slot or raise an error that means not run."""

    def release(self, slot: Any, *, failed: bool) -> None:
        """Give back a slot."""

    def load(self) -> Load:
        """Return the load now."""


class Retries(Protocol):
    """Budget of retries; see `coordination.retries.RetryBudget`."""

    def record_call(self, name: str, *, caller_retries: bool = False) -> None:
        """Count a first sending."""

    def try_spend(self, name: str) -> bool:
        """Take one retry from the budget if there is one."""
