"""Runs statements outside of transactions, with retries and hedging."""

import asyncio

import loguru
import msgspec
from returns import result

from burdockcart.connection import channel_state
from burdockcart.connection import member_channel
from burdockcart import errors
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import pooled_connection
from burdockcart.process.gateway.sessions import attempts
from burdockcart.process.gateway.sessions import refusals
from burdockcart.request import retry
from burdockcart.request import retry_policy
from burdockcart.request import work_queue
from burdockcart.version import manifest

#: Share of a route's latency goal after which a read is also sent to a second
#: member; five to eight times the mean running time, so that only a few per
#: cent of the reads are hedged.
HEDGE_DELAY_SHARE = 0.3


class AttemptSeries(msgspec.Struct, eq=False):
    """Consecutive attempts of one statement; a hedged read has two series.

    ``cancelled`` is set when the other series has succeeded.
    ``needs_primary`` is set when the primary itself lacks the required
    position: a promotion has discarded it, and the primary's log holds every
    acknowledged commit.
    """

    excluded: set[ids.MemberId] = msgspec.field(default_factory=set)
    needs_primary: bool = False
    member: ids.MemberId | None = None
    work: work_queue.Work | None = None
    cancelled: bool = False

    def cancel(self) -> None:
        """Leave the queue; a statement that was sent is not interrupted."""
        self.cancelled = True
        work = self.work
        if work is not None and not work.connection.done():
            failure = errors.Failure(
                errors.ErrorKind.OVERLOADED, "answered by another member"
            )
            work.connection.set_result(result.Failure(failure))


async def _first_success(
    series_by_task: dict[asyncio.Task[attempts.Outcome], AttemptSeries],
) -> attempts.Outcome:
    """Return the first success, or the last failure; cancel the rest."""
    pending = set(series_by_task)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        outcomes = [task.result() for task in done]
        successes = [
            each for each in outcomes if isinstance(each, result.Success)
        ]
        if successes or not pending:
            for task in pending:
                series_by_task[task].cancel()
            return (successes or outcomes)[0]


class StatementRunner:
    """Sends statements to members and retries them where that is safe.

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
        self._hedges = retry.RetryBudget()

    async def run(
        self, session: attempts.Session, request: attempts.Request
    ) -> attempts.Outcome:
        """Run a statement outside of a transaction."""
        group = self._group_by_id.get(request.route.group)
        if group is None:
            return refusals.no_group(request.route)
        first = AttemptSeries()
        if (
            request.writes
            or request.route.consistency is manifest.Consistency.PRIMARY
        ):
            return await self._run_series(group, session, request, first)
        self._hedges.earn()
        running = self._attempts.spawn(
            self._run_series(group, session, request, first)
        )
        done, _ = await asyncio.wait(
            {running}, timeout=HEDGE_DELAY_SHARE * request.route.latency_goal_s
        )
        if done or first.member is None or not self._hedges.spend():
            return await running
        second = AttemptSeries(excluded={first.member})
        _log_hedge(request, first.member)
        self._attempts.metrics.read_hedged()
        hedge = self._attempts.spawn(
            self._run_series(group, session, request, second)
        )
        return await _first_success({running: first, hedge: second})

    async def _run_series(
        self,
        group: groups.Group,
        session: attempts.Session,
        request: attempts.Request,
        series: AttemptSeries,
    ) -> attempts.Outcome:
        """Try members one after the other until an attempt succeeds."""
        excluded = series.excluded
        attempt = excused = 0
        refusal: errors.Failure | None = None
        while True:
            attempt += 1
            work = self._attempts.work(
                group, session, request, excluded, series.needs_primary
            )
            series.work = work
            if request.writes and self._attempts.primary_stalled(group):
                return refusals.writes_stalled(group)
            if request.writes and group.commits.refuses():
                return refusals.commits_blocked(group)
            acquired = await group.acquire(work)
            if isinstance(acquired, result.Failure):
                failure = refusal or acquired.failure()
                return result.Failure(group.placement.explained(work, failure))
            connection = acquired.unwrap()
            if request.writes and group.commits.refuses():
                group.release(connection)
                return refusals.commits_blocked(group)
            series.member = connection.pool.entry.id
            self._attempts.log_placement(
                group, request, connection, work, attempt
            )
            try:
                answer = await self._attempt(
                    group,
                    session,
                    request,
                    connection,
                    work,
                    series,
                    2 ** (attempt - 1),
                )
            finally:
                group.release(connection)
            if answer.fault is None and request.writes:
                answer = await self._confirmed(group, session, request, answer)
            if answer.fault is None:
                return result.Success(answer)
            excused += group.placement.excuses(connection, answer)
            step = retry_policy.next_step_single(
                answer.fault, request.writes, attempt - excused
            )
            self._attempts.attempt_failed(
                request, connection, answer, attempt, step
            )
            failure = retry_policy.failure_of(
                answer.fault, answer.text, request.writes
            )
            if (
                step is retry_policy.NextStep.GIVE_UP
                or self._attempts.deadline_passed(request)
            ):
                return result.Failure(failure)
            if answer.fault in member_channel.NOT_RUN:
                refusal = failure
            series.needs_primary |= refusals.primary_lacks_position(
                group, connection, answer
            )
            if not series.cancelled:
                await self._attempts.before_retry(
                    group, connection, answer, excluded, attempt
                )
            # After the answer, the client may have changed its session.
            if series.cancelled:
                return result.Failure(failure)

    async def _confirmed(
        self,
        group: groups.Group,
        session: attempts.Session,
        request: attempts.Request,
        answer: member_channel.Answer,
    ) -> member_channel.Answer:
        """Return the answer to a write unless a promotion may discard it."""
        if not await group.commits.confirm(
            answer.position, request.deadline_at, request.arrived_at
        ):
            return refusals.UNCOVERED
        self._attempts.remember_commit(session, answer)
        return answer

    async def _attempt(
        self,
        group: groups.Group,
        session: attempts.Session,
        request: attempts.Request,
        connection: pooled_connection.PooledConnection,
        work: work_queue.Work,
        series: AttemptSeries,
        timeout_factor: float,
    ) -> member_channel.Answer:
        """Run a statement on one member.

        A read that was given up at one member may simply be long, so the
        next member gets twice the time for it (``timeout_factor``).
        """
        refused = await self._attempts.prepare(
            session.value_by_name, request.shape, connection
        )
        if refused is not None:
            return refused
        prove = work.primary_only and not request.writes
        # The commit of a synchronous write is evidence of the term itself:
        # no replica acknowledges it to the primary of an earlier term.
        since: float | None = self._attempts.boot_clock.now()
        if prove or (request.writes and not group.limits.synchronous):
            since = await group.primary.confirm_term(connection.pool.entry.id)
            if since is None:
                return refusals.UNCONFIRMED
        if series.cancelled:
            return channel_state.not_sent("answered by another member")
        if request.writes:
            group.commits.watch()
        answer = await self._attempts.send(
            request, connection, work, request.writes, prove, timeout_factor
        )
        self._attempts.learn(group, connection, work, answer, since)
        return answer


def _log_hedge(request: attempts.Request, member: ids.MemberId) -> None:
    loguru.logger.info(
        "event=read_hedged id={} member={}", request.statement.id, member
    )
