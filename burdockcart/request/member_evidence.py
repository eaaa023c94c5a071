"""What daemons tell each other about members, and what follows from it.

Explanation
===========

Load pattern: 87 daemons with ten statements per second each, most of which
relay to members through five holders per member.  One daemon sees too little
of a member to judge it; with a member that its holders did not reach, and
replicas that received nothing, senders made 1,316 and 1,903 attempts in one
second that the holders knew to be useless.

Evidence decides where a statement is tried first; members check positions
themselves.  All times are of the event loop's clock, in seconds.

"""

import math

import msgspec

from burdockcart import ids
from burdockcart.request import log_position

#: Age up to which evidence is used, in seconds.  Holders send it every 0.1 s,
#: so that one lost answer does not end its use.
FRESH_S = 0.25
#: Interval between statements that try a member which no holder reaches, in
#: seconds.
TRIAL_S = 0.1
#: Holders without a way to a member after which the others are not tried, too:
#: with five holders a statement used up its five attempts.
HOLDERS_NEEDED = 2
#: Time for which a member that no holder reached needs only one more report to
#: count as such again, in seconds.
REMEMBERED_S = 1.0
#: Time after which a replica that was behind is asked again at the earliest,
#: in seconds; a third of a replica's usual lag.
ASK_AGAIN_S = 0.02


class MemberEvidence(msgspec.Struct, frozen=True, array_like=True):
    """What a daemon knows of a member when it sends an answer.

    Parameters
    ==========

    started_ms : int
        Start of the member; evidence about an earlier one is not valid.
    reachable : bool or None
        Whether the daemon reaches the member; None if it does not connect to
        the member itself.
    reachable_age_ms : int
        Time since that was found.
    position : tuple of int, or None
        Newest log position that the member is known to have reported.
    position_age_ms : int
        Time since the member reported it.

    """

    member: ids.MemberId
    started_ms: int
    reachable: bool | None = None
    reachable_age_ms: int = 0
    position: tuple[int, int] | None = None
    position_age_ms: int = 0


class PositionReports:
    """Newest position that a member has reported to any daemon.

    Examples
    ========

    >>> from burdockcart.request import log_position
    >>> from burdockcart.request import member_evidence
    >>> reports = member_evidence.PositionReports()
    >>> needed = log_position.LogPosition(1, 7)
    >>> reports.expected_at(needed, 5.0, 0.06, 5.1) is None
    True
    >>> reports.record(log_position.LogPosition(1, 5), 5.1)
    True
    >>> round(reports.expected_at(needed, 5.0, 0.06, 5.12), 2)
    5.2
    >>> reports.record(needed, 5.15)
    True
    >>> reports.expected_at(needed, 5.0, 0.06, 5.16)
    -inf

    """

    def __init__(self) -> None:
        self.position: log_position.LogPosition | None = None
        self.reported_at = -math.inf
        self._valid_from = -math.inf
        self._tried_at = -math.inf

    def record(self, position: log_position.LogPosition, at: float) -> bool:
        """Record a report; return whether the position is a new one."""
        if at < self._valid_from:
            return False
        if at > self._tried_at:
            self._tried_at = -math.inf
        if self.position is not None and position < self.position:
            return False
        if position == self.position:
            self.reported_at = max(at, self.reported_at)
            return False
        self.position, self.reported_at = position, at
        return True

    def lacked(self, needed: log_position.LogPosition) -> bool:
        """Return whether the newest report lacks a position."""
        return self.position is not None and self.position < needed

    def record_trial(self, now: float) -> None:
        """Record that a read tries the member for a position that it lacked.

        Until the answer shows whether it still does, other reads wait: when
        evidence ended, all waiting reads tried the member at once.
        """
        self._tried_at = now

    def record_lack(
        self, needed: log_position.LogPosition, now: float
    ) -> None:
        """Record that the member lacks a position.

        If it had reported that position, it has started again without its
        log, or a promotion has discarded commits; older reports are invalid.
        """
        if self.position is not None and self.position >= needed:
            self.position, self.reported_at = None, -math.inf
            self._valid_from = now

    def expected_at(
        self,
        needed: log_position.LogPosition,
        known_at: float,
        lag_s: float,
        now: float,
    ) -> float | None:
        """Return when the member is expected to hold a position.

        None if no evidence tells.  A replica that lacked the position is
        expected to need at least as long again as it has needed already: one
        that receives nothing is asked ever more seldom.

        Parameters
        ==========

        known_at : float
            Time at which the primary held the position.
        lag_s : float
            Estimated time after which the replica holds a new commit.

        """
        if self.position is None:
            return None
        if self.position >= needed:
            return -math.inf
        if self.reported_at < known_at:
            return None
        if now - self._tried_at < TRIAL_S:
            return self._tried_at + TRIAL_S
        if now - self.reported_at >= FRESH_S:
            return None
        lacked_s = max(self.reported_at - known_at, ASK_AGAIN_S)
        return max(known_at + lag_s, self.reported_at + lacked_s)


class _Report(msgspec.Struct, frozen=True):
    reachable: bool
    at: float


class Reachability:
    """Whether the holders of one member reach it.

    Explanation
    ===========

    The newest report of each holder counts.  The member counts as unreached
    if two holders have no way to it and none is known to have one.  Until one
    has, one recent report without a way is enough from then on: a holder that
    waits for its own attempt to connect (0.3 s) sends none, and all waiting
    statements tried the member when the reports ended.

    Examples
    ========

    >>> from burdockcart.request import member_evidence
    >>> found = member_evidence.Reachability()
    >>> found.record("d1", False, 1.0), found.unreached(1.0)
    (True, False)
    >>> found.record("d2", False, 1.1), found.unreached(1.1)
    (True, True)
    >>> found.trial_due(1.1), found.trial_due(1.21)
    (False, True)
    >>> found.unreached(1.4)
    False

    """

    def __init__(self) -> None:
        self._report_by_holder: dict[ids.DaemonId, _Report] = {}
        self._unreached = False
        self._unreached_at = -math.inf
        self._tried_at = -math.inf

    def record(self, holder: ids.DaemonId, reachable: bool, at: float) -> bool:
        """Record what a holder found; return whether that is a change."""
        # Not at each look, which every piece of queued work takes.
        self._report_by_holder = {
            each: report
            for each, report in self._report_by_holder.items()
            if at - report.at < FRESH_S
        }
        known = self._report_by_holder.get(holder)
        if known is not None and at <= known.at:
            return False
        self._report_by_holder[holder] = _Report(reachable, at)
        return known is None or known.reachable is not reachable

    def _recent(self, now: float) -> list[_Report]:
        """Return the reports that count."""
        return [
            report
            for report in self._report_by_holder.values()
            if now - report.at < FRESH_S
        ]

    def unreached(self, now: float) -> bool:
        """Return whether no holder is expected to reach the member."""
        recent = self._recent(now)
        if any(each.reachable for each in recent):
            self._unreached_at = -math.inf
        lately = now - self._unreached_at < REMEMBERED_S
        needed = 1 if lately else HOLDERS_NEEDED
        unreached = len(recent) >= needed and not any(
            each.reachable for each in recent
        )
        if unreached and not self._unreached:
            # The attempts that showed it were the first trials.
            self._tried_at = max(each.at for each in recent)
        self._unreached = unreached
        if unreached:
            self._unreached_at = now
        return unreached

    def valid_until(self, now: float) -> float:
        """Return when the last of the recent reports ends."""
        return max((each.at for each in self._recent(now)), default=now) + (
            FRESH_S
        )

    def trial_due(self, now: float) -> bool:
        """Return whether a statement may try an unreached member."""
        return now - self._tried_at >= TRIAL_S

    def record_trial(self, now: float) -> None:
        """Record that a statement tries the member."""
        self._tried_at = now


class EvidencePacer:
    """Decides which answers on one link carry evidence.

    Explanation
    ===========

    At most ten answers a second for each group do, and those after the
    reachability of a member has changed.

    Examples
    ========

    >>> from burdockcart.request import member_evidence
    >>> pacer = member_evidence.EvidencePacer()
    >>> pacer.due("g", {"m": True}, 1.0), pacer.due("g", {"m": True}, 1.05)
    (True, False)
    >>> pacer.due("g", {"m": False}, 1.05), pacer.due("g", {"m": False}, 1.1)
    (True, False)

    """

    INTERVAL_S = 0.1

    def __init__(self) -> None:
        self._sent_by_group: dict[
            ids.GroupId, tuple[float, dict[ids.MemberId, bool | None]]
        ] = {}

    def due(
        self,
        group: ids.GroupId,
        reachable_by_member: dict[ids.MemberId, bool | None],
        now: float,
    ) -> bool:
        """Return whether to attach evidence now, and record that it is."""
        sent = self._sent_by_group.get(group)
        if sent is not None:
            sent_at, told = sent
            if now - sent_at < self.INTERVAL_S and told == reachable_by_member:
                return False
        self._sent_by_group[group] = now, reachable_by_member
        return True
