"""When the sessions of a daemon that stops are closed.

Explanation
===========

Load pattern: all sessions of a daemon come to the other daemons, which are
few.  The balancer takes a daemon out after two missed questions, a second
apart; a session that is closed before would come back.  After that, idle
sessions are closed evenly over the time that is left, and the others as soon
as their client waits for nothing.

"""

import math
from typing import Sequence
from typing import TypeVar

T = TypeVar("T")

#: Time until the balancer sends no more clients, in seconds: two questions a
#: second apart, and their way.
BALANCER_S = 2.3
#: Share of the granted time at which all sessions should be closed; a
#: transaction that is still open may end by itself until then.
CLOSED_AT = 0.75
#: Share of the granted time at which the process ends in any case, so that
#: its last answers are on their way before it is killed.
END_AT = 0.92
#: Interval between steps, in seconds.
STEP_S = 0.1


class ShutdownPlan:
    """Paces the end of the sessions.

    Examples
    ========

    >>> from burdockcart.process.gateway import shutdown_plan
    >>> plan = shutdown_plan.ShutdownPlan(6.0)
    >>> plan.to_close(1.0, ["a", "b"])
    []
    >>> plan.to_close(4.4, ["a", "b"])
    ['a', 'b']
    >>> plan.finished(3.0, 0), plan.finished(1.0, 0)
    (True, False)

    """

    def __init__(self, granted_s: float):
        self._granted_s = granted_s
        self._first_s = min(BALANCER_S, granted_s / 2)

    def to_close(self, elapsed_s: float, idle: Sequence[T]) -> list[T]:
        """Return the idle sessions to close in this step."""
        if elapsed_s < self._first_s:
            return []
        left_s = CLOSED_AT * self._granted_s - elapsed_s
        steps = max(left_s / STEP_S, 1.0)
        return list(idle[: math.ceil(len(idle) / steps)])

    def closes_busy_sessions(self, elapsed_s: float) -> bool:
        """Return whether sessions close with the end of their work."""
        return elapsed_s >= self._first_s

    def finished(self, elapsed_s: float, sessions: int) -> bool:
        """Return whether the process may end."""
        if elapsed_s >= END_AT * self._granted_s:
            return True
        return sessions == 0 and elapsed_s >= self._first_s
