"""In-memory channels to emulated members."""

import asyncio
from typing import Awaitable
from typing import Callable

from burdockcart.connection import answer_timeout
from burdockcart.connection import channel_state
from burdockcart.connection import member_channel
from burdockcart.connection import member_session
from burdockcart.emulator import host_link
from burdockcart.emulator import wire_member
from burdockcart import ids
from burdockcart.request import command
from burdockcart.request import log_position

Fault = member_channel.MemberFault
State = member_channel.TransactionState

#: What a member does for one call.
Work = Callable[[], Awaitable[member_channel.Answer]]


class EmulatedChannel:
    """One connection to an emulated member.

    Explanation
    ===========

    ``state``, ``transaction`` and ``writes`` are the member's side.  A
    statement that runs when the connection is closed still ends at the
    member, as the end of a connection is noticed only between statements;
    then an open transaction is rolled back.

    """

    def __init__(
        self,
        member: wire_member.EmulatedMember,
        latency_s: float,
        cut: set[ids.MemberId],
        link: host_link.HostLink,
        account: ids.AccountName | None = None,
    ):
        #: What the member was told about who connects.
        self.account = account
        self._link = link
        self.member = member
        self.latency_s = latency_s
        self._cut = cut
        self._ended = asyncio.Event()
        self._guard = channel_state.CallGuard(self.close, self._ended.is_set)
        self._work: asyncio.Task[member_channel.Answer] | None = None
        self.value_by_name: dict[str, str] = {}
        self.prepared: set[command.Shape] = set()
        self.state = State.IDLE
        self.read_write = False
        self.transaction: int | None = None
        self.writes: list[tuple[str, str]] = []
        member.connections.add(self)

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""
        self._guard.close()
        self._ended.set()
        self.member.connections.discard(self)
        if self._work is not None and self.member.crashed:
            self._work.cancel()
        if self._work is None or self._work.done():
            self._forget_transaction()

    def _forget_transaction(self) -> None:
        self.state, self.read_write = State.IDLE, False
        self.transaction, self.writes = None, []

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._ended.is_set()

    @property
    def free(self) -> bool:
        """Whether it is open, without a transaction or a running call."""
        return self._guard.free

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open on it."""
        return self._guard.in_transaction

    @property
    def direct(self) -> bool:
        """Whether it is a connection to the member itself."""
        return True

    def relay_silent(self) -> bool:
        """Return False: nothing relays statements on this connection."""
        return False

    def set_urgency(self, priority: int, goal_s: float, wait_s: float) -> None:
        """Do nothing: statements on a direct connection do not wait."""

    def _answer(
        self, fault: Fault | None = None, **fields
    ) -> member_channel.Answer:
        return member_channel.Answer(
            fault=fault,
            text="" if fault is None else fault.value,
            state=self.state,
            position=self.member.applied(),
            **fields,
        )

    async def _wait_latency(self) -> None:
        await asyncio.sleep(self.latency_s)

    async def _while_reachable(self) -> None:
        """Wait for ever if the member answers nothing to this daemon."""
        if self.member.unresponsive or self.member.id in self._cut:
            await asyncio.Event().wait()

    async def _serve(self, work: Work) -> member_channel.Answer:
        """Run work at the member, subject to its faults."""
        try:
            await self._wait_latency()
            if self.member.crashed:
                self.close()
                return member_channel.Answer(fault=Fault.BROKEN)
            await self._while_reachable()
            answer = await work()
            await self._while_reachable()
        finally:
            if self.closed:
                self._forget_transaction()
        await self._wait_latency()
        await self._link.arrive()
        return answer

    async def _send(
        self, work: Work, timeout_s: float
    ) -> member_channel.Answer:
        """Run work within a timeout; its answer ends with the connection."""
        served = asyncio.create_task(self._serve(work))
        ended = asyncio.create_task(self._ended.wait())
        self._work = served
        try:
            async with answer_timeout.AnswerTimeout(timeout_s):
                await asyncio.wait(
                    {served, ended}, return_when=asyncio.FIRST_COMPLETED
                )
        except TimeoutError:
            pass
        except asyncio.CancelledError:
            # Given up by the daemon, as after a timeout.
            served.cancel()
            raise
        finally:
            ended.cancel()
        if served.done() and not served.cancelled():
            return served.result()
        if self.closed:
            return member_channel.Answer(fault=Fault.BROKEN)
        served.cancel()
        self.close()
        return member_channel.Answer(fault=Fault.SILENT)

    async def _call(
        self, call: channel_state.Call, work: Work, timeout_s: float
    ) -> member_channel.Answer:
        return await self._guard.call(
            call, lambda: self._send(work, timeout_s)
        )

    async def prepare(
        self, steps: list[member_session.Step], timeout_s: float
    ) -> list[member_channel.Answer]:
        """Run the statements that prepare a session."""

        async def work() -> member_channel.Answer:
            for step in steps:
                if step.kind is member_session.StepKind.RESET:
                    self.value_by_name, self.prepared = {}, set()
                elif step.kind is member_session.StepKind.SET:
                    self.value_by_name[step.name] = step.value
                elif step.shape is not None:
                    self.prepared.add(step.shape)
            return self._answer()

        answer = await self._call(channel_state.Call.PREPARE, work, timeout_s)
        return [answer] * (1 if answer.fault else len(steps))

    async def run(
        self,
        statement: command.Command,
        shape: command.Shape | None,
        timeout_s: float,
        after: log_position.LogPosition | None = None,
        prove: bool = False,
    ) -> member_channel.Answer:
        """Run a client's statement outside of a transaction."""
        return await self._call(
            channel_state.Call.SINGLE,
            lambda: self._run(statement, shape, after, prove),
            timeout_s,
        )

    async def run_in_transaction(
        self,
        statement: command.Command,
        shape: command.Shape | None,
        timeout_s: float,
    ) -> member_channel.Answer:
        """Run a client's statement in the open transaction, or its COMMIT."""
        commits = statement.kind is command.CommandKind.COMMIT
        return await self._call(
            (
                channel_state.Call.COMMIT
                if commits
                else channel_state.Call.STATEMENT
            ),
            lambda: self._run(statement, shape, None, False),
            timeout_s,
        )

    async def _run(
        self,
        statement: command.Command,
        shape: command.Shape | None,
        after: log_position.LogPosition | None,
        prove: bool,
    ) -> member_channel.Answer:
        member = self.member
        writes = statement.kind is command.CommandKind.WRITE or (
            shape is not None and shape.writes
        )
        commits = statement.kind is command.CommandKind.COMMIT
        refusal = self._refusal(shape, writes, commits, after, prove)
        if refusal is not None:
            return self._answer(refusal)
        if not await member.slot():
            return self._answer(Fault.QUEUE_FULL)
        try:
            await asyncio.sleep(member.work_s)
            refusal = self._refusal(shape, writes, commits, after, prove)
            if refusal is not None:
                return self._answer(refusal)
            self._record(statement, shape)
            if writes:
                self.writes.append((statement.id, statement.text))
            if not await self._finish(writes, commits):
                await member.await_receipt(member.received())
        finally:
            await member.free_slot()
        if member.loses_answers or statement.id in member.lost_answer_ids:
            await asyncio.Event().wait()
        return self._answer(receipt=f"receipt-{statement.id}")

    async def _finish(self, writes: bool, commits: bool) -> bool:
        """Commit the pending writes, if due; False if no replica can."""
        ends = commits or (writes and self.state is State.IDLE)
        if commits:
            self.state, self.transaction = State.IDLE, None
        if not ends:
            return True
        pending, self.writes = self.writes, []
        return not pending or self.member.commit(pending) is not None

    def _refusal(
        self,
        shape: command.Shape | None,
        writes: bool,
        commits: bool,
        after: log_position.LogPosition | None,
        prove: bool,
    ) -> Fault | None:
        member = self.member
        if shape is not None and shape not in self.prepared:
            return Fault.UNKNOWN_NAME
        if after is not None and member.applied() < after:
            return Fault.BEHIND
        needs_primary = writes or prove or self.read_write
        if commits and not self.writes:
            needs_primary = False
        if needs_primary and not member.leads:
            if self.state is State.OPEN:
                self.state = State.IDLE if commits else State.FAILED
            return Fault.NOT_PRIMARY
        return None

    def _record(
        self, statement: command.Command, shape: command.Shape | None
    ) -> None:
        member = self.member
        member.group.runs.append(
            wire_member.Run(
                member=member.id,
                statement=statement.id,
                kind=statement.kind,
                text=statement.text,
                value_by_name=tuple(sorted(self.value_by_name.items())),
                shape=shape,
                transaction=self.transaction,
                position=member.applied(),
                at=asyncio.get_running_loop().time(),
                account=self.account,
            )
        )

    async def begin(
        self,
        read_only: bool,
        timeout_s: float,
        after: log_position.LogPosition | None = None,
    ) -> member_channel.Answer:
        """Begin a transaction."""

        async def work() -> member_channel.Answer:
            if not read_only and not self.member.leads:
                return self._answer(Fault.NOT_PRIMARY)
            if after is not None and self.member.applied() < after:
                return self._answer(Fault.BEHIND)
            self.state, self.read_write = State.OPEN, not read_only
            self.transaction = next(self.member.group.serials)
            self.writes = []
            return self._answer()

        return await self._call(channel_state.Call.BEGIN, work, timeout_s)

    async def roll_back(self, timeout_s: float) -> member_channel.Answer:
        """Roll back the open transaction."""

        async def work() -> member_channel.Answer:
            self._forget_transaction()
            return self._answer()

        return await self._call(channel_state.Call.ROLL_BACK, work, timeout_s)

    async def observe(
        self, timeout_s: float
    ) -> member_channel.MemberStatus | Fault:
        """Ask for the member's status, without a slot."""

        async def work() -> member_channel.Answer:
            return self._answer()

        answer = await self._call(channel_state.Call.CONTROL, work, timeout_s)
        return answer.fault or self._status()

    async def demote(
        self, term: int, timeout_s: float
    ) -> member_channel.MemberStatus | Fault:
        """Make the member a replica if it leads a lower term."""

        async def work() -> member_channel.Answer:
            if self.member.leads and self.member.term < term:
                self.member.follow(self.member.group.primary)
            return self._answer()

        answer = await self._call(channel_state.Call.CONTROL, work, timeout_s)
        return answer.fault or self._status()

    async def hold_replication(
        self, term: int, timeout_s: float
    ) -> member_channel.MemberStatus | Fault:
        """Stop replication to the member, unless it knows a later term."""

        async def work() -> member_channel.Answer:
            if term > self.member.term:
                self.member.held_term = term
            return self._answer()

        answer = await self._call(channel_state.Call.CONTROL, work, timeout_s)
        return answer.fault or self._status()

    async def release_replication(
        self, timeout_s: float
    ) -> member_channel.Answer:
        """Resume replication and deliver the missing commits."""

        async def work() -> member_channel.Answer:
            self.member.held_term = None
            self.member.catch_up()
            return self._answer()

        return await self._call(channel_state.Call.CONTROL, work, timeout_s)

    def _status(self) -> member_channel.MemberStatus:
        role = (
            member_channel.Role.PRIMARY
            if self.member.leads
            else member_channel.Role.REPLICA
        )
        return member_channel.MemberStatus(
            role,
            self.member.term,
            self.member.received(),
            self.member.held_term or 0,
        )
