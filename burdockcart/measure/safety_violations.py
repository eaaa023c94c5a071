"""Violations of the guarantees P1 to P6 in generated runs."""

import concurrent.futures
import itertools
import pathlib
import random

import loguru

from burdockcart.emulator import deployment
from burdockcart.measure import line
from burdockcart.tests import safety_steps

#: Per deployment; both deployments take more than 100,000 steps together.
RUNS = 260
STEPS_PER_RUN = 200
PROCESSES = 4


def _run(seed: int, slots: int, one_way_s: float) -> list[str]:
    """Return the violations of one run, each with its seed."""
    loguru.logger.remove()
    found = safety_steps.run(
        random.Random(seed), STEPS_PER_RUN, slots, one_way_s
    )
    return [f"run_seed={seed} {each}" for each in found]


def measure(
    measured: deployment.Deployment, seed: int, report: pathlib.Path
) -> list[line.Line]:
    """Run the safety model with seeds derived from ``seed``.

    Explanation
    ===========

    The runs use in-memory transports with the slots and the latency of the
    deployment; each deployment has other seeds.  The violations are written
    to ``safety_violations-<deployment>.txt`` in the report folder.

    """
    source = random.Random(f"{seed} {measured.name}")
    seeds = [source.getrandbits(32) for _ in range(RUNS)]
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        runs = pool.map(
            _run,
            seeds,
            itertools.repeat(measured.slots),
            itertools.repeat(measured.one_way_ms / 1000),
            chunksize=5,
        )
        found = list(itertools.chain.from_iterable(runs))
    path = report / f"safety_violations-{measured.name}.txt"
    path.write_text("".join(f"{each}\n" for each in found))
    steps = RUNS * STEPS_PER_RUN
    return [
        line.Line(
            "safety_violations",
            measured.name,
            len(found),
            0,
            not found,
            seed,
            extra={"runs": RUNS, "steps": steps},
        )
    ]
