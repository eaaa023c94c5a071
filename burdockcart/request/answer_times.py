"""Times within which the work of a route is likely to be answered."""

import enum

from burdockcart import ids

#: Share of the peak that is kept from one statement to the next.
DECAY = 0.99
#: Maximum number of routes.
MAX_ROUTES = 1000


class Work(enum.Enum):
    """Kind of work, by what it costs to give it up."""

    #: A read, or a statement of a transaction other than its COMMIT: the
    #: client tries again.
    READ = "read"
    #: A write or COMMIT: its outcome stays unknown.
    WRITE = "write"
    #: A transaction from BEGIN to its end: the client tries again.
    TRANSACTION = "transaction"


#: Factor on the peak of the recent times.
_FACTOR_BY_WORK = {Work.READ: 2.0, Work.WRITE: 3.0, Work.TRANSACTION: 2.0}


class AnswerTimes:
    """Decaying peaks of the answer times, by route and kind of work.

    Examples
    ========

    >>> from burdockcart.request import answer_times
    >>> times = answer_times.AnswerTimes()
    >>> read = answer_times.Work.READ
    >>> times.needed_s("archive", read, 1.2)
    1.2
    >>> times.learn("archive", read, 0.05)
    >>> times.learn("archive", read, 0.02)
    >>> round(times.needed_s("archive", read, 1.2), 2)
    0.1

    """

    def __init__(self) -> None:
        self._peak_by_route: dict[tuple[ids.RouteName, Work], float] = {}

    def learn(self, route: ids.RouteName, work: Work, took_s: float) -> None:
        """Record the time from the arrival of work to its end."""
        peak_s = self._peak_by_route.get((route, work))
        if peak_s is None:
            if len(self._peak_by_route) >= MAX_ROUTES * len(Work):
                return
            peak_s = took_s
        self._peak_by_route[route, work] = max(took_s, DECAY * peak_s)

    def needed_s(
        self, route: ids.RouteName, work: Work, limit_s: float
    ) -> float:
        """Return a time that little work exceeds, at most its limit."""
        peak_s = self._peak_by_route.get((route, work))
        if peak_s is None:
            return limit_s
        return min(_FACTOR_BY_WORK[work] * peak_s, limit_s)
