"""``burdockcart rollback``: bring back the rows of an earlier version."""

import argparse
import dataclasses
from typing import Any

from returns import result

from burdockcart.cmd import table_operations
from burdockcart.process import store_client
from burdockcart.version import row_checks


def add_parser(subparsers: Any) -> None:
    """Add the subcommand to the command line."""
    parser = subparsers.add_parser(
        "rollback",
        help="bring back an earlier version as a new one",
        description="Write a new version with the rows of an earlier one.",
        epilog=table_operations.EXIT_CODES,
    )
    parser.add_argument("--to", type=int, required=True, metavar="N")
    table_operations.add_request(parser)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Bring back an earlier version."""
    asked = table_operations.request_of(args, action=f"rollback to {args.to}")
    return table_operations.run(
        args.platform, lambda store: roll_back(store, asked, args.to)
    ).code


async def roll_back(
    store: store_client.Store, asked: table_operations.Request, version: int
) -> table_operations.Ending:
    """Write the rows of an earlier version as a new version."""
    newest = await table_operations.read_tables(store)
    earlier = await table_operations.read_tables(store, version)
    for read in (newest, earlier):
        if isinstance(read, result.Failure):
            return read.failure()
    faults = row_checks.check_tables(earlier.unwrap()[1])
    if faults:
        lines = tuple(str(fault) for fault in faults)
        return table_operations.Ending(table_operations.EXIT_USAGE, lines)
    base = newest.unwrap()[1].version
    return await table_operations.apply_tables(
        store,
        dataclasses.replace(asked, base=base),
        earlier.unwrap()[1],
    )
