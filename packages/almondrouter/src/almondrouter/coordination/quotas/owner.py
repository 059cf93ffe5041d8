"""Owner of the quotas of a group of tenants, which answers the reports of daemons."""

from __future__ import annotations

import itertools
import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from almondrouter.coordination.quotas.ledger import TenantLedger
from almondrouter.logs import EventLogger
from almondrouter.protocol.quotas import (
    FleetUse,
    QuotaGrant,
    QuotaReport,
    TenantGrant,
)
from almondrouter.state.bounds import QuotaBounds
from almondrouter.state.tenants import TenantPolicy

QUORUM_AGE_S = 1.0
"""Seconds after a grant for which the daemon that confirmed it counts as reporting to
this owner. Reports and grants may be late by half a second in sum. It is less than the
time for which daemons stay with an owner (`sessions.COMMITMENT_S`), so that no two
owners have a quorum."""
STANDBYS = 2
"""Daemons that are told the use of all tenants: those that own the group next."""
MAX_GRANTS_KEPT = 64
"""Grants of each daemon whose times are remembered until they are confirmed."""
LEDGER_IDLE_S = 120.0
"""Seconds after the last report about a tenant at which its ledger is dropped."""

_log = EventLogger("quotas")


@dataclass(slots=True)
class _Member:
    """A daemon that reports to this owner.

    Parameters
    ----------
    incarnation
        Start time of the daemon.
    report
        Number of its last report.
    echo
        Number of the last grant that it confirmed.
    confirmed_at
        Monotonic seconds at which that grant was sent.
    reported_at, joined_at
        Monotonic seconds of its last report, and of the last one before it had a grant.
    is_new
        Whether it has started with the fleet and never had an owner.
    sent
        Numbers and times of grants that it has not confirmed.
    unconfirmed
        Tenants in the grants since.
    """

    incarnation: int
    report: int = 0
    echo: int = 0
    confirmed_at: float = -math.inf
    reported_at: float = -math.inf
    joined_at: float = -math.inf
    is_new: bool = False
    unconfirmed: set[str] = field(default_factory=set)
    sent: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_GRANTS_KEPT)
    )

    def confirm(self, echo: int) -> None:
        """Enter the number of the last grant that the daemon has received."""
        while self.sent and self.sent[0][0] <= echo:
            number, sent_at = self.sent.popleft()
            if number == echo:
                self.echo, self.confirmed_at = number, sent_at


class QuotaOwner:
    """Divides the quotas of one group of tenants among the daemons that report.

    Parameters
    ----------
    host, group
        Name of this host, and the group.
    bounds
        Bounds of the deployment.
    find_policy
        Returns the policy of a tenant in force; None if it has no limit.
    list_hosts, rank_hosts
        Return the hosts whose daemons take part in quotas, and the order in which they
        are to own a group.
    first_number
        Number of the first grant, random, so that a daemon does not confirm a grant of
        an earlier process of this host.
    """

    def __init__(
        self,
        host: str,
        group: str,
        *,
        bounds: QuotaBounds,
        find_policy: Callable[[str], TenantPolicy | None],
        list_hosts: Callable[[], frozenset[str]],
        rank_hosts: Callable[[str], Sequence[str]],
        first_number: int,
    ) -> None:
        self._host = host
        self._group = group
        self._bounds = bounds
        self._find_policy = find_policy
        self._list_hosts = list_hosts
        self._rank_hosts = rank_hosts
        self._number = first_number
        self._members: dict[str, _Member] = {}
        self._ledgers: dict[str, TenantLedger] = {}
        self._tight: set[str] = set()
        self._has_quorum = False
        self._owned_since = -math.inf
        self._lost_at = -math.inf

    def count_members(self, now: float) -> int:
        """Return the daemons that report to this owner."""
        oldest = now - QUORUM_AGE_S
        return sum(m.confirmed_at > oldest for m in self._members.values())

    def handle_report(
        self, report: QuotaReport, now: float, *, other_owner: str = ""
    ) -> QuotaGrant | None:
        """Enter a report and return the grant; None if a later report is known.

        Parameters
        ----------
        other_owner
            Host that this daemon knows to own the group; empty if it knows none.
        """
        member = self._find_member(report)
        if member is None:
            return None
        member.report, member.reported_at = report.number, now
        member.is_new = report.is_new
        if report.is_first:
            member.joined_at = now
        member.confirm(report.echo)
        key = (report.host, report.incarnation)
        self._acknowledge(member, report, key, now)
        self._number += 1
        member.sent.append((self._number, now))
        has_quorum = self._update_quorum(now)
        self._record_uses(report, key, now)
        grants: list[TenantGrant] = []
        told: tuple[FleetUse, ...] = ()
        if has_quorum:
            grants = self._grant_all(report, key, now)
            if not report.is_partial:
                grants += self._recall_idle(report, key, now)
                told = self._tell_standby(report, now)
            member.unconfirmed |= {grant.tenant for grant in grants}
        return QuotaGrant(
            self._host,
            self._group,
            self._number,
            report.number,
            has_quorum,
            tuple(grants),
            "" if has_quorum else other_owner,
            told,
        )

    def expire(self, now: float) -> None:
        """Forget the tenants and daemons that nothing has been heard of for long."""
        for tenant, ledger in list(self._ledgers.items()):
            if now - ledger.last_report_at > LEDGER_IDLE_S:
                del self._ledgers[tenant]
                self._tight.discard(tenant)
        for host, member in list(self._members.items()):
            if now - member.reported_at > LEDGER_IDLE_S:
                del self._members[host]

    def _acknowledge(
        self, member: _Member, report: QuotaReport, key: tuple[str, int], now: float
    ) -> None:
        """Enter that a daemon has replaced its allowances for idle tenants."""
        if not member.unconfirmed or report.echo != member.echo:
            return
        for tenant in member.unconfirmed.difference(use.tenant for use in report.uses):
            if tenant in self._ledgers:
                self._ledgers[tenant].acknowledge(key, report.echo, now)
        if not member.sent:
            member.unconfirmed.clear()

    def _find_member(self, report: QuotaReport) -> _Member | None:
        member = self._members.get(report.host)
        if member is None or member.incarnation < report.incarnation:
            member = self._members[report.host] = _Member(report.incarnation)
        is_late = report.number <= member.report
        return None if is_late or member.incarnation > report.incarnation else member

    def _update_quorum(self, now: float) -> bool:
        """Return whether there is a quorum; note since when nobody else has had one.

        Notes
        -----
        Another owner had none meanwhile if most daemons have stayed with this one, nor
        before if most daemons have never had an owner.
        """
        hosts = self._list_hosts()
        oldest = now - QUORUM_AGE_S
        confirmed = [
            member
            for host, member in self._members.items()
            if member.confirmed_at > oldest and host in hosts
        ]
        has_quorum = 2 * len(confirmed) > len(hosts)
        if self._has_quorum and not has_quorum:
            self._lost_at = now
        elif has_quorum and not self._has_quorum:
            stayed = sum(member.joined_at < self._lost_at for member in confirmed)
            if all(member.is_new for member in confirmed):
                self._owned_since = -math.inf
            elif 2 * stayed <= len(hosts):
                self._owned_since = now
        if has_quorum is not self._has_quorum:
            _log.info(
                "quorum of quotas gained" if has_quorum else "quorum of quotas lost",
                group=self._group,
                confirmed=len(confirmed),
                hosts=len(hosts),
            )
        self._has_quorum = has_quorum
        return has_quorum

    def _record_uses(
        self, report: QuotaReport, key: tuple[str, int], now: float
    ) -> None:
        for use in report.uses:
            ledger = self._ledgers.get(use.tenant)
            if ledger is None:
                ledger = self._ledgers[use.tenant] = TenantLedger(self._bounds)
            ledger.record(key, use, echo=report.echo, is_first=report.is_first, now=now)

    def _grant_all(
        self, report: QuotaReport, key: tuple[str, int], now: float
    ) -> list[TenantGrant]:
        grants = []
        owned_for = now - self._owned_since
        for use in report.uses:
            policy = self._find_policy(use.tenant)
            if policy is None:
                continue
            ledger = self._ledgers[use.tenant]
            grants.append(
                ledger.grant(
                    key,
                    use.tenant,
                    policy,
                    number=self._number,
                    owned_for=owned_for,
                    now=now,
                )
            )
            if ledger.is_tight:
                self._tight.add(use.tenant)
            else:
                self._tight.discard(use.tenant)
        return grants

    def _tell_standby(self, report: QuotaReport, now: float) -> tuple[FleetUse, ...]:
        """Return the use of all tenants, if the daemon is a standby.

        Notes
        -----
        A new owner then knows of each tenant, even if all daemons with requests of it
        have died with the earlier owner.
        """
        if report.host not in self._list_standbys():
            return ()
        described = {use.tenant for use in report.uses}
        found = (
            ledger.describe(tenant, now)
            for tenant, ledger in self._ledgers.items()
            if tenant not in described
        )
        return tuple(use for use in found if use.fleet)

    def _list_standbys(self) -> list[str]:
        others = (h for h in self._rank_hosts(self._group) if h != self._host)
        return list(itertools.islice(others, STANDBYS))

    def _recall_idle(
        self, report: QuotaReport, key: tuple[str, int], now: float
    ) -> list[TenantGrant]:
        """Return grants that take back what others need and this daemon does not."""
        idle = self._tight.difference(use.tenant for use in report.uses)
        recalled = (
            self._ledgers[tenant].recall(key, tenant, number=self._number, now=now)
            for tenant in idle
        )
        return [grant for grant in recalled if grant is not None]
