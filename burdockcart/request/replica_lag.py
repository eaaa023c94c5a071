"""Estimate of the lag after which a replica holds a new commit."""

from burdockcart.request import log_position

#: Lag assumed before the first observation, in seconds; the larger of the
#: users' replication lags.
INITIAL_LAG_S = 0.06
#: Weight of a new observation in the moving average.
WEIGHT = 0.2
#: Maximum backoff after a replica was behind, in seconds; lag ends without
#: notice, and asking costs one short round trip.
MAX_BACKOFF_S = 0.5
#: Half-life of the decay of an estimate to the initial lag, in seconds.
#: Without it a replica that had been far behind was never asked again: the
#: estimate exceeded every age that a route allows.
HALF_LIFE_S = 1.0


class ReplicaLag:
    """Predicts whether a replica holds a position.

    Explanation
    ===========

    A replica that lacks the position refuses the read at once, but the round
    trip is wasted.  The replica is asked if it has reported the position, or
    if the position is older than the lag estimated from earlier reads.

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
        self._estimate_s = INITIAL_LAG_S
        self._estimated_at = 0.0
        self._reported: log_position.LogPosition | None = None
        self._ask_again_at = 0.0
        self._backoff_s = 0.0
        #: Start of the present run of refusals; None after a success.
        self.behind_since: float | None = None

    def record_position(self, position: log_position.LogPosition) -> None:
        """Record the position that the replica reported."""
        if self._reported is None or position > self._reported:
            self._reported = position

    def record_success(self, age_s: float, now: float) -> None:
        """Record a read that succeeded at a position of the given age."""
        self._backoff_s = 0.0
        self.behind_since = None
        lag_s = self.expected_lag_s(now)
        if age_s < lag_s:
            self._update(lag_s + WEIGHT * (age_s - lag_s), now)

    def record_refusal(
        self, position: log_position.LogPosition, age_s: float, now: float
    ) -> None:
        """Record a refusal for lack of the position."""
        if self.behind_since is None:
            self.behind_since = now
        lag_s = self.expected_lag_s(now)
        if age_s >= lag_s:
            lag_s += WEIGHT * (2 * age_s - lag_s)
            self._update(lag_s, now)
        self._backoff_s = min(
            max(2 * self._backoff_s, lag_s / 2), MAX_BACKOFF_S
        )
        self._ask_again_at = now + self._backoff_s
        if self._reported is not None and self._reported >= position:
            # The member restarted without the log that it had.
            self._reported = None

    def _update(self, lag_s: float, now: float) -> None:
        self._estimate_s = lag_s
        self._estimated_at = now

    def expected_lag_s(self, now: float) -> float:
        """Return the estimate in seconds, decayed to the present."""
        age_s = now - self._estimated_at
        weight = 0.5 ** (age_s / HALF_LIFE_S)
        return INITIAL_LAG_S + weight * (self._estimate_s - INITIAL_LAG_S)

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
        if self._reported is not None and self._reported >= position:
            return True
        return now >= self._ask_again_at and age_s >= self.expected_lag_s(now)
