"""Named cases of accounts: one fault each, with times from a seed.

Explanation
===========

A case has no other faults than those that its name says, so that a rejected
operation within the rate is due to them.  They begin once the deployment has
granted the first shares: in a run without faults, 160 of 194 rejections fell
into the first 3 s.

"""

import dataclasses
import enum
import random
from typing import Callable
from typing import Mapping

from burdockcart.soak import account_schedule
from burdockcart.soak import schedule

Fault = schedule.Fault
Kind = schedule.Kind

#: Time until the first shares have been granted, in seconds.  Operations from
#: then on are reported.
SETTLED_S = 5.0
#: The fault of a case begins at a random time of this span after that, in
#: seconds.
BEGIN_S = (0.5, 2.5)
#: Longer than the time after which a removed key must not be used, in
#: seconds.
LONG_CUT_S = 8.0
#: Length of a suspension, in seconds: removed keys end during it.
SUSPENDED_S = (5.5, 7.0)
#: Factor of the usual demand of the hot account.
HOT_FACTOR = 7.0
LOWERED_FACTOR = 0.3
#: Time for which the demand stays at one daemon, in seconds.
STAY_S = 4.0
#: Number of the shards of accounts, by docs/client-accounts.md.
SHARDS = 4


class CaseName(enum.Enum):
    """Name of a case on the command line."""

    UNDISTURBED = "undisturbed"
    REVOKED_ONE_CUT = "revoked-one-cut"
    REVOKED_HALF_CUT = "revoked-half-cut"
    REVOKED_ALL_CUT = "revoked-all-cut"
    REVOKED_SUSPENDED = "revoked-suspended"
    REVOKED_RESTORED = "revoked-restored"
    HOT_ALL_KILLED = "hot-all-killed"
    LOWERED_HALF_CUT = "lowered-half-cut"
    OWNER_KILLED = "owner-killed"
    DEMAND_MOVES = "demand-moves"


@dataclasses.dataclass(frozen=True)
class Case:
    """A named case.

    Parameters
    ==========

    scene : callable
        Returns faults with times relative to the start of the fault, from a
        generator and the number of daemons.
    seconds : float
        Time for the scene.

    """

    scene: account_schedule.Scene
    seconds: float


def _some(rng: random.Random, daemons: int, count: int) -> list[int]:
    """Return some daemons."""
    return rng.sample(range(daemons), count)


def _removals(rng: random.Random) -> list[Fault]:
    """Remove one key of an account and all keys of another one.

    They are given again only when no statement of theirs may run any more.
    """
    one, other = rng.sample(range(account_schedule.ACCOUNTS), 2)
    return [
        Fault(rng.uniform(0.2, 1.0), Kind.KEY_REMOVED, one),
        Fault(rng.uniform(0.2, 1.0), Kind.KEYS_REMOVED, other),
        Fault(LONG_CUT_S + 1.5, Kind.KEYS_RETURNED, one),
        Fault(LONG_CUT_S + 1.5, Kind.KEYS_RETURNED, other),
    ]


def _revoked_in_a_cut(
    count_of: Callable[[int], int],
) -> account_schedule.Scene:
    """Return the removal of keys while daemons do not reach the store."""

    def scene(rng: random.Random, daemons: int) -> list[Fault]:
        return [
            Fault(0.0, Kind.STORE_CUT, daemon, LONG_CUT_S)
            for daemon in _some(rng, daemons, count_of(daemons))
        ] + _removals(rng)

    return scene


def _half(daemons: int) -> int:
    return max(daemons // 2, 1)


def _revoked_suspended(rng: random.Random, daemons: int) -> list[Fault]:
    """Suspend half of the daemons while keys are removed."""
    return [
        Fault(0.0, Kind.FREEZE, daemon, rng.uniform(*SUSPENDED_S))
        for daemon in _some(rng, daemons, _half(daemons))
    ] + _removals(rng)


def _revoked_restored(rng: random.Random, _daemons: int) -> list[Fault]:
    """Restore the store from a copy that holds the removed keys."""
    restored_s = rng.uniform(1.5, 4.0)
    age_s = restored_s + rng.uniform(0.2, 1.0)
    length_s = rng.choice([0.2, 1.0])
    return _removals(rng) + [
        Fault(restored_s, Kind.STORE_RESTORED, -1, length_s, age_s)
    ]


def _hot(rng: random.Random, length_s: float) -> Fault:
    account = rng.randrange(account_schedule.ACCOUNTS)
    return Fault(0.0, Kind.HOT_ACCOUNT, account, length_s, factor=HOT_FACTOR)


def _hot_all_killed(rng: random.Random, daemons: int) -> list[Fault]:
    """Kill all daemons at once beside an account with much more demand."""
    killed_s = rng.uniform(2.0, 3.0)
    return [_hot(rng, 12.0)] + [
        Fault(killed_s, Kind.KILL, daemon) for daemon in range(daemons)
    ]


def _lowered_half_cut(rng: random.Random, daemons: int) -> list[Fault]:
    """Lower a limit while half of the daemons do not reach the store.

    The account has more demand than either limit, so that windows are full.
    """
    # Up to windows that begin after all daemons must know the lowered limit.
    hot = _hot(rng, 27.0)
    lowered_s = rng.uniform(0.2, 1.0)
    return [
        hot,
        *(
            Fault(0.0, Kind.STORE_CUT, daemon, LONG_CUT_S)
            for daemon in _some(rng, daemons, _half(daemons))
        ),
        Fault(lowered_s, Kind.RATE_LOWERED, hot.target, factor=LOWERED_FACTOR),
    ]


def _owner_killed(rng: random.Random, _daemons: int) -> list[Fault]:
    return [Fault(0.0, Kind.KILL_OWNER, rng.randrange(SHARDS))]


def _demand_moves(rng: random.Random, daemons: int) -> list[Fault]:
    """Concentrate all demand on one daemon, then on others in turn."""
    order = _some(rng, daemons, min(daemons, 3))
    return [
        Fault(place * STAY_S, Kind.DEMAND_AT, daemon, STAY_S)
        for place, daemon in enumerate(order)
    ]


CASE_BY_NAME: Mapping[CaseName, Case] = {
    CaseName.UNDISTURBED: Case(lambda _rng, _daemons: [], 10.0),
    CaseName.REVOKED_ONE_CUT: Case(_revoked_in_a_cut(lambda _: 1), 11.0),
    CaseName.REVOKED_HALF_CUT: Case(_revoked_in_a_cut(_half), 11.0),
    CaseName.REVOKED_ALL_CUT: Case(_revoked_in_a_cut(lambda n: n), 11.0),
    CaseName.REVOKED_SUSPENDED: Case(_revoked_suspended, 11.0),
    CaseName.REVOKED_RESTORED: Case(_revoked_restored, 11.0),
    CaseName.HOT_ALL_KILLED: Case(_hot_all_killed, 12.0),
    CaseName.LOWERED_HALF_CUT: Case(_lowered_half_cut, 16.0),
    CaseName.OWNER_KILLED: Case(_owner_killed, 8.0),
    CaseName.DEMAND_MOVES: Case(_demand_moves, 3 * STAY_S),
}


def seconds(name: CaseName) -> float:
    """Return how long the schedule of a case is, in seconds."""
    return SETTLED_S + BEGIN_S[1] + CASE_BY_NAME[name].seconds


def generate(name: CaseName, seed: int, daemons: int) -> list[Fault]:
    """Return the faults of a case in the order of their times.

    Examples
    ========

    >>> from burdockcart.soak import account_cases
    >>> name = account_cases.CaseName.OWNER_KILLED
    >>> [each.kind.value for each in account_cases.generate(name, 1, 4)]
    ['kill owner']

    """
    rng = random.Random(f"{name.value} of {seed}")
    begin_s = SETTLED_S + rng.uniform(*BEGIN_S)
    scene = CASE_BY_NAME[name].scene
    return sorted(schedule.begun_at(begin_s, scene(rng, daemons)))
