"""Waits for an event for a limited time."""

import asyncio
import math


async def until_set(event: asyncio.Event, longest_s: float) -> bool:
    """Wait until an event is set; return whether it is.

    Parameters
    ==========

    longest_s : float
        Longest time to wait, in seconds; infinity for any time.

    Examples
    ========

    >>> import asyncio
    >>> from burdockcart import event_wait
    >>> asyncio.run(event_wait.until_set(asyncio.Event(), 0.0))
    False

    """
    try:
        async with asyncio.timeout(
            None if longest_s == math.inf else longest_s
        ):
            await event.wait()
    except TimeoutError:
        return False
    return True
