"""Runs transactions on the members that this daemon is the executor of."""

import asyncio
import secrets

import loguru
import msgspec
from returns import result

from burdockcart import clock
from burdockcart.connection import session_token
from burdockcart.connection import target_connection
from burdockcart.connection import transaction
from burdockcart import errors
from burdockcart import ids
from burdockcart.process import answers
from burdockcart.process import group_view
from burdockcart.process import groups
from burdockcart.process import member_executor
from burdockcart.process import peer_messages
from burdockcart.request import admission
from burdockcart.request import statement

#: Seconds between two checks for idle and lost transactions.
WATCH_INTERVAL_S = 0.5
INCARNATION_BYTES = 4

_Kind = errors.ErrorKind
_Action = statement.Action


def _refuse(kind: errors.ErrorKind, text: str) -> peer_messages.Message:
    return answers.refusal(errors.Failure(kind, text))


def _lost(reason: str) -> peer_messages.Message:
    return answers.refusal(transaction.lost(reason))


class TransactionRunner:
    """Owns the open transactions of this daemon.

    Explanation
    ===========

    A transaction holds one connection to its member from begin to end, but a
    slot only while one of its statements runs.  Closing the connection makes
    the target roll back.

    """

    def __init__(
        self,
        own: ids.DaemonId,
        served_groups: groups.Groups,
        time: clock.Clock,
    ):
        self._groups = served_groups
        self._clock = time
        self._acknowledger = answers.Acknowledger(served_groups, time)
        self.table = transaction.TransactionTable(
            own, secrets.token_hex(INCARNATION_BYTES)
        )

    async def watch(self) -> None:
        """Abort transactions that are lost or idle for too long."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            idle = self.table.idle_expired(self._clock.now())
            for each in list(self.table.by_id.values()):
                if each.state is transaction.State.BUSY:
                    continue
                if each in idle or self._executor(each) is None:
                    self._abort(each, "idle" if each in idle else "lost")

    def stop(self) -> None:
        """Close the connections of all transactions."""
        for each in list(self.table.by_id.values()):
            self._abort(each, "daemon_stopped")

    async def run(
        self, message: peer_messages.Execute, arrived: float
    ) -> peer_messages.Message:
        """Begin, use or end a transaction."""
        deadline = arrived + message.deadline_ms / 1000
        if message.action is _Action.BEGIN:
            return await self._begin(message)
        identity = message.transaction or ids.TransactionId("")
        used = self.table.use(identity, message.caller, self._clock.now())
        if isinstance(used, result.Failure):
            return answers.refusal(used.failure())
        held = used.unwrap()
        message = msgspec.structs.replace(
            message, route=held.route, member=held.member
        )
        try:
            if message.group and message.group != held.group:
                text = f"the transaction is on {held.group}"
                return _refuse(_Kind.BAD_REQUEST, text)
            return await self._use(held, message, arrived, deadline)
        finally:
            if held.connection.closed:
                self._abort(held, "connection_closed")
            elif held.id in self.table.by_id:
                self.table.done(held, self._clock.now())

    def _executor(
        self, held: transaction.Transaction
    ) -> member_executor.MemberExecutor | None:
        """Return the executor if the member is still primary at its term."""
        executor = self._groups.executor_by_member.get(held.member)
        view = self._groups.view_by_group.get(held.group)
        if executor is None or executor.connections is not held.pool:
            return None
        primary = view.primary() if view is not None else None
        if view is None or primary is None:
            return None
        leads = (primary.id, view.term) == (held.member, held.term)
        return executor if leads else None

    def _abort(self, held: transaction.Transaction, reason: str) -> None:
        if held.id not in self.table.by_id:
            return
        self.table.end(held)
        held.connection.close()
        held.pool.release(held.connection)
        loguru.logger.info(
            "event=transaction_ended member={} reason={}", held.member, reason
        )

    async def _begin(
        self, message: peer_messages.Execute
    ) -> peer_messages.Message:
        executor = self._groups.executor_by_member.get(message.member)
        view = self._groups.view_by_group.get(message.group)
        primary = view.primary() if view is not None else None
        if executor is None or view is None or primary is None:
            return peer_messages.Redirect()
        if primary.id != message.member:
            return peer_messages.Redirect()
        state = view.observed_by_member[message.member].state
        minimum = message.minimum
        if minimum is not None and group_view.diverged(state, minimum):
            return answers.diverged(state, minimum)
        limit = transaction.max_open(executor.connections.limit)
        if not self.table.reserve(message.member, limit):
            text = f"{limit} transactions are open on {message.member}"
            return _refuse(_Kind.OVERLOADED, text)
        try:
            return await self._open(message, executor, view.term)
        finally:
            self.table.unreserve(message.member)

    async def _open(
        self,
        message: peer_messages.Execute,
        executor: member_executor.MemberExecutor,
        term: ids.Term,
    ) -> peer_messages.Message:
        identity, pool = self.table.new_id(), executor.connections
        connection: target_connection.TargetConnection | None = None
        body = {
            "request_id": message.request_id,
            "term": term,
            "transaction": identity,
        }

        async def send(work: admission.Work) -> member_executor.Outcome:
            nonlocal connection
            connection = await pool.acquire()
            if connection is None:
                text = f"no connection to {message.member}"
                return result.Failure(errors.Failure(_Kind.NO_PRIMARY, text))
            return await executor.exchange(connection, "/begin", body, work)

        opened = False
        try:
            answer = await executor.run(message, send)
            opened = _began_after(answer, message.minimum)
        finally:
            if connection is not None and not opened:
                connection.close()
                pool.release(connection)
        if not opened or connection is None:
            if not answer.value_or(None):
                return answers.refusal(answer.failure())
            return peer_messages.Redirect()
        self.table.add(
            transaction.Transaction(
                identity,
                message.caller,
                message.group,
                message.member,
                term,
                message.route,
                message.acknowledge,
                connection,
                pool,
                self._clock.now(),
            )
        )
        executed = answers.executed_from(message.member, answer.unwrap())
        return msgspec.structs.replace(
            executed, transaction=identity, group=message.group
        )

    async def _use(
        self,
        held: transaction.Transaction,
        message: peer_messages.Execute,
        arrived: float,
        deadline: float,
    ) -> peer_messages.Message:
        executor = self._executor(held)
        if executor is None:
            self._abort(held, "primary_replaced")
            return _lost("the primary was replaced")
        answer = await self._send(held, message, executor)
        if not answer.value_or(None):
            return self._handle_failure(held, message, answer.failure())
        reply = answer.unwrap()
        if reply["status"] == "refused":
            self._abort(held, str(reply["reason"]))
            return _lost(f"the target refused: {reply['reason']}")
        if reply["status"] == "failed":
            return _refuse(_Kind.STATEMENT_FAILED, str(reply["message"]))
        executed = msgspec.structs.replace(
            answers.executed_from(held.member, reply),
            transaction=held.id,
            group=held.group,
        )
        if message.action is _Action.EXECUTE:
            if _covers(executed, message.minimum):
                return executed
            self._abort(held, "below_session")
            text = "the transaction is older than the session"
            return _refuse(_Kind.OUTCOME_UNKNOWN, text)
        self.table.end(held)
        held.pool.release(held.connection)
        if message.action is _Action.ROLLBACK:
            return executed
        return await self._acknowledger.confirm(
            held.group, executed, held.acknowledge, arrived, deadline
        )

    async def _send(
        self,
        held: transaction.Transaction,
        message: peer_messages.Execute,
        executor: member_executor.MemberExecutor,
    ) -> member_executor.Outcome:
        body = {
            "request_id": message.request_id,
            "term": held.term,
            "transaction": held.id,
        }
        if message.action is _Action.EXECUTE:
            body["operation"] = message.operation.value
            body["statement"] = message.statement

        async def send(work: admission.Work) -> member_executor.Outcome:
            path = f"/{message.action.value}"
            return await executor.exchange(held.connection, path, body, work)

        return await executor.run(message, send)

    def _handle_failure(
        self,
        held: transaction.Transaction,
        message: peer_messages.Execute,
        failure: errors.Failure,
    ) -> peer_messages.Message:
        if failure.kind is not _Kind.OUTCOME_UNKNOWN:
            if held.connection.closed:
                return _lost("the connection of the transaction is closed")
            return answers.refusal(failure)
        self._abort(held, "no_answer")
        if message.action is _Action.ROLLBACK:
            return _lost("rolled back with its connection")
        return answers.refusal(failure)


def _covers(
    executed: peer_messages.Executed, minimum: session_token.Mark | None
) -> bool:
    mark = session_token.Mark(executed.log_term, executed.position)
    return minimum is None or mark >= minimum


def _began_after(
    answer: member_executor.Outcome, minimum: session_token.Mark | None
) -> bool:
    """Return whether the transaction began at or after the session's mark."""
    reply = answer.value_or(None)
    if not reply or reply["status"] != "ok":
        return False
    return _covers(answers.executed_from(ids.MemberId(""), reply), minimum)
