"""Session of one client: values, prepared names and transaction."""

import asyncio
from typing import Protocol

import loguru
import msgspec
from returns import result

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart.connection import open_transaction
from burdockcart.connection import session_names
from burdockcart import errors
from burdockcart import ids
from burdockcart.process.accounts import session_access
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.sessions import attempts
from burdockcart.process.gateway.sessions import statement_runner
from burdockcart.process.gateway.sessions import stop_admission
from burdockcart.process.gateway.sessions import transaction_runner
from burdockcart.request import answer_times
from burdockcart.request import command
from burdockcart.request import log_position
from burdockcart.version import manifest

_DONE = member_channel.Answer()
#: Share of a route's latency goal for which an operation waits for a share of
#: its account's rate.
RATE_WAIT_SHARE = 0.5


class Reply(msgspec.Struct, frozen=True):
    """Reply to one statement of a client."""

    outcome: attempts.Outcome
    state: member_channel.TransactionState
    position: log_position.LogPosition | None = None


class ManifestSource(Protocol):
    """Provides the manifest in force."""

    current: manifest.Manifest | None

    def no_route(self, database: ids.DatabaseName) -> errors.Failure:
        """Return the answer for a database that no route names."""


class ClientSession:
    """Handles the statements of one client, one at a time.

    Explanation
    ===========

    Statements that only change the session are answered here: values,
    prepared names, the begin and the rollback of a transaction.  A member
    gets this state with the first statement that depends on it.

    """

    def __init__(
        self,
        database: ids.DatabaseName,
        manifest_source: ManifestSource,
        statements: statement_runner.StatementRunner,
        transactions: transaction_runner.TransactionRunner,
        admission: stop_admission.StopAdmission,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        metrics: gateway_metrics.GatewayMetrics,
        access: session_access.SessionAccess | None = None,
    ):
        self.database = database
        self._access = access or session_access.OpenAccess()
        self._metrics = metrics
        self._manifest_source = manifest_source
        self._statements = statements
        self._transactions = transactions
        self._admission = admission
        self._limit: asyncio.Timeout | None = None
        #: Whether a statement came too late, or its key was removed, and the
        #: session should close.
        self.ends = False
        #: Why the key of the session was refused.
        self._key_refused: errors.Failure | None = None
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self._session = attempts.Session(account=self._access.account)
        self._names = session_names.SessionNames(self._session.value_by_name)
        self._transaction: open_transaction.OpenTransaction | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._transaction is not None

    @property
    def holds_transaction(self) -> bool:
        """Whether a transaction is open that has not failed.

        A failed one, such as after ``tx-idle-ms``, holds nothing at a member.
        """
        transaction = self._transaction
        return transaction is not None and transaction.failure is None

    @property
    def state_bytes(self) -> int:
        """Memory of the values and the prepared names, in bytes."""
        return self._names.memory_bytes

    async def handle(self, statement: command.Command) -> Reply:
        """Run a statement and return the reply to the client."""
        self._stop_idle_timer()
        transaction = self._transaction
        arrived_at = self._clock.now()
        refused = self._access.refusal()
        try:
            if refused and refused.kind is errors.ErrorKind.UNAUTHORIZED:
                reply = self._end_without_key(refused)
            elif transaction is not None and transaction.failure is not None:
                reply = self._after_failure(transaction, statement)
            else:
                reply = await self._handle_until_cut(statement, refused)
        finally:
            self._start_idle_timer()
        self._record(statement, reply, arrived_at)
        return reply

    def _record(
        self, statement: command.Command, reply: Reply, arrived_at: float
    ) -> None:
        """Count the answer, and log it if it is a failure."""
        failure = None
        if isinstance(reply.outcome, result.Failure):
            failure = reply.outcome.failure()
        elif statement.kind in session_names.KINDS | _BEGINS:
            return
        took_s = self._clock.now() - arrived_at
        route, current = self._route(), self._manifest_source.current
        self._metrics.answered(
            "none" if route is None else route.name, failure, took_s
        )
        if failure is not None:
            loguru.logger.info(
                "event=statement_failed id={} kind={!r} database={!r} "
                "route={} manifest={} error={} effect={!r} state={} "
                "took_ms={} retry_after_ms={} message={!r}",
                statement.id,
                statement.kind.value,
                self.database[:60],
                route and route.name,
                current and current.version,
                failure.kind.value,
                errors.answer_for(failure.kind).effect.value,
                reply.state.value,
                int(took_s * 1000),
                failure.retry_after_ms,
                failure.message,
            )

    def _end_without_key(self, refused: errors.Failure) -> Reply:
        """Roll back and close a session whose key is not valid any more."""
        self._key_refused = refused
        self.ends = True
        self._fail(refused)
        self._transaction = None
        return self._reply(result.Failure(refused))

    async def _handle_until_cut(
        self, statement: command.Command, refused: errors.Failure | None
    ) -> Reply:
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._limit = limit
                return await self._handle(statement, refused)
        except TimeoutError:
            if not limit.expired():
                raise
            return self._after_cut(statement)
        finally:
            self._limit = None

    def cut(self) -> None:
        """End the running statement; its client gets a failure."""
        limit, self._limit = self._limit, None
        if limit is not None:
            limit.reschedule(asyncio.get_running_loop().time())

    def _after_cut(self, statement: command.Command) -> Reply:
        """Answer a statement that was cut, perhaps while it ran."""
        transaction = self._transaction
        if transaction is None:
            may_persist = self._names.writes(statement)
        else:
            commits = statement.kind is command.CommandKind.COMMIT
            may_persist = commits and transaction.wrote
        failure = errors.Failure(
            (
                errors.ErrorKind.OUTCOME_UNKNOWN
                if may_persist
                else errors.ErrorKind.TRANSACTION_LOST
            ),
            "the daemon shut down before the answer",
        )
        return self._fail_at(statement, failure)

    def _fail_at(
        self, statement: command.Command, failure: errors.Failure
    ) -> Reply:
        """Fail a statement, and with it the open transaction."""
        self._fail(failure)
        if statement.kind in _ENDS:
            self._transaction = None
        return self._reply(result.Failure(failure))

    def refuse(
        self, statement: command.Command, failure: errors.Failure
    ) -> Reply:
        """Return the reply to a statement that is not run."""
        reply = self._fail_at(statement, failure)
        self._record(statement, reply, self._clock.now())
        return reply

    def refuse_unread(self, failure: errors.Failure) -> Reply:
        """Return the reply to a statement that the protocol does not allow.

        As on a member, a transaction fails.
        """
        transaction = self._transaction
        if transaction is not None and transaction.failure is None:
            self._fail(failure)
            self._stop_idle_timer()
        return self._reply(result.Failure(failure))

    def closing_failure(self) -> errors.Failure:
        """Abandon what is open; return why the session closes."""
        failure = self._key_refused or stop_admission.closing(
            self.in_transaction
        )
        self._fail(failure)
        return failure

    async def _handle(
        self, statement: command.Command, refused: errors.Failure | None
    ) -> Reply:
        kind = statement.kind
        if kind is command.CommandKind.ROLLBACK:
            return self._reply(self._roll_back())
        if kind in session_names.KINDS:
            # No member runs them, and a client whose SET fails gives up its
            # session.
            return self._reply(self._names.change(statement))
        refused = refused or self._use_account()
        if refused is not None:
            return self._fail_at(statement, refused)
        if kind in _BEGINS:
            return self._reply(self._begin(statement))
        if kind is command.CommandKind.COMMIT and self._transaction is None:
            return self._refuse("COMMIT outside of a transaction")
        shape = self._names.shape_of(statement)
        if shape is None and kind is command.CommandKind.EXECUTE:
            return self._refuse_unknown(statement.name)
        return await self._forward(statement, shape)

    def _use_account(self) -> errors.Failure | None:
        """Go by the session's account, which a manifest may have changed.

        An open transaction has a connection of the account before.
        """
        account = self._access.account
        if account == self._session.account:
            return None
        self._session.account = account
        transaction = self._transaction
        if transaction is None or transaction.connection is None:
            return None
        return errors.Failure(
            errors.ErrorKind.TRANSACTION_LOST,
            "the account of the session has changed",
        )

    def _reply(self, outcome: attempts.Outcome) -> Reply:
        """Return a reply with the session's transaction state."""
        transaction = self._transaction
        answer = outcome.value_or(None)
        return Reply(
            outcome,
            _state_of(transaction),
            None if answer is None else answer.position,
        )

    def _refuse(
        self,
        message: str,
        kind: errors.ErrorKind = errors.ErrorKind.BAD_REQUEST,
    ) -> Reply:
        return self._reply(result.Failure(errors.Failure(kind, message)))

    def _refuse_unknown(self, name: str) -> Reply:
        """Refuse an unknown name; as on a member, a transaction fails."""
        failure = session_names.unknown(name)
        self._fail(failure)
        return self._reply(result.Failure(failure))

    def _after_failure(
        self,
        transaction: open_transaction.OpenTransaction,
        statement: command.Command,
    ) -> Reply:
        """Answer a statement in a failed transaction."""
        assert transaction.failure is not None
        if statement.kind is command.CommandKind.ROLLBACK:
            self._transaction = None
            return self._reply(result.Success(_DONE))
        if statement.kind is command.CommandKind.COMMIT:
            self._transaction = None
            if transaction.failure.kind is errors.ErrorKind.OUTCOME_UNKNOWN:
                # A statement may have run outside and be kept.
                return self._reply(result.Failure(transaction.failure))
            return self._refuse(
                f"rolled back: {transaction.failure.message}",
                errors.ErrorKind.TRANSACTION_LOST,
            )
        if transaction.unreported:
            transaction.unreported = False
            return self._reply(result.Failure(transaction.failure))
        return self._refuse("the transaction has failed; end it first")

    def _begin(self, statement: command.Command) -> attempts.Outcome:
        if self._transaction is not None:
            return result.Failure(
                errors.Failure(
                    errors.ErrorKind.BAD_REQUEST,
                    "a transaction is already open",
                )
            )
        route = self._route()
        if route is None:
            return result.Failure(
                self._manifest_source.no_route(self.database)
            )
        refused = self._admission.refusal_to_begin(route)
        if refused is not None:
            self.ends = True
            return result.Failure(refused)
        self._transaction = open_transaction.OpenTransaction(
            route,
            statement.kind is command.CommandKind.BEGIN_READ_ONLY,
            self._clock.now(),
        )
        return result.Success(_DONE)

    def _roll_back(self) -> attempts.Outcome:
        if self._transaction is not None:
            self._transactions.abandon_transaction(self._transaction)
            self._transaction = None
        return result.Success(_DONE)

    def _route(self) -> manifest.DatabaseRoute | None:
        current = self._manifest_source.current
        if current is None:
            return None
        return current.route_by_database.get(self.database)

    async def _forward(
        self, statement: command.Command, shape: command.Shape | None
    ) -> Reply:
        """Run a statement on a member."""
        transaction = self._transaction
        arrived_at, read_at = self._clock.now(), self._boot_clock.now()
        route = self._route() if transaction is None else transaction.route
        if route is None:
            return self._reply(
                result.Failure(self._manifest_source.no_route(self.database))
            )
        writes = self._names.writes(statement)
        commits = statement.kind is command.CommandKind.COMMIT
        work = answer_times.Work.READ
        if commits or (writes and transaction is None):
            work = answer_times.Work.WRITE
        refused = self._admission.refusal_to_run(route, work)
        if refused is not None:
            return self._refuse_late(statement, refused)
        request = attempts.Request(
            statement=statement,
            shape=shape,
            writes=writes,
            route=self._admission.limited(route),
            arrived_at=arrived_at,
            read_at=read_at,
        )
        begins = (
            transaction is None
            or transaction.phase is open_transaction.Phase.NEW
        )
        if begins:
            refused = await self._access.begin_operation(
                RATE_WAIT_SHARE * route.latency_goal_s
            )
            if refused is not None:
                return self._fail_at(statement, refused)
        if transaction is None:
            outcome = await self._statements.run(self._session, request)
            self._return_unsent(outcome)
            self._learn(route, work, request.arrived_at)
            return self._reply(outcome)
        if writes and transaction.read_only:
            if begins:
                self._access.operation_unsent()
            failure = errors.Failure(
                errors.ErrorKind.NO_PRIMARY, "the transaction is read-only"
            )
            self._fail(failure)
            return self._reply(result.Failure(failure))
        outcome = await self._transactions.run(
            self._session, transaction, request
        )
        if begins:
            self._return_unsent(outcome)
        self._learn(route, work, request.arrived_at)
        if commits:
            self._learn(
                route, answer_times.Work.TRANSACTION, transaction.began_at
            )
            self._transactions.abandon_transaction(transaction)
            self._transaction = None
        elif isinstance(outcome, result.Failure):
            self._fail(outcome.failure())
        return self._reply(outcome)

    def _return_unsent(self, outcome: attempts.Outcome) -> None:
        """Give back an operation whose first statement was not run."""
        if isinstance(outcome, result.Failure):
            answer = errors.answer_for(outcome.failure().kind)
            if answer.effect is errors.Effect.NOT_RUN:
                self._access.operation_unsent()

    def _learn(
        self,
        route: manifest.DatabaseRoute,
        work: answer_times.Work,
        since: float,
    ) -> None:
        """Record how long work took that has ended now."""
        self._admission.learn(route, work, self._clock.now() - since)

    def _refuse_late(
        self, statement: command.Command, refused: errors.Failure
    ) -> Reply:
        """Refuse a statement that could not be answered before the exit."""
        self.ends = True
        transaction = self._transaction
        if transaction is not None and transaction.connection is not None:
            refused = stop_admission.closing(in_transaction=True)
        return self._fail_at(statement, refused)

    def _fail(self, failure: errors.Failure, unreported: bool = False) -> None:
        """Abandon the open transaction, if there is one."""
        transaction = self._transaction
        if transaction is None:
            return
        self._transactions.abandon_transaction(transaction)
        transaction.failure = failure
        transaction.unreported = unreported

    def _stop_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
            self._idle_timer = None

    def _start_idle_timer(self) -> None:
        """Start the idle timeout of the open transaction."""
        transaction, current = self._transaction, self._manifest_source.current
        if transaction is None or transaction.failure or current is None:
            return
        loop = asyncio.get_running_loop()
        self._idle_timer = loop.call_later(
            current.transaction_idle_s, self.expire_transaction, "was idle"
        )

    def expire_transaction(self, cause: str) -> None:
        """Abandon the open transaction; the next statement reports it."""
        self._fail(
            errors.Failure(
                errors.ErrorKind.TRANSACTION_LOST, f"the transaction {cause}"
            ),
            unreported=True,
        )

    def close(self) -> None:
        """End the session; an open transaction is rolled back."""
        self._stop_idle_timer()
        if self._transaction is not None:
            self._transactions.abandon_transaction(self._transaction)
            self._transaction = None


_BEGINS = frozenset(
    {command.CommandKind.BEGIN, command.CommandKind.BEGIN_READ_ONLY}
)

_ENDS = frozenset({command.CommandKind.COMMIT, command.CommandKind.ROLLBACK})


def _state_of(
    transaction: open_transaction.OpenTransaction | None,
) -> member_channel.TransactionState:
    if transaction is None:
        return member_channel.TransactionState.IDLE
    if transaction.failure is not None:
        return member_channel.TransactionState.FAILED
    return member_channel.TransactionState.OPEN
