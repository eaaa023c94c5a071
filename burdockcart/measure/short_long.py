"""Short work beside long work: its latency, and the long throughput."""

import asyncio
import pathlib
import random

from burdockcart.emulator import deployment
from burdockcart.measure import bench
from burdockcart.measure import line
from burdockcart.measure import load
from burdockcart.measure import report

SHORT_MS, LONG_MS = 25.0, 1000.0
#: Share of one slot of each replica that short work takes.
SHORT_UTILISATION = 0.15
#: Long work arrives at this multiple of what all slots could run.
LONG_OVERLOAD = 1.5
LONG_DEADLINE_S = 3.0
ALONE_S, LONG_ALONE_S, BOTH_S, NAIVE_S = 5.5, 5.5, 6.0, 3.5
#: What happens earlier in a phase is not counted: the classes are not
#: learned yet, and the first long work has not ended.
FILL_S = 1.5
LATENCY_BOUND, THROUGHPUT_BOUND = 2.0, 0.7

Phase = tuple[list[load.Outcome], float]


def _shots(
    running: bench.Bench,
    source: random.Random,
    seconds: float,
    short: bool,
    long: bool,
) -> list[load.PlannedRequest]:
    each = running.running.files.deployment
    replicas = len(each.groups) * (len(each.domains) - 1)
    short_rate = replicas * SHORT_UTILISATION * 1000 / SHORT_MS
    long_rate = replicas * each.slots * LONG_OVERLOAD * 1000 / LONG_MS
    _, reader = running.callers()
    planned = []
    for kind, rate, work_ms, deadline_s, wanted in (
        ("read", short_rate, SHORT_MS, 2.0, short),
        ("long", long_rate, LONG_MS, LONG_DEADLINE_S, long),
    ):
        times = load.poisson(source, rate, 0.0, seconds) if wanted else ()
        for at in times:
            body = {
                "request_id": f"q{source.getrandbits(60):x}",
                "kind": kind,
                "operation": "read",
                "statement": {"op": "get", "key": "k", "work_ms": work_ms},
                "database": source.choice(each.groups),
                "deadline_ms": int(deadline_s * 1000),
            }
            daemon = source.choice(running.daemons)
            planned.append(
                load.PlannedRequest(at, daemon, reader, body, deadline_s)
            )
    return planned


async def _phase(
    running: bench.Bench, seed: str, seconds: float, short: bool, long: bool
) -> Phase:
    planned = _shots(running, random.Random(seed), seconds, short, long)
    return await load.run(running.caller, planned), seconds


def _short(phase: Phase) -> list[load.Outcome]:
    return [
        each
        for each in phase[0]
        if each.request.body["kind"] == "read"
        and each.status == 200
        and each.request.at >= FILL_S
    ]


def _long_rate(phase: Phase) -> float:
    """Return the long statements per second that ended in the phase."""
    outcomes, seconds = phase
    start = outcomes[0].planned_at - outcomes[0].request.at
    ended = sum(
        each.request.body["kind"] == "long"
        and each.in_time
        and start + FILL_S <= each.ended_at <= start + seconds
        for each in outcomes
    )
    return ended / (seconds - FILL_S)


async def _own(chosen: deployment.Deployment, seed: int) -> list[Phase]:
    async with bench.start(chosen, SHORT_MS) as running:
        return [
            await _phase(running, f"{seed}/short", ALONE_S, True, False),
            await _phase(running, f"{seed}/long", LONG_ALONE_S, False, True),
            await _phase(running, f"{seed}/both", BOTH_S, True, True),
        ]


async def _naive(chosen: deployment.Deployment, seed: int) -> Phase:
    async with bench.start(chosen, SHORT_MS, naive=True) as running:
        return await _phase(running, f"{seed}/both", NAIVE_S, True, True)


def _missed(phase: Phase) -> int:
    return sum(
        each.request.body["kind"] == "read" and each.status != 200
        for each in phase[0]
    )


def measure(
    chosen: deployment.Deployment, seed: int, folder: pathlib.Path
) -> list[line.Line]:
    """Return ``short_behind_long_p99`` and ``long_throughput``."""
    alone, long_alone, both = asyncio.run(_own(chosen, seed))
    naive = asyncio.run(_naive(chosen, seed))
    histograms = [
        load.latencies(_short(phase)) for phase in (alone, both, naive)
    ]
    labels = ("alone", "beside long work", "naive, beside long work")
    report.distribution(
        folder,
        f"short-long-{chosen.name}",
        f"latency of short work, {chosen.name}",
        dict(zip(labels, histograms)),
    )
    alone_ms, both_ms, naive_ms = (
        load.percentile_ms(each, 99) for each in histograms
    )
    ratio = both_ms / alone_ms
    return [
        line.Line(
            "short_behind_long_p99",
            chosen.name,
            ratio,
            LATENCY_BOUND,
            ratio <= LATENCY_BOUND and not _missed(both),
            seed,
            naive_ms / alone_ms,
            {
                "alone_ms": f"{alone_ms:.1f}",
                "beside_ms": f"{both_ms:.1f}",
                "naive_ms": f"{naive_ms:.1f}",
                "short": len(_short(both)),
                "short_missed": _missed(both),
                "naive_missed": _missed(naive),
            },
        ),
        _throughput_line(chosen.name, seed, long_alone, both),
    ]


def _throughput_line(
    name: str, seed: int, long_alone: Phase, both: Phase
) -> line.Line:
    rate_alone, rate_both = _long_rate(long_alone), _long_rate(both)
    throughput = rate_both / max(rate_alone, 1e-9)
    return line.Line(
        "long_throughput",
        name,
        throughput,
        THROUGHPUT_BOUND,
        throughput >= THROUGHPUT_BOUND,
        seed,
        extra={
            "alone_per_s": f"{rate_alone:.1f}",
            "beside_per_s": f"{rate_both:.1f}",
        },
    )
