"""Members whose connections this daemon holds."""

import itertools
from typing import Iterable
from typing import NamedTuple

from burdockcart import clock
from burdockcart import ids
from burdockcart.process.gateway.members import connection_share
from burdockcart.process.gateway.store import coordination
from burdockcart.process.peers import holder_choice
from burdockcart.version import manifest

#: Assumed number of daemons before the first list.
INITIAL_DAEMONS = 4
#: Daemons that follow the holders and take over when they are lost.
SUCCESSORS = 2
#: Time for which a daemon goes on to hold a member after another daemon last
#: relayed through it, in seconds: longer than the pause between two polls of
#: the list of daemons, so that its connections last until all lists agree.
DRAFTED_S = 4.0
#: Time for which a daemon that has left the list may still serve clients, in
#: seconds: one that drains leaves the list first.
LEFT_S = 8.0
#: Time for which other daemons may go by an earlier list, in seconds: longer
#: than the pause between two polls and the time for which they go on to hold
#: a member.
EARLIER_S = 8.0
#: Connections of a daemon to a member by way of its holders.  They cost the
#: member nothing; the number bounds what one daemon has at a member.
RELAYED = connection_share.Share(16, 16)


class _Key(NamedTuple):
    """What the holders of a member depend on beside the list of daemons."""

    member: ids.MemberId
    domain: ids.DomainName
    size: int


class _Found(NamedTuple):
    """Holders of a member, and whether this daemon is one of them."""

    holders: holder_choice.Holders
    own: bool


class Holding:
    """Chooses the holders of members from the list of daemons."""

    def __init__(self, daemon: ids.DaemonId, loop_clock: clock.Clock):
        self._daemon = daemon
        self._clock = loop_clock
        #: Whether this daemon is shutting down.
        self.leaving = False
        self._started_at = loop_clock.now()
        self._entry_by_id: dict[ids.DaemonId, coordination.DaemonEntry] = {}
        #: Daemons in the store, and those that left it and when.
        self._listed: dict[ids.DaemonId, coordination.DaemonEntry] = {}
        self._left_by_id: dict[
            ids.DaemonId, tuple[coordination.DaemonEntry, float]
        ] = {}
        self._count = connection_share.DaemonCount(
            INITIAL_DAEMONS, loop_clock.now()
        )
        self._daemons = INITIAL_DAEMONS
        #: Earlier lists, how many daemons counted, and when each ended.
        self._earlier: list[
            tuple[list[coordination.DaemonEntry], int, float]
        ] = []
        self._drafted_until: dict[ids.MemberId, float] = {}
        self._found_by_key: dict[_Key, _Found] = {}
        #: Those that were asked for since the last change of the list.
        self._used: set[_Key] = set()

    def use_daemons(self, entries: Iterable[coordination.DaemonEntry]) -> None:
        """Use a new list of daemons."""
        now = self._clock.now()
        former = self._entry_by_id
        before = list(former.values())
        self._earlier = [
            each for each in self._earlier if now - each[2] < EARLIER_S
        ] + [(before, self._daemons, now)]
        self._entry_by_id = {each.id: each for each in entries}
        self.recount()
        self._update_holders(former)

    def _update_holders(
        self, former: dict[ids.DaemonId, coordination.DaemonEntry]
    ) -> None:
        """Bring the known holders up to a new list of daemons.

        A daemon that joins is compared with the holders alone: ranking all
        daemons again for each member and each change takes, while a
        deployment starts, hashes with the square of its daemons.  Holders of
        whom one has left or changed are chosen anew when they are needed, and
        those that nobody has asked for since the last change are dropped.
        """
        listed = self._entry_by_id
        removed = {
            each for each, entry in former.items() if listed.get(each) != entry
        }
        added = [
            entry
            for each, entry in listed.items()
            if each not in former or each in removed
        ]
        self._found_by_key = {
            key: self._with_added(key, found.holders, added)
            for key, found in self._found_by_key.items()
            if key in self._used
            and removed.isdisjoint(each.id for each in found.holders.ranked)
        }
        self._used.clear()

    def _with_added(
        self,
        key: _Key,
        holders: holder_choice.Holders,
        added: list[coordination.DaemonEntry],
    ) -> _Found:
        return self._found(
            key,
            holder_choice.rank(
                key.member, key.domain, (*holders.ranked, *added)
            ),
        )

    def _found(
        self, key: _Key, ranked: list[coordination.DaemonEntry]
    ) -> _Found:
        active = ranked[: key.size]
        return _Found(
            holder_choice.Holders(
                tuple(ranked[: key.size + SUCCESSORS]), key.size
            ),
            any(each.id == self._daemon for each in active),
        )

    def note_listed(self, entries: Iterable[coordination.DaemonEntry]) -> None:
        """Note which daemons are listed, also while this one leaves."""
        now = self._clock.now()
        left = {each: (entry, now) for each, entry in self._listed.items()}
        self._listed = {each.id: each for each in entries}
        self._left_by_id = {
            each: (entry, left_at)
            for each, (entry, left_at) in (left | self._left_by_id).items()
            if each not in self._listed and now - left_at < LEFT_S
        }

    def recount(self) -> None:
        """Count the daemons again: those that left count for some time."""
        self._daemons = self._count.record_count(
            len(self._entry_by_id), self._clock.now()
        )

    def holders(
        self, member: manifest.MemberEntry, connections: int
    ) -> holder_choice.Holders | None:
        """Return the holders of a member; None if all daemons hold it."""
        found = self._choose(member, connections)
        return None if found is None else found.holders

    def _choose(
        self, member: manifest.MemberEntry, connections: int
    ) -> _Found | None:
        count = holder_choice.holder_count(connections, self._daemons)
        if count >= self._daemons or not self._entry_by_id:
            return None
        key = _Key(member.id, member.domain, count)
        self._used.add(key)
        found = self._found_by_key.get(key)
        if found is None:
            ranked = holder_choice.rank(
                member.id, member.domain, self._entry_by_id.values()
            )
            found = self._found(key, ranked)
            self._found_by_key[key] = found
        return found

    def others(
        self, member: manifest.MemberEntry
    ) -> list[coordination.DaemonEntry]:
        """Return the other daemons, those most likely to reach it first."""
        return [
            entry
            for entry in holder_choice.rank(
                member.id, member.domain, self._entry_by_id.values()
            )
            if entry.id != self._daemon
        ]

    def connecting(
        self, member: manifest.MemberEntry, connections: int
    ) -> list[coordination.DaemonEntry]:
        """Return the other daemons that may connect to a member directly.

        Also those that have left the list a short time ago, and those that do
        so by an earlier list.
        """
        now = self._clock.now()
        used = {each.address for each in self._listed.values()}
        entry_by_id = self._listed | {
            each: entry
            for each, (entry, left_at) in self._left_by_id.items()
            if now - left_at < LEFT_S and entry.address not in used
        }
        lists = [(list(entry_by_id.values()), self._daemons)] + [
            (entries, count)
            for entries, count, ended_at in self._earlier
            if now - ended_at < EARLIER_S
        ]
        found = {
            each.id
            for entries, count in lists
            for each in itertools.chain(
                _connecting(member, connections, entries, count),
                # Others may no longer count daemons that have left.
                _connecting(member, connections, entries, len(entries)),
            )
        }
        half = len(entry_by_id) // 2
        if now - self._started_at < EARLIER_S and (
            holder_choice.holder_count(connections, half) >= half
        ):
            # The lists of before this daemon started are not known here; all
            # connected directly by one with half as many daemons.
            found |= entry_by_id.keys()
        # A daemon that leaves goes by the list that it had.
        holders = self.holders(member, connections)
        if holders is not None:
            found |= {each.id for each in holders.ranked}
        return [
            entry
            for each, entry in entry_by_id.items()
            if each in found and each != self._daemon
        ]

    def draft(self, member: ids.MemberId) -> bool:
        """Hold a member because another daemon relays through this one.

        Returns True if the daemon did not hold it before.
        """
        now = self._clock.now()
        new = self._drafted_until.get(member, 0.0) < now
        self._drafted_until[member] = now + DRAFTED_S
        return new

    def holds(self, member: manifest.MemberEntry, connections: int) -> bool:
        """Return whether this daemon connects to a member directly."""
        found = self._choose(member, connections)
        if found is None or found.own:
            return True
        drafted_until = self._drafted_until.get(member.id)
        return drafted_until is not None and (
            drafted_until >= self._clock.now()
        )

    def share(
        self,
        member: manifest.MemberEntry,
        connections: int,
        accounts: bool = False,
    ) -> connection_share.Share:
        """Return the limits of this daemon's connections to a member.

        Parameters
        ==========

        accounts : bool
            Whether clients have accounts, which share no connections.

        """
        if not self.holds(member, connections):
            return RELAYED
        holders = self.holders(member, connections)
        share = connection_share.share_of(
            connections,
            self._daemons if holders is None else holders.count,
            self._clock.now() - self._started_at,
            accounts,
        )
        if self.leaving and holders is not None:
            # Unused connections make room for those of the next holders.
            return connection_share.Share(0, share.soft_limit)
        return share


def _connecting(
    member: manifest.MemberEntry,
    connections: int,
    entries: list[coordination.DaemonEntry],
    daemons: int,
) -> list[coordination.DaemonEntry]:
    """Return the daemons that may connect to a member by one list."""
    count = holder_choice.holder_count(connections, daemons)
    if count >= daemons:
        return entries
    ranked = holder_choice.rank(member.id, member.domain, entries)
    return ranked[: count + SUCCESSORS]
