"""Claims on idempotency keys, so that a request runs at most once."""

from __future__ import annotations

from abc import ABC, abstractmethod

from almondrouter.protocol.control import Claim


class ClaimService(ABC):
    """Decides which daemon may run the request of an idempotency key."""

    @abstractmethod
    async def claim(
        self, key: str, *, deadline: float, replaces: str | None = None
    ) -> Claim:
        """Create the claim on a key, or return the one that exists.

        Parameters
        ----------
        key
            Canonical idempotency key.
        deadline
            Monotonic seconds until which the store may be asked.
        replaces
            Claim id that its holder has given up as not run.

        Returns
        -------
        Claim
            The holder. The caller may run the request only if ``claim_id`` was
            made by this call, which `owns` tells.

        Raises
        ------
        AlmondError
            ``claim_unavailable`` if the store did not answer in time. The claim
            may still come into being; it is then released or stays unused.
        """

    @abstractmethod
    def owns(self, claim: Claim) -> bool:
        """Return whether this daemon made the claim and has not released it."""

    @abstractmethod
    async def release(self, claim: Claim) -> None:
        """Give up an own claim whose request was not run and never will be."""
