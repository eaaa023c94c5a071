"""State machine of a planned change of primary.

Explanation
===========

A handover starts only while a replica is close behind the primary.  The
executor holds new writes, the open ones finish, a replica reaches the
primary's position, and the group moves to a new term.  The old primary must
grant the term itself: its answer contains the final position of its log, so a
replica at that position lacks no write and needs no activation delay.  Every
step has a timeout.  If one expires before the new term is adopted, the writes
are released to the old primary and the handover is tried again later.

"""

import enum

import msgspec

from burdockcart import ids
from burdockcart.process import peer_messages
from burdockcart.process import promotion
from burdockcart.version import rows

#: Log entries that a replica may lack when the writes are held; it must
#: receive them within CATCH_UP_S.
MAX_LAG_ENTRIES = 50
#: Seconds for open writes and transactions to finish while new ones wait.
DRAIN_S = 0.12
CATCH_UP_S = 0.1
ADOPT_TIMEOUT_S = 0.2
PROMOTE_TIMEOUT_S = 0.2
RETRY_AFTER_S = 0.5


class HoldWrites(msgspec.Struct, frozen=True):
    """Hold new writes and report when the open ones have finished."""


class AskPositions(msgspec.Struct, frozen=True):
    """Ask all members for their states."""


class ReleaseWrites(msgspec.Struct, frozen=True):
    """Let the waiting writes go to the current primary."""


Command = (
    HoldWrites
    | AskPositions
    | ReleaseWrites
    | promotion.Adopt
    | promotion.Promote
    | promotion.Announce
)


class Phase(enum.Enum):
    """Step that a handover is in."""

    CHECKING_LAG = "nearing"
    DRAINING = "draining"
    CATCHING_UP = "catching up"
    ADOPTING = "adopting"
    PROMOTING = "promoting"
    DONE = "done"
    FAILED = "failed"


class Handover:
    """One attempt to hand over from a member that is leaving.

    Parameters
    ==========

    leaving : set of MemberId
        Members that must not become the primary.
    coordinator : str
        Name of the attempt, unique among all attempts of all daemons.
    term : Term
        Term of the current primary.

    """

    def __init__(
        self,
        group: rows.Group,
        primary: ids.MemberId,
        leaving: set[ids.MemberId],
        coordinator: str,
        term: ids.Term,
        now: float,
    ):
        self.group = group
        self.primary = primary
        self.leaving = leaving
        self.coordinator = coordinator
        self.term = ids.Term(term + 1)
        self.phase = Phase.CHECKING_LAG
        self.reason = ""
        self.writes_held_at = 0.0
        self._due = now + CATCH_UP_S
        self._granted: dict[ids.MemberId, peer_messages.MemberState] = {}

    @property
    def ended(self) -> bool:
        """Return whether the attempt has ended."""
        return self.phase in (Phase.DONE, Phase.FAILED)

    def start(self) -> list[Command]:
        """Return the first commands."""
        return [AskPositions()]

    def positions(
        self, states: list[peer_messages.MemberState], now: float
    ) -> list[Command]:
        """Handle the states of the members that answered."""
        by_member = {state.member: state for state in states}
        old = by_member.get(self.primary)
        behind = min(
            (
                old.position - state.position
                for state in states
                if old is not None
                and state.member not in self.leaving
                and state.log_term == old.log_term
            ),
            default=None,
        )
        if self.phase is Phase.CHECKING_LAG:
            if behind is None or behind > MAX_LAG_ENTRIES:
                return self._fail("no replica is close to the primary")
            self.phase, self.writes_held_at = Phase.DRAINING, now
            self._due = now + DRAIN_S
            return [HoldWrites()]
        if self.phase is Phase.CATCHING_UP:
            if behind is not None and behind <= 0:
                self.phase = Phase.ADOPTING
                self._due = now + ADOPT_TIMEOUT_S
                return [promotion.Adopt(self.term, self.coordinator)]
            return self.tick(now) or [AskPositions()]
        return []

    def drained(self, now: float) -> list[Command]:
        """Handle the end of the last open write."""
        if self.phase is not Phase.DRAINING:
            return []
        self.phase, self._due = Phase.CATCHING_UP, now + CATCH_UP_S
        return [AskPositions()]

    def granted(
        self,
        member: ids.MemberId,
        granted: bool,
        state: peer_messages.MemberState | None,
        now: float,
    ) -> list[Command]:
        """Handle a member's answer to ``adopt``."""
        if self.phase is not Phase.ADOPTING:
            return []
        if not granted or state is None:
            if member == self.primary:
                return self._fail("the old primary did not grant the term")
            return []
        self._granted[member] = state
        best = self._candidate()
        if best is None:
            return []
        self.phase, self._due = Phase.PROMOTING, now + PROMOTE_TIMEOUT_S
        return [promotion.Promote(best, self.term, self.coordinator)]

    def _candidate(self) -> ids.MemberId | None:
        old = self._granted.get(self.primary)
        if old is None or len(self._granted) < self.group.majority:
            return None
        log_end = (old.log_term, old.position)
        complete = [
            state
            for state in self._granted.values()
            if state.member not in self.leaving
            and (state.log_term, state.position) >= log_end
        ]
        if complete:
            return promotion.choose_candidate(complete).member
        if len(self._granted) == len(self.group.members):
            # A write reached the primary after the positions were compared,
            # and only the old primary has it.
            return self.primary
        return None

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
        return [promotion.Announce(state), ReleaseWrites()]

    def seen(self, term: ids.Term) -> list[Command]:
        """Fail the attempt if the group's highest known term is newer."""
        if not self.ended and term > self.term:
            return self._fail(f"term {term} is under way")
        return []

    def next_due(self) -> float:
        """Return the time at which :meth:`tick` must be called next."""
        return self._due

    def tick(self, now: float) -> list[Command]:
        """Fail the attempt if the current step timed out at ``now``."""
        if not self.ended and now >= self._due:
            return self._fail(f"{self.phase.value} took too long")
        return []

    def _fail(self, reason: str) -> list[Command]:
        self.phase, self.reason = Phase.FAILED, reason
        return [ReleaseWrites()]
