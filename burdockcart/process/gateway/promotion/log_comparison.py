"""Compares replica logs to find one with every acknowledged commit."""

import asyncio
from typing import Awaitable
from typing import Callable

import loguru

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.gateway.promotion import failover_rule
from burdockcart.request import log_position

#: Timeout of a query to a replica, in seconds.
QUERY_TIMEOUT_S = 0.4
#: Time in which the candidate must receive what the others hold, in seconds.
CATCH_UP_S = 0.25
CATCH_UP_PAUSE_S = 0.02


async def observe_replicas(
    group: groups.Group, primary: ids.MemberId
) -> list[failover_rule.ReplicaView]:
    """Return the listed replicas that answer; none is put on hold."""
    pools = [
        pool
        for member, pool in group.pool_by_member.items()
        if member != primary
    ]
    answers = await asyncio.gather(
        *(each.observe(QUERY_TIMEOUT_S) for each in pools)
    )
    return [
        _view(pool.entry.id, pool, answer)
        for pool, answer in zip(pools, answers, strict=True)
        if isinstance(answer, member_channel.MemberStatus)
        and answer.role is member_channel.Role.REPLICA
    ]


def _view(
    member: ids.MemberId,
    pool: member_pool.MemberPool | None,
    status: member_channel.MemberStatus,
) -> failover_rule.ReplicaView:
    return failover_rule.ReplicaView(
        member,
        status.received,
        pool is None or pool.draining,
        status.term,
        bool(status.held_term),
    )


class LogComparison:
    """Compares the logs of the replicas of one group.

    Parameters
    ==========

    channels : dict of MemberId to Channel
        A connection to each member but the primary.
    listed : set of MemberId
        Those that can be promoted.

    """

    def __init__(
        self,
        group: groups.Group,
        channels: dict[ids.MemberId, member_channel.Channel],
        listed: set[ids.MemberId],
        loop_clock: clock.Clock,
    ):
        self._group = group
        self._channels = channels
        #: Term with which the other replicas are put on hold.
        self.term = 0
        #: Time before the first replica was put on hold.
        self.held_since = loop_clock.now()
        self._listed = listed
        self._clock = loop_clock
        #: Position that each replica has reported last.
        self.received_by_member: dict[
            ids.MemberId, log_position.LogPosition
        ] = {}

    async def candidate(
        self, only: ids.MemberId | None = None
    ) -> ids.MemberId | None:
        """Return a replica that holds all that the others hold.

        All other replicas are on hold by then, and it is not.  None if there
        is none.

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
        eligible = [
            each
            for each in seen
            if each.id in self._listed and only in (None, each.id)
        ]
        if not eligible:
            return None
        candidate = failover_rule.first_candidate(eligible)
        self.term = 1 + max(
            [self._group.primary.leadership.term]
            + [max(each.received.term, each.term) for each in seen]
        )
        rest = {
            member: channel
            for member, channel in self._channels.items()
            if member != candidate.id
        }
        held = await self._hold_all(rest)
        if held is None:
            return None
        if candidate.on_hold and not await self._release(candidate.id):
            return None
        if await self._wait_for_catch_up(candidate, held):
            return candidate.id
        loguru.logger.info(
            "event=candidate_behind group={} member={} received={} others={}",
            self._group.id,
            candidate.id,
            candidate.received,
            [each.received for each in held],
        )
        if only is not None:
            # On hold it could never receive what it lacks.
            return None
        longest = await self._choose_longest(candidate, held)
        if longest not in self._listed or not await self._release(longest):
            return None
        return longest

    async def _hold_all(
        self, channels: dict[ids.MemberId, member_channel.Channel]
    ) -> list[failover_rule.ReplicaView] | None:
        """Put replicas on hold; None if one of them still receives.

        A replica that knows a later term ignores the request.
        """
        held = await self._query_all(
            channels,
            lambda each: each.hold_replication(self.term, QUERY_TIMEOUT_S),
        )
        receiving = [each for each in held or () if not each.on_hold]
        for each in receiving:
            loguru.logger.warning(
                "event=replica_not_on_hold group={} member={} term={} "
                "member_term={}",
                self._group.id,
                each.id,
                self.term,
                each.term,
            )
        return None if receiving else held

    async def _release(self, candidate: ids.MemberId) -> bool:
        """Let a candidate receive; True if it does.

        Another daemon may have put it on hold.  A candidate on hold would
        lack what a replica acknowledges that is released late, and daemons
        could not tell it from the others.
        """
        answer = await self._channels[candidate].release_replication(
            QUERY_TIMEOUT_S
        )
        return answer.fault is None

    async def reaches(
        self, candidate: ids.MemberId, position: log_position.LogPosition
    ) -> bool:
        """Return whether a candidate holds a position, or does so soon."""
        until = self._clock.now() + CATCH_UP_S
        only = {candidate: self._channels[candidate]}
        while True:
            seen = await self._query_all(
                only, lambda each: each.observe(QUERY_TIMEOUT_S)
            )
            if seen is None:
                return False
            if seen[0].received >= position:
                return True
            if self._clock.now() >= until:
                loguru.logger.info(
                    "event=candidate_behind group={} member={} received={} "
                    "required={}",
                    self._group.id,
                    candidate,
                    seen[0].received,
                    position,
                )
                return False
            await asyncio.sleep(CATCH_UP_PAUSE_S)

    async def _wait_for_catch_up(
        self,
        candidate: failover_rule.ReplicaView,
        held: list[failover_rule.ReplicaView],
    ) -> bool:
        """Wait until the candidate holds what the others hold.

        Returns whether it does so in time.
        """
        until = self._clock.now() + CATCH_UP_S
        only = {candidate.id: self._channels[candidate.id]}
        current = candidate
        while not failover_rule.holds_all(current, held):
            if self._clock.now() >= until:
                return False
            await asyncio.sleep(CATCH_UP_PAUSE_S)
            seen = await self._query_all(
                only, lambda each: each.observe(QUERY_TIMEOUT_S)
            )
            if seen is None:
                return False
            current = seen[0]
        return True

    async def _choose_longest(
        self,
        candidate: failover_rule.ReplicaView,
        held: list[failover_rule.ReplicaView],
    ) -> ids.MemberId | None:
        """Put the candidate on hold too, and choose the longest log."""
        stopped = await self._hold_all(
            {candidate.id: self._channels[candidate.id]}
        )
        if stopped is None:
            return None
        longest = max(
            stopped + held, key=lambda each: (each.received, each.id)
        )
        return longest.id

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
            if isinstance(answer, member_channel.MemberFault):
                loguru.logger.info(
                    "event=replica_not_asked group={} member={} fault={!r}",
                    self._group.id,
                    member,
                    answer.value,
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
            self.received_by_member[member] = answer.received
            self._group.watch.observe(member, answer)
            views.append(_view(member, pool, answer))
        return views
