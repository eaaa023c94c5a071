"""Members that are registered in the platform's store."""

from burdockcart import ids
from burdockcart.version import manifest

#: Time after which a member whose entry disappeared without draining is
#: removed, in seconds: members register again within about 2 s after the store
#: has recovered.
REMOVAL_DELAY_S = 2.5
#: Time for which members that left are remembered, in seconds: copies from
#: which a store is restored are some seconds old.
LEFT_MEMORY_S = 120.0
#: Time after which the restored entry of a member that had left is used after
#: all, in seconds: the store removes it after three silent heartbeats (3.6 s)
#: unless the member runs.
DOUBT_S = 6.0


class MemberCatalog:
    """Current entries, and entries that disappeared recently.

    Explanation
    ===========

    A draining member whose entry disappears has left.  Any other entry may
    have expired during an outage of the store, so its member stays in use
    until the entry has been missing for ``REMOVAL_DELAY_S`` while the store
    is reachable.

    A restored store holds entries that are older than the known ones, also of
    members that have left, and lacks others.  An older entry is not used; the
    member writes a newer one if it still runs.

    Examples
    ========

    >>> from burdockcart.process.gateway.store import member_catalog
    >>> catalog = member_catalog.MemberCatalog()
    >>> catalog.changed({"a": None}, now=0.0)
    >>> catalog.remove_departed(now=9.0)
    []

    """

    def __init__(self) -> None:
        self.entry_by_id: dict[ids.MemberId, manifest.MemberEntry] = {}
        self._missing_since: dict[ids.MemberId, float] = {}
        #: Members whose missing entry does not tell that they have left,
        #: although they were draining.
        self._forgotten: set[ids.MemberId] = set()
        #: Last entries of members that have left, and when they did.
        self._left: dict[ids.MemberId, tuple[manifest.MemberEntry, float]] = {}
        #: Restored entries of members that have left, and since when.
        self._doubted: dict[
            ids.MemberId, tuple[manifest.MemberEntry, float]
        ] = {}

    def listed(
        self,
        entry_by_id: dict[ids.MemberId, manifest.MemberEntry],
        now: float,
    ) -> None:
        """Replace all entries."""
        certain = {
            member: entry
            for member, entry in entry_by_id.items()
            if member not in self._doubted or self._doubted[member][0] != entry
        }
        missing = self.entry_by_id.keys() - entry_by_id.keys()
        gone = self._doubted.keys() - entry_by_id.keys()
        self.changed({**certain, **dict.fromkeys(missing | gone)}, now)

    def restored(
        self,
        entry_by_id: dict[ids.MemberId, manifest.MemberEntry],
        now: float,
    ) -> None:
        """Use the first list of a store that was restored from a copy."""
        newer = {
            member: entry
            for member, entry in entry_by_id.items()
            if not self._is_copy(entry)
        }
        missing = self.entry_by_id.keys() - entry_by_id.keys()
        self._forgotten |= missing
        self.changed({**newer, **dict.fromkeys(missing)}, now)
        self._doubted = {
            member: (entry, now)
            for member, entry in entry_by_id.items()
            if member not in self.entry_by_id
        }

    def use_doubted(self, now: float) -> list[manifest.MemberEntry]:
        """Use and return restored entries that have stayed for long.

        Their members run: an entry of one that has left goes again.
        """
        lasting = [
            entry
            for entry, since in self._doubted.values()
            if now - since >= DOUBT_S
        ]
        self.changed({entry.id: entry for entry in lasting}, now)
        return lasting

    def _is_copy(self, entry: manifest.MemberEntry) -> bool:
        """Return whether an entry is older than what is known, or the same."""
        known = self.entry_by_id.get(entry.id)
        if known is None and entry.id in self._left:
            known, _ = self._left[entry.id]
        return known is not None and (entry.started_ms, entry.sequence) <= (
            known.started_ms,
            known.sequence,
        )

    def changed(
        self,
        entry_by_id: dict[ids.MemberId, manifest.MemberEntry | None],
        now: float,
    ) -> None:
        """Apply changes; None stands for a removed entry."""
        for member, entry in entry_by_id.items():
            self._doubted.pop(member, None)
            if entry is not None:
                self.entry_by_id[member] = entry
                self._missing_since.pop(member, None)
                self._forgotten.discard(member)
            elif member in self.entry_by_id:
                self._missing_since.setdefault(member, now)

    def store_lost(self) -> None:
        """Suspend the removal delays of missing entries."""
        for member in self._missing_since:
            if not self._has_left(member):
                self._missing_since[member] = float("inf")

    def store_recovered(self, now: float) -> None:
        """Restart the removal delays of missing entries."""
        for member, since in self._missing_since.items():
            self._missing_since[member] = min(since, now)

    def _has_left(self, member: ids.MemberId) -> bool:
        """Return whether a missing entry tells that its member has left."""
        state = self.entry_by_id[member].state
        drains = state is manifest.MemberState.DRAINING
        return drains and member not in self._forgotten

    def remove_departed(self, now: float) -> list[ids.MemberId]:
        """Remove and return the members that have left."""
        left = [
            member
            for member, since in self._missing_since.items()
            if self._has_left(member) or now - since >= REMOVAL_DELAY_S
        ]
        self._left = {
            member: (entry, at)
            for member, (entry, at) in self._left.items()
            if now - at < LEFT_MEMORY_S
        }
        for member in left:
            del self._missing_since[member]
            self._forgotten.discard(member)
            self._left[member] = self.entry_by_id.pop(member), now
        return left
