"""Latest state that a daemon knows of the members of each group."""

import msgspec

from burdockcart.connection import session_token
from burdockcart import ids
from burdockcart.process import peer_messages
from burdockcart.request import freshness
from burdockcart.request import routing
from burdockcart.version import rows

PRIMARY = peer_messages.PRIMARY

#: Seconds without a report after which a member is not chosen for reads: its
#: executor has then been silent for several probe intervals.
REPORT_VALID_S = 1.4
#: Age in seconds of a replica's data up to which it is expected to catch up
#: in time; its executor checks the exact position.
CLOSE_REPLICA_AGE_S = 0.6


class ObservedState(msgspec.Struct, frozen=True):
    """State of a member and when it was requested."""

    state: peer_messages.MemberState
    at: float


def covers(
    state: peer_messages.MemberState, mark: session_token.Mark | None
) -> bool:
    """Return whether a member holds everything up to a session's mark.

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
    """Return whether a mark lies on a log branch that was discarded."""
    return any(
        term > mark.term and start < mark.position
        for term, start in state.history
    )


class GroupView:
    """Latest known state of the members of one group.

    Invariant: the stored state of a member never goes back to a lower term,
    or within a term to an earlier time.

    """

    def __init__(self, group: rows.Group):
        self.group = group
        self.observed_by_member: dict[ids.MemberId, ObservedState] = {}
        #: Members whose hosts are marked as leaving.
        self.leaving: frozenset[ids.MemberId] = frozenset()
        #: Age bounds from reports.  They omit the transit time of a report,
        #: so they only serve to choose a member; the executor checks the age.
        self.freshness = freshness.Freshness()

    def learn(self, state: peer_messages.MemberState, at: float) -> bool:
        """Store a state if it is newer; return whether it was."""
        seen = self.observed_by_member.get(state.member)
        if seen is not None:
            if (state.term, at) < (seen.state.term, seen.at):
                return False
        self.observed_by_member[state.member] = ObservedState(state, at)
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
        """Return the primary at the highest term, if known."""
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
        seen: ObservedState,
        mark: session_token.Mark | None,
        max_age_s: float,
        now: float,
    ) -> routing.ReadCandidate:
        state = seen.state
        # Age at the time of the report.  A replica that was close behind
        # then should still be; its executor checks each answer.
        age_s = self.freshness.age_s(state.log_term, state.position, seen.at)
        fresh = self.freshness.usable(member.id, age_s, max_age_s)
        wait_s: float | None = 0.0
        if mark is not None and not covers(state, mark):
            close = age_s is not None and age_s <= CLOSE_REPLICA_AGE_S
            if diverged(state, mark):
                wait_s = None
            elif not close:
                wait_s = self.freshness.catch_up_s(
                    member.id, mark.position, now
                )
        return routing.ReadCandidate(member, wait_s, fresh, state.load)
