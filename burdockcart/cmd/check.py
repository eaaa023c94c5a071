"""``burdockcart check``: check the tables offline."""

import argparse
import pathlib
import sys
from typing import Any

from returns import result

from burdockcart import ids
from burdockcart.version import rows
from burdockcart.version import table_files


def add_parser(subparsers: Any) -> None:
    """Add the subcommand to the command line."""
    parser = subparsers.add_parser(
        "check",
        help="check the tables offline",
        description="Check routes.ini and pools.ini of a folder.",
    )
    parser.add_argument("folder", type=pathlib.Path)
    parser.set_defaults(run=run)


def load(folder: pathlib.Path) -> rows.Tables | None:
    """Return the tables of a folder, or None after printing their faults."""
    parsed = table_files.read(folder, ids.TableVersion(0))
    if isinstance(parsed, result.Failure):
        for fault in parsed.failure():
            print(fault, file=sys.stderr)
        return None
    return parsed.unwrap()


def run(args: argparse.Namespace) -> int:
    """Check the tables of a folder."""
    tables = load(args.folder)
    if tables is None:
        return 2
    print(
        f"ok: {len(tables.route_by_name)} routes, "
        f"{len(tables.pool_by_name)} pools"
    )
    return 0
