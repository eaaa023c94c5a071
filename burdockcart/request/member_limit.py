"""How many statements one daemon has at a member at a time.

Explanation
===========

Load pattern: 25 daemons with four connections each send 100 statements to a
member that runs four and queues 32, and the member refuses the rest (quiet-1
of campanas-coop-grown at 11 s: 1,100 refusals a second).  Statements that
wait at the daemon instead wait in the order of their urgency, and may still
go to another member.  No daemon knows of the others, so each takes the
refusals as the measure: what it has at the member when one is refused is what
fits, and after some rounds of answers without a refusal one more is tried.

"""

#: Factor on what fits at a refusal, so that daemons with a high limit give
#: way to those with a low one.
DECREASE = 0.7
#: Rise after a round of as many answers as the limit allows statements: a
#: daemon with a full queue before it tries one more twice a second.
INCREASE = 0.3

#: Time for which a queue counts as full after a refusal, in seconds: about
#: four times that in which 32 statements of 15 ms leave four slots.
FULL_FOR_S = 0.5


class MemberLimit:
    """Falls to what fits at a refusal, and rises slowly.

    Parameters
    ==========

    most : int
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

    def __init__(self, most: int):
        self._most = most
        self._limit = float(most)
        #: Time of the last refusal.
        self.refused_at = float("-inf")

    @property
    def statements(self) -> int:
        """How many statements may be at the member."""
        return int(self._limit)

    def use_most(self, most: int) -> None:
        """Use another highest limit."""
        if most != self._most:
            # A larger share is a reason to try again.
            self._limit = float(most)
            self._most = most

    def record_answer(self) -> None:
        """Take over that a statement ran."""
        rise = INCREASE / max(self._limit, 1.0)
        self._limit = min(self._limit + rise, float(self._most))

    def recently_full(self, now: float) -> bool:
        """Return whether the member's queue was full a short time ago."""
        return now - self.refused_at < FULL_FOR_S

    def record_refusal(self, running: int, now: float) -> None:
        """Take over that the member's queue was full.

        Parameters
        ==========

        running : int
            This daemon's statements that the member has not refused.

        """
        self.refused_at = now
        fitting = min(self._limit, float(running))
        self._limit = max(fitting * DECREASE, 1.0)
