"""Asks a daemon over its link, which is opened if need be."""

import asyncio
from typing import Callable
from typing import TypeVar

from burdockcart.process.gateway.store import coordination
from burdockcart.process.peers import messages
from burdockcart.process.peers import relay_connector

Reply = TypeVar("Reply", bound=messages.Reply)


async def ask(
    links: relay_connector.HolderLinks,
    entry: coordination.DaemonEntry,
    build: Callable[[int], messages.Request],
    expected: type[Reply],
    timeout_s: float,
) -> Reply | None:
    """Ask a daemon, also one that leaves or that failed lately.

    Returns None without an answer in time, which includes opening the link,
    or with one of another type.

    Parameters
    ==========

    build : callable
        Returns the request with a number.
    expected : type
        Type of the answer.
    timeout_s : float
        Timeout, in seconds.

    """
    try:
        async with asyncio.timeout(timeout_s):
            link = await links.reach(entry)
            if link is None:
                return None
            reply = await link.request(build, timeout_s)
    except (TimeoutError, ConnectionRefusedError):
        return None
    return reply if isinstance(reply, expected) else None
