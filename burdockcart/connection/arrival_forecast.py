"""Forecast of the rate of arrivals from its level and its trend."""

#: Width of the intervals in which arrivals are counted, in seconds.
BIN_S = 0.05
#: Smoothing factors of the level and of the trend.
LEVEL_WEIGHT = 0.3
TREND_WEIGHT = 0.3
#: Number of empty intervals after which the forecast is zero.
MAX_GAP = 40


class ArrivalForecast:
    """Double exponential smoothing of the arrivals in short intervals.

    Examples
    ========

    >>> from burdockcart.connection import arrival_forecast
    >>> rising = arrival_forecast.ArrivalForecast()
    >>> for step in range(1, 21):
    ...     for _ in range(step):
    ...         rising.record_arrival(step * arrival_forecast.BIN_S)
    >>> rising.rate(1.0, ahead_s=0.0) < rising.rate(1.0, ahead_s=0.1)
    True

    """

    def __init__(self) -> None:
        self._bin = 0
        self._count = 0
        self._level = 0.0
        self._trend = 0.0

    def record_arrival(self, now: float) -> None:
        """Count one arrival."""
        self._advance(now)
        self._count += 1

    def rate(self, now: float, ahead_s: float) -> float:
        """Return the expected arrivals per second."""
        self._advance(now)
        # The smoothed level belongs to the last whole interval.
        steps = 1 + ahead_s / BIN_S
        expected = max(self._level + self._trend * steps, 0.0)
        return max(expected, self._count) / BIN_S

    def _advance(self, now: float) -> None:
        current = int(now / BIN_S)
        if current - self._bin > MAX_GAP:
            self._bin, self._count = current, 0
            self._level = self._trend = 0.0
        while self._bin < current:
            before = self._level
            self._level += LEVEL_WEIGHT * (
                self._count - self._level - self._trend
            )
            self._level += self._trend
            change = self._level - before
            self._trend += TREND_WEIGHT * (change - self._trend)
            self._count = 0
            self._bin += 1
