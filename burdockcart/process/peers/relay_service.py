"""Accepts links of other daemons and counts what runs for them."""

from typing import Callable

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway import attempts
from burdockcart.process.peers import relay_session
from burdockcart.process.peers import tcp

Accept = Callable[[ids.DaemonId, tcp.Transport], tcp.Receiver]


class RelayService:
    """Accepts links and serves their requests.

    Parameters
    ==========

    sender : StatementSender
        Sends statements and records what their answers show.

    """

    def __init__(
        self,
        pools: relay_session.Pools,
        sender: attempts.StatementSender,
        loop_clock: clock.Clock,
    ):
        self.pools = pools
        self.sender = sender
        self.clock = loop_clock
        self.leaving = False
        self._sessions: set[relay_session.RelaySession] = set()

    @property
    def pending(self) -> int:
        """Statements and transactions of other daemons that are running."""
        return sum(session.pending for session in self._sessions)

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
        return session

    def leave(self) -> None:
        """Tell all daemons that this one takes no new statements."""
        self.leaving = True
        for session in self._sessions:
            session.leave()
