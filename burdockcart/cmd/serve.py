"""``burdockcart serve``: run one daemon."""

import argparse
import asyncio
import gc
import pathlib
import sys
from typing import Any

from returns import result

from burdockcart.cmd import stop_signal
from burdockcart.process import application
from burdockcart.process import event_log
from burdockcart.process import settings


def add_parser(subparsers: Any) -> None:
    """Add the subcommand to the command line."""
    parser = subparsers.add_parser(
        "serve",
        help="run one daemon until SIGTERM",
        description="Run one daemon. SIGTERM or SIGINT drains it: open "
        "requests finish, then it exits with 0.",
    )
    parser.add_argument("settings", type=pathlib.Path, help="INI file")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Run the daemon of a settings file."""
    read = settings.read(args.settings)
    if isinstance(read, result.Failure):
        for fault in read.failure():
            print(fault, file=sys.stderr)
        return 2
    config = read.unwrap()
    event_log.configure(config.log_level)
    asyncio.run(_serve(config))
    return 0


async def _serve(config: settings.Settings) -> None:
    stopping = stop_signal.stop_event()
    daemon = application.Application(
        config, application.network_transports(config)
    )
    await daemon.start()
    # Excludes the objects loaded so far from garbage collection, which
    # otherwise stops the event loop for tens of milliseconds under load.
    gc.collect()
    gc.freeze()
    await stopping.wait()
    await daemon.drain()
    await daemon.stop()
