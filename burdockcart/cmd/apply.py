"""``burdockcart apply``: put new tables into force."""

import argparse
import pathlib
import sys
from typing import Any

from burdockcart.cmd import check
from burdockcart.cmd import table_operations


def add_parser(subparsers: Any) -> None:
    """Add the subcommand to the command line."""
    parser = subparsers.add_parser(
        "apply",
        help="put the tables of a folder into force",
        description="Check the tables and write them to the platform, if "
        "the version in force is still the one that they are based on.",
        epilog=table_operations.EXIT_CODES,
    )
    add_folder(parser)
    table_operations.add_request(parser)
    parser.set_defaults(run=run)


def add_folder(parser: argparse.ArgumentParser) -> None:
    """Add the options of a command that reads a folder of tables."""
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument(
        "--base",
        type=int,
        metavar="N",
        help="version that the files are based on (default: the folder's "
        "file base_version)",
    )
    parser.add_argument(
        "--merge",
        action="store_true",
        help="keep what others changed since the base version, if no row "
        "was changed by both",
    )


def read_base(args: argparse.Namespace) -> int | None:
    """Return the base version of parsed arguments.

    Raises
    ======

    ValueError
        The folder's file is not a version.

    """
    if args.base is not None:
        return args.base
    return table_operations.read_base(args.folder)


def run(args: argparse.Namespace) -> int:
    """Apply the tables of a folder."""
    tables = check.load(args.folder)
    if tables is None:
        return table_operations.EXIT_USAGE
    try:
        base = read_base(args)
    except (OSError, ValueError) as error:
        print(f"{table_operations.BASE_FILE}: {error}", file=sys.stderr)
        return table_operations.EXIT_USAGE
    asked = table_operations.request_of(args, base=base, merge=args.merge)
    command_result = table_operations.run(
        args.platform,
        lambda store: table_operations.apply_tables(store, asked, tables),
    )
    if (
        command_result.code == table_operations.EXIT_OK
        and command_result.version is not None
    ):
        if args.merge:
            # The files lack what others changed.
            print("run `show --to FOLDER` before the next edit")
        else:
            table_operations.write_base(args.folder, command_result.version)
    return command_result.code
