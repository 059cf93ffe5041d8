"""Base class and settings of the stateful coordination tests."""

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from almondrouter.clock import ManualClock
from almondrouter_standins.keyspace import Keyspace
from almondrouter_standins.memory_store import CallFault
from almondrouter_standins.schedule import Schedule

INDEXES = st.integers(0, 9)
# Includes NONE several times, so that many calls succeed.
FAULTS = st.sampled_from([*CallFault, *[CallFault.NONE] * 2])


def make_settings(*, examples, steps):
    """Return Hypothesis settings that run the same examples every time.

    Parameters
    ----------
    examples
        Number of runs of the state machine.
    steps
        Maximum number of rules in each run.
    """
    return settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )


class FaultMachine(RuleBasedStateMachine):
    """Decides for each store call whether it succeeds, fails, is lost or is late."""

    def __init__(self):
        super().__init__()
        self.schedule = Schedule()
        self.clock = ManualClock()
        self.keyspace = Keyspace(clock=self.clock)

    def collect(self):
        """Process the results of finished tasks; subclasses override this."""

    @precondition(lambda self: self.schedule.held)
    @rule(index=INDEXES, fault=FAULTS)
    def answer(self, index, fault):
        self.schedule.answer(index, fault)
        self.collect()

    @precondition(lambda self: self.schedule.held)
    @rule()
    def answer_all(self):
        self.schedule.answer_all()
        self.collect()

    @precondition(lambda self: self.schedule.list_clients_with_late_calls())
    @rule(index=INDEXES)
    def deliver_late(self, index):
        self.schedule.deliver_late(index)
        self.collect()

    def teardown(self):
        self.schedule.close()
