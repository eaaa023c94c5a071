"""Seeded schedule of the faults of a soak."""

import dataclasses
import enum
import random
from typing import Callable
from typing import Iterator


class Kind(enum.Enum):
    """Kind of a fault."""

    STOP = "stop"
    RELOAD = "reload"
    FREEZE = "freeze"
    KILL = "kill"
    MANIFEST = "manifest"
    REPLACE_REPLICA = "replace replica"
    REPLACE_PRIMARY = "replace primary"
    CRASH_PRIMARY = "crash primary"
    STORE_DOWN = "store down"
    STORE_SILENT = "store silent"
    STORE_RESTORED = "store restored"
    LINK_DELAYED = "link delayed"
    LINK_SILENT = "link silent"
    LINK_ANSWERS_LOST = "link answers lost"
    LINK_RESET = "link reset"
    LINK_REPLICATION = "link of replication"
    ODD_ENTRY = "odd entry"
    CUT_PRIMARY = "cut primary"
    JOIN_REPLICA = "join replica"
    RESTART_REPLICA = "restart replica"
    CALLS_LATE = "calls late"
    CALLS_REFUSED = "calls refused"
    KEY_REMOVED = "key removed"
    KEYS_REMOVED = "keys removed"
    KEYS_RETURNED = "keys returned"
    RATE_LOWERED = "rate lowered"
    RATE_RAISED = "rate raised"
    HOT_ACCOUNT = "hot account"
    STORE_CUT = "store cut"
    KILL_OWNER = "kill owner"
    DEMAND_AT = "demand at"
    MANIFEST_STORM = "manifest storm"


#: Planned work, during which no request may be cut.
PLANNED = frozenset(
    {
        Kind.STOP,
        Kind.RELOAD,
        Kind.MANIFEST,
        Kind.MANIFEST_STORM,
        Kind.REPLACE_REPLICA,
        Kind.REPLACE_PRIMARY,
    }
)
#: Changes of accounts, during which no request may be cut either.
PLANNED_OF_ACCOUNTS = frozenset(
    {
        Kind.KEY_REMOVED,
        Kind.KEYS_REMOVED,
        Kind.KEYS_RETURNED,
        Kind.RATE_LOWERED,
        Kind.RATE_RAISED,
        Kind.HOT_ACCOUNT,
    }
)
#: Changes in named cases, during which no request may be cut either.
PLANNED_OF_CASES = frozenset({Kind.DEMAND_AT})


@dataclasses.dataclass(frozen=True, order=True)
class Fault:
    """One fault of a daemon, of a member or of all.

    Parameters
    ==========

    at_s : float
        Seconds after the start.
    target : int
        Index of the daemon, or of the member for faults of links; -1 if the
        fault concerns neither.  Number of the variant for odd entries.  The
        daemon that does not reach the primary or the store.  Place of the
        account.  Shard whose owner is killed, or daemon to which all clients
        connect.
    length_s : float
        Seconds that the fault lasts, for those that do.
    age_s : float
        Age of the copy from which the store is restored, in seconds before
        the store went away.
    factor : float
        Factor of an account's rate or demand.
    gap_s : float
        Seconds between two versions of a large manifest.

    """

    at_s: float
    kind: Kind = dataclasses.field(compare=False)
    target: int = -1
    length_s: float = 0.0
    age_s: float = 0.0
    factor: float = 1.0
    gap_s: float = 0.0


MEMBERS = 3
#: Variants of odd entries.
ODD_ENTRIES = 16
#: Time until a late promotion is carried out, in seconds.
LATE_CALL_S = 7.0
#: Time of the last restore before the end of the schedule, in seconds.
LAST_RESTORE_S = 0.5

#: One scene: faults relative to its start.
Scene = Callable[[random.Random, int], list[Fault]]


def _series(rng: random.Random, daemons: int) -> list[Fault]:
    """End daemons one after the other, some while others still drain."""
    gap_s = rng.choice([0.5, 1.5, 3.0])
    order = rng.sample(range(daemons), rng.randint(2, daemons))
    return [
        Fault(place * gap_s, Kind.STOP, daemon)
        for place, daemon in enumerate(order)
    ]


def _pair(rng: random.Random, daemons: int) -> list[Fault]:
    first, second = rng.sample(range(daemons), 2)
    gap_s = rng.uniform(0.3, 2.0)
    return [
        Fault(0.0, Kind.STOP, first),
        Fault(gap_s, Kind.STOP, second),
    ]


def _all_at_once(rng: random.Random, daemons: int) -> list[Fault]:
    spread_s = rng.choice([0.0, 0.3])
    return [
        Fault(rng.uniform(0.0, spread_s), Kind.STOP, daemon)
        for daemon in range(daemons)
    ]


def _all_killed(rng: random.Random, daemons: int) -> list[Fault]:
    return [Fault(0.0, Kind.KILL, daemon) for daemon in range(daemons)]


def _lost_primary(rng: random.Random, daemons: int) -> list[Fault]:
    """Crash a primary while a replica is behind."""
    return [
        Fault(0.0, Kind.LINK_REPLICATION, rng.randrange(MEMBERS), 4.0),
        Fault(rng.uniform(0.5, 2.0), Kind.CRASH_PRIMARY, -1, 5.0),
    ]


def _restored_at(
    rng: random.Random,
    at_s: float,
    ages_s: tuple[float, float],
    length_s: float,
) -> list[Fault]:
    """Restore the store right after a change of the manifest."""
    return [
        Fault(at_s - rng.uniform(0.05, 0.5), Kind.MANIFEST),
        Fault(at_s, Kind.STORE_RESTORED, -1, length_s, rng.uniform(*ages_s)),
    ]


def _restored(rng: random.Random, daemons: int) -> list[Fault]:
    """Restore the store, beside changes, killed daemons and a lost primary.

    Up to two restores follow each other.
    """
    faults = []
    for place in range(rng.randint(1, 2)):
        ages_s = rng.choice([(0.8, 3.0), (3.0, 15.0)])
        length_s = rng.choice([0.2, 1.0, 2.0])
        faults += _restored_at(rng, 0.5 + place * 3.0, ages_s, length_s)
    faults += [
        Fault(rng.uniform(0.0, 1.0), rng.choice([Kind.KILL, Kind.STOP]), each)
        for each in rng.sample(range(daemons), rng.randint(0, daemons // 2))
    ]
    if rng.random() < 0.5:
        faults.append(
            Fault(rng.uniform(0.0, 4.0), Kind.CRASH_PRIMARY, -1, 5.0)
        )
    return faults


def _odd_entries(rng: random.Random, daemons: int) -> list[Fault]:
    """Write odd entries, then kill all daemons, then lose the primary."""
    return [
        *(
            Fault(0.1 * place, Kind.ODD_ENTRY, variant)
            for place, variant in enumerate(
                rng.sample(range(ODD_ENTRIES), rng.randint(1, 4))
            )
        ),
        Fault(1.0, Kind.MANIFEST),
        *begun_at(rng.uniform(2.0, 4.0), _all_killed(rng, daemons)),
        Fault(6.0, Kind.MANIFEST),
        Fault(rng.uniform(8.0, 9.0), Kind.CRASH_PRIMARY, -1, 4.0),
    ]


def _cut_primary(rng: random.Random, daemons: int) -> list[Fault]:
    """Cut some daemons off from the primary, or crash it.

    Promotions are late meanwhile, one replica may receive nothing, and
    another one joins, starts again or leaves.
    """
    back_s = rng.choice([1.5, 3.0, 5.0])
    faults = [
        Fault(0.0, Kind.CUT_PRIMARY, each, back_s)
        for each in rng.sample(range(daemons), rng.randint(1, daemons))
    ]
    if rng.random() < 0.3:
        faults = [Fault(0.0, Kind.CRASH_PRIMARY, -1, back_s)]
    calls = rng.choice([Kind.CALLS_LATE, Kind.CALLS_REFUSED])
    faults.append(Fault(0.0, calls, -1, LATE_CALL_S))
    if rng.random() < 0.6:
        at_s = rng.uniform(0.5, 1.2)
        member = rng.randrange(MEMBERS)
        faults.append(
            Fault(at_s, Kind.LINK_REPLICATION, member, LATE_CALL_S + 1.0)
        )
    how = rng.choice(
        [
            Kind.JOIN_REPLICA,
            Kind.JOIN_REPLICA,
            Kind.RESTART_REPLICA,
            Kind.REPLACE_REPLICA,
        ]
    )
    length_s = LATE_CALL_S + 2.0 if how is Kind.JOIN_REPLICA else 0.0
    faults.append(Fault(rng.uniform(0.8, 2.0), how, -1, length_s))
    return faults


def _manifest_storm(rng: random.Random, daemons: int) -> list[Fault]:
    """Change a large manifest often; a daemon may end meanwhile."""
    length_s = rng.uniform(4.0, 8.0)
    gap_s = rng.choice([0.05, 0.1, 0.33])
    faults = [Fault(0.0, Kind.MANIFEST_STORM, -1, length_s, gap_s=gap_s)]
    if rng.random() < 0.5:
        at_s = rng.uniform(1.0, length_s)
        faults.append(Fault(at_s, Kind.STOP, rng.randrange(daemons)))
    return faults


def _reload(rng: random.Random, daemons: int) -> list[Fault]:
    count = rng.randint(1, daemons)
    return [
        Fault(rng.uniform(0.0, 0.5), Kind.RELOAD, daemon)
        for daemon in rng.sample(range(daemons), count)
    ]


def _manifests(rng: random.Random, daemons: int) -> list[Fault]:
    count = rng.choice([1, 1, 5, 15])
    return [
        Fault(rng.uniform(0.0, 0.1 * count), Kind.MANIFEST)
        for _ in range(count)
    ]


def _single(
    kind: Kind,
    least_s: float = 0.0,
    most_s: float = 0.0,
    of_daemon: bool = False,
    of_member: bool = False,
) -> Scene:
    """Return a scene of one fault that lasts a random time."""

    def scene(rng: random.Random, daemons: int) -> list[Fault]:
        target = -1
        if of_daemon or of_member:
            target = rng.randrange(daemons if of_daemon else MEMBERS)
        return [Fault(0.0, kind, target, rng.uniform(least_s, most_s))]

    return scene


PLANNED_SCENES: tuple[Scene, ...] = (
    _series,
    _pair,
    _all_at_once,
    _all_at_once,
    _reload,
    _manifests,
    _single(Kind.REPLACE_REPLICA),
    _single(Kind.REPLACE_PRIMARY),
)
UNPLANNED_SCENES: tuple[Scene, ...] = (
    _all_killed,
    _lost_primary,
    _single(Kind.FREEZE, 0.5, 3.0, of_daemon=True),
    _single(Kind.KILL, of_daemon=True),
    _single(Kind.CRASH_PRIMARY, 2.0, 5.0),
    _single(Kind.STORE_DOWN, 1.0, 5.0),
    _single(Kind.STORE_SILENT, 1.0, 5.0),
    _single(Kind.LINK_DELAYED, 1.0, 4.0, of_member=True),
    _single(Kind.LINK_SILENT, 0.5, 4.0, of_member=True),
    _single(Kind.LINK_ANSWERS_LOST, 0.5, 4.0, of_member=True),
    _single(Kind.LINK_RESET, of_member=True),
)


def generate(
    seed: int,
    seconds: float,
    daemons: int,
    unplanned: bool = True,
    restores: bool = False,
    odd_entries: bool = False,
    cuts: bool = False,
    large_manifests: bool = False,
) -> list[Fault]:
    """Return the faults of a soak in the order of their times.

    Half of the scenes are planned work in any case.  Restores of the store,
    odd entries, cuts of the primary and storms of a large manifest come
    beside them, and leave the others as they are.

    Examples
    ========

    >>> from burdockcart.soak import schedule
    >>> faults = schedule.generate(1, 60, 4)
    >>> faults == schedule.generate(1, 60, 4)
    True

    """
    rng = random.Random(seed)
    faults = [
        fault
        for begin_s, scene in _scenes(rng, seconds, unplanned)
        for fault in begun_at(begin_s, scene(rng, daemons))
    ]
    if restores:
        rng = random.Random(f"restores of {seed}")
        for begin_s in _restore_times(rng, seconds):
            faults += begun_at(begin_s, _restored(rng, daemons))
        # Nothing covers up a manifest that is missed after the last one.
        faults += _restored_at(rng, seconds - LAST_RESTORE_S, (0.8, 2.0), 0.2)
    if odd_entries:
        rng = random.Random(f"odd entries of {seed}")
        faults += begun_at(rng.uniform(1.0, 3.0), _odd_entries(rng, daemons))
    if cuts:
        rng = random.Random(f"cuts of {seed}")
        for begin_s in _cut_times(rng, seconds):
            faults += begun_at(begin_s, _cut_primary(rng, daemons))
    if large_manifests:
        rng = random.Random(f"large manifests of {seed}")
        for begin_s in _storm_times(rng, seconds):
            faults += begun_at(begin_s, _manifest_storm(rng, daemons))
    return sorted(fault for fault in faults if fault.at_s < seconds)


def begun_at(begin_s: float, faults: list[Fault]) -> list[Fault]:
    """Return the faults of a scene that begins at a time."""
    return [
        dataclasses.replace(each, at_s=each.at_s + begin_s) for each in faults
    ]


def _restore_times(rng: random.Random, seconds: float) -> Iterator[float]:
    at_s = rng.uniform(2.0, 5.0)
    while at_s < seconds:
        yield at_s
        at_s += rng.uniform(8.0, 14.0)


def _cut_times(rng: random.Random, seconds: float) -> Iterator[float]:
    at_s = rng.uniform(1.0, 3.0)
    while at_s < seconds:
        yield at_s
        at_s += LATE_CALL_S + rng.uniform(4.0, 7.0)


def _storm_times(rng: random.Random, seconds: float) -> Iterator[float]:
    at_s = rng.uniform(1.0, 4.0)
    while at_s < seconds:
        yield at_s
        at_s += rng.uniform(12.0, 18.0)


def _scenes(
    rng: random.Random, seconds: float, unplanned: bool
) -> Iterator[tuple[float, Scene]]:
    at_s = rng.uniform(1.0, 2.0)
    while at_s < seconds:
        mixed = unplanned and rng.random() < 0.5
        yield at_s, rng.choice(UNPLANNED_SCENES if mixed else PLANNED_SCENES)
        at_s += rng.choice([1.0, 3.0, 7.0]) * rng.uniform(0.7, 1.3)
