"""Compares policies of queues under overload (``queue_replay``)."""

import collections
import functools
import pathlib
import statistics

from burdockcart.emulator import deployment
from burdockcart.measure import line
from burdockcart.measure import queue_loads
from burdockcart.measure import queue_policies
from burdockcart.measure import queue_replay


def _served_share(
    outcomes: list[queue_replay.Outcome], key: str
) -> list[float]:
    """Return the shares served in time by kind or account, lowest first."""
    counts: dict[str, list[int]] = collections.defaultdict(lambda: [0, 0])
    for each in outcomes:
        count = counts[getattr(each.arrival, key)]
        count[0] += 1
        count[1] += each.how in ("in time", "late")
    return sorted(served / total for total, served in counts.values())


def row(replay: queue_replay.Replay) -> dict[str, float]:
    """Return the figures of a replay; shares of all arrivals."""
    outcomes = replay.outcomes
    waits = [
        each.ended_at - each.arrival.at
        for each in outcomes
        if each.how in ("after waiting", "abandoned")
    ]
    figures = {
        how.replace(" ", "_"): sum(each.how == how for each in outcomes)
        / len(outcomes)
        for how in (
            "in time",
            "late",
            "on arrival",
            "after waiting",
            "abandoned",
        )
    }
    accounts = _served_share(outcomes, "account")
    tenth = accounts[: max(len(accounts) // 10, 1)]
    return {
        **figures,
        "waited_s": statistics.fmean(waits) if waits else 0.0,
        "worst_kind": _served_share(outcomes, "kind")[0],
        "worst_tenth": statistics.fmean(tenth),
        "wasted": replay.wasted_s
        / (queue_loads.MEMBERS * queue_loads.SLOTS * queue_loads.DURATION_S),
    }


#: Least share of the former policy's served work that the current one serves,
#: late work included; the seeds differ by about that much.
KEPT_SHARE = 0.98

_Figures = dict[str, dict[str, float]]


@functools.lru_cache(maxsize=1)
def figures(seed: int) -> dict[str, _Figures]:
    """Return the figures by load and policy, and print the table."""
    found: dict[str, _Figures] = {}
    for load in queue_loads.loads(seed):
        best = queue_loads.bound(load) / len(load.arrivals)
        found[load.name] = {"bound": {"in_time": best}}
        for policy in queue_policies.POLICIES:
            replayed = queue_replay.Replay(load, policy, seed).run()
            found[load.name][policy.name] = row(replayed)
    print(table(found), flush=True)
    return found


def table(found: dict[str, _Figures]) -> str:
    """Return a table of all loads and policies."""
    first = next(iter(found.values()))
    columns = list(first[queue_policies.CURRENT.name])
    head = "".join(f"{column:>14}" for column in columns)
    lines = [f"{'load':18}{'policy':14}{head}"]
    for load, by_policy in found.items():
        for policy, values in by_policy.items():
            cells = "".join(
                f"{values[column]:14.3f}" if column in values else f"{'-':>14}"
                for column in columns
            )
            lines.append(f"{load:18}{policy:14}{cells}")
    return "\n".join(lines)


def measure(
    chosen: deployment.Deployment, seed: int, folder: pathlib.Path
) -> list[line.Line]:
    """Return the share that is served in time for each load.

    The replay does not depend on the deployment.
    """
    found = figures(seed)
    (folder / "overload.txt").write_text(table(found) + "\n", "utf-8")
    lines = []
    for load, by_policy in found.items():
        current = by_policy[queue_policies.CURRENT.name]
        former = by_policy[queue_policies.FORMER.name]
        served, bound = (
            each["in_time"] + each["late"] for each in (current, former)
        )
        lines.append(
            line.Line(
                "overload_in_time",
                chosen.name,
                current["in_time"],
                None,
                served >= KEPT_SHARE * bound,
                seed,
                former["in_time"],
                {
                    "load": load.replace(" ", "_"),
                    "served": f"{served:.3f}",
                    "former_served": f"{bound:.3f}",
                    "offline_bound": f"{by_policy['bound']['in_time']:.3f}",
                },
            )
        )
    return lines
