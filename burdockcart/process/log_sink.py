"""Log output that never blocks and stays bounded.

Explanation
===========

A reader that stops reading fills the pipe, and a blocking write would then
stop the event loop.  Lines that the pipe does not take are dropped and
counted; the count is written once the pipe takes lines again.  A limiter
bounds the lines of each event, so that a burst of one kind does not hide the
others.

"""

import fcntl
import os
import time
from typing import Any
from typing import Callable

#: Lines a second of one event and level of severity, and how many may come
#: at once; at 200 bytes a line all events together stay below 100 KB/s.
LINES_PER_S = {"INFO": 25.0, "WARNING": 50.0, "ERROR": 50.0}
BURST_S = 2.0
#: Interval of reporting suppressed lines, in seconds.
REPORT_EVERY_S = 5.0
#: Part of a line that the pipe did not take, kept until it does, in bytes;
#: one line with a trace.
MAX_KEPT_BYTES = 64 * 1024


def event_of(message: str) -> str:
    """Return the event that a line tells of.

    Examples
    ========

    >>> from burdockcart.process import log_sink
    >>> log_sink.event_of("event=daemon_started id=d1")
    'daemon_started'

    """
    return message.partition(" ")[0].removeprefix("event=")


class LineLimiter:
    """Token buckets by event; counts what it suppresses.

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
        """Return whether a line may be written, and count it."""
        rate = LINES_PER_S.get(level)
        if rate is None:
            return True
        now = self._now()
        most = rate * BURST_S
        tokens, at = self._tokens.get((event, level), (most, now))
        tokens = min(tokens + (now - at) * rate, most)
        allowed = tokens >= 1
        self._tokens[event, level] = (tokens - allowed, now)
        if not allowed:
            self.suppressed[event] = self.suppressed.get(event, 0) + 1
        return allowed

    def take_suppressed(self) -> dict[str, int]:
        """Return and forget the counts of suppressed lines."""
        counts, self.suppressed = self.suppressed, {}
        return counts


class PipeSink:
    """Writes lines to a file descriptor without waiting for its reader."""

    def __init__(self, descriptor: int):
        self.dropped = 0
        self._descriptor = descriptor
        self._kept = b""
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
        self._kept = line.encode("utf-8", "replace")[:MAX_KEPT_BYTES]
        self._flush()

    def _flush(self) -> bool:
        """Write what is kept; False if the pipe does not take it all."""
        try:
            while self._kept:
                written = os.write(self._descriptor, self._kept)
                self._kept = self._kept[written:]
        except BlockingIOError:
            return False
        except OSError:
            # Nobody can read the log any more, and there is no other place
            # to say so; the metrics still count the lines.
            self._kept = b""
            return False
        return True


def rate_limit_filter(limiter: LineLimiter) -> Callable[[Any], bool]:
    """Return a filter of log records."""

    def allows(record: Any) -> bool:
        return limiter.allows(
            event_of(record["message"]), record["level"].name
        )

    return allows
