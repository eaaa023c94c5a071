"""``burdockcart capacity``: compute the capacity page from the slopes."""

import argparse
import pathlib
import sys
from typing import Any

from burdockcart.measure import capacity
from burdockcart.measure import slopes


def add_parser(subparsers: Any) -> None:
    """Add the subcommand to the command line."""
    parser = subparsers.add_parser(
        "capacity",
        help="compute the capacity page from measured slopes",
        description="Print the figures at the design size. With a page, "
        "replace its computed part; with --check, exit with 1 if that part "
        "differs from the slopes.",
    )
    parser.add_argument("page", type=pathlib.Path, nargs="?")
    parser.add_argument("--check", action="store_true")
    parser.add_argument("--slopes", type=pathlib.Path, default=slopes.FOLDER)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Print, update or check the computed figures."""
    try:
        computed = capacity.block(capacity.figures(capacity.load(args.slopes)))
        if args.page is None:
            print(computed)
            return 0
        page = args.page.read_text(encoding="utf-8")
        updated = capacity.update(page, computed)
    except (OSError, KeyError, ValueError) as error:
        print(f"capacity: {error}", file=sys.stderr)
        return 2
    if args.check:
        if page != updated:
            print(f"{args.page.name} differs from the slopes", file=sys.stderr)
        return int(page != updated)
    args.page.write_text(updated, encoding="utf-8")
    return 0
