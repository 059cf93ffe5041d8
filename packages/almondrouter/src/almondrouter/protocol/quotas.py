"""Frames about the quotas of tenants, which the call links carry.

They are sent only to daemons whose `HostNotice` has ``knows_quotas``.
"""

from __future__ import annotations

import msgspec


class TenantUse(msgspec.Struct, frozen=True, array_like=True):
    """Use of the quota of one tenant by one daemon.

    Parameters
    ----------
    tenant
        Name of the tenant.
    used
        Tokens used since the daemon started.
    held
        Tokens of requests that have not ended.
    wanted
        Tokens that the daemon expects to need within a second.
    recent
        Of the tokens used, those of each fifth of the last window, the oldest first; a
        single number for the whole window to an owner that knows the daemon.
    fleet, reserved
        As an owner last told the daemon in a `TenantGrant`; 0 unless the report is the
        first to another owner.
    own, own_reserved
        Of these, the part of this daemon.
    returned
        Tokens that it can still take of its last allowance, and gives up.
    """

    tenant: str
    used: int
    held: int
    wanted: int
    recent: tuple[int, ...] = ()
    fleet: int = 0
    reserved: int = 0
    own: int = 0
    own_reserved: int = 0
    returned: int = 0


class QuotaReport(msgspec.Struct, frozen=True, array_like=True, tag=20):
    """Reports the use of quotas to the owner; the owner sends a `QuotaGrant`.

    Parameters
    ----------
    host, incarnation
        Daemon that reports, and its start time.
    group
        Group of the tenants.
    number
        Number of the report, which grows.
    echo
        Number of the last grant of this owner that the daemon has received; 0 if none.
    is_first
        Whether the daemon has had no grant yet since it turned to this owner.
    uses
        Tenants with requests, or with tokens that have been granted.
    is_new
        Whether the daemon has started with the whole fleet, for the first time, and has
        not had an owner with a quorum yet.
    is_partial
        Whether tenants may be missing that have requests or granted tokens.
    """

    host: str
    incarnation: int
    group: str
    number: int
    echo: int
    is_first: bool
    uses: tuple[TenantUse, ...] = ()
    is_new: bool = False
    is_partial: bool = False


class TenantGrant(msgspec.Struct, frozen=True, array_like=True):
    """Allowance of one daemon for one tenant.

    Parameters
    ----------
    tenant
        Name of the tenant.
    ceiling
        Tokens, counted since the daemon started, that it may have used or hold.
    reserve
        Like ``ceiling``, for the time after that has expired.
    is_short
        Whether the daemon gets less than it wanted because the quota is used up.
    wait_ms
        Milliseconds until another token can be expected.
    fleet
        Tokens that all daemons together have used in the last window or may use.
    reserved
        Of these, the tokens that may be used without the owner.
    """

    tenant: str
    ceiling: int
    reserve: int
    is_short: bool
    wait_ms: int
    fleet: int
    reserved: int


class FleetUse(msgspec.Struct, frozen=True, array_like=True):
    """Use of the quota of one tenant by all daemons, as in a `TenantGrant`."""

    tenant: str
    fleet: int
    reserved: int


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True, tag=21):
    """Grants allowances in reply to a `QuotaReport`.

    Parameters
    ----------
    host, group
        Owner, and group of the tenants.
    number
        Number of the grant, which grows.
    report
        Number of the report.
    has_quorum
        Whether most daemons report to this owner; without that it grants nothing.
    grants
        Allowances, which replace the earlier ones of these tenants.
    owner
        Host of the owner that has one, as far as the sender knows; else empty.
    told
        Use of the other tenants, for a daemon that may be the next owner.
    """

    host: str
    group: str
    number: int
    report: int
    has_quorum: bool
    grants: tuple[TenantGrant, ...] = ()
    owner: str = ""
    told: tuple[FleetUse, ...] = ()
