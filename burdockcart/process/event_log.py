"""Log output: one line of key=value pairs for each event."""

import json
import sys
import traceback
from typing import Any

import loguru

from burdockcart.process import log_sink

_LINE = "time={time:YYYY-MM-DDTHH:mm:ss.SSS} level={level} {message}"


def line_format(record: Any) -> str:
    """Return the format of a record; a trace becomes one quoted value.

    Explanation
    ===========

    loguru would print the trace of an exception over many lines, which
    breaks tools that read one event from each line.

    """
    exception = record["exception"]
    if exception is None:
        return _LINE + "\n"
    lines = traceback.format_exception(
        exception.type, exception.value, exception.traceback
    )
    record["extra"]["trace"] = json.dumps("".join(lines))
    return _LINE + " trace={extra[trace]}\n"


def configure(level: str) -> None:
    """Send events of a level and above to standard error."""
    loguru.logger.remove()
    loguru.logger.add(
        sys.stderr,
        level=level,
        format=line_format,
        backtrace=False,
        diagnose=False,
    )


def configure_bounded(level: str, descriptor: int) -> log_sink.LineLimiter:
    """Send events to a descriptor without blocking, and bound their number.

    Returns
    =======

    LineLimiter
        Knows how many lines of which event were left out.

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
