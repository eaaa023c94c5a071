"""``burdockcart measure``: print the measures of the project."""

import argparse
import dataclasses
import importlib
import pathlib
from typing import Any

from burdockcart.emulator import deployment

#: Modules of burdockcart.measure; each has
#: measure(deployment, seed, report_folder) -> list of Line.
_MEASURES: tuple[str, ...] = (
    "reads",
    "crest",
    "short_long",
    "statement_cost",
    "failover_gap",
    "handover_gap",
    "tables",
    "executor_cost",
    "safety_violations",
    "shutdown",
    "control",
    "overload",
    "idle_cost",
)
DEFAULT_SEED = 20261204


def add_parser(subparsers: Any) -> None:
    """Add the subcommand to the command line."""
    parser = subparsers.add_parser(
        "measure",
        help="print the measures, one line each",
        description="Run the measures on this machine and print one "
        "key=value line for each. Exit code 1 if a bound does not hold.",
    )
    parser.add_argument("--only", choices=_MEASURES, action="append")
    parser.add_argument(
        "--deployment",
        choices=sorted(deployment.BY_NAME),
        action="append",
    )
    parser.add_argument("--seed", type=int, default=DEFAULT_SEED)
    parser.add_argument("--report", type=pathlib.Path, default="report")
    parser.add_argument("--base-port", type=int, default=deployment.BASE_PORT)
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Run the chosen measures."""
    args.report.mkdir(parents=True, exist_ok=True)
    missed = 0
    for name in args.only or _MEASURES:
        module = importlib.import_module(f"burdockcart.measure.{name}")
        for chosen in args.deployment or sorted(deployment.BY_NAME):
            measured = dataclasses.replace(
                deployment.BY_NAME[chosen], base_port=args.base_port
            )
            for each in module.measure(measured, args.seed, args.report):
                print(each, flush=True)
                missed += not each.holds
    return 1 if missed else 0
