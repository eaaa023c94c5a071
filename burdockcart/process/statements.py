"""Runs statements that entries forward to this daemon's executors."""

import asyncio

from burdockcart import clock
from burdockcart.connection import session_token
from burdockcart import errors
from burdockcart import ids
from burdockcart.process import answers
from burdockcart.process import gated_statements
from burdockcart.process import group_view
from burdockcart.process import groups
from burdockcart.process import member_executor
from burdockcart.process import peer_messages
from burdockcart.process import peer_transport
from burdockcart.process import reads
from burdockcart.process import request_ids
from burdockcart.process import transactions
from burdockcart.request import outcome
from burdockcart.request import statement

_Kind = errors.ErrorKind


class Statements:
    """Handles :class:`Execute` messages.

    Parameters
    ==========

    served_groups : Groups
        Executors of this daemon and the views of all groups.
    known_ids : RequestIds
        Ids of the non-repeatable requests.
    runner : TransactionRunner
        Runs the statements of transactions.

    """

    def __init__(
        self,
        served_groups: groups.Groups,
        known_ids: request_ids.RequestIds,
        runner: transactions.TransactionRunner,
        peers: peer_transport.Peers,
        time: clock.Clock,
    ):
        self._groups = served_groups
        self._known_ids = known_ids
        self._transactions = runner
        self._acknowledger = answers.Acknowledger(served_groups, time)
        self._reads = reads.Reads(served_groups, time)
        self._clock = time
        self._gated = gated_statements.GatedStatements(
            served_groups, self._on_execute
        )
        peers.on(peer_messages.Execute, self._on_message)

    async def _on_message(
        self, sender: ids.DaemonId, message: peer_messages.Execute
    ) -> peer_messages.Message:
        if message.transaction is not None:
            # The group and the member are taken from the open transaction.
            arrived = self._clock.now()
            return await self._transactions.run(message, arrived)
        return await self._gated(sender, message)

    async def _on_execute(
        self, sender: ids.DaemonId, message: peer_messages.Execute
    ) -> peer_messages.Message:
        arrived = self._clock.now()
        if message.action is statement.Action.BEGIN:
            return await self._transactions.run(message, arrived)
        executor = self._groups.executor_by_member.get(message.member)
        view = self._groups.view_by_group.get(message.group)
        if executor is None or view is None:
            return peer_messages.Redirect()
        seen = view.observed_by_member.get(message.member)
        if seen is None:
            return peer_messages.Redirect()
        term, minimum = seen.state.term, message.minimum
        if minimum is not None and group_view.diverged(seen.state, minimum):
            return answers.diverged(seen.state, minimum)
        if message.operation is statement.Operation.WRITE and (
            seen.state.role != group_view.PRIMARY
        ):
            return peer_messages.Redirect()
        deadline = arrived + message.deadline_ms / 1000
        if not await self._reads.prepare(message, executor, deadline):
            return peer_messages.Redirect()
        if message.repeatable:
            answer = await executor.execute(message, term)
            return await self._finish(message, answer, arrived)
        return await self._run_once(sender, message, executor, term, arrived)

    async def _run_once(
        self,
        sender: ids.DaemonId,
        message: peer_messages.Execute,
        executor: member_executor.MemberExecutor,
        term: ids.Term,
        arrived: float,
    ) -> peer_messages.Message:
        """Run a statement whose request id may run only once."""
        epoch = (message.member, term, id(executor))
        refused = await self._known_ids.claim(message, epoch)
        if refused is not None:
            return await self._repeat_answer(message, refused, arrived)
        # The id is copied to a second daemon while the statement waits.
        second = asyncio.create_task(
            self._known_ids.hold_on_peer(sender, message)
        )
        answer = await executor.execute(message, term, second)
        body = await self._finish(message, answer, arrived)
        if answers.stage_of(body) in outcome.NOT_RUN_STAGES:
            self._known_ids.release_everywhere(sender, message)
        elif isinstance(body, peer_messages.Executed):
            self._known_ids.record(message, body)
        return body

    async def _repeat_answer(
        self,
        message: peer_messages.Execute,
        refused: errors.Failure,
        arrived: float,
    ) -> peer_messages.Message:
        """Return the recorded answer if it is still valid, else a refusal."""
        recorded = self._known_ids.recorded(message)
        if refused.kind is not _Kind.OUTCOME_UNKNOWN or recorded is None:
            return answers.refusal(refused)
        return await self._confirm(message, recorded, arrived)

    async def _finish(
        self,
        message: peer_messages.Execute,
        answer: member_executor.Outcome,
        arrived: float,
    ) -> peer_messages.Message:
        if not answer.value_or(None):
            return answers.refusal(answer.failure())
        reply = answer.unwrap()
        if reply["status"] == "refused":
            return peer_messages.Redirect()
        if reply["status"] == "failed":
            text = str(reply["message"])
            return answers.refusal(
                errors.Failure(_Kind.STATEMENT_FAILED, text)
            )
        executed = answers.executed_from(message.member, reply)
        return await self._confirm(message, executed, arrived)

    async def _confirm(
        self,
        message: peer_messages.Execute,
        executed: peer_messages.Executed,
        arrived: float,
    ) -> peer_messages.Message:
        deadline = arrived + message.deadline_ms / 1000
        if message.operation is statement.Operation.WRITE:
            return await self._acknowledger.confirm(
                message.group,
                executed,
                message.acknowledge,
                arrived,
                deadline,
            )
        if not self._covers(message, executed):
            return peer_messages.Redirect(ran=True)
        return await self._reads.check(message, executed, deadline)

    def _covers(
        self, message: peer_messages.Execute, executed: peer_messages.Executed
    ) -> bool:
        """Return whether a read saw all writes of its session."""
        minimum = message.minimum
        mark = session_token.Mark(executed.log_term, executed.position)
        if minimum is None or mark.term == minimum.term:
            return minimum is None or mark >= minimum
        if mark < minimum:
            return False
        # The mark is of a later term.  Only a known history that contains
        # this term shows whether it includes the session's writes.
        view = self._groups.view_by_group.get(message.group)
        seen = view and view.observed_by_member.get(message.member)
        if not seen or group_view.diverged(seen.state, minimum):
            return False
        return any(term == mark.term for term, _ in seen.state.history)
