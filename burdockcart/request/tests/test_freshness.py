"""Guards the bound on a replica's age and the choice among replicas."""

import hypothesis
from hypothesis import strategies
import testtools

from burdockcart.process import peer_messages
from burdockcart.request import freshness
from burdockcart.request import routing
from burdockcart.version import rows


def state(position, term=1, log_term=1, history=((1, 0),)):
    return peer_messages.MemberState(
        member="a",
        term=term,
        role="primary",
        position=position,
        log_term=log_term,
        history=history,
    )


class TestAge(testtools.TestCase):
    @hypothesis.settings(max_examples=200, derandomize=True)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.001, 1.0), strategies.integers(0, 3)
            ),
            min_size=1,
            max_size=300,
        ),
        strategies.integers(0, 300),
    )
    def test_age_is_never_understated(self, steps, held):
        """Guards against a replica that appears fresher than it is."""
        known, now, position, missing_since = freshness.Freshness(), 0, 0, None
        for pause, writes in steps:
            now += pause
            position += writes
            if position > held and missing_since is None:
                missing_since = now
            known.add(now, state(position))
        age = known.age_s(1, held, now)
        if age is not None and missing_since is not None:
            self.assertGreaterEqual(age, now - missing_since)

    def test_discarded_branch_has_no_age(self):
        """Guards against serving writes that a new primary discarded."""
        known = freshness.Freshness()
        known.add(1.0, state(5))
        known.add(2.0, state(6, 2, 2, ((1, 0), (2, 5))))
        self.assertIsNone(known.age_s(1, 8, 3.0))
        self.assertEqual(2.0, known.age_s(1, 5, 3.0))

    def test_replica_returns_below_half_of_its_bound(self):
        """Guards against a replica that flaps around its bound."""
        known = freshness.Freshness()
        ages = (0.9, 1.1, 0.9, 0.6, 0.5, 0.9)
        self.assertEqual(
            [True, False, False, False, True, True],
            [known.usable("a", age, 1.0) for age in ages],
        )

    def test_catch_up_time_follows_the_measured_rate(self):
        """Guards against waiting for a replica that does not move."""
        known = freshness.Freshness()
        known.observe(0.0, state(0))
        self.assertIsNone(known.catch_up_s("a", 5, 0.0))
        known.observe(1.0, state(100))
        self.assertAlmostEqual(0.05, known.catch_up_s("a", 105, 1.0))


class TestChoice(testtools.TestCase):
    def test_loaded_local_replica_shares_its_reads(self):
        """Guards against one overloaded replica beside an idle one."""
        near, far = rows.Member("a", "x", ""), rows.Member("b", "y", "")
        loaded = [
            routing.ReadCandidate(near, 0.0, True, 3.0),
            routing.ReadCandidate(far, 0.0, True, 0.0),
        ]
        first = [
            routing.rank_replicas(
                loaded, 0.0, "x", routing.hash_fraction(str(n))
            )[0].id
            for n in range(500)
        ]
        self.assertTrue(350 < first.count("b") < 450, first.count("b"))
