"""Questions for what daemons hold of a shard, on the links between them."""

from typing import Callable

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.peers import link_request
from burdockcart.process.peers import rate_messages
from burdockcart.process.peers import relay_connector
from burdockcart.process.rates import census_terms
from burdockcart.process.rates import share_terms

Serve = Callable[
    [share_terms.Shard, ids.StorePosition], census_terms.Held | None
]


class PeerCensus:
    """Carries questions to other daemons, and answers theirs."""

    def __init__(self, links: relay_connector.HolderLinks):
        self._links = links
        self._serve: Serve | None = None

    def serve(self, serve: Serve) -> None:
        """Answer questions of other daemons from now on."""
        self._serve = serve

    async def ask(
        self,
        daemon: coordination.DaemonEntry,
        shard: share_terms.Shard,
        position: ids.StorePosition,
        timeout_s: float,
    ) -> census_terms.Held | None:
        """Ask a daemon; None without an answer in time."""
        reply = await link_request.ask(
            self._links,
            daemon,
            lambda number: rate_messages.ShardCensus(number, shard, position),
            rate_messages.ShardHeld,
            timeout_s,
        )
        return None if reply is None else reply.held

    def asked(
        self, message: rate_messages.ShardCensus
    ) -> rate_messages.ShardHeld:
        """Answer the question of another daemon."""
        held = None
        if self._serve is not None:
            held = self._serve(message.shard, message.position)
        return rate_messages.ShardHeld(message.number, held)
