"""Checks P1 to P6 over generated statements, faults and primary changes.

:mod:`burdockcart.tests.safety_checks` lists the guarantees.
"""

import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import loguru
import testtools

from burdockcart.tests import safety_model
from burdockcart.tests import safety_steps

_STEPS = safety_steps.STEPS


def _arguments(name):
    """Return a strategy for the arguments of one kind of step."""
    choices = _STEPS[name][1]
    return strategies.tuples(
        *(strategies.sampled_from(each) for each in choices)
    )


class SafetyMachine(stateful.RuleBasedStateMachine):
    """Each rule is one step of the model."""

    def __init__(self):
        super().__init__()
        loguru.logger.disable("burdockcart")
        self.model = safety_model.SafetyModel()

    @stateful.rule(arguments=_arguments("submit"))
    def submit(self, arguments):
        self.model.submit(*arguments)

    @stateful.rule(arguments=_arguments("submit"))
    def submit_and_wait(self, arguments):
        self.model.submit(*arguments)
        self.model.advance(0.02)

    @stateful.rule(arguments=_arguments("resubmit"))
    def resubmit(self, arguments):
        self.model.resubmit(*arguments)

    @stateful.rule(arguments=_arguments("begin"))
    def begin(self, arguments):
        self.model.begin(*arguments)
        self.model.advance(0.02)

    @stateful.precondition(lambda self: self.model.transactions)
    @stateful.rule(arguments=_arguments("inside"))
    def inside(self, arguments):
        self.model.inside(*arguments)

    @stateful.precondition(lambda self: self.model.transactions)
    @stateful.rule(arguments=_arguments("end"))
    def end(self, arguments):
        self.model.end(*arguments)

    @stateful.rule(seconds=strategies.sampled_from(safety_steps.PAUSES_S))
    def advance(self, seconds):
        self.model.advance(seconds)

    @stateful.rule(
        name=strategies.sampled_from(
            ("cut", "fault_answers", "lag", "heal", "pause", "resume", "kill")
        ),
        data=strategies.data(),
    )
    def fault(self, name, data):
        getattr(self.model, name)(*data.draw(_arguments(name)))

    @stateful.rule(arguments=_arguments("replace_primary"))
    def replace_primary(self, arguments):
        self.model.replace_primary(*arguments)

    @stateful.invariant()
    def no_violation(self):
        assert not self.model.checks.violations, self.model.checks.violations

    def teardown(self):
        try:
            assert not self.model.finish(), self.model.checks.violations
        finally:
            self.model.close()
            loguru.logger.enable("burdockcart")


SafetyMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    max_examples=40,
    stateful_step_count=40,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class TestSafetyMachine(SafetyMachine.TestCase):
    """Derandomised runs that Hypothesis generates."""


class TestSeeds(testtools.TestCase):
    """Regression tests for seeds that once failed."""

    def run_seed(self, seed, *size):
        loguru.logger.disable("burdockcart")
        try:
            found = safety_steps.run(random.Random(seed), 200, *size)
        finally:
            loguru.logger.enable("burdockcart")
        self.assertEqual([], found)

    def test_new_executor_with_an_own_copy(self):
        """Guards P6 against an unmarked resubmission that runs twice."""
        for seed in (4, 12, 46):
            self.run_seed(seed)

    def test_release_that_overtakes_a_claim(self):
        """Guards P6 against a claim dropped by the daemon that refused."""
        for seed in (3520842886, 826713418):
            self.run_seed(seed, 3, 0.0005)

    def test_doubled_refusal(self):
        """Guards P6 against a late refusal that answers a new attempt."""
        self.run_seed(889916992)
