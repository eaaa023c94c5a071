"""``burdockcart status``: what every daemon sees."""

import argparse
import asyncio
import http
import json
import pathlib
import sys
from typing import Any

from returns import result
from tornado import httpclient

from burdockcart.cmd import table_operations
from burdockcart.process import fleet
from burdockcart.process import store_client

TIMEOUT_S = 2.0
LIVE_INTERVAL_S = 1.0
#: Moves the cursor home and clears the terminal.
_CLEAR = "\x1b[H\x1b[2J"


def add_parser(subparsers: Any) -> None:
    """Add the subcommand to the command line."""
    parser = subparsers.add_parser(
        "status",
        help="print versions, primaries, terms, lags and queues",
        description="Ask every daemon of the platform's list of hosts. "
        "Exit code 1 if one does not answer or versions differ.",
    )
    table_operations.add_platform(parser)
    parser.add_argument(
        "--caller-port",
        type=int,
        metavar="PORT",
        help="caller port of the daemons (default: the port below that of "
        "the peer address in the list)",
    )
    parser.add_argument(
        "--token-file",
        type=pathlib.Path,
        metavar="FILE",
        help="file with an operator's token, for daemons whose settings "
        "have [operators]",
    )
    parser.add_argument(
        "--live", action="store_true", help="repeat until interrupted"
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Print the status once, or repeatedly."""
    try:
        headers = headers_of(args.token_file)
    except (OSError, ValueError) as error:
        print(f"{args.token_file}: {error}", file=sys.stderr)
        return table_operations.EXIT_USAGE
    try:
        return asyncio.run(_run(args, headers))
    except KeyboardInterrupt:
        return table_operations.EXIT_OK


def headers_of(token_file: pathlib.Path | None) -> dict[str, str]:
    """Return the headers that carry the token of a file.

    Raises
    ======

    OSError, ValueError
        The file can't be read, or does not hold one token.

    """
    if token_file is None:
        return {}
    words = token_file.read_text(encoding="utf-8").split()
    if len(words) != 1:
        raise ValueError(f"holds {len(words)} words instead of one token")
    return {"Authorization": f"Bearer {words[0]}"}


async def _run(args: argparse.Namespace, headers: dict[str, str]) -> int:
    store = store_client.HttpStore(args.platform)
    client = httpclient.AsyncHTTPClient(force_instance=True, max_clients=50)
    while True:
        hosts = await store.hosts()
        if isinstance(hosts, result.Failure):
            text = f"the list of hosts can't be read: {hosts.failure().value}"
            print(text, file=sys.stderr)
            return table_operations.EXIT_FAILED
        daemons = [
            host for host in hosts.unwrap() if host.role == fleet.DAEMON_ROLE
        ]
        answers = await asyncio.gather(
            *(ask(client, host, args.caller_port, headers) for host in daemons)
        )
        status_by_daemon = {
            host.id: answer
            for host, answer in zip(daemons, answers, strict=True)
        }
        lines = lines_of(status_by_daemon)
        print((_CLEAR if args.live else "") + "\n".join(lines), flush=True)
        if not args.live:
            return exit_code(status_by_daemon)
        await asyncio.sleep(LIVE_INTERVAL_S)


async def ask(
    client: httpclient.AsyncHTTPClient,
    host: store_client.Host,
    caller_port: int | None,
    headers: dict[str, str],
) -> dict[str, Any] | None:
    """Return the status of a daemon, or None if it does not give it."""
    ip, _, peer_port = host.address.rpartition(":")
    port = caller_port or int(peer_port) - 1
    try:
        answer = await client.fetch(
            f"http://{ip}:{port}/v1/status",
            headers=headers,
            request_timeout=TIMEOUT_S,
        )
        return json.loads(answer.body)
    except (OSError, httpclient.HTTPError, ValueError) as error:
        if getattr(error, "code", None) == http.HTTPStatus.UNAUTHORIZED:
            text = "needs an operator's token (--token-file)"
            print(f"{host.id}: {text}", file=sys.stderr)
        return None


def exit_code(status_by_daemon: dict[str, dict[str, Any] | None]) -> int:
    """Return 0 if every daemon answers and all have one version."""
    found = status_by_daemon.values()
    versions = {each["table_version"] for each in found if each}
    if all(found) and len(versions) <= 1:
        return table_operations.EXIT_OK
    return table_operations.EXIT_FAILED


def lines_of(
    status_by_daemon: dict[str, dict[str, Any] | None],
) -> list[str]:
    """Return one line for each daemon and each group.

    Queues are given as waiting+running statements of a member.

    Examples
    ========

    >>> from burdockcart.cmd import status
    >>> group = {"term": 2, "primary": "a", "positions": {"a": 9, "b": 7}}
    >>> for line in status.lines_of({"d1": {"failure_domain": "x",
    ...     "ready": True, "table_version": 3, "executor_of": ["a"],
    ...     "groups": {"g": group}}, "d2": None}):
    ...     print(line)
    daemon=d1 failure_domain=x ready=yes table_version=3 executors=1
    daemon=d2 no answer
    group=g primary=a term=2 lag=a:0,b:2 seen_by=d1

    """
    lines = []
    group_by_id: dict[str, tuple[str, dict[str, Any]]] = {}
    for daemon, status in sorted(status_by_daemon.items()):
        if status is None:
            lines.append(f"daemon={daemon} no answer")
            continue
        lines.append(
            f"daemon={daemon} failure_domain={status['failure_domain']} "
            f"ready={'yes' if status['ready'] else 'no'} "
            f"table_version={status['table_version']} "
            f"executors={len(status['executor_of'])}" + _queues(status)
        )
        for group, seen in status["groups"].items():
            known = group_by_id.get(group)
            if known is None or seen["term"] > known[1]["term"]:
                group_by_id[group] = (daemon, seen)
    return lines + [
        _group_line(group, daemon, seen)
        for group, (daemon, seen) in sorted(group_by_id.items())
    ]


def _queues(status: dict[str, Any]) -> str:
    """Return the field ``queues``, for example ``queues=a:3+2``."""
    queues = status.get("queues") or {}
    text = ",".join(
        f"{name}:{size['waiting']}+{size['running']}"
        for name, size in sorted(queues.items())
    )
    return f" queues={text}" if text else ""


def _group_line(group: str, daemon: str, seen: dict[str, Any]) -> str:
    newest = max(seen["positions"].values(), default=0)
    lags = ",".join(
        f"{member}:{newest - position}"
        for member, position in sorted(seen["positions"].items())
    )
    return (
        f"group={group} primary={seen['primary'] or '-'} "
        f"term={seen['term']} lag={lags or '-'} seen_by={daemon}"
    )
