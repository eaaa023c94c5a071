"""Reports of demand on the links between daemons, and their answers."""

from typing import Callable

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.peers import link_request
from burdockcart.process.peers import rate_messages
from burdockcart.process.peers import relay_connector
from burdockcart.process.rates import share_terms

#: Timeout of a report, in seconds; the next one replaces it.
TIMEOUT_S = 0.25

Serve = Callable[[ids.DaemonId, share_terms.Report], share_terms.Answer]


class PeerShares:
    """Carries reports to the owners of shards, and answers those of others."""

    def __init__(self, links: relay_connector.HolderLinks):
        self._links = links
        self._serve: Serve | None = None

    def serve(self, serve: Serve) -> None:
        """Answer reports of other daemons from now on."""
        self._serve = serve

    async def send(
        self, daemon: coordination.DaemonEntry, report: share_terms.Report
    ) -> share_terms.Answer | None:
        """Report to a daemon; None without an answer in time."""
        # Also to a daemon that leaves: it may be the owner still.
        reply = await link_request.ask(
            self._links,
            daemon,
            lambda number: rate_messages.ShareReport(number, report),
            rate_messages.Shares,
            TIMEOUT_S,
        )
        return None if reply is None else reply.answer

    def reported(
        self, daemon: ids.DaemonId, message: rate_messages.ShareReport
    ) -> rate_messages.Shares:
        """Answer the report of another daemon."""
        if self._serve is None:
            answer = share_terms.Answer(None, ids.StorePosition(-1))
        else:
            answer = self._serve(daemon, message.report)
        return rate_messages.Shares(message.number, answer)
