"""Refuses work on arrival that a queue is not expected to serve.

Explanation
===========

Load pattern: hundreds of statements arrive at once and are refused.  Clients
that are all told the same time come back at once and are refused again, so the
retry time is spread by a random factor.

The estimate of the wait counts all work of at least the same priority as
ahead.  But in a backlog the newest work goes first, and some of what waits
gives up, so work is refused only when the estimate exceeds its limit by a
factor: refusing at the estimate itself served less in the replay
(docs/design/queue-policies.md).
"""

import random
from typing import Callable

from burdockcart.request import work_queue

#: Factor by which the estimated wait may exceed the time that is left.
WAIT_FACTOR = 2.0
#: Shortest retry time before it is spread, in seconds; two statements.
RETRY_MIN_S = 0.05
#: Range of the random factor on a retry time.  It never becomes shorter than
#: the time at which capacity is expected.
RETRY_JITTER = (1.0, 2.0)


class Admission:
    """Decides whether work may join a queue.

    Parameters
    ==========

    seed : int or str
        Seed of the jitter in retry times.

    Examples
    ========

    >>> from burdockcart.request import queue_admission
    >>> from burdockcart.request import work_queue
    >>> queue = work_queue.WorkQueue()
    >>> work = work_queue.Work(
    ...     priority=1, goal_at=0.1, give_up_at=0.1, connection=None)
    >>> for _ in range(100):
    ...     queue.push(work)
    >>> admission = queue_admission.Admission(queue)
    >>> admission.refusal(work, 2, 0.0, lambda: False) > 1.2
    True
    >>> admission.refusal(work, 2, 0.0, lambda: True) is None
    True

    """

    def __init__(self, queue: work_queue.WorkQueue, seed: int | str = 0):
        self._queue = queue
        self._random = random.Random(seed)

    def refusal(
        self,
        work: work_queue.Work,
        connections: int,
        now: float,
        is_free: Callable[[], bool],
    ) -> float | None:
        """Return when to try again if work may not join the queue.

        In seconds; None if it may.

        Parameters
        ==========

        connections : int
            Statements that the usable members may get at the same time.
        is_free : callable
            Returns whether a connection is free for the work, which is then
            not refused, whatever waits for other members.

        """
        wait_s = self._queue.wait_s(work, connections, now)
        left_s = work.give_up_at - now
        if wait_s <= WAIT_FACTOR * left_s or is_free():
            return None
        return self._spread(wait_s - left_s)

    def retry_s(
        self, work: work_queue.Work, connections: int, now: float
    ) -> float:
        """Return the retry time of work that has waited in vain."""
        return self._spread(self._queue.wait_s(work, connections, now))

    def _spread(self, wait_s: float) -> float:
        longest = self._random.uniform(*RETRY_JITTER)
        return max(wait_s, RETRY_MIN_S) * longest
