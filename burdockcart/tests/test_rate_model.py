"""Random walks through the model of shares."""

import random

import testtools

from burdockcart.tests import rate_model

WALKS = 150
STEPS = 200


def walks(rules, count=WALKS):
    """Return the sums that walks have seen."""
    seen = set()
    for seed in range(count):
        seen |= rate_model.walk(random.Random(seed), STEPS, rules)
    return seen


class TestShares(testtools.TestCase):
    """The transfer of shares, and of a shard to another owner."""

    def test_protocol(self):
        """Guards against shares that sum to more than the limit.

        The walks must also grant all of it.
        """
        self.assertEqual(
            set(range(rate_model.LIMIT + 1)), walks(rate_model.Rules())
        )

    def test_model_finds_a_missing_grace_period(self):
        """A model that finds no fault guards against none."""
        self._finds(rate_model.Rules(grace=False))

    def test_model_finds_a_missing_acknowledgement(self):
        """A share that was sent need not be the one in use."""
        self._finds(rate_model.Rules(acknowledge=False))

    def test_model_finds_shares_that_never_expire(self):
        """A daemon that is cut off must stop."""
        self._finds(rate_model.Rules(expire=False))

    def test_model_finds_an_owner_that_does_not_step_down(self):
        """Two daemons would grant the same rate."""
        self._finds(rate_model.Rules(step_down=False))

    def test_model_finds_a_successor_that_grants_too_early(self):
        """Shares of the former owner outlive the ordinary grace period."""
        self._finds(rate_model.Rules(await_shares=False))

    def test_model_finds_a_write_without_a_condition(self):
        """A late request must not replace the key of another owner."""
        self._finds(rate_model.Rules(conditional=False))

    def _finds(self, rules):
        self.assertRaises(rate_model.Violation, walks, rules, 5 * WALKS)

    def test_accepting_late_answers(self):
        """Without the rule on late answers, more shares count as in use.

        That is a protocol of its own, which must be safe, too.
        """
        walks(rate_model.Rules(last_only=False))
