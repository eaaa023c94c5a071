"""Keeps replicas on hold while a promotion call waits for its answer."""

import asyncio
from typing import Callable

import loguru

from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import pooled_connection
from burdockcart.process.gateway.promotion import asked_members
from burdockcart.process.gateway.promotion import log_comparison
from burdockcart.process.gateway.promotion import replica_roster

#: Interval between checks for replicas that are not on hold, in seconds.
CHECK_INTERVAL_S = 0.1


class HoldKeeper:
    """Puts replicas on hold that join or start again during a call.

    What such a replica has acknowledged before is not undone by that; it only
    acknowledges no more.

    Parameters
    ==========

    spared : set of MemberId
        The primary and the candidate.
    asked : AskedMembers
        The members that are on hold, apart from the candidate.
    term : int
        Term with which they are.
    held : callable
        Called with each replica that was put on hold.

    """

    def __init__(
        self,
        group: groups.Group,
        spared: set[ids.MemberId | None],
        asked: asked_members.AskedMembers,
        term: int,
        held: Callable[[ids.MemberId], None],
    ):
        self._group = group
        self._spared = spared
        self._asked = asked
        self._term = term
        self._held = held
        self._connections: list[pooled_connection.PooledConnection] = []

    async def run(self) -> None:
        """Check all replicas until cancelled."""
        try:
            while True:
                await asyncio.sleep(CHECK_INTERVAL_S)
                for member in self._not_on_hold():
                    await self._hold(member)
        finally:
            for each in self._connections:
                each.pool.give_back(each)

    def _not_on_hold(self) -> list[ids.MemberId]:
        """Return the listed replicas that this daemon has not on hold.

        The end of its connection tells that a replica has started again.
        """
        on_hold = {
            replica_roster.of_entry(each.pool.entry)
            for each in self._asked.connections + self._connections
            if not each.channel.closed
        }
        return [
            member
            for member, pool in self._group.pool_by_member.items()
            if member not in self._spared
            and asked_members.must_be_asked(self._group, pool)
            and replica_roster.of_entry(pool.entry) not in on_hold
        ]

    async def _hold(self, member: ids.MemberId) -> None:
        pool = self._group.pool_by_member.get(member)
        connection = None if pool is None else await pool.take_or_open()
        if connection is None:
            return
        self._connections.append(connection)
        status = await connection.channel.hold_replication(
            self._term, log_comparison.QUERY_TIMEOUT_S
        )
        if isinstance(status, member_channel.MemberFault):
            connection.channel.close()
            return
        self._held(member)
        loguru.logger.warning(
            "event=replica_held_again group={} member={} term={}",
            self._group.id,
            member,
            self._term,
        )
