"""Runs the steps of a shutdown, whichever of them fail."""

from typing import Any
from typing import Callable
from typing import Coroutine

import loguru

Step = Callable[[], Coroutine[Any, Any, None] | None]


async def run(*steps: Step) -> bool:
    """Run steps one after the other; return whether all have succeeded.

    Otherwise a fault in one of them would leave clients without an answer, or
    this daemon in the list of daemons.
    """
    succeeded = True
    for step in steps:
        try:
            running = step()
            if running is not None:
                await running
        except Exception as error:  # noqa: B902 - the next step follows
            succeeded = False
            loguru.logger.opt(exception=error).error(
                "event=shutdown_step_failed step={}",
                getattr(step, "__qualname__", step),
            )
    return succeeded
