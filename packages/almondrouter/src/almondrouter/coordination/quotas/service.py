"""Admits the requests of tenants within their quotas; takes part in dividing these."""

from __future__ import annotations

import asyncio
import functools
import random as random_module
from collections import Counter
from collections.abc import Callable, Mapping, Sequence

from almondrouter.clock import Clock
from almondrouter.coordination.callexplanation import keep_random_state
from almondrouter.coordination.quotas.allowances import Allowance, QuotaToken
from almondrouter.coordination.quotas.bounds import compute_local_floor
from almondrouter.coordination.quotas.owner import QuotaOwner
from almondrouter.coordination.quotas.ranking import count_groups, find_group
from almondrouter.coordination.quotas.sessions import COMMITMENT_S, OwnerSession
from almondrouter.errors import ErrorCode
from almondrouter.protocol.outcomes import CallError
from almondrouter.protocol.quotas import QuotaGrant, QuotaReport
from almondrouter.state.bounds import QuotaBounds
from almondrouter.state.tenants import TenantPolicy, TenantTable

MAX_WAIT_S = 0.25
"""Longest wait of a request for a token, in seconds. On small hosts an exchange with an
owner that is busy took more than 50 ms, and a refusal costs the caller more than such a
wait: it comes back after 0.2 s at the earliest."""
TICK_S = 0.05
"""Seconds between calls of `QuotaService.tick`."""
CHOICE_INTERVAL_S = 0.1
"""Seconds between checks whether another host is to be the owner."""
EXPIRY_INTERVAL_S = 10.0
"""Seconds between removals of what an owner no longer needs."""
UNANSWERED_RETRY_AFTER_S = 0.2
"""``Retry-After`` in seconds where the quota may not be used up: this daemon has no
owner, or its answer was late."""
RETRY_AFTER_SPREAD_S = 0.3
"""Largest random part of ``Retry-After`` in seconds, so that refused callers do not all
return at the same time."""

Frame = QuotaReport | QuotaGrant


class QuotaExceededError(CallError):
    """Refusal of a request because its tenant has no tokens left.

    Parameters
    ----------
    retry_after
        Seconds after which a repeat may succeed.
    """

    def __init__(self, message: str, *, retry_after: float) -> None:
        super().__init__(ErrorCode.LIMITED, message)
        self.retry_after = retry_after


class QuotaService:
    """Part of one daemon in the quotas of the fleet.

    Parameters
    ----------
    identity
        Name of this host, and start time of its daemon.
    bounds
        Bounds of the deployment.
    find_tenants
        Returns the tenants of the configuration in force; None without any.
    list_hosts
        Returns the hosts whose daemons take part, this one included.
    rank_hosts
        Returns these hosts in the order in which they are to own a group of tenants.
    is_usable
        Returns whether a host can be reached and knows quotas.
    send
        Sends a frame to the daemon of another host.
    call_later
        Calls a function after some seconds.
    clock, random
        Sources of monotonic time and of the random part of ``Retry-After``.
    is_first_start
        Whether the whole fleet starts for the first time.
    """

    def __init__(
        self,
        identity: tuple[str, int],
        *,
        bounds: QuotaBounds,
        find_tenants: Callable[[], TenantTable | None],
        list_hosts: Callable[[], frozenset[str]],
        rank_hosts: Callable[[str], Sequence[str]],
        is_usable: Callable[[str], bool],
        send: Callable[[str, Frame], None],
        call_later: Callable[[float, Callable[[], None]], object],
        clock: Clock,
        random: random_module.Random,
        is_first_start: bool = False,
    ) -> None:
        self._identity = identity
        self._bounds = bounds
        self._find_tenants = find_tenants
        self._list_hosts = list_hosts
        self._rank_hosts = rank_hosts
        self._is_usable = is_usable
        self._send = send
        self._call_later = call_later
        self._clock = clock
        self._random = random
        self._is_first_start = is_first_start
        self._sessions: dict[str, OwnerSession] = {}
        self._owners: dict[str, QuotaOwner] = {}
        self._limited: tuple[object, bool] = (None, False)
        self._choose_at = self._expire_at = clock.monotonic()
        self.counts: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.on_exchange: Callable[[float], None] = lambda seconds: None
        """Called with the seconds from each report to the grant that answers it."""

    @property
    def has_limits(self) -> bool:
        """Return whether the configuration in force limits a tenant."""
        tenants = self._find_tenants()
        if tenants is not self._limited[0]:
            policies = tenants.policies.values() if tenants is not None else ()
            self._limited = (tenants, any(policy.rate > 0 for policy in policies))
        return self._limited[1]

    def find_policy(self, name: str) -> TenantPolicy | None:
        """Return the policy of a tenant; None if it is unknown or has no limit."""
        tenants = self._find_tenants()
        policy = tenants.policies.get(name) if tenants is not None else None
        return policy if policy is not None and policy.rate > 0 else None

    async def admit(self, policy: TenantPolicy) -> QuotaToken:
        """Take a token for a request; wait for it up to `MAX_WAIT_S`.

        Raises
        ------
        QuotaExceededError
            If there is none.
        """
        token = self.take(policy)
        if token is not None:
            return token
        if not self.may_wait(policy):
            raise self.make_refusal(policy)
        return await self._wait(policy)

    async def _wait(self, policy: TenantPolicy) -> QuotaToken:
        future: asyncio.Future[QuotaToken] = asyncio.get_running_loop().create_future()
        waiter = functools.partial(_deliver, future)
        self.wait_for_token(policy, waiter)
        try:
            await asyncio.wait((future,), timeout=MAX_WAIT_S)
        except asyncio.CancelledError:
            self.stop_waiting(policy, waiter)
            if future.done():
                future.result().settle(self._clock.monotonic())
            raise
        if future.done():
            self.counts["admitted_after_wait"] += 1
            return future.result()
        self.stop_waiting(policy, waiter)
        token = self.take_floor(policy)
        if token is None:
            self.counts["unanswered"] += 1
            raise self.make_refusal(policy)
        return token

    def take(self, policy: TenantPolicy) -> QuotaToken | None:
        """Take a token without waiting; None if there is none."""
        now = self._clock.monotonic()
        session, allowance = self._find_allowance(policy.name)
        allowance.record_arrival(now)
        token = None if allowance.is_waited_for else allowance.take(now)
        if token is None:
            return None if session.is_attached(now) else self.take_floor(policy)
        if session.is_answered and allowance.is_half_used(now):
            self._report_soon(session, now)
        self.counts["admitted"] += 1
        return token

    def may_wait(self, policy: TenantPolicy) -> bool:
        """Return whether the owner may grant a token soon."""
        session, allowance = self._find_allowance(policy.name)
        now = self._clock.monotonic()
        return session.owner is not None and not allowance.is_short(now)

    def wait_for_token(
        self, policy: TenantPolicy, waiter: Callable[[QuotaToken], bool]
    ) -> None:
        """Ask the owner for a token.

        Parameters
        ----------
        waiter
            Called with the token; returns whether the request still waits for it.
        """
        session, allowance = self._find_allowance(policy.name)
        allowance.waiters.append(waiter)
        # Later requests are served by the answer for the first, which is generous, or
        # asked for after it.
        if len(allowance.waiters) == 1 or session.is_answered:
            self._report_soon(session, self._clock.monotonic())

    def stop_waiting(
        self, policy: TenantPolicy, waiter: Callable[[QuotaToken], bool]
    ) -> None:
        """Give up waiting for a token."""
        _, allowance = self._find_allowance(policy.name)
        if waiter in allowance.waiters:
            allowance.waiters.remove(waiter)

    def take_floor(self, policy: TenantPolicy) -> QuotaToken | None:
        """Take a token of those that a daemon without an owner has."""
        now = self._clock.monotonic()
        session, allowance = self._find_allowance(policy.name)
        if session.is_attached(now):
            return None
        token = allowance.take_floor(self._compute_floor(policy), now)
        if token is not None:
            self.counts["admitted_without_owner"] += 1
        return token

    def _compute_floor(self, policy: TenantPolicy) -> int:
        hosts = len(self._list_hosts())
        return compute_local_floor(policy, self._bounds, hosts=hosts)

    def count_tokens(self, policy: TenantPolicy) -> int:
        """Return how many requests of a tenant `take` would admit now."""
        now = self._clock.monotonic()
        session, allowance = self._find_allowance(policy.name)
        left = allowance.count_left(now)
        if left or session.is_attached(now):
            return left
        return allowance.count_floor(self._compute_floor(policy), now)

    def preview_refusal(self, policy: TenantPolicy) -> QuotaExceededError | None:
        """Return the error of a request that would be refused at once, else None."""
        if self.count_tokens(policy) or self.may_wait(policy):
            return None
        with keep_random_state(self._random):
            return self._make_error(policy)

    def make_refusal(self, policy: TenantPolicy) -> QuotaExceededError:
        """Return the error for a request without a token."""
        self.counts["refused"] += 1
        self.refused[policy.name] += 1
        return self._make_error(policy)

    def _make_error(self, policy: TenantPolicy) -> QuotaExceededError:
        now = self._clock.monotonic()
        _, allowance = self._find_allowance(policy.name)
        wait = UNANSWERED_RETRY_AFTER_S
        if allowance.is_short(now):
            wait = max(wait, allowance.find_wait(now))
        return QuotaExceededError(
            self._explain_shortage(policy),
            retry_after=wait + self._random.uniform(0.0, RETRY_AFTER_SPREAD_S),
        )

    def _explain_shortage(self, policy: TenantPolicy) -> str:
        now = self._clock.monotonic()
        session, allowance = self._find_allowance(policy.name)
        if session.owner is None:
            return "no owner of the quota is known"
        if not session.is_attached(now):
            return "the owner of the quota has no quorum"
        if allowance.is_short(now):
            return f"the quota of tenant {policy.name!r} is used up"
        return "the owner of the quota did not answer in time"

    def tick(self) -> None:
        """Choose owners and send the reports that are due."""
        if not self.has_limits:
            return
        now = self._clock.monotonic()
        self._update_sessions(now)
        if now >= self._choose_at:
            self._choose_at = now + CHOICE_INTERVAL_S
            hosts = self._list_hosts()
            for session in self._sessions.values():
                session.choose_owner(hosts, now)
        for session in self._sessions.values():
            self._report_if_due(session, now)
        if now >= self._expire_at:
            self._expire_at = now + EXPIRY_INTERVAL_S
            for owner in self._owners.values():
                owner.expire(now)
            for session in self._sessions.values():
                session.drop_allowances(lambda name: self.find_policy(name) is None)

    def handle_frame(self, frame: Frame) -> None:
        """Handle a frame that another daemon has sent."""
        if isinstance(frame, QuotaGrant):
            self._handle_grant(frame)
            return
        if (grant := self._answer(frame)) is not None:
            self._send(frame.host, grant)

    @property
    def is_owner(self) -> bool:
        """Return whether daemons have reported to this one."""
        return bool(self._owners)

    def count_members(self) -> Mapping[str, int]:
        """Return the daemons that report to this one, by group."""
        now = self._clock.monotonic()
        return {group: o.count_members(now) for group, o in self._owners.items()}

    def count_attached(self) -> int:
        """Return the groups for which this daemon has an owner with a quorum."""
        now = self._clock.monotonic()
        return sum(s.is_attached(now) for s in self._sessions.values())

    def _find_allowance(self, tenant: str) -> tuple[OwnerSession, Allowance]:
        if not self._sessions:
            self._update_sessions(self._clock.monotonic())
        group = find_group(tenant, len(self._sessions))
        session = self._sessions[group]
        return session, session.find_allowance(tenant)

    def _update_sessions(self, now: float) -> None:
        """Build new sessions if the size of the fleet requires another number.

        Notes
        -----
        Allowances end with their sessions. The new ones wait until no owner counts
        this daemon any more.
        """
        count = count_groups(len(self._list_hosts()))
        if count == len(self._sessions):
            return
        allowances = {
            tenant: allowance
            for session in self._sessions.values()
            for tenant, allowance in session.allowances.items()
        }
        committed_until = now + COMMITMENT_S if self._sessions else now
        self._sessions = {
            group: OwnerSession(
                group,
                self._identity,
                window=self._bounds.window,
                rank_hosts=self._rank_hosts,
                is_usable=self._is_usable,
                send=self._send_report,
                committed_until=committed_until,
                is_new=self._is_first_start and not self._sessions,
                on_exchange=lambda seconds: self.on_exchange(seconds),
            )
            for group in (f"{index}/{count}" for index in range(count))
        }
        for tenant, allowance in allowances.items():
            session = self._sessions[find_group(tenant, count)]
            session.allowances[tenant] = allowance

    def _report_soon(self, session: OwnerSession, now: float) -> None:
        if session.is_urgent:
            return
        session.is_urgent = True
        if session.is_due(now):
            session.send_report(now)
        else:
            self._call_later(
                session.find_delay(now),
                lambda: self._report_if_due(session, self._clock.monotonic()),
            )

    def _report_if_due(self, session: OwnerSession, now: float) -> None:
        if session.is_due(now):
            session.send_report(now)

    def _send_report(self, host: str, report: QuotaReport) -> None:
        self.counts["reports"] += 1
        if host != self._identity[0]:
            self._send(host, report)
            return
        if (grant := self._answer(report)) is not None:
            self._handle_grant(grant)

    def _answer(self, report: QuotaReport) -> QuotaGrant | None:
        """Answer a report as the owner."""
        if not self.has_limits:
            return None
        self.counts["answers"] += 1
        owner = self._owners.get(report.group)
        if owner is None:
            owner = self._owners[report.group] = self._make_owner(report.group)
        now = self._clock.monotonic()
        session = self._sessions.get(report.group)
        other = ""
        if session is not None and session.is_attached(now):
            other = session.owner or ""
        return owner.handle_report(
            report, now, other_owner="" if other == self._identity[0] else other
        )

    def _make_owner(self, group: str) -> QuotaOwner:
        return QuotaOwner(
            self._identity[0],
            group,
            bounds=self._bounds,
            find_policy=self.find_policy,
            list_hosts=self._list_hosts,
            rank_hosts=self._rank_hosts,
            first_number=self._random.getrandbits(40),
        )

    def _handle_grant(self, grant: QuotaGrant) -> None:
        session = self._sessions.get(grant.group)
        if session is None:
            return
        now = self._clock.monotonic()
        changed = session.handle_grant(grant, now)
        self._report_if_due(session, now)
        for allowance in changed.values():
            allowance.wake_waiters(now)
            if allowance.is_waited_for and not allowance.is_short(now):
                self._report_soon(session, now)


def _deliver(future: asyncio.Future[QuotaToken], token: QuotaToken) -> bool:
    """Give a token to a request; return whether the request still waits."""
    if future.done():
        return False
    future.set_result(token)
    return True
