"""Times within which the statements of a route are likely to be answered."""

from burdockcart import ids

#: Share of the peak that is kept from one statement to the next.
DECAY = 0.99
#: Factor on the peak of the recent times.
FACTOR = 2.0
#: Maximum number of routes.
MAX_ROUTES = 1000


class AnswerTimes:
    """Decaying peaks of the answer times, by route.

    Examples
    ========

    >>> from burdockcart.request import answer_times
    >>> times = answer_times.AnswerTimes()
    >>> times.needed_s("archive", 1.2)
    1.2
    >>> times.learn("archive", 0.05)
    >>> times.learn("archive", 0.02)
    >>> round(times.needed_s("archive", 1.2), 2)
    0.1

    """

    def __init__(self) -> None:
        self._peak_by_route: dict[ids.RouteName, float] = {}

    def learn(self, route: ids.RouteName, took_s: float) -> None:
        """Record the time from a statement to its answer."""
        peak_s = self._peak_by_route.get(route)
        if peak_s is None:
            if len(self._peak_by_route) >= MAX_ROUTES:
                return
            peak_s = took_s
        self._peak_by_route[route] = max(took_s, DECAY * peak_s)

    def needed_s(self, route: ids.RouteName, limit_s: float) -> float:
        """Return a time that few statements exceed, at most their limit."""
        peak_s = self._peak_by_route.get(route)
        return limit_s if peak_s is None else min(FACTOR * peak_s, limit_s)
