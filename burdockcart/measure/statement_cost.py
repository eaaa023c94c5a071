"""CPU time of a statement in the proxy, compared with bare echo servers."""

import asyncio
import itertools
import json
import pathlib
import sys

import psutil

from burdockcart.emulator import deployment
from burdockcart.measure import bench
from burdockcart.measure import echo
from burdockcart.measure import line
from burdockcart.measure import slopes

WORK_MS = 1.0
WARM_UP, STATEMENTS, CONCURRENCY = 100, 600, 4
IDLE_S = 1.5
ECHO_HOST = 90


async def _closed_loop(
    running: bench.Bench, group: str, daemon: str, count: int, name: str
) -> int:
    """Send reads with a fixed concurrency; return the answers' size."""
    _, reader = running.callers()
    numbers, size = iter(range(count)), 0

    async def worker() -> None:
        nonlocal size
        for number in numbers:
            body = {
                "request_id": f"{name}{number}",
                "kind": "read",
                "operation": "read",
                "statement": {"op": "get", "key": "k"},
                "database": group,
            }
            status, answer = await running.caller.send(
                daemon, reader, body, 2.0
            )
            if status != 200:
                raise RuntimeError(f"a read failed with status {status}")
            size = len(json.dumps(answer, separators=(",", ":")))

    await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))
    return size


def _cpu_s(pids: list[int]) -> float:
    times = [psutil.Process(pid).cpu_times() for pid in pids]
    return sum(each.user + each.system for each in times)


async def _cost_s(
    running: bench.Bench,
    group: str,
    daemon: str,
    pids: list[int],
    idle: float,
    name: str,
) -> tuple[float, int]:
    """Return the CPU time of a statement, less that of idle daemons."""
    await _closed_loop(running, group, daemon, WARM_UP, f"{name}-warm")
    loop = asyncio.get_running_loop()
    started, spent = loop.time(), _cpu_s(pids)
    size = await _closed_loop(running, group, daemon, STATEMENTS, name)
    lasted, spent = loop.time() - started, _cpu_s(pids) - spent
    return (spent - idle * lasted) / STATEMENTS, size


async def _run(chosen: deployment.Deployment) -> dict[str, float]:
    async with bench.start(chosen, WORK_MS) as running:
        files = running.running.files
        each = files.deployment
        pids = [running.pid(daemon) for daemon in running.daemons]
        spent = _cpu_s(pids)
        await asyncio.sleep(IDLE_S)
        idle = (_cpu_s(pids) - spent) / IDLE_S
        # The primary of the first group is in the first failure domain, so
        # the daemon there forwards its reads and the next one does not.
        daemon_by_domain = {
            domain: name for name, domain in files.domain_by_daemon.items()
        }
        group = each.groups[0]
        near, size = await _cost_s(
            running,
            group,
            daemon_by_domain[each.domains[1]],
            pids,
            idle,
            "near",
        )
        far, _ = await _cost_s(
            running,
            group,
            daemon_by_domain[each.domains[0]],
            pids,
            idle,
            "far",
        )
        address = files.ip(each.domains[0], ECHO_HOST)
        running.running.spawn_command(
            "echo",
            [
                sys.executable,
                "-m",
                "burdockcart.measure.echo",
                address,
                str(files.base_port + 1),
                str(size),
            ],
        )
        bare = await _echo_s(running, address, files.base_port + 1, size)
        hop = await echo.zmq_round_trip_s(
            size, f"tcp://{address}:{files.base_port + 4}"
        )
    return {"near": near, "far": far, "echo": bare, "zmq": hop, "idle": idle}


async def _echo_s(
    running: bench.Bench, address: str, port: int, size: int
) -> float:
    pid = running.running.process_by_name["echo"].pid
    caller = running.caller
    caller.addresses["echo"] = f"http://{address}:{port}"
    body = {"request_id": "x" * 60, "statement": {"op": "get", "key": "k"}}
    for _ in range(100):
        if (await caller.send("echo", "echo", body, 2.0))[0]:
            break
        await asyncio.sleep(0.05)
    spent = _cpu_s([pid])
    numbers = itertools.repeat(None, STATEMENTS)

    async def worker() -> None:
        for _ in numbers:
            await caller.send("echo", "echo", body, 2.0)

    await asyncio.gather(*(worker() for _ in range(CONCURRENCY)))
    return (_cpu_s([pid]) - spent) / STATEMENTS


def measure(
    chosen: deployment.Deployment, seed: int, folder: pathlib.Path
) -> list[line.Line]:
    """Return ``statement_cost``, which has no bound."""
    spent = asyncio.run(_run(chosen))
    slopes.write(
        "statement",
        {
            chosen.name: {
                f"{key}_s": value
                for key, value in spent.items()
                if key != "idle"
            }
        },
        folder,
    )
    hop = spent["far"] - spent["near"]
    return [
        line.Line(
            "statement_cost",
            chosen.name,
            spent["near"] / spent["echo"],
            None,
            True,
            seed,
            extra={
                "statement_us": f"{spent['near'] * 1e6:.0f}",
                "echo_us": f"{spent['echo'] * 1e6:.0f}",
                "hop_us": f"{hop * 1e6:.0f}",
                "bare_hop_us": f"{spent['zmq'] * 1e6:.0f}",
                "hop_multiple": f"{hop / spent['zmq']:.2f}",
            },
        )
    ]
