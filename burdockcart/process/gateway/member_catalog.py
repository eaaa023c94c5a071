"""Members that are registered in the platform's store."""

from burdockcart import ids
from burdockcart.version import manifest

#: Time after which a member whose entry disappeared without draining is
#: removed, in seconds: members register again within about 2 s after the store
#: has recovered.
REMOVAL_DELAY_S = 2.5


class MemberCatalog:
    """Current entries, and entries that disappeared recently.

    Explanation
    ===========

    A draining member whose entry disappears has left.  Any other entry may
    have expired during an outage of the store, so its member stays in use
    until the entry has been missing for ``REMOVAL_DELAY_S`` while the store
    is reachable.

    Examples
    ========

    >>> from burdockcart.process.gateway import member_catalog
    >>> catalog = member_catalog.MemberCatalog()
    >>> catalog.changed({"a": None}, now=0.0)
    >>> catalog.remove_departed(now=9.0)
    []

    """

    def __init__(self) -> None:
        self.entry_by_id: dict[ids.MemberId, manifest.MemberEntry] = {}
        self._missing_since: dict[ids.MemberId, float] = {}

    def listed(
        self,
        entry_by_id: dict[ids.MemberId, manifest.MemberEntry],
        now: float,
    ) -> None:
        """Replace all entries."""
        missing = self.entry_by_id.keys() - entry_by_id.keys()
        self.changed({**entry_by_id, **dict.fromkeys(missing)}, now)

    def changed(
        self,
        entry_by_id: dict[ids.MemberId, manifest.MemberEntry | None],
        now: float,
    ) -> None:
        """Apply changes; None stands for a removed entry."""
        for member, entry in entry_by_id.items():
            if entry is not None:
                self.entry_by_id[member] = entry
                self._missing_since.pop(member, None)
            elif member in self.entry_by_id:
                self._missing_since.setdefault(member, now)

    def store_lost(self) -> None:
        """Suspend the removal delays of missing entries."""
        for member in self._missing_since:
            if not self._drains(member):
                self._missing_since[member] = float("inf")

    def store_recovered(self, now: float) -> None:
        """Restart the removal delays of missing entries."""
        for member, since in self._missing_since.items():
            self._missing_since[member] = min(since, now)

    def _drains(self, member: ids.MemberId) -> bool:
        state = self.entry_by_id[member].state
        return state is manifest.MemberState.DRAINING

    def remove_departed(self, now: float) -> list[ids.MemberId]:
        """Remove and return the members that have left."""
        left = [
            member
            for member, since in self._missing_since.items()
            if self._drains(member) or now - since >= REMOVAL_DELAY_S
        ]
        for member in left:
            del self._missing_since[member]
            del self.entry_by_id[member]
        return left
