"""Command for an operator: shows a group, or promotes a member of it.

It runs on the host of a daemon, with the daemon's settings file:
``python -m burdockcart.platform.group status GROUP``.
"""

import argparse
import asyncio
import getpass
import os
import pathlib
import sys
import time
from typing import Awaitable
from typing import Callable
import uuid

from returns import result

from burdockcart import clock
from burdockcart import ids
from burdockcart.platform import calls
from burdockcart.platform import member_wire
from burdockcart.platform import settings_file
from burdockcart.process import event_log
from burdockcart.process.gateway.promotion import group_look
from burdockcart.process.gateway.promotion import operator_promotion
from burdockcart.process.gateway import settings
from burdockcart.process.gateway.store import store_follower

SETTINGS_VARIABLE = "BURDOCKCART_SETTINGS"
COMMAND = "python -m burdockcart.platform.group"
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4
EXIT_NOT_ACCEPTED = 5
EXIT_CODES = (
    "Exit codes: 0 the member leads, 1 refused or failed (nothing was "
    "promoted), 2 bad usage or settings, 3 another claim was first, 4 the "
    "outcome is unknown, 5 the loss was not accepted."
)
_Outcome = operator_promotion.Outcome
_EXIT_BY_OUTCOME = {
    _Outcome.DONE: EXIT_OK,
    _Outcome.LEADS_ALREADY: EXIT_OK,
    _Outcome.REFUSED: EXIT_FAILED,
    _Outcome.FAILED: EXIT_FAILED,
    _Outcome.CONFLICT: EXIT_CONFLICT,
    _Outcome.UNKNOWN: EXIT_UNKNOWN,
    _Outcome.NOT_ACCEPTED: EXIT_NOT_ACCEPTED,
}

Action = Callable[
    [argparse.Namespace, settings.GatewaySettings, calls.PlatformClient],
    Awaitable[int],
]


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog=COMMAND,
        description="Show a group without a primary, or promote a member.",
    )
    actions = parser.add_subparsers(
        title="actions", metavar="ACTION", required=True
    )
    status = actions.add_parser(
        "status",
        help="print start, term and position of each member",
        description="Ask all members, and print what may be missing if one "
        "is promoted. Exit code 0 if a member leads, else 1.",
    )
    _add_group(status)
    status.set_defaults(action=_show)
    promote = actions.add_parser(
        "promote",
        help="promote a member that may lack acknowledged commits",
        description="Refused where a member leads, where the daemons promote "
        "by themselves, and where a call may still be carried out.",
        epilog=EXIT_CODES,
    )
    _add_group(promote)
    promote.add_argument("member", metavar="MEMBER")
    promote.add_argument(
        "--accept-loss",
        action="append",
        default=[],
        metavar="NAME",
        help="what may be missing, as status names it; once for each",
    )
    promote.add_argument(
        "--operator",
        type=_name,
        help="who promotes, for the records (default: the login name)",
    )
    promote.set_defaults(action=_promote)
    return parser


def _add_group(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("group", metavar="GROUP")
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        default=pathlib.Path(os.environ.get(SETTINGS_VARIABLE, "")),
        metavar="FILE",
        help=f"settings file of the daemon (default: ${SETTINGS_VARIABLE})",
    )


def _name(text: str) -> str:
    """Return a name that a header of a call can hold.

    Raises
    ======

    ValueError
        If it has other characters than letters, digits, dots and dashes.

    """
    bare = text.replace(".", "").replace("-", "").replace("_", "")
    if not (bare.isascii() and bare.isalnum()):
        raise ValueError(f"{text!r} is not a name")
    return text


def main(argv: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    args = _parser().parse_args(argv)
    read = settings_file.read(args.settings)
    if isinstance(read, result.Failure):
        for fault in read.failure():
            print(fault, file=sys.stderr)
        return EXIT_USAGE
    event_log.configure("INFO")
    return asyncio.run(_run(args, read.unwrap()))


async def _run(
    args: argparse.Namespace, config: settings.GatewaySettings
) -> int:
    platform = calls.PlatformClient(
        config.store_address, config.promotion_address
    )
    action: Action = args.action
    try:
        return await action(args, config, platform)
    finally:
        platform.close()


async def _show(
    args: argparse.Namespace,
    config: settings.GatewaySettings,
    platform: calls.PlatformClient,
) -> int:
    """Print what the members of a group hold."""
    found = await group_look.look(
        ids.GroupId(args.group),
        platform,
        member_wire.WireConnector(),
        _wall_ms(),
    )
    if isinstance(found, result.Failure):
        text = f"the group or the store: {found.failure().value}"
        print(text, file=sys.stderr)
        return EXIT_FAILED
    seen = found.unwrap()
    seen.close()
    print("\n".join(seen.lines(config.promotion_claim_s, COMMAND)))
    return EXIT_FAILED if seen.primary is None else EXIT_OK


async def _promote(
    args: argparse.Namespace,
    config: settings.GatewaySettings,
    platform: calls.PlatformClient,
) -> int:
    """Show the group, promote a member, and show how that ended."""
    await _show(args, config, platform)
    operator = args.operator or getpass.getuser()
    holder = f"{group_look.HOLDER_PREFIX}{operator}/{uuid.uuid4().hex[:8]}"
    promotion = operator_promotion.OperatorPromotion(
        ids.DaemonId(holder),
        platform,
        member_wire.WireConnector(),
        clock.LoopClock(),
        clock.BootClock(),
        _wall_ms,
        config.promotion_claim_s,
        store_follower.notice_s(config.manifest_s),
        config.promotions_fenced,
    )
    ending = await promotion.run(
        ids.GroupId(args.group), ids.MemberId(args.member), args.accept_loss
    )
    print(f"{ending.outcome.value}: {ending.reason}")
    return _EXIT_BY_OUTCOME[ending.outcome]


def _wall_ms() -> int:
    return time.time_ns() // 1_000_000


if __name__ == "__main__":
    sys.exit(main())
