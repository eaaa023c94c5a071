"""Schedules the closing of sessions when a daemon shuts down.

Explanation
===========

All sessions of the daemon move to a few other daemons.  The load balancer
removes a daemon after two failed readiness checks, one second apart; a client
whose session is closed earlier would reconnect to the same daemon.  After
that, idle sessions are closed evenly over the remaining time, so that the
other daemons do not get all of them at once, and busy sessions as soon as
their client waits for no answer.

"""

import math
from typing import Sequence
from typing import TypeVar

T = TypeVar("T")

#: Time until the load balancer sends no more clients, in seconds: two
#: readiness checks one second apart, and their network latency.
BALANCER_DELAY_S = 2.3
#: Share of the granted time by which all sessions should be closed; open
#: transactions may finish until then.
CLOSED_BY_SHARE = 0.75
#: Share of the granted time after which the process exits in any case, so
#: that its last answers are sent before it is killed.
EXIT_BY_SHARE = 0.92
#: Interval between steps, in seconds.
STEP_S = 0.1


class ShutdownPlan:
    """Spreads the closing of sessions over the granted time.

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
        self._first_s = min(BALANCER_DELAY_S, granted_s / 2)

    def to_close(self, elapsed_s: float, idle: Sequence[T]) -> list[T]:
        """Return the idle sessions to close in this step."""
        if elapsed_s < self._first_s:
            return []
        left_s = CLOSED_BY_SHARE * self._granted_s - elapsed_s
        steps = max(left_s / STEP_S, 1.0)
        return list(idle[: math.ceil(len(idle) / steps)])

    def closes_busy_sessions(self, elapsed_s: float) -> bool:
        """Return whether busy sessions close as soon as their work ends."""
        return elapsed_s >= self._first_s

    def finished(self, elapsed_s: float, sessions: int) -> bool:
        """Return whether the process may exit."""
        if elapsed_s >= EXIT_BY_SHARE * self._granted_s:
            return True
        return sessions == 0 and elapsed_s >= self._first_s
