"""Failure detector for a primary, fed by probes from several domains.

Explanation
===========

The evidence is the time of the last successful probe of each member, by this
daemon or reported by another coordinator, and the direct probes that this
daemon makes when the reports become old.  A successful probe by any
coordinator ends the suspicion, so a bad link of one daemon never replaces a
primary.  A stall of this daemon's own event loop makes all evidence look old;
ages are then counted from the end of the stall.

Expected false failovers at 40,000 databases: a failover needs four
consecutive failed probes by the executor (0.8 s at 0.2 s) and a failed direct
probe from another failure domain.  If probes failed independently with a
probability of 1 in 10,000, that would be
40,000 x 432,000 x 1e-16 x 1e-4 < 1e-9 a day.  What remains are stalls of the
database itself that last longer than 0.8 s.  Assuming one such stall per
database in 30 years, they cause 40,000 / (30 x 365) = 4 a day, a tenth of the
37 failovers a day that the design allows for.

"""

import enum

from burdockcart import ids

#: Age in seconds of the last successful probe from which a primary is
#: suspected; covers four consecutive probes of its executor.
SUSPECT_AFTER_S = 0.8
#: Age in seconds of the last successful probe from which coordinators probe
#: directly; the direct probe must end before SUSPECT_AFTER_S.
DIRECT_PROBE_AFTER_S = 0.5
#: Seconds since the last message of a coordinator up to which it counts as
#: reachable.  Reports arrive every 0.2 s, so two consecutive ones may be lost.
REACHABLE_S = 0.5
#: Seconds that a coordinator waits for each reachable one ranked before it.
RANK_DELAY_S = 0.3
#: Seconds without a primary at the highest term after which a promotion
#: counts as interrupted; must exceed promotion.ACTIVATION_DELAY_S.
LEADERLESS_AFTER_S = 0.8
#: Seconds between two checks of the evidence that count as a stall.
STALL_S = 0.3


class SuspicionLevel(enum.Enum):
    """How strongly a daemon suspects that a primary has failed."""

    NONE = "none"
    DOUBTED = "doubted"
    SUSPECTED = "suspected"


class FailureDetector:
    """Evidence of one daemon about the members of one group.

    Examples
    ========

    >>> from burdockcart.process import failure_detector
    >>> detector = failure_detector.FailureDetector()
    >>> detector.record_good_probe("a", 0.0)
    >>> times = (0.2, 0.4, 0.6, 0.8, 1.0, 1.2)
    >>> [detector.assess_primary("a", True, t).value for t in times][-3:]
    ['doubted', 'doubted', 'suspected']

    """

    def __init__(self) -> None:
        self._good_at: dict[ids.MemberId, float] = {}
        self._direct_failed_at: dict[ids.MemberId, float] = {}
        self._last_seen_at: dict[ids.DaemonId, float] = {}
        self._checked_at: float | None = None
        self._valid_from = 0.0
        self._leaderless: tuple[ids.Term, float] | None = None

    def record_message(self, daemon: ids.DaemonId, now: float) -> None:
        """Record a message from another coordinator."""
        self._last_seen_at[daemon] = now

    def record_good_probe(self, member: ids.MemberId, at: float) -> None:
        """Record a successful probe that was sent at ``at``."""
        self._good_at[member] = max(at, self._good_at.get(member, at))

    def record_failed_probe(
        self, member: ids.MemberId, sent_at: float
    ) -> None:
        """Record a direct probe that got no answer."""
        self._direct_failed_at[member] = sent_at

    def age(self, member: ids.MemberId, now: float) -> float:
        """Return the seconds since the last successful probe by any daemon."""
        return now - self._good_at.get(member, float("-inf"))

    def reachable(self, daemon: ids.DaemonId, now: float) -> bool:
        """Return whether a coordinator sent a message recently."""
        last_seen_at = self._last_seen_at.get(daemon, float("-inf"))
        return now - last_seen_at <= REACHABLE_S

    def record_check(self, now: float) -> None:
        """Record a check of the evidence; a long gap means a local stall."""
        if self._checked_at is None or now - self._checked_at > STALL_S:
            self._valid_from = now
        self._checked_at = now

    def assess_primary(
        self, primary: ids.MemberId, is_executor: bool, now: float
    ) -> SuspicionLevel:
        """Return how strongly a primary is suspected.

        Parameters
        ==========

        is_executor : bool
            Whether this daemon probes the primary as its executor; other
            daemons suspect it only after a failed direct probe.

        """
        self.record_check(now)
        good_at = self._good_at.get(primary, float("-inf"))
        age = now - max(good_at, self._valid_from)
        if age <= DIRECT_PROBE_AFTER_S:
            return SuspicionLevel.NONE
        failed_at = self._direct_failed_at.get(primary, float("-inf"))
        failed = failed_at > max(good_at, self._valid_from)
        if age <= SUSPECT_AFTER_S or not (is_executor or failed):
            return SuspicionLevel.DOUBTED
        return SuspicionLevel.SUSPECTED

    def assess_leaderless(self, term: ids.Term, now: float) -> SuspicionLevel:
        """Return how strongly an unfinished promotion is suspected."""
        self.record_check(now)
        if self._leaderless is None or self._leaderless[0] != term:
            self._leaderless = (term, now)
        since = max(self._leaderless[1], self._valid_from)
        if now - since <= LEADERLESS_AFTER_S:
            return SuspicionLevel.DOUBTED
        return SuspicionLevel.SUSPECTED

    def has_primary(self) -> None:
        """Record that the highest term has a primary."""
        self._leaderless = None

    def start_delay_s(
        self, own: ids.DaemonId, ordered: list[ids.DaemonId], now: float
    ) -> float:
        """Return how long this coordinator waits for those ranked before it.

        Examples
        ========

        >>> from burdockcart.process import failure_detector
        >>> detector = failure_detector.FailureDetector()
        >>> detector.record_message("d1", 5.0)
        >>> detector.start_delay_s("d3", ["d1", "d2", "d3"], 5.1)
        0.3

        """
        earlier = ordered[: ordered.index(own)] if own in ordered else ordered
        return RANK_DELAY_S * sum(
            self.reachable(each, now) for each in earlier
        )
