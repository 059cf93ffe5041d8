"""Fleet-wide rate limits, shared out so that their sum is never exceeded."""

from __future__ import annotations

from abc import ABC, abstractmethod


class LimitService(ABC):
    """Admits calls within this daemon's share of each rate limit."""

    @abstractmethod
    def admit(self, limit_names: tuple[str, ...]) -> None:
        """Take one call from the share of each limit, or from none.

        Parameters
        ----------
        limit_names
            Names from `Route.limit_names`; empty admits at once.

        Raises
        ------
        AlmondError
            ``limited`` if the share is used up, ``limit_unavailable`` if no
            valid share is held.
        """
