"""Error kinds, and the status and retry advice that callers get for each.

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
    """Kinds of failure that are reported to callers; a closed list."""

    BAD_REQUEST = "bad_request"
    UNAUTHORIZED = "unauthorized"
    NO_ROUTE = "no_route"
    SESSION_INVALID = "session_invalid"
    SESSION_EXPIRED = "session_expired"
    SESSION_DIVERGED = "session_diverged"
    SESSION_TOO_LARGE = "session_too_large"
    REQUEST_TOO_LARGE = "request_too_large"
    REQUEST_TIMEOUT = "request_timeout"
    RATE_LIMITED = "rate_limited"
    CREDENTIALS_UNCONFIRMED = "credentials_unconfirmed"
    ROUTES_UNCONFIRMED = "routes_unconfirmed"
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
    """Whether the statement of a failed request was executed."""

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
    """Status, effect and retry advice that callers get for an error."""

    status: int
    effect: Effect
    retry: Retry


@dataclasses.dataclass(frozen=True)
class Failure:
    """A failure to be reported to the caller.

    Parameters
    ==========

    kind : ErrorKind
        Selects the status, the effect and the advice on a retry.
    message : str
        One sentence that names the faulty value or part.
    retry_after_ms : int
        Time to wait before a retry, in milliseconds; 0 for none.

    """

    kind: ErrorKind
    message: str
    retry_after_ms: int = 0


_FINAL_STATUS_BY_KIND = {
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

_RETRYABLE_STATUS_BY_KIND = {
    ErrorKind.REQUEST_TIMEOUT: 408,
    ErrorKind.RATE_LIMITED: 429,
    ErrorKind.CREDENTIALS_UNCONFIRMED: 503,
    ErrorKind.ROUTES_UNCONFIRMED: 503,
    ErrorKind.OVERLOADED: 503,
    ErrorKind.DEADLINE_UNREACHABLE: 503,
    ErrorKind.NO_PRIMARY: 503,
    ErrorKind.NO_FRESH_MEMBER: 503,
    ErrorKind.DRAINING: 503,
}

_ANSWER_BY_KIND = {
    **{
        kind: ErrorAnswer(status, Effect.NOT_RUN, Retry.NO)
        for kind, status in _FINAL_STATUS_BY_KIND.items()
    },
    **{
        kind: ErrorAnswer(status, Effect.NOT_RUN, Retry.YES)
        for kind, status in _RETRYABLE_STATUS_BY_KIND.items()
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
    return _ANSWER_BY_KIND[kind]
