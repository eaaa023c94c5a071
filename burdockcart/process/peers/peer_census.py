"""Questions for what daemons hold of a shard, on the links between them."""

from typing import Callable

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.process.peers import census_messages
from burdockcart.process.peers import link_request
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
            lambda number: census_messages.ShardCensus(
                number, shard, position
            ),
            timeout_s,
        )
        if not isinstance(reply, census_messages.ShardHeld):
            return None
        return reply.held

    def asked(
        self, message: census_messages.ShardCensus
    ) -> census_messages.ShardHeld:
        """Answer the question of another daemon."""
        held = None
        if self._serve is not None:
            held = self._serve(message.shard, message.position)
        return census_messages.ShardHeld(message.number, held)
