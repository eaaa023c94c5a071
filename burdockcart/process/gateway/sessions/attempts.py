"""Sends statements to members, for single statements and transactions."""

import asyncio
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Coroutine
from typing import TypeVar

import loguru
import msgspec

from burdockcart import clock
from burdockcart.connection import answer_timeout
from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import pooled_connection
from burdockcart.process.gateway.sessions import refusals
from burdockcart.request import command
from burdockcart.request import retry_policy
from burdockcart.request import sample_window
from burdockcart.request import work_queue
from burdockcart.version import manifest

#: Share of a statement's timeout that it may wait for a connection; the rest
#: is for running it.
WAIT_SHARE = 0.6
#: Pause before retrying all members when none could run a read, in seconds; a
#: third of a replica's usual lag.
ALL_REFUSED_PAUSE_S = 0.02
#: Factor on the timeout of an answer inside a transaction: giving up one
#: statement loses the whole transaction.
TRANSACTION_TIMEOUT_FACTOR = 2.0
#: Timeout for preparing a connection, for BEGIN and for ROLLBACK, in seconds;
#: none of them needs one of the member's slots.
PREPARE_TIMEOUT_S = 0.4
#: Longest text of a member in the log, in characters.
LOGGED_TEXT = 80
#: Most setup statements in one line of the log.
LOGGED_STEPS = 10

T = TypeVar("T")

Outcome = refusals.Outcome


class Session(msgspec.Struct, eq=False):
    """State of a client session between statements."""

    value_by_name: dict[str, str] = msgspec.field(default_factory=dict)
    #: Position of the last commit and the boot-clock time of its
    #: acknowledgement.
    own_commit: sample_window.Sample | None = None
    #: Client account that the session belongs to.
    account: ids.AccountName | None = None


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A statement to run.

    ``arrived_at`` is the time of arrival on the event loop's clock,
    ``read_at`` the same moment on the boot clock.
    """

    statement: command.Command
    shape: command.Shape | None
    writes: bool
    route: manifest.DatabaseRoute
    arrived_at: float
    read_at: float

    @property
    def deadline_at(self) -> float:
        """Deadline of the statement."""
        return self.arrived_at + self.route.timeout_s


class StatementSender:
    """Sends statements to members and records what their answers show."""

    def __init__(
        self,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        metrics: gateway_metrics.GatewayMetrics,
    ):
        self.loop_clock = loop_clock
        self.boot_clock = boot_clock
        self.metrics = metrics
        self._background: set[asyncio.Task[Any]] = set()

    def spawn(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine that may outlive its statement."""
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task

    def attempt_failed(
        self,
        request: Request,
        connection: pooled_connection.PooledConnection,
        answer: member_channel.Answer,
        attempt: int,
        step: retry_policy.NextStep,
    ) -> None:
        """Log and count a failed attempt."""
        assert answer.fault is not None
        self.metrics.attempt_failed(answer.fault.value)
        loguru.logger.info(
            "event=attempt_failed id={} kind={!r} member={} connection={} "
            "fault={!r} text={!r} attempt={} next={!r}",
            request.statement.id,
            request.statement.kind.value,
            connection.pool.entry.id,
            connection.number,
            answer.fault.value,
            answer.text[:LOGGED_TEXT],
            attempt,
            step.value,
        )

    def log_placement(
        self,
        group: groups.Group,
        request: Request,
        connection: pooled_connection.PooledConnection,
        work: work_queue.Work,
        attempt: int,
    ) -> None:
        """Log where a statement is sent, and the reasons."""
        now = self.loop_clock.now()
        loguru.logger.info(
            "event=placed id={} kind={!r} route={} group={} member={} "
            "connection={} primary={} term={} position={} position_age_ms={} "
            "waited_ms={} attempt={}",
            request.statement.id,
            request.statement.kind.value,
            request.route.name,
            group.id,
            connection.pool.entry.id,
            connection.number,
            group.primary.leadership.member,
            group.primary.leadership.term,
            work.position,
            int(work.position_age_s * 1000),
            int((now - request.arrived_at) * 1000),
            attempt,
        )

    def deadline_passed(self, request: Request) -> bool:
        """Return whether the statement's deadline has passed."""
        return self.loop_clock.now() >= request.deadline_at

    async def before_retry(
        self,
        group: groups.Group,
        connection: pooled_connection.PooledConnection,
        answer: member_channel.Answer,
        excluded: set[ids.MemberId],
        attempt: int,
    ) -> None:
        """Exclude the member; pause if none is left or its queue is full."""
        member = connection.pool.entry.id
        if (
            answer.fault is member_channel.MemberFault.BEHIND
            and member != group.primary.leadership.member
            and group.placement.knows_position(connection.pool)
        ):
            # It is used again when it is expected to hold the position.
            return
        excluded.add(member)
        if excluded >= group.pool_by_member.keys():
            excluded.clear()
            await asyncio.sleep(ALL_REFUSED_PAUSE_S)
        elif answer.fault is member_channel.MemberFault.UNCONFIRMED or (
            answer.fault is member_channel.MemberFault.QUEUE_FULL
            and member == group.primary.leadership.member
        ):
            await asyncio.sleep(refusals.queue_full_pause_s(attempt))

    def work(
        self,
        group: groups.Group,
        session: Session,
        request: Request,
        excluded: set[ids.MemberId],
        primary_only: bool = False,
    ) -> work_queue.Work:
        """Return the work to queue for a connection."""
        route = request.route
        needed = None
        if (
            not primary_only
            and not request.writes
            and route.consistency is not manifest.Consistency.PRIMARY
        ):
            own = None
            if route.consistency is manifest.Consistency.READ_YOUR_WRITES:
                own = session.own_commit
            needed = sample_window.required_sample(
                group.primary.samples, request.read_at, route.max_age_s, own
            )
        return work_queue.Work(
            priority=route.priority,
            goal_at=request.arrived_at + route.latency_goal_s,
            give_up_at=request.arrived_at + WAIT_SHARE * route.timeout_s,
            connection=asyncio.get_running_loop().create_future(),
            position=None if needed is None else needed.position,
            position_age_s=(
                0.0
                if needed is None
                else self.boot_clock.now() - needed.sent_at
            ),
            excluded=excluded,
            value_by_name=session.value_by_name,
            shape=request.shape,
            account=session.account,
        )

    async def send(
        self,
        request: Request,
        connection: pooled_connection.PooledConnection,
        work: work_queue.Work,
        waits_for_replica: bool,
        prove: bool = False,
        timeout_factor: float = 1.0,
    ) -> member_channel.Answer:
        """Send a statement outside of a transaction; record its outcome.

        Parameters
        ==========

        timeout_factor : float
            Factor on the time after which a read is given up.

        """
        health = connection.pool.health
        channel = connection.channel
        now = self.loop_clock.now()
        left_s = max(request.deadline_at - now, 0.0)
        limit_s = self._limit_s(
            request, connection, waits_for_replica, timeout_factor
        )

        async def run() -> member_channel.Answer:
            # A holder is told how long the member has for its answer.
            timeout_s = left_s if channel.direct else limit_s
            return await channel.run(
                request.statement,
                request.shape,
                timeout_s,
                after=work.position,
                prove=prove,
            )

        async def run_until_overdue() -> member_channel.Answer:
            try:
                async with answer_timeout.AnswerTimeout(
                    limit_s,
                    lambda: not health.source.link.answered(now),
                    left_s,
                ):
                    return await run()
            except TimeoutError:
                channel.close()
                return member_channel.Answer(
                    fault=member_channel.MemberFault.SILENT, text="no answer"
                )

        return await self.exchange(
            connection,
            request.statement.id,
            run_until_overdue if channel.direct and limit_s < left_s else run,
            waits_for_replica,
        )

    async def send_in_transaction(
        self,
        request: Request,
        connection: pooled_connection.PooledConnection,
        waits_for_replica: bool,
    ) -> member_channel.Answer:
        """Send a statement of a transaction and record its outcome."""
        limit_s = self._limit_s(
            request, connection, waits_for_replica, TRANSACTION_TIMEOUT_FACTOR
        )
        return await self.exchange(
            connection,
            request.statement.id,
            lambda: connection.channel.run_in_transaction(
                request.statement, request.shape, limit_s
            ),
            waits_for_replica,
        )

    def _limit_s(
        self,
        request: Request,
        connection: pooled_connection.PooledConnection,
        waits_for_replica: bool,
        timeout_factor: float,
    ) -> float:
        """Return the time after which a statement is given up."""
        now = self.loop_clock.now()
        left_s = max(request.deadline_at - now, 0.0)
        if waits_for_replica:
            # Giving up a write, whose answer depends on a replica, would
            # leave its outcome unknown; other statements can be retried.
            return left_s
        overdue_s = connection.pool.health.overdue_s(
            now, request.route.latency_goal_s
        )
        return min(left_s, timeout_factor * overdue_s)

    async def exchange(
        self,
        connection: pooled_connection.PooledConnection,
        statement: ids.StatementId,
        run: Callable[[], Awaitable[member_channel.Answer]],
        waits_for_replica: bool,
    ) -> member_channel.Answer:
        """Run a statement on a connection; record what its answer shows.

        Parameters
        ==========

        waits_for_replica : bool
            Whether the answer also depends on a replica, as that to a write
            or a commit does.

        """
        health = connection.pool.health
        sent_at = self.loop_clock.now()
        ticket = health.record_sent(
            sent_at,
            waits_for_replica,
            connection.channel.relay_silent,
        )
        connection.begin_statement(statement, waits_for_replica)
        answer = refusals.SILENT
        try:
            answer = await run()
        finally:
            connection.end_statement()
            fault = refusals.fault_of_member(connection, answer)
            now = self.loop_clock.now()
            health.record_ended(ticket, now, fault)
            connection.served |= fault not in member_channel.NOT_RUN
        if fault is member_channel.MemberFault.QUEUE_FULL:
            connection.pool.limit.record_refusal(health.running, now)
        elif fault is None:
            # The time of a write also depends on a replica.
            measured = connection.channel.direct and not waits_for_replica
            connection.pool.limit.record_answer(
                now - sent_at if measured else None, now
            )
        if answer.position is not None:
            connection.pool.reports.record(answer.position, now)
        if answer.fault is member_channel.MemberFault.UNKNOWN_NAME:
            # What the member lost on one connection it may have lost on all,
            # values included, which it would not report.
            loguru.logger.warning(
                "event=prepared_name_unknown id={} group={} member={} "
                "connection={} direct={} just_prepared={}",
                statement,
                connection.pool.entry.group,
                connection.pool.entry.id,
                connection.number,
                connection.channel.direct,
                connection.just_prepared,
            )
            connection.channel.close()
            if not connection.just_prepared:
                connection.pool.replace_connections()
        return answer

    async def prepare(
        self,
        value_by_name: dict[str, str],
        shape: command.Shape | None,
        connection: pooled_connection.PooledConnection,
    ) -> member_channel.Answer | None:
        """Apply a session's state to a connection; return a fault if any."""
        steps = connection.session_state.steps(value_by_name, shape)
        connection.just_prepared = any(step.shape for step in steps)
        if not steps:
            return None
        if connection.channel.direct:
            # A holder logs the statements that it sends itself.
            loguru.logger.info(
                "event=connection_set_up member={} connection={} steps={!r}",
                connection.pool.entry.id,
                connection.number,
                " ".join(
                    f"{step.kind.value}:{step.name[:LOGGED_TEXT]}"
                    for step in steps[:LOGGED_STEPS]
                ),
            )
        sent_at = self.loop_clock.now()
        answers = await connection.channel.prepare(steps, PREPARE_TIMEOUT_S)
        for step, answer in zip(steps, answers, strict=False):
            if answer.fault is None:
                connection.session_state.done(step)
        last = answers[-1]
        if last.fault is None:
            return None
        # The connection's state is unknown now.  The statement itself was not
        # sent, so it may be tried on another member.
        connection.channel.close()
        if last.fault in member_channel.NO_ANSWER:
            connection.pool.health.record_failure(
                self.loop_clock.now(), last.fault, sent_at
            )
        return member_channel.Answer(
            fault=member_channel.MemberFault.REFUSED,
            text=f"preparing failed: {last.text}",
        )

    def learn(
        self,
        group: groups.Group,
        connection: pooled_connection.PooledConnection,
        work: work_queue.Work,
        answer: member_channel.Answer,
        since: float | None,
    ) -> None:
        """Record what an answer shows about its member.

        Parameters
        ==========

        since : float or None
            Boot-clock time up to which the log of the primary was complete.

        """
        pool = connection.pool
        member = pool.entry.id
        if work.primary_only:
            if answer.fault is None and answer.position is not None:
                group.primary.confirm(
                    member, answer.position.term, answer.position, since
                )
            elif answer.fault is member_channel.MemberFault.NOT_PRIMARY:
                group.primary.reject(member)
            return
        now = self.loop_clock.now()
        assert work.position is not None
        if answer.position is not None:
            pool.lag.record_position(answer.position)
        if answer.fault is None:
            pool.lag.record_success(work.position_age_s, now)
        elif answer.fault is member_channel.MemberFault.BEHIND:
            pool.lag.record_refusal(work.position, work.position_age_s, now)
            pool.reports.record_lack(work.position, now)
            if answer.position is not None:
                # Reports of before may have been dropped just now.
                pool.reports.record(answer.position, now)

    def remember_commit(
        self, session: Session, answer: member_channel.Answer
    ) -> None:
        """Record the position of the session's last commit."""
        if answer.position is not None:
            session.own_commit = sample_window.Sample(
                self.boot_clock.now(), answer.position
            )

    def primary_stalled(self, group: groups.Group) -> bool:
        """Return whether the primary's writes are stalled."""
        pool = group.primary.pool()
        return pool is not None and pool.health.writes_stalled(
            self.loop_clock.now()
        )
