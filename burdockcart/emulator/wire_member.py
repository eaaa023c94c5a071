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
from typing import Any

from burdockcart.connection import member_channel
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
            if each is not member and not each.replication_cut:
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
        connection_limit: int = 16,
    ):
        self.id = ids.MemberId(member)
        self.domain = ids.DomainName(domain)
        self.slots = slots
        self.work_s = work_s
        self.lag_s = lag_s
        self.connection_limit = connection_limit
        self.group: EmulatedGroup
        self.leads = False
        self.log: list[Commit] = []
        self.pending: list[tuple[float, Commit]] = []
        self.held_term: int | None = None
        #: Open channels of all daemons.
        self.connections: set[Any] = set()
        self.running = 0
        #: Faults: no process, no answer at all, receives nothing.
        self.crashed = False
        self.unresponsive = False
        self.replication_cut = False
        #: Statement ids whose answers get lost after they ran.
        self.lost_answer_ids: set[str] = set()
        #: Connections of processes that lost power, not yet dropped.
        self.half_open_connections = 0
        self._slot_free = asyncio.Condition()
        self._waiting = 0
        #: Statements that were refused for a full queue.
        self.refused = 0

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
            or self.replication_cut
            or self.unresponsive
            or self.crashed
            or self.held_term is not None
        )

    def crash(self) -> None:
        """End the process: its connections are reset, new ones refused."""
        self.crashed = True
        for channel in list(self.connections):
            channel.close()

    async def slot(self) -> bool:
        """Wait for a slot; False if the queue is full."""
        async with self._slot_free:
            if self._waiting >= 16:
                self.refused += 1
                return False
            self._waiting += 1
            await self._slot_free.wait_for(lambda: self.running < self.slots)
            self._waiting -= 1
            self.running += 1
        return True

    async def handshake(self, duration_s: float) -> None:
        """Open a connection, which holds a slot for a time."""
        async with self._slot_free:
            await self._slot_free.wait_for(lambda: self.running < self.slots)
            self.running += 1
        try:
            await asyncio.sleep(duration_s)
        finally:
            await self.free_slot()

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
