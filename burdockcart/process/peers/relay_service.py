"""Accepts links of other daemons and counts what runs for them."""

import asyncio
import math
from typing import Callable

import loguru

from burdockcart import clock
from burdockcart.connection.client_limits import memory_budget
from burdockcart import ids
from burdockcart.process.gateway.sessions import attempts
from burdockcart.process.gateway.sessions import shutdown_plan
from burdockcart.process.peers import relay_session
from burdockcart.process.peers import tcp

#: Time after the last request in which a leaving daemon expects another one,
#: in seconds: those who relay through it may know no other way.
LINGER_S = 0.5
#: Share of the granted time after which the links are closed in any case.
CLOSED_SHARE = 0.96

Accept = Callable[[ids.DaemonId, tcp.Transport], tcp.Receiver]


class RelayService:
    """Accepts links and serves their requests.

    Parameters
    ==========

    sender : StatementSender
        Sends statements and records what their answers show.
    memory : Memory or None
        Accounts large statements; None for no limit.

    """

    def __init__(
        self,
        pools: relay_session.Pools,
        sender: attempts.StatementSender,
        loop_clock: clock.Clock,
        memory: memory_budget.Memory | None = None,
    ):
        self.pools = pools
        self.sender = sender
        self.clock = loop_clock
        self.memory = memory or memory_budget.Unlimited()
        self.leaving = False
        #: Times at which transactions are rolled back, at which the links
        #: end, whatever is running, and at which they are closed.
        self.transactions_until = math.inf
        self.ends_at = math.inf
        self.closed_at = math.inf
        self.requested_at = -math.inf
        self._sessions: set[relay_session.RelaySession] = set()

    @property
    def pending(self) -> int:
        """Statements and transactions of other daemons that are running."""
        return sum(session.pending for session in self._sessions)

    @property
    def in_use(self) -> bool:
        """Whether other daemons still need this one."""
        since_s = self.clock.now() - self.requested_at
        return (
            self.pending > 0
            or since_s < LINGER_S
            or any(session.unsent for session in self._sessions)
        )

    @property
    def links(self) -> int:
        """Number of accepted links."""
        return len(self._sessions)

    def accept(
        self, daemon: ids.DaemonId, transport: tcp.Transport
    ) -> relay_session.RelaySession:
        """Return the receiver of a new link."""
        session = relay_session.RelaySession(
            self, daemon, transport, self._sessions.discard
        )
        self._sessions.add(session)
        if self.leaving:
            session.leave()
        return session

    def leave(self, granted_s: float) -> None:
        """Tell all daemons to relay through others; end what is open.

        Explanation
        ===========

        What waits for a connection goes back unsent.  What arrives later is
        served as long as its time limit allows: all holders of a member may
        leave at the same moment, and the daemons that relay through them as
        well.

        Parameters
        ==========

        granted_s : float
            Time until this process is killed, in seconds.

        """
        if self.leaving:
            return
        self.leaving = True
        now = self.clock.now()
        transactions_s = shutdown_plan.TRANSACTIONS_SHARE * granted_s
        self.transactions_until = now + transactions_s
        self.ends_at = now + shutdown_plan.EXIT_BY_SHARE * granted_s
        self.closed_at = now + CLOSED_SHARE * granted_s
        for session in list(self._sessions):
            session.leave()
        asyncio.get_running_loop().call_later(
            transactions_s, self._end_transactions
        )

    def close(self) -> None:
        """Run no more requests; the links end right after."""
        for session in list(self._sessions):
            session.close()

    def _end_transactions(self) -> None:
        ended = sum(
            session.end_transactions() for session in list(self._sessions)
        )
        if ended:
            loguru.logger.info(
                "event=relayed_transactions_ended count={}", ended
            )
