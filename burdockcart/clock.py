"""Time as the decisions and tasks of a daemon see it.

Explanation
===========

All waiting goes through the event loop, so a test that runs on
:class:`burdockcart.tests.virtual_time.PausedLoop` decides how time passes.
Wall-clock time appears only in records for people (audit, logs).

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
    """Time since the machine started, its suspension included.

    The age of a sample must grow while the machine is suspended, which the
    time of the event loop does not.
    """

    def now(self) -> float:
        """Return the time since the start of the machine in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
