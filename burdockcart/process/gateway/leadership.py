"""Which member of a group this daemon takes for the primary."""

from burdockcart import ids


class Leadership:
    """Belief about the primary, from answers first and entries second.

    Explanation
    ===========

    An answer that only a primary gives carries the term that it leads; it
    outranks answers of lower terms.  What a member writes of itself into the
    store is a hint: it is used while no answer has told better.  A wrong
    belief loses a round trip and breaks nothing, since a member that does
    not lead refuses what only a primary may run.

    Examples
    ========

    >>> from burdockcart.process.gateway import leadership
    >>> leads = leadership.Leadership()
    >>> leads.suggest_leader("a", now=1.0)
    True
    >>> leads.confirm_leader("b", term=4, now=2.0)
    True
    >>> leads.suggest_leader("a", now=3.0), leads.member, leads.since
    (False, 'b', 2.0)
    >>> leads.reject_leader("b"), leads.member is None
    (True, True)

    """

    def __init__(self) -> None:
        self.member: ids.MemberId | None = None
        self.term = 0
        #: Since when ``member`` is taken for the primary.
        self.since = 0.0
        self._denied: set[ids.MemberId] = set()

    def confirm_leader(
        self, member: ids.MemberId, term: int, now: float
    ) -> bool:
        """Take over an answer that proves leadership; True if it is news."""
        if term < self.term:
            return False
        news = member != self.member or term > self.term
        self.term = term
        self._take(member, now)
        self._denied.clear()
        return news

    def reject_leader(self, member: ids.MemberId) -> bool:
        """Take over that a member does not lead; True if it is news."""
        self._denied.add(member)
        if member != self.member:
            return False
        self.member = None
        return True

    def suggest_leader(self, member: ids.MemberId, now: float) -> bool:
        """Take over that a member's entry says that it leads."""
        if self.member is not None or member in self._denied:
            return False
        self._take(member, now)
        return True

    def _take(self, member: ids.MemberId, now: float) -> None:
        if member != self.member:
            self.member = member
            self.since = now

    def forget(self, member: ids.MemberId) -> None:
        """Drop a member that left."""
        self._denied.discard(member)
        if self.member == member:
            self.member = None
