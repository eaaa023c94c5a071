"""Network link of an emulated host, which a large transfer can fill."""

import asyncio


class HostLink:
    """Delays what arrives at one daemon while its link is full.

    Explanation
    ===========

    What arrives waits behind the transfer and keeps its order, so the first
    message after the transfer is late, too.

    """

    def __init__(self):
        self._full_until = 0.0
        self._queue_s = 0.0
        self._last_arrival_at = 0.0

    def fill(self, duration_s: float, queue_s: float) -> None:
        """Fill the link for a time with a queue of ``queue_s`` seconds."""
        self._full_until = asyncio.get_running_loop().time() + duration_s
        self._queue_s = queue_s

    def arrival_at(self) -> float:
        """Return when a message that is sent now has passed the queue."""
        now = asyncio.get_running_loop().time()
        if now < self._full_until:
            self._last_arrival_at = now + self._queue_s
        return max(now, self._last_arrival_at)

    async def arrive(self) -> None:
        """Wait until a message that is sent now has passed the queue."""
        await until(self.arrival_at())


async def until(due_at: float) -> None:
    """Wait until a time of the event loop; return at once if it is past."""
    late_s = due_at - asyncio.get_running_loop().time()
    if late_s > 0:
        await asyncio.sleep(late_s)
