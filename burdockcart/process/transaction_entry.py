"""Forwards transactions to the daemon that holds their connection."""

from returns import result

from burdockcart.connection import session_token
from burdockcart.connection import transaction
from burdockcart import errors
from burdockcart import ids
from burdockcart.process import forwarding
from burdockcart.process import peer_messages
from burdockcart.request import outcome
from burdockcart.request import statement
from burdockcart.version import rows

#: Deadline in milliseconds of a commit or rollback without its own.
END_DEADLINE_MS = 2000

AnswerResult = result.Result[statement.Answer, errors.Failure]


class TransactionEntry:
    """Handles requests that belong to an open transaction.

    Explanation
    ===========

    Requests are never retried here: a transaction is bound to one connection,
    so no other executor can serve it, and a commit may already have run.

    """

    def __init__(
        self,
        tokens: session_token.SessionTokens,
        forwarder: forwarding.Forwarder,
    ):
        self._tokens = tokens
        self._forwarder = forwarder

    async def execute(
        self,
        caller: ids.CallerId,
        request: statement.Request,
        route: rows.Route,
        marks: session_token.Marks,
    ) -> AnswerResult:
        """Run a statement inside its transaction."""
        message = peer_messages.Execute(
            group=ids.GroupId(request.database or ""),
            member=ids.MemberId(""),
            caller=caller,
            route=route.name,
            kind=request.kind,
            request_id=request.request_id,
            operation=request.operation,
            statement=request.statement,
            deadline_ms=min(
                route.deadline_ms, request.deadline_ms or route.deadline_ms
            ),
            transaction=request.transaction,
            attempt=request.attempt,
            repeatable=False,
        )
        return await self._forward(message, marks)

    async def end(
        self,
        caller: ids.CallerId,
        identity: ids.TransactionId,
        action: statement.Action,
        request: statement.EndRequest,
    ) -> AnswerResult:
        """Commit or roll back a transaction."""
        checked = self._tokens.check(request.session)
        if isinstance(checked, result.Failure):
            return checked
        message = peer_messages.Execute(
            group=ids.GroupId(""),
            member=ids.MemberId(""),
            caller=caller,
            route=ids.RouteName(""),
            kind=action.value,
            request_id=request.request_id,
            operation=statement.Operation.WRITE,
            statement={},
            deadline_ms=min(
                END_DEADLINE_MS, request.deadline_ms or END_DEADLINE_MS
            ),
            transaction=identity,
            action=action,
            repeatable=False,
        )
        return await self._forward(message, checked.unwrap())

    async def _forward(
        self, message: peer_messages.Execute, marks: session_token.Marks
    ) -> AnswerResult:
        identity = message.transaction or ids.TransactionId("")
        daemon = transaction.executor_of(identity)
        stage, reply = await self._forwarder.attempt(daemon, message)
        if isinstance(reply, result.Failure):
            if stage is outcome.Stage.NOT_SENT and (
                reply.failure().kind is errors.ErrorKind.NO_PRIMARY
            ):
                return result.Failure(
                    transaction.lost(f"{daemon} is unreachable")
                )
            return reply
        body = reply.unwrap()
        group = body.group or ids.GroupId("")
        if message.action is statement.Action.COMMIT:
            mark = session_token.Mark(body.log_term, body.position)
            marks = session_token.merge(marks, group, mark)
        return self._forwarder.answer(
            message.request_id, daemon, marks, group, body
        )
