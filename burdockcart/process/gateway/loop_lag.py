"""Lag of the event loop."""

import asyncio

import loguru

from burdockcart import clock

#: A longer delay of a timer is logged, in seconds.
LOGGED_LAG_S = 0.25


class LoopLag:
    """Measures how late the timers of a periodic task fire.

    Examples
    ========

    >>> import asyncio
    >>> from burdockcart import clock
    >>> from burdockcart.process.gateway import loop_lag
    >>> async def measure():
    ...     lag = loop_lag.LoopLag(clock.LoopClock())
    ...     await lag.sleep(0.0)
    ...     return lag.take() >= 0.0, lag.take()
    >>> asyncio.run(measure())
    (True, 0.0)

    """

    def __init__(self, loop_clock: clock.Clock):
        self._clock = loop_clock
        self._longest_s = 0.0

    async def sleep(self, duration_s: float) -> None:
        """Sleep, and note by how much it took longer, in seconds."""
        due_at = self._clock.now() + duration_s
        await asyncio.sleep(duration_s)
        lag_s = self._clock.now() - due_at
        self._longest_s = max(self._longest_s, lag_s)
        if lag_s >= LOGGED_LAG_S:
            loguru.logger.info(
                "event=event_loop_late lag_ms={}", int(lag_s * 1000)
            )

    def take(self) -> float:
        """Return the longest delay since the last call, in seconds."""
        longest_s, self._longest_s = self._longest_s, 0.0
        return longest_s
