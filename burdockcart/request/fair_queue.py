"""Queue of one cost class: fair between callers, by deadline within each."""

import asyncio
import collections
import heapq
import itertools

import msgspec

from burdockcart import ids
from burdockcart.version import rows

#: Minimum service time credited to a caller per turn, in seconds.
QUANTUM_MIN_S = 0.001
#: Weight of a new cost in the moving average that sets the quantum.
WEIGHT = 0.1


class Work(msgspec.Struct, eq=False):
    """A statement that waits for a slot or holds one.

    ``deadline`` is a time of the event loop's clock; ``admitted`` resolves
    to True when the work may start, or to the failure that refuses it.
    """

    caller: ids.CallerId
    route: ids.RouteName
    kind: str
    deadline: float
    admitted: asyncio.Future
    declared: rows.Cost = rows.Cost.AUTO
    cost_s: float = 0.0
    long: bool = False
    queued: bool = False
    started_at: float = 0.0
    running_at_start: int = 0


class FairQueue:
    """Deficit round robin between callers.

    Explanation
    ===========

    The quantum of a turn is the moving average of the cost of queued work,
    in seconds of service.  A caller whose next work costs more than its
    deficit waits for its next turn, so callers get equal service time, not
    equal numbers of statements.
    """

    def __init__(self) -> None:
        self.count = 0
        self.cost_s = 0.0
        self._quantum_s = QUANTUM_MIN_S
        self._heap_by_caller: collections.OrderedDict[
            ids.CallerId, list[tuple[float, int, Work]]
        ] = collections.OrderedDict()
        self._deficit_by_caller: dict[ids.CallerId, float] = {}
        self._serials = itertools.count()

    def push(self, work: Work) -> None:
        """Add work, ordered by its deadline."""
        heap = self._heap_by_caller.setdefault(work.caller, [])
        heapq.heappush(heap, (work.deadline, next(self._serials), work))
        work.queued = True
        self.count += 1
        self.cost_s += work.cost_s
        self._quantum_s += WEIGHT * (work.cost_s - self._quantum_s)
        self._quantum_s = max(self._quantum_s, QUANTUM_MIN_S)

    def withdraw(self, work: Work) -> None:
        """Remove work; its heap item is dropped when it reaches the top."""
        work.queued = False
        self.count -= 1
        self.cost_s = max(self.cost_s - work.cost_s, 0.0)

    def pop(self) -> Work | None:
        """Remove and return the next work; None if the queue is empty."""
        while self._heap_by_caller:
            caller, heap = next(iter(self._heap_by_caller.items()))
            if not self._drop_withdrawn(caller, heap):
                continue
            work = heap[0][2]
            deficit = self._deficit_by_caller.get(caller, 0.0)
            if deficit < work.cost_s and len(self._heap_by_caller) > 1:
                self._deficit_by_caller[caller] = deficit + self._quantum_s
                self._heap_by_caller.move_to_end(caller)
                continue
            self._deficit_by_caller[caller] = max(deficit - work.cost_s, 0.0)
            heapq.heappop(heap)
            self.withdraw(work)
            self._drop_withdrawn(caller, heap)
            return work
        return None

    def first_deadline(self) -> float:
        """Return the earliest deadline of the queued work."""
        return min(
            (
                heap[0][0]
                for caller, heap in list(self._heap_by_caller.items())
                if self._drop_withdrawn(caller, heap)
            ),
            default=float("inf"),
        )

    def ahead_s(self, work: Work) -> float:
        """Return the service time that is due before new work runs.

        Each other caller gets as much as this caller needs for its own
        earlier work, but in total no more than is queued.
        """
        heap = self._heap_by_caller.get(work.caller, [])
        own_s = work.cost_s + sum(
            each.cost_s
            for deadline, _, each in heap
            if each.queued and deadline <= work.deadline
        )
        callers = len(self._heap_by_caller) + (not heap)
        return min(self.cost_s, own_s * callers)

    def _drop_withdrawn(
        self, caller: ids.CallerId, heap: list[tuple[float, int, Work]]
    ) -> bool:
        while heap and not heap[0][2].queued:
            heapq.heappop(heap)
        if not heap:
            self._heap_by_caller.pop(caller, None)
            self._deficit_by_caller.pop(caller, None)
        return bool(heap)
