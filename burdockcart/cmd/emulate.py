"""``burdockcart emulate``: run stand-ins for targets and the platform."""

import argparse
import asyncio
import configparser
import pathlib
import sys
from typing import Any

from burdockcart.cmd import stop_signal
from burdockcart.emulator import platform
from burdockcart.emulator import target


def add_parser(subparsers: Any) -> None:
    """Add the subcommand to the command line."""
    parser = subparsers.add_parser(
        "emulate",
        help="run stand-ins for targets and the platform (tests, demo)",
        description="Run the stand-ins that an INI file lists in "
        "[platform] and [target NAME] sections.",
    )
    parser.add_argument("config", type=pathlib.Path, help="INI file")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Run the emulator until SIGTERM."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(args.config.read_text(encoding="utf-8"))
    except (OSError, configparser.Error) as error:
        print(f"{args.config.name}: {error}", file=sys.stderr)
        return 2
    asyncio.run(_run(parser))
    return 0


def _target_settings(
    section: configparser.SectionProxy, name: str
) -> target.TargetSettings:
    return target.TargetSettings(
        name=name,
        address=section["address"],
        port=int(section["port"]),
        primary=section.getboolean("primary", False),
        primary_address=section.get("primary_address"),
        slots=section.getint("slots", 2),
        connections=section.getint("connections", 16),
        connect_ms=section.getfloat("connect_ms", 0.0),
        work_ms=section.getfloat("work_ms", 1.0),
        one_way_ms=section.getfloat("one_way_ms", 0.0),
        lag_ms=section.getfloat("lag_ms", 0.0),
        poll_ms=section.getfloat("poll_ms", 10.0),
    )


async def _run(parser: configparser.ConfigParser) -> None:
    stopping = stop_signal.stop_event()
    targets = [
        target.Target(_target_settings(parser[name], name.split()[1]))
        for name in parser.sections()
        if name.startswith("target ")
    ]
    for each in targets:
        await each.start()
    if parser.has_section("platform"):
        section = parser["platform"]
        platform.Platform().start(int(section["port"]), section["address"])
    await stopping.wait()
    for each in targets:
        await each.stop()
