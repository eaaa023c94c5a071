"""Members as their entries in the platform's store tell."""

from burdockcart import ids
from burdockcart.version import manifest

#: An entry that vanished without a goodbye may come back: members enter
#: themselves again within about 2 s after the store returns.
GONE_AFTER_S = 2.5


class MemberCatalog:
    """Entries in force, and those that vanished a short time ago.

    Explanation
    ===========

    A member that said that it drains and whose entry goes has left.  Any
    other entry that goes may have lapsed while the store was away, so its
    member stays in use until the entry has been missing for
    ``GONE_AFTER_S`` with the store in reach.

    Examples
    ========

    >>> from burdockcart.process.gateway import member_catalog
    >>> catalog = member_catalog.MemberCatalog()
    >>> catalog.changed({"a": None}, now=0.0)
    >>> catalog.gone(now=9.0)
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
        """Take over a whole list."""
        missing = self.entry_by_id.keys() - entry_by_id.keys()
        self.changed({**entry_by_id, **dict.fromkeys(missing)}, now)

    def changed(
        self,
        entry_by_id: dict[ids.MemberId, manifest.MemberEntry | None],
        now: float,
    ) -> None:
        """Take over changes; None for an entry that was removed."""
        for member, entry in entry_by_id.items():
            if entry is not None:
                self.entry_by_id[member] = entry
                self._missing_since.pop(member, None)
            elif member in self.entry_by_id:
                self._missing_since.setdefault(member, now)

    def store_lost(self) -> None:
        """Start the waits for missing entries again: the store is away."""
        for member in self._missing_since:
            if not self._drains(member):
                self._missing_since[member] = float("inf")

    def store_recovered(self, now: float) -> None:
        """Count from now how long entries have been missing."""
        for member, since in self._missing_since.items():
            self._missing_since[member] = min(since, now)

    def _drains(self, member: ids.MemberId) -> bool:
        state = self.entry_by_id[member].state
        return state is manifest.MemberState.DRAINING

    def gone(self, now: float) -> list[ids.MemberId]:
        """Remove and return the members that have left."""
        left = [
            member
            for member, since in self._missing_since.items()
            if self._drains(member) or now - since >= GONE_AFTER_S
        ]
        for member in left:
            del self._missing_since[member]
            del self.entry_by_id[member]
        return left
