"""Waits for the signal that ends a long-running command."""

import asyncio
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def stop_event() -> asyncio.Event:
    """Return an event of the running loop that SIGTERM and SIGINT set."""
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopping.set)
    return stopping


def block_signals() -> None:
    """Block signals until the process has exited.

    The handlers of a loop end with it, while the interpreter still needs some
    time to exit; a repeated SIGTERM would turn a clean exit into a kill.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {*STOP_SIGNALS, signal.SIGHUP})
