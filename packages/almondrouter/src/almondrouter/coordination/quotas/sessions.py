"""Choice of the owner of a group of tenants, and the exchange with it."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Mapping, Sequence

from almondrouter.coordination.quotas.allowances import Allowance
from almondrouter.logs import EventLogger
from almondrouter.protocol.quotas import QuotaGrant, QuotaReport, TenantUse

REPORT_INTERVAL_S = 0.25
"""Seconds between reports. The owner needs them also without requests, to know that it
has a quorum."""
UNATTACHED_INTERVAL_S = 0.15
"""Seconds between reports while the owner has no quorum."""
UNANSWERED_INTERVAL_S = 0.5
"""Seconds from a report to the next one while it is not answered. Links lose no frame
as long as they are open; more reports only keep an owner that is late busy."""
URGENT_INTERVAL_S = 0.03
"""Least seconds between reports for requests that wait. With 5 ms, 83 daemons could
send an owner 16,000 reports a second, too many for a small host to answer in time."""
COMMITMENT_S = 1.4
"""Seconds after a grant in which a daemon turns to no other owner. More than
`owner.QUORUM_AGE_S`, so that the earlier owner has stopped counting it."""
MAX_UNANSWERED_S = 1.0
"""Seconds without an answer after which an owner counts as failed."""
MAX_WITHOUT_QUORUM_S = 3.0
"""Seconds without a quorum after which an owner counts as failed. A quorum takes two
exchanges with each daemon, and daemons of a fleet start over some seconds."""
FAILED_S = 3.0
"""Seconds for which an owner that has failed is not chosen."""
STEADY_S = 2.0
"""Seconds for which a host that precedes an owner without a quorum has to be reachable
before it becomes the owner. An owner with a quorum stays: each change interrupts the
allowances."""
DISCOVERY_S = 0.15
"""Seconds for which a daemon asks several hosts whether they know the owner: three
exchanges with another region."""
DISCOVERY_HOSTS = 3
"""Hosts that it asks."""
MAX_CANDIDATES = 8
"""Hosts of which one is chosen. Links are opened to them to find out whether they know
quotas."""

_log = EventLogger("quotas")


class OwnerSession:
    """What this daemon exchanges with the owner of one group of tenants.

    Parameters
    ----------
    group
        Group of the tenants.
    identity
        Name of this host, and start time of its daemon.
    window
        Length of the window in seconds.
    rank_hosts
        Returns the hosts in the order in which they are to own a group.
    is_usable
        Returns whether a host can be reached and knows quotas.
    send
        Sends a report to the daemon of a host.
    committed_until
        Monotonic seconds until which it turns to no owner.
    is_new
        Whether the whole fleet has started for the first time.
    on_exchange
        Called with the seconds from each report to the grant that answers it.
    """

    def __init__(
        self,
        group: str,
        identity: tuple[str, int],
        *,
        window: float,
        rank_hosts: Callable[[str], Sequence[str]],
        is_usable: Callable[[str], bool],
        send: Callable[[str, QuotaReport], None],
        committed_until: float = -math.inf,
        is_new: bool = False,
        on_exchange: Callable[[float], None] = lambda seconds: None,
    ) -> None:
        self._on_exchange = on_exchange
        self.group = group
        self.owner: str | None = None
        self.allowances: dict[str, Allowance] = {}
        self._identity = identity
        self._window = window
        self._is_new = is_new
        self._is_usable = is_usable
        self._send = send
        self._rank_hosts = rank_hosts
        self._number = 0
        self._echo = 0
        self._is_first = True
        self._committed_until = committed_until
        self._has_started = False
        self._discovery_ends: float | None = None
        self._sent: dict[int, float] = {}
        self._sent_at = self._full_at = -math.inf
        self._answered_at = -math.inf
        self._quorum_at = -math.inf
        self._failed: dict[str, float] = {}
        self._preferred: tuple[str, float] = ("", math.inf)
        self.is_urgent = False

    def find_allowance(self, tenant: str) -> Allowance:
        """Return the allowance for a tenant, an empty one at first."""
        allowance = self.allowances.get(tenant)
        if allowance is None:
            allowance = self.allowances[tenant] = Allowance(self._window)
        return allowance

    def drop_allowances(self, is_obsolete: Callable[[str], bool]) -> None:
        """Forget tenants that no longer have a limit; no grant would settle them."""
        self.allowances = {
            tenant: allowance
            for tenant, allowance in self.allowances.items()
            if allowance.is_in_use or not is_obsolete(tenant)
        }

    def is_attached(self, now: float) -> bool:
        """Return whether an owner with a quorum has answered lately."""
        return now - self._quorum_at < COMMITMENT_S and not self._is_first

    def choose_owner(self, hosts: frozenset[str], now: float) -> None:
        """Keep the owner, leave it, or turn to another one.

        Parameters
        ----------
        hosts
            Hosts that may be the owner.
        """
        best = self._find_best(now)
        if self.owner is not None:
            reason = self._find_reason_to_leave(hosts, best, now)
            if reason:
                self._leave_owner(reason, now)
        if self.owner is not None or not best or now < self._committed_until:
            return
        if self._discovery_ends is None:
            # An owner that other daemons have chosen meanwhile is not known to this
            # one if it has just started or would choose itself.
            is_needed = not self._has_started or best == self._identity[0]
            self._has_started = True
            self._discovery_ends = now + DISCOVERY_S if is_needed else now
            if is_needed:
                self._discover()
        if now >= self._discovery_ends:
            self._turn_to(best, now)

    def _turn_to(self, owner: str, now: float) -> None:
        _log.info("owner of quotas chosen", group=self.group, owner=owner)
        self.owner = owner
        self._is_first, self._echo = True, 0
        self._answered_at = self._quorum_at = now
        self._sent.clear()
        self._sent_at = self._full_at = -math.inf
        self._discovery_ends = None

    def _discover(self) -> None:
        """Ask the first hosts which owner they know; confirm nothing to them."""
        others = (h for h in self._rank_hosts(self.group) if h != self._identity[0])
        usable = filter(self._is_usable, itertools.islice(others, MAX_CANDIDATES))
        for host in itertools.islice(usable, DISCOVERY_HOSTS):
            self._send(host, self._make_report(0, ()))

    def _make_report(
        self, echo: int, uses: tuple[TenantUse, ...], *, is_partial: bool = False
    ) -> QuotaReport:
        self._number += 1
        number = self._number
        first = self._is_first
        return QuotaReport(
            *self._identity,
            self.group,
            number,
            echo,
            first,
            uses,
            self._is_new,
            is_partial,
        )

    def _find_best(self, now: float) -> str:
        """Return the first host that can be the owner; empty if there is none."""
        self._failed = {h: until for h, until in self._failed.items() if now < until}
        ranked = self._rank_hosts(self.group)[:MAX_CANDIDATES]
        usable = (h for h in ranked if h not in self._failed and self._is_usable(h))
        best = next(usable, "")
        if best != self._preferred[0]:
            self._preferred = (best, now)
        return best

    def _find_reason_to_leave(
        self, hosts: frozenset[str], best: str, now: float
    ) -> str:
        """Return why another owner is to be chosen; empty if this one stays."""
        owner = self.owner
        unanswered = bool(self._sent) and now - self._answered_at > MAX_UNANSWERED_S
        if unanswered or now - self._quorum_at > MAX_WITHOUT_QUORUM_S:
            self._failed[owner] = now + FAILED_S
            return "no answer" if unanswered else "no quorum"
        if owner not in hosts or not self._is_usable(owner):
            return "unreachable"
        if best == owner or self.is_attached(now):
            return ""
        has_settled = now - max(self._preferred[1], self._quorum_at) >= STEADY_S
        return "another host precedes it" if has_settled else ""

    def _leave_owner(self, reason: str, now: float) -> None:
        _log.info(
            "owner of quotas left",
            group=self.group,
            owner=self.owner,
            reason=reason,
            unanswered_reports=len(self._sent),
            seconds_since_answer=round(now - self._answered_at, 3),
        )
        self.owner = None

    @property
    def is_answered(self) -> bool:
        """Whether the owner has answered the last report."""
        return not self._sent

    def is_due(self, now: float) -> bool:
        """Return whether a report is to be sent."""
        if self.owner is None:
            return False
        elapsed = now - self._sent_at
        if self._sent:
            return elapsed >= UNANSWERED_INTERVAL_S
        if self.is_urgent:
            return elapsed >= URGENT_INTERVAL_S
        if self._is_first:
            return elapsed >= UNATTACHED_INTERVAL_S
        return now - self._full_at >= REPORT_INTERVAL_S

    def find_delay(self, now: float) -> float:
        """Return the seconds until an urgent report may be sent."""
        return max(0.0, self._sent_at + URGENT_INTERVAL_S - now)

    def send_report(self, now: float) -> None:
        """Send a report to the owner.

        Notes
        -----
        Between the regular reports, it names only the tenants whose requests need
        tokens: the owner has work for each tenant in a report.
        """
        is_first = self._is_first
        is_partial = not is_first and now - self._full_at < REPORT_INTERVAL_S
        uses = tuple(
            item.make_use(tenant, now, is_first=is_first)
            for tenant, item in self.allowances.items()
            if item.needs_tokens(now)
            or (not is_partial and item.needs_report(now))
            or (is_first and item.was_told(now))
        )
        if not self._sent:
            self._answered_at = now
        if not is_partial:
            self._full_at = now
        report = self._make_report(self._echo, uses, is_partial=is_partial)
        self._sent[report.number] = self._sent_at = now
        self.is_urgent = False
        self._send(self.owner, report)

    def handle_grant(self, grant: QuotaGrant, now: float) -> Mapping[str, Allowance]:
        """Apply the allowances that the owner has granted; return them."""
        if not grant.has_quorum and grant.owner and not self._echo:
            # Nothing has been confirmed to the sender, so it does not count this
            # daemon, which may turn to another owner at once.
            self._follow(grant.owner, now)
            return {}
        asked_at = self._sent.get(grant.report)
        if self.owner is None and grant.has_quorum and self._discovery_ends is not None:
            self._turn_to(grant.host, now)
            return {}
        if grant.host != self.owner or asked_at is None:
            return {}
        self._answered_at = now
        self._on_exchange(now - asked_at)
        self._sent = {n: at for n, at in self._sent.items() if n > grant.report}
        # Without a quorum, the owner needs the confirmation soon.
        self.is_urgent = self.is_urgent or not (self._echo or grant.has_quorum)
        self._echo = max(self._echo, grant.number)
        self._committed_until = now + COMMITMENT_S
        if not grant.has_quorum:
            return {}
        self._is_first = self._is_new = False
        self._quorum_at = now
        for told in grant.told:
            self.find_allowance(told.tenant).note_fleet(told.fleet, told.reserved, now)
        changed = {}
        for item in grant.grants:
            allowance = self.allowances.get(item.tenant)
            if allowance is not None:
                allowance.apply(item, asked_at=asked_at, now=now)
                changed[item.tenant] = allowance
        return changed

    def _follow(self, owner: str, now: float) -> None:
        """Turn to the owner that another daemon has named."""
        if owner != self.owner and now >= self._committed_until:
            self._turn_to(owner, now)
