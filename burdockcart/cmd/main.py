"""Command line of burdockcart.

Exit codes: 0 success, 1 the operation failed, 2 wrong usage or bad input,
3 another operator was first, 4 the outcome is unknown, 5 risky change.
"""

import argparse
import importlib

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2

#: Each module has add_parser(subparsers); the parser's default ``run`` is
#: called with the parsed arguments and returns the exit code.
_COMMANDS = (
    "serve",
    "check",
    "plan",
    "apply",
    "show",
    "history",
    "rollback",
    "status",
    "trace",
    "emulate",
    "demo",
    "measure",
    "capacity",
)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="burdockcart",
        description="Database proxy with session consistency.",
        epilog="Exit codes: 0 success, 1 failure, 2 bad usage or input; "
        "commands on the tables have more, see their --help.",
    )
    subparsers = parser.add_subparsers(
        title="commands", metavar="COMMAND", required=True
    )
    for name in _COMMANDS:
        module = importlib.import_module(f"burdockcart.cmd.{name}")
        module.add_parser(subparsers)
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the command line and return its exit code."""
    args = _parser().parse_args(argv)
    return args.run(args)
