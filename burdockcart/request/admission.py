"""Admission control of a member: order, concurrency and refusals."""

import contextlib
import random
from typing import Callable
from typing import Iterator

from returns import result

from burdockcart import errors
from burdockcart.request import concurrency
from burdockcart.request import cost
from burdockcart.request import fair_queue

Work = fair_queue.Work

MAX_QUEUED = 1000
#: Seconds reserved before a deadline for the confirmation and the response.
ANSWER_MARGIN_S = 0.02
#: Factor on the expected wait: work that is queued and refused later has
#: waited for nothing, so the queue is kept shorter than the estimate allows.
WAIT_FACTOR = 1.5
#: Range of the random factor on the time after which a caller may retry.
RETRY_JITTER = (0.5, 1.5)
RETRY_MIN_S = 0.05

_Kind = errors.ErrorKind


class Admission:
    """Decides which work runs next on a member.

    Explanation
    ===========

    Long work never takes the last slot; short work may take any.  If work
    of both classes waits, a class without running work goes first, so
    neither starves; otherwise the earlier deadline goes first.

    Parameters
    ==========

    slots : int
        Maximum number of concurrent statements.
    seed : int
        Seed of the jitter in retry times.
    may_start : callable
        Returns whether this daemon may start work on the member now.

    """

    def __init__(
        self,
        slots: int,
        seed: int = 0,
        may_start: Callable[[], bool] = lambda: True,
    ):
        self.slots = slots
        #: Statements of other daemons that the member reported as running.
        self.running_elsewhere = 0
        self._may_start = may_start
        self.costs = cost.Costs()
        self.concurrency = concurrency.ConcurrencyLimit(slots)
        self._running: set[Work] = set()
        self._peaks: list[list[int]] = []
        self._short = fair_queue.FairQueue()
        self._long = fair_queue.FairQueue()
        self._random = random.Random(seed)

    @property
    def running(self) -> int:
        """Return the number of statements that hold a slot."""
        return len(self._running)

    @contextlib.contextmanager
    def peak_running(self) -> Iterator[list[int]]:
        """Track the peak number of running statements in the context."""
        peak = [self.running]
        self._peaks.append(peak)
        try:
            yield peak
        finally:
            self._peaks = [each for each in self._peaks if each is not peak]

    @property
    def queued(self) -> int:
        """Return the number of statements that wait for a slot."""
        return self._short.count + self._long.count

    def counts(self) -> dict[str, int]:
        """Return the numbers of waiting and running statements."""
        return {"waiting": self.queued, "running": self.running}

    @property
    def load(self) -> float:
        """Return the running and waiting statements per slot."""
        return (self.running + self.queued) / self.slots

    def offer(
        self, work: Work, now: float
    ) -> result.Result[None, errors.Failure]:
        """Queue work, or refuse it if it can't meet its deadline."""
        work.cost_s = self.costs.expected_s(work.route, work.kind)
        work.long = self.costs.is_long(work.route, work.kind, work.declared)
        slack_s = self._latest_start(work) - now
        if slack_s < 0:
            text = f"needs {work.cost_s:.3f} s, too long for its deadline"
            return self._refusal(_Kind.DEADLINE_UNREACHABLE, text, -slack_s)
        wait_s = self._expected_wait_s(work, now) * WAIT_FACTOR
        if wait_s > slack_s or self.queued >= MAX_QUEUED:
            text = f"{self.queued} statements are already queued"
            return self._refusal(_Kind.OVERLOADED, text, wait_s - slack_s)
        self._queue(work).push(work)
        return result.Success(None)

    def start_next(self, now: float) -> None:
        """Start waiting work while slots are free; refuse late work."""
        while (queue := self._next_queue(now)) is not None:
            work = queue.pop()
            if work is None:
                return
            if self._latest_start(work) < now:
                work.admitted.set_result(self.deadline_refusal(work))
                continue
            self._running.add(work)
            work.started_at, work.running_at_start = now, self.running
            for peak in self._peaks:
                peak[0] = max(peak[0], self.running)
            work.admitted.set_result(True)

    def deadline_refusal(self, work: Work) -> errors.Failure:
        """Return the failure of work that can no longer meet its deadline."""
        text = "can no longer meet its deadline after waiting for a slot"
        refused = self._refusal(_Kind.DEADLINE_UNREACHABLE, text, 0.0)
        return refused.failure()

    def can_finish(self, work: Work, now: float) -> bool:
        """Return whether work that starts now meets its deadline."""
        return self._latest_start(work) >= now

    def wait_limit_s(self, work: Work, now: float) -> float:
        """Return how much longer work may wait for its slot."""
        return max(self._latest_start(work) - now, 0.0)

    def discard(self, work: Work, now: float) -> None:
        """Drop work from its queue, or free its slot if it was not sent."""
        if work.queued:
            self._queue(work).withdraw(work)
        elif work in self._running:
            self._running.discard(work)
            self.start_next(now)

    def finished(self, work: Work, duration_s: float, now: float) -> None:
        """Free the slot of work that ran for ``duration_s``."""
        slowdown = self.costs.learn(
            work.route, work.kind, duration_s, alone=work.running_at_start == 1
        )
        if not work.long and slowdown is not None:
            self.concurrency.observe(work.running_at_start, slowdown)
        self._running.discard(work)
        self.start_next(now)

    def _latest_start(self, work: Work) -> float:
        needed_s = self.costs.high_estimate_s(work.route, work.kind)
        return work.deadline - needed_s - ANSWER_MARGIN_S

    def _queue(self, work: Work) -> fair_queue.FairQueue:
        return self._long if work.long else self._short

    def _long_running(self, now: float) -> int:
        return sum(
            work.long or now - work.started_at > cost.SHORT_BOUND_S
            for work in self._running
        )

    def _next_queue(self, now: float) -> fair_queue.FairQueue | None:
        free = self.slots - self.running_elsewhere
        limit = min(self.concurrency.limit, free)
        if self.running >= limit or not self.queued or not self._may_start():
            return None
        long = self._long_running(now)
        if not self._long.count or long >= max(limit - 1, 1):
            return self._short if self._short.count else None
        if not self._short.count:
            return self._long
        if limit > 1 and self.running == long:
            return self._short
        if limit > 1 and not long:
            return self._long
        short_first = (
            self._short.first_deadline() <= self._long.first_deadline()
        )
        return self._short if short_first else self._long

    def _expected_wait_s(self, work: Work, now: float) -> float:
        """Return the estimated wait of new work for its slot."""
        limit = self.concurrency.limit
        long = self._long_running(now)
        if work.long:
            slots = max(limit - 1, 1) if not self._short.count else 1
            free = long < slots and self.running < limit
        else:
            slots = max(limit - long, 1)
            free = self.running < limit
        queue = self._queue(work)
        if free and not queue.count:
            return 0.0
        remaining_s = sum(
            max(each.cost_s - (now - each.started_at), 0.0)
            for each in self._running
            if each.long == work.long
        )
        return (queue.ahead_s(work) + remaining_s) / slots

    def _refusal(
        self, kind: errors.ErrorKind, text: str, excess_s: float
    ) -> result.Result[None, errors.Failure]:
        retry_s = max(excess_s, RETRY_MIN_S)
        retry_s *= self._random.uniform(*RETRY_JITTER)
        return result.Failure(errors.Failure(kind, text, int(retry_s * 1000)))
