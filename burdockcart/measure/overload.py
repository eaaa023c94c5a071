"""Compares queue policies under overload (``queue_replay``)."""

import collections
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
            "in time", "late", "on arrival", "after waiting", "abandoned"
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
        / (queue_replay.MEMBERS * queue_replay.SLOTS * queue_loads.DURATION_S),
    }
