"""Work of an idle daemon per second, by the size of the deployment.

Explanation
===========

All daemons of a deployment without clients run on one event loop in virtual
time, with emulated members, links and platform.  Each callback of the loop is
counted for the daemon in whose context it runs, so the counts do not depend on
the machine.  The result does not depend on the deployment of ``burdockcart
measure``, so it is measured for one.

"""

import asyncio
import collections
import dataclasses
import pathlib
import sys
import types
from typing import Any

import loguru

from burdockcart.emulator import deployment as deployments
from burdockcart.measure import line
from burdockcart.measure import slopes
from burdockcart.tests import idle_deployment
from burdockcart.tests import virtual_time

#: Daemons and groups of the deployments, each group with three members.
SIZES = ((4, 4), (30, 1), (30, 4), (30, 8), (100, 4), (300, 4))
#: Time before the count begins, in seconds: an earlier list of daemons counts
#: for 8 s, and the first polls of the store come sooner than later ones.
SETTLE_S = 12.0
#: Time in which the work is counted, in seconds: two polls of the store, and
#: many times the other intervals of a daemon.
WINDOW_S = 6.0
#: Most function calls that an idle daemon with 4 groups makes per second, by
#: the number of daemons: 5 % above those counted, as some pauses are random.
CALLS_BUDGET = {4: 3115.0, 30: 3305.0, 100: 3390.0, 300: 3445.0}
#: Most function calls with 300 daemons, as a multiple of those with 30.
GROWTH_BUDGET = 1.2

_PACKAGE = str(pathlib.Path(__file__).parents[1])
#: Code that stands for other processes.
_STAND_INS = tuple(
    f"{_PACKAGE}/{each}/" for each in ("emulator", "tests", "measure")
)


@dataclasses.dataclass(frozen=True)
class Work:
    """Work of one daemon per second, the mean of all daemons.

    Parameters
    ==========

    iterations : float
        Iterations of the event loop in which a callback of it ran.
    timers : float
        Timers that it set, with those of the emulated links and members.
    messages : float
        Messages that it sent to other daemons.
    store_calls : float
        Calls to the platform.
    calls : float
        Calls of functions of this package.

    """

    iterations: float
    timers: float
    messages: float
    store_calls: float
    calls: float


class CountingLoop(virtual_time.VirtualLoop):  # type: ignore[misc]
    """Counts the iterations and timers of each node."""

    def __init__(self) -> None:
        super().__init__()
        self.iterations = 0
        self.timers = 0
        self._step = 0
        self._last_step: dict[Any, int] = {}

    def _run_once(self) -> None:
        self._step += 1
        super()._run_once()

    def call_at(
        self, when: float, callback: Any, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        """Count and set a timer."""
        self.timers += 1
        return super().call_at(when, callback, *args, context=context)

    def _run_callback(self, node: Any, *args: Any) -> None:
        if self._last_step.get(node) != self._step:
            self._last_step[node] = self._step
            self.iterations += 1
        super()._run_callback(node, *args)


class CallCounter:
    """Counts the calls of functions of this package."""

    def __init__(self) -> None:
        self.by_code: collections.Counter[types.CodeType] = (
            collections.Counter()
        )

    def __enter__(self) -> "CallCounter":
        """Begin to count."""
        sys.setprofile(self._record)
        return self

    def __exit__(self, *error: object) -> None:
        """End the count."""
        sys.setprofile(None)

    def _record(self, frame: Any, event: str, argument: Any) -> None:
        if event == "call":
            self.by_code[frame.f_code] += 1

    def own(self) -> dict[str, int]:
        """Return the calls by module and function, the most frequent first."""
        return {
            f"{code.co_filename[len(_PACKAGE) + 1:]}:{code.co_qualname}": count
            for code, count in self.by_code.most_common()
            if code.co_filename.startswith(_PACKAGE)
            and not code.co_filename.startswith(_STAND_INS)
        }


async def _count(
    loop: CountingLoop, daemons: int, groups: int
) -> tuple[Work, dict[str, int]]:
    deployment = idle_deployment.IdleDeployment(daemons, groups)
    await deployment.start()
    await asyncio.sleep(SETTLE_S)

    def counts() -> tuple[int, int, int, int]:
        return (
            loop.iterations,
            loop.timers,
            deployment.peers.frames,
            deployment.store_calls,
        )

    before = counts()
    with CallCounter() as counter:
        await asyncio.sleep(WINDOW_S)
    found = [now - then for now, then in zip(counts(), before)]
    calls = counter.own()
    await deployment.stop()
    each = [
        value / daemons / WINDOW_S for value in (*found, sum(calls.values()))
    ]
    return Work(*each), calls


def count(daemons: int, groups: int) -> tuple[Work, dict[str, int]]:
    """Return the work of an idle daemon, and all calls by function."""
    with asyncio.Runner(loop_factory=CountingLoop) as runner:
        loop = runner.get_loop()
        assert isinstance(loop, CountingLoop)
        return runner.run(_count(loop, daemons, groups))


def lines(
    name: str, seed: int, work_by_size: dict[tuple[int, int], Work]
) -> list[line.Line]:
    """Return the result of each size, and the growth from 30 to 300."""
    found = []
    for (daemons, groups), work in work_by_size.items():
        extra = {"daemons": daemons, "groups": groups}
        for field, value in dataclasses.asdict(work).items():
            bound = None
            if field == "calls" and groups == 4:
                bound = CALLS_BUDGET[daemons]
            found.append(
                line.Line(
                    f"idle_{field}_per_s",
                    name,
                    value,
                    bound,
                    bound is None or value <= bound,
                    seed,
                    extra=dict(extra),
                )
            )
    growth = work_by_size[300, 4].calls / work_by_size[30, 4].calls
    found.append(
        line.Line(
            "idle_calls_growth",
            name,
            growth,
            GROWTH_BUDGET,
            growth <= GROWTH_BUDGET,
            seed,
            extra={"daemons": "30-300"},
        )
    )
    return found


def measure(
    deployment: deployments.Deployment, seed: int, report: pathlib.Path
) -> list[line.Line]:
    """Count the work of idle daemons and write the slopes."""
    if deployment.name != deployments.WEATHER.name:
        return []
    loguru.logger.disable("burdockcart")
    try:
        work_by_size = {}
        for daemons, groups in SIZES:
            work, _ = count(daemons, groups)
            work_by_size[daemons, groups] = work
            size = f"{daemons} daemons, {groups} groups"
            content = {size: dataclasses.asdict(work)}
            slopes.write("idle", content, report)
    finally:
        loguru.logger.enable("burdockcart")
    return lines(deployment.name, seed, work_by_size)
