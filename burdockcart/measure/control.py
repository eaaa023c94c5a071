"""Cost of membership for each daemon, and time until a death is known.

Explanation
===========

Real fleet tasks and encrypted links over loopback, all daemons of a fleet
in this process.  The result does not depend on the deployment, so it is
measured for one.
"""

import asyncio
import gc
import json
import pathlib
import socket
import tracemalloc
from typing import Any

import loguru
import psutil

from burdockcart.connection import caller_server
from burdockcart.emulator import deployment as deployments
from burdockcart import ids
from burdockcart.measure import control_bench
from burdockcart.measure import line
from burdockcart.process import daemon_list
from burdockcart.process import executors

#: 100 daemons in one process need more than 20,000 file descriptors.
COUNTS = (10, 30)
WINDOW_S = 3.0
FAULT_WINDOW_S = 5.0
SLOPES = pathlib.Path("docs/slopes/membership.json")
CONNECTIONS = 2000
KNOWN_DAEMONS = 5000
#: Offset of the port of the caller connections from the base port.
CALLER_PORT_OFFSET = 15

_CORE_PERCENT = 3.1
_MEMORY_MB = 32.0
_BYTES_PER_S = 4000.0
_OUT_OF_USE_S = 2.0


def _rss_mb() -> float:
    gc.collect()
    return psutil.Process().memory_info().rss / 1e6


async def _fleet(count: int, seed: int) -> dict[str, Any]:
    before_mb = _rss_mb()
    bench = control_bench.Bench(count, seed)
    everybody = set(bench.names)
    bench.start(bench.names)
    found: dict[str, Any] = {"daemons": count}
    found["start_s"] = await bench.wait_converged(everybody)
    await asyncio.sleep(1)
    core, rate, size = await bench.cost(WINDOW_S)
    found["core_percent"], found["bytes_per_s"] = core * 100, rate
    found["bytes_per_message"] = size
    found["memory_mb"] = (_rss_mb() - before_mb) / count
    found["links"] = sum(p.open_links for p in bench.peers.values()) / count
    victim = bench.names[count // 2]
    bench.stop([victim])
    found["dead_s"] = await bench.wait_converged(everybody - {victim})
    bench.start([victim])
    await bench.wait_converged(everybody)
    tenth = bench.names[::10]
    bench.stop(tenth)
    # The event loop has to forget the sockets of the old daemons.
    await asyncio.sleep(0.1)
    bench.start(tenth)
    core, rate, _ = await bench.cost(FAULT_WINDOW_S)
    found["restart_core_percent"] = core * 100
    found["restart_bytes_per_s"] = rate
    found["restart_s"] = await bench.wait_converged(everybody)
    bench.partition(control_bench.DOMAINS[0])
    core, rate, _ = await bench.cost(FAULT_WINDOW_S)
    found["partition_core_percent"] = core * 100
    found["partition_bytes_per_s"] = rate
    bench.partition(None)
    found["healed_s"] = await bench.wait_converged(everybody)
    bench.stop(list(bench.fleets))
    return found


async def _connection_kb(port: int) -> float:
    server = caller_server.CallerServer(
        caller_server.Credentials({}), _no_handler, dict
    )
    server.start(port, "127.0.0.1")
    before_mb = _rss_mb()
    sockets = []
    for _ in range(CONNECTIONS):
        each = socket.create_connection(("127.0.0.1", port))
        sockets.append(each)
        if len(sockets) % 50 == 0:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.5)
    used_kb = (_rss_mb() - before_mb) * 1000 / CONNECTIONS
    for each in sockets:
        each.close()
    await server.stop()
    return used_kb


async def _no_handler(caller: Any, request: Any) -> Any:
    raise NotImplementedError


def _daemon(name: str, number: int) -> executors.Daemon:
    domain = ids.DomainName(f"d{number % 19}")
    return executors.Daemon(ids.DaemonId(name), domain, f"10.0.0.1:{number}")


def _known_daemon_kb() -> float:
    own = _daemon("own", 0)
    tracemalloc.start()
    known = daemon_list.DaemonList(own)
    for n in range(KNOWN_DAEMONS):
        daemon = _daemon(f"daemon-{n}", n)
        known.add(daemon, 0.0).state = daemon_list.State.LIVE
    known.changed(0.0)
    known.ring()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used / 1000 / KNOWN_DAEMONS


def _all(seed: int, base_port: int) -> dict[str, Any]:
    """Return all slopes; each part runs on an event loop of its own.

    A second fleet on the loop of a first one took 2.0 % of a core a daemon
    instead of 0.4 % and did not notice a dead daemon; the cause is not known.

    """
    connection_kb = asyncio.run(_connection_kb(base_port + CALLER_PORT_OFFSET))
    daemon_kb = _known_daemon_kb()
    fleets = [asyncio.run(_fleet(count, seed)) for count in COUNTS]
    return {
        "memory_kb_per_caller_connection": connection_kb,
        "memory_kb_per_known_daemon": daemon_kb,
        "fleets": fleets,
    }


def _lines(name: str, seed: int, fleets: list[dict]) -> list[line.Line]:
    found = []

    def add(measure: str, value: float, bound: float, **extra: object) -> None:
        holds = value <= bound
        found.append(
            line.Line(measure, name, value, bound, holds, seed, None, extra)
        )

    for each in fleets:
        count = each["daemons"]
        for part in ("", "restart_", "partition_"):
            extra = {"daemons": count, "fault": part.rstrip("_") or "none"}
            core = each[f"{part}core_percent"]
            rate = each[f"{part}bytes_per_s"]
            add("control_core_percent", core, _CORE_PERCENT, **extra)
            add("control_bytes_per_s", rate, _BYTES_PER_S, **extra)
        add("control_memory_mb", each["memory_mb"], _MEMORY_MB, daemons=count)
        add(
            "dead_host_out_of_use_s",
            each["dead_s"],
            _OUT_OF_USE_S,
            daemons=count,
        )
    return found


def measure(
    deployment: deployments.Deployment, seed: int, report: pathlib.Path
) -> list[line.Line]:
    """Measure fleets of several sizes and write their slopes."""
    if deployment.name != deployments.WEATHER.name:
        return []
    loguru.logger.disable("burdockcart")
    try:
        slopes = _all(seed, deployment.base_port)
    finally:
        loguru.logger.enable("burdockcart")
    if SLOPES.parent.parent.is_dir():
        SLOPES.parent.mkdir(exist_ok=True)
        SLOPES.write_text(json.dumps(slopes, indent=2) + "\n")
    return _lines(deployment.name, seed, slopes["fleets"])
