"""What happened to a statement, and what may be reported of it."""

import enum

from burdockcart import errors

_Effect = errors.Effect


class Stage(enum.Enum):
    """How far one attempt to run a statement came."""

    NOT_SENT = "not sent"
    REFUSED = "refused by the target"
    SENT = "sent without answer"
    ANSWERED = "answered"


#: Only these stages are evidence that a statement was not run.
NOT_RUN_STAGES = frozenset({Stage.NOT_SENT, Stage.REFUSED})

#: Refusals after which another member may still run the statement.
TRY_ELSEWHERE = frozenset(
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
    """All attempts to run one request.

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
    >>> progress = outcome.AttemptHistory(repeatable=True)
    >>> progress.note(outcome.Stage.SENT)
    >>> progress.may_send
    True
    >>> late = errors.Failure(errors.ErrorKind.OVERLOADED, "queue is full")
    >>> progress.overall_failure(late).kind.value
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

    def note(self, stage: Stage) -> None:
        """Take over the stage that an attempt ended in."""
        self.attempts += 1
        if stage not in NOT_RUN_STAGES:
            self._may_have_run = True

    def may_retry(self, failure: errors.Failure) -> bool:
        """Return whether a failed attempt may be followed by another."""
        if stage_of(failure) is Stage.NOT_SENT:
            return self.may_send and failure.kind in TRY_ELSEWHERE
        unknown = failure.kind is errors.ErrorKind.OUTCOME_UNKNOWN
        return self.may_send and unknown

    def overall_failure(self, failure: errors.Failure) -> errors.Failure:
        """Return the failure that is true for all attempts together."""
        effect = errors.answer_for(failure.kind).effect
        if not self._may_have_run or effect is not _Effect.NOT_RUN:
            return failure
        text = f"an earlier attempt may have run; {failure.message}"
        return errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, text)
