"""Finds the commits of earlier terms that a promotion has discarded.

Explanation
===========

A promoted member leads with what it has received, and the other members drop
what it lacks.  Until its first commit it reports the newest position of the
earlier term that it holds.  A member that has reported a later position of an
earlier term, before or after the promotion, had commits that are discarded.  A
member that has dropped them before it is asked shows nothing.

Whether a client saw such a commit acknowledged is known only for those that
this daemon has passed on as done.

"""

import msgspec

from burdockcart.connection import member_channel
from burdockcart import ids
from burdockcart.request import log_position

#: Members whose positions are kept for a group.
MEMBERS_KEPT = 64


class Beginning(msgspec.Struct, frozen=True):
    """Beginning of a term.

    Parameters
    ==========

    member : MemberId
        The primary of the term.
    received : LogPosition
        The last commit of an earlier term that it holds.

    """

    member: ids.MemberId
    term: int
    received: log_position.LogPosition


class Finding(msgspec.Struct, frozen=True):
    """Discarded commits.

    Parameters
    ==========

    member : MemberId or None
        The member that had them; None for commits that this daemon has
        passed on as done.
    led : bool
        Whether the member led the term of the position, so that no other
        member may have had them.
    commits : int
        How many there are besides those found earlier; at least one if that
        is not known.

    """

    member: ids.MemberId | None
    position: log_position.LogPosition
    beginning: Beginning
    led: bool
    commits: int


class PromotionAudit:
    """Newest positions of the members of one group.

    Examples
    ========

    >>> from burdockcart.connection import member_channel
    >>> from burdockcart.process.gateway.promotion import promotion_audit
    >>> from burdockcart.request import log_position
    >>> def status(role, term, *received):
    ...     return member_channel.MemberStatus(
    ...         member_channel.Role[role], term,
    ...         log_position.LogPosition(*received))
    >>> audit = promotion_audit.PromotionAudit()
    >>> audit.observe("a", status("PRIMARY", 1, 1, 9))
    []
    >>> audit.observe("b", status("PRIMARY", 2, 1, 7))[0].commits
    2
    >>> audit.observe("c", status("REPLICA", 1, 1, 8))[0].commits
    1

    """

    def __init__(self) -> None:
        self.beginning: Beginning | None = None
        #: Newest term that a primary has reported.
        self.term = 0
        #: Newest commit passed on before one of a later term was.
        self._passed_on_earlier: log_position.LogPosition | None = None
        #: Newest position of each member, and of the commits passed on (None).
        self._newest: dict[ids.MemberId | None, log_position.LogPosition] = {}
        self._found: dict[ids.MemberId | None, log_position.LogPosition] = {}
        self._led_term: dict[ids.MemberId | None, int] = {}

    def observe(
        self, member: ids.MemberId, status: member_channel.MemberStatus
    ) -> list[Finding]:
        """Use the status of a member; return what it shows."""
        if status.role is member_channel.Role.PRIMARY:
            self._led_term[member] = status.term
            if self._begins(member, status):
                self._keep(member, status.received)
                found = [self._examine(each) for each in list(self._newest)]
                return [each for each in found if each is not None]
        self._keep(member, status.received)
        finding = self._examine(member)
        return [] if finding is None else [finding]

    def pass_on(self, commit: log_position.LogPosition) -> Finding | None:
        """Use the position of a commit that a client is told to be done."""
        known = self._newest.get(None)
        if known is not None and known.term < commit.term:
            self._passed_on_earlier = known
        self._keep(None, commit)
        return self._examine(None)

    def passed_on_before(self, term: int) -> log_position.LogPosition | None:
        """Return the newest commit passed on of the terms before."""
        known = self._newest.get(None), self._passed_on_earlier
        earlier = [e for e in known if e is not None and e.term < term]
        return max(earlier, default=None)

    def _begins(
        self, member: ids.MemberId, status: member_channel.MemberStatus
    ) -> bool:
        """Return whether a status shows where a new term began."""
        if status.term < self.term:
            return False
        if status.term > self.term:
            self.term, self.beginning = status.term, None
        if self.beginning is not None or status.received.term >= status.term:
            return False
        self.beginning = Beginning(member, status.term, status.received)
        return True

    def _keep(
        self,
        member: ids.MemberId | None,
        position: log_position.LogPosition,
    ) -> None:
        known = self._newest.get(member)
        if known is None or position > known:
            self._newest[member] = position
        if len(self._newest) > MEMBERS_KEPT:
            others = self._newest.keys() - {None, member}
            oldest = min(others, key=lambda each: self._newest[each])
            self._newest.pop(oldest)
            self._found.pop(oldest, None)
            self._led_term.pop(oldest, None)

    def _examine(self, member: ids.MemberId | None) -> Finding | None:
        """Return the discarded commits of a member unless found before."""
        beginning, position = self.beginning, self._newest[member]
        if beginning is None or position.term >= beginning.term:
            return None
        received = beginning.received
        found = max(self._found.get(member, received), received)
        if position <= found:
            return None
        self._found[member] = position
        commits = 1
        if position.term == found.term:
            commits = position.number - found.number
        led_term = self._led_term.get(member, 0)
        return Finding(
            member, position, beginning, led_term >= position.term, commits
        )
