"""Learned delay after which a replica holds a new commit."""

from burdockcart.request import log_position

#: Delay assumed before the first observation, in seconds; the larger of the
#: replication lags on the users' sheets (60 ms).
INITIAL_S = 0.06
#: Weight of a new observation in the moving mean.
WEIGHT = 0.2
#: Longest time for which a replica that was behind is not asked, in seconds;
#: lag ends without notice, and asking costs one short round trip.
MAX_BACK_OFF_S = 0.5
#: Time in which a learned delay loses half of its distance to the initial
#: one, in seconds.  Without it a replica that had been far behind was never
#: asked again: the delay exceeded every age that a route allows.
HALF_LIFE_S = 1.0


class ReplicaLag:
    """Whether a replica is worth asking for a position.

    Explanation
    ===========

    A replica that lacks the position refuses the read at once, but the round
    trip is lost.  The replica is asked if it was seen at the position, or if
    the position is older than the delay learned from earlier refusals.

    Examples
    ========

    >>> from burdockcart.request import log_position
    >>> from burdockcart.request import replica_lag
    >>> lag = replica_lag.ReplicaLag()
    >>> position = log_position.LogPosition(1, 7)
    >>> lag.likely_holds(position, age_s=0.01, now=5.0)
    False
    >>> lag.likely_holds(position, age_s=0.2, now=5.0)
    True
    >>> lag.record_refusal(position, age_s=0.2, now=5.0)
    >>> lag.likely_holds(position, age_s=0.2, now=5.01)
    False
    >>> lag.likely_holds(position, age_s=0.2, now=7.0)
    True
    >>> lag.record_position(position)
    >>> lag.likely_holds(position, age_s=0.2, now=5.01)
    True

    """

    def __init__(self) -> None:
        self._learned_s = INITIAL_S
        self._learned_at = 0.0
        self._seen: log_position.LogPosition | None = None
        self._ask_again_at = 0.0
        self._back_off_s = 0.0
        #: Since when all answers are refusals; None if the last was not.
        self.behind_since: float | None = None

    def record_position(self, position: log_position.LogPosition) -> None:
        """Take over the position that an answer of the replica told."""
        if self._seen is None or position > self._seen:
            self._seen = position

    def record_success(self, age_s: float, now: float) -> None:
        """Learn from a read whose position had the given age."""
        self._back_off_s = 0.0
        self.behind_since = None
        delay_s = self._delay_s(now)
        if age_s < delay_s:
            self._learn(delay_s + WEIGHT * (age_s - delay_s), now)

    def record_refusal(
        self, position: log_position.LogPosition, age_s: float, now: float
    ) -> None:
        """Learn from a refusal for lack of the position."""
        if self.behind_since is None:
            self.behind_since = now
        delay_s = self._delay_s(now)
        if age_s >= delay_s:
            delay_s += WEIGHT * (2 * age_s - delay_s)
            self._learn(delay_s, now)
        self._back_off_s = min(
            max(2 * self._back_off_s, delay_s / 2), MAX_BACK_OFF_S
        )
        self._ask_again_at = now + self._back_off_s
        if self._seen is not None and self._seen >= position:
            # The member started again without the log that it had.
            self._seen = None

    def _learn(self, delay_s: float, now: float) -> None:
        self._learned_s = delay_s
        self._learned_at = now

    def _delay_s(self, now: float) -> float:
        """Return the delay to expect."""
        age_s = now - self._learned_at
        weight = 0.5 ** (age_s / HALF_LIFE_S)
        return INITIAL_S + weight * (self._learned_s - INITIAL_S)

    def likely_holds(
        self, position: log_position.LogPosition, age_s: float, now: float
    ) -> bool:
        """Return whether the replica probably holds a position.

        Parameters
        ==========

        age_s : float
            Time since the position was known at the primary, in seconds.
        now : float
            Current time in seconds.

        """
        if self._seen is not None and self._seen >= position:
            return True
        return now >= self._ask_again_at and age_s >= self._delay_s(now)
