"""In-memory members of a group that speak the gateway's channel interface.

Explanation
===========

They keep their own record of what ran, which tests compare with what
clients were told.  Time comes from the event loop, so a test on a paused
loop decides how it passes.

"""

import asyncio
import dataclasses
import itertools

from burdockcart.connection import member_channel
from burdockcart.connection import member_session
from burdockcart import ids
from burdockcart.request import command
from burdockcart.request import log_position

Fault = member_channel.MemberFault
State = member_channel.TransactionState


@dataclasses.dataclass(frozen=True)
class Commit:
    """One commit of the log: writes by statement id and text."""

    position: log_position.LogPosition
    writes: tuple[tuple[str, str], ...]
    at: float


@dataclasses.dataclass(frozen=True)
class Run:
    """One run of a statement, as the member saw it."""

    member: str
    statement: str
    kind: command.CommandKind
    text: str
    value_by_name: tuple[tuple[str, str], ...]
    shape: command.Shape | None
    transaction: int | None
    position: log_position.LogPosition
    at: float


class EmulatedGroup:
    """Members with one log each; the primary's commits reach the others.

    Parameters
    ==========

    members : list of EmulatedMember
        The first one leads.

    """

    def __init__(
        self,
        members: list["EmulatedMember"],
        synchronous: bool = True,
        promotion_s: float = 0.6,
    ):
        self.member_by_id = {member.id: member for member in members}
        self.synchronous = synchronous
        self.promotion_s = promotion_s
        self.runs: list[Run] = []
        self.acknowledged: list[log_position.LogPosition] = []
        self.serials = itertools.count(1)
        self.term = 1
        members[0].leads = True
        for member in members:
            member.group = self

    @property
    def primary(self) -> "EmulatedMember":
        """The member that leads."""
        return next(each for each in self.member_by_id.values() if each.leads)

    def promote(self, member: "EmulatedMember") -> None:
        """Make a member lead the next term with what it has received."""
        self.term += 1
        for each in self.member_by_id.values():
            each.leads = each is member
            each.held_term = None
            each.pending = [
                (due, commit)
                for due, commit in each.pending
                if commit in member.log
            ]
            each.log = [commit for commit in each.log if commit in member.log]
        for each in self.member_by_id.values():
            missing = [one for one in member.log if one not in each.log]
            if each is not member and not each.deaf:
                each.receive(missing)


class EmulatedMember:
    """One member: slots, a queue, a log, and the faults of a test.

    Parameters
    ==========

    work_s : float
        Time that a statement holds a slot.
    lag_s : float
        Time until a received commit is seen by reads.

    """

    def __init__(
        self,
        member: str,
        domain: str = "a",
        slots: int = 2,
        work_s: float = 0.005,
        lag_s: float = 0.06,
        most_connections: int = 16,
    ):
        self.id = ids.MemberId(member)
        self.domain = ids.DomainName(domain)
        self.slots = slots
        self.work_s = work_s
        self.lag_s = lag_s
        self.most_connections = most_connections
        self.group: EmulatedGroup
        self.leads = False
        self.log: list[Commit] = []
        self.pending: list[tuple[float, Commit]] = []
        self.held_term: int | None = None
        self.connections: set[EmulatedChannel] = set()
        self.running = 0
        #: Faults: no process, no answer at all, receives nothing.
        self.refuses = False
        self.dark = False
        self.deaf = False
        #: Statement ids whose answers get lost after they ran.
        self.lose: set[str] = set()
        #: Connections of processes that lost power, not yet dropped.
        self.lingering = 0
        self._slot_free = asyncio.Condition()
        self._waiting = 0

    def received(self) -> log_position.LogPosition:
        """Return the newest position of the log."""
        if not self.log:
            return log_position.LogPosition(1, 0)
        return self.log[-1].position

    def applied(self) -> log_position.LogPosition:
        """Return the position that reads see."""
        if self.leads:
            return self.received()
        now = asyncio.get_running_loop().time()
        waiting = {commit for due, commit in self.pending if due > now}
        seen = [commit for commit in self.log if commit not in waiting]
        return seen[-1].position if seen else log_position.LogPosition(1, 0)

    def receive(self, commits: list[Commit]) -> None:
        """Take commits of the primary into the log."""
        due = asyncio.get_running_loop().time() + self.lag_s
        self.log += commits
        self.pending += [(due, commit) for commit in commits]

    @property
    def receives(self) -> bool:
        """Whether commits of the primary reach this member."""
        return not (
            self.leads
            or self.deaf
            or self.dark
            or self.refuses
            or self.held_term is not None
        )

    def crash(self) -> None:
        """End the process: its connections are reset, new ones refused."""
        self.refuses = True
        for channel in list(self.connections):
            channel.close()

    async def slot(self) -> bool:
        """Wait for a slot; False if the queue is full."""
        async with self._slot_free:
            if self._waiting >= 16:
                return False
            self._waiting += 1
            await self._slot_free.wait_for(lambda: self.running < self.slots)
            self._waiting -= 1
            self.running += 1
        return True

    async def free_slot(self) -> None:
        """Give a slot back."""
        async with self._slot_free:
            self.running -= 1
            self._slot_free.notify_all()

    def commit(self, writes: list[tuple[str, str]]) -> Commit | None:
        """Append a commit; None if no replica can receive it."""
        receivers = [
            each
            for each in self.group.member_by_id.values()
            if each is not self and each.receives
        ]
        commit = Commit(
            log_position.LogPosition(
                self.group.term, self.received().number + 1
            ),
            tuple(writes),
            asyncio.get_running_loop().time(),
        )
        self.log.append(commit)
        for each in receivers:
            each.receive([commit])
        if self.group.synchronous and not receivers:
            return None
        self.group.acknowledged.append(commit.position)
        return commit


class EmulatedChannel:
    """One connection to an emulated member."""

    def __init__(self, member: EmulatedMember, latency_s: float):
        self.member = member
        self.latency_s = latency_s
        self.closed = False
        self.value_by_name: dict[str, str] = {}
        self.prepared: set[command.Shape] = set()
        self.state = State.IDLE
        self.plain = False
        self.transaction: int | None = None
        self.writes: list[tuple[str, str]] = []
        member.connections.add(self)

    def close(self) -> None:
        """Close the connection; an open transaction is rolled back."""
        self.closed = True
        self.member.connections.discard(self)

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

    async def _travel(self) -> None:
        await asyncio.sleep(self.latency_s)

    async def _within(self, work, timeout_s: float) -> member_channel.Answer:
        """Run work, or lose the connection as a member that fails does."""
        if self.closed:
            return member_channel.Answer(fault=Fault.BROKEN)
        try:
            async with asyncio.timeout(timeout_s):
                await self._travel()
                if self.member.refuses:
                    self.close()
                    return member_channel.Answer(fault=Fault.BROKEN)
                if self.member.dark:
                    await asyncio.Event().wait()
                answer = await work()
                if self.member.dark:
                    await asyncio.Event().wait()
                await self._travel()
                return answer
        except TimeoutError:
            self.close()
            return member_channel.Answer(fault=Fault.SILENT)

    async def prepare(
        self, steps: list[member_session.Step], timeout_s: float
    ) -> list[member_channel.Answer]:
        """Run preparing statements."""

        async def work() -> member_channel.Answer:
            for step in steps:
                if step.kind is member_session.StepKind.RESET:
                    self.value_by_name, self.prepared = {}, set()
                elif step.kind is member_session.StepKind.SET:
                    self.value_by_name[step.name] = step.value
                elif step.shape is not None:
                    self.prepared.add(step.shape)
            return self._answer()

        answer = await self._within(work, timeout_s)
        return [answer] * (1 if answer.fault else len(steps))

    async def run(
        self,
        statement: command.Command,
        shape: command.Shape | None,
        timeout_s: float,
        after: log_position.LogPosition | None = None,
        prove: bool = False,
    ) -> member_channel.Answer:
        """Run a client's statement."""
        return await self._within(
            lambda: self._run(statement, shape, after, prove), timeout_s
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
        wrong = self._refusal(shape, writes, commits, after, prove)
        if wrong is not None:
            return self._answer(wrong)
        if not await member.slot():
            return self._answer(Fault.QUEUE_FULL)
        try:
            await asyncio.sleep(member.work_s)
            wrong = self._refusal(shape, writes, commits, after, prove)
            if wrong is not None:
                return self._answer(wrong)
            self._record(statement, shape)
            if writes:
                self.writes.append((statement.id, statement.text))
            if not await self._finish(writes, commits):
                await asyncio.Event().wait()
        finally:
            await member.free_slot()
        if statement.id in member.lose:
            await asyncio.Event().wait()
        return self._answer(receipt=f"receipt-{statement.id}")

    async def _finish(self, writes: bool, commits: bool) -> bool:
        """Commit what is to be kept; False if no replica receives it."""
        ends = commits or (writes and self.state is State.IDLE)
        if commits:
            self.state, self.transaction = State.IDLE, None
        if not ends:
            return True
        kept, self.writes = self.writes, []
        return not kept or self.member.commit(kept) is not None

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
        needs_lead = writes or prove or self.plain
        if commits and not self.writes:
            needs_lead = False
        if needs_lead and not member.leads:
            if self.state is State.OPEN:
                self.state = State.IDLE if commits else State.FAILED
            return Fault.NOT_PRIMARY
        return None

    def _record(
        self, statement: command.Command, shape: command.Shape | None
    ) -> None:
        member = self.member
        member.group.runs.append(
            Run(
                member=member.id,
                statement=statement.id,
                kind=statement.kind,
                text=statement.text,
                value_by_name=tuple(sorted(self.value_by_name.items())),
                shape=shape,
                transaction=self.transaction,
                position=member.applied(),
                at=asyncio.get_running_loop().time(),
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
            self.state, self.plain = State.OPEN, not read_only
            self.transaction = next(self.member.group.serials)
            self.writes = []
            return self._answer()

        return await self._within(work, timeout_s)

    async def roll_back(self, timeout_s: float) -> member_channel.Answer:
        """End a transaction without effect."""

        async def work() -> member_channel.Answer:
            self.state, self.plain = State.IDLE, False
            self.transaction, self.writes = None, []
            return self._answer()

        return await self._within(work, timeout_s)

    async def prove_primary(self, timeout_s: float) -> member_channel.Answer:
        """Show that the member leads."""

        async def work() -> member_channel.Answer:
            fault = None if self.member.leads else Fault.NOT_PRIMARY
            return self._answer(fault)

        return await self._within(work, timeout_s)

    async def hold_replication(
        self, term: int, timeout_s: float
    ) -> member_channel.MemberStatus | Fault:
        """Stop a replica from receiving."""

        async def work() -> member_channel.Answer:
            if term <= self.member.group.term:
                return self._answer(Fault.OTHER)
            self.member.held_term = term
            return self._answer()

        answer = await self._within(work, timeout_s)
        return answer.fault or self._status()

    async def release_replication(
        self, timeout_s: float
    ) -> member_channel.Answer:
        """Let a replica receive again."""

        async def work() -> member_channel.Answer:
            self.member.held_term = None
            known = self.member.log
            missing = [
                each
                for each in self.member.group.primary.log
                if each not in known
            ]
            self.member.receive(missing)
            return self._answer()

        return await self._within(work, timeout_s)

    async def status(
        self, timeout_s: float
    ) -> member_channel.MemberStatus | Fault:
        """Ask for the member's state."""

        async def work() -> member_channel.Answer:
            return self._answer()

        answer = await self._within(work, timeout_s)
        return answer.fault or self._status()

    def _status(self) -> member_channel.MemberStatus:
        role = (
            member_channel.Role.PRIMARY
            if self.member.leads
            else member_channel.Role.REPLICA
        )
        return member_channel.MemberStatus(
            role, self.member.group.term, self.member.received()
        )


class EmulatedConnector:
    """Connects one daemon to emulated members.

    Parameters
    ==========

    cut : set of MemberId
        Members that this daemon cannot reach.

    """

    def __init__(
        self,
        member_by_id: dict[ids.MemberId, EmulatedMember],
        latency_s: float = 0.0005,
        handshake_s: float = 0.012,
    ):
        self.member_by_id = member_by_id
        self.cut: set[ids.MemberId] = set()
        self.latency_s = latency_s
        self.handshake_s = handshake_s
        self.channels: list[EmulatedChannel] = []

    async def connect(
        self, member: member_channel.MemberAddress, timeout_s: float
    ) -> member_channel.Channel | Fault:
        """Open a connection and check which member answers."""
        target = self.member_by_id.get(member.id)
        if target is None or target.refuses:
            await asyncio.sleep(self.latency_s)
            return Fault.REFUSED
        if target.dark or member.id in self.cut:
            await asyncio.sleep(timeout_s)
            return Fault.SILENT
        await asyncio.sleep(self.handshake_s)
        if len(target.connections) + target.lingering >= (
            target.most_connections
        ):
            return Fault.CONNECTIONS_EXHAUSTED
        channel = EmulatedChannel(target, self.latency_s)
        self.channels.append(channel)
        return channel
