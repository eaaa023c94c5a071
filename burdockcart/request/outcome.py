"""Outcome of the attempts to run a statement, and how it is reported."""

import enum

from burdockcart import errors

_Effect = errors.Effect


class Stage(enum.Enum):
    """How far one attempt to run a statement got."""

    NOT_SENT = "not sent"
    REFUSED = "refused by the target"
    SENT = "sent without answer"
    ANSWERED = "answered"


#: Only these stages prove that a statement was not run.
NOT_RUN_STAGES = frozenset({Stage.NOT_SENT, Stage.REFUSED})

#: Refusals after which another member may still run the statement.
RETRYABLE_REFUSALS = frozenset(
    {errors.ErrorKind.NO_PRIMARY, errors.ErrorKind.NO_FRESH_MEMBER}
)


def stage_of(failure: errors.Failure) -> Stage:
    """Return the stage that a failure of one attempt proves.

    Examples
    ========

    >>> from burdockcart import errors
    >>> from burdockcart.request import outcome
    >>> lost = errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, "")
    >>> outcome.stage_of(lost)
    <Stage.SENT: 'sent without answer'>

    """
    effect = errors.answer_for(failure.kind).effect
    return {
        _Effect.NOT_RUN: Stage.NOT_SENT,
        _Effect.UNKNOWN: Stage.SENT,
        _Effect.RAN: Stage.ANSWERED,
    }[effect]


class AttemptHistory:
    """Records all attempts to run one request.

    Explanation
    ===========

    Invariant: once an attempt may have run, no later failure of the request
    is reported as ``not run``, and a request that is not repeatable is not
    sent again.

    Parameters
    ==========

    repeatable : bool
        Whether the statement may run more than once.

    Examples
    ========

    >>> from burdockcart import errors
    >>> from burdockcart.request import outcome
    >>> history = outcome.AttemptHistory(repeatable=True)
    >>> history.record_attempt(outcome.Stage.SENT)
    >>> history.may_send
    True
    >>> late = errors.Failure(errors.ErrorKind.OVERLOADED, "queue is full")
    >>> history.overall_failure(late).kind.value
    'outcome_unknown'

    """

    def __init__(self, repeatable: bool):
        self.repeatable = repeatable
        self.attempts = 0
        self._may_have_run = False

    @property
    def may_send(self) -> bool:
        """Return whether the request may be sent to a target (again)."""
        return self.repeatable or not self._may_have_run

    def record_attempt(self, stage: Stage) -> None:
        """Record the stage in which an attempt ended."""
        self.attempts += 1
        if stage not in NOT_RUN_STAGES:
            self._may_have_run = True

    def may_retry(self, failure: errors.Failure) -> bool:
        """Return whether another attempt may follow a failed one."""
        if stage_of(failure) is Stage.NOT_SENT:
            return self.may_send and failure.kind in RETRYABLE_REFUSALS
        unknown = failure.kind is errors.ErrorKind.OUTCOME_UNKNOWN
        return self.may_send and unknown

    def overall_failure(self, failure: errors.Failure) -> errors.Failure:
        """Return the failure that holds for all attempts together."""
        effect = errors.answer_for(failure.kind).effect
        if not self._may_have_run or effect is not _Effect.NOT_RUN:
            return failure
        text = f"an earlier attempt may have run; {failure.message}"
        return errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, text)
