"""Requests for tokens of the rate reserve on the links between daemons."""

from typing import Callable

from burdockcart.process.gateway.store import coordination
from burdockcart.process.peers import link_request
from burdockcart.process.peers import relay_connector
from burdockcart.process.peers import reserve_messages
from burdockcart.process.rates import reserve_requests
from burdockcart.process.rates import share_terms

Serve = Callable[
    [share_terms.Shard, reserve_requests.Counts], reserve_requests.Tokens
]


class PeerReserve:
    """Carries requests to daemons with a permit, and answers those of others.

    A daemon whose settings have no reserve answers without tokens.
    """

    def __init__(self, links: relay_connector.HolderLinks):
        self._links = links
        self._serve: Serve | None = None

    def serve(self, serve: Serve) -> None:
        """Answer requests of other daemons from now on."""
        self._serve = serve

    async def ask(
        self,
        daemon: coordination.DaemonEntry,
        shard: share_terms.Shard,
        counts: reserve_requests.Counts,
    ) -> reserve_requests.Tokens | None:
        """Ask a daemon; None without an answer while it could be used."""
        # Also a daemon that leaves: it has its permit still.
        reply = await link_request.ask(
            self._links,
            daemon,
            lambda number: reserve_messages.ReserveRequest(
                number, shard, counts
            ),
            share_terms.TOKEN_S,
        )
        if not isinstance(reply, reserve_messages.ReserveTokens):
            return None
        return reserve_requests.Tokens(reply.counts, reply.permitted)

    def asked(
        self, message: reserve_messages.ReserveRequest
    ) -> reserve_messages.ReserveTokens:
        """Answer the request of another daemon."""
        if self._serve is None:
            return reserve_messages.ReserveTokens(message.number, [], False)
        tokens = self._serve(message.shard, message.counts)
        return reserve_messages.ReserveTokens(
            message.number, tokens.counts, tokens.permitted
        )
