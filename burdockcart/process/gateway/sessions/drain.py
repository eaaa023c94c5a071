"""Runs the planned stop of a daemon up to the moment at which it may exit."""

import asyncio
import collections
from typing import Callable

import loguru

from burdockcart import clock
from burdockcart.process.gateway import gateway_metrics
from burdockcart.process.gateway.sessions import client_listener
from burdockcart.process.gateway.sessions import shutdown_plan
from burdockcart.process.gateway.sessions import stop_admission

#: Interval of checking whether the last connections have closed, in seconds.
LAST_STEP_S = 0.01

Phase = client_listener.Phase
#: Order in which sessions are told to close.
ORDER = (Phase.IDLE, Phase.ANSWERING, Phase.RUNNING, Phase.IN_TRANSACTION)


class Drain:
    """Carries out the shutdown plan.

    Parameters
    ==========

    pending : callable
        Returns how many statements of other daemons are running here.
    needed : callable
        Returns whether other daemons or a group need this daemon.

    """

    def __init__(
        self,
        admission: stop_admission.StopAdmission,
        loop_clock: clock.Clock,
        pending: Callable[[], int],
        needed: Callable[[], bool],
        metrics: gateway_metrics.GatewayMetrics,
    ):
        self._admission = admission
        self._plan = admission.plan
        self._clock = loop_clock
        self._pending = pending
        self._needed = needed
        self._metrics = metrics
        #: Connections of the previous step.
        self._known: set[client_listener.Client] = set()

    async def run(self, clients: client_listener.ClientListener) -> None:
        """Close sessions gradually; return when the process may exit."""
        loguru.logger.info(
            "event=drain_started sessions={}", len(set(clients.connections))
        )
        while not self._plan.ends(
            self._admission.elapsed_s, self._open_work(clients)
        ):
            self._close_some(clients)
            left_s = self._plan.answers_by_s - self._admission.elapsed_s
            await asyncio.sleep(min(shutdown_plan.STEP_S, left_s))
        self._admission.end()
        clients.stop()
        # Connections that waited to be accepted appear in the next iteration
        # of the loop.
        await asyncio.sleep(0)
        while not self._plan.exits(
            self._admission.elapsed_s, self._open_work(clients)
        ):
            for each in list(clients.connections):
                each.end()
            await asyncio.sleep(LAST_STEP_S)
        self._report(list(clients.connections))

    def _open_work(self, clients: client_listener.ClientListener) -> int:
        return len(list(clients.connections)) + self._needed()

    def _close_some(self, clients: client_listener.ClientListener) -> None:
        """Tell the sessions whose turn it is to close.

        A new session gets a step's time for its first statement.
        """
        known, self._known = self._known, set(clients.connections)
        in_order = sorted(
            (
                each
                for each in clients.connections
                if each in known and each.phase in ORDER and not each.closing
            ),
            key=lambda each: ORDER.index(each.phase),
        )
        for each in self._plan.to_close(self._admission.elapsed_s, in_order):
            each.close_when_idle()

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
            "in_transaction={} running={} answering={} closing={} relayed={} "
            "took_ms={}",
            len(left),
            count[Phase.STARTING],
            count[Phase.IDLE],
            count[Phase.IN_TRANSACTION],
            count[Phase.RUNNING],
            count[Phase.ANSWERING],
            count[Phase.CLOSING],
            self._pending(),
            int(self._admission.elapsed_s * 1000),
        )
