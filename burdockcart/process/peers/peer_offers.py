"""Offers of shards on the links between daemons, and their answers."""

from typing import Awaitable
from typing import Callable

from burdockcart.process.gateway.store import coordination
from burdockcart.process.peers import link_request
from burdockcart.process.peers import rate_messages
from burdockcart.process.peers import relay_connector
from burdockcart.process.rates import share_terms

Serve = Callable[[share_terms.Offer], Awaitable[bool]]


class PeerOffers:
    """Carries offers to other daemons, and answers theirs."""

    def __init__(self, links: relay_connector.HolderLinks):
        self._links = links
        self._serve: Serve | None = None

    def serve(self, serve: Serve) -> None:
        """Answer offers of other daemons from now on."""
        self._serve = serve

    async def offer(
        self,
        daemon: coordination.DaemonEntry,
        offer: share_terms.Offer,
        timeout_s: float,
    ) -> bool:
        """Offer a shard; False if it is refused, or without an answer."""
        reply = await link_request.ask(
            self._links,
            daemon,
            lambda number: rate_messages.ShardOffer(number, offer),
            rate_messages.ShardOffered,
            timeout_s,
        )
        return reply is not None and reply.ready

    async def offered(
        self, message: rate_messages.ShardOffer
    ) -> rate_messages.ShardOffered:
        """Answer the offer of another daemon."""
        ready = self._serve is not None and await self._serve(message.offer)
        return rate_messages.ShardOffered(message.number, ready)
