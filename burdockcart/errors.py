"""Closed list of error kinds and the answer that belongs to each.

Examples
========

>>> from burdockcart import errors
>>> errors.answer_for(errors.ErrorKind.OVERLOADED).status
503
>>> errors.answer_for(errors.ErrorKind.OVERLOADED).effect.value
'not run'

"""

import dataclasses
import enum


class ErrorKind(enum.Enum):
    """Every kind of failure that a caller can be told of."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    NO_ROUTE = "no_route"
    SESSION_INVALID = "session_invalid"
    SESSION_EXPIRED = "session_expired"
    SESSION_DIVERGED = "session_diverged"
    SESSION_TOO_LARGE = "session_too_large"
    REQUEST_TOO_LARGE = "request_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    OVERLOADED = "overloaded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_PRIMARY = "no_primary"
    NO_FRESH_MEMBER = "no_fresh_member"
    DRAINING = "draining"
    TRANSACTION_LOST = "transaction_lost"
    UNKNOWN_STATEMENT = "unknown_statement"
    STATEMENT_TIMEOUT = "statement_timeout"
    STATEMENT_FAILED = "statement_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


class Effect(enum.Enum):
    """What happened to the statement of a failed request."""

    NOT_RUN = "not run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Retry(enum.Enum):
    """When a caller may send a failed request again."""

    NO = "no"
    YES = "yes"
    IF_REPEATABLE = "if repeatable"
    WHOLE_TRANSACTION = "whole transaction"


@dataclasses.dataclass(frozen=True)
class ErrorAnswer:
    """What a caller is told for one kind of error."""

    status: int
    effect: Effect
    retry: Retry


@dataclasses.dataclass(frozen=True)
class Failure:
    """A failure on its way to the caller.

    Parameters
    ==========

    kind : ErrorKind
        Selects the status, the effect and the advice on a retry.
    message : str
        One sentence that names the faulty value or part.
    retry_after_ms : int
        Pause that the caller is asked to keep, in milliseconds; 0 for none.

    """

    kind: ErrorKind
    message: str
    retry_after_ms: int = 0


_NOT_RUN_FINAL = {
    ErrorKind.BAD_REQUEST: 400,
    ErrorKind.UNAUTHORIZED: 401,
    ErrorKind.NO_ROUTE: 404,
    ErrorKind.SESSION_INVALID: 400,
    ErrorKind.SESSION_EXPIRED: 410,
    ErrorKind.SESSION_DIVERGED: 409,
    ErrorKind.SESSION_TOO_LARGE: 413,
    ErrorKind.REQUEST_TOO_LARGE: 413,
    ErrorKind.UNKNOWN_STATEMENT: 404,
}

_NOT_RUN_RETRY = {
    ErrorKind.REQUEST_TIMEOUT: 408,
    ErrorKind.OVERLOADED: 503,
    ErrorKind.DEADLINE_UNREACHABLE: 503,
    ErrorKind.NO_PRIMARY: 503,
    ErrorKind.NO_FRESH_MEMBER: 503,
    ErrorKind.DRAINING: 503,
}

_BY_KIND = {
    **{
        kind: ErrorAnswer(status, Effect.NOT_RUN, Retry.NO)
        for kind, status in _NOT_RUN_FINAL.items()
    },
    **{
        kind: ErrorAnswer(status, Effect.NOT_RUN, Retry.YES)
        for kind, status in _NOT_RUN_RETRY.items()
    },
    ErrorKind.TRANSACTION_LOST: ErrorAnswer(
        409, Effect.NOT_RUN, Retry.WHOLE_TRANSACTION
    ),
    ErrorKind.STATEMENT_TIMEOUT: ErrorAnswer(
        504, Effect.UNKNOWN, Retry.IF_REPEATABLE
    ),
    ErrorKind.STATEMENT_FAILED: ErrorAnswer(422, Effect.RAN, Retry.NO),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        504, Effect.UNKNOWN, Retry.IF_REPEATABLE
    ),
    ErrorKind.INTERNAL: ErrorAnswer(500, Effect.UNKNOWN, Retry.IF_REPEATABLE),
}


def answer_for(kind: ErrorKind) -> ErrorAnswer:
    """Return the status, effect and retry advice of an error kind."""
    return _BY_KIND[kind]
