"""Which work runs on a member, in which order, and what is refused."""

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
#: Time kept before a deadline for the confirmation and the way back.
ANSWER_MARGIN_S = 0.02
#: Factor on the expected wait: work that is let in and refused later has
#: waited in vain, so the queue is kept shorter than the exact estimate.
WAIT_FACTOR = 1.5
#: Least and greatest factor on the time after which a caller may retry.
RETRY_JITTER = (0.5, 1.5)
RETRY_MIN_S = 0.05

_Kind = errors.ErrorKind


class Admission:
    """Decides which work runs next on a member.

    Explanation
    ===========

    Long work never takes the last slot; short work may take any.  If work
    of both classes waits, a class that runs nothing goes first, so neither
    starves; otherwise the earlier deadline decides.

    Parameters
    ==========

    slots : int
        Most statements that run at a time.
    seed : int
        Seed of the jitter in retry times.
    may_start : callable
        Whether this daemon may start work on the member now.

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
        """Give the most statements that hold a slot while this is open."""
        peak = [self.running]
        self._peaks.append(peak)
        try:
            yield peak
        finally:
            self._peaks = [each for each in self._peaks if each is not peak]

    @property
    def queued(self) -> int:
        """Return the number of statements that wait."""
        return self._short.count + self._long.count

    def counts(self) -> dict[str, int]:
        """Return the statements that wait and that run."""
        return {"waiting": self.queued, "running": self.running}

    @property
    def load(self) -> float:
        """Return what runs or waits as a multiple of the slots."""
        return (self.running + self.queued) / self.slots

    def offer(
        self, work: Work, now: float
    ) -> result.Result[None, errors.Failure]:
        """Queue work, or refuse it if it can't meet its deadline."""
        work.cost_s = self.costs.expected_s(work.route, work.kind)
        work.long = self.costs.is_long(work.route, work.kind, work.declared)
        late_s = self._latest_start(work) - now
        if late_s < 0:
            text = f"needs {work.cost_s:.3f} s, more than its deadline leaves"
            return self._refusal(_Kind.DEADLINE_UNREACHABLE, text, -late_s)
        wait_s = self._wait_s(work, now) * WAIT_FACTOR
        if wait_s > late_s or self.queued >= MAX_QUEUED:
            text = f"{self.queued} statements wait before it"
            return self._refusal(_Kind.OVERLOADED, text, wait_s - late_s)
        self._queue(work).push(work)
        return result.Success(None)

    def start_next(self, now: float) -> None:
        """Admit waiting work while slots are free; refuse what is late."""
        while (queue := self._next_queue(now)) is not None:
            work = queue.pop()
            if work is None:
                return
            if self._latest_start(work) < now:
                work.admitted.set_result(self.deadline_refusal(work))
                continue
            self._running.add(work)
            work.started_at, work.level = now, self.running
            for peak in self._peaks:
                peak[0] = max(peak[0], self.running)
            work.admitted.set_result(True)

    def deadline_refusal(self, work: Work) -> errors.Failure:
        """Return the refusal of work whose deadline came too close."""
        text = "its deadline came too close while it waited for a slot"
        refused = self._refusal(_Kind.DEADLINE_UNREACHABLE, text, 0.0)
        return refused.failure()

    def can_finish(self, work: Work, now: float) -> bool:
        """Return whether work that starts now meets its deadline."""
        return self._latest_start(work) >= now

    def wait_limit_s(self, work: Work, now: float) -> float:
        """Return how long work may wait for its slot from now on."""
        return max(self._latest_start(work) - now, 0.0)

    def discard(self, work: Work, now: float) -> None:
        """Free the place of work that waits no longer or was not sent."""
        if work.queued:
            self._queue(work).withdraw(work)
        elif work in self._running:
            self._running.discard(work)
            self.start_next(now)

    def finished(self, work: Work, duration_s: float, now: float) -> None:
        """Free the slot of work that ran for ``duration_s``."""
        slowdown = self.costs.learn(
            work.route, work.kind, duration_s, alone=work.level == 1
        )
        if not work.long and slowdown is not None:
            self.concurrency.observe(work.level, slowdown)
        self._running.discard(work)
        self.start_next(now)

    def _latest_start(self, work: Work) -> float:
        needed_s = self.costs.cautious_s(work.route, work.kind)
        return work.deadline - needed_s - ANSWER_MARGIN_S

    def _queue(self, work: Work) -> fair_queue.FairQueue:
        return self._long if work.long else self._short

    def _runs_long(self, now: float) -> int:
        return sum(
            work.long or now - work.started_at > cost.SHORT_BOUND_S
            for work in self._running
        )

    def _next_queue(self, now: float) -> fair_queue.FairQueue | None:
        free = self.slots - self.running_elsewhere
        limit = min(self.concurrency.limit, free)
        if self.running >= limit or not self.queued or not self._may_start():
            return None
        long = self._runs_long(now)
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

    def _wait_s(self, work: Work, now: float) -> float:
        """Return how long new work would wait for its slot."""
        limit = self.concurrency.limit
        long = self._runs_long(now)
        if work.long:
            slots = max(limit - 1, 1) if not self._short.count else 1
            free = long < slots and self.running < limit
        else:
            slots = max(limit - long, 1)
            free = self.running < limit
        queue = self._queue(work)
        if free and not queue.count:
            return 0.0
        left_s = sum(
            max(each.cost_s - (now - each.started_at), 0.0)
            for each in self._running
            if each.long == work.long
        )
        return (queue.ahead_s(work) + left_s) / slots

    def _refusal(
        self, kind: errors.ErrorKind, text: str, excess_s: float
    ) -> result.Result[None, errors.Failure]:
        retry_s = max(excess_s, RETRY_MIN_S)
        retry_s *= self._random.uniform(*RETRY_JITTER)
        return result.Failure(errors.Failure(kind, text, int(retry_s * 1000)))
