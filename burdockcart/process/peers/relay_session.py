"""Statements of one other daemon, run on the connections of this one."""

import asyncio
from typing import Callable
from typing import Protocol

import loguru
import msgspec
from returns import result

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart import errors
from burdockcart import ids
from burdockcart.process.gateway import attempts
from burdockcart.process.gateway import group as groups
from burdockcart.process.gateway import pooled_connection
from burdockcart.process.peers import frames
from burdockcart.process.peers import messages
from burdockcart.process.peers import relay_actions
from burdockcart.process.peers import tcp
from burdockcart.request import command
from burdockcart.request import work_queue

#: Statements that one link may have running or waiting; more are refused.
MAX_STATEMENTS = 1024

Fault = member_channel.MemberFault
State = member_channel.TransactionState


class Pools(relay_actions.Pools, Protocol):
    """The groups of this daemon, as far as relayed statements need them."""

    def newest_sample(self, group: ids.GroupId) -> tuple[int, int, int] | None:
        """Return the newest sample of a group's primary, as it is sent."""


class Service(Protocol):
    """What the sessions of all links share."""

    pools: Pools
    sender: attempts.StatementSender
    clock: clock.Clock
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
        self._closed = self._closing = False
        self._last_number = 0
        self._tasks: set[asyncio.Task[None]] = set()
        #: Transactions that are beginning, and those of them that the other
        #: daemon has given up meanwhile.
        self._beginning: set[int] = set()
        self._given_up: set[int] = set()
        #: Transactions that are running a statement, and those that this
        #: daemon has rolled back.
        self._in_statement: set[int] = set()
        self._rolled_back: set[int] = set()
        #: What waits for a connection.
        self._waiting: list[tuple[groups.Group, work_queue.Work]] = []
        self._connection_by_transaction: dict[
            int, tuple[groups.Group, pooled_connection.PooledConnection]
        ] = {}

    @property
    def pending(self) -> int:
        """Running requests and open transactions."""
        return max(len(self._tasks), len(self._connection_by_transaction))

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
            self._discard(message.transaction)
            return
        if message.number <= self._last_number:
            raise frames.FrameError(
                f"request {message.number} after {self._last_number}"
            )
        self._last_number = message.number
        if len(self._tasks) >= MAX_STATEMENTS:
            self._refuse(message.number, "too many statements on this link")
            return
        task = asyncio.create_task(self._serve(message), name="relayed")
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _send(self, message: messages.Reply) -> None:
        self._transport.send(messages.encode(message))

    def _answer(
        self,
        number: int,
        answer: member_channel.Answer,
        group: ids.GroupId | None = None,
    ) -> None:
        sample = None
        if group is not None:
            sample = self._service.pools.newest_sample(group)
        self._send(messages.answered(number, answer, sample))

    def _refuse(self, number: int, text: str) -> None:
        self._answer(number, _fault(Fault.RELAY_REFUSED, text))

    async def _serve(
        self,
        message: (
            messages.Run | messages.Begin | messages.RollBack | messages.Action
        ),
    ) -> None:
        pools = self._service.pools
        try:
            match message:
                case messages.Run():
                    answer = await self._run_unless_leaving(message)
                case messages.Begin():
                    answer = await self._begin(message)
                case messages.RollBack():
                    answer = await self._roll_back(message)
                case messages.Action():
                    self._send(await relay_actions.act(pools, message))
                    return
            group = (
                None
                if isinstance(message, messages.RollBack)
                else message.group
            )
            self._answer(message.number, answer, group)
        except Exception as error:  # noqa: B902 - others go on
            loguru.logger.opt(exception=error).error(
                "event=relay_failed daemon={} number={}",
                self._daemon,
                message.number,
            )
            if isinstance(message, (messages.Run, messages.Begin)):
                self._discard(message.transaction)
            self._answer(
                message.number, _fault(Fault.RELAY_LOST, "fault in the holder")
            )

    # Statements

    def _refusal_at_end(
        self, message: messages.Run | messages.Begin
    ) -> member_channel.Answer | None:
        """Refuse what may last longer than this daemon."""
        now = self._service.requested_at = self._service.clock.now()
        transaction = message.transaction
        late = now + message.timeout_ms / 1000 > self._service.ends_at or (
            transaction != 0 and now >= self._service.transactions_until
        )
        if late and transaction in self._connection_by_transaction:
            self._end_transaction(transaction)
        if late or transaction in self._rolled_back:
            return _fault(Fault.RELAY_REFUSED, "the holder is shutting down")
        return None

    async def _run_unless_leaving(
        self, message: messages.Run
    ) -> member_channel.Answer:
        refused = self._refusal_at_end(message)
        if refused is not None:
            return refused
        self._in_statement.add(message.transaction)
        try:
            return await self._run(message)
        finally:
            self._in_statement.discard(message.transaction)

    async def _run(self, message: messages.Run) -> member_channel.Answer:
        """Run a statement of a transaction, or a single one."""
        if message.transaction:
            held = self._connection_by_transaction.get(message.transaction)
            if held is None:
                return _fault(Fault.RELAY_LOST, "no such transaction")
            answer = await self._run_on(
                held[1], message, message.timeout_ms / 1000
            )
            if answer.fault is None and answer.state is State.IDLE:
                self._connection_by_transaction.pop(message.transaction, None)
                held[0].release(held[1])
            return answer
        deadline_at = self._service.clock.now() + message.timeout_ms / 1000
        acquired = await self._acquire(
            message, messages.read_shape(message.shape)
        )
        if isinstance(acquired, member_channel.Answer):
            return acquired
        group, connection = acquired
        try:
            # The other daemon does not wait for an answer after that.
            left_s = deadline_at - self._service.clock.now()
            answer = await self._run_on(connection, message, left_s)
            if answer.state is not State.IDLE:
                connection.channel.close()
            return answer
        finally:
            group.release(connection)

    async def _run_on(
        self,
        connection: pooled_connection.PooledConnection,
        message: messages.Run,
        timeout_s: float,
    ) -> member_channel.Answer:
        shape = messages.read_shape(message.shape)
        refused = await self._service.sender.prepare(
            message.value_by_name, shape, connection
        )
        if refused is not None:
            return refused
        statement = command.Command(
            message.statement,
            message.kind,
            message.text,
            argument=message.argument,
            shape=shape,
        )
        waits_for_replica = (
            message.kind
            in (command.CommandKind.WRITE, command.CommandKind.COMMIT)
        ) or (shape is not None and shape.writes)
        return await self._service.sender.exchange(
            connection,
            lambda: connection.channel.run(
                statement,
                shape,
                timeout_s,
                messages.read_position(message.after),
                message.prove,
            ),
            waits_for_replica,
        )

    async def _acquire(
        self,
        message: messages.Run | messages.Begin,
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
            value_by_name=message.value_by_name,
            shape=shape,
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
            return _fault(Fault.RELAY_REFUSED, "no way to the member")
        return group, connection

    # Transactions

    async def _begin(self, message: messages.Begin) -> member_channel.Answer:
        if message.transaction in self._connection_by_transaction:
            return _fault(Fault.RELAY_REFUSED, "the transaction is open")
        refused = self._refusal_at_end(message)
        if refused is not None:
            return refused
        self._beginning.add(message.transaction)
        try:
            return await self._begin_on_connection(message)
        finally:
            self._beginning.discard(message.transaction)
            self._given_up.discard(message.transaction)

    async def _begin_on_connection(
        self, message: messages.Begin
    ) -> member_channel.Answer:
        acquired = await self._acquire(message)
        if isinstance(acquired, member_channel.Answer):
            return acquired
        group, connection = acquired
        answer = await self._service.sender.prepare(
            message.value_by_name, None, connection
        )
        if answer is None:
            answer = await connection.channel.begin(
                message.read_only,
                message.timeout_ms / 1000,
                messages.read_position(message.after),
            )
        connection.active = False
        if answer.fault is not None or answer.state is not State.OPEN:
            if answer.state is not State.IDLE:
                connection.channel.close()
            group.release(connection)
        elif self._closed or message.transaction in self._given_up:
            connection.channel.close()
            group.release(connection)
        else:
            held = (group, connection)
            self._connection_by_transaction[message.transaction] = held
        return answer

    async def _roll_back(
        self, message: messages.RollBack
    ) -> member_channel.Answer:
        held = self._connection_by_transaction.pop(message.transaction, None)
        if held is None:
            return member_channel.Answer()
        group, connection = held
        answer = await connection.channel.roll_back(message.timeout_ms / 1000)
        if answer.fault is not None or answer.state is not State.IDLE:
            connection.channel.close()
        group.release(connection)
        return answer

    def _discard(self, transaction: int) -> None:
        """Close the connection of a transaction, which rolls it back."""
        if transaction in self._beginning:
            self._given_up.add(transaction)
        held = self._connection_by_transaction.pop(transaction, None)
        if held is not None:
            held[1].aborted_locally = True
            held[1].channel.close()
            held[0].release(held[1])

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
        idle = self._connection_by_transaction.keys() - self._in_statement
        for transaction in idle:
            self._end_transaction(transaction)
        return len(idle)

    def _end_transaction(self, transaction: int) -> None:
        """Roll back a transaction whose daemon does not know that yet."""
        self._rolled_back.add(transaction)
        self._discard(transaction)

    def closed(self) -> None:
        """Roll back what the other daemon has left open."""
        self._closed = True
        for transaction in list(self._connection_by_transaction):
            self._discard(transaction)
        self._ended(self)


def _fault(fault: Fault, text: str) -> member_channel.Answer:
    return member_channel.Answer(fault=fault, text=text)
