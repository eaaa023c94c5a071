"""Goodput and refusals at three times what the members can do."""

import asyncio
import pathlib
import random

from hdrh import histogram

from burdockcart.emulator import deployment
from burdockcart.measure import bench
from burdockcart.measure import line
from burdockcart.measure import load
from burdockcart.measure import report

#: Statement time that gives 120 and 180 statements per second, so that three
#: times the capacity stays within what a shared machine can send.
WORK_MS = 150.0
#: Sent with each request, as the routes of the callers differ in theirs.
DEADLINE_MS = 2000
NORMAL_LOAD_S = 1.0
OVERLOAD_S = 4.5
CALM, CREST = 0.4, 3.0
GOODPUT_BOUND = 0.9
REFUSAL_BOUND_MS = 50.0


def shots(
    running: bench.Bench, source: random.Random
) -> list[load.PlannedRequest]:
    """Return a calm and then a crest of reads and writes.

    One member in three is a primary, so a third of the load is writes.
    """
    groups = running.running.files.deployment.groups
    writer, reader = running.callers()
    times = [
        *load.poisson(source, CALM * running.capacity, 0.0, NORMAL_LOAD_S),
        *load.poisson(
            source,
            CREST * running.capacity,
            NORMAL_LOAD_S,
            NORMAL_LOAD_S + OVERLOAD_S,
        ),
    ]
    planned = []
    for number, at in enumerate(times):
        write = source.random() < 1 / 3
        body = {
            "request_id": f"q{number}",
            "kind": "write" if write else "read",
            "operation": "write" if write else "read",
            "statement": {
                "op": "put" if write else "get",
                "key": f"k{number % 50}",
                "value": number,
            },
            "database": source.choice(groups),
            "deadline_ms": DEADLINE_MS,
        }
        daemon = source.choice(running.daemons)
        caller = writer if write else reader
        planned.append(
            load.PlannedRequest(at, daemon, caller, body, DEADLINE_MS / 1000)
        )
    return planned


def goodput(outcomes: list[load.Outcome], capacity: float) -> float:
    """Return answers in time during the crest, relative to the capacity."""
    start = (
        min(each.planned_at - each.request.at for each in outcomes)
        + NORMAL_LOAD_S
    )
    answered = sum(
        each.in_time and start <= each.ended_at <= start + OVERLOAD_S
        for each in outcomes
    )
    return answered / (capacity * OVERLOAD_S)


async def _outcomes(
    chosen: deployment.Deployment, seed: int, naive: bool
) -> tuple[list[load.Outcome], float]:
    async with bench.start(chosen, WORK_MS, naive) as running:
        planned = shots(running, random.Random(seed))
        outcomes = await load.run(running.caller, planned)
        return outcomes, running.capacity


def _rates(outcomes: list[load.Outcome]) -> list[tuple[float, float]]:
    """Return the answers in time per second, by half seconds."""
    start = min(each.planned_at - each.request.at for each in outcomes)
    counts: dict[int, int] = {}
    for each in outcomes:
        if each.in_time:
            index = int((each.ended_at - start) * 2)
            counts[index] = counts.get(index, 0) + 1
    return [
        (index / 2, 2.0 * count) for index, count in sorted(counts.items())
    ]


def measure(
    chosen: deployment.Deployment, seed: int, folder: pathlib.Path
) -> list[line.Line]:
    """Return ``crest_goodput`` and ``refusal_ms``."""
    own, capacity = asyncio.run(_outcomes(chosen, seed, False))
    plain, _ = asyncio.run(_outcomes(chosen, seed, True))
    refusals = load.latencies(each for each in own if each.refused)
    name = f"crest-{chosen.name}"
    answered = [
        load.latencies(each for each in outcomes if each.status == 200)
        for outcomes in (own, plain)
    ]
    report.distribution(
        folder,
        name,
        f"latency at {CREST:g} times the capacity, {chosen.name}",
        {"answers": answered[0], "refusals": refusals, "naive": answered[1]},
    )
    report.series(
        folder,
        f"{name}-rate",
        f"answers in time per second, capacity {capacity:.0f}/s",
        {"burdockcart": _rates(own), "naive": _rates(plain)},
    )
    return [
        _goodput_line(chosen.name, seed, own, plain, capacity),
        _refusal_line(chosen.name, seed, own, refusals),
    ]


def _goodput_line(
    name: str,
    seed: int,
    own: list[load.Outcome],
    plain: list[load.Outcome],
    capacity: float,
) -> line.Line:
    value = goodput(own, capacity)
    wasted = sum(not each.in_time and not each.refused for each in own)
    return line.Line(
        "crest_goodput",
        name,
        value,
        GOODPUT_BOUND,
        value >= GOODPUT_BOUND,
        seed,
        goodput(plain, capacity),
        {
            "capacity": f"{capacity:.0f}",
            "sent": len(own),
            "answered": sum(each.in_time for each in own),
            "late_or_unknown": wasted,
        },
    )


def _refusal_line(
    name: str,
    seed: int,
    own: list[load.Outcome],
    refusals: histogram.HdrHistogram,
) -> line.Line:
    worst_ms = refusals.get_max_value() / 1000
    late_ms = max(each.sent_at - each.planned_at for each in own) * 1000
    return line.Line(
        "refusal_ms",
        name,
        worst_ms,
        REFUSAL_BOUND_MS,
        worst_ms <= REFUSAL_BOUND_MS and refusals.get_total_count() > 0,
        seed,
        extra={
            "statistic": "max",
            "refusals": refusals.get_total_count(),
            "p50": f"{load.percentile_ms(refusals, 50):.1f}",
            "p99": f"{load.percentile_ms(refusals, 99):.1f}",
            # Above a few milliseconds the machine itself was held up.
            "generator_late_ms": f"{late_ms:.1f}",
        },
    )
