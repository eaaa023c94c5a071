"""Runs the tasks that a daemon cannot do without.

Explanation
===========

An unexpected error must not end the failover, say, for the rest of the life
of the process, so a task that ends is started again.  If that does not help,
the daemon says that it is not ready: it would go on with what it knew, while
its clients could use daemons that follow the store.

"""

import asyncio
from typing import Any
from typing import Callable
from typing import Coroutine

import loguru

from burdockcart import clock
from burdockcart.process.gateway import gateway_metrics

#: Pause before a task that failed is started again, in seconds.
RESTART_PAUSE_S = 0.1
#: Failures in a row from which on a task counts as failing.
MAX_FAILURES = 3
#: Time without a failure after which a task counts as healthy, in seconds;
#: longer than the longest interval between its steps (2.5 s).
RECOVERED_S = 5.0

Run = Callable[[], Coroutine[Any, Any, None]]


class TaskEnded(Exception):
    """A task that has to run as long as the process has returned."""


class TaskHealth:
    """Failures of one task."""

    def __init__(self) -> None:
        self._failures = 0
        self._failed_at = 0.0

    def failed(self, now: float) -> None:
        """Record that the task failed."""
        recovered = now - self._failed_at >= RECOVERED_S
        self._failures = 1 if recovered else self._failures + 1
        self._failed_at = now

    def failing(self, now: float) -> bool:
        """Return whether the task does not do its work."""
        return (
            self._failures >= MAX_FAILURES
            and now - self._failed_at < RECOVERED_S
        )


class TaskKeeper:
    """Keeps the tasks of one daemon running until it stops."""

    def __init__(
        self,
        loop_clock: clock.Clock,
        metrics: gateway_metrics.GatewayMetrics,
    ):
        self._clock = loop_clock
        self._metrics = metrics
        self._tasks: list[asyncio.Task[None]] = []
        self._health_by_task: dict[str, TaskHealth] = {}

    @property
    def failing(self) -> list[str]:
        """Names of the tasks that do not do their work."""
        now = self._clock.now()
        return [
            name
            for name, health in self._health_by_task.items()
            if health.failing(now)
        ]

    def run_always(self, run: Run) -> None:
        """Run a task until the daemon stops, whatever happens in it."""
        self._start(run, self._keep_running(run, may_end=False))

    def run_to_end(self, run: Run) -> None:
        """Run a task to its end, starting it again after each failure."""
        self._start(run, self._keep_running(run, may_end=True))

    def _start(self, run: Run, kept: Coroutine[Any, Any, None]) -> None:
        self._tasks.append(asyncio.create_task(kept, name=_name(run)))

    async def stop(self) -> None:
        """Cancel all tasks and wait for their ends."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _keep_running(self, run: Run, may_end: bool) -> None:
        while True:
            try:
                await run()
                if may_end:
                    return
                raise TaskEnded("the task returned")
            except asyncio.CancelledError as error:
                task = asyncio.current_task()
                if task is None or task.cancelling():
                    raise
                # Something that it waited for was cancelled.
                self._failed(run, error)
            except Exception as error:  # noqa: B902 - logged and counted
                self._failed(run, error)
            await asyncio.sleep(RESTART_PAUSE_S)

    def _failed(self, run: Run, error: BaseException) -> None:
        name = _name(run)
        health = self._health_by_task.setdefault(name, TaskHealth())
        health.failed(self._clock.now())
        self._metrics.task_failed()
        loguru.logger.opt(exception=error).error(
            "event=task_failed task={} failing={}",
            name,
            health.failing(self._clock.now()),
        )


def _name(run: Run) -> str:
    return getattr(run, "__qualname__", repr(run))
