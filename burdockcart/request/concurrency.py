"""Concurrency limit of a member, adapted to the measured latency."""

#: Mean slowdown above which the limit decreases: at twice the unloaded
#: running time a second concurrent statement adds no throughput.
MAX_SLOWDOWN = 2.0
#: Weight of a new slowdown in the moving average; low enough that the natural
#: variation of running times does not look like a slowdown.
WEIGHT = 0.05
#: Factor on the limit when the mean slowdown is above MAX_SLOWDOWN.
DECREASE = 0.75
#: Increase of the limit per statement that ran at the limit; an increase by
#: one takes ten statements, so the limit is mostly at the better value.
INCREASE = 0.1
#: Statements at the limit between two decreases, so that the effect of the
#: first is measured before the second.
MIN_DECREASE_INTERVAL = 20


class ConcurrencyLimit:
    """Additive increase and multiplicative decrease within the slots.

    Examples
    ========

    >>> from burdockcart.request import concurrency
    >>> adaptive = concurrency.ConcurrencyLimit(4)
    >>> for _ in range(120):
    ...     adaptive.observe(adaptive.limit, 5.0)
    >>> adaptive.limit
    1
    >>> for _ in range(120):
    ...     adaptive.observe(adaptive.limit, 1.0)
    >>> adaptive.limit
    4

    """

    def __init__(self, slots: int):
        self._slots = slots
        self._limit = float(slots)
        self._mean = 1.0
        self._since_decrease = 0

    @property
    def limit(self) -> int:
        """Return the maximum number of concurrent statements."""
        return int(self._limit)

    def observe(self, running: int, slowdown: float) -> None:
        """Record the slowdown of a finished statement.

        Parameters
        ==========

        running : int
            Statements that ran when it started, including itself.
        slowdown : float
            Its running time as a multiple of the unloaded running time.

        """
        if running < self.limit:
            return
        self._mean += WEIGHT * (slowdown - self._mean)
        self._since_decrease += 1
        if self._mean <= MAX_SLOWDOWN:
            self._limit = min(self._limit + INCREASE, float(self._slots))
        elif self._since_decrease >= MIN_DECREASE_INTERVAL:
            self._limit = max(self._limit * DECREASE, 1.0)
            self._since_decrease = 0
