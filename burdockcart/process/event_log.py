"""Log output: one line of key=value pairs for each event."""

import json
import sys
import traceback
from typing import Any

import loguru

from burdockcart.process import log_sink

_LINE_FORMAT = (
    "time={time:YYYY-MM-DDTHH:mm:ss.SSS} level={level} {extra[line]}"
)
#: Longest message, in characters; ids of clients may have a megabyte.
MAX_LENGTH = 4000


def one_line(message: str) -> str:
    """Return a message without characters that end or split its line.

    Explanation
    ===========

    Ids of clients are logged as they are.  They hold no space, but may hold
    other blanks, ends of lines and control characters, in any alphabet.

    Examples
    ========

    >>> from burdockcart.process import event_log
    >>> print(event_log.one_line("event=placed id=a\\x85level=ERROR"))
    event=placed id=a\\x85level=ERROR

    """
    if len(message) > MAX_LENGTH:
        message = message[:MAX_LENGTH] + "..."
    if message.isprintable():
        return message
    return "".join(
        each if each.isprintable() else each.encode("unicode_escape").decode()
        for each in message
    )


def line_format(record: Any) -> str:
    """Return the format of a record; a traceback is one quoted value.

    Explanation
    ===========

    loguru would print a traceback over many lines, which breaks tools that
    read one event from each line.

    """
    record["extra"]["line"] = one_line(record["message"])
    exception = record["exception"]
    if exception is None:
        return _LINE_FORMAT + "\n"
    lines = traceback.format_exception(
        exception.type, exception.value, exception.traceback
    )
    record["extra"]["trace"] = json.dumps("".join(lines))
    return _LINE_FORMAT + " trace={extra[trace]}\n"


def configure(level: str) -> None:
    """Log events of a level and above to standard error."""
    loguru.logger.remove()
    loguru.logger.add(
        sys.stderr,
        level=level,
        format=line_format,
        backtrace=False,
        diagnose=False,
    )


def configure_bounded(level: str, descriptor: int) -> log_sink.LineLimiter:
    """Log to a file descriptor without blocking and at a bounded rate.

    Returns
    =======

    LineLimiter
        Counts the suppressed lines of each event.

    """
    limiter = log_sink.LineLimiter()
    sink = log_sink.PipeSink(descriptor)
    loguru.logger.remove()
    loguru.logger.add(
        sink.write,
        level=level,
        format=line_format,
        filter=log_sink.rate_limit_filter(limiter),
        backtrace=False,
        diagnose=False,
    )
    return limiter
