"""Measures of the tables: time to every daemon, reverts and store calls.

Explanation
===========

The table tasks of all daemons of a size run in one process, and the sizes in
processes of their own.  The links between daemons and the store are in
memory (:mod:`burdockcart.measure.memory_network`), because real links between
300 daemons need 90,000 sockets.
"""

import asyncio
import concurrent.futures
import dataclasses
import multiprocessing
import pathlib
import statistics
from typing import Any

import loguru
import msgspec

from burdockcart.emulator import deployment as deployments
from burdockcart import ids
from burdockcart.measure import line
from burdockcart.measure import slopes
from burdockcart.measure import table_bench
from burdockcart.version import change
from burdockcart.version import rows
from burdockcart.version import table_image
from burdockcart.version import table_store

SIZES = (10, 30, 100, 300)
PLAIN_CHANGES = 8
OUTAGE_S = 2.0
PARTITION_S = 2.0
RESTART_SHARE = 0.1
RESTART_ROUNDS = 2
IN_FORCE_BOUND_S = 4.0
#: Reads and writes of the platform's store, per second.
STORE_BOUND = 2300.0

#: Messages that a change causes; the others are sent all the time.
_CHANGE_MESSAGES = ("ChangePushed", "PullChanges", "Changes")
_ANNOUNCEMENT = "TableVersionIs"
#: 80 rows in each shard; the full size has 313.
SAMPLE_POOLS = 10_240


@dataclasses.dataclass(frozen=True)
class SizeResult:
    """Results at one number of daemons.

    Parameters
    ==========

    messages, bytes : float
        For each change and daemon, while nothing fails.
    announced_bytes_per_s : float
        Announcements of one daemon, in bytes per second.

    """

    daemons: int
    times: tuple[table_bench.Times, ...]
    reverts: int
    messages: float
    bytes: float
    announced_bytes_per_s: float


def measure(
    deployment: deployments.Deployment, seed: int, report: pathlib.Path
) -> list[line.Line]:
    """Return the lines of all sizes and write the slopes."""
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(
        len(SIZES), mp_context=context
    ) as pool:
        futures = [
            pool.submit(run_size, deployment, size, seed) for size in SIZES
        ]
        found = [future.result() for future in futures]
    write_slopes(deployment, found, report)
    return [
        each for sized in found for each in lines_of(deployment, sized, seed)
    ]


def run_size(
    deployment: deployments.Deployment, daemons: int, seed: int
) -> SizeResult:
    """Return the results of one number of daemons."""
    loguru.logger.remove()
    return asyncio.run(scenarios(deployment, daemons, seed))


async def scenarios(
    deployment: deployments.Deployment, daemons: int, seed: int
) -> SizeResult:
    """Run every scenario on the running loop."""
    bench = table_bench.TableBench(
        daemons,
        deployment.domains,
        deployment.one_way_ms / 1000,
        table_bench.tables_of(deployment),
        seed,
    )
    await bench.start()
    network = bench.network
    messages, sizes = network.messages_by_type, network.bytes_by_type
    messages.clear()
    sizes.clear()
    started = asyncio.get_running_loop().time()
    times = [await bench.timed("plain", bench.plain(PLAIN_CHANGES))]
    passed = asyncio.get_running_loop().time() - started
    sent = sum(messages[name] for name in _CHANGE_MESSAGES)
    size = sum(sizes[name] for name in _CHANGE_MESSAGES)
    announced = sizes[_ANNOUNCEMENT]
    times.append(await bench.timed("outage", bench.outage(OUTAGE_S)))
    times.append(await bench.timed("partition", bench.partition(PARTITION_S)))
    for _ in range(RESTART_ROUNDS):
        work = bench.restart(RESTART_SHARE)
        times.append(await bench.timed("restart", work))
    await bench.stop()
    return SizeResult(
        daemons,
        tuple(times),
        bench.reverts,
        sent / PLAIN_CHANGES / daemons,
        size / PLAIN_CHANGES / daemons,
        announced / passed / daemons,
    )


def lines_of(
    deployment: deployments.Deployment, sized: SizeResult, seed: int
) -> list[line.Line]:
    """Return the lines of one number of daemons."""
    found = []

    def add(measure: str, value: float, bound: float, **extra: object) -> None:
        extra = {"daemons": sized.daemons, **extra, "edge": "in-memory"}
        holds = value <= bound
        found.append(
            line.Line(
                measure,
                deployment.name,
                value,
                bound,
                holds,
                seed,
                extra=extra,
            )
        )

    for scenario in dict.fromkeys(each.scenario for each in sized.times):
        same = [each for each in sized.times if each.scenario == scenario]
        taken = [value for each in same for value in each.taken_s]
        add(
            "table_in_force_worst_s",
            max(taken),
            IN_FORCE_BOUND_S,
            scenario=scenario,
            median_s=f"{statistics.median(taken):.4g}",
            changes=len(taken),
        )
        calls = max(same, key=lambda each: each.calls_per_s)
        add(
            "store_calls_per_s",
            calls.calls_per_s,
            STORE_BOUND,
            scenario=scenario,
            **calls.calls_by_kind,
        )
    add("version_reverts", sized.reverts, 0)
    return found


def slopes_of(found: list[SizeResult]) -> dict[str, Any]:
    """Return costs by the number of daemons, and their slopes."""
    sizes = [each.daemons for each in found]
    costs: dict[str, Any] = {"daemons": sizes}
    for name in ("messages", "bytes", "announced_bytes_per_s"):
        values = [getattr(each, name) for each in found]
        slope, intercept = statistics.linear_regression(sizes, values)
        costs[name] = {
            "by_daemons": dict(zip(sizes, values, strict=True)),
            "slope_per_daemon": slope,
            "intercept": intercept,
        }
    return costs


def row_sizes(deployment: deployments.Deployment) -> dict[str, float]:
    """Return the bytes of rows and changes of a deployment's tables."""
    tables = table_bench.tables_of(deployment)
    pool = next(iter(tables.pool_by_name.values()))
    route = next(iter(tables.route_by_name.values()))
    stored, held = _bytes_per_row(pool, route)
    edited = change.Change(
        version=tables.version,
        parent=tables.version,
        id="0" * 32,
        author="operator",
        time="2026-12-04T07:00:00.000+00:00",
        edits=(change.PoolEdit(name=pool.name, old=pool, new=pool),),
    )
    return {
        "pool_row_store": len(msgspec.json.encode(pool)),
        "route_row_store": len(msgspec.json.encode(route)),
        "mean_row_store": stored,
        "mean_row_in_a_daemon": held,
        "change_of_a_pool_store": len(msgspec.json.encode(edited)),
        "change_of_a_pool_message": len(msgspec.msgpack.encode(edited)),
    }


def _bytes_per_row(pool: rows.Pool, route: rows.Route) -> tuple[float, float]:
    """Return the mean bytes of a row in the store and in a daemon.

    Half of the rows are pools; each has ids and addresses of its own, so
    that compression does not gain from equal rows.

    """
    pools = [_numbered(pool, number) for number in range(SAMPLE_POOLS)]
    edits = [change.PoolEdit(name=each.name, new=each) for each in pools]
    routes = [
        msgspec.structs.replace(
            route, name=f"r{n}", caller=f"caller-{n}", pool=each.name
        )
        for n, each in enumerate(pools)
    ]
    whole = change.Change(
        version=ids.TableVersion(1),
        parent=ids.TableVersion(0),
        id="sample",
        author="-",
        time="-",
        edits=(
            *edits,
            *(change.RouteEdit(name=each.name, new=each) for each in routes),
        ),
    )
    shards = table_store.update_all_shards({}, [whole]).values()
    stored = sum(len(msgspec.json.encode(shard)) for shard in shards)
    held = sum(len(table_image.encode_shard(shard)) for shard in shards)
    return stored / 2 / SAMPLE_POOLS, held / 2 / SAMPLE_POOLS


def _numbered(pool: rows.Pool, number: int) -> rows.Pool:
    def member(each: rows.Member) -> rows.Member:
        ip = ".".join(each.address.split(".")[:2])
        return rows.Member(
            ids.MemberId(f"{each.id}-{number}"),
            each.domain,
            f"{ip}.{number // 250}.{number % 250 + 1}:5000",
        )

    # One group, as a database of the full size has.
    group = pool.groups[0]
    return msgspec.structs.replace(
        pool,
        name=f"{pool.name}-{number}",
        groups=(
            rows.Group(
                ids.GroupId(f"{group.id}-{number}"),
                tuple(member(each) for each in group.members),
            ),
        ),
    )


def write_slopes(
    deployment: deployments.Deployment,
    found: list[SizeResult],
    report: pathlib.Path,
) -> None:
    """Write the slopes for the capacity page.

    They go to docs/slopes in a checkout, else to the report's folder; each
    deployment replaces its own part.

    """
    content = {
        "per_change_and_daemon": slopes_of(found),
        "bytes": row_sizes(deployment),
        "edge": "in-memory links with the real codec",
    }
    slopes.write("tables", {deployment.name: content}, report)
