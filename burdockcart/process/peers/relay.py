"""The part of a daemon that acts together with other daemons."""

import asyncio
import random
from typing import Any
from typing import Coroutine
from typing import Protocol

import loguru

from burdockcart import clock
from burdockcart.connection.client_limits import memory_budget
from burdockcart.connection import member_channel
from burdockcart.connection import own_link
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.gateway.sessions import attempts
from burdockcart.process.gateway.store import coordination
from burdockcart.process.peers import holder_choice
from burdockcart.process.peers import holding
from burdockcart.process.peers import messages
from burdockcart.process.peers import peer_census
from burdockcart.process.peers import peer_notices
from burdockcart.process.peers import peer_offers
from burdockcart.process.peers import peer_reserve
from burdockcart.process.peers import peer_shares
from burdockcart.process.peers import rate_messages
from burdockcart.process.peers import relay_connector
from burdockcart.process.peers import relay_service
from burdockcart.process.peers import shared_evidence
from burdockcart.process.peers import shared_polls
from burdockcart.request import log_position
from burdockcart.request import member_evidence

#: Daemons that are asked for a way to a member that this one cannot reach.
DETOURS = 3
#: Timeout of waiting until other daemons have closed their links to one that
#: shuts down, in seconds, and interval between two looks.
CLOSING_TIMEOUT_S = 0.15
CLOSING_POLL_S = 0.005


class Peers(relay_connector.Dialer, Protocol):
    """Opens and accepts links."""

    async def listen(
        self,
        address: str,
        accept: relay_service.Accept,
    ) -> None:
        """Accept links on ``ip:port``."""

    def close_links(self) -> None:
        """Close all accepted links."""

    def stop(self) -> None:
        """Close all accepted links and accept no more."""


class Relay:
    """Holds members for other daemons and relays through them.

    Parameters
    ==========

    direct : Connector
        Opens connections to members.
    group_by_id : dict of GroupId to Group
        Owned by the application.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        domain: ids.DomainName,
        platform: coordination.Platform,
        peers: Peers,
        direct: member_channel.Connector,
        group_by_id: dict[ids.GroupId, groups.Group],
        sender: attempts.StatementSender,
        loop_clock: clock.Clock,
        boot_clock: clock.Clock,
        rng: random.Random,
        own: own_link.OwnLink,
        memory: memory_budget.Memory | None = None,
    ):
        self._clock = loop_clock
        self._boot_clock = boot_clock
        self.holding = holding.Holding(daemon, loop_clock)
        self._daemon = daemon
        self._peers = peers
        self._group_by_id = group_by_id
        self._links = relay_connector.HolderLinks(peers, loop_clock, rng, own)
        self.notices = peer_notices.PeerNotices(
            group_by_id, self.holding, self._links, loop_clock
        )
        self.polls = shared_polls.SharedPolls(
            daemon,
            domain,
            platform,
            self._links,
            loop_clock,
            sender.metrics.store_polled,
        )
        self.shares = peer_shares.PeerShares(self._links)
        self.offers = peer_offers.PeerOffers(self._links)
        self.reserve = peer_reserve.PeerReserve(self._links)
        self.census = peer_census.PeerCensus(self._links)
        self.service = relay_service.RelayService(
            self, sender, loop_clock, memory
        )
        self.connector = relay_connector.RelayConnector(
            direct, self._links, self, loop_clock, boot_clock
        )

    async def start(self, address: str) -> None:
        """Accept links of other daemons."""
        await self._peers.listen(address, self.service.accept)

    def leave(self, granted_s: float) -> None:
        """Prepare to end within the granted time, in seconds."""
        self.service.leave(granted_s)
        self.polls.leaving = True
        self.holding.leaving = True
        for group in self._group_by_id.values():
            group.apply_shares()

    async def end(self) -> None:
        """Close all links once the other daemons know it.

        A connection that is closed with unread bytes is reset, and the other
        side may not read what was sent before.
        """
        self.service.close()
        until = min(
            self._clock.now() + CLOSING_TIMEOUT_S, self.service.closed_at
        )
        while self.service.links and self._clock.now() < until:
            await asyncio.sleep(CLOSING_POLL_S)
        self.stop()

    def stop(self) -> None:
        """Close all links."""
        self.service.close()
        self._links.close()
        self._peers.stop()

    def close_links(self) -> None:
        """End all links, for example when the fleet's key has changed."""
        self.service.close()
        self._links.close()
        self._peers.close_links()

    @property
    def open_links(self) -> int:
        """Number of links that this daemon has opened."""
        return self._links.open_count

    def use_daemons(
        self, entry_by_id: dict[ids.DaemonId, coordination.DaemonEntry]
    ) -> None:
        """Use a new list of daemons."""
        self.holding.note_listed(entry_by_id.values())
        self.polls.use_daemons(list(entry_by_id.values()))
        if self.service.leaving:
            # Daemons that leave together vanish from the list; until the end
            # each member keeps its holders.
            return
        self.holding.use_daemons(entry_by_id.values())
        self._links.keep(set(entry_by_id))

    def _pool(
        self, member: ids.MemberId
    ) -> tuple[groups.Group, member_pool.MemberPool] | None:
        for group in self._group_by_id.values():
            pool = group.pool_by_member.get(member)
            if pool is not None:
                return group, pool
        return None

    def holders_of(
        self, member: ids.MemberId, account: ids.AccountName | None = None
    ) -> list[list[coordination.DaemonEntry]] | None:
        """Return the daemons to relay through; None to connect directly."""
        found = self._pool(member)
        if found is None:
            return None
        group, pool = found
        connections = group.limits.connections
        if self.holding.holds(pool.entry, connections):
            return None
        holders = self.holding.holders(pool.entry, connections)
        assert holders is not None
        return [
            [entry for entry in each if entry.id != self._daemon]
            for each in holder_choice.in_order(
                self._daemon, member, holders, account
            )
        ]

    def detours(self, member: ids.MemberId) -> list[coordination.DaemonEntry]:
        """Return daemons that may reach a member that this one cannot."""
        found = self._pool(member)
        if found is None:
            return []
        return self.holding.others(found[1].entry)[:DETOURS]

    def hold(self, member: ids.MemberId) -> None:
        """Connect to a member directly from now on."""
        found = self._pool(member)
        if found is None:
            return
        if self.holding.draft(member):
            loguru.logger.info("event=member_held member={}", member)
        found[0].apply_shares()

    def newest_sample(self, group: ids.GroupId) -> tuple[int, int, int] | None:
        """Return the newest sample of a group's primary, as it is sent."""
        found = self._group_by_id.get(group)
        newest = None if found is None else found.primary.samples.newest
        if newest is None:
            return None
        age_s = self._boot_clock.now() - newest.sent_at
        # Rounded up: an older sample covers fewer commits.
        return int(age_s * 1000) + 1, *newest.position

    def use_sample(
        self,
        group: ids.GroupId,
        sent_at: float,
        sample: tuple[int, int, int],
    ) -> None:
        """Use a holder's sample; its age began after ``sent_at``."""
        found = self._group_by_id.get(group)
        if found is not None:
            age_ms, term, number = sample
            found.primary.samples.add(
                sent_at - age_ms / 1000,
                log_position.LogPosition(term, number),
            )

    def relayed(self, group: ids.GroupId, member: ids.MemberId) -> bool:
        """Return whether most daemons reach a member through holders."""
        found = self._group_by_id.get(group)
        pool = None if found is None else found.pool_by_member.get(member)
        if found is None or pool is None:
            return False
        connections = found.limits.connections
        return self.holding.holders(pool.entry, connections) is not None

    def evidence(
        self, group: ids.GroupId, pacer: member_evidence.EvidencePacer
    ) -> tuple[member_evidence.MemberEvidence, ...] | None:
        """Return what is known of a group's members, if it is due."""
        found = self._group_by_id.get(group)
        if found is None:
            return None
        return shared_evidence.attached(found, pacer, self._clock.now())

    def use_evidence(
        self,
        group: ids.GroupId,
        holder: ids.DaemonId,
        evidence: tuple[member_evidence.MemberEvidence, ...],
    ) -> None:
        """Use what a holder knows of a group's members."""
        found = self._group_by_id.get(group)
        if found is not None:
            found.placement.record(holder, evidence)

    def open_call(
        self, group: ids.GroupId
    ) -> tuple[ids.MemberId, int, ids.StorePosition] | None:
        """Return the open promotion call of a group, as it is sent."""
        return self.notices.open_call(group)

    def use_call(
        self,
        group: ids.GroupId,
        call: tuple[ids.MemberId, int, ids.StorePosition],
    ) -> None:
        """Go by a promotion call of which a holder knows."""
        self.notices.use_call(group, call)

    def passed_on(
        self,
        group: ids.GroupId,
        commit: log_position.LogPosition | None,
        asked_at: float,
    ) -> None:
        """Note a commit whose success another daemon is told of now.

        It was sent after ``asked_at``.
        """
        self.notices.passed_on(group, commit, asked_at)

    def withdrawn(self, withdrawal: messages.Withdrawal) -> None:
        """Note that a promotion call was not sent."""
        self.notices.withdrawn(withdrawal)

    def answer(
        self, daemon: ids.DaemonId, message: messages.PeerRequest
    ) -> messages.PeerReply | Coroutine[Any, Any, messages.PeerReply]:
        """Answer what another daemon asks, at once or when it is known."""
        match message:
            case messages.CallNotice():
                return self.notices.notified(message)
            case messages.PollRequest():
                return self.polls.serve(message)
            case rate_messages.ShareReport():
                return self.shares.reported(daemon, message)
            case rate_messages.ShardOffer():
                return self.offers.offered(message)
            case rate_messages.ReserveRequest():
                return self.reserve.asked(message)
            case rate_messages.ShardCensus():
                return self.census.asked(message)

    def held_pool(
        self, group: ids.GroupId, member: ids.MemberId
    ) -> tuple[groups.Group, member_pool.MemberPool] | None:
        """Return a member's pool of direct connections, if it is known."""
        found = self._group_by_id.get(group)
        pool = None if found is None else found.pool_by_member.get(member)
        if found is None or pool is None:
            return None
        if not pool.direct:
            self.hold(member)
        return found, pool
