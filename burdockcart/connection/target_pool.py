"""Connection pool of one member, filled ahead of demand."""

import asyncio
import collections
import math

from burdockcart.connection import arrival_forecast
from burdockcart.connection import target_connection

CONNECT_TIMEOUT_S = 1.0
#: Pause after a connection could not be opened ahead of demand, in seconds.
RETRY_S = 0.5
#: Weight of a new hold time in the moving average.
WEIGHT = 0.1
STATE_PATH = "/state"


class TargetPool:
    """Open connections to one member.

    Explanation
    ===========

    A connection is idle, held by one user, or being opened.  Their total
    number never exceeds the limit.

    Parameters
    ==========

    connector : Connector
        Opens connections.
    address : str
        ``ip:port`` of the member.
    limit : int
        Maximum number of connections to the member.
    ahead_s : float
        Time that opening takes; the demand is forecast this far ahead.
    max_needed : int
        Maximum number of concurrent statements; bounds the forecast.

    """

    def __init__(
        self,
        connector: target_connection.Connector,
        address: str,
        limit: int,
        ahead_s: float = 0.0,
        max_needed: int = 0,
    ):
        self._connector = connector
        self._address = address
        self._ahead_s = ahead_s
        self._max_needed = max_needed
        self._forecast = arrival_forecast.ArrivalForecast()
        self._hold_s = 0.0
        self._retry_at = 0.0
        self._opening: set[asyncio.Task[None]] = set()
        self.limit = limit
        self.count = 0
        self.closed = False
        self._idle: collections.deque[target_connection.TargetConnection] = (
            collections.deque()
        )

    def record_arrival(self, now: float) -> None:
        """Record an arrival and open the connections that it forecasts."""
        self._forecast.record_arrival(now)
        if now < self._retry_at:
            return
        for _ in range(self.desired_count(now) - self.count):
            self.count += 1
            task = asyncio.create_task(self._open_ahead())
            self._opening.add(task)
            task.add_done_callback(self._opening.discard)

    def record_hold_time(self, duration_s: float) -> None:
        """Record for how long a statement held its connection."""
        self._hold_s += WEIGHT * (duration_s - self._hold_s)

    def desired_count(self, now: float) -> int:
        """Return how many connections the arrival_forecast of arrivals asks for.

        One more than are in use or forecast, so that the next arrival does
        not wait for a new connection.
        """
        rate = self._forecast.rate(now, self._ahead_s)
        forecast = min(math.ceil(rate * self._hold_s), self._max_needed)
        in_use = self.count - len(self._idle) - len(self._opening)
        return min(max(forecast, in_use) + 1, self.limit)

    async def acquire(self) -> target_connection.TargetConnection | None:
        """Return a connection for one user, or None if none is available."""
        while True:
            while self._idle:
                connection = self._idle.pop()
                if not connection.closed:
                    return connection
                self.count -= 1
            if self.count < self.limit:
                return await self._open()
            if not self._opening:
                return None
            await asyncio.wait(
                self._opening, return_when=asyncio.FIRST_COMPLETED
            )

    def release(self, connection: target_connection.TargetConnection) -> None:
        """Return a connection to the pool; a closed one is dropped."""
        if self.closed:
            connection.close()
        if connection.closed:
            self.count -= 1
        else:
            self._idle.append(connection)

    def close(self) -> None:
        """Close all idle connections, and the others on their release."""
        self.closed = True
        for task in self._opening:
            task.cancel()
        self.close_idle()

    def close_idle(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().close()
            self.count -= 1

    async def _open(self) -> target_connection.TargetConnection | None:
        self.count += 1
        opened = None
        try:
            opened = await self._connector.connect(
                self._address, CONNECT_TIMEOUT_S
            )
        finally:
            if opened is None:
                self.count -= 1
        return opened

    async def _open_ahead(self) -> None:
        """Open a connection and send one request, as the first is slow."""
        opened = None
        try:
            opened = await self._connector.connect(
                self._address, CONNECT_TIMEOUT_S
            )
            if opened is not None:
                await opened.request(STATE_PATH, None, CONNECT_TIMEOUT_S)
        finally:
            if opened is None or opened.closed:
                self.count -= 1
                loop = asyncio.get_running_loop()
                self._retry_at = loop.time() + RETRY_S
            else:
                self.release(opened)
