"""Inquiries that callers share, with one at a time."""

import asyncio
from typing import Awaitable
from typing import Callable
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class SharedInquiry(Generic[T]):
    """Runs one inquiry at a time; callers that wait share the next one.

    The answer to a call is always that of an inquiry that began after the
    call, so it tells nothing that was out of date then.
    """

    def __init__(self, name: str):
        self._name = name
        self._running: asyncio.Task[T] | None = None
        self._next: asyncio.Task[T] | None = None

    async def ask(self, inquire: Callable[[], Awaitable[T]]) -> T:
        """Return the answer of an inquiry that starts after this call."""
        running = self._running
        if running is None or running.done():
            self._running = asyncio.create_task(_run(inquire), name=self._name)
            return await asyncio.shield(self._running)
        if self._next is None:
            self._next = asyncio.create_task(
                self._run_after(running, inquire), name=self._name
            )
        return await asyncio.shield(self._next)

    async def _run_after(
        self, running: asyncio.Task[T], inquire: Callable[[], Awaitable[T]]
    ) -> T:
        await asyncio.wait({running})
        self._running, self._next = self._next, None
        return await inquire()


async def _run(inquire: Callable[[], Awaitable[T]]) -> T:
    return await inquire()
