"""Clocks of a daemon.

Explanation
===========

All waiting goes through the event loop, so a test that runs on
:class:`burdockcart.tests.virtual_time.VirtualLoop` controls how time passes.
Wall-clock time is used only in audit records and logs.

"""

import asyncio
import datetime
import time
from typing import Protocol


class Clock(Protocol):
    """Monotonic time of one process, in seconds."""

    def now(self) -> float:
        """Return the current time in seconds."""


class LoopClock:
    """The time of the running event loop."""

    def now(self) -> float:
        """Return the time of the running event loop in seconds."""
        return asyncio.get_running_loop().time()


def utc_timestamp() -> str:
    """Return the wall-clock time in ISO 8601, for audit records."""
    now = datetime.datetime.now(datetime.timezone.utc)
    return now.isoformat(timespec="milliseconds")


class BootClock:
    """Time since the host booted, including time in suspension.

    The age of a sample must grow while the host is suspended; the time of the
    event loop stops then.
    """

    def now(self) -> float:
        """Return the time since the host booted in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
