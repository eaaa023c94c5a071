"""``burdockcart demo``: a deployment on this machine with real traffic."""

import argparse
import asyncio
import json
import pathlib
import subprocess
import sys
import tempfile
from typing import Any
from typing import Awaitable
from typing import Callable

from tornado import httpclient

from burdockcart.cmd import stop_signal
from burdockcart.emulator import deployment
from burdockcart.emulator import processes

BASE_PORT = 21700


def add_parser(subparsers: Any) -> None:
    """Add the subcommand to the command line."""
    parser = subparsers.add_parser(
        "demo",
        help="run a small deployment on this machine and send traffic",
        description="Start daemons and stand-ins on loopback, send traffic "
        "with a session that moves between proxies, print what happened "
        "and stop everything.",
    )
    parser.add_argument(
        "--deployment",
        choices=sorted(deployment.BY_NAME),
        default="weather",
    )
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--base-port", type=int, default=BASE_PORT)
    parser.add_argument(
        "--hold",
        action="store_true",
        help="send no traffic, keep the deployment until SIGINT or SIGTERM",
    )
    parser.add_argument(
        "--folder",
        type=pathlib.Path,
        help="where to write settings, tables and logs (default: temporary)",
    )
    parser.set_defaults(run=run)


def run(args: argparse.Namespace) -> int:
    """Run the demo in its folder."""
    with tempfile.TemporaryDirectory() as temporary:
        files = deployment.Files(
            deployment.BY_NAME[args.deployment],
            args.folder or pathlib.Path(temporary),
            args.base_port,
            args.daemons,
            lag_ms=150.0,
        )
        files.write()
        return asyncio.run(_run(files, _hold if args.hold else _traffic))


async def _run(
    files: deployment.Files,
    use: Callable[[processes.Processes], Awaitable[int]],
) -> int:
    running = processes.Processes(files, files.folder)
    try:
        await running.start()
        applied = await asyncio.to_thread(
            subprocess.run,
            [
                *processes.program(),
                "apply",
                str(files.folder),
                "--platform",
                files.platform,
            ],
            capture_output=True,
            text=True,
        )
        print(applied.stdout.strip() or applied.stderr.strip())
        await running.wait_ready()
        return await use(running)
    except TimeoutError as error:
        print(f"demo failed: {error}", file=sys.stderr)
        return 1
    finally:
        running.stop()


async def _hold(running: processes.Processes) -> int:
    stopping = stop_signal.stop_event()
    for daemon in running.files.domain_by_daemon:
        print(f"{daemon} {running.files.caller_url(daemon)}")
    print("ready", flush=True)
    await stopping.wait()
    return 0


async def _statement(
    running: processes.Processes, daemon: str, caller: str, body: dict
) -> dict[str, Any]:
    answer = await running.client.fetch(
        httpclient.HTTPRequest(
            running.files.caller_url(daemon) + "/v1/statements",
            method="POST",
            headers={"Authorization": f"Bearer {deployment.SECRET}-{caller}"},
            body=json.dumps(body),
        ),
        raise_error=False,
    )
    return json.loads(answer.body)


def _line(what: str, answer: dict[str, Any]) -> str:
    if "error" in answer:
        return f"{what:8} error={answer['error']} {answer['message']}"
    served = answer["served_by"]
    return (
        f"{what:8} proxy={served['proxy']} executor={served['executor']} "
        f"target={served['target']} role={served['role']} "
        f"term={served['term']} position={served['position']} "
        f"result={answer['result']}"
    )


async def _traffic(running: processes.Processes) -> int:
    weather = running.files.deployment.name == "weather"
    writer, reader = ("studio", "tablet") if weather else ("founder", "desk")
    kinds = ("forecast-push", "archive") if weather else ("deposit", "records")
    daemons = list(running.files.domain_by_daemon)
    session, failures = None, 0
    for number in range(6):
        write = {
            "request_id": f"w{number}",
            "kind": kinds[0],
            "operation": "write",
            "statement": {"op": "put", "key": "map", "value": number},
            "session": session,
            "repeatable": False,
        }
        proxy = daemons[number % len(daemons)]
        answer = await _statement(running, proxy, writer, write)
        print(_line("write", answer))
        session = answer.get("session", session)
        read = {
            "request_id": f"r{number}",
            "kind": kinds[1],
            "operation": "read",
            "statement": {"op": "get", "key": "map"},
            "session": session,
        }
        proxy = daemons[(number + 1) % len(daemons)]
        answer = await _statement(running, proxy, reader, read)
        print(_line("read", answer))
        failures += answer.get("result") != number
        session = answer.get("session", session)
    print(f"reads that missed the session's own write: {failures}")
    return 1 if failures else 0
