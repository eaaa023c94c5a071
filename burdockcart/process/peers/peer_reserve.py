"""Requests for tokens of the rate reserve on the links between daemons."""

from typing import Callable

from burdockcart.process.gateway.store import coordination
from burdockcart.process.peers import link_request
from burdockcart.process.peers import rate_messages
from burdockcart.process.peers import relay_connector
from burdockcart.process.rates import permit_terms
from burdockcart.process.rates import share_terms

Serve = Callable[[share_terms.Shard, permit_terms.Counts], permit_terms.Tokens]


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
        counts: permit_terms.Counts,
    ) -> permit_terms.Tokens | None:
        """Ask a daemon; None without an answer while it could be used."""
        # Also a daemon that leaves: it has its permit still.
        reply = await link_request.ask(
            self._links,
            daemon,
            lambda number: rate_messages.ReserveRequest(number, shard, counts),
            rate_messages.ReserveTokens,
            share_terms.TOKEN_S,
        )
        return None if reply is None else reply.tokens

    def asked(
        self, message: rate_messages.ReserveRequest
    ) -> rate_messages.ReserveTokens:
        """Answer the request of another daemon."""
        tokens = permit_terms.Tokens([], False)
        if self._serve is not None:
            tokens = self._serve(message.shard, message.counts)
        return rate_messages.ReserveTokens(message.number, tokens)
