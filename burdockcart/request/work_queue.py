"""Statements that wait for a connection to a member.

Explanation
===========

Load pattern: the arrival rate of many sessions varies by half within seconds,
a few statements take ten times as long as the rest, and the loss of a member
removes a third of the slots.  Work is served by the priority of its route;
within a priority, work that can still meet its latency goal goes before work
that cannot, so that a backlog does not make everything late.  While a backlog
lasts, the newest work goes first: in the order of arrival, every answer would
come just after its goal.  Work that cannot get a connection before its limit
is refused when it arrives.  Among work of one priority that can meet its goal,
and among that which cannot, the accounts of clients take turns.

"""

import asyncio
import itertools

import msgspec

from burdockcart import ids
from burdockcart.request import account_shares
from burdockcart.request import command
from burdockcart.request import log_position

#: Weight of a new hold time in the moving average.
WEIGHT = 0.1
#: Hold time of a connection assumed before the first one was measured, in
#: seconds; the mean running time on the most expensive route.
INITIAL_HOLD_S = 0.026

#: Time after which a queue that was never empty meanwhile counts as a backlog,
#: in seconds; half of the shortest latency goal (100 ms).
BACKLOG_AFTER_S = 0.05


class Work(msgspec.Struct, eq=False, kw_only=True):
    """A statement or transaction that needs a connection.

    Parameters
    ==========

    goal_at : float
        Time by which it should be answered, to meet the latency goal.
    give_up_at : float
        Time at which waiting for a connection ends.
    position : LogPosition or None
        Position that the member's log must hold; None requires the primary.
    position_age_s : float
        Seconds since the primary was known to hold that position.
    member : MemberId or None
        The only member that may run it; for a relayed statement, whose
        sender has chosen the member.
    excluded : set of MemberId
        Members that refused it or failed to run it.
    connection : Future
        Resolves to the connection, or to the failure that ends the wait.
    account : AccountName or None
        Client account that it belongs to.
    held_back : bool
        Whether it waits because evidence says that no member can run it now.

    """

    priority: int
    goal_at: float
    give_up_at: float
    connection: asyncio.Future
    position: log_position.LogPosition | None = None
    position_age_s: float = 0.0
    member: ids.MemberId | None = None
    excluded: set[ids.MemberId] = msgspec.field(default_factory=set)
    value_by_name: dict[str, str] = msgspec.field(default_factory=dict)
    shape: command.Shape | None = None
    account: ids.AccountName | None = None
    held_back: bool = False

    @property
    def primary_only(self) -> bool:
        """Whether only the primary can run it."""
        return self.position is None and self.member is None

    def competes_with(self, other: "Work") -> bool:
        """Return whether other work may need the same connections."""
        if None not in (self.member, other.member):
            return self.member == other.member
        return self.primary_only or not other.primary_only


class WorkQueue:
    """Queue of one group, with an estimate of the waiting time."""

    def __init__(self) -> None:
        self._waiting: list[Work] = []
        self._hold_s = INITIAL_HOLD_S
        #: Slot time of the accounts; unused without accounts.
        self.shares = account_shares.AccountShares()
        #: Time since which the queue has not been empty.
        self._waiting_since: float | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, work: Work) -> bool:
        return work in self._waiting

    def push(self, work: Work, now: float = 0.0) -> None:
        """Add work."""
        if not self._waiting:
            self._waiting_since = now
        self._waiting.append(work)

    def remove(self, work: Work) -> None:
        """Remove work if it is still queued."""
        if work in self._waiting:
            self._waiting.remove(work)

    def has_backlog(self, now: float) -> bool:
        """Return whether work arrives faster than it is served."""
        return (
            bool(self._waiting)
            and self._waiting_since is not None
            and now - self._waiting_since >= BACKLOG_AFTER_S
        )

    def in_order(self, now: float, running_s: float = 0.0) -> list[Work]:
        """Return the work in the order of service.

        Parameters
        ==========

        running_s : float
            Running time of a statement on a member; work with less time
            left cannot meet its goal.

        """
        if len(self._waiting) < 2:
            return list(self._waiting)
        newest_first = -1.0 if self.has_backlog(now) else 1.0

        def urgency(work: Work) -> tuple[int, bool]:
            return work.priority, work.goal_at < now + running_s

        ordered = sorted(
            self._waiting,
            key=lambda work: (*urgency(work), newest_first * work.goal_at),
        )
        if not self._has_accounts():
            return ordered
        return [
            work
            for _, same in itertools.groupby(ordered, urgency)
            for work in self.shares.in_order(list(same), self._hold_s, now)
        ]

    def _has_accounts(self) -> bool:
        return any(work.account is not None for work in self._waiting)

    def record_start(self, work: Work, now: float) -> float:
        """Record that work gets a connection; return the expected hold time.

        The time is in seconds, for :meth:`record_end`.
        """
        if work.account is not None:
            self.shares.begin(work.account, self._hold_s, now)
        return self._hold_s

    def record_end(
        self,
        account: ids.AccountName | None,
        expected_s: float,
        took_s: float,
        now: float,
    ) -> None:
        """Record that work of an account has returned its connection."""
        if account is not None:
            self.shares.end(account, expected_s, took_s, now)

    def record_hold_time(self, duration_s: float) -> None:
        """Record for how long work held a connection."""
        self._hold_s += WEIGHT * (duration_s - self._hold_s)

    def wait_s(self, work: Work, connections: int, now: float = 0.0) -> float:
        """Return the estimated waiting time of new work.

        Parameters
        ==========

        connections : int
            Statements of this daemon that usable members run at a time.

        Examples
        ========

        >>> from burdockcart.request import work_queue
        >>> queue = work_queue.WorkQueue()
        >>> work = work_queue.Work(
        ...     priority=1, goal_at=1.0, give_up_at=2.0, connection=None)
        >>> queue.wait_s(work, 2)
        0.0
        >>> for _ in range(10):
        ...     queue.push(work)
        >>> round(queue.wait_s(work, 2), 2)
        0.13

        """
        if not self._waiting:
            return 0.0
        competing = [
            other
            for other in self._waiting
            if other.priority <= work.priority and other.competes_with(work)
        ]
        ahead = len(competing)
        if work.account is not None or self._has_accounts():
            same = [
                other for other in competing if other.priority == work.priority
            ]
            ahead -= len(same)
            ahead += self.shares.ahead(work, same, self._hold_s, now)
        return ahead * self._hold_s / max(connections, 1)
