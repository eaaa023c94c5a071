"""Policies."""

from burdockcart.request import queue_admission
from burdockcart.request import work_queue


class ArrivalOrder(work_queue.WorkQueue):
    """First come, first served."""

    def in_order(self, now: float, running_s: float = 0.0) -> list[work_queue.Work]:
        return list(self._waiting)


class Former:
    def queue(self):
        return work_queue.WorkQueue()

    def admission(self, queue, seed):
        return queue_admission.Admission(queue, seed)


class Fcfs(Former):
    def queue(self):
        return ArrivalOrder()
