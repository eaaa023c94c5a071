"""Seeded schedule of changes of accounts, beside that of the faults."""

import random
from typing import Callable
from typing import Iterator

from burdockcart.soak import schedule

Fault = schedule.Fault
Kind = schedule.Kind

ACCOUNTS = 12
#: Factors of the usual demand of a hot account.
HOT_FACTORS = (3.0, 7.5)
#: Factors of a lowered and of a raised rate.
LOWERED_FACTORS = (0.2, 0.6)
RAISED_FACTORS = (1.5, 2.0)
#: Length of a cut from the store; the longest ones last until removed keys
#: must not be used any more.
CUT_LENGTHS_S = (2.0, 7.0, 9.0)

Scene = Callable[[random.Random, int], list[Fault]]


def _cuts(rng: random.Random, daemons: int) -> list[Fault]:
    """Cut one, half or all of the daemons off from the store."""
    count = rng.choice([1, max(daemons // 2, 1), daemons])
    length_s = rng.choice(CUT_LENGTHS_S)
    return [
        Fault(0.0, Kind.STORE_CUT, each, length_s)
        for each in rng.sample(range(daemons), count)
    ]


def _removal(rng: random.Random) -> list[Fault]:
    """Remove keys of an account; most are given again."""
    account = rng.randrange(ACCOUNTS)
    kind = rng.choice([Kind.KEY_REMOVED, Kind.KEY_REMOVED, Kind.KEYS_REMOVED])
    faults = [Fault(rng.uniform(0.2, 1.0), kind, account)]
    if rng.random() < 0.7:
        at_s = rng.choice([1.5, 8.0, 10.0])
        faults.append(Fault(at_s, Kind.KEYS_RETURNED, account))
    return faults


def _removals(rng: random.Random, _daemons: int) -> list[Fault]:
    return [fault for _ in range(rng.randint(1, 3)) for fault in _removal(rng)]


def _removals_in_a_cut(rng: random.Random, daemons: int) -> list[Fault]:
    return _cuts(rng, daemons) + _removals(rng, daemons)


def _removal_in_a_freeze(rng: random.Random, daemons: int) -> list[Fault]:
    """Suspend a daemon until removed keys must not be used any more."""
    daemon = rng.randrange(daemons)
    return [
        Fault(0.0, Kind.FREEZE, daemon, rng.uniform(5.5, 7.5)),
        *_removal(rng),
    ]


def _removal_then_restore(rng: random.Random, _daemons: int) -> list[Fault]:
    """Restore the store from a copy that holds the removed keys."""
    restored_s = rng.uniform(1.2, 6.0)
    age_s = restored_s + rng.uniform(0.2, 2.0)
    length_s = rng.choice([0.2, 1.0])
    return [
        *_removal(rng),
        Fault(restored_s, Kind.STORE_RESTORED, -1, length_s, age_s),
    ]


def _hot(rng: random.Random, _daemons: int) -> list[Fault]:
    return [
        Fault(
            0.0,
            Kind.HOT_ACCOUNT,
            rng.randrange(ACCOUNTS),
            rng.uniform(4.0, 8.0),
            factor=rng.uniform(*HOT_FACTORS),
        )
    ]


def _rates(rng: random.Random, daemons: int) -> list[Fault]:
    """Lower a rate, beside more demand, or raise it, and undo that."""
    account = rng.randrange(ACCOUNTS)
    lowered = rng.random() < 0.6
    kind = Kind.RATE_LOWERED if lowered else Kind.RATE_RAISED
    factor = rng.uniform(*(LOWERED_FACTORS if lowered else RAISED_FACTORS))
    back = Kind.RATE_RAISED if lowered else Kind.RATE_LOWERED
    return [
        Fault(0.0, kind, account, factor=factor),
        Fault(
            rng.uniform(0.0, 1.0),
            Kind.HOT_ACCOUNT,
            account,
            rng.uniform(8.0, 14.0),
            factor=rng.uniform(*HOT_FACTORS),
        ),
        Fault(rng.uniform(14.0, 18.0), back, account, factor=1 / factor),
    ]


PLANNED_SCENES: tuple[Scene, ...] = (_removals, _hot, _hot, _rates)
UNPLANNED_SCENES: tuple[Scene, ...] = (
    _removals_in_a_cut,
    _removals_in_a_cut,
    _removal_in_a_freeze,
    _removal_then_restore,
)


def generate(
    seed: int, seconds: float, daemons: int, unplanned: bool = True
) -> list[Fault]:
    """Return the changes of accounts of a soak, in the order of their times.

    Examples
    ========

    >>> from burdockcart.soak import account_schedule
    >>> faults = account_schedule.generate(1, 60, 4)
    >>> faults == account_schedule.generate(1, 60, 4)
    True

    """
    rng = random.Random(f"accounts of {seed}")
    faults = [
        fault
        for begin_s, scene in _scenes(rng, seconds, unplanned)
        for fault in schedule.begun_at(begin_s, scene(rng, daemons))
    ]
    return sorted(fault for fault in faults if fault.at_s < seconds)


def _scenes(
    rng: random.Random, seconds: float, unplanned: bool
) -> Iterator[tuple[float, Scene]]:
    at_s = rng.uniform(0.5, 2.0)
    while at_s < seconds:
        mixed = unplanned and rng.random() < 0.5
        yield at_s, rng.choice(UNPLANNED_SCENES if mixed else PLANNED_SCENES)
        at_s += rng.uniform(2.0, 7.0)
