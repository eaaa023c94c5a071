"""Typed requests and answers of the interface for callers."""

import enum
from typing import Annotated
from typing import Any

import msgspec

from burdockcart import errors
from burdockcart import ids


class Operation(enum.Enum):
    """Whether a statement changes the database."""

    READ = "read"
    WRITE = "write"


#: Longest name or id that a caller may send, in characters.
MAX_NAME_LENGTH = 128
MAX_DEADLINE_MS = 600_000

_NAME = msgspec.Meta(min_length=1, max_length=MAX_NAME_LENGTH)
Name = Annotated[str, _NAME]
DeadlineMs = Annotated[int, msgspec.Meta(ge=1, le=MAX_DEADLINE_MS)]
Attempt = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class Action(enum.Enum):
    """What a request does to a transaction, if anything."""

    EXECUTE = "execute"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class BeginRequest(msgspec.Struct, kw_only=True, frozen=True):
    """Opens a transaction on the group of a database or a key."""

    request_id: Annotated[ids.RequestId, _NAME]
    kind: Name
    database: Name | None = None
    key: str = ""
    session: str | None = None
    deadline_ms: DeadlineMs | None = None


class EndRequest(msgspec.Struct, kw_only=True, frozen=True):
    """Commits or rolls back a transaction."""

    request_id: Annotated[ids.RequestId, _NAME]
    session: str | None = None
    deadline_ms: DeadlineMs | None = None


class Request(msgspec.Struct, kw_only=True, frozen=True):
    """A statement as a caller sends it.

    Explanation
    ===========

    If ``repeatable`` is false, the statement must run at most once.  An
    ``attempt`` above 1 states that the caller sent the same request id
    before.  ``deadline_ms`` counts from the arrival at the proxy and can
    only shorten the deadline of the route.

    """

    request_id: Annotated[ids.RequestId, _NAME]
    kind: Name
    operation: Operation
    statement: dict[str, Any]
    database: Name | None = None
    session: str | None = None
    repeatable: bool | None = None
    deadline_ms: DeadlineMs | None = None
    transaction: Annotated[ids.TransactionId, _NAME] | None = None
    attempt: Attempt = 1


class ServedBy(msgspec.Struct, frozen=True):
    """Where a statement ran."""

    proxy: ids.DaemonId
    executor: ids.DaemonId
    target: ids.MemberId
    group: ids.GroupId
    role: str
    term: ids.Term
    position: ids.Position


class Answer(msgspec.Struct, frozen=True):
    """Answer to one request."""

    request_id: ids.RequestId
    session: str
    result: Any
    served_by: ServedBy
    age_ms: int | None = None
    transaction: ids.TransactionId | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """JSON body of a failed request."""

    request_id: str | None
    error: str
    effect: str
    retry: str
    message: str
    retry_after_ms: int = 0


def error_body(request_id: str | None, failure: errors.Failure) -> ErrorBody:
    """Return the body that reports a failure to a caller.

    Examples
    ========

    >>> from burdockcart import errors
    >>> from burdockcart.request import statement
    >>> failure = errors.Failure(errors.ErrorKind.NO_ROUTE, "no route")
    >>> statement.error_body("r1", failure).effect
    'not run'

    """
    answer = errors.answer_for(failure.kind)
    return ErrorBody(
        request_id,
        failure.kind.value,
        answer.effect.value,
        answer.retry.value,
        failure.message,
        failure.retry_after_ms,
    )
