"""Starts a site on loopback addresses that are free."""

import itertools
import os
from typing import Callable

from burdockcart.platform.standin import site as sites

#: Attempts to start a site.
ATTEMPTS = 20
#: Numbers of the attempts of this process: two processes, or two sites of one,
#: would take the same fixed addresses.
_NUMBERS = itertools.count()


async def start_on_free_addresses(
    new: Callable[[str], sites.Site],
) -> sites.Site:
    """Start a site on loopback addresses that are free.

    Parameters
    ==========

    new : callable
        Returns a site for a prefix.

    Raises
    ======

    RuntimeError
        If no free addresses were found.

    """
    for attempt in itertools.islice(_NUMBERS, ATTEMPTS):
        number = (os.getpid() + attempt * 7919) % 60000
        site = new(f"127.{16 + number // 250}.{1 + number % 250}")
        try:
            await site.start()
        except OSError:
            site.stop()
            continue
        return site
    raise RuntimeError("no free loopback addresses")
