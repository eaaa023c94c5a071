"""Checks the promotion protocol, and that the model finds its old faults."""

import random

import testtools

from burdockcart.tests import promotion_model

STEPS = 60


def first_violation(rules, walks, seed=20261204):
    """Return the first violation on random walks, or None."""
    rng = random.Random(seed)
    for _ in range(walks):
        try:
            promotion_model.walk(rules, rng, STEPS)
        except promotion_model.Violation as violation:
            return str(violation)
    return None


class TestPromotionModel(testtools.TestCase):
    """The protocol without fencing, and variants with a fault each."""

    def test_protocol(self):
        """No walk may break an invariant."""
        self.assertIsNone(first_violation(promotion_model.Rules(), 1500))

    def test_word_of_the_member(self):
        """Without a witness, a read runs at a replaced primary."""
        found = first_violation(promotion_model.Rules(witness=False), 500)
        self.assertTrue(found.startswith("STALE"), found)

    def test_candidate_is_not_recorded(self):
        """Without the record before the call, two daemons call."""
        rules = promotion_model.Rules(announce=False)
        self.assertIsNotNone(first_violation(rules, 500))

    def test_open_call_is_forgotten(self):
        """A late call for another member deposes the new primary."""
        rules = promotion_model.Rules(pin=False)
        self.assertIsNotNone(first_violation(rules, 1500))

    def test_store_goes_back(self):
        """No walk may break an invariant across a restore of the store."""
        rules = promotion_model.Rules(restores=True)
        self.assertIsNone(first_violation(rules, 1500))

    def test_tokens_of_an_earlier_history(self):
        """Without eras a token is given out again, or a lower one is used."""
        rules = promotion_model.Rules(restores=True, eras=False)
        found = first_violation(rules, 1500)
        self.assertTrue(found.startswith("ONE"), found)

    def test_claim_right_after_a_restore(self):
        """Without the wait two daemons promote at the same time."""
        rules = promotion_model.Rules(restores=True, wait=False)
        self.assertIsNotNone(first_violation(rules, 1500))
