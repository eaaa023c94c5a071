"""Log output: one line of key=value pairs for each event."""

import json
import sys
import traceback
from typing import Any

import loguru

from burdockcart.process import log_sink

_LINE_FORMAT = "time={time:YYYY-MM-DDTHH:mm:ss.SSS} level={level} {message}"


def line_format(record: Any) -> str:
    """Return the format of a record; a traceback is one quoted value.

    Explanation
    ===========

    loguru would print a traceback over many lines, which breaks tools that
    read one event from each line.

    """
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
