"""Gate that holds a group's writes during a planned handover."""

import asyncio
import contextlib
from typing import Iterator

from burdockcart import clock


class WriteGate:
    """Counts the open writes of a group and can hold new ones.

    Explanation
    ===========

    A transaction counts as one open write from ``begin`` to its end.  Its
    statements pass a closed gate, because the handover waits for its end.

    """

    def __init__(self, time: clock.Clock):
        self._clock = time
        self._open = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._passable = asyncio.Event()
        self._passable.set()

    @property
    def held(self) -> bool:
        """Return whether new writes wait."""
        return not self._passable.is_set()

    def hold(self) -> None:
        """Make new writes wait."""
        self._passable.clear()

    def release(self) -> None:
        """Let the waiting writes continue."""
        self._passable.set()

    async def wait_until_released(self, deadline: float) -> bool:
        """Wait until writes are released; return False at the deadline."""
        while self.held:
            left = deadline - self._clock.now()
            try:
                await asyncio.wait_for(self._passable.wait(), max(left, 0))
            except asyncio.TimeoutError:
                return False
        return True

    def opened(self) -> None:
        """Count a write or transaction as open."""
        self._open += 1
        self._idle.clear()

    def finished(self) -> None:
        """Count a write or transaction as finished."""
        self._open -= 1
        if not self._open:
            self._idle.set()

    @contextlib.contextmanager
    def write(self) -> Iterator[None]:
        """Count a write as open within the block."""
        self.opened()
        try:
            yield
        finally:
            self.finished()

    async def idle(self) -> None:
        """Wait until no write is open."""
        await self._idle.wait()
