"""Gap in acknowledged writes when a primary's host is marked as leaving."""

import asyncio
import json
import pathlib

from burdockcart.emulator import deployment
from burdockcart.measure import line
from burdockcart.measure import primary_bench

ROUNDS = 2
BOUND_MS = 300.0
#: The list of hosts lags by 1 s and is read about twice a second.
LIST_S = 2.0


def measure(
    chosen: deployment.Deployment, seed: int, report: pathlib.Path
) -> list[line.Line]:
    """Return the longest gap of all handovers."""
    return asyncio.run(_measure(chosen, seed))


async def _measure(
    chosen: deployment.Deployment, seed: int
) -> list[line.Line]:
    gaps: list[float] = []
    async with primary_bench.start(chosen, seed) as bench:
        for _ in range(ROUNDS):
            primaries = await bench.primaries()
            await _mark(bench, primaries, "leaving")
            gaps += await asyncio.gather(
                *(bench.gap_s(group, bench.term(group)) for group in primaries)
            )
            await _mark(bench, primaries, "live")
            await asyncio.sleep(LIST_S)
        failed = len(bench.failed)
        held = max(bench.step_durations_ms("handover").get("held", [0]))
    worst_ms = max(gaps) * 1000
    extra: dict[str, object] = {
        "runs": len(gaps),
        "failed_writes": failed,
        "held_worst_ms": held,
    }
    return [
        line.Line(
            "handover_gap_ms",
            chosen.name,
            worst_ms,
            BOUND_MS,
            worst_ms < BOUND_MS and not failed,
            seed,
            None,
            extra,
        )
    ]


async def _mark(
    bench: primary_bench.Bench, primaries: dict[str, str], state: str
) -> None:
    for group, domain in primaries.items():
        body = {
            "role": "target",
            "domain": domain,
            "address": bench.files.target_address(group, domain),
            "state": state,
        }
        await bench.running.client.fetch(
            f"http://{bench.files.platform}/hosts/{group}-{domain}",
            method="PUT",
            body=json.dumps(body),
        )
