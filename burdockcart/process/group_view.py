"""What a daemon knows of the members of each group."""

import msgspec

from burdockcart.connection import session_token
from burdockcart import ids
from burdockcart.process import peer_messages
from burdockcart.request import freshness
from burdockcart.request import routing
from burdockcart.version import rows

PRIMARY = peer_messages.PRIMARY

#: A member without a report for this long is not chosen for reads: its
#: executor has been quiet for several probe intervals.
REPORT_VALID_S = 1.4
#: A replica that reached a position of the primary this short a time ago is
#: taken to follow closely; its executor looks at its exact position.
CLOSE_S = 0.6


class Seen(msgspec.Struct, frozen=True):
    """State of a member and when the question for it was sent."""

    state: peer_messages.MemberState
    at: float


def covers(
    state: peer_messages.MemberState, mark: session_token.Mark | None
) -> bool:
    """Return whether a member holds all that a session's mark names.

    Examples
    ========

    >>> from burdockcart.connection import session_token
    >>> from burdockcart.process import group_view, peer_messages
    >>> state = peer_messages.MemberState(
    ...     member="a", term=2, role="replica", position=9, log_term=2,
    ...     history=((1, 0), (2, 5)))
    >>> group_view.covers(state, session_token.Mark(2, 9))
    True
    >>> group_view.covers(state, session_token.Mark(1, 7))
    False

    """
    if mark is None:
        return True
    if diverged(state, mark):
        return False
    return state.log_term >= mark.term and state.position >= mark.position


def diverged(
    state: peer_messages.MemberState, mark: session_token.Mark
) -> bool:
    """Return whether a mark lies on a branch that the member discarded."""
    return any(
        term > mark.term and start < mark.position
        for term, start in state.history
    )


class GroupView:
    """Latest known state of the members of one group.

    Invariant: the state kept of a member never has a lower term, and at the
    same term never an earlier time, than one that was seen before.

    """

    def __init__(self, group: rows.Group):
        self.group = group
        self.observed_by_member: dict[ids.MemberId, Seen] = {}
        #: Members whose hosts are marked as leaving.
        self.leaving: frozenset[ids.MemberId] = frozenset()
        #: Bounds from reports, which lack the time that a report was under
        #: way; good enough for a choice, and checked by the executor.
        self.freshness = freshness.Freshness()

    def learn(self, state: peer_messages.MemberState, at: float) -> bool:
        """Take over a state if it is newer; return whether it was."""
        seen = self.observed_by_member.get(state.member)
        if seen is not None:
            if (state.term, at) < (seen.state.term, seen.at):
                return False
        self.observed_by_member[state.member] = Seen(state, at)
        if state.role != PRIMARY:
            self.freshness.observe(at, state)
        elif state.term == self.term:
            self.freshness.add(at, state)
        return True

    @property
    def term(self) -> ids.Term:
        """Return the highest term that a member reported."""
        return max(
            (seen.state.term for seen in self.observed_by_member.values()),
            default=ids.Term(0),
        )

    def primary(self) -> rows.Member | None:
        """Return the member that leads at the highest term, if known."""
        term = self.term
        return next(
            (
                member
                for member in self.group.members
                if (seen := self.observed_by_member.get(member.id)) is not None
                and seen.state.role == PRIMARY
                and seen.state.term == term
            ),
            None,
        )

    def divergence(self, mark: session_token.Mark | None) -> str | None:
        """Return how a session's mark differs from the primary's history."""
        primary = self.primary()
        if mark is None or primary is None:
            return None
        state = self.observed_by_member[primary.id].state
        if not diverged(state, mark):
            return None
        term, start = next(
            (term, start)
            for term, start in state.history
            if term > mark.term and start < mark.position
        )
        return (
            f"the session saw position {mark.position} of term {mark.term}, "
            f"but term {term} of {self.group.id} started at position {start}"
        )

    def readers(
        self,
        mark: session_token.Mark | None,
        max_age_s: float,
        domain: ids.DomainName,
        draw: float,
        now: float,
    ) -> list[rows.Member]:
        """Return the replicas for a read, the best one first."""
        primary = self.primary()
        leader = self.observed_by_member[primary.id] if primary else None
        return routing.rank_replicas(
            [
                self._candidate(member, seen, mark, max_age_s, now)
                for member in self.group.members
                if (seen := self.observed_by_member.get(member.id)) is not None
                and member.id not in self.leaving
                and seen.state.role != PRIMARY
                and now - seen.at <= REPORT_VALID_S
            ],
            leader.state.load if leader else 1.0,
            domain,
            draw,
        )

    def _candidate(
        self,
        member: rows.Member,
        seen: Seen,
        mark: session_token.Mark | None,
        max_age_s: float,
        now: float,
    ) -> routing.ReadCandidate:
        state = seen.state
        # The age at the report: a replica that followed closely then is
        # expected to have gone on, and its executor checks what it serves.
        age_s = self.freshness.age_s(state.log_term, state.position, seen.at)
        fresh = self.freshness.usable(member.id, age_s, max_age_s)
        wait_s: float | None = 0.0
        if mark is not None and not covers(state, mark):
            close = age_s is not None and age_s <= CLOSE_S
            if diverged(state, mark):
                wait_s = None
            elif not close:
                wait_s = self.freshness.catch_up_s(
                    member.id, mark.position, now
                )
        return routing.ReadCandidate(member, wait_s, fresh, state.load)
