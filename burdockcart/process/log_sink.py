"""Log output that never blocks and stays bounded.

Explanation
===========

A reader that stops reading fills the pipe, and a blocking write would then
stop the event loop.  Lines that the pipe does not take are dropped and
counted; the count is written once the pipe takes lines again.  A rate limit
for each event keeps a burst of one event from hiding the others.

"""

import fcntl
import os
import time
from typing import Any
from typing import Callable

#: Rate limit of one event, in lines per second, by level of severity; at 200
#: bytes a line, all events together stay below 100 KB/s.
LINES_PER_S = {"INFO": 25.0, "WARNING": 50.0, "ERROR": 50.0}
#: Seconds of the rate that one event may write at once.
BURST_S = 2.0
#: Interval of reporting suppressed lines, in seconds.
REPORT_EVERY_S = 5.0
#: Bounds the unwritten rest of a line, kept until the pipe takes it; one line
#: with a traceback must fit.
MAX_PENDING_BYTES = 64 * 1024


def event_of(message: str) -> str:
    """Return the event name of a log message.

    Examples
    ========

    >>> from burdockcart.process import log_sink
    >>> log_sink.event_of("event=daemon_started id=d1")
    'daemon_started'

    """
    return message.partition(" ")[0].removeprefix("event=")


class LineLimiter:
    """Rate limiter with a token bucket for each event and level.

    ``suppressed`` counts the lines over the limit by event.

    Examples
    ========

    >>> from burdockcart.process import log_sink
    >>> limiter = log_sink.LineLimiter(now=lambda: 0.0)
    >>> allowed = [limiter.allows("a", "INFO") for _ in range(60)]
    >>> allowed.count(True)
    50
    >>> limiter.suppressed
    {'a': 10}

    """

    def __init__(self, now: Callable[[], float] = time.monotonic):
        self.suppressed: dict[str, int] = {}
        self._now = now
        self._tokens: dict[tuple[str, str], tuple[float, float]] = {}

    def allows(self, event: str, level: str) -> bool:
        """Return whether a line may be written; count it if not."""
        rate = LINES_PER_S.get(level)
        if rate is None:
            return True
        now = self._now()
        capacity = rate * BURST_S
        tokens, updated_at = self._tokens.get((event, level), (capacity, now))
        tokens = min(tokens + (now - updated_at) * rate, capacity)
        allowed = tokens >= 1
        self._tokens[event, level] = (tokens - allowed, now)
        if not allowed:
            self.suppressed[event] = self.suppressed.get(event, 0) + 1
        return allowed

    def take_suppressed(self) -> dict[str, int]:
        """Return the counts of suppressed lines and reset them."""
        counts, self.suppressed = self.suppressed, {}
        return counts


class PipeSink:
    """Writes lines to a file descriptor without waiting for its reader."""

    def __init__(self, descriptor: int):
        self.dropped = 0
        self._descriptor = descriptor
        self._pending = b""
        flags = fcntl.fcntl(descriptor, fcntl.F_GETFL)
        if not os.isatty(descriptor):
            fcntl.fcntl(descriptor, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, line: str) -> None:
        """Write a line, or drop and count it."""
        if not self._flush():
            self.dropped += 1
            return
        if self.dropped:
            count, self.dropped = self.dropped, 0
            line = f"event=log_lines_dropped count={count}\n" + line
        self._pending = line.encode("utf-8", "replace")[:MAX_PENDING_BYTES]
        self._flush()

    def _flush(self) -> bool:
        """Write the pending bytes; return False if that fails."""
        try:
            while self._pending:
                written = os.write(self._descriptor, self._pending)
                self._pending = self._pending[written:]
        except BlockingIOError:
            return False
        except OSError:
            # The log has no reader any more and there is no other place to
            # report that; the metrics still count the lines.
            self._pending = b""
            return False
        return True


def rate_limit_filter(limiter: LineLimiter) -> Callable[[Any], bool]:
    """Return a loguru filter that applies a limiter."""

    def allows(record: Any) -> bool:
        return limiter.allows(
            event_of(record["message"]), record["level"].name
        )

    return allows
