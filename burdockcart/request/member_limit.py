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


class MemberLimit:
    """Multiplicative decrease at a refusal, slow additive increase.

    Parameters
    ==========

    maximum : int
        Highest limit; the number of connections.

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

    def __init__(self, maximum: int):
        self._maximum = maximum
        self._limit = float(maximum)
        #: Time of the last refusal.
        self.refused_at = float("-inf")

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

    def record_answer(self) -> None:
        """Record that the member answered a statement."""
        increase = INCREASE / max(self._limit, 1.0)
        self._limit = min(self._limit + increase, float(self._maximum))

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
