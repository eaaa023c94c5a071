"""Refuses work that a queue cannot serve in time."""

import random
import msgspec

from burdockcart.request import work_queue


class Refusal(msgspec.Struct, frozen=True):
    """Work that is refused, and when capacity is expected, in seconds."""

    retry_s: float


class Admission:
    """Former decisions."""

    def __init__(self, queue: work_queue.WorkQueue, seed: int = 0):
        self._queue = queue
        self._random = random.Random(seed)

    def refusal(
        self,
        work: work_queue.Work,
        connections: int,
        now: float,
        free: bool = False,
    ) -> Refusal | None:
        wait_s = self._queue.wait_s(work, connections, now)
        left_s = work.give_up_at - now
        if wait_s <= left_s:
            return None
        return Refusal(wait_s - left_s)

    def expired(self, now: float, running_s: float) -> list[work_queue.Work]:
        return []

    def record_hold_time(self, work, held_s, served):
        self._queue.record_hold_time(held_s)
