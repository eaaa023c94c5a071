"""Runs the planned stop of a daemon up to the moment at which it may exit."""

import asyncio
from typing import Callable

import loguru

from burdockcart import clock
from burdockcart.process.gateway import client_listener
from burdockcart.process.gateway import shutdown_plan


class Drain:
    """Carries out the shutdown plan.

    Parameters
    ==========

    granted_s : float
        Time from SIGTERM to SIGKILL, in seconds.
    pending : callable
        Returns how many statements of other daemons are running here.

    """

    def __init__(
        self,
        granted_s: float,
        loop_clock: clock.Clock,
        pending: Callable[[], int],
    ):
        self._plan = shutdown_plan.ShutdownPlan(granted_s)
        self._clock = loop_clock
        self._pending = pending
        self._began_at: float | None = None

    @property
    def begun(self) -> bool:
        """Whether the daemon is shutting down."""
        return self._began_at is not None

    def begin(self) -> None:
        """Record the time from which the granted time counts."""
        self._began_at = self._clock.now()

    def _elapsed_s(self) -> float:
        assert self._began_at is not None
        return self._clock.now() - self._began_at

    async def run(self, clients: client_listener.ClientListener) -> None:
        """Close sessions gradually; return when the process may exit."""
        loguru.logger.info(
            "event=drain_started sessions={}", len(set(clients.connections))
        )
        plan = self._plan
        while True:
            elapsed_s = self._elapsed_s()
            connections = list(clients.connections)
            open_work = len(connections) + self._pending()
            if plan.finished(elapsed_s, open_work):
                break
            idle = [each for each in connections if each.idle]
            for each in plan.to_close(elapsed_s, idle):
                each.close_when_idle()
            if plan.closes_busy_sessions(elapsed_s):
                for each in connections:
                    if each.session is not None and not each.idle:
                        each.close_when_idle()
            await asyncio.sleep(shutdown_plan.STEP_S)
        loguru.logger.info(
            "event=drain_finished left={}", len(list(clients.connections))
        )
