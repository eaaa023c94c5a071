"""Connections to the members that have to be asked before a promotion."""

import asyncio
from typing import Iterable

import loguru
import msgspec

from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.gateway.members import pooled_connection
from burdockcart.process.gateway.promotion import replica_roster
from burdockcart.process.gateway.store import coordination

#: Timeout of a connection to a member that is not listed, and of its first
#: answer, in seconds; a running member answers without waiting for a slot.
UNLISTED_TIMEOUT_S = 0.3
#: Time after which a listed member that no daemon has ever reached is left
#: out, in seconds: its entry may be of another writer.  Daemons ask a new
#: member within a second.
UNCONFIRMED_S = 5.0


class AskedMembers(msgspec.Struct):
    """Open connections to all members but the primary.

    Parameters
    ==========

    members : set of RosterMember
        The members that are asked, listed or not.
    listed : set of MemberId
        Those that can be promoted.
    unreached : list of RosterMember
        Members that have to be asked, and cannot be reached.

    """

    members: set[coordination.RosterMember]
    listed: set[ids.MemberId]
    unreached: list[coordination.RosterMember]
    connections: list[pooled_connection.PooledConnection]
    unlisted_channels: dict[ids.MemberId, member_channel.Channel]

    @property
    def channels(self) -> dict[ids.MemberId, member_channel.Channel]:
        """The connections by member."""
        return self.unlisted_channels | {
            each.pool.entry.id: each.channel for each in self.connections
        }

    @property
    def lost(self) -> list[ids.MemberId]:
        """Members whose connection has ended.

        A member that starts again is no longer on hold.
        """
        return [
            member
            for member, channel in self.channels.items()
            if channel.closed
        ]

    def joined(
        self, group: groups.Group, old: ids.MemberId | None
    ) -> list[ids.MemberId]:
        """Return members that were not asked, but have to be."""
        now_known = {
            replica_roster.of_entry(pool.entry)
            for pool in group.pool_by_member.values()
            if pool.entry.id != old and must_be_asked(group, pool)
        }
        return [each.id for each in now_known - self.members]

    def close(self) -> None:
        """Give all connections back."""
        for connection in self.connections:
            connection.pool.give_back(connection)
        for channel in self.unlisted_channels.values():
            channel.close()


def must_be_asked(group: groups.Group, pool: member_pool.MemberPool) -> bool:
    """Return whether a listed member may have acknowledged commits."""
    member = replica_roster.of_entry(pool.entry)
    return (
        not group.roster.recorded
        or member in group.roster.known
        or pool.listed_for_s < UNCONFIRMED_S
    )


async def connect(
    group: groups.Group,
    old: ids.MemberId | None,
    connector: member_channel.Connector,
) -> AskedMembers:
    """Connect to all members but the old primary.

    Of the known ones that are not listed, those that answer are asked.
    """
    pools = [
        pool for pool in group.pool_by_member.values() if pool.entry.id != old
    ]
    listed = {
        replica_roster.of_entry(pool.entry)
        for pool in group.pool_by_member.values()
    }
    unlisted = list(group.roster.last_unlisted(listed))
    taken, answers = await asyncio.gather(
        asyncio.gather(*(pool.take_or_open() for pool in pools)),
        asyncio.gather(
            *(_connect_unlisted(group, each, connector) for each in unlisted)
        ),
    )
    found = [each for each in taken if each is not None]
    channels = {
        member: channel
        for member, channel in zip(unlisted, answers, strict=True)
        if channel is not None
    }
    unreachable = [
        pool
        for pool, connection in zip(pools, taken, strict=True)
        if connection is None
    ]
    for pool in unreachable:
        _log_unreachable(group, pool)
    return AskedMembers(
        {replica_roster.of_entry(each.pool.entry) for each in found}
        | channels.keys(),
        {each.pool.entry.id for each in found},
        [
            replica_roster.of_entry(pool.entry)
            for pool in unreachable
            if must_be_asked(group, pool)
        ],
        found,
        {member.id: channel for member, channel in channels.items()},
    )


def describe(
    group: groups.Group,
    old: ids.MemberId | None,
    members: Iterable[coordination.RosterMember],
) -> list[str]:
    """Return the start of each member, and why it was not asked."""
    listed = {
        pool.entry.id: replica_roster.of_entry(pool.entry)
        for pool in group.pool_by_member.values()
    }
    last = group.roster.last_unlisted(listed.values())
    described = []
    for member in sorted(members):
        if member.id == old:
            why = "primary"
        elif listed.get(member.id) == member:
            why = "not_reached"
        elif member in last:
            why = "not_listed"
        else:
            why = "started_again"
        described.append(f"{member.id}/{member.started_ms}:{why}")
    return described


def _log_unreachable(
    group: groups.Group, pool: member_pool.MemberPool
) -> None:
    if must_be_asked(group, pool):
        loguru.logger.info(
            "event=replica_not_reached group={} member={} started_ms={}",
            group.id,
            pool.entry.id,
            pool.entry.started_ms,
        )
    else:
        loguru.logger.warning(
            "event=member_left_out group={} member={} address={} listed_s={}",
            group.id,
            pool.entry.id,
            pool.entry.address,
            int(pool.listed_for_s),
        )


async def _connect_unlisted(
    group: groups.Group,
    member: coordination.RosterMember,
    connector: member_channel.Connector,
) -> member_channel.Channel | None:
    """Return a connection to a replica that is not listed, if it answers."""
    channel = await connector.connect(
        member_channel.MemberAddress(member.id, group.id, member.address),
        UNLISTED_TIMEOUT_S,
    )
    if isinstance(channel, member_channel.MemberFault):
        return None
    status = await channel.observe(UNLISTED_TIMEOUT_S)
    if (
        isinstance(status, member_channel.MemberStatus)
        and status.role is member_channel.Role.REPLICA
    ):
        return channel
    channel.close()
    return None
