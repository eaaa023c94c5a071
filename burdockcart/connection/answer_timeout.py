"""Timeout of an answer that leaves out time in which the process stood still.

Explanation
===========

A process that gets no processor time for a while finds expired timers and the
answers of that time together.  The timers of :func:`asyncio.timeout` would
cancel the tasks before these have read their answers.

"""

import asyncio
from types import TracebackType
from typing import Callable

#: Delay of a timer from which on the process counts as stalled, in seconds.
LATE_S = 0.01
#: Time for reading what arrived during a stall, in seconds; a few turns of the
#: event loop, each of which may read many answers.
GRACE_S = 0.05
#: Interval of asking whether to wait longer, in seconds.
STEP_S = 0.02


class AnswerTimeout:
    """Context manager that raises TimeoutError, like asyncio.timeout.

    Parameters
    ==========

    timeout_s : float
        Timeout in seconds; extended once by ``GRACE_S`` if it expires while
        the process stands still.
    waits_longer : callable
        Returns whether to go on waiting after that.
    longest_s : float
        Time after which it is no longer asked, in seconds.

    """

    def __init__(
        self,
        timeout_s: float,
        waits_longer: Callable[[], bool] = lambda: False,
        longest_s: float = 0.0,
    ):
        self._timeout_s = timeout_s
        self._waits_longer = waits_longer
        self._longest_s = longest_s
        self._until = 0.0
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._extended = False

    async def __aenter__(self) -> "AnswerTimeout":
        await self._timeout.__aenter__()
        self._until = asyncio.get_running_loop().time() + self._longest_s
        self._start(self._timeout_s)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        assert self._timer is not None
        self._timer.cancel()
        # Raises TimeoutError if the timeout has expired.
        await self._timeout.__aexit__(kind, error, trace)

    def _start(self, after_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(after_s, self._expired)

    def _expired(self) -> None:
        assert self._timer is not None
        now = asyncio.get_running_loop().time()
        if now - self._timer.when() >= LATE_S and not self._extended:
            self._extended = True
            self._start(GRACE_S)
        elif now < self._until and self._waits_longer():
            self._start(min(STEP_S, self._until - now))
        else:
            self._timeout.reschedule(now)
