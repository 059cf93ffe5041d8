"""Replays of quotas: many daemons in simulated time, with delays and faults."""

from __future__ import annotations

import bisect
import functools
import heapq
import itertools
import random
from collections import Counter

from almondrouter.clock import ManualClock
from almondrouter.coordination.quotas.bounds import compute_bound
from almondrouter.coordination.quotas.ranking import rank_hosts
from almondrouter.coordination.quotas.service import (
    MAX_WAIT_S,
    RETRY_AFTER_SPREAD_S,
    TICK_S,
    UNANSWERED_RETRY_AFTER_S,
    QuotaService,
)
from almondrouter.state.bounds import QuotaBounds
from almondrouter.state.tenants import TenantPolicy, TenantTable

BOUNDS = QuotaBounds()
REGIONS = 3
LOCAL_DELAY_S, REMOTE_DELAY_S = 0.0005, 0.02
MAX_QUEUEING_S, RUN_S = 0.3, 0.15
REPEAT_AFTER_S = (
    UNANSWERED_RETRY_AFTER_S,
    UNANSWERED_RETRY_AFTER_S + RETRY_AFTER_SPREAD_S,
)


class Daemon:
    """A daemon of the replay; may be dead, paused or cut off."""

    def __init__(self, fleet, name, region):
        self.fleet, self.name, self.region = fleet, name, region
        self.incarnation = 0
        self.paused_until = 0.0
        self.busy_until = 0.0
        self.held_back = []
        self.service = None

    def start(self, *, is_first_start=False):
        self.incarnation += 1
        self.service = QuotaService(
            (self.name, self.incarnation),
            bounds=BOUNDS,
            find_tenants=lambda: self.fleet.tenants,
            list_hosts=lambda: self.fleet.hosts,
            rank_hosts=self.fleet.rank_hosts,
            is_usable=lambda host: self.fleet.is_reachable(self, host),
            send=lambda host, frame: self.fleet.send(self, host, frame),
            call_later=lambda delay, work: self.fleet.call_later(delay, work, self),
            clock=self.fleet.clock,
            random=self.fleet.random,
            is_first_start=is_first_start,
        )
        self.fleet.call_later(self.fleet.random.uniform(0, TICK_S), self.tick, self)

    def stop(self):
        self.incarnation += 1
        self.service = None

    def tick(self):
        self.service.tick()
        self.fleet.call_later(TICK_S, self.tick, self)


class Fleet:
    """Daemons, the messages between them, and what reaches backend servers.

    Parameters
    ----------
    frame_s
        Seconds of processor time that a daemon needs for each frame that it receives.
    processors
        Processors of hosts that have more than one.
    repeats
        Times that the caller of a refused request sends it again.
    """

    def __init__(
        self, hosts, policies, *, seed=1, frame_s=0.0, processors=None, repeats=0
    ):
        self.frame_s = frame_s
        self.repeats = repeats
        self.clock = ManualClock(monotonic=0.0)
        self.random = random.Random(seed)
        self.tenants = TenantTable({policy.name: policy for policy in policies})
        self._order = itertools.count()
        self._events = []
        self.counts = Counter()
        self.arrivals = {policy.name: [] for policy in policies}
        self.offered = {policy.name: [] for policy in policies}
        self.refused = {policy.name: [] for policy in policies}
        self.reachable = None
        names = [f"h{number}" for number in range(hosts)]
        self.daemons = {
            name: Daemon(self, name, number % REGIONS)
            for number, name in enumerate(names)
        }
        self.hosts = frozenset(names)
        self.processors = dict.fromkeys(names, 1.0) | (processors or {})
        self.rank_hosts = functools.cache(
            lambda group: rank_hosts(group, self.processors)
        )
        for daemon in self.daemons.values():
            daemon.start(is_first_start=True)

    def call_later(self, delay, work, daemon=None):
        """Call a function later, unless its daemon has stopped meanwhile."""
        incarnation = daemon.incarnation if daemon else 0
        at = self.clock.monotonic() + delay
        entry = (at, next(self._order), work, daemon, incarnation)
        heapq.heappush(self._events, entry)

    def run(self, until):
        """Run until a time; a paused daemon does everything after its pause."""
        while self._events and self._events[0][0] <= until:
            at, _, work, daemon, incarnation = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.clock.monotonic()))
            if daemon is not None:
                if daemon.incarnation != incarnation:
                    continue
                if daemon.paused_until > at:
                    entry = (daemon.paused_until, next(self._order), work, daemon)
                    heapq.heappush(self._events, (*entry, incarnation))
                    continue
            work()
        self.clock.advance(max(0.0, until - self.clock.monotonic()))

    def is_reachable(self, sender, host):
        """Return whether a daemon has a link to another one that responds."""
        other = self.daemons[host]
        if other.service is None or other.paused_until > self.clock.monotonic():
            return False
        return self._is_connected(sender.name, host)

    def _is_connected(self, first, second):
        return self.reachable is None or self.reachable(first, second)

    def send(self, sender, host, frame):
        """Deliver a frame after the delay of the network, if there is a link."""
        self.counts["frames"] += 1
        receiver = self.daemons[host]
        if receiver.service is None or not self._is_connected(sender.name, host):
            return
        delay = REMOTE_DELAY_S if sender.region != receiver.region else LOCAL_DELAY_S
        delay += self.random.uniform(0, 0.002)
        self.call_later(delay, lambda: self._receive(receiver, frame), receiver)

    def _receive(self, daemon, frame):
        """Handle a frame once the daemon has handled those before it."""
        now = self.clock.monotonic()
        frame_s = self.frame_s / self.processors[daemon.name]
        daemon.busy_until = max(now, daemon.busy_until) + frame_s
        work = functools.partial(daemon.service.handle_frame, frame)
        self.call_later(daemon.busy_until - now, work, daemon)

    def request(self, host, tenant, *, repeats=None):
        """Let a caller send a request to a daemon."""
        daemon = self.daemons[host]
        if daemon.service is None:
            return
        policy = self.tenants.policies[tenant]
        if repeats is None:
            repeats = self.repeats
            self.offered[tenant].append(self.clock.monotonic())
        token = daemon.service.take(policy)
        if token is not None:
            self._run(daemon, tenant, token)
        elif not daemon.service.may_wait(policy):
            self._refuse(daemon, tenant, "short", repeats)
        else:
            self._wait(daemon, policy, repeats)

    def _wait(self, daemon, policy, repeats):
        waiting = [True]

        def deliver(token):
            if waiting[0]:
                self._run(daemon, policy.name, token)
            return waiting.pop() if waiting[0] else False

        def give_up():
            if not waiting:
                return
            waiting[0] = False
            daemon.service.stop_waiting(policy, deliver)
            token = daemon.service.take_floor(policy)
            if token is not None:
                self._run(daemon, policy.name, token)
            else:
                self._refuse(daemon, policy.name, "unanswered", repeats)

        daemon.service.wait_for_token(policy, deliver)
        self.call_later(MAX_WAIT_S, give_up, daemon)

    def _run(self, daemon, tenant, token):
        queueing = self.random.uniform(0, MAX_QUEUEING_S)

        def arrive():
            self.arrivals[tenant].append(self.clock.monotonic())
            token.record_use()

        def finish():
            token.settle(self.clock.monotonic())

        self.call_later(queueing, arrive)
        self.call_later(queueing + RUN_S, finish, daemon)

    def _refuse(self, daemon, tenant, reason, repeats):
        self.counts[reason] += 1
        self.refused[tenant].append(self.clock.monotonic())
        if repeats:
            self.call_later(
                self.random.uniform(*REPEAT_AFTER_S),
                lambda: self.request(daemon.name, tenant, repeats=repeats - 1),
            )

    def offer(self, tenant, rate, choose_host, *, begin, end):
        """Schedule requests of a tenant at random times.

        Parameters
        ----------
        choose_host
            Called with the time; returns the host.
        """
        at = begin
        while (at := at + self.random.expovariate(rate)) < end:
            host = choose_host(at)
            self._push(at, lambda host=host: self.request(host, tenant), host)

    def _push(self, at, work, host):
        entry = (at, next(self._order), lambda: self._when_running(work, host), None, 0)
        heapq.heappush(self._events, entry)

    def _when_running(self, work, host):
        paused_until = self.daemons[host].paused_until
        now = self.clock.monotonic()
        if paused_until > now:
            self.call_later(paused_until - now, work)
        else:
            work()

    def at(self, time, work):
        """Schedule a fault."""
        heapq.heappush(self._events, (time, next(self._order), work, None, 0))

    def restart(self, host, *, after):
        """Kill a daemon and start it again after some seconds."""
        daemon = self.daemons[host]
        daemon.stop()
        self.call_later(after, daemon.start)

    def find_owner(self):
        """Return the host that most daemons report to."""
        owners = Counter(
            session.owner
            for daemon in self.daemons.values()
            if daemon.service is not None
            for session in daemon.service._sessions.values()
            if session.owner is not None
        )
        return owners.most_common(1)[0][0]

    def measure(self, tenant, *, begin=0.0, end=1e9):
        """Return the largest window over its bound, shares used and refused wrongly."""
        policy = self.tenants.policies[tenant]
        quota = policy.rate * BOUNDS.window + policy.burst
        arrivals = sorted(self.arrivals[tenant])
        largest = max(
            (
                bisect.bisect(arrivals, at + BOUNDS.window) - index
                for index, at in enumerate(arrivals)
            ),
            default=0,
        )
        offered = sorted(self.offered[tenant])
        wrong = sum(
            bisect.bisect(offered, at) - bisect.bisect(offered, at - BOUNDS.window)
            <= quota
            for at in self.refused[tenant]
        )
        within = bisect.bisect(arrivals, end) - bisect.bisect_left(arrivals, begin)
        used = within / (policy.rate * (min(end, self.clock.monotonic()) - begin))
        return largest / compute_bound(policy, BOUNDS), used, wrong / len(offered)


def make_policy(rate=20.0, burst=20.0, name="t"):
    """Return a tenant with a quota."""
    return TenantPolicy(name, None, rate, burst)
