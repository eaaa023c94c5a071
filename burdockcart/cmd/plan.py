"""``burdockcart plan``: show what apply would do."""

import argparse
import sys
from typing import Any

from burdockcart.cmd import apply
from burdockcart.cmd import check
from burdockcart.cmd import table_operations


def add_parser(subparsers: Any) -> None:
    """Add the subcommand to the command line."""
    parser = subparsers.add_parser(
        "plan",
        help="show what apply would change",
        description="Show the rows that apply would change, and the risks.",
        epilog=table_operations.EXIT_CODES,
    )
    apply.add_folder(parser)
    table_operations.add_platform(parser)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Show the plan for a folder."""
    tables = check.load(args.folder)
    if tables is None:
        return table_operations.EXIT_USAGE
    try:
        base = apply.read_base(args)
    except (OSError, ValueError) as error:
        print(f"{table_operations.BASE_FILE}: {error}", file=sys.stderr)
        return table_operations.EXIT_USAGE
    asked = table_operations.Request(
        author="-", time="-", change_id="-", base=base, merge=args.merge
    )
    return table_operations.run(
        args.platform,
        lambda store: table_operations.plan_tables(store, asked, tables),
    ).code
