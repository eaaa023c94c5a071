"""In-memory members of a group that speak the gateway's channel interface.

Explanation
===========

They keep their own record of what ran, which tests compare with what
clients were told.  Time comes from the event loop, so a test on a paused
loop controls it.

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

#: Time until an old primary that is not deposed notices a new one that it can
#: reach, in seconds.
DEPOSED_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class Commit:
    """One commit of the log: writes by statement id and text."""

    position: log_position.LogPosition
    writes: tuple[tuple[str, str], ...]
    at: float


@dataclasses.dataclass(frozen=True)
class Run:
    """One execution of a statement, as the member recorded it."""

    member: str
    statement: str
    kind: command.CommandKind
    text: str
    value_by_name: tuple[tuple[str, str], ...]
    shape: command.Shape | None
    transaction: int | None
    position: log_position.LogPosition
    at: float
    #: Account that the connection was opened for.
    account: ids.AccountName | None = None


class EmulatedGroup:
    """Members with one log each; the primary's commits reach the others.

    Parameters
    ==========

    members : list of EmulatedMember
        The first one is the primary.
    deposes : bool
        Whether a promotion ends the lead of the old primary.  Otherwise it
        goes on until it is demoted, or for ``DEPOSED_AFTER_S`` once commits
        of the new primary reach it.

    """

    def __init__(
        self,
        members: list["EmulatedMember"],
        synchronous: bool = True,
        promotion_s: float = 0.6,
        deposes: bool = True,
    ):
        self.member_by_id = {member.id: member for member in members}
        self.synchronous = synchronous
        self.promotion_s = promotion_s
        self.deposes = deposes
        self.runs: list[Run] = []
        self.acknowledged: list[log_position.LogPosition] = []
        self.serials = itertools.count(1)
        #: Set, and replaced, whenever a member receives commits.
        self.receipt = asyncio.Event()
        self.term = 1
        members[0].leads = True
        for member in members:
            member.group = self

    @property
    def primary(self) -> "EmulatedMember":
        """The member that leads the newest term."""
        return max(
            (each for each in self.member_by_id.values() if each.leads),
            key=lambda each: each.term,
        )

    def promote(self, member: "EmulatedMember") -> None:
        """Make a member the primary; others drop what it lacks."""
        self.term += 1
        member.leads, member.term, member.held_term = True, self.term, None
        for each in self.member_by_id.values():
            if each is member:
                continue
            if not each.leads or self.deposes:
                each.follow(member)
            elif not each.replication_cut:
                asyncio.get_running_loop().call_later(
                    DEPOSED_AFTER_S, each.follow, member
                )

    def hears_of(self, member: "EmulatedMember") -> bool:
        """Return whether replication reaches a member."""
        return not (member.replication_cut or member.crashed)


class EmulatedMember:
    """One member: slots, a queue, a log, and the faults of a test.

    Parameters
    ==========

    work_s : float
        Seconds that a statement holds a slot.
    lag_s : float
        Seconds until reads see a received commit.

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
        #: Newest term that it knows; the one that it leads as a primary.
        self.term = 1
        self.log: list[Commit] = []
        self.pending: list[tuple[float, Commit]] = []
        self.held_term: int | None = None
        #: Open channels of all daemons.
        self.connections: set[Any] = set()
        self.running = 0
        #: Faults: the process is gone, no request is answered, and the
        #: member receives no commits.
        self.crashed = False
        self.unresponsive = False
        self.replication_cut = False
        #: Statements that run but whose answers are lost.
        self.lost_answer_ids: set[str] = set()
        self.loses_answers = False
        #: Connections of clients that lost power, which still count.
        self.half_open_connections = 0
        self._slot_free = asyncio.Condition()
        self._waiting = 0
        #: Statements refused because the queue was full.
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
        self.pending = [each for each in self.pending if each[0] > now]
        # Commits become visible in the order of the log.
        seen = len(self.log) - len(self.pending)
        if not seen:
            return log_position.LogPosition(1, 0)
        return self.log[seen - 1].position

    def receive(self, commits: list[Commit]) -> None:
        """Append commits of the primary to the log."""
        due = asyncio.get_running_loop().time() + self.lag_s
        self.log += commits
        self.pending += [(due, commit) for commit in commits]
        self.group.receipt.set()
        self.group.receipt = asyncio.Event()

    def follow(self, primary: "EmulatedMember") -> None:
        """Become a replica of a primary; drop the commits that it lacks."""
        if not primary.leads or primary.term < self.term:
            return
        self.leads, self.held_term = False, None
        kept = {commit.position for commit in primary.log}
        self.pending = [
            (due, commit)
            for due, commit in self.pending
            if commit.position in kept
        ]
        self.log = [commit for commit in self.log if commit.position in kept]
        if self.group.hears_of(self):
            self.term = primary.term
            held = {commit.position for commit in self.log}
            self.receive(
                [
                    commit
                    for commit in primary.log
                    if commit.position not in held
                ]
            )

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

    def catch_up(self) -> None:
        """Receive what the primary has, as far as commits reach the member."""
        primary = self.group.primary
        if not self.receives or primary.crashed:
            return
        held = {commit.position for commit in self.log}
        self.receive(
            [each for each in primary.log if each.position not in held]
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
            try:
                await self._slot_free.wait_for(
                    lambda: self.running < self.slots
                )
            finally:
                self._waiting -= 1
            self.running += 1
        return True

    async def handshake(self, duration_s: float) -> None:
        """Open a connection, which holds a slot meanwhile."""
        async with self._slot_free:
            await self._slot_free.wait_for(lambda: self.running < self.slots)
            self.running += 1
        try:
            await asyncio.sleep(duration_s)
        finally:
            await self.free_slot()

    async def free_slot(self) -> None:
        """Release a slot."""
        async with self._slot_free:
            self.running -= 1
            self._slot_free.notify_all()

    async def await_receipt(self, position: log_position.LogPosition) -> None:
        """Wait until a replica has received a commit, and acknowledge it."""
        while not any(
            commit.position == position
            for each in self.group.member_by_id.values()
            if each is not self
            for commit in reversed(each.log)
        ):
            await self.group.receipt.wait()
        self.group.acknowledged.append(position)

    def commit(self, writes: list[tuple[str, str]]) -> Commit | None:
        """Append a commit; None if no replica can receive it at once."""
        receivers = [
            each
            for each in self.group.member_by_id.values()
            if each is not self and each.receives and each.term <= self.term
        ]
        commit = Commit(
            log_position.LogPosition(self.term, self.received().number + 1),
            tuple(writes),
            asyncio.get_running_loop().time(),
        )
        self.log.append(commit)
        for each in receivers:
            each.term = self.term
            each.receive([commit])
        if self.group.synchronous and not receivers:
            return None
        self.group.acknowledged.append(commit.position)
        return commit
