"""Decides what a daemon that shuts down still takes, closes and waits for.

Explanation
===========

All sessions of the daemon move to a few other daemons.  The load balancer
removes a daemon after two failed readiness checks, one second apart; a client
whose session is closed earlier would reconnect to the same daemon.  After
that, sessions are told to close evenly over the remaining time, so that the
other daemons do not get all of them at once: sessions between two statements
first, those in a transaction last.

If all daemons shut down together, clients have nowhere else to go and send
until the end.  So there is a last moment for taking a statement, from which
on it is refused; what was taken before is answered before the process exits.

"""

import math
from typing import Sequence
from typing import TypeVar

T = TypeVar("T")

#: Time until the load balancer sends no more clients, in seconds: two
#: readiness checks one second apart, and their network latency.
BALANCER_DELAY_S = 2.3
#: Share of the granted time in which all work is taken; open transactions have
#: that time to end.
TRANSACTIONS_SHARE = 0.5
#: Share of the granted time by which all sessions are told to close; later
#: ones are told at once.
CLOSED_BY_SHARE = 0.75
#: Share of the granted time after which the process exits in any case, so
#: that its last answers are sent before it is killed.
EXIT_BY_SHARE = 0.92
#: Time between the last answer and the exit, in seconds, for clients to read
#: the last answers and to close; at most that share of the granted time.
CLOSING_S = 0.3
CLOSING_SHARE = 0.05
#: Interval between steps, in seconds.
STEP_S = 0.1


class ShutdownPlan:
    """Spreads the end of the work over the granted time.

    Explanation
    ===========

    All times are in seconds since the signal.

    Examples
    ========

    >>> from burdockcart.process.gateway.sessions import shutdown_plan
    >>> plan = shutdown_plan.ShutdownPlan(6.0)
    >>> plan.to_close(1.0, ["a", "b"])
    []
    >>> plan.to_close(4.4, ["a", "b"])
    ['a', 'b']
    >>> plan.takes(2.9, 5.0), plan.takes(4.0, 0.8), plan.takes(4.5, 0.8)
    (True, True, False)
    >>> plan.ends(3.0, 0), plan.ends(1.0, 0), plan.ends(5.3, 1)
    (True, False, True)

    """

    def __init__(self, granted_s: float):
        self._granted_s = granted_s
        self._first_s = min(BALANCER_DELAY_S, granted_s / 2)
        self._transactions_s = TRANSACTIONS_SHARE * granted_s
        #: Time at which the process exits in any case.
        self.exit_s = EXIT_BY_SHARE * granted_s
        closing_s = min(CLOSING_S, CLOSING_SHARE * granted_s)
        #: Time by which every statement that was taken is answered.
        self.answers_by_s = self.exit_s - closing_s
        #: Time from which on no session opens; it leaves some time for its
        #: first statement.
        self._opens_until_s = self.answers_by_s - closing_s

    def takes(self, elapsed_s: float, needed_s: float) -> bool:
        """Return whether a statement is still taken.

        Parameters
        ==========

        needed_s : float
            Time within which it is certain, or likely enough, to be answered.

        """
        longest_s = self.answers_by_s - self._transactions_s
        return elapsed_s + min(needed_s, longest_s) <= self.answers_by_s

    def opens_session(self, elapsed_s: float) -> bool:
        """Return whether a session may open."""
        return elapsed_s < self._opens_until_s

    def to_close(self, elapsed_s: float, sessions: Sequence[T]) -> list[T]:
        """Return the sessions that are told to close in this step.

        Parameters
        ==========

        sessions : sequence
            Those that have not been told yet, in the order of closing.

        """
        if elapsed_s < self._first_s:
            return []
        left_s = CLOSED_BY_SHARE * self._granted_s - elapsed_s
        steps = max(left_s / STEP_S, 1.0)
        return list(sessions[: math.ceil(len(sessions) / steps)])

    def ends(self, elapsed_s: float, open_work: int) -> bool:
        """Return whether the last steps begin: nothing more is accepted."""
        if elapsed_s >= self.answers_by_s:
            return True
        return open_work == 0 and elapsed_s >= self._first_s

    def exits(self, elapsed_s: float, open_work: int) -> bool:
        """Return whether the process may exit, after :meth:`ends`."""
        return open_work == 0 or elapsed_s >= self.exit_s
