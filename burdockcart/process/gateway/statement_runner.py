"""Runs the statements of client sessions on members."""

import asyncio
from typing import Any
from typing import Coroutine
from typing import TypeVar

import loguru
import msgspec
from returns import result

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart.connection import open_transaction
from burdockcart import errors
from burdockcart import ids
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway import group as groups
from burdockcart.process.gateway import member_pool
from burdockcart.request import attempt_rule
from burdockcart.request import command
from burdockcart.request import retry
from burdockcart.request import sample_window
from burdockcart.request import work_queue
from burdockcart.version import manifest

#: Share of a statement's timeout that it may wait for a connection; the rest
#: is left for running it.
WAIT_SHARE = 0.6
#: Share of a route's latency goal after which a read is sent to a second
#: member as well; on the users' sheets five to eight times the mean work, so
#: that a few in a hundred reads are.
HEDGE_AT_GOAL = 0.3
#: Pause before a member with a full queue is asked again, in seconds; about
#: one statement's work.
QUEUE_FULL_PAUSE_S = 0.008
#: Pause before all members are asked again when none could run a read, in
#: seconds; a third of a replica's usual lag.
ALL_REFUSED_PAUSE_S = 0.02
#: When a client may come back to a primary that finishes no writes, in
#: milliseconds; about the time until the next write is let through.
STALLED_RETRY_MS = 400
#: Limit for the statements that bring a connection to a session's state, and
#: for ending a transaction, in seconds; none of them takes a slot.
PREPARE_TIMEOUT_S = 0.4

T = TypeVar("T")

Outcome = result.Result[member_channel.Answer, errors.Failure]


class Session(msgspec.Struct, eq=False):
    """What a client session keeps between statements."""

    value_by_name: dict[str, str] = msgspec.field(default_factory=dict)
    #: Last commit and the time (boot clock) of its acknowledgement.
    own_commit: sample_window.Sample | None = None


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A statement to run.

    ``arrived_at`` is time of the event loop, ``read_at`` the same moment on
    the boot clock.
    """

    statement: command.Command
    shape: command.Shape | None
    writes: bool
    route: manifest.DatabaseRoute
    arrived_at: float
    read_at: float

    @property
    def ends_at(self) -> float:
        """Time at which the statement's limit is reached."""
        return self.arrived_at + self.route.timeout_s


class Course(msgspec.Struct, eq=False):
    """The attempts of a read, which may race with a second course.

    ``ended`` tells that the other course has won.  ``needs_leader`` is set
    once the primary itself lacked the position that was asked for: a
    promotion has discarded it, and the primary's log holds all that counts.
    """

    excluded: set[ids.MemberId] = msgspec.field(default_factory=set)
    needs_leader: bool = False
    member: ids.MemberId | None = None
    work: work_queue.Work | None = None
    ended: bool = False

    def end(self) -> None:
        """Leave the queue; a statement at a member runs to its end."""
        self.ended = True
        work = self.work
        if work is not None and not work.connection.done():
            failure = errors.Failure(
                errors.ErrorKind.OVERLOADED, "answered by another member"
            )
            work.connection.set_result(result.Failure(failure))


async def _first_success(
    course_by_task: dict[asyncio.Task[Outcome], Course],
) -> Outcome:
    """Return the first success, or the last failure."""
    pending = set(course_by_task)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        outcomes = [task.result() for task in done]
        won = [each for each in outcomes if isinstance(each, result.Success)]
        if won or not pending:
            for task in pending:
                course_by_task[task].end()
            return (won or outcomes)[0]


class StatementRunner:
    """Places statements on members and repeats what may be repeated.

    Parameters
    ==========

    group_by_id : dict of GroupId to Group
        Owned by the application, which adds and removes groups.

    """

    def __init__(
        self,
        group_by_id: dict[ids.GroupId, groups.Group],
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        metrics: gateway_metrics.GatewayMetrics,
    ):
        self._group_by_id = group_by_id
        self._metrics = metrics
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._background: set[asyncio.Task[Any]] = set()
        self._hedges = retry.RetryBudget()

    async def run_single(self, session: Session, request: Request) -> Outcome:
        """Run a statement outside of a transaction."""
        group = self._group_by_id.get(request.route.group)
        if group is None:
            return _no_group(request.route)
        first = Course()
        if (
            request.writes
            or request.route.consistency is manifest.Consistency.PRIMARY
        ):
            return await self._run_course(group, session, request, first)
        self._hedges.earn()
        running = self._spawn(self._run_course(group, session, request, first))
        done, _ = await asyncio.wait(
            {running}, timeout=HEDGE_AT_GOAL * request.route.goal_s
        )
        if done or first.member is None or not self._hedges.spend():
            return await running
        second = Course(excluded={first.member})
        _log_hedge(request, first.member)
        self._metrics.read_hedged()
        hedge = self._spawn(self._run_course(group, session, request, second))
        return await _first_success({running: first, hedge: second})

    def _spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run work that may outlive the statement it belongs to."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    async def _run_course(
        self,
        group: groups.Group,
        session: Session,
        request: Request,
        course: Course,
    ) -> Outcome:
        """Try members one after the other."""
        excluded = course.excluded
        attempt = 0
        while True:
            attempt += 1
            work = self._work(
                group, session, request, excluded, course.needs_leader
            )
            course.work = work
            if request.writes and self._stalled(group):
                return _writes_stalled(group)
            acquired = await group.acquire(work)
            if isinstance(acquired, result.Failure):
                return result.Failure(acquired.failure())
            connection = acquired.unwrap()
            course.member = connection.pool.entry.id
            self._placed(group, request, connection, work, attempt)
            answer = await self._attempt(
                group, session, request, connection, work
            )
            self._release_idle(group, connection, answer)
            if answer.fault is None:
                return result.Success(answer)
            step = attempt_rule.after_single(
                answer.fault, request.writes, attempt
            )
            self._attempt_failed(request, connection, answer, attempt, step)
            if (
                step is attempt_rule.NextStep.GIVE_UP
                or course.ended
                or self._late(request)
            ):
                return result.Failure(
                    attempt_rule.failure_of(
                        answer.fault, answer.text, request.writes
                    )
                )
            course.needs_leader |= _discarded(group, connection, answer)
            await self._before_retry(group, connection, answer, excluded)

    def _attempt_failed(
        self,
        request: Request,
        connection: member_pool.PooledConnection,
        answer: member_channel.Answer,
        attempt: int,
        step: attempt_rule.NextStep,
    ) -> None:
        """Log and count an attempt that failed."""
        assert answer.fault is not None
        self._metrics.attempt_failed(answer.fault.value)
        loguru.logger.info(
            "event=attempt_failed id={} kind={!r} member={} fault={!r} "
            "attempt={} next={!r}",
            request.statement.id,
            request.statement.kind.value,
            connection.pool.entry.id,
            answer.fault.value,
            attempt,
            step.value,
        )

    def _placed(
        self,
        group: groups.Group,
        request: Request,
        connection: member_pool.PooledConnection,
        work: work_queue.Work,
        attempt: int,
    ) -> None:
        """Log where a statement goes and what decided it."""
        now = self._clock.now()
        loguru.logger.info(
            "event=placed id={} kind={!r} route={} group={} member={} "
            "primary={} term={} position={} position_age_ms={} waited_ms={} "
            "attempt={}",
            request.statement.id,
            request.statement.kind.value,
            request.route.name,
            group.id,
            connection.pool.entry.id,
            group.leadership.member,
            group.leadership.term,
            work.position and f"{work.position.term}.{work.position.number}",
            int(work.position_age_s * 1000),
            int((now - request.arrived_at) * 1000),
            attempt,
        )

    def _late(self, request: Request) -> bool:
        return self._clock.now() >= request.ends_at

    async def _before_retry(
        self,
        group: groups.Group,
        connection: member_pool.PooledConnection,
        answer: member_channel.Answer,
        excluded: set[ids.MemberId],
    ) -> None:
        """Exclude the member, or pause where there is no other."""
        member = connection.pool.entry.id
        excluded.add(member)
        if excluded >= group.pool_by_member.keys():
            excluded.clear()
            await asyncio.sleep(ALL_REFUSED_PAUSE_S)
        elif (
            answer.fault is member_channel.MemberFault.QUEUE_FULL
            and member == group.leadership.member
        ):
            await asyncio.sleep(QUEUE_FULL_PAUSE_S)

    def _work(
        self,
        group: groups.Group,
        session: Session,
        request: Request,
        excluded: set[ids.MemberId],
        primary_only: bool = False,
    ) -> work_queue.Work:
        """Return the claim on a connection."""
        route = request.route
        needed = None
        if (
            not primary_only
            and not request.writes
            and route.consistency is not manifest.Consistency.PRIMARY
        ):
            own = None
            if route.consistency is manifest.Consistency.OWN_WRITES:
                own = session.own_commit
            needed = sample_window.required_sample(
                group.samples, request.read_at, route.max_age_s, own
            )
        return work_queue.Work(
            priority=route.priority,
            goal_at=request.arrived_at + route.goal_s,
            give_up_at=request.arrived_at + WAIT_SHARE * route.timeout_s,
            connection=asyncio.get_running_loop().create_future(),
            position=None if needed is None else needed.position,
            position_age_s=(
                0.0
                if needed is None
                else self._boot_clock.now() - needed.sent_at
            ),
            excluded=excluded,
            value_by_name=session.value_by_name,
            shape=request.shape,
        )

    async def _attempt(
        self,
        group: groups.Group,
        session: Session,
        request: Request,
        connection: member_pool.PooledConnection,
        work: work_queue.Work,
    ) -> member_channel.Answer:
        """Run a single statement once."""
        refused = await self._prepare(session, request, connection)
        if refused is not None:
            return refused
        prove = work.primary_only and not request.writes
        sent_at = self._boot_clock.now()
        answer = await self._send(
            request, connection, work, request.writes, prove
        )
        self._learn(group, connection, work, answer, sent_at)
        if answer.fault is None and request.writes:
            self._remember_commit(session, answer)
        return answer

    async def _send(
        self,
        request: Request,
        connection: member_pool.PooledConnection,
        work: work_queue.Work | None,
        waits_for_replica: bool,
        prove: bool = False,
    ) -> member_channel.Answer:
        health = connection.pool.health
        now = self._clock.now()
        ticket = health.sent(now, waits_for_replica)
        limit_s = max(request.ends_at - now, 0.0)
        if not waits_for_replica:
            # The answer to a write waits for a replica, and giving it up
            # would leave the outcome unknown; the others can be repeated.
            limit_s = min(limit_s, health.overdue_s(now))
        answer = await connection.channel.run(
            request.statement,
            request.shape,
            limit_s,
            after=None if work is None else work.position,
            prove=prove,
        )
        health.ended(ticket, self._clock.now(), answer.fault)
        if answer.fault is member_channel.MemberFault.UNKNOWN_NAME:
            connection.channel.close()
        return answer

    def _release_idle(
        self,
        group: groups.Group,
        connection: member_pool.PooledConnection,
        answer: member_channel.Answer,
    ) -> None:
        """Return a connection that must have no transaction open."""
        if answer.state is not member_channel.TransactionState.IDLE:
            connection.channel.close()
        group.release(connection)

    async def _prepare(
        self,
        session: Session,
        request: Request,
        connection: member_pool.PooledConnection,
    ) -> member_channel.Answer | None:
        """Bring a connection to the session's state; the fault if any."""
        steps = connection.held.steps(session.value_by_name, request.shape)
        if not steps:
            return None
        answers = await connection.channel.prepare(steps, PREPARE_TIMEOUT_S)
        for step, answer in zip(steps, answers, strict=False):
            if answer.fault is None:
                connection.held.done(step)
        last = answers[-1]
        if last.fault is None:
            return None
        # What the connection holds is unknown; nothing of the statement was
        # sent, so it may be tried elsewhere.
        connection.channel.close()
        if last.fault in member_channel.NO_ANSWER:
            connection.pool.health.failed(self._clock.now(), last.fault)
        return member_channel.Answer(
            fault=member_channel.MemberFault.REFUSED,
            text=f"preparing failed: {last.text}",
        )

    def _learn(
        self,
        group: groups.Group,
        connection: member_pool.PooledConnection,
        work: work_queue.Work,
        answer: member_channel.Answer,
        sent_at: float,
    ) -> None:
        """Take over what an answer tells of its member."""
        pool = connection.pool
        member = pool.entry.id
        if work.primary_only:
            if answer.fault is None:
                group.proven(member, sent_at, answer.position)
            elif answer.fault is member_channel.MemberFault.NOT_PRIMARY:
                group.denied(member)
            return
        if answer.position is not None:
            pool.lag.seen_at(answer.position)
        assert work.position is not None
        if answer.fault is None:
            pool.lag.served(work.position_age_s)
        elif answer.fault is member_channel.MemberFault.BEHIND:
            pool.lag.refused(
                work.position, work.position_age_s, self._clock.now()
            )

    def _remember_commit(
        self, session: Session, answer: member_channel.Answer
    ) -> None:
        if answer.position is not None:
            session.own_commit = sample_window.Sample(
                self._boot_clock.now(), answer.position
            )

    async def run_in_transaction(
        self,
        session: Session,
        transaction: open_transaction.OpenTransaction,
        request: Request,
    ) -> Outcome:
        """Run a statement of a transaction, its COMMIT included.

        After a failure the transaction has no connection and nothing of it
        is kept, unless the failure says that the outcome is unknown.
        """
        group = self._group_by_id.get(request.route.group)
        if group is None:
            return _no_group(request.route)
        excluded: set[ids.MemberId] = set()
        attempt = 0
        first = transaction.connection is None
        while True:
            attempt += 1
            if transaction.connection is None:
                begun = await self._begin(
                    group, session, transaction, request, excluded
                )
                if isinstance(begun, result.Failure):
                    return result.Failure(begun.failure())
            connection = transaction.connection
            assert connection is not None
            if _commits(transaction, request) and self._stalled(group):
                self.abandon(group, transaction)
                return _writes_stalled(group)
            answer = await self._step(group, session, transaction, request)
            if answer.fault is None:
                return result.Success(answer)
            step = attempt_rule.in_transaction(answer.fault, attempt, first)
            self._attempt_failed(request, connection, answer, attempt, step)
            if step is attempt_rule.NextStep.GIVE_UP or self._late(request):
                return self._fail(group, transaction, request, answer)
            if step is attempt_rule.NextStep.ELSEWHERE:
                self.abandon(group, transaction)
                await self._before_retry(group, connection, answer, excluded)
            else:
                await asyncio.sleep(QUEUE_FULL_PAUSE_S)

    def _fail(
        self,
        group: groups.Group,
        transaction: open_transaction.OpenTransaction,
        request: Request,
        answer: member_channel.Answer,
    ) -> Outcome:
        assert answer.fault is not None
        self.abandon(group, transaction)
        return result.Failure(
            attempt_rule.failure_of(
                answer.fault, answer.text, _commits(transaction, request)
            )
        )

    def _stalled(self, group: groups.Group) -> bool:
        """Return whether the primary finishes no writes at present."""
        pool = group.primary_pool()
        return pool is not None and pool.health.writes_stalled(
            self._clock.now()
        )

    async def _begin(
        self,
        group: groups.Group,
        session: Session,
        transaction: open_transaction.OpenTransaction,
        request: Request,
        excluded: set[ids.MemberId],
    ) -> result.Result[None, errors.Failure]:
        """Get a connection on which the transaction has begun."""
        primary_only = not transaction.read_only
        attempt = 0
        while True:
            attempt += 1
            work = self._work(group, session, request, excluded, primary_only)
            acquired = await group.acquire(work)
            if isinstance(acquired, result.Failure):
                return result.Failure(acquired.failure())
            connection = acquired.unwrap()
            self._placed(group, request, connection, work, attempt)
            answer = await self._prepare(session, request, connection)
            if answer is None:
                answer = await self._begin_on(group, connection, work)
            if answer.fault is None:
                transaction.connection = connection
                transaction.needs_leader = work.primary_only
                return result.Success(None)
            group.release(connection)
            step = attempt_rule.NextStep.GIVE_UP
            if attempt < attempt_rule.MAX_ATTEMPTS:
                step = attempt_rule.NextStep.ELSEWHERE
            self._attempt_failed(request, connection, answer, attempt, step)
            if step is attempt_rule.NextStep.GIVE_UP or self._late(request):
                return result.Failure(
                    attempt_rule.failure_of(answer.fault, answer.text, False)
                )
            primary_only |= _discarded(group, connection, answer)
            await self._before_retry(group, connection, answer, excluded)

    async def _begin_on(
        self,
        group: groups.Group,
        connection: member_pool.PooledConnection,
        work: work_queue.Work,
    ) -> member_channel.Answer:
        sent_at = self._boot_clock.now()
        # A transaction that may write runs only while its member leads, so
        # it also serves reads that need the primary.
        answer = await connection.channel.begin(
            not work.primary_only, PREPARE_TIMEOUT_S, work.position
        )
        if answer.fault in member_channel.NO_ANSWER:
            connection.pool.health.failed(self._clock.now(), answer.fault)
        self._learn(group, connection, work, answer, sent_at)
        if (
            answer.fault is None
            and answer.state is not member_channel.TransactionState.OPEN
        ):
            connection.channel.close()
            return member_channel.Answer(
                fault=member_channel.MemberFault.BROKEN, text="no transaction"
            )
        return answer

    async def _step(
        self,
        group: groups.Group,
        session: Session,
        transaction: open_transaction.OpenTransaction,
        request: Request,
    ) -> member_channel.Answer:
        """Run one statement on the transaction's connection."""
        connection = transaction.connection
        assert connection is not None
        refused = await self._prepare(session, request, connection)
        if refused is not None:
            return refused
        commits = request.statement.kind is command.CommandKind.COMMIT
        transaction.wrote |= request.writes
        sent_at = self._boot_clock.now()
        answer = await self._send(
            request, connection, None, commits and transaction.wrote
        )
        self._learn_in_transaction(
            group, transaction, commits, answer, sent_at
        )
        if answer.fault is None and commits:
            if transaction.wrote:
                self._remember_commit(session, answer)
            transaction.connection = None
            self._release_idle(group, connection, answer)
        return answer

    def _learn_in_transaction(
        self,
        group: groups.Group,
        transaction: open_transaction.OpenTransaction,
        commits: bool,
        answer: member_channel.Answer,
        sent_at: float,
    ) -> None:
        connection = transaction.connection
        assert connection is not None
        member = connection.pool.entry.id
        if answer.fault is member_channel.MemberFault.NOT_PRIMARY:
            group.denied(member)
        # A commit of a transaction that wrote nothing succeeds on a member
        # that has lost the lead.
        proves = transaction.needs_leader and (
            transaction.wrote or not commits
        )
        if answer.fault is None and proves:
            group.proven(member, sent_at, answer.position)

    def abandon(
        self,
        group: groups.Group,
        transaction: open_transaction.OpenTransaction,
    ) -> None:
        """Roll back and return the connection, without waiting for it."""
        connection = transaction.connection
        transaction.connection = None
        if connection is None:
            return
        if connection.channel.closed:
            group.release(connection)
            return
        self._spawn(self._roll_back(group, connection))

    async def _roll_back(
        self, group: groups.Group, connection: member_pool.PooledConnection
    ) -> None:
        answer = await connection.channel.roll_back(PREPARE_TIMEOUT_S)
        if (
            answer.fault is not None
            or answer.state is not member_channel.TransactionState.IDLE
        ):
            connection.channel.close()
        group.release(connection)

    def abandon_for(
        self, transaction: open_transaction.OpenTransaction
    ) -> None:
        """Abandon the transaction of a session that ends or idles."""
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
    transaction: open_transaction.OpenTransaction, request: Request
) -> bool:
    """Return whether a statement commits writes of a transaction."""
    commits = request.statement.kind is command.CommandKind.COMMIT
    return commits and transaction.wrote


def _writes_stalled(group: groups.Group) -> Outcome:
    """Refuse a write at once that would stay in doubt."""
    return result.Failure(
        errors.Failure(
            errors.ErrorKind.NO_PRIMARY,
            f"the primary of group {group.id} finishes no writes",
            retry_after_ms=STALLED_RETRY_MS,
        )
    )


def _discarded(
    group: groups.Group,
    connection: member_pool.PooledConnection,
    answer: member_channel.Answer,
) -> bool:
    """Return whether the primary lacks a position."""
    return (
        answer.fault is member_channel.MemberFault.BEHIND
        and connection.pool.entry.id == group.leadership.member
    )


def _no_group(route: manifest.DatabaseRoute) -> Outcome:
    return result.Failure(
        errors.Failure(
            errors.ErrorKind.NO_ROUTE,
            f"route {route.name} names no known group",
        )
    )


def _log_hedge(request: Request, member: ids.MemberId) -> None:
    loguru.logger.info(
        "event=read_hedged id={} member={}", request.statement.id, member
    )
