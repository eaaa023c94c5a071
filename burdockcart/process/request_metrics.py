"""Counters of the requests that a daemon answers."""

from burdockcart.connection import caller_server
from burdockcart import errors
from burdockcart import ids
from burdockcart.process import entry
from burdockcart.process import metrics
from burdockcart.request import statement


def count_answers(
    handle: caller_server.Handle, counters: metrics.Metrics
) -> caller_server.Handle:
    """Return a handler that also counts the answers of ``handle``.

    Errors are counted by :func:`add_error`, which the caller server also calls
    for its own errors.

    """

    async def handle_and_count(
        caller: ids.CallerId, request: statement.Request
    ) -> entry.AnswerResult:
        answered = await handle(caller, request)
        answer = answered.value_or(None)
        if answer is None:
            return answered
        if request.operation is statement.Operation.WRITE:
            counters.count("requests.writes_acknowledged")
        elif answer.served_by.role == "primary":
            counters.count("requests.reads_by_primary")
        else:
            counters.count("requests.reads_by_replica")
        return answered

    return handle_and_count


def add_error(counters: metrics.Metrics, kind: errors.ErrorKind) -> None:
    """Count an error by its kind."""
    counters.count(f"requests.error.{kind.value}")
