"""Policies that the replay of queues compares."""

from typing import Callable

import msgspec

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
    ) -> float | None:
        """Return when to try again, or None."""
        excess_s = self._queue.wait_s(work, connections, now) - (
            work.give_up_at - now
        )
        return excess_s if excess_s > 0.0 else None

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
    ) -> float | None:
        """Return when to try again, or None."""
        if not work.primary_only:
            self._connections = connections
        return super().refusal(work, connections, now, is_free)

    def hopeless(self, now: float) -> list[work_queue.Work]:
        """Return the work that is not expected to be served."""
        found: list[work_queue.Work] = []
        pace_s = self._queue._hold_s / max(self._connections, 1)
        pace_s /= queue_admission.WAIT_FACTOR
        ahead = 0
        for work in self._queue.in_order(now):
            if now + ahead * pace_s > work.give_up_at:
                found.append(work)
            else:
                ahead += 1
        return found


class FormerLimit(member_limit.MemberLimit):
    """Limit that only refusals decrease."""

    def record_answer(
        self, took_s: float | None = None, now: float = 0.0
    ) -> None:
        """Record that the member answered a statement."""
        super().record_answer()


FORMER = queue_replay.Policy(
    name="former",
    admission=FormerAdmission,
    limit=queue_replay.limit_of(FormerLimit),
    counts_all=True,
)
CURRENT = queue_replay.Policy(name="current")
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
    queue_replay.Policy(name="late last", queue=LateLast),
    queue_replay.Policy(name="early refusal", admission=EarlyRefusal),
)
