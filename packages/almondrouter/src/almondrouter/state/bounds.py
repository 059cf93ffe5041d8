"""Bounds that the settings of a deployment place on quotas, roll-outs and keys."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaBounds:
    """How far the requests of a tenant may exceed its quota.

    Parameters
    ----------
    window
        Length in seconds of the windows in which requests are counted.
    overage
        Share of the quota by which it may be exceeded.
    slack
        Requests by which it may be exceeded besides.
    """

    window: float = 5.0
    overage: float = 0.1
    slack: float = 20.0


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """How many requests a version may get before it has proved itself.

    Parameters
    ----------
    exposure_share
        Share of the service's requests between the order and its deadline.
    exposure_slack
        Requests besides.
    rollback_within
        Seconds after the 50th bad response from which on no request may be sent.
    """

    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback_within: float = 5.0


@dataclass(frozen=True, slots=True)
class RevocationBounds:
    """What a daemon without news of the configuration may accept.

    Parameters
    ----------
    strict
        Whether it refuses keys after `within` seconds without news.
    within
        Seconds.
    """

    strict: bool = False
    within: float = 5.0
