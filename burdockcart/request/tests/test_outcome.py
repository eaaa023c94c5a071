"""Guards what may be reported of a statement and sent again."""

import itertools

import testtools

from burdockcart import errors
from burdockcart.request import outcome

_Kind = errors.ErrorKind


class TestProgress(testtools.TestCase):
    """Covers all sequences of up to three attempts."""

    def test_not_run_is_reported_only_if_no_attempt_may_have_run(self):
        """Guards against `not run` after an attempt without answer."""
        late = errors.Failure(_Kind.DEADLINE_UNREACHABLE, "late")
        for length in range(4):
            for stages in itertools.product(outcome.Stage, repeat=length):
                history = outcome.AttemptHistory(repeatable=True)
                for stage in stages:
                    history.record_attempt(stage)
                reported = history.overall_failure(late)
                effect = errors.answer_for(reported.kind).effect
                clean = set(stages) <= {
                    outcome.Stage.NOT_SENT,
                    outcome.Stage.REFUSED,
                }
                self.assertEqual(clean, effect is errors.Effect.NOT_RUN)

    def test_not_repeatable_is_sent_again_only_after_proof(self):
        """Guards against a second run of a request without answer."""
        for stage in outcome.Stage:
            history = outcome.AttemptHistory(repeatable=False)
            history.record_attempt(stage)
            proven = stage in (outcome.Stage.NOT_SENT, outcome.Stage.REFUSED)
            self.assertEqual(proven, history.may_send)
            failure = errors.Failure(_Kind.NO_PRIMARY, "")
            self.assertEqual(proven, history.may_retry(failure))

    def test_final_refusals_are_not_retried(self):
        """Guards against load that grows because overload is retried."""
        history = outcome.AttemptHistory(repeatable=True)
        history.record_attempt(outcome.Stage.NOT_SENT)
        for kind in (_Kind.OVERLOADED, _Kind.DEADLINE_UNREACHABLE):
            self.assertFalse(history.may_retry(errors.Failure(kind, "")))
