"""Runs the statements of transactions on members."""

import asyncio

from returns import result

from burdockcart.connection import member_channel
from burdockcart.connection import open_transaction
from burdockcart import errors
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import pooled_connection
from burdockcart.process.gateway.sessions import attempts
from burdockcart.process.gateway.sessions import refusals
from burdockcart.request import command
from burdockcart.request import retry_policy
from burdockcart.request import work_queue


class TransactionRunner:
    """Runs each transaction on one connection from its first statement on.

    Parameters
    ==========

    group_by_id : dict of GroupId to Group
        Owned by the application, which adds and removes groups.

    """

    def __init__(
        self,
        group_by_id: dict[ids.GroupId, groups.Group],
        shared: attempts.StatementSender,
    ):
        self._group_by_id = group_by_id
        self._attempts = shared

    async def run(
        self,
        session: attempts.Session,
        transaction: open_transaction.OpenTransaction,
        request: attempts.Request,
    ) -> attempts.Outcome:
        """Run a statement of a transaction, its COMMIT included.

        After a failure the transaction has no connection and is rolled back,
        unless the failure says that its outcome is unknown.
        """
        group = self._group_by_id.get(request.route.group)
        if group is None:
            return refusals.no_group(request.route)
        excluded: set[ids.MemberId] = set()
        attempt = 0
        first = transaction.phase is open_transaction.Phase.NEW
        while True:
            attempt += 1
            if transaction.phase is open_transaction.Phase.OVER or (
                transaction.connection is None and not first
            ):
                return result.Failure(
                    transaction.failure
                    or errors.Failure(
                        errors.ErrorKind.TRANSACTION_LOST,
                        "the transaction has ended",
                    )
                )
            if transaction.connection is None:
                begun = await self._begin(
                    group, session, transaction, request, excluded
                )
                if isinstance(begun, result.Failure):
                    return result.Failure(begun.failure())
            connection = transaction.connection
            if connection is None:
                continue
            if _commits(
                transaction, request
            ) and self._attempts.primary_stalled(group):
                self.abandon(group, transaction)
                return refusals.writes_stalled(group)
            if _commits(transaction, request) and group.commits.refuses():
                self.abandon(group, transaction)
                return refusals.commits_blocked(group)
            answer = await self._step(
                group, session, transaction, connection, request
            )
            if answer.fault is None:
                return result.Success(answer)
            step = retry_policy.next_step_in_transaction(
                answer.fault, attempt, first
            )
            self._attempts.attempt_failed(
                request, connection, answer, attempt, step
            )
            if (
                step is retry_policy.NextStep.GIVE_UP
                or self._attempts.deadline_passed(request)
            ):
                return self._fail(group, transaction, request, answer)
            if step is retry_policy.NextStep.OTHER_MEMBER:
                self.abandon(group, transaction)
                await self._attempts.before_retry(
                    group, connection, answer, excluded, attempt
                )
            else:
                await asyncio.sleep(refusals.queue_full_pause_s(attempt))

    def _fail(
        self,
        group: groups.Group,
        transaction: open_transaction.OpenTransaction,
        request: attempts.Request,
        answer: member_channel.Answer,
    ) -> attempts.Outcome:
        assert answer.fault is not None
        self.abandon(group, transaction)
        return result.Failure(
            retry_policy.failure_of(
                answer.fault, answer.text, _commits(transaction, request)
            )
        )

    async def _begin(
        self,
        group: groups.Group,
        session: attempts.Session,
        transaction: open_transaction.OpenTransaction,
        request: attempts.Request,
        excluded: set[ids.MemberId],
    ) -> result.Result[None, errors.Failure]:
        """Acquire a connection and begin the transaction on it."""
        primary_only = not transaction.read_only
        attempt = excused = 0
        while True:
            attempt += 1
            work = self._attempts.work(
                group, session, request, excluded, primary_only
            )
            acquired = await group.acquire(work)
            if isinstance(acquired, result.Failure):
                return result.Failure(
                    group.placement.explained(work, acquired.failure())
                )
            connection = acquired.unwrap()
            self._attempts.log_placement(
                group, request, connection, work, attempt
            )
            answer = None
            try:
                answer = await self._attempts.prepare(
                    session.value_by_name, request.shape, connection
                )
                if answer is None:
                    answer = await self._begin_on(group, connection, work)
            finally:
                if answer is None or answer.fault is not None:
                    group.release(connection)
            if answer.fault is None:
                self._own(group, transaction, connection, work)
                return result.Success(None)
            excused += group.placement.excuses(connection, answer)
            step = retry_policy.NextStep.GIVE_UP
            if attempt - excused < retry_policy.max_attempts(answer.fault):
                step = retry_policy.NextStep.OTHER_MEMBER
            self._attempts.attempt_failed(
                request, connection, answer, attempt, step
            )
            if (
                step is retry_policy.NextStep.GIVE_UP
                or self._attempts.deadline_passed(request)
            ):
                return result.Failure(
                    retry_policy.failure_of(answer.fault, answer.text, False)
                )
            primary_only |= refusals.primary_lacks_position(
                group, connection, answer
            )
            await self._attempts.before_retry(
                group, connection, answer, excluded, attempt
            )

    def _own(
        self,
        group: groups.Group,
        transaction: open_transaction.OpenTransaction,
        connection: pooled_connection.PooledConnection,
        work: work_queue.Work,
    ) -> None:
        """Give a connection to the transaction that has begun on it."""
        transaction.connection = connection
        transaction.needs_primary = work.primary_only
        if transaction.phase is open_transaction.Phase.OVER:
            # Its client has gone meanwhile.
            self.abandon(group, transaction)

    async def _begin_on(
        self,
        group: groups.Group,
        connection: pooled_connection.PooledConnection,
        work: work_queue.Work,
    ) -> member_channel.Answer:
        since: float | None = None
        if work.primary_only:
            # A transaction that may write requires the primary, so it also
            # serves reads that need the primary.
            since = await group.primary.confirm_term(connection.pool.entry.id)
            if since is None:
                return refusals.UNCONFIRMED
        sent_at = self._attempts.loop_clock.now()
        answer = await connection.channel.begin(
            not work.primary_only, attempts.PREPARE_TIMEOUT_S, work.position
        )
        if answer.fault in member_channel.NO_ANSWER:
            connection.pool.health.record_failure(
                self._attempts.loop_clock.now(), answer.fault, sent_at
            )
        self._attempts.learn(group, connection, work, answer, since)
        return answer

    async def _step(
        self,
        group: groups.Group,
        session: attempts.Session,
        transaction: open_transaction.OpenTransaction,
        connection: pooled_connection.PooledConnection,
        request: attempts.Request,
    ) -> member_channel.Answer:
        """Run one statement on the transaction's connection."""
        refused = await self._attempts.prepare(
            session.value_by_name, request.shape, connection
        )
        if refused is not None:
            return refused
        commits = request.statement.kind is command.CommandKind.COMMIT
        transaction.wrote |= request.writes
        sent_at = self._attempts.boot_clock.now()
        commits_writes = commits and transaction.wrote
        if commits_writes:
            group.commits.watch()
        answer = await self._attempts.send_in_transaction(
            request, connection, commits_writes
        )
        self._learn_in_transaction(
            group, transaction, connection, commits, answer, sent_at
        )
        if answer.fault is not None:
            return answer
        if transaction.phase is open_transaction.Phase.NEW:
            transaction.phase = open_transaction.Phase.STARTED
        if commits:
            transaction.phase = open_transaction.Phase.OVER
            if transaction.connection is connection:
                transaction.connection = None
                group.release(connection)
        if commits_writes:
            if not await group.commits.confirm(
                answer.position, request.deadline_at, request.arrived_at
            ):
                return refusals.UNCOVERED
            self._attempts.remember_commit(session, answer)
        return answer

    def _learn_in_transaction(
        self,
        group: groups.Group,
        transaction: open_transaction.OpenTransaction,
        connection: pooled_connection.PooledConnection,
        commits: bool,
        answer: member_channel.Answer,
        sent_at: float,
    ) -> None:
        member = connection.pool.entry.id
        if answer.fault is member_channel.MemberFault.NOT_PRIMARY:
            group.primary.reject(member)
        # The commit of a transaction without writes succeeds even on a former
        # primary.
        proves = transaction.needs_primary and (
            transaction.wrote or not commits
        )
        if answer.fault is not None or not proves or answer.position is None:
            return
        # Without fencing only the commit of a synchronous write is evidence
        # that no later term has begun.
        covered = group.promotions_fenced or (commits and transaction.wrote)
        group.primary.confirm(
            member,
            answer.position.term,
            answer.position,
            sent_at if covered else None,
        )

    def abandon(
        self,
        group: groups.Group,
        transaction: open_transaction.OpenTransaction,
    ) -> None:
        """Roll back in the background and release the connection."""
        connection = transaction.connection
        transaction.connection = None
        if connection is None:
            return
        if not connection.channel.in_transaction:
            group.release(connection)
            return
        self._attempts.spawn(self._roll_back(group, connection))

    async def _roll_back(
        self,
        group: groups.Group,
        connection: pooled_connection.PooledConnection,
    ) -> None:
        try:
            await connection.channel.roll_back(attempts.PREPARE_TIMEOUT_S)
        finally:
            # Closes it unless the transaction has ended.
            group.release(connection)

    def abandon_transaction(
        self, transaction: open_transaction.OpenTransaction
    ) -> None:
        """Abandon the transaction of a session, also if its group is gone."""
        transaction.phase = open_transaction.Phase.OVER
        connection = transaction.connection
        if connection is None:
            return
        group = self._group_by_id.get(connection.pool.entry.group)
        if group is None:
            connection.channel.close()
            connection.pool.give_back(connection)
            transaction.connection = None
            return
        self.abandon(group, transaction)


def _commits(
    transaction: open_transaction.OpenTransaction, request: attempts.Request
) -> bool:
    """Return whether a statement commits a transaction with writes."""
    commits = request.statement.kind is command.CommandKind.COMMIT
    return commits and transaction.wrote
