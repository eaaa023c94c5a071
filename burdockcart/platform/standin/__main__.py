"""Entry point of ``python -m burdockcart.platform.standin``."""

import argparse
import asyncio
import pathlib
import re
import sys
import tempfile
from typing import Sequence

from burdockcart.platform.standin import report
from burdockcart.platform.standin import soak
from burdockcart.soak import account_cases
from burdockcart.soak import checks

#: Exit code after SIGTERM or SIGINT.
EXIT_STOPPED = 130
#: Log lines printed for a violation.
MAX_LINES = 8


def main() -> int:
    """Run a soak for each seed; return 1 if any found a violation."""
    parser = argparse.ArgumentParser(
        prog="python -m burdockcart.platform.standin",
        description="Run gateway daemons against stand-ins on loopback, "
        "inject the faults of a seeded schedule and check what clients and "
        "members saw.",
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="first and last seed, as in 1-20")
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument(
        "--connections",
        type=int,
        default=24,
        help="most connections that a member accepts; daemons relay "
        "statements if there are more of them",
    )
    parser.add_argument(
        "--planned", action="store_true", help="inject planned work only"
    )
    parser.add_argument(
        "--restores",
        action="store_true",
        help="also restore the store from older copies",
    )
    parser.add_argument(
        "--odd-entries",
        action="store_true",
        help="also write odd entries among those of the members",
    )
    parser.add_argument(
        "--cuts",
        action="store_true",
        help="also cut daemons off from the primary while promotions are "
        "late and replicas join, start again or leave",
    )
    parser.add_argument(
        "--large-manifests",
        action="store_true",
        help="also change a manifest of 1,000 routes again and again, on "
        "links of 5 Mbit/s between the daemons and the store",
    )
    parser.add_argument(
        "--accounts",
        action="store_true",
        help="give clients accounts with keys and rates, which change",
    )
    parser.add_argument(
        "--case",
        choices=[each.value for each in account_cases.CaseName],
        action="append",
        default=[],
        help="run a case of accounts without other faults, and report the "
        "share of operations within the rate that was rejected; may be "
        "repeated; replaces --seconds and the options that choose faults",
    )
    parser.add_argument(
        "--plain-shapes",
        action="store_true",
        help="prepare shapes without spaces only",
    )
    parser.add_argument(
        "--logs", type=pathlib.Path, help="where to keep logs and journal"
    )
    args = parser.parse_args()
    first, _, last = (args.seeds or str(args.seed)).partition("-")
    seeds = range(int(first), int(last or first) + 1)
    folder = args.logs or pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
    cases: Sequence[account_cases.CaseName | None] = [
        account_cases.CaseName(each) for each in args.case
    ] or [None]
    try:
        failed = [
            seed
            for case in cases
            for seed in seeds
            if not _run(seed, case, args, folder)
        ]
    except (asyncio.CancelledError, KeyboardInterrupt):
        return EXIT_STOPPED
    return 1 if failed else 0


def _run(
    seed: int,
    case: account_cases.CaseName | None,
    args: argparse.Namespace,
    folder: pathlib.Path,
) -> bool:
    """Run one seed and print its result; return whether it was clean."""
    prefix = "" if case is None else f"{case.value}-"
    logs = folder / f"{prefix}seed-{seed}"
    logs.mkdir(parents=True, exist_ok=True)
    run = soak.Soak(
        seed,
        args.seconds,
        args.daemons,
        logs,
        not args.planned,
        args.connections,
        args.restores,
        args.odd_entries,
        args.plain_shapes,
        args.cuts,
        args.large_manifests,
        args.accounts,
        case,
    )
    found = asyncio.run(run.run())
    text = "".join(
        f"{each}\n" + "".join(f"  {line}\n" for line in _log_lines(run, each))
        for each in found
    )
    (logs / "violations.txt").write_text(text, encoding="utf-8")
    line = f"{report.summary(run, found)} logs={logs}\n" + "".join(
        f"  {each}\n" for each in report.rejections(run)
    )
    (logs / "summary.txt").write_text(line, encoding="utf-8")
    print(line, end="", flush=True)
    print(text, end="", flush=True)
    return not found


def _log_lines(run: soak.Soak, violation: checks.Violation) -> list[str]:
    """Return the daemons' log lines on the statements of a violation."""
    patterns = [re.compile(rf"\bid={each}\b") for each in violation.ids]
    return [
        f"{daemon.name} {line}"
        for daemon in run.daemons
        for line in daemon.log_path.read_text(errors="replace").splitlines()
        if any(pattern.search(line) for pattern in patterns)
    ][:MAX_LINES]


if __name__ == "__main__":
    sys.exit(main())
