"""Compares replica logs to find one with every acknowledged commit."""

import asyncio
from typing import Awaitable
from typing import Callable

import loguru

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway import failover_rule
from burdockcart.process.gateway import group as groups
from burdockcart.request import log_position

#: Timeout of a query to a replica, in seconds.
QUERY_TIMEOUT_S = 0.4
#: Time in which the candidate must receive what the others hold, in seconds.
CATCH_UP_S = 0.25
CATCH_UP_PAUSE_S = 0.02


class LogComparison:
    """Compares the logs of the replicas of one group.

    Parameters
    ==========

    channels : dict of MemberId to Channel
        A connection to each member but the primary.

    """

    def __init__(
        self,
        group: groups.Group,
        channels: dict[ids.MemberId, member_channel.Channel],
        loop_clock: clock.Clock,
    ):
        self._group = group
        self._channels = channels
        self._clock = loop_clock

    async def candidate(
        self, only: ids.MemberId | None = None
    ) -> ids.MemberId | None:
        """Return a replica that holds every acknowledged commit.

        All other replicas are on hold by then.  None if no replica can be
        shown to hold all commits.

        Parameters
        ==========

        only : MemberId or None
            The replica that may be promoted, if no other one may.

        """
        seen = await self._query_all(
            self._channels, lambda each: each.observe(QUERY_TIMEOUT_S)
        )
        if seen is None:
            return None
        eligible = [each for each in seen if only in (None, each.id)]
        if not eligible:
            return None
        candidate = failover_rule.first_candidate(eligible)
        term = 1 + max(
            [self._group.primary.leadership.term]
            + [max(each.received.term, each.term) for each in seen]
        )
        rest = {
            member: channel
            for member, channel in self._channels.items()
            if member != candidate.id
        }
        held = await self._query_all(
            rest,
            lambda each: each.hold_replication(term, QUERY_TIMEOUT_S),
        )
        if held is None:
            return None
        received = await self._wait_for_catch_up(candidate, held)
        if received is not None:
            return self._if_covers_departed_replicas(candidate.id, received)
        loguru.logger.info(
            "event=candidate_behind group={} member={} received={} others={}",
            self._group.id,
            candidate.id,
            candidate.received,
            [each.received for each in held],
        )
        longest = await self._choose_longest(candidate, term, held)
        return longest if only in (None, longest) else None

    async def _wait_for_catch_up(
        self,
        candidate: failover_rule.ReplicaView,
        held: list[failover_rule.ReplicaView],
    ) -> log_position.LogPosition | None:
        """Wait until the candidate holds what the others hold.

        Returns its position by then, or None if it does not catch up in time.
        """
        until = self._clock.now() + CATCH_UP_S
        only = {candidate.id: self._channels[candidate.id]}
        current = candidate
        while not failover_rule.holds_all(current, held):
            if self._clock.now() >= until:
                return None
            await asyncio.sleep(CATCH_UP_PAUSE_S)
            seen = await self._query_all(
                only, lambda each: each.observe(QUERY_TIMEOUT_S)
            )
            if seen is None:
                return None
            current = seen[0]
        return current.received

    def _if_covers_departed_replicas(
        self, member: ids.MemberId, received: log_position.LogPosition
    ) -> ids.MemberId | None:
        """Return a member if its log covers the replicas that have left."""
        if self._group.primary.covers_departed_replicas(received):
            return member
        loguru.logger.warning(
            "event=promotion_put_off group={} reason='a replica that left "
            "may have held a commit alone'",
            self._group.id,
        )
        return None

    async def _choose_longest(
        self,
        candidate: failover_rule.ReplicaView,
        term: int,
        held: list[failover_rule.ReplicaView],
    ) -> ids.MemberId | None:
        """Put the candidate on hold too, and choose the longest log."""
        stopped = await self._query_all(
            {candidate.id: self._channels[candidate.id]},
            lambda each: each.hold_replication(term, QUERY_TIMEOUT_S),
        )
        if stopped is None:
            return None
        longest = max(
            stopped + held, key=lambda each: (each.received, each.id)
        )
        return self._if_covers_departed_replicas(longest.id, longest.received)

    async def _query_all(
        self,
        channels: dict[ids.MemberId, member_channel.Channel],
        query: Callable[
            [member_channel.Channel],
            Awaitable[
                member_channel.MemberStatus | member_channel.MemberFault
            ],
        ],
    ) -> list[failover_rule.ReplicaView] | None:
        """Query all replicas; None if any of them cannot be used."""
        answers = await asyncio.gather(
            *(query(channel) for channel in channels.values())
        )
        views = []
        for member, answer in zip(channels, answers, strict=True):
            pool = self._group.pool_by_member.get(member)
            if isinstance(answer, member_channel.MemberFault) or pool is None:
                loguru.logger.info(
                    "event=replica_not_asked group={} member={} fault={!r}",
                    self._group.id,
                    member,
                    getattr(answer, "value", "left"),
                )
                return None
            if answer.role is member_channel.Role.PRIMARY:
                # Putting the other replicas on hold would block its writes.
                loguru.logger.info(
                    "event=primary_found group={} member={}",
                    self._group.id,
                    member,
                )
                return None
            views.append(
                failover_rule.ReplicaView(
                    member, answer.received, pool.draining, answer.term
                )
            )
        return views
