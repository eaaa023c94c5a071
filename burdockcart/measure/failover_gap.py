"""Gap in acknowledged writes when a primary crashes or is cut off.

Explanation
===========

A round takes the primaries of all groups away at random times within
0.3 s and waits for the first write of each new one.  The naive version,
a primary fixed in the table, never recovers.

"""

import asyncio
import pathlib
import statistics

from burdockcart.emulator import deployment
from burdockcart.measure import line
from burdockcart.measure import primary_bench
from burdockcart.process import failure_detector
from burdockcart.process import promotion

RUNS = 30
MEDIAN_BOUND_S = 2.5
WORST_BOUND_S = 5.0
SPREAD_S = 0.3
#: Longer than the change takes, so that the old primary misses it.
CRASH_S = 2.5


def measure(
    chosen: deployment.Deployment, seed: int, report: pathlib.Path
) -> list[line.Line]:
    """Return the median and the worst gap for each fault."""
    return [
        each
        for fault in ("crash", "partition")
        for each in asyncio.run(_measure(chosen, seed, fault))
    ]


async def _measure(
    chosen: deployment.Deployment, seed: int, fault: str
) -> list[line.Line]:
    gaps: list[float] = []
    async with primary_bench.start(chosen, seed) as bench:
        while len(gaps) < RUNS:
            gaps += await _round(bench, fault)
        parts = bench.step_durations_ms("promotion")
    extra: dict[str, object] = {
        "fault": fault,
        "runs": len(gaps),
        **_parts(parts),
    }
    values = (
        ("failover_gap_median_s", statistics.median(gaps), MEDIAN_BOUND_S),
        ("failover_gap_worst_s", max(gaps), WORST_BOUND_S),
    )
    return [
        line.Line(
            name,
            chosen.name,
            value,
            bound,
            value < bound,
            seed,
            float("inf"),
            extra,
        )
        for name, value, bound in values
    ]


async def _round(bench: primary_bench.Bench, fault: str) -> list[float]:
    primaries = await bench.primaries()
    gaps = await asyncio.gather(
        *(
            _change(bench, fault, group, domain)
            for group, domain in primaries.items()
        )
    )
    # A crashed member is back CRASH_S after its crash.
    back_s = CRASH_S - min(gaps) if fault == "crash" else 0.0
    await asyncio.sleep(max(back_s, 0) + primary_bench.SETTLE_S)
    return list(gaps)


async def _change(
    bench: primary_bench.Bench, fault: str, group: str, domain: str
) -> float:
    await asyncio.sleep(bench.random.uniform(0, SPREAD_S))
    term = bench.term(group)
    if fault == "crash":
        await bench.fault(group, domain, {"crash_s": CRASH_S})
        return await bench.gap_s(group, term)
    prefixes = [
        f"127.{10 + n}." for n in range(len(bench.files.deployment.domains))
    ]
    await bench.fault(group, domain, {"cut": prefixes})
    try:
        return await bench.gap_s(group, term)
    finally:
        await bench.fault(group, domain, {"cut": []})


def _parts(parts: dict[str, list[int]]) -> dict[str, float]:
    """Return the medians of the steps and the sum of the unavoidable ones."""
    medians = {
        f"{name}_s": round(statistics.median(parts[name]) / 1000, 3)
        for name in ("turn", "fence", "activation", "promote")
    }
    unavoidable = (
        failure_detector.SUSPECT_AFTER_S
        + medians["fence_s"]
        + promotion.ACTIVATION_DELAY_S
        + medians["promote_s"]
    )
    return {"unavoidable_s": round(unavoidable, 3), **medians}
