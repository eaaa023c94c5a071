"""State machine of one attempt to give a group a new primary.

Explanation
===========

Events and the time go in, commands come out; the caller performs them.  An
attempt uses one term and one coordinator name that no other attempt ever
uses, so a member's grant belongs to this attempt alone.  An attempt that
cannot be shown to be current is given up: it never sends ``promote`` to a
second member, because the first one may have accepted a lost message.

A coordinator that was paused gives up when it finds itself late.  If it is
paused between that check and the sending of ``promote``, the member accepts
only if no later attempt has reached it; a majority then holds a higher term,
and no write at the older one can be confirmed.

"""

import enum
from typing import Iterable

import msgspec

from burdockcart import ids
from burdockcart.process import group_view
from burdockcart.process import peer_messages
from burdockcart.version import rows

#: Must exceed acknowledgement.CONFIRMATION_VALID_S with room for clocks
#: whose rates differ by a third.
ACTIVATION_DELAY_S = 0.4
CHECK_TIMEOUT_S = 0.3
#: Time that a check waits for the other coordinators once the members that
#: answered are a majority.
CHECK_WAIT_S = 0.1
ADOPT_TIMEOUT_S = 0.4
PROMOTE_TIMEOUT_S = 0.4
#: Lateness of a step after which the attempt counts as paused.
LATE_S = 0.3
#: A primary with a good probe younger than this is not replaced.
#: It is the suspicion's 0.8 s less what a report loses on its way.
PRIMARY_GOOD_S = 0.77


class Check(msgspec.Struct, frozen=True):
    """Ask every coordinator what it sees of the group, and the suspect.

    The suspect is asked directly as well.  A daemon that was cut off takes
    itself for the executor of every member, so after its links return
    nobody else would tell it that the primary is well.
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
    """Tell peers, the other members and the store of the new primary."""

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
    """Return the state of the member that holds the most of the log.

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
    """One attempt.

    Parameters
    ==========

    coordinator : str
        Name of the attempt; no other attempt of any daemon has it.
    suspect : MemberId, optional
        The primary that is suspected; None if the group has none.
    seen_term : Term
        Highest term known when the attempt starts.
    alone : bool
        Whether a check that no other coordinator answers is enough.

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
        #: Whether any member was asked for the term.
        self.adopted = False
        #: Whether the check ended because no other coordinator answered.
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
        """Take what the executor of a member sees.

        Parameters
        ==========

        primary_age_s : float, optional
            Age of its last good probe of the suspect.
        by_other : bool
            Whether another coordinator gave the answer.

        """
        self._alone |= by_other
        if self.phase is not Phase.CHECKING:
            return []
        if primary_age_s is not None and primary_age_s <= PRIMARY_GOOD_S:
            return self._fail("another coordinator reaches the primary")
        self._answered.add(member)
        if state is not None:
            self._checked[member] = state
            leads = state.role == group_view.PRIMARY
            if leads and state.term >= self.term:
                return self._fail("a member reports as the primary")
            self.term = max(self.term, state.term)
        return self._go_on(now)

    def suspect_probed(
        self, state: peer_messages.MemberState | None, now: float
    ) -> list[Command]:
        """Take the suspect's answer to this daemon's direct probe."""
        if self.phase is not Phase.CHECKING:
            return []
        self._suspect_probed = True
        if state is not None:
            if state.role == group_view.PRIMARY and state.term >= self.term:
                return self._fail("the primary answers a direct probe")
            self.term = max(self.term, state.term)
        return self._go_on(now)

    def _go_on(self, now: float) -> list[Command]:
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
        """Take a member's answer to ``adopt``."""
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
        """Take the candidate's answer to ``promote``."""
        if self.phase is not Phase.PROMOTING:
            return []
        if not granted or state is None:
            return self._fail("the candidate did not confirm its promotion")
        self.phase = Phase.DONE
        return [Announce(state)]

    def seen(
        self, term: ids.Term, has_primary: bool, now: float
    ) -> list[Command]:
        """Take the group's highest known term and whether it has a primary."""
        if self.phase is Phase.CHECKING:
            if has_primary and term > self.term:
                return self._fail(f"term {term} has a primary")
        elif term > self.term or (term == self.term and has_primary):
            if not self.ended:
                return self._fail(f"term {term} is under way")
        return []

    def tick(self, now: float) -> list[Command]:
        """Take the time."""
        if self.phase is Phase.CHECKING:
            if now > self.started_at + CHECK_TIMEOUT_S + LATE_S:
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
        """Return when :meth:`tick` has something to do next."""
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
        if now > self._due + LATE_S:
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
