"""Limit of the statements that one daemon sends to a member at a time.

Explanation
===========

Load pattern: 25 daemons with four connections each send 100 statements to a
member that runs four and queues 32, and the member refuses the rest, with
1,100 refusals a second.  Statements that wait at the daemon instead are
ordered by their priority and may still go to another member.  No daemon knows
the load of the others, so each uses refusals as feedback: a refusal sets the
limit to the statements that fit, and after some rounds of answers without a
refusal one more is tried.

A refusal comes only when 32 statements wait at the member, in the order of
their arrival: 0.15 s with slots for four of 20 ms, which is more than most
latency goals leave, and neither priorities nor accounts count there.  So the
limit also decreases when answers take much longer than they recently did, but
not below the part of the slots that this daemon may need.

"""

#: Factor on the statements that fit at a refusal, so that daemons with a high
#: limit yield to those with a low one.
DECREASE = 0.7
#: Increase per round of as many answers as the limit: a daemon behind a full
#: queue tries one more statement twice a second.
INCREASE = 0.3

#: Time for which a queue counts as full after a refusal, in seconds: about
#: four times the time in which four slots run 32 statements of 15 ms.
FULL_FOR_S = 0.5

#: Weight of a running time in the moving average: about the last five.
WEIGHT = 0.2
#: Factor on the least moving average above which statements wait at the
#: member.  The least average of running times that vary as much as their mean
#: is about half of that mean.
SLOWER = 2.5
#: Factor on the limit when statements wait at the member.
DECREASE_WHEN_SLOWER = 0.8
#: Half of the time for which the least average is kept, in seconds: a member
#: that has become slower counts as that after twice the time.
LEAST_KEPT_S = 2.5


class MemberLimit:
    """Multiplicative decrease at a refusal or delay, slow additive increase.

    Parameters
    ==========

    maximum : int
        Highest limit; the number of connections.
    needed : int
        Limit that running times alone do not decrease.

    Examples
    ========

    >>> from burdockcart.request import member_limit
    >>> limit = member_limit.MemberLimit(4)
    >>> limit.record_refusal(running=3, now=1.0)
    >>> limit.statements
    2
    >>> for _ in range(12):
    ...     limit.record_answer()
    >>> limit.statements
    3

    """

    def __init__(self, maximum: int, needed: int = 1):
        self._maximum = maximum
        self._limit = float(maximum)
        #: Limit that running times alone do not decrease.
        self.needed = needed
        #: Time of the last refusal.
        self.refused_at = float("-inf")
        self._mean_s: float | None = None
        #: Least moving averages of this period and of the one before.
        self._least_s = self._former_least_s = float("inf")
        self._least_since = 0.0

    @property
    def statements(self) -> int:
        """Number of statements that may be at the member."""
        return int(self._limit)

    def set_maximum(self, maximum: int) -> None:
        """Change the highest limit."""
        if maximum != self._maximum:
            # With a larger share, statements that were refused may fit.
            self._limit = float(maximum)
            self._maximum = maximum

    def record_answer(
        self, took_s: float | None = None, now: float = 0.0
    ) -> None:
        """Record that the member answered a statement.

        Parameters
        ==========

        took_s : float or None
            Time until the answer, in seconds, for a statement that was sent
            to the member itself.

        """
        if took_s is not None and self._slower(took_s, now):
            least = min(float(self.needed), self._limit)
            self._limit = max(self._limit * DECREASE_WHEN_SLOWER, least)
            return
        increase = INCREASE / max(self._limit, 1.0)
        self._limit = min(self._limit + increase, float(self._maximum))

    def _slower(self, took_s: float, now: float) -> bool:
        """Return whether answers take longer than they did."""
        if self._mean_s is None:
            self._mean_s = took_s
        self._mean_s += WEIGHT * (took_s - self._mean_s)
        if now - self._least_since >= LEAST_KEPT_S:
            self._former_least_s = self._least_s
            self._least_s, self._least_since = self._mean_s, now
        self._least_s = min(self._least_s, self._mean_s)
        least_s = min(self._least_s, self._former_least_s)
        return self._mean_s > SLOWER * least_s

    def recently_full(self, now: float) -> bool:
        """Return whether the member's queue was full a short time ago."""
        return now - self.refused_at < FULL_FOR_S

    def record_refusal(self, running: int, now: float) -> None:
        """Record that the member's queue was full.

        Parameters
        ==========

        running : int
            Statements of this daemon that the member has not refused.

        """
        self.refused_at = now
        fitting = min(self._limit, float(running))
        self._limit = max(fitting * DECREASE, 1.0)
