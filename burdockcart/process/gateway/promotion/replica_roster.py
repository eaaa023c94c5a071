"""Members of a group that may have acknowledged commits alone.

Explanation
===========

A commit is acknowledged once the primary and one replica hold it, and the
members decide which replica that is: also one whose entry has lapsed, or that
has left since.  So the list of members does not tell which logs matter for a
promotion.  The roster does: it names every member that was ever seen in the
group until a position of the primary, measured after the member had gone,
covers what it may have held alone.  It lies in the store, as a daemon that
starts has seen none of this.

"""

import enum
from typing import Collection

from burdockcart import ids
from burdockcart.process.gateway.store import coordination
from burdockcart.request import log_position
from burdockcart.version import manifest


class Gap(enum.Enum):
    """Why a set of members does not show which commits are acknowledged."""

    NOT_READ = "the roster has not been read"
    NO_HISTORY = "the members of before are not known"
    MEMBERS_MISSING = "more members than a primary were not asked"


def of_entry(entry: manifest.MemberEntry) -> coordination.RosterMember:
    """Return the start of a member that its entry names."""
    return coordination.RosterMember(entry.id, entry.started_ms, entry.address)


class ReplicaRoster:
    """Roster of one group as far as this daemon knows it.

    Parameters
    ==========

    first_start : bool
        Whether the whole deployment starts for the first time, so that a
        store without a roster means that there were no members before.

    Examples
    ========

    >>> from burdockcart.process.gateway.store import coordination
    >>> from burdockcart.process.gateway.promotion import replica_roster
    >>> a, b, c = (
    ...     coordination.RosterMember(each, 1, f"{each}:1") for each in "abc")
    >>> known = replica_roster.ReplicaRoster(first_start=False)
    >>> known.use(coordination.StoredRoster(
    ...     coordination.Roster((a, b, c)), 7))
    >>> known.gap({b, c}), known.gap({c}).name
    (None, 'MEMBERS_MISSING')

    """

    def __init__(self, first_start: bool):
        self._first_start = first_start
        self._stored: coordination.StoredRoster | None = None
        self._loaded = False
        #: Whether a roster was known before the store was restored.
        self._knew_history = False
        #: Members that are not in the stored roster yet.
        self._unrecorded: set[coordination.RosterMember] = set()
        #: Floor of a roster that a restored store has forgotten.
        self._least_floor: log_position.LogPosition | None = None

    @property
    def loaded(self) -> bool:
        """Whether the store has been read."""
        return self._loaded

    @property
    def recorded(self) -> bool:
        """Whether the store holds a roster that can be used."""
        return self._roster is not None

    @property
    def _roster(self) -> coordination.Roster | None:
        return self._stored.roster if self._stored is not None else None

    @property
    def known(self) -> frozenset[coordination.RosterMember]:
        """All members that the store or this daemon knows."""
        recorded = self._roster.members if self._roster is not None else ()
        return frozenset(recorded) | self._unrecorded

    @property
    def floor(self) -> log_position.LogPosition | None:
        """Position that covers the commits of members that were removed."""
        floors = [self._least_floor]
        if self._roster is not None:
            floors.append(self._roster.floor)
        return max((each for each in floors if each is not None), default=None)

    @property
    def history_known(self) -> bool:
        """Whether the members from before this daemon started are known."""
        return (
            self.recorded
            or self._knew_history
            or (self._loaded and self._first_start and self._stored is None)
        )

    def position(self, none: ids.StorePosition) -> ids.StorePosition:
        """Return the position of the stored roster, ``none`` without one."""
        return none if self._stored is None else self._stored.position

    def store_read(self) -> None:
        """Record that the store has been read, with or without a roster."""
        self._loaded = True

    def use(self, stored: coordination.StoredRoster) -> None:
        """Use a roster of the store."""
        if self._stored is not None and (
            stored.position < self._stored.position
        ):
            return
        self._stored = stored
        self._loaded = True
        if stored.roster is not None:
            self._unrecorded -= set(stored.roster.members)

    def restored(self) -> None:
        """Keep what a store that was restored from a copy may lack."""
        self._knew_history = self.history_known
        self._unrecorded |= self.known
        self._least_floor = self.floor
        self._stored, self._loaded = None, False

    def confirm(self, member: coordination.RosterMember) -> None:
        """Record that a member has answered under its identity."""
        if member not in self.known:
            self._unrecorded.add(member)

    def unlisted(
        self, listed: Collection[coordination.RosterMember]
    ) -> frozenset[coordination.RosterMember]:
        """Return the members that are not in the list of members."""
        return self.known - frozenset(listed)

    def last_unlisted(
        self, listed: Collection[coordination.RosterMember]
    ) -> frozenset[coordination.RosterMember]:
        """Return the unlisted members that have not started again since.

        Only these may still run: a query cannot tell an earlier start of a
        member, whose log may be lost, from a later one.
        """
        last_by_id = {
            member.id: member
            for member in [
                *sorted(self.known, key=lambda each: each.started_ms),
                *listed,
            ]
        }
        return frozenset(last_by_id.values()) - frozenset(listed)

    def gap(
        self,
        asked: Collection[coordination.RosterMember],
        primary: ids.MemberId | None = None,
    ) -> Gap | None:
        """Return why these members may not hold every acknowledged commit.

        None if all that are known were asked, but for one.  As none of those
        leads, that one is the primary, and each acknowledged commit has been
        received by another one.  It may have started more than once.

        Parameters
        ==========

        primary : MemberId or None
            The primary, which may not be recorded yet.

        """
        if not self._loaded:
            return Gap.NOT_READ
        if not self.history_known:
            return Gap.NO_HISTORY
        missing = {member.id for member in self.known - frozenset(asked)}
        if primary is not None:
            missing.add(primary)
        if len(missing) > 1:
            return Gap.MEMBERS_MISSING
        return None

    def without(
        self,
        gone: Collection[coordination.RosterMember],
        position: log_position.LogPosition | None,
    ) -> coordination.Roster | None:
        """Return the roster to record; None if it is in the store already.

        Parameters
        ==========

        gone : collection of RosterMember
            Members that have gone, with their logs.
        position : LogPosition or None
            Position that the primary has reported since then; None if it
            did not answer, so that no member can be removed.

        """
        if position is None:
            if not self.history_known:
                return None
            gone = ()
        floor = self.floor
        if position is not None and (gone or not self.history_known):
            floor = max(position, floor or position)
        roster = coordination.Roster(
            tuple(sorted(self.known - frozenset(gone))), floor
        )
        return None if roster == self._roster else roster
