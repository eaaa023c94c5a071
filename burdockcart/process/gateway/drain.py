"""Runs the planned stop of a daemon up to the moment at which it may exit."""

import asyncio
import collections
from typing import Callable

import loguru

from burdockcart import clock
from burdockcart.process.gateway import client_listener
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway import shutdown_plan

Phase = client_listener.Phase


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
        metrics: gateway_metrics.GatewayMetrics,
    ):
        self._plan = shutdown_plan.ShutdownPlan(granted_s)
        self._clock = loop_clock
        self._pending = pending
        self._metrics = metrics
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
        self._report(list(clients.connections))

    def _report(self, left: list[client_listener.Client]) -> None:
        """Log what is left at the end, and each statement that is cut."""
        now = self._clock.now()
        for each in left:
            request = each.request
            if request is None:
                continue
            self._metrics.statement_cut(each.phase.value)
            loguru.logger.error(
                "event=statement_cut id={} kind={!r} phase={} age_ms={}",
                request.id,
                request.kind,
                each.phase.value,
                int((now - request.read_at) * 1000),
            )
        count = collections.Counter(each.phase for each in left)
        loguru.logger.info(
            "event=drain_finished left={} starting={} idle={} "
            "in_transaction={} running={} answering={} relayed={} took_ms={}",
            len(left),
            count[Phase.STARTING],
            count[Phase.IDLE],
            count[Phase.IN_TRANSACTION],
            count[Phase.RUNNING],
            count[Phase.ANSWERING],
            self._pending(),
            int(self._elapsed_s() * 1000),
        )
