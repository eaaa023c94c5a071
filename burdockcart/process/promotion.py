"""State machine of one attempt to give a group a new primary.

Explanation
===========

The methods take events and the current time and return commands, which the
caller performs.  An attempt uses one term and a unique coordinator name, so a
member's grant counts for this attempt only.  An attempt that may be outdated
fails.  It never sends ``promote`` to a second member, because the first one
may have accepted the command although its answer was lost.

A coordinator that was paused fails its attempt when it finds that a step is
late.  If it is paused between that check and the sending of ``promote``, the
member accepts only if no later attempt has reached it.  If one has reached
the other members, a majority holds a higher term, and no write at the older
term can be confirmed.

"""

import enum
from typing import Iterable

import msgspec

from burdockcart import ids
from burdockcart.process import group_view
from burdockcart.process import peer_messages
from burdockcart.version import rows

#: Seconds between the majority's grants and ``promote``.  Must exceed
#: acknowledgement.CONFIRMATION_VALID_S even if the rates of two clocks differ
#: by a third.
ACTIVATION_DELAY_S = 0.4
CHECK_TIMEOUT_S = 0.3
#: Seconds that a check lasts once a majority of the members has answered; the
#: remaining coordinators can still object within it.
CHECK_WAIT_S = 0.1
ADOPT_TIMEOUT_S = 0.4
PROMOTE_TIMEOUT_S = 0.4
#: Seconds past its due time from which a step counts as paused.
PAUSED_AFTER_S = 0.3
#: A primary whose last successful probe is younger than this is not replaced.
#: Lies below failure_detector.SUSPECT_AFTER_S (0.8 s) by the transit time of
#: a report.
RECENT_PROBE_S = 0.77


class Check(msgspec.Struct, frozen=True):
    """Ask each member's executor for its state, and probe the suspect.

    A partitioned daemon computes itself as the executor of every member.
    When its links recover, no other daemon answers its check, and only the
    direct probe shows that the primary is alive.
    """


class Adopt(msgspec.Struct, frozen=True):
    """Send ``adopt`` to every member."""

    term: ids.Term
    coordinator: str


class Promote(msgspec.Struct, frozen=True):
    """Send ``promote`` to the candidate."""

    member: ids.MemberId
    term: ids.Term
    coordinator: str


class Announce(msgspec.Struct, frozen=True):
    """Report the new primary to peers, the other members and the store."""

    state: peer_messages.MemberState


Command = Check | Adopt | Promote | Announce


class Phase(enum.Enum):
    """Step that an attempt is in."""

    CHECKING = "checking"
    ADOPTING = "adopting"
    ACTIVATING = "activating"
    PROMOTING = "promoting"
    DONE = "done"
    FAILED = "failed"


def choose_candidate(
    states: Iterable[peer_messages.MemberState],
) -> peer_messages.MemberState:
    """Return the state of the member with the most complete log.

    Examples
    ========

    >>> from burdockcart.process import peer_messages, promotion
    >>> states = [peer_messages.MemberState(member=name, term=3,
    ...     role="replica", position=position, log_term=log_term)
    ...     for name, log_term, position in
    ...     (("a", 1, 9), ("c", 2, 7), ("b", 2, 7))]
    >>> promotion.choose_candidate(states).member
    'b'

    """
    return min(
        states,
        key=lambda state: (-state.log_term, -state.position, state.member),
    )


class Promotion:
    """One attempt to promote a member.

    Parameters
    ==========

    coordinator : str
        Name of the attempt, unique among all attempts of all daemons.
    suspect : MemberId, optional
        The suspected primary; None if the group has no primary.
    seen_term : Term
        Highest term known when the attempt starts.
    alone : bool
        Whether to go on even if no other coordinator answers the check.

    """

    def __init__(
        self,
        group: rows.Group,
        coordinator: str,
        suspect: ids.MemberId | None,
        seen_term: ids.Term,
        now: float,
        alone: bool = False,
    ):
        self.group = group
        self.coordinator = coordinator
        self.suspect = suspect
        self.term = seen_term
        self.phase = Phase.CHECKING
        self.reason = ""
        #: Whether members were asked to adopt a new term.
        self.adopted = False
        #: Whether the attempt failed because no other coordinator answered.
        self.no_peer_answered = False
        self._alone = alone
        self.started_at = self._due = now
        self.fenced_at = self.promoting_at = now
        self._checked: dict[ids.MemberId, peer_messages.MemberState] = {}
        self._answered: set[ids.MemberId] = set()
        self._suspect_probed = suspect is None
        self._granted: dict[ids.MemberId, peer_messages.MemberState] = {}
        self._refused: set[ids.MemberId] = set()

    @property
    def ended(self) -> bool:
        """Return whether the attempt has ended."""
        return self.phase in (Phase.DONE, Phase.FAILED)

    def start(self) -> list[Command]:
        """Return the first commands."""
        return [Check()]

    def checked(
        self,
        member: ids.MemberId,
        state: peer_messages.MemberState | None,
        primary_age_s: float | None,
        by_other: bool,
        now: float,
    ) -> list[Command]:
        """Handle the answer of a member's executor to the check.

        Parameters
        ==========

        primary_age_s : float, optional
            Age of the executor's last successful probe of the suspect.
        by_other : bool
            Whether another coordinator gave the answer.

        """
        self._alone |= by_other
        if self.phase is not Phase.CHECKING:
            return []
        if primary_age_s is not None and primary_age_s <= RECENT_PROBE_S:
            return self._fail("another coordinator reaches the primary")
        self._answered.add(member)
        if state is not None:
            self._checked[member] = state
            is_primary = state.role == group_view.PRIMARY
            if is_primary and state.term >= self.term:
                return self._fail("a member reports as the primary")
            self.term = max(self.term, state.term)
        return self._continue_check(now)

    def suspect_probed(
        self, state: peer_messages.MemberState | None, now: float
    ) -> list[Command]:
        """Handle the suspect's answer to this daemon's direct probe."""
        if self.phase is not Phase.CHECKING:
            return []
        self._suspect_probed = True
        if state is not None:
            if state.role == group_view.PRIMARY and state.term >= self.term:
                return self._fail("the primary answers a direct probe")
            self.term = max(self.term, state.term)
        return self._continue_check(now)

    def _continue_check(self, now: float) -> list[Command]:
        answered = len(self._answered) == len(self.group.members)
        if answered and self._suspect_probed:
            return self._end_check(now)
        return self.tick(now)

    def granted(
        self,
        member: ids.MemberId,
        granted: bool,
        state: peer_messages.MemberState | None,
        now: float,
    ) -> list[Command]:
        """Handle a member's answer to ``adopt``."""
        if self.phase not in (Phase.ADOPTING, Phase.ACTIVATING):
            return []
        if state is not None and state.term > self.term:
            return self._fail(f"{member} has adopted term {state.term}")
        if granted and state is not None:
            self._granted[member] = state
        else:
            self._refused.add(member)
        if self.phase is Phase.ACTIVATING:
            return []
        if len(self._granted) >= self.group.majority:
            self.phase = Phase.ACTIVATING
            self.fenced_at = now
            self._due = now + ACTIVATION_DELAY_S
            return []
        left = len(self.group.members) - len(self._refused)
        if left < self.group.majority:
            return self._fail("no majority granted the term")
        return []

    def promoted(
        self,
        granted: bool,
        state: peer_messages.MemberState | None,
        now: float,
    ) -> list[Command]:
        """Handle the candidate's answer to ``promote``."""
        if self.phase is not Phase.PROMOTING:
            return []
        if not granted or state is None:
            return self._fail("the candidate did not confirm its promotion")
        self.phase = Phase.DONE
        return [Announce(state)]

    def seen(
        self, term: ids.Term, has_primary: bool, now: float
    ) -> list[Command]:
        """Fail the attempt if the group moved to another term or primary.

        Parameters
        ==========

        term : Term
            Highest term known of the group.
        has_primary : bool
            Whether that term has a primary.

        """
        if self.phase is Phase.CHECKING:
            if has_primary and term > self.term:
                return self._fail(f"term {term} has a primary")
        elif term > self.term or (term == self.term and has_primary):
            if not self.ended:
                return self._fail(f"term {term} is under way")
        return []

    def tick(self, now: float) -> list[Command]:
        """Handle the timers that are due at ``now``."""
        if self.phase is Phase.CHECKING:
            if now > self.started_at + CHECK_TIMEOUT_S + PAUSED_AFTER_S:
                return self._fail("paused during the check")
            if now >= self.next_due():
                return self._end_check(now)
        elif self.phase is Phase.ADOPTING:
            if now >= self._due:
                return self._fail("no majority granted in time")
        elif self.phase is Phase.ACTIVATING and now >= self._due:
            return self._activate(now)
        elif self.phase is Phase.PROMOTING and now >= self._due:
            return self._fail("the candidate did not answer in time")
        return []

    def next_due(self) -> float:
        """Return the time at which :meth:`tick` must be called next."""
        if self.phase is not Phase.CHECKING:
            return self._due
        enough = len(self._checked) >= self.group.majority
        return self.started_at + (CHECK_WAIT_S if enough else CHECK_TIMEOUT_S)

    def _end_check(self, now: float) -> list[Command]:
        if len(self._checked) < self.group.majority:
            return self._fail("no majority of the members is reachable")
        if not self._alone:
            self.no_peer_answered = True
            return self._fail("no other coordinator answered")
        self.term = ids.Term(self.term + 1)
        self.phase, self.adopted = Phase.ADOPTING, True
        self._due = now + ADOPT_TIMEOUT_S
        return [Adopt(self.term, self.coordinator)]

    def _activate(self, now: float) -> list[Command]:
        if now > self._due + PAUSED_AFTER_S:
            return self._fail("paused during the activation delay")
        self.phase = Phase.PROMOTING
        self.promoting_at = now
        self._due = now + PROMOTE_TIMEOUT_S
        best = choose_candidate(self._granted.values())
        return [Promote(best.member, self.term, self.coordinator)]

    def _fail(self, reason: str) -> list[Command]:
        self.phase = Phase.FAILED
        self.reason = reason
        return []
