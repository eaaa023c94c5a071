"""Statements of one other daemon, run on the connections of this one."""

import asyncio
from typing import Any
from typing import Awaitable
from typing import Callable
from typing import Coroutine
from typing import Protocol

import loguru
import msgspec
from returns import result

from burdockcart import clock
from burdockcart.connection.client_limits import memory_budget
from burdockcart.connection import member_channel
from burdockcart import errors
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import pooled_connection
from burdockcart.process.gateway.sessions import attempts
from burdockcart.process.peers import frames
from burdockcart.process.peers import held_transaction
from burdockcart.process.peers import messages
from burdockcart.process.peers import relay_actions
from burdockcart.process.peers import tcp
from burdockcart.request import command
from burdockcart.request import log_position
from burdockcart.request import member_evidence
from burdockcart.request import work_queue

#: Statements that one link may have running or waiting; more are refused.
MAX_STATEMENTS = 1024
#: Size from which on a statement is accounted, in bytes; as on the client
#: port, smaller ones are bounded by their number.
ACCOUNTED_BYTES = 16 * 1024
#: Copies of a statement and its values while it waits and is sent: the
#: decoded message, and the lines to the member.
COPIES = 2

Fault = member_channel.MemberFault

Served = (
    messages.Run
    | messages.RunInTransaction
    | messages.Begin
    | messages.RollBack
    | messages.Action
)


class Pools(relay_actions.Pools, Protocol):
    """The groups of this daemon, as far as relayed statements need them."""

    def newest_sample(self, group: ids.GroupId) -> tuple[int, int, int] | None:
        """Return the newest sample of a group's primary, as it is sent."""

    def open_call(
        self, group: ids.GroupId
    ) -> tuple[ids.MemberId, int, ids.StorePosition] | None:
        """Return the open promotion call of a group, as it is sent."""

    def relayed(self, group: ids.GroupId, member: ids.MemberId) -> bool:
        """Return whether most daemons reach a member through holders."""

    def evidence(
        self, group: ids.GroupId, pacer: member_evidence.EvidencePacer
    ) -> tuple[member_evidence.MemberEvidence, ...] | None:
        """Return what is known of a group's members, if it is due."""

    def passed_on(
        self,
        group: ids.GroupId,
        commit: log_position.LogPosition | None,
        asked_at: float,
    ) -> None:
        """Note a commit whose success another daemon is told of now.

        It was sent after ``asked_at``.
        """

    def withdrawn(self, withdrawal: messages.Withdrawal) -> None:
        """Note that a promotion call was not sent."""

    def answer(
        self, daemon: ids.DaemonId, message: messages.PeerRequest
    ) -> messages.PeerReply | Coroutine[Any, Any, messages.PeerReply]:
        """Answer what another daemon asks, at once or when it is known."""


class Service(Protocol):
    """What the sessions of all links share."""

    pools: Pools
    sender: attempts.StatementSender
    clock: clock.Clock
    memory: memory_budget.Memory
    leaving: bool
    transactions_until: float
    ends_at: float
    requested_at: float


class RelaySession:
    """Requests of one other daemon on one link."""

    def __init__(
        self,
        service: Service,
        daemon: ids.DaemonId,
        transport: tcp.Transport,
        ended: Callable[["RelaySession"], None],
    ):
        self._service = service
        self._daemon = daemon
        self._transport = transport
        self._ended = ended
        self._pacer = member_evidence.EvidencePacer()
        self._closed = self._closing = False
        self._last_number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._transaction_by_number: dict[
            int, held_transaction.HeldTransaction
        ] = {}
        #: Transactions that are running a statement, and those that this
        #: daemon has rolled back.
        self._in_statement: set[int] = set()
        self._rolled_back: set[int] = set()
        #: What waits for a connection.
        self._waiting: list[tuple[groups.Group, work_queue.Work]] = []

    @property
    def pending(self) -> int:
        """Running requests and open transactions."""
        return max(len(self._tasks), len(self._transaction_by_number))

    @property
    def unsent(self) -> int:
        """Bytes of answers that have not left this daemon."""
        return self._transport.unsent

    def received(self, content: bytes) -> None:
        """Start the request in a message."""
        if self._closing:
            return
        try:
            message = messages.request_decoder.decode(content)
        except msgspec.MsgspecError as error:
            raise frames.FrameError(f"invalid message: {error}") from None
        if isinstance(message, messages.Ping):
            self._send(messages.Pong(message.number))
            return
        if isinstance(message, messages.Discard):
            self._discard(message.transaction, "given up by the daemon")
            return
        if isinstance(message, messages.Withdrawal):
            self._service.pools.withdrawn(message)
            return
        if message.number <= self._last_number:
            raise frames.FrameError(
                f"request {message.number} after {self._last_number}"
            )
        self._last_number = message.number
        if isinstance(message, Served):
            self._start(message, len(content))
            return
        reply = self._service.pools.answer(self._daemon, message)
        if isinstance(reply, Coroutine):
            self._spawn(self._send_later(reply))
        else:
            self._send(reply)

    def _start(self, message: Served, size: int) -> None:
        """Serve a statement of some bytes, or refuse it."""
        if len(self._tasks) >= MAX_STATEMENTS:
            self._refuse(message.number, "too many statements on this link")
            return
        if (
            isinstance(message, messages.Begin)
            and message.transaction in self._transaction_by_number
        ):
            self._refuse(message.number, "the transaction is open")
            return
        memory, use = self._service.memory, memory_budget.Use.RELAYED
        held = memory_budget.new_number()
        accounted = COPIES * size if size > ACCOUNTED_BYTES else 0
        if accounted and not memory.hold(held, use, accounted):
            memory.limited("memory", "refused", "link")
            self._refuse(message.number, "no memory for the statement")
            return
        if isinstance(message, messages.Begin):
            self._register(message)
        task = self._spawn(self._serve(message))
        if accounted:
            task.add_done_callback(lambda _: memory.hold(held, use, 0))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work, name="relayed")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _send_later(
        self, reply: Coroutine[Any, Any, messages.PeerReply]
    ) -> None:
        self._send(await reply)

    def _register(self, message: messages.Begin) -> None:
        """Know of a transaction before it begins.

        What follows on the link may already end it.
        """
        number = message.transaction
        self._transaction_by_number[number] = held_transaction.HeldTransaction(
            self._daemon, number
        )

    def _send(self, message: messages.Reply) -> None:
        self._transport.send(messages.encode(message))

    def _answer(
        self,
        number: int,
        answer: member_channel.Answer,
        group: ids.GroupId | None = None,
    ) -> None:
        sample = call = evidence = None
        if group is not None:
            sample = self._service.pools.newest_sample(group)
            call = self._service.pools.open_call(group)
            evidence = self._service.pools.evidence(group, self._pacer)
        self._send(messages.answered(number, answer, sample, call, evidence))

    def _refuse(self, number: int, text: str) -> None:
        self._answer(number, _fault(Fault.RELAY_REFUSED, text))

    async def _serve(self, message: Served) -> None:
        group = self._group_of(message)
        writes = self._writes(message)
        asked_at = self._service.clock.now()
        try:
            match message:
                case messages.Run():
                    answer = await self._run(message)
                case messages.RunInTransaction():
                    answer = await self._run_in_transaction(message)
                case messages.Begin():
                    answer = await self._begin(message)
                case messages.RollBack():
                    answer = await self._roll_back(message)
                case messages.Action():
                    self._send(
                        await relay_actions.act(self._service.pools, message)
                    )
                    return
            if group is not None and answer.fault is None and writes:
                self._service.pools.passed_on(group, answer.position, asked_at)
            self._answer(message.number, answer, group)
        except Exception as error:  # noqa: B902 - others go on
            loguru.logger.opt(exception=error).error(
                "event=relay_failed daemon={} number={}",
                self._daemon,
                message.number,
            )
            if isinstance(
                message, (messages.RunInTransaction, messages.RollBack)
            ):
                self._discard(message.transaction, "a fault in the holder")
            self._answer(
                message.number, _fault(Fault.RELAY_LOST, "fault in the holder")
            )

    def _group_of(self, message: Served) -> ids.GroupId | None:
        """Return the group whose sample goes with the answer."""
        if isinstance(message, (messages.Run, messages.Begin)):
            return message.group
        if isinstance(message, messages.RunInTransaction):
            held = self._transaction_by_number.get(message.transaction)
            return None if held is None else held.group
        return None

    def _writes(self, message: Served) -> bool:
        """Return whether a success tells that writes are committed."""
        if isinstance(message, messages.Run):
            return _writes(message.statement)
        if not isinstance(message, messages.RunInTransaction):
            return False
        held = self._transaction_by_number.get(message.transaction)
        if held is None:
            return False
        held.wrote |= _writes(message.statement)
        commits = message.statement.kind is command.CommandKind.COMMIT
        return commits and held.wrote

    # Statements

    def _refusal_at_end(
        self,
        message: messages.Run | messages.RunInTransaction | messages.Begin,
    ) -> member_channel.Answer | None:
        """Refuse what may last longer than this daemon."""
        now = self._service.requested_at = self._service.clock.now()
        if not self._service.leaving:
            return None
        ends_at = self._service.ends_at
        transactions_until = self._service.transactions_until
        # Until transactions end, everything is taken, whatever its limit.
        longest_s = ends_at - transactions_until
        late = now + min(message.timeout_ms / 1000, longest_s) > ends_at
        if not isinstance(message, messages.Run):
            late |= now >= transactions_until
        if isinstance(message, messages.RunInTransaction):
            if late and message.transaction in self._transaction_by_number:
                self._end_transaction(message.transaction)
            late |= message.transaction in self._rolled_back
        if late:
            return _fault(Fault.RELAY_REFUSED, "the holder is shutting down")
        return None

    async def _run(self, message: messages.Run) -> member_channel.Answer:
        """Run a statement outside of a transaction."""
        refused = self._refusal_at_end(message)
        if refused is not None:
            return refused
        deadline_at = self._service.clock.now() + message.timeout_ms / 1000
        statement = messages.read_statement(message.statement)
        acquired = await self._acquire(
            message, message.statement.value_by_name, statement.shape
        )
        if isinstance(acquired, member_channel.Answer):
            return acquired
        group, connection = acquired
        channel = connection.channel
        try:
            return await self._run_on(
                connection,
                message.statement,
                lambda: channel.run(
                    statement,
                    statement.shape,
                    # The other daemon does not wait for an answer after that.
                    deadline_at - self._service.clock.now(),
                    messages.read_position(message.after),
                    message.prove,
                ),
            )
        finally:
            group.release(connection)

    async def _run_in_transaction(
        self, message: messages.RunInTransaction
    ) -> member_channel.Answer:
        """Run a statement of a transaction; release after its end."""
        refused = self._refusal_at_end(message)
        if refused is not None:
            return refused
        held = self._transaction_by_number.get(message.transaction)
        connection = None if held is None else held.connection
        if held is None or connection is None:
            return _fault(Fault.RELAY_LOST, "no such transaction")
        channel = connection.channel
        statement = messages.read_statement(message.statement)
        self._in_statement.add(held.number)
        try:
            answer = await self._run_on(
                connection,
                message.statement,
                lambda: channel.run_in_transaction(
                    statement, statement.shape, message.timeout_ms / 1000
                ),
            )
        finally:
            self._in_statement.discard(held.number)
        held.settle()
        self._forget(held)
        return answer

    def _forget(self, held: held_transaction.HeldTransaction) -> None:
        """Forget a transaction that has ended."""
        if held.phase is held_transaction.Phase.ENDED:
            self._transaction_by_number.pop(held.number, None)

    async def _run_on(
        self,
        connection: pooled_connection.PooledConnection,
        statement: messages.Statement,
        run: Callable[[], Awaitable[member_channel.Answer]],
    ) -> member_channel.Answer:
        shape = messages.read_shape(statement.shape)
        refused = await self._service.sender.prepare(
            statement.value_by_name, shape, connection
        )
        if refused is not None:
            return refused
        waits_for_replica = (
            statement.kind is command.CommandKind.COMMIT or _writes(statement)
        )
        return await self._service.sender.exchange(
            connection, statement.id, run, waits_for_replica
        )

    async def _acquire(
        self,
        message: messages.Run | messages.Begin,
        value_by_name: dict[str, str],
        shape: command.Shape | None = None,
    ) -> (
        tuple[groups.Group, pooled_connection.PooledConnection]
        | member_channel.Answer
    ):
        """Wait for a connection to the message's member."""
        found = self._service.pools.held_pool(message.group, message.member)
        if found is None:
            return _fault(Fault.RELAY_REFUSED, "the member is not known")
        group, pool = found
        now = self._service.clock.now()
        if pool.health.failing and not pool.health.usable(now):
            return _fault(Fault.REFUSED, "the member is not reachable")
        urgency = message.urgency
        wait_ms = urgency.wait_ms
        if isinstance(message, messages.Run):
            wait_ms = min(wait_ms, message.timeout_ms)
        work = work_queue.Work(
            priority=urgency.priority,
            goal_at=now + urgency.goal_ms / 1000,
            give_up_at=now + wait_ms / 1000,
            connection=asyncio.get_running_loop().create_future(),
            member=message.member,
            value_by_name=value_by_name,
            shape=shape,
            account=message.account,
        )
        self._waiting.append((group, work))
        try:
            acquired = await group.acquire(work)
        finally:
            self._waiting.remove((group, work))
        if isinstance(acquired, result.Failure):
            failure = acquired.failure()
            if failure.kind is errors.ErrorKind.DRAINING:
                return _fault(Fault.RELAY_REFUSED, failure.message)
            return _fault(Fault.QUEUE_FULL, failure.message)
        connection = acquired.unwrap()
        if self._closed or not connection.channel.direct:
            # The sender takes the statement for lost, or this daemon does not
            # reach the member itself; the statement must not travel on.
            group.release(connection)
            if (
                self._service.pools.relayed(message.group, message.member)
                and not pool.opening_count
                and pool.may_open(message.account)
            ):
                # An idle detour hides that the member can be reached again.
                pool.open(message.account)
            return _fault(Fault.RELAY_REFUSED, "no way to the member")
        return group, connection

    # Transactions

    async def _begin(self, message: messages.Begin) -> member_channel.Answer:
        held = self._transaction_by_number.get(message.transaction)
        if held is None:
            return _fault(Fault.RELAY_LOST, "given up before it began")
        answer = _fault(Fault.RELAY_LOST, "fault in the holder")
        try:
            refused = self._refusal_at_end(message)
            answer = refused or await self._begin_on_connection(message, held)
        finally:
            if answer.fault is not None:
                held.discard("it did not begin")
            self._forget(held)
        return answer

    async def _begin_on_connection(
        self, message: messages.Begin, held: held_transaction.HeldTransaction
    ) -> member_channel.Answer:
        acquired = await self._acquire(message, message.value_by_name)
        if isinstance(acquired, member_channel.Answer):
            return acquired
        group, connection = acquired
        try:
            answer = await self._service.sender.prepare(
                message.value_by_name, None, connection
            )
            if answer is None:
                answer = await connection.channel.begin(
                    message.read_only,
                    message.timeout_ms / 1000,
                    messages.read_position(message.after),
                )
        except BaseException:
            group.release(connection)
            raise
        if answer.position is not None:
            connection.pool.reports.record(
                answer.position, self._service.clock.now()
            )
        if answer.fault is None:
            held.begun(group, connection)
        else:
            group.release(connection)
        return answer

    async def _roll_back(
        self, message: messages.RollBack
    ) -> member_channel.Answer:
        held = self._transaction_by_number.get(message.transaction)
        if held is None:
            return member_channel.Answer()
        answer = await held.roll_back(message.timeout_ms / 1000)
        self._forget(held)
        return answer

    def _discard(self, transaction: int, cause: str) -> None:
        """Close the connection of a transaction, which rolls it back."""
        held = self._transaction_by_number.pop(transaction, None)
        if held is not None:
            held.discard(cause)

    # End of the link

    def leave(self) -> None:
        """Tell the other daemon to relay through others.

        What waits goes back unsent; another holder may still be in time.
        """
        self._send(messages.Leaving())
        failure = errors.Failure(
            errors.ErrorKind.DRAINING, "the holder is shutting down"
        )
        for group, work in self._waiting:
            if not work.connection.done():
                group.queue.remove(work)
                work.connection.set_result(result.Failure(failure))

    def close(self) -> None:
        """Run no more requests and say which ones were received."""
        if not self._closing:
            self._closing = True
            self._send(messages.Closing(self._last_number))

    def end_transactions(self) -> int:
        """Roll back the transactions that wait for their next statement.

        The others end with the statement after the one that is running.
        Returns their number.
        """
        idle = {
            number
            for number, held in self._transaction_by_number.items()
            if held.connection is not None
        } - self._in_statement
        for transaction in idle:
            self._end_transaction(transaction)
        return len(idle)

    def _end_transaction(self, transaction: int) -> None:
        """Roll back a transaction whose daemon does not know that yet."""
        self._rolled_back.add(transaction)
        self._discard(transaction, "the holder is shutting down")

    def closed(self) -> None:
        """Roll back what the other daemon has left open."""
        self._closed = True
        for transaction in list(self._transaction_by_number):
            self._discard(transaction, "the link ended")
        self._ended(self)


def _writes(statement: messages.Statement) -> bool:
    """Return whether a statement is a write."""
    shape = messages.read_shape(statement.shape)
    return statement.kind is command.CommandKind.WRITE or (
        shape is not None and shape.writes
    )


def _fault(fault: Fault, text: str) -> member_channel.Answer:
    return member_channel.Answer(fault=fault, text=text)
