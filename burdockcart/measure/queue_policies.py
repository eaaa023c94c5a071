"""Policies that the replay of queues compares."""

import itertools
import math
from typing import Callable

import msgspec

from burdockcart.measure import queue_loads
from burdockcart.measure import queue_replay
from burdockcart.request import member_limit
from burdockcart.request import queue_admission
from burdockcart.request import work_queue


class ArrivalOrder(work_queue.WorkQueue):
    """First come, first served."""

    def in_order(
        self, now: float, running_s: float = 0.0
    ) -> list[work_queue.Work]:
        """Return the work in the order of arrival."""
        return list(self._waiting)


class LateLast(work_queue.WorkQueue):
    """Late work of any priority after all work that can be in time."""

    def in_order(
        self, now: float, running_s: float = 0.0
    ) -> list[work_queue.Work]:
        """Return the work in the order of service."""

        def late(work: work_queue.Work) -> bool:
            return work.goal_at < now + running_s

        ordered = super().in_order(now, running_s)
        return sorted(ordered, key=late)


class FormerAdmission(queue_admission.Admission):
    """Refuses at the estimate, with retry times that are not spread."""

    def refusal(
        self,
        work: work_queue.Work,
        connections: int,
        now: float,
        is_free: Callable[[], bool],
    ) -> queue_admission.Refusal | None:
        """Return why work may not join the queue, or None."""
        excess_s = self._queue.wait_s(work, connections, now) - (
            work.give_up_at - now
        )
        return queue_admission.Refusal(excess_s) if excess_s > 0.0 else None

    def retry_s(
        self, work: work_queue.Work, connections: int, now: float
    ) -> float:
        """Return no retry time."""
        return 0.0


class EarlyRefusal(queue_admission.Admission):
    """Also refuses queued work that is not expected to be served.

    The members may get ``connections`` statements at a time.
    """

    _connections = 1

    def refusal(
        self,
        work: work_queue.Work,
        connections: int,
        now: float,
        is_free: Callable[[], bool],
    ) -> queue_admission.Refusal | None:
        """Return why work may not join the queue, or None."""
        if not work.primary_only:
            self._connections = connections
        return super().refusal(work, connections, now, is_free)

    def hopeless(self, now: float) -> list[work_queue.Work]:
        """Return the work that is not expected to be served."""
        found: list[work_queue.Work] = []
        ahead = itertools.count()
        pace_s = self._queue._hold_s / max(self._connections, 1)
        pace_s /= queue_admission.WAIT_FACTOR
        place = 0
        for work in self._queue.in_order(now):
            if now + place * pace_s > work.give_up_at:
                found.append(work)
            else:
                place = next(ahead) + 1
        return found


class FormerLimit(member_limit.MemberLimit):
    """Limit that only refusals decrease."""

    def record_answer(
        self, took_s: float | None = None, now: float = 0.0
    ) -> None:
        """Record that the member answered a statement."""
        super().record_answer()


def _limit(
    kind: type[member_limit.MemberLimit],
) -> Callable[[], member_limit.MemberLimit]:
    needed = math.ceil(queue_loads.SLOTS / queue_replay.HOLDERS) + 2
    return lambda: kind(queue_replay.CONNECTIONS, needed)


class Policy(msgspec.Struct, frozen=True, kw_only=True):
    """Decisions of all nodes; see :class:`queue_replay.Policy`."""

    name: str
    queue: type[work_queue.WorkQueue] = work_queue.WorkQueue
    admission: type[queue_admission.Admission] = queue_admission.Admission
    limit: Callable[[], member_limit.MemberLimit] = _limit(
        member_limit.MemberLimit
    )
    counts_all: bool = False


FORMER = Policy(
    name="former",
    admission=FormerAdmission,
    limit=_limit(FormerLimit),
    counts_all=True,
)
CURRENT = Policy(name="current")
POLICIES = (
    msgspec.structs.replace(FORMER, name="arrival", queue=ArrivalOrder),
    FORMER,
    msgspec.structs.replace(FORMER, name="limit", limit=CURRENT.limit),
    msgspec.structs.replace(
        FORMER,
        name="admission",
        admission=CURRENT.admission,
        counts_all=False,
    ),
    CURRENT,
    Policy(name="late last", queue=LateLast),
    Policy(name="early refusal", admission=EarlyRefusal),
)
