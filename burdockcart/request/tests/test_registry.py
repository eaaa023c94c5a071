"""Guards the table of request ids that must run at most once."""

import hypothesis
from hypothesis import strategies
import testtools

from burdockcart.request import registry

KEY = registry.Key("g", "caller", "r1")
_Verdict = registry.Verdict


class TestRegistry(testtools.TestCase):
    """Ids are claimed once, kept long enough and never dropped early."""

    @hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["claim", "copy"]),
                strategies.sampled_from(["s1", "s2", "s3"]),
                strategies.floats(0, 200),
            ),
            max_size=12,
        )
    )
    def test_one_claim_within_the_time_ids_are_kept(self, steps):
        """Guards against two submissions of an id that both run."""
        known, now, claims = registry.RequestIdRegistry(), 0.0, []
        for action, submission, pause_s in steps:
            now += pause_s
            verdict = getattr(known, action)(KEY, submission, now)
            if action == "claim" and verdict is _Verdict.ACCEPTED:
                claims.append(now)
        for earlier, later in zip(claims, claims[1:]):
            self.assertGreaterEqual(later - earlier, registry.KEEP_S)

    def test_full_table_refuses_rather_than_drops(self):
        """Guards against an id that is forgotten under load."""
        known = registry.RequestIdRegistry(limit=2)
        for number in range(2):
            key = registry.Key("g", "caller", f"r{number}")
            self.assertIs(_Verdict.ACCEPTED, known.claim(key, "s", 0.0))
        other = registry.Key("g", "caller", "r2")
        self.assertIs(_Verdict.FULL, known.claim(other, "s", 1.0))
        self.assertIs(_Verdict.ACCEPTED, known.claim(other, "s", 600.0))

    def test_ids_of_two_callers_do_not_collide(self):
        """Guards against a caller who gets another's recorded answer."""
        known = registry.RequestIdRegistry()
        known.claim(KEY, "s1", 0.0)
        known.record(KEY, "s1", "secret")
        other = registry.Key("g", "other", "r1")
        self.assertIs(_Verdict.ACCEPTED, known.claim(other, "s2", 0.0))
        self.assertIsNone(known.answer(other))

    def test_released_id_may_run(self):
        """Guards against a request that stays blocked after `not run`."""
        known = registry.RequestIdRegistry()
        known.claim(KEY, "s1", 0.0)
        known.release(KEY, "s2")
        self.assertIs(_Verdict.KNOWN, known.claim(KEY, "s2", 0.0))
        known.release(KEY, "s1")
        self.assertIs(_Verdict.ACCEPTED, known.claim(KEY, "s2", 0.0))

    def test_release_of_a_copy_keeps_a_claim(self):
        """Guards against a claim that another daemon's release drops.

        An executor that refuses a request tells its peers to drop the id;
        one of them may have claimed it meanwhile (safety model, seed
        3520842886).
        """
        known = registry.RequestIdRegistry()
        known.claim(KEY, "s1", 0.0)
        known.release_copy(KEY, "s1")
        self.assertIs(_Verdict.KNOWN, known.claim(KEY, "s2", 0.0))

    def test_copy_of_the_same_submission_is_not_a_second_one(self):
        """Guards against an entry's own copy that blocks its request."""
        known = registry.RequestIdRegistry()
        known.copy(KEY, "s1", 0.0)
        self.assertIs(_Verdict.ACCEPTED, known.claim(KEY, "s1", 0.0))
        self.assertIs(_Verdict.KNOWN, known.claim(KEY, "s1", 0.0))
