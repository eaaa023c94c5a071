"""``burdockcart show``: print the tables, or write them to a folder."""

import argparse
import pathlib
import sys
from typing import Any

from returns import result

from burdockcart.cmd import table_operations
from burdockcart.process import store_client
from burdockcart.version import table_files


def add_parser(subparsers: Any) -> None:
    """Add the subcommand to the command line."""
    parser = subparsers.add_parser(
        "show",
        help="print the tables in the store",
        description="Print the tables, or write them to a folder for "
        "editing, with the version that they are.",
        epilog=table_operations.EXIT_CODES,
    )
    table_operations.add_platform(parser)
    parser.add_argument("--to", type=pathlib.Path, metavar="FOLDER")
    parser.add_argument("--version", type=int, metavar="N")
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Show the tables of the store."""
    try:
        return table_operations.run(
            args.platform,
            lambda store: show(store, args.version, args.to),
        ).code
    except OSError as error:
        print(f"{args.to}: {error.strerror}", file=sys.stderr)
        return table_operations.EXIT_FAILED


async def show(
    store: store_client.Store, version: int | None, folder: pathlib.Path | None
) -> table_operations.Ending:
    """Return the tables as lines, or write them to a folder."""
    read = await table_operations.read_tables(store, version)
    if isinstance(read, result.Failure):
        return read.failure()
    tables = read.unwrap()[1]
    if folder is not None:
        table_operations.write_folder(folder, tables)
        text = f"wrote version {tables.version} to {folder}"
        return table_operations.Ending(0, (text,), tables.version)
    lines = (
        f"# version {tables.version}",
        "# routes",
        table_files.format_routes(tables),
        "# pools",
        table_files.format_pools(tables),
    )
    return table_operations.Ending(0, lines, tables.version)
