"""Keeps the rosters of all groups up to date in the platform's store.

Explanation
===========

A member that has answered under its identity is added.  One that is no longer
listed is removed once its process does not answer at its address either, and
the primary has reported a position since then, which becomes the floor.  A
member whose entry has lapsed, but which still answers, stays: it receives and
counts for the acknowledgement of commits.

A listed member is removed in the same way if its host says that no process
listens at its address.  Its entry lapses seconds later only, and the primary
may be lost before.  If such a member answers again, each daemon counts it at
once, and the keeper adds it again.

A few daemons of the fleet do this, one after the other, so that a change
costs one write as long as the first one is there.

"""

import asyncio
import math
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
#: Pause before a listed member is looked at again that has not ended, in
#: seconds.
ENDED_PAUSE_S = 1.0
#: Time in which a member that starts again reports that, in seconds.
ENTRY_S = 1.0
#: Time in which a replica must receive what the primary has, in seconds:
#: twice the usual lag of replicas that are 150 ms behind.
COVER_S = 0.3
COVER_PAUSE_S = 0.05


class RosterKeeper:
    """Adds and removes members of the rosters, as one of a few daemons.

    Parameters
    ==========

    connector : Connector
        Opens connections to members that are not in the list.
    daemons : callable
        Returns the registered daemons.
    known_until : callable
        Returns when the known state of the store was asked for.

    """

    def __init__(
        self,
        daemon: ids.DaemonId,
        group_by_id: dict[ids.GroupId, groups.Group],
        platform: coordination.Platform,
        connector: member_channel.Connector,
        loop_clock: clock.Clock,
        daemons: Callable[[], Collection[ids.DaemonId]],
        known_until: Callable[[], float | None],
    ):
        self._known_until = known_until
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
        #: Members of the rosters when they were last looked at.
        self._known_by_group: dict[
            ids.GroupId, frozenset[coordination.RosterMember]
        ] = {}
        #: Members that were removed while listed, and when that was seen.
        self._removed_at: dict[coordination.RosterMember, float] = {}
        #: When they were first seen to answer again.
        self._returned_at: dict[coordination.RosterMember, float] = {}

    async def run(self) -> None:
        """Update the rosters until cancelled."""
        while True:
            await asyncio.sleep(SCAN_INTERVAL_S)
            await asyncio.gather(
                *(self._keep(each) for each in self._group_by_id.values())
            )
            known: set[coordination.RosterMember] = set()
            for each in self._group_by_id.values():
                known |= each.roster.known | _listed(each).keys()
            for member in self._next_query.keys() - known:
                del self._next_query[member]
            for member in self._removed_at.keys() - known:
                del self._removed_at[member]
                self._returned_at.pop(member, None)

    async def _keep(self, group: groups.Group) -> None:
        """Update one group's roster if that is this daemon's turn."""
        self._count_returned(group)
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
        until = self._clock.now() + COVER_S
        while True:
            answers = await asyncio.gather(
                *(pool.observe(QUERY_TIMEOUT_S) for pool in replicas)
            )
            if any(
                isinstance(answer, member_channel.MemberStatus)
                and answer.received >= position
                for answer in answers
            ):
                return position
            if self._clock.now() >= until:
                return None
            await asyncio.sleep(COVER_PAUSE_S)

    def _count_returned(self, group: groups.Group) -> None:
        """Count the members that have answered again since their removal.

        An answer does not tell whether the member has started again.  So the
        start in the list is added to the roster only if the list is of after
        the answer.
        """
        now = self._clock.now()
        known = group.roster.known
        listed = _listed(group)
        removed = self._known_by_group.get(group.id, known) - known
        self._known_by_group[group.id] = known
        for member in removed & listed.keys():
            self._removed_at.setdefault(member, now)
        group.roster.returned &= listed.keys() - known
        for member, pool in listed.items():
            removed_at = self._removed_at.get(member, math.inf)
            if member in known:
                self._removed_at.pop(member, None)
                self._returned_at.pop(member, None)
            elif pool.health.last_answer_at > removed_at:
                group.roster.returned.add(member)
                since = self._returned_at.setdefault(member, now)
                if (self._known_until() or 0.0) > since + ENTRY_S:
                    group.roster.confirm(member)

    def _has_turn(self, group: groups.Group) -> bool:
        """Return whether the roster is outdated and this daemon may act."""
        roster = group.roster
        place = self._ranks.rank(group.id)
        different = roster.known ^ _listed(group).keys() | _failing(group)
        if not place and self._unconnected(group):
            return True
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
        return place < KEEPERS and now - since >= place * TURN_S

    def _unconnected(
        self, group: groups.Group
    ) -> frozenset[coordination.RosterMember]:
        """Return the listed replicas that no traffic of this daemon shows.

        A process that ends resets its connections; the first keeper looks
        whether it has.
        """
        if self._ranks.rank(group.id):
            return frozenset()
        return frozenset(
            member
            for member, pool in _listed_replicas(group).items()
            if not pool.has_idle()
            and not pool.busy_count
            and self._query_due(member)
        )

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
            if member in self._removed_at:
                return
            group.roster.confirm(member)
            return
        _, pause_s = self._next_query.get(member, (0.0, CONFIRM_PAUSE_S))
        if member in self._removed_at:
            # It may be back with its log at any time.
            pause_s = CONFIRM_PAUSE_S
        self._next_query[member] = (
            self._clock.now() + pause_s,
            min(2 * pause_s, MAX_CONFIRM_PAUSE_S),
        )

    async def _gone(
        self, group: groups.Group
    ) -> set[coordination.RosterMember]:
        """Return the known members that have ended, as far as can be told.

        Those that neither are listed nor answer, and listed ones at whose
        address no process listens.
        """
        listed = _listed(group).keys()
        failing = [
            member
            for member in _failing(group) | self._unconnected(group)
            if self._query_due(member)
        ]
        ended = await asyncio.gather(
            *(
                self._connector.ended(
                    member_channel.MemberAddress(
                        member.id, group.id, member.address
                    ),
                    QUERY_TIMEOUT_S,
                )
                for member in failing
            )
        )
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
        self._next_query |= {
            member: (self._clock.now() + ENDED_PAUSE_S, ENDED_PAUSE_S)
            for member, each in zip(failing, ended, strict=True)
            if not each
        }
        return set(unlisted) - answering | {
            member for member, each in zip(failing, ended, strict=True) if each
        }

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


def _failing(group: groups.Group) -> frozenset[coordination.RosterMember]:
    """Return the listed replicas of the roster that this daemon has lost."""
    return frozenset(
        member
        for member, pool in _listed_replicas(group).items()
        if pool.health.failing
    )


def _listed_replicas(
    group: groups.Group,
) -> dict[coordination.RosterMember, member_pool.MemberPool]:
    """Return the listed members of the roster that do not lead."""
    return {
        member: pool
        for member, pool in _listed(group).items()
        if member in group.roster.known
        and member.id != group.primary.leadership.member
    }


def _listed(
    group: groups.Group,
) -> dict[coordination.RosterMember, member_pool.MemberPool]:
    """Return the listed starts of members and their pools."""
    return {
        replica_roster.of_entry(pool.entry): pool
        for pool in group.pool_by_member.values()
    }
