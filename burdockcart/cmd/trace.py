"""``burdockcart trace``: the log lines of one request, in order."""

import argparse
import pathlib
import re
import sys
from typing import Any
from typing import Iterable
from typing import NamedTuple

#: Events that carry no request id but may explain why a request failed: the
#: process's view of the deployment at the time.
CONTEXT = frozenset(
    {
        "dependency_lost",
        "dependency_regained",
        "isolated",
        "manifest_in_force",
        "primary_known",
        "primary_unknown",
        "process_stalled",
        "promotion_begun",
        "promotion_ended",
    }
)
_FIELD = re.compile(r"(?:^|\s)(\w+)=('(?:[^'\\]|\\.)*'|\S+)")


class Line(NamedTuple):
    """One line of a log."""

    time: str
    file: str
    number: int
    text: str


def fields(text: str) -> dict[str, str]:
    """Return the key=value pairs of a line.

    Examples
    ========

    >>> from burdockcart.cmd import trace
    >>> trace.fields("time=1 event=placed kind='read' id=5c0e")
    {'time': '1', 'event': 'placed', 'kind': 'read', 'id': '5c0e'}

    """
    return {
        key: value.strip("'") if value.startswith("'") else value
        for key, value in _FIELD.findall(text)
    }


def select(
    lines: Iterable[Line], request: str, context_lines: int
) -> list[Line]:
    """Return the lines of a request and the context events before them.

    ``context_lines`` is the largest number of context events that each file
    contributes before a line of the request.
    """
    ordered = sorted(lines, key=lambda line: line.time)
    chosen: list[Line] = []
    recent: dict[str, list[Line]] = {}
    for line in ordered:
        found = fields(line.text)
        if found.get("id") == request:
            chosen += recent.pop(line.file, [])[-context_lines:]
            chosen.append(line)
        elif found.get("event") in CONTEXT and context_lines:
            recent.setdefault(line.file, []).append(line)
    return chosen


def _read(paths: list[pathlib.Path]) -> list[Line]:
    lines = []
    for path in paths:
        text = path.read_text(encoding="utf-8", errors="replace")
        for number, line in enumerate(text.splitlines(), 1):
            if "event=" in line:
                time = fields(line).get("time", "")
                lines.append(Line(time, path.name, number, line))
    return lines


def add_parser(subparsers: Any) -> None:
    """Add the subcommand to the command line."""
    parser = subparsers.add_parser(
        "trace",
        help="show the log lines of one request",
        description="Collect the lines of a request from the logs of all "
        "daemons, ordered by time, each after its daemon's last known "
        "state of manifest, primaries and dependencies.",
    )
    parser.add_argument("request", help="id of the request")
    parser.add_argument(
        "files", nargs="+", type=pathlib.Path, help="logs of the daemons"
    )
    parser.add_argument(
        "--context",
        type=int,
        default=6,
        help="lines of context to show for each daemon (default: 6)",
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Print the lines; return 1 if no line names the request."""
    missing = [path for path in args.files if not path.is_file()]
    if missing:
        print(f"no file {str(missing[0])!r}", file=sys.stderr)
        return 2
    chosen = select(_read(args.files), args.request, args.context)
    if not chosen:
        print(f"no line names the request {args.request}", file=sys.stderr)
        return 1
    for line in chosen:
        print(f"{line.file}:{line.number}: {line.text.strip()}")
    return 0
