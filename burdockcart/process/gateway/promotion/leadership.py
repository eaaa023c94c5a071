"""Tracks which member of a group this daemon takes for the primary."""

from burdockcart import ids


class Leadership:
    """Presumed primary, from answers of members or else their entries.

    Explanation
    ===========

    An answer that only a primary gives carries the primary's term, and
    overrides answers of lower terms.  A member's own entry in the store is
    only a hint, which is used while no answer is known.  A wrong presumption
    costs a round trip but does no harm, because a member that is not the
    primary refuses statements that require it.

    Examples
    ========

    >>> from burdockcart.process.gateway.promotion import leadership
    >>> known = leadership.Leadership()
    >>> known.suggest_leader("a", now=1.0)
    True
    >>> known.confirm_leader("b", term=4, now=2.0)
    True
    >>> known.suggest_leader("a", now=3.0), known.member, known.since
    (False, 'b', 2.0)
    >>> known.reject_leader("b"), known.member is None
    (True, True)

    """

    def __init__(self) -> None:
        self.member: ids.MemberId | None = None
        self.term = 0
        #: Since when ``member`` has been taken for the primary.
        self.since = 0.0
        self._rejected: set[ids.MemberId] = set()

    def confirm_leader(
        self, member: ids.MemberId, term: int, now: float
    ) -> bool:
        """Record an answer of a primary; True if member or term changed."""
        if term < self.term:
            return False
        changed = member != self.member or term > self.term
        self.term = term
        self._set_member(member, now)
        self._rejected.clear()
        return changed

    def supersede(self, term: int) -> ids.MemberId | None:
        """Record that a later term has begun; return the former primary."""
        former, self.member, self.term = self.member, None, term
        if former is not None:
            self._rejected.add(former)
        return former

    def reject_leader(self, member: ids.MemberId) -> bool:
        """Record that a member is not the primary; True if it was presumed."""
        self._rejected.add(member)
        if member != self.member:
            return False
        self.member = None
        return True

    def suggest_leader(self, member: ids.MemberId, now: float) -> bool:
        """Record that an entry claims leadership; True if it is used."""
        if self.member is not None or member in self._rejected:
            return False
        self._set_member(member, now)
        return True

    def _set_member(self, member: ids.MemberId, now: float) -> None:
        if member != self.member:
            self.member = member
            self.since = now

    def forget(self, member: ids.MemberId) -> None:
        """Remove a member that has left."""
        self._rejected.discard(member)
        if self.member == member:
            self.member = None
