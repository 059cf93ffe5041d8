"""Quotas: the bound and the refusals in replays of fleets with faults."""

from __future__ import annotations

import functools
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from almondrouter.coordination.quotas.owner import QuotaOwner
from almondrouter.protocol.quotas import QuotaReport, TenantUse
from almondrouter.state.tenants import TenantTable
from quota_replay import BOUNDS, Fleet, make_policy

BEGIN, END = 4.0, 20.0
FAULT_AT = 10.0
HOSTS = 24


def offer(fleet, where, load, *, begin=BEGIN, end=END):
    """Let callers of tenant t send ``load`` requests a second."""
    hosts = sorted(fleet.hosts)
    places = {
        "one": lambda at: "h5",
        "all": lambda at: fleet.random.choice(hosts),
        "moving": lambda at: hosts[int(at / 2) % len(hosts)],
    }
    fleet.offer("t", load, places[where], begin=begin, end=end)


def cut(fleet, side):
    """Cut some hosts off from the others."""
    fleet.reachable = lambda first, second: (first in side) == (second in side)


def restart(fleet, hosts):
    """Restart the daemons of some hosts, each at a time of its own."""
    for host in hosts:
        fleet.restart(host, after=fleet.random.uniform(0.2, 1.5))


def pause(fleet, host):
    """Let a daemon do nothing for three seconds."""
    fleet.daemons[host].paused_until = fleet.clock.monotonic() + 3


FAULTS = {
    "owner dies": lambda fleet, owner, hosts: restart(fleet, [owner]),
    "owner paused": lambda fleet, owner, hosts: pause(fleet, owner),
    "owner cut off": lambda fleet, owner, hosts: cut(fleet, {owner}),
    "two owners": lambda fleet, owner, hosts: cut(fleet, {owner, *hosts[::3]}),
    "daemons restart": lambda fleet, owner, hosts: restart(fleet, hosts[::2]),
    "owner and demand die": lambda fleet, owner, hosts: restart(fleet, {owner, "h5"}),
    "all restart": lambda fleet, owner, hosts: restart(fleet, hosts),
}


def inject(fleet, fault):
    """Let a fault begin now; it ends by itself."""
    FAULTS[fault](fleet, fleet.find_owner(), sorted(fleet.hosts))
    fleet.call_later(3.0, lambda: setattr(fleet, "reachable", None))


class BusyOwnerTest(unittest.TestCase):
    """Replays in which an owner can handle about 12 reports a second and daemon.

    Each of many tenants, a few of them large, has a quota of 1.6 times its usual load,
    and all send more for some seconds. Callers repeat refused requests twice.
    """

    TENANTS = 84
    LOAD, QUOTA = 290.0, 1.6
    BURST_BEGIN, BURST_END = 8.0, 20.0

    def replay(self, *, factor, seed, **options):
        weights = {f"t{number}": 1 / (number + 1) for number in range(self.TENANTS)}
        unit = self.LOAD / sum(weights.values())
        loads = {name: weight * unit for name, weight in weights.items()}
        policies = [
            make_policy(self.QUOTA * load, self.QUOTA * load, name)
            for name, load in loads.items()
        ]
        options = {"frame_s": 0.0035, "repeats": 2, **options}
        fleet = Fleet(HOSTS, policies, seed=seed, **options)
        hosts = sorted(fleet.hosts)
        for name, load in loads.items():
            for rate, begin, end in (
                (load, 4.0, 28.0),
                (load * (factor - 1), self.BURST_BEGIN, self.BURST_END),
            ):
                fleet.offer(
                    name,
                    rate,
                    lambda at: fleet.random.choice(hosts),
                    begin=begin,
                    end=end,
                )
        fleet.run(30.0)
        return fleet

    def find_served_share(self, fleet, begin, end):
        """Return what was served between two times as a share of what should be."""
        served = expected = 0.0
        for name, policy in fleet.tenants.policies.items():
            offered = sum(begin <= at < end for at in fleet.offered[name])
            served += sum(begin <= at < end for at in fleet.arrivals[name])
            expected += min(offered, policy.rate * (end - begin))
        return served / expected

    @parameterized.expand([(1.5, 1), (2.5, 1), (2.5, 2), (4.0, 1)])
    def test_quotas_are_served_in_a_burst_and_after_it(self, factor, seed):
        """Guards against reports that overload the owner until it has no quorum."""
        fleet = self.replay(factor=factor, seed=seed)
        self.check_served(fleet)
        for name in fleet.tenants.policies:
            self.assertLessEqual(fleet.measure(name)[0], 1.0, name)

    def test_quotas_are_served_where_most_hosts_are_small(self):
        """Guards against an owner on a host that is too small for it."""
        processors = dict.fromkeys(("h1", "h4", "h7"), 5.0)
        fleet = self.replay(factor=2.5, seed=1, frame_s=0.03, processors=processors)
        self.check_served(fleet)
        self.assertIn(fleet.find_owner(), processors)

    def check_served(self, fleet):
        self.assertGreater(self.find_served_share(fleet, 9.0, 20.0), 0.8)
        self.assertGreater(self.find_served_share(fleet, 22.0, 28.0), 0.95)


class PartialReportTest(unittest.TestCase):
    """One daemon reports to an owner; tenant t has used most of its quota."""

    def setUp(self):
        policy = make_policy()
        self.owner = QuotaOwner(
            "a",
            "0/1",
            bounds=BOUNDS,
            find_policy=lambda tenant: replace(policy, name=tenant),
            list_hosts=lambda: frozenset("a"),
            rank_hosts=lambda group: ["a"],
            first_number=0,
        )
        self.echo = self.number = 0
        self.report(TenantUse("t", 0, 0, 0))
        self.report(TenantUse("t", 90, 0, 10))
        self.report(TenantUse("t", 90, 0, 10))

    def report(self, *uses, is_partial=False):
        self.number += 1
        report = QuotaReport(
            "a", 1, "0/1", self.number, self.echo, False, uses, True, is_partial
        )
        grant = self.owner.handle_report(report, now=self.number / 10)
        self.echo = grant.number
        return {item.tenant for item in grant.grants}

    def test_tokens_of_tenants_not_named_are_kept(self):
        """Guards against allowances that a report about another tenant takes away."""
        self.assertEqual({"u"}, self.report(TenantUse("u", 0, 0, 1), is_partial=True))
        self.assertEqual({"t", "u"}, self.report(TenantUse("u", 0, 0, 1)))


class ReplayTest(unittest.TestCase):
    """Replays with one tenant, 24 hosts in 3 regions, and one fault."""

    def replay(self, where, *, share, fault="", seed=1, hosts=HOSTS):
        """Return a fleet after a load that is a share of the tenant's rate."""
        fleet = Fleet(hosts, [make_policy()], seed=seed)
        offer(fleet, where, share * make_policy().rate)
        if fault:
            fleet.at(FAULT_AT, lambda: inject(fleet, fault))
        fleet.run(END + 3)
        return fleet

    @parameterized.expand([("one",), ("all",), ("moving",)])
    def test_demand_below_the_quota_is_served(self, where):
        """Guards against allowances that are tight or late below the limit."""
        for share, allowed in ((0.3, 0.01), (0.8, 0.03)):
            fleet = self.replay(where, share=share)
            self.assertLessEqual(fleet.measure("t")[2], allowed)

    @parameterized.expand([("one",), ("all",), ("moving",)])
    def test_most_of_the_quota_is_used_under_more_demand(self, where):
        """Guards against tokens that lie at daemons without requests."""
        fleet = self.replay(where, share=4)
        bound, used, _ = fleet.measure("t", begin=BEGIN, end=END)
        self.assertLessEqual(bound, 1.0)
        self.assertGreater(used, 0.8)

    def test_sixfold_rise_within_the_quota_is_served(self):
        """Guards against allowances sized by the usual load alone."""
        fleet = Fleet(HOSTS, [make_policy()])
        offer(fleet, "one", 2.5, end=10)
        offer(fleet, "one", 15, begin=10)
        fleet.run(END)
        self.assertEqual([], fleet.refused["t"])

    @parameterized.expand([(fault,) for fault in FAULTS])
    def test_bound_holds_through_a_fault(self, fault):
        """Guards against tokens that are granted twice because an owner forgets."""
        for where in ("one", "all", "moving"):
            for seed in (1, 2):
                fleet = self.replay(where, share=6, fault=fault, seed=seed)
                self.assertLessEqual(fleet.measure("t")[0], 1.0, (where, seed))
                served = [at for at in fleet.arrivals["t"] if at > END - 3]
                self.assertGreater(len(served), 0, "service has not resumed")

    @parameterized.expand([("owner dies",), ("owner paused",), ("owner cut off",)])
    def test_change_of_the_owner_refuses_little(self, fault):
        """Guards against seconds without tokens at each change of the owner."""
        fleet = self.replay("one", share=0.3, fault=fault)
        self.assertLessEqual(fleet.measure("t")[2], 0.03)

    def test_lowered_rate_binds_after_three_seconds(self):
        """Guards against allowances under a rate that is no longer in force."""
        policy = make_policy()
        lower = replace(policy, rate=5.0, burst=5.0)
        fleet = Fleet(HOSTS, [policy])
        offer(fleet, "all", 60)
        fleet.at(10, lambda: setattr(fleet, "tenants", TenantTable({"t": lower})))
        fleet.run(END + 3)
        late = [at for at in fleet.arrivals["t"] if 13 <= at < 13 + BOUNDS.window]
        quota = lower.rate * BOUNDS.window + lower.burst
        self.assertLessEqual(len(late), quota * (1 + BOUNDS.overage) + BOUNDS.slack)

    def test_first_start_over_some_seconds_is_no_restart(self):
        """Guards against refusals because an owner believes that others were before."""
        fleet = Fleet(HOSTS, [make_policy()])
        for number, daemon in enumerate(fleet.daemons.values()):
            daemon.stop()
            start = functools.partial(daemon.start, is_first_start=True)
            fleet.call_later(number * 0.3, start)
        offer(fleet, "all", 16, begin=9)
        fleet.run(END)
        self.assertLessEqual(fleet.measure("t")[2], 0.03)

    def test_owner_that_has_lost_no_daemon_goes_on(self):
        """Guards against a new start of all quotas after a moment without a quorum."""
        fleet = Fleet(HOSTS, [make_policy(), make_policy(name="u")])
        offer(fleet, "one", 6)
        fleet.run(FAULT_AT)
        for daemon in list(fleet.daemons.values())[:16]:
            daemon.paused_until = FAULT_AT + 0.9
        fleet.offer("u", 16, lambda at: "h5", begin=FAULT_AT + 1.5, end=END)
        fleet.run(END)
        self.assertLessEqual(fleet.measure("u")[2], 0.03)

    def test_tenant_without_a_limit_is_reported_no_more(self):
        """Guards against reports for ever about a tenant that has been removed."""
        fleet = Fleet(3, [make_policy(), make_policy(name="u")])
        fleet.offer("t", 20, lambda at: "h1", begin=BEGIN, end=FAULT_AT)
        remaining = TenantTable({"u": make_policy(name="u")})
        fleet.at(FAULT_AT, lambda: setattr(fleet, "tenants", remaining))
        fleet.run(25)
        (session,) = fleet.daemons["h1"].service._sessions.values()
        self.assertNotIn("t", session.allowances)

    def test_no_frames_without_a_rate(self):
        """Guards against traffic in deployments that limit no tenant."""
        fleet = Fleet(HOSTS, [make_policy(rate=0.0)])
        fleet.run(5)
        self.assertEqual(0, fleet.counts["frames"])

    @settings(max_examples=15, deadline=None, derandomize=True)
    @given(
        seed=st.integers(0, 1000),
        hosts=st.integers(1, 12),
        rate=st.sampled_from([0.5, 3.0, 20.0, 150.0]),
        burst=st.sampled_from([0.0, 10.0, 200.0]),
        faults=st.lists(
            st.tuples(
                st.floats(3, 18),
                st.sampled_from(["restart", "pause", "cut", "join"]),
                st.integers(0, 11),
            ),
            max_size=8,
        ),
    )
    def test_bound_holds_under_any_faults(self, seed, hosts, rate, burst, faults):
        """Guards against sequences of faults that nobody has thought of."""
        fleet = Fleet(hosts, [make_policy(rate, burst)], seed=seed)
        for where in ("one", "all", "moving"):
            if "h5" in fleet.hosts or where != "one":
                offer(fleet, where, 2 * rate + 5, begin=0.5, end=20)

        def hit(kind, host):
            daemon = fleet.daemons[host]
            if kind == "restart" and daemon.service is not None:
                fleet.restart(host, after=fleet.random.uniform(0.05, 2))
            elif kind == "pause":
                daemon.paused_until = fleet.clock.monotonic() + 2
            elif kind == "cut":
                cut(fleet, {host})
            else:
                fleet.reachable = None

        for at, kind, number in faults:
            host = f"h{number % hosts}"
            fleet.at(at, lambda kind=kind, host=host: hit(kind, host))
        fleet.run(23)
        self.assertLessEqual(fleet.measure("t")[0], 1.0)


if __name__ == "__main__":
    unittest.main()
