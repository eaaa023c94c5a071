"""Keeps the rosters of all groups up to date in the platform's store.

Explanation
===========

A member that has answered under its identity is added.  One that is no longer
listed is removed once its process does not answer at its address either, and
the primary has reported a position since then, which becomes the floor.  A
member whose entry has lapsed, but which still answers, stays: it receives and
counts for the acknowledgement of commits.

A few daemons of the fleet do this, one after the other, so that a change
costs one write as long as the first one is there.

"""

import asyncio
from typing import Callable
from typing import Collection

import loguru
from returns import result

from burdockcart import clock
from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.process.gateway.members import group as groups
from burdockcart.process.gateway.members import member_pool
from burdockcart.process.gateway.promotion import replica_roster
from burdockcart.process.gateway.promotion import turn
from burdockcart.process.gateway.store import coordination
from burdockcart.process.gateway.store import store_era
from burdockcart.request import log_position

#: Interval between scans of all groups, in seconds.
SCAN_INTERVAL_S = 0.5
#: Daemons that may write a group's roster: some may be cut off or lost.
KEEPERS = 4
#: Time between the turns of two keepers, in seconds: a daemon learns within
#: 1.7 s what another one has written.
TURN_S = 2.5
#: Pause after a write that failed, in seconds; this daemon learns in that time
#: what another one has written.
WRITE_RETRY_S = 2.0
#: Timeout of a query to a member, in seconds.
QUERY_TIMEOUT_S = 0.3
#: Pause before a member that has never answered is asked again, in seconds;
#: it doubles up to the maximum, as an entry of another writer may stay.
CONFIRM_PAUSE_S = 1.0
MAX_CONFIRM_PAUSE_S = 60.0
#: Pause before an unlisted member that answered is asked again, in seconds.
UNLISTED_PAUSE_S = 2.0


class RosterKeeper:
    """Adds and removes members of the rosters, as one of a few daemons.

    Parameters
    ==========

    connector : Connector
        Opens connections to members that are not in the list.
    daemons : callable
        Returns the registered daemons.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        group_by_id: dict[ids.GroupId, groups.Group],
        platform: coordination.Platform,
        connector: member_channel.Connector,
        loop_clock: clock.Clock,
        daemons: Callable[[], Collection[ids.DaemonId]],
    ):
        self._group_by_id = group_by_id
        self._platform = platform
        self._connector = connector
        self._clock = loop_clock
        self._ranks = turn.Ranks(daemon, daemons)
        #: How a group's roster is outdated, and since when: members of one
        #: of roster and list only, and what the store does not hold yet.
        self._outdated_since: dict[
            ids.GroupId,
            tuple[
                tuple[
                    frozenset[coordination.RosterMember],
                    coordination.Roster | None,
                ],
                float,
            ],
        ] = {}
        #: When a roster may be written again after a failure.
        self._write_not_before: dict[ids.GroupId, float] = {}
        #: When a member is asked next, and the pause after that.
        self._next_query: dict[
            coordination.RosterMember, tuple[float, float]
        ] = {}

    async def run(self) -> None:
        """Update the rosters until cancelled."""
        while True:
            await asyncio.sleep(SCAN_INTERVAL_S)
            await asyncio.gather(
                *(self._keep(each) for each in self._group_by_id.values())
            )
            if not self._next_query:
                continue
            known = [
                each.roster.known | _listed(each).keys()
                for each in self._group_by_id.values()
            ]
            self._next_query = {
                member: due
                for member, due in self._next_query.items()
                if any(member in each for each in known)
            }

    async def _keep(self, group: groups.Group) -> None:
        """Update one group's roster if that is this daemon's turn."""
        not_before = self._write_not_before.get(group.id, 0.0)
        if not group.roster.loaded or self._clock.now() < not_before:
            return
        if not self._has_turn(group):
            return
        await self._confirm_listed(group)
        gone = await self._gone(group)
        position = None
        if gone or not group.roster.history_known:
            position = await self._covered_position(group)
        roster = group.roster.without(gone, position)
        if roster is not None:
            await self._write(group, roster)

    async def _covered_position(
        self, group: groups.Group
    ) -> log_position.LogPosition | None:
        """Return a position of the primary that a listed replica holds.

        The primary may have commits that no replica has received.  If it were
        lost before one has, no candidate could ever reach such a floor.
        """
        position = await group.primary.position_now()
        if position is None:
            return None
        replicas = [
            pool
            for member, pool in group.pool_by_member.items()
            if member != group.primary.leadership.member
        ]
        answers = await asyncio.gather(
            *(pool.observe(QUERY_TIMEOUT_S) for pool in replicas)
        )
        covered = any(
            isinstance(answer, member_channel.MemberStatus)
            and answer.received >= position
            for answer in answers
        )
        return position if covered else None

    def _has_turn(self, group: groups.Group) -> bool:
        """Return whether the roster is outdated and this daemon may act."""
        roster = group.roster
        different = roster.known ^ _listed(group).keys()
        unwritten = roster.without((), None)
        if roster.recorded and not different and unwritten is None:
            self._outdated_since.pop(group.id, None)
            return False
        now = self._clock.now()
        outdated = different, unwritten
        known, since = self._outdated_since.get(group.id, (None, now))
        if known != outdated:
            self._outdated_since[group.id] = outdated, now
            since = now
        place = self._ranks.rank(group.id)
        return place < KEEPERS and now - since >= place * TURN_S

    def _query_due(self, member: coordination.RosterMember) -> bool:
        due_at, _ = self._next_query.get(member, (0.0, 0.0))
        return self._clock.now() >= due_at

    async def _confirm_listed(self, group: groups.Group) -> None:
        """Ask the listed members that have never answered."""
        unknown = [
            (member, pool)
            for member, pool in _listed(group).items()
            if member not in group.roster.known and self._query_due(member)
        ]
        await asyncio.gather(
            *(self._confirm(group, *each) for each in unknown)
        )

    async def _confirm(
        self,
        group: groups.Group,
        member: coordination.RosterMember,
        pool: member_pool.MemberPool,
    ) -> None:
        answer = await pool.observe(QUERY_TIMEOUT_S)
        if isinstance(answer, member_channel.MemberStatus):
            self._next_query.pop(member, None)
            group.roster.confirm(member)
            return
        _, pause_s = self._next_query.get(member, (0.0, CONFIRM_PAUSE_S))
        self._next_query[member] = (
            self._clock.now() + pause_s,
            min(2 * pause_s, MAX_CONFIRM_PAUSE_S),
        )

    async def _gone(
        self, group: groups.Group
    ) -> set[coordination.RosterMember]:
        """Return the known members that neither are listed nor answer."""
        listed = _listed(group).keys()
        unlisted = [
            member
            for member in group.roster.unlisted(listed)
            if self._query_due(member)
        ]
        may_run = group.roster.last_unlisted(listed)
        answers = await asyncio.gather(
            *(
                self._answers(group, member)
                for member in unlisted
                if member in may_run
            )
        )
        answering = {each for each in answers if each is not None}
        until = self._clock.now() + UNLISTED_PAUSE_S
        self._next_query |= {
            each: (until, UNLISTED_PAUSE_S) for each in answering
        }
        return set(unlisted) - answering

    async def _answers(
        self, group: groups.Group, member: coordination.RosterMember
    ) -> coordination.RosterMember | None:
        """Return a member if it still answers under its identity."""
        channel = await self._connector.connect(
            member_channel.MemberAddress(member.id, group.id, member.address),
            QUERY_TIMEOUT_S,
        )
        if isinstance(channel, member_channel.MemberFault):
            full = member_channel.MemberFault.CONNECTIONS_EXHAUSTED
            return member if channel is full else None
        channel.close()
        return member

    async def _write(
        self, group: groups.Group, roster: coordination.Roster
    ) -> None:
        none = store_era.position(self._platform.eras.current, 0)
        written = await self._platform.write_roster(
            group.id, roster, group.roster.position(none)
        )
        if isinstance(written, result.Failure):
            loguru.logger.info(
                "event=roster_not_written group={} fault={!r}",
                group.id,
                written.failure().value,
            )
            self._write_not_before[group.id] = (
                self._clock.now() + WRITE_RETRY_S
            )
            return
        group.roster.use(coordination.StoredRoster(roster, written.unwrap()))
        loguru.logger.info(
            "event=roster_written group={} members={} floor={}",
            group.id,
            ",".join(
                f"{each.id}/{each.started_ms}" for each in roster.members
            ),
            roster.floor,
        )


def _listed(
    group: groups.Group,
) -> dict[coordination.RosterMember, member_pool.MemberPool]:
    """Return the listed starts of members and their pools."""
    return {
        replica_roster.of_entry(pool.entry): pool
        for pool in group.pool_by_member.values()
    }
