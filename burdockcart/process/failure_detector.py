"""Suspicion of a primary, from the probes of several failure domains.

Explanation
===========

The evidence is the time of the last good probe of each member, taken by
this daemon or reported by another coordinator, and the direct probes that
this daemon makes when the reports grow old.  A good probe by anyone clears
the primary, so one daemon's bad link never replaces it.  A stall of this
daemon's own loop makes all evidence look old; the ages then count from the
end of the stall.

Expected false changes at 40,000 databases: a change needs four probes of
the executor in a row to fail (0.8 s at 0.2 s) and a direct probe from
another failure domain.  If probes failed independently with 1 in 10,000,
that would be 40,000 x 432,000 x 1e-16 x 1e-4 < 1e-9 a day.  What remains
are correlated stalls of the database itself that last longer than 0.8 s.
Assuming one such stall per database in 30 years, they give
40,000 / (30 x 365) = 4 a day, a tenth of the 37 changes a day that
the design allows for.

"""

import enum

from burdockcart import ids

SUSPECT_AFTER_S = 0.8
#: Age of the last good probe from which coordinators probe directly, early
#: enough for the direct probe to end before the suspicion is due.
DIRECT_PROBE_AFTER_S = 0.5
#: Reports come every 0.2 s, so two in a row may be lost.
REACHABLE_S = 0.5
TURN_S = 0.3
#: Time without a primary at the highest term after which a promotion counts
#: as interrupted; longer than the activation delay of a running one.
LEADERLESS_AFTER_S = 0.8
#: Pause between two looks at the evidence that counts as a stall.
STALL_S = 0.3


class SuspicionLevel(enum.Enum):
    """How sure a daemon is that a primary is lost."""

    NONE = "none"
    DOUBTED = "doubted"
    SUSPECTED = "suspected"


class FailureDetector:
    """Evidence that one daemon has on the members of one group.

    Examples
    ========

    >>> from burdockcart.process import failure_detector
    >>> evidence = failure_detector.FailureDetector()
    >>> evidence.record_good_probe("a", 0.0)
    >>> times = (0.2, 0.4, 0.6, 0.8, 1.0, 1.2)
    >>> [evidence.assess_primary("a", True, t).value for t in times][-3:]
    ['doubted', 'doubted', 'suspected']

    """

    def __init__(self) -> None:
        self._good_at: dict[ids.MemberId, float] = {}
        self._direct_failed_at: dict[ids.MemberId, float] = {}
        self._heard_at: dict[ids.DaemonId, float] = {}
        self._looked_at: float | None = None
        self._valid_from = 0.0
        self._leaderless: tuple[ids.Term, float] | None = None

    def record_message(self, daemon: ids.DaemonId, now: float) -> None:
        """Note a message of another coordinator."""
        self._heard_at[daemon] = now

    def record_good_probe(self, member: ids.MemberId, at: float) -> None:
        """Note a good probe that was sent at a time."""
        self._good_at[member] = max(at, self._good_at.get(member, at))

    def record_failed_probe(
        self, member: ids.MemberId, sent_at: float
    ) -> None:
        """Note a direct probe without answer."""
        self._direct_failed_at[member] = sent_at

    def age(self, member: ids.MemberId, now: float) -> float:
        """Return the seconds since the last good probe by anyone."""
        return now - self._good_at.get(member, float("-inf"))

    def reachable(self, daemon: ids.DaemonId, now: float) -> bool:
        """Return whether a coordinator was heard from lately."""
        heard_at = self._heard_at.get(daemon, float("-inf"))
        return now - heard_at <= REACHABLE_S

    def record_check(self, now: float) -> None:
        """Note that the evidence is looked at, to find own stalls."""
        if self._looked_at is None or now - self._looked_at > STALL_S:
            self._valid_from = now
        self._looked_at = now

    def assess_primary(
        self, primary: ids.MemberId, is_executor: bool, now: float
    ) -> SuspicionLevel:
        """Return the doubt in a primary.

        Parameters
        ==========

        is_executor : bool
            Whether this daemon's own probes reach the primary as its
            executor; any other needs a failed direct probe too.

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
        """Return the doubt in a promotion that has not ended at a term."""
        self.record_check(now)
        if self._leaderless is None or self._leaderless[0] != term:
            self._leaderless = (term, now)
        since = max(self._leaderless[1], self._valid_from)
        if now - since <= LEADERLESS_AFTER_S:
            return SuspicionLevel.DOUBTED
        return SuspicionLevel.SUSPECTED

    def has_primary(self) -> None:
        """Note that the highest term has a primary."""
        self._leaderless = None

    def start_delay_s(
        self, own: ids.DaemonId, ordered: list[ids.DaemonId], now: float
    ) -> float:
        """Return how long this coordinator leaves the turn to earlier ones.

        Examples
        ========

        >>> from burdockcart.process import failure_detector
        >>> evidence = failure_detector.FailureDetector()
        >>> evidence.record_message("d1", 5.0)
        >>> evidence.start_delay_s("d3", ["d1", "d2", "d3"], 5.1)
        0.3

        """
        earlier = ordered[: ordered.index(own)] if own in ordered else ordered
        return TURN_S * sum(self.reachable(each, now) for each in earlier)
