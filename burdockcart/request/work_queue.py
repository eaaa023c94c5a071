"""Statements that wait for a connection to a member.

Explanation
===========

Load pattern: arrivals of many sessions swing by half within seconds, a few
statements take ten times as long as the rest, and a lost member takes a
third of the slots.  Urgent routes are served first; within a priority, work
that can still meet its latency goal goes before work that cannot, so that a
backlog does not make everything late.  While a backlog lasts, the newest work
goes first: serving the oldest would answer each just after its goal.  Work
that cannot get a connection before its limit is refused when it arrives.

"""

import asyncio

import msgspec

from burdockcart import ids
from burdockcart.request import command
from burdockcart.request import log_position

#: Weight of a new holding time in the moving mean.
WEIGHT = 0.1
#: Holding time of a connection assumed before the first one ended, seconds;
#: the mean work of the dearest route on the users' sheets.
INITIAL_HOLD_S = 0.026

#: Time for which work has been waiting without a pause from which on it counts
#: as a backlog, in seconds; half of the shortest latency goal on the users'
#: sheets (100 ms).
BACKLOG_AFTER_S = 0.05


class Work(msgspec.Struct, eq=False, kw_only=True):
    """A statement or transaction that needs a connection.

    Parameters
    ==========

    goal_at : float
        Time by which it should be answered.
    give_up_at : float
        Time at which waiting for a connection ends.
    position : LogPosition or None
        What the member's log must hold; None asks for the primary.
    position_age_s : float
        Time since that position was known at the primary.
    excluded : set of MemberId
        Members that refused it or failed it.
    connection : Future
        Gets the connection, or the failure that ends the wait.

    """

    priority: int
    goal_at: float
    give_up_at: float
    connection: asyncio.Future
    position: log_position.LogPosition | None = None
    position_age_s: float = 0.0
    excluded: set[ids.MemberId] = msgspec.field(default_factory=set)
    value_by_name: dict[str, str] = msgspec.field(default_factory=dict)
    shape: command.Shape | None = None

    @property
    def primary_only(self) -> bool:
        """Whether only the primary can run it."""
        return self.position is None


class WorkQueue:
    """Waiting work of one group, and the estimate of how long it waits."""

    def __init__(self) -> None:
        self._waiting: list[Work] = []
        self._hold_s = INITIAL_HOLD_S
        #: Since when work has been waiting without a pause.
        self._waiting_since: float | None = None

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, work: Work, now: float = 0.0) -> None:
        """Add work."""
        if not self._waiting:
            self._waiting_since = now
        self._waiting.append(work)

    def remove(self, work: Work) -> None:
        """Remove work; it may have left already."""
        if work in self._waiting:
            self._waiting.remove(work)

    def has_backlog(self, now: float) -> bool:
        """Return whether more arrives than can be served."""
        return (
            bool(self._waiting)
            and self._waiting_since is not None
            and now - self._waiting_since >= BACKLOG_AFTER_S
        )

    def in_order(self, now: float, running_s: float = 0.0) -> list[Work]:
        """Return the work in the order in which it is to be served.

        Parameters
        ==========

        running_s : float
            Time that a member needs for a statement; work with less left
            until its goal cannot be in time.

        """
        newest_first = -1.0 if self.has_backlog(now) else 1.0
        return sorted(
            self._waiting,
            key=lambda work: (
                work.priority,
                work.goal_at < now + running_s,
                newest_first * work.goal_at,
            ),
        )

    def record_hold_time(self, duration_s: float) -> None:
        """Learn for how long a connection was held by one piece of work."""
        self._hold_s += WEIGHT * (duration_s - self._hold_s)

    def wait_s(self, work: Work, connections: int) -> float:
        """Return the estimated wait of new work.

        Parameters
        ==========

        connections : int
            Connections of this daemon that could serve it.

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
        ahead = sum(
            other.priority <= work.priority
            and (other.primary_only or not work.primary_only)
            for other in self._waiting
        )
        return ahead * self._hold_s / max(connections, 1)
