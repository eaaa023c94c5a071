"""Policies."""

import math
from burdockcart.measure import queue_replay
from burdockcart.request import member_limit
from burdockcart.request import queue_admission
from burdockcart.request import work_queue


class ArrivalOrder(work_queue.WorkQueue):
    """First come, first served."""

    def in_order(self, now: float, running_s: float = 0.0) -> list[work_queue.Work]:
        return list(self._waiting)


class FormerLimit(member_limit.MemberLimit):
    """Limit that only refusals decrease."""

    def record_answer(
        self, took_s: float | None = None, now: float = 0.0
    ) -> None:
        """Record that the member answered a statement."""
        super().record_answer()


class Former:
    def limit(self):
        return FormerLimit(queue_replay.CONNECTIONS)

    def queue(self):
        return work_queue.WorkQueue()

    def admission(self, queue, seed):
        return queue_admission.Admission(queue, seed)


class Fcfs(Former):
    def queue(self):
        return ArrivalOrder()

class Delay(Former):
    def limit(self):
        return member_limit.MemberLimit(queue_replay.CONNECTIONS, 1 + math.ceil(queue_replay.SLOTS/queue_replay.HOLDERS))
